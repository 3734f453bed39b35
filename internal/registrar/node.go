package registrar

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/statemachine"
)

const (
	snapshotInterval = 1000 // log entries applied between two snapshots
	keptLogEntries   = 2000 // log entries kept before a snapshot, so that registrars slightly behind need no snapshot
	maxProposals     = 1024 // proposals waiting to be committed; further ones are refused as busy
	maxQueuedReads   = 8192 // reads waiting for the next proof of leadership
)

// node owns the Raft node, the replicated state and, while this registrar leads, what dispatchers have reported to it.
// It runs as one goroutine; all others reach it through its inbox.
type node struct {
	opts       Options
	id         Identity
	rawNode    *raft.RawNode
	inbox      *mailbox[any]
	storeInbox *mailbox[storeRequest]
	peers      *peers
	log        *zap.Logger
	counters   *metrics.Set

	state         *statemachine.State
	appliedIndex  uint64
	appliedTerm   uint64 // term of the entry at appliedIndex
	confState     *pb.ConfState
	snapshotIndex uint64
	// confChanged says that the membership has changed since the last snapshot. A new snapshot is due then, because a
	// registrar that joins is sent the last snapshot and accepts none that doesn't name it.
	confChanged       bool
	watermarks        map[uint64]Watermark // by registrar ID, including changes not yet written to the store
	watermarksChanged bool                 // since they were last sent to the store

	term               uint64
	leaderID           uint64
	leading            bool
	appliedOwnTerm     bool                         // an entry of this term was applied: no earlier leader's state is newer
	leases             *lease.Tracker               // nil unless leading
	serverLists        map[string]serverList        // this map and the next four are by dispatcher, with what it reported in this term
	hostEvidence       map[string][]cordon.Evidence // for automatic cordons
	unknownKinds       map[string][]string          // kinds of rules that the dispatcher doesn't understand
	repeatWindows      map[string]map[string]int64  // by dispatcher and class, as its last beat gave them
	draining           map[string]bool              // dispatchers that take no further dispatches
	siteEvidence       map[string]siteReport
	clockOffsets       map[string]*lease.ClockOffset // the dispatcher's wall clock minus this registrar's
	peerClockOffsets   map[uint64]*lease.ClockOffset // the same for other registrars, by ID
	time               agreedTime
	leaderSince        time.Duration
	expiryCountedUntil time.Duration // time up to here is counted towards the expiry of cordons
	dueMayHaveChanged  bool          // the entries that are due have to be computed again
	dueInFlight        int           // entries that were due, proposed and not yet committed

	planRequests chan planRequest   // to the planner
	planning     bool               // the planner is at work
	plan         *statemachine.Plan // not yet acted upon; nil: there is none
	nextPlanAt   time.Duration      // no plan is asked for before then

	sites   map[string]statemachine.SiteStatus // as last told in a status
	sitesAt time.Duration                      // when they were computed

	longestTurn atomic.Int64 // the longest time, in ns, for which the node took no message

	lastRef      uint64
	replies      map[string]func(any) // by the Ref of a proposed entry
	queuedReads  []*readRequest       // waiting for the next ReadIndex round
	provingReads []*readRequest       // covered by the ReadIndex round in progress
	readIndexID  uint64               // of the latest ReadIndex round
	readIndexAt  time.Duration        // when that round started
	provenReads  []provenBatch        // leadership proved; waiting until the state is applied up to the read index

	published atomic.Pointer[view]
}

// serverList is the list of servers that a dispatcher reported.
type serverList struct {
	digest  string // as the dispatcher computed it
	servers []cordon.Server
}

// siteReport is a dispatcher's latest evidence on which sites can be reached.
type siteReport struct {
	receivedAt time.Duration
	evidence   []contact.Evidence
}

// view is the part of the node's state that other goroutines may read. A view is never changed, only replaced.
type view struct {
	document   ruleset.Document
	role       accord.RegistrarStatus
	registrars map[string]statemachine.Registrar
	formerIDs  []uint64      // identities of registrars that were replaced or removed
	replaced   chan struct{} // closed when a newer view replaces this one
}

// Messages to the node.
type (
	// raftMessages come from another registrar.
	raftMessages struct {
		fromName string
		fromID   uint64
		messages []*pb.Message
		boots    uint64
		unixMs   int64 // the sender's wall clock
	}
	// storeResponses are Raft messages to send now that what they promise is on the disk.
	storeResponses struct{ messages []*pb.Message }
	// failure is an error that ends this registrar.
	failure struct{ err error }
	// tick advances the Raft library's clock.
	tick struct{}
	// sendResult says that a snapshot was sent or failed, or that a registrar is unreachable.
	sendResult struct {
		to         uint64
		isSnapshot bool
		ok         bool
	}
	// readRequest is a linearizable read: its answer needs proof that this registrar leads, and the state as of then.
	readRequest struct {
		receivedAt  time.Duration
		beat        *accord.Beat // nil: a request for the status
		leaseLength time.Duration
		reply       func(any)
	}
	// helloRequest asks whether the store of a registrar that starts is up to date.
	helloRequest struct {
		hello Hello
		reply func(any) // a Watermark to store, or an *accord.Problem
	}
	// proposal asks that an entry is committed.
	proposal struct {
		entry statemachine.Entry
		reply func(any) // a statemachine.Result, or an *accord.Problem
	}
	// membershipRequest asks that a registrar is added, replaced or removed.
	membershipRequest struct {
		change MembershipChange
		reply  func(any)
	}
	// leadershipTransfer asks that another registrar takes over as leader.
	leadershipTransfer struct{}
)

// provenBatch are reads that may be answered once the state is applied up to index.
type provenBatch struct {
	index uint64
	reads []*readRequest
}

// envelope is the form of a log entry's data.
type envelope struct {
	Ref   string          `json:"ref"` // finds the waiting reply on the registrar that proposed it
	Entry json.RawMessage `json:"entry"`
}

// confChangeContext is the context of a Raft configuration change: which registrar is added, replaced or removed.
type confChangeContext struct {
	Ref  string `json:"ref"`
	Name string `json:"name"`
	Addr string `json:"address"` // empty: the registrar is removed
	ID   uint64 `json:"id"`
}

// newNode restores a node from its store.
func newNode(o Options, store *store, peers *peers, inbox *mailbox[any], storeInbox *mailbox[storeRequest], counters *metrics.Set, log *zap.Logger) (*node, error) {
	n := &node{opts: o, id: store.id, inbox: inbox, storeInbox: storeInbox, peers: peers, log: log, counters: counters, replies: map[string]func(any){},
		planRequests: make(chan planRequest, 1), state: statemachine.New(o.Budget, o.ColdTime.Milliseconds())}
	snapshot, err := store.memory.Snapshot()
	if err != nil {
		return nil, err
	}
	n.confState = &pb.ConfState{}
	if !raft.IsEmptySnap(snapshot) {
		if n.state, err = decodeState(snapshot); err != nil {
			return nil, err
		}
		n.appliedIndex, n.confState, n.snapshotIndex = snapshot.Metadata.GetIndex(), snapshot.Metadata.ConfState, snapshot.Metadata.GetIndex()
	}
	if n.watermarks, err = store.watermarks(); err != nil {
		return nil, err
	}
	n.rawNode, err = raft.NewRawNode(&raft.Config{ID: store.id.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: store.memory,
		Applied: n.appliedIndex, AsyncStorageWrites: true, MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 32 << 20,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, Logger: raftLogger{log.Sugar()},
		// With forwarding, an entry that a deposed leader derived from its own dispatchers' reports would reach the log
		// through its successor.
		DisableProposalForwarding: true})
	if err != nil {
		return nil, err
	}
	n.resetDispatcherReports()
	counters.NewGauge("registrar_longest_turn_seconds", func() float64 { return time.Duration(n.longestTurn.Load()).Seconds() })
	n.peers.update(n.state.Registrars)
	n.publish()
	return n, nil
}

const (
	electionTicks  = 10
	heartbeatTicks = 2
	ticksPerLease  = 50 // an election takes 1/5 to 2/5 of a lease, so losing a leader costs no dispatcher its lease
)

// tickEvery is the interval of the Raft library's ticks.
func tickEvery(t lease.Terms) time.Duration { return max(t.Length/ticksPerLease, time.Millisecond) }

// run is the node's main loop. It returns nil when done is closed, or the error that keeps the registrar from going on.
func (n *node) run(done <-chan struct{}) error {
	for turnBegan := time.Now(); ; {
		for n.rawNode.HasReady() {
			n.handleReady(n.rawNode.Ready())
		}
		n.startReadIndex()
		n.proposeDue()
		if n.rawNode.HasReady() {
			continue
		}
		n.longestTurn.Store(max(n.longestTurn.Load(), int64(time.Since(turnBegan))))
		select {
		case <-done:
			n.failAll("the registrar is shutting down")
			return nil
		case <-n.inbox.wake:
		}
		turnBegan = time.Now()
		for _, m := range n.inbox.take() {
			if err := n.handle(m); err != nil {
				n.failAll("the registrar is shutting down")
				return err
			}
		}
	}
}

// ErrRemoved means that this registrar is no longer a member of the Raft group.
var ErrRemoved = errors.New("this registrar was replaced or taken out of the cluster")

// handle processes one message from the inbox. An error ends the registrar.
func (n *node) handle(m any) error {
	switch m := m.(type) {
	case failure:
		return m.err
	case tick:
		n.rawNode.Tick()
		n.dueMayHaveChanged = true
		if len(n.provingReads) > 0 && n.opts.Clock.Now()-n.readIndexAt > n.opts.Terms.Beat {
			n.failReads("leadership can't be proved: the other registrars do not answer")
		}
	case raftMessages:
		recordOffset(n, n.peerClockOffsets, m.fromID, m.unixMs)
		if len(n.state.Registrars) == 0 {
			n.peers.addUnlisted(m.fromName, m.fromID)
		}
		for _, x := range m.messages {
			n.recordWatermark(x, m.boots)
			if err := n.rawNode.Step(x); err != nil {
				n.countReason("messages_refused", "step")
			}
		}
	case storeResponses:
		for _, x := range m.messages {
			n.deliver(x)
		}
	case sendResult:
		n.reportSend(m)
	case *readRequest:
		n.queueRead(m)
	case helloRequest:
		n.handleHello(m)
	case proposal:
		n.propose(m.entry, m.reply)
	case membershipRequest:
		n.proposeMembershipChange(m)
	case leadershipTransfer:
		n.transferLeadership()
	case planResult:
		n.receivePlan(m)
	}
	if n.isRemoved() {
		return ErrRemoved
	}
	return nil
}

// handleHello tells a registrar that starts whether its store is up to date.
func (n *node) handleHello(m helloRequest) {
	if slices.Contains(n.state.FormerRegistrarIDs, m.hello.ID) {
		m.reply(accord.NewProblem(accord.CodeNotFound, "this registrar was replaced"))
		return
	}
	watermark, problem := n.watermarks[m.hello.ID].verify(m.hello)
	if problem != nil {
		n.log.Warn("refused a registrar whose store is an old copy", zap.String("name", m.hello.Name), zap.String("why", problem.Text))
		m.reply(problem)
		return
	}
	n.watermarks[m.hello.ID] = watermark
	m.reply(watermark)
}

// isRemoved reports whether this registrar was replaced or removed, according to the replicated state.
func (n *node) isRemoved() bool { return slices.Contains(n.state.FormerRegistrarIDs, n.id.ID) }

// recordWatermark raises the watermark of the registrar that sent m. A store of that registrar that is behind its
// watermark is an old copy.
func (n *node) recordWatermark(m *pb.Message, boots uint64) {
	if m.GetTerm() != 0 && m.GetTerm() < n.term {
		n.countReason("messages_refused", "old_term") // the library ignores such messages
	}
	old := n.watermarks[m.GetFrom()]
	updated := old
	updated.Boots = max(updated.Boots, boots)
	switch m.GetType() {
	case pb.MsgAppResp, pb.MsgVoteResp: // sent only after the sender has stored what they promise
		updated.Term = max(updated.Term, m.GetTerm())
	}
	if updated != old {
		n.watermarks[m.GetFrom()], n.watermarksChanged = updated, true
	}
}

// handleReady does the work that the Raft library returned: role changes, proved reads, messages and committed entries.
func (n *node) handleReady(rd raft.Ready) {
	if rd.SoftState != nil {
		n.updateRole(rd.SoftState)
	} else if s := n.rawNode.BasicStatus(); n.leading && s.GetTerm() != n.term { // elected again, in a later term
		n.updateRole(&s.SoftState)
	}
	for _, r := range rd.ReadStates {
		if string(r.RequestCtx) == strconv.FormatUint(n.readIndexID, 10) && len(n.provingReads) > 0 {
			n.provenReads = append(n.provenReads, provenBatch{r.Index, n.provingReads})
			n.provingReads = nil
		}
	}
	for _, m := range rd.Messages {
		switch m.GetTo() {
		case raft.LocalAppendThread:
			n.queueAppend(m)
		case raft.LocalApplyThread:
			for _, e := range m.Entries {
				n.applyEntry(e)
			}
			for _, r := range m.Responses {
				n.deliver(r)
			}
			if n.appliedIndex >= n.snapshotIndex+snapshotInterval || n.confChanged {
				n.queueSnapshot()
			}
		default:
			n.peers.send(m)
		}
	}
	n.replyToProvenReads()
}

// queueAppend passes a Raft append on to the store, together with the watermarks that have changed.
func (n *node) queueAppend(m *pb.Message) {
	if !raft.IsEmptySnap(m.Snapshot) {
		n.installSnapshot(m.Snapshot)
	}
	toWrite := batch{}
	if n.leading {
		n.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
			if watermark := n.watermarks[id]; id != n.id.ID && pr.Match > watermark.Match {
				watermark.Match = pr.Match
				n.watermarks[id], n.watermarksChanged = watermark, true
			}
		})
	}
	if n.watermarksChanged {
		toWrite.watermarks, n.watermarksChanged = maps.Clone(n.watermarks), false
	}
	n.storeInbox.put(storeRequest{append: m, batch: toWrite})
}

// deliver passes a message on to its receiver, which may be this node itself.
func (n *node) deliver(m *pb.Message) {
	if m.GetTo() != n.id.ID {
		n.peers.send(m)
		return
	}
	if err := n.rawNode.Step(m); err != nil {
		n.countReason("messages_refused", "own")
	}
}

// updateRole records a change of the leader or the term.
func (n *node) updateRole(s *raft.SoftState) {
	status := n.rawNode.BasicStatus()
	n.leaderID = s.Lead
	leads := s.RaftState == raft.StateLeader
	if leads && (!n.leading || n.term != status.GetTerm()) {
		now := n.opts.Clock.Now()
		n.leases = lease.NewTracker(n.opts.Terms, now)
		n.leaderSince, n.expiryCountedUntil, n.appliedOwnTerm, n.dueInFlight, n.plan, n.sites = now, now, false, 0, nil, nil
		n.resetDispatcherReports()
		n.log.Info("became leader", zap.Uint64("term", status.GetTerm()))
		n.counters.GetOrCreateCounter("registrar_elections_won_total").Inc()
	}
	if !leads && n.leading {
		n.log.Info("lost leadership", zap.Uint64("term", status.GetTerm()), zap.String("leader", n.leaderName()))
		n.failAll("this registrar no longer leads")
		n.leases = nil
	}
	n.leading, n.term = leads, status.GetTerm()
	n.publish()
}

// resetDispatcherReports drops what dispatchers have reported, which is kept for one term only.
func (n *node) resetDispatcherReports() {
	n.serverLists, n.hostEvidence, n.unknownKinds = map[string]serverList{}, map[string][]cordon.Evidence{}, map[string][]string{}
	n.repeatWindows, n.draining = map[string]map[string]int64{}, map[string]bool{}
	n.siteEvidence = map[string]siteReport{}
	n.clockOffsets, n.peerClockOffsets = map[string]*lease.ClockOffset{}, map[uint64]*lease.ClockOffset{}
}

// leaderName returns the name of the present leader, or "" if there is none or it isn't known.
func (n *node) leaderName() string {
	for name, r := range n.state.Registrars {
		if r.ID == n.leaderID && n.leaderID != 0 {
			return name
		}
	}
	return ""
}

// applyEntry applies one committed entry to the replicated state.
func (n *node) applyEntry(e *pb.Entry) {
	n.appliedIndex, n.appliedTerm = e.GetIndex(), e.GetTerm()
	if n.leading && e.GetTerm() == n.term {
		n.appliedOwnTerm, n.dueMayHaveChanged = true, true
	}
	switch {
	case e.GetType() == pb.EntryConfChangeV2 || e.GetType() == pb.EntryConfChange:
		n.applyMembershipChange(e)
		return
	case len(e.Data) == 0: // the empty entry that a new leader appends
		n.publish()
		return
	}
	var env envelope
	err := json.Unmarshal(e.Data, &env)
	var entry statemachine.Entry
	if err == nil {
		entry, err = statemachine.Decode(env.Entry)
	}
	if err != nil {
		// A registrar of an older build that skipped what it can't decode would hold, and answer from, a state that
		// differs from the other registrars'.
		n.inbox.put(failure{fmt.Errorf("log entry %d can't be decoded; is this an older build than the leader's? %w", e.GetIndex(), err)})
		return
	}
	r := n.state.Apply(entry, e.GetTerm())
	if r.Step != nil {
		n.storeInbox.put(storeRequest{batch: batch{steps: []ruleset.Step{*r.Step}}})
	}
	n.dueMayHaveChanged = true
	n.publish()
	n.reply(env.Ref, r)
}

// publish replaces the view that other goroutines read.
func (n *node) publish() {
	next := &view{document: n.state.Ruleset.Document, registrars: n.state.Registrars, formerIDs: n.state.FormerRegistrarIDs,
		replaced: make(chan struct{}), role: accord.RegistrarStatus{Name: n.id.Name, Leader: n.leaderName(),
			IsLeader: n.leading, Term: n.rawNode.BasicStatus().GetTerm(), AppliedIndex: n.appliedIndex, Version: n.state.Ruleset.Document.Head.Version}}
	if previous := n.published.Swap(next); previous != nil {
		close(previous.replaced)
	}
}

// installSnapshot replaces the state by a snapshot that the leader sent.
func (n *node) installSnapshot(snapshot *pb.Snapshot) {
	state, err := decodeState(snapshot)
	if err != nil {
		n.inbox.put(failure{err})
		return
	}
	n.state, n.appliedIndex, n.confState, n.snapshotIndex = state, snapshot.Metadata.GetIndex(), snapshot.Metadata.ConfState, snapshot.Metadata.GetIndex()
	n.appliedTerm = snapshot.Metadata.GetTerm()
	n.peers.update(state.Registrars)
	n.log.Info("installed a snapshot from the leader", zap.Uint64("index", n.appliedIndex), zap.Uint64("version", state.Ruleset.Document.Head.Version))
	n.publish()
}

// queueSnapshot has a snapshot of the state written, so that the log before it can be dropped.
func (n *node) queueSnapshot() {
	n.snapshotIndex, n.confChanged = n.appliedIndex, false
	data, err := json.Marshal(n.state)
	if err != nil {
		n.inbox.put(failure{fmt.Errorf("encode snapshot: %w", err)})
		return
	}
	term := n.appliedTerm
	keep := uint64(0)
	if n.appliedIndex > keptLogEntries {
		keep = n.appliedIndex - keptLogEntries
	}
	n.storeInbox.put(storeRequest{batch: batch{keepFrom: keep, snapshot: &pb.Snapshot{Data: data,
		Metadata: &pb.SnapshotMetadata{ConfState: n.confState, Index: proto.Uint64(n.appliedIndex), Term: proto.Uint64(term)}}}})
}

// reportSend passes the result of a send on to the Raft library.
func (n *node) reportSend(m sendResult) {
	switch {
	case m.isSnapshot && m.ok:
		n.rawNode.ReportSnapshot(m.to, raft.SnapshotFinish)
	case m.isSnapshot:
		n.rawNode.ReportSnapshot(m.to, raft.SnapshotFailure)
	default:
		n.rawNode.ReportUnreachable(m.to)
	}
}

// transferLeadership hands leadership to the most up-to-date active registrar, before this one shuts down.
func (n *node) transferLeadership() {
	if !n.leading {
		return
	}
	target, match := uint64(0), uint64(0)
	n.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id != n.id.ID && pr.RecentActive && pr.Match >= match {
			target, match = id, pr.Match
		}
	})
	if target != 0 {
		n.rawNode.TransferLeader(target)
	}
}

// countReason increments a counter that is labelled with a reason.
func (n *node) countReason(name, reason string) {
	n.counters.GetOrCreateCounter(fmt.Sprintf("registrar_%s_total{why=%q}", name, reason)).Inc()
}
