package incarnation

import (
	"testing"
	"time"

	"merlinarch/logic"
)

const unixMs = 1_800_000_000_000

// A server that is listed as new has started when it was listed if this router's clock can't tell the time, and each later
// listing of the same incarnation gives the same time.
func TestStartByAWrongClock(t *testing.T) {
	const now = 2 * time.Hour
	for _, c := range []struct {
		name        string
		unixMs      int64
		claimed     time.Duration
		isFirstList bool
		want        time.Duration
	}{
		{"the clock is right", unixMs, now - 3*time.Second, false, now - 3*time.Second},
		{"the clock is an hour ahead", unixMs, now - time.Hour - 3*time.Second, false, now},
		{"the clock is an hour behind", unixMs, now + time.Hour - 3*time.Second, false, now},
		{"an hour behind, first list", unixMs, now + time.Hour - 3*time.Second, true, now},
		{"an old server of the first list", unixMs, now - time.Hour, true, now - time.Hour},
		{"listed after an outage of discovery", unixMs, now - 50*time.Second, false, now - 50*time.Second},
		{"long ago", 0, 0, false, 0},
	} {
		s := New()
		for i := range 3 {
			later := now + time.Duration(i)*time.Minute
			if got := s.Observe(1, c.unixMs, c.claimed, later, c.isFirstList); got != c.want {
				t.Errorf("%s, listing %d: started at %v, want %v", c.name, i, got, c.want)
			}
		}
		if got := s.Observe(1, c.unixMs+1, now+time.Minute, now+time.Minute, false); got != now+time.Minute {
			t.Errorf("%s: the next incarnation started at %v", c.name, got)
		}
	}
}

// A server that is removed and listed again with the same start is the same incarnation; removed servers take bounded memory.
func TestRemovedServers(t *testing.T) {
	s := New()
	s.Observe(1, unixMs, time.Second, time.Second, false)
	s.Remove(1)
	if got := s.Observe(1, unixMs, time.Second, time.Hour, false); got != time.Second {
		t.Errorf("listed again, it started at %v", got)
	}
	for i := range 3 * keepRemoved {
		id := logic.ServerID(i + 2)
		s.Observe(id, unixMs, time.Second, time.Second, false)
		s.Remove(id)
		s.Remove(id)
	}
	s.Observe(1<<40, unixMs, time.Second, time.Second, false)
	s.RemoveUnlisted([]logic.Server{{ID: 1}})
	if got := s.Observe(1, unixMs, time.Second, time.Hour, false); got != time.Second {
		t.Errorf("while it is listed it was forgotten: started at %v", got)
	}
	if n := len(s.servers); n > keepRemoved+1 {
		t.Errorf("%d servers are remembered", n)
	}
}
