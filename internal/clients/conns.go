package clients

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/memory"
	"merlinarch/internal/metrics"
	"merlinarch/internal/sockstat"
)

const (
	// evictionWait is the longest wait for an evicted connection to give back its descriptor.
	evictionWait = 2 * time.Millisecond
	// memoryEvictionTime is the longest wait for an evicted connection to give back its memory.
	memoryEvictionTime = 10 * time.Millisecond
	// answerMemoryPart is the divisor that gives the part of the memory budget that requests leave to answers.
	answerMemoryPart = 2
)

// connTable tracks the open connections from clients, so that room can be made when descriptors or memory run short:
// connections that have not sent a whole request make room first, then the one idle longest.
type connTable struct {
	limits   config.Limits
	counters *metrics.Registry
	log      *zap.Logger
	shortage shortageLog
	memory   *memory.Budget

	mu              sync.Mutex
	total           int           // connections whose descriptor is not yet closed
	pendingCloses   int           // how many of the next answers close their connections, because a new one waits for a descriptor
	evictingCount   int           // connections marked for eviction that have not closed yet; part of total
	awaitingHead    *list.List    // of *conn: no whole head has been received since the connection was accepted or the request began; oldest first
	awaitingBody    *list.List    // of *conn: a head has been received and its body is incomplete; oldest first
	idle            *list.List    // of *conn: the last answer is written and nothing was received since; longest idle first
	lingering       *list.List    // of *conn: the last answer is written and the client has yet to close; oldest first
	descriptorFreed chan struct{} // receives a value when a descriptor is closed

	memoryVictim      *conn     // the connection that was last evicted for its memory
	memoryVictimSince time.Time // when that was
}

// newConnTable returns an empty table.
func newConnTable(limits config.Limits, counters *metrics.Registry, log *zap.Logger) *connTable {
	return &connTable{limits: limits, counters: counters, log: log, shortage: shortageLog{log: log}, memory: memory.NewBudget(limits.RequestMemory),
		awaitingHead: list.New(), awaitingBody: list.New(), idle: list.New(), lingering: list.New(), descriptorFreed: make(chan struct{}, 1)}
}

// addToList appends an open connection that is in no list to the given one. The caller holds the lock.
func (t *connTable) addToList(c *conn, to *list.List) {
	if (!c.closed || to == t.lingering) && c.listElement == nil {
		c.listElement, c.inList, c.listedSince = to.PushBack(c), to, time.Now()
	}
}

// removeFromList removes a connection from its list, if it is in one. The caller holds the lock.
func (t *connTable) removeFromList(c *conn) {
	if c.listElement != nil {
		c.inList.Remove(c.listElement)
		c.listElement, c.inList = nil, nil
	}
}

// accepted adds a new connection.
func (t *connTable) accepted(nc net.Conn) *conn {
	c := &conn{Conn: nc, table: t, acceptedAt: time.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total++
	t.addToList(c, t.awaitingHead)
	return c
}

// requestBegun notes that a request has begun to arrive, and when it has to be complete.
func (t *connTable) requestBegun(c *conn, deadline time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.inList != t.awaitingHead { // otherwise it keeps its place, from when it was accepted
		t.removeFromList(c)
		t.addToList(c, t.awaitingHead)
	}
	c.setEvicting(false)
	c.endReason = ""
	c.requestDeadline = deadline
	c.Conn.SetReadDeadline(deadline) // fails only on a closed connection
}

// headReceived notes that a head has been received and its body is incomplete.
func (t *connTable) headReceived(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeFromList(c)
	t.addToList(c, t.awaitingBody)
}

// requestReceived notes that a whole request has been received. From here on its connection is not evicted.
func (t *connTable) requestReceived(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeFromList(c)
	c.requestDeadline = time.Time{}
	if c.evicting {
		c.setEvicting(false)
		c.endReason = ""
		c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
}

// onStateChange is net/http's ConnState hook. A connection becomes idle once the answer is written, unless the next
// request has already begun to arrive.
func (t *connTable) onStateChange(nc net.Conn, to http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || to != http.StateIdle && to != http.StateActive {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.answering = to == http.StateActive; c.answering {
		c.hangup, c.hungUp = make(chan struct{}), false
		return
	}
	c.hangup, c.requestDeadline = nil, time.Time{}
	t.removeFromList(c)
	if len(c.received) > 0 {
		t.addToList(c, t.awaitingHead)
	} else {
		t.addToList(c, t.idle)
	}
}

// evictForRoom evicts one connection if descriptors are short, and reports whether it did. Those that have not sent a
// whole request go first, since hundreds of them would otherwise push out connections that serve requests. Then come, if a
// new connection waits for a descriptor, those that have their last answer and only wait for their client to close, and
// then the one idle longest, if for EvictIdleAfter: clients may see a connection close between requests, but one used a
// moment ago may well have its next request under way. Connections already being evicted count as gone: on a busy machine
// they take time to close, and evicting others meanwhile would close many that clients still want. The cost: while
// descriptors are short, a client whose request takes longer to arrive may lose its connection.
func (t *connTable) evictForRoom(newOneWaits bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	wanted, incompleteFor := t.limits.ClientConns-t.limits.SpareClientConns, t.limits.EvictSilentAfter
	if newOneWaits {
		wanted, incompleteFor = min(wanted, t.limits.ClientConns-1), min(incompleteFor, t.limits.EvictIncompleteAfter)
	}
	if t.total-t.evictingCount <= wanted {
		return false
	}
	if t.evictIncomplete(incompleteFor) || t.evictSilent() || newOneWaits && t.evictOldest(t.lingering, t.limits.EvictIdleAfter) {
		return true
	}
	return !t.manyIncomplete() && t.evictOldest(t.idle, t.limits.EvictIdleAfter)
}

// manyIncomplete reports whether so many connections have not sent a whole request, or have their last answer, that room
// can be expected from them, even if they have not waited long enough yet. The caller holds the lock.
func (t *connTable) manyIncomplete() bool {
	return t.awaitingHead.Len()+t.awaitingBody.Len()+t.lingering.Len() > t.limits.ClientConns/4
}

// evictIncomplete evicts the oldest connection that has begun a request and not completed it, if it has waited for at least
// minAge, and reports whether there was one. The caller holds the lock.
func (t *connTable) evictIncomplete(minAge time.Duration) bool {
	if t.evictOldest(t.awaitingBody, minAge) {
		return true
	}
	for e := t.awaitingHead.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if time.Since(c.listedSince) < minAge {
			return false
		}
		if !c.isSilent() {
			t.removeFromList(c)
			return t.evict(c, evictedPartial)
		}
	}
	return false
}

// evictSilent evicts the oldest connection that has sent nothing, and reports whether there was one. On a busy machine a
// client may take a while between its connection and its request, so a silent connection is spared for EvictFewSilentAfter,
// or, if so many are silent that it is they who leave no room, for EvictSilentAfter. The caller holds the lock.
func (t *connTable) evictSilent() bool {
	var oldest *conn
	silent := 0
	for e := t.awaitingHead.Front(); e != nil && silent <= t.limits.ClientConns/4; e = e.Next() {
		if c := e.Value.(*conn); c.isSilent() {
			silent++
			if oldest == nil {
				oldest = c
			}
		}
	}
	minAge := t.limits.EvictFewSilentAfter
	if silent > t.limits.ClientConns/4 {
		minAge = t.limits.EvictSilentAfter
	}
	if oldest == nil || time.Since(oldest.listedSince) < minAge {
		return false
	}
	t.removeFromList(oldest)
	return t.evict(oldest, evictedSilent)
}

// evictOldest evicts the oldest connection that has been in a list for at least minAge, and reports whether there was one.
// Idle connections that have unread bytes or were closed by the client are only removed from the list. The caller holds
// the lock.
func (t *connTable) evictOldest(l *list.List, minAge time.Duration) bool {
	for e := l.Front(); e != nil; e = l.Front() {
		c := e.Value.(*conn)
		if time.Since(c.listedSince) < minAge {
			return false
		}
		t.removeFromList(c)
		if l == t.idle && !sockstat.OpenAndEmpty(c.Conn) { // its next request waits to be read, or the client has closed it
			continue
		}
		if t.evict(c, t.evictionReason(c, l)) {
			return true
		}
	}
	return false
}

// evictionReason returns why a connection that was in a list is evicted to make room. The caller holds the lock.
func (t *connTable) evictionReason(c *conn, l *list.List) endReason {
	switch {
	case l == t.idle:
		return evictedIdle
	case l == t.lingering:
		return evictedLinger
	case l == t.awaitingHead && c.isSilent():
		return evictedSilent
	}
	return evictedPartial
}

// evict wakes the reader of a connection, which closes it unless a whole request has arrived, and reports whether the
// connection was open. The caller holds the lock.
func (t *connTable) evict(c *conn, reason endReason) bool {
	lingering := c.closed
	if !lingering {
		c.setEvicting(true)
	}
	if err := c.Conn.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	c.setEndReason(reason)
	t.counters.Inc(map[bool]string{true: "clients.linger_cut", false: "clients.evicted"}[lingering])
	return true
}

// evictInactive evicts the connections that have been idle for EvictIdleAfter and those that have sent no whole head for
// EvictSilentAfter, unless a request has arrived on them, and returns the number of open connections. A connection that was
// used a moment ago is spared, since its next request may well be under way; that request's answer closes it.
func (t *connTable) evictInactive() (remaining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.evictOldest(t.idle, t.limits.EvictIdleAfter) {
	}
	for t.evictOldest(t.awaitingHead, t.limits.EvictSilentAfter) {
	}
	return t.total
}

// reserveMemory takes bytes from the memory budget for a request that is arriving on a connection, and reports whether
// there were as many. If memory is short, it evicts connections that hold memory for incomplete requests, one after the
// other, the oldest first. It gives up when the request's own time is over, when its own connection is evicted, or when
// only complete requests hold memory.
func (t *connTable) reserveMemory(c *conn, bytes int) bool {
	spare := t.limits.RequestMemory / answerMemoryPart
	if t.memory.Reserve(bytes, spare) {
		return true
	}
	t.counters.Inc("clients.memory_waits")
	t.shortage.note("memory")
	for t.evictForMemory(c) {
		if t.memory.ReserveWithin(bytes, spare, memoryEvictionTime) {
			return true
		}
	}
	return t.memory.Reserve(bytes, spare) // those that were evicted may have released theirs in the meantime
}

// evictForMemory evicts the oldest connection that holds memory for an incomplete request which has waited longer than the
// given one, or for EvictIncompleteAfter, unless one is being evicted for that already: a request that arrives quickly is
// not evicted for one that has stalled. It reports whether it makes sense for the connection to wait for memory.
func (t *connTable) evictForMemory(waiting *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if waiting.evicting || waiting.closed || !waiting.requestDeadline.IsZero() && time.Now().After(waiting.requestDeadline) {
		return false
	}
	if victim := t.memoryVictim; victim != nil && victim.evicting && time.Since(t.memoryVictimSince) < memoryEvictionTime {
		return true
	}
	othersHoldMemory := t.evictingCount > 0
	for _, l := range []*list.List{t.awaitingBody, t.awaitingHead} {
		for e := l.Front(); e != nil; e = e.Next() {
			c := e.Value.(*conn)
			if c == waiting || c.reserved.Load()+c.bodyBytes.Load() == 0 {
				continue
			}
			othersHoldMemory = true
			if c.listedSince.Before(waiting.listedSince) || time.Since(c.listedSince) >= t.limits.EvictIncompleteAfter {
				t.removeFromList(c)
				t.memoryVictim, t.memoryVictimSince = c, time.Now()
				return t.evict(c, evictedForBytes)
			}
		}
	}
	return othersHoldMemory
}

// mustCloseAfterAnswer reports whether the answer to a connection's present request has to close the connection: either
// more connections are open than the node wants, and none can make room or the client sends more than one request at a time
// or too many that are not served; or a new connection has waited for a descriptor. On a busy machine, connections
// between requests already have their next request waiting and cannot be evicted; if they were served forever, new
// connections would stay in the backlog until their requests time out. Each close costs the client a new connection, which
// is more expensive than the request, so only a few answers per wait close theirs.
func (t *connTable) mustCloseAfterAnswer(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pendingCloses > 0 {
		t.pendingCloses--
		return true
	}
	if t.total <= t.limits.ClientConns-t.limits.SpareClientConns {
		return false
	}
	return c.slowedDown || c.pipelined || t.idle.Len() == 0 && !t.manyIncomplete()
}

// isFull reports whether there is no descriptor for another connection.
func (t *connTable) isFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total >= t.limits.ClientConns
}

// askForCloses makes some of the next answers close their connections, because a new one waits for a descriptor; not if
// connections that have not sent a whole request will make room.
func (t *connTable) askForCloses() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingCloses = t.limits.ClosesPerAcceptWait
	if t.manyIncomplete() {
		t.pendingCloses = 0
	}
}

// stopCloses ends what askForCloses began.
func (t *connTable) stopCloses() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingCloses = 0
}

// waitForDescriptor waits until a descriptor is closed, for evictionWait at most.
func (t *connTable) waitForDescriptor() {
	timer := time.NewTimer(evictionWait)
	defer timer.Stop()
	select {
	case <-t.descriptorFreed:
	case <-timer.C:
	}
}
