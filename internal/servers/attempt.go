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

// Start begins an attempt; the returned function gives it up.
func (p *Pool) Start(a gateway.Attempt) (cancel func()) {
	ctx, stop := context.WithDeadline(p.ctx, a.Deadline)
	p.work.Go(func() {
		defer stop()
		r := p.attempt(ctx, a)
		if r.EndedAt.IsZero() {
			r.EndedAt = time.Now()
		}
		a.Report(r)
	})
	return stop
}

// attempt runs one attempt to its end. By the time it returns, the connection is idle or closed. Danger: an
// attempt that was given up must not be out on an open connection when the next one leaves.
func (p *Pool) attempt(ctx context.Context, a gateway.Attempt) gateway.Result {
	h, c, failed := p.connection(ctx, a.Server)
	if c == nil {
		return failed
	}
	// Danger: the request may have ended, its client left, or the host begun to drain, while the connection was made.
	if a.Exchange.Ended() || a.Exchange.Abandoned() || ctx.Err() != nil || !p.leaves(h, a) {
		p.count.Inc("attempts.given_up_unsent")
		p.give(h, c)
		return gateway.Result{Outcome: logic.NotSent}
	}
	r := p.exchange(ctx, h, c, request(a), a.Exchange.DispatchID)
	if r.Outcome == logic.OK || r.AnswerBegun {
		p.answered(h, a)
	}
	return r
}

// connection finds a server's idle connection or makes one; without, the outcome tells why. Danger: short of
// descriptors, or when the attempt's own time is over, the node would blame the host.
func (p *Pool) connection(ctx context.Context, server logic.ServerID) (*host, *conn, gateway.Result) {
	h := p.lookup(server)
	if h == nil {
		return nil, nil, gateway.Result{Outcome: logic.NotSent}
	}
	if c := p.take(h); c != nil {
		return h, c, gateway.Result{}
	}
	c, err := p.connect(ctx, h)
	switch {
	case err == nil:
		return h, c, gateway.Result{}
	case errors.Is(err, errNoDescriptor) || ctx.Err() != nil:
		return h, nil, gateway.Result{Outcome: logic.NotSent}
	default:
		return h, nil, gateway.Result{Outcome: logic.ConnectFailed, ConnRefused: errors.Is(err, syscall.ECONNREFUSED)}
	}
}

// exchange writes a request and waits for its answer. The outcome turns on the last byte: a break before it
// is written proves that the request never ran, after it the request may have.
func (p *Pool) exchange(ctx context.Context, h *host, c *conn, text []byte, planned string) gateway.Result {
	var pass *accord.Permit
	if p.Gate != nil {
		var refused error
		as := p.listed(h)
		if pass, refused = p.Gate.Begin(as.Name, as.StartedUnixMs, planned, c.giveUp); refused != nil {
			p.give(h, c)
			return gateway.Result{Outcome: logic.NotSent, NoLease: errors.Is(refused, accord.ErrNoLease)}
		}
	}
	r, written, err := c.roundTrip(ctx, text, pass)
	if err == nil && r.reusable {
		p.give(h, c)
	} else {
		p.discard(c)
	}
	switch {
	case !written && (errors.Is(err, accord.ErrNoLease) || errors.Is(err, accord.ErrCordoned) || errors.Is(err, accord.ErrWithdrawn)):
		return gateway.Result{Outcome: logic.NotSent, NoLease: errors.Is(err, accord.ErrNoLease)}
	case !written && ctx.Err() != nil: // given up: the host is not to blame
		return gateway.Result{Outcome: logic.NotSent}
	case !written:
		return gateway.Result{Outcome: logic.ConnectFailed}
	case err == nil && outcome(r) != logic.OK: // its body is of no use
		r.room.free()
		return gateway.Result{Outcome: outcome(r), Load: r.load}
	case err == nil:
		return gateway.Result{Outcome: logic.OK, Body: r.body, FreeBody: r.room.free, Load: r.load}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return gateway.Result{Outcome: logic.TimedOut, AnswerBegun: r.good()}
	case ctx.Err() != nil:
		return gateway.Result{Outcome: logic.Cancelled, AnswerBegun: r.good()}
	}
	p.count.Inc("answers." + reason(err))
	return gateway.Result{Outcome: logic.Reset, AnswerBegun: r.good()}
}

// reason names why an answer can't be used, for the counters.
func reason(err error) string {
	switch {
	case errors.Is(err, errTooLarge):
		return "too_large"
	case errors.Is(err, errNoRoom):
		return "no_room"
	case errors.Is(err, errMalformed), errors.Is(err, errTooManyInterim):
		return "malformed"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "stalled"
	default:
		return "cut_off"
	}
}

// outcome reads the protocol's table of answers.
func outcome(r response) logic.Outcome {
	switch {
	case r.status == http.StatusOK:
		return logic.OK
	case r.notRun && (r.status == http.StatusServiceUnavailable || r.status == http.StatusGatewayTimeout):
		return logic.Rejected
	default: // it may have run
		return logic.ServerError
	}
}

// request writes an attempt's request. The message goes on as it came.
func request(a gateway.Attempt) []byte {
	m := a.Exchange.Message
	b := make([]byte, 0, 256+len(m.Target)+len(m.Body))
	b = append(b, m.Method...)
	b = append(b, ' ')
	b = append(b, m.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "+service+"\r\n"+headerID+": "...)
	b = append(b, m.ID...)
	b = append(b, "\r\n"+headerRemaining+": "...)
	b = strconv.AppendInt(b, max(1, time.Until(a.Deadline).Milliseconds()), 10)
	if m.DedupKey != "" {
		b = append(b, "\r\n"+headerDedup+": "...)
		b = append(b, m.DedupKey...)
	}
	if m.Method != http.MethodGet || len(m.Body) > 0 {
		b = append(b, "\r\nContent-Length: "...)
		b = strconv.AppendInt(b, int64(len(m.Body)), 10)
	}
	return append(append(b, "\r\n\r\n"...), m.Body...)
}

// Probe asks a server how it is.
func (p *Pool) Probe(server logic.ServerID, report func(gateway.Result)) {
	p.work.Go(func() {
		ctx, stop := context.WithTimeout(p.ctx, p.limits.ProbeTimeout)
		defer stop()
		r := p.probe(ctx, server)
		r.EndedAt = time.Now()
		p.count.Inc("probes.sent")
		report(r)
	})
}

func (p *Pool) probe(ctx context.Context, server logic.ServerID) gateway.Result {
	h, c, failed := p.connection(ctx, server)
	if c == nil {
		return failed
	}
	r := p.exchange(ctx, h, c, []byte("GET "+pathLoad+" HTTP/1.1\r\nHost: "+service+"\r\n\r\n"), "")
	if r.Load == nil && r.Outcome == logic.OK {
		r.Load = parseLoad(string(r.Body))
	}
	exchange.Answer{FreeBody: r.FreeBody}.Release()
	return r
}
