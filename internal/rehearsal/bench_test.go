package rehearsal

import (
	"runtime"
	"testing"
	"time"

	"merlinarch/internal/driver"
	"merlinarch/internal/rehearsal/script"
	"merlinarch/logic"
)

// timedModule measures the wall time and the calls of the wrapped module.
type timedModule struct {
	driver.Module
	spent *time.Duration
	calls *int
}

func (m timedModule) Handle(now time.Duration, e logic.Event) []logic.Action {
	began := time.Now()
	out := m.Module.Handle(now, e)
	*m.spent += time.Since(began)
	*m.calls++
	return out
}

// BenchmarkRehearsal plays whole rehearsals. It reports events per second, the time of an event in the world and in the
// module, and the heap at the end. The large ones take long, and CI runs none of them.
func BenchmarkRehearsal(b *testing.B) {
	for _, c := range []struct {
		name string
		sets map[string]any
		file string
	}{
		{"water-cut/3x15/10m", nil, "water-cut"},
		{"80x60/10m", map[string]any{"routers.count": 80.0, "hosts.count": 60.0, "clients.rate": 900.0}, "water-cut"},
		{"300x1000/1m", map[string]any{"routers.count": 300.0, "hosts.count": 1000.0, "clients.rate": 14000.0}, "calm"},
		{"300x1000/10s", map[string]any{"routers.count": 300.0, "hosts.count": 1000.0, "clients.rate": 14000.0, "length": "10s"}, "calm"},
	} {
		b.Run(c.name, func(b *testing.B) {
			runtime.GOMAXPROCS(1)
			var events, calls int
			var spent time.Duration
			var heapBytes uint64
			for b.Loop() {
				s, err := script.Load("../../deploy/rehearsals/"+c.file+".jsonnet", c.sets)
				if err != nil {
					b.Fatal(err)
				}
				policies["timed"] = func(s logic.Settings, seed uint64) driver.Module {
					return timedModule{logic.New(s, seed), &spent, &calls}
				}
				s.Routers.Policy = "timed"
				w, err := Prepare(s)
				if err != nil {
					b.Fatal(err)
				}
				for {
					if _, ok := w.Next(); !ok {
						break
					}
					w.Step()
				}
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				heapBytes = m.HeapAlloc
				events += int(w.queue.processedCount)
				runtime.KeepAlive(w)
			}
			elapsed := b.Elapsed()
			b.ReportMetric(float64(events)/elapsed.Seconds(), "events/s")
			b.ReportMetric(float64((elapsed-spent).Nanoseconds())/float64(events), "world-ns/event")
			b.ReportMetric(float64(spent.Nanoseconds())/float64(events), "logic-ns/event")
			b.ReportMetric(float64(spent.Nanoseconds())/float64(calls), "logic-ns/call")
			b.ReportMetric(float64(heapBytes)/(1<<20), "heap-MB")
		})
	}
}
