package servers

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"merlinarch/internal/accord"
	"merlinarch/internal/exchange"
	"merlinarch/internal/gateway"
	"merlinarch/logic"
)

// Start begins an attempt and returns at once; the returned function gives the attempt up. The attempt's Report is
// called once with the result.
func (p *Pool) Start(a gateway.Attempt) (cancel func()) {
	ctx, stop := context.WithDeadline(p.ctx, a.Deadline)
	p.work.Go(func() {
		defer stop()
		r := p.runAttempt(ctx, a)
		if r.EndedAt.IsZero() {
			r.EndedAt = time.Now()
		}
		a.Report(r)
	})
	return stop
}

// runAttempt runs one attempt to its end. By the time it returns, the connection is idle or closed, so that an attempt
// that was given up is no longer in progress on an open connection when the next one is sent.
func (p *Pool) runAttempt(ctx context.Context, a gateway.Attempt) gateway.Result {
	h, c, failure := p.getConn(ctx, a.Server)
	if c == nil {
		return failure
	}
	a.Exchange.BeginAttempt()
	r := p.sendAttempt(ctx, h, c, a)
	a.Exchange.EndAttempt(r.Outcome.MayHaveRun())
	return r
}

// sendAttempt writes an attempt to a connection and waits for its answer, unless the attempt must not be sent any more.
func (p *Pool) sendAttempt(ctx context.Context, h *host, c *conn, a gateway.Attempt) gateway.Result {
	// While the connection was being made, the request may have ended, its client left, or the host started to drain.
	if a.Exchange.Ended() || a.Exchange.Abandoned() || ctx.Err() != nil || !p.admitSend(h, a) {
		p.counters.Inc("attempts.given_up_unsent")
		p.putIdle(h, c)
		return gateway.Result{Outcome: logic.NotSent}
	}
	// On a busy machine it may take long until the close of a client is noticed elsewhere, so the kernel is asked now.
	if a.Exchange.ClientLeft != nil && a.Exchange.ClientLeft() {
		p.counters.Inc("attempts.client_left")
		p.putIdle(h, c)
		return gateway.Result{Outcome: logic.NotSent}
	}
	text, body := encodeRequest(a)
	r := p.execute(ctx, h, c, text, body, a.Exchange.DispatchID)
	if r.Outcome == logic.OK || r.AnswerBegun {
		p.recordAnswered(h, a)
	}
	return r
}

// getConn takes a server's idle connection or opens a new one. If it returns no connection, the result tells why. It is
// NotSent if there is no such server, this machine lacked something or the attempt's own time is over: ConnectFailed would
// count these against the host.
func (p *Pool) getConn(ctx context.Context, server logic.ServerID) (*host, *conn, gateway.Result) {
	h := p.lookup(server)
	if h == nil {
		return nil, nil, gateway.Result{Outcome: logic.NotSent}
	}
	if c := p.takeSettled(ctx, h); c != nil {
		return h, c, gateway.Result{}
	}
	c, err := p.connect(ctx, h)
	switch {
	case err == nil:
		return h, c, gateway.Result{}
	case errors.Is(err, errNoDescriptor) || errors.Is(err, errNotDialled) || ctx.Err() != nil:
		return h, nil, gateway.Result{Outcome: logic.NotSent}
	default:
		return h, nil, gateway.Result{Outcome: logic.ConnectFailed, ConnRefused: errors.Is(err, syscall.ECONNREFUSED)}
	}
}

// execute writes a request, text and then body, to a connection and waits for its answer. The outcome of a failure depends on the request's
// last byte: if the connection breaks before that is written, the request cannot have run; after it, it may have run.
// dispatchID names the planned work that the request is for; it is empty for a client's request and for a probe.
func (p *Pool) execute(ctx context.Context, h *host, c *conn, text, body []byte, dispatchID string) gateway.Result {
	var permit *accord.Permit
	if p.Gate != nil {
		var refused error
		entry := p.currentEntry(h)
		if permit, refused = p.Gate.Begin(entry.Name, entry.StartedUnixMs, dispatchID, c.abort); refused != nil {
			p.putIdle(h, c)
			return gateway.Result{Outcome: logic.NotSent, NoLease: errors.Is(refused, accord.ErrNoLease)}
		}
	}
	r, written, err := c.roundTrip(ctx, text, body, permit)
	if err == nil && r.reusable {
		p.putIdle(h, c)
	} else {
		p.discard(c)
	}
	switch {
	case !written && (errors.Is(err, accord.ErrNoLease) || errors.Is(err, accord.ErrCordoned) || errors.Is(err, accord.ErrWithdrawn)):
		return gateway.Result{Outcome: logic.NotSent, NoLease: errors.Is(err, accord.ErrNoLease)}
	case !written && ctx.Err() != nil: // the attempt was given up: not a failure of the host
		return gateway.Result{Outcome: logic.NotSent}
	case !written:
		return gateway.Result{Outcome: logic.ConnectFailed}
	case err == nil && outcomeOf(r) != logic.OK: // the body is not passed on
		r.allocation.free()
		return gateway.Result{Outcome: outcomeOf(r), Load: r.load}
	case err == nil:
		return gateway.Result{Outcome: logic.OK, Body: r.body, FreeBody: r.allocation.free, Load: r.load}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return gateway.Result{Outcome: logic.TimedOut, AnswerBegun: r.begunOK()}
	case ctx.Err() != nil:
		return gateway.Result{Outcome: logic.Cancelled, AnswerBegun: r.begunOK()}
	}
	p.counters.Inc("answers." + failureReason(err))
	return gateway.Result{Outcome: logic.Reset, AnswerBegun: r.begunOK()}
}

// failureReason returns the name under which the counters count an answer that cannot be used.
func failureReason(err error) string {
	switch {
	case errors.Is(err, errTooLarge):
		return "too_large"
	case errors.Is(err, errBudgetExhausted):
		return "no_room"
	case errors.Is(err, errMalformed), errors.Is(err, errTooManyInterim):
		return "malformed"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "stalled"
	default:
		return "cut_off"
	}
}

// outcomeOf maps the status of an answer to the outcome of its attempt, as the hosts' protocol defines it.
func outcomeOf(r response) logic.Outcome {
	switch {
	case r.status == http.StatusOK:
		return logic.OK
	case r.rejected && (r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout):
		return logic.Rejected
	default: // the request may have run
		return logic.ServerError
	}
}

// joinedBodyBytes is the size up to which a body is copied behind its head, so that one write sends both.
const joinedBodyBytes = 2 << 10

// encodeRequest returns the bytes of an attempt's request: the head, with a short body, and a longer body, which is not
// copied. Method, target, id, idempotency key and body are the client's, unchanged.
func encodeRequest(a gateway.Attempt) (text, body []byte) {
	m := a.Exchange.Message
	b := make([]byte, 0, 256+len(m.Target)+min(len(m.Body), joinedBodyBytes))
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "+serviceHost+"\r\n"+headerID+": "...)
	b = append(b, m.ID...)
	b = append(b, "\r\n"+headerRemaining+": "...)
	b = strconv.AppendInt(b, max(1, time.Until(a.Deadline).Milliseconds()), 10)
	if m.DedupKey != "" {
		b = append(b, "\r\n"+headerIdempotencyKey+": "...)
		b = append(b, m.DedupKey...)
	}
	if m.Method != http.MethodGet || len(m.Body) > 0 {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
	}
	b = append(b, "\r\n\r\n"...)
	if len(m.Body) > joinedBodyBytes {
		return b, m.Body
	}
	return append(b, m.Body...), nil
}

// Probe asks a server for its load and returns at once; report is called once with the result.
func (p *Pool) Probe(server logic.ServerID, report func(gateway.Result)) {
	p.work.Go(func() {
		ctx, stop := context.WithTimeout(p.ctx, p.limits.ProbeTimeout)
		defer stop()
		r := p.runProbe(ctx, server)
		r.EndedAt = time.Now()
		p.counters.Inc("probes.sent")
		report(r)
	})
}

// runProbe sends one probe. A load report in the answer's header takes precedence over one in its body.
func (p *Pool) runProbe(ctx context.Context, server logic.ServerID) gateway.Result {
	h, c, failure := p.getConn(ctx, server)
	if c == nil {
		return failure
	}
	r := p.execute(ctx, h, c, []byte("GET "+pathLoad+" HTTP/1.1\r\nHost: "+serviceHost+"\r\n\r\n"), nil, "")
	if r.Load == nil && r.Outcome == logic.OK {
		r.Load = parseLoad(string(r.Body))
	}
	exchange.Answer{FreeBody: r.FreeBody}.Release()
	return r
}
