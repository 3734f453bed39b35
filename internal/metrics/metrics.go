// Package metrics counts what the router takes in, sends and answers, by outcome.
package metrics

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Registry holds all counters by name. Reading the table takes no lock: it is replaced when a name is new.
type Registry struct {
	mu    sync.Mutex
	count atomic.Pointer[map[string]*atomic.Int64]
}

// New makes an empty registry.
func New() *Registry {
	r := &Registry{}
	r.count.Store(&map[string]*atomic.Int64{})
	return r
}

// at finds a counter, or makes it.
func (r *Registry) at(name string) *atomic.Int64 {
	if c := (*r.count.Load())[name]; c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	have := *r.count.Load()
	if have[name] == nil {
		grown := maps.Clone(have)
		grown[name] = new(atomic.Int64)
		r.count.Store(&grown)
		have = grown
	}
	return have[name]
}

// Add counts n more of a kind; names are fixed texts, "what.outcome", never taken from a peer.
func (r *Registry) Add(name string, n int64) { r.at(name).Add(n) }

// Inc counts one more.
func (r *Registry) Inc(name string) { r.Add(name, 1) }

// Worst keeps the longest time seen, in microseconds, under a name ending in "_us".
func (r *Registry) RecordMax(name string, d time.Duration) {
	c := r.at(name)
	for {
		have := c.Load()
		if d.Microseconds() <= have || c.CompareAndSwap(have, d.Microseconds()) {
			return
		}
	}
}

// Get reads a counter.
func (r *Registry) Get(name string) int64 { return r.at(name).Load() }

// Log prints all counters on one line, by name.
func (r *Registry) Log(log *zap.Logger, why string) {
	names := slices.Sorted(maps.Keys(*r.count.Load()))
	fields := []zap.Field{zap.String("why", why)}
	for _, name := range names {
		fields = append(fields, zap.Int64(name, r.Get(name)))
	}
	log.Info("counters", fields...)
}
