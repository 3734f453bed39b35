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

// Options are a dispatcher's.
type Options struct {
	Cluster            string
	Name               string
	Site               string
	Registrars         map[string]string // addresses by name
	Mode               lease.Mode
	Terms              lease.Terms
	Clock              Clock
	Seed               uint64
	KnownKinds         []string      // kinds of rules; nil: all that this program has
	ClockStep          time.Duration // of the wall clock, for tests
	SendServerEvidence bool          // what servers answer is told with each beat
}

func (o Options) unix() time.Time { return time.Now().Add(o.ClockStep) }

// Sink is where the decisions hear of the rules.
type RulesSink interface {
	// Ruled returns once the decisions know of a version, or of another conduct; an error tells that they have ended.
	UpdateRules(ctx context.Context, v *ruleset.View, c lease.Permission) error
}

// Fleet is what the dispatcher knows of the servers, for the registrars to judge by.
type Fleet interface {
	// Listed is the list with a sum over it that changes when it does.
	Servers() (servers []cordon.Server, sum string)
	// Reports is what servers have answered of late.
	TakeReports() []cordon.Evidence
	// Met is what came of attempts at each site of late.
	TakeSiteEvidence() []contact.Evidence
}

// Printer carries out planned work, through the same decisions as any request. It tells whether the receiver has it for
// certain; ctx ends with the dispatcher.
type DispatchSender interface {
	Send(ctx context.Context, t statemachine.Task) (done bool)
}

// Follower is the task that owns a dispatcher's view of the record.
type Follower struct {
	Gate   *Gate
	Sender DispatchSender // nil: claims are told back as failed; to be set before Run

	opts   Options
	sink   RulesSink
	fleet  Fleet
	count  *metrics.Registry
	log    *zap.Logger
	client *http.Client
	names  []string // of registrars, in order
	token  string   // of this life

	news  chan ruleset.Document
	ended chan statemachine.Outcome
	tasks map[uint64]*statemachine.Outcome // by fence: what became of each; nil while it runs
	work  sync.WaitGroup

	life     uint64
	leader   int // index into names: whom to ask next
	view     *ruleset.View
	conduct  lease.Permission
	unknown  []string
	wantList bool
	spoken   string // the last trouble that was logged
}

// NewFollower makes a follower; Run starts it.
func NewFollower(o Options, sink RulesSink, fleet Fleet, count *metrics.Registry, log *zap.Logger) *Follower {
	if o.KnownKinds == nil {
		o.KnownKinds = ruleset.SupportedKinds
	}
	f := &Follower{Gate: NewGate(o.Mode, o.Clock, count), opts: o, sink: sink, fleet: fleet, count: count, log: log,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2,
			IdleConnTimeout: 10 * o.Terms.Beat}},
		names: slices.Sorted(maps.Keys(o.Registrars)), token: rand.Text(), news: make(chan ruleset.Document, 1), ended: make(chan statemachine.Outcome), tasks: map[uint64]*statemachine.Outcome{}, conduct: lease.None}
	f.leader = int(o.Seed % uint64(len(f.names)))
	return f
}

// Run keeps the lease until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var work sync.WaitGroup
	defer f.client.CloseIdleConnections()
	defer work.Wait()
	defer f.work.Wait()
	// Danger: all dispatchers start in one moment after a loss of power, and each asks for a life, which costs the
	// registrars a write to their disks. Each has a place of its own within a beat.
	p := backoff.New(backoff.Policy{FirstPause: f.opts.Terms.Beat / 4, MaxPause: f.opts.Terms.Beat, Window: 0, Seed: f.opts.Seed}, false)
	place := time.Duration(float64(f.opts.Seed%1024) / 1024 * float64(f.opts.Terms.Beat))
	if !sleep(ctx, place) {
		return
	}
	work.Go(func() { f.watch(ctx) })
	for ctx.Err() == nil {
		took, err := f.beat(ctx)
		for took && err == nil { // what was taken in counts for others once it is told
			f.behave(ctx)
			took, err = f.beat(ctx)
		}
		pause := f.opts.Terms.Beat
		if err == nil {
			p.RecordSuccess()
			f.trouble("")
		} else if ctx.Err() == nil {
			pause, _ = p.RecordFailure()
			f.count.Inc("accord.beats_failed")
			f.trouble(err.Error())
		}
		f.rest(ctx, pause)
	}
}

// rest waits until the next beat is due. News is taken in as it comes, and told at once; so is the end of the lease.
func (f *Follower) rest(ctx context.Context, pause time.Duration) {
	next := time.NewTimer(pause)
	defer next.Stop()
	for {
		f.behave(ctx)
		lapse := time.NewTimer(time.Hour)
		if left := f.Gate.LeaseRemaining(); left > 0 {
			lapse.Reset(left + time.Millisecond)
		}
		select {
		case <-ctx.Done():
		case <-next.C:
		case e := <-f.ended:
			f.tasks[e.Fence] = &e
		case d := <-f.news:
			f.count.Inc("accord.news")
			if f.take(ctx, d) == nil && f.life != 0 {
				lapse.Stop()
				return
			}
		case <-lapse.C:
			continue
		}
		lapse.Stop()
		return
	}
}

// trouble logs what is wrong once, and that it is over.
func (f *Follower) trouble(text string) {
	if text == f.spoken {
		return
	}
	if f.spoken = text; text != "" {
		f.log.Warn("no word from the registrars", zap.String("why", text), zap.Duration("lease_left", f.Gate.LeaseRemaining()))
	} else {
		f.log.Info("registrars answer")
	}
}

// behave tells the decisions when what may be done has changed.
func (f *Follower) behave(ctx context.Context) {
	c := f.Gate.Permission()
	if c == f.conduct {
		return
	}
	f.conduct = c
	f.count.Inc([...]string{"accord.lease_begun", "accord.serving_stale", "accord.holding"}[c])
	f.log.Info("conduct", zap.String("now", [...]string{"full", "stale", "nothing"}[c]), zap.Uint64("version", f.Gate.HeldVersion()))
	if f.view != nil {
		f.sink.UpdateRules(ctx, f.view, c)
	}
}

var (
	errSpoiltRules  = errors.New("a document that is not what its hash says")
	errTwoHistories = errors.New("two documents of one version: these registrars are not of one record")
	errUnknownRules = errors.New("rules of kinds that this program does not understand")
)

// take takes a version in: first the decisions hear of it, so that they stop choosing what the gate will turn down, then
// the gate keeps it.
func (f *Follower) take(ctx context.Context, d ruleset.Document) error {
	switch {
	case !d.HasValidHash():
		f.count.Inc("accord.spoilt")
		return errSpoiltRules
	case f.view != nil && d.Head.Version == f.view.Version() && d.Head.Hash != f.view.Document.Head.Hash:
		f.count.Inc("accord.two_histories")
		return errTwoHistories
	case f.view != nil && d.Head.Version <= f.view.Version():
		return nil
	}
	if f.unknown = ruleset.UnsupportedKinds(d, f.opts.KnownKinds); len(f.unknown) > 0 {
		f.count.Inc("accord.not_understood")
		return fmt.Errorf("%w: %v", errUnknownRules, f.unknown)
	}
	v := ruleset.NewView(d)
	c := f.Gate.Permission()
	if err := f.sink.UpdateRules(ctx, v, c); err != nil {
		return err
	}
	f.conduct = c
	if err := f.Gate.Apply(ctx, v); err != nil {
		return err
	}
	f.view = v
	f.count.Inc("accord.versions_taken")
	return nil
}

// beat asks for a lease, and for a life before that. It tells whether a version was taken in with it.
func (f *Follower) beat(ctx context.Context) (took bool, err error) {
	if f.life == 0 {
		var e EnrolResponse
		if err := f.call(ctx, PathEnrol, EnrolRequest{Cluster: f.opts.Cluster, Name: f.opts.Name, Token: f.token, Mode: f.opts.Mode,
			KnownKinds: f.opts.KnownKinds, Site: f.opts.Site, Terms: f.opts.Terms}, &e); err != nil {
			return false, err
		}
		f.life = e.Incarnation
	}
	b := Beat{Cluster: f.opts.Cluster, Name: f.opts.Name, Incarnation: f.life, HeldVersion: f.Gate.HeldVersion(), UnknownKinds: f.unknown}
	servers, sum := f.fleet.Servers()
	if b.ServersDigest = sum; f.wantList {
		b.Servers = servers
	}
	b.UnixMs, b.SiteEvidence = f.opts.unix().UnixMilli(), f.fleet.TakeSiteEvidence()
	if f.opts.SendServerEvidence {
		b.ServerEvidence = f.fleet.TakeReports()
	}
	for _, fence := range slices.Sorted(maps.Keys(f.tasks)) {
		if e := f.tasks[fence]; e != nil {
			b.Outcomes = append(b.Outcomes, *e)
		}
	}
	// Danger: a lease runs from here. What the network, the registrars or a stop of this process take until the answer
	// is read is time in which others may have agreed on something newer.
	asked := f.opts.Clock.Now()
	var g BeatResponse
	if err := f.call(ctx, PathBeat, b, &g); err != nil {
		var p *Problem
		if errors.As(err, &p) && p.Code == CodeStaleIncarnation {
			f.life, f.token = 0, rand.Text()
			f.Gate.Revoke()
			f.count.Inc("accord.lives_replaced")
		}
		return false, err
	}
	f.wantList = g.WantServers
	if g.Document != nil {
		if err := f.take(ctx, *g.Document); err != nil {
			return false, err
		}
	}
	if !f.Gate.Grant(asked, g.Version, time.Duration(g.LeaseNs)) {
		return false, fmt.Errorf("a lease on version %d, while version %d is held", g.Version, f.Gate.HeldVersion())
	}
	f.count.Inc("accord.beats")
	f.carryOut(ctx, g.Tasks)
	return g.Document != nil, nil
}

// carryOut begins the claims that are new, and forgets those that the record has taken back or knows to have ended.
func (f *Follower) carryOut(ctx context.Context, tasks []statemachine.Task) {
	listed := map[uint64]bool{}
	for _, t := range tasks {
		listed[t.Fence] = true
		if _, known := f.tasks[t.Fence]; known {
			continue
		}
		f.tasks[t.Fence] = nil
		f.count.Inc("accord.tasks")
		f.work.Go(func() {
			done := f.Sender != nil && f.Sender.Send(ctx, t)
			select {
			case f.ended <- statemachine.Outcome{Dispatch: t.Dispatch, Fence: t.Fence, Done: done}:
			case <-ctx.Done():
			}
		})
	}
	maps.DeleteFunc(f.tasks, func(fence uint64, e *statemachine.Outcome) bool { return e != nil && !listed[fence] })
}

// call asks whom it takes for the leader, and learns who is.
func (f *Follower) call(ctx context.Context, path string, in, out any) error {
	ctx, stop := context.WithTimeout(ctx, f.opts.Terms.Beat)
	defer stop()
	err := Call(ctx, f.client, f.opts.Registrars[f.names[f.leader]], path, in, out)
	var p *Problem
	switch {
	case err == nil:
		if g, ok := out.(*BeatResponse); ok && g.Cluster != f.opts.Cluster {
			err = fmt.Errorf("%s answers for cluster %.40q", f.names[f.leader], g.Cluster)
			f.next("")
		}
	case errors.As(err, &p) && p.Code == CodeNotLeader:
		f.next(p.Leader)
	case errors.As(err, &p) && p.Code != CodeBusy && p.Code != CodeWrongCluster:
	default:
		f.next("")
	}
	return err
}

// next turns to another registrar: to the one of a name where that is among those that the settings have.
func (f *Follower) next(leader string) {
	if i := slices.Index(f.names, leader); i >= 0 && i != f.leader {
		f.leader = i
		return
	}
	f.leader = (f.leader + 1) % len(f.names)
}

// watch holds a question for news open at one registrar after another; any of them will do.
func (f *Follower) watch(ctx context.Context) {
	p := backoff.New(backoff.Policy{FirstPause: f.opts.Terms.Beat / 4, MaxPause: 2 * f.opts.Terms.Beat, Seed: f.opts.Seed + 1}, false)
	at, after := int(f.opts.Seed>>8%uint64(len(f.names))), uint64(0)
	for ctx.Err() == nil {
		query := url.Values{"cluster": {f.opts.Cluster}, "after": {strconv.FormatUint(after, 10)}}
		var n WatchResponse
		waiting, stop := context.WithTimeout(ctx, WatchTimeout+2*f.opts.Terms.Beat)
		err := Call(waiting, f.client, f.opts.Registrars[f.names[at]], PathWatch+"?"+query.Encode(), nil, &n)
		stop()
		if err == nil && n.Cluster != f.opts.Cluster {
			err = errTwoHistories
		}
		if err != nil {
			at = (at + 1) % len(f.names)
			pause, _ := p.RecordFailure()
			sleep(ctx, pause)
			continue
		}
		p.RecordSuccess()
		if n.Document == nil || n.Document.Head.Version <= after {
			continue
		}
		after = n.Document.Head.Version
		select {
		case f.news <- *n.Document:
		case <-ctx.Done():
		}
	}
}

// WatchFor is how long a registrar holds a watch open while there is no news.
const WatchTimeout = 10 * time.Second

// sleep waits, and tells whether ctx still stands.
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
