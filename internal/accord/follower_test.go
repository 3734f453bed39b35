package accord

import (
	"context"
	"testing"
	"time"

	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/statemachine"
	"merlinarch/internal/metrics"
	"merlinarch/internal/testwait"
)

// recordingSender records the time by which each task has to be sent.
type recordingSender struct{ sendBy chan time.Time }

func (s recordingSender) Send(_ context.Context, _ statemachine.Task, sendBy time.Time) TryResult {
	s.sendBy <- sendBy
	return TryNotRun
}

// The window in which work may be sent again ends in time although the registrars' clock and this machine's differ by an
// hour. It guards against a second run of planned work after a step of a wall clock.
func TestTasksEndInTimeByAWrongClock(t *testing.T) {
	const window, latest = 8 * time.Second, time.Minute
	for _, off := range []time.Duration{0, time.Hour, -time.Hour} {
		for _, repeated := range []bool{true, false} {
			sender := recordingSender{make(chan time.Time, 1)}
			f := &Follower{Sender: sender, counters: metrics.New(), tasks: map[uint64]*statemachine.Outcome{}, finished: make(chan statemachine.Outcome, 1)}
			beatAt := time.Now()
			unixMs := beatAt.Add(off).UnixMilli()
			task := statemachine.Task{Dispatch: "sheet", Fence: 7, Plan: ruleset.Dispatch{Latest: unixMs + latest.Milliseconds()}}
			want := latest
			if repeated {
				task.RepeatUntilMs, want = unixMs+window.Milliseconds(), window
			}
			f.startTasks(t.Context(), BeatResponse{UnixMs: unixMs, Tasks: []statemachine.Task{task}}, beatAt)
			if left := testwait.Value(t, "the task", sender.sendBy).Sub(beatAt); left != want {
				t.Errorf("clocks differ by %v, repeated %v: %v are left, want %v", off, repeated, left, want)
			}
			f.running.Wait()
		}
	}
}
