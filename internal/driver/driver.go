// Package driver turns the module's actions into effects, and what becomes of them into the module's events. It
// is the part of a router's loop that knows neither sockets nor clocks nor goroutines: the gateway drives it in
// real time, the rehearsal in virtual time, and both owe each call the same things. It decides nothing.
package driver

import (
	"strconv"
	"time"

	"merlinarch/logic"
)

// Module makes the decisions. Handle's slice is valid until its next call. *logic.Router is one.
type Module interface {
	Handle(now time.Duration, e logic.Event) []logic.Action
}

// Call is a request that the module knows of.
type Call[T any] struct {
	ID      logic.RequestID
	Request T // what the host of the driver knows it by
	Server  logic.ServerID
	SentAt  time.Duration // the latest attempt's, on the module's clock

	SendBy      time.Duration // the latest time at which the latest attempt may go out, on the module's clock; zero: any
	ForwardOnly bool          // of a key that goes to no earlier build any more; see logic.Send

	attempts           int
	inFlight, finished bool
}

// Attempt is the number of the latest attempt; the first is 0.
func (c *Call[T]) Attempt() int { return c.attempts - 1 }

// Out tells whether an attempt is out.
func (c *Call[T]) InFlight() bool { return c.inFlight }

// Gone tells whether the client has its final answer from the module, or has left.
func (c *Call[T]) Finished() bool { return c.finished }

// Effects carries out what the module asks. None of its methods may call the driver back before it returns.
type Effects[T any] interface {
	// Start begins the attempt that the call now has out; a zero timeout means until the client gives up.
	// Its end is to be told with Outcome exactly once.
	Start(c *Call[T], timeout time.Duration)
	// GiveUp ends the attempt that is out; Outcome still follows.
	CancelAttempt(c *Call[T])
	// Finish gives the client the module's final answer.
	Finish(c *Call[T], refused bool, retryAfter time.Duration)
	// Do carries out an action that concerns no call.
	Do(a logic.Action)
	// Stray is told of an action for a call that is not there or not in a state for it.
	ReportStray(a logic.Action)
}

// Driver feeds one module.
type Driver[T any] struct {
	module  Module
	effects Effects[T]
	calls   map[logic.RequestID]*Call[T]
	serial  uint64
}

// New makes a driver round a module.
func New[T any](m Module, e Effects[T]) *Driver[T] {
	return &Driver[T]{module: m, effects: e, calls: map[logic.RequestID]*Call[T]{}}
}

// Open is the number of calls that have no final answer or have an attempt out.
func (d *Driver[T]) OpenCalls() int { return len(d.calls) }

// Feed gives the module one event and carries out what it asks.
func (d *Driver[T]) Feed(now time.Duration, e logic.Event) {
	for _, a := range d.module.Handle(now, e) {
		d.act(now, a)
	}
}

// Arrive hands over a request under a name of the driver's own, which replaces e.ID. Danger: a client's id may
// come twice, even while the first is out.
func (d *Driver[T]) Submit(now time.Duration, of T, e logic.RequestArrived) *Call[T] {
	d.serial++
	c := &Call[T]{ID: logic.RequestID(strconv.FormatUint(d.serial, 36)), Request: of}
	d.calls[c.ID] = c
	e.ID = c.ID
	d.Feed(now, e)
	return c
}

// Leave tells that a request has ended without the module's doing. It returns false where an attempt is still
// out, whose end may bring an answer for a client that has only stopped sending.
func (d *Driver[T]) Abandon(now time.Duration, c *Call[T]) (over bool) {
	if d.calls[c.ID] != c {
		return true
	}
	c.finished = true
	d.Feed(now, logic.ClientGone{ID: c.ID})
	if !c.inFlight {
		delete(d.calls, c.ID)
	}
	return !c.inFlight
}

// Returned finds the call whose attempt has ended, and notes that; nil for one that is not out. Danger: an
// outcome told twice, or late, must not pass for the next attempt's. Settled must follow.
func (d *Driver[T]) EndAttempt(id logic.RequestID, attempt int) *Call[T] {
	c := d.calls[id]
	if c == nil || !c.inFlight || attempt != c.attempts-1 {
		return nil
	}
	c.inFlight = false
	return c
}

// End is how an attempt ended.
type AttemptResult struct {
	Outcome     logic.Outcome
	EndedAt     time.Duration // when that was seen, on the module's clock
	AnswerBegun bool          // a good answer had begun to come, though it is of no use
	Load        *logic.Load
}

// Settled gives the module the end of an attempt; over tells that the request has ended with it. The client has
// its answer by then: it does not wait for what the module does next.
func (d *Driver[T]) ReportOutcome(now time.Duration, c *Call[T], e AttemptResult, over bool) {
	d.Feed(now, logic.AttemptDone{ID: c.ID, Outcome: e.Outcome, Duration: e.EndedAt - c.SentAt, Server: c.Server,
		Attempt: c.attempts - 1, RequestEnded: over, AnswerBegun: e.AnswerBegun, Load: e.Load})
	if over {
		delete(d.calls, c.ID)
	}
}

func (d *Driver[T]) act(now time.Duration, a logic.Action) {
	switch a := a.(type) {
	case logic.Send:
		c := d.calls[a.ID]
		if c == nil || c.inFlight {
			d.effects.ReportStray(a)
			return
		}
		c.attempts, c.SentAt, c.SendBy, c.ForwardOnly, c.Server, c.inFlight = c.attempts+1, now, a.SendBy, a.ForwardOnly, a.Server, true
		d.effects.Start(c, a.Timeout)
	case logic.Cancel:
		c := d.calls[a.ID]
		if c == nil || !c.inFlight || a.Attempt != c.attempts-1 {
			d.effects.ReportStray(a)
			return
		}
		d.effects.CancelAttempt(c)
	case logic.Refuse:
		d.finish(a.ID, a, true, a.RetryAfter)
	case logic.Fail:
		d.finish(a.ID, a, false, 0)
	default:
		d.effects.Do(a)
	}
}

func (d *Driver[T]) finish(id logic.RequestID, a logic.Action, refused bool, retryAfter time.Duration) {
	c := d.calls[id]
	if c == nil {
		d.effects.ReportStray(a)
		return
	}
	d.effects.Finish(c, refused, retryAfter)
	if c.finished = true; !c.inFlight {
		delete(d.calls, id)
	}
}
