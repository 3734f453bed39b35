// Package cordon decides which servers may be closed to new work at the same time, which servers a cordon covers, and which
// servers are outliers by the dispatchers' evidence. A cordon closes a server to new work on all dispatchers (the gateways
// that share the replicated configuration). It only restricts the list from discovery and never adds a server to it.
package cordon

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Target is what a cordon closes: one incarnation of a server, or every incarnation with its name.
type Target struct {
	Host string `json:"host"`
	Born *int64 `json:"born_ms,omitempty"` // start of the one incarnation, in Unix milliseconds; nil: every incarnation
}

// Covers reports whether the target includes an incarnation of a server.
func (t Target) Covers(host string, born int64) bool {
	return t.Host == host && (t.Born == nil || *t.Born == born)
}

// ID identifies the target in the replicated state.
func (t Target) ID() string {
	if t.Born == nil {
		return t.Host
	}
	return fmt.Sprintf("%s@%d", t.Host, *t.Born)
}

// Cordon is a cordon that is in force.
type Cordon struct {
	Target
	Author     string `json:"author"`
	Reason     string `json:"reason"`
	Since      int64  `json:"since_ms"`         // Unix time, by the clock of the leader that accepted it
	DurationMs int64  `json:"for_ms,omitempty"` // time until it expires; 0: it does not expire
	Forced     bool   `json:"forced,omitempty"`
	Automatic  bool   `json:"auto,omitempty"` // it comes from the dispatchers' evidence, not from an operator
}

// Server is a server in a dispatcher's list. The lists are the evidence that a cordon is checked against.
type Server struct {
	Host         string  `json:"host"`
	Born         int64   `json:"born_ms,omitempty"`
	Site         string  `json:"site,omitempty"`
	Class        string  `json:"class,omitempty"` // machine class
	Build        int     `json:"build"`
	Weight       float64 `json:"weight"`
	OutOfService bool    `json:"out,omitempty"` // draining, lost or in slow start: it can't replace other servers now
}

// MergeLists merges the server lists of several dispatchers. A server is out of service if at least half of the dispatchers
// that list it say so. Otherwise one dispatcher that is cut off from the network, and so considers every server lost, would
// use up every budget.
func MergeLists(lists map[string][]Server) []Server {
	type tally struct {
		Server
		listed, out int
	}
	type incarnation struct {
		host string
		born int64
	}
	tallies := map[incarnation]*tally{}
	for _, name := range slices.Sorted(maps.Keys(lists)) {
		for _, s := range lists[name] {
			t := tallies[incarnation{s.Host, s.Born}]
			if t == nil {
				t = &tally{Server: s}
				tallies[incarnation{s.Host, s.Born}] = t
			}
			t.listed++
			if s.OutOfService {
				t.out++
			}
		}
	}
	var merged []Server
	for _, t := range tallies {
		t.Server.OutOfService = 2*t.out >= t.listed
		merged = append(merged, t.Server)
	}
	slices.SortFunc(merged, func(a, b Server) int { return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Born, b.Born)) })
	return merged
}

// Budget bounds what may be out of service at the same time in a group: the servers of one site and build.
type Budget struct {
	Share float64 `json:"share"` // of the group's weight; draining, lost and slow-starting servers count as out
}

// DefaultBudget allows a quarter of a group to be out of service.
func DefaultBudget() Budget { return Budget{Share: 0.25} }

// Refusals of a cordon. All but ErrIncomplete may be overridden by force, with the author and the reason on record.
var (
	ErrIncomplete    = errors.New("a cordon needs a host, an author and a reason")
	ErrUnknownServer = errors.New("no dispatcher lists this server")
	ErrOverBudget    = errors.New("more of its site and build would be out together than the budget allows")
	ErrLastServer    = errors.New("it is the last server of its class that is in service")
)

// Check returns nil if a cordon may be added to the existing ones. A single server of a group may always be out, however
// small the group, unless it is the last of its class that is in service. Two cordons requested at the same time may each be
// within the budget and exceed it together, so they have to be checked one after the other in log order, each with the
// cordons agreed before it.
func (b Budget) Check(t Target, existing map[string]Cordon, listed []Server) error {
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
	othersOut, classRemaining := 0, 0
	for i := range listed {
		s := &listed[i]
		closed := s.OutOfService
		for _, o := range existing {
			closed = closed || o.Covers(s.Host, s.Born)
		}
		if s != target && !closed && s.Class == target.Class && s.Build == target.Build {
			classRemaining++
		}
		if s.Site != target.Site || s.Build != target.Build {
			continue
		}
		total += s.Weight
		if s == target || closed {
			out += s.Weight
		}
		if s != target && closed {
			othersOut++
		}
	}
	switch {
	case classRemaining == 0:
		return ErrLastServer
	case othersOut > 0 && out > b.Share*total*(1+1e-9):
		return fmt.Errorf("%w: %.3g of %.3g, allowed %.3g", ErrOverBudget, out, total, b.Share*total)
	}
	return nil
}

// State tells how far a cordon has been put into effect.
type State string

// States of a cordon. Only Confirmed says that the server may be switched off.
const (
	Propagating State = "reaching"  // agreed; some dispatchers may still start work there
	Confirmed   State = "confirmed" // no dispatcher will start anything there
	Lifting     State = "lifting"   // its lift is agreed, and takes effect once all dispatchers know of it
)

// Evidence counts one dispatcher's recent answers from a server.
type Evidence struct {
	Host     string  `json:"host"`
	Answered float64 `json:"answered"` // attempts that the server answered, successfully or with an error
	Errors   float64 `json:"erred"`    // of these, the ones answered with an error
}

// evidenceDecay is the weight that earlier evidence keeps at each heartbeat, so that about the last 64 count. So many are
// needed because a failing server gets an attempt only every few seconds.
const evidenceDecay = 63.0 / 64

// AccumulateEvidence adds a dispatcher's latest evidence to its previous evidence, which decays exponentially.
func AccumulateEvidence(previous, latest []Evidence) []Evidence {
	sums := map[string]Evidence{}
	for _, r := range previous {
		if r.Answered, r.Errors = r.Answered*evidenceDecay, r.Errors*evidenceDecay; r.Answered >= 0.5 {
			sums[r.Host] = r
		}
	}
	for _, r := range latest {
		s := sums[r.Host]
		sums[r.Host] = Evidence{r.Host, s.Answered + r.Answered, s.Errors + r.Errors}
	}
	merged := slices.Collect(maps.Values(sums))
	slices.SortFunc(merged, func(a, b Evidence) int { return cmp.Compare(a.Host, b.Host) })
	return merged
}

// AutoPolicy sets when servers are cordoned on the dispatchers' evidence, without an operator.
type AutoPolicy struct {
	MinDispatchers int     `json:"agreeing"` // dispatchers whose evidence has to agree on an outlier; 0: off
	MaxCordons     int     `json:"most"`     // automatic cordons that may exist at the same time
	ErrorShare     float64 `json:"share"`    // share of errors in its answers to one dispatcher that makes a server an outlier
	MinAnswers     int     `json:"least"`    // answers from a server that a dispatcher needs to judge it
}

// Outliers lists the servers to cordon (outlier detection), those that most dispatchers agree on first. A failed link makes a
// server look dead to every dispatcher behind it, so only answers count as evidence, never missing ones. A dispatcher that
// sees at least half of the servers fail is ignored: the fault is then in its own network path, or in something that all
// servers depend on.
func (a AutoPolicy) Outliers(reports map[string][]Evidence, existing map[string]Cordon) []string {
	if a.MinDispatchers <= 0 || a.MaxCordons <= 0 {
		return nil
	}
	automatic := 0
	for _, o := range existing {
		if o.Automatic {
			automatic++
		}
	}
	agreeing := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		evaluated, failing := 0, []string{}
		for _, r := range reports[name] {
			if r.Answered < float64(max(1, a.MinAnswers)) {
				continue
			}
			evaluated++
			if r.Errors >= a.ErrorShare*r.Answered {
				failing = append(failing, r.Host)
			}
		}
		if 2*len(failing) >= evaluated {
			continue
		}
		for _, h := range failing {
			agreeing[h]++
		}
	}
	var outliers []string
	for h, n := range agreeing {
		closed := false
		for _, o := range existing {
			closed = closed || o.Host == h
		}
		if n >= a.MinDispatchers && !closed {
			outliers = append(outliers, h)
		}
	}
	slices.SortFunc(outliers, func(x, y string) int { return cmp.Or(agreeing[y]-agreeing[x], cmp.Compare(x, y)) })
	return outliers[:min(len(outliers), max(0, a.MaxCordons-automatic))]
}
