// Package cordon decides which servers may be closed to new work together, whom a cordon covers, and how far one has
// got. A cordon narrows what discovery's list allows; it never adds a server.
package cordon

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Target is what a cordon closes: one life of a server, or all that bear its name.
type Target struct {
	Host string `json:"host"`
	Born *int64 `json:"born_ms,omitempty"` // of one life, in Unix time and milliseconds; nil: the name, whatever its life
}

// Covers tells whether a server is closed by it.
func (t Target) Covers(host string, born int64) bool {
	return t.Host == host && (t.Born == nil || *t.Born == born)
}

// ID names a target in the record.
func (t Target) ID() string {
	if t.Born == nil {
		return t.Host
	}
	return fmt.Sprintf("%s@%d", t.Host, *t.Born)
}

// Order is a cordon that was agreed.
type Cordon struct {
	Target
	Author     string `json:"author"`
	Reason     string `json:"reason"`
	Since      int64  `json:"since_ms"`         // Unix time, by the clock of the leader that judged it
	DurationMs int64  `json:"for_ms,omitempty"` // it expires after so long; 0: never by itself
	Forced     bool   `json:"forced,omitempty"`
	Automatic  bool   `json:"auto,omitempty"` // from the dispatchers' own evidence
}

// Server is what the dispatchers' list says of one; part of the evidence that a cordon is judged on.
type Server struct {
	Host         string  `json:"host"`
	Born         int64   `json:"born_ms,omitempty"`
	Site         string  `json:"site,omitempty"`
	Class        string  `json:"class,omitempty"` // of machine
	Build        int     `json:"build"`
	Weight       float64 `json:"weight"`
	OutOfService bool    `json:"out,omitempty"` // it drains, is lost or is cold: it can't stand in for others now
}

// Pool makes one list of what several dispatchers list: a server is out if at least half of those that list it say so.
// Danger: one dispatcher that is cut off by itself holds all servers for lost, and would use up every budget.
func MergeLists(lists map[string][]Server) []Server {
	type votes struct {
		Server
		listed, out int
	}
	type life struct {
		host string
		born int64
	}
	all := map[life]*votes{}
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		for _, s := range lists[name] {
			v := all[life{s.Host, s.Born}]
			if v == nil {
				v = &votes{Server: s}
				all[life{s.Host, s.Born}] = v
			}
			v.listed++
			if s.OutOfService {
				v.out++
			}
		}
	}
	var out []Server
	for _, v := range all {
		v.Server.OutOfService = 2*v.out >= v.listed
		out = append(out, v.Server)
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Born, b.Born)) })
	return out
}

// Budget bounds what may be out of service together in one site and build.
type Budget struct {
	Share float64 `json:"share"` // of the group's weight, drains, lost and cold servers counted
}

// DefaultBudget lets a quarter of a group be out.
func DefaultBudget() Budget { return Budget{Share: 0.25} }

// Refusals of a cordon. All but ErrNone may be forced, with a name and a reason in the record.
var (
	ErrIncomplete    = errors.New("a cordon needs a host, an author and a reason")
	ErrUnknownServer = errors.New("no dispatcher lists this server")
	ErrOverBudget    = errors.New("more of its site and build would be out together than the budget allows")
	ErrLastServer    = errors.New("it is the last server of its class that is in service")
)

// Judge tells whether a cordon may be added to those that stand. One server of a group may always be out alone, however
// small the group, unless it is the last of its class. Danger: two cordons asked for in one moment are each within the
// budget; they are judged one after the other, each on those agreed before it, in the order of the record.
func (b Budget) Check(t Target, standing map[string]Cordon, listed []Server) error {
	var target *Server
	for i := range listed {
		if t.Covers(listed[i].Host, listed[i].Born) {
			target = &listed[i]
		}
	}
	if target == nil {
		return ErrUnknownServer
	}
	var total, out float64
	others, classLeft := 0, 0
	for i := range listed {
		s := &listed[i]
		closed := s.OutOfService
		for _, o := range standing {
			closed = closed || o.Covers(s.Host, s.Born)
		}
		if s != target && !closed && s.Class == target.Class && s.Build == target.Build {
			classLeft++
		}
		if s.Site != target.Site || s.Build != target.Build {
			continue
		}
		total += s.Weight
		if s == target || closed {
			out += s.Weight
		}
		if s != target && closed {
			others++
		}
	}
	switch {
	case classLeft == 0:
		return ErrLastServer
	case others > 0 && out > b.Share*total*(1+1e-9):
		return fmt.Errorf("%w: %.3g of %.3g, allowed %.3g", ErrOverBudget, out, total, b.Share*total)
	}
	return nil
}

// State is how far a cordon has got.
type State string

// States of a cordon. Only Confirmed says that the server may be switched off.
const (
	Propagating State = "reaching"  // agreed; some dispatchers may yet start work there
	Confirmed   State = "confirmed" // no dispatcher will start anything there
	Lifting     State = "lifting"   // its lifting is agreed, and takes hold once all dispatchers know of it
)

// Report is one dispatcher's evidence on a server, of late.
type Evidence struct {
	Host     string  `json:"host"`
	Answered float64 `json:"answered"` // attempts that it answered, well or with an error
	Errors   float64 `json:"erred"`    // of these, with an error
}

// keepReport is the part of what was told before that counts at the next beat: about the last 64 count, since a server that
// fails is left alone for seconds between two attempts.
const keepReport = 63.0 / 64

// Fold adds what a dispatcher tells now to what it told before, which counts for less and less.
func AccumulateEvidence(before, now []Evidence) []Evidence {
	sum := map[string]Evidence{}
	for _, r := range before {
		if r.Answered, r.Errors = r.Answered*keepReport, r.Errors*keepReport; r.Answered >= 0.5 {
			sum[r.Host] = r
		}
	}
	for _, r := range now {
		s := sum[r.Host]
		sum[r.Host] = Evidence{r.Host, s.Answered + r.Answered, s.Errors + r.Errors}
	}
	out := slices.Collect(maps.Values(sum))
	slices.SortFunc(out, func(a, b Evidence) int { return cmp.Compare(a.Host, b.Host) })
	return out
}

// Auto is when servers are cordoned by the dispatchers' own evidence.
type AutoPolicy struct {
	MinDispatchers int     `json:"agreeing"` // so many dispatchers have to see the same; 0: off
	MaxCordons     int     `json:"most"`     // so many such cordons may stand together
	ErrorShare     float64 `json:"share"`    // of a server's answers to one dispatcher that are errors
	MinAnswers     int     `json:"least"`    // answers that a dispatcher needs to say anything
}

// Suspects lists the servers to cordon, the worst first. Danger: a cut link looks like a dead server to all behind it;
// so only answers count, never silence, and a dispatcher to whom most servers seem bad blames none: its own way out, or
// what all servers lean on, is at fault then.
func (a AutoPolicy) Outliers(reports map[string][]Evidence, standing map[string]Cordon) []string {
	if a.MinDispatchers <= 0 || a.MaxCordons <= 0 {
		return nil
	}
	auto := 0
	for _, o := range standing {
		if o.Automatic {
			auto++
		}
	}
	agree := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		judged, bad := 0, []string{}
		for _, r := range reports[name] {
			if r.Answered < float64(max(1, a.MinAnswers)) {
				continue
			}
			judged++
			if r.Errors >= a.ErrorShare*r.Answered {
				bad = append(bad, r.Host)
			}
		}
		if 2*len(bad) >= judged {
			continue
		}
		for _, h := range bad {
			agree[h]++
		}
	}
	var out []string
	for h, n := range agree {
		closed := false
		for _, o := range standing {
			closed = closed || o.Host == h
		}
		if n >= a.MinDispatchers && !closed {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(x, y string) int { return cmp.Or(agree[y]-agree[x], cmp.Compare(x, y)) })
	return out[:min(len(out), max(0, a.MaxCordons-auto))]
}
