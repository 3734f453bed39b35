// Command halves drives the case of clients that stop in the middle of a request and stay, by hundreds, beside usual clients.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"merlinarch.review/rig"
)

const (
	hostCount  = 15
	work       = 60 * time.Millisecond
	clients    = 60                     // usual ones, each with a kept connection
	pause      = 900 * time.Millisecond // of a usual client between an answer and its next request
	halves     = 400                    // clients that stop in the middle, once each
	before     = 3 * time.Second        // until these come
	length     = 15 * time.Second       // of the run from then on
	overdue    = 550 * time.Millisecond // after a request's time: half a second, and 50 ms for a limit on sockets
	patience   = 4 * time.Second        // after a request's time, until the client stops looking for an answer
	owedWithin = 3 * time.Second        // what the clients that stop are owed an error or a close in
)

func main() {
	c := rig.New()
	var entries []rig.Entry
	for i := range hostCount {
		h := c.StartHost(&rig.Host{Answer: func(a rig.Arrival) (string, bool) {
			c.LogAt(a.At, "host s-%02d: runs %s", i, a.ID)
			time.Sleep(work)
			return "board for " + a.ID, true
		}})
		entries = append(entries, rig.Entry{Host: fmt.Sprintf("s-%02d", i), Dial: h.Addr(), Site: "sala-limon", Class: "basica-2n", Health: "up", Share: 1, Build: 42})
	}
	d, listen := c.StartDiscovery("n0", entries), c.FreePort()
	router := c.StartRouter("n0", rig.Object{"name": "n0", "listen": listen, "discovery": d.Addr(), "seed": "8c1f30d27a5be964",
		"limits":   rig.Object{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"pipeline": rig.Object{"address": c.StartPlatform(rig.State), "news": rig.News}, "known": d.List(), "settings": rig.LimonSettings(0, 1)}, "")
	c.WaitReady(router, listen)

	begin := time.Now()
	end := begin.Add(before + length)
	var ended, endedLate atomic.Int64
	if c.Trouble {
		for k := range halves {
			go func() {
				time.Sleep(before)
				id := fmt.Sprintf("half-%d", k)
				c.Log("client: %s connects, sends half a request and stays", id)
				stopInTheMiddle(listen, id, func(took time.Duration, got string) {
					c.Log("client: %s got %q after %v", id, got, took.Round(time.Millisecond))
					ended.Add(1)
					if took > owedWithin {
						endedLate.Add(1)
					}
				})
			}()
		}
	}
	var served, refused, late, never, closed atomic.Int64
	var all sync.WaitGroup
	for k := range clients {
		all.Go(func() {
			time.Sleep(time.Duration(k) * pause / clients)
			kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
			for n := 0; time.Now().Before(end); n++ {
				class, wait := "ver-aviso", 1200*time.Millisecond
				if (k+n)%2 == 0 {
					class, wait = "ver-pizarra", 3*time.Second
				}
				id := fmt.Sprintf("t%d-%d", k, n)
				c.Log("client: %s sent (%s, waits %v)", id, class, wait)
				status, took, err := send(kept, listen, id, class, wait)
				if err == nil && took <= wait+overdue {
					c.Log("client: %s got %d after %v", id, status, took.Round(time.Millisecond))
				}
				switch {
				case err == nil && took <= wait+overdue && status == 200:
					served.Add(1)
				case err == nil && took <= wait+overdue:
					refused.Add(1)
				case err == nil:
					late.Add(1)
					c.Log("client: %s (%s, %v) got %d only %v after its last byte", id, class, wait, status, took.Round(time.Millisecond))
				case took > wait+overdue:
					never.Add(1)
					c.Log("client: %s (%s, %v) got no answer in %v: %v", id, class, wait, took.Round(time.Millisecond), err)
				default: // the connection closed between requests; the client would send it again
					closed.Add(1)
					c.Log("client: %s: %v", id, err)
				}
				time.Sleep(pause)
			}
		})
	}
	all.Wait()
	text := fmt.Sprintf("%d served in time, %d refused or failed in time, %d closed; %d answered over %v after their time, %d not answered in %v after it; %d half requests ended, %d of them after over %v",
		served.Load(), refused.Load(), closed.Load(), late.Load(), overdue, never.Load(), patience, ended.Load(), endedLate.Load(), owedWithin)
	switch {
	case router.Ended():
		c.End(2, "the router ended; %s", text)
	case late.Load()+never.Load() > 0:
		c.End(1, "%s", text)
	case served.Load() < 100:
		c.End(2, "too few were served: %s", text)
	}
	c.End(0, "%s", text)
}

// stopInTheMiddle sends half a request, stays until it gets an error or a close, and tells how long that took from connecting.
func stopInTheMiddle(addr, id string, done func(took time.Duration, got string)) {
	at := time.Now()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /api HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: publicar-aviso\r\nX-Remaining-Ms: 3000\r\nIdempotency-Key: k-%s\r\nContent-Length: 212\r\n\r\nhalf a notice", id, id)
	answer := make([]byte, 1024)
	n, _ := conn.Read(answer) // the error or the end
	first, _, _ := strings.Cut(string(answer[:n]), "\r\n")
	done(time.Since(at), first)
	io.Copy(io.Discard, conn)
}

// send sends a request and returns the answer's status, and the time from the request's last byte to the answer or to when the
// client stopped looking for one.
func send(kept *http.Client, addr, id, class string, wait time.Duration) (int, time.Duration, error) {
	ctx, stop := context.WithTimeout(context.Background(), wait+patience)
	defer stop()
	var wrote atomic.Pointer[time.Time]
	now := time.Now()
	wrote.Store(&now)
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { now := time.Now(); wrote.Store(&now) }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodGet, "http://"+addr+"/api", strings.NewReader(""))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("X-Txn", id)
	req.Header.Set("X-Lane", class)
	req.Header.Set("X-Remaining-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := kept.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		return resp.StatusCode, time.Since(*wrote.Load()), err
	}
	return 0, time.Since(*wrote.Load()), err
}
