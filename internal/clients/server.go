// Package clients is the client side of the router. It runs net/http's server, rejects invalid requests, submits the
// others to the gateway and writes exactly one final answer to each. It also manages the connections from clients, and
// drains them on shutdown.
package clients

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/exchange"
	"merlinarch/internal/memory"
	"merlinarch/internal/metrics"
	"merlinarch/internal/sockstat"
	"merlinarch/logic"
)

// Gateway carries requests out and finishes their exchanges.
type Gateway interface {
	// Submit starts an exchange. If it returns an error, nothing was sent for the request.
	Submit(*exchange.Exchange) error
	// Abandon reports that nobody waits for the exchange's answer any longer.
	Abandon(*exchange.Exchange)
	// Ready reports whether requests can be forwarded.
	Ready() bool
}

// UsageRecorder records the use of final answers in the ledger. None of its methods decides where a request goes or how it
// ends.
type UsageRecorder interface {
	// Count makes an answer's use durable before the answer is written, or gives up when ctx ends. The caller calls the
	// returned function once the last byte is written.
	Count(ctx context.Context, f exchange.Fields, a exchange.Answer) (written func())
	// Refusing reports whether new requests have to be refused because their use could not be recorded.
	Refusing() bool
}

// LeaseGate reports whether the dispatcher's lease (a read lease on the replicated configuration) allows requests to be
// forwarded.
type LeaseGate interface {
	// Refusing reports whether new requests have to be refused because the dispatcher holds no valid lease.
	Refusing() bool
}

// Server serves requests from clients.
type Server struct {
	UsageRecorder UsageRecorder // nil: use is not recorded; set before Serve
	LeaseGate     LeaseGate     // nil: no accord, so no lease is needed; set before Serve

	limits       config.Limits
	parser       *requestParser
	gateway      Gateway
	counters     *metrics.Registry
	log          *zap.Logger
	tracing      bool // the end of each request is logged
	http         *http.Server
	conns        *connTable
	openRequests atomic.Int64
	ids          *requestIDs

	closeAfterAnswers atomic.Bool               // set while draining: every answer closes its connection
	answerBy          atomic.Pointer[time.Time] // latest deadline of requests that arrive now; nil: only the client's own
	listener          atomic.Pointer[listener]
	acceptDone        chan struct{} // closed once no more connections are accepted
}

// New returns a server that Serve starts.
func New(limits config.Limits, settings logic.Settings, gateway Gateway, counters *metrics.Registry, log *zap.Logger) *Server {
	srv := &Server{limits: limits, parser: newRequestParser(limits, settings), gateway: gateway, counters: counters, log: log, tracing: log.Core().Enabled(zap.DebugLevel),
		conns: newConnTable(limits, counters, log), ids: newRequestIDs(limits.MaxWait), acceptDone: make(chan struct{})}
	errorLog, _ := zap.NewStdLogAt(log, zap.DebugLevel) // fails only for an unknown level
	// Without these timeouts, a client that sends nothing, or only part of a head or body, would hold a descriptor forever.
	// ReadTimeout runs from the start of the connection, or from the first byte of a later request, until the request has
	// been read. Idle connections are closed by conn.Read, which cuts off no request that the kernel has already received.
	srv.http = &http.Server{Handler: srv, MaxHeaderBytes: limits.MaxHead, ErrorLog: errorLog,
		ReadTimeout: limits.RequestReadTimeout, IdleTimeout: limits.ClientIdleTimeout,
		ConnState: srv.conns.onStateChange, ConnContext: withConn}
	return srv
}

// UseMemory replaces the memory budget of requests by one that the server side shares; to be called before Serve.
func (s *Server) UseMemory(budget *memory.Budget) { s.conns.memory = budget }

// Serve accepts and serves connections until Drain. It may be called only once.
func (s *Server) Serve(l net.Listener) error {
	defer close(s.acceptDone)
	limited := &listener{Listener: l, conns: s.conns}
	s.listener.Store(limited)
	if err := s.http.Serve(limited); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, errDrained) {
		return fmt.Errorf("serve clients: %w", err)
	}
	return nil
}

// Drain ends serving without losing a request. It goes on as before for DrainDelay, while new connections may still come,
// then closes connections between requests, accepts what is in the backlog, and waits until all requests that were
// received on any connection have been answered. It returns an error if requests are still open after DrainTimeout.
func (s *Server) Drain() error {
	started := time.Now()
	time.Sleep(s.limits.DrainDelay)
	// net/http's Shutdown is not used: it closes every connection that it considers idle at once, even if a request has
	// arrived on it and is not yet read. Instead, each answer closes its connection from here on, and the reader of any
	// other connection closes it only if nothing has arrived.
	s.closeAfterAnswers.Store(true)
	for closeUntil := started.Add(s.limits.DrainCloseUntil); time.Now().Before(closeUntil); s.evictInactive() {
	}
	// Clients go on sending requests on connections that stay open, but the process may be killed once KillAfter is over.
	// So requests that arrive now are answered before then.
	answerBy := started.Add(s.limits.KillAfter)
	s.answerBy.Store(&answerBy)
	if l := s.listener.Load(); l != nil {
		l.drainBacklog(s.limits.DrainCloseUntil)
	}
	for drainBy := time.Now().Add(s.limits.DrainTimeout); s.evictInactive() > 0 || s.isAccepting(); {
		if time.Now().Before(drainBy) {
			continue
		}
		if s.openRequests.Load() == 0 { // connections without a request don't delay the end
			break
		}
		s.http.Close()
		return fmt.Errorf("drain connections of clients: %d requests still open after %v", s.openRequests.Load(), s.limits.DrainTimeout)
	}
	return s.http.Close()
}

// isAccepting reports whether Serve has started and may still accept connections.
func (s *Server) isAccepting() bool {
	select {
	case <-s.acceptDone:
		return false
	default:
		return s.listener.Load() != nil
	}
}

// evictInactive evicts inactive connections and returns the number of open ones. Before it returns, it pauses for
// EvictIdleAfter, but at least for 1 ms.
func (s *Server) evictInactive() int {
	defer time.Sleep(max(s.limits.EvictIdleAfter, time.Millisecond))
	return s.conns.evictInactive()
}

// connKey is the context key under which a request's connection is stored.
type connKey struct{}

// withConn stores a connection in the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFrom returns the connection on which a request arrived.
func connFrom(ctx context.Context) *conn { return ctx.Value(connKey{}).(*conn) }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn := connFrom(r.Context()); !s.serveRequest(w, r, conn) {
		conn.countUnserved()
	}
}

// serveRequest answers one request, and reports whether a host has served it.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request, conn *conn) (served bool) {
	if reqErr := checkFraming(r); reqErr != nil {
		w.Header().Set("Connection", "close")
		s.reject(w, reqErr)
		return false
	}
	if r.URL.Path == pathReady {
		s.answerReady(w)
		return false
	}
	s.counters.Inc("requests.taken")
	defer conn.releaseBody()
	req, reqErr := s.readRequest(r, conn)
	openRequests := s.openRequests.Add(1) // incomplete requests don't count
	defer s.openRequests.Add(-1)
	if reqErr != nil {
		if reqErr.status == http.StatusRequestTimeout || reqErr.status == http.StatusServiceUnavailable {
			w.Header().Set("Connection", "close") // a part of the body is still to come
		}
		s.reject(w, reqErr)
		return false
	}
	if s.conns.mustCloseAfterAnswer(conn) {
		w.Header().Set("Connection", "close")
	}
	inTime := req.deadline.After(time.Now())
	if inTime && s.UsageRecorder != nil && s.UsageRecorder.Refusing() { // the refusal could not be recorded either
		s.counters.Inc("requests.refused_uncountable")
		s.writeAnswer(w, exchange.Answer{Status: exchange.Refused, RetryAfter: s.limits.RetryAfter})
		return false
	}
	if answer, unsent := s.answerUnsent(inTime, openRequests); unsent {
		s.recordAndAnswer(w, req, answer)
		return false
	}
	// Two requests with the same id would be taken for one request sent twice. The first goes on; the id may be used again
	// once its request has ended, unless that has run, or may have.
	if !s.ids.claim(req.message.ID) {
		s.reject(w, &requestError{http.StatusConflict, "a request with this id is open, or may run"})
		return false
	}
	answer, mayRun := s.awaitAnswer(r.Context(), req)
	defer answer.Release()
	s.ids.release(req.message.ID, mayRun)
	s.recordAndAnswer(w, req, answer)
	return answer.Status == exchange.Served
}

// answerReady answers the readiness check of the clients' front.
func (s *Server) answerReady(w http.ResponseWriter) {
	status := http.StatusOK
	if s.lacksLease() || !s.gateway.Ready() {
		status = http.StatusServiceUnavailable
	}
	s.writeResponse(w, status, nil)
}

// lacksLease reports whether new requests have to be refused for want of a lease.
func (s *Server) lacksLease() bool { return s.LeaseGate != nil && s.LeaseGate.Refusing() }

// clientRequest is a whole and valid request.
type clientRequest struct {
	message  exchange.Message
	fields   exchange.Fields
	deadline time.Time
}

// readRequest reads and checks a request. Its body is read even if the request is refused later: closing with unread bytes
// resets the connection, and the client may never see its answer.
func (s *Server) readRequest(r *http.Request, conn *conn) (req clientRequest, reqErr *requestError) {
	var wait time.Duration
	req.message, req.fields, wait, reqErr = s.parser.parseHead(r)
	if reqErr == nil {
		req.message.Body, reqErr = s.parser.readBody(r, conn.reserveForBody)
	}
	req.deadline = time.Now().Add(wait)
	// The client's time runs from the arrival of the request's last byte. A connection's first request may have waited long
	// in the kernel's backlog, and would otherwise be served after its client has given up.
	if conn.markFirstRequest() {
		unread := sockstat.SinceReceived(conn.Conn)
		s.counters.RecordMax("requests.worst_unread_us", unread)
		req.deadline = req.deadline.Add(-unread)
	}
	if answerBy := s.answerBy.Load(); answerBy != nil && req.deadline.After(*answerBy) {
		req.deadline = *answerBy
	}
	return req, reqErr
}

// answerUnsent returns the answer to a request that is not handed to the gateway, and false if it is to be. Nothing is sent
// for such a request, so that it can be refused whatever its class.
func (s *Server) answerUnsent(inTime bool, openRequests int64) (answer exchange.Answer, unsent bool) {
	refused := exchange.Answer{Status: exchange.Refused, RetryAfter: s.limits.RetryAfter}
	switch {
	case !inTime:
		s.counters.Inc("requests.over_when_read")
		return exchange.Answer{Status: exchange.TimedOut}, true
	case s.lacksLease(): // refused at once instead of waiting for a lease
		s.counters.Inc("requests.refused_without_lease")
		return refused, true
	case openRequests > int64(s.limits.MaxHeld):
		// Without this limit, the node could run out of memory or descriptors, crash and lose every open request.
		s.counters.Inc("requests.refused_full")
		return refused, true
	}
	return answer, false
}

// recordAndAnswer records the use of a final answer, if there is a recorder, and writes the answer. An answer that a client
// has received must still be counted after a crash, so its use is made durable first. The wait for that is bounded, so
// that a slow disk does not make the answer late.
func (s *Server) recordAndAnswer(w http.ResponseWriter, req clientRequest, answer exchange.Answer) {
	if s.tracing {
		s.log.Debug("request answered", zap.String("id", req.message.ID), zap.String("class", req.fields.Class),
			zap.Int("status", int(answer.Status)), zap.Int("attempts", answer.Attempts), zap.Duration("time_left", time.Until(req.deadline)))
	}
	if s.UsageRecorder == nil {
		s.writeAnswer(w, answer)
		return
	}
	_, ownMargin := s.limits.Margins(time.Until(req.deadline))
	ctx, stop := context.WithDeadline(context.Background(), req.deadline.Add(-ownMargin/2))
	defer stop()
	written := s.UsageRecorder.Count(ctx, req.fields, answer)
	s.writeAnswer(w, answer)
	written()
}

// reject answers an invalid request, which the gateway never gets.
func (s *Server) reject(w http.ResponseWriter, reqErr *requestError) {
	s.counters.Inc("requests.bad_" + strconv.Itoa(reqErr.status))
	if s.tracing {
		s.log.Debug("bad request", zap.Int("status", reqErr.status), zap.String("reason", reqErr.message))
	}
	s.writeResponse(w, reqErr.status, []byte(reqErr.message+"\n"))
}

// awaitAnswer submits a request to the gateway and returns the final answer. If a host, the event loop or the decisions
// hang, the node itself answers with a timeout shortly before the deadline. It reports in mayRun whether a second request with
// the same id would be one too many: a host may have run the request or may run it yet, and either it was given up, so that its
// client was not told, or its class may not simply be repeated.
func (s *Server) awaitAnswer(ctx context.Context, req clientRequest) (answer exchange.Answer, mayRun bool) {
	decisionMargin, ownMargin := s.limits.Margins(time.Until(req.deadline))
	ex := exchange.New(req.message, req.fields, req.deadline.Add(-decisionMargin))
	ex.ClientLeft = connFrom(ctx).leftSinceRequest
	if connFrom(ctx).clientLeft(ctx) {
		s.counters.Inc("requests.client_left")
		s.traceLeft(ex, "the connection ended before it was read")
		return exchange.Answer{Status: exchange.Failed}, false
	}
	if err := s.gateway.Submit(ex); err != nil {
		return exchange.Answer{Status: exchange.Refused}, false // nothing was sent for the request
	}
	ownAnswerTimer := time.NewTimer(time.Until(req.deadline) - ownMargin)
	defer ownAnswerTimer.Stop()
	clientGone, hangup := ctx.Done(), connFrom(ctx).hangupSignal()
	for {
		select {
		case <-ex.Done():
			answer = ex.Answer()
			return answer, ex.MayHaveRun() && (ex.Abandoned() || !s.parser.isSafe(req.fields.Class) && answer.Status != exchange.Refused)
		case <-clientGone:
			s.counters.Inc("requests.client_left")
			s.traceLeft(ex, "the connection ended")
			s.gateway.Abandon(ex)
			clientGone, hangup = nil, nil
		case <-hangup:
			s.counters.Inc("requests.client_left_unseen")
			s.traceLeft(ex, "its end can't be seen behind unread bytes")
			s.gateway.Abandon(ex)
			clientGone, hangup = nil, nil
		case <-ownAnswerTimer.C:
			if ex.Finish(exchange.Answer{Status: exchange.TimedOut}) {
				s.counters.Inc("requests.answered_by_node")
				s.traceLeft(ex, "its time is over")
				s.gateway.Abandon(ex)
			}
		}
	}
}

// traceLeft logs why nobody waits for a request's answer any longer.
func (s *Server) traceLeft(ex *exchange.Exchange, why string) {
	if s.tracing {
		s.log.Debug("request given up", zap.String("id", ex.Message.ID), zap.String("why", why))
	}
}

// writeAnswer counts a final answer and writes it.
func (s *Server) writeAnswer(w http.ResponseWriter, answer exchange.Answer) {
	status := http.StatusBadGateway
	switch answer.Status {
	case exchange.Served:
		status = http.StatusOK
		s.counters.Inc("answers.served")
	case exchange.Refused:
		status = http.StatusServiceUnavailable
		s.counters.Inc("answers.refused")
		if answer.RetryAfter > 0 {
			w.Header().Set("Retry-After", strconv.FormatFloat(answer.RetryAfter.Seconds(), 'f', -1, 64))
		}
	case exchange.TimedOut:
		status = http.StatusGatewayTimeout
		s.counters.Inc("answers.timed_out")
	default:
		s.counters.Inc("answers.failed")
	}
	s.writeResponse(w, status, answer.Body)
}

// writeResponse writes a whole response.
func (s *Server) writeResponse(w http.ResponseWriter, status int, body []byte) {
	w.Header()["Content-Type"] = nil // the host's content type is unknown, and net/http must not guess one
	if s.closeAfterAnswers.Load() {  // checked when the answer is written, so requests received before the drain count too
		w.Header().Set("Connection", "close")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		s.counters.Inc("answers.broken")
	}
}
