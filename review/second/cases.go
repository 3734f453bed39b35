package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

var cases = map[string]func(*rig){
	"stall-lost":      stallLost,
	"stall-drain":     stallDrain,
	"stall-exposure":  stallExposure,
	"work-twice":      workTwice,
	"registrar-crash": registrarCrash,
	"clock-lost":      clockLost,
	"registrar-hang":  registrarHang,
}

// hostsOf starts hosts of one zone each and returns them with their entries.
func (r *rig) hostsOf(n int, build int, work time.Duration) ([]*host, []entry) {
	var hosts []*host
	var entries []entry
	for i := range n {
		h := newHost(r, fmt.Sprintf("s-%d-%02d", build, i), work)
		hosts = append(hosts, h)
		entries = append(entries, entry{Host: h.name, Dial: h.addr, Site: []string{"sala-limon", "sala-siquirres"}[i%2], Class: "basica-2n", Block: i / 5, Health: "up", Share: 1, Build: build})
	}
	return hosts, entries
}

func read(id string) request {
	return request{id: id, class: "ver-pizarra", method: "GET", org: "canton-limon", waitMs: 3000}
}

// pace calls do at a rate for a time.
func pace(perSecond float64, d time.Duration, do func()) {
	begin := time.Now()
	for i := 0; ; i++ {
		at := begin.Add(time.Duration(float64(i) / perSecond * float64(time.Second)))
		if at.Sub(begin) > d {
			return
		}
		time.Sleep(time.Until(at))
		do()
	}
}

// stallTime is how long a router stands still: the page says 620 to 1,200 ms, every 2.2 to 3.7 s.
const (
	stallTime  = 1100 * time.Millisecond
	stallEvery = 3 * time.Second
)

// stallFleet starts three routers, of which the first will stand still, and traffic to all of them. The clients of the first
// one send perSecond requests a second, each on the connection that has rested longest; all its connections have had a
// request before.
func (r *rig) stallFleet(d *discovery, p *platform, perSecond float64, rest, length time.Duration) (*proc, *clients, chan struct{}) {
	var procs []*proc
	var addrs []string
	for i := range 3 {
		addr := freeAddr()
		procs = append(procs, r.startRouter(fmt.Sprintf("n%d", i), addr, limonSettings(i, 3, []string{"sala-limon", "sala-siquirres"}[i%2]), d, p, ""))
		addrs = append(addrs, addr)
	}
	for i := range 3 {
		r.waitReady(procs[i], addrs[i])
	}
	for i := 1; i < 3; i++ {
		others := &clients{r: r, addr: addrs[i], limit: 600 * time.Millisecond, done: func(outcome) {}, prefix: fmt.Sprintf("o%d-", i)}
		go pace(20, length, func() { others.send(read, false) })
	}
	cs := &clients{r: r, addr: addrs[0], limit: rest}
	for range int(perSecond * 1.3) {
		cs.send(read, true)
		time.Sleep(5 * time.Millisecond)
	}
	done := make(chan struct{})
	go func() { pace(perSecond, length, func() { cs.send(read, false) }); close(done) }()
	time.Sleep(2 * time.Second)
	return procs[0], cs, done
}

// stall stops a router for stallTime, calls during just after its begin, and returns stallEvery after it.
func (r *rig) stall(router *proc, during func()) {
	if r.trouble {
		router.signal(syscall.SIGSTOP)
		r.note("router n0 stands still")
	}
	time.Sleep(50 * time.Millisecond)
	during()
	time.Sleep(stallTime - 50*time.Millisecond)
	if r.trouble {
		router.signal(syscall.SIGCONT)
		r.note("router n0 goes on")
	}
	time.Sleep(stallEvery - stallTime)
}

// stallLost: a router stands still once while requests arrive on connections that it knows, and one of twenty hosts hangs. The
// router does not stand still when their answers are due.
func stallLost(r *rig) {
	hosts, entries := r.hostsOf(20, 42, 80*time.Millisecond)
	d, p := newDiscovery(r, entries), newPlatform(r, "42 3 released 1")
	router, cs, done := r.stallFleet(d, p, 200, 900*time.Millisecond, 9*time.Second)
	if r.trouble {
		hosts[7].hang()
		r.note("host %s hangs", hosts[7].name)
	}
	r.stall(router, func() {})
	<-done
	for _, o := range cs.finish() {
		late := 10 * time.Second
		if !o.answered.IsZero() {
			late = o.answered.Sub(o.sent) - time.Duration(o.waitMs)*time.Millisecond
		}
		if late > 550*time.Millisecond {
			r.breach("request %s, on a connection used before: %v, had no answer 550 ms after its time (status %d, %s)", o.id, o.reused, o.status, o.err)
		}
	}
	if router.ended() {
		r.breach("the router ended")
	}
}

// stallDrain: a router stands still while discovery writes to it that a host drains.
func stallDrain(r *rig) {
	hosts, entries := r.hostsOf(14, 42, 80*time.Millisecond)
	d, p := newDiscovery(r, entries), newPlatform(r, "42 3 released 1")
	router, cs, done := r.stallFleet(d, p, 120, 600*time.Millisecond, 22*time.Second)
	told := map[string]time.Time{}
	for i := range 6 {
		r.stall(router, func() {
			e := entries[i]
			e.Health = "draining"
			at, n := d.tell(e)
			if n != 3 {
				r.unable("%d watches were told", n)
			}
			told[e.Host] = at
			r.noteAt(at, "discovery has written to all routers that %s drains", e.Host)
		})
	}
	<-done
	cs.finish()
	for _, h := range hosts {
		h.mu.Lock()
		for _, a := range h.attempts {
			if t, ok := told[h.name]; ok && a.at.Sub(t) > 550*time.Millisecond {
				r.breach("%s came to %s %v after the router was told that it drains", a.id, h.name, a.at.Sub(t))
			}
		}
		h.mu.Unlock()
	}
	if router.ended() {
		r.breach("the router ended")
	}
}

// stallExposure: a router stands still while the platform writes to it that the build on trial goes back, with cap 0.
func stallExposure(r *rig) {
	_, entries := r.hostsOf(10, 42, 80*time.Millisecond)
	fresh, more := r.hostsOf(6, 43, 80*time.Millisecond)
	d, p := newDiscovery(r, append(entries, more...)), newPlatform(r, "43 1 trial 0.5")
	router, cs, done := r.stallFleet(d, p, 120, 600*time.Millisecond, 6*time.Second)
	var at time.Time
	r.stall(router, func() {
		at = p.tell("43 1 rolling_back 0")
		r.noteAt(at, "the platform has written to all routers that 43 goes back, cap 0")
	})
	<-done
	cs.finish()
	// A cap told is in force 500 ms (the grace for drains) and 150 ms later, with 50 ms for any time; 2 attempts and 4% over
	// the cap pass.
	after := 0
	for _, h := range fresh {
		h.mu.Lock()
		for _, a := range h.attempts {
			if a.at.Sub(at) > 700*time.Millisecond && !strings.HasPrefix(a.id, "o") {
				after++
				r.note("%s came to %s, of build 43, %v after the cap 0 was told", a.id, h.name, a.at.Sub(at))
			}
		}
		h.mu.Unlock()
	}
	if after > 2 {
		r.breach("%d attempts came to build 43 over 700 ms after the router was told the cap 0; 2 pass", after)
	}
	if router.ended() {
		r.breach("the router ended")
	}
}
