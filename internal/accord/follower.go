package accord

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/decide/backoff"
	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/statemachine"
	"merlinarch/internal/metrics"
)

// Options configure a dispatcher's Follower.
type Options struct {
	Cluster            string
	Name               string
	Site               string
	Registrars         map[string]string // addresses by name
	Mode               lease.Mode
	Terms              lease.Terms
	Clock              Clock
	Seed               uint64
	KnownKinds         []string      // kinds of rules that are supported; nil stands for all that this program supports
	ClockStep          time.Duration // added to the wall clock, for tests
	SendServerEvidence bool          // each beat reports what servers answered

	RepeatWindows map[string]int64 // by class: how long receivers drop repeats of planned work; see statemachine.DispatchState
}

// wallClock returns the wall clock's time, shifted by ClockStep.
func (o Options) wallClock() time.Time { return time.Now().Add(o.ClockStep) }

// RulesSink receives new versions of the rules and changes of what the lease permits, for the gateway's decisions.
type RulesSink interface {
	// UpdateRules returns once the decisions work with this version and this permission. An error means that the
	// decisions have stopped for good.
	UpdateRules(ctx context.Context, v *ruleset.View, permission lease.Permission) error
}

// Fleet provides what the dispatcher knows of the servers. Beats carry it to the registrars, whose decisions depend on it.
type Fleet interface {
	// Servers returns the list of servers, and a digest that changes whenever the list does.
	Servers() (servers []cordon.Server, sum string)
	// TakeReports returns what servers answered recently.
	TakeReports() []cordon.Evidence
	// TakeSiteEvidence returns the recent results of attempts at each site.
	TakeSiteEvidence() []contact.Evidence
}

// Follower keeps a dispatcher's lease and its copy of the replicated configuration up to date. It is a client of the
// registrars, not a Raft follower. Except for Gate, its state belongs to the goroutine that calls Run.
type Follower struct {
	Gate   *Gate
	Sender DispatchSender // set before Run; nil: every claimed dispatch is reported as failed

	opts           Options
	sink           RulesSink
	fleet          Fleet
	counters       *metrics.Registry
	log            *zap.Logger
	client         *http.Client
	registrarNames []string // sorted
	token          string   // identifies this incarnation, so that a repeated enrolment gets the same number

	documents  chan ruleset.Document            // newer versions that watch has received
	finished   chan statemachine.Outcome        // of tasks that have ended
	tasks      map[uint64]*statemachine.Outcome // outcomes by fencing token; nil while the task runs
	inProgress map[uint64]taskInProgress        // by fencing token
	running    sync.WaitGroup
	drain      chan struct{} // closed by Drain
	drained    chan struct{} // closed once the registrars have the outcomes of all tasks
	draining   bool          // Drain was called; no task is started any more
	hasDrained bool          // drained is closed

	incarnation   uint64 // 0: not enrolled
	leaderIndex   int    // index into registrarNames of the registrar to ask next
	view          *ruleset.View
	permission    lease.Permission
	unknownKinds  []string
	sendServers   bool
	loggedProblem string // the last problem that was logged; empty: none, or it is over
}

// NewFollower returns a Follower that does nothing until Run is called.
func NewFollower(o Options, sink RulesSink, fleet Fleet, counters *metrics.Registry, log *zap.Logger) *Follower {
	if o.KnownKinds == nil {
		o.KnownKinds = ruleset.SupportedKinds
	}
	f := &Follower{Gate: NewGate(o.Mode, o.Clock, counters), opts: o, sink: sink, fleet: fleet, counters: counters, log: log,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2,
			IdleConnTimeout: 10 * o.Terms.Beat}},
		registrarNames: slices.Sorted(maps.Keys(o.Registrars)), token: rand.Text(), documents: make(chan ruleset.Document, 1),
		finished: make(chan statemachine.Outcome), tasks: map[uint64]*statemachine.Outcome{}, inProgress: map[uint64]taskInProgress{}, permission: lease.None,
		drain: make(chan struct{}), drained: make(chan struct{})}
	f.leaderIndex = int(o.Seed % uint64(len(f.registrarNames)))
	return f
}

// Run keeps the lease and the rules up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var watcher sync.WaitGroup
	defer f.client.CloseIdleConnections()
	defer watcher.Wait()
	defer f.running.Wait()
	// After a power failure all dispatchers start at once, and each enrolment costs the registrars a disk write. Each
	// dispatcher therefore delays its start by its own part of a beat.
	pacer := backoff.New(backoff.Policy{FirstPause: f.opts.Terms.Beat / 4, MaxPause: f.opts.Terms.Beat, Window: 0, Seed: f.opts.Seed}, false)
	startDelay := time.Duration(float64(f.opts.Seed%1024) / 1024 * float64(f.opts.Terms.Beat))
	if !sleep(ctx, startDelay) {
		return
	}
	watcher.Go(func() { f.watch(ctx) })
	for ctx.Err() == nil {
		applied, err := f.sendBeat(ctx)
		for applied && err == nil { // the registrars count a version as applied only once a beat has reported it
			f.updatePermission(ctx)
			applied, err = f.sendBeat(ctx)
		}
		pause := f.opts.Terms.Beat
		if err == nil {
			pacer.RecordSuccess()
			f.logProblem("")
		} else if ctx.Err() == nil {
			pause, _ = pacer.RecordFailure(0)
			f.counters.Inc("accord.beats_failed")
			f.logProblem(err.Error())
		}
		f.waitForNextBeat(ctx, f.continueDrain(pause))
	}
}

// waitForNextBeat waits until the next beat is due. It returns early when a document arrives, which it applies, a task
// finishes or a drain begins, so that the next beat reports it at once. When the lease ends, it passes the new permission on at once.
func (f *Follower) waitForNextBeat(ctx context.Context, pause time.Duration) {
	nextBeat := time.NewTimer(pause)
	defer nextBeat.Stop()
	for {
		f.updatePermission(ctx)
		leaseEnd := time.NewTimer(time.Hour)
		if remaining := f.Gate.LeaseRemaining(); remaining > 0 {
			leaseEnd.Reset(remaining + time.Millisecond)
		}
		select {
		case <-ctx.Done():
		case <-nextBeat.C:
		case e := <-f.finished:
			f.tasks[e.Fence] = &e
			delete(f.inProgress, e.Fence)
		case <-f.drainRequested():
			f.draining = true
		case d := <-f.documents:
			f.counters.Inc("accord.news")
			if f.applyDocument(ctx, d) == nil && f.incarnation != 0 {
				leaseEnd.Stop()
				return
			}
		case <-leaseEnd.C:
			continue
		}
		leaseEnd.Stop()
		return
	}
}

// logProblem logs a problem with the registrars once, and its end once; an empty text stands for no problem.
func (f *Follower) logProblem(text string) {
	if text == f.loggedProblem {
		return
	}
	if f.loggedProblem = text; text != "" {
		f.log.Warn("cannot renew the lease at the registrars", zap.String("why", text), zap.Duration("lease_left", f.Gate.LeaseRemaining()))
	} else {
		f.log.Info("registrars answer again")
	}
}

// updatePermission passes the current permission on to the decisions if it has changed.
func (f *Follower) updatePermission(ctx context.Context) {
	permission := f.Gate.Permission()
	if permission == f.permission {
		return
	}
	f.permission = permission
	f.counters.Inc([...]string{"accord.lease_begun", "accord.serving_stale", "accord.holding"}[permission])
	f.log.Info("permission to send changed", zap.String("now", [...]string{"full", "stale", "nothing"}[permission]), zap.Uint64("version", f.Gate.HeldVersion()))
	if f.view != nil {
		f.sink.UpdateRules(ctx, f.view, permission)
	}
}

var (
	errHashMismatch         = errors.New("the document does not match its hash")
	errConflictingHistories = errors.New("two different documents of one version: the registrars do not share one history")
	errUnknownKinds         = errors.New("the document holds kinds of rules that this program does not support")
)

// applyDocument checks a document and applies it if it is newer than the current one. The decisions get it before the
// gate, so that they stop choosing attempts that the gate would refuse.
func (f *Follower) applyDocument(ctx context.Context, d ruleset.Document) error {
	switch {
	case !d.HasValidHash():
		f.counters.Inc("accord.spoilt")
		return errHashMismatch
	case f.view != nil && d.Head.Version == f.view.Version() && d.Head.Hash != f.view.Document.Head.Hash:
		f.counters.Inc("accord.two_histories")
		return errConflictingHistories
	case f.view != nil && d.Head.Version <= f.view.Version():
		return nil
	}
	if f.unknownKinds = ruleset.UnsupportedKinds(d, f.opts.KnownKinds); len(f.unknownKinds) > 0 {
		f.counters.Inc("accord.not_understood")
		return fmt.Errorf("%w: %v", errUnknownKinds, f.unknownKinds)
	}
	view := ruleset.NewView(d)
	permission := f.Gate.Permission()
	if err := f.sink.UpdateRules(ctx, view, permission); err != nil {
		return err
	}
	f.permission = permission
	if err := f.Gate.Apply(ctx, view); err != nil {
		return err
	}
	f.stopTasks(func(_ uint64, t taskInProgress) bool { return !view.IsPlanned(t.dispatch) })
	f.view = view
	f.counters.Inc("accord.versions_taken")
	return nil
}

// sendBeat asks for a lease, after enrolling if there is no incarnation yet. It reports whether a version was applied
// that came with the response.
func (f *Follower) sendBeat(ctx context.Context) (applied bool, err error) {
	if f.incarnation == 0 {
		var e EnrolResponse
		if err := f.call(ctx, PathEnrol, EnrolRequest{Cluster: f.opts.Cluster, Name: f.opts.Name, Token: f.token, Mode: f.opts.Mode,
			KnownKinds: f.opts.KnownKinds, Site: f.opts.Site, Terms: f.opts.Terms}, &e); err != nil {
			return false, err
		}
		f.incarnation = e.Incarnation
	}
	beat := Beat{Cluster: f.opts.Cluster, Name: f.opts.Name, Incarnation: f.incarnation, HeldVersion: f.Gate.HeldVersion(), UnknownKinds: f.unknownKinds,
		RepeatWindows: f.opts.RepeatWindows, Draining: f.draining}
	servers, serversDigest := f.fleet.Servers()
	if beat.ServersDigest = serversDigest; f.sendServers {
		beat.Servers = servers
	}
	beat.UnixMs, beat.SiteEvidence = f.opts.wallClock().UnixMilli(), f.fleet.TakeSiteEvidence()
	if f.opts.SendServerEvidence {
		beat.ServerEvidence = f.fleet.TakeReports()
	}
	for _, fence := range slices.Sorted(maps.Keys(f.tasks)) {
		if e := f.tasks[fence]; e != nil {
			beat.Outcomes = append(beat.Outcomes, *e)
		}
	}
	// The lease starts here, before the request is sent: the registrars may agree on a newer version at any time until
	// the response is read, however long the network, the registrars or a pause of this process delay it.
	sentAt, beatAt := f.opts.Clock.Now(), time.Now()
	var granted BeatResponse
	if err := f.call(ctx, PathBeat, beat, &granted); err != nil {
		var problem *Problem
		if errors.As(err, &problem) && problem.Code == CodeStaleIncarnation {
			f.incarnation, f.token = 0, rand.Text()
			f.Gate.Revoke()
			f.counters.Inc("accord.lives_replaced")
		}
		return false, err
	}
	f.sendServers = granted.WantServers
	if granted.Document != nil {
		if err := f.applyDocument(ctx, *granted.Document); err != nil {
			return false, err
		}
	}
	if !f.Gate.Grant(sentAt, granted.Version, time.Duration(granted.LeaseNs)) {
		return false, fmt.Errorf("the lease is for version %d, but version %d is held", granted.Version, f.Gate.HeldVersion())
	}
	f.counters.Inc("accord.beats")
	f.startTasks(ctx, granted, beatAt)
	return granted.Document != nil, nil
}

// call sends a request to the registrar that is assumed to be the leader. If that one does not lead or does not answer as a
// leader should, call selects another registrar for the next request.
func (f *Follower) call(ctx context.Context, path string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, f.opts.Terms.Beat)
	defer stop()
	err := Call(ctx, f.client, f.opts.Registrars[f.registrarNames[f.leaderIndex]], path, in, out)
	var problem *Problem
	switch {
	case err == nil:
		if granted, ok := out.(*BeatResponse); ok && granted.Cluster != f.opts.Cluster {
			err = fmt.Errorf("%s answers for cluster %.40q", f.registrarNames[f.leaderIndex], granted.Cluster)
			f.selectNextRegistrar("")
		}
	case errors.As(err, &problem) && problem.Code == CodeNotLeader:
		f.selectNextRegistrar(problem.Leader)
	case errors.As(err, &problem) && problem.Code != CodeBusy && problem.Code != CodeWrongCluster:
	default:
		f.selectNextRegistrar("")
	}
	return err
}

// selectNextRegistrar selects the registrar to ask next: the named leader if it is among the configured registrars and
// not the current one, otherwise the next in order.
func (f *Follower) selectNextRegistrar(leader string) {
	if i := slices.Index(f.registrarNames, leader); i >= 0 && i != f.leaderIndex {
		f.leaderIndex = i
		return
	}
	f.leaderIndex = (f.leaderIndex + 1) % len(f.registrarNames)
}

// watch waits for newer documents with long-polling requests. Any registrar can answer them, so it moves on to the next
// one after an error.
func (f *Follower) watch(ctx context.Context) {
	pacer := backoff.New(backoff.Policy{FirstPause: f.opts.Terms.Beat / 4, MaxPause: 2 * f.opts.Terms.Beat, Seed: f.opts.Seed + 1}, false)
	index, after := int(f.opts.Seed>>8%uint64(len(f.registrarNames))), uint64(0)
	for ctx.Err() == nil {
		query := url.Values{"cluster": {f.opts.Cluster}, "after": {strconv.FormatUint(after, 10)}}
		var response WatchResponse
		watchCtx, stop := context.WithTimeout(ctx, WatchTimeout+2*f.opts.Terms.Beat)
		err := Call(watchCtx, f.client, f.opts.Registrars[f.registrarNames[index]], PathWatch+"?"+query.Encode(), nil, &response)
		stop()
		if err == nil && response.Cluster != f.opts.Cluster {
			err = errConflictingHistories
		}
		if err != nil {
			index = (index + 1) % len(f.registrarNames)
			pause, _ := pacer.RecordFailure(0)
			sleep(ctx, pause)
			continue
		}
		pacer.RecordSuccess()
		if response.Document == nil || response.Document.Head.Version <= after {
			continue
		}
		after = response.Document.Head.Version
		select {
		case f.documents <- *response.Document:
		case <-ctx.Done():
		}
	}
}

// WatchTimeout is how long a registrar holds a watch open while there is no newer version.
const WatchTimeout = 10 * time.Second

// sleep waits for d or until ctx ends, and reports whether it waited in full.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
