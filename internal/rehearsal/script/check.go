package script

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"merlinarch/internal/template"
)

// Bounds on size. Danger: a script with a zero too many would take the laptop's memory instead of telling so.
const (
	maxRouters = 2000
	maxHosts   = 10000
	maxRate    = 200000
	maxLength  = 24 * time.Hour
	maxPlayed  = 1e8 // requests
	maxList    = 1000
)

// checker gathers what is wrong; the first counts.
type checker struct {
	file string
	err  error
}

func (c *checker) want(ok bool, path, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = &template.Error{File: c.file, Path: path, Text: "expected " + fmt.Sprintf(format, args...)}
	}
}

func number[T cmp.Ordered](c *checker, path string, v, least, most T) {
	c.want(v >= least && v <= most, path, "%v to %v, got %v", least, most, v)
}

func (c *checker) span(path string, s Span, most time.Duration) {
	c.want(len(s) == 2 && s[0] >= 0 && s[0] <= s[1] && s[1] <= most, path,
		"two times, the least first, at most %v, got %v", most, s)
}

func (c *checker) parts(path string, p []float64, least, most float64) {
	c.want(len(p) == 2 && p[0] >= least && p[0] <= p[1] && p[1] <= most, path, "two numbers, the least first, %v to %v, got %v",
		least, most, p)
}

func (c *checker) word(path, v string, words ...string) {
	c.want(slices.Contains(words, v), path, "one of %s, got %q", strings.Join(words, ", "), v)
}

// check finds values that can't be played, by path.
func (s *Script) check(file string) error {
	c := &checker{file: file}
	number(c, "length", s.Length, time.Second, maxLength)
	number(c, "sites", len(s.Sites), 1, 100)
	r, h, n, k, l := s.Routers, s.Hosts, s.Network, s.Clients, s.Launcher
	number(c, "routers.count", r.Count, 1, maxRouters)
	c.word("routers.policy", r.Policy, Policies...)
	number(c, "routers.memory_mb", r.MemoryMB, 24, 1<<20)
	number(c, "routers.sockets", r.Sockets, 40, 1<<20)
	number(c, "routers.max_attempts", r.MaxAttempts, 1, 100)
	number(c, "routers.retry_after", r.RetryAfter, 0, time.Hour)
	number(c, "routers.cross_cost", r.CrossCost, 0, 1)
	number(c, "routers.over_share", r.OverShare, 0, 1)
	number(c, "hosts.count", h.Count, 1, maxHosts)
	number(c, "hosts.cores", h.Cores, 1, 1024)
	c.parts("hosts.speed", h.Speed, 0.01, 100)
	number(c, "hosts.slots", h.Slots, 1, 10000)
	number(c, "hosts.queue", h.Queue, 0, 100000)
	number(c, "hosts.connections", h.Connections, 1, 1000000)
	number(c, "hosts.handshake", h.Handshake, 0, time.Second)
	c.word("hosts.stops", h.Stops, "nothing", "waiting", "running")
	number(c, "hosts.cold_from", h.ColdFrom, 0.01, 1)
	number(c, "hosts.cold_time", h.ColdTime, 0, time.Hour)
	number(c, "hosts.fall_multiple", h.FallMultiple, 0.1, 1000)
	number(c, "hosts.fall_time", h.FallTime, 10*time.Millisecond, time.Hour)
	c.span("hosts.boot", h.Boot, time.Hour)
	number(c, "hosts.errors", h.Errors, 0, 1)
	number(c, "hosts.report_age", h.ReportAge, 0, time.Hour)
	number(c, "hosts.drain_grace", h.DrainGrace, 0, time.Hour)
	number(c, "hosts.drain_time", h.DrainTime, 0, time.Hour)
	c.span("network.same", n.Same, time.Minute)
	c.span("network.cross", n.Cross, time.Minute)
	c.span("network.client", n.Client, time.Minute)
	c.span("network.message", n.Message, time.Minute)
	c.span("network.front_notice", n.FrontNotice, time.Minute)
	number(c, "network.message_loss", n.MessageLoss, 0, 1)
	number(c, "network.conn_idle", n.ConnIdle, 10*time.Millisecond, time.Hour)
	number(c, "network.dial_timeout", n.DialTimeout, time.Millisecond, time.Minute)
	c.span("discovery.change", s.Discovery.Change, time.Hour)
	c.span("discovery.loss", s.Discovery.Loss, time.Hour)
	number(c, "discovery.period", s.Discovery.Period, 0, time.Hour)
	s.checkTraffic(c, k)
	number(c, "launcher.cap", len(l.Cap), 1, 100)
	c.want(len(l.Share) == len(l.Cap), "launcher.share", "as many as launcher.cap, %d, got %d", len(l.Cap), len(l.Share))
	for i, list := range [][]float64{l.Share, l.Cap} {
		c.want(slices.IsSorted(list) && (len(list) == 0 || list[0] > 0 && list[len(list)-1] == 1),
			[]string{"launcher.share", "launcher.cap"}[i], "parts over 0 that grow up to 1, got %v", list)
	}
	number(c, "launcher.window", l.Window, time.Millisecond, time.Hour)
	number(c, "launcher.free", l.Free, 1, 1000000)
	number(c, "launcher.closed", l.Closed, 0, len(l.Cap))
	number(c, "launcher.bake", l.Bake, 0, time.Hour)
	number(c, "launcher.vote_life", l.VoteLife, time.Millisecond, time.Hour)
	number(c, "launcher.votes_per_s", l.VotesPerSec, 0.001, 1e6)
	c.span("launcher.call", l.Call, time.Minute)
	number(c, "launcher.call_timeout", l.CallTimeout, time.Millisecond, time.Minute)
	c.span("launcher.told_late", l.ToldLate, time.Hour)
	number(c, "launcher.every", l.Every, 10*time.Millisecond, time.Hour)
	number(c, "launcher.disputed", l.Disputed, 0, 1)
	s.checkTimeline(c)
	return c.err
}

func (s *Script) checkTraffic(c *checker, k Clients) {
	number(c, "classes", len(s.Classes), 1, maxList)
	number(c, "tenants", len(s.Tenants), 1, maxList)
	classes, tenants := map[string]bool{}, map[string]bool{}
	for i, x := range s.Classes {
		at := func(f string) string { return fmt.Sprintf("classes[%d].%s", i, f) }
		c.want(x.Name != "" && !classes[x.Name], at("name"), "a name of its own, got %q", x.Name)
		classes[x.Name] = true
		number(c, at("share"), x.Share, 1e-9, 1e9)
		number(c, at("work"), x.Work, time.Microsecond, time.Hour)
		number(c, at("cv"), x.CV, 0, 10)
		number(c, at("deadline"), x.Deadline, 100*time.Millisecond, time.Hour)
		number(c, at("aim"), x.Aim, time.Millisecond, x.Deadline)
		number(c, at("worth"), x.Worth, 1e-9, 1e9)
		number(c, at("late_worth"), x.LateWorth, 0, 1)
		c.word(at("repeat"), x.Repeat, "safe", "keyed", "unsafe")
		if x.Repeat == "keyed" {
			c.word(at("group"), x.Group, "all", "zone", "cell")
			number(c, at("window"), x.Window, time.Millisecond, 24*time.Hour)
		}
	}
	for i, x := range s.Tenants {
		at := func(f string) string { return fmt.Sprintf("tenants[%d].%s", i, f) }
		c.want(x.Name != "" && !tenants[x.Name], at("name"), "a name of its own, got %q", x.Name)
		tenants[x.Name] = true
		number(c, at("share"), x.Share, 1e-9, 1e9)
	}
	number(c, "clients.rate", k.Rate, 0.001, maxRate)
	c.want(k.Rate*s.Length.Seconds() <= maxPlayed, "clients.rate", "at most %g requests in all", maxPlayed)
	number(c, "clients.wave", k.Wave, 0, 1)
	number(c, "clients.period", k.Period, time.Second, 24*time.Hour)
	number(c, "clients.keys", k.Keys, 1, 100000000)
	number(c, "clients.zipf", k.Zipf, 1.000001, 100)
	number(c, "clients.retries", k.Retries, 0, 20)
	c.span("clients.backoff", k.Backoff, time.Hour)
	number(c, "clients.honour", k.Honour, 0, 1)
	c.parts("clients.patience", k.Patience, 0.05, 1)
}

func (s *Script) checkTimeline(c *checker) {
	number(c, "releases", len(s.Releases), 0, maxList)
	number(c, "troubles", len(s.Troubles), 0, maxList)
	has := func(name string, in int, nameOf func(int) string) bool {
		for i := range in {
			if nameOf(i) == name {
				return true
			}
		}
		return name == ""
	}
	class := func(i int) string { return s.Classes[i].Name }
	last := time.Duration(0)
	for i := range s.Releases {
		x := &s.Releases[i]
		at := func(f string) string { return fmt.Sprintf("releases[%d].%s", i, f) }
		x.Speed = cmp.Or(x.Speed, 1)
		number(c, at("at"), x.At, last, s.Length)
		last = x.At
		number(c, at("speed"), x.Speed, 0.1, 10)
		c.word(at("fault"), x.Fault, "", "slow", "errors", "class", "late", "load", "wrong", "neighbours")
		switch x.Fault {
		case "":
		case "slow", "neighbours":
			number(c, at("size"), x.Size, 1, 100)
		default:
			number(c, at("size"), x.Size, 0.001, 1)
		}
		number(c, at("busy"), x.Busy, 0, 1)
		c.want(x.Fault != "class" || x.Class != "", at("class"), "a class for this fault")
		c.want(has(x.Class, len(s.Classes), class), at("class"), "a class of this script, got %q", x.Class)
	}
	last = 0
	for i := range s.Troubles {
		x := &s.Troubles[i]
		at := func(f string) string { return fmt.Sprintf("troubles[%d].%s", i, f) }
		kind, known := kinds[x.Kind]
		c.want(known, at("kind"), "one of %s, got %q", strings.Join(slices.Sorted(maps.Keys(kinds)), ", "), x.Kind)
		number(c, at("at"), x.At, last, s.Length) // the time line is written in order
		last = x.At
		number(c, at("for"), x.For, time.Millisecond, maxLength)
		x.Times = cmp.Or(x.Times, 1)
		number(c, at("times"), x.Times, 1, 10000)
		c.want(x.Times == 1 || x.Every >= x.For, at("every"), "at least the length of one, %v, got %v", x.For, x.Every)
		x.Share = cmp.Or(x.Share, 1)
		number(c, at("share"), x.Share, 0.0001, 1)
		if kind.size {
			number(c, at("size"), x.Size, kind.least, kind.most)
		} else {
			c.want(x.Size == 0, at("size"), "none for %s", x.Kind)
		}
		c.want(x.Each >= 0 && x.Each <= x.For, at("each"), "0 to %v, got %v", x.For, x.Each)
		c.want(x.Site == "" || slices.Contains(s.Sites, x.Site), at("site"), "one of %v, got %q", s.Sites, x.Site)
		c.want(!strings.HasPrefix(x.Kind, "site_") || x.Site != "", at("site"), "a site for %s", x.Kind)
		c.want(has(x.Class, len(s.Classes), class), at("class"), "a class of this script, got %q", x.Class)
		c.want(has(x.Tenant, len(s.Tenants), func(i int) string { return s.Tenants[i].Name }), at("tenant"),
			"a tenant of this script, got %q", x.Tenant)
		c.want(x.Build == nil || *x.Build >= 0 && *x.Build <= len(s.Releases), at("build"), "0 to %d", len(s.Releases))
	}
}

// Policies are what may decide in a router: the module, and baselines to hold it against.
var Policies = []string{"module", "random", "least"}

// put sets the value at a path such as "clients.rate" or "releases[0].size".
func put(in any, path string, v any) error {
	steps := strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
	if len(steps) == 0 {
		return errors.New("expected a path")
	}
	for i, step := range steps {
		last := i == len(steps)-1
		switch at := in.(type) {
		case map[string]any:
			if last {
				at[step] = v
				return nil
			}
			if at[step] == nil {
				at[step] = map[string]any{}
			}
			in = at[step]
		case []any:
			n, err := strconv.Atoi(step)
			if err != nil || n < 0 || n >= len(at) {
				return fmt.Errorf("expected an entry from 0 to %d, got %q", len(at)-1, step)
			}
			if last {
				at[n] = v
				return nil
			}
			in = at[n]
		default:
			return fmt.Errorf("expected an object or a list above %q", step)
		}
	}
	return nil
}

// Value reads what a sweep sets: a number where the text is one, else the text.
func ParseValue(text string) any {
	if f, err := strconv.ParseFloat(text, 64); err == nil && !math.IsNaN(f) && !math.IsInf(f, 0) {
		return f
	}
	if b, err := strconv.ParseBool(text); err == nil {
		return b
	}
	return text
}
