package statemachine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/schedule"
)

var terms = lease.DefaultTerms()

func threeServers() []cordon.Server {
	return []cordon.Server{{Host: "a", Build: 1, Weight: 1}, {Host: "b", Build: 1, Weight: 1}, {Host: "c", Build: 1, Weight: 1}}
}

// applyChange applies a change request of an operator.
func (s *State) applyChange(term uint64, key string, c ruleset.Change) Result {
	return s.Apply(Entry{Term: term, At: 1000, ChangeRequest: &ruleset.ChangeRequest{Key: key, BaseVersion: s.Ruleset.Document.Head.Version, Author: "a", Reason: "r",
		Changes: []ruleset.Change{c}, Evidence: threeServers()}}, term)
}

func cordonChange(host string, ms int64) ruleset.Change {
	return ruleset.Change{Kind: ruleset.KindCordon, Cordon: &cordon.Target{Host: host}, DurationMs: ms}
}

func enrolEntry(name, token string, m lease.Mode) Entry {
	return Entry{Enrol: &Enrol{Name: name, Token: token, Mode: m}}
}

// applyDue applies all due entries, and returns their number.
func (s *State) applyDue(t *testing.T, term uint64, w LeaderView) int {
	t.Helper()
	due := s.Due(w)
	for _, e := range due {
		e.Term, e.At = term, 1000
		if r := s.Apply(e, term); r.Refused != "" {
			t.Errorf("%+v: %s", e, r.Refused)
		}
	}
	return len(due)
}

// A cordon is confirmed once all dispatchers have reported its version. When its time has elapsed, it is lifted, also once all
// have reported the version that announces the lift.
func TestConfirmLiftExpire(t *testing.T) {
	s := New(cordon.Budget{Share: 1}, 1000)
	for i, name := range []string{"n0", "n1"} {
		if r := s.Apply(enrolEntry(name, "t", lease.Hold), 1); r.Incarnation != uint64(i+1) {
			t.Fatalf("wrong incarnation at an enrolment: %+v", r)
		}
	}
	w := LeaderView{Leases: lease.NewTracker(terms, 0), ListServers: threeServers}
	if r := s.applyChange(1, "1", cordonChange("a", 5000)); r.Answer.Refused != "" || r.Step == nil {
		t.Fatalf("the cordon is refused: %+v", r)
	}
	v := s.CordonVersions["a"]
	w.Leases.RecordBeat(0, "n0", 1, v, terms.Length)
	if n := s.applyDue(t, 1, w); n != 0 || s.Cordons(w)[0].State != cordon.Propagating || s.Cordons(w)[0].Reached != 1 || len(s.Cordons(w)[0].Stragglers) != 1 {
		t.Errorf("%d due, %+v", n, s.Cordons(w))
	}
	w.Leases.RecordBeat(0, "n1", 2, v, terms.Length)
	s.applyDue(t, 1, w)
	if c := s.Cordons(w)[0]; c.State != cordon.Confirmed || c.Confirmed.Total != 2 || len(c.Confirmed.Lapsed) != 0 {
		t.Errorf("not confirmed for both dispatchers: %+v", c)
	}
	// Time counts towards its expiry by the leader's clock, whatever wall clocks show.
	for range 3 {
		w.Elapsed = 2 * time.Second
		s.applyDue(t, 1, w)
	}
	w.Elapsed = 0
	s.applyDue(t, 1, w)
	if c := s.Cordons(w)[0]; c.State != cordon.Lifting || s.Ruleset.Document.Pending[0].Reason != "its time is over" {
		t.Fatalf("an expired cordon is not being lifted: %+v", c)
	}
	if _, ok := s.Confirmed["a"]; ok {
		t.Error("a cordon about to be lifted is still listed as confirmed")
	}
	v = s.Ruleset.NewestPending()
	w.Leases.RecordBeat(0, "n0", 1, v, terms.Length)
	if s.applyDue(t, 1, w); len(s.Cordons(w)) != 1 {
		t.Error("lifted before all dispatchers have reported the version")
	}
	w.Leases.RecordBeat(0, "n1", 2, v, terms.Length)
	if s.applyDue(t, 1, w); len(s.Cordons(w)) != 0 || len(s.RemainingMs) != 0 || len(s.CordonVersions) != 0 {
		t.Errorf("not lifted: %+v", s)
	}
}

// A leader's confirmation counts only in its own term, and only for the version of the cordon that it was made for.
func TestConfirmationFromAnotherTerm(t *testing.T) {
	s := New(cordon.Budget{Share: 1}, 1000)
	s.applyChange(1, "1", cordonChange("a", 0))
	confirm := Entry{Term: 1, Confirm: &Confirm{Cordon: "a", Version: 2}}
	if r := s.Apply(confirm, 2); r.Refused == "" || len(s.Confirmed) != 0 {
		t.Errorf("a confirmation from another term counts: %+v", r)
	}
	s.applyChange(1, "2", ruleset.Change{Kind: ruleset.KindLift, Name: "a"})
	if r := s.Apply(confirm, 1); r.Refused == "" {
		t.Error("confirmed while it is being lifted")
	}
	s.Apply(Entry{Term: 1, Activate: &Activate{Version: 3}}, 1)
	s.applyChange(1, "3", cordonChange("a", 0))
	if r := s.Apply(confirm, 1); r.Refused == "" {
		t.Error("a confirmation of the earlier cordon counts for the later one")
	}
}

// Each enrolment with a new token gets a new incarnation, and the earlier one is kept until its leases have expired, also
// after a retirement.
func TestEnrolRetire(t *testing.T) {
	s := New(cordon.Budget{Share: 1}, 1000)
	one := s.Apply(enrolEntry("n", "t1", lease.Serve), 1)
	if again := s.Apply(enrolEntry("n", "t1", lease.Serve), 1); again.Incarnation != one.Incarnation {
		t.Errorf("a repeated enrolment gets another incarnation: %d, %d", one.Incarnation, again.Incarnation)
	}
	if two := s.Apply(enrolEntry("n", "t2", lease.Serve), 1); two.Incarnation == one.Incarnation || len(s.Members["n"].FormerIncarnations) != 1 {
		t.Errorf("after an enrolment with another token: %+v", s.Members["n"])
	}
	if r := s.Apply(Entry{Retire: &Retire{Name: "n", Author: "a", Reason: "r"}}, 1); r.Refused == "" {
		t.Error("a dispatcher that serves without a lease is retired without force")
	}
	if r := s.Apply(Entry{Retire: &Retire{Name: "n", Author: "a", Reason: "r", Forced: true}}, 1); r.Refused != "" || len(s.Members["n"].FormerIncarnations) != 2 {
		t.Errorf("retirement by force: %+v, member %+v", r, s.Members["n"])
	}
	tracker := lease.NewTracker(terms, 0)
	lapsed := tracker.LapsedIncarnations(terms.ExpiryWait(terms.Longest), s.Members)
	s.Apply(Entry{Term: 1, Forget: &Forget{Incarnations: lapsed}}, 1)
	if _, ok := s.Members["n"]; ok {
		t.Errorf("still a member: %+v", s.Members["n"])
	}
	for i := range lease.MaxFormerIncarnations + 1 {
		if r := s.Apply(enrolEntry("m", string(rune('a'+i)), lease.Hold), 1); r.Refused != "" {
			t.Fatalf("incarnation %d: %s", i, r.Refused)
		}
	}
	if r := s.Apply(enrolEntry("m", "one more", lease.Hold), 1); r.Refused == "" {
		t.Error("the number of former incarnations is not bounded")
	}
}

// A server is cordoned without an operator if enough dispatchers agree that it fails.
func TestAutomaticCordon(t *testing.T) {
	s := New(cordon.Budget{Share: 1}, 1000)
	reports := []cordon.Evidence{{Host: "a", Answered: 20, Errors: 20}, {Host: "b", Answered: 20}, {Host: "c", Answered: 20}}
	w := LeaderView{Leases: lease.NewTracker(terms, 0), ListServers: threeServers, AutoCordon: cordon.AutoPolicy{MinDispatchers: 2, MaxCordons: 1, ErrorShare: 0.5, MinAnswers: 10},
		Evidence: map[string][]cordon.Evidence{"n0": reports, "n1": reports}}
	s.applyDue(t, 1, w)
	if o := s.Ruleset.Document.Rules.Cordons["a"]; !o.Automatic || o.Author != "registrar" {
		t.Errorf("no automatic cordon of a: %+v", s.Ruleset.Document.Rules)
	}
}

// An entry with a part that this build does not know is refused.
func TestDecode(t *testing.T) {
	text, err := json.Marshal(enrolEntry("n", "t", lease.Hold))
	if err != nil {
		t.Fatal(err)
	}
	if e, err := Decode(text); err != nil || e.Enrol == nil {
		t.Errorf("decoded entry %+v, error %v", e, err)
	}
	if _, err := Decode([]byte(`{"term":1,"conjure":{}}`)); err == nil {
		t.Error("an entry of a later build is accepted")
	}
}

// FuzzDecode checks that any entry that can be decoded can be applied, and leaves a document with a valid hash.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"term":1,"open":{"version":3}}`))
	f.Add([]byte(`{"ask":{"key":"k","base":1,"author":"a","reason":"r","changes":[{"kind":"cordon"}]}}`))
	f.Add([]byte(`{"enrol":{"name":"n","token":"t","mode":"hold"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := Decode(text)
		if err != nil {
			return
		}
		s := New(cordon.DefaultBudget(), 1000)
		r := s.Apply(e, e.Term)
		if d := s.Ruleset.Document; !d.HasValidHash() || r.Step != nil && r.Step.Head.Version != d.Head.Version {
			t.Errorf("%s leaves %+v", text, d)
		}
	})
}

// A state that was stored and restored behaves like the original, whichever entry comes next.
func TestRestore(t *testing.T) {
	s := New(cordon.Budget{Share: 1}, 1000)
	entries := []Entry{enrolEntry("n0", "t", lease.Hold),
		{ChangeRequest: &ruleset.ChangeRequest{Key: "1", BaseVersion: 1, Author: "a", Reason: "r", Evidence: threeServers(), Changes: []ruleset.Change{cordonChange("a", 5000),
			{Kind: ruleset.KindDispatch, Name: "d", Dispatch: &ruleset.Dispatch{Site: "x", Class: "c", Target: "/", Earliest: 1, Latest: 1 << 40, Worth: 1}}}}},
		{Term: 1, Confirm: &Confirm{Cordon: "a", Version: 2}},
		{Term: 1, Activate: &Activate{Version: 2}},
		{Term: 1, Elapsed: &Elapsed{Ms: 2000}},
		{At: 10, Observed: &Observed{States: map[string]contact.State{"x": contact.Up}}},
		{Term: 1, Claim: &Claim{Dispatch: "d", Name: "n0", Incarnation: 1}},
		{Outcome: &Outcome{Dispatch: "d", Fence: 1}},
		{Retire: &Retire{Name: "n0", Author: "a", Reason: "r"}},
	}
	for i, e := range entries {
		text, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		other, err := Restore(text)
		if err != nil {
			t.Fatalf("before entry %d: %v", i, err)
		}
		a, b := s.Apply(e, 1), other.Apply(e, 1)
		if a.Refused != "" || a.Refused != b.Refused || a.Incarnation != b.Incarnation {
			t.Errorf("entry %d: %+v, after a restore %+v", i, a, b)
		}
		one, _ := json.Marshal(s)
		two, _ := json.Marshal(other)
		if string(one) != string(two) {
			t.Errorf("entry %d leaves\n%s, after a restore\n%s", i, one, two)
		}
	}
	for _, bad := range []string{"", "{}", `{"book":null}`, `{"book":{"document":{"head":{"version":3}}}}`} {
		if _, err := Restore([]byte(bad)); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
	corrupt, _ := json.Marshal(s)
	corrupt = bytes.Replace(corrupt, []byte(`"exposure":[0`), []byte(`"exposure":[-1`), 1)
	if got, err := Restore(corrupt); err != nil || len(got.Forecaster.Sites) != 0 || got.Ruleset.Document.Head.Version != s.Ruleset.Document.Head.Version {
		t.Errorf("a corrupt history of one site loses more than that history: %v", err)
	}
}

// A dispatch is claimed by one incarnation at a time. An earlier owner is recognised by its fencing token and can't end a
// later claim.
func TestClaims(t *testing.T) {
	s := New(cordon.Budget{Share: 1}, 1000)
	s.Apply(enrolEntry("n0", "t", lease.Hold), 1)
	s.Apply(enrolEntry("n1", "t", lease.Hold), 1)
	s.applyChange(1, "1", ruleset.Change{Kind: ruleset.KindDispatch, Name: "d", Dispatch: &ruleset.Dispatch{Site: "x", Class: "c", Target: "/", Earliest: 1,
		Latest: 1 << 40, Worth: 1}})
	claim := func(name string, incarnation uint64) Result {
		return s.Apply(Entry{Term: 1, Claim: &Claim{Dispatch: "d", Name: name, Incarnation: incarnation}}, 1)
	}
	if r := claim("n0", 1); r.Refused == "" {
		t.Error("claimed before the dispatch is in force")
	}
	s.Apply(Entry{Term: 1, Activate: &Activate{Version: 2}}, 1)
	if r := claim("n0", 7); r.Refused == "" {
		t.Error("claimed by an incarnation that is not in the state")
	}
	if r := claim("n0", 1); r.Refused != "" || len(s.Tasks("n0", 1)) != 1 || s.Tasks("n0", 1)[0].Fence != 1 {
		t.Errorf("claim by n0: %+v, its tasks %+v", r, s.Tasks("n0", 1))
	}
	if r := claim("n1", 2); r.Refused == "" {
		t.Error("claimed twice")
	}
	s.Apply(Entry{Term: 1, Reclaim: &Reclaim{Dispatch: "d", Fence: 1}}, 1)
	claim("n1", 2)
	if r := s.Apply(Entry{Outcome: &Outcome{Dispatch: "d", Fence: 1}}, 1); r.Refused == "" || s.Dispatches["d"].Owner != "n1" {
		t.Error("an earlier owner ended the present claim")
	}
	if r := s.Apply(Entry{Term: 1, Reclaim: &Reclaim{Dispatch: "d", Fence: 1}}, 1); r.Refused == "" {
		t.Error("a claim was ended for the expiry of an earlier one")
	}
	s.applyChange(1, "2", ruleset.Change{Kind: ruleset.KindWithdraw, Name: "d"})
	if len(s.Tasks("n1", 2)) != 0 || s.Dispatches["d"].Progress != Claimed {
		t.Errorf("after withdrawal of a claimed dispatch: %+v", s.Dispatches)
	}
	if s.Apply(Entry{Outcome: &Outcome{Dispatch: "d", Fence: 2, Done: true}}, 1); len(s.Dispatches) != 0 {
		t.Errorf("a withdrawn dispatch is kept after its end: %+v", s.Dispatches)
	}
}

// The outcome of a claim of work that was withdrawn does not mark work that was asked for since under the same name: that is
// claimed anew and carried out. It guards against work that is reported as done and was never sent.
func TestOutcomeBelongsToItsWork(t *testing.T) {
	plan := ruleset.Dispatch{Site: "x", Class: "c", Target: "/", Earliest: 1, Latest: 1 << 40, Worth: 1}
	for name, end := range map[string]Entry{
		"done":       {Outcome: &Outcome{Dispatch: "d", Fence: 1, Done: true}},
		"unknown":    {Outcome: &Outcome{Dispatch: "d", Fence: 1}},
		"owner gone": {Term: 1, Reclaim: &Reclaim{Dispatch: "d", Fence: 1}},
	} {
		s := New(cordon.Budget{Share: 1}, 1000)
		s.Apply(enrolEntry("n0", "t", lease.Hold), 1)
		change := func(c ruleset.Change) {
			c.Name = "d"
			s.applyChange(1, fmt.Sprint(s.Ruleset.Document.Head.Version), c)
			s.Apply(Entry{Term: 1, Activate: &Activate{Version: s.Ruleset.Document.Head.Version}}, 1)
		}
		change(ruleset.Change{Kind: ruleset.KindDispatch, Dispatch: &plan})
		claim := Entry{Term: 1, Claim: &Claim{Dispatch: "d", Name: "n0", Incarnation: 1}}
		s.Apply(claim, 1)
		first := s.Tasks("n0", 1)
		change(ruleset.Change{Kind: ruleset.KindWithdraw})
		second := plan
		second.Body = "another"
		change(ruleset.Change{Kind: ruleset.KindDispatch, Dispatch: &second})
		if tasks := s.Tasks("n0", 1); len(first) != 1 || len(tasks) != 0 {
			t.Fatalf("%s: first tasks %+v, and after the new plan, with the earlier claim, %+v", name, first, tasks)
		}
		s.Apply(end, 1)
		if got := s.Dispatches["d"].Progress; got != Free {
			t.Errorf("%s: the new work is %q, want free", name, got)
		}
		s.Apply(claim, 1)
		tasks := s.Tasks("n0", 1)
		if len(tasks) != 1 || tasks[0].Fence != 2 || tasks[0].Plan.Body != "another" || tasks[0].Generation == first[0].Generation {
			t.Errorf("%s: tasks %+v, want the new work under a fence and a generation of its own", name, tasks)
		}
		if s.Apply(end, 1); s.Dispatches["d"].Progress != Claimed {
			t.Errorf("%s: an outcome that came twice changed the new claim: %+v", name, s.Dispatches["d"])
		}
		if s.Apply(Entry{Outcome: &Outcome{Dispatch: "d", Fence: 2, Done: true}}, 1); s.Dispatches["d"].Progress != Done {
			t.Errorf("%s: the new work is not done: %+v", name, s.Dispatches["d"])
		}
	}
}

// A cordon with a time ends although other changes win against its end. It guards against a refusal that is kept under the key
// of the request, and answers each further one.
func TestExpiryThatLosesIsAskedForAgain(t *testing.T) {
	s := New(cordon.Budget{Share: 1}, 1000)
	s.Apply(enrolEntry("n0", "t", lease.Hold), 1)
	s.applyChange(1, "1", cordonChange("a", 5000))
	s.Apply(Entry{Term: 1, Elapsed: &Elapsed{Ms: 5000}}, 1)
	view := LeaderView{Leases: lease.NewTracker(terms, 0), ListServers: threeServers}
	expiry := func() Entry {
		t.Helper()
		for _, e := range s.Due(view) {
			if e.ChangeRequest != nil {
				return e
			}
		}
		t.Fatal("no end of the cordon is due")
		return Entry{}
	}
	for lost := range 3 { // another change is committed between the request and its entry
		e, value := expiry(), 0.5
		s.applyChange(1, fmt.Sprint("other", lost), ruleset.Change{Kind: ruleset.KindWorth, Name: "c", Value: &value})
		if r := s.Apply(e, 1); r.Refused != ruleset.RefusedStale {
			t.Fatalf("an end that lost for the time %d: %+v", lost+1, r)
		}
	}
	if r := s.Apply(expiry(), 1); r.Refused != "" || !s.isLifting("a") {
		t.Errorf("an end that wins: %+v", r)
	}
}

// Work that is planned under a name whose earlier work was claimed and then withdrawn is other work, with a key of its own,
// whatever became of the earlier one. It guards against work that receivers drop as a repeat and that counts as done.
func TestSameNamePlannedAgain(t *testing.T) {
	for name, end := range map[string]Entry{
		"done":    {Outcome: &Outcome{Dispatch: "d", Fence: 1, Done: true}},
		"unknown": {Outcome: &Outcome{Dispatch: "d", Fence: 1}},
		"not run": {Outcome: &Outcome{Dispatch: "d", Fence: 1, NotRun: true}},
	} {
		for _, remembered := range []int{maxUsedNames, 0} {
			s := New(cordon.Budget{Share: 1}, 1000)
			s.Apply(enrolEntry("n0", "t", lease.Hold), 1)
			change := func(c ruleset.Change) {
				s.applyChange(1, fmt.Sprint(s.Ruleset.Document.Head.Version), c)
				s.Apply(Entry{Term: 1, Activate: &Activate{Version: s.Ruleset.Document.Head.Version}}, 1)
			}
			plan := func(name, body string) {
				change(ruleset.Change{Kind: ruleset.KindDispatch, Name: name, Dispatch: &ruleset.Dispatch{Site: "x", Class: "c", Target: "/", Body: body, Earliest: 1, Latest: 1 << 40, Worth: 1}})
			}
			claim := func(name string) Task {
				s.Apply(Entry{Term: 1, Claim: &Claim{Dispatch: name, Name: "n0", Incarnation: 1}}, 1)
				for _, task := range s.Tasks("n0", 1) {
					if task.Dispatch == name {
						return task
					}
				}
				t.Fatalf("%s is not claimed", name)
				return Task{}
			}
			plan("d", "first")
			first := claim("d")
			s.Apply(end, 1)
			change(ruleset.Change{Kind: ruleset.KindWithdraw, Name: "d"})
			for i := remembered; i < maxUsedNames; i++ { // as many other names as are remembered
				s.rememberName(fmt.Sprint("other-", i))
			}
			text, err := json.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			if s, err = Restore(text); err != nil {
				t.Fatal(err)
			}
			plan("d", "second")
			if second := claim("d"); first.Generation != 0 || second.Generation != second.Fence || second.Plan.Body != "second" {
				t.Errorf("%s: first %+v, second %+v", name, first, second)
			}
			plan("new", "third")
			if other := claim("new"); remembered > 0 && other.Generation != 0 {
				t.Errorf("%s: a name that was never used: %+v", name, other)
			}
		}
	}
}

// A dispatcher gets a longer lease while its site is about to be cut off, and the staleness bound of the site says so.
func TestLongerLease(t *testing.T) {
	s := New(cordon.Budget{Share: 1}, 1000)
	s.Apply(Entry{Enrol: &Enrol{Name: "n0", Token: "t", Mode: lease.Hold, Site: "x"}}, 1)
	s.applyChange(1, "1", ruleset.Change{Kind: ruleset.KindSite, Name: "x", Site: &ruleset.Site{Outages: []ruleset.Span{{From: 100_000, Until: 200_000}}}})
	s.Apply(Entry{Term: 1, Activate: &Activate{Version: 2}}, 1)
	long := terms
	long.Longest = 10 * time.Second
	for at, want := range map[int64]time.Duration{80_000: long.Length, 95_000: long.Longest, 150_000: long.Longest, 250_000: long.Length} {
		if got := s.LeaseLength(long, "x", at); got != want {
			t.Errorf("at %d: %v, want %v", at, got, want)
		}
	}
	if got := s.LeaseLength(terms, "x", 95_000); got != terms.Length {
		t.Errorf("lease longer than the settings allow: %v", got)
	}
	if got := s.StalenessBounds(long, 95_000); len(got) != 1 || got["x"] != long.StalenessBoundFor(long.Longest) || len(s.StalenessBounds(long, 80_000)) != 0 {
		t.Errorf("staleness bounds shortly before the outage: %v", got)
	}
	// A new leader waits for the longest lease that an earlier one may have granted.
	if r := lease.NewTracker(long, 0); len(r.Stragglers(long.ExpiryWait(long.Longest)-1, s.Members, 2)) != 1 {
		t.Error("a longer lease of an earlier leader counts as expired")
	}
}

// A try that may have run is repeated only while its receivers drop a repeat, counted from its claim. After that the work is
// neither sent nor called done, but reported as unknown; a late outcome may still settle it. It guards against planned work
// that runs twice.
func TestTriesAreRepeatedWithinTheirWindow(t *testing.T) {
	const second = int64(1000)
	unknown := func(fence uint64) Entry { return Entry{Outcome: &Outcome{Dispatch: "d", Fence: fence}} }
	for _, c := range []struct {
		name    string
		window  int64
		end     func(fence uint64) Entry // of the first try
		again   int64                    // when the leader looks again, in Unix ms after the claim
		want    Progress                 // after that
		limited bool                     // the second try may not be sent at any time
	}{
		{"within its window", 20 * second, unknown, 5 * second, Claimed, true},
		{"past its window", 8 * second, unknown, 12 * second, Unknown, false},
		{"owner gone, within its window", 20 * second, func(f uint64) Entry { return Entry{Term: 1, Reclaim: &Reclaim{Dispatch: "d", Fence: f}} }, 5 * second, Claimed, true},
		{"owner gone, past its window", 8 * second, func(f uint64) Entry { return Entry{Term: 1, Reclaim: &Reclaim{Dispatch: "d", Fence: f}} }, 12 * second, Unknown, false},
		{"may not be repeated", 0, unknown, second, Unknown, false},
		{"may be repeated at any time", AnyTime, unknown, 1000 * second, Claimed, false},
		{"certainly not run", 0, func(f uint64) Entry { return Entry{Outcome: &Outcome{Dispatch: "d", Fence: f, NotRun: true}} }, 1000 * second, Claimed, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New(cordon.Budget{Share: 1}, 1000)
			s.Apply(enrolEntry("n0", "t", lease.Hold), 1)
			const start = 1_000_000 * second
			s.applyChange(1, "1", ruleset.Change{Kind: ruleset.KindDispatch, Name: "d", Dispatch: &ruleset.Dispatch{Site: "x", Class: "post", Target: "/",
				Earliest: 1, Latest: start + 10_000*second, Worth: 1, ExpectedDurationMs: 3000}})
			s.Apply(Entry{Term: 1, Activate: &Activate{Version: s.Ruleset.Document.Head.Version}}, 1)
			view := LeaderView{Leases: lease.NewTracker(terms, 0), ListServers: threeServers, UnixMs: start,
				RepeatWindows: map[string]map[string]int64{"n0": {"post": c.window}}}
			view.Leases.RecordBeat(0, "n0", 1, s.Ruleset.Document.Head.Version, terms.Length)
			step := func(at int64) {
				view.UnixMs, view.Plan = at, nil
				if input, ok := s.PlanInput(at, schedule.DefaultSettings()); ok {
					view.Plan = input.Compute()
				}
				for _, e := range s.Due(view) {
					e.Term, e.At = 1, at
					if r := s.Apply(e, 1); r.Refused != "" {
						t.Errorf("%+v: %s", e, r.Refused)
					}
				}
			}
			view.Draining = map[string]bool{"n0": true}
			if step(start); len(s.Tasks("n0", 1)) != 0 {
				t.Errorf("claimed for a dispatcher that drains: %+v", s.Tasks("n0", 1))
			}
			view.Draining = nil
			step(start)
			first := s.Tasks("n0", 1)
			if len(first) != 1 || first[0].RepeatUntilMs != 0 {
				t.Fatalf("first tasks %+v", first)
			}
			s.Apply(c.end(first[0].Fence), 1)
			step(start + c.again)
			if got := s.Dispatches["d"]; got.Progress != c.want {
				t.Fatalf("after the first try: %+v, want %s", got, c.want)
			}
			if tasks := s.Tasks("n0", 1); c.want == Claimed && (len(tasks) != 1 || (tasks[0].RepeatUntilMs > 0) != c.limited || tasks[0].RepeatUntilMs > start+c.window) {
				t.Errorf("second tasks %+v", tasks)
			}
			if c.want != Unknown {
				return
			}
			step(start + c.again + 100*second)
			if len(s.Tasks("n0", 1)) != 0 || s.Dispatches["d"].Reason == "" {
				t.Errorf("unknown work: %+v, tasks %+v", s.Dispatches["d"], s.Tasks("n0", 1))
			}
			if s.Apply(Entry{Outcome: &Outcome{Dispatch: "d", Fence: first[0].Fence, Done: true}}, 1); s.Dispatches["d"].Progress != Done {
				t.Errorf("after a late outcome: %+v", s.Dispatches["d"])
			}
		})
	}
}

// Failed tries in the stored state of an earlier build, which did not record whether they may have run, are not repeated.
func TestRestoreCountsUnrecordedTries(t *testing.T) {
	s := New(cordon.Budget{Share: 1}, 1000)
	s.Dispatches["tried"] = DispatchState{Progress: Free, Failures: 1, LastTriedMs: 5}
	s.Dispatches["new"] = DispatchState{Progress: Free}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Restore(text)
	if err != nil {
		t.Fatal(err)
	}
	if tried := got.Dispatches["tried"]; !tried.MayHaveRun || tried.FirstTriedMs != 5 || got.Dispatches["new"].MayHaveRun {
		t.Errorf("restored as %+v", got.Dispatches)
	}
}

// Work that may be done until any time, however far, has time left. It guards against a span that overflows, with which the
// work would never be sent.
func TestTimeLeftOfTask(t *testing.T) {
	for latest, want := range map[int64]time.Duration{5000: 4 * time.Second, 1000: 0, 500: -500 * time.Millisecond, math.MaxInt64: math.MaxInt64, math.MaxInt64 / 2: math.MaxInt64} {
		if got := (Task{Plan: ruleset.Dispatch{Latest: latest}}).TimeLeft(1000); got != want {
			t.Errorf("latest %d: %v, want %v", latest, got, want)
		}
	}
}
