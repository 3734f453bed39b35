// Package memory limits and reuses the memory of requests and answers.
package memory

import (
	"container/list"
	"math/bits"
	"sync"
	"time"
)

// Budget limits the bytes that all users of it take together. It is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	available int
	waiters   list.List // of *waiter, the first to come first
}

// waiter is a call of ReserveWithin that waits.
type waiter struct {
	bytes, spare int
	granted      chan struct{} // closed once the bytes are taken for it
}

// NewBudget returns a budget of this many bytes.
func NewBudget(bytes int) *Budget { return &Budget{available: bytes} }

// Reserve takes n bytes if at least spare bytes are left over, and reports whether it did.
func (b *Budget) Reserve(n, spare int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(n, spare)
}

// take takes n bytes if at least spare bytes are left over. The caller holds the lock.
func (b *Budget) take(n, spare int) bool {
	if n+spare > b.available {
		return false
	}
	b.available -= n
	return true
}

// ReserveWithin takes n bytes so that at least spare bytes are left over. It waits for them no longer than the timeout, and
// reports whether it has taken them.
func (b *Budget) ReserveWithin(n, spare int, timeout time.Duration) bool {
	b.mu.Lock()
	if b.take(n, spare) {
		b.mu.Unlock()
		return true
	}
	w := &waiter{n, spare, make(chan struct{})}
	element := b.waiters.PushBack(w)
	b.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-w.granted:
		return true
	case <-timer.C:
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-w.granted:
		return true
	default:
		b.waiters.Remove(element)
		return false
	}
}

// Release returns n bytes, and gives them to those who wait, as far as they suffice.
func (b *Budget) Release(n int) {
	if n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available += n
	for e := b.waiters.Front(); e != nil; {
		w, next := e.Value.(*waiter), e.Next()
		if b.take(w.bytes, w.spare) {
			b.waiters.Remove(e)
			close(w.granted)
		}
		e = next
	}
}

// Available returns how many bytes are not taken.
func (b *Budget) Available() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available
}

// Buffers of minShift to maxShift bits are reused. Larger ones are rare, smaller ones cheap.
const (
	minShift = 12 // 4 KiB
	maxShift = 16 // 64 KiB
)

var pools [maxShift - minShift + 1]sync.Pool // of *[]byte, by size

// sizeClass returns the number of the pool whose buffers have room for n bytes, or -1 if there is none.
func sizeClass(n int) int {
	shift := bits.Len(uint(max(n, 1) - 1))
	if shift < minShift || shift > maxShift {
		return -1
	}
	return shift - minShift
}

// Buffer returns an empty buffer with room for at least n bytes, if possible one that was recycled.
func Buffer(n int) []byte {
	class := sizeClass(n)
	if class < 0 {
		return make([]byte, 0, n)
	}
	if recycled, ok := pools[class].Get().(*[]byte); ok {
		return (*recycled)[:0]
	}
	return make([]byte, 0, 1<<(minShift+class))
}

// Recycle takes back a buffer that Buffer returned. Nobody may use it any more.
func Recycle(buffer []byte) {
	if class := sizeClass(cap(buffer)); class >= 0 && cap(buffer) == 1<<(minShift+class) {
		pools[class].Put(&buffer)
	}
}
