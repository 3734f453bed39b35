// Package platform speaks with the release platform: it watches the newest build's state and casts votes,
// on one connection that it renews when it breaks, falls silent or says what can't be read.
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

// Sink takes the news and the replies to votes.
type Sink interface{ UpdateRelease(logic.ReleaseStatus) }

// call is one that waits for its answer, in the order of writing.
type call struct {
	isVote  bool
	timeout *time.Timer // gives up the wait for a vote's answer
	done    bool        // it has, and the module was told
}

// line is one connection to the platform.
type watchConn struct {
	place   *reconnect.Place
	conn    net.Conn
	pending []*call // written, not answered
	closing bool    // nothing more is written: it ends once what waits is answered
}

// Client speaks with the platform.
type Client struct {
	*reconnect.Follower
	limits   config.Limits
	sink     Sink
	counters *metrics.Registry
	votes    chan logic.Vote

	mu    sync.Mutex
	conns []*watchConn // those that stand, the newest last

	deliveryMu sync.Mutex // held while news are handed on, so that they keep their order
	latest     logic.ReleaseStatus
}

// New makes a client; Run starts it.
func New(addr string, policy backoff.Policy, limits config.Limits, sink Sink, counters *metrics.Registry,
	log *zap.Logger) *Client {
	return &Client{Follower: reconnect.New("platform", addr, policy, limits, func() {}, counters, log), limits: limits, sink: sink,
		counters: counters, votes: make(chan logic.Vote, limits.MaxOutgoing)}
}

// Vote casts a vote; it never blocks. The reply comes through the sink.
func (c *Client) Vote(v logic.Vote) {
	select {
	case c.votes <- v:
	default: // the reply must not be told from here: the loop is the caller
		c.counters.Inc("platform.votes_dropped")
		time.AfterFunc(0, func() { c.deliverReply(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteError}) })
	}
}

func (c *Client) deliverReply(e logic.ReleaseStatus) {
	c.counters.Inc("platform.replies_" + replyNames[e.Reply])
	c.sink.UpdateRelease(e)
}

var replyNames = map[logic.VoteReply]string{logic.VoteCounted: "ok", logic.VoteStale: "stale",
	logic.VoteThrottled: "busy", logic.VoteError: "failed", logic.VoteTimedOut: "timeout"}

// Run keeps a connection until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { c.writeVotes(ctx) })
	defer work.Wait()
	c.Follower.Run(ctx, func() reconnect.Session { return c.runSession })
}

// session holds one connection until it breaks, or until a later address has spoken and all calls are answered.
func (c *Client) runSession(ctx context.Context, place *reconnect.Place) error {
	dialer := net.Dialer{Timeout: c.limits.ControlDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", place.Addr)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	wc := &watchConn{place: place, conn: conn}
	c.mu.Lock()
	if err = c.writeCall(wc, callWatch+"\r\n", false); err == nil {
		if n := len(c.conns); place.Newest() {
			c.conns = append(c.conns, wc)
		} else { // made while a later address came: votes go there
			c.conns = slices.Insert(c.conns, max(0, n-1), wc)
		}
	}
	c.mu.Unlock()
	defer c.handleDisconnect(wc)
	if err != nil {
		return err
	}
	defer context.AfterFunc(place.Replaced(), func() { c.closeWhenIdle(wc) })()
	r := bufio.NewReaderSize(conn, c.limits.MaxPlatformLine)
	for {
		// Danger: a connection to a platform that was cut off stays open and silent; with no sign of life
		// it counts as broken.
		if err := conn.SetReadDeadline(time.Now().Add(c.limits.PlatformSilenceTimeout)); err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		text, err := r.ReadSlice('\n')
		if err != nil { // a line that fills the buffer ends the connection too
			return fmt.Errorf("platform: %w", err)
		}
		// Danger: behind a line that can't be read, an answer may belong to any call. Nothing more is read.
		if err := c.handleLine(wc, string(text)); err != nil {
			c.counters.Inc("platform.unreadable")
			return err
		}
	}
}

// take reads one line.
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
	if err != nil { // the call stays: it ends with the connection, and a vote may have counted
		c.mu.Unlock()
		return err
	}
	wc.pending = wc.pending[1:]
	delivered := !first.isVote || first.done
	first.done = true
	if wc.closing && len(wc.pending) == 0 {
		wc.conn.Close() // nothing waits any more
	}
	c.mu.Unlock()
	if !delivered {
		first.timeout.Stop()
		c.counters.Inc("platform.replies_" + replyNames[e.Reply])
		c.deliver(wc, e)
	}
	return nil
}

// tell hands on what a line has brought. Danger: where a later address has spoken, an earlier one's state of the
// build is out of date, though its answer to a vote holds.
func (c *Client) deliver(wc *watchConn, e logic.ReleaseStatus) {
	c.deliveryMu.Lock()
	defer c.deliveryMu.Unlock()
	isCurrent, hasStatus := wc.place.Spoke(), !e.IsReply || e.Reply == logic.VoteCounted
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

// finish has a line end as soon as nothing waits on it.
func (c *Client) closeWhenIdle(wc *watchConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wc.closing = true; len(wc.pending) == 0 {
		wc.conn.Close()
	}
}

var errNotConnected = errors.New("platform: not connected")

// call writes one call. The lock is held.
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
	// Not written whole: it was not carried out.
	wc.pending = wc.pending[:len(wc.pending)-1]
	if newCall.timeout != nil {
		newCall.timeout.Stop()
	}
	newCall.done = true
	wc.conn.Close() // the session ends by it
	return fmt.Errorf("platform: %w", err)
}

// expire ends the wait for a vote's answer; its place in the order stays.
func (c *Client) expireVote(expired *call) {
	c.mu.Lock()
	alreadyDone := expired.done
	expired.done = true
	c.mu.Unlock()
	if !alreadyDone {
		c.deliverReply(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteTimedOut})
	}
}

// broken ends what waited on a connection: what was written may have been carried out.
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

// write casts the votes.
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
			if err != nil { // not written whole, so not carried out
				c.deliverReply(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteError})
			}
		}
	}
}
