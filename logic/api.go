// Package logic decides, for one router, where requests go and how it votes on a build under rollout.
//
// The package is pure: no clock, I/O, goroutines or globals. A host (the simulator's adapter today, a
// socket server or an external processor later) feeds events with the present time and carries out the
// returned actions. Times are offsets from an arbitrary origin that only grow.
package logic

import "time"

// Identifiers handed out by the host; they are opaque and returned as received.
type (
	RequestID string
	ServerID  uint64
	BuildID   int
)

// Repeatability tells what may be done again with a request of a class.
type Repeatability int

// Classes of repetition, from the freest to the strictest.
const (
	Safe   Repeatability = iota // may run any number of times
	Keyed                       // a group of servers drops repeats for a while
	Unsafe                      // must never run twice
)

// DedupScope is the group of servers that drops repeats of a keyed request.
type DedupScope int

// Scopes of deduplication.
const (
	ScopeAll DedupScope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name          string
	Repeatability Repeatability
	DedupScope    DedupScope
	DedupWindow   time.Duration
	LatencyTarget time.Duration // an answer within this earns the full worth
	Deadline      time.Duration
	Worth         float64
	LateValue     float64
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all routers
	Share float64
}

// Rollout holds the release platform's settings.
type Rollout struct {
	StageShare     []float64 // per stage: share of the fleet's places
	StageCap       []float64 // per stage: cap on exposure
	ExposureWindow time.Duration
	FreeAttempts   float64
	BudgetPerClass bool
	ClosedStages   int // below this stage only Safe classes may try the build
	ForwardOnly    bool
	RollingUpdate  bool // earlier servers drain as their successors run
	WarmKeys       bool // servers work faster for keys met lately
	MinStageTime   time.Duration
	VoteTTL        time.Duration
	VoteTimeout    time.Duration
	VotesPerSec    float64
	AutoAdvance    bool // stages advance on their own; votes can only hold or send back
}

// Settings is what a router learns at start-up.
type Settings struct {
	Self, RouterCount int
	Zone              string
	Classes           []Class
	Tenants           []Tenant
	Rollout           Rollout
	MaxAttempts       int
	MaxOpenRequests   int // requests that the host can hold open for it; zero: any number
	MaxRetryAfter     time.Duration
	MarksRetry        bool // clients mark their repeats
	CanProbe          bool
	CanPost           bool
	CanCancel         bool
	WatchDiscovery    bool // discovery must be asked for changes
	WatchWithin       time.Duration
	ClockResolution   time.Duration
	DrainGrace        time.Duration
	ConnIdleTimeout   time.Duration // idle connections are closed after this long
	ColdCapacity      float64
	WarmUpTime        time.Duration
	OverloadMultiple  float64
	OverloadTime      time.Duration
	CrossZoneCost     float64 // price of a request that crosses zones
	HandshakeCost     float64 // price of a new connection for each request
	OverShareWorth    float64 // worth of a request beyond its tenant's share
}

// ServerState is a server's place in its life.
type ServerState int

// States of a listed server.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Server is one entry of discovery's list.
type Server struct {
	ID      ServerID
	Zone    string
	Build   BuildID
	Cell    int
	State   ServerState
	Weight  float64
	Started time.Duration // zero: long ago
}

// Load is a server's load report; a value that was not reported is negative.
type Load struct {
	InFlight, Queue, Utilization, RatePerSec float64
}

// Outcome is how an attempt or probe ended.
type Outcome int

// Outcomes of attempts.
const (
	OK            Outcome = iota
	ServerError           // may have run
	Rejected              // never ran
	TimedOut              // may have run
	ConnectFailed         // never ran
	Reset                 // may have run
	Cancelled             // may have run
	NotSent               // never ran
)

// MayHaveRun tells whether an attempt with this outcome may have taken effect.
func (o Outcome) MayHaveRun() bool {
	return o != Rejected && o != ConnectFailed && o != NotSent
}

// Event is one thing that happened to the router.
type Event any

// Events.
type (
	// ServersListed brings discovery's news. Servers is shared: read it only.
	ServersListed struct {
		Full    bool // the complete list, not just changes
		Failed  bool // an asked call failed or the subscription broke; no entries
		Servers []Server
	}
	// RequestArrived hands a request to the router, which owes one final answer.
	RequestArrived struct {
		ID           RequestID
		Class        string
		Tenant       string
		Key          uint64
		HasKey       bool
		TimeLeft     time.Duration // until the client gives up
		ExpectedWork time.Duration // expected work; zero where unknown
		MarkedRetry  bool          // marked by the client as a repeat
		RequiredZone string        // only servers there will do; empty: any
	}
	// AnswerStarted tells that a streamed answer has begun.
	AnswerStarted struct {
		ID      RequestID
		Attempt int
	}
	// AttemptDone ends an attempt.
	AttemptDone struct {
		ID           RequestID
		Outcome      Outcome
		Duration     time.Duration
		Server       ServerID
		Attempt      int
		RequestEnded bool // the request has ended
		AnswerBegun  bool // a good answer had begun to come, though it is of no use
		Load         *Load
	}
	// ClientGone ends a request without an answer.
	ClientGone struct{ ID RequestID }
	// TimerFired brings back a timer's token.
	TimerFired struct{ Token uint64 }
	// ProbeDone answers a Probe.
	ProbeDone struct {
		Server   ServerID
		Outcome  Outcome
		Duration time.Duration
		Load     *Load
	}
	// PeerMessage is another router's message.
	PeerMessage struct {
		From int
		Data []byte
	}
	// ReleaseStatus is the platform's news on the newest build, or its reply to a vote.
	ReleaseStatus struct {
		Build    BuildID
		Stage    int
		Phase    Phase
		IsReply  bool
		Reply    VoteReply
		Cap      float64
		StageAge time.Duration
	}
	// BuildTally is the platform's own sample of outcomes.
	BuildTally struct {
		Build             BuildID
		Class             string
		Count, Failed     int
		MeanDuration, Age time.Duration
	}
	// AnswerDisputed reports an answer that its client found wrong.
	AnswerDisputed struct {
		Server     ServerID
		Class      string
		AttemptAge time.Duration // since that attempt was sent
	}
)

// Phase is where the newest build stands.
type Phase int

// Phases of a build.
const (
	OnTrial Phase = iota
	RollingBack
	Released
	Withdrawn
)

// VoteReply is how the platform took a vote.
type VoteReply int

// Replies to votes.
const (
	VoteCounted VoteReply = iota
	VoteStale
	VoteThrottled
	VoteError
	VoteTimedOut // may count
)

// Verdict is what a vote asks for.
type Verdict int

// Verdicts.
const (
	VoteNone Verdict = iota
	VoteAdvance
	VoteHold
	VoteRollBack
)

// Action is one thing the host is asked to do, in order.
type Action any

// Actions.
type (
	// Send starts an attempt; a zero Timeout means until the client gives up. LeaveBy is the latest time at which its
	// first byte may go out, where a repeat is cheap for a while only; zero: any. Forward is set where a key may not go back
	// to an earlier build: once this attempt has left, and again once it is answered, none for the same key that was
	// decided before, and for an earlier build, may leave any more.
	Send struct {
		ID          RequestID
		Server      ServerID
		Timeout     time.Duration
		SendBy      time.Duration
		ForwardOnly bool
	}
	// Cancel stops waiting for an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Close shuts the idle connections to a server.
	Close struct{ Server ServerID }
	// Refuse is a final answer: trying again is harmless.
	Refuse struct {
		ID         RequestID
		RetryAfter time.Duration
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID RequestID }
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		After time.Duration
		Token uint64
	}
	// Probe checks a server.
	Probe struct{ Server ServerID }
	// Post sends a message to one peer, or to all when Peer is negative.
	Post struct {
		Peer int
		Data []byte
	}
	// Vote casts this router's vote.
	Vote struct {
		Build   BuildID
		Stage   int
		Verdict Verdict
	}
	// Watch subscribes to discovery's changes.
	Watch struct{}
	// Log adds a line to the host's log.
	Log struct{ Text string }
)
