package registrar

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/ruleset"
)

// errHistory tells that what another registrar has does not follow what this one has.
var errHistory = errors.New("the history that another registrar tells does not follow this one's")

// gap is the first version that is not on the disk, up to the present one; 0: all are. from is where to look from.
func (s *store) gap(from, present uint64) (uint64, error) {
	for from <= present {
		steps, err := s.steps(from, stepsTogether)
		if err != nil {
			return 0, err
		}
		for _, step := range steps {
			if step.Head.Version != from {
				return from, nil
			}
			from++
		}
		if len(steps) < stepsTogether && from <= present {
			return from, nil
		}
	}
	return 0, nil
}

// stepsTogether bounds the versions that are read back at once.
const stepsTogether = 64

// fill is the task that brings the history to a registrar that joined, or was sent the record whole: the record tells what
// holds, and the versions before it are on the others' disks alone until it has them too.
func fill(ctx context.Context, o Options, s *store, f *front, out *peers, disk *mailbox[toStore], log *zap.Logger) {
	whole := uint64(2) // all before it are there; version 1 is the same everywhere
	wait := func(d time.Duration) bool {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return false
		case <-t.C:
			return true
		}
	}
	for wait(o.Terms.Length) {
		n := f.running.Load()
		if n == nil {
			continue
		}
		present := n.shown.Load().document.Head.Version
		missing, err := s.gap(whole, present)
		if err != nil {
			log.Error("history can't be read", zap.Error(err))
			return
		}
		if missing == 0 {
			whole = max(whole, present)
			continue
		}
		whole = missing
		for name, r := range n.shown.Load().registrars {
			if r.ID == s.id.ID {
				continue
			}
			if err := fetch(ctx, s, out, out.address(name, r.Addr), missing, disk); err == nil {
				break
			} else if ctx.Err() == nil {
				log.Debug("history not filled", zap.String("from", name), zap.Error(err))
			}
		}
	}
}

// fetch takes a stretch of the history from another registrar, and writes it down if it follows what is there.
func fetch(ctx context.Context, s *store, out *peers, addr string, missing uint64, disk *mailbox[toStore]) error {
	before := ruleset.New(out.opts.Budget, 0).Document.Head.Hash
	if missing > 2 {
		steps, err := s.steps(missing-1, 1)
		if err != nil || len(steps) == 0 {
			return errors.Join(err, errHistory)
		}
		before = steps[0].Head.Hash
	}
	var v accord.VersionHistory
	if err := out.ask(ctx, addr, fmt.Sprintf("%s?from=%d", accord.PathVersion, missing), &v, out.opts.Terms.Length); err != nil {
		return err
	}
	for i, step := range v.Steps {
		if step.Head.Version != missing+uint64(i) || step.Head.PreviousHash != before {
			return errHistory
		}
		before = step.Head.Hash
	}
	written := make(chan error, 1)
	disk.put(toStore{batch: batch{steps: v.Steps}, finished: func(err error) { written <- err }})
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
