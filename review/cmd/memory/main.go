// Command memory watches the memory of a router with 32 MB and 1,024 descriptors beside bad clients by hundreds: some send
// heads without end, others send many requests at once.
package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"merlinarch.review/rig"
)

const (
	memoryMB = 32
	usual    = 60 // requests a second of usual clients
	heads    = 400
	posts    = 400
	before   = 3 * time.Second
	length   = 15 * time.Second
)

func main() {
	c := rig.New()
	answer := strings.Repeat("b", 16<<10)
	var entries []rig.Entry
	for i := range 15 {
		h := c.StartHost(&rig.Host{Answer: func(rig.Arrival) (string, bool) {
			time.Sleep(60 * time.Millisecond)
			return answer, true
		}})
		entries = append(entries, rig.Entry{Host: fmt.Sprintf("s-%02d", i), Dial: h.Addr(), Site: "sala-limon", Class: "basica-2n", Health: "up", Share: 1, Build: 42})
	}
	d, listen := c.StartDiscovery("n0", entries), c.FreePort()
	router := c.StartRouter("n0", rig.Object{"name": "n0", "listen": listen, "discovery": d.Addr(), "seed": "8c1f30d27a5be964",
		"limits":   rig.Object{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024},
		"pipeline": rig.Object{"address": c.StartPlatform(rig.State), "news": rig.News}, "known": d.List(), "settings": rig.LimonSettings(0, 1)}, "")
	c.WaitReady(router, listen)
	begin := time.Now()
	end := begin.Add(before + length)
	var served, other atomic.Int64
	client := rig.NewClient()
	go func() {
		for n := 0; time.Now().Before(end); n++ {
			time.Sleep(time.Until(begin.Add(time.Duration(n) * time.Second / usual)))
			go func() {
				if status, _, err := client.Send(listen, rig.Request{ID: fmt.Sprintf("t%d", n), Class: "ver-pizarra", Wait: 3 * time.Second}); err == nil && status == 200 {
					served.Add(1)
				} else {
					other.Add(1)
				}
			}()
		}
	}()
	if c.Trouble {
		for range heads {
			go func() {
				for time.Sleep(before); time.Now().Before(end); {
					endlessHead(listen, end)
				}
			}()
		}
		body := strings.Repeat("n", 64<<10)
		for k := range posts {
			go func() {
				time.Sleep(before)
				bad := rig.NewClient()
				for n := 0; time.Now().Before(end); n++ {
					bad.Send(listen, rig.Request{ID: fmt.Sprintf("p%d-%d", k, n), Class: "publicar-aviso", Key: fmt.Sprintf("p%d-%d", k, n), Wait: 3 * time.Second, Body: body})
				}
			}()
		}
	}
	worst, worstAnon := 0, 0
	for time.Now().Before(end) && !router.Ended() {
		time.Sleep(100 * time.Millisecond)
		resident, anonymous := memory(router.Pid())
		if resident > worst {
			c.Log("resident %d kB, of these anonymous %d kB", resident, anonymous)
		}
		worst, worstAnon = max(worst, resident), max(worstAnon, anonymous)
	}
	text := fmt.Sprintf("at most %d kB resident, %d kB of anonymous memory, where %d kB are allowed; %d usual requests served, %d not", worst, worstAnon, memoryMB<<10, served.Load(), other.Load())
	switch {
	case worst == 0:
		c.End(2, "the memory can't be read; %s", text)
	case worst > memoryMB<<10:
		c.End(1, "%s", text)
	}
	c.End(0, "%s", text)
}

// endlessHead sends a head that does not end, as far as it is read, and stays until the connection ends.
func endlessHead(addr string, end time.Time) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	defer conn.Close()
	conn.SetDeadline(end)
	fmt.Fprint(conn, "GET /api HTTP/1.1\r\nHost: app.svc\r\n")
	for i := range 19 {
		fmt.Fprintf(conn, "X-A%d: %s\r\n", i, strings.Repeat("a", 1000))
	}
	conn.Read(make([]byte, 1024))
}

// memory returns a process's resident memory and the anonymous part of it, in kB.
func memory(pid int) (resident, anonymous int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		n, _ := strconv.Atoi(words[1])
		switch words[0] {
		case "VmRSS:":
			resident = n
		case "RssAnon:":
			anonymous = n
		}
	}
	return resident, anonymous
}
