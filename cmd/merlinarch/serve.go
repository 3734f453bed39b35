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

	"go.uber.org/zap"

	"merlinarch/internal/clients"
	"merlinarch/internal/config"
	"merlinarch/internal/discovery"
	"merlinarch/internal/gateway"
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
func serve(c config.Config, log *zap.Logger) error {
	runtime.GOMAXPROCS(c.Limits.Cores)
	debug.SetMemoryLimit(c.Limits.MemoryBytes)
	debug.SetGCPercent(c.Limits.GCPercent)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	defer signal.Stop(signals)

	count, clock := metrics.New(), gateway.NewClock()
	// No keep-alive probes: they cost each new connection four system calls, and idle ones close for want of room.
	accept := net.ListenConfig{KeepAlive: -1}
	listen, err := accept.Listen(context.Background(), "tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	defer listen.Close()
	parts := gateway.Parts{Platform: nobody{count}, Peers: nobody{count}}
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
	if others != nil {
		work.Go(func() { others.Run(ctx, gw) })
	}
	watcher := discovery.New(c.Discovery, c.Limits, clock, gw, count, log)
	if c.Known != nil { // the module's first event is the list, the next the platform's news
		if err := watcher.Known(c.Known); err != nil {
			log.Warn("starting without a list", zap.Error(err))
		}
	}
	if c.Platform != "" {
		desk := platform.New(c.Platform, c.Limits, gw, count, log)
		parts.Platform = desk
		if news, err := platform.DecodeNews(c.News); err == nil {
			gw.Released(news)
		} else {
			log.Warn("starting without news of the newest build", zap.Error(err))
		}
		work.Go(func() { desk.Run(ctx) })
	}
	work.Go(func() { gw.Run(ctx, parts) })
	work.Go(func() { watcher.Run(ctx) })

	front := clients.New(c.Limits, c.Settings, gw, count, log)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listen) }()
	log.Info("serving", zap.String("name", c.Name), zap.String("listen", c.Listen))

	for {
		select {
		case err = <-served: // without a signal
			err = errors.Join(err, errors.New("stopped serving"))
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				count.Log(log, "asked for")
				continue
			}
			log.Info("ending", zap.String("signal", s.String()))
			err = front.Drain()
		}
		break
	}
	stop()
	pool.Close()
	work.Wait()
	count.Log(log, "end")
	return err
}
