package gateway

import (
	"container/heap"
	"math"
	"time"

	"merlinarch/logic"
)

// timer is a timer that the module has set.
type timer struct {
	at    time.Duration
	order uint64 // order of setting, for timers due at the same time
	token uint64
}

// timers is a priority queue of timers by due time. It implements heap.Interface.
type timers struct {
	list     []timer
	setCount uint64 // timers set so far
}

func (t *timers) Len() int { return len(t.list) }
func (t *timers) Less(i, j int) bool {
	a, b := t.list[i], t.list[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (t *timers) Swap(i, j int) { t.list[i], t.list[j] = t.list[j], t.list[i] }
func (t *timers) Push(x any)    { t.list = append(t.list, x.(timer)) }
func (t *timers) Pop() any {
	last := t.list[len(t.list)-1]
	t.list = t.list[:len(t.list)-1]
	return last
}

// add adds a timer that is due at the given time.
func (t *timers) add(at time.Duration, token uint64) {
	t.setCount++
	heap.Push(t, timer{at, t.setCount, token})
}

// popDue removes and returns the first timer that is due at now, if there is one.
func (t *timers) popDue(now time.Duration) (timer, bool) {
	if len(t.list) == 0 || t.list[0].at > now {
		return timer{}, false
	}
	return heap.Pop(t).(timer), true
}

// nextDue returns when the next timer is due, or the largest time if there is none.
func (t *timers) nextDue() time.Duration {
	if len(t.list) == 0 {
		return math.MaxInt64
	}
	return t.list[0].at
}

var outcomeNames = map[logic.Outcome]string{logic.OK: "ok", logic.ServerError: "server_error",
	logic.Rejected: "rejected", logic.TimedOut: "timed_out", logic.ConnectFailed: "connect_failed",
	logic.Reset: "reset", logic.Cancelled: "cancelled", logic.NotSent: "not_sent"}

// outcomeName returns the name of an outcome in counters.
func outcomeName(o logic.Outcome) string { return outcomeNames[o] }
