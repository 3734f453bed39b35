package usage

import (
	"fmt"
	"slices"
)

// Instance identifies one incarnation of one router.
type Instance struct {
	Name        string
	Incarnation uint64
}

// Batch is what an instance exports under one sequence number. The numbers of an instance have no gaps.
type Batch struct {
	Instance Instance
	Sequence uint64 // starts at 1
	Sum      Sum    // total of the batch's content
}

// Receiver decides what a receiver of exports does with a batch. Each batch counts once and in order, even if it is sent
// again.
type Receiver struct{ lastSequence map[Instance]uint64 }

// NewReceiver returns a Receiver that has not received any batch.
func NewReceiver() *Receiver { return &Receiver{lastSequence: map[Instance]uint64{}} }

// Verdict tells what to do with a batch.
type Verdict int

// Verdicts on batches.
const (
	Accept     Verdict = iota // new: store it, then confirm it
	Duplicate                 // received before: confirm it without counting it
	OutOfOrder                // an earlier batch is missing: refuse it
)

// Receive returns the verdict on a batch. The verdict Accept has to be made durable together with the batch.
func (r *Receiver) Receive(b Batch) Verdict {
	switch want := r.lastSequence[b.Instance] + 1; {
	case b.Sequence < want:
		return Duplicate
	case b.Sequence > want:
		return OutOfOrder
	}
	r.lastSequence[b.Instance] = b.Sequence
	return Accept
}

// Cursor is the position of an instance's export. If it advanced before the receiver's confirmation, a crash would lose a
// batch; if it advanced on the confirmation of another batch, a batch would never be sent.
type Cursor struct{ confirmed uint64 }

// ResumeCursor returns a cursor that continues after the last confirmed batch.
func ResumeCursor(confirmed uint64) *Cursor { return &Cursor{confirmed} }

// Next returns the sequence number of the batch to send.
func (c *Cursor) Next() uint64 { return c.confirmed + 1 }

// Confirm advances the cursor on the receiver's durable confirmation of a batch, and reports whether it advanced. A late
// confirmation of an earlier batch has no effect; one of a batch that was never sent is an error.
func (c *Cursor) Confirm(sequence uint64) (moved bool, err error) {
	switch {
	case sequence <= c.confirmed:
		return false, nil
	case sequence > c.confirmed+1:
		return false, fmt.Errorf("accounts: batch %d confirmed, %d not sent yet", sequence, c.confirmed+1)
	}
	c.confirmed = sequence
	return true, nil
}

// Claim is an instance's own total of a period.
type Claim struct {
	Instance Instance
	Sum      Sum
}

// Finding is a discrepancy that the reconciliation of a period found for one instance.
type Finding struct {
	Instance Instance
	Kind     FindingKind
	Claimed  Sum
	Received Sum
}

// FindingKind tells what does not agree.
type FindingKind int

// Kinds of findings.
const (
	Missing   FindingKind = iota // expected, but neither a claim nor a batch arrived: the total is unknown, not zero
	Mismatch                     // the claim differs from what was received, or nothing was received
	Unclaimed                    // batches arrived, but no claim
	Restarted                    // another incarnation under a name that already has a claim
)

// Reconcile compares what instances claim for a period with what was received from them. Expected names the routers that
// must have a claim. Something that is absent does not count as zero but is a finding.
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
