package ruleset

import (
	"slices"

	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/logic"
)

// View is a document as a dispatcher acts on it. It is never changed once made.
type View struct {
	Document Document
	cordons  map[string][]cordon.Cordon // by host
}

// NewView reads a document.
func NewView(d Document) *View {
	v := &View{Document: d, cordons: map[string][]cordon.Cordon{}}
	for _, o := range d.Rules.Cordons {
		v.cordons[o.Host] = append(v.cordons[o.Host], o)
	}
	return v
}

// Unknown lists the kinds of rules in a document that a program which knows some does not understand.
func UnsupportedKinds(d Document, knows []string) []string {
	return slices.DeleteFunc(d.RuleKinds(), func(k string) bool { return slices.Contains(knows, k) })
}

// Version is the document's.
func (v *View) Version() uint64 { return v.Document.Head.Version }

// Open tells whether a life of a server may be sent new work.
func (v *View) AllowsNewWork(host string, born int64) bool {
	for _, o := range v.cordons[host] {
		if o.Covers(host, born) {
			return false
		}
	}
	return true
}

// Planned tells whether a piece of planned work is still to be done.
func (v *View) IsPlanned(name string) bool {
	_, ok := v.Document.Rules.Dispatches[name]
	return ok
}

// LiftedAt tells when a server's cordon was lifted, in Unix milliseconds; 0: not of late.
func (v *View) LiftedAt(host string) int64 { return v.Document.Rules.Lifted[host] }

// State is a server's place in its life as its list tells, narrowed by the rules.
func (v *View) RestrictState(host string, born int64, listed logic.ServerState) logic.ServerState {
	if listed == logic.Ready && !v.AllowsNewWork(host, born) {
		return logic.Draining
	}
	return listed
}

// Release narrows the platform's news: the exposure of a build on trial keeps under the ceiling, and without a lease
// nothing goes to it.
func (v *View) RestrictRelease(s logic.ReleaseStatus, c lease.Permission) logic.ReleaseStatus {
	if s.Phase != logic.OnTrial {
		return s
	}
	if t := v.Document.Rules.Ceiling; t != nil {
		s.Cap = min(s.Cap, *t)
	}
	if c != lease.Full {
		s.Cap = 0
	}
	return s
}

// Vote narrows a vote: during a freeze, and without a lease, none takes a build further.
func (v *View) RestrictVote(x logic.Vote, c lease.Permission) logic.Vote {
	if x.Verdict == logic.VoteAdvance && (v.Document.Rules.Freeze != nil || c != lease.Full) {
		x.Verdict = logic.VoteHold
	}
	return x
}
