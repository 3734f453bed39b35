package ruleset

import (
	"slices"

	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/logic"
)

// View is a document in the form that a dispatcher applies. It is immutable.
type View struct {
	Document      Document
	cordonsByHost map[string][]cordon.Cordon
}

// NewView returns the view of a document.
func NewView(d Document) *View {
	v := &View{Document: d, cordonsByHost: map[string][]cordon.Cordon{}}
	for _, o := range d.Rules.Cordons {
		v.cordonsByHost[o.Host] = append(v.cordonsByHost[o.Host], o)
	}
	return v
}

// UnsupportedKinds lists the kinds of rules in a document that are not among the supported ones.
func UnsupportedKinds(d Document, supported []string) []string {
	return slices.DeleteFunc(d.RuleKinds(), func(k string) bool { return slices.Contains(supported, k) })
}

// Version returns the document's version.
func (v *View) Version() uint64 { return v.Document.Head.Version }

// AllowsNewWork reports whether an incarnation of a server, identified by its start time born, may receive new work.
func (v *View) AllowsNewWork(host string, born int64) bool {
	for _, o := range v.cordonsByHost[host] {
		if o.Covers(host, born) {
			return false
		}
	}
	return true
}

// IsPlanned reports whether a dispatch is still in the rules.
func (v *View) IsPlanned(name string) bool {
	_, ok := v.Document.Rules.Dispatches[name]
	return ok
}

// LiftedAt returns when a server's cordon was lifted, in Unix milliseconds; 0 if none was lifted recently.
func (v *View) LiftedAt(host string) int64 { return v.Document.Rules.Lifted[host] }

// RestrictState returns the listed state of a server, or Draining if the server is ready and a cordon closes it.
func (v *View) RestrictState(host string, born int64, listed logic.ServerState) logic.ServerState {
	if listed == logic.Ready && !v.AllowsNewWork(host, born) {
		return logic.Draining
	}
	return listed
}

// RestrictRelease restricts the platform's release status: the exposure of a build on trial stays within the ceiling, and
// without a full lease the build gets no traffic.
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

// RestrictVote turns a vote to advance a build into a hold during a freeze or without a full lease.
func (v *View) RestrictVote(vote logic.Vote, permission lease.Permission) logic.Vote {
	if vote.Verdict == logic.VoteAdvance && (v.Document.Rules.Freeze != nil || permission != lease.Full) {
		vote.Verdict = logic.VoteHold
	}
	return vote
}
