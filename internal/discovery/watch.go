// Package discovery follows the list of hosts that service discovery publishes. It keeps a watch open, requests the full
// list when the watch delivers something unreadable, and reconnects when the watch breaks or falls silent.
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

// Sink receives host lists and the failures of discovery.
type Sink interface {
	UpdateServers(full bool, hosts []gateway.Host)
	DiscoveryFailed()
}

// Watcher follows service discovery at its present address.
type Watcher struct {
	*reconnect.Follower
	limits   config.Limits
	silence  time.Duration // a watch that is silent for longer is taken for broken
	clock    gateway.Clock
	sink     Sink
	counters *metrics.Registry
	client   http.Client

	mu           sync.Mutex // held while a list is delivered, so that lists keep their order
	knownVersion uint64     // the version of the list known at start
	hasKnownList bool       // separate from knownVersion, because version 0 is valid
}

// New returns a watcher for discovery at addr; Run starts it.
func New(addr string, policy backoff.Policy, limits config.Limits, clock gateway.Clock, sink Sink, counters *metrics.Registry,
	log *zap.Logger) *Watcher {
	return &Watcher{Follower: reconnect.New("discovery", addr, policy, limits, sink.DiscoveryFailed, counters, log),
		limits: limits, silence: policy.SilenceTimeout, clock: clock, sink: sink, counters: counters,
		client: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// LoadKnownList delivers the list known from before this start, so that the watch can continue from its version.
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

// deliver passes a list to the sink and counts it.
func (w *Watcher) deliver(l List) {
	w.counters.Inc("discovery.lists")
	w.counters.Add("discovery.entries_skipped", int64(l.Skipped))
	w.sink.UpdateServers(l.Full, l.Hosts)
}

// Run follows discovery until ctx ends. While discovery is down, the router keeps serving with the hosts it has. After
// a change of address, it keeps applying what the earlier address sends until the new address has delivered its list.
func (w *Watcher) Run(ctx context.Context) {
	useKnownList := w.hasKnownList // for the first address only: another server may number its versions differently
	w.Follower.Run(ctx, func() reconnect.Session {
		a := &addressWatch{watcher: w, version: w.knownVersion, hasList: useKnownList}
		useKnownList = false
		return a.watch
	})
}

// addressWatch follows discovery at one address and keeps the version of the list last read there.
type addressWatch struct {
	watcher *Watcher
	version uint64
	hasList bool // a list has been read, so that changes since its version can be requested
}

// deliver passes a list to the watcher, unless a later address has already delivered its own.
func (a *addressWatch) deliver(l List, endpoint *reconnect.Endpoint) {
	a.version, a.hasList = l.Version, true
	a.watcher.mu.Lock()
	defer a.watcher.mu.Unlock()
	if endpoint.RecordMessage() {
		a.watcher.deliver(l)
	}
}

// errUnreadable reports a line or list that can't be parsed.
var errUnreadable = errors.New("unreadable line")

// watch requests the full list if none has been read, then keeps one watch open until it breaks.
func (a *addressWatch) watch(ctx context.Context, endpoint *reconnect.Endpoint) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer context.AfterFunc(endpoint.Replaced(), stop)()
	if !a.hasList {
		if err := a.readLists(ctx, endpoint, ""); err != nil {
			return err
		}
	}
	err := a.readLists(ctx, endpoint, "?"+queryWatch+"=1&"+queryAfter+"="+strconv.FormatUint(a.version, 10))
	if errors.Is(err, errUnreadable) { // its change is lost, so the next session requests the full list
		a.hasList = false
	}
	return err
}

// readLists sends one request and reads the lists of its response until it ends. With an empty query, the response is the
// full list; otherwise it is a watch. A connection to a machine that has lost its network stays
// open and silent, so a connection without heartbeats is treated as broken.
func (a *addressWatch) readLists(ctx context.Context, endpoint *reconnect.Endpoint, query string) error {
	w := a.watcher
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	silenceTimer := time.AfterFunc(w.silence, stop)
	defer silenceTimer.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+endpoint.Addr+pathList+query, nil)
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
		if !assembler.inProgress() { // lines of an unfinished list don't count as heartbeats: the list may never end
			silenceTimer.Reset(w.silence)
		}
		if len(text) == 0 { // a heartbeat, or part of a list
			if !assembler.inProgress() {
				endpoint.RecordHeartbeat()
			}
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
		a.deliver(l, endpoint)
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if assembler.inProgress() {
		w.counters.Inc("discovery.unreadable")
		return fmt.Errorf("discovery: %w: response ended within a list", errUnreadable)
	}
	if query == "" {
		return nil
	}
	return fmt.Errorf("discovery: %w", io.ErrUnexpectedEOF)
}
