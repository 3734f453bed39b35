// Package registrar keeps the agreed record on three or five machines: a raft node from a library round the decisions of
// internal/decide/statemachine, its disk, and the HTTP that dispatchers, operators and other registrars speak with it.
//
// Each part is a task that owns its state and its sockets, and talks with the others by messages: the node owns the
// library's state machine, the record and what the leader has heard; the store owns the disk; each peer its connection;
// each session, a goroutine of net/http, its question.
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

// Options are a registrar's.
type Options struct {
	Cluster    string
	Name       string
	Listen     string            // address; empty: the one that Registrars has for Name
	Registrars map[string]string // addresses by name, as this one reaches them
	Dir        string            // of its disk
	Terms      lease.Terms
	Budget     cordon.Budget
	AutoCordon cordon.AutoPolicy
	SlowStart  time.Duration // a server whose cordon was lifted is cold for so long
	Schedule   schedule.Settings
	Clock      accord.Clock
	WallClock  func() time.Time // wall clock, for what is written down; nil: the machine's
}

func (o Options) path() string { return filepath.Join(o.Dir, o.Name+".record") }

// firstID is the identity of a registrar that a cluster begins with: all of them have to know it before any speaks.
func firstID(cluster, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(cluster + "\x00" + name))
	return h.Sum64() | 1
}

// Init makes the disk of one of the registrars that a cluster begins with. It is done once: a disk that is lost is
// replaced by Join.
func Init(o Options) error {
	s := statemachine.New(o.Budget, o.SlowStart.Milliseconds())
	conf := &pb.ConfState{}
	for name, addr := range o.Registrars {
		s.ReplaceRegistrar(name, statemachine.Registrar{ID: firstID(o.Cluster, name), Addr: addr})
		conf.Voters = append(conf.Voters, firstID(o.Cluster, name))
	}
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return create(o.path(), Identity{Cluster: o.Cluster, Name: o.Name, ID: firstID(o.Cluster, o.Name)}, &pb.Snapshot{Data: text,
		Metadata: &pb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}})
}

// Join makes the disk of a registrar that comes in, or takes the place of one of its name whose disk is lost. The others
// have agreed to it by then.
func Join(ctx context.Context, o Options) error {
	var b [8]byte
	rand.Read(b[:])
	id := binary.BigEndian.Uint64(b[:]) | 1
	m := MembershipChange{Cluster: o.Cluster, Name: o.Name, Addr: o.Registrars[o.Name], ID: id}
	others := map[string]string{}
	for name, addr := range o.Registrars {
		if name != o.Name {
			others[name] = addr
		}
	}
	if err := accord.NewClient(others).Do(ctx, accord.PathMembers, m, nil); err != nil {
		return err
	}
	return create(o.path(), Identity{Cluster: o.Cluster, Name: o.Name, ID: id}, nil)
}

// Errors of running.
var (
	ErrStaleStore = errors.New("the others have seen promises that are not on this disk: it is an old copy; replace this registrar")
	errNoSuch     = errors.New("the settings name no registrar of this name")
	errCluster    = errors.New("the disk is another cluster's, or another registrar's")
)

// Run keeps the record until ctx ends, or until this registrar can't go on.
func Run(ctx context.Context, o Options, log *zap.Logger) (err error) {
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.Listen == "" {
		if o.Listen = o.Registrars[o.Name]; o.Listen == "" {
			return fmt.Errorf("%s: %w", o.Name, errNoSuch)
		}
	}
	s, err := openStore(o.path())
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	if s.id.Cluster != o.Cluster || s.id.Name != o.Name {
		return fmt.Errorf("%s: %w", o.path(), errCluster)
	}
	var l net.Listener
	if l, err = net.Listen("tcp", o.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	set := metrics.NewSet()
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	in, toDisk := newMailbox[any](), newMailbox[toStore]()
	out := newPeers(inner, o, s.id, in, set)
	f := &front{opts: o, id: s.id, store: s, node: in, disk: toDisk, set: set, log: log, ended: make(chan struct{})}
	if f.marks, err = s.marks(); err != nil {
		l.Close()
		return err
	}
	web := &http.Server{Handler: f.routes(), ReadTimeout: 10 * o.Terms.Length, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	var work sync.WaitGroup
	defer work.Wait()
	work.Go(func() { web.Serve(l) })
	defer func() {
		close(f.ended)
		c, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if web.Shutdown(c) != nil {
			web.Close()
		}
	}()
	diskDone := make(chan struct{})
	defer out.work.Wait()
	defer stop()
	work.Go(func() {
		runStore(s, toDisk, diskDone, func(m []*pb.Message) { in.put(stored{m}) }, func(err error) { in.put(failure{err}) })
	})
	defer close(diskDone)
	log.Info("registrar", zap.String("name", o.Name), zap.String("listen", l.Addr().String()), zap.Uint64("start", s.id.Boots))
	// Danger: with an old copy of its disk it would promise, in terms that are over, what it had promised otherwise.
	if err := greet(ctx, o, s, out, log); err != nil {
		if ctx.Err() != nil {
			return nil
		}
		return err
	}
	n, err := newNode(o, s, out, in, toDisk, set, log)
	if err != nil {
		return err
	}
	f.running.Store(n)
	work.Go(func() { ticks(inner, o.Terms, in) })
	work.Go(func() { fill(inner, o, s, f, out, toDisk, log) })
	done := make(chan struct{})
	go func() {
		<-ctx.Done()
		in.put(transfer{}) // the others need not wait until they miss this one
		select {
		case <-time.After(2 * electionTicks * tickEvery(o.Terms)):
		case <-inner.Done():
		}
		close(done)
	}()
	defer stop()
	err = n.run(done)
	log.Info("ends", zap.Error(err))
	return err
}

// ticks is the library's clock. What a stop of the process swallowed is not made up for.
func ticks(ctx context.Context, t lease.Terms, in *mailbox[any]) {
	every := time.NewTicker(tickEvery(t))
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-every.C:
			in.put(tick{})
		}
	}
}

// Hello is what a registrar tells the others before it takes part.
type Hello struct {
	Cluster    string `json:"cluster"`
	Name       string `json:"name"`
	ID         uint64 `json:"id"`
	Boots      uint64 `json:"boots"`
	StartToken string `json:"start"` // drawn at this start
	LastIndex  uint64 `json:"last"`  // entries up to here are on its disk
	Term       uint64 `json:"term"`
}

// greet asks the others whether they have seen promises that this disk does not have. All are waited for, for a lease's
// length; after that, enough of them that with this one they are a majority.
func greet(ctx context.Context, o Options, s *store, out *peers, log *zap.Logger) error {
	snap, err := s.mem.Snapshot()
	if err != nil {
		return err
	}
	hard, _, err := s.mem.InitialState()
	if err != nil {
		return err
	}
	last, _ := s.mem.LastIndex()
	h := Hello{Cluster: o.Cluster, Name: o.Name, ID: s.id.ID, Boots: s.id.Boots, StartToken: rand.Text(), LastIndex: last, Term: hard.GetTerm()}
	state := statemachine.New(o.Budget, o.SlowStart.Milliseconds())
	if snap.Metadata.GetIndex() > 0 {
		if state, err = decodeState(snap); err != nil {
			return err
		}
	}
	waiting := map[string]string{}
	for name, r := range state.Registrars {
		if r.ID != s.id.ID {
			waiting[name] = out.address(name, r.Addr)
		}
	}
	need, heard := len(state.Registrars)/2, 0
	began, said := time.Now(), false
	for len(waiting) > 0 && (heard < need || time.Since(began) < o.Terms.Length) {
		for name, addr := range waiting {
			err := out.post(ctx, addr, pathHello, h, nil, o.Terms.Length/3)
			var p *accord.Problem
			switch {
			case ctx.Err() != nil:
				return ctx.Err()
			case err == nil:
				heard++
				delete(waiting, name)
			case errors.As(err, &p) && p.Code == codeLost:
				return fmt.Errorf("%w (%s: %s)", ErrStaleStore, name, p.Text)
			case errors.As(err, &p) && p.Code == accord.CodeNotFound:
				return ErrRemoved
			}
		}
		if len(waiting) == 0 {
			break
		}
		if !said && time.Since(began) > o.Terms.Length {
			said = true
			log.Warn("waits for other registrars before it takes part", zap.Int("heard", heard), zap.Int("needed", need))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(o.Terms.Length / 20):
		}
	}
	return nil
}

const codeLost = "lost"

// quiet hands the library's own log on; what it says of every message is too much.
type quiet struct{ *zap.SugaredLogger }

func (q quiet) Warning(v ...any)            { q.Debug(v...) }
func (q quiet) Warningf(f string, v ...any) { q.Debugf(f, v...) }
func (q quiet) Info(v ...any)               { q.Debug(v...) }
func (q quiet) Infof(f string, v ...any)    { q.Debugf(f, v...) }
