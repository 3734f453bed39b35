package accord

import (
	"context"
	"maps"
	"time"

	"merlinarch/internal/decide/statemachine"
)

// TryResult is what is known of a try of planned work.
type TryResult int

// Results of a try.
const (
	TryUnknown TryResult = iota // the receiver may have run it
	TryDone                     // the receiver has it
	TryNotRun                   // the receiver certainly has not run it
)

// String returns the name of a result.
func (r TryResult) String() string {
	return [...]string{"unknown", "done", "not run"}[r]
}

// DispatchSender sends a dispatch, a piece of planned work, through the same decisions as any request, and not later than
// sendBy; ctx ends with the dispatcher, or with the claim.
type DispatchSender interface {
	Send(ctx context.Context, t statemachine.Task, sendBy time.Time) TryResult
}

// startTasks starts the tasks of a response that are new; a dispatcher that drains gives them back. It stops or forgets those
// that are no longer listed: the registrars have withdrawn them or have recorded their outcomes. The registrars' times are
// counted from when the beat was sent, not compared with this machine's wall clock, which may be stepped.
func (f *Follower) startTasks(ctx context.Context, granted BeatResponse, beatAt time.Time) {
	unixMs := granted.UnixMs
	if unixMs == 0 { // the registrar is of an earlier version
		unixMs = beatAt.UnixMilli()
	}
	listed := map[uint64]bool{}
	for _, t := range granted.Tasks {
		listed[t.Fence] = true
		if _, started := f.tasks[t.Fence]; started {
			continue
		}
		if f.draining {
			f.tasks[t.Fence] = &statemachine.Outcome{Dispatch: t.Dispatch, Fence: t.Fence, NotRun: true}
			continue
		}
		f.tasks[t.Fence] = nil
		f.counters.Inc("accord.tasks")
		sendBy := beatAt.Add(t.TimeLeft(unixMs))
		taskCtx, stop := context.WithCancel(ctx)
		f.inProgress[t.Fence] = taskInProgress{t.Dispatch, stop}
		f.running.Go(func() {
			defer stop()
			result := TryNotRun
			if f.Sender != nil {
				result = f.Sender.Send(taskCtx, t, sendBy)
			}
			select {
			case f.finished <- statemachine.Outcome{Dispatch: t.Dispatch, Fence: t.Fence, Done: result == TryDone, NotRun: result == TryNotRun}:
			case <-ctx.Done():
			}
		})
	}
	maps.DeleteFunc(f.tasks, func(fence uint64, e *statemachine.Outcome) bool { return e != nil && !listed[fence] })
	f.stopTasks(func(fence uint64, _ taskInProgress) bool { return !listed[fence] })
}

// taskInProgress is a task that has been started and has not ended.
type taskInProgress struct {
	dispatch string
	stop     context.CancelFunc
}

// stopTasks stops the tasks in progress that match: their work was withdrawn or belongs to another claim by now. An attempt
// that is held by a dial is then no longer sent, also if other work is planned under the same name meanwhile.
func (f *Follower) stopTasks(match func(fence uint64, t taskInProgress) bool) {
	for fence, t := range f.inProgress {
		if match(fence, t) {
			t.stop()
		}
	}
}

// Drain makes the dispatcher start no further task, and tells the registrars so. It may be called once. The channel that it
// returns is closed when all tasks have ended and the registrars have their outcomes: a claim whose owner ends without an
// outcome counts as one that may have run.
func (f *Follower) Drain() <-chan struct{} {
	close(f.drain)
	return f.drained
}

// drainRequested returns a channel that is closed once Drain was called, and nil after that was noticed.
func (f *Follower) drainRequested() <-chan struct{} {
	if f.draining {
		return nil
	}
	return f.drain
}

// continueDrain is called after each beat. It ends a drain once no task is left, and returns the pause before the next beat.
func (f *Follower) continueDrain(pause time.Duration) time.Duration {
	if !f.draining || f.hasDrained {
		return pause
	}
	if len(f.tasks) == 0 {
		f.hasDrained = true
		close(f.drained)
		return pause
	}
	return pause / 4
}
