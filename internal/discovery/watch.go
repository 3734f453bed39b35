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
	limits   config.Limits
	clock    gateway.Clock
	sink     Sink
	counters *metrics.Registry
	client   http.Client

	mu           sync.Mutex // held while a list is handed on, so that lists keep their order
	knownVersion uint64     // the version of the list that was known at start
	hasKnownList bool       // there was one; its version may well be 0
}

// New makes a watcher; Run starts it.
func New(addr string, policy backoff.Policy, limits config.Limits, clock gateway.Clock, sink Sink, counters *metrics.Registry,
	log *zap.Logger) *Watcher {
	return &Watcher{Follower: reconnect.New("discovery", addr, policy, limits, sink.DiscoveryFailed, counters, log),
		limits: limits, clock: clock, sink: sink, counters: counters,
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// LoadKnownList takes the list as last held before this start.
func (w *Watcher) LoadKnownList(v *fastjson.Value) error {
	l, err := Decode(v, w.clock)
	if err != nil {
		return fmt.Errorf("known: %w", err)
	}
	l.Full = true
	w.knownVersion, w.hasKnownList = l.Version, true
	w.deliver(l)
	return nil
}

// take hands a list on.
func (w *Watcher) deliver(l List) {
	w.counters.Inc("discovery.lists")
	w.counters.Add("discovery.entries_skipped", int64(l.Skipped))
	w.sink.UpdateServers(l.Full, l.Hosts)
}

// Run follows discovery until ctx ends. The router serves on with what it has while discovery is down, and with
// what an earlier address tells until the present one has given its list.
func (w *Watcher) Run(ctx context.Context) {
	useKnownList := w.hasKnownList // at the first address alone: another's versions may count otherwise
	w.Follower.Run(ctx, func() reconnect.Session {
		a := &addressWatch{watcher: w, version: w.knownVersion, hasList: useKnownList}
		useKnownList = false
		return a.watch
	})
}

// feed is what was read from one address.
type addressWatch struct {
	watcher *Watcher
	version uint64
	hasList bool // a list is held, so that changes can be asked for
}

// take hands a list on, unless a later address has given its own.
func (a *addressWatch) deliver(l List, place *reconnect.Place) {
	a.version, a.hasList = l.Version, true
	a.watcher.mu.Lock()
	defer a.watcher.mu.Unlock()
	if place.Spoke() {
		a.watcher.deliver(l)
	}
}

var errUnreadable = errors.New("unreadable line")

// watch holds one watch until it breaks.
func (a *addressWatch) watch(ctx context.Context, place *reconnect.Place) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(place.Replaced(), stop)()
	if !a.hasList {
		if err := a.readLists(ctx, place, ""); err != nil {
			return err
		}
	}
	err := a.readLists(ctx, place, "?"+queryWatch+"=1&"+queryAfter+"="+strconv.FormatUint(a.version, 10))
	if errors.Is(err, errUnreadable) { // what it said is lost: the whole list is asked for anew
		a.hasList = false
	}
	return err
}

// get reads lists from one answer, a line each, until it ends. Danger: a connection to a machine that has
// been cut off stays open and silent; with no heartbeat it counts as broken.
func (a *addressWatch) readLists(ctx context.Context, place *reconnect.Place, query string) error {
	w := a.watcher
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	silenceTimer := time.AfterFunc(w.limits.DiscoverySilenceTimeout, stop)
	defer silenceTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+place.Addr+pathList+query, nil)
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
	var assembler listAssembler
	for lines.Scan() {
		text, err := assembler.addLine(lines.Bytes(), w.limits.MaxDiscoveryLine)
		if err != nil {
			w.counters.Inc("discovery.unreadable")
			return fmt.Errorf("discovery: %w: %w", errUnreadable, err)
		}
		if !assembler.inProgress() { // Danger: a list that trickles and never ends is no sign of life
			silenceTimer.Reset(w.limits.DiscoverySilenceTimeout)
		}
		if len(text) == 0 { // a sign of life, or a part of a list
			continue
		}
		v, err := parser.ParseBytes(text)
		if err != nil {
			w.counters.Inc("discovery.unreadable")
			return fmt.Errorf("discovery: %w: %.80q: %w", errUnreadable, text, err)
		}
		l, err := Decode(v, w.clock)
		if err != nil {
			w.counters.Inc("discovery.unreadable")
			return fmt.Errorf("discovery: %w: %.80q: %w", errUnreadable, text, err)
		}
		a.deliver(l, place)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if assembler.inProgress() {
		w.counters.Inc("discovery.unreadable")
		return fmt.Errorf("discovery: %w: it ends within a list", errUnreadable)
	}
	if query == "" {
		return nil
	}
	return fmt.Errorf("discovery: %w", io.ErrUnexpectedEOF)
}
