// Package testwait lets tests wait for events in other goroutines. Its timeout is so long that only a defect exceeds it,
// so that a slow machine gives the same result as a fast one.
package testwait

import "time"

// T is the part of *testing.T that this package needs.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Patience is the timeout of all waits, far longer than any step of a test takes.
const Patience = time.Minute

// Until waits until done returns true; what names the event in the failure message.
func Until(t T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Value waits for a value from a channel and returns it; what names the value in the failure message.
func Value[V any](t T, what string, from <-chan V) V {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Patience):
		t.Fatalf("timed out waiting for %s", what)
		panic("not reached")
	}
}
