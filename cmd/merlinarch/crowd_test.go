package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Crowds of misbehaving clients. They run in a process of their own: in the test's process, hundreds of them would hold up
// the usual clients, whose requests a test judges, between their connecting and their writing.

// crowdVariable is the environment variable that makes the test binary run a crowd in place of tests; its value is a
// crowdOrder as JSON.
const crowdVariable = "MERLINARCH_TEST_CROWD"

// crowdOrder says which crowd a process runs.
type crowdOrder struct {
	Kind   string // a key of crowds
	Count  int    // of clients
	Listen string // the router's address
}

// startCrowd runs misbehaving clients of one kind in a process of their own, until the function that it returns is called.
func startCrowd(t *testing.T, listen string, count int, kind string) (stop func()) {
	t.Helper()
	order, err := json.Marshal(crowdOrder{Kind: kind, Count: count, Listen: listen})
	if err != nil {
		t.Fatal(err)
	}
	process := exec.Command(os.Args[0])
	process.Env = append(os.Environ(), crowdVariable+"="+string(order))
	process.Stderr = os.Stderr
	input, err := process.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	end := sync.OnceFunc(func() {
		input.Close()
		if err := process.Wait(); err != nil {
			t.Errorf("the process of the crowd: %v", err)
		}
	})
	t.Cleanup(end)
	return end
}

// crowdProcess runs the crowd that the environment asks for until standard input ends. It returns false if it asks for none.
func crowdProcess() bool {
	text := os.Getenv(crowdVariable)
	if text == "" {
		return false
	}
	var order crowdOrder
	if err := json.Unmarshal([]byte(text), &order); err != nil || crowds()[order.Kind] == nil {
		fmt.Fprintf(os.Stderr, "%s: bad order %q\n", crowdVariable, text)
		os.Exit(2)
	}
	runCrowd(order.Listen, order.Count, crowds()[order.Kind])
	io.Copy(io.Discard, os.Stdin)
	return true // the end of the process closes the connections
}

// crowdClient is one misbehaving client: it uses a fresh connection until it gets an error or the connection ends.
type crowdClient func(c net.Conn, id string)

// runCrowd runs misbehaving clients, each of which connects again as soon as its connection has ended, until the returned
// function is called.
func runCrowd(listen string, count int, client crowdClient) (stop func()) {
	done := make(chan struct{})
	var work sync.WaitGroup
	var mu sync.Mutex
	open, stopped := map[net.Conn]struct{}{}, false
	for k := range count {
		work.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				c, err := net.DialTimeout("tcp", listen, time.Second)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				mu.Lock()
				if stopped { // nobody would close this connection any more
					mu.Unlock()
					c.Close()
					return
				}
				open[c] = struct{}{}
				mu.Unlock()
				client(c, fmt.Sprintf("crowd%d-%d", k, n))
				mu.Lock()
				delete(open, c)
				mu.Unlock()
				c.Close()
			}
		})
	}
	return func() {
		close(done)
		mu.Lock()
		stopped = true
		for c := range open {
			c.Close()
		}
		mu.Unlock()
		work.Wait()
	}
}

// shortFields returns header fields with short names that are all different, n bytes in all.
func shortFields(n int) string {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%s:\n", strconv.FormatInt(int64(i), 36))
	}
	return b.String()
}

// awaitEnd reads until the connection ends.
func awaitEnd(c net.Conn) { io.Copy(io.Discard, c) }

// crowds are the kinds of misbehaving clients.
func crowds() map[string]crowdClient {
	const post = "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: post\r\nX-Remaining-Ms: 3000\r\nIdempotency-Key: %s\r\nContent-Length: 65536\r\n\r\n"
	fields, body := shortFields(15<<10), strings.Repeat("n", 64<<10)
	return map[string]crowdClient{
		"silent": func(c net.Conn, _ string) { awaitEnd(c) },
		"slow heads": func(c net.Conn, _ string) {
			io.WriteString(c, "GET /api HTTP/1.1\r\nX-A: ")
			for {
				if _, err := c.Write([]byte("a")); err != nil {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		},
		"long heads": func(c net.Conn, _ string) {
			io.WriteString(c, "GET /api HTTP/1.1\r\n"+strings.Repeat("X-A: "+strings.Repeat("a", 1000)+"\r\n", 15))
			awaitEnd(c)
		},
		"heads of short fields": func(c net.Conn, _ string) {
			io.WriteString(c, "GET /api HTTP/1.1\r\n"+fields)
			awaitEnd(c)
		},
		"complete heads of short fields": func(c net.Conn, id string) {
			fmt.Fprintf(c, "GET /api?slow HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n%s\r\n", id, fields)
			awaitAnswer(c)
		},
		"half bodies": func(c net.Conn, id string) {
			fmt.Fprintf(c, post, id, id)
			io.WriteString(c, body[:len(body)/2])
			awaitEnd(c)
		},
		"slow bodies": func(c net.Conn, id string) {
			fmt.Fprintf(c, post, id, id)
			for range 64 {
				if _, err := io.WriteString(c, body[:1<<10]); err != nil {
					return
				}
				time.Sleep(25 * time.Millisecond)
			}
			awaitAnswer(c)
		},
		"large posts": func(c net.Conn, id string) {
			fmt.Fprintf(c, post, id, id)
			io.WriteString(c, body)
			awaitAnswer(c)
		},
		"kept connections": func(c net.Conn, id string) {
			for n := 0; ; n++ {
				fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: %s-%d\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n\r\n", id, n)
				if !awaitAnswer(c) {
					return
				}
				time.Sleep(time.Second)
			}
		},
		"stalled readers": func(c net.Conn, id string) {
			c.(*net.TCPConn).SetReadBuffer(4 << 10)
			for i := range 100 {
				if _, err := fmt.Fprintf(c, "GET /api?large HTTP/1.1\r\nHost: x\r\nX-Txn: %s-%d\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n\r\n", id, i); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(10 * time.Second)
		},
		"unread answers": func(c net.Conn, id string) {
			for i := range 64 {
				if _, err := fmt.Fprintf(c, "GET /api?large HTTP/1.1\r\nHost: x\r\nX-Txn: %s-%d\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n\r\n", id, i); err != nil {
					return
				}
			}
			time.Sleep(2 * time.Second)
		},
	}
}

// awaitAnswer reads one answer, and reports whether there was one.
func awaitAnswer(c net.Conn) bool {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return err == nil
}
