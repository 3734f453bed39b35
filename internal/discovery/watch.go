// Package discovery follows the list of hosts: it holds a watch, asks for the whole list where the watch
// can't be read, and reconnects when it breaks or falls silent.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/gateway"
	"merlinarch/internal/metrics"
	"merlinarch/internal/retry"
)

// Sink takes the news.
type Sink interface {
	Listed(full bool, hosts []gateway.Host)
	ListingFailed()
}

// Watcher follows discovery at one address.
type Watcher struct {
	addr    string
	limits  config.Limits
	clock   gateway.Clock
	sink    Sink
	count   *metrics.Registry
	log     *zap.Logger
	client  http.Client
	version uint64
	held    bool // a list is held, so that changes can be asked for
}

// New makes a watcher; Run starts it.
func New(addr string, limits config.Limits, clock gateway.Clock, sink Sink, count *metrics.Registry,
	log *zap.Logger) *Watcher {
	return &Watcher{addr: addr, limits: limits, clock: clock, sink: sink, count: count, log: log,
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Known takes the list as last held before this start.
func (w *Watcher) Known(v *fastjson.Value) error {
	l, err := Decode(v, w.clock)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	l.Full = true
	w.take(l)
	return nil
}

// take hands a list on.
func (w *Watcher) take(l List) {
	w.version, w.held = l.Version, true
	w.count.Inc("discovery.lists")
	w.count.Add("discovery.entries_skipped", int64(l.Skipped))
	w.sink.Listed(l.Full, l.Hosts)
}

// Run follows discovery until ctx ends. The router serves on with what it has while discovery is down.
func (w *Watcher) Run(ctx context.Context) {
	backoff := retry.New(w.limits.RetryFirst, w.limits.RetryLast)
	for ctx.Err() == nil {
		err := w.watch(ctx, backoff)
		if ctx.Err() != nil {
			return
		}
		w.count.Inc("discovery.broken")
		if backoff.Failed() {
			w.log.Warn("discovery lost, serving on with the list as held", zap.Error(err))
			w.sink.ListingFailed()
		}
		backoff.Wait(ctx)
	}
}

var errUnreadable = errors.New("unreadable line")

// watch holds one watch until it breaks.
func (w *Watcher) watch(ctx context.Context, backoff *retry.Backoff) error {
	if !w.held {
		if err := w.get(ctx, "", backoff); err != nil {
			return err
		}
	}
	err := w.get(ctx, "?"+queryWatch+"=1&"+queryAfter+"="+strconv.FormatUint(w.version, 10), backoff)
	if errors.Is(err, errUnreadable) { // what it said is lost: the whole list is asked for anew
		w.held = false
	}
	return err
}

// get reads lists from one answer, a line each, until it ends. Danger: a connection to a machine that has
// been cut off stays open and silent; with no heartbeat it counts as broken.
func (w *Watcher) get(ctx context.Context, query string, backoff *retry.Backoff) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	silence := time.AfterFunc(w.limits.ListSilence, stop)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.addr+pathList+query, nil)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery: status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, w.limits.MaxList)
	var parser fastjson.Parser
	for lines.Scan() {
		silence.Reset(w.limits.ListSilence)
		text := bytes.TrimSpace(lines.Bytes())
		if len(text) == 0 { // a sign of life
			continue
		}
		v, err := parser.ParseBytes(text)
		if err != nil {
			w.count.Inc("discovery.unreadable")
			return fmt.Errorf("discovery: %w: %.80q: %w", errUnreadable, text, err)
		}
		l, err := Decode(v, w.clock)
		if err != nil {
			w.count.Inc("discovery.unreadable")
			return fmt.Errorf("discovery: %w: %.80q: %w", errUnreadable, text, err)
		}
		if backoff.Succeeded() {
			w.log.Info("discovery is back")
		}
		w.take(l)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if query == "" {
		return nil
	}
	return fmt.Errorf("discovery: %w", io.ErrUnexpectedEOF)
}
