// Package testwait is how tests wait for what happens in other goroutines: for long enough that only a defect
// runs out of it, so that a slow machine gives the same verdict as a fast one.
package testwait

import (
	"testing"
	"time"
)

// Patience is far beyond what any step of a test takes.
const Patience = 20 * time.Second

// Until waits until something has become so.
func Until(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Value waits for what a channel brings.
func Value[T any](t testing.TB, what string, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Patience):
		t.Fatalf("waited in vain for %s", what)
		panic("not reached")
	}
}
