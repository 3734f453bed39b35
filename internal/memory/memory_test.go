package memory

import (
	"testing"
	"time"
)

// Reservations never exceed the budget, leave what is asked to be spared, and can wait for a release.
func TestBudget(t *testing.T) {
	b := NewBudget(100)
	if !b.Reserve(60, 40) || b.Reserve(1, 40) || !b.Reserve(40, 0) || b.Reserve(1, 0) {
		t.Fatal("reservations don't keep to the budget")
	}
	if b.ReserveWithin(1, 0, 5*time.Millisecond) {
		t.Error("reserved more than there is")
	}
	go func() {
		time.Sleep(5 * time.Millisecond)
		b.Release(10)
	}()
	if !b.ReserveWithin(10, 0, time.Minute) {
		t.Error("the release was not noticed")
	}
	b.Release(90)
	if b.Available() != 90 {
		t.Errorf("%d bytes are available, want 90", b.Available())
	}
}

// A buffer has the room that was asked for, also when it is a recycled one, and is empty.
func TestBuffer(t *testing.T) {
	for _, n := range []int{0, 1, 4 << 10, 5000, 64 << 10, 64<<10 + 1} {
		for range 3 {
			b := Buffer(n)
			if len(b) != 0 || cap(b) < n {
				t.Fatalf("Buffer(%d) has length %d and room for %d", n, len(b), cap(b))
			}
			Recycle(append(b, make([]byte, n)...))
		}
	}
}
