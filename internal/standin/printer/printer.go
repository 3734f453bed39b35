// Package printer stands in for the receiver of planned work: it prints a sheet once, whatever comes how often, and turns
// away who had the work before another. Its record outlives its ends, as that of a real one would.
package printer

import (
	"context"
	"net/url"
	"strconv"
	"sync"

	"merlinarch/internal/standin/cluster"
	"merlinarch/internal/standin/hosts"
)

// Step is where in its work a printer is.
type Step int

// Steps of a print.
const (
	Received Step = iota
	Printed
)

// Printer is one receiver.
type Printer struct {
	// At is called at each step of a sheet; a reply that is not served ends it there. Nil: nothing happens.
	OnStep func(s Step, a cluster.Arrival) hosts.Kind

	mu     sync.Mutex
	sheets map[string]int    // printed, by key
	fences map[string]uint64 // the highest seen
	out    int               // being worked on
	most   int
}

// New is a printer with paper.
func New() *Printer { return &Printer{sheets: map[string]int{}, fences: map[string]uint64{}} }

// Serve takes one request.
func (p *Printer) Serve(_ context.Context, a cluster.Arrival) hosts.Reply {
	if a.Key == "" {
		return hosts.Reply{Body: []byte("notice")}
	}
	fence := uint64(0)
	if u, err := url.Parse(a.Target); err == nil {
		fence, _ = strconv.ParseUint(u.Query().Get("fence"), 10, 64)
	}
	p.mu.Lock()
	if fence < p.fences[a.Key] {
		p.mu.Unlock()
		return hosts.Reply{Kind: hosts.TurnedAway}
	}
	p.fences[a.Key] = fence
	p.out++
	p.most = max(p.most, p.out)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.out--
		p.mu.Unlock()
	}()
	if k := p.step(Received, a); k != hosts.Served {
		return hosts.Reply{Kind: k}
	}
	p.mu.Lock()
	if p.sheets[a.Key] == 0 && fence == p.fences[a.Key] { // the fence is looked at where the work is done
		p.sheets[a.Key]++
	}
	p.mu.Unlock()
	if k := p.step(Printed, a); k != hosts.Served {
		return hosts.Reply{Kind: k}
	}
	return hosts.Reply{Body: []byte("printed")}
}

func (p *Printer) step(s Step, a cluster.Arrival) hosts.Kind {
	if p.OnStep == nil {
		return hosts.Served
	}
	return p.OnStep(s, a)
}

// Sheets is how often each sheet was printed, by key.
func (p *Printer) Sheets() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]int{}
	for k, n := range p.sheets {
		out[k] = n
	}
	return out
}

// Most is how many sheets were worked on together at the most, since the last time it was asked.
func (p *Printer) MaxConcurrent() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.most
	p.most = p.out
	return n
}
