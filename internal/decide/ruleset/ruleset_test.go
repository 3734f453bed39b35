package ruleset

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/logic"
)

// newRequest returns a request based on the current version, with eight servers as evidence.
func newRequest(b *State, key string, changes ...Change) ChangeRequest {
	return ChangeRequest{Key: key, BaseVersion: b.Document.Head.Version, Author: "a", Reason: "r", Changes: changes, Evidence: servers(8)}
}

// servers returns n servers of one group.
func servers(n int) (out []cordon.Server) {
	for i := range n {
		out = append(out, cordon.Server{Host: fmt.Sprintf("s%d", i), Site: "x", Build: 1, Weight: 1})
	}
	return out
}

func cordonChange(host string) Change {
	return Change{Kind: KindCordon, Cordon: &cordon.Target{Host: host}}
}

func valueChange(kind Kind, name string, v float64) Change {
	return Change{Kind: kind, Name: name, Value: &v}
}

// A change that narrows takes effect at once; one that widens waits until it is activated.
func TestNarrowingIsImmediateWideningWaits(t *testing.T) {
	b := New(cordon.DefaultBudget(), 1000)
	if a := b.Submit(newRequest(b, "1", cordonChange("s0")), 10); a.Refused != "" || a.Version != 2 || a.PendingCount != 0 {
		t.Fatalf("a cordon is not in force at once: %+v", a)
	}
	v := NewView(b.Document)
	if v.AllowsNewWork("s0", 5) || !v.AllowsNewWork("s1", 5) || v.RestrictState("s0", 5, logic.Ready) != logic.Draining {
		t.Error("a cordon is not in force in the version that contains it")
	}
	if a := b.Submit(newRequest(b, "2", Change{Kind: KindLift, Name: "s0"}), 20); a.PendingCount != 1 || NewView(b.Document).AllowsNewWork("s0", 5) {
		t.Errorf("%+v: lifted before all lease holders acknowledged it", a)
	}
	if b.NewestPending() != 3 {
		t.Errorf("newest pending version %d, want 3", b.NewestPending())
	}
	if err := b.Activate(2, 30); err != ErrNothingPending {
		t.Errorf("activated a change that is newer than the version given: %v", err)
	}
	if err := b.Activate(3, 30); err != nil || !NewView(b.Document).AllowsNewWork("s0", 5) || b.Document.Head.ActivatesUpTo != 3 ||
		NewView(b.Document).LiftedAt("s0") != 30 {
		t.Errorf("not lifted: %v %+v", err, b.Document)
	}
	b.Submit(newRequest(b, "3", valueChange(KindCeiling, "", 0.3)), 5000)
	if b.Document.Rules.Lifted != nil {
		t.Error("a lift is kept after its slow start")
	}
	b.Submit(newRequest(b, "4", valueChange(KindCeiling, "", 0.5)), 6000)
	if got := *b.Document.Rules.Ceiling; got != 0.3 {
		t.Errorf("a higher ceiling is in force before its activation: %g", got)
	}
	b.Submit(newRequest(b, "5", valueChange(KindCeiling, "", 0.1)), 7000)
	if got := *b.Document.Rules.Ceiling; got != 0.1 || b.NewestPending() != 0 {
		t.Errorf("after a lower ceiling: %g in force, newest pending version %d", got, b.NewestPending())
	}
}

// In a request with both kinds of changes, those that narrow take effect at once and the others wait.
func TestMixedRequestIsSplit(t *testing.T) {
	b := New(cordon.DefaultBudget(), 1000)
	a := b.Submit(newRequest(b, "1", Change{Kind: KindFreeze}, valueChange(KindTenant, "acme", 0.7), Change{Kind: KindExpect, Name: "n0"}), 10)
	if a.PendingCount != 1 || b.Document.Rules.Freeze == nil || len(b.Document.Rules.Tenants) != 0 || len(b.Document.Rules.Expected) != 1 {
		t.Errorf("answer %+v, document %+v", a, b.Document)
	}
}

// Each request that can't be agreed is refused with its code and makes no version. A forced one may exceed the budget.
func TestRefusals(t *testing.T) {
	b := New(cordon.DefaultBudget(), 1000)
	negative := valueChange(KindTenant, "acme", 0)
	*negative.Value = -1
	for name, c := range map[string]struct {
		request ChangeRequest
		code    string
	}{
		"no key":       {ChangeRequest{BaseVersion: 1, Author: "a", Reason: "r", Changes: []Change{{Kind: KindFreeze}}}, RefusedInvalid},
		"no reason":    {ChangeRequest{Key: "ka", BaseVersion: 1, Author: "a", Changes: []Change{{Kind: KindFreeze}}}, RefusedInvalid},
		"old base":     {ChangeRequest{Key: "kb", BaseVersion: 0, Author: "a", Reason: "r", Changes: []Change{{Kind: KindFreeze}}}, RefusedStale},
		"nothing":      {newRequest(b, "k1"), RefusedInvalid},
		"unknown kind": {newRequest(b, "k2", Change{Kind: "dance"}), RefusedInvalid},
		"negative":     {newRequest(b, "k3", negative), RefusedInvalid},
		"lift nothing": {newRequest(b, "k4", Change{Kind: KindLift, Name: "s0"}), RefusedInvalid},
		"one wrong":    {newRequest(b, "k5", cordonChange("s0"), Change{Kind: KindWithdraw, Name: "x"}), RefusedInvalid},
		"budget":       {newRequest(b, "k6", cordonChange("s0"), cordonChange("s1"), cordonChange("s2")), RefusedBudget},
		"not listed":   {newRequest(b, "k7", cordonChange("s99")), RefusedBudget},
	} {
		if a := b.Submit(c.request, 1); a.Refused != c.code || a.Version != 1 || b.Document.Head.Version != 1 {
			t.Errorf("%s: %+v", name, a)
		}
	}
	forced := newRequest(b, "k8", cordonChange("s0"), cordonChange("s1"), cordonChange("s2"))
	forced.Forced = true
	if a := b.Submit(forced, 1); a.Refused != "" || !b.Document.Rules.Cordons["s2"].Forced || b.Document.Rules.Cordons["s2"].Author != "a" {
		t.Errorf("forced: %+v %+v", a, b.Document.Rules.Cordons)
	}
}

// A repeated request gets the first answer, also after a restart; another request with the same key is refused. Stored answers
// are bounded.
func TestRepeatedRequest(t *testing.T) {
	b := New(cordon.DefaultBudget(), 1000)
	first := newRequest(b, "k", cordonChange("s0"))
	a := b.Submit(first, 1)
	b.Submit(newRequest(b, "other", cordonChange("s1")), 1)
	first.Evidence = nil // added by the leader, so a repeat may differ in it
	if again := b.Submit(first, 2); again != a || b.Document.Head.Version != 3 {
		t.Errorf("repeated request: %+v, first %+v", again, a)
	}
	if wrong := b.Submit(newRequest(b, "k", cordonChange("s2")), 3); wrong.Refused != RefusedKeyReused {
		t.Errorf("another request with the same key: %+v", wrong)
	}
	text, err := json.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	var read State
	if err := json.Unmarshal(text, &read); err != nil {
		t.Fatal(err)
	}
	if again := read.Submit(first, 2); again != a {
		t.Errorf("after a restart: %+v, first %+v", again, a)
	}
	for i := range maxStoredAnswers + 10 {
		b.Submit(ChangeRequest{Key: fmt.Sprint(i), BaseVersion: 1, Author: "a", Reason: "r", Changes: []Change{{Kind: KindFreeze}}}, 1)
	}
	if len(b.Answers) > maxStoredAnswers || len(b.indexByKey) != len(b.Answers) {
		t.Errorf("%d answers stored, %d by key", len(b.Answers), len(b.indexByKey))
	}
}

// Rules of exactly MaxRulesBytes are accepted, and rules that are one byte larger are refused.
func TestDocumentSizeLimit(t *testing.T) {
	fill := func(last int) (Answer, int) {
		b := New(cordon.DefaultBudget(), 1000)
		n := 0
		for i := 0; ; i++ {
			text, _ := json.Marshal(struct {
				Rules   Rules
				Waiting []PendingChange
			}{b.Document.Rules, b.Document.Pending})
			spaceLeft := MaxRulesBytes - len(text)
			name, at := strings.Repeat("x", 400), int64(1000)
			if spaceLeft < 1200 { // `,"NAME":{"author":"a","reason":"r","since_ms":1000}` takes 50 bytes besides the name
				probe := New(cordon.DefaultBudget(), 1000)
				probe.Document.Rules.Expected = map[string]Provenance{"q": {"a", "r", at}, "r": {"a", "r", at}}
				two, _ := json.Marshal(probe.Document.Rules.Expected)
				delete(probe.Document.Rules.Expected, "r")
				one, _ := json.Marshal(probe.Document.Rules.Expected)
				each := len(two) - len(one) - 1
				if spaceLeft > 512+each { // two more entries
					name = strings.Repeat("y", (spaceLeft-2*each)/2)
				} else {
					name = strings.Repeat("z", spaceLeft-each+last)
					a := b.Submit(newRequest(b, fmt.Sprint("k", i), Change{Kind: KindExpect, Name: name}), at)
					text, _ = json.Marshal(struct {
						Rules   Rules
						Waiting []PendingChange
					}{b.Document.Rules, b.Document.Pending})
					return a, len(text)
				}
			} else {
				name = fmt.Sprintf("%s%05d", name, i)
			}
			if a := b.Submit(newRequest(b, fmt.Sprint("k", i), Change{Kind: KindExpect, Name: name}), at); a.Refused != "" {
				t.Fatalf("%+v with %d bytes left", a, spaceLeft)
			}
			n++
		}
	}
	if a, size := fill(0); a.Refused != "" || size != MaxRulesBytes {
		t.Errorf("%+v of %d bytes", a, size)
	}
	if a, _ := fill(1); a.Refused != RefusedTooLarge {
		t.Errorf("one byte more: %+v", a)
	}
}

// Complete versions can be rebuilt from their steps. A step that was altered, or is applied twice, is rejected.
func TestApplyStep(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(cordon.Budget{Share: 1}, 50)
		d := b.Document
		for i := range rapid.IntRange(1, 30).Draw(t, "asks") {
			at := int64(i * 20)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				b.Submit(newRequest(b, fmt.Sprint(i), cordonChange(fmt.Sprintf("s%d", rapid.IntRange(0, 7).Draw(t, "host")))), at)
			case 1:
				b.Submit(newRequest(b, fmt.Sprint(i), Change{Kind: KindLift, Name: fmt.Sprintf("s%d", rapid.IntRange(0, 7).Draw(t, "host"))}), at)
			case 2:
				b.Submit(newRequest(b, fmt.Sprint(i), valueChange(KindTenant, "acme", float64(i))), at)
			case 3:
				b.Submit(newRequest(b, fmt.Sprint(i), valueChange(KindCeiling, "", 1/float64(i+1)), Change{Kind: KindFreeze}), at)
			default:
				if v := b.NewestPending(); v > 0 {
					b.Activate(v, at)
				}
			}
			if b.Document.Head.Version == d.Head.Version {
				continue
			}
			step := b.LastStep()
			next, err := ApplyStep(d, step, 50)
			if err != nil || next.Head.Hash != b.Document.Head.Hash {
				t.Fatalf("version %d: %v", step.Head.Version, err)
			}
			step.Head.Reason = "another"
			if _, err := ApplyStep(d, step, 50); err == nil {
				t.Fatal("an altered step is accepted")
			}
			if _, err := ApplyStep(next, b.LastStep(), 50); err == nil {
				t.Fatal("a step is accepted twice")
			}
			d = next
		}
	})
}

// A view restricts releases and votes by the ceiling, the freeze and the lease, and lists the kinds that are not understood.
func TestView(t *testing.T) {
	b := New(cordon.DefaultBudget(), 1000)
	b.Submit(newRequest(b, "1", valueChange(KindCeiling, "", 0.2), Change{Kind: KindFreeze}), 1)
	v := NewView(b.Document)
	trial := logic.ReleaseStatus{Build: 2, Phase: logic.OnTrial, Cap: 0.5}
	if v.RestrictRelease(trial, lease.Full).Cap != 0.2 || v.RestrictRelease(trial, lease.Stale).Cap != 0 {
		t.Error("the exposure of a build on trial is not restricted")
	}
	done := logic.ReleaseStatus{Build: 2, Phase: logic.Released, Cap: 1}
	if v.RestrictRelease(done, lease.Stale) != done {
		t.Error("a released build is restricted")
	}
	on, back := logic.Vote{Verdict: logic.VoteAdvance}, logic.Vote{Verdict: logic.VoteRollBack}
	if v.RestrictVote(on, lease.Full).Verdict != logic.VoteHold || v.RestrictVote(back, lease.Full) != back {
		t.Error("wrong votes during a freeze")
	}
	free := NewView(New(cordon.DefaultBudget(), 1).Document)
	if free.RestrictVote(on, lease.Full) != on || free.RestrictVote(on, lease.None).Verdict != logic.VoteHold {
		t.Error("wrong votes without a freeze")
	}
	if got := UnsupportedKinds(b.Document, []string{"freeze"}); len(got) != 1 || got[0] != "ceiling" {
		t.Errorf("not understood: %v", got)
	}
}

// Two cordons requested at the same time exceed the budget only together: exactly one is agreed, whichever comes first in the
// log. If each were checked on arrival against the cordons in force then, both would be agreed.
func TestConcurrentCordonsShareBudget(t *testing.T) {
	for _, order := range [][2]string{{"s0", "s1"}, {"s1", "s0"}} {
		b := New(cordon.Budget{Share: 0.125}, 1000)
		standing, agreed := b.Document.Rules.Cordons, 0
		for i, host := range order {
			if err := b.Budget.Check(cordon.Target{Host: host}, standing, servers(8)); err != nil {
				t.Fatalf("%s alone is refused: %v", host, err)
			}
			a := newRequest(b, fmt.Sprint(i), cordonChange(host))
			a.BaseVersion = 1
			if got := b.Submit(a, 1); got.Refused == RefusedStale { // a client repeats it based on the current version
				a.BaseVersion, a.Key = got.Version, a.Key+" again"
				got = b.Submit(a, 1)
				if got.Refused != RefusedBudget {
					t.Errorf("the second request: %+v", got)
				}
			} else if got.Refused == "" {
				agreed++
			}
		}
		if agreed != 1 || len(b.Document.Rules.Cordons) != 1 {
			t.Errorf("%v: %d agreed, %v", order, agreed, b.Document.Rules.Cordons)
		}
	}
}
