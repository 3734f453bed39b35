package settings

import (
	"time"

	"merlinarch/logic"
)

// Encode returns the settings in the form that Decode reads, ready to be marshalled to JSON.
func Encode(s logic.Settings) map[string]any {
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	nameOf := func(names map[string]logic.Repeatability, r logic.Repeatability) string {
		for name, v := range names {
			if v == r {
				return name
			}
		}
		return ""
	}
	mode, counts, swap, decided := "push", "all", "beside", "any"
	if s.WatchDiscovery {
		mode = "subscribe"
	}
	r := s.Rollout
	if r.BudgetPerClass {
		counts = "per_lane"
	}
	if r.RollingUpdate {
		swap = "rolling"
	}
	if r.AutoAdvance {
		decided = "clocked"
	}
	classes, tenants := []any{}, []any{}
	for _, c := range s.Classes {
		entry := map[string]any{"name": c.Name, "repeat": nameOf(repeatabilityNames, c.Repeatability), "window_ms": ms(c.DedupWindow),
			"aim_ms": ms(c.LatencyTarget), "deadline_ms": ms(c.Deadline), "worth": c.Worth, "late_value": c.LateValue}
		for name, scope := range scopeNames {
			if scope == c.DedupScope && c.Repeatability == logic.Keyed {
				entry["group"] = name
			}
		}
		classes = append(classes, entry)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "quota_rps": t.Quota, "share": t.Share})
	}
	return map[string]any{"me": s.Self, "peers_total": s.RouterCount, "zone": s.Zone, "registry_mode": mode,
		"tick_ms": ms(s.ClockResolution), "over_share_worth": s.OverShareWorth, "classes": classes, "orgs": tenants,
		"deductions":    map[string]any{"cross_zone": s.CrossZoneCost, "handshake": s.HandshakeCost},
		"client_habits": map[string]any{"marks_retry": s.MarksRetry},
		"caps": map[string]any{"max_attempts": s.MaxAttempts, "max_open": s.MaxOpenRequests,
			"max_retry_after_ms": ms(s.MaxRetryAfter), "probes": s.CanProbe, "peers": s.CanPost, "cancel": s.CanCancel,
			"conn_idle_ms": ms(s.ConnIdleTimeout)},
		"rules": map[string]any{"ask_within_ms": ms(s.WatchWithin), "drain_grace_ms": ms(s.DrainGrace),
			"cold_from": s.ColdCapacity, "cold_ms": ms(s.WarmUpTime), "fall_multiple": s.OverloadMultiple, "fall_ms": ms(s.OverloadTime)},
		"family_info": map[string]any{"steps": r.StageShare, "exposure_caps": r.StageCap, "exposure_window_ms": ms(r.ExposureWindow),
			"free": r.FreeAttempts, "counts": counts, "closed_stages": r.ClosedStages, "forward_only": r.ForwardOnly, "swap": swap,
			"warm_keys": r.WarmKeys, "least_stage_ms": ms(r.MinStageTime), "ballot_ttl_ms": ms(r.VoteTTL),
			"api_timeout_ms": ms(r.VoteTimeout), "votes_per_s": r.VotesPerSec, "decided_by": decided}}
}
