package gateway

import (
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/exchange"
)

// The methods in this file log the steps of each request at debug level, with the client's id, so that an operator can
// follow one request from its arrival over its attempts to its end.

// traceArrived logs that a request has reached the decision module.
func (g *Gateway) traceArrived(ex *exchange.Exchange) {
	if g.tracing {
		g.log.Debug("request arrived", zap.String("id", ex.Message.ID), zap.String("class", ex.Fields.Class),
			zap.Duration("time_left", time.Until(ex.Deadline)))
	}
}

// traceAbandoned logs that nobody waits for a request's answer any longer.
func (g *Gateway) traceAbandoned(ex *exchange.Exchange, c *call) {
	if g.tracing {
		g.log.Debug("request abandoned", zap.String("id", ex.Message.ID), zap.Int("attempt", c.Attempt()), zap.Bool("in_flight", c.InFlight()))
	}
}

// traceAttempt logs that an attempt begins.
func (g *Gateway) traceAttempt(c *call) {
	if g.tracing {
		g.log.Debug("attempt begins", zap.String("id", c.Request.ex.Message.ID), zap.Int("attempt", c.Attempt()),
			zap.Uint64("server", uint64(c.Server)))
	}
}

// traceAttemptEnded logs how an attempt ended.
func (g *Gateway) traceAttemptEnded(c *call, e attemptEnded) {
	if g.tracing {
		g.log.Debug("attempt ended", zap.String("id", c.Request.ex.Message.ID), zap.Int("attempt", e.attempt),
			zap.Uint64("server", uint64(c.Server)), zap.String("outcome", outcomeName(e.result.Outcome)))
	}
}

// traceFinished logs the final answer that the decision module gives to a request.
func (g *Gateway) traceFinished(c *call, refused bool, retryAfter time.Duration) {
	if g.tracing {
		g.log.Debug("request finished by the decisions", zap.String("id", c.Request.ex.Message.ID), zap.Int("attempt", c.Attempt()),
			zap.Bool("refused", refused), zap.Duration("retry_after", retryAfter))
	}
}
