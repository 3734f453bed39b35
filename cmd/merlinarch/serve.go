package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/accord"
	"merlinarch/internal/clients"
	"merlinarch/internal/config"
	"merlinarch/internal/decide/backoff"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/discovery"
	"merlinarch/internal/features"
	"merlinarch/internal/gateway"
	"merlinarch/internal/ledger"
	"merlinarch/internal/memory"
	"merlinarch/internal/metrics"
	"merlinarch/internal/peers"
	"merlinarch/internal/platform"
	"merlinarch/internal/servers"
	"merlinarch/logic"
)

// discard stands in for a platform or peers that the configuration does not name: it counts messages and drops them.
type discard struct{ counters *metrics.Registry }

func (d discard) Vote(logic.Vote) { d.counters.Inc("platform.votes_dropped") }
func (d discard) Post(logic.Post) { d.counters.Inc("peers.not_sent") }

// countersInterval is the time between two log lines of the counters. A process that is killed logs none at its end.
const countersInterval = 10 * time.Second

// logCounters logs the counters, with the present use of memory.
func logCounters(counters *metrics.Registry, log *zap.Logger, why string) {
	counters.RecordMemory()
	counters.Log(log, why)
}

// serve runs the router until SIGTERM or SIGINT, then until all accepted requests are answered.
func serve(c config.Config, f features.Features, log *zap.Logger) (err error) {
	runtime.GOMAXPROCS(c.Limits.Cores)
	debug.SetMemoryLimit(c.Limits.MemoryBytes)
	debug.SetGCPercent(c.Limits.GCPercent)
	// Each kind of signal has its own channel. In a shared channel of one slot, frequent signals of one kind would make
	// the runtime drop those of another.
	terminate, printCounters, reload := make(chan os.Signal, 1), make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(printCounters, syscall.SIGUSR1)
	signal.Notify(reload, syscall.SIGHUP)
	for _, s := range []chan os.Signal{terminate, printCounters, reload} {
		defer signal.Stop(s)
	}

	counters, clock := metrics.New(), gateway.NewClock()
	// TCP keep-alive is off: it costs four system calls for each new connection, and idle connections are closed anyway
	// when room is needed.
	listenConfig := net.ListenConfig{KeepAlive: -1}
	listener, err := listenConfig.Listen(context.Background(), "tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listener.Close()
	var usageLedger *ledger.Ledger
	if f.Ledger.File != "" {
		if usageLedger, err = ledger.Open(f.Ledger.File, ledgerOptions(f.Ledger, c.Settings, c.Name)); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, usageLedger.Close()) }() // closed last, when all accepted requests are answered
	}
	outputs := gateway.Outputs{Platform: discard{counters}, Peers: discard{counters}}
	var peerExchange *peers.Peers
	if c.PeerListen != "" {
		if peerExchange, err = peers.Listen(c.PeerListen, c.Peers, c.PeersAll, c.Limits, counters, log); err != nil {
			return err
		}
		outputs.Peers = peerExchange
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	gw := gateway.New(logic.New(c.Settings, c.Seed), c.Limits, clock, counters, log)
	requestMemory := memory.NewBudget(c.Limits.RequestMemory)
	pool := servers.New(c.Limits, counters)
	pool.Memory = requestMemory
	outputs.Servers = pool
	var background sync.WaitGroup
	var follower *accord.Follower
	if f.Accord.Enabled() {
		follower = accord.NewFollower(followerOptions(f.Accord, c), gw, gw.UseRules(c.Settings.WarmUpTime), counters, log)
		follower.Sender = dispatchSender{gw, c.Limits.MaxWait, log}
		pool.Gate = follower.Gate
		background.Go(func() { follower.Run(ctx) })
	}
	if peerExchange != nil {
		background.Go(func() { peerExchange.Run(ctx, gw) })
	}
	watcher := discovery.New(c.Discovery, backoff.ForDiscovery(c.Settings, c.Seed), c.Limits, clock, gw, counters, log)
	if c.InitialHosts != nil { // the module receives the list of hosts first, then the release's status
		if err := watcher.LoadKnownList(c.InitialHosts); err != nil {
			log.Warn("list of hosts in the configuration can't be used, starting without it", zap.Error(err))
		}
	}
	var platformClient *platform.Client
	if c.Platform != "" {
		platformClient = platform.New(c.Platform, backoff.ForPlatform(c.Seed), c.Limits, gw, counters, log)
		outputs.Platform = platformClient
		if status, err := platform.DecodeReleaseStatus(c.InitialRelease); err == nil {
			gw.UpdateRelease(status)
		} else {
			log.Warn("release status in the configuration can't be used, starting without it", zap.Error(err))
		}
		background.Go(func() { platformClient.Run(ctx) })
	}
	background.Go(func() { gw.Run(ctx, outputs) })
	background.Go(func() { watcher.Run(ctx) })

	clientServer := clients.New(c.Limits, c.Settings, gw, counters, log)
	clientServer.UseMemory(requestMemory)
	if usageLedger != nil {
		clientServer.UsageRecorder = ledger.NewCounter(usageLedger, c.Settings, f.Ledger.OnFailure == "refuse", counters, log)
	}
	if follower != nil {
		clientServer.LeaseGate = follower.Gate
	}
	served := make(chan error, 1)
	go func() { served <- clientServer.Serve(listener) }()
	log.Info("serving", zap.String("name", c.Name), zap.String("listen", c.Listen))

	drained := make(chan error, 1)
	periodic := time.NewTicker(countersInterval)
	defer periodic.Stop()
	for finished := false; !finished; {
		select {
		case err = <-served:
			if served = nil; terminate != nil { // it stopped without a signal
				err, finished = errors.Join(err, errors.New("stopped serving")), true
			}
		case <-printCounters:
			logCounters(counters, log, "asked for")
		case <-periodic.C:
			logCounters(counters, log, "periodic")
		case <-reload: // also during the drain: attempts that are still sent follow the latest state of hosts and release
			c = reloadConfig(c, watcher, platformClient, counters, log)
		case s := <-terminate:
			log.Info("shutting down", zap.String("signal", s.String()))
			terminate = nil
			tasksBy := time.Now().Add(c.Limits.KillAfter - tasksEndBeforeKill)
			var tasksEnded <-chan struct{} // nil: there is no planned work
			if follower != nil {
				tasksEnded = follower.Drain()
			}
			go func() {
				err := clientServer.Drain()
				if tasksEnded != nil {
					waitUntil(tasksBy, tasksEnded)
				}
				drained <- err
			}()
		case err = <-drained:
			finished = true
		}
	}
	stop()
	pool.Close()
	background.Wait()
	logCounters(counters, log, "end")
	return err
}

// tasksEndBeforeKill is how long before it may be killed a router stops waiting for its planned work.
const tasksEndBeforeKill = 200 * time.Millisecond

// waitUntil waits until done is closed, or until a given time.
func waitUntil(at time.Time, done <-chan struct{}) {
	timeout := time.NewTimer(time.Until(at))
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	}
}

// followerOptions returns the options with which this router follows the replicated configuration.
func followerOptions(a features.Accord, c config.Config) accord.Options {
	return accord.Options{Cluster: a.Cluster, Name: c.Name, Site: c.Settings.Zone, Registrars: a.Registrars, Mode: lease.Mode(a.WithoutLease),
		Terms: a.LeaseTerms(), ClockStep: a.ClockStep, Clock: accord.Clock{Rate: a.ClockRate}, Seed: c.Seed, SendServerEvidence: a.Auto.MinDispatchers > 0,
		RepeatWindows: repeatWindows(c.Settings.Classes)}
}

// reloadConfig rereads the configuration file and switches to the addresses that it names now. A file that can't be used
// changes nothing.
func reloadConfig(c config.Config, watcher *discovery.Watcher, platformClient *platform.Client, counters *metrics.Registry,
	log *zap.Logger) config.Config {
	next, ignored, err := c.Reload()
	if err != nil {
		counters.Inc("config.unusable")
		log.Warn("new configuration can't be used, going on with the old one", zap.Error(err))
		return c
	}
	counters.Inc("config.read_anew")
	log.Info("configuration read anew", zap.String("discovery", next.Discovery), zap.String("platform", next.Platform),
		zap.Strings("changed_but_ignored", ignored))
	if next.Discovery != c.Discovery {
		watcher.Move(next.Discovery)
	}
	if next.Platform != c.Platform {
		platformClient.Move(next.Platform)
	}
	return next
}
