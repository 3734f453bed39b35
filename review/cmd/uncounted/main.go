// Command uncounted compares what the usage ledger holds with the answers that clients got from a router that is held up for
// less than 0.15 s now and then.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"merlinarch.review/rig"
)

const (
	rounds = 20
	each   = 10                     // requests of a round
	wait   = 480 * time.Millisecond // of the clients
	after  = 355 * time.Millisecond // from sending until the router is held up
	heldUp = 145 * time.Millisecond
)

func main() {
	c := rig.New()
	h := c.StartHost(&rig.Host{Answer: func(a rig.Arrival) (string, bool) {
		time.Sleep(time.Second) // longer than the clients wait
		return "board for " + a.ID, true
	}})
	var entries []rig.Entry
	for i := range 4 {
		entries = append(entries, rig.Entry{Host: fmt.Sprintf("s-%d", i), Dial: h.Addr(), Site: "san-jose", Class: "std-1c", Health: "up", Share: 1, Build: 42})
	}
	d, listen, file, settings := c.StartDiscovery("n0", entries), c.FreePort(), filepath.Join(c.Dir, "n0.ledger"), filepath.Join(c.Dir, "features.json")
	text, err := json.Marshal(rig.Object{"ledger": rig.Object{"file": file}})
	c.Must(err)
	c.Must(os.WriteFile(settings, text, 0o600))
	router := c.StartRouter("n0", rig.Object{"name": "n0", "listen": listen, "discovery": d.Addr(), "seed": "8c1f30d27a5be964",
		"limits":   rig.Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"pipeline": rig.Object{"address": c.StartPlatform(rig.State), "news": rig.News}, "known": d.List(), "settings": rig.Settings(0, 1)}, "--settings "+settings)
	c.WaitReady(router, listen)
	var answered, none atomic.Int64
	client := rig.NewClient()
	for round := range rounds {
		var clients sync.WaitGroup
		for k := range each {
			clients.Go(func() {
				id, at := fmt.Sprintf("t%d-%d", round, k), time.Now()
				status, _, err := client.Send(listen, rig.Request{ID: id, Class: "read-board", Wait: wait})
				c.Log("client: %s got %d after %v (%v)", id, status, time.Since(at).Round(time.Millisecond), err)
				if err == nil {
					answered.Add(1)
				} else {
					none.Add(1)
				}
			})
		}
		if c.Trouble {
			time.Sleep(after)
			router.Signal(syscall.SIGSTOP)
			time.Sleep(heldUp)
			router.Signal(syscall.SIGCONT)
		}
		clients.Wait()
	}
	router.Signal(syscall.SIGTERM)
	if !router.WaitFor(15 * time.Second) {
		c.End(2, "the router did not end after SIGTERM")
	}
	out, err := c.Command("ledger", "show", file, "--format", "json", "--config", filepath.Join(c.Dir, "n0.json"), "--settings", settings)
	c.Must(err)
	var view struct {
		Lines []struct {
			Requests int64 `json:"requests"`
		} `json:"lines"`
		Unconfirmed int64 `json:"unconfirmed"`
	}
	c.Must(json.Unmarshal([]byte(out), &view))
	counted := int64(0)
	for _, l := range view.Lines {
		counted += l.Requests
	}
	result := fmt.Sprintf("clients got %d answers and %d times none; the ledger has %d in its sums and %d unconfirmed", answered.Load(), none.Load(), counted, view.Unconfirmed)
	switch {
	case answered.Load() == 0:
		c.End(2, "%s", result)
	case counted+view.Unconfirmed < answered.Load():
		c.End(1, "%s", result)
	}
	c.End(0, "%s", result)
}
