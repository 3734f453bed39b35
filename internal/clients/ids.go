package clients

import (
	"hash/maphash"
	"sync"
	"time"
)

// maxGivenUpIDs is the number of ids of given-up requests that are kept. The oldest makes room for the next.
const maxGivenUpIDs = 8192

// requestIDs holds the ids of open requests, and for some time those of requests that were given up after they had been
// sent to a host. Such a request may run or have run, so that a second one with its id would run twice. It is safe for
// concurrent use.
type requestIDs struct {
	keepFor time.Duration // how long the id of a given-up request may not be used again
	seed    maphash.Seed  // ids of given-up requests are kept as hashes, since clients choose their length

	mu      sync.Mutex
	open    map[string]struct{}
	givenUp map[uint64]time.Time // when it was given up, by hash of the id
	oldest  []givenUpID          // a queue of the same, the oldest first
}

// givenUpID is the hash of an id whose request was given up.
type givenUpID struct {
	hash uint64
	at   time.Time
}

// newRequestIDs returns an empty set.
func newRequestIDs(keepFor time.Duration) *requestIDs {
	return &requestIDs{keepFor: keepFor, seed: maphash.MakeSeed(), open: map[string]struct{}{}, givenUp: map[uint64]time.Time{}}
}

// claim adds the id of a request, and reports false if there is an open request with it, or one that may run.
func (r *requestIDs) claim(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, open := r.open[id]
	at, givenUp := r.givenUp[maphash.String(r.seed, id)]
	if open || givenUp && time.Since(at) < r.keepFor {
		return false
	}
	r.open[id] = struct{}{}
	return true
}

// release removes the id of a request that has ended, and keeps it apart if the request may run.
func (r *requestIDs) release(id string, mayRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, id)
	if !mayRun {
		return
	}
	now := time.Now()
	for len(r.oldest) > 0 && (len(r.oldest) >= maxGivenUpIDs || now.Sub(r.oldest[0].at) >= r.keepFor) {
		if first := r.oldest[0]; r.givenUp[first.hash].Equal(first.at) { // otherwise it was given up once more since
			delete(r.givenUp, first.hash)
		}
		r.oldest = r.oldest[1:]
	}
	entry := givenUpID{maphash.String(r.seed, id), now}
	r.oldest = append(r.oldest, entry)
	r.givenUp[entry.hash] = now
}
