package rehearsal

import (
	"container/heap"
	"time"
)

// event is something that will happen.
type event struct {
	at    time.Duration
	order uint64 // among events of one time, in the order in which they were asked for
	do    func()
}

// queue is all that will happen, by time. It implements heap.Interface.
type queue struct {
	list           []event
	now            time.Duration
	scheduledCount uint64
	processedCount uint64 // events that have happened
}

func (q *queue) Len() int { return len(q.list) }
func (q *queue) Less(i, j int) bool {
	a, b := &q.list[i], &q.list[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (q *queue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *queue) Push(any)      {} // at appends in place: no event is put into an interface
func (q *queue) Pop() any      { return nil }

// at asks for something at a time, or now if that is over.
func (q *queue) at(t time.Duration, do func()) {
	q.scheduledCount++
	q.list = append(q.list, event{max(t, q.now), q.scheduledCount, do})
	heap.Push(q, nil)
}

// after asks for something in a while.
func (q *queue) after(d time.Duration, do func()) { q.at(q.now+d, do) }

// next is when the next event happens; false where there is none.
func (q *queue) next() (time.Duration, bool) {
	if len(q.list) == 0 {
		return 0, false
	}
	return q.list[0].at, true
}

// step lets the next event happen.
func (q *queue) step() {
	heap.Pop(q)
	last := len(q.list) - 1
	e := q.list[last]
	q.list[last].do = nil
	q.list = q.list[:last]
	q.now = e.at
	q.processedCount++
	e.do()
}
