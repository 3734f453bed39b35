package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Terms outside their bounds are refused, and the staleness bound allows for a slow clock and a slow send.
func TestTerms(t *testing.T) {
	good := DefaultTerms()
	if err := good.Check(); err != nil {
		t.Fatal(err)
	}
	for name, breakTerms := range map[string]func(*Terms){
		"no beat":      func(x *Terms) { x.Beat = 0 },
		"short lease":  func(x *Terms) { x.Length = 2 * x.Beat },
		"long shorter": func(x *Terms) { x.Longest = x.Length - 1 },
		"drift":        func(x *Terms) { x.Drift = 0.5 },
		"no send":      func(x *Terms) { x.Send = 0 },
	} {
		bad := good
		if breakTerms(&bad); bad.Check() == nil {
			t.Errorf("%s is accepted", name)
		}
	}
	if d := (Terms{Length: 3 * time.Second, Send: time.Second, Drift: 0.25}).StalenessBound(); d != 5*time.Second {
		t.Errorf("D is %v, want 3s/(1-0.25)+1s", d)
	}
}

// Whatever the clocks' rates within the drift, once a leader takes a lease for expired, the lease has expired and an attempt
// that was checked at its last moment has been sent.
func TestWaitOutlastsLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Length: time.Duration(rapid.IntRange(1, 1e5).Draw(t, "ms")) * time.Millisecond,
			Send: time.Duration(rapid.IntRange(1, 1e4).Draw(t, "send")) * time.Millisecond, Drift: rapid.Float64Range(0, 0.49).Draw(t, "drift")}
		terms.Longest = terms.Length
		rate := func(name string) float64 { return rapid.Float64Range(1-terms.Drift, 1+terms.Drift).Draw(t, name) }
		holder, leader := rate("holder"), rate("leader")
		transit := time.Duration(rapid.IntRange(0, 1e4).Draw(t, "transit")) * time.Millisecond // from sending the beat to receiving it
		lastSend := time.Duration(float64(terms.Length)/holder) + terms.Send                   // true time after the beat
		tracker := NewTracker(terms, 0)
		receivedAt := time.Duration(float64(transit) * leader)
		tracker.RecordBeat(receivedAt, "n", 1, 1, terms.Length)
		members := map[string]Member{"n": {Incarnation: 1, Mode: Hold}}
		justBeforeLastSend := time.Duration(float64(lastSend)*leader) - time.Microsecond
		if justBeforeLastSend > receivedAt && len(tracker.Stragglers(justBeforeLastSend, members, 2)) == 0 {
			t.Fatalf("lease taken for expired at %v on the leader's clock, before the last send", justBeforeLastSend)
		}
		if lastSend > transit+terms.StalenessBound() {
			t.Fatalf("last send %v after the beat was received, D is %v", lastSend-transit, terms.StalenessBound())
		}
	})
}

// A dispatcher may act only under a lease on a version that it has applied, or in mode serve after it has had a lease.
func TestHolder(t *testing.T) {
	h := Holder{Mode: Hold}
	if h.RecordGrant(0, 1, time.Second) || h.Permission(0) != None {
		t.Error("a lease on a version that was not applied counts")
	}
	h.Advance(3)
	if h.RecordGrant(0, 4, time.Second) {
		t.Error("a lease on a newer version counts")
	}
	if !h.RecordGrant(10*time.Second, 3, time.Second) || h.Permission(10*time.Second) != Full || h.Permission(11*time.Second) != None {
		t.Error("a lease does not run from the sending of its beat for its length")
	}
	if h.RecordGrant(9*time.Second, 3, time.Second); h.Permission(10500*time.Millisecond) != Full {
		t.Error("an older grant shortens a lease")
	}
	s := Holder{Mode: Serve}
	if s.Advance(1); s.Permission(0) != None {
		t.Error("serves without ever having had a lease: a cordon may be confirmed without it")
	}
	if s.RecordGrant(0, 1, time.Second); s.Permission(time.Second) != Stale {
		t.Error("does not go on serving after the lease has expired")
	}
	if s.Revoke(); s.Permission(time.Second) != None {
		t.Error("goes on serving in an incarnation that was replaced")
	}
}

// An incarnation is a straggler until it has reported the version or its lease has certainly expired; a dispatcher in mode
// serve is one until it has reported the version.
func TestTracker(t *testing.T) {
	terms := DefaultTerms()
	members := map[string]Member{"a": {Incarnation: 1, Mode: Hold}, "b": {Incarnation: 3, Mode: Hold, FormerIncarnations: []uint64{2}}, "c": {Incarnation: 4, Mode: Serve}}
	names := func(at time.Duration, r *Tracker, v uint64) (out string) {
		for _, m := range r.Stragglers(at, members, v) {
			out += m.Name
		}
		return out
	}
	startedAt := time.Hour
	r := NewTracker(terms, startedAt)
	if got := names(startedAt, r, 1); got != "abbc" {
		t.Errorf("at the start of a term: %q; an earlier leader may have granted leases to all", got)
	}
	r.RecordBeat(startedAt, "a", 1, 5, terms.Length)
	r.RecordBeat(startedAt, "c", 4, 5, terms.Length)
	if got := names(startedAt, r, 5); got != "bb" {
		t.Errorf("version 5: %q; a and c have reported it", got)
	}
	if got := names(startedAt, r, 6); got != "abbc" {
		t.Errorf("version 6: %q; no dispatcher has reported it", got)
	}
	late := startedAt + terms.ExpiryWait(terms.Longest)
	if got := names(late, r, 6); got != "c" {
		t.Errorf("after all leases have expired: %q; only c, in mode serve, may still act", got)
	}
	if got := r.LapsedIncarnations(late, members); len(got) != 1 || len(got["b"]) != 1 || got["b"][0] != 2 {
		t.Errorf("lapsed incarnations %v, want only 2 of b", got)
	}
	r.RecordBeat(late, "a", 1, 5, terms.Length) // one more beat, then none
	if got := names(late+terms.ExpiryWait(terms.Length)-1, r, 6); got != "ac" {
		t.Errorf("just before the lease of a expires: %q; the last beat of a may have been granted", got)
	}
}
