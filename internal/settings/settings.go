// Package settings decodes what an instance learns at start-up, with the names and units of the simulator's
// first message. The bench's adapter and the router on sockets share it. It decides nothing.
package settings

import (
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"merlinarch/logic"
)

var repeats = map[string]logic.Repeatability{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}

var scopes = map[string]logic.DedupScope{"all": logic.ScopeAll, "zone": logic.ScopeZone, "cell": logic.ScopeCell}

// Decode reads the start-up settings; unknown keys are skipped.
func Decode(v *fastjson.Value) (logic.Settings, error) {
	ms := func(path ...string) time.Duration {
		return time.Duration(v.GetFloat64(path...)*1000+0.5) * time.Microsecond
	}
	floats := func(path ...string) []float64 {
		var out []float64
		for _, x := range v.GetArray(path...) {
			out = append(out, x.GetFloat64())
		}
		return out
	}
	text := func(path ...string) string { return string(v.GetStringBytes(path...)) }
	s := logic.Settings{
		Self: v.GetInt("me"), Peers: v.GetInt("peers_total"), Zone: text("zone"),
		MaxAttempts: v.GetInt("caps", "max_attempts"), MaxOpen: v.GetInt("caps", "max_open"),
		MaxRetryAfter: ms("caps", "max_retry_after_ms"),
		MarksRetry:    v.GetBool("client_habits", "marks_retry"), CanProbe: v.GetBool("caps", "probes"),
		CanPost: v.GetBool("caps", "peers"), CanCancel: v.GetBool("caps", "cancel"),
		AskDiscovery: text("registry_mode") == "subscribe", AskWithin: ms("rules", "ask_within_ms"),
		Tick: ms("tick_ms"), DrainGrace: ms("rules", "drain_grace_ms"), ColdFrom: v.GetFloat64("rules", "cold_from"),
		ColdTime: ms("rules", "cold_ms"), FallMultiple: v.GetFloat64("rules", "fall_multiple"),
		FallTime: ms("rules", "fall_ms"), CrossZoneCost: v.GetFloat64("deductions", "cross_zone"),
		HandshakeCost: v.GetFloat64("deductions", "handshake"),
		OverShare:     v.GetFloat64("over_share_worth"), ConnIdle: ms("caps", "conn_idle_ms"),
		Rollout: logic.Rollout{
			StageShare: floats("family_info", "steps"), StageCap: floats("family_info", "exposure_caps"),
			Window: ms("family_info", "exposure_window_ms"), Free: v.GetFloat64("family_info", "free"),
			PerClass: text("family_info", "counts") == "per_lane", ClosedStages: v.GetInt("family_info", "closed_stages"),
			ForwardOnly: v.GetBool("family_info", "forward_only"), Rolling: text("family_info", "swap") == "rolling",
			WarmKeys: v.GetBool("family_info", "warm_keys"), MinStage: ms("family_info", "least_stage_ms"),
			VoteTTL: ms("family_info", "ballot_ttl_ms"), VoteTimeout: ms("family_info", "api_timeout_ms"),
			VotesPerSec: v.GetFloat64("family_info", "votes_per_s"), Clocked: text("family_info", "decided_by") == "clocked",
		},
	}
	for i, c := range v.GetArray("classes") {
		name := string(c.GetStringBytes("repeat"))
		repeat, ok := repeats[name]
		if !ok {
			return s, fmt.Errorf("settings: class %d: unknown repeat %q", i, name)
		}
		group := string(c.GetStringBytes("group"))
		scope, ok := scopes[group]
		if !ok && repeat == logic.Keyed {
			return s, fmt.Errorf("settings: class %d: unknown group %q", i, group)
		}
		cms := func(key string) time.Duration { return time.Duration(c.GetFloat64(key)*1000+0.5) * time.Microsecond }
		s.Classes = append(s.Classes, logic.Class{Name: string(c.GetStringBytes("name")), Repeat: repeat, Scope: scope,
			DedupWindow: cms("window_ms"), Aim: cms("aim_ms"), Deadline: cms("deadline_ms"),
			Worth: c.GetFloat64("worth"), LateValue: c.GetFloat64("late_value")})
	}
	for _, o := range v.GetArray("orgs") {
		s.Tenants = append(s.Tenants, logic.Tenant{Name: string(o.GetStringBytes("name")),
			Quota: o.GetFloat64("quota_rps"), Share: o.GetFloat64("share")})
	}
	return s, nil
}

// Millis is a number of milliseconds, fractions allowed, to the microsecond.
func Millis(v *fastjson.Value) time.Duration {
	return time.Duration(v.GetFloat64()*1000+0.5) * time.Microsecond
}

// NoLoad is a load report in which nothing was reported.
func NoLoad() logic.Load { return logic.Load{InFlight: -1, Queue: -1, Utilization: -1, RatePerSec: -1} }

// SetLoad puts one value of a load report in its place, and tells whether its name is known: the settings'
// own names and those that hosts write.
func SetLoad(l *logic.Load, name string, value float64) bool {
	switch name {
	case "concurrent", "inflight":
		l.InFlight = value
	case "depth", "queue":
		l.Queue = value
	case "load_share", "util":
		l.Utilization = value
	case "tps", "qps":
		l.RatePerSec = value
	default:
		return false
	}
	return true
}
