package metrics

import "runtime/metrics"

// RecordMemory sets the counters of the Go runtime's memory: what it has mapped and not returned, the live heap after the
// last collection, the stacks of goroutines, and the number of goroutines.
func (r *Registry) RecordMemory() {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
		{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}, {Name: "/sched/goroutines:goroutines"}}
	metrics.Read(samples)
	values := make([]int64, len(samples))
	for i, s := range samples {
		if s.Value.Kind() == metrics.KindUint64 {
			values[i] = int64(s.Value.Uint64())
		}
	}
	r.Set("memory.mapped_bytes", values[0]-values[1])
	r.Set("memory.live_heap_bytes", values[2])
	r.Set("memory.stack_bytes", values[3])
	r.Set("memory.goroutines", values[4])
}
