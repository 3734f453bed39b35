package clients

import (
	"errors"
	"io"
	"os"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/sockstat"
)

// endReason says why a connection from a client ends, for the log.
type endReason string

// Reasons for the end of a connection. Unless one of them is recorded, net/http closed the connection.
const (
	endedByServer   endReason = "closed by net/http"
	endedByClient   endReason = "closed by the client"
	endedByTimeout  endReason = "time-out of a read"
	endedByBadHead  endReason = "head rejected"
	evictedSilent   endReason = "evicted: no request had begun"
	evictedPartial  endReason = "evicted: the request was incomplete"
	evictedIdle     endReason = "evicted: idle"
	evictedLinger   endReason = "evicted: its last answer was written"
	evictedForBytes endReason = "evicted: it held memory for an incomplete request"
)

// reasonOfReadError returns the reason that a failed read gives.
func reasonOfReadError(err error) endReason {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return endedByTimeout
	case errors.Is(err, io.EOF):
		return endedByClient
	}
	return endReason(err.Error())
}

// setEndReason records why a connection ends; the first reason counts. The caller holds the table's lock.
func (c *conn) setEndReason(reason endReason) {
	if c.endReason == "" {
		c.endReason = reason
	}
}

// traceEnd logs the end of a connection whose descriptor is about to be closed.
func (c *conn) traceEnd() {
	entry := c.table.log.Check(zap.DebugLevel, "connection ended")
	if entry == nil {
		return
	}
	c.table.mu.Lock()
	reason := c.endReason
	c.table.mu.Unlock()
	if reason == "" {
		reason = endedByServer
	}
	entry.Write(zap.Stringer("client", c.RemoteAddr()), zap.String("reason", string(reason)), zap.Duration("age", time.Since(c.acceptedAt)),
		zap.Int64("heads", c.heads.Load()), zap.Int("unread_bytes", sockstat.Unread(c.Conn)))
}
