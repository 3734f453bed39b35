package servers

import (
	"time"

	"merlinarch/internal/memory"
)

const (
	// freeAnswerBytes is the size up to which an answer's body takes nothing of the memory budget.
	freeAnswerBytes = 4 << 10
	// answerMemoryTimeout is how long an answer waits for memory, less than the time within which the rest of it is due.
	answerMemoryTimeout = 200 * time.Millisecond
)

// allocation is the buffer of one answer's body, and what it takes of the memory budget. Without the budget, hosts that
// send long answers to many requests at once, or clients that don't read them, could make the node run out of memory
// and lose everything that it holds.
type allocation struct {
	budget *memory.Budget
	size   int // bytes taken of the budget
	body   []byte
}

// grow makes room for size bytes in all, and reports whether the budget allows it.
func (a *allocation) grow(size int) bool {
	if size <= cap(a.body) {
		return true
	}
	larger := memory.Buffer(size)
	if more := cap(larger) - max(cap(a.body), freeAnswerBytes); more > 0 {
		if a.budget == nil || !a.budget.ReserveWithin(more, 0, answerMemoryTimeout) {
			memory.Recycle(larger)
			return false
		}
		a.size += more
	}
	old := a.body
	a.body = append(larger, old...)
	memory.Recycle(old)
	return true
}

// free returns the buffer and what it takes of the budget. Further calls do nothing.
func (a *allocation) free() {
	if a == nil || a.body == nil {
		return
	}
	a.budget.Release(a.size)
	memory.Recycle(a.body)
	a.body, a.size = nil, 0
}
