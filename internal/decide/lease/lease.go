// Package lease decides how long a dispatcher may act on the configuration that it holds, and when a registrar can be
// certain that a dispatcher no longer acts on an older version.
//
// A dispatcher is a gateway that holds a read lease on the replicated configuration; a registrar is a member of the Raft
// group that replicates it. A dispatcher requests a lease with a heartbeat (a beat) at a regular interval. A lease runs
// from the moment at which its beat was sent, by the dispatcher's own clock. It covers the newest version that was committed
// when the beat was received, and no other. Before the leader grants a lease, it proves by a round over a majority, begun
// after the beat was received, that no newer version has been committed without it. So a lease on a version outlasts the
// commit of the next version by no more than the lease's own length, whichever registrar led in the meantime. Clocks are
// never compared with each other; only their rates matter. See docs/accord.md for the proof.
package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Terms are the lease settings that all dispatchers and registrars of a cluster share. Enrolment sends them as JSON under
// the names of these fields.
type Terms struct {
	Length  time.Duration // length of a lease, on the dispatcher's clock
	Longest time.Duration // longest lease, granted at a site that is about to be cut off; at least Length
	Beat    time.Duration // interval between a dispatcher's heartbeats
	Send    time.Duration // longest time from the check of a lease until the kernel has the attempt's last byte
	Drift   float64       // a clock runs at 1-Drift to 1+Drift times the rate of true time
}

// DefaultTerms returns terms for dispatchers on the same local network as their registrars.
func DefaultTerms() Terms {
	return Terms{Length: 3 * time.Second, Longest: 3 * time.Second, Beat: 750 * time.Millisecond, Send: 250 * time.Millisecond, Drift: 0.1}
}

// Check returns an error that names the first setting that is out of range.
func (t Terms) Check() error {
	switch {
	case t.Beat <= 0 || t.Send <= 0:
		return fmt.Errorf("beat and send: expected more than 0s, got %v and %v", t.Beat, t.Send)
	case t.Length < 3*t.Beat: // two beats in a row may be lost
		return fmt.Errorf("lease: expected at least three beats (%v), got %v", 3*t.Beat, t.Length)
	case t.Longest < t.Length:
		return fmt.Errorf("longest_lease: expected at least the lease (%v), got %v", t.Length, t.Longest)
	case t.Drift < 0 || t.Drift >= 0.5:
		return fmt.Errorf("drift: expected 0 to under 0.5, got %g", t.Drift)
	}
	return nil
}

// StalenessBound returns D, the longest true time after the commit of a version during which a dispatcher may still
// start an attempt under an older one. It allows for a slow clock, by which a lease lasts longer than its length.
func (t Terms) StalenessBound() time.Duration { return t.stalenessBound(t.Length) }

// StalenessBoundFor returns D for a dispatcher whose lease has the given length.
func (t Terms) StalenessBoundFor(length time.Duration) time.Duration { return t.stalenessBound(length) }

func (t Terms) stalenessBound(length time.Duration) time.Duration {
	return time.Duration(float64(length)/(1-t.Drift)) + t.Send
}

// ExpiryWait returns how long a registrar has to wait, on its own clock, from receiving a beat until a lease granted for
// that beat has certainly expired. It allows for a registrar whose clock is fast, on which the wait takes less true time.
func (t Terms) ExpiryWait(length time.Duration) time.Duration {
	return time.Duration(float64(t.stalenessBound(length)) * (1 + t.Drift))
}

// Mode tells what a dispatcher does when it has no lease.
type Mode string

// Modes of a dispatcher.
const (
	Hold  Mode = "hold"  // start no attempt; refuse requests at once
	Serve Mode = "serve" // go on under the last version applied, without builds on trial and without dispatches
)

// Permission tells what a dispatcher may do at a given time.
type Permission int

// Permissions of a dispatcher.
const (
	Full  Permission = iota // everything that the version it holds allows
	Stale                   // mode Serve without a lease: only ordinary requests, to builds that are not on trial
	None                    // no attempt may be started
)

// Holder is the dispatcher's side of a lease. It is not safe for concurrent use.
type Holder struct {
	Mode    Mode
	version uint64 // newest version applied; 0: none yet in this incarnation
	until   time.Duration
	granted bool
}

// Advance records that a version has been applied: from now on no attempt starts under an older one.
func (h *Holder) Advance(version uint64) { h.version = max(h.version, version) }

// Version returns the newest version applied.
func (h *Holder) Version() uint64 { return h.version }

// RecordGrant records a lease on a version that runs from when its beat was sent, and reports whether the lease is valid.
// A lease on a version that has not been applied is not, and grants that arrive out of order never shorten a lease.
func (h *Holder) RecordGrant(sentAt time.Duration, version uint64, length time.Duration) bool {
	if version == 0 || version > h.version || length <= 0 {
		return false
	}
	if until := sentAt + length; !h.granted || until > h.until {
		h.granted, h.until = true, until
	}
	return true
}

// Remaining returns how much of the lease is left, and whether the lease is in force.
func (h *Holder) Remaining(now time.Duration) (remaining time.Duration, ok bool) {
	return h.until - now, h.granted && now < h.until
}

// Revoke drops the lease because the replicated state no longer lists this incarnation. Registrars do not wait for an
// incarnation that is not listed, so it must not go on under its lease.
func (h *Holder) Revoke() { h.granted = false }

// Permission returns what the dispatcher may do now. A process that was never granted a lease may do nothing in either
// mode, even if it knows a configuration: what it held in an earlier incarnation may have been replaced, and a cordon may
// have been confirmed without it.
func (h *Holder) Permission(now time.Duration) Permission {
	_, hasLease := h.Remaining(now)
	switch {
	case hasLease:
		return Full
	case h.Mode == Serve && h.granted:
		return Stale
	default:
		return None
	}
}

// Member is a dispatcher in the replicated state.
type Member struct {
	Incarnation        uint64   `json:"life"`             // number of the current incarnation, replaced at the next enrolment
	Token              string   `json:"token"`            // chosen at process start; a repeated enrolment gets the same incarnation
	Mode               Mode     `json:"mode"`             // the dispatcher's configured mode
	FormerIncarnations []uint64 `json:"former,omitempty"` // incarnations that may still hold leases, at most MaxFormerIncarnations
	KnownKinds         []string `json:"knows,omitempty"`  // kinds of rules that the dispatcher understands
	Site               string   `json:"site,omitempty"`
}

// MaxFormerIncarnations bounds the former incarnations kept for one dispatcher. A dispatcher that restarts faster than its
// leases lapse has to wait before it can enrol again.
const MaxFormerIncarnations = 16

// incarnationState is what a leader knows about one incarnation of a dispatcher.
type incarnationState struct {
	lastBeat time.Duration // when its last beat was received
	lapsesAt time.Duration // from this time on, every lease granted to it has certainly expired
	version  uint64        // newest version that it reported as applied
	reported bool          // whether this leader has received a beat from it
}

// incarnationKey identifies one incarnation of a dispatcher.
type incarnationKey struct {
	name        string
	incarnation uint64
}

// Tracker is the leader's side of the leases: what each incarnation of each dispatcher has reported since the leader's
// term began. Every term of leadership starts with a new Tracker.
type Tracker struct {
	terms     Terms
	startedAt time.Duration
	states    map[incarnationKey]*incarnationState
}

// NewTracker returns the Tracker of a term of leadership that begins now. An earlier leader may have granted leases that
// this one does not know of, so no lease counts as lapsed until the longest possible one has expired.
func NewTracker(terms Terms, now time.Duration) *Tracker {
	return &Tracker{terms: terms, startedAt: now, states: map[incarnationKey]*incarnationState{}}
}

// stateOf returns the state of an incarnation, and creates it if needed.
func (r *Tracker) stateOf(name string, incarnation uint64) *incarnationState {
	key := incarnationKey{name, incarnation}
	s := r.states[key]
	if s == nil {
		s = &incarnationState{lastBeat: r.startedAt, lapsesAt: r.startedAt + r.terms.ExpiryWait(r.terms.Longest)}
		r.states[key] = s
	}
	return s
}

// RecordBeat records a beat that was received now and the version that its sender had applied. The length is that of the
// longest lease that may be granted for the beat. RecordBeat has to be called before a lease is granted.
func (r *Tracker) RecordBeat(now time.Duration, name string, incarnation, version uint64, length time.Duration) {
	s := r.stateOf(name, incarnation)
	s.lastBeat, s.lapsesAt = now, max(s.lapsesAt, now+r.terms.ExpiryWait(length))
	s.version, s.reported = max(s.version, version), true
}

// Straggler is an incarnation of a dispatcher that may still act on an older version.
type Straggler struct {
	Name        string        `json:"name"`
	Incarnation uint64        `json:"life"`
	Version     uint64        `json:"holds"`           // 0: no beat since this leader's term began
	Remaining   time.Duration `json:"left_ns"`         // until its lease has certainly expired; if negative, its own report is needed
	NeverLapses bool          `json:"never,omitempty"` // mode serve: it goes on after its lease has expired
}

// Stragglers returns the incarnations that may still act on a version older than the given one, sorted by name.
func (r *Tracker) Stragglers(now time.Duration, members map[string]Member, version uint64) []Straggler {
	var out []Straggler
	for _, name := range slices.Sorted(maps.Keys(members)) {
		m := members[name]
		for _, incarnation := range append(slices.Clone(m.FormerIncarnations), m.Incarnation) {
			s := r.stateOf(name, incarnation)
			if s.version >= version {
				continue
			}
			remaining := s.lapsesAt - now
			// A dispatcher in mode serve acts on the last version it received for as long as it is cut off, so the expiry
			// of its lease proves nothing.
			neverLapses := m.Mode == Serve && incarnation == m.Incarnation
			if neverLapses || remaining > 0 {
				out = append(out, Straggler{Name: name, Incarnation: incarnation, Version: s.version, Remaining: remaining, NeverLapses: neverLapses})
			}
		}
	}
	return out
}

// LapsedIncarnations returns the former incarnations, by dispatcher, whose leases have certainly expired.
func (r *Tracker) LapsedIncarnations(now time.Duration, members map[string]Member) map[string][]uint64 {
	out := map[string][]uint64{}
	for name, m := range members {
		for _, incarnation := range m.FormerIncarnations {
			if r.stateOf(name, incarnation).lapsesAt <= now {
				out[name] = append(out[name], incarnation)
			}
		}
	}
	return out
}

// HasLapsed reports whether every lease of an incarnation has certainly expired.
func (r *Tracker) HasLapsed(now time.Duration, name string, incarnation uint64) bool {
	return r.stateOf(name, incarnation).lapsesAt <= now
}

// LastBeat returns when this leader received the last beat of an incarnation, and the newest version reported as applied.
// If there was no beat in this term, ok is false.
func (r *Tracker) LastBeat(name string, incarnation uint64) (at time.Duration, version uint64, ok bool) {
	s := r.states[incarnationKey{name, incarnation}]
	if s == nil || !s.reported {
		return 0, 0, false
	}
	return s.lastBeat, s.version, true
}

// Clone returns an independent copy.
func (r *Tracker) Clone() *Tracker {
	clone := &Tracker{terms: r.terms, startedAt: r.startedAt, states: make(map[incarnationKey]*incarnationState, len(r.states))}
	for k, s := range r.states {
		copied := *s
		clone.states[k] = &copied
	}
	return clone
}
