package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestTerms(t *testing.T) {
	good := DefaultTerms()
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for name, spoil := range map[string]func(*Terms){
		"no beat":      func(x *Terms) { x.Beat = 0 },
		"short lease":  func(x *Terms) { x.Length = 2 * x.Beat },
		"long shorter": func(x *Terms) { x.Longest = x.Length - 1 },
		"drift":        func(x *Terms) { x.Drift = 0.5 },
		"no send":      func(x *Terms) { x.Send = 0 },
	} {
		bad := good
		if spoil(&bad); bad.Check() == nil {
			t.Errorf("%s is taken", name)
		}
	}
	if d := (Terms{Length: 3 * time.Second, Send: time.Second, Drift: 0.25}).StalenessBound(); d != 5*time.Second {
		t.Errorf("D is %v, want 3s/(1-0.25)+1s", d)
	}
}

// However clocks run within their bounds, what a leader takes for over is over: the lease that it granted, and the send
// that was checked at its last moment.
func TestWaitOutlastsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Length: time.Duration(rapid.IntRange(1, 1e5).Draw(t, "ms")) * time.Millisecond,
			Send: time.Duration(rapid.IntRange(1, 1e4).Draw(t, "send")) * time.Millisecond, Drift: rapid.Float64Range(0, 0.49).Draw(t, "drift")}
		terms.Longest = terms.Length
		rate := func(name string) float64 { return rapid.Float64Range(1-terms.Drift, 1+terms.Drift).Draw(t, name) }
		holder, leader := rate("holder"), rate("leader")
		transit := time.Duration(rapid.IntRange(0, 1e4).Draw(t, "transit")) * time.Millisecond // from the asking to its hearing
		lastSend := time.Duration(float64(terms.Length)/holder) + terms.Send                   // after the asking, true time
		roll := NewTracker(terms, 0)
		heard := time.Duration(float64(transit) * leader)
		roll.RecordBeat(heard, "n", 1, 1, terms.Length)
		members := map[string]Member{"n": {Incarnation: 1, Mode: Hold}}
		over := time.Duration(float64(lastSend)*leader) - time.Microsecond
		if over > heard && len(roll.Stragglers(over, members, 2)) == 0 {
			t.Fatalf("taken for over %v before the last send", over)
		}
		if lastSend > transit+terms.StalenessBound() {
			t.Fatalf("a send %v after it was heard, D is %v", lastSend-transit, terms.StalenessBound())
		}
	})
}

func TestHolder(t *testing.T) {
	h := Holder{Mode: Hold}
	if h.RecordGrant(0, 1, time.Second) || h.Permission(0) != None {
		t.Error("a lease on a version that was not taken in counts")
	}
	h.Advance(3)
	if h.RecordGrant(0, 4, time.Second) {
		t.Error("a lease on a newer version counts")
	}
	if !h.RecordGrant(10*time.Second, 3, time.Second) || h.Permission(10*time.Second) != Full || h.Permission(11*time.Second) != None {
		t.Error("a lease runs from its asking, and no longer")
	}
	if h.RecordGrant(9*time.Second, 3, time.Second); h.Permission(10500*time.Millisecond) != Full {
		t.Error("an older answer shortens a lease")
	}
	s := Holder{Mode: Serve}
	if s.Advance(1); s.Permission(0) != None {
		t.Error("serves before the record knows of it: a cordon may be confirmed without it")
	}
	if s.RecordGrant(0, 1, time.Second); s.Permission(time.Second) != Stale {
		t.Error("does not serve on")
	}
	if s.Revoke(); s.Permission(time.Second) != None {
		t.Error("serves on in a life that was replaced")
	}
}

func TestRoll(t *testing.T) {
	terms := DefaultTerms()
	members := map[string]Member{"a": {Incarnation: 1, Mode: Hold}, "b": {Incarnation: 3, Mode: Hold, FormerIncarnations: []uint64{2}}, "c": {Incarnation: 4, Mode: Serve}}
	names := func(at time.Duration, r *Tracker, v uint64) (out string) {
		for _, m := range r.Stragglers(at, members, v) {
			out += m.Name
		}
		return out
	}
	begun := time.Hour
	r := NewTracker(terms, begun)
	if got := names(begun, r, 1); got != "abbc" {
		t.Errorf("at the begin of a term %q: an earlier leader may have granted leases", got)
	}
	r.RecordBeat(begun, "a", 1, 5, terms.Length)
	r.RecordBeat(begun, "c", 4, 5, terms.Length)
	if got := names(begun, r, 5); got != "bb" {
		t.Errorf("who told that it holds 5 is missing: %q", got)
	}
	if got := names(begun, r, 6); got != "abbc" {
		t.Errorf("version 6: %q", got)
	}
	late := begun + terms.ExpiryWait(terms.Longest)
	if got := names(late, r, 6); got != "c" {
		t.Errorf("leases are over, and who serves on is missing: %q", got)
	}
	if got := r.LapsedIncarnations(late, members); len(got) != 1 || len(got["b"]) != 1 || got["b"][0] != 2 {
		t.Errorf("lapsed %v", got)
	}
	r.RecordBeat(late, "a", 1, 5, terms.Length) // asks, and is silent again
	if got := names(late+terms.ExpiryWait(terms.Length)-1, r, 6); got != "ac" {
		t.Errorf("an asking that was just heard may be granted: %q", got)
	}
}
