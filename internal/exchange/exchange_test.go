package exchange

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// When several goroutines call Finish at the same time, one of them reports success, and its answer is the one read.
func TestOneFinalAnswer(t *testing.T) {
	for range 100 {
		e := New(Message{}, Fields{}, time.Time{})
		if e.Ended() {
			t.Fatal("ended at the start")
		}
		var first atomic.Int64
		var work sync.WaitGroup
		for i := range 8 {
			work.Go(func() {
				if e.Finish(Answer{Body: []byte{byte(i)}}) {
					first.Add(int64(i) + 1)
				}
			})
		}
		work.Wait()
		<-e.Done()
		if got := int64(e.Answer().Body[0]) + 1; got != first.Load() || !e.Ended() {
			t.Fatalf("answer %d, Finish reported success for %d", got, first.Load())
		}
	}
}
