package rig

// Settings returns the settings of router me of n as pizarras-central has them, in the form of the users' page on the wire.
func Settings(me, n int) Object {
	return Object{
		"me": me, "peers_total": n, "zone": "san-jose", "zones": []string{"san-jose", "heredia", "cartago"}, "stage": 0, "tick_ms": 5.0,
		"registry_mode": "automatic", "weights": "nominal", "worth_by": "work", "over_share_worth": 0.2,
		"caps": Object{"cancel": true, "conn_idle_ms": 30000.0, "dial_timeout_ms": 250.0, "max_attempts": 6, "max_open": 20000,
			"max_retry_after_ms": 500.0, "peers": false, "probes": false, "retry_after": true, "second_copies": false, "streams_per_conn": 1},
		"classes": []Object{
			Class("read-board", "safe", "all", 1500, 5000, 0, 1),
			Class("post-notice", "keyed", "zone", 1500, 4000, 8000, 5)},
		"client_habits": Object{"marks_retry": false},
		"deductions":    Object{"cross_zone": 0.12, "handshake": 0.0},
		"family_info": Object{"api_timeout_ms": 800.0, "ballot_ttl_ms": 4000.0, "closed_stages": 1, "complaint_share": 0.0, "counts": "all", "decided_by": "single",
			"exposure_caps": []float64{0.036, 0.144, 0.48, 1.0}, "exposure_window_ms": 4000.0, "forward_only": false, "free": 3.0, "harm_price": 8.0,
			"least_stage_ms": 3000.0, "news_period_ms": 6000.0, "on_votes": 1, "steps": []float64{0.03, 0.12, 0.4, 1.0}, "swap": "rolling", "votes_per_s": 50.0, "votes_to_revert": 1},
		"report": Object{"via": "none", "fields": []string{}},
		"rules": Object{"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.31, "cold_ms": 5000.0, "drain_grace_ms": 1000.0,
			"fall_ms": 1500.0, "fall_multiple": 2.0},
	}
}

// LimonSettings returns the settings of router me of n as pizarras-limon has them.
func LimonSettings(me, n int) Object {
	s := Settings(me, n)
	s["zone"], s["zones"] = "sala-limon", []string{"sala-limon", "sala-siquirres"}
	s["classes"] = []Object{Class("ver-pizarra", "safe", "all", 750, 3000, 0, 2), Class("ver-aviso", "safe", "all", 400, 1200, 0, 1),
		Class("publicar-aviso", "keyed", "all", 750, 3000, 6000, 3)}
	s["client_habits"] = Object{"marks_retry": true}
	s["deductions"] = Object{"cross_zone": 0.01, "handshake": 0.0}
	caps := s["caps"].(Object)
	caps["conn_idle_ms"], caps["max_retry_after_ms"] = 15000.0, 1000.0
	s["rules"] = Object{"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.42, "cold_ms": 3900.0, "drain_grace_ms": 500.0,
		"fall_ms": 2000.0, "fall_multiple": 3.0}
	family := s["family_info"].(Object)
	family["exposure_caps"], family["exposure_window_ms"], family["free"] = []float64{0.16, 0.5, 1.0, 1.0}, 2000.0, 2.0
	family["steps"], family["swap"], family["closed_stages"] = []float64{0.08, 0.25, 0.6, 1.0}, "side_by_side", 0
	family["ballot_ttl_ms"], family["api_timeout_ms"], family["least_stage_ms"] = 6000.0, 2000.0, 1000.0
	return s
}

// Class returns a class of the settings; times are in milliseconds.
func Class(name, repeat, group string, aim, deadline, window, worth float64) Object {
	return Object{"name": name, "repeat": repeat, "group": group, "aim_ms": aim, "deadline_ms": deadline, "window_ms": window, "worth": worth, "late_value": 0.2, "stream": false}
}

// News is the state of the newest build in the configuration, and State the same as the platform's words.
var News = Object{"release": 42, "tranche": 3, "mode": "released", "exposure": 1.0, "old_ms": 600000.0}

// State is News as the platform writes it.
const State = "42 3 released 1 600000"
