// Command foreign drives case 1: second answers that come some milliseconds late, while the router has no descriptor for
// another connection to hosts.
package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"merlinarch.review/rig"
)

const (
	hostCount    = 50                     // half of them at each site
	perSecond    = 240                    // requests
	length       = 40 * time.Second       // of the run
	work         = 60 * time.Millisecond  // of a host for a request
	sameSite     = 200 * time.Microsecond // one way
	otherSite    = 2 * time.Millisecond   // one way
	secondShare  = 0.1                    // of the answers that are followed by a copy
	secondLeast  = 3 * time.Millisecond   // after the answer
	secondSpread = 4 * time.Millisecond
)

func main() {
	c := rig.New()
	var seconds, runs, foreignAnswers, served, other, unanswered atomic.Int64
	var entries []rig.Entry
	for i := range hostCount {
		name := fmt.Sprintf("s-%02d", i)
		h := c.StartHost(&rig.Host{
			Answer: func(a rig.Arrival) (string, bool) {
				runs.Add(1)
				c.LogAt(a.At, "host %s: runs %s", name, a.ID)
				time.Sleep(work)
				return "made for " + a.ID, true
			},
			SecondAnswer: func(a rig.Arrival) time.Duration {
				if !c.Trouble || rand.Float64() >= secondShare {
					return 0
				}
				seconds.Add(1)
				d := secondLeast + rand.N(secondSpread)
				c.Log("host %s: second answer for %s, %v after the first", name, a.ID, d)
				return d
			}})
		site, delay := "sala-limon", sameSite
		if i%2 == 1 {
			site, delay = "sala-siquirres", otherSite
		}
		entries = append(entries, rig.Entry{Host: name, Dial: c.StartLink(h.Addr(), delay), Site: site, Class: "basica-2n", Health: "up", Share: 1, Build: 42})
	}
	d := c.StartDiscovery("n0", entries)
	listen := c.FreePort()
	router := c.StartRouter("n0", rig.Object{"name": "n0", "listen": listen, "discovery": d.Addr(), "seed": "8c1f30d27a5be964",
		"limits":   rig.Object{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"pipeline": rig.Object{"address": c.StartPlatform(rig.State), "news": rig.News}, "known": d.List(), "settings": rig.LimonSettings(0, 1)}, "")
	c.WaitReady(router, listen)

	client := rig.NewClient()
	var work sync.WaitGroup
	begin := time.Now()
	for n := 0; time.Since(begin) < length; n++ {
		time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / perSecond)))
		id := fmt.Sprintf("t%06d", n)
		work.Go(func() {
			sent := time.Now()
			c.LogAt(sent, "client: %s sent", id)
			status, body, err := client.Send(listen, rig.Request{ID: id, Class: "ver-pizarra", Wait: 3 * time.Second})
			switch {
			case err != nil:
				unanswered.Add(1)
				c.Log("client: %s sent at %.3f: no answer: %v", id, sent.Sub(begin).Seconds(), err)
			case status == 200 && body != "made for "+id:
				foreignAnswers.Add(1)
				c.Log("client: %s got 200 with another request's answer: %q", id, strings.TrimSpace(body))
			case status == 200:
				served.Add(1)
				c.Log("client: %s got 200 with its own answer", id)
			default:
				other.Add(1)
				c.Log("client: %s got %d", id, status)
			}
		})
	}
	work.Wait()
	text := fmt.Sprintf("%d served right, %d served with the answer to another request, %d refused or failed, %d without an answer; hosts ran %d and sent %d second answers",
		served.Load(), foreignAnswers.Load(), other.Load(), unanswered.Load(), runs.Load(), seconds.Load())
	switch {
	case router.Ended():
		c.End(2, "the router ended; %s", text)
	case foreignAnswers.Load() > 0:
		c.End(1, "%s", text)
	case served.Load() < perSecond*int64(length.Seconds())/2:
		c.End(2, "too few were served: %s", text)
	}
	c.End(0, "%s", text)
}
