// Package exchange holds the object through which alone the client side and the server side of the router
// meet: what is passed on unchanged, the fields that decisions need, and the final answer, exactly one. It
// knows no protocol, so that others can be put before the same decisions.
package exchange

import (
	"sync"
	"sync/atomic"
	"time"
)

// Message is what is passed on as it came.
type Message struct {
	Method   string // what is asked to be done
	Target   string // what it is asked of, path and query as written by the client
	ID       string // the client's own id of this try; it may come twice
	DedupKey string // under which servers drop repeats; empty where there is none
	Body     []byte
}

// Fields is what decisions need to know of a request.
type Fields struct {
	Class        string
	Tenant       string
	Key          uint64
	HasKey       bool
	ExpectedWork time.Duration // expected work; zero where unknown
	IsRetry      bool          // marked by the client as a repeat
	RequiredZone string        // that alone has what it asks for; empty: any
}

// Status tells how a request ended.
type Status int

// Ends of a request.
const (
	Served   Status = iota
	Refused         // trying again is harmless
	Failed          // promises nothing
	TimedOut        // failed, as its time ran out
)

// Answer is the final answer to a request.
type Answer struct {
	Status     Status
	Body       []byte        // of a server's answer, unchanged
	FreeBody   func()        // to be called once the body is of no more use; nil: nothing to do
	RetryAfter time.Duration // of a refusal; zero: no advice
	Attempts   int           // at servers, that were made for it
}

// Exchange is one request on its way through the router.
type Exchange struct {
	Message    Message
	Fields     Fields
	Deadline   time.Time // when the decisions' time is over
	DispatchID string    // the name of the planned work that it is, under the agreed rules; empty: a client's request

	abandoned atomic.Bool

	mu     sync.Mutex
	ended  bool
	answer Answer
	done   chan struct{}
}

// New begins an exchange.
func New(m Message, f Fields, deadline time.Time) *Exchange {
	return &Exchange{Message: m, Fields: f, Deadline: deadline, done: make(chan struct{})}
}

// Finish gives the final answer and tells whether this one counts. Danger: a late answer of the decisions
// and the client side's own at the deadline may cross; only the first is ever given.
func (e *Exchange) Finish(a Answer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.ended, e.answer = true, a
	close(e.done)
	return true
}

// Leave notes that nobody waits for the answer any more.
func (e *Exchange) Abandon() { e.abandoned.Store(true) }

// Left tells that nobody waits for the answer any more.
func (e *Exchange) Abandoned() bool { return e.abandoned.Load() }

// Release gives back what an answer holds.
func (a Answer) Release() {
	if a.FreeBody != nil {
		a.FreeBody()
	}
}

// Done is closed once the final answer is there.
func (e *Exchange) Done() <-chan struct{} { return e.done }

// Ended tells whether the final answer is there.
func (e *Exchange) Ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Answer is the final answer; it is meaningful once Done is closed.
func (e *Exchange) Answer() Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answer
}
