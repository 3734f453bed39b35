package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// startRegistrars starts three registrars with the settings of README's example, on free ports.
func (r *rig) startRegistrars() (settings string) { return r.startRegistrarsWith(nil) }

// startRegistrarsWith starts three registrars; steps gives by name how far the wall clock of a registrar's machine is ahead.
func (r *rig) startRegistrarsWith(steps map[string]string) (settings string) {
	names, addrs := []string{"r1", "r2", "r3"}, object{}
	for _, n := range names {
		addr := freeAddr()
		addrs[n], r.registrars = addr, append(r.registrars, addr)
	}
	settings = r.writeJSON("accord.json", object{"accord": object{"cluster": "plaza", "registrars": addrs}})
	for _, n := range names {
		own, dir := settings, r.tmp+"/"+n
		if steps[n] != "" {
			own = r.writeJSON(n+".json", object{"accord": object{"cluster": "plaza", "registrars": addrs, "clock_step": steps[n]}})
		}
		command := fmt.Sprintf("mkdir -p %s && cd %s && %s/bin/merlinarch registrar init --settings %s --name %s", dir, dir, r.root, own, n)
		if _, err := r.call(command, 10*time.Second); err != nil {
			r.unable("init %s: %v", n, err)
		}
		r.spawn(n, fmt.Sprintf("cd %s && exec %s/bin/merlinarch registrar run --settings %s --name %s", dir, r.root, own, n))
	}
	return settings
}

// receivers are servers that all drop a repeat of a key for a window, as the site's settings say: they share what they met.
type receivers struct {
	r      *rig
	window time.Duration
	mu     sync.Mutex
	ranAt  map[string]time.Time // the latest run, by key
	runs   map[string][]time.Time
	onRun  func(h *host) // called after a run, before its answer; may be nil
}

// newReceivers returns servers that remember a key for the 6 s of the settings, and 50 ms as every time limit on sockets.
func newReceivers(r *rig) *receivers {
	return &receivers{r: r, window: 6050 * time.Millisecond, ranAt: map[string]time.Time{}, runs: map[string][]time.Time{}}
}

func (v *receivers) serve(h *host, a attempt) bool {
	time.Sleep(h.work)
	if a.key == "" {
		return answer(a.conn, 200, "made for "+a.id, "")
	}
	v.mu.Lock()
	last, met := v.ranAt[a.key]
	now := time.Now()
	if repeat := met && now.Sub(last) < v.window; repeat {
		v.r.note("host %s dropped a repeat of %s, %v after it ran", h.name, a.key, now.Sub(last))
	} else {
		v.ranAt[a.key] = now
		v.runs[a.key] = append(v.runs[a.key], now)
		v.r.noteAt(now, "host %s RAN %s (run %d), id %s body %q", h.name, a.key, len(v.runs[a.key]), a.id, a.body)
		if v.onRun != nil {
			v.onRun(h)
		}
	}
	v.mu.Unlock()
	return answer(a.conn, 200, "done", "")
}

// workTwice: the server that has run a piece of planned work dies before it answers, and is back after 12 s. Servers drop a
// repeat of the work's key for 6 s.
func workTwice(r *rig) {
	v := newReceivers(r)
	var hosts []*host
	var entries []entry
	for i := range 6 {
		h := newHost(r, fmt.Sprintf("s-%02d", i), 80*time.Millisecond)
		h.serve = v.serve
		h.quiet = true
		site := "sala-limon"
		if i == 5 {
			site = "sala-siquirres"
		}
		hosts = append(hosts, h)
		entries = append(entries, entry{Host: h.name, Dial: h.addr, Site: site, Class: "basica-2n", Block: i / 3, Health: "up", Share: 1, Build: 42})
	}
	d, p := newDiscovery(r, entries), newPlatform(r, "42 3 released 1")
	settings := r.startRegistrars()
	var addrs []string
	for i := range 2 {
		addr := freeAddr()
		zone := []string{"sala-limon", "sala-siquirres"}[i]
		router := r.startRouter(fmt.Sprintf("n%d", i), addr, limonSettings(i, 2, zone), d, p, " --settings "+settings)
		r.waitReady(router, addr)
		addrs = append(addrs, addr)
	}
	for _, addr := range addrs {
		cs := &clients{r: r, addr: addr, limit: 600 * time.Millisecond, done: func(outcome) {}}
		go pace(10, 100*time.Second, func() { cs.send(read, false) })
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		died := false
		v.onRun = func(h *host) {
			if died {
				return
			}
			died = true
			addr := h.addr
			h.die()
			r.note("host %s dies before it answers", h.name)
			go func() {
				e := entries[5]
				time.Sleep(2 * time.Second)
				e.Health = "removed"
				d.tell(e)
				time.Sleep(10 * time.Second)
				h.listen(addr)
				e.Health, e.BornMs = "up", time.Now().UnixMilli()
				r.note("host %s is back", h.name)
				time.Sleep(time.Second)
				d.tell(e)
			}()
		}
	}
	now := time.Now()
	file := r.writeJSON("work.json", []object{{"kind": "dispatch", "name": "sheet", "work": object{"site": "sala-siquirres", "class": "publicar-aviso",
		"target": "/api/sheet?board=7", "body": "sheet of board 7", "earliest_ms": now.UnixMilli(), "latest_ms": now.Add(60 * time.Second).UnixMilli(), "worth": 1, "took_ms": 100}}})
	if _, err := r.call("exec bin/merlinarch change "+file+" --author operator --reason 'nightly sheet' --settings "+settings, 20*time.Second); err != nil {
		r.unable("the work was not agreed")
	}
	wait := 8 * time.Second
	if r.trouble {
		wait = 64 * time.Second
	}
	for deadline := time.Now().Add(wait); time.Now().Before(deadline); time.Sleep(3 * time.Second) {
		out, _ := r.call("exec bin/merlinarch status --settings "+settings, 10*time.Second)
		if text := strings.Join(strings.Fields(out), " "); strings.Contains(text, "sheet done") || strings.Contains(text, "sheet unknown") || strings.Contains(text, "sheet dropped") {
			time.Sleep(2 * time.Second)
			break
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for key, runs := range v.runs {
		for i := 1; i < len(runs); i++ {
			r.breach("%s ran again %v after its run before: sent after the time (%v) for which servers drop a repeat", key, runs[i].Sub(runs[i-1]), v.window)
		}
	}
	if len(v.runs) == 0 {
		r.unable("the work never ran")
	}
}
