// Command planned drives the case of a piece of planned work whose first answer is lost: the hosts count how often it runs.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"merlinarch.review/rig"
)

const (
	site   = "heredia"
	window = 8 * time.Second       // for which the hosts of a site drop a repeat, as the settings say
	slack  = 50 * time.Millisecond // every time limit on sockets is longer by this
	work   = 3 * time.Second       // of a host for the planned work, and the operator's figure for it
	latest = 10 * time.Minute
	length = 45 * time.Second // of the observation
)

// sites holds what the hosts of each site know of keys.
type sites struct {
	mu       sync.Mutex
	ranAt    map[string]time.Time // by site and key: the last run
	runs     map[string][]time.Time
	arrivals int
}

// post answers a keyed request at a host: it runs it, or drops it as a repeat that the hosts of the site have run less than the
// window ago. With the trouble the answer to the first run of a key is lost.
func (s *sites) post(c *rig.Case, host, zone string, a rig.Arrival) (answer string, ok bool) {
	s.mu.Lock()
	s.arrivals++
	last, ran := s.ranAt[zone+a.Key]
	repeat := ran && a.At.Sub(last) < window+slack
	if !repeat {
		s.ranAt[zone+a.Key] = a.At
		s.runs[a.Key] = append(s.runs[a.Key], a.At)
	}
	n := len(s.runs[a.Key])
	s.mu.Unlock()
	if repeat {
		c.LogAt(a.At, "host %s (%s): drops %s %s, key %s, as a repeat", host, zone, a.ID, a.Target, a.Key)
		return "posted", true
	}
	c.LogAt(a.At, "host %s (%s): RUNS %s %s, key %s, run number %d", host, zone, a.ID, a.Target, a.Key, n)
	time.Sleep(work)
	if c.Trouble && n == 1 {
		c.Log("host %s (%s): the answer to %s is lost", host, zone, a.ID)
		return "", false
	}
	return "posted", true
}

func main() {
	c := rig.New()
	known := &sites{ranAt: map[string]time.Time{}, runs: map[string][]time.Time{}}
	var entries []rig.Entry
	for i := range 4 {
		name, zone := fmt.Sprintf("s-%d", i), []string{"san-jose", site}[i%2]
		h := c.StartHost(&rig.Host{Answer: func(a rig.Arrival) (string, bool) {
			if a.Key == "" {
				c.LogAt(a.At, "host %s (%s): runs %s", name, zone, a.ID)
				time.Sleep(60 * time.Millisecond)
				return "board for " + a.ID, true
			}
			text, ok := known.post(c, name, zone, a)
			if ok {
				c.Log("host %s (%s): answers %s", name, zone, a.ID)
			}
			return text, ok
		}})
		entries = append(entries, rig.Entry{Host: name, Dial: h.Addr(), Site: zone, Class: "std-1c", Health: "up", Share: 1, Build: 42})
	}
	settings, _ := c.StartRegistrars(nil)
	platform := c.StartPlatform(rig.State)
	var routers []*rig.Process
	var addresses []string
	for i, zone := range []string{"san-jose", site} {
		name, listen := fmt.Sprintf("n%d", i), c.FreePort()
		d := c.StartDiscovery(name, entries)
		s := rig.Settings(i, 2)
		s["zone"] = zone
		p := c.StartRouter(name, rig.Object{"name": name, "listen": listen, "discovery": d.Addr(), "seed": fmt.Sprintf("8c1f30d27a5be96%d", i),
			"limits":   rig.Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"pipeline": rig.Object{"address": platform, "news": rig.News}, "known": d.List(), "settings": s}, "--settings "+settings)
		routers, addresses = append(routers, p), append(addresses, listen)
	}
	for i, p := range routers {
		c.WaitReady(p, addresses[i])
	}
	// Some ordinary requests, so that the sites are seen to be up.
	stop := make(chan struct{})
	for i, addr := range addresses {
		go func() {
			client := rig.NewClient()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				id := fmt.Sprintf("b%d-%d", i, n)
				c.Log("client: %s sent", id)
				status, _, err := client.Send(addr, rig.Request{ID: id, Class: "read-board", Wait: 5 * time.Second})
				c.Log("client: %s got %d (%v)", id, status, err)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	now := time.Now()
	work := []rig.Object{{"kind": "dispatch", "name": "sheet-1", "work": rig.Object{"site": site, "class": "post-notice", "target": "/api/sheets", "body": "the nightly sheet",
		"earliest_ms": now.UnixMilli(), "latest_ms": now.Add(latest).UnixMilli(), "worth": 5.0, "took_ms": float64(work.Milliseconds())}}}
	text, err := json.Marshal(work)
	c.Must(err)
	path := filepath.Join(c.Dir, "work.json")
	c.Must(os.WriteFile(path, text, 0o600))
	if out, err := c.Command("change", path, "--settings", settings, "--author", "operator", "--reason", "the nightly sheet"); err != nil {
		c.End(2, "the planned work was not agreed: %s", out)
	}
	const key = "dispatch-sheet-1"
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		known.mu.Lock()
		n := len(known.runs[key])
		known.mu.Unlock()
		if n > 1 {
			break
		}
	}
	time.Sleep(time.Second)
	c.Command("status", "--settings", settings)
	close(stop)
	known.mu.Lock()
	defer known.mu.Unlock()
	runs := known.runs[key]
	for _, p := range routers {
		if p.Ended() {
			c.End(2, "router %s ended", p.Name)
		}
	}
	switch {
	case len(runs) == 0:
		c.End(2, "the work never ran")
	case len(runs) > 1:
		c.End(1, "the work ran %d times; run 2 came %.1f s after run 1, and the hosts drop repeats for %v", len(runs), runs[1].Sub(runs[0]).Seconds(), window)
	}
	c.End(0, "the work ran once, by %d attempts", known.arrivals)
}
