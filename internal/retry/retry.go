// Package retry paces attempts to reach a peer of the router again.
package retry

import (
	"context"
	"time"
)

// Backoff is a pause that doubles with each failure in a row.
type Backoff struct {
	first, last, next time.Duration
	failing           bool
}

// New makes a backoff from the first pause to the longest.
func New(first, last time.Duration) *Backoff { return &Backoff{first: first, last: last, next: first} }

// Failed notes a failure, and tells whether it is the first in a row, so that it is told once.
func (b *Backoff) Failed() (first bool) {
	first, b.failing = !b.failing, true
	return first
}

// Succeeded ends a row of failures, and tells whether there was one.
func (b *Backoff) Succeeded() (wasFailing bool) {
	wasFailing, b.failing, b.next = b.failing, false, b.first
	return wasFailing
}

// Wait pauses before the next try, or until ctx ends.
func (b *Backoff) Wait(ctx context.Context) {
	t := time.NewTimer(b.next)
	defer t.Stop()
	b.next = min(2*b.next, b.last)
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
