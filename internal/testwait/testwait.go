// Package testwait is how tests wait for what happens in other goroutines: for long enough that only a defect
// runs out of it, so that a slow machine gives the same verdict as a fast one.
package testwait

import "time"

// T is what of a test is needed here; a *testing.T is one.
type T interface {
	Helper()
	Fatalf(format string, args ...any)
}

// Patience is far beyond what any step of a test takes.
const Patience = time.Minute

// Until waits until something has become so.
func Until(t T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

// Value waits for what a channel brings.
func Value[V any](t T, what string, from <-chan V) V {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Patience):
		t.Fatalf("waited in vain for %s", what)
		panic("not reached")
	}
}
