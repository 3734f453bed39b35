package driver

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"merlinarch/logic"
)

// scripted answers each event with the actions that a test has put there.
type scripted struct {
	next []logic.Action
	seen []string
}

func (m *scripted) Handle(_ time.Duration, e logic.Event) []logic.Action {
	m.seen = append(m.seen, fmt.Sprintf("%T", e))
	if d, ok := e.(logic.AttemptDone); ok {
		m.seen = append(m.seen, fmt.Sprintf("%s %d took %v final %v begun %v", d.ID, d.Attempt, d.Duration, d.RequestEnded, d.AnswerBegun))
	}
	out := m.next
	m.next = nil
	return out
}

type effects struct{ did []string }

func (f *effects) note(format string, args ...any) {
	f.did = append(f.did, fmt.Sprintf(format, args...))
}

func (f *effects) Start(c *Call[string], timeout time.Duration) {
	f.note("start %s %d at %d in %v", c.Request, c.Attempt(), c.Server, timeout)
}
func (f *effects) CancelAttempt(c *Call[string]) { f.note("give up %s", c.Request) }
func (f *effects) Finish(c *Call[string], refused bool, after time.Duration) {
	f.note("finish %s refused %v after %v", c.Request, refused, after)
}
func (f *effects) Do(a logic.Action)          { f.note("do %T", a) }
func (f *effects) ReportStray(a logic.Action) { f.note("stray %T", a) }

func rig() (*Driver[string], *scripted, *effects) {
	m, f := &scripted{}, &effects{}
	return New[string](m, f), m, f
}

func (f *effects) want(t *testing.T, did ...string) {
	t.Helper()
	if !slices.Equal(f.did, did) {
		t.Errorf("did %q, want %q", f.did, did)
	}
	f.did = nil
}

// A request's attempts come one at a time; an outcome that was told already, or is of an earlier attempt, is nobody's.
func TestAttempts(t *testing.T) {
	d, m, f := rig()
	m.next = []logic.Action{logic.Send{ID: "1", Server: 7, Timeout: time.Second}, logic.Send{ID: "1", Server: 8}}
	c := d.Submit(time.Minute, "x", logic.RequestArrived{ID: "the client's"})
	f.want(t, "start x 0 at 7 in 1s", "stray logic.Send")
	if d.EndAttempt("1", 1) != nil || d.EndAttempt("2", 0) != nil {
		t.Error("another attempt's outcome was taken")
	}
	if d.EndAttempt("1", 0) != c || d.EndAttempt("1", 0) != nil {
		t.Error("an outcome was not taken once")
	}
	m.next = []logic.Action{logic.Send{ID: "1", Server: 8}}
	d.ReportOutcome(time.Minute+3*time.Second, c, AttemptResult{Outcome: logic.Reset, EndedAt: time.Minute + 2*time.Second, AnswerBegun: true}, false)
	f.want(t, "start x 1 at 8 in 0s")
	if d.EndAttempt("1", 0) != nil {
		t.Error("the first attempt's outcome passed for the second's")
	}
	if d.EndAttempt("1", 1) != c {
		t.Error("the second attempt's outcome was not taken")
	}
	d.ReportOutcome(time.Minute+5*time.Second, c, AttemptResult{Outcome: logic.OK, EndedAt: time.Minute + 5*time.Second}, true)
	if d.OpenCalls() != 0 || !slices.Contains(m.seen, "1 0 took 2s final false begun true") || !slices.Contains(m.seen, "1 1 took 2s final true begun false") {
		t.Errorf("%d open, %v", d.OpenCalls(), m.seen)
	}
}

// A final answer while an attempt is out keeps the call until its outcome; one without forgets it at once.
func TestFinish(t *testing.T) {
	d, m, f := rig()
	m.next = []logic.Action{logic.Send{ID: "1", Server: 7}}
	c := d.Submit(0, "x", logic.RequestArrived{})
	m.next = []logic.Action{logic.Refuse{ID: "1", RetryAfter: time.Second}, logic.Cancel{ID: "1", Attempt: 1}, logic.Cancel{ID: "1"}}
	d.Feed(0, logic.TimerFired{})
	f.want(t, "start x 0 at 7 in 0s", "finish x refused true after 1s", "stray logic.Cancel", "give up x")
	if d.OpenCalls() != 1 || !c.Finished() || !c.InFlight() {
		t.Error("the attempt is forgotten")
	}
	d.ReportOutcome(0, d.EndAttempt("1", 0), AttemptResult{Outcome: logic.Cancelled}, true)
	m.next = []logic.Action{logic.Fail{ID: "2"}, logic.Fail{ID: "2"}, logic.SetTimer{}}
	if c := d.Submit(0, "y", logic.RequestArrived{}); !c.Finished() || d.OpenCalls() != 0 {
		t.Error("a call that has ended is kept")
	}
	f.want(t, "finish y refused false after 0s", "stray logic.Fail", "do logic.SetTimer")
}

// A client that leaves ends a call, unless an attempt is out.
func TestLeave(t *testing.T) {
	d, m, _ := rig()
	c := d.Submit(0, "x", logic.RequestArrived{})
	if !d.Abandon(0, c) || d.OpenCalls() != 0 || !d.Abandon(0, c) {
		t.Error("a call without an attempt is kept")
	}
	m.next = []logic.Action{logic.Send{ID: "2", Server: 7}}
	c = d.Submit(0, "y", logic.RequestArrived{})
	if d.Abandon(0, c) || d.OpenCalls() != 1 || !c.Finished() {
		t.Error("a call with an attempt out is forgotten")
	}
	d.ReportOutcome(0, d.EndAttempt("2", 0), AttemptResult{Outcome: logic.OK}, true)
	if d.OpenCalls() != 0 {
		t.Error("still open")
	}
}
