package ruleset

import (
	"slices"

	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/logic"
)

// View is a document as a dispatcher acts on it. It is never changed once made.
type View struct {
	Document      Document
	cordonsByHost map[string][]cordon.Cordon // by host
}

// NewView reads a document.
func NewView(d Document) *View {
	v := &View{Document: d, cordonsByHost: map[string][]cordon.Cordon{}}
	for _, o := range d.Rules.Cordons {
		v.cordonsByHost[o.Host] = append(v.cordonsByHost[o.Host], o)
	}
	return v
}

// Unknown lists the kinds of rules in a document that a program which knows some does not understand.
func UnsupportedKinds(d Document, supported []string) []string {
	return slices.DeleteFunc(d.RuleKinds(), func(k string) bool { return slices.Contains(supported, k) })
}

// Version is the document's.
func (v *View) Version() uint64 { return v.Document.Head.Version }

// Open tells whether a life of a server may be sent new work.
func (v *View) AllowsNewWork(host string, born int64) bool {
	for _, o := range v.cordonsByHost[host] {
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
func (v *View) RestrictRelease(status logic.ReleaseStatus, permission lease.Permission) logic.ReleaseStatus {
	if status.Phase != logic.OnTrial {
		return status
	}
	if ceiling := v.Document.Rules.Ceiling; ceiling != nil {
		status.Cap = min(status.Cap, *ceiling)
	}
	if permission != lease.Full {
		status.Cap = 0
	}
	return status
}

// Vote narrows a vote: during a freeze, and without a lease, none takes a build further.
func (v *View) RestrictVote(vote logic.Vote, permission lease.Permission) logic.Vote {
	if vote.Verdict == logic.VoteAdvance && (v.Document.Rules.Freeze != nil || permission != lease.Full) {
		vote.Verdict = logic.VoteHold
	}
	return vote
}
