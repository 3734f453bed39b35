package servers

import "sync"

// memoryBudget limits the memory that all long answers take together. Without it, hosts that send long answers to many
// requests at once could make the node run out of memory and lose everything that it holds. The cost is that, while
// the budget is used up, further long answers are given up.
type memoryBudget struct {
	mu        sync.Mutex
	available int // bytes
}

// newAllocation returns the empty allocation of one answer. From a nil budget nothing can be allocated.
func (b *memoryBudget) newAllocation() *allocation { return &allocation{budget: b} }

// allocation is the part of the budget that one answer takes.
type allocation struct {
	budget *memoryBudget
	size   int // bytes
}

// growTo enlarges the allocation to n bytes in total and reports whether the budget allows it.
func (a *allocation) growTo(n int) bool {
	if a.budget == nil {
		return false
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if n-a.size > a.budget.available {
		return false
	}
	a.budget.available -= n - a.size
	a.size = n
	return true
}

// free returns the whole allocation to the budget. Further calls do nothing.
func (a *allocation) free() {
	if a == nil || a.size == 0 {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.available += a.size
	a.size = 0
}
