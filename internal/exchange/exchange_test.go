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

// A request may have run while an attempt is in progress and after one that may have run, whatever it is answered. Its end is
// settled once no attempt is in progress. It guards against planned work that is sent again after a refusal.
func TestMayHaveRun(t *testing.T) {
	settled := func(e *Exchange) bool {
		select {
		case <-e.Settled():
			return true
		default:
			return false
		}
	}
	for _, mayHaveRun := range []bool{false, true} {
		e := New(Message{}, Fields{}, time.Time{})
		if e.MayHaveRun() || !settled(e) {
			t.Error("a request without an attempt may have run, or is not settled")
		}
		e.BeginAttempt()
		waiting := e.Settled()
		if !e.MayHaveRun() || settled(e) {
			t.Error("an attempt in progress can't run, or is settled")
		}
		e.EndAttempt(mayHaveRun)
		<-waiting
		e.BeginAttempt()
		e.EndAttempt(false)
		e.Finish(Answer{Status: Refused})
		if e.MayHaveRun() != mayHaveRun || !settled(e) {
			t.Errorf("after an attempt that may have run (%t) and one that can't: %t", mayHaveRun, e.MayHaveRun())
		}
	}
}
