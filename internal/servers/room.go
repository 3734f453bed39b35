package servers

import "sync"

// room is what all answers longer than usual may take together. Danger: hosts may answer at length to many requests
// at a time, and a node out of memory dies with all that it holds. It hurts where more long answers come at once than
// there is room for: those are given up.
type memoryBudget struct {
	mu        sync.Mutex
	available int
}

// hold begins the part that one answer takes of the room; a nil room has none.
func (r *memoryBudget) newAllocation() *allocation { return &allocation{budget: r} }

// hold is the part of the room that one answer takes.
type allocation struct {
	budget *memoryBudget
	size   int
}

// take asks for the room to be n bytes in all, and tells whether they are there.
func (h *allocation) growTo(n int) bool {
	if h.budget == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if n-h.size > h.budget.available {
		return false
	}
	h.budget.available -= n - h.size
	h.size = n
	return true
}

// free gives it all back, once.
func (h *allocation) free() {
	if h == nil || h.size == 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.available += h.size
	h.size = 0
}
