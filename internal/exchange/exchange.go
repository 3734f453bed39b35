// Package exchange defines the Exchange, the only object that the client side and the server side of the router share
// for a request. It holds what is passed on unchanged, the fields that decisions need, and exactly one final answer. The
// package knows no protocol, so that further protocols can use the same decisions.
package exchange

import (
	"sync"
	"sync/atomic"
	"time"
)

// Message is the part of a request that is passed on unchanged.
type Message struct {
	Method   string
	Target   string // path and query as the client wrote them
	ID       string // the client's id of this try; not necessarily unique
	DedupKey string // idempotency key by which servers drop repeats; empty: none
	Body     []byte
}

// Fields are the properties of a request that decisions depend on.
type Fields struct {
	Class        string
	Tenant       string
	Key          uint64
	HasKey       bool
	ExpectedWork time.Duration // zero: unknown
	IsRetry      bool          // marked by the client as a repeat
	RequiredZone string        // the only zone whose servers can answer it; empty: any zone
}

// Status is how a request ended.
type Status int

// Statuses of an ended request.
const (
	Served   Status = iota
	Refused         // the client may safely try again
	Failed          // the request may or may not have been processed
	TimedOut        // failed because its deadline passed
)

// String returns the name of a status.
func (s Status) String() string {
	return [...]string{"served", "refused", "failed", "timed out"}[s]
}

// Answer is the final answer to a request.
type Answer struct {
	Status     Status
	Body       []byte        // of a server's answer, unchanged
	FreeBody   func()        // releases the body's memory once it is no longer used; nil: nothing to release
	RetryAfter time.Duration // of a refusal; zero: no advice
	Attempts   int           // number of attempts made at servers
}

// Exchange is a request on its way through the router.
type Exchange struct {
	Message    Message
	Fields     Fields
	Deadline   time.Time   // when the decision module's time for it ends
	ClientLeft func() bool // reports whether the client has closed its connection, asked right before an attempt is sent; nil: not known
	DispatchID string      // id of the dispatch (planned work under the agreed rules) that it carries out; empty: a client's request

	abandoned atomic.Bool

	mu         sync.Mutex
	ended      bool
	answer     Answer
	done       chan struct{}
	writing    int           // attempts that began and have not ended
	mayHaveRun bool          // an attempt that has ended may have run
	settled    chan struct{} // closed when the last attempt ends; nil: nobody waits for that
}

// New returns an exchange without an answer.
func New(m Message, f Fields, deadline time.Time) *Exchange {
	return &Exchange{Message: m, Fields: f, Deadline: deadline, done: make(chan struct{})}
}

// Finish sets the final answer, unless there is one already, and reports whether it did. A late answer from the decision
// module and the client side's own answer at the deadline may come at the same time; only the first is used.
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

// Abandon records that nobody waits for the answer any more.
func (e *Exchange) Abandon() { e.abandoned.Store(true) }

// Abandoned reports whether nobody waits for the answer any more.
func (e *Exchange) Abandoned() bool { return e.abandoned.Load() }

// BeginAttempt records that an attempt is about to be written to a host. Its sender checks after this call whether the
// request has ended, so that whoever ended it either sees the attempt or prevents it.
func (e *Exchange) BeginAttempt() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writing++
}

// EndAttempt records that an attempt has ended, and whether its host may have run it, or may run it yet.
func (e *Exchange) EndAttempt(mayHaveRun bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writing--
	e.mayHaveRun = e.mayHaveRun || mayHaveRun
	if e.writing == 0 && e.settled != nil {
		close(e.settled)
		e.settled = nil
	}
}

// MayHaveRun reports whether a host may have run the request, or may run it yet. It doesn't depend on the answer: some requests
// that may have run can be refused. An attempt in progress may run.
func (e *Exchange) MayHaveRun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.writing > 0 || e.mayHaveRun
}

// Settled returns a channel that is closed once no attempt is in progress. Of a request that has ended no other one is
// written, and MayHaveRun is final from then on.
func (e *Exchange) Settled() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settled == nil {
		settled := make(chan struct{})
		if e.writing == 0 {
			close(settled)
			return settled
		}
		e.settled = settled
	}
	return e.settled
}

// Release frees the memory that the answer's body holds.
func (a Answer) Release() {
	if a.FreeBody != nil {
		a.FreeBody()
	}
}

// Done returns a channel that is closed once the final answer is set.
func (e *Exchange) Done() <-chan struct{} { return e.done }

// Ended reports whether the final answer is set.
func (e *Exchange) Ended() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}

// Answer returns the final answer; it is valid once Done is closed.
func (e *Exchange) Answer() Answer {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answer
}
