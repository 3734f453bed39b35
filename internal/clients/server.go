// Package clients is the router's side towards clients: net/http's server, bad input turned down, requests
// handed to the decisions, and one final answer for each.
package clients

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/exchange"
	"merlinarch/internal/metrics"
	"merlinarch/internal/sockstat"
	"merlinarch/logic"
)

// Gateway takes requests and finishes their exchanges.
type Gateway interface {
	Submit(*exchange.Exchange) error
	Abandon(*exchange.Exchange)
	Ready() bool // requests can be sent on
}

// Accounts counts final answers. None of its methods decides where a request goes or how it ends.
type UsageRecorder interface {
	// Count makes an answer's use durable before the answer goes out, or gives up when ctx ends; the function it
	// returns is to be called once the last byte is written.
	Count(ctx context.Context, f exchange.Fields, a exchange.Answer) (written func())
	// Refusing tells that nothing new may be taken, since it could not be counted.
	Refusing() bool
}

// Rules tells whether anything may be sent at all.
type LeaseGate interface {
	// Refusing tells that nothing new may be taken, since no lease on the agreed rules stands.
	Refusing() bool
}

// Server serves clients.
type Server struct {
	UsageRecorder UsageRecorder // nil: answers are not counted; to be set before Serve
	LeaseGate     LeaseGate     // nil: no accord; to be set before Serve

	limits  config.Limits
	reader  *reader
	gateway Gateway
	count   *metrics.Registry
	log     *zap.Logger
	http    *http.Server
	conns   *conns
	open    atomic.Int64
	ids     openIDs

	ending atomic.Bool               // each answer closes its connection
	last   atomic.Pointer[time.Time] // when requests that come now have to be answered at the latest; nil: as they say
	listen atomic.Pointer[listener]
	served chan struct{} // closed once nothing more is accepted
}

// New makes a server; Serve starts it.
func New(limits config.Limits, s logic.Settings, g Gateway, count *metrics.Registry, log *zap.Logger) *Server {
	srv := &Server{limits: limits, reader: newReader(limits, s), gateway: g, count: count, log: log,
		conns: newConns(limits, count), ids: openIDs{open: map[string]struct{}{}}, served: make(chan struct{})}
	errors, _ := zap.NewStdLogAt(log, zap.DebugLevel) // the level exists
	// Danger: who says nothing, half a head or half a body would hold a descriptor for ever. ReadTimeout runs from
	// the connection's start or a later request's first byte, and only until a request is whole; what ends an
	// idle connection is conn.Read, so that no request is cut that the kernel has taken.
	srv.http = &http.Server{Handler: srv, MaxHeaderBytes: limits.MaxHead, ErrorLog: errors,
		ReadTimeout: limits.RequestReadTimeout, IdleTimeout: limits.ClientIdleTimeout,
		ConnState: srv.conns.state, ConnContext: withConn}
	return srv
}

// Serve takes connections until Drain; it is called once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.served)
	listen := &listener{Listener: l, conns: s.conns}
	s.listen.Store(listen)
	if err := s.http.Serve(listen); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, errDrained) {
		return fmt.Errorf("serve clients: %w", err)
	}
	return nil
}

// Drain ends serving without losing a request: it goes on as before while new connections may still come, takes what
// stands in the backlog, ends connections between requests, and waits for what was taken, on any of them.
func (s *Server) Drain() error {
	came := time.Now()
	time.Sleep(s.limits.DrainDelay)
	// Danger: net/http's Shutdown closes what it holds for idle at once, also under a request that has come and was not
	// read. Answers end their connections from here on, and others are ended by their readers, only where silent.
	s.ending.Store(true)
	for until := came.Add(s.limits.DrainCloseUntil); time.Now().Before(until); s.endSilent() {
	}
	// Danger: clients go on sending on what stays open, and the process may be ended from DrainKill on.
	last := came.Add(s.limits.KillAfter)
	s.last.Store(&last)
	if l := s.listen.Load(); l != nil {
		l.finish(s.limits.DrainCloseUntil)
	}
	for over := time.Now().Add(s.limits.DrainTimeout); s.endSilent() > 0 || s.accepting(); {
		if time.Now().Before(over) {
			continue
		}
		if s.open.Load() == 0 { // connections that bring no request hold nobody up
			break
		}
		s.http.Close()
		return fmt.Errorf("finish what was taken: %d requests open after %v", s.open.Load(), s.limits.DrainTimeout)
	}
	return s.http.Close()
}

// accepting tells that connections may still come.
func (s *Server) accepting() bool {
	select {
	case <-s.served:
		return false
	default:
		return s.listen.Load() != nil
	}
}

// endSilent ends silent connections, tells how many are left, and waits a moment.
func (s *Server) endSilent() int {
	defer time.Sleep(max(s.limits.EvictIdleAfter, time.Millisecond))
	return s.conns.endSilent()
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf is the connection that a request came on, or nil.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// openIDs are those of the requests that are being answered.
type openIDs struct {
	mu   sync.Mutex
	open map[string]struct{}
}

// claim takes an id, if no open request bears it.
func (o *openIDs) claim(id string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	_, taken := o.open[id]
	if !taken {
		o.open[id] = struct{}{}
	}
	return !taken
}

// release frees an id.
func (o *openIDs) release(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.open, id)
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if wrong := framed(r); wrong != nil {
		w.Header().Set("Connection", "close")
		s.turnDown(w, wrong)
		return
	}
	held := s.LeaseGate != nil && s.LeaseGate.Refusing()
	if r.URL.Path == pathReady {
		status := http.StatusOK
		if held || !s.gateway.Ready() {
			status = http.StatusServiceUnavailable
		}
		s.send(w, status, nil)
		return
	}
	s.count.Inc("requests.taken")
	full := s.open.Add(1) > int64(s.limits.MaxHeld)
	defer s.open.Add(-1)
	m, f, wait, wrong := s.reader.head(r)
	if wrong == nil {
		// The body is read for a refusal too. Danger: closing with bytes unread resets the connection, and
		// the client may never see its answer.
		m.Body, wrong = s.reader.body(r)
	}
	until := time.Now().Add(wait)
	// A request's time runs from its last byte. Danger: it may have stood in the kernel's backlog for long, and
	// would be served after its client has left.
	if c := connOf(r.Context()); c != nil && c.first() {
		unread := sockstat.SinceReceived(c.Conn)
		s.count.RecordMax("requests.worst_unread_us", unread)
		until = until.Add(-unread)
	}
	if wrong != nil {
		if wrong.status == http.StatusRequestTimeout {
			w.Header().Set("Connection", "close")
		}
		s.turnDown(w, wrong)
		return
	}
	if s.conns.starved() {
		w.Header().Set("Connection", "close")
	}
	if last := s.last.Load(); last != nil && until.After(*last) {
		until = *last
	}
	if !until.After(time.Now()) {
		s.count.Inc("requests.over_when_read")
		s.finish(w, f, exchange.Answer{Status: exchange.TimedOut}, until)
		return
	}
	if s.UsageRecorder != nil && s.UsageRecorder.Refusing() {
		s.count.Inc("requests.refused_uncountable")
		s.answer(w, exchange.Answer{Status: exchange.Refused, RetryAfter: s.limits.RetryAfter})
		return
	}
	if held { // what is given up is answered at once
		s.count.Inc("requests.refused_without_lease")
		s.finish(w, f, exchange.Answer{Status: exchange.Refused, RetryAfter: s.limits.RetryAfter}, until)
		return
	}
	if full {
		// Danger: out of memory or descriptors the node dies, and loses all that it holds. Nothing has been
		// sent for this request, so a refusal is in order whatever its class.
		s.count.Inc("requests.refused_full")
		s.finish(w, f, exchange.Answer{Status: exchange.Refused, RetryAfter: s.limits.RetryAfter}, until)
		return
	}
	// Danger: two requests of one id, out at a time, pass for one that was sent twice. The first goes on; the id
	// of one that has ended may come again.
	if !s.ids.claim(m.ID) {
		s.turnDown(w, &problem{http.StatusConflict, "a request with this id is open"})
		return
	}
	a := s.wait(r.Context(), m, f, until)
	defer a.Release()
	s.ids.release(m.ID)
	s.finish(w, f, a, until)
}

// finish counts a final answer where that is wanted, and writes it. Danger: an answer that a client has received
// must be counted after a crash, so its use is durable first; but a slow disk must not make it late.
func (s *Server) finish(w http.ResponseWriter, f exchange.Fields, a exchange.Answer, until time.Time) {
	if s.UsageRecorder == nil {
		s.answer(w, a)
		return
	}
	_, last := s.limits.Margins(time.Until(until))
	ctx, stop := context.WithDeadline(context.Background(), until.Add(-last/2))
	defer stop()
	written := s.UsageRecorder.Count(ctx, f, a)
	s.answer(w, a)
	written()
}

// turnDown answers a request that can't be served, whatever the decisions.
func (s *Server) turnDown(w http.ResponseWriter, wrong *problem) {
	s.count.Inc("requests.bad_" + strconv.Itoa(wrong.status))
	s.log.Debug("bad request", zap.Int("status", wrong.status), zap.String("reason", wrong.text))
	s.send(w, wrong.status, []byte(wrong.text+"\n"))
}

// wait gets the final answer. Danger: a host, the loop or the decisions may hang; the node itself answers
// before the client's time is over.
func (s *Server) wait(gone context.Context, m exchange.Message, f exchange.Fields, until time.Time) exchange.Answer {
	answer, last := s.limits.Margins(time.Until(until))
	ex := exchange.New(m, f, until.Add(-answer))
	if err := s.gateway.Submit(ex); err != nil {
		return exchange.Answer{Status: exchange.Refused} // nothing was sent for it
	}
	over := time.NewTimer(time.Until(until) - last)
	defer over.Stop()
	left, unseen := gone.Done(), (<-chan struct{})(nil)
	if c := connOf(gone); c != nil {
		unseen = c.leaving()
	}
	for {
		select {
		case <-ex.Done():
			return ex.Answer()
		case <-left:
			s.count.Inc("requests.client_left")
			s.gateway.Abandon(ex)
			left, unseen = nil, nil
		case <-unseen:
			s.count.Inc("requests.client_left_unseen")
			s.gateway.Abandon(ex)
			left, unseen = nil, nil
		case <-over.C:
			if ex.Finish(exchange.Answer{Status: exchange.TimedOut}) {
				s.count.Inc("requests.answered_by_node")
				s.gateway.Abandon(ex)
			}
		}
	}
}

// answer writes the final answer, whole.
func (s *Server) answer(w http.ResponseWriter, a exchange.Answer) {
	status := http.StatusBadGateway
	switch a.Status {
	case exchange.Served:
		status = http.StatusOK
		s.count.Inc("answers.served")
	case exchange.Refused:
		status = http.StatusServiceUnavailable
		s.count.Inc("answers.refused")
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64))
		}
	case exchange.TimedOut:
		status = http.StatusGatewayTimeout
		s.count.Inc("answers.timed_out")
	default:
		s.count.Inc("answers.failed")
	}
	s.send(w, status, a.Body)
}

// send writes an answer whole.
func (s *Server) send(w http.ResponseWriter, status int, body []byte) {
	w.Header()["Content-Type"] = nil // the host's type is not known, and none is to be guessed
	if s.ending.Load() {             // whether or not it had begun when the request came
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.count.Inc("answers.broken")
	}
}
