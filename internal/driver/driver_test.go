package driver

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"merlinarch/logic"
)

// scriptedModule answers the next event with the actions in next, and records all events.
type scriptedModule struct {
	next []logic.Action
	seen []string
}

func (m *scriptedModule) Handle(_ time.Duration, e logic.Event) []logic.Action {
	m.seen = append(m.seen, fmt.Sprintf("%T", e))
	if d, ok := e.(logic.AttemptDone); ok {
		m.seen = append(m.seen, fmt.Sprintf("%s %d took %v final %v begun %v", d.ID, d.Attempt, d.Duration, d.RequestEnded, d.AnswerBegun))
	}
	out := m.next
	m.next = nil
	return out
}

type recordedEffects struct{ actions []string }

func (f *recordedEffects) record(format string, args ...any) {
	f.actions = append(f.actions, fmt.Sprintf(format, args...))
}

func (f *recordedEffects) Start(c *Call[string], timeout time.Duration) {
	f.record("start %s %d at %d in %v", c.Request, c.Attempt(), c.Server, timeout)
}
func (f *recordedEffects) CancelAttempt(c *Call[string]) { f.record("give up %s", c.Request) }
func (f *recordedEffects) Finish(c *Call[string], refused bool, after time.Duration) {
	f.record("finish %s refused %v after %v", c.Request, refused, after)
}
func (f *recordedEffects) Do(a logic.Action)          { f.record("do %T", a) }
func (f *recordedEffects) ReportStray(a logic.Action) { f.record("stray %T", a) }

func newTestDriver() (*Driver[string], *scriptedModule, *recordedEffects) {
	m, f := &scriptedModule{}, &recordedEffects{}
	return New[string](m, f), m, f
}

func (f *recordedEffects) expect(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(f.actions, want) {
		t.Errorf("did %q, want %q", f.actions, want)
	}
	f.actions = nil
}

// Attempts of a request are made one at a time. An outcome that was reported before, or belongs to an earlier attempt, is
// ignored.
func TestAttempts(t *testing.T) {
	d, m, f := newTestDriver()
	m.next = []logic.Action{logic.Send{ID: "1", Server: 7, Timeout: time.Second}, logic.Send{ID: "1", Server: 8}}
	c := d.Submit(time.Minute, "x", logic.RequestArrived{ID: "the client's"})
	f.expect(t, "start x 0 at 7 in 1s", "stray logic.Send")
	if d.EndAttempt("1", 1) != nil || d.EndAttempt("2", 0) != nil {
		t.Error("the outcome of an unknown attempt was accepted")
	}
	if d.EndAttempt("1", 0) != c || d.EndAttempt("1", 0) != nil {
		t.Error("an outcome was not accepted exactly once")
	}
	m.next = []logic.Action{logic.Send{ID: "1", Server: 8}}
	d.ReportOutcome(time.Minute+3*time.Second, c, AttemptResult{Outcome: logic.Reset, EndedAt: time.Minute + 2*time.Second, AnswerBegun: true}, false)
	f.expect(t, "start x 1 at 8 in 0s")
	if d.EndAttempt("1", 0) != nil {
		t.Error("the outcome of the first attempt was accepted for the second")
	}
	if d.EndAttempt("1", 1) != c {
		t.Error("the outcome of the second attempt was not accepted")
	}
	d.ReportOutcome(time.Minute+5*time.Second, c, AttemptResult{Outcome: logic.OK, EndedAt: time.Minute + 5*time.Second}, true)
	if d.OpenCalls() != 0 || !slices.Contains(m.seen, "1 0 took 2s final false begun true") || !slices.Contains(m.seen, "1 1 took 2s final true begun false") {
		t.Errorf("%d open, %v", d.OpenCalls(), m.seen)
	}
}

// A call with a final answer is kept while an attempt is in flight, and is otherwise forgotten at once.
func TestFinish(t *testing.T) {
	d, m, f := newTestDriver()
	m.next = []logic.Action{logic.Send{ID: "1", Server: 7}}
	c := d.Submit(0, "x", logic.RequestArrived{})
	m.next = []logic.Action{logic.Refuse{ID: "1", RetryAfter: time.Second}, logic.Cancel{ID: "1", Attempt: 1}, logic.Cancel{ID: "1"}}
	d.Feed(0, logic.TimerFired{})
	f.expect(t, "start x 0 at 7 in 0s", "finish x refused true after 1s", "stray logic.Cancel", "give up x")
	if d.OpenCalls() != 1 || !c.Finished() || !c.InFlight() {
		t.Error("a call with an attempt in flight was forgotten")
	}
	d.ReportOutcome(0, d.EndAttempt("1", 0), AttemptResult{Outcome: logic.Cancelled}, true)
	m.next = []logic.Action{logic.Fail{ID: "2"}, logic.Fail{ID: "2"}, logic.SetTimer{}}
	if c := d.Submit(0, "y", logic.RequestArrived{}); !c.Finished() || d.OpenCalls() != 0 {
		t.Error("a call that has ended is kept")
	}
	f.expect(t, "finish y refused false after 0s", "stray logic.Fail", "do logic.SetTimer")
}

// Abandoning a call ends it, unless an attempt is in flight.
func TestAbandon(t *testing.T) {
	d, m, _ := newTestDriver()
	c := d.Submit(0, "x", logic.RequestArrived{})
	if !d.Abandon(0, c) || d.OpenCalls() != 0 || !d.Abandon(0, c) {
		t.Error("a call without an attempt is kept")
	}
	m.next = []logic.Action{logic.Send{ID: "2", Server: 7}}
	c = d.Submit(0, "y", logic.RequestArrived{})
	if d.Abandon(0, c) || d.OpenCalls() != 1 || !c.Finished() {
		t.Error("a call with an attempt in flight was forgotten")
	}
	d.ReportOutcome(0, d.EndAttempt("2", 0), AttemptResult{Outcome: logic.OK}, true)
	if d.OpenCalls() != 0 {
		t.Error("the call is kept after its last outcome")
	}
}
