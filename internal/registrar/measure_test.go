package registrar_test

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/standin/cluster"
	"merlinarch/internal/standin/link"
	"merlinarch/internal/testwait"
)

var (
	measure     = flag.Bool("measure", false, "run the measurements, which take minutes; docs/accord.md has the results")
	sizes       = flag.String("measure.sizes", "3,30,200", "numbers of dispatchers")
	minVersions = flag.Int("measure.versions", 0, "versions to commit before the restart that is measured")
	rounds      = flag.Int("measure.rounds", 20, "cordons of each kind")
)

// TestMeasureReach measures how long after a cordon is committed the last request still reaches its server, and how
// long it takes until the cordon is confirmed.
func TestMeasureReach(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	oldTerms := terms
	terms = lease.DefaultTerms()
	defer func() { terms = oldTerms }()
	for _, text := range strings.Split(*sizes, ",") {
		var dispatchers int
		if _, err := fmt.Sscan(text, &dispatchers); err != nil {
			t.Fatal(err)
		}
		for _, kind := range []string{"clean", "2% loss, 20 ms delay", "a leader killed each 10 s"} {
			t.Run(fmt.Sprintf("%d %s", dispatchers, kind), func(t *testing.T) { measurePropagation(t, dispatchers, kind) })
		}
	}
}

// measurePropagation measures cordons with n dispatchers under one kind of fault.
func measurePropagation(t *testing.T, dispatchers int, kind string) {
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: dispatchers, Servers: 5, Seed: uint64(dispatchers), LowTraffic: true,
		Accord: map[string]any{"budget": 0.5, "cold": "1s"}})
	if kind == "2% loss, 20 ms delay" {
		for _, l := range s.Links {
			l.Set(link.Faults{Loss: 0.02, Delay: 20 * time.Millisecond})
		}
	}
	ctx, stop := context.WithCancel(s.ctx)
	defer stop()
	var work sync.WaitGroup
	defer work.Wait()
	defer stop()
	if kind == "a leader killed each 10 s" {
		work.Go(func() {
			for ctx.Err() == nil {
				select {
				case <-ctx.Done():
					return
				case <-time.After(10 * time.Second):
				}
				if l := s.Leader(ctx); l != "" {
					s.Processes[l].Kill()
					time.Sleep(time.Second)
					if err := s.Processes[l].Start(); err != nil {
						t.Error(err)
					}
				}
			}
		})
	}
	var linkBytes int64
	for _, l := range s.Links {
		linkBytes -= l.BytesRelayed()
	}
	began := time.Now()
	var propagation, confirmation []time.Duration
	for i := range *rounds {
		server := cluster.ServerName(i % 5)
		_, agreed := s.mustChange(s.Operator(), cordonChange(server))
		at := s.waitConfirmed(s.Operator(), server)
		time.Sleep(200 * time.Millisecond)
		latest := agreed
		for _, a := range s.Arrivals() {
			if a.Server == server && a.At.After(latest) {
				latest = a.At
			}
		}
		propagation, confirmation = append(propagation, latest.Sub(agreed)), append(confirmation, at.Sub(agreed))
		if late := latest.Sub(at); late > arrivalTolerance {
			t.Errorf("a request reached %s %v after its cordon was confirmed", server, late)
		}
		s.mustChange(s.Operator(), ruleset.Change{Kind: ruleset.KindLift, Name: server})
		testwait.Until(t, server+" to have its cordon lifted", func() bool { return findCordon(s.status(s.Operator(), time.Second), server) == nil })
	}
	for _, l := range s.Links {
		linkBytes += l.BytesRelayed()
	}
	seconds := time.Since(began).Seconds()
	quantiles := func(d []time.Duration) string {
		slices.Sort(d)
		at := func(q float64) time.Duration {
			return d[min(len(d)-1, int(q*float64(len(d))))].Round(100 * time.Microsecond)
		}
		return fmt.Sprintf("p50 %v, p99 %v, worst %v", at(0.5), at(0.99), d[len(d)-1].Round(100*time.Microsecond))
	}
	lapses := 0
	for i := range dispatchers {
		lapses += strings.Count(s.Log(cluster.DispatcherName(i)), `"now": "nothing"`)
	}
	t.Logf("%d dispatchers, %s, %d cordons, D %v: last attempt %s; confirmed %s; %.0f bytes/s through links; %d lapses", dispatchers, kind, len(propagation),
		terms.StalenessBound().Round(time.Millisecond), quantiles(propagation), quantiles(confirmation), float64(linkBytes)/seconds, lapses)
}

// TestMeasureRegistrars measures the time without a leader after a kill, changes per second, leases that lapse because
// the cores are busy, and the time that a restarted registrar takes to catch up.
func TestMeasureRegistrars(t *testing.T) {
	if !*measure {
		t.Skip("only with -measure")
	}
	oldTerms := terms
	terms = lease.DefaultTerms()
	defer func() { terms = oldTerms }()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 3, Servers: 5, Seed: 5, LowTraffic: true, Accord: map[string]any{"budget": 0.5, "cold": "1s"}})
	var gaps []time.Duration
	for range 10 {
		l := s.waitForLeader()
		s.Processes[l].Kill()
		began := time.Now()
		for s.Leader(s.ctx) == "" {
			time.Sleep(2 * time.Millisecond)
		}
		gaps = append(gaps, time.Since(began))
		if err := s.Processes[l].Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
	}
	slices.Sort(gaps)
	t.Logf("time without a leader after a kill: p50 %v, worst %v of 10", gaps[5].Round(time.Millisecond), gaps[9].Round(time.Millisecond))

	op := s.Operator(s.waitForLeader())
	st := s.status(op, testwait.Patience)
	base, n, began := st.Head.Version, 0, time.Now()
	for time.Since(began) < 20*time.Second || base < uint64(*minVersions) {
		var a ruleset.Answer
		err := op.Do(s.ctx, accord.PathChange, accord.OperatorRequest{Cluster: "test", ChangeRequest: ruleset.ChangeRequest{Key: rand.Text(), BaseVersion: base, Author: "test", Reason: "a measurement",
			Changes: []ruleset.Change{{Kind: ruleset.KindExpect, Name: fmt.Sprint("n", n%50)}}}}, &a)
		if err != nil {
			t.Fatal(err)
		}
		if base = a.Version; a.Refused == "" {
			n++
		}
	}
	t.Logf("%.0f changes a second, one after another", float64(n)/time.Since(began).Seconds())

	countLapses := func() (out int) {
		for i := range 3 {
			out += strings.Count(s.Log(cluster.DispatcherName(i)), `"now": "nothing"`)
		}
		return out
	}
	before := countLapses()
	loadCtx, stop := context.WithTimeout(s.ctx, 30*time.Second)
	defer stop()
	var work sync.WaitGroup
	for range 12 {
		work.Go(func() {
			for x := 0; loadCtx.Err() == nil; x++ {
			}
		})
	}
	work.Wait()
	t.Logf("%d lapses in 30 s with twelve busy loops", countLapses()-before)
	restarted := s.otherRegistrars(s.waitForLeader())[0]
	s.Processes[restarted].Kill()
	began = time.Now()
	if err := s.Processes[restarted].Start(); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "the restarted registrar to catch up with the others", func() bool {
		var role accord.RegistrarStatus
		ctx, stop := context.WithTimeout(s.ctx, time.Second)
		defer stop()
		return s.Operator(restarted).Do(ctx, accord.PathStatus+"?local", nil, &role) == nil && role.Version >= base
	})
	t.Logf("a registrar is back after %v, with %d versions", time.Since(began).Round(time.Millisecond), base)
}
