package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// clockLost: the wall clock of one registrar's machine is an hour ahead. It comes to lead, as the one that led is killed, while
// planned work waits for its time.
func clockLost(r *rig) {
	v := newReceivers(r)
	var entries []entry
	for i := range 6 {
		h := newHost(r, fmt.Sprintf("s-%02d", i), 50*time.Millisecond)
		h.serve, h.quiet = v.serve, true
		entries = append(entries, entry{Host: h.name, Dial: h.addr, Site: []string{"sala-limon", "sala-siquirres"}[i%2], Class: "basica-2n", Block: i / 4, Health: "up", Share: 1, Build: 42})
	}
	d, p := newDiscovery(r, entries), newPlatform(r, "42 3 released 1")
	step := ""
	if r.trouble {
		step = "1h"
	}
	settings := r.startRegistrarsWith(map[string]string{"r3": step})
	for i := range 3 {
		addr := freeAddr()
		router := r.startRouter(fmt.Sprintf("n%d", i), addr, limonSettings(i, 3, []string{"sala-limon", "sala-siquirres"}[i%2]), d, p, " --settings "+settings)
		r.waitReady(router, addr)
	}
	time.Sleep(2 * time.Second)
	const sheets = 5
	earliest := time.Now().Add(65 * time.Second)
	latest := earliest.Add(20 * time.Second)
	var c []object
	for i := range sheets {
		c = append(c, object{"kind": "dispatch", "name": fmt.Sprintf("sheet-%d", i), "work": object{"site": "sala-siquirres", "class": "publicar-aviso", "target": "/api/sheet",
			"body": "b", "earliest_ms": earliest.UnixMilli(), "latest_ms": latest.UnixMilli(), "worth": 1, "took_ms": 100}})
	}
	leader := func() string {
		out, _ := r.call("exec bin/merlinarch status --patience 8s --settings "+settings, 10*time.Second)
		for _, n := range []string{"r1", "r2", "r3"} {
			if strings.Contains(out, "leader "+n+" ") {
				return n
			}
		}
		return ""
	}
	// The work is planned while a registrar with a right clock leads.
	kills := 0
	next := func(wanted bool) bool { // makes the lead go to r3, or away from it
		for ; kills < 12 && time.Until(earliest) > 8*time.Second; kills++ {
			l := leader()
			if l == "" {
				continue
			}
			if (l == "r3") == wanted {
				return true
			}
			r.note("%s leads and is killed", l)
			for i, q := range r.procs {
				if q.name == l && !q.ended() {
					q.signal(syscall.SIGKILL)
					<-q.done
					time.Sleep(2 * time.Second)
					r.restart(i)
					time.Sleep(time.Second)
					break
				}
			}
		}
		return false
	}
	if !next(false) {
		r.unable("r3 led all the time")
	}
	if !r.change(settings, c) {
		r.unable("the work was not agreed")
	}
	time.Sleep(3 * time.Second)
	if !next(true) {
		r.unable("r3 never led")
	}
	r.note("r3 leads")
	for time.Until(latest) > 0 {
		v.mu.Lock()
		n := len(v.runs)
		v.mu.Unlock()
		if n == sheets {
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.call("exec bin/merlinarch status --settings "+settings, 10*time.Second)
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.runs) < sheets {
		r.breach("%d of %d pieces of accepted work had not run when their time was over, though their servers were up from the first to the last moment", sheets-len(v.runs), sheets)
	}
}
