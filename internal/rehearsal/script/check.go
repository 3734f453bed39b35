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

// Bounds on sizes. Without them, a script with a zero too many would use up the machine's memory instead of failing with
// an error.
const (
	maxRouters           = 2000
	maxHosts             = 10000
	maxRequestsPerSecond = 200000
	maxLength            = 24 * time.Hour
	maxRequests          = 1e8 // requests
	maxListEntries       = 1000
)

// checker checks values of a script and keeps the first error.
type checker struct {
	file string
	err  error
}

// require sets the error for path, if it is the first, unless ok.
func (c *checker) require(ok bool, path, format string, args ...any) {
	if !ok && c.err == nil {
		c.err = &template.Error{File: c.file, Path: path, Text: "expected " + fmt.Sprintf(format, args...)}
	}
}

// requireRange requires a value from least to most.
func requireRange[T cmp.Ordered](c *checker, path string, v, least, most T) {
	c.require(v >= least && v <= most, path, "%v to %v, got %v", least, most, v)
}

// requireSpan requires two times in order, from 0 to most.
func (c *checker) requireSpan(path string, s Span, most time.Duration) {
	c.require(len(s) == 2 && s[0] >= 0 && s[0] <= s[1] && s[1] <= most, path,
		"two times, the lower first, at most %v, got %v", most, s)
}

// requirePair requires two numbers in order, from least to most.
func (c *checker) requirePair(path string, p []float64, least, most float64) {
	c.require(len(p) == 2 && p[0] >= least && p[0] <= p[1] && p[1] <= most, path, "two numbers, the lower first, %v to %v, got %v",
		least, most, p)
}

// requireOneOf requires one of some words.
func (c *checker) requireOneOf(path, v string, words ...string) {
	c.require(slices.Contains(words, v), path, "one of %s, got %q", strings.Join(words, ", "), v)
}

// check returns an error, with its path, for the first value that can't be played.
func (s *Script) check(file string) error {
	c := &checker{file: file}
	requireRange(c, "length", s.Length, time.Second, maxLength)
	requireRange(c, "sites", len(s.Sites), 1, 100)
	r, h, n, k, l := s.Routers, s.Hosts, s.Network, s.Clients, s.Launcher
	requireRange(c, "routers.count", r.Count, 1, maxRouters)
	c.requireOneOf("routers.policy", r.Policy, Policies...)
	requireRange(c, "routers.memory_mb", r.MemoryMB, 24, 1<<20)
	requireRange(c, "routers.sockets", r.Sockets, 40, 1<<20)
	requireRange(c, "routers.max_attempts", r.MaxAttempts, 1, 100)
	requireRange(c, "routers.retry_after", r.RetryAfter, 0, time.Hour)
	requireRange(c, "routers.cross_cost", r.CrossCost, 0, 1)
	requireRange(c, "routers.over_share", r.OverShare, 0, 1)
	requireRange(c, "hosts.count", h.Count, 1, maxHosts)
	requireRange(c, "hosts.cores", h.Cores, 1, 1024)
	c.requirePair("hosts.speed", h.Speed, 0.01, 100)
	requireRange(c, "hosts.slots", h.Slots, 1, 10000)
	requireRange(c, "hosts.queue", h.Queue, 0, 100000)
	requireRange(c, "hosts.connections", h.Connections, 1, 1000000)
	requireRange(c, "hosts.handshake", h.Handshake, 0, time.Second)
	c.requireOneOf("hosts.stops", h.Stops, "nothing", "waiting", "running")
	requireRange(c, "hosts.cold_from", h.ColdFrom, 0.01, 1)
	requireRange(c, "hosts.cold_time", h.ColdTime, 0, time.Hour)
	requireRange(c, "hosts.fall_multiple", h.FallMultiple, 0.1, 1000)
	requireRange(c, "hosts.fall_time", h.FallTime, 10*time.Millisecond, time.Hour)
	c.requireSpan("hosts.boot", h.Boot, time.Hour)
	requireRange(c, "hosts.errors", h.Errors, 0, 1)
	requireRange(c, "hosts.report_age", h.ReportAge, 0, time.Hour)
	requireRange(c, "hosts.drain_grace", h.DrainGrace, 0, time.Hour)
	requireRange(c, "hosts.drain_time", h.DrainTime, 0, time.Hour)
	c.requireSpan("network.same", n.Same, time.Minute)
	c.requireSpan("network.cross", n.Cross, time.Minute)
	c.requireSpan("network.client", n.Client, time.Minute)
	c.requireSpan("network.message", n.Message, time.Minute)
	c.requireSpan("network.front_notice", n.FrontNotice, time.Minute)
	requireRange(c, "network.message_loss", n.MessageLoss, 0, 1)
	requireRange(c, "network.conn_idle", n.ConnIdle, 10*time.Millisecond, time.Hour)
	requireRange(c, "network.dial_timeout", n.DialTimeout, time.Millisecond, time.Minute)
	c.requireSpan("discovery.change", s.Discovery.Change, time.Hour)
	c.requireSpan("discovery.loss", s.Discovery.Loss, time.Hour)
	requireRange(c, "discovery.period", s.Discovery.Period, 0, time.Hour)
	s.checkTraffic(c, k)
	requireRange(c, "launcher.cap", len(l.Cap), 1, 100)
	c.require(len(l.Share) == len(l.Cap), "launcher.share", "as many as launcher.cap, %d, got %d", len(l.Cap), len(l.Share))
	for i, list := range [][]float64{l.Share, l.Cap} {
		c.require(slices.IsSorted(list) && (len(list) == 0 || list[0] > 0 && list[len(list)-1] == 1),
			[]string{"launcher.share", "launcher.cap"}[i], "fractions over 0 in ascending order, the last of them 1, got %v", list)
	}
	requireRange(c, "launcher.window", l.Window, time.Millisecond, time.Hour)
	requireRange(c, "launcher.free", l.Free, 1, 1000000)
	requireRange(c, "launcher.closed", l.Closed, 0, len(l.Cap))
	requireRange(c, "launcher.bake", l.Bake, 0, time.Hour)
	requireRange(c, "launcher.vote_life", l.VoteLife, time.Millisecond, time.Hour)
	requireRange(c, "launcher.votes_per_s", l.VotesPerSec, 0.001, 1e6)
	c.requireSpan("launcher.call", l.Call, time.Minute)
	requireRange(c, "launcher.call_timeout", l.CallTimeout, time.Millisecond, time.Minute)
	c.requireSpan("launcher.told_late", l.ToldLate, time.Hour)
	requireRange(c, "launcher.every", l.Every, 10*time.Millisecond, time.Hour)
	requireRange(c, "launcher.disputed", l.Disputed, 0, 1)
	s.checkTimeline(c)
	return c.err
}

// checkTraffic checks the classes, tenants and clients.
func (s *Script) checkTraffic(c *checker, k Clients) {
	requireRange(c, "classes", len(s.Classes), 1, maxListEntries)
	requireRange(c, "tenants", len(s.Tenants), 1, maxListEntries)
	classes, tenants := map[string]bool{}, map[string]bool{}
	for i, x := range s.Classes {
		at := func(f string) string { return fmt.Sprintf("classes[%d].%s", i, f) }
		c.require(x.Name != "" && !classes[x.Name], at("name"), "a name of its own, got %q", x.Name)
		classes[x.Name] = true
		requireRange(c, at("share"), x.Share, 1e-9, 1e9)
		requireRange(c, at("work"), x.Work, time.Microsecond, time.Hour)
		requireRange(c, at("cv"), x.CV, 0, 10)
		requireRange(c, at("deadline"), x.Deadline, 100*time.Millisecond, time.Hour)
		requireRange(c, at("aim"), x.Aim, time.Millisecond, x.Deadline)
		requireRange(c, at("worth"), x.Worth, 1e-9, 1e9)
		requireRange(c, at("late_worth"), x.LateWorth, 0, 1)
		c.requireOneOf(at("repeat"), x.Repeat, "safe", "keyed", "unsafe")
		if x.Repeat == "keyed" {
			c.requireOneOf(at("group"), x.Group, "all", "zone", "cell")
			requireRange(c, at("window"), x.Window, time.Millisecond, 24*time.Hour)
		}
	}
	for i, x := range s.Tenants {
		at := func(f string) string { return fmt.Sprintf("tenants[%d].%s", i, f) }
		c.require(x.Name != "" && !tenants[x.Name], at("name"), "a name of its own, got %q", x.Name)
		tenants[x.Name] = true
		requireRange(c, at("share"), x.Share, 1e-9, 1e9)
	}
	requireRange(c, "clients.rate", k.Rate, 0.001, maxRequestsPerSecond)
	c.require(k.Rate*s.Length.Seconds() <= maxRequests, "clients.rate", "at most %g requests in all", maxRequests)
	requireRange(c, "clients.wave", k.Wave, 0, 1)
	requireRange(c, "clients.period", k.Period, time.Second, 24*time.Hour)
	requireRange(c, "clients.keys", k.Keys, 1, 100000000)
	requireRange(c, "clients.zipf", k.Zipf, 1.000001, 100)
	requireRange(c, "clients.retries", k.Retries, 0, 20)
	c.requireSpan("clients.backoff", k.Backoff, time.Hour)
	requireRange(c, "clients.honour", k.Honour, 0, 1)
	c.requirePair("clients.patience", k.Patience, 0.05, 1)
}

// checkTimeline checks the releases and troubles, and sets the defaults of their values that are left out.
func (s *Script) checkTimeline(c *checker) {
	requireRange(c, "releases", len(s.Releases), 0, maxListEntries)
	requireRange(c, "troubles", len(s.Troubles), 0, maxListEntries)
	isEmptyOrKnown := func(name string, count int, nameOf func(int) string) bool {
		for i := range count {
			if nameOf(i) == name {
				return true
			}
		}
		return name == ""
	}
	className := func(i int) string { return s.Classes[i].Name }
	last := time.Duration(0)
	for i := range s.Releases {
		x := &s.Releases[i]
		at := func(f string) string { return fmt.Sprintf("releases[%d].%s", i, f) }
		x.Speed = cmp.Or(x.Speed, 1)
		requireRange(c, at("at"), x.At, last, s.Length)
		last = x.At
		requireRange(c, at("speed"), x.Speed, 0.1, 10)
		c.requireOneOf(at("fault"), x.Fault, "", "slow", "errors", "class", "late", "load", "wrong", "neighbours")
		switch x.Fault {
		case "":
		case "slow", "neighbours":
			requireRange(c, at("size"), x.Size, 1, 100)
		default:
			requireRange(c, at("size"), x.Size, 0.001, 1)
		}
		requireRange(c, at("busy"), x.Busy, 0, 1)
		c.require(x.Fault != "class" || x.Class != "", at("class"), "a class for this fault")
		c.require(isEmptyOrKnown(x.Class, len(s.Classes), className), at("class"), "a class of this script, got %q", x.Class)
	}
	last = 0
	for i := range s.Troubles {
		x := &s.Troubles[i]
		at := func(f string) string { return fmt.Sprintf("troubles[%d].%s", i, f) }
		kind, known := troubleKinds[x.Kind]
		c.require(known, at("kind"), "one of %s, got %q", strings.Join(slices.Sorted(maps.Keys(troubleKinds)), ", "), x.Kind)
		requireRange(c, at("at"), x.At, last, s.Length) // in order of time
		last = x.At
		requireRange(c, at("for"), x.For, time.Millisecond, maxLength)
		x.Times = cmp.Or(x.Times, 1)
		requireRange(c, at("times"), x.Times, 1, 10000)
		c.require(x.Times == 1 || x.Every >= x.For, at("every"), "at least the length of one trouble, %v, got %v", x.For, x.Every)
		x.Share = cmp.Or(x.Share, 1)
		requireRange(c, at("share"), x.Share, 0.0001, 1)
		if kind.size {
			requireRange(c, at("size"), x.Size, kind.least, kind.most)
		} else {
			c.require(x.Size == 0, at("size"), "none for %s", x.Kind)
		}
		c.require(x.Each >= 0 && x.Each <= x.For, at("each"), "0 to %v, got %v", x.For, x.Each)
		c.require(x.Site == "" || slices.Contains(s.Sites, x.Site), at("site"), "one of %v, got %q", s.Sites, x.Site)
		c.require(!strings.HasPrefix(x.Kind, "site_") || x.Site != "", at("site"), "a site for %s", x.Kind)
		c.require(isEmptyOrKnown(x.Class, len(s.Classes), className), at("class"), "a class of this script, got %q", x.Class)
		c.require(isEmptyOrKnown(x.Tenant, len(s.Tenants), func(i int) string { return s.Tenants[i].Name }), at("tenant"),
			"a tenant of this script, got %q", x.Tenant)
		c.require(x.Build == nil || *x.Build >= 0 && *x.Build <= len(s.Releases), at("build"), "0 to %d", len(s.Releases))
	}
}

// Policies are the policies that may decide in a router: the program's own module, and baselines to compare it with.
var Policies = []string{"module", "random", "least"}

// setPath sets the value at a path such as "clients.rate" or "releases[0].size". It adds objects that are missing on the
// way, but no list entries.
func setPath(parent any, path string, v any) error {
	steps := strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
	if len(steps) == 0 {
		return errors.New("expected a path")
	}
	for i, step := range steps {
		last := i == len(steps)-1
		switch node := parent.(type) {
		case map[string]any:
			if last {
				node[step] = v
				return nil
			}
			if node[step] == nil {
				node[step] = map[string]any{}
			}
			parent = node[step]
		case []any:
			n, err := strconv.Atoi(step)
			if err != nil || n < 0 || n >= len(node) {
				return fmt.Errorf("expected an entry from 0 to %d, got %q", len(node)-1, step)
			}
			if last {
				node[n] = v
				return nil
			}
			parent = node[n]
		default:
			return fmt.Errorf("expected an object or a list above %q", step)
		}
	}
	return nil
}

// ParseValue reads a value that a sweep sets: a number or a boolean where the text is one, else the text.
func ParseValue(text string) any {
	if f, err := strconv.ParseFloat(text, 64); err == nil && !math.IsNaN(f) && !math.IsInf(f, 0) {
		return f
	}
	if b, err := strconv.ParseBool(text); err == nil {
		return b
	}
	return text
}
