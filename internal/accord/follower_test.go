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

// A dispatcher that drains starts no task that it is given, but gives it back as one that has not run, and has drained once the
// registrars list none. It guards against planned work that counts as one that may have run because its owner was restarted.
func TestDrainGivesTasksBack(t *testing.T) {
	f := &Follower{Sender: recordingSender{make(chan time.Time, 1)}, counters: metrics.New(), tasks: map[uint64]*statemachine.Outcome{},
		finished: make(chan statemachine.Outcome, 1), drain: make(chan struct{}), drained: make(chan struct{})}
	drained := f.Drain()
	<-f.drainRequested()
	f.draining = true
	now := time.Now()
	f.startTasks(t.Context(), BeatResponse{UnixMs: now.UnixMilli(), Tasks: []statemachine.Task{{Dispatch: "sheet", Fence: 7}}}, now)
	if pause := f.continueDrain(time.Second); pause >= time.Second || f.tasks[7] == nil || !f.tasks[7].NotRun {
		t.Errorf("pause %v, outcome %+v", pause, f.tasks[7])
	}
	f.startTasks(t.Context(), BeatResponse{UnixMs: now.UnixMilli()}, now)
	f.continueDrain(time.Second)
	f.continueDrain(time.Second)
	select {
	case <-drained:
	default:
		t.Error("not drained without a task")
	}
}
