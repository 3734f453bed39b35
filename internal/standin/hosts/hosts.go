// Package hosts is a test double of the hosts behind the router. It speaks the users' protocol: HTTP/1.1, an optional
// load report with each answer, and every way in which an attempt may end.
package hosts

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Kind is how an attempt ends.
type Kind int

// The kinds of replies.
const (
	Served          Kind = iota // 200
	ServerError                 // 500: the request may have run
	TurnedAway                  // 503 with X-Turned-Away: the request has not run
	ConnectionReset             // the connection is reset without an answer
	Silent                      // no answer until the router gives up or the host closes; then the connection is reset
)

// Request is one attempt of a router, with its complete body.
type Request struct {
	ID, Method, Target, DedupKey string
	Remaining                    time.Duration
	Body                         []byte
}

// Reply is what the host sends back.
type Reply struct {
	Kind Kind
	Body []byte // body of a Served answer
	Load string // text of the load report; empty: no report
}

// Handler decides the reply to one request; ctx ends when the router closes the connection.
type Handler func(ctx context.Context, q Request) Reply

// Server is one host that listens on one address.
type Server struct {
	listen net.Listener
	http   http.Server
	done   chan struct{}
	once   sync.Once
	work   sync.WaitGroup
}

const maxBodyBytes = 64 << 10

// Listen starts a host that listens on addr; port 0 picks a free port.
func Listen(addr string, handler Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("host: %w", err)
	}
	s := &Server{listen: l, done: make(chan struct{})}
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, handler) })
	s.work.Go(func() {
		if err := s.http.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(err) // a defect of the test double: nothing else closes its listener
		}
	})
	return s, nil
}

// Addr returns the address that the host listens on.
func (s *Server) Addr() string { return s.listen.Addr().String() }

// Close ends the host as a crash does: its connections are closed at once and new ones are refused.
func (s *Server) Close() {
	s.once.Do(func() { close(s.done) })
	s.http.Close()
	s.work.Wait()
}

// serve reads a request and sends the reply that the handler decides.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, handler Handler) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body", http.StatusBadRequest)
		return
	}
	remaining, err := strconv.Atoi(r.Header.Get("X-Remaining-Ms"))
	q := Request{ID: r.Header.Get("X-Txn"), Method: r.Method, Target: r.RequestURI,
		DedupKey: r.Header.Get("Idempotency-Key"), Remaining: time.Duration(remaining) * time.Millisecond, Body: body}
	if err != nil || q.ID == "" {
		http.Error(w, "no id", http.StatusNotFound)
		return
	}
	reply := handler(r.Context(), q)
	if reply.Load != "" {
		w.Header().Set("X-Pressure", reply.Load)
	}
	switch reply.Kind {
	case Served:
		w.Header().Set("Content-Length", strconv.Itoa(len(reply.Body)))
		w.Write(reply.Body)
	case ServerError:
		http.Error(w, "failed", http.StatusInternalServerError)
	case TurnedAway:
		w.Header().Set("X-Turned-Away", "1")
		http.Error(w, "turned away", http.StatusServiceUnavailable)
	case Silent:
		select {
		case <-r.Context().Done():
		case <-s.done:
		}
		reset(w)
	default:
		reset(w)
	}
}

// reset closes a connection with a TCP reset, as the kernel does for a crashed process.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
