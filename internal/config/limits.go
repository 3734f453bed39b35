package config

import (
	"fmt"
	"time"

	"merlinarch/logic"
)

// Limits holds the sizes, counts and times that this node keeps to. NewLimits derives them once, from the resources
// of the node and the settings. None of them decides where a request goes or how it ends.
type Limits struct {
	Cores       int    // processors that Go may use
	Memory      Memory // how the node's memory is divided
	MemoryBytes int64  // soft memory limit of the Go runtime
	GCPercent   int    // growth of the heap between collections, as long as memory allows

	MaxBody             int // bytes of a request's body; an answer's may be longer
	MaxAnswer           int // bytes of an answer's body
	MaxHead             int // bytes of the head of a request or an answer
	MaxHeadFields       int // header fields of a request
	RequestMemory       int // bytes that requests and answers may take together, beyond a small buffer for each connection
	ReadAhead           int // bytes that are kept of what a client sends while its request is answered
	MaxPlatformLine     int // bytes of a line from the release platform
	MaxDiscoveryLine    int // bytes of a line from discovery
	MaxDatagram         int // bytes of a message between routers
	MaxIDLength         int // bytes of a client's id or key
	MaxEvents           int // events that may wait for the gateway's loop
	MaxOpen             int // requests that the decision module may hold at a time
	MaxHeld             int // requests beyond this are refused by the node itself and never reach the module
	ClientConns         int // connections from clients
	ServerConns         int // connections to servers
	ClosesPerAcceptWait int // answers that close their connections each time that a new connection waits for a descriptor
	SpareClientConns    int // connections from clients kept free: with fewer free, answers may close theirs
	MaxOutgoing         int // messages and votes that may wait to be written
	MaxIdlePerServer    int // idle connections kept to one server

	EvictIdleAfter         time.Duration // a client's connection that has been idle for less is not closed to make room
	RetryAfter             time.Duration // Retry-After of the node's own refusals: the longest that clients follow
	MaxWait                time.Duration // the longest time that a client may say it waits
	DecisionMargin         time.Duration // the module's deadline is this long before the client's; see Margins
	OwnAnswerMargin        time.Duration // the node answers by itself this long before the client's deadline; see Margins
	RequestReadTimeout     time.Duration // from connecting, or a later request's first byte, until a request is complete
	ClientIdleTimeout      time.Duration // a client's connection idle for longer is closed
	EvictSilentAfter       time.Duration // a client's connection that has sent nothing for less is not closed to make room
	EvictFewSilentAfter    time.Duration // the same as long as at most a quarter of the connections have sent nothing
	EvictIncompleteAfter   time.Duration // the same for one whose request is incomplete, while a new connection waits for a descriptor
	WriteStallTimeout      time.Duration // a client that reads nothing is cut off after between half of this time and all of it
	DialTimeout            time.Duration // for a connection to a server
	ProbeTimeout           time.Duration // for a probe of a server
	ServerIdleTimeout      time.Duration // connections to servers idle for longer are closed
	ServerReuseDelay       time.Duration // after an answer its connection is not used again for this long
	AnswerReadTimeout      time.Duration // from the first byte of a server's answer to its last
	SendGrace              time.Duration // an attempt decided before a server's drain may still be sent for this long after the drain began
	ControlDialTimeout     time.Duration // for a connection to discovery or the release platform
	PlatformSilenceTimeout time.Duration // a connection to the release platform silent for longer is taken for broken
	VoteTimeout            time.Duration // a vote unanswered for longer may or may not have been counted
	AddressChangeGrace     time.Duration // how long calls pending on a connection to an old address may still take after a change of address
	DrainDelay             time.Duration // after SIGTERM, the node goes on as before for this long
	DrainCloseUntil        time.Duration // then it closes connections between requests, until this long after SIGTERM
	DrainTimeout           time.Duration // then it waits at most this long for requests that it has accepted
	KillAfter              time.Duration // time from SIGTERM after which the process may be killed at any moment
	Linger                 time.Duration // wait after a last answer for its client to close first; zero: close at once
	LingerBytes            int64         // the most bytes read during Linger
	BacklogQuietTime       time.Duration // during the drain, the backlog counts as empty once no connection has come from it for this long
}

// Resources are what the deployment lets this node use.
type Resources struct {
	Cores       float64
	MemoryMB    int
	Sockets     int
	DialTimeout time.Duration // from the settings, for connections to servers; zero: none is set
}

const (
	reservedDescriptors = 24        // for standard streams, poller, listeners, discovery, platform, and spare
	maxRequestMemory    = 192 << 10 // bytes that a request takes at most: its body, answer, buffers and stacks
	minMemoryMB         = 24
	minSockets          = 40
)

// NewLimits derives the limits of a node from its resources and the settings.
func NewLimits(resources Resources, s logic.Settings) (Limits, error) {
	if resources.Cores <= 0 || resources.MemoryMB < minMemoryMB || resources.Sockets < minSockets {
		return Limits{}, fmt.Errorf("limits: cores %g, memory_mb %d, sockets %d: need more than 0, at least %d and at least %d",
			resources.Cores, resources.MemoryMB, resources.Sockets, minMemoryMB, minSockets)
	}
	longestDeadline := time.Duration(0)
	for _, c := range s.Classes {
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	descriptors := resources.Sockets - reservedDescriptors
	memory := NewMemory(resources.MemoryMB)
	l := Limits{
		Cores: max(1, int(resources.Cores)), Memory: memory, MemoryBytes: int64(memory.Runtime), GCPercent: 400,
		MaxBody: 64 << 10, MaxAnswer: min(2*mebibyte, memory.Requests/4),
		MaxHead: 16 << 10, MaxHeadFields: 100, ReadAhead: 8 << 10, RequestMemory: memory.Requests, MaxPlatformLine: 8 << 10, MaxDiscoveryLine: 8 << 20, MaxDatagram: 256,
		MaxIDLength: 256, MaxEvents: 4096, MaxOutgoing: 256,
		MaxHeld:     resources.MemoryMB * mebibyte * 3 / 5 / maxRequestMemory,
		ServerConns: descriptors / 5, ClientConns: min(descriptors-descriptors/5, memory.ClientConns/clientConnBytes),
		RetryAfter: s.MaxRetryAfter, EvictIdleAfter: 10 * time.Millisecond, MaxWait: 10 * max(longestDeadline, time.Second),
		DecisionMargin: 140 * time.Millisecond, OwnAnswerMargin: 110 * time.Millisecond,
		RequestReadTimeout: 2200 * time.Millisecond, ClientIdleTimeout: 2200 * time.Millisecond, EvictSilentAfter: 250 * time.Millisecond, EvictFewSilentAfter: time.Second, EvictIncompleteAfter: 100 * time.Millisecond,
		WriteStallTimeout: 10 * max(longestDeadline, time.Second),
		DialTimeout:       resources.DialTimeout, ProbeTimeout: resources.DialTimeout, ServerIdleTimeout: s.ConnIdleTimeout * 9 / 10,
		ServerReuseDelay: 20 * time.Millisecond, AnswerReadTimeout: 400 * time.Millisecond,
		SendGrace:          s.DrainGrace * 7 / 10,
		ControlDialTimeout: time.Second, PlatformSilenceTimeout: 3500 * time.Millisecond,
		VoteTimeout:        s.Rollout.VoteTimeout,
		AddressChangeGrace: 1500 * time.Millisecond,
		DrainDelay:         450 * time.Millisecond, DrainCloseUntil: 600 * time.Millisecond,
		DrainTimeout: max(longestDeadline, 3*time.Second) + 50*time.Millisecond,
		KillAfter:    min(longestDeadline, 3*time.Second) + 700*time.Millisecond,
		Linger:       500 * time.Millisecond, LingerBytes: 256 << 10, BacklogQuietTime: 5 * time.Millisecond,
	}
	l.ClosesPerAcceptWait = 8
	l.SpareClientConns, l.MaxIdlePerServer = l.ClientConns/8, max(2, l.ServerConns/4)
	// Held requests keep their connections. If they left few for other requests, each refusal would close one, and the
	// accept backlog would grow faster than it is emptied.
	l.MaxHeld = max(4, min(l.MaxHeld, l.ClientConns/3))
	l.MaxOpen = l.MaxHeld * 9 / 10
	if l.DialTimeout <= 0 {
		l.DialTimeout, l.ProbeTimeout = time.Second, time.Second
	}
	if l.ServerIdleTimeout <= 0 {
		l.ServerIdleTimeout = 10 * time.Second
	}
	if l.VoteTimeout <= 0 {
		l.VoteTimeout = time.Second
	}
	return l, nil
}

// Margins returns DecisionMargin and OwnAnswerMargin for a client that waits this long, each limited to a small part of
// a short wait. On a busy machine an answer takes time from the loop to the client; without the margins it would come
// too late.
func (l Limits) Margins(wait time.Duration) (decision, ownAnswer time.Duration) {
	return min(l.DecisionMargin, wait/5), min(l.OwnAnswerMargin, wait/7)
}
