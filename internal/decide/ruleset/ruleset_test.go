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

func ask(b *State, key string, changes ...Change) ChangeRequest {
	return ChangeRequest{Key: key, BaseVersion: b.Document.Head.Version, Author: "a", Reason: "r", Changes: changes, Evidence: servers(8)}
}

func servers(n int) (out []cordon.Server) {
	for i := range n {
		out = append(out, cordon.Server{Host: fmt.Sprintf("s%d", i), Site: "x", Build: 1, Weight: 1})
	}
	return out
}

func closing(host string) Change { return Change{Kind: KindCordon, Cordon: &cordon.Target{Host: host}} }

func value(kind Kind, name string, v float64) Change {
	return Change{Kind: kind, Name: name, Value: &v}
}

func TestNarrowingAtOnceWideningWaits(t *testing.T) {
	b := New(cordon.DefaultBudget(), 1000)
	if a := b.Submit(ask(b, "1", closing("s0")), 10); a.Refused != "" || a.Version != 2 || a.PendingCount != 0 {
		t.Fatalf("%+v", a)
	}
	v := NewView(b.Document)
	if v.AllowsNewWork("s0", 5) || !v.AllowsNewWork("s1", 5) || v.RestrictState("s0", 5, logic.Ready) != logic.Draining {
		t.Error("a cordon is not in force with its version")
	}
	if a := b.Submit(ask(b, "2", Change{Kind: KindLift, Name: "s0"}), 20); a.PendingCount != 1 || NewView(b.Document).AllowsNewWork("s0", 5) {
		t.Errorf("%+v: lifted before all know", a)
	}
	if b.NewestPending() != 3 {
		t.Errorf("ready %d", b.NewestPending())
	}
	if err := b.Activate(2, 30); err != ErrNothingPending {
		t.Errorf("opened what an older version did not announce: %v", err)
	}
	if err := b.Activate(3, 30); err != nil || !NewView(b.Document).AllowsNewWork("s0", 5) || b.Document.Head.ActivatesUpTo != 3 || NewView(b.Document).LiftedAt("s0") != 30 {
		t.Errorf("not lifted: %v %+v", err, b.Document)
	}
	b.Submit(ask(b, "3", value(KindCeiling, "", 0.3)), 5000)
	if b.Document.Rules.Lifted != nil {
		t.Error("a lifting of long ago is kept")
	}
	b.Submit(ask(b, "4", value(KindCeiling, "", 0.5)), 6000)
	if got := *b.Document.Rules.Ceiling; got != 0.3 {
		t.Errorf("a higher ceiling is in force at once: %g", got)
	}
	b.Submit(ask(b, "5", value(KindCeiling, "", 0.1)), 7000)
	if got := *b.Document.Rules.Ceiling; got != 0.1 || b.NewestPending() != 0 {
		t.Errorf("a lower ceiling: %g, still waiting %d", got, b.NewestPending())
	}
}

// A mixed asking is split: what narrows holds at once, the rest waits.
func TestMixedIsSplit(t *testing.T) {
	b := New(cordon.DefaultBudget(), 1000)
	a := b.Submit(ask(b, "1", Change{Kind: KindFreeze}, value(KindTenant, "acme", 0.7), Change{Kind: KindExpect, Name: "n0"}), 10)
	if a.PendingCount != 1 || b.Document.Rules.Freeze == nil || len(b.Document.Rules.Tenants) != 0 || len(b.Document.Rules.Expected) != 1 {
		t.Errorf("%+v %+v", a, b.Document)
	}
}

func TestRefusals(t *testing.T) {
	b := New(cordon.DefaultBudget(), 1000)
	nan := value(KindTenant, "acme", 0)
	*nan.Value = -1
	for name, c := range map[string]struct {
		ask  ChangeRequest
		code string
	}{
		"no key":       {ChangeRequest{BaseVersion: 1, Author: "a", Reason: "r", Changes: []Change{{Kind: KindFreeze}}}, RefusedInvalid},
		"no reason":    {ChangeRequest{Key: "ka", BaseVersion: 1, Author: "a", Changes: []Change{{Kind: KindFreeze}}}, RefusedInvalid},
		"old base":     {ChangeRequest{Key: "kb", BaseVersion: 0, Author: "a", Reason: "r", Changes: []Change{{Kind: KindFreeze}}}, RefusedStale},
		"nothing":      {ask(b, "k1"), RefusedInvalid},
		"odd kind":     {ask(b, "k2", Change{Kind: "dance"}), RefusedInvalid},
		"negative":     {ask(b, "k3", nan), RefusedInvalid},
		"lift nothing": {ask(b, "k4", Change{Kind: KindLift, Name: "s0"}), RefusedInvalid},
		"one wrong":    {ask(b, "k5", closing("s0"), Change{Kind: KindWithdraw, Name: "x"}), RefusedInvalid},
		"budget":       {ask(b, "k6", closing("s0"), closing("s1"), closing("s2")), RefusedBudget},
		"not listed":   {ask(b, "k7", closing("s99")), RefusedBudget},
	} {
		if a := b.Submit(c.ask, 1); a.Refused != c.code || a.Version != 1 || b.Document.Head.Version != 1 {
			t.Errorf("%s: %+v", name, a)
		}
	}
	forced := ask(b, "k8", closing("s0"), closing("s1"), closing("s2"))
	forced.Forced = true
	if a := b.Submit(forced, 1); a.Refused != "" || !b.Document.Rules.Cordons["s2"].Forced || b.Document.Rules.Cordons["s2"].Author != "a" {
		t.Errorf("forced: %+v %+v", a, b.Document.Rules.Cordons)
	}
}

// A repeat gets the first answer, also one that was refused; another asking under its key does not.
func TestRepeat(t *testing.T) {
	b := New(cordon.DefaultBudget(), 1000)
	first := ask(b, "k", closing("s0"))
	a := b.Submit(first, 1)
	b.Submit(ask(b, "other", closing("s1")), 1)
	first.Evidence = nil // the leader's own
	if again := b.Submit(first, 2); again != a || b.Document.Head.Version != 3 {
		t.Errorf("%+v, first %+v", again, a)
	}
	if wrong := b.Submit(ask(b, "k", closing("s2")), 3); wrong.Refused != RefusedKeyReused {
		t.Errorf("%+v", wrong)
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
		t.Errorf("after a restart %+v, first %+v", again, a)
	}
	for i := range keptKeys + 10 {
		b.Submit(ChangeRequest{Key: fmt.Sprint(i), BaseVersion: 1, Author: "a", Reason: "r", Changes: []Change{{Kind: KindFreeze}}}, 1)
	}
	if len(b.Answers) > keptKeys || len(b.byKey) != len(b.Answers) {
		t.Errorf("%d answers kept, %d by key", len(b.Answers), len(b.byKey))
	}
}

// The document of the largest size is taken, one byte more is not.
func TestLargest(t *testing.T) {
	fill := func(last int) (Answer, int) {
		b := New(cordon.DefaultBudget(), 1000)
		n := 0
		for i := 0; ; i++ {
			text, _ := json.Marshal(struct {
				Rules   Rules
				Waiting []PendingChange
			}{b.Document.Rules, b.Document.Pending})
			left := MaxRulesBytes - len(text)
			name, at := strings.Repeat("x", 400), int64(1000)
			if left < 1200 { // `,"NAME":{"author":"a","reason":"r","since_ms":1000}` takes 50 bytes round the name
				probe := New(cordon.DefaultBudget(), 1000)
				probe.Document.Rules.Expected = map[string]Provenance{"q": {"a", "r", at}, "r": {"a", "r", at}}
				two, _ := json.Marshal(probe.Document.Rules.Expected)
				delete(probe.Document.Rules.Expected, "r")
				one, _ := json.Marshal(probe.Document.Rules.Expected)
				each := len(two) - len(one) - 1
				if left > 512+each { // two more
					name = strings.Repeat("y", (left-2*each)/2)
				} else {
					name = strings.Repeat("z", left-each+last)
					a := b.Submit(ask(b, fmt.Sprint("k", i), Change{Kind: KindExpect, Name: name}), at)
					text, _ = json.Marshal(struct {
						Rules   Rules
						Waiting []PendingChange
					}{b.Document.Rules, b.Document.Pending})
					return a, len(text)
				}
			} else {
				name = fmt.Sprintf("%s%05d", name, i)
			}
			if a := b.Submit(ask(b, fmt.Sprint("k", i), Change{Kind: KindExpect, Name: name}), at); a.Refused != "" {
				t.Fatalf("%+v with %d left", a, left)
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

// Whole versions are read back from the steps; a step that was changed is found out.
func TestFollow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(cordon.Budget{Share: 1}, 50)
		d := b.Document
		for i := range rapid.IntRange(1, 30).Draw(t, "asks") {
			at := int64(i * 20)
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				b.Submit(ask(b, fmt.Sprint(i), closing(fmt.Sprintf("s%d", rapid.IntRange(0, 7).Draw(t, "host")))), at)
			case 1:
				b.Submit(ask(b, fmt.Sprint(i), Change{Kind: KindLift, Name: fmt.Sprintf("s%d", rapid.IntRange(0, 7).Draw(t, "host"))}), at)
			case 2:
				b.Submit(ask(b, fmt.Sprint(i), value(KindTenant, "acme", float64(i))), at)
			case 3:
				b.Submit(ask(b, fmt.Sprint(i), value(KindCeiling, "", 1/float64(i+1)), Change{Kind: KindFreeze}), at)
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
				t.Fatal("a changed step is taken")
			}
			if _, err := ApplyStep(next, b.LastStep(), 50); err == nil {
				t.Fatal("a step is taken twice")
			}
			d = next
		}
	})
}

func TestView(t *testing.T) {
	b := New(cordon.DefaultBudget(), 1000)
	b.Submit(ask(b, "1", value(KindCeiling, "", 0.2), Change{Kind: KindFreeze}), 1)
	v := NewView(b.Document)
	trial := logic.ReleaseStatus{Build: 2, Phase: logic.OnTrial, Cap: 0.5}
	if v.RestrictRelease(trial, lease.Full).Cap != 0.2 || v.RestrictRelease(trial, lease.Stale).Cap != 0 {
		t.Error("the ceiling does not bind")
	}
	done := logic.ReleaseStatus{Build: 2, Phase: logic.Released, Cap: 1}
	if v.RestrictRelease(done, lease.Stale) != done {
		t.Error("a released build is narrowed")
	}
	on, back := logic.Vote{Verdict: logic.VoteAdvance}, logic.Vote{Verdict: logic.VoteRollBack}
	if v.RestrictVote(on, lease.Full).Verdict != logic.VoteHold || v.RestrictVote(back, lease.Full) != back {
		t.Error("votes during a freeze")
	}
	free := NewView(New(cordon.DefaultBudget(), 1).Document)
	if free.RestrictVote(on, lease.Full) != on || free.RestrictVote(on, lease.None).Verdict != logic.VoteHold {
		t.Error("votes without a lease")
	}
	if got := UnsupportedKinds(b.Document, []string{"freeze"}); len(got) != 1 || got[0] != "ceiling" {
		t.Errorf("not understood: %v", got)
	}
}

// Two cordons are asked for in one moment, and pass the budget only together: exactly one is agreed, whichever comes first
// in the record. Judged when they arrive, each on what stood then, both would be.
func TestTwoCordonsInOneMoment(t *testing.T) {
	for _, order := range [][2]string{{"s0", "s1"}, {"s1", "s0"}} {
		b := New(cordon.Budget{Share: 0.125}, 1000)
		standing, agreed := b.Document.Rules.Cordons, 0
		for i, host := range order {
			if err := b.Budget.Check(cordon.Target{Host: host}, standing, servers(8)); err != nil {
				t.Fatalf("by itself %s is refused: %v", host, err)
			}
			a := ask(b, fmt.Sprint(i), closing(host))
			a.BaseVersion = 1
			if got := b.Submit(a, 1); got.Refused == RefusedStale { // as a client does, asked again on what stands now
				a.BaseVersion, a.Key = got.Version, a.Key+" again"
				got = b.Submit(a, 1)
				if got.Refused != RefusedBudget {
					t.Errorf("the second: %+v", got)
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
