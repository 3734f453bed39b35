package accord

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/metrics"
	"merlinarch/internal/testwait"
)

// rulesView returns a version of the rules with the given cordoned hosts and dispatches.
func rulesView(version uint64, cordoned []string, dispatches ...string) *ruleset.View {
	d := ruleset.Document{Head: ruleset.Head{Version: version}, Rules: ruleset.Rules{Cordons: map[string]cordon.Cordon{}, Dispatches: map[string]ruleset.Dispatch{}}}
	for _, h := range cordoned {
		d.Rules.Cordons[h] = cordon.Cordon{Target: cordon.Target{Host: h}}
	}
	for _, p := range dispatches {
		d.Rules.Dispatches[p] = ruleset.Dispatch{}
	}
	return ruleset.NewView(d)
}

// newOpenGate returns a gate with version 1 applied, the dispatch "sheet" and a lease of the given length.
func newOpenGate(t *testing.T, mode lease.Mode, length time.Duration) *Gate {
	t.Helper()
	g := NewGate(mode, Clock{}, metrics.New())
	if err := g.Apply(t.Context(), rulesView(1, nil, "sheet")); err != nil {
		t.Fatal(err)
	}
	if !g.Grant(g.clock.Now(), 1, length) {
		t.Fatal("the lease on version 1 was refused")
	}
	return g
}

func noAbort() {}

// Without a lease, mode hold sends nothing and mode serve only clients' requests. Neither sends dispatches, and neither
// sends anything before the first version or after a later incarnation has replaced this one.
func TestGateWithoutLease(t *testing.T) {
	g := NewGate(lease.Serve, Clock{}, metrics.New())
	if _, err := g.Begin("a", 0, "", noAbort); !errors.Is(err, ErrNoLease) || !g.Refusing() {
		t.Errorf("before any version: %v", err)
	}
	for _, mode := range []lease.Mode{lease.Hold, lease.Serve} {
		g := newOpenGate(t, mode, 30*time.Millisecond)
		p, err := g.Begin("a", 0, "", noAbort)
		if err != nil {
			t.Fatal(err)
		}
		sheet, err := g.Begin("a", 0, "sheet", noAbort)
		if err != nil {
			t.Fatal(err)
		}
		testwait.Until(t, "the lease to end", func() bool { return g.LeaseRemaining() < 0 })
		if err := p.Recheck(); (mode == lease.Hold) != errors.Is(err, ErrNoLease) {
			t.Errorf("%s: the rest of a partly sent request: %v", mode, err)
		}
		if err := sheet.Recheck(); !errors.Is(err, ErrNoLease) {
			t.Errorf("%s: the rest of a dispatch without a lease: %v", mode, err)
		}
		if _, err := g.Begin("a", 0, "", noAbort); (mode == lease.Hold) != errors.Is(err, ErrNoLease) {
			t.Errorf("%s: a new request: %v", mode, err)
		}
		if g.Revoke(); !g.Refusing() {
			t.Errorf("%s: the gate is open although a later incarnation replaced this one", mode)
		}
		p.End()
		sheet.End()
	}
}

// Apply aborts the attempts that the new version forbids and returns only when they have ended. An attempt that is still
// allowed does not delay it, even if its server does not read.
func TestApplyWaitsForForbiddenAttempts(t *testing.T) {
	g := newOpenGate(t, lease.Hold, time.Hour)
	aborted := make(chan string, 4)
	begin := func(host, dispatch string) *Permit {
		t.Helper()
		p, err := g.Begin(host, 0, dispatch, func() { aborted <- host + dispatch })
		if err != nil {
			t.Fatal(err)
		}
		return p
	}
	cordoned, allowed, withdrawn := begin("a", ""), begin("b", ""), begin("b", "sheet")
	done := make(chan error, 1)
	go func() { done <- g.Apply(t.Context(), rulesView(2, []string{"a"})) }()
	got := []string{testwait.Value(t, "a first attempt to be aborted", aborted), testwait.Value(t, "a second attempt to be aborted", aborted)}
	if strings.Join(got, " ") != "a bsheet" && strings.Join(got, " ") != "bsheet a" {
		t.Errorf("aborted: %v", got)
	}
	if err := cordoned.Recheck(); !errors.Is(err, ErrCordoned) {
		t.Errorf("the rest of a request to a cordoned server: %v", err)
	}
	if err := withdrawn.Recheck(); !errors.Is(err, ErrWithdrawn) {
		t.Errorf("the rest of a withdrawn dispatch: %v", err)
	}
	if _, err := g.Begin("a", 0, "", noAbort); !errors.Is(err, ErrCordoned) {
		t.Errorf("a new request to a cordoned server: %v", err)
	}
	later := begin("b", "") // under the new version, so Apply does not wait for it
	cordoned.End()
	select {
	case err := <-done:
		t.Fatalf("applied while a forbidden request is still being sent: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	if g.HeldVersion() != 1 {
		t.Errorf("held version %d before the new one was applied, want 1", g.HeldVersion())
	}
	withdrawn.End()
	if err := testwait.Value(t, "the version to be applied", done); err != nil || g.HeldVersion() != 2 {
		t.Errorf("%v, held version %d, want 2", err, g.HeldVersion())
	}
	later.End()
	if err := allowed.Recheck(); err != nil {
		t.Errorf("a request that both versions allow: %v", err)
	}
	allowed.End()
	if g.Grant(g.clock.Now(), 3, time.Hour) {
		t.Error("accepted a lease on a version that was not applied")
	}
	stuck := begin("a2", "")
	defer stuck.End()
	ctx, stop := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	if err := g.Apply(ctx, rulesView(4, []string{"a2"})); !errors.Is(err, context.DeadlineExceeded) || g.HeldVersion() != 2 {
		t.Errorf("a server that does not read, and is now cordoned: %v, held version %d, want 2", err, g.HeldVersion())
	}
}

// Both sides reject a body that does not match its digest; a server rejects one that is too long.
func TestBodyDigestAndSize(t *testing.T) {
	corrupt := false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var e EnrolRequest
		if err := ReadRequest(r, 64, &e); err != nil {
			WriteResponse(w, NewProblem(CodeInvalid, err.Error()))
			return
		}
		if corrupt {
			w.Header().Set(headerDigest, digest([]byte("another")))
			w.Write([]byte(`{"life":7}`))
			return
		}
		WriteResponse(w, EnrolResponse{Incarnation: 7})
	}))
	defer s.Close()
	addr := strings.TrimPrefix(s.URL, "http://")
	var got EnrolResponse
	if err := Call(t.Context(), s.Client(), addr, "/", map[string]string{"name": "n"}, &got); err != nil || got.Incarnation != 7 {
		t.Errorf("%+v %v", got, err)
	}
	var p *Problem
	if err := Call(t.Context(), s.Client(), addr, "/", map[string]string{"name": strings.Repeat("n", 64)}, &got); !errors.As(err, &p) || p.Code != CodeInvalid {
		t.Errorf("a request that is too long: %v", err)
	}
	req, _ := http.NewRequest(http.MethodPost, s.URL, strings.NewReader(`{"name":"n"}`))
	req.Header.Set(headerDigest, digest([]byte(`{"name":"m"}`)))
	if resp, err := s.Client().Do(req); err != nil || resp.StatusCode != http.StatusBadRequest {
		t.Errorf("a corrupted request: %v %v", resp, err)
	} else {
		resp.Body.Close()
	}
	corrupt = true
	if err := Call(t.Context(), s.Client(), addr, "/", map[string]string{"name": "n"}, &got); !errors.Is(err, ErrDigestMismatch) {
		t.Errorf("a corrupted answer: %v", err)
	}
}

// BenchmarkPermit measures what the gate adds to an attempt.
func BenchmarkPermit(b *testing.B) {
	g := NewGate(lease.Hold, Clock{}, metrics.New())
	g.Apply(context.Background(), rulesView(1, []string{"x"}))
	g.Grant(g.clock.Now(), 1, time.Hour)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			p, err := g.Begin("a", 0, "", noAbort)
			if err != nil || p.Recheck() != nil {
				b.Error(err)
				return
			}
			p.End()
		}
	})
}
