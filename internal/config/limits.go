package config

import (
	"fmt"
	"time"

	"merlinarch/logic"
)

// Limits holds the sizes, counts and times of this node, derived once from the limits that it is told and
// the settings, and handed down. None of them decides where a request goes or how it ends.
type Limits struct {
	Cores       int   // processors that Go may use
	MemoryBytes int64 // soft limit of Go's memory
	GCPercent   int   // growth of the heap between collections, while memory allows

	MaxBody             int // bytes of a request's body; an answer's may be longer, if AnswerRoom allows
	MaxAnswer           int // bytes of an answer's body
	LongAnswerBudget    int // bytes that all answers longer than MaxBody may take together
	MaxHead             int // bytes of a head, either way
	MaxPlatformLine     int // bytes of a line of the platform
	MaxDiscoveryLine    int // bytes of a line of discovery
	MaxDatagram         int // bytes of a message between routers
	MaxIDLength         int // bytes of a client's id or key
	MaxEvents           int // events that wait for the loop
	MaxOpen             int // requests held at a time, as the module is told
	MaxHeld             int // beyond this the node itself refuses, unseen by the module
	ClientConns         int // connections from clients
	ServerConns         int // connections to servers
	ClosesPerAcceptWait int // answers that close their connections for each moment that a new one waits
	SpareClientConns    int // connections from clients kept in hand: beyond, answers close theirs
	MaxOutgoing         int // messages and votes that wait to be written
	MaxIdlePerServer    int // idle connections kept to one server

	EvictIdleAfter          time.Duration // a client's connection idle for less is not closed for want of room
	RetryAfter              time.Duration // advice with the node's own refusals: the longest that clients follow
	MaxWait                 time.Duration // the longest time that a client may say it waits
	DecisionMargin          time.Duration // before a client's time is over, the decisions' time is; see Margins
	OwnAnswerMargin         time.Duration // before a client's time is over, the node answers by itself; see Margins
	RequestReadTimeout      time.Duration // from connecting, or a later request's first byte, until a request is whole
	ClientIdleTimeout       time.Duration // a client's connection idle for longer is closed
	EvictSilentAfter        time.Duration // a connection that has brought no head for less is not closed for want of room
	WriteStallTimeout       time.Duration // a client that reads nothing for longer is cut off; half of it at the least
	DialTimeout             time.Duration // for a connection to a server
	ProbeTimeout            time.Duration // for a probe of a server
	ServerIdleTimeout       time.Duration // idle connections to servers are closed after this
	ServerReuseDelay        time.Duration // after an answer its connection is left alone for this long
	MinServerReuseDelay     time.Duration // the same where there is no descriptor for another connection
	AnswerReadTimeout       time.Duration // from a server's answer's first byte to its last
	SendGrace               time.Duration // a send decided before a drain may leave so long after it
	ControlDialTimeout      time.Duration // for a connection to discovery or the platform
	DiscoverySilenceTimeout time.Duration // a watch of discovery silent for longer is broken
	PlatformSilenceTimeout  time.Duration // a connection to the platform silent for longer is broken
	VoteTimeout             time.Duration // a vote unanswered for longer may count
	AddressChangeGrace      time.Duration // after a new address, what waits on a connection to the old one has this long
	DrainDelay              time.Duration // after SIGTERM: go on as before
	DrainCloseUntil         time.Duration // then end connections between requests until this
	DrainTimeout            time.Duration // then finish what was taken, at the longest
	KillAfter               time.Duration // after SIGTERM: when the process may be ended, whatever it does
	HangupPollInterval      time.Duration // pauses between looks for the end of a connection that has more bytes before it
	Linger                  time.Duration // behind a last answer, for its client to close too; zero: the connection closes at once
	LingerBytes             int64         // bytes read meanwhile at the most
	BacklogQuietTime        time.Duration // while accepting ends: the backlog is empty once it has brought nothing for so long
}

// Told is what the deployment says this node may use.
type Resources struct {
	Cores       float64
	MemoryMB    int
	Sockets     int
	DialTimeout time.Duration // the settings' time-out for connections to servers; zero: none
}

const (
	mebibyte     = 1 << 20
	reserved     = 24        // descriptors: standard streams, poller, listeners, discovery, platform, spare
	requestBytes = 192 << 10 // a body, an answer, buffers and stacks of a request at the most
	leastMemory  = 24
	leastSockets = 40
)

// NewLimits derives the limits.
func NewLimits(told Resources, s logic.Settings) (Limits, error) {
	if told.Cores <= 0 || told.MemoryMB < leastMemory || told.Sockets < leastSockets {
		return Limits{}, fmt.Errorf("limits: cores %g, memory_mb %d, sockets %d: needs more than 0, %d and %d",
			told.Cores, told.MemoryMB, told.Sockets, leastMemory, leastSockets)
	}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline)
	}
	free := told.Sockets - reserved
	l := Limits{
		Cores: max(1, int(told.Cores)), MemoryBytes: int64(told.MemoryMB) * mebibyte * 7 / 10, GCPercent: 400,
		MaxBody: 64 << 10, MaxAnswer: min(2*mebibyte, told.MemoryMB*mebibyte/16), LongAnswerBudget: told.MemoryMB * mebibyte / 4,
		MaxHead: 16 << 10, MaxPlatformLine: 8 << 10, MaxDiscoveryLine: 8 << 20, MaxDatagram: 256,
		MaxIDLength: 256, MaxEvents: 4096, MaxOutgoing: 256,
		MaxHeld:     told.MemoryMB * mebibyte * 3 / 5 / requestBytes,
		ServerConns: free / 5, ClientConns: free - free/5,
		RetryAfter: s.MaxRetryAfter, EvictIdleAfter: 10 * time.Millisecond, MaxWait: 10 * max(longest, time.Second),
		DecisionMargin: 140 * time.Millisecond, OwnAnswerMargin: 110 * time.Millisecond,
		RequestReadTimeout: 2200 * time.Millisecond, ClientIdleTimeout: 2200 * time.Millisecond, EvictSilentAfter: 250 * time.Millisecond,
		WriteStallTimeout: 10 * max(longest, time.Second),
		DialTimeout:       told.DialTimeout, ProbeTimeout: told.DialTimeout, ServerIdleTimeout: s.ConnIdleTimeout * 9 / 10,
		ServerReuseDelay: 20 * time.Millisecond, MinServerReuseDelay: 2 * time.Millisecond, AnswerReadTimeout: 400 * time.Millisecond,
		SendGrace:          s.DrainGrace * 7 / 10,
		ControlDialTimeout: time.Second, DiscoverySilenceTimeout: 5 * time.Second, PlatformSilenceTimeout: 3500 * time.Millisecond,
		VoteTimeout:        s.Rollout.VoteTimeout,
		AddressChangeGrace: 1500 * time.Millisecond,
		DrainDelay:         450 * time.Millisecond, DrainCloseUntil: 600 * time.Millisecond,
		DrainTimeout:       max(longest, 3*time.Second) + 50*time.Millisecond,
		KillAfter:          min(longest, 3*time.Second) + 700*time.Millisecond,
		HangupPollInterval: 50 * time.Millisecond, Linger: 500 * time.Millisecond, LingerBytes: 256 << 10, BacklogQuietTime: 5 * time.Millisecond,
	}
	l.ClosesPerAcceptWait = 8
	l.SpareClientConns, l.MaxIdlePerServer = l.ClientConns/8, max(2, l.ServerConns/4)
	// Danger: held requests keep their connections; with few left for the rest, each refusal closes one and the
	// backlog grows faster than it is taken from.
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

// Margins gives AnswerMargin and LastMargin for a client that waits so long: a small part of a short wait.
// Danger: on a busy machine an answer takes its time from the loop to the client, and must not come late.
func (l Limits) Margins(wait time.Duration) (answer, last time.Duration) {
	return min(l.DecisionMargin, wait/5), min(l.OwnAnswerMargin, wait/7)
}
