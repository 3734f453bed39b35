// Package driver connects the decision module with its surroundings: it carries out the module's actions through
// Effects, and feeds their results to the module as events. It is the part of a router's loop that uses no sockets,
// clocks or goroutines. The gateway runs it in real time and the rehearsal (the simulation) in virtual time, and each
// call is treated the same in both. It decides nothing.
package driver

import (
	"strconv"
	"time"

	"merlinarch/logic"
)

// Module makes the decisions; *logic.Router implements it. The slice that Handle returns is valid until the next call of
// Handle.
type Module interface {
	Handle(now time.Duration, e logic.Event) []logic.Action
}

// Call is a request that the module knows. T is the type of the caller's own record of it.
type Call[T any] struct {
	ID      logic.RequestID
	Request T // the caller's own record of it
	Server  logic.ServerID
	SentAt  time.Duration // when the latest attempt was sent, on the module's clock

	SendBy      time.Duration // the latest time at which the latest attempt may go out, on the module's clock; zero: no limit
	ForwardOnly bool          // its key may not go back to an earlier build; see logic.Send

	attempts           int
	inFlight, finished bool
}

// Attempt returns the number of the latest attempt; the first is 0, and -1 means none.
func (c *Call[T]) Attempt() int { return c.attempts - 1 }

// InFlight reports whether an attempt is in flight.
func (c *Call[T]) InFlight() bool { return c.inFlight }

// Finished reports whether the module has given the final answer or the client has left.
func (c *Call[T]) Finished() bool { return c.finished }

// Effects carries out the module's actions. None of its methods may call the driver before it returns.
type Effects[T any] interface {
	// Start begins the call's attempt, which the driver already counts as in flight; a zero timeout means until the client
	// gives up. Its end must be reported exactly once, with EndAttempt and ReportOutcome.
	Start(c *Call[T], timeout time.Duration)
	// CancelAttempt cancels the attempt in flight, whose end must still be reported.
	CancelAttempt(c *Call[T])
	// Finish gives the client the final answer of the module.
	Finish(c *Call[T], refused bool, retryAfter time.Duration)
	// Do carries out an action that belongs to no call.
	Do(a logic.Action)
	// ReportStray reports an action for a call that does not exist or is not in a state for it.
	ReportStray(a logic.Action)
}

// Driver runs one module.
type Driver[T any] struct {
	module  Module
	effects Effects[T]
	calls   map[logic.RequestID]*Call[T]
	lastID  uint64
}

// New returns a driver of a module.
func New[T any](m Module, e Effects[T]) *Driver[T] {
	return &Driver[T]{module: m, effects: e, calls: map[logic.RequestID]*Call[T]{}}
}

// OpenCalls returns the number of calls without a final answer or with an attempt in flight.
func (d *Driver[T]) OpenCalls() int { return len(d.calls) }

// Feed gives the module one event and carries out the actions that it returns.
func (d *Driver[T]) Feed(now time.Duration, e logic.Event) {
	for _, a := range d.module.Handle(now, e) {
		d.perform(now, a)
	}
}

// Submit gives the module a request under an id that the driver assigns in place of e.ID, since a client's id may come
// twice, even while its first request is in progress.
func (d *Driver[T]) Submit(now time.Duration, request T, e logic.RequestArrived) *Call[T] {
	d.lastID++
	c := &Call[T]{ID: logic.RequestID(strconv.FormatUint(d.lastID, 36)), Request: request}
	d.calls[c.ID] = c
	e.ID = c.ID
	d.Feed(now, e)
	return c
}

// Abandon tells the module that a request has ended without an answer from it, and reports whether the call is done. It is
// not while an attempt is in flight, which may still bring an answer for a client that has only stopped sending.
func (d *Driver[T]) Abandon(now time.Duration, c *Call[T]) (done bool) {
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

// EndAttempt marks an attempt as ended and returns its call. It returns nil if that attempt is not in flight, so that an
// outcome reported twice or late does not count for the next attempt. ReportOutcome must follow.
func (d *Driver[T]) EndAttempt(id logic.RequestID, attempt int) *Call[T] {
	c := d.calls[id]
	if c == nil || !c.inFlight || attempt != c.attempts-1 {
		return nil
	}
	c.inFlight = false
	return c
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Outcome     logic.Outcome
	EndedAt     time.Duration // when the end was seen, on the module's clock
	AnswerBegun bool          // a successful answer had begun to arrive, but is not usable
	Load        *logic.Load
}

// ReportOutcome gives the module the result of an attempt; requestOver tells that the request has ended with it. The
// client must have its answer by then, so that it does not wait for what the module does next.
func (d *Driver[T]) ReportOutcome(now time.Duration, c *Call[T], e AttemptResult, requestOver bool) {
	d.Feed(now, logic.AttemptDone{ID: c.ID, Outcome: e.Outcome, Duration: e.EndedAt - c.SentAt, Server: c.Server,
		Attempt: c.attempts - 1, RequestEnded: requestOver, AnswerBegun: e.AnswerBegun, Load: e.Load})
	if requestOver {
		delete(d.calls, c.ID)
	}
}

// perform carries out one action of the module.
func (d *Driver[T]) perform(now time.Duration, a logic.Action) {
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

// finish gives a call its final answer, and forgets the call unless an attempt is in flight.
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
