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
	snapshotInterval = 1000 // entries carried out since the last one
	keptLogEntries   = 2000 // before a snapshot, for registrars that are a little behind
	maxProposals     = 1024 // that wait for agreement; beyond, askers are told to come back
	maxQueuedReads   = 8192 // that wait for a proof of leadership
)

// node is the task that owns the raft node, the record and what this leader has heard. All else talks to it by messages.
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
	appliedTerm   uint64 // of the entry carried out last
	confState     *pb.ConfState
	snapshotIndex uint64
	// The registrars have changed since the last snapshot. Danger: one that joins is sent the last one, and takes no
	// record that does not name it.
	confChanged       bool
	watermarks        map[uint64]Watermark // as they will be on the disk
	watermarksChanged bool                 // they have changed

	term               uint64
	leaderID           uint64
	leading            bool
	appliedOwnTerm     bool // an entry of the own term was carried out: the record is as new as any leader's
	leases             *lease.Tracker
	serverLists        map[string]serverList
	hostEvidence       map[string][]cordon.Evidence
	unknownKinds       map[string][]string
	siteEvidence       map[string]siteReport
	clockOffsets       map[string]time.Duration // by dispatcher: its wall clock's distance from this leader's
	leaderSince        time.Duration            // since when
	expiryCountedUntil time.Duration            // time was last counted towards expiries
	dueMayHaveChanged  bool                     // what is due may have changed
	dueInFlight        int                      // entries that are on their way

	lastRef      uint64
	replies      map[string]func(any) // by reference of an entry
	queuedReads  []*readRequest       // that wait for the next proof
	provingReads []*readRequest       // whose proof is under way
	readIndexID  uint64
	readIndexAt  time.Duration
	provenReads  []provenBatch // proved, and waiting until the record is as new

	published atomic.Pointer[view]
}

// list is a dispatcher's list of servers.
type serverList struct {
	digest  string
	servers []cordon.Server
}

// evidence is what a dispatcher met at sites, and when it told.
type siteReport struct {
	receivedAt time.Duration
	evidence   []contact.Evidence
}

// shown is what other tasks may read: the newest version, and a channel that is closed when it is replaced.
type view struct {
	document   ruleset.Document
	role       accord.Role
	registrars map[string]statemachine.Registrar
	formerIDs  []uint64
	replaced   chan struct{}
}

// Messages to the node.
type (
	raftMessages struct { // from another registrar
		fromName string
		fromID   uint64
		messages []*pb.Message
		boots    uint64
	}
	storeResponses struct{ messages []*pb.Message } // answers of the store
	failure        struct{ err error }
	tick           struct{}
	sendResult     struct { // a snapshot, or that a registrar can't be reached
		to       uint64
		snapshot bool
		ok       bool
	}
	readRequest struct { // needs proof that this registrar leads, and the record as of then
		receivedAt  time.Duration
		beat        *accord.Beat // nil: only the record
		leaseLength time.Duration
		reply       func(any)
	}
	helloRequest struct { // what another registrar tells of itself at its start
		hello Hello
		reply func(any) // a Mark to write down, or a *accord.Problem
	}
	proposal struct {
		entry statemachine.Entry
		reply func(any) // a statemachine.Result, or a *accord.Problem
	}
	membershipRequest struct { // of the registrars
		change MembershipChange
		reply  func(any)
	}
	leadershipTransfer struct{}
)

type provenBatch struct {
	index uint64
	reads []*readRequest
}

// envelope is an entry of the log.
type envelope struct {
	Ref   string          `json:"ref"`
	Entry json.RawMessage `json:"entry"`
}

// memberChange goes with a change of the registrars.
type confChangeContext struct {
	Ref  string `json:"ref"`
	Name string `json:"name"`
	Addr string `json:"address"` // empty: it goes
	ID   uint64 `json:"id"`
}

func newNode(o Options, store *store, peers *peers, inbox *mailbox[any], storeInbox *mailbox[storeRequest], counters *metrics.Set, log *zap.Logger) (*node, error) {
	n := &node{opts: o, id: store.id, inbox: inbox, storeInbox: storeInbox, peers: peers, log: log, counters: counters, replies: map[string]func(any){},
		state: statemachine.New(o.Budget, o.SlowStart.Milliseconds())}
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
		// Danger: what a deposed leader judged by what it heard would reach the log through its successor.
		DisableProposalForwarding: true})
	if err != nil {
		return nil, err
	}
	n.resetDispatcherReports()
	n.peers.update(n.state.Registrars)
	n.publish()
	return n, nil
}

const (
	electionTicks  = 10
	heartbeatTicks = 2
	ticksPerLease  = 50 // an election takes a fifth to two fifths of a lease: a lost leader costs no dispatcher its own
)

// tickEvery is the unit of the library's time.
func tickEvery(t lease.Terms) time.Duration { return max(t.Length/ticksPerLease, time.Millisecond) }

// run is the task. It ends with done, or when the registrar can't go on.
func (n *node) run(done <-chan struct{}) error {
	for {
		for n.rawNode.HasReady() {
			n.handleReady(n.rawNode.Ready())
		}
		n.startReadIndex()
		n.proposeDue()
		if n.rawNode.HasReady() {
			continue
		}
		select {
		case <-done:
			n.failAll("the registrar ends")
			return nil
		case <-n.inbox.wake:
		}
		for _, m := range n.inbox.take() {
			if err := n.handle(m); err != nil {
				n.failAll("the registrar ends")
				return err
			}
		}
	}
}

// ErrRemoved tells that the others go on without this registrar.
var ErrRemoved = errors.New("this registrar was replaced or taken out of the cluster")

func (n *node) handle(m any) error {
	switch m := m.(type) {
	case failure:
		return m.err
	case tick:
		n.rawNode.Tick()
		n.dueMayHaveChanged = true
		if len(n.provingReads) > 0 && n.opts.Clock.Now()-n.readIndexAt > n.opts.Terms.Beat {
			n.failReads("leadership can't be proved: the others do not answer")
		}
	case raftMessages:
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
	}
	if n.isRemoved() {
		return ErrRemoved
	}
	return nil
}

// greeted judges a registrar that starts.
func (n *node) handleHello(m helloRequest) {
	if slices.Contains(n.state.FormerRegistrarIDs, m.hello.ID) {
		m.reply(accord.NewProblem(accord.CodeGone, "this registrar was replaced"))
		return
	}
	mark, p := n.watermarks[m.hello.ID].verify(m.hello)
	if p != nil {
		n.log.Warn("refuses a registrar whose disk is an old copy", zap.String("name", m.hello.Name), zap.String("why", p.Text))
		m.reply(p)
		return
	}
	n.watermarks[m.hello.ID] = mark
	m.reply(mark)
}

// removed tells that the record names others in this registrar's place.
func (n *node) isRemoved() bool { return slices.Contains(n.state.FormerRegistrarIDs, n.id.ID) }

// see marks what another registrar was seen to promise: its disk has it, or is not the disk it was.
func (n *node) recordWatermark(m *pb.Message, boots uint64) {
	if m.GetTerm() != 0 && m.GetTerm() < n.term {
		n.countReason("messages_refused", "old_term") // the library passes them over
	}
	old := n.watermarks[m.GetFrom()]
	updated := old
	updated.Boots = max(updated.Boots, boots)
	switch m.GetType() {
	case pb.MsgAppResp, pb.MsgVoteResp: // sent only once its disk has what they promise
		updated.Term = max(updated.Term, m.GetTerm())
	}
	if updated != old {
		n.watermarks[m.GetFrom()], n.watermarksChanged = updated, true
	}
}

// ready carries out what the library asks.
func (n *node) handleReady(rd raft.Ready) {
	if rd.SoftState != nil {
		n.updateRole(rd.SoftState)
	} else if s := n.rawNode.BasicStatus(); n.leading && s.GetTerm() != n.term { // it leads again, in another term
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

// append hands a write to the store's task.
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

// deliver brings an answer to where it belongs.
func (n *node) deliver(m *pb.Message) {
	if m.GetTo() != n.id.ID {
		n.peers.send(m)
		return
	}
	if err := n.rawNode.Step(m); err != nil {
		n.countReason("messages_refused", "own")
	}
}

// role follows who leads.
func (n *node) updateRole(s *raft.SoftState) {
	status := n.rawNode.BasicStatus()
	n.leaderID = s.Lead
	leads := s.RaftState == raft.StateLeader
	if leads && (!n.leading || n.term != status.GetTerm()) {
		now := n.opts.Clock.Now()
		n.leases = lease.NewTracker(n.opts.Terms, now)
		n.leaderSince, n.expiryCountedUntil, n.appliedOwnTerm, n.dueInFlight = now, now, false, 0
		n.resetDispatcherReports()
		n.log.Info("leads", zap.Uint64("term", status.GetTerm()))
		n.counters.GetOrCreateCounter("registrar_elections_won_total").Inc()
	}
	if !leads && n.leading {
		n.log.Info("does not lead any more", zap.Uint64("term", status.GetTerm()), zap.String("leader", n.leaderName()))
		n.failAll("another registrar leads, or none")
		n.leases = nil
	}
	n.leading, n.term = leads, status.GetTerm()
	n.publish()
}

// forgetHeard begins anew with what is kept of dispatchers for one term.
func (n *node) resetDispatcherReports() {
	n.serverLists, n.hostEvidence, n.unknownKinds = map[string]serverList{}, map[string][]cordon.Evidence{}, map[string][]string{}
	n.siteEvidence, n.clockOffsets = map[string]siteReport{}, map[string]time.Duration{}
}

func (n *node) leaderName() string {
	for name, r := range n.state.Registrars {
		if r.ID == n.leaderID && n.leaderID != 0 {
			return name
		}
	}
	return ""
}

// carryOut takes one agreed entry into the record.
func (n *node) applyEntry(e *pb.Entry) {
	n.appliedIndex, n.appliedTerm = e.GetIndex(), e.GetTerm()
	if n.leading && e.GetTerm() == n.term {
		n.appliedOwnTerm, n.dueMayHaveChanged = true, true
	}
	switch {
	case e.GetType() == pb.EntryConfChangeV2 || e.GetType() == pb.EntryConfChange:
		n.applyMembershipChange(e)
		return
	case len(e.Data) == 0: // of a new leader
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
		// Danger: a registrar of an older program that passes over what it can't read holds another record than the
		// others, and answers from it.
		n.inbox.put(failure{fmt.Errorf("entry %d of the log can't be read; is this an older program than the leader's? %w", e.GetIndex(), err)})
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

func (n *node) reply(ref string, v any) {
	if reply := n.replies[ref]; reply != nil {
		delete(n.replies, ref)
		reply(v)
	}
}

// show lets other tasks see the newest version.
func (n *node) publish() {
	s := &view{document: n.state.Book.Document, registrars: n.state.Registrars, formerIDs: n.state.FormerRegistrarIDs,
		replaced: make(chan struct{}), role: accord.Role{Name: n.id.Name, Leader: n.leaderName(),
			Leads: n.leading, Term: n.rawNode.BasicStatus().GetTerm(), Applied: n.appliedIndex, Version: n.state.Book.Document.Head.Version}}
	if was := n.published.Swap(s); was != nil {
		close(was.replaced)
	}
}

// install takes a record that the leader sent whole.
func (n *node) installSnapshot(snap *pb.Snapshot) {
	s, err := decodeState(snap)
	if err != nil {
		n.inbox.put(failure{err})
		return
	}
	n.state, n.appliedIndex, n.confState, n.snapshotIndex = s, snap.Metadata.GetIndex(), snap.Metadata.ConfState, snap.Metadata.GetIndex()
	n.appliedTerm = snap.Metadata.GetTerm()
	n.peers.update(s.Registrars)
	n.log.Info("took the whole record from the leader", zap.Uint64("index", n.appliedIndex), zap.Uint64("version", s.Book.Document.Head.Version))
	n.publish()
}

// snapshot writes the record whole once in a while, so that the log stays short.
func (n *node) queueSnapshot() {
	n.snapshotIndex, n.confChanged = n.appliedIndex, false
	text, err := json.Marshal(n.state)
	if err != nil {
		n.inbox.put(failure{fmt.Errorf("record: %w", err)})
		return
	}
	term := n.appliedTerm
	keep := uint64(0)
	if n.appliedIndex > keptLogEntries {
		keep = n.appliedIndex - keptLogEntries
	}
	n.storeInbox.put(storeRequest{batch: batch{keepFrom: keep, snapshot: &pb.Snapshot{Data: text,
		Metadata: &pb.SnapshotMetadata{ConfState: n.confState, Index: proto.Uint64(n.appliedIndex), Term: proto.Uint64(term)}}}})
}

// ask takes a question that needs proof of leadership. Danger: a beat counts from here, before anything is granted.
func (n *node) queueRead(a *readRequest) {
	switch {
	case !n.leading:
		a.reply(n.notLeader())
		return
	case !n.appliedOwnTerm || len(n.queuedReads) >= maxQueuedReads:
		a.reply(accord.NewProblem(accord.CodeBusy, "the leader has just been chosen, or has too much to do"))
		return
	}
	if b := a.beat; b != nil {
		if m, ok := n.state.Members[b.Name]; !ok || m.Incarnation != b.Life {
			a.reply(accord.NewProblem(accord.CodeLife, "this life is not in the record"))
			return
		}
		_, was, _ := n.leases.LastBeat(b.Name, b.Life)
		a.leaseLength = n.state.LeaseLength(n.opts.Terms, n.state.Members[b.Name].Site, n.unixMs())
		n.leases.RecordBeat(a.receivedAt, b.Name, b.Life, b.Holds, a.leaseLength)
		n.dueMayHaveChanged = n.dueMayHaveChanged || b.Holds > was
		if len(b.Listed) > 0 {
			n.serverLists[b.Name] = serverList{b.List, b.Listed}
		}
		if b.Reports != nil {
			n.hostEvidence[b.Name] = cordon.AccumulateEvidence(n.hostEvidence[b.Name], b.Reports)
		}
		n.clockOffsets[b.Name] = time.UnixMilli(b.Unix).Sub(n.opts.WallClock())
		if len(b.Met) > 0 {
			n.siteEvidence[b.Name] = siteReport{a.receivedAt, b.Met}
		}
		for _, e := range b.Ended {
			n.propose(statemachine.Entry{Outcome: &e}, func(any) {})
		}
		if n.unknownKinds[b.Name] = b.Unknown; len(b.Unknown) == 0 {
			delete(n.unknownKinds, b.Name)
		}
		n.counters.GetOrCreateCounter("registrar_beats_total").Inc()
	}
	n.queuedReads = append(n.queuedReads, a)
}

func (n *node) notLeader() *accord.Problem {
	if n.leaderID == 0 {
		return accord.NewProblem(accord.CodeBusy, "there is no leader now, as far as this registrar knows")
	}
	p := accord.NewProblem(accord.CodeNotLeader, "another registrar leads")
	p.Leader = n.leaderName()
	return p
}

// prove asks the others whether this registrar still leads, once for all that wait.
func (n *node) startReadIndex() {
	if len(n.queuedReads) == 0 || len(n.provingReads) > 0 || !n.leading || !n.appliedOwnTerm {
		return
	}
	n.readIndexID++
	n.provingReads, n.queuedReads, n.readIndexAt = n.queuedReads, nil, n.opts.Clock.Now()
	n.rawNode.ReadIndex([]byte(strconv.FormatUint(n.readIndexID, 10)))
}

// answerProven answers those whose proof has come, once the record is as new as it was proved to be.
func (n *node) replyToProvenReads() {
	n.provenReads = slices.DeleteFunc(n.provenReads, func(p provenBatch) bool {
		if p.index > n.appliedIndex {
			return false
		}
		for _, a := range p.reads {
			if a.beat == nil {
				a.reply(n.status())
			} else {
				a.reply(n.grantLease(a.beat, a.leaseLength))
			}
		}
		return true
	})
}

// grant gives a lease on the newest version.
func (n *node) grantLease(b *accord.Beat, length time.Duration) any {
	if m := n.state.Members[b.Name]; m.Incarnation != b.Life {
		return accord.NewProblem(accord.CodeLife, "another life took its place")
	}
	d := n.state.Book.Document
	g := accord.Granted{Cluster: n.opts.Cluster, Leader: n.id.Name, Version: d.Head.Version, LeaseNs: int64(length),
		WantList: b.List != "" && n.serverLists[b.Name].digest != b.List, Tasks: n.state.Tasks(b.Name, b.Life)}
	if b.Holds != d.Head.Version {
		g.Document = &d
	}
	return g
}

// propose puts an entry before the others.
func (n *node) propose(e statemachine.Entry, reply func(any)) {
	switch {
	case !n.leading:
		reply(n.notLeader())
		return
	case !n.appliedOwnTerm || len(n.replies) >= maxProposals:
		reply(accord.NewProblem(accord.CodeBusy, "the leader has just been chosen, or has too much to do"))
		return
	}
	if e.Ask != nil && e.Ask.Author != "" {
		e.Ask.Evidence = nil
		if slices.ContainsFunc(e.Ask.Changes, func(c ruleset.Change) bool { return c.Kind == ruleset.KindCordon }) {
			// Danger: a leader that has just been chosen has heard no list yet, and would hold every server for unknown.
			if e.Ask.Evidence = n.mergedServers(); len(n.serverLists) == 0 && n.opts.Clock.Now() < n.leaderSince+n.opts.Terms.Length {
				reply(accord.NewProblem(accord.CodeBusy, "no dispatcher has told this leader of the servers yet"))
				return
			}
		}
		if p := n.findUnsupported(e.Ask); p != nil {
			reply(p)
			return
		}
	}
	e.Term, e.At = n.term, n.unixMs()
	inner, err := json.Marshal(e)
	var text []byte
	n.lastRef++
	ref := fmt.Sprintf("%x-%d-%d", n.id.ID, n.id.Boots, n.lastRef)
	if err == nil {
		text, err = json.Marshal(envelope{ref, inner})
	}
	if err != nil {
		reply(accord.NewProblem(accord.CodeWrong, err.Error()))
		return
	}
	if err := n.rawNode.Propose(text); err != nil {
		reply(accord.NewProblem(accord.CodeBusy, err.Error()))
		return
	}
	n.replies[ref] = reply
	n.counters.GetOrCreateCounter("registrar_proposals_total").Inc()
}

// notUnderstood finds dispatchers that do not know a kind of rule which is asked for.
func (n *node) findUnsupported(a *ruleset.ChangeRequest) *accord.Problem {
	for name, m := range n.state.Members {
		for _, c := range a.Changes {
			known := slices.Contains(ruleset.SupportedKinds, string(c.Kind)) // else it is refused for that
			if m.Incarnation != 0 && known && !a.Forced && !slices.Contains(m.KnownKinds, string(c.Kind)) {
				return accord.NewProblem(accord.CodeWrong, fmt.Sprintf("dispatcher %s does not understand rules of kind %.40q: it would lose its lease", name, string(c.Kind)))
			}
		}
	}
	return nil
}

// listed is what the dispatchers list, pooled.
func (n *node) mergedServers() []cordon.Server {
	lists := map[string][]cordon.Server{}
	for name, l := range n.serverLists {
		if n.isActive(name) {
			lists[name] = l.servers
		}
	}
	return cordon.MergeLists(lists)
}

// present tells whether a dispatcher was heard not long ago: what one told that is gone by now is no evidence.
func (n *node) isActive(name string) bool {
	m, ok := n.state.Members[name]
	return ok && m.Incarnation != 0 && !n.leases.HasLapsed(n.opts.Clock.Now(), name, m.Incarnation)
}

// watch is what this leader knows beside the record.
func (n *node) leaderView() statemachine.LeaderView {
	now := n.opts.Clock.Now()
	reports := map[string][]cordon.Evidence{}
	for name, r := range n.hostEvidence {
		if n.isActive(name) {
			reports[name] = r
		}
	}
	met := map[string][]contact.Evidence{}
	for name, e := range n.siteEvidence {
		if now-e.receivedAt <= 2*n.opts.Terms.Beat {
			met[name] = e.evidence
		}
	}
	return statemachine.LeaderView{Leases: n.leases, Now: now, ListServers: n.mergedServers, Reports: reports, AutoCordon: n.opts.AutoCordon, Elapsed: now - n.expiryCountedUntil,
		SiteStates: contact.MergeEvidence(met), UnixMs: n.unixMs(), Schedule: n.opts.Schedule}
}

// unix is the wall clock that the record goes by, in ms.
func (n *node) unixMs() int64 {
	return n.opts.WallClock().Add(lease.MedianOffset(slices.Collect(maps.Values(n.clockOffsets)))).UnixMilli()
}

// dueNow puts what is due before the others.
func (n *node) proposeDue() {
	if !n.leading || !n.appliedOwnTerm || !n.dueMayHaveChanged || n.dueInFlight > 0 {
		return
	}
	n.dueMayHaveChanged = false
	for _, e := range n.state.Due(n.leaderView()) {
		if e.Elapsed != nil {
			n.expiryCountedUntil += time.Duration(e.Elapsed.Ms) * time.Millisecond
		}
		n.dueInFlight++
		n.propose(e, func(v any) {
			n.dueInFlight = max(0, n.dueInFlight-1)
			if r, ok := v.(statemachine.Result); ok && e.Confirm != nil && r.Refused == "" {
				n.log.Info("confirmed", zap.String("cordon", e.Confirm.Cordon), zap.Strings("lapsed", e.Confirm.Lapsed))
			}
		})
	}
}

// failBeats answers those that wait for a proof.
func (n *node) failReads(why string) {
	all := append(n.provingReads, n.queuedReads...)
	for _, p := range n.provenReads {
		all = append(all, p.reads...)
	}
	n.provingReads, n.queuedReads, n.provenReads = nil, nil, nil
	n.readIndexID++ // a proof that comes late is nobody's
	for _, a := range all {
		a.reply(accord.NewProblem(accord.CodeBusy, why))
	}
}

// failAll answers all that wait. What was proposed may yet be agreed: the same key brings the answer.
func (n *node) failAll(why string) {
	n.failReads(why)
	waiting := n.replies
	n.replies = map[string]func(any){}
	for _, reply := range waiting {
		reply(accord.NewProblem(accord.CodeBusy, why+": it may have been agreed; ask again with the same key"))
	}
}

func (n *node) reportSend(m sendResult) {
	switch {
	case m.snapshot && m.ok:
		n.rawNode.ReportSnapshot(m.to, raft.SnapshotFinish)
	case m.snapshot:
		n.rawNode.ReportSnapshot(m.to, raft.SnapshotFailure)
	default:
		n.rawNode.ReportUnreachable(m.to)
	}
}

// handOver lets another registrar lead, before this one ends.
func (n *node) transferLeadership() {
	if !n.leading {
		return
	}
	best, match := uint64(0), uint64(0)
	n.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id != n.id.ID && pr.RecentActive && pr.Match >= match {
			best, match = id, pr.Match
		}
	})
	if best != 0 {
		n.rawNode.TransferLeader(best)
	}
}

func (n *node) countReason(name, why string) {
	n.counters.GetOrCreateCounter(fmt.Sprintf("registrar_%s_total{why=%q}", name, why)).Inc()
}
