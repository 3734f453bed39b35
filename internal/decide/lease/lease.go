// Package lease decides how long a dispatcher may act on the rules that it holds, and when a registrar may take it for
// certain that one no longer does.
//
// A dispatcher asks the registrars again and again. What they grant counts from the moment when its asking was sent,
// by the asker's own clock, and is for the newest version that was agreed when the asking was heard, and for no other.
// The leader proves by a round over a majority, begun after it heard the asking, that nobody has agreed on anything
// newer without it. So a lease on a version never outlasts the agreement on the next one by more than its own length,
// whoever led meanwhile, and no clock is compared with another; only rates are. See docs/accord.md for the proof.
package lease

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Terms are what all dispatchers and registrars of a cluster are set to.
type Terms struct {
	Length  time.Duration // of a lease, on the dispatcher's clock
	Longest time.Duration // what a lease may grow to for a site about to be cut off; at least Length
	Beat    time.Duration // a dispatcher asks so often
	Send    time.Duration // from the check of a lease until the attempt's last byte is with the kernel
	Drift   float64       // a clock runs at a rate from 1-Drift to 1+Drift of true time
}

// DefaultTerms are for dispatchers a local network away from their registrars.
func DefaultTerms() Terms {
	return Terms{Length: 3 * time.Second, Longest: 3 * time.Second, Beat: 750 * time.Millisecond, Send: 250 * time.Millisecond, Drift: 0.1}
}

// Check tells what is wrong with terms.
func (t Terms) Check() error {
	switch {
	case t.Beat <= 0 || t.Send <= 0:
		return fmt.Errorf("beat and send: expected more than 0s, got %v and %v", t.Beat, t.Send)
	case t.Length < 3*t.Beat: // two askings in a row may be lost
		return fmt.Errorf("lease: expected at least three beats (%v), got %v", 3*t.Beat, t.Length)
	case t.Longest < t.Length:
		return fmt.Errorf("longest_lease: expected at least the lease (%v), got %v", t.Length, t.Longest)
	case t.Drift < 0 || t.Drift >= 0.5:
		return fmt.Errorf("drift: expected 0 to under 0.5, got %g", t.Drift)
	}
	return nil
}

// Bound is D: no dispatcher starts an attempt under a version older than the newest agreed one later than this after
// that one was agreed, in true time. A dispatcher whose clock is slow counts its lease long.
func (t Terms) StalenessBound() time.Duration { return t.bound(t.Length) }

// BoundOf is D for a dispatcher that was granted a lease of another length.
func (t Terms) StalenessBoundFor(length time.Duration) time.Duration { return t.bound(length) }

func (t Terms) bound(length time.Duration) time.Duration {
	return time.Duration(float64(length)/(1-t.Drift)) + t.Send
}

// Wait is how long a registrar waits, on its own clock, from hearing an asking until the lease that it may have given
// rise to is over for certain. A registrar whose clock is fast counts true time short.
func (t Terms) ExpiryWait(length time.Duration) time.Duration {
	return time.Duration(float64(t.bound(length)) * (1 + t.Drift))
}

// Mode is what a dispatcher does without a lease.
type Mode string

// Modes.
const (
	Hold  Mode = "hold"  // nothing new is sent: requests are refused at once
	Serve Mode = "serve" // the last version taken in goes on, without builds on trial and without dispatches
)

// Conduct is what a dispatcher may do at a moment.
type Permission int

// Conducts.
const (
	Full  Permission = iota // all that the version it holds allows
	Stale                   // mode Serve, without a lease: ordinary requests at builds that are not on trial
	None                    // nothing new is sent
)

// Holder is a dispatcher's side. It is not safe for use by several goroutines.
type Holder struct {
	Mode    Mode
	version uint64 // taken in; 0: none yet in this life
	until   time.Duration
	granted bool
}

// Took notes that a version has been taken in: from now on nothing starts under an older one.
func (h *Holder) Advance(version uint64) { h.version = max(h.version, version) }

// Version is the newest version taken in.
func (h *Holder) Version() uint64 { return h.version }

// Granted notes a lease on a version, counted from when its asking was sent. A lease on a version that was not taken
// in is worth nothing, and answers that come in another order never shorten what stands.
func (h *Holder) RecordGrant(asked time.Duration, version uint64, length time.Duration) bool {
	if version == 0 || version > h.version || length <= 0 {
		return false
	}
	if until := asked + length; !h.granted || until > h.until {
		h.granted, h.until = true, until
	}
	return true
}

// Stands tells whether a lease stands, and for how long yet.
func (h *Holder) Remaining(now time.Duration) (left time.Duration, ok bool) {
	return h.until - now, h.granted && now < h.until
}

// Lost notes that the record knows this life no more. Danger: whom the record does not name is waited for by nobody.
func (h *Holder) Revoke() { h.granted = false }

// Conduct is what may be done now. A process that was granted no lease yet does nothing in either mode, whatever it has
// heard of the rules: what it held in an earlier life may have been replaced, and a cordon may be confirmed without it.
func (h *Holder) Permission(now time.Duration) Permission {
	_, stands := h.Remaining(now)
	switch {
	case stands:
		return Full
	case h.Mode == Serve && h.granted:
		return Stale
	default:
		return None
	}
}

// Member is a dispatcher in the agreed record.
type Member struct {
	Incarnation        uint64   `json:"life"`             // its number of this life; a later one replaces it
	Token              string   `json:"token"`            // that it chose at its start, so that a repeated asking gets one life
	Mode               Mode     `json:"mode"`             // as it is set to
	FormerIncarnations []uint64 `json:"former,omitempty"` // lives that may still hold leases; bounded by Formers
	KnownKinds         []string `json:"knows,omitempty"`  // kinds of rules that it understands
	Site               string   `json:"site,omitempty"`
}

// Formers bounds the former lives that are kept of one dispatcher: one that restarts faster than its leases lapse
// waits until there is room.
const MaxFormerIncarnations = 16

type seen struct {
	at    time.Duration // an asking was last heard
	over  time.Duration // no lease that it was granted stands from then on
	holds uint64
	heard bool // by this leader
}

type lifeKey struct {
	name string
	life uint64
}

// Roll is a leader's side: what it has heard from each life of each dispatcher since it began to lead. It lives and dies
// with one term of leadership.
type Tracker struct {
	terms Terms
	begun time.Duration
	seen  map[lifeKey]*seen
}

// NewRoll begins a term of leadership. Danger: an earlier leader may have granted leases that this one never heard of;
// until the longest of them is over, none counts as lapsed.
func NewTracker(terms Terms, now time.Duration) *Tracker {
	return &Tracker{terms: terms, begun: now, seen: map[lifeKey]*seen{}}
}

func (r *Tracker) of(name string, life uint64) *seen {
	k := lifeKey{name, life}
	s := r.seen[k]
	if s == nil {
		s = &seen{at: r.begun, over: r.begun + r.terms.ExpiryWait(r.terms.Longest)}
		r.seen[k] = s
	}
	return s
}

// Asked notes an asking that was heard now, and what its sender had taken in by then; length is the longest lease that
// may be granted for it. It has to be called before anything is granted.
func (r *Tracker) RecordBeat(now time.Duration, name string, life, holds uint64, length time.Duration) {
	s := r.of(name, life)
	s.at, s.over = now, max(s.over, now+r.terms.ExpiryWait(length))
	s.holds, s.heard = max(s.holds, holds), true
}

// Missing is a life of a dispatcher that may yet act on an older version.
type Straggler struct {
	Name        string        `json:"name"`
	Incarnation uint64        `json:"life"`
	Version     uint64        `json:"holds"`           // 0: not heard of since this leader began
	Remaining   time.Duration `json:"left_ns"`         // until its lease is over for certain; negative: it has to say so itself
	NeverLapses bool          `json:"never,omitempty"` // mode serve: no lapse counts
}

// Missing tells who may yet act on a version older than the one given, in order of names.
func (r *Tracker) Stragglers(now time.Duration, members map[string]Member, version uint64) []Straggler {
	var out []Straggler
	for _, name := range slices.Sorted(maps.Keys(members)) {
		m := members[name]
		for _, life := range append(slices.Clone(m.FormerIncarnations), m.Incarnation) {
			s := r.of(name, life)
			if s.holds >= version {
				continue
			}
			left := s.over - now
			// Danger: who serves on without a lease acts on what it last heard for as long as it is cut off.
			never := m.Mode == Serve && life == m.Incarnation
			if never || left > 0 {
				out = append(out, Straggler{Name: name, Incarnation: life, Version: s.holds, Remaining: left, NeverLapses: never})
			}
		}
	}
	return out
}

// Lapsed lists the former lives whose leases are over for certain.
func (r *Tracker) LapsedIncarnations(now time.Duration, members map[string]Member) map[string][]uint64 {
	out := map[string][]uint64{}
	for name, m := range members {
		for _, life := range m.FormerIncarnations {
			if r.of(name, life).over <= now {
				out[name] = append(out[name], life)
			}
		}
	}
	return out
}

// Over tells whether no lease of a life stands for certain.
func (r *Tracker) HasLapsed(now time.Duration, name string, life uint64) bool {
	return r.of(name, life).over <= now
}

// Heard tells when a life was last heard of by this leader, and what it holds.
func (r *Tracker) LastBeat(name string, life uint64) (at time.Duration, holds uint64, ok bool) {
	s := r.seen[lifeKey{name, life}]
	if s == nil || !s.heard {
		return 0, 0, false
	}
	return s.at, s.holds, true
}

// Agreed is how far a leader's wall clock is off from what it and the dispatchers have together: the median, so that one
// that was set wrong, its own too, moves nothing. Leases do not go by it; expiries of cordons do not either.
func MedianOffset(off []time.Duration) time.Duration {
	all := append(slices.Clone(off), 0)
	slices.Sort(all)
	return all[len(all)/2]
}

// Clone is a copy that goes its own way.
func (r *Tracker) Clone() *Tracker {
	c := &Tracker{terms: r.terms, begun: r.begun, seen: make(map[lifeKey]*seen, len(r.seen))}
	for k, s := range r.seen {
		x := *s
		c.seen[k] = &x
	}
	return c
}
