// Command silent drives the case of watches of discovery that fall silent once, where routers have to ask for the list.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"merlinarch.review/rig"
)

const (
	routerCount = 3
	hostCount   = 6
	perSecond   = 20 // requests of a router
	before      = 4 * time.Second
	drainAfter  = 500 * time.Millisecond // from the silence
	told        = 6 * time.Second        // from the silence: what a silent watch misses counts as told
	grace       = time.Second            // drain_grace_ms
	slack       = 50 * time.Millisecond  // every time limit on sockets
	length      = 22 * time.Second       // from the silence
)

func main() {
	c := rig.New()
	var mu sync.Mutex
	var arrivals []time.Time // at the host that drains: when the first byte of each request arrived
	var ran, served atomic.Int64
	var entries []rig.Entry
	for i := range hostCount {
		name := fmt.Sprintf("s-%d", i)
		h := c.StartHost(&rig.Host{Answer: func(a rig.Arrival) (string, bool) {
			ran.Add(1)
			if i == 0 {
				mu.Lock()
				arrivals = append(arrivals, a.First)
				mu.Unlock()
			}
			time.Sleep(60 * time.Millisecond)
			return "board for " + a.ID, true
		}})
		entries = append(entries, rig.Entry{Host: name, Dial: h.Addr(), Site: "san-jose", Class: "std-1c", Health: "up", Share: 1, Build: 42})
	}
	platform := c.StartPlatform(rig.State)
	var routers []*rig.Process
	var lists []*rig.Discovery
	var addresses []string
	for i := range routerCount {
		name, listen := fmt.Sprintf("n%d", i), c.FreePort()
		d := c.StartDiscovery(name, entries)
		s := rig.Settings(i, routerCount)
		s["registry_mode"] = "subscribe"
		p := c.StartRouter(name, rig.Object{"name": name, "listen": listen, "discovery": d.Addr(), "seed": fmt.Sprintf("%d8c1f30d27a5be96", i+1),
			"limits":   rig.Object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
			"pipeline": rig.Object{"address": platform, "news": rig.News}, "known": d.List(), "settings": s}, "")
		routers, lists, addresses = append(routers, p), append(lists, d), append(addresses, listen)
	}
	for i, p := range routers {
		c.WaitReady(p, addresses[i])
	}
	time.Sleep(8 * time.Second) // until each router's first call, which it may spread over ask_within_ms
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i, addr := range addresses {
		clients.Go(func() {
			client, begin := rig.NewClient(), time.Now()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Until(begin.Add(time.Duration(n) * time.Second / perSecond))):
				}
				clients.Go(func() {
					if status, _, err := client.Send(addr, rig.Request{ID: fmt.Sprintf("t%d-%d", i, n), Class: "read-board", Wait: 5 * time.Second}); err == nil && status == 200 {
						served.Add(1)
					}
				})
			}
		})
	}
	time.Sleep(before)
	silence := time.Now()
	if c.Trouble {
		n := 0
		for _, d := range lists {
			n += d.SilenceOpenWatches()
		}
		silence = time.Now()
		c.Log("%d open watches fell silent", n)
		if n != routerCount {
			c.End(2, "%d of %d routers had a watch open", n, routerCount)
		}
	}
	time.Sleep(drainAfter)
	draining := entries[0]
	draining.Health = "draining"
	for _, d := range lists {
		d.Change(draining)
	}
	c.Log("s-0 drains")
	drained := time.Now()
	time.Sleep(time.Until(silence.Add(length)))
	close(stop)
	clients.Wait()
	limit := drained.Add(grace + slack)
	if c.Trouble {
		limit = silence.Add(told + grace + slack)
	}
	mu.Lock()
	defer mu.Unlock()
	late, early := 0, 0
	var last time.Time
	for _, at := range arrivals {
		switch {
		case at.After(limit):
			late, last = late+1, at
			c.LogAt(at, "host s-0: a request begins %.2f s after the limit", at.Sub(limit).Seconds())
		case at.Before(drained):
			early++
		}
	}
	for _, p := range routers {
		if p.Ended() {
			c.End(2, "router %s ended", p.Name)
		}
	}
	text := fmt.Sprintf("%d requests ran, %d were served; %d at s-0 before it drained", ran.Load(), served.Load(), early)
	switch {
	case early == 0:
		c.End(2, "s-0 got no request before it drained; %s", text)
	case late > 0:
		c.End(1, "%d requests began at s-0 after the limit, the last one %.1f s after it; %s", late, last.Sub(limit).Seconds(), text)
	}
	c.End(0, "none began at s-0 after the limit; %s", text)
}
