package registrar

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/schedule"
	"merlinarch/internal/decide/statemachine"
)

// newLeadingNode returns a node that counts as the leader in term 1, without a Raft group.
func newLeadingNode(t testing.TB) *node {
	t.Helper()
	o := testOptions(t.TempDir())
	o.WallClock, o.Schedule = time.Now, schedule.DefaultSettings()
	if err := Init(o); err != nil {
		t.Fatal(err)
	}
	store, err := openStore(o.storePath())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.close() })
	ctx, stop := context.WithCancel(t.Context())
	inbox, counters := newMailbox[any](), metrics.NewSet()
	peers := newPeers(ctx, o, store.id, inbox, counters)
	t.Cleanup(peers.tasks.Wait)
	t.Cleanup(stop)
	n, err := newNode(o, store, peers, inbox, newMailbox[storeRequest](), counters, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	n.leading, n.appliedOwnTerm, n.term, n.leases = true, true, 1, lease.NewTracker(o.Terms, 0)
	return n
}

// entriesOfAllKinds returns entries that change each part of the replicated state, with those that are needed first.
func entriesOfAllKinds(n *node) []statemachine.Entry {
	version := func() uint64 { return n.state.Ruleset.Document.Head.Version }
	key := 0
	change := func(base uint64, changes ...ruleset.Change) statemachine.Entry {
		key++
		return statemachine.Entry{ChangeRequest: &ruleset.ChangeRequest{Key: fmt.Sprint(key), BaseVersion: base, Author: "a", Reason: "r", Changes: changes,
			Forced: true, Evidence: []cordon.Server{{Host: "s-1"}, {Host: "s-2"}, {Host: "s-3"}}}}
	}
	base := version()
	now := time.Now()
	work := &ruleset.Dispatch{Site: "a", Class: "post", Target: "/", Earliest: 1, Latest: now.Add(time.Hour).UnixMilli(), Worth: 1, ExpectedDurationMs: 50}
	value := 0.5
	return []statemachine.Entry{
		{Enrol: &statemachine.Enrol{Name: "n0", Token: "t", Mode: lease.Hold, KnownKinds: ruleset.SupportedKinds, Site: "a"}},
		change(base, ruleset.Change{Kind: ruleset.KindDispatch, Name: "d", Dispatch: work}, ruleset.Change{Kind: ruleset.KindDispatch, Name: "e", Dispatch: work},
			ruleset.Change{Kind: ruleset.KindWorth, Name: "post", Value: &value}),
		{Activate: &statemachine.Activate{Version: base + 1}},
		{Claim: &statemachine.Claim{Dispatch: "d", Name: "n0", Incarnation: 1, WindowMs: 6000}},
		{Observed: &statemachine.Observed{States: map[string]contact.State{"a": contact.Up}}},
		{Outcome: &statemachine.Outcome{Dispatch: "d", Fence: 1}},
		{Claim: &statemachine.Claim{Dispatch: "d", Name: "n0", Incarnation: 1, WindowMs: 6000}},
		{Reclaim: &statemachine.Reclaim{Dispatch: "d", Fence: 2}},
		{Drop: &statemachine.Drop{Dispatch: "e", Reason: "late"}},
		change(base+2, ruleset.Change{Kind: ruleset.KindCordon, Cordon: &cordon.Target{Host: "s-1"}, DurationMs: 5000}),
		{Confirm: &statemachine.Confirm{Cordon: "s-1", Version: base + 3, Total: 1}},
		{Elapsed: &statemachine.Elapsed{Ms: 1000}},
		change(base+3, ruleset.Change{Kind: ruleset.KindLift, Name: "s-1"}, ruleset.Change{Kind: ruleset.KindExpect, Name: "n1"},
			ruleset.Change{Kind: ruleset.KindSite, Name: "a", Site: &ruleset.Site{Outages: []ruleset.Span{{From: 1, Until: 2}}}}),
		{Activate: &statemachine.Activate{Version: base + 4}},
		change(base+5, ruleset.Change{Kind: ruleset.KindWithdraw, Name: "d"}, ruleset.Change{Kind: ruleset.KindFreeze}),
		{Enrol: &statemachine.Enrol{Name: "n0", Token: "u", Mode: lease.Hold, KnownKinds: ruleset.SupportedKinds, Site: "a"}},
		{Forget: &statemachine.Forget{Incarnations: map[string][]uint64{"n0": {1}}}},
		{Retire: &statemachine.Retire{Name: "n0", Author: "a", Reason: "r", Forced: true}},
	}
}

// An answer that was handed to the goroutine of its request, which encodes it, doesn't change with the entries that the node
// applies afterwards. It guards against a registrar that ends with "concurrent map iteration and map write".
func TestAnswersDoNotShareTheState(t *testing.T) {
	n := newLeadingNode(t)
	encode := func(answer any) string {
		text, err := json.Marshal(answer)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	type handedOut struct {
		name, text string
		answer     any
	}
	var answers []handedOut
	handOut := func(name string, answer any) {
		answers = append(answers, handedOut{name, encode(answer), answer})
	}
	for i, e := range entriesOfAllKinds(n) {
		e.Term, e.At = 1, int64(1000+i)
		if r := n.state.Apply(e, 1); r.Refused != "" {
			t.Fatalf("entry %d: %s %s", i, r.Refused, r.Answer.Text)
		}
		n.state.ReplaceRegistrar(fmt.Sprint("r", i%4), statemachine.Registrar{ID: uint64(100 + i), Addr: "127.0.0.1:1"})
		n.publish()
		for _, a := range answers {
			if now := encode(a.answer); now != a.text {
				t.Errorf("after entry %d %s reads\n%s\nbefore\n%s", i, a.name, now, a.text)
			}
		}
		handOut(fmt.Sprint("the status after entry ", i), n.status())
		view := n.published.Load()
		handOut(fmt.Sprint("the watched version after entry ", i), accord.WatchResponse{Document: &view.document})
		handOut(fmt.Sprint("the registrars after entry ", i), view.registrars)
		if m, ok := n.state.Members["n0"]; ok && m.Incarnation != 0 {
			handOut(fmt.Sprint("the lease after entry ", i), n.grantLease(&accord.Beat{Name: "n0", Incarnation: m.Incarnation}, time.Second))
		}
	}
}

// A leader plans nothing before it knows the time on which most clocks agree. It guards against work that is given up by a plan
// that was made with a wrong clock and is acted upon once the clocks agree.
func TestNoPlanWhileClocksAreInDoubt(t *testing.T) {
	n := newLeadingNode(t)
	for i, e := range entriesOfAllKinds(n)[:3] { // work is planned
		e.Term, e.At = 1, int64(1000+i)
		if r := n.state.Apply(e, 1); r.Refused != "" {
			t.Fatal(r.Refused)
		}
	}
	if n.requestPlan(); n.planning {
		t.Error("a plan is made by a clock that no other one confirms")
	}
	for _, r := range n.state.Registrars {
		recordOffset(n, n.peerClockOffsets, r.ID, time.Now().Add(-time.Hour).UnixMilli())
	}
	recordOffset(n, n.clockOffsets, "n0", time.Now().Add(-time.Hour).UnixMilli())
	n.time = agreedTime{}
	if n.requestPlan(); !n.planning {
		t.Error("no plan is made although most clocks agree")
	}
	if off := time.Duration(n.unixMs()-time.Now().UnixMilli()) * time.Millisecond; (off + time.Hour).Abs() > time.Second {
		t.Errorf("the time is off by %v, want that of most clocks, an hour behind", off)
	}
}

// BenchmarkStatus measures what a status costs the node, by the number of sites with forecasts.
func BenchmarkStatus(b *testing.B) {
	for _, sites := range []int{2, 20} {
		b.Run(fmt.Sprint(sites, " sites"), func(b *testing.B) {
			n := newLeadingNode(b)
			now := time.Now().UnixMilli()
			for site := range sites {
				for second := range int64(160) { // it flaps each 20 s
					n.state.Forecaster.Observe(now-160_000+second*1000, fmt.Sprint("site-", site), contact.Up+contact.State(second/20%2)*(contact.Down-contact.Up), nil)
				}
			}
			for b.Loop() {
				n.status()
			}
		})
	}
}
