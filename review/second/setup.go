package main

import (
	"fmt"
	"strings"
	"time"
)

// limonSettings are the settings of a small deployment of Limon: the names and figures are those of the settings page and
// of that site.
func limonSettings(me, routers int, zone string) object {
	return object{
		"me": me, "peers_total": routers, "zone": zone, "zones": []string{"sala-limon", "sala-siquirres"},
		"caps": object{"cancel": true, "conn_idle_ms": 15000, "dial_timeout_ms": 250, "max_attempts": 6, "max_open": 20000,
			"max_retry_after_ms": 1000, "peers": true, "probes": false, "retry_after": true, "second_copies": false, "streams_per_conn": 32},
		"classes": []object{
			{"name": "ver-pizarra", "repeat": "safe", "group": "all", "window_ms": 3000, "aim_ms": 750, "deadline_ms": 3000, "worth": 2, "late_value": 0, "stream": false},
			{"name": "ver-aviso", "repeat": "safe", "group": "all", "window_ms": 1200, "aim_ms": 400, "deadline_ms": 1200, "worth": 1, "late_value": 0, "stream": false},
			{"name": "publicar-aviso", "repeat": "keyed", "group": "all", "window_ms": 6000, "aim_ms": 750, "deadline_ms": 3000, "worth": 3, "late_value": 0.2, "stream": false}},
		"client_habits": object{"marks_retry": true}, "registry_mode": "automatic", "domain_type": "rollout",
		"deductions": object{"connection": 0, "cross_zone": 0.01, "handshake": 0, "late_fail": 0.08, "peer": 0.01, "probe": 0, "registry_mode": 0, "waste": 0.05},
		"family_info": object{"api_timeout_ms": 2000, "ballot_ttl_ms": 6000, "closed_stages": 0, "complaint_share": 0.3, "counts": "all", "decided_by": "single",
			"exposure_caps": []float64{0.16, 0.5, 1, 1}, "exposure_window_ms": 2000, "forward_only": false, "free": 2, "hold_votes": 0, "least_stage_ms": 1000,
			"moves_after_ms": 0, "news_period_ms": 4000, "on_votes": 1, "steps": []float64{0.08, 0.25, 0.6, 1}, "swap": "side_by_side", "votes_per_s": 400,
			"votes_to_revert": 1, "warm_keys": false, "tally_ms": 0, "tally_sample": 0, "lag_fee": 0.45, "harm_price": 3},
		"goal":   object{"whole": 0.2, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.3, "punctual": 0.2, "borne_misses": 0.03},
		"layers": []string{"tablones"}, "stage": 0, "machine_types": []string{"basica-2n"}, "over_share_worth": 0.1,
		"orgs":    []object{{"name": "canton-limon", "quota_rps": 160, "share": 0.62}, {"name": "canton-pococi", "quota_rps": 70, "share": 0.27}, {"name": "canton-talamanca", "quota_rps": 30, "share": 0.11}},
		"report":  object{"fields": []string{"tps"}, "via": "answers"},
		"rules":   object{"answer_slack_ms": 20, "ask_within_ms": 10000, "cold_from": 0.42, "cold_ms": 3900, "drain_grace_ms": 500, "fall_ms": 2000, "fall_multiple": 3},
		"tick_ms": 5, "weights": "nominal", "worth_by": "work",
	}
}

// startRouter starts a router as the deploy file says, and waits until it is ready.
func (r *rig) startRouter(name, addr string, settings object, d *discovery, p *platform, extra string) *proc {
	release := object{"release": 42, "tranche": 3, "mode": "released", "exposure": 1, "old_ms": 60000}
	if f := strings.Fields(p.state); len(f) == 4 {
		exposure := 0.0
		fmt.Sscan(f[3], &exposure)
		release = object{"release": atoi(f[0]), "tranche": atoi(f[1]), "mode": f[2], "exposure": exposure, "old_ms": 60000}
	}
	d.mu.Lock()
	known := d.whole()
	d.mu.Unlock()
	config := r.writeJSON(name+".json", object{"name": name, "listen": addr, "discovery": d.addr, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits":   object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"pipeline": object{"address": p.addr, "news": release}, "known": known, "settings": settings})
	proc := r.spawn(name, "exec bin/merlinarch serve"+extra, "LB_NAME="+name, "LB_LISTEN="+addr, "LB_DISCOVERY="+d.addr, "LB_CONFIG="+config)
	return proc
}
