// Package platform is a test double of the release platform. It speaks the platform's protocol of text lines, answers
// votes in the order in which they were sent, and announces states to connections that watch.
package platform

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Vote is one vote on a build's stage.
type Vote struct {
	Build, Stage int
	Verdict      string // blank, go, stay or stop
}

// State is the state of the newest build, as the protocol encodes it.
type State struct {
	Build, Stage int
	Phase        string // trial, rolling_back, released or withdrawn
	Cap          float64
	Age          time.Duration
}

// encode returns the state's fields as a line of the protocol has them.
func (s State) encode() string {
	return fmt.Sprintf("%d %d %s %g %d", s.Build, s.Stage, s.Phase, s.Cap, s.Age.Milliseconds())
}

// OK returns the answer to a vote that counts.
func OK(s State) string { return "OK " + s.encode() }

// Error returns the answer to a vote that does not count; word is BUSY, STALE, FAILED or SYNTAX.
func Error(word string) string { return "ERR " + word }

// Handler decides the answer to a vote. It calls reply at most once, from any goroutine.
type Handler func(v Vote, reply func(text string))

// Server is the release platform that one router connects to.
type Server struct {
	listen  net.Listener
	handler Handler
	work    sync.WaitGroup
	done    chan struct{}

	mu     sync.Mutex
	silent bool
	state  State
	conns  map[*conn]bool
}

// conn is one connection. An answer is written only after the answers to all earlier calls.
type conn struct {
	net.Conn
	answers chan chan string // in the order of the calls

	mu         sync.Mutex
	watching   bool
	unanswered int // number of calls without an answer
}

const (
	keepAlivePeriod = time.Second // how often watches get a keep-alive line
	maxPendingCalls = 1000
	maxLineBytes    = 8 << 10
)

// Listen starts a platform that listens on addr, with its first state; port 0 picks a free port.
func Listen(addr string, first State, h Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	s := &Server{listen: l, handler: h, done: make(chan struct{}), state: first, conns: map[*conn]bool{}}
	s.work.Go(s.accept)
	s.work.Go(s.sendKeepAlives)
	return s, nil
}

// Addr returns the address that the platform listens on.
func (s *Server) Addr() string { return s.listen.Addr().String() }

// Close stops the platform and closes its connections.
func (s *Server) Close() {
	close(s.done)
	s.listen.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.work.Wait()
}

// Announce sets the state and sends it to the connections that watch.
func (s *Server) Announce(state State) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.broadcast("* news " + state.encode())
}

// SetSilent makes the platform unresponsive, or responsive again. While it is silent, it still takes calls but sends no
// states and no keep-alives, and its handler is expected to give no replies. When the silence ends, connections with
// unanswered calls are closed, so that those calls are lost.
func (s *Server) SetSilent(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = on
	for c := range s.conns {
		c.mu.Lock()
		if !on && c.unanswered > 0 {
			c.Close()
		}
		c.mu.Unlock()
	}
}

// broadcast sends a line to all connections that watch, unless the platform is silent.
func (s *Server) broadcast(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.mu.Lock(); c.watching && !s.silent {
			c.write(line)
		}
		c.mu.Unlock()
	}
}

// write sends a line. It closes the connection if the client doesn't read it in time.
func (c *conn) write(line string) {
	c.SetWriteDeadline(time.Now().Add(keepAlivePeriod))
	if _, err := c.Write([]byte(line + "\r\n")); err != nil {
		c.Close()
	}
}

// sendKeepAlives sends a keep-alive line to the watches at intervals, so that clients see that the platform is alive.
func (s *Server) sendKeepAlives() {
	t := time.NewTicker(keepAlivePeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.broadcast("*")
		case <-s.done:
			return
		}
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listen.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				continue
			}
			return
		}
		tracked := &conn{Conn: c, answers: make(chan chan string, maxPendingCalls)}
		s.mu.Lock()
		s.conns[tracked] = true
		s.mu.Unlock()
		select {
		case <-s.done: // it was accepted while the platform closed
			c.Close()
		default:
		}
		s.work.Go(func() { s.serve(tracked) })
	}
}

// serve reads the calls of one connection; another goroutine writes their answers in order.
func (s *Server) serve(c *conn) {
	ended := make(chan struct{})
	s.work.Go(func() { s.writeAnswers(c, ended) })
	defer func() {
		close(ended)
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	lines := bufio.NewScanner(c)
	lines.Buffer(make([]byte, 0, 256), maxLineBytes)
	for lines.Scan() {
		text := strings.TrimRight(lines.Text(), "\r")
		slot := make(chan string, 1)
		c.mu.Lock()
		c.unanswered++
		c.mu.Unlock()
		select {
		case c.answers <- slot:
		case <-s.done:
			return
		}
		words := strings.Fields(text)
		switch {
		case text == "WATCH":
			s.mu.Lock()
			state := s.state
			s.mu.Unlock()
			slot <- "OK\r\n* news " + state.encode()
			c.mu.Lock()
			c.watching = true
			c.mu.Unlock()
		case len(words) == 4 && words[0] == "VOTE":
			build, err1 := strconv.Atoi(words[1])
			stage, err2 := strconv.Atoi(words[2])
			if err1 != nil || err2 != nil {
				slot <- Error("SYNTAX")
				continue
			}
			s.handler(Vote{build, stage, words[3]}, func(text string) { slot <- text })
		default:
			slot <- Error("SYNTAX")
		}
	}
}

// writeAnswers writes each answer after those to earlier calls, until the connection ends.
func (s *Server) writeAnswers(c *conn, ended <-chan struct{}) {
	for {
		select {
		case slot := <-c.answers:
			select {
			case text := <-slot:
				c.mu.Lock()
				c.write(text)
				c.unanswered--
				c.mu.Unlock()
			case <-ended:
				return
			}
		case <-ended:
			return
		}
	}
}
