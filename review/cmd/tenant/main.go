// Command tenant drives the case of a tenant that leaves: the usage that the ledger counted for it in periods that have closed
// is read before and after a restart with a configuration that no longer names it.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"merlinarch.review/rig"
)

const (
	leaving = "tibas" // the tenant that leaves
	period  = "2s"    // of the ledger
	grace   = "1s"    // until a period closes
	first   = 60      // requests of each tenant before the restart
	later   = 7000    // requests of the other tenants after it
)

// line is one line of `merlinarch ledger show --format json`.
type line struct {
	Period   string `json:"period"`
	Closed   bool   `json:"closed"`
	Tenant   string `json:"tenant"`
	Class    string `json:"class"`
	Outcome  string `json:"outcome"`
	Requests int    `json:"requests"`
}

func main() {
	c := rig.New()
	h := c.StartHost(&rig.Host{Answer: func(a rig.Arrival) (string, bool) { return "board for " + a.ID, true }})
	var entries []rig.Entry
	for i := range 4 {
		entries = append(entries, rig.Entry{Host: fmt.Sprintf("s-%d", i), Dial: h.Addr(), Site: "san-jose", Class: "std-1c", Health: "up", Share: 1, Build: 42})
	}
	d, listen, platform, file := c.StartDiscovery("n0", entries), c.FreePort(), c.StartPlatform(rig.State), filepath.Join(c.Dir, "n0.ledger")
	settings := filepath.Join(c.Dir, "features.json")
	text, err := json.Marshal(rig.Object{"ledger": rig.Object{"file": file, "period": period, "grace": grace}})
	c.Must(err)
	c.Must(os.WriteFile(settings, text, 0o600))
	all := []string{"desamparados", "alajuela-centro", leaving, "santa-ana"}
	start := func(tenants []string) *rig.Process {
		s := rig.Settings(0, 1)
		var orgs []rig.Object
		for _, t := range tenants {
			orgs = append(orgs, rig.Object{"name": t, "quota_rps": 20.0, "share": 1 / float64(len(tenants))})
		}
		s["orgs"] = orgs
		p := c.StartRouter("n0", rig.Object{"name": "n0", "listen": listen, "discovery": d.Addr(), "seed": "8c1f30d27a5be964",
			"limits":   rig.Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"pipeline": rig.Object{"address": platform, "news": rig.News}, "known": d.List(), "settings": s}, "--settings "+settings)
		c.WaitReady(p, listen)
		c.Log("serving with tenants %v", tenants)
		return p
	}
	stop := func(p *rig.Process) {
		p.Signal(syscall.SIGTERM)
		if !p.WaitFor(15 * time.Second) {
			c.End(2, "the router did not end after SIGTERM")
		}
	}
	// send sends requests of tenants in turn, one client each, and counts the answers of each tenant.
	send := func(tenants []string, each int) map[string]int {
		var mu sync.Mutex
		var clients sync.WaitGroup
		answered := map[string]int{}
		for _, t := range tenants {
			clients.Go(func() {
				client := rig.NewClient()
				for n := range each {
					status, _, err := client.Send(listen, rig.Request{ID: fmt.Sprintf("%s-%d-%d", t, each, n), Class: "read-board", Tenant: t, Wait: 5 * time.Second})
					if err == nil && status == 200 {
						mu.Lock()
						answered[t]++
						mu.Unlock()
					}
				}
			})
		}
		clients.Wait()
		return answered
	}
	// closedUsage reads the ledger and returns, for the closed periods up to the one given, the requests by period and tenant.
	closedUsage := func(until string) (lines map[string]int, last string) {
		out, err := c.Command("ledger", "show", file, "--format", "json", "--config", filepath.Join(c.Dir, "n0.json"), "--settings", settings)
		c.Must(err)
		var view struct{ Lines []line }
		c.Must(json.Unmarshal([]byte(out), &view))
		lines = map[string]int{}
		for _, l := range view.Lines {
			if l.Closed && (until == "" || l.Period <= until) {
				lines[l.Period+" "+l.Tenant+" "+l.Class+" "+l.Outcome] += l.Requests
				last = max(last, l.Period)
			}
		}
		return lines, last
	}

	p := start(all)
	answered := send(all, first)
	c.Log("answered with 200: %v", answered)
	time.Sleep(4 * time.Second) // until these periods have closed
	send(all[:1], 1)            // an answer in a later period, which closes them
	stop(p)
	before, last := closedUsage("")
	c.Log("closed periods up to %s: %s", last, show(before))
	if total(before, leaving) != answered[leaving] || answered[leaving] == 0 {
		c.End(2, "%s has %d answers and %d requests in closed periods", leaving, answered[leaving], total(before, leaving))
	}
	staying := all
	if c.Trouble {
		staying = []string{"desamparados", "alajuela-centro", "santa-ana"}
	}
	p = start(staying)
	c.Log("answered with 200: %v", send(staying[:2], later/2))
	stop(p)
	after, _ := closedUsage(last)
	c.Log("the same periods after the restart: %s", show(after))
	c.Command("ledger", "verify", file, "--config", filepath.Join(c.Dir, "n0.json"), "--settings", settings)
	p = start(all) // the tenant's name is in the settings again
	stop(p)
	again, _ := closedUsage(last)
	c.Log("the same periods with the first configuration: %s", show(again))
	c.Command("ledger", "verify", file, "--config", filepath.Join(c.Dir, "n0.json"), "--settings", settings)
	if show(before) != show(after) || show(before) != show(again) {
		c.End(1, "closed periods have changed: %s had %d requests in them, then %d, and %d with its name in the settings again", leaving,
			total(before, leaving), total(after, leaving), total(again, leaving))
	}
	c.End(0, "closed periods have not changed: %s", show(before))
}

// show writes usage in one line, in order.
func show(lines map[string]int) string {
	var out []string
	for k, n := range lines {
		out = append(out, fmt.Sprintf("%s: %d", k, n))
	}
	sort.Strings(out)
	return strings.Join(out, "; ")
}

// total returns the requests of one tenant.
func total(lines map[string]int, tenant string) (n int) {
	for k, requests := range lines {
		if strings.Fields(k)[1] == tenant {
			n += requests
		}
	}
	return n
}
