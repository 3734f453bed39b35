// Package hosts stands in for the servers behind the router, as the users' protocol has them: HTTP/1.1, a load
// report with any answer, and every way in which an attempt may end.
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

// Kind is how a request ends.
type Kind int

// Kinds of replies.
const (
	Served          Kind = iota // 200
	ServerError                 // 500: it may have run
	TurnedAway                  // 503 that says so: it has not run
	ConnectionReset             // the connection is reset
	Silent                      // nothing, until the router gives up
)

// Request is one attempt of a router, whole.
type Request struct {
	ID, Method, Target, DedupKey string
	Remaining                    time.Duration
	Body                         []byte
}

// Reply is what comes back.
type Reply struct {
	Kind Kind
	Body []byte // of an answer that is served
	Load string // the report's text; empty: none
}

// Handler answers one request; ctx ends when the router closes the connection.
type Handler func(ctx context.Context, q Request) Reply

// Server is one host at one address.
type Server struct {
	listen net.Listener
	http   http.Server
	done   chan struct{}
	once   sync.Once
	work   sync.WaitGroup
}

const maxBody = 64 << 10

// Listen starts a host at a loopback address; port 0 picks one.
func Listen(addr string, h Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("host: %w", err)
	}
	s := &Server{listen: l, done: make(chan struct{})}
	s.http.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, h) })
	s.work.Go(func() {
		if err := s.http.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			panic(err) // a defect of the stand-in: its listener is its own
		}
	})
	return s, nil
}

// Addr is where it listens.
func (s *Server) Addr() string { return s.listen.Addr().String() }

// Close ends the host as a dying process does: its connections are reset, new ones refused.
func (s *Server) Close() {
	s.once.Do(func() { close(s.done) })
	s.http.Close()
	s.work.Wait()
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, h Handler) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
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
	reply := h(r.Context(), q)
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

// reset ends a connection as a dying process does.
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
