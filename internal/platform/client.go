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
	vote  bool
	timer *time.Timer // gives up the wait for a vote's answer
	over  bool        // it has, and the module was told
}

// line is one connection to the platform.
type line struct {
	at    *reconnect.Endpoint
	conn  net.Conn
	calls []*call // written, not answered
	over  bool    // nothing more is written: it ends once what waits is answered
}

// Client speaks with the platform.
type Client struct {
	*reconnect.Follower
	limits config.Limits
	sink   Sink
	count  *metrics.Registry
	votes  chan logic.Vote

	mu    sync.Mutex
	lines []*line // those that stand, the newest last

	telling sync.Mutex // held while news are handed on, so that they keep their order
	latest  logic.ReleaseStatus
}

// New makes a client; Run starts it.
func New(addr string, rule backoff.Policy, limits config.Limits, sink Sink, count *metrics.Registry,
	log *zap.Logger) *Client {
	return &Client{Follower: reconnect.New("platform", addr, rule, limits, func() {}, count, log), limits: limits, sink: sink,
		count: count, votes: make(chan logic.Vote, limits.MaxOutgoing)}
}

// Vote casts a vote; it never blocks. The reply comes through the sink.
func (c *Client) Vote(v logic.Vote) {
	select {
	case c.votes <- v:
	default: // the reply must not be told from here: the loop is the caller
		c.count.Inc("platform.votes_dropped")
		time.AfterFunc(0, func() { c.reply(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteError}) })
	}
}

func (c *Client) reply(e logic.ReleaseStatus) {
	c.count.Inc("platform.replies_" + replyNames[e.Reply])
	c.sink.UpdateRelease(e)
}

var replyNames = map[logic.VoteReply]string{logic.VoteCounted: "ok", logic.VoteStale: "stale",
	logic.VoteThrottled: "busy", logic.VoteError: "failed", logic.VoteTimedOut: "timeout"}

// Run keeps a connection until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { c.write(ctx) })
	defer work.Wait()
	c.Follower.Run(ctx, func() reconnect.Session { return c.session })
}

// session holds one connection until it breaks, or until a later address has spoken and all calls are answered.
func (c *Client) session(ctx context.Context, at *reconnect.Endpoint) error {
	dialer := net.Dialer{Timeout: c.limits.ControlDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", at.Addr)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	l := &line{at: at, conn: conn}
	c.mu.Lock()
	if err = c.call(l, callWatch+"\r\n", false); err == nil {
		if n := len(c.lines); at.IsNewest() {
			c.lines = append(c.lines, l)
		} else { // made while a later address came: votes go there
			c.lines = slices.Insert(c.lines, max(0, n-1), l)
		}
	}
	c.mu.Unlock()
	defer c.broken(l)
	if err != nil {
		return err
	}
	defer context.AfterFunc(at.Replaced(), func() { c.finish(l) })()
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
		if err := c.take(l, string(text)); err != nil {
			c.count.Inc("platform.unreadable")
			return err
		}
	}
}

// take reads one line.
func (c *Client) take(l *line, text string) error {
	text, whole := strings.CutSuffix(text, "\r\n")
	if !whole {
		return unreadable(text)
	}
	if strings.HasPrefix(text, wordUnsaid) {
		e, news, err := parseUnsaid(text)
		if err != nil {
			return err
		}
		if news {
			c.count.Inc("platform.news")
			c.tell(l, e)
		}
		return nil
	}
	c.mu.Lock()
	if len(l.calls) == 0 {
		c.mu.Unlock()
		return unreadable(text)
	}
	first := l.calls[0]
	e, err := first.parse(text)
	if err != nil { // the call stays: it ends with the connection, and a vote may have counted
		c.mu.Unlock()
		return err
	}
	l.calls = l.calls[1:]
	told := !first.vote || first.over
	first.over = true
	if l.over && len(l.calls) == 0 {
		l.conn.Close() // nothing waits any more
	}
	c.mu.Unlock()
	if !told {
		first.timer.Stop()
		c.count.Inc("platform.replies_" + replyNames[e.Reply])
		c.tell(l, e)
	}
	return nil
}

// tell hands on what a line has brought. Danger: where a later address has spoken, an earlier one's state of the
// build is out of date, though its answer to a vote holds.
func (c *Client) tell(l *line, e logic.ReleaseStatus) {
	c.telling.Lock()
	defer c.telling.Unlock()
	counts, state := l.at.RecordMessage(), !e.IsReply || e.Reply == logic.VoteCounted
	if state && !counts {
		if !e.IsReply {
			return
		}
		e = c.latest
		e.IsReply, e.Reply = true, logic.VoteCounted
	}
	if state {
		c.latest = e
	}
	c.sink.UpdateRelease(e)
}

// finish has a line end as soon as nothing waits on it.
func (c *Client) finish(l *line) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.over = true; len(l.calls) == 0 {
		l.conn.Close()
	}
}

var errNotConnected = errors.New("platform: not connected")

// call writes one call. The lock is held.
func (c *Client) call(l *line, text string, vote bool) error {
	made := &call{vote: vote}
	if vote {
		made.timer = time.AfterFunc(c.limits.VoteTimeout, func() { c.expire(made) })
	}
	l.calls = append(l.calls, made)
	err := l.conn.SetWriteDeadline(time.Now().Add(c.limits.VoteTimeout))
	if err == nil {
		_, err = l.conn.Write([]byte(text))
	}
	if err == nil {
		return nil
	}
	// Not written whole: it was not carried out.
	l.calls = l.calls[:len(l.calls)-1]
	if made.timer != nil {
		made.timer.Stop()
	}
	made.over = true
	l.conn.Close() // the session ends by it
	return fmt.Errorf("platform: %w", err)
}

// expire ends the wait for a vote's answer; its place in the order stays.
func (c *Client) expire(made *call) {
	c.mu.Lock()
	over := made.over
	made.over = true
	c.mu.Unlock()
	if !over {
		c.reply(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteTimedOut})
	}
}

// broken ends what waited on a connection: what was written may have been carried out.
func (c *Client) broken(l *line) {
	l.conn.Close()
	c.mu.Lock()
	calls := l.calls
	l.calls = nil
	c.lines = slices.DeleteFunc(c.lines, func(have *line) bool { return have == l })
	c.mu.Unlock()
	for _, made := range calls {
		if made.vote && made.timer.Stop() {
			c.expire(made)
		}
	}
}

// write casts the votes.
func (c *Client) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case v := <-c.votes:
			c.count.Inc("platform.votes")
			c.mu.Lock()
			err := errNotConnected
			if n := len(c.lines); n > 0 && !c.lines[n-1].over {
				err = c.call(c.lines[n-1], formatVote(v), true)
			}
			c.mu.Unlock()
			if err != nil { // not written whole, so not carried out
				c.reply(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteError})
			}
		}
	}
}
