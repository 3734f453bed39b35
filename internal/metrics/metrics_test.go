package metrics

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

func TestCounts(t *testing.T) {
	r := New()
	var work sync.WaitGroup
	for _, name := range []string{"a.one", "a.two"} {
		for range 4 {
			work.Go(func() {
				for range 1000 {
					r.Inc(name)
				}
			})
		}
	}
	for i := range 100 {
		r.RecordMax("wait_us", time.Duration(i%50)*time.Microsecond)
	}
	work.Wait()
	core, logs := observer.New(zap.InfoLevel)
	r.Log(zap.New(core), "test")
	got := logs.All()[0].ContextMap()
	want := map[string]any{"why": "test", "a.one": int64(4000), "a.two": int64(4000), "wait_us": int64(49)}
	for k, v := range want {
		if got[k] != v {
			t.Errorf("%s is %v, want %v", k, got[k], v)
		}
	}
	if len(got) != len(want) {
		t.Errorf("printed %v", got)
	}
}
