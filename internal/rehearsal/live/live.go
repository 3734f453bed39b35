// Package live plays a rehearsal (a simulation of a deployment) against real routers of this build: processes on loopback,
// with test doubles of their hosts, discovery, platform, network and clients. The simulated world is the same as in virtual
// time, but paced by the clock. One goroutine owns it; events from sockets reach that goroutine through one channel.
package live

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"

	"merlinarch/internal/rehearsal"
	"merlinarch/internal/rehearsal/script"
	"merlinarch/internal/settings"
	"merlinarch/internal/standin/clients"
	"merlinarch/internal/standin/discovery"
	"merlinarch/internal/standin/hosts"
	"merlinarch/internal/standin/peers"
	"merlinarch/internal/standin/platform"
	"merlinarch/logic"
)

// Options configures a live rehearsal.
type Options struct {
	Binary   string             // path of the router's program
	Dir      string             // for configurations and logs; it must exist
	Progress func(done float64) // called now and then with the fraction done; may be nil
}

const (
	leadTime     = 4 * time.Second // before clients send requests, so that routers get ready
	readyTimeout = 3 * time.Second
	inboxSize    = 8192
)

// virtualOnly lists the kinds of trouble that need privileges to bring about on loopback sockets.
var virtualOnly = map[string]bool{"site_cut": true, "link_slow": true, "link_loss": true}

// Check returns an error for the first part of a script that can't be played live.
func Check(s script.Script) error {
	for i, t := range s.Troubles {
		if virtualOnly[t.Kind] {
			return fmt.Errorf("troubles[%d].kind: %s can be played in virtual time only", i, t.Kind)
		}
	}
	if s.Routers.Policy != "module" {
		return fmt.Errorf("routers.policy: %s can be played in virtual time only", s.Routers.Policy)
	}
	if n := s.Routers.Count * s.Hosts.Count; n > 2000 {
		return fmt.Errorf("routers.count times hosts.count: at most 2000 live, got %d", n)
	}
	return nil
}

// runState is the state of a live rehearsal. It implements rehearsal.RouterFleet. Its fields belong to the goroutine of loop.
type runState struct {
	world   *rehearsal.World
	script  script.Script
	options Options
	ctx     context.Context
	origin  time.Time
	inbox   chan func()
	routers []*router
	hosts   map[int]*fleetHost // by the host's number in the world
	tries   map[string]*rehearsal.Try
	clients *clients.Pool
	relay   *peers.Relay
	cancels map[*rehearsal.Try]context.CancelFunc
	work    sync.WaitGroup
	err     error
}

// router is one router: its process and its test doubles, which outlive the process when the router is restarted.
type router struct {
	number      int
	listen      string
	peerListen  netip.AddrPort
	discovery   *discovery.Server
	platform    *platform.Server
	cmd         *exec.Cmd
	exited      chan struct{}
	incarnation int
	ready       bool
	configPath  string
	log         *os.File
}

// fleetHost is one incarnation of a host. It has a listener for each router, which identifies the sender of an attempt.
type fleetHost struct {
	host    *rehearsal.Host
	servers []*hosts.Server
}

// Run plays a script live and returns the report. It returns early with an error when ctx ends. No process outlives it.
func Run(ctx context.Context, s script.Script, o Options) (rehearsal.Report, error) {
	if err := Check(s); err != nil {
		return rehearsal.Report{}, err
	}
	// Pdeathsig makes the kernel kill a router when the thread that started it ends. Without the lock, routers could be
	// killed while the rehearsal runs.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	st := &runState{world: rehearsal.New(s, true), script: s, options: o, ctx: ctx, inbox: make(chan func(), inboxSize),
		hosts: map[int]*fleetHost{}, tries: map[string]*rehearsal.Try{}, clients: clients.New(),
		cancels: map[*rehearsal.Try]context.CancelFunc{}}
	defer st.close(stop)
	if err := st.startServers(); err != nil {
		return rehearsal.Report{}, err
	}
	st.origin = time.Now()
	st.world.Start(st, leadTime)
	return st.loop()
}

// loop runs the world's events at their times by the clock, and events from sockets as they arrive.
func (st *runState) loop() (rehearsal.Report, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	total := float64(leadTime + st.script.Length)
	for n := 0; st.err == nil; n++ {
		next, more := st.world.Next()
		if !more {
			return st.world.Report(), nil
		}
		now := time.Since(st.origin)
		if next <= now {
			st.world.Step()
			continue
		}
		if st.options.Progress != nil && n%64 == 0 {
			st.options.Progress(min(1, float64(now)/total))
		}
		timer.Reset(next - now)
		select {
		case event := <-st.inbox:
			st.world.Advance(time.Since(st.origin))
			event()
		case <-timer.C:
		case <-st.ctx.Done():
			return rehearsal.Report{}, fmt.Errorf("rehearsal: %w", st.ctx.Err())
		}
	}
	return rehearsal.Report{}, st.err
}

// enqueue has the loop run an event from a socket.
func (st *runState) enqueue(event func()) {
	select {
	case st.inbox <- event:
	case <-st.ctx.Done():
	}
}

// fail ends the loop with an error, unless it has one already.
func (st *runState) fail(err error) {
	if st.err == nil {
		st.err = err
	}
}

// startServers creates the routers' entries and starts the test doubles that last for the whole rehearsal.
func (st *runState) startServers() error {
	var listens []netip.AddrPort
	for i := range st.script.Routers.Count {
		r := &router{number: i, exited: make(chan struct{})}
		close(r.exited)
		st.routers = append(st.routers, r)
		tcp, err := freePort("tcp")
		if err != nil {
			return err
		}
		udp, err := freePort("udp")
		if err != nil {
			return err
		}
		r.listen, r.peerListen = tcp.String(), udp
		listens = append(listens, udp)
		if r.discovery, err = discovery.Listen("127.0.0.1:0"); err != nil {
			return err
		}
		if r.platform, err = platform.Listen("127.0.0.1:0", platform.State{Phase: "released", Cap: 1, Build: 1},
			func(v platform.Vote, reply func(string)) { st.enqueue(func() { st.vote(r, v, reply) }) }); err != nil {
			return err
		}
		if r.log, err = os.Create(filepath.Join(st.options.Dir, fmt.Sprintf("router-%d.log", i))); err != nil {
			return fmt.Errorf("log: %w", err)
		}
	}
	var err error
	st.relay, err = peers.Listen(listens, func(from, to int, data []byte) {
		st.enqueue(func() { st.world.CarryMessage(from, to, len(data), func() { st.relay.Send(from, to, data) }) })
	})
	return err
}

// close kills the routers' processes, each by its own id, and stops all test doubles.
func (st *runState) close(stop func()) {
	for _, r := range st.routers {
		r.kill()
	}
	stop()
	for _, f := range st.hosts {
		f.close()
	}
	for _, r := range st.routers {
		if r.discovery != nil {
			r.discovery.Close()
		}
		if r.platform != nil {
			r.platform.Close()
		}
		if r.log != nil {
			r.log.Close()
		}
	}
	if st.relay != nil {
		st.relay.Close()
	}
	st.work.Wait()
	st.clients.Close()
}

// freePort returns a loopback address whose port is free at the moment.
func freePort(network string) (netip.AddrPort, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return netip.AddrPort{}, fmt.Errorf("port: %w", err)
		}
		defer c.Close()
		return c.LocalAddr().(*net.UDPAddr).AddrPort(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("port: %w", err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Boot starts a router's process. The router counts as ready once its readiness check succeeds.
func (st *runState) Boot(i int, known []rehearsal.Entry, standing rehearsal.ReleaseState) {
	r := st.routers[i]
	r.incarnation++
	incarnation := r.incarnation
	for _, e := range known {
		r.discovery.Change(st.hostEntry(r, e))
	}
	if err := st.configure(r, standing); err != nil {
		st.fail(err)
		return
	}
	r.cmd = exec.Command(st.options.Binary, "serve", "--config", r.configPath)
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.cmd.Start(); err != nil {
		st.fail(fmt.Errorf("router %d: %w", i, err))
		return
	}
	r.exited = make(chan struct{})
	cmd, exited := r.cmd, r.exited
	st.work.Go(func() {
		err := cmd.Wait()
		close(exited)
		st.enqueue(func() {
			if r.incarnation == incarnation { // not killed on purpose
				st.fail(fmt.Errorf("router %d exited unexpectedly (%v): its log is %s", i, err, r.log.Name()))
			}
		})
	})
	st.work.Go(func() {
		ctx, stop := context.WithTimeout(st.ctx, readyTimeout)
		defer stop()
		for !st.clients.Ready(ctx, r.listen) {
			select {
			case <-ctx.Done():
				st.enqueue(func() {
					if r.incarnation == incarnation {
						st.fail(fmt.Errorf("router %d is not ready after %v: its log is %s", i, readyTimeout, r.log.Name()))
					}
				})
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
		st.enqueue(func() { r.ready = r.incarnation == incarnation })
	})
}

// configure writes a router's configuration file, with the list of hosts and the release's standing known at its start.
func (st *runState) configure(r *router, standing rehearsal.ReleaseState) error {
	addrs, all := st.relay.Peers()
	list := r.discovery.List()
	c := map[string]any{"name": "n" + strconv.Itoa(r.number), "listen": r.listen, "discovery": r.discovery.Addr(),
		"seed":        strconv.FormatUint(st.script.Seed<<20|uint64(r.number)<<10|uint64(r.incarnation), 16),
		"limits":      map[string]any{"cores": 1.0, "memory_mb": st.script.Routers.MemoryMB, "sockets": st.script.Routers.Sockets},
		"peer_listen": r.peerListen.String(), "peers": addrs, "peers_all": all,
		"pipeline": map[string]any{"address": r.platform.Addr(), "news": map[string]any{"release": standing.Build + 1,
			"tranche": standing.Stage, "mode": phaseNames[standing.Phase], "exposure": standing.Cap,
			"old_ms": (st.world.Now() - standing.Since).Milliseconds()}},
		"known": list, "settings": encodeSettings(st.script, r.number)}
	data, err := json.Marshal(c)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	r.configPath = filepath.Join(st.options.Dir, fmt.Sprintf("router-%d.json", r.number))
	if err := os.WriteFile(r.configPath, data, 0o600); err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	return nil
}

// encodeSettings returns a router's settings as its configuration file encodes them, with the dial timeout, which is a
// setting of the process and not of the module.
func encodeSettings(s script.Script, router int) map[string]any {
	out := settings.Encode(rehearsal.Settings(s, router))
	out["caps"].(map[string]any)["dial_timeout_ms"] = float64(s.Network.DialTimeout.Microseconds()) / 1000
	return out
}

var phaseNames = map[logic.Phase]string{logic.OnTrial: "trial", logic.RollingBack: "rolling_back",
	logic.Released: "released", logic.Withdrawn: "withdrawn"}

var healthNames = map[logic.ServerState]string{logic.Ready: "up", logic.Draining: "draining", logic.Gone: "removed"}

var verdicts = map[string]logic.Verdict{"blank": logic.VoteNone, "go": logic.VoteAdvance, "stay": logic.VoteHold,
	"stop": logic.VoteRollBack}

// hostEntry returns a host's entry in the list of one router, with the address of the listener for that router.
func (st *runState) hostEntry(r *router, e rehearsal.Entry) discovery.Host {
	h := discovery.Host{Host: "s-" + strconv.Itoa(e.Host.ID), Site: e.Host.Site, Block: e.Host.Cell,
		Health: healthNames[e.State], Share: 1, Build: e.Build + 1}
	if f := st.hosts[e.Host.ID]; f != nil {
		h.Dial = f.servers[r.number].Addr()
	}
	if e.Started > 0 {
		h.BornMS = st.origin.Add(e.Started).UnixMilli()
	}
	return h
}

// kill kills the process and waits for its end. The new incarnation makes events of the old one void.
func (r *router) kill() {
	r.incarnation++
	r.ready = false
	if r.cmd != nil && r.cmd.Process != nil {
		r.cmd.Process.Kill()
	}
	<-r.exited
}

// Kill kills a router's process, as a crash would.
func (st *runState) Kill(i int) { st.routers[i].kill() }

// Freeze suspends a router's process for a time.
func (st *runState) Freeze(i int, length time.Duration) {
	r := st.routers[i]
	incarnation := r.incarnation
	if err := r.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return // the process has just ended
	}
	st.work.Go(func() {
		select {
		case <-time.After(length):
		case <-st.ctx.Done():
		}
		st.enqueue(func() {
			if r.incarnation == incarnation {
				r.cmd.Process.Signal(syscall.SIGCONT)
			}
		})
	})
}

// Take sends a client's try to its router and reports the outcome to the world.
func (st *runState) Take(t *rehearsal.Try) {
	r := st.routers[t.Router]
	ctx, stop := context.WithCancel(st.ctx)
	st.cancels[t] = stop
	st.tries[t.ID()] = t
	ask := clients.Request{ID: t.ID(), Class: t.Class(), Tenant: t.Tenant(st.world), Key: fmt.Sprintf("%016x", t.Request.Key),
		DedupKey: t.DedupKey(), Post: t.Repeat() != "safe", Wait: t.Until - st.world.Now()}
	ready := r.ready
	st.work.Go(func() {
		a, err := st.clients.Do(ctx, r.listen, ask)
		st.enqueue(func() {
			stop()
			delete(st.cancels, t)
			switch {
			case err != nil && (errors.Is(err, clients.ErrRefused) || !ready):
				st.world.ConnectFailed(t)
			case err != nil:
				st.world.ConnectionDropped(t)
			default:
				st.world.Answered(t, decodeAnswer(t, a))
			}
		})
	})
}

// decodeAnswer returns the outcome of a try as its client sees it in the router's answer.
func decodeAnswer(t *rehearsal.Try, a clients.Answer) rehearsal.Answer {
	switch a.Status {
	case 200:
		return rehearsal.Answer{Status: rehearsal.Served, Mismatched: string(a.Body) != noticeBody(t.ID())}
	case 429, 503:
		return rehearsal.Answer{Status: rehearsal.Refused, RetryAfter: a.RetryAfter}
	}
	return rehearsal.Answer{Status: rehearsal.Failed}
}

// noticeBody returns the body of the correct answer to a request.
func noticeBody(id string) string { return "notice for " + id }

// ClientGone closes the connection of a client that has given its try up.
func (st *runState) ClientGone(t *rehearsal.Try) {
	if stop := st.cancels[t]; stop != nil {
		stop()
	}
}

// Listed applies changes of hosts to the list of a router's discovery agent.
func (st *runState) Listed(i int, changes []rehearsal.Entry) {
	for _, e := range changes {
		st.routers[i].discovery.Change(st.hostEntry(st.routers[i], e))
	}
}

// platformState returns a release's standing as the platform encodes it.
func (st *runState) platformState(s rehearsal.ReleaseState) platform.State {
	return platform.State{Build: s.Build + 1, Stage: s.Stage, Phase: phaseNames[s.Phase], Cap: s.Cap,
		Age: max(0, st.world.Now()-s.Since)}
}

// ReleaseChanged announces a release's standing to a router through its platform.
func (st *runState) ReleaseChanged(i int, s rehearsal.ReleaseState) {
	st.routers[i].platform.Announce(st.platformState(s))
}

// SilenceLauncher makes the platform unresponsive to all routers, or responsive again.
func (st *runState) SilenceLauncher(on bool) {
	for _, r := range st.routers {
		r.platform.SetSilent(on)
	}
}

// vote passes a router's vote on to the world and answers it with the world's reply.
func (st *runState) vote(r *router, v platform.Vote, reply func(string)) {
	verdict, ok := verdicts[v.Verdict]
	if !ok {
		reply(platform.Error("SYNTAX"))
		return
	}
	incarnation := r.incarnation
	st.world.Vote(r.number, v.Build-1, v.Stage, verdict, func(a rehearsal.VoteReply) {
		switch a.Result {
		case logic.VoteCounted:
			if r.incarnation == incarnation {
				st.world.RecordRelease(r.number, a.Release)
			}
			reply(platform.OK(st.platformState(a.Release)))
		case logic.VoteThrottled:
			reply(platform.Error("BUSY"))
		default:
			reply(platform.Error("STALE"))
		}
	})
}

// HostUp starts a host's listeners, one for each router.
func (st *runState) HostUp(h *rehearsal.Host) {
	f := &fleetHost{host: h}
	for i := range st.routers {
		s, err := hosts.Listen("127.0.0.1:0", func(ctx context.Context, q hosts.Request) hosts.Reply {
			return st.serveAttempt(ctx, i, h, q)
		})
		if err != nil {
			st.fail(err)
			return
		}
		f.servers = append(f.servers, s)
	}
	st.hosts[h.ID] = f
}

// HostDown stops a host. A silent host keeps its connections and answers nothing.
func (st *runState) HostDown(h *rehearsal.Host, silent bool) {
	f := st.hosts[h.ID]
	if f == nil || silent {
		return
	}
	delete(st.hosts, h.ID)
	st.work.Go(f.close) // in a goroutine: close waits for the handlers, which wait for the loop
}

// close stops the host's listeners.
func (f *fleetHost) close() {
	for _, s := range f.servers {
		s.Close()
	}
}

var replyKinds = map[rehearsal.Reply]hosts.Kind{rehearsal.Good: hosts.Served, rehearsal.Wrong: hosts.Served,
	rehearsal.Erred: hosts.ServerError, rehearsal.TurnedAway: hosts.TurnedAway, rehearsal.Broken: hosts.ConnectionReset}

// serveAttempt passes a router's attempt on to its host in the world and waits for the host's reply.
func (st *runState) serveAttempt(ctx context.Context, from int, h *rehearsal.Host, q hosts.Request) hosts.Reply {
	replies := make(chan hosts.Reply, 1)
	var a *rehearsal.Attempt
	st.enqueue(func() {
		t := st.tries[q.ID]
		if t == nil || ctx.Err() != nil { // no client sent it, or the router has given it up
			replies <- hosts.Reply{Kind: hosts.TurnedAway}
			return
		}
		a = &rehearsal.Attempt{Try: t, Router: from, Host: h, SentAt: st.world.Now(),
			Done: func(r rehearsal.Reply, l *logic.Load) {
				reply := hosts.Reply{Kind: replyKinds[r], Body: []byte(noticeBody(q.ID))}
				if l != nil {
					reply.Load = fmt.Sprintf("inflight=%g,queue=%g,util=%g", l.InFlight, l.Queue, l.Utilization)
				}
				replies <- reply
			}}
		st.world.Arrive(a, false)
	})
	select {
	case r := <-replies:
		return r
	case <-ctx.Done():
		st.enqueue(func() {
			if a != nil {
				st.world.Cancel(a)
			}
		})
	case <-st.ctx.Done():
	}
	return hosts.Reply{Kind: hosts.ConnectionReset}
}
