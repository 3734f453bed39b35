// Command reissued drives the case of planned work that is withdrawn while a host still works on it, and requested again with
// another body under the same name.
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
	work   = 3 * time.Second // of a host for a sheet
	latest = 10 * time.Minute
	length = 40 * time.Second // of the observation
)

func main() {
	c := rig.New()
	var mu sync.Mutex
	arrived := map[string][]time.Time{} // by body
	var entries []rig.Entry
	for i := range 4 {
		name, zone := fmt.Sprintf("s-%d", i), []string{"san-jose", site}[i%2]
		h := c.StartHost(&rig.Host{Answer: func(a rig.Arrival) (string, bool) {
			if a.Key == "" {
				time.Sleep(60 * time.Millisecond)
				return "board for " + a.ID, true
			}
			mu.Lock()
			arrived[a.Body] = append(arrived[a.Body], a.At)
			mu.Unlock()
			c.LogAt(a.At, "host %s (%s): %s with key %s, body %q", name, zone, a.Target, a.Key, a.Body)
			time.Sleep(work)
			c.Log("host %s (%s): answers %s", name, zone, a.ID)
			return "posted", true
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
				client.Send(addr, rig.Request{ID: fmt.Sprintf("b%d-%d", i, n), Class: "read-board", Wait: 5 * time.Second})
			}
		}()
	}
	time.Sleep(3 * time.Second)
	submit := func(reason string, changes ...rig.Object) {
		text, err := json.Marshal(changes)
		c.Must(err)
		path := filepath.Join(c.Dir, "changes.json")
		c.Must(os.WriteFile(path, text, 0o600))
		if out, err := c.Command("change", path, "--settings", settings, "--author", "operator", "--reason", reason); err != nil {
			c.End(2, "%s: not agreed: %s", reason, out)
		}
	}
	sheet := func(body string) rig.Object {
		now := time.Now()
		return rig.Object{"kind": "dispatch", "name": "sheet-1", "work": rig.Object{"site": site, "class": "post-notice", "target": "/api/sheets", "body": body,
			"earliest_ms": now.UnixMilli(), "latest_ms": now.Add(latest).UnixMilli(), "worth": 5.0, "took_ms": float64(work.Milliseconds())}}
	}
	count := func(body string) int {
		mu.Lock()
		defer mu.Unlock()
		return len(arrived[body])
	}
	submit("the nightly sheet", sheet("first text"))
	for end := time.Now().Add(20 * time.Second); count("first text") == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			c.End(2, "the first text never arrived")
		}
	}
	if !c.Trouble { // the operator waits until it is done, and until hosts have forgotten its key
		time.Sleep(work + 10*time.Second)
	}
	submit("the text is wrong", rig.Object{"kind": "withdraw", "name": "sheet-1"})
	submit("the right text", sheet("second text"))
	for end := time.Now().Add(length); time.Now().Before(end) && count("second text") == 0; {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Second)
	out, _ := c.Command("status", "--settings", settings)
	close(stop)
	for _, p := range routers {
		if p.Ended() {
			c.End(2, "router %s ended", p.Name)
		}
	}
	if count("second text") == 0 {
		c.End(1, "no host got the second text in %v, and the status is: %s", length, out)
	}
	c.End(0, "both texts arrived")
}
