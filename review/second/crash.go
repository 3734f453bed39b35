package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// change asks for changes of the rules by the project's command.
func (r *rig) change(settings string, changes []object) bool {
	file := r.writeJSON(fmt.Sprintf("change-%d.json", time.Now().UnixNano()), changes)
	_, err := r.call("exec bin/merlinarch change "+file+" --author op --reason sheets --settings "+settings, 20*time.Second)
	return err == nil
}

// registrarCrash: operators look at the status of the cluster again and again while planned work goes out.
func registrarCrash(r *rig) {
	const operators, pause = 10, 50 * time.Millisecond // as often as `cordon --wait` asks
	v := newReceivers(r)
	var entries []entry
	for i := range 8 {
		h := newHost(r, fmt.Sprintf("s-%02d", i), 20*time.Millisecond)
		h.serve, h.quiet = v.serve, true
		entries = append(entries, entry{Host: h.name, Dial: h.addr, Site: []string{"sala-limon", "sala-siquirres"}[i%2], Class: "basica-2n", Block: i / 4, Health: "up", Share: 1, Build: 42})
	}
	d, p := newDiscovery(r, entries), newPlatform(r, "42 3 released 1")
	settings := r.startRegistrars()
	registrars := r.procs[:3:3]
	var served, others atomic.Int64
	for i := range 3 {
		addr := freeAddr()
		router := r.startRouter(fmt.Sprintf("n%d", i), addr, limonSettings(i, 3, []string{"sala-limon", "sala-siquirres"}[i%2]), d, p, " --settings "+settings)
		r.waitReady(router, addr)
		cs := &clients{r: r, addr: addr, limit: 600 * time.Millisecond, done: func(o outcome) {
			if o.status == 200 {
				served.Add(1)
			} else {
				others.Add(1)
			}
		}}
		go pace(5, 112*time.Second, func() { cs.send(read, false) })
	}
	time.Sleep(time.Second)
	planned, withdrawn := 0, 0
	// replace withdraws the oldest pieces, which are done, and plans others.
	replace := func(old, next int) {
		var c []object
		for i := range old {
			c = append(c, object{"kind": "withdraw", "name": fmt.Sprintf("sheet-%d", withdrawn+i+1)})
		}
		now := time.Now()
		for i := range next {
			c = append(c, object{"kind": "dispatch", "name": fmt.Sprintf("sheet-%d", planned+i+1), "work": object{"site": []string{"sala-limon", "sala-siquirres"}[i%2],
				"class": "publicar-aviso", "target": "/api/s", "earliest_ms": now.UnixMilli(), "latest_ms": now.Add(10 * time.Minute).UnixMilli(), "worth": 1, "took_ms": 20}})
		}
		if r.change(settings, c) {
			withdrawn, planned = withdrawn+old, planned+next
		}
	}
	for range 4 {
		replace(0, 56)
	}
	stop := make(chan struct{})
	var looks atomic.Int64
	if r.trouble {
		for i := range operators {
			go func() {
				client := &http.Client{Timeout: 5 * time.Second}
				for at := i; ; {
					select {
					case <-stop:
						return
					case <-time.After(pause):
					}
					q, err := http.NewRequest("GET", "http://"+r.registrars[at%len(r.registrars)]+"/v1/status", nil)
					if err != nil {
						return
					}
					q.Header.Set("Content-Digest", "sha-256=:47DEQpj8HBSa+/TImW+5JCeuQeRkm5NMpJWZG3hSuFU=:") // of no body
					resp, err := client.Do(q)
					if err != nil {
						at++
						continue
					}
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						looks.Add(1)
					} else { // another registrar leads
						at++
					}
				}
			}()
		}
	}
	length := 105 * time.Second
	if !r.trouble {
		length = 35 * time.Second
	}
	for second := 0; time.Since(r.start) < length; second++ {
		time.Sleep(time.Second)
		for _, q := range registrars {
			if q.ended() {
				text := r.tailFrom(q, "fatal error")
				r.note("registrar %s ended by itself: %s", q.name, text)
				r.breach("registrar %s ended by itself: %s", q.name, strings.SplitN(text, "\n", 2)[0])
			}
		}
		v.mu.Lock()
		r.note("looks %d, pieces of work run %d of %d; requests served %d, others %d", looks.Load(), len(v.runs), planned, served.Load(), others.Load())
		ran := len(v.runs)
		v.mu.Unlock()
		if len(r.broken) > 0 {
			break
		}
		if second%3 == 2 && ran >= withdrawn+64 {
			replace(32, 32)
		}
	}
	close(stop)
}
