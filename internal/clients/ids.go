package clients

import (
	"hash/maphash"
	"sync"
	"time"
)

// maxSpentIDs is the number of ids of ended requests that are kept. The oldest makes room for the next.
const maxSpentIDs = 8192

// requestIDs holds the ids of open requests, and for some time those of ended ones that have run, or may have, and of which a
// second copy would do harm. It is safe for concurrent use.
type requestIDs struct {
	keepFor time.Duration // how long the id of such a request may not be used again
	seed    maphash.Seed  // ids of ended requests are kept as hashes, since clients choose their length

	mu     sync.Mutex
	open   map[string]struct{}
	spent  map[uint64]time.Time // when the request ended, by hash of the id
	oldest []spentID            // a queue of the same, the oldest first
}

// spentID is the hash of an id that may not be used again for some time.
type spentID struct {
	hash uint64
	at   time.Time
}

// newRequestIDs returns an empty set.
func newRequestIDs(keepFor time.Duration) *requestIDs {
	return &requestIDs{keepFor: keepFor, seed: maphash.MakeSeed(), open: map[string]struct{}{}, spent: map[uint64]time.Time{}}
}

// claim adds the id of a request, and reports false if there is an open request with it, or one that has run or may run.
func (r *requestIDs) claim(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, open := r.open[id]
	at, spent := r.spent[maphash.String(r.seed, id)]
	if open || spent && time.Since(at) < r.keepFor {
		return false
	}
	r.open[id] = struct{}{}
	return true
}

// release removes the id of a request that has ended, and keeps it apart if the request has run or may run.
func (r *requestIDs) release(id string, mayRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	if !mayRun {
		return
	}
	now := time.Now()
	for len(r.oldest) > 0 && (len(r.oldest) >= maxSpentIDs || now.Sub(r.oldest[0].at) >= r.keepFor) {
		if first := r.oldest[0]; r.spent[first.hash].Equal(first.at) { // otherwise it was used and spent once more since
			delete(r.spent, first.hash)
		}
		r.oldest = r.oldest[1:]
	}
	entry := spentID{maphash.String(r.seed, id), now}
	r.oldest = append(r.oldest, entry)
	r.spent[entry.hash] = now
}
