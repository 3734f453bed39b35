package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/accord"
	"merlinarch/internal/clients"
	"merlinarch/internal/config"
	"merlinarch/internal/decide/backoff"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/statemachine"
	"merlinarch/internal/discovery"
	"merlinarch/internal/exchange"
	"merlinarch/internal/features"
	"merlinarch/internal/gateway"
	"merlinarch/internal/ledger"
	"merlinarch/internal/metrics"
	"merlinarch/internal/peers"
	"merlinarch/internal/platform"
	"merlinarch/internal/servers"
	"merlinarch/logic"
)

// nobody stands for a platform or for peers that the configuration does not have.
type nobody struct{ count *metrics.Registry }

func (n nobody) Vote(logic.Vote) { n.count.Inc("platform.votes_dropped") }
func (n nobody) Post(logic.Post) { n.count.Inc("peers.not_sent") }

// serve runs the router until SIGTERM or SIGINT, and until all that it has taken is answered.
func serve(c config.Config, f features.Features, log *zap.Logger) (err error) {
	runtime.GOMAXPROCS(c.Limits.Cores)
	debug.SetMemoryLimit(c.Limits.MemoryBytes)
	debug.SetGCPercent(c.Limits.GCPercent)
	// Danger: signals of one kind, sent often, would push out those of another; each has its own place.
	ending, asked, reload := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(ending, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(asked, syscall.SIGUSR1)
	signal.Notify(reload, syscall.SIGHUP)
	for _, s := range []chan os.Signal{ending, asked, reload} {
		defer signal.Stop(s)
	}

	count, clock := metrics.New(), gateway.NewClock()
	// No keep-alive probes: they cost each new connection four system calls, and idle ones close for want of room.
	accept := net.ListenConfig{KeepAlive: -1}
	listen, err := accept.Listen(context.Background(), "tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listen.Close()
	var book *ledger.Ledger
	if f.Ledger.File != "" {
		if book, err = ledger.Open(f.Ledger.File, ledgerOptions(f.Ledger, c.Settings, c.Name)); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, book.Close()) }() // last: all that was taken is answered by then
	}
	parts := gateway.Outputs{Platform: nobody{count}, Peers: nobody{count}}
	var others *peers.Peers
	if c.PeerListen != "" {
		if others, err = peers.Listen(c.PeerListen, c.Peers, c.PeersAll, c.Limits, count, log); err != nil {
			return err
		}
		parts.Peers = others
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	gw := gateway.New(logic.New(c.Settings, c.Seed), c.Limits, clock, count, log)
	pool := servers.New(c.Limits, count)
	parts.Servers = pool
	var work sync.WaitGroup
	var rules *accord.Follower
	if f.Accord.Enabled() {
		rules = accord.NewFollower(followerOptions(f.Accord, c), gw, gw.UseRules(c.Settings.WarmUpTime), count, log)
		rules.Sender = printer{gw, c.Limits.MaxWait}
		pool.Gate = rules.Gate
		work.Go(func() { rules.Run(ctx) })
	}
	if others != nil {
		work.Go(func() { others.Run(ctx, gw) })
	}
	watcher := discovery.New(c.Discovery, backoff.ForDiscovery(c.Settings, c.Seed), c.Limits, clock, gw, count, log)
	if c.InitialHosts != nil { // the module's first event is the list, the next the platform's news
		if err := watcher.LoadKnownList(c.InitialHosts); err != nil {
			log.Warn("starting without a list", zap.Error(err))
		}
	}
	var desk *platform.Client
	if c.Platform != "" {
		desk = platform.New(c.Platform, backoff.ForPlatform(c.Seed), c.Limits, gw, count, log)
		parts.Platform = desk
		if news, err := platform.DecodeReleaseStatus(c.InitialRelease); err == nil {
			gw.UpdateRelease(news)
		} else {
			log.Warn("starting without news of the newest build", zap.Error(err))
		}
		work.Go(func() { desk.Run(ctx) })
	}
	work.Go(func() { gw.Run(ctx, parts) })
	work.Go(func() { watcher.Run(ctx) })

	front := clients.New(c.Limits, c.Settings, gw, count, log)
	if book != nil {
		front.UsageRecorder = ledger.NewCounter(book, c.Settings, f.Ledger.OnFailure == "refuse", count, log)
	}
	if rules != nil {
		front.LeaseGate = rules.Gate
	}
	served := make(chan error, 1)
	go func() { served <- front.Serve(listen) }()
	log.Info("serving", zap.String("name", c.Name), zap.String("listen", c.Listen))

	drained := make(chan error, 1)
	for over := false; !over; {
		select {
		case err = <-served:
			if served = nil; ending != nil { // without a signal
				err, over = errors.Join(err, errors.New("stopped serving")), true
			}
		case <-asked:
			count.Log(log, "asked for")
		case <-reload: // also while it ends: what is still sent keeps to the latest news
			c = move(c, watcher, desk, count, log)
		case s := <-ending:
			log.Info("ending", zap.String("signal", s.String()))
			ending = nil
			go func() { drained <- front.Drain() }()
		case err = <-drained:
			over = true
		}
	}
	stop()
	pool.Close()
	work.Wait()
	count.Log(log, "end")
	return err
}

// printer carries out planned work as an ordinary request: through the exchange and the module.
type printer struct {
	gateway *gateway.Gateway
	longest time.Duration
}

// Print sends a piece of work under its key, with the fence of this claim, and tells whether the receiver has it.
func (p printer) Send(ctx context.Context, t statemachine.Task) bool {
	until := time.Now().Add(min(p.longest, max(time.Second, 4*time.Duration(t.Plan.ExpectedDurationMs*float64(time.Millisecond)))))
	if latest := time.UnixMilli(t.Plan.Latest); latest.Before(until) {
		until = latest
	}
	joint := "?"
	if strings.Contains(t.Plan.Target, "?") {
		joint = "&"
	}
	ex := exchange.New(exchange.Message{Method: http.MethodPost, Target: t.Plan.Target + joint + "fence=" + strconv.FormatUint(t.Fence, 10),
		ID: fmt.Sprintf("%s-%d", t.Dispatch, t.Fence), DedupKey: "dispatch-" + t.Dispatch, Body: []byte(t.Plan.Body)},
		exchange.Fields{Class: t.Plan.Class, RequiredZone: t.Plan.Site}, until)
	ex.DispatchID = t.Dispatch
	if p.gateway.Submit(ex) != nil {
		return false
	}
	over := time.NewTimer(time.Until(until))
	defer over.Stop()
	select {
	case <-ex.Done():
	case <-over.C:
	case <-ctx.Done():
	}
	if ex.Finish(exchange.Answer{Status: exchange.TimedOut}) {
		p.gateway.Abandon(ex)
	}
	a := ex.Answer()
	defer a.Release()
	return a.Status == exchange.Served
}

// followerOptions are the accord's, for this router.
func followerOptions(a features.Accord, c config.Config) accord.Options {
	return accord.Options{Cluster: a.Cluster, Name: c.Name, Site: c.Settings.Zone, Registrars: a.Registrars, Mode: lease.Mode(a.WithoutLease),
		Terms: a.LeaseTerms(), ClockStep: a.ClockStep, Clock: accord.Clock{Rate: a.ClockRate}, Seed: c.Seed, SendServerEvidence: a.Auto.MinAgreeing > 0}
}

// move goes over to the addresses that the configuration file names now. A file that can't be used changes nothing.
func move(c config.Config, watcher *discovery.Watcher, desk *platform.Client, count *metrics.Registry,
	log *zap.Logger) config.Config {
	next, ignored, err := c.Reload()
	if err != nil {
		count.Inc("config.unusable")
		log.Warn("new configuration can't be used, going on with the old one", zap.Error(err))
		return c
	}
	count.Inc("config.read_anew")
	log.Info("configuration read anew", zap.String("discovery", next.Discovery), zap.String("platform", next.Platform),
		zap.Strings("changed_but_ignored", ignored))
	if next.Discovery != c.Discovery {
		watcher.Move(next.Discovery)
	}
	if next.Platform != c.Platform {
		desk.Move(next.Platform)
	}
	return next
}
