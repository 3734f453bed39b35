// Package registrar implements a registrar: a member of the Raft group, of three or five machines, that replicates the
// configuration ("accord"). It joins the etcd Raft library with the state machine in internal/decide/statemachine, a
// store on the local disk, and an HTTP server for dispatchers (the gateways, which hold read leases on the
// configuration), operators and other registrars.
//
// The parts run as goroutines that own their state and exchange messages: the node owns the Raft node, the replicated
// state and, on the leader, what dispatchers have reported; the store owns the disk; each peer owns the connection to
// one other registrar; the planner plans dispatches on copies of the state; each HTTP request runs in a goroutine of net/http, which sends its request to the node and waits
// for the answer.
package registrar

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/schedule"
	"merlinarch/internal/decide/statemachine"
)

// Options are the settings of a registrar.
type Options struct {
	Cluster    string
	Name       string
	Listen     string            // address to listen on; empty: the address of Name in Registrars
	Registrars map[string]string // addresses of all registrars by name, as reached from this one
	Dir        string            // folder of the store
	Terms      lease.Terms
	Budget     cordon.Budget
	AutoCordon cordon.AutoPolicy
	ColdTime   time.Duration // how long a server counts as cold after its cordon was lifted
	Schedule   schedule.Settings
	Clock      accord.Clock
	WallClock  func() time.Time // wall clock, for the times in the replicated state; nil: time.Now
}

// storePath returns the path of the store's file.
func (o Options) storePath() string { return filepath.Join(o.Dir, o.Name+".record") }

// initialID computes the ID of a registrar of a new cluster. It is derived from the name, because all registrars of a
// new cluster have to know each other's IDs before any of them communicates.
func initialID(cluster, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(cluster + "\x00" + name))
	return h.Sum64() | 1
}

// Init creates the store of one of the registrars of a new cluster. It may be done only once: a store that is lost is
// replaced with Join.
func Init(o Options) error {
	state := statemachine.New(o.Budget, o.ColdTime.Milliseconds())
	confState := &pb.ConfState{}
	for name, addr := range o.Registrars {
		state.ReplaceRegistrar(name, statemachine.Registrar{ID: initialID(o.Cluster, name), Addr: addr})
		confState.Voters = append(confState.Voters, initialID(o.Cluster, name))
	}
	data, err := json.Marshal(state)
	if err != nil {
		return err
	}
	return createStore(o.storePath(), Identity{Cluster: o.Cluster, Name: o.Name, ID: initialID(o.Cluster, o.Name)}, &pb.Snapshot{Data: data,
		Metadata: &pb.SnapshotMetadata{ConfState: confState, Index: proto.Uint64(1), Term: proto.Uint64(1)}})
}

// Join adds a registrar to the cluster, or replaces the registrar of the same name whose store is lost. It creates the
// store after the other registrars have committed the membership change.
func Join(ctx context.Context, o Options) error {
	var randomID [8]byte
	rand.Read(randomID[:])
	id := binary.BigEndian.Uint64(randomID[:]) | 1
	change := MembershipChange{Cluster: o.Cluster, Name: o.Name, Addr: o.Registrars[o.Name], ID: id}
	others := map[string]string{}
	for name, addr := range o.Registrars {
		if name != o.Name {
			others[name] = addr
		}
	}
	if err := accord.NewClient(others).Do(ctx, accord.PathMembers, change, nil); err != nil {
		return err
	}
	return createStore(o.storePath(), Identity{Cluster: o.Cluster, Name: o.Name, ID: id}, nil)
}

// Errors that end Run.
var (
	ErrStaleStore    = errors.New("the store is an old copy: other registrars have seen later promises from this one; replace this registrar")
	errNotConfigured = errors.New("the settings have no registrar of this name")
	errOtherStore    = errors.New("the store belongs to another cluster or to another registrar")
)

// Run runs a registrar until ctx ends, or until an error keeps it from going on. Of these, ErrStaleStore, ErrRemoved,
// ErrNoStore and ErrCorrupt mean that it has to be replaced.
func Run(ctx context.Context, o Options, log *zap.Logger) (err error) {
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	o.WallClock = withoutSteps(o.WallClock)
	if o.Listen == "" {
		if o.Listen = o.Registrars[o.Name]; o.Listen == "" {
			return fmt.Errorf("%s: %w", o.Name, errNotConfigured)
		}
	}
	store, err := openStore(o.storePath())
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.close()) }()
	if store.id.Cluster != o.Cluster || store.id.Name != o.Name {
		return fmt.Errorf("%s: %w", o.storePath(), errOtherStore)
	}
	var listener net.Listener
	if listener, err = net.Listen("tcp", o.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	counters := metrics.NewSet()
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	nodeInbox, storeInbox := newMailbox[any](), newMailbox[storeRequest]()
	peers := newPeers(runCtx, o, store.id, nodeInbox, counters)
	f := &frontend{opts: o, id: store.id, store: store, nodeInbox: nodeInbox, storeInbox: storeInbox, counters: counters, log: log, stopped: make(chan struct{})}
	if f.watermarks, err = store.watermarks(); err != nil {
		listener.Close()
		return err
	}
	server := &http.Server{Handler: f.routes(), ReadTimeout: 10 * o.Terms.Length, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { server.Serve(listener) })
	defer func() {
		close(f.stopped)
		c, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if server.Shutdown(c) != nil {
			server.Close()
		}
	}()
	storeDone := make(chan struct{})
	defer peers.tasks.Wait()
	defer stop()
	tasks.Go(func() {
		runStore(store, storeInbox, storeDone, func(m []*pb.Message) { nodeInbox.put(storeResponses{m}) }, func(err error) { nodeInbox.put(failure{err}) })
	})
	defer close(storeDone)
	log.Info("registrar started", zap.String("name", o.Name), zap.String("listen", listener.Addr().String()), zap.Uint64("start", store.id.Boots))
	// With an old copy of its store, this registrar could vote or acknowledge again, differently, in terms in which it
	// has already done so.
	if err := verifyWithPeers(ctx, o, store, peers, log); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	n, err := newNode(o, store, peers, nodeInbox, storeInbox, counters, log)
	if err != nil {
		return err
	}
	f.running.Store(n)
	tasks.Go(func() { runTicker(runCtx, o.Terms, nodeInbox) })
	tasks.Go(func() { runPlanner(runCtx, n.planRequests, nodeInbox) })
	tasks.Go(func() { backfillHistory(runCtx, o, store, f, peers, storeInbox, log) })
	done := make(chan struct{})
	go func() {
		<-ctx.Done()
		nodeInbox.put(leadershipTransfer{}) // spares the others an election timeout
		select {
		case <-time.After(2 * electionTicks * tickEvery(o.Terms)):
		case <-runCtx.Done():
		}
		close(done)
	}()
	defer stop()
	err = n.run(done)
	log.Info("registrar stopped", zap.Error(err))
	return err
}

// runTicker sends the ticks of the Raft library's clock. Ticks that are missed while the process is paused are not made
// up for.
func runTicker(ctx context.Context, t lease.Terms, inbox *mailbox[any]) {
	every := time.NewTicker(tickEvery(t))
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			inbox.put(tick{})
		}
	}
}

// Hello is what a registrar sends the others before it takes part, so that they can recognize an old copy of its store.
type Hello struct {
	Cluster    string `json:"cluster"`
	Name       string `json:"name"`
	ID         uint64 `json:"id"`
	Boots      uint64 `json:"boots"`
	StartToken string `json:"start"` // random, new at each start
	LastIndex  uint64 `json:"last"`  // index of the last log entry in its store
	Term       uint64 `json:"term"`
}

// verifyWithPeers asks the other registrars whether they have seen promises from this one that its store doesn't have.
// It waits for all of them for the length of a lease, and after that for as many as make a majority together with this
// one.
func verifyWithPeers(ctx context.Context, o Options, store *store, peers *peers, log *zap.Logger) error {
	snapshot, err := store.memory.Snapshot()
	if err != nil {
		return err
	}
	hardState, _, err := store.memory.InitialState()
	if err != nil {
		return err
	}
	last, _ := store.memory.LastIndex()
	hello := Hello{Cluster: o.Cluster, Name: o.Name, ID: store.id.ID, Boots: store.id.Boots, StartToken: rand.Text(), LastIndex: last, Term: hardState.GetTerm()}
	state := statemachine.New(o.Budget, o.ColdTime.Milliseconds())
	if snapshot.Metadata.GetIndex() > 0 {
		if state, err = decodeState(snapshot); err != nil {
			return err
		}
	}
	waiting := map[string]string{}
	for name, r := range state.Registrars {
		if r.ID != store.id.ID {
			waiting[name] = peers.address(name, r.Addr)
		}
	}
	needed, answered := len(state.Registrars)/2, 0
	began, warned := time.Now(), false
	for len(waiting) > 0 && (answered < needed || time.Since(began) < o.Terms.Length) {
		for name, addr := range waiting {
			err := peers.post(ctx, addr, pathHello, hello, nil, o.Terms.Length/3)
			var problem *accord.Problem
			switch {
			case ctx.Err() != nil:
				return ctx.Err()
			case err == nil:
				answered++
				delete(waiting, name)
			case errors.As(err, &problem) && problem.Code == codeStaleStore:
				return fmt.Errorf("%w (%s: %s)", ErrStaleStore, name, problem.Text)
			case errors.As(err, &problem) && problem.Code == accord.CodeNotFound:
				return ErrRemoved
			}
		}
		if len(waiting) == 0 {
			break
		}
		if !warned && time.Since(began) > o.Terms.Length {
			warned = true
			log.Warn("waiting for other registrars before taking part", zap.Int("heard", answered), zap.Int("needed", needed))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(o.Terms.Length / 20):
		}
	}
	return nil
}

// codeStaleStore is the code of the refusal of an old copy of a store.
const codeStaleStore = "lost"

// raftLogger passes the Raft library's log on, with warnings and infos at debug level, because the library logs most of the
// messages that it handles.
type raftLogger struct{ *zap.SugaredLogger }

func (q raftLogger) Warning(v ...any)            { q.Debug(v...) }
func (q raftLogger) Warningf(f string, v ...any) { q.Debugf(f, v...) }
func (q raftLogger) Info(v ...any)               { q.Debug(v...) }
func (q raftLogger) Infof(f string, v ...any)    { q.Debugf(f, v...) }
