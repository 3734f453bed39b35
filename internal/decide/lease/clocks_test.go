package lease

import (
	"testing"
	"time"
)

// The time is the one on which a majority of all members agrees, wherever the wrong clocks are and however few are known; else
// it is in doubt. It guards against a new leader that decides by one wrong clock.
func TestAgreedOffset(t *testing.T) {
	const wrong = time.Hour
	for _, c := range []struct {
		name    string
		offsets []time.Duration // the leader's own first
		members int
		want    time.Duration
		agreed  bool
	}{
		{"alone", []time.Duration{0}, 1, 0, true},
		{"nobody heard yet", []time.Duration{0}, 6, 0, false},
		{"too few heard", []time.Duration{0, 5, 5}, 6, 5, false},
		{"all right", []time.Duration{0, time.Second, time.Second, time.Second, 0}, 5, time.Second, true},
		{"the leader is wrong", []time.Duration{0, -wrong, -wrong, -wrong}, 5, -wrong, true},
		{"the leader is wrong, and one dispatcher heard", []time.Duration{0, -wrong}, 5, 0, false},
		{"another is ahead", []time.Duration{0, wrong, 0, 0}, 5, 0, true},
		{"two are behind", []time.Duration{0, -wrong, -wrong, 0, 0}, 5, 0, true},
		{"two against two", []time.Duration{0, 0, wrong, wrong}, 4, wrong, false},
	} {
		got, agreed := AgreedOffset(c.offsets, c.members)
		if agreed != c.agreed || agreed && got != c.want {
			t.Errorf("%s: %v, agreed %t", c.name, got, agreed)
		}
	}
}

// A message that was under way for long makes no clock look behind; a clock that was set counts after two periods.
func TestClockOffset(t *testing.T) {
	var o ClockOffset
	for i, c := range []struct{ at, measured, want time.Duration }{
		{0, -time.Millisecond, -time.Millisecond},
		{1 * time.Second, -3 * time.Second, -time.Millisecond},
		{11 * time.Second, -3 * time.Second, -time.Millisecond},
		{12 * time.Second, time.Second, time.Second},
		{22 * time.Second, -time.Hour, time.Second},
		{33 * time.Second, -time.Hour, -time.Hour},
	} {
		if o.Record(c.at, c.measured); o.Value() != c.want {
			t.Errorf("step %d: %v, want %v", i, o.Value(), c.want)
		}
	}
}
