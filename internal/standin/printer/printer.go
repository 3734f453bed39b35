// Package printer is a test double of the receiver of dispatches (pieces of planned work). It prints each sheet once,
// however often the request is repeated within Window, and refuses requests with a fencing token below the highest that it has seen for
// the sheet, which come from an earlier holder of the work. Its record of sheets is kept when a print ends early, as
// the record of a real receiver survives a crash.
package printer

import (
	"context"
	"net/url"
	"strconv"
	"sync"
	"time"

	"merlinarch/internal/standin/cluster"
	"merlinarch/internal/standin/hosts"
)

// Step is a step of printing one sheet.
type Step int

// The steps of a print, in order.
const (
	Received Step = iota
	Printed
)

// Printer is one receiver of print requests.
type Printer struct {
	// OnStep is called at each step of a sheet; if it returns a kind other than hosts.Served, the print ends there with a
	// reply of that kind. May be nil.
	OnStep func(s Step, a cluster.Arrival) hosts.Kind
	// Window is how long a sheet that was printed is remembered; zero: for good.
	Window time.Duration

	mu           sync.Mutex
	prints       map[string][]time.Time // when each sheet was printed, by idempotency key
	highestFence map[string]uint64      // highest fencing token seen, by idempotency key
	active       int                    // requests in progress
	maxActive    int
}

// New returns a printer that has printed nothing yet.
func New() *Printer {
	return &Printer{prints: map[string][]time.Time{}, highestFence: map[string]uint64{}}
}

// Serve answers one request: a request without a key at once, one with a key by printing its sheet.
func (p *Printer) Serve(_ context.Context, request cluster.Arrival) hosts.Reply {
	if request.Key == "" {
		return hosts.Reply{Body: []byte("notice")}
	}
	fence := uint64(0)
	if u, err := url.Parse(request.Target); err == nil {
		fence, _ = strconv.ParseUint(u.Query().Get("fence"), 10, 64)
	}
	p.mu.Lock()
	if fence < p.highestFence[request.Key] {
		p.mu.Unlock()
		return hosts.Reply{Kind: hosts.TurnedAway}
	}
	p.highestFence[request.Key] = fence
	p.active++
	p.maxActive = max(p.maxActive, p.active)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.active--
		p.mu.Unlock()
	}()
	if kind := p.runStep(Received, request); kind != hosts.Served {
		return hosts.Reply{Kind: kind}
	}
	p.mu.Lock()
	if !p.remembers(request.Key) && fence == p.highestFence[request.Key] { // checked again: a higher token may have arrived since
		p.prints[request.Key] = append(p.prints[request.Key], time.Now())
	}
	p.mu.Unlock()
	if kind := p.runStep(Printed, request); kind != hosts.Served {
		return hosts.Reply{Kind: kind}
	}
	return hosts.Reply{Body: []byte("printed")}
}

// runStep calls OnStep, if it is set.
func (p *Printer) runStep(s Step, a cluster.Arrival) hosts.Kind {
	if p.OnStep == nil {
		return hosts.Served
	}
	return p.OnStep(s, a)
}

// Sheets returns how often each sheet was printed, by idempotency key.
func (p *Printer) Sheets() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for key, prints := range p.prints {
		out[key] = len(prints)
	}
	return out
}

// remembers reports whether a sheet was printed and is not forgotten yet. The caller holds the lock.
func (p *Printer) remembers(key string) bool {
	prints := p.prints[key]
	return len(prints) > 0 && (p.Window == 0 || time.Since(prints[len(prints)-1]) < p.Window)
}

// MaxConcurrent returns the highest number of requests in progress at once since the last call.
func (p *Printer) MaxConcurrent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.maxActive
	p.maxActive = p.active
	return n
}
