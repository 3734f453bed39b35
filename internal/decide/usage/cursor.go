package usage

import (
	"fmt"
	"slices"
)

// Instance names one life of one router.
type Instance struct {
	Name        string
	Incarnation uint64
}

// Batch is what an instance exports under one number; numbers of a life have no gaps.
type Batch struct {
	Instance Instance
	Sequence uint64 // from 1
	Sum      Sum    // of what it holds
}

// Receiver decides what a receiver of exports does with a batch: each counts once, in order, whatever comes again.
type Receiver struct{ next map[Instance]uint64 }

// NewReceiver makes a receiver that has seen nothing.
func NewReceiver() *Receiver { return &Receiver{next: map[Instance]uint64{}} }

// Verdict is what to do with a batch.
type Verdict int

// Verdicts on batches.
const (
	Accept     Verdict = iota // new: store it, then say so
	Duplicate                 // seen before: say so, count nothing
	OutOfOrder                // an earlier one is missing: refuse
)

// Take judges a batch. The verdict Count must be made durable together with the batch.
func (r *Receiver) Receive(b Batch) Verdict {
	switch want := r.next[b.Instance] + 1; {
	case b.Sequence < want:
		return Duplicate
	case b.Sequence > want:
		return OutOfOrder
	}
	r.next[b.Instance] = b.Sequence
	return Accept
}

// Cursor is how far an instance's export has come. Danger: moved before the receiver's word, a crash loses a batch;
// moved by the word on another batch, one is never sent.
type Cursor struct{ done uint64 }

// Resume continues after what had been confirmed.
func ResumeCursor(done uint64) *Cursor { return &Cursor{done} }

// Next is the number to send.
func (c *Cursor) Next() uint64 { return c.done + 1 }

// Confirmed moves on by the receiver's durable word on a batch, and tells whether the cursor has moved: a word on an
// earlier batch, come late, moves nothing; one on a batch that was never sent is an error.
func (c *Cursor) Confirm(sequence uint64) (moved bool, err error) {
	switch {
	case sequence <= c.done:
		return false, nil
	case sequence > c.done+1:
		return false, fmt.Errorf("accounts: batch %d confirmed, %d not sent yet", sequence, c.done+1)
	}
	c.done = sequence
	return true, nil
}

// Claim is what an instance states of a period: its own figure.
type Claim struct {
	Instance Instance
	Sum      Sum
}

// Finding is what reconciling a period found of one instance.
type Finding struct {
	Instance Instance
	Kind     FindingKind
	Claimed  Sum
	Received Sum
}

// FindingKind is what does not agree.
type FindingKind int

// Kinds of findings.
const (
	Missing   FindingKind = iota // expected, and neither claim nor batch came: unknown, not zero
	Mismatch                     // the claim and what was received are not the same
	Unclaimed                    // batches came, no claim
	Restarted                    // another life of a name that has claimed already
)

// Reconcile holds what instances claim of a period against what was received from them. Expected names the routers
// that must have a claim. Nothing that is absent counts as zero: it is a finding.
func Reconcile(expected []string, claims []Claim, received map[Instance]Sum) []Finding {
	var out []Finding
	seen := map[string]int{}
	claimed := map[Instance]bool{}
	for _, c := range claims {
		claimed[c.Instance] = true
		if seen[c.Instance.Name]++; seen[c.Instance.Name] > 1 {
			out = append(out, Finding{c.Instance, Restarted, c.Sum, received[c.Instance]})
		}
		if got, ok := received[c.Instance]; !ok || got != c.Sum {
			out = append(out, Finding{c.Instance, Mismatch, c.Sum, got})
		}
	}
	for from, sum := range received {
		if !claimed[from] {
			seen[from.Name]++
			out = append(out, Finding{from, Unclaimed, Sum{}, sum})
		}
	}
	for _, name := range expected {
		if seen[name] == 0 {
			out = append(out, Finding{Instance: Instance{Name: name}, Kind: Missing})
		}
	}
	slices.SortFunc(out, func(a, b Finding) int {
		switch {
		case a.Instance.Name != b.Instance.Name:
			if a.Instance.Name < b.Instance.Name {
				return -1
			}
			return 1
		case a.Instance.Incarnation != b.Instance.Incarnation:
			if a.Instance.Incarnation < b.Instance.Incarnation {
				return -1
			}
			return 1
		}
		return int(a.Kind) - int(b.Kind)
	})
	return out
}
