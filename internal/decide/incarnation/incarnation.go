// Package incarnation decides when the present incarnation of a server started. Discovery tells that as a time of the wall
// clock. A router's own wall clock may be wrong by seconds or by an hour, so that a server that has just started would
// look warm, or would look cold for an hour; then slow start would fail.
package incarnation

import (
	"time"

	"merlinarch/logic"
)

const (
	// longestDelay is the longest time that a list may take from discovery to a router: an outage of discovery, with the
	// pauses after it. An incarnation that was unknown before and looks older than that has a start that this router's clock
	// can't tell.
	longestDelay = time.Minute
	// keepRemoved is the number of removed servers that are remembered, in case they are listed again.
	keepRemoved = 4096
)

// Starts remembers when the incarnations of servers started. It is not safe for concurrent use.
type Starts struct {
	servers map[logic.ServerID]start
	removed []logic.ServerID // removed servers, the first to be removed first; one may have been listed again since
}

// start is what is known of one incarnation.
type start struct {
	unixMs  int64         // as discovery tells it
	at      time.Duration // in the router's own monotonic time
	removed bool
}

// New returns a memory without servers.
func New() *Starts { return &Starts{servers: map[logic.ServerID]start{}} }

// Observe returns when a listed server started, in the router's own monotonic time; zero means long ago. The start is unixMs
// by discovery, which is claimed by this router's clock. isFirstList says that the router has received no list before, so
// that a server it doesn't know may have started at any time. The result is the same for each listing of an incarnation.
func (s *Starts) Observe(id logic.ServerID, unixMs int64, claimed, now time.Duration, isFirstList bool) time.Duration {
	if unixMs <= 0 {
		return claimed
	}
	if known, ok := s.servers[id]; ok && known.unixMs == unixMs {
		known.removed = false
		s.servers[id] = known
		return known.at
	}
	at := claimed
	if claimed > now || !isFirstList && now-claimed > longestDelay {
		at = now
	}
	s.servers[id] = start{unixMs: unixMs, at: at}
	return at
}

// Remove notes that a server is no longer listed.
func (s *Starts) Remove(id logic.ServerID) {
	known, ok := s.servers[id]
	if !ok || known.removed {
		return
	}
	known.removed = true
	s.servers[id] = known
	s.removed = append(s.removed, id)
	if len(s.removed) <= keepRemoved {
		return
	}
	if oldest := s.removed[0]; s.servers[oldest].removed {
		delete(s.servers, oldest)
	}
	s.removed = s.removed[1:]
}

// RemoveUnlisted notes that all servers but those of a whole list are no longer listed.
func (s *Starts) RemoveUnlisted(listed []logic.Server) {
	present := make(map[logic.ServerID]bool, len(listed))
	for _, server := range listed {
		present[server.ID] = true
	}
	for id := range s.servers {
		if !present[id] {
			s.Remove(id)
		}
	}
}
