// Package logic decides, for one router, which server gets each attempt at a request, and how the router votes on a
// build that is being rolled out.
//
// The package is pure: it has no clock, I/O, goroutines or global state. Its host (the simulator's adapter or the
// gateway) passes events with the current time to Router.Handle and carries out the returned actions. Times are offsets
// from an arbitrary origin and never decrease.
//
// The exposure of a build is the part of the requests that are sent to it while it is on trial; the release platform
// caps it. Routers compare the outcomes at the new build (the newest one, on trial until it is released) with those at the
// old build (also called the base build) and vote on whether the rollout advances to the next stage.
package logic

import "time"

// Identifiers that the host hands out. They are opaque and are returned as received.
type (
	RequestID string
	ServerID  uint64
	BuildID   int
)

// Repeatability says under which conditions a request of a class may be repeated.
type Repeatability int

// Repeatabilities, from the least to the most restrictive.
const (
	Safe   Repeatability = iota // may run any number of times
	Keyed                       // a group of servers deduplicates repeats for some time
	Unsafe                      // must never run more than once
)

// DedupScope is the group of servers that deduplicates repeats of a keyed request.
type DedupScope int

// Deduplication scopes: all servers, those of one zone, or those of one cell.
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
	DedupWindow   time.Duration // how long servers deduplicate repeats of a Keyed request
	LatencyTarget time.Duration // an answer within this time earns the full worth
	Deadline      time.Duration // how long a client waits for an answer
	Worth         float64
	LateValue     float64 // worth of an answer after the latency target
}

// Tenant is a customer with a share of the service's capacity.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all routers
	Share float64 // fair part of all requests; see Settings.OverShareWorth
}

// Rollout holds the release platform's settings.
type Rollout struct {
	StageShare     []float64     // per stage: part of the fleet's places that run the new build
	StageCap       []float64     // per stage: cap on the exposure
	ExposureWindow time.Duration // time over which the cap is enforced
	FreeAttempts   float64       // attempts per window that are allowed regardless of the cap
	BudgetPerClass bool          // the cap applies to each class separately
	ClosedStages   int           // below this stage only Safe classes may use the new build
	ForwardOnly    bool          // a key that a build has answered must not go back to an older build
	RollingUpdate  bool          // old servers drain as their replacements start
	WarmKeys       bool          // servers work faster for recently used keys
	MinStageTime   time.Duration // least time from the newest server's listing to the test
	VoteTTL        time.Duration // a vote expires after this time
	VoteTimeout    time.Duration // timeout of a call that casts a vote
	VotesPerSec    float64       // votes per second that the platform accepts
	AutoAdvance    bool          // stages advance without votes; votes can only hold or roll back
}

// Settings holds what a router knows at startup.
type Settings struct {
	Self, RouterCount int // this router's number, from 0; the number of all routers
	Zone              string
	Classes           []Class
	Tenants           []Tenant
	Rollout           Rollout
	MaxAttempts       int
	MaxOpenRequests   int // requests that the host can hold open for the router; 0: any number
	MaxRetryAfter     time.Duration
	MarksRetry        bool          // clients mark their repeats
	CanProbe          bool          // the host supports Probe
	CanPost           bool          // the host supports Post
	CanCancel         bool          // the host supports Cancel
	WatchDiscovery    bool          // the router has to subscribe to discovery's changes
	WatchWithin       time.Duration // with WatchDiscovery: the time within which it has to call discovery
	ClockResolution   time.Duration // granularity of the host's times
	DrainGrace        time.Duration // how long after a server's drain a router may still send it new attempts
	ConnIdleTimeout   time.Duration // idle connections are closed after this time
	ColdCapacity      float64       // part of its capacity that a server has when it starts
	WarmUpTime        time.Duration // a server reaches its full capacity after this time
	OverloadMultiple  float64       // a cold server fails if it gets more than this multiple of its current capacity,
	OverloadTime      time.Duration // measured over this time
	CrossZoneCost     float64       // cost of a request that crosses zones
	HandshakeCost     float64       // cost of a new connection for each request
	OverShareWorth    float64       // factor on the worth of a request beyond its tenant's share
}

// ServerState is the state of a server in discovery's list.
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
	Cell    int // see ScopeCell
	State   ServerState
	Weight  float64       // capacity relative to other servers
	Started time.Duration // 0: long ago
}

// Load is a server's load report. A value that was not reported is negative.
type Load struct {
	InFlight, Queue, Utilization, RatePerSec float64
}

// Outcome is the result of an attempt or probe.
type Outcome int

// Outcomes of attempts and probes, with whether the request may have been executed.
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

// MayHaveRun reports whether an attempt with this outcome may have been executed.
func (o Outcome) MayHaveRun() bool {
	return o != Rejected && o != ConnectFailed && o != NotSent
}

// Event is an input of Router.Handle. Its type is one of those below.
type Event any

// Events.
type (
	// ServersListed carries a list from discovery, or changes to it. Servers is shared and must not be changed.
	ServersListed struct {
		Full    bool // the complete list, not just changes
		Failed  bool // a call failed or the subscription broke; there are no entries
		Servers []Server
	}
	// RequestArrived hands a request to the router, which has to give it exactly one final answer.
	RequestArrived struct {
		ID           RequestID
		Class        string
		Tenant       string
		Key          uint64
		HasKey       bool
		TimeLeft     time.Duration // until the client gives up
		ExpectedWork time.Duration // 0: unknown
		MarkedRetry  bool          // the client marked it as a repeat
		RequiredZone string        // only servers there may serve it; empty: any
	}
	// AnswerStarted reports that a streamed answer has begun.
	AnswerStarted struct {
		ID      RequestID
		Attempt int
	}
	// AttemptDone reports the end of an attempt.
	AttemptDone struct {
		ID           RequestID
		Outcome      Outcome
		Duration     time.Duration
		Server       ServerID
		Attempt      int  // number of the attempt, from 0
		RequestEnded bool // the request has ended too
		AnswerBegun  bool // a good answer had begun to arrive, though it cannot be used
		Load         *Load
	}
	// ClientGone ends a request without an answer.
	ClientGone struct{ ID RequestID }
	// TimerFired reports that a timer has expired, with the token of its SetTimer.
	TimerFired struct{ Token uint64 }
	// ProbeDone reports the result of a Probe.
	ProbeDone struct {
		Server   ServerID
		Outcome  Outcome
		Duration time.Duration
		Load     *Load
	}
	// PeerMessage is a message from another router.
	PeerMessage struct {
		From int
		Data []byte
	}
	// ReleaseStatus is the platform's status of the newest build, or its reply to a vote.
	ReleaseStatus struct {
		Build    BuildID
		Stage    int
		Phase    Phase
		IsReply  bool
		Reply    VoteReply     // if IsReply; the other fields are valid only with VoteCounted
		Cap      float64       // on the exposure
		StageAge time.Duration // since the stage began
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
		AttemptAge time.Duration // since the attempt was sent
	}
)

// Phase is the phase of the newest build's rollout.
type Phase int

// Phases of a rollout.
const (
	OnTrial Phase = iota
	RollingBack
	Released
	Withdrawn
)

// VoteReply is the platform's reply to a vote.
type VoteReply int

// Replies to votes.
const (
	VoteCounted VoteReply = iota
	VoteStale
	VoteThrottled
	VoteError
	VoteTimedOut // the vote may count
)

// Verdict is the content of a vote.
type Verdict int

// Verdicts: none, advance to the next stage, hold the stage, or roll the build back.
const (
	VoteNone Verdict = iota
	VoteAdvance
	VoteHold
	VoteRollBack
)

// Action is an instruction to the host, which carries out actions in order. Its type is one of those below.
type Action any

// Actions.
type (
	// Send starts an attempt. With a Timeout of 0 it may take until the client gives up. SendBy is the latest time at
	// which its first byte may be sent, for repeats that are safe only for a limited time; 0: any time. ForwardOnly is
	// set where a key must not go back to an older build. When such an attempt is sent, and again when it is answered,
	// the host must give up all attempts for the same key that it has not sent yet and that go to an older build.
	// Attempts that the router decides on afterwards may be sent.
	Send struct {
		ID          RequestID
		Server      ServerID
		Timeout     time.Duration
		SendBy      time.Duration
		ForwardOnly bool
	}
	// Cancel gives up an attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Close closes the idle connections to a server.
	Close struct{ Server ServerID }
	// Refuse gives the final answer that the client may safely try again.
	Refuse struct {
		ID         RequestID
		RetryAfter time.Duration
	}
	// Fail gives the final answer that the request failed; it may have been executed.
	Fail struct{ ID RequestID }
	// SetTimer requests a TimerFired with this token.
	SetTimer struct {
		After time.Duration
		Token uint64
	}
	// Probe requests a health check of a server.
	Probe struct{ Server ServerID }
	// Post sends a message to one peer, or to all peers if Peer is negative.
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
	// Log writes a line to the host's log.
	Log struct{ Text string }
)
