// Package platform is the client of the release platform. It watches the newest build's status and casts votes over one
// connection, which it replaces when it breaks, falls silent or delivers something unreadable.
package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/decide/backoff"
	"merlinarch/internal/metrics"
	"merlinarch/internal/reconnect"
	"merlinarch/logic"
)

// Sink receives release statuses and the replies to votes.
type Sink interface{ UpdateRelease(logic.ReleaseStatus) }

// call is a line sent to the platform. Answers arrive in the order in which the calls were written.
type call struct {
	isVote  bool
	timeout *time.Timer // fires when a vote has waited too long; nil for WATCH
	done    bool        // answered, expired or not written
}

// watchConn is a connection to the platform with the calls that await an answer on it.
type watchConn struct {
	endpoint *reconnect.Endpoint
	conn     net.Conn
	pending  []*call // written and not yet answered, in order
	closing  bool    // no further calls are written; the connection is closed once pending is empty
}

// Client watches releases and casts votes at the platform's present address.
type Client struct {
	*reconnect.Follower
	limits   config.Limits
	sink     Sink
	counters *metrics.Registry
	votes    chan logic.Vote

	mu    sync.Mutex
	conns []*watchConn // the open connections, the newest last

	deliveryMu sync.Mutex          // held while a status is delivered, so that statuses keep their order
	latest     logic.ReleaseStatus // the status delivered last; guarded by deliveryMu
}

// New returns a client for the platform at addr; Run starts it.
func New(addr string, policy backoff.Policy, limits config.Limits, sink Sink, counters *metrics.Registry,
	log *zap.Logger) *Client {
	return &Client{Follower: reconnect.New("platform", addr, policy, limits, func() {}, counters, log), limits: limits, sink: sink,
		counters: counters, votes: make(chan logic.Vote, limits.MaxOutgoing)}
}

// Vote queues a vote and never blocks. The reply is delivered to the sink.
func (c *Client) Vote(v logic.Vote) {
	select {
	case c.votes <- v:
	default: // the event loop is the caller, so the reply is delivered from another goroutine
		c.counters.Inc("platform.votes_dropped")
		time.AfterFunc(0, func() { c.deliverReply(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteError}) })
	}
}

// deliverReply counts a reply and passes it to the sink.
func (c *Client) deliverReply(e logic.ReleaseStatus) {
	c.counters.Inc("platform.replies_" + replyNames[e.Reply])
	c.sink.UpdateRelease(e)
}

// replyNames holds the endings of the counters' names.
var replyNames = map[logic.VoteReply]string{logic.VoteCounted: "ok", logic.VoteStale: "stale",
	logic.VoteThrottled: "busy", logic.VoteError: "failed", logic.VoteTimedOut: "timeout"}

// Run keeps a connection to the platform and casts the queued votes until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { c.writeVotes(ctx) })
	defer work.Wait()
	c.Follower.Run(ctx, func() reconnect.Session { return c.runSession })
}

// runSession keeps one connection open until it breaks, or until a message has been read from a later address and all calls
// on this connection are answered.
func (c *Client) runSession(ctx context.Context, endpoint *reconnect.Endpoint) error {
	dialer := net.Dialer{Timeout: c.limits.ControlDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", endpoint.Addr)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	wc := &watchConn{endpoint: endpoint, conn: conn}
	c.mu.Lock()
	if err = c.writeCall(wc, callWatch+"\r\n", false); err == nil {
		if n := len(c.conns); endpoint.IsNewest() {
			c.conns = append(c.conns, wc)
		} else { // the address changed during the dial: votes go to the newest address
			c.conns = slices.Insert(c.conns, max(0, n-1), wc)
		}
	}
	c.mu.Unlock()
	defer c.handleDisconnect(wc)
	if err != nil {
		return err
	}
	defer context.AfterFunc(endpoint.Replaced(), func() { c.closeWhenIdle(wc) })()
	r := bufio.NewReaderSize(conn, c.limits.MaxPlatformLine)
	for {
		// A connection to a platform that has lost its network stays open and silent, so a connection
		// without heartbeats is treated as broken.
		if err := conn.SetReadDeadline(time.Now().Add(c.limits.PlatformSilenceTimeout)); err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		text, err := r.ReadSlice('\n')
		if err != nil { // this includes a line that does not fit the buffer
			return fmt.Errorf("platform: %w", err)
		}
		// After an unreadable line, answers can no longer be matched to their calls, so nothing more is read.
		if err := c.handleLine(wc, string(text)); err != nil {
			c.counters.Inc("platform.unreadable")
			return err
		}
	}
}

// handleLine processes one line: either an unsolicited line or the answer to the first pending call.
func (c *Client) handleLine(wc *watchConn, text string) error {
	text, terminated := strings.CutSuffix(text, "\r\n")
	if !terminated {
		return unreadableLineError(text)
	}
	if strings.HasPrefix(text, wordUnsolicited) {
		e, isStatus, err := parseUnsolicited(text)
		if err != nil {
			return err
		}
		if isStatus {
			c.counters.Inc("platform.news")
			c.deliver(wc, e)
		}
		return nil
	}
	c.mu.Lock()
	if len(wc.pending) == 0 {
		c.mu.Unlock()
		return unreadableLineError(text)
	}
	first := wc.pending[0]
	e, err := first.parse(text)
	if err != nil { // the call stays pending and ends with the connection; a vote may have counted
		c.mu.Unlock()
		return err
	}
	wc.pending = wc.pending[1:]
	skipDelivery := !first.isVote || first.done
	first.done = true
	if wc.closing && len(wc.pending) == 0 {
		wc.conn.Close() // no calls are pending
	}
	c.mu.Unlock()
	if !skipDelivery {
		first.timeout.Stop()
		c.counters.Inc("platform.replies_" + replyNames[e.Reply])
		c.deliver(wc, e)
	}
	return nil
}

// deliver passes a status or a vote's reply to the sink. Once a message has been read from a later address, the statuses of
// earlier addresses are outdated and discarded, but their replies to votes are still valid: the reply to a counted vote is
// delivered with the latest status instead.
func (c *Client) deliver(wc *watchConn, e logic.ReleaseStatus) {
	c.deliveryMu.Lock()
	defer c.deliveryMu.Unlock()
	isCurrent, hasStatus := wc.endpoint.RecordMessage(), !e.IsReply || e.Reply == logic.VoteCounted
	if hasStatus && !isCurrent {
		if !e.IsReply {
			return
		}
		e = c.latest
		e.IsReply, e.Reply = true, logic.VoteCounted
	}
	if hasStatus {
		c.latest = e
	}
	c.sink.UpdateRelease(e)
}

// closeWhenIdle closes a connection as soon as no calls are pending on it.
func (c *Client) closeWhenIdle(wc *watchConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wc.closing = true; len(wc.pending) == 0 {
		wc.conn.Close()
	}
}

var errNotConnected = errors.New("platform: not connected")

// writeCall writes one call and adds it to the pending calls. The caller holds c.mu.
func (c *Client) writeCall(wc *watchConn, text string, isVote bool) error {
	newCall := &call{isVote: isVote}
	if isVote {
		newCall.timeout = time.AfterFunc(c.limits.VoteTimeout, func() { c.expireVote(newCall) })
	}
	wc.pending = append(wc.pending, newCall)
	err := wc.conn.SetWriteDeadline(time.Now().Add(c.limits.VoteTimeout))
	if err == nil {
		_, err = wc.conn.Write([]byte(text))
	}
	if err == nil {
		return nil
	}
	// The platform does not carry out an incomplete line.
	wc.pending = wc.pending[:len(wc.pending)-1]
	if newCall.timeout != nil {
		newCall.timeout.Stop()
	}
	newCall.done = true
	wc.conn.Close() // this ends the session
	return fmt.Errorf("platform: %w", err)
}

// expireVote ends the wait for a vote's answer. The call stays pending, because answers are matched by order.
func (c *Client) expireVote(expired *call) {
	c.mu.Lock()
	alreadyDone := expired.done
	expired.done = true
	c.mu.Unlock()
	if !alreadyDone {
		c.deliverReply(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteTimedOut})
	}
}

// handleDisconnect closes a connection and ends the wait for its pending votes with VoteTimedOut, since votes that were
// written may have counted.
func (c *Client) handleDisconnect(wc *watchConn) {
	wc.conn.Close()
	c.mu.Lock()
	unanswered := wc.pending
	wc.pending = nil
	c.conns = slices.DeleteFunc(c.conns, func(other *watchConn) bool { return other == wc })
	c.mu.Unlock()
	for _, lost := range unanswered {
		if lost.isVote && lost.timeout.Stop() {
			c.expireVote(lost)
		}
	}
}

// writeVotes writes the queued votes to the newest connection until ctx ends.
func (c *Client) writeVotes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-c.votes:
			c.counters.Inc("platform.votes")
			c.mu.Lock()
			err := errNotConnected
			if n := len(c.conns); n > 0 && !c.conns[n-1].closing {
				err = c.writeCall(c.conns[n-1], formatVote(v), true)
			}
			c.mu.Unlock()
			if err != nil { // not written completely, so not carried out
				c.deliverReply(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteError})
			}
		}
	}
}
