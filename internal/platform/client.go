// Package platform speaks with the release platform: it watches the newest build's state and casts votes,
// on one connection that it renews when it breaks or falls silent.
package platform

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/metrics"
	"merlinarch/internal/retry"
	"merlinarch/logic"
)

// Sink takes the news and the replies to votes.
type Sink interface{ Released(logic.ReleaseStatus) }

// call is one that waits for its answer, in the order of writing.
type call struct {
	vote  bool
	timer *time.Timer // gives up the wait for a vote's answer
	over  bool        // it has, and the module was told
}

// Client is the connection to the platform.
type Client struct {
	addr   string
	limits config.Limits
	sink   Sink
	count  *metrics.Registry
	log    *zap.Logger
	votes  chan logic.Vote

	mu    sync.Mutex
	conn  net.Conn // nil: none stands
	calls []*call  // written, not answered
}

// New makes a client; Run starts it.
func New(addr string, limits config.Limits, sink Sink, count *metrics.Registry, log *zap.Logger) *Client {
	return &Client{addr: addr, limits: limits, sink: sink, count: count, log: log,
		votes: make(chan logic.Vote, limits.MaxOutgoing)}
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
	c.sink.Released(e)
}

var replyNames = map[logic.VoteReply]string{logic.VoteCounts: "ok", logic.VoteMoot: "stale",
	logic.VoteThrottled: "busy", logic.VoteError: "failed", logic.VoteTimedOut: "timeout"}

// Run keeps the connection until ctx ends.
func (c *Client) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { c.write(ctx) })
	defer work.Wait()
	backoff := retry.New(c.limits.RetryFirst, c.limits.RetryLast)
	for ctx.Err() == nil {
		err := c.session(ctx, backoff)
		if ctx.Err() != nil {
			return
		}
		c.count.Inc("platform.broken")
		if backoff.Failed() {
			c.log.Warn("platform lost, going on with its last news", zap.Error(err))
		}
		backoff.Wait(ctx)
	}
}

// session holds one connection until it breaks.
func (c *Client) session(ctx context.Context, backoff *retry.Backoff) error {
	dialer := net.Dialer{Timeout: c.limits.PeerDial}
	conn, err := dialer.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	c.mu.Lock()
	c.conn = conn
	err = c.call(callWatch+"\r\n", false)
	c.mu.Unlock()
	defer c.broken(conn)
	if err != nil {
		return err
	}
	r := bufio.NewReaderSize(conn, c.limits.MaxLine)
	for {
		// Danger: a connection to a platform that was cut off stays open and silent; with no sign of life
		// it counts as broken.
		if err := conn.SetReadDeadline(time.Now().Add(c.limits.NewsSilence)); err != nil {
			return fmt.Errorf("platform: %w", err)
		}
		text, err := r.ReadSlice('\n')
		if err != nil { // a line that fills the buffer ends the connection too
			return fmt.Errorf("platform: %w", err)
		}
		if backoff.Succeeded() {
			c.log.Info("platform is back")
		}
		c.take(strings.TrimRight(string(text), "\r\n"))
	}
}

// take reads one line.
func (c *Client) take(text string) {
	if strings.HasPrefix(text, wordUnsaid) {
		e, ok, err := parseNews(text)
		switch {
		case err != nil:
			c.count.Inc("platform.unreadable")
		case ok:
			c.count.Inc("platform.news")
			c.sink.Released(e)
		}
		return
	}
	c.mu.Lock()
	if len(c.calls) == 0 {
		c.mu.Unlock()
		c.count.Inc("platform.unreadable")
		return
	}
	first := c.calls[0]
	c.calls = c.calls[1:]
	told := !first.vote || first.over
	first.over = true
	c.mu.Unlock()
	if told {
		return
	}
	first.timer.Stop()
	c.reply(parseReply(text))
}

var errNotConnected = errors.New("platform: not connected")

// call writes one call. The connection's lock is held.
func (c *Client) call(text string, vote bool) error {
	if c.conn == nil {
		return errNotConnected
	}
	made := &call{vote: vote}
	if vote {
		made.timer = time.AfterFunc(c.limits.VoteTimeout, func() { c.expire(made) })
	}
	c.calls = append(c.calls, made)
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.limits.VoteTimeout)); err != nil {
		return c.unwritten(made, err)
	}
	if _, err := c.conn.Write([]byte(text)); err != nil {
		return c.unwritten(made, err)
	}
	return nil
}

// unwritten takes back a call that was not written whole: it was not carried out.
func (c *Client) unwritten(made *call, err error) error {
	c.calls = c.calls[:len(c.calls)-1]
	if made.timer != nil {
		made.timer.Stop()
	}
	made.over = true
	c.conn.Close() // the session ends by it
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
func (c *Client) broken(conn net.Conn) {
	conn.Close()
	c.mu.Lock()
	calls := c.calls
	c.conn, c.calls = nil, nil
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
			err := c.call(formatVote(v), true)
			c.mu.Unlock()
			if err != nil { // not written whole, so not carried out
				c.reply(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteError})
			}
		}
	}
}
