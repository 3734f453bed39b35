// Package settings decodes the start-up settings of a router, in the names and units of the simulator's first message.
// The adapter for the simulator and the router on sockets both use it. It decides nothing.
package settings

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"merlinarch/logic"
)

var repeatabilityNames = map[string]logic.Repeatability{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}

var scopeNames = map[string]logic.DedupScope{"all": logic.ScopeAll, "zone": logic.ScopeZone, "cell": logic.ScopeCell}

// maxDuration replaces longer times. For a router it is practically unlimited, and adding other times to it does not
// overflow.
const maxDuration = 100 * 24 * time.Hour

// reader reads values of an object and keeps the first error. The prefix starts each error's text.
type reader struct {
	*fastjson.Value
	prefix string
	err    error
}

// number reads a number that must not be negative; absent or null gives zero.
func (r *reader) number(path ...string) float64 {
	v := r.Get(path...)
	if v == nil || v.Type() == fastjson.TypeNull {
		return 0
	}
	x, err := v.Float64()
	if (err != nil || x < 0) && r.err == nil {
		r.err = fmt.Errorf("%s%s: %.40s is not a number of at least 0", r.prefix, strings.Join(path, "."), v)
	}
	return x
}

// ms reads a time in milliseconds, which may have a fraction, and rounds it to the microsecond.
func (r *reader) ms(path ...string) time.Duration {
	if x := r.number(path...); x < float64(maxDuration.Milliseconds()) {
		return time.Duration(x*1000+0.5) * time.Microsecond
	}
	return maxDuration
}

// DialTimeout returns the timeout for connections to servers, which the node uses and no decision needs; zero if none is
// set.
func DialTimeout(v *fastjson.Value) time.Duration {
	return (&reader{Value: v}).ms("caps", "dial_timeout_ms")
}

// count reads a whole number and limits it to 2^20, since a build's voters are chosen from among that many routers.
func (r *reader) count(path ...string) int {
	const maxCount = 1 << 20
	return int(min(r.number(path...), maxCount))
}

// typed reads a value of one type. It returns nil if the value is absent or null, or of another type, which is an error: a
// string in place of a boolean, for example, would be read as false and switch off a rule of the deployment.
func (r *reader) typed(kind string, accepts func(fastjson.Type) bool, path []string) *fastjson.Value {
	v := r.Get(path...)
	if v == nil || v.Type() == fastjson.TypeNull {
		return nil
	}
	if !accepts(v.Type()) {
		if r.err == nil {
			r.err = fmt.Errorf("%s%s: %.40s is not %s", r.prefix, strings.Join(path, "."), v, kind)
		}
		return nil
	}
	return v
}

// text reads a string; absent or null gives the empty string.
func (r *reader) text(path ...string) string {
	v := r.typed("a string", func(t fastjson.Type) bool { return t == fastjson.TypeString }, path)
	if v == nil {
		return ""
	}
	return string(v.GetStringBytes())
}

// flag reads a boolean; absent or null gives false.
func (r *reader) flag(path ...string) bool {
	v := r.typed("a boolean", func(t fastjson.Type) bool { return t == fastjson.TypeTrue || t == fastjson.TypeFalse }, path)
	return v != nil && v.Type() == fastjson.TypeTrue
}

// array reads a list; absent or null gives an empty one.
func (r *reader) array(path ...string) []*fastjson.Value {
	v := r.typed("a list", func(t fastjson.Type) bool { return t == fastjson.TypeArray }, path)
	if v == nil {
		return nil
	}
	return v.GetArray()
}

// numbers reads a list of numbers.
func (r *reader) numbers(path ...string) []float64 {
	var out []float64
	for i, x := range r.array(path...) {
		item := reader{Value: x, prefix: fmt.Sprintf("%s%s[%d]", r.prefix, strings.Join(path, "."), i)}
		out = append(out, item.number())
		if r.err == nil {
			r.err = item.err
		}
	}
	return out
}

// Decode reads the start-up settings. Unknown keys are skipped, and absent values are zero, except where a router could not
// work with zero: if one of a class's latency target (aim_ms) and deadline is absent, it equals the other, and there are
// at least me+1 routers. Times over 100 days count as 100 days. A value of a wrong type is an error.
func Decode(v *fastjson.Value) (logic.Settings, error) {
	r := &reader{Value: v, prefix: "settings: "}
	s := logic.Settings{
		Self: r.count("me"), RouterCount: r.count("peers_total"), Zone: r.text("zone"),
		MaxAttempts: r.count("caps", "max_attempts"), MaxOpenRequests: r.count("caps", "max_open"),
		MaxRetryAfter: r.ms("caps", "max_retry_after_ms"),
		MarksRetry:    r.flag("client_habits", "marks_retry"), CanProbe: r.flag("caps", "probes"),
		CanPost: r.flag("caps", "peers"), CanCancel: r.flag("caps", "cancel"),
		WatchDiscovery: r.text("registry_mode") == "subscribe", WatchWithin: r.ms("rules", "ask_within_ms"),
		ClockResolution: r.ms("tick_ms"), DrainGrace: r.ms("rules", "drain_grace_ms"), ColdCapacity: r.number("rules", "cold_from"),
		WarmUpTime: r.ms("rules", "cold_ms"), OverloadMultiple: r.number("rules", "fall_multiple"),
		OverloadTime: r.ms("rules", "fall_ms"), CrossZoneCost: r.number("deductions", "cross_zone"),
		HandshakeCost:  r.number("deductions", "handshake"),
		OverShareWorth: r.number("over_share_worth"), ConnIdleTimeout: r.ms("caps", "conn_idle_ms"),
		Rollout: logic.Rollout{
			StageShare: r.numbers("family_info", "steps"), StageCap: r.numbers("family_info", "exposure_caps"),
			ExposureWindow: r.ms("family_info", "exposure_window_ms"), FreeAttempts: r.number("family_info", "free"),
			BudgetPerClass: r.text("family_info", "counts") == "per_lane", ClosedStages: r.count("family_info", "closed_stages"),
			ForwardOnly: r.flag("family_info", "forward_only"), RollingUpdate: r.text("family_info", "swap") == "rolling",
			WarmKeys: r.flag("family_info", "warm_keys"), MinStageTime: r.ms("family_info", "least_stage_ms"),
			VoteTTL: r.ms("family_info", "ballot_ttl_ms"), VoteTimeout: r.ms("family_info", "api_timeout_ms"),
			VotesPerSec: r.number("family_info", "votes_per_s"), AutoAdvance: r.text("family_info", "decided_by") == "clocked",
		},
	}
	r.ms("caps", "dial_timeout_ms") // checked only: the node reads it with DialTimeout
	for _, group := range []string{"caps", "rules", "client_habits", "deductions", "family_info"} {
		r.typed("an object", func(t fastjson.Type) bool { return t == fastjson.TypeObject }, []string{group})
	}
	classes, orgs := r.array("classes"), r.array("orgs")
	if r.err != nil {
		return s, r.err
	}
	s.RouterCount = max(s.RouterCount, s.Self+1) // adjusted and not an error: a router that refuses to start serves nobody
	seenNames := map[string]bool{}
	for i, c := range classes {
		class, err := decodeClass(&reader{Value: c, prefix: fmt.Sprintf("settings: class %d: ", i)})
		if err != nil {
			return s, err
		}
		if seenNames[class.Name] {
			return s, fmt.Errorf("settings: class %d: %q comes twice", i, class.Name)
		}
		seenNames[class.Name] = true
		s.Classes = append(s.Classes, class)
	}
	for i, o := range orgs {
		t := &reader{Value: o, prefix: fmt.Sprintf("settings: org %d: ", i)}
		s.Tenants = append(s.Tenants, logic.Tenant{Name: t.text("name"), Quota: t.number("quota_rps"), Share: t.number("share")})
		if t.err != nil {
			return s, t.err
		}
	}
	return s, nil
}

// decodeClass reads a request class.
func decodeClass(c *reader) (logic.Class, error) {
	name, group := c.text("repeat"), c.text("group")
	if c.err != nil {
		return logic.Class{}, c.err
	}
	repeat, ok := repeatabilityNames[name]
	if !ok {
		return logic.Class{}, fmt.Errorf("%sunknown repeat %q", c.prefix, name)
	}
	scope, ok := scopeNames[group]
	if !ok && repeat == logic.Keyed {
		return logic.Class{}, fmt.Errorf("%sunknown group %q", c.prefix, group)
	}
	class := logic.Class{Name: c.text("name"), Repeatability: repeat, DedupScope: scope, DedupWindow: c.ms("window_ms"),
		LatencyTarget: c.ms("aim_ms"), Deadline: c.ms("deadline_ms"), Worth: c.number("worth"), LateValue: c.number("late_value")}
	switch {
	case c.err != nil:
		return class, c.err
	case class.Name == "":
		return class, fmt.Errorf("%sno name", c.prefix)
	case class.LatencyTarget == 0 && class.Deadline == 0:
		return class, fmt.Errorf("%sneither aim_ms nor deadline_ms", c.prefix)
	case class.LatencyTarget == 0:
		class.LatencyTarget = class.Deadline
	case class.Deadline == 0:
		class.Deadline = class.LatencyTarget
	}
	return class, nil
}

// Millis reads a time in milliseconds, which may have a fraction, and rounds it to the microsecond.
func Millis(v *fastjson.Value) time.Duration {
	return time.Duration(v.GetFloat64()*1000+0.5) * time.Microsecond
}

// NoLoad returns a load report without any value.
func NoLoad() logic.Load { return logic.Load{InFlight: -1, Queue: -1, Utilization: -1, RatePerSec: -1} }

// SetLoad sets one value of a load report and reports whether its name is known. Both the names in the settings and those
// that hosts send are known.
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
