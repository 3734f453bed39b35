package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Arrival is a request that has arrived whole at a host.
type Arrival struct {
	ID, Key, Body, Target string
	First, At             time.Time // when its first and its last byte arrived
}

// Host is a stand-in of a host. It works on one request at a time for each connection.
type Host struct {
	l net.Listener
	// Answer returns the body of a 200 answer; ok false: no answer comes, and the connection stays open and silent.
	Answer func(a Arrival) (body string, ok bool)
	// SecondAnswer returns how long after an answer a second copy of it follows; zero: none comes. It comes only if nothing
	// has arrived on the connection by then.
	SecondAnswer func(a Arrival) time.Duration
}

// StartHost starts a host on a free port.
func (c *Case) StartHost(h *Host) *Host {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	h.l = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(conn)
		}
	}()
	return h
}

// Addr returns its address.
func (h *Host) Addr() string { return h.l.Addr().String() }

func (h *Host) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := time.Now()
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := Arrival{ID: req.Header.Get("X-Txn"), Key: req.Header.Get("Idempotency-Key"), Body: string(body), Target: req.RequestURI, First: first, At: time.Now()}
		if a.ID == "" {
			fmt.Fprint(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		text, ok := h.Answer(a)
		if !ok {
			io.Copy(io.Discard, r) // until the router closes it
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if h.SecondAnswer == nil {
			continue
		}
		if after := h.SecondAnswer(a); after > 0 {
			conn.SetReadDeadline(time.Now().Add(after))
			_, err := r.Peek(1)
			conn.SetReadDeadline(time.Time{})
			if ne, ok := err.(net.Error); ok && ne.Timeout() { // nothing else is waiting on the connection
				if _, err := io.WriteString(conn, answer); err != nil {
					return
				}
			}
		}
	}
}

// StartLink starts a link to an address that delays each direction by the given time. It returns its own address.
func (c *Case) StartLink(to string, delay time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	go func() {
		for {
			a, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b, err := net.Dial("tcp", to)
				if err != nil {
					a.Close()
					return
				}
				var both sync.WaitGroup
				both.Go(func() { relay(b, a, delay) })
				both.Go(func() { relay(a, b, delay) })
				both.Wait()
				a.Close()
				b.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// relay copies what comes from one connection to the other, later by the delay; an end is passed on as well.
func relay(to, from net.Conn, delay time.Duration) {
	type piece struct {
		at   time.Time
		data []byte
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			data := make([]byte, 16<<10)
			n, err := from.Read(data)
			pieces <- piece{time.Now().Add(delay), data[:n]}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.at))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	for range pieces {
	}
}
