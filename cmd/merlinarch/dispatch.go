package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/statemachine"
	"merlinarch/internal/exchange"
	"merlinarch/internal/gateway"
	"merlinarch/logic"
)

// dispatchSender carries out dispatches (planned work) as ordinary requests, through the exchange and the decision module.
type dispatchSender struct {
	gateway    *gateway.Gateway
	maxTimeout time.Duration
	log        *zap.Logger
}

// Send sends a dispatch with its idempotency key and the fencing token of this claim. It reports what is known of the try.
func (s dispatchSender) Send(ctx context.Context, t statemachine.Task, sendBy time.Time) accord.TryResult {
	deadline := time.Now().Add(min(s.maxTimeout, max(time.Second, 4*time.Duration(t.Plan.ExpectedDurationMs*float64(time.Millisecond)))))
	if sendBy.Before(deadline) {
		deadline = sendBy
	}
	separator := "?"
	if strings.Contains(t.Plan.Target, "?") {
		separator = "&"
	}
	ex := exchange.New(exchange.Message{Method: http.MethodPost, Target: t.Plan.Target + separator + "fence=" + strconv.FormatUint(t.Fence, 10),
		ID: fmt.Sprintf("%s-%d", t.Dispatch, t.Fence), DedupKey: dispatchKey(t), Body: []byte(t.Plan.Body)},
		exchange.Fields{Class: t.Plan.Class, RequiredZone: t.Plan.Site}, deadline)
	ex.DispatchID = t.Dispatch
	if s.gateway.Submit(ex) != nil {
		return accord.TryNotRun
	}
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case <-ex.Done():
	case <-timeout.C:
	case <-ctx.Done():
	}
	if ex.Finish(exchange.Answer{Status: exchange.TimedOut}) {
		s.gateway.Abandon(ex)
	}
	awaitSettled(ctx, ex)
	a := ex.Answer()
	defer a.Release()
	result := tryResult(ex, a)
	s.log.Info("try of planned work ended", zap.String("dispatch", t.Dispatch), zap.Uint64("fence", t.Fence), zap.Stringer("answer", a.Status),
		zap.Int("attempts", a.Attempts), zap.Bool("may_have_run", ex.MayHaveRun()), zap.Stringer("result", result))
	return result
}

// maxSettleTime is how long an ended try waits for its last attempt to end. Attempts are given up at the latest when the
// time of their request is over.
const maxSettleTime = time.Second

// awaitSettled waits until no attempt of an ended try is in progress, so that one which was given up before it was written
// doesn't count as one that may have run.
func awaitSettled(ctx context.Context, ex *exchange.Exchange) {
	timeout := time.NewTimer(maxSettleTime)
	defer timeout.Stop()
	select {
	case <-ex.Settled():
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// tryResult returns what is known of an ended try. A refusal doesn't tell that nothing has run: a request whose attempt may
// have run is refused as well while all its receivers drop a repeat, and a later claim comes when they don't any more.
func tryResult(ex *exchange.Exchange, a exchange.Answer) accord.TryResult {
	switch {
	case a.Status == exchange.Served:
		return accord.TryDone
	case !ex.MayHaveRun():
		return accord.TryNotRun
	default:
		return accord.TryUnknown
	}
}

// repeatWindows returns for each class how long its receivers drop repeats of planned work, in milliseconds. Planned work goes
// to the servers of one zone, so a class whose repeats are dropped by a smaller group has no window.
func repeatWindows(classes []logic.Class) map[string]int64 {
	windows := map[string]int64{}
	for _, c := range classes {
		switch {
		case c.Repeatability == logic.Safe:
			windows[c.Name] = statemachine.AnyTime
		case c.Repeatability == logic.Keyed && c.DedupScope != logic.ScopeCell:
			windows[c.Name] = c.DedupWindow.Milliseconds()
		}
	}
	return windows
}

// dispatchKey returns the idempotency key of a dispatch: all tries of the same work have the same one.
func dispatchKey(t statemachine.Task) string {
	if t.Generation == 0 {
		return "dispatch-" + t.Dispatch
	}
	return fmt.Sprintf("dispatch-%s-%d", t.Dispatch, t.Generation)
}
