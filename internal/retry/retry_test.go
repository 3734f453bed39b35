package retry

import (
	"context"
	"testing"
	"time"
)

// The first failure of a row is told, and the end of the row; pauses double up to the longest.
func TestBackoff(t *testing.T) {
	b := New(time.Microsecond, 4*time.Microsecond)
	if b.Succeeded() {
		t.Error("success after no failure")
	}
	if !b.Failed() || b.Failed() {
		t.Error("the first failure alone is to be told")
	}
	for _, want := range []time.Duration{2, 4, 4} {
		b.Wait(t.Context())
		if b.next != want*time.Microsecond {
			t.Errorf("next pause %v", b.next)
		}
	}
	if !b.Succeeded() || b.next != time.Microsecond {
		t.Errorf("after a success the pause is %v", b.next)
	}
	ctx, stop := context.WithCancel(t.Context())
	stop()
	New(time.Hour, time.Hour).Wait(ctx) // returns
}
