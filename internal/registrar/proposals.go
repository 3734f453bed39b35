package registrar

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/statemachine"
)

// propose proposes an entry to the Raft group; reply is called once it is applied, or can't be.
func (n *node) propose(e statemachine.Entry, reply func(any)) {
	switch {
	case !n.leading:
		reply(n.notLeader())
		return
	case !n.appliedOwnTerm || len(n.replies) >= maxProposals:
		reply(accord.NewProblem(accord.CodeBusy, "the leader has just been elected or is overloaded"))
		return
	}
	if e.ChangeRequest != nil && e.ChangeRequest.Author != "" {
		e.ChangeRequest.Evidence = nil
		if slices.ContainsFunc(e.ChangeRequest.Changes, func(c ruleset.Change) bool { return c.Kind == ruleset.KindCordon }) {
			// A leader that was just elected has no list of servers yet, and would take every server for unknown.
			if e.ChangeRequest.Evidence = n.mergedServers(); len(n.serverLists) == 0 && n.opts.Clock.Now() < n.leaderSince+n.opts.Terms.Length {
				reply(accord.NewProblem(accord.CodeBusy, "no dispatcher has reported its servers to this leader yet"))
				return
			}
		}
		if problem := n.findUnsupported(e.ChangeRequest); problem != nil {
			reply(problem)
			return
		}
	}
	e.Term, e.At = n.term, n.unixMs()
	entry, err := json.Marshal(e)
	var data []byte
	n.lastRef++
	ref := fmt.Sprintf("%x-%d-%d", n.id.ID, n.id.Boots, n.lastRef)
	if err == nil {
		data, err = json.Marshal(envelope{ref, entry})
	}
	if err != nil {
		reply(accord.NewProblem(accord.CodeInvalid, err.Error()))
		return
	}
	if err := n.rawNode.Propose(data); err != nil {
		reply(accord.NewProblem(accord.CodeBusy, err.Error()))
		return
	}
	n.replies[ref] = reply
	n.counters.GetOrCreateCounter("registrar_proposals_total").Inc()
}

// findUnsupported returns the refusal of a request with a kind of rule that some dispatcher doesn't understand, or nil if
// there is none or the request is forced.
func (n *node) findUnsupported(request *ruleset.ChangeRequest) *accord.Problem {
	for name, m := range n.state.Members {
		for _, c := range request.Changes {
			known := slices.Contains(ruleset.SupportedKinds, string(c.Kind)) // other kinds are refused when the entry is applied
			if m.Incarnation != 0 && known && !request.Forced && !slices.Contains(m.KnownKinds, string(c.Kind)) {
				return accord.NewProblem(accord.CodeInvalid, fmt.Sprintf("dispatcher %s does not understand rules of kind %.40q: it would lose its lease", name, string(c.Kind)))
			}
		}
	}
	return nil
}

// mergedServers merges the lists of servers of the active dispatchers.
func (n *node) mergedServers() []cordon.Server {
	lists := map[string][]cordon.Server{}
	for name, l := range n.serverLists {
		if n.isActive(name) {
			lists[name] = l.servers
		}
	}
	return cordon.MergeLists(lists)
}

// isActive reports whether a dispatcher may still hold a lease. What an inactive one reported doesn't count as
// evidence.
func (n *node) isActive(name string) bool {
	m, ok := n.state.Members[name]
	return ok && m.Incarnation != 0 && !n.leases.HasLapsed(n.opts.Clock.Now(), name, m.Incarnation)
}

// leaderView is what this leader knows beyond the replicated state.
func (n *node) leaderView() statemachine.LeaderView {
	now := n.opts.Clock.Now()
	hostEvidence := map[string][]cordon.Evidence{}
	for name, r := range n.hostEvidence {
		if n.isActive(name) {
			hostEvidence[name] = r
		}
	}
	siteEvidence := map[string][]contact.Evidence{}
	for name, e := range n.siteEvidence {
		if now-e.receivedAt <= 2*n.opts.Terms.Beat {
			siteEvidence[name] = e.evidence
		}
	}
	return statemachine.LeaderView{Leases: n.leases, Now: now, ListServers: n.mergedServers, Evidence: hostEvidence, AutoCordon: n.opts.AutoCordon, Elapsed: now - n.expiryCountedUntil,
		SiteStates: contact.MergeEvidence(siteEvidence), UnixMs: n.unixMs(), Plan: n.plan, ClockInDoubt: n.clockInDoubt(), RepeatWindows: n.repeatWindows, Draining: n.draining}
}

// proposeDue proposes the entries that are due by now, unless some are still uncommitted. It asks for the next plan of
// dispatches once the entries of the one before are committed, so that each plan rests on what came of it.
func (n *node) proposeDue() {
	if !n.leading || !n.appliedOwnTerm || !n.dueMayHaveChanged || n.dueInFlight > 0 {
		return
	}
	view := n.leaderView()
	n.dueMayHaveChanged, n.plan = false, nil
	for _, e := range n.state.Due(view) {
		if e.Elapsed != nil {
			n.expiryCountedUntil += time.Duration(e.Elapsed.Ms) * time.Millisecond
		}
		n.dueInFlight++
		n.propose(e, func(v any) {
			n.dueInFlight = max(0, n.dueInFlight-1)
			if r, ok := v.(statemachine.Result); ok && e.Confirm != nil && r.Refused == "" {
				n.log.Info("cordon confirmed", zap.String("cordon", e.Confirm.Cordon), zap.Strings("lapsed", e.Confirm.Lapsed))
			}
		})
	}
	if view.Plan == nil { // otherwise its claims are still to be committed
		n.requestPlan()
	}
}

// failAll refuses all requests that wait. A proposal may still be committed; asking again with the same key returns its
// outcome.
func (n *node) failAll(reason string) {
	n.failReads(reason)
	waiting := n.replies
	n.replies = map[string]func(any){}
	for _, reply := range waiting {
		reply(accord.NewProblem(accord.CodeBusy, reason+": the change may still be committed; retry with the same key"))
	}
}

// reply answers whoever waits on this registrar for the entry with this reference.
func (n *node) reply(ref string, v any) {
	if reply := n.replies[ref]; reply != nil {
		delete(n.replies, ref)
		reply(v)
	}
}
