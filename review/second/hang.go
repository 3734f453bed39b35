package main

import (
	"fmt"
	"sync"
	"time"
)

// registrarHang: the machines of one sala fall silent and are back three times in a minute, and then the sheets of the night
// are planned for them. The other sala has no trouble at all, and neither have the registrars and their network.
func registrarHang(r *rig) {
	const sheets, perChange = 280, 56
	v := newReceivers(r)
	var hosts []*host
	var entries []entry
	for i := range 8 {
		h := newHost(r, fmt.Sprintf("s-%02d", i), 50*time.Millisecond)
		h.serve, h.quiet = v.serve, true
		hosts = append(hosts, h)
		entries = append(entries, entry{Host: h.name, Dial: h.addr, Site: []string{"sala-limon", "sala-siquirres"}[i%2], Class: "basica-2n", Block: i / 4, Health: "up", Share: 1, Build: 42})
	}
	silent := func(on bool) {
		r.note("the machines of sala-siquirres are silent: %v", on)
		for i, h := range hosts {
			if i%2 == 1 {
				h.setSilent(on)
			}
		}
	}
	d, p := newDiscovery(r, entries), newPlatform(r, "42 3 released 1")
	settings := r.startRegistrars()
	registrars := r.procs[:3:3]
	var mu sync.Mutex
	type window struct{ served, refused, failed int }
	bySecond := [3]map[int]*window{}
	for i := range 3 {
		addr := freeAddr()
		router := r.startRouter(fmt.Sprintf("n%d", i), addr, limonSettings(i, 3, []string{"sala-limon", "sala-siquirres"}[i%2]), d, p, " --settings "+settings)
		r.waitReady(router, addr)
		bySecond[i] = map[int]*window{}
		cs := &clients{r: r, addr: addr, limit: 600 * time.Millisecond, done: func(o outcome) {
			mu.Lock()
			defer mu.Unlock()
			s := int(o.sent.Sub(r.start).Seconds())
			if bySecond[i][s] == nil {
				bySecond[i][s] = &window{}
			}
			switch o.status {
			case 200:
				bySecond[i][s].served++
			case 503, 429:
				bySecond[i][s].refused++
			default:
				bySecond[i][s].failed++
			}
		}}
		go pace(30, 104*time.Second, func() {
			cs.send(func(id string) request {
				return request{id: id, class: "ver-aviso", method: "GET", org: "canton-limon", waitMs: 1200}
			}, false)
		})
	}
	time.Sleep(3 * time.Second)
	for range 3 {
		if r.trouble {
			silent(true)
		}
		time.Sleep(7 * time.Second)
		if r.trouble {
			silent(false)
		}
		time.Sleep(13 * time.Second)
	}
	r.call("exec bin/merlinarch status --settings "+settings, 10*time.Second)
	planned := time.Now()
	for batch := range sheets / perChange {
		var c []object
		for i := range perChange {
			c = append(c, object{"kind": "dispatch", "name": fmt.Sprintf("sheet-%d", batch*perChange+i), "work": object{"site": "sala-siquirres",
				"class": "publicar-aviso", "target": "/api/s", "earliest_ms": planned.UnixMilli(), "latest_ms": planned.Add(20 * time.Hour).UnixMilli(), "worth": 1, "took_ms": 100}})
		}
		if !r.change(settings, c) {
			r.note("the change was not agreed within 20 s")
			break
		}
		if time.Since(planned) > 15*time.Second {
			break
		}
	}
	for time.Since(planned) < 35*time.Second {
		r.call("exec bin/merlinarch status --patience 8s --settings "+settings, 10*time.Second)
		time.Sleep(2 * time.Second)
	}
	for _, q := range registrars {
		if q.ended() {
			r.note("registrar %s ended: %s", q.name, r.tail(q))
			r.breach("registrar %s ended", q.name)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	attempts := map[int]int{} // of all routers, by second
	for _, h := range hosts {
		h.mu.Lock()
		for _, a := range h.attempts {
			attempts[int(a.at.Sub(r.start).Seconds())]++
		}
		h.mu.Unlock()
	}
	first, longest, run := int(planned.Sub(r.start).Seconds()), 0, 0
	for s := range int(time.Since(r.start).Seconds()) {
		line, all := fmt.Sprintf("second %d: attempts %d", s, attempts[s]), s >= first && attempts[s] == 0
		for i := range 3 {
			w := bySecond[i][s]
			if w == nil {
				w = &window{}
			}
			all = all && w.served == 0 && w.refused >= 15
			line += fmt.Sprintf("  n%d served %d refused %d failed %d", i, w.served, w.refused, w.failed)
		}
		r.note("%s", line)
		if run++; !all {
			run = 0
		}
		longest = max(longest, run)
	}
	v.mu.Lock()
	r.note("%d of %d sheets ran", len(v.runs), sheets)
	v.mu.Unlock()
	if longest >= 5 {
		r.breach("all three routers refused all that they got for %d s on end, with no attempt in between, and with all processes and the servers of both salas running", longest)
	}
}

// setSilent makes the host's machine silent, or ends that: while it is silent, it answers nothing; what came meanwhile is
// reset once it is back.
func (h *host) setSilent(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hanging = on
	if !on {
		for c := range h.conns {
			c.(interface{ SetLinger(int) error }).SetLinger(0)
			c.Close()
			delete(h.conns, c)
		}
	}
}
