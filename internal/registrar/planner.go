package registrar

import (
	"context"
	"time"

	"merlinarch/internal/decide/statemachine"
)

// planRequest asks the planner for a plan, on behalf of the leader of a term.
type planRequest struct {
	term  uint64
	input statemachine.PlanInput
}

// planResult is the planner's answer, a message to the node.
type planResult struct {
	term uint64
	plan *statemachine.Plan
	took time.Duration
}

// runPlanner plans dispatches until ctx ends. It runs as a goroutine of its own: a plan of many dispatches takes seconds, in
// which the node has to answer beats and its peers.
func runPlanner(ctx context.Context, requests <-chan planRequest, inbox *mailbox[any]) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-requests:
			started := time.Now()
			plan := request.input.Compute()
			inbox.put(planResult{request.term, plan, time.Since(started)})
		}
	}
}

// requestPlan asks for a plan of the present state, unless one is being made or the clocks are in doubt: what a plan gives up by
// a wrong time would be given up once they are not. It rests after each plan for as long as the plan
// took, so that planning takes half of a core at most.
func (n *node) requestPlan() {
	if n.planning || n.opts.Clock.Now() < n.nextPlanAt || n.clockInDoubt() {
		return
	}
	input, needed := n.state.PlanInput(n.unixMs(), n.opts.Schedule)
	if !needed {
		return
	}
	n.planning = true
	n.planRequests <- planRequest{n.term, input} // has room, since no other request is in progress
}

// receivePlan keeps a plan for the next look at what is due. Plans for the leader of an earlier term are dropped.
func (n *node) receivePlan(m planResult) {
	n.planning, n.nextPlanAt = false, n.opts.Clock.Now()+m.took
	n.counters.GetOrCreateHistogram("registrar_plan_seconds").Update(m.took.Seconds())
	if n.leading && m.term == n.term {
		n.plan, n.dueMayHaveChanged = m.plan, true
	}
}

// siteStatusInterval is how often the forecasts in a status are made anew: one takes up to 0.2 ms of the node's time a site.
const siteStatusInterval = time.Second

// siteStatuses returns the statuses of sites, as of siteStatusInterval ago at most. The map is never changed.
func (n *node) siteStatuses() map[string]statemachine.SiteStatus {
	if now := n.opts.Clock.Now(); n.sites == nil || now-n.sitesAt >= siteStatusInterval {
		n.sites, n.sitesAt = n.state.SiteStatuses(n.unixMs()), now
	}
	return n.sites
}
