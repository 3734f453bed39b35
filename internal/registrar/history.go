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

// errHistoryMismatch means that another registrar's history doesn't continue this one's.
var errHistoryMismatch = errors.New("the other registrar's history does not continue this one's")

// firstMissingVersion returns the first version, between from and latest, that is not in the store; 0: none is missing.
func (s *store) firstMissingVersion(from, latest uint64) (uint64, error) {
	for from <= latest {
		steps, err := s.steps(from, maxStepsPerRead)
		if err != nil {
			return 0, err
		}
		for _, step := range steps {
			if step.Head.Version != from {
				return from, nil
			}
			from++
		}
		if len(steps) < maxStepsPerRead && from <= latest {
			return from, nil
		}
	}
	return 0, nil
}

// maxStepsPerRead bounds the versions that are read from the store at once.
const maxStepsPerRead = 64

// backfillHistory runs in a goroutine and fetches the versions that this registrar's store lacks. A registrar that
// joined, or installed a snapshot, has the present state only; until it fetches them, earlier versions are on the other
// registrars' disks alone.
func backfillHistory(ctx context.Context, o Options, store *store, front *frontend, peers *peers, storeInbox *mailbox[storeRequest], log *zap.Logger) {
	checkedUntil := uint64(2) // no version below it is missing; version 1 is the same on all registrars
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
		n := front.running.Load()
		if n == nil {
			continue
		}
		latest := n.published.Load().document.Head.Version
		missing, err := store.firstMissingVersion(checkedUntil, latest)
		if err != nil {
			log.Error("cannot read the history of versions", zap.Error(err))
			return
		}
		if missing == 0 {
			checkedUntil = max(checkedUntil, latest)
			continue
		}
		checkedUntil = missing
		for name, r := range n.published.Load().registrars {
			if r.ID == store.id.ID {
				continue
			}
			if err := fetchHistory(ctx, store, peers, peers.address(name, r.Addr), missing, storeInbox); err == nil {
				break
			} else if ctx.Err() == nil {
				log.Debug("could not fetch missing versions", zap.String("from", name), zap.Error(err))
			}
		}
	}
}

// fetchHistory fetches versions from another registrar, starting with missing, and stores them if they continue the
// history in the store.
func fetchHistory(ctx context.Context, store *store, peers *peers, addr string, missing uint64, storeInbox *mailbox[storeRequest]) error {
	previousHash := ruleset.New(peers.opts.Budget, 0).Document.Head.Hash
	if missing > 2 {
		steps, err := store.steps(missing-1, 1)
		if err != nil || len(steps) == 0 {
			return errors.Join(err, errHistoryMismatch)
		}
		previousHash = steps[0].Head.Hash
	}
	var versions accord.VersionHistory
	if err := peers.get(ctx, addr, fmt.Sprintf("%s?from=%d", accord.PathVersion, missing), &versions, peers.opts.Terms.Length); err != nil {
		return err
	}
	for i, step := range versions.Steps {
		if step.Head.Version != missing+uint64(i) || step.Head.PreviousHash != previousHash {
			return errHistoryMismatch
		}
		previousHash = step.Head.Hash
	}
	written := make(chan error, 1)
	storeInbox.put(storeRequest{batch: batch{steps: versions.Steps}, finished: func(err error) { written <- err }})
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
