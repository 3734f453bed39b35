package accord

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/decide/lease"
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
			f := &Follower{Sender: sender, counters: metrics.New(), tasks: map[uint64]*statemachine.Outcome{}, inProgress: map[uint64]taskInProgress{},
				finished: make(chan statemachine.Outcome, 1)}
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
	f := &Follower{Sender: recordingSender{make(chan time.Time, 1)}, counters: metrics.New(), tasks: map[uint64]*statemachine.Outcome{}, inProgress: map[uint64]taskInProgress{},
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

// waitingSender sends nothing until the context of its task ends.
type waitingSender struct{}

func (waitingSender) Send(ctx context.Context, _ statemachine.Task, _ time.Time) TryResult {
	<-ctx.Done()
	return TryUnknown
}

// A task in progress stops once its claim is listed no more, or its work is no longer planned. It guards against an attempt of
// withdrawn work that a dial has held, and that would be sent when other work is planned under its name.
func TestTaskOfWithdrawnWorkStops(t *testing.T) {
	for name, end := range map[string]func(f *Follower, now time.Time){
		"no longer listed":  func(f *Follower, now time.Time) { f.startTasks(t.Context(), BeatResponse{UnixMs: 1}, now) },
		"no longer planned": func(f *Follower, _ time.Time) { f.applyDocument(t.Context(), emptyDocument(2)) },
	} {
		f := NewFollower(Options{Registrars: map[string]string{"r0": "127.0.0.1:1"}}, acceptingSink{}, nil, metrics.New(), zap.NewNop())
		f.Sender = waitingSender{}
		now := time.Now()
		f.startTasks(t.Context(), BeatResponse{UnixMs: 1, Tasks: []statemachine.Task{{Dispatch: "sheet", Fence: 7}, {Dispatch: "other", Fence: 8}}}, now)
		f.startTasks(t.Context(), BeatResponse{UnixMs: 1, Tasks: []statemachine.Task{{Dispatch: "sheet", Fence: 7}, {Dispatch: "other", Fence: 8}}}, now)
		select {
		case e := <-f.finished:
			t.Fatalf("%s: stopped while it is listed: %+v", name, e)
		case <-time.After(20 * time.Millisecond):
		}
		end(f, now)
		for range 2 {
			testwait.Value(t, name+": the end of a task", f.finished)
		}
		f.running.Wait()
	}
}

// acceptingSink accepts all rules.
type acceptingSink struct{}

func (acceptingSink) UpdateRules(context.Context, *ruleset.View, lease.Permission) error { return nil }

// emptyDocument returns a version of the rules that holds none.
func emptyDocument(version uint64) ruleset.Document {
	d := ruleset.Document{Head: ruleset.Head{Version: version}}
	d.Head.Hash = d.ComputeHash()
	return d
}
