package rehearsal

import (
	"container/heap"
	"time"
)

// event is a function to be called at a virtual time.
type event struct {
	at    time.Duration
	order uint64 // events of the same time happen in the order in which they were scheduled
	do    func()
}

// queue is the event queue and the virtual clock. It implements heap.Interface, ordered by time.
type queue struct {
	list           []event
	now            time.Duration
	scheduledCount uint64
	processedCount uint64 // events that have been processed
}

func (q *queue) Len() int { return len(q.list) }
func (q *queue) Less(i, j int) bool {
	a, b := &q.list[i], &q.list[j]
	return a.at < b.at || a.at == b.at && a.order < b.order
}
func (q *queue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }
func (q *queue) Push(any)      {} // at appends to the list itself, which avoids boxing each event in an interface
func (q *queue) Pop() any      { return nil }

// at schedules a function at a time, or now if that has passed.
func (q *queue) at(t time.Duration, do func()) {
	q.scheduledCount++
	q.list = append(q.list, event{max(t, q.now), q.scheduledCount, do})
	heap.Push(q, nil)
}

// after schedules a function after a delay.
func (q *queue) after(d time.Duration, do func()) { q.at(q.now+d, do) }

// next returns the time of the next event, and false if there is none.
func (q *queue) next() (time.Duration, bool) {
	if len(q.list) == 0 {
		return 0, false
	}
	return q.list[0].at, true
}

// step processes the next event.
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
