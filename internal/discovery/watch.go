// Package discovery follows the list of hosts: it holds a watch, asks for the whole list where the watch
// can't be read, and reconnects when it breaks or falls silent.
package discovery

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/decide/backoff"
	"merlinarch/internal/gateway"
	"merlinarch/internal/metrics"
	"merlinarch/internal/reconnect"
)

// Sink takes the news.
type Sink interface {
	UpdateServers(full bool, hosts []gateway.Host)
	DiscoveryFailed()
}

// Watcher follows discovery.
type Watcher struct {
	*reconnect.Follower
	limits config.Limits
	clock  gateway.Clock
	sink   Sink
	count  *metrics.Registry
	client http.Client

	mu    sync.Mutex // held while a list is handed on, so that lists keep their order
	held  uint64     // the version of the list that was known at start
	known bool       // there was one; its version may well be 0
}

// New makes a watcher; Run starts it.
func New(addr string, rule backoff.Policy, limits config.Limits, clock gateway.Clock, sink Sink, count *metrics.Registry,
	log *zap.Logger) *Watcher {
	return &Watcher{Follower: reconnect.New("discovery", addr, rule, limits, sink.DiscoveryFailed, count, log),
		limits: limits, clock: clock, sink: sink, count: count,
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// Known takes the list as last held before this start.
func (w *Watcher) Known(v *fastjson.Value) error {
	l, err := Decode(v, w.clock)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	l.Full = true
	w.held, w.known = l.Version, true
	w.take(l)
	return nil
}

// take hands a list on.
func (w *Watcher) take(l List) {
	w.count.Inc("discovery.lists")
	w.count.Add("discovery.entries_skipped", int64(l.Skipped))
	w.sink.UpdateServers(l.Full, l.Hosts)
}

// Run follows discovery until ctx ends. The router serves on with what it has while discovery is down, and with
// what an earlier address tells until the present one has given its list.
func (w *Watcher) Run(ctx context.Context) {
	known := w.known // at the first address alone: another's versions may count otherwise
	w.Follower.Run(ctx, func() reconnect.Session {
		f := &feed{w: w, version: w.held, held: known}
		known = false
		return f.watch
	})
}

// feed is what was read from one address.
type feed struct {
	w       *Watcher
	version uint64
	held    bool // a list is held, so that changes can be asked for
}

// take hands a list on, unless a later address has given its own.
func (f *feed) take(l List, at *reconnect.Endpoint) {
	f.version, f.held = l.Version, true
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	if at.RecordMessage() {
		f.w.take(l)
	}
}

var errUnreadable = errors.New("unreadable line")

// watch holds one watch until it breaks.
func (f *feed) watch(ctx context.Context, at *reconnect.Endpoint) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(at.Replaced(), stop)()
	if !f.held {
		if err := f.get(ctx, at, ""); err != nil {
			return err
		}
	}
	err := f.get(ctx, at, "?"+queryWatch+"=1&"+queryAfter+"="+strconv.FormatUint(f.version, 10))
	if errors.Is(err, errUnreadable) { // what it said is lost: the whole list is asked for anew
		f.held = false
	}
	return err
}

// get reads lists from one answer, a line each, until it ends. Danger: a connection to a machine that has
// been cut off stays open and silent; with no heartbeat it counts as broken.
func (f *feed) get(ctx context.Context, at *reconnect.Endpoint, query string) error {
	w := f.w
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	silence := time.AfterFunc(w.limits.DiscoverySilenceTimeout, stop)
	defer silence.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+at.Addr+pathList+query, nil)
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
	lines.Buffer(nil, w.limits.MaxDiscoveryLine)
	var parser fastjson.Parser
	var object objects
	for lines.Scan() {
		text, err := object.line(lines.Bytes(), w.limits.MaxDiscoveryLine)
		if err != nil {
			w.count.Inc("discovery.unreadable")
			return fmt.Errorf("discovery: %w: %w", errUnreadable, err)
		}
		if !object.open() { // Danger: a list that trickles and never ends is no sign of life
			silence.Reset(w.limits.DiscoverySilenceTimeout)
		}
		if len(text) == 0 { // a sign of life, or a part of a list
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
		f.take(l, at)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if object.open() {
		w.count.Inc("discovery.unreadable")
		return fmt.Errorf("discovery: %w: it ends within a list", errUnreadable)
	}
	if query == "" {
		return nil
	}
	return fmt.Errorf("discovery: %w", io.ErrUnexpectedEOF)
}
