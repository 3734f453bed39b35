// Package metrics holds the router's counters: what it receives, sends and answers, by outcome.
package metrics

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Registry holds all counters by name and is safe for concurrent use. Looking up an existing counter takes no lock: the
// table is replaced by a copy when a new name is added.
type Registry struct {
	mu       sync.Mutex // held while a name is added
	counters atomic.Pointer[map[string]*atomic.Int64]
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{}
	r.counters.Store(&map[string]*atomic.Int64{})
	return r
}

// counter returns the counter of a name and adds it if it does not exist.
func (r *Registry) counter(name string) *atomic.Int64 {
	if c := (*r.counters.Load())[name]; c != nil {
		return c
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	current := *r.counters.Load()
	if current[name] == nil {
		grown := maps.Clone(current)
		grown[name] = new(atomic.Int64)
		r.counters.Store(&grown)
		current = grown
	}
	return current[name]
}

// Add adds n to a counter. Names are fixed strings of the form "what.outcome" and never contain received data.
func (r *Registry) Add(name string, n int64) { r.counter(name).Add(n) }

// Inc adds one to a counter.
func (r *Registry) Inc(name string) { r.Add(name, 1) }

// RecordMax raises a counter to a duration in microseconds if that exceeds its value. The name ends in "_us".
func (r *Registry) RecordMax(name string, d time.Duration) {
	c := r.counter(name)
	for {
		current := c.Load()
		if d.Microseconds() <= current || c.CompareAndSwap(current, d.Microseconds()) {
			return
		}
	}
}

// Set sets a counter that holds a current value instead of a sum.
func (r *Registry) Set(name string, value int64) { r.counter(name).Store(value) }

// Get returns the value of a counter.
func (r *Registry) Get(name string) int64 { return r.counter(name).Load() }

// Log writes all counters, sorted by name, as the fields of one log line; why is the reason for logging them.
func (r *Registry) Log(log *zap.Logger, why string) {
	names := slices.Sorted(maps.Keys(*r.counters.Load()))
	fields := []zap.Field{zap.String("why", why)}
	for _, name := range names {
		fields = append(fields, zap.Int64(name, r.Get(name)))
	}
	log.Info("counters", fields...)
}
