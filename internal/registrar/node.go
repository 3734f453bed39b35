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
	snapshotEvery = 1000 // entries carried out since the last one
	keptEntries   = 2000 // before a snapshot, for registrars that are a little behind
	maxProposals  = 1024 // that wait for agreement; beyond, askers are told to come back
	maxBeats      = 8192 // that wait for a proof of leadership
)

// node is the task that owns the raft node, the record and what this leader has heard. All else talks to it by messages.
type node struct {
	opts  Options
	id    Identity
	rn    *raft.RawNode
	inbox *mailbox[any]
	store *mailbox[toStore]
	peers *peers
	log   *zap.Logger
	set   *metrics.Set

	state     *statemachine.State
	applied   uint64
	lastTerm  uint64 // of the entry carried out last
	conf      *pb.ConfState
	snapIndex uint64
	// The registrars have changed since the last snapshot. Danger: one that joins is sent the last one, and takes no
	// record that does not name it.
	confChanged bool
	marks       map[uint64]Watermark // as they will be on the disk
	marked      bool                 // they have changed

	term    uint64
	lead    uint64
	leading bool
	settled bool // an entry of the own term was carried out: the record is as new as any leader's
	roll    *lease.Tracker
	lists   map[string]list
	reports map[string][]cordon.Evidence
	unknown map[string][]string
	met     map[string]evidence
	clocks  map[string]time.Duration // by dispatcher: its wall clock's distance from this leader's
	led     time.Duration            // since when
	counted time.Duration            // time was last counted towards expiries
	dirty   bool                     // what is due may have changed
	due     int                      // entries that are on their way

	serial  uint64
	waiting map[string]func(any) // by reference of an entry
	beats   []*asked             // that wait for the next proof
	proving []*asked             // whose proof is under way
	proofID uint64
	proofAt time.Duration
	proven  []proof // proved, and waiting until the record is as new

	shown atomic.Pointer[shown]
}

// list is a dispatcher's list of servers.
type list struct {
	sum     string
	servers []cordon.Server
}

// evidence is what a dispatcher met at sites, and when it told.
type evidence struct {
	at  time.Duration
	met []contact.Evidence
}

// shown is what other tasks may read: the newest version, and a channel that is closed when it is replaced.
type shown struct {
	document   ruleset.Document
	state      accord.RegistrarStatus
	registrars map[string]statemachine.Registrar
	gone       []uint64
	next       chan struct{}
}

// Messages to the node.
type (
	received struct { // from another registrar
		from     string
		id       uint64
		messages []*pb.Message
		boots    uint64
	}
	stored  struct{ messages []*pb.Message } // answers of the store
	failure struct{ err error }
	tick    struct{}
	sent    struct { // a snapshot, or that a registrar can't be reached
		to       uint64
		snapshot bool
		ok       bool
	}
	asked struct { // needs proof that this registrar leads, and the record as of then
		at     time.Duration
		beat   *accord.Beat // nil: only the record
		length time.Duration
		reply  func(any)
	}
	greeted struct { // what another registrar tells of itself at its start
		hello Hello
		reply func(any) // a Mark to write down, or a *accord.Problem
	}
	propose struct {
		entry statemachine.Entry
		reply func(any) // a statemachine.Result, or a *accord.Problem
	}
	change struct { // of the registrars
		members MembershipChange
		reply   func(any)
	}
	transfer struct{}
)

type proof struct {
	index uint64
	for_  []*asked
}

// envelope is an entry of the log.
type envelope struct {
	Ref   string          `json:"ref"`
	Entry json.RawMessage `json:"entry"`
}

// memberChange goes with a change of the registrars.
type memberChange struct {
	Ref  string `json:"ref"`
	Name string `json:"name"`
	Addr string `json:"address"` // empty: it goes
	ID   uint64 `json:"id"`
}

func newNode(o Options, s *store, out *peers, in *mailbox[any], toDisk *mailbox[toStore], set *metrics.Set, log *zap.Logger) (*node, error) {
	n := &node{opts: o, id: s.id, inbox: in, store: toDisk, peers: out, log: log, set: set, waiting: map[string]func(any){},
		state: statemachine.New(o.Budget, o.SlowStart.Milliseconds())}
	snap, err := s.mem.Snapshot()
	if err != nil {
		return nil, err
	}
	n.conf = &pb.ConfState{}
	if !raft.IsEmptySnap(snap) {
		if n.state, err = decodeState(snap); err != nil {
			return nil, err
		}
		n.applied, n.conf, n.snapIndex = snap.Metadata.GetIndex(), snap.Metadata.ConfState, snap.Metadata.GetIndex()
	}
	if n.marks, err = s.marks(); err != nil {
		return nil, err
	}
	n.rn, err = raft.NewRawNode(&raft.Config{ID: s.id.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: s.mem,
		Applied: n.applied, AsyncStorageWrites: true, MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 32 << 20,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, Logger: quiet{log.Sugar()},
		// Danger: what a deposed leader judged by what it heard would reach the log through its successor.
		DisableProposalForwarding: true})
	if err != nil {
		return nil, err
	}
	n.forgetHeard()
	n.peers.use(n.state.Registrars)
	n.show()
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
		for n.rn.HasReady() {
			n.ready(n.rn.Ready())
		}
		n.prove()
		n.dueNow()
		if n.rn.HasReady() {
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
		n.rn.Tick()
		n.dirty = true
		if len(n.proving) > 0 && n.opts.Clock.Now()-n.proofAt > n.opts.Terms.Beat {
			n.failBeats("leadership can't be proved: the others do not answer")
		}
	case received:
		if len(n.state.Registrars) == 0 {
			n.peers.learn(m.from, m.id)
		}
		for _, x := range m.messages {
			n.see(x, m.boots)
			if err := n.rn.Step(x); err != nil {
				n.inc("messages_refused", "step")
			}
		}
	case stored:
		for _, x := range m.messages {
			n.deliver(x)
		}
	case sent:
		n.reported(m)
	case *asked:
		n.ask(m)
	case greeted:
		n.greeted(m)
	case propose:
		n.propose(m.entry, m.reply)
	case change:
		n.changeMembers(m)
	case transfer:
		n.handOver()
	}
	if n.removed() {
		return ErrRemoved
	}
	return nil
}

// greeted judges a registrar that starts.
func (n *node) greeted(m greeted) {
	if slices.Contains(n.state.FormerRegistrarIDs, m.hello.ID) {
		m.reply(accord.NewProblem(accord.CodeNotFound, "this registrar was replaced"))
		return
	}
	mark, p := n.marks[m.hello.ID].greet(m.hello)
	if p != nil {
		n.log.Warn("refuses a registrar whose disk is an old copy", zap.String("name", m.hello.Name), zap.String("why", p.Text))
		m.reply(p)
		return
	}
	n.marks[m.hello.ID] = mark
	m.reply(mark)
}

// removed tells that the record names others in this registrar's place.
func (n *node) removed() bool { return slices.Contains(n.state.FormerRegistrarIDs, n.id.ID) }

// see marks what another registrar was seen to promise: its disk has it, or is not the disk it was.
func (n *node) see(m *pb.Message, boots uint64) {
	if m.GetTerm() != 0 && m.GetTerm() < n.term {
		n.inc("messages_refused", "old_term") // the library passes them over
	}
	was := n.marks[m.GetFrom()]
	now := was
	now.Boots = max(now.Boots, boots)
	switch m.GetType() {
	case pb.MsgAppResp, pb.MsgVoteResp: // sent only once its disk has what they promise
		now.Term = max(now.Term, m.GetTerm())
	}
	if now != was {
		n.marks[m.GetFrom()], n.marked = now, true
	}
}

// ready carries out what the library asks.
func (n *node) ready(rd raft.Ready) {
	if rd.SoftState != nil {
		n.role(rd.SoftState)
	} else if s := n.rn.BasicStatus(); n.leading && s.GetTerm() != n.term { // it leads again, in another term
		n.role(&s.SoftState)
	}
	for _, r := range rd.ReadStates {
		if string(r.RequestCtx) == strconv.FormatUint(n.proofID, 10) && len(n.proving) > 0 {
			n.proven = append(n.proven, proof{r.Index, n.proving})
			n.proving = nil
		}
	}
	for _, m := range rd.Messages {
		switch m.GetTo() {
		case raft.LocalAppendThread:
			n.append(m)
		case raft.LocalApplyThread:
			for _, e := range m.Entries {
				n.carryOut(e)
			}
			for _, r := range m.Responses {
				n.deliver(r)
			}
			if n.applied >= n.snapIndex+snapshotEvery || n.confChanged {
				n.snapshot()
			}
		default:
			n.peers.send(m)
		}
	}
	n.answerProven()
}

// append hands a write to the store's task.
func (n *node) append(m *pb.Message) {
	if !raft.IsEmptySnap(m.Snapshot) {
		n.install(m.Snapshot)
	}
	b := batch{}
	if n.leading {
		n.rn.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
			if was := n.marks[id]; id != n.id.ID && pr.Match > was.Match {
				was.Match = pr.Match
				n.marks[id], n.marked = was, true
			}
		})
	}
	if n.marked {
		b.marks, n.marked = maps.Clone(n.marks), false
	}
	n.store.put(toStore{append: m, batch: b})
}

// deliver brings an answer to where it belongs.
func (n *node) deliver(m *pb.Message) {
	if m.GetTo() != n.id.ID {
		n.peers.send(m)
		return
	}
	if err := n.rn.Step(m); err != nil {
		n.inc("messages_refused", "own")
	}
}

// role follows who leads.
func (n *node) role(s *raft.SoftState) {
	status := n.rn.BasicStatus()
	n.lead = s.Lead
	leads := s.RaftState == raft.StateLeader
	if leads && (!n.leading || n.term != status.GetTerm()) {
		now := n.opts.Clock.Now()
		n.roll = lease.NewTracker(n.opts.Terms, now)
		n.led, n.counted, n.settled, n.due = now, now, false, 0
		n.forgetHeard()
		n.log.Info("leads", zap.Uint64("term", status.GetTerm()))
		n.set.GetOrCreateCounter("registrar_elections_won_total").Inc()
	}
	if !leads && n.leading {
		n.log.Info("does not lead any more", zap.Uint64("term", status.GetTerm()), zap.String("leader", n.leaderName()))
		n.failAll("another registrar leads, or none")
		n.roll = nil
	}
	n.leading, n.term = leads, status.GetTerm()
	n.show()
}

// forgetHeard begins anew with what is kept of dispatchers for one term.
func (n *node) forgetHeard() {
	n.lists, n.reports, n.unknown = map[string]list{}, map[string][]cordon.Evidence{}, map[string][]string{}
	n.met, n.clocks = map[string]evidence{}, map[string]time.Duration{}
}

func (n *node) leaderName() string {
	for name, r := range n.state.Registrars {
		if r.ID == n.lead && n.lead != 0 {
			return name
		}
	}
	return ""
}

// carryOut takes one agreed entry into the record.
func (n *node) carryOut(e *pb.Entry) {
	n.applied, n.lastTerm = e.GetIndex(), e.GetTerm()
	if n.leading && e.GetTerm() == n.term {
		n.settled, n.dirty = true, true
	}
	switch {
	case e.GetType() == pb.EntryConfChangeV2 || e.GetType() == pb.EntryConfChange:
		n.carryOutChange(e)
		return
	case len(e.Data) == 0: // of a new leader
		n.show()
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
		n.store.put(toStore{batch: batch{steps: []ruleset.Step{*r.Step}}})
	}
	n.dirty = true
	n.show()
	n.answer(env.Ref, r)
}

func (n *node) answer(ref string, v any) {
	if reply := n.waiting[ref]; reply != nil {
		delete(n.waiting, ref)
		reply(v)
	}
}

// show lets other tasks see the newest version.
func (n *node) show() {
	s := &shown{document: n.state.Ruleset.Document, registrars: n.state.Registrars, gone: n.state.FormerRegistrarIDs,
		next: make(chan struct{}), state: accord.RegistrarStatus{Name: n.id.Name, Leader: n.leaderName(),
			IsLeader: n.leading, Term: n.rn.BasicStatus().GetTerm(), AppliedIndex: n.applied, Version: n.state.Ruleset.Document.Head.Version}}
	if was := n.shown.Swap(s); was != nil {
		close(was.next)
	}
}

// install takes a record that the leader sent whole.
func (n *node) install(snap *pb.Snapshot) {
	s, err := decodeState(snap)
	if err != nil {
		n.inbox.put(failure{err})
		return
	}
	n.state, n.applied, n.conf, n.snapIndex = s, snap.Metadata.GetIndex(), snap.Metadata.ConfState, snap.Metadata.GetIndex()
	n.lastTerm = snap.Metadata.GetTerm()
	n.peers.use(s.Registrars)
	n.log.Info("took the whole record from the leader", zap.Uint64("index", n.applied), zap.Uint64("version", s.Ruleset.Document.Head.Version))
	n.show()
}

// snapshot writes the record whole once in a while, so that the log stays short.
func (n *node) snapshot() {
	n.snapIndex, n.confChanged = n.applied, false
	text, err := json.Marshal(n.state)
	if err != nil {
		n.inbox.put(failure{fmt.Errorf("record: %w", err)})
		return
	}
	term := n.lastTerm
	keep := uint64(0)
	if n.applied > keptEntries {
		keep = n.applied - keptEntries
	}
	n.store.put(toStore{batch: batch{keep: keep, snapshot: &pb.Snapshot{Data: text,
		Metadata: &pb.SnapshotMetadata{ConfState: n.conf, Index: proto.Uint64(n.applied), Term: proto.Uint64(term)}}}})
}

// ask takes a question that needs proof of leadership. Danger: a beat counts from here, before anything is granted.
func (n *node) ask(a *asked) {
	switch {
	case !n.leading:
		a.reply(n.notLeader())
		return
	case !n.settled || len(n.beats) >= maxBeats:
		a.reply(accord.NewProblem(accord.CodeBusy, "the leader has just been chosen, or has too much to do"))
		return
	}
	if b := a.beat; b != nil {
		if m, ok := n.state.Members[b.Name]; !ok || m.Incarnation != b.Incarnation {
			a.reply(accord.NewProblem(accord.CodeStaleIncarnation, "this life is not in the record"))
			return
		}
		_, was, _ := n.roll.LastBeat(b.Name, b.Incarnation)
		a.length = n.state.LeaseLength(n.opts.Terms, n.state.Members[b.Name].Site, n.unix())
		n.roll.RecordBeat(a.at, b.Name, b.Incarnation, b.HeldVersion, a.length)
		n.dirty = n.dirty || b.HeldVersion > was
		if len(b.Servers) > 0 {
			n.lists[b.Name] = list{b.ServersDigest, b.Servers}
		}
		if b.ServerEvidence != nil {
			n.reports[b.Name] = cordon.AccumulateEvidence(n.reports[b.Name], b.ServerEvidence)
		}
		n.clocks[b.Name] = time.UnixMilli(b.UnixMs).Sub(n.opts.WallClock())
		if len(b.SiteEvidence) > 0 {
			n.met[b.Name] = evidence{a.at, b.SiteEvidence}
		}
		for _, e := range b.Outcomes {
			n.propose(statemachine.Entry{Outcome: &e}, func(any) {})
		}
		if n.unknown[b.Name] = b.UnknownKinds; len(b.UnknownKinds) == 0 {
			delete(n.unknown, b.Name)
		}
		n.set.GetOrCreateCounter("registrar_beats_total").Inc()
	}
	n.beats = append(n.beats, a)
}

func (n *node) notLeader() *accord.Problem {
	if n.lead == 0 {
		return accord.NewProblem(accord.CodeBusy, "there is no leader now, as far as this registrar knows")
	}
	p := accord.NewProblem(accord.CodeNotLeader, "another registrar leads")
	p.Leader = n.leaderName()
	return p
}

// prove asks the others whether this registrar still leads, once for all that wait.
func (n *node) prove() {
	if len(n.beats) == 0 || len(n.proving) > 0 || !n.leading || !n.settled {
		return
	}
	n.proofID++
	n.proving, n.beats, n.proofAt = n.beats, nil, n.opts.Clock.Now()
	n.rn.ReadIndex([]byte(strconv.FormatUint(n.proofID, 10)))
}

// answerProven answers those whose proof has come, once the record is as new as it was proved to be.
func (n *node) answerProven() {
	n.proven = slices.DeleteFunc(n.proven, func(p proof) bool {
		if p.index > n.applied {
			return false
		}
		for _, a := range p.for_ {
			if a.beat == nil {
				a.reply(n.status())
			} else {
				a.reply(n.grant(a.beat, a.length))
			}
		}
		return true
	})
}

// grant gives a lease on the newest version.
func (n *node) grant(b *accord.Beat, length time.Duration) any {
	if m := n.state.Members[b.Name]; m.Incarnation != b.Incarnation {
		return accord.NewProblem(accord.CodeStaleIncarnation, "another life took its place")
	}
	d := n.state.Ruleset.Document
	g := accord.BeatResponse{Cluster: n.opts.Cluster, Leader: n.id.Name, Version: d.Head.Version, LeaseNs: int64(length),
		WantServers: b.ServersDigest != "" && n.lists[b.Name].sum != b.ServersDigest, Tasks: n.state.Tasks(b.Name, b.Incarnation)}
	if b.HeldVersion != d.Head.Version {
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
	case !n.settled || len(n.waiting) >= maxProposals:
		reply(accord.NewProblem(accord.CodeBusy, "the leader has just been chosen, or has too much to do"))
		return
	}
	if e.ChangeRequest != nil && e.ChangeRequest.Author != "" {
		e.ChangeRequest.Evidence = nil
		if slices.ContainsFunc(e.ChangeRequest.Changes, func(c ruleset.Change) bool { return c.Kind == ruleset.KindCordon }) {
			// Danger: a leader that has just been chosen has heard no list yet, and would hold every server for unknown.
			if e.ChangeRequest.Evidence = n.listed(); len(n.lists) == 0 && n.opts.Clock.Now() < n.led+n.opts.Terms.Length {
				reply(accord.NewProblem(accord.CodeBusy, "no dispatcher has told this leader of the servers yet"))
				return
			}
		}
		if p := n.notUnderstood(e.ChangeRequest); p != nil {
			reply(p)
			return
		}
	}
	e.Term, e.At = n.term, n.unix()
	inner, err := json.Marshal(e)
	var text []byte
	n.serial++
	ref := fmt.Sprintf("%x-%d-%d", n.id.ID, n.id.Boots, n.serial)
	if err == nil {
		text, err = json.Marshal(envelope{ref, inner})
	}
	if err != nil {
		reply(accord.NewProblem(accord.CodeInvalid, err.Error()))
		return
	}
	if err := n.rn.Propose(text); err != nil {
		reply(accord.NewProblem(accord.CodeBusy, err.Error()))
		return
	}
	n.waiting[ref] = reply
	n.set.GetOrCreateCounter("registrar_proposals_total").Inc()
}

// notUnderstood finds dispatchers that do not know a kind of rule which is asked for.
func (n *node) notUnderstood(a *ruleset.ChangeRequest) *accord.Problem {
	for name, m := range n.state.Members {
		for _, c := range a.Changes {
			known := slices.Contains(ruleset.SupportedKinds, string(c.Kind)) // else it is refused for that
			if m.Incarnation != 0 && known && !a.Forced && !slices.Contains(m.KnownKinds, string(c.Kind)) {
				return accord.NewProblem(accord.CodeInvalid, fmt.Sprintf("dispatcher %s does not understand rules of kind %.40q: it would lose its lease", name, string(c.Kind)))
			}
		}
	}
	return nil
}

// listed is what the dispatchers list, pooled.
func (n *node) listed() []cordon.Server {
	lists := map[string][]cordon.Server{}
	for name, l := range n.lists {
		if n.present(name) {
			lists[name] = l.servers
		}
	}
	return cordon.MergeLists(lists)
}

// present tells whether a dispatcher was heard not long ago: what one told that is gone by now is no evidence.
func (n *node) present(name string) bool {
	m, ok := n.state.Members[name]
	return ok && m.Incarnation != 0 && !n.roll.HasLapsed(n.opts.Clock.Now(), name, m.Incarnation)
}

// watch is what this leader knows beside the record.
func (n *node) watch() statemachine.LeaderView {
	now := n.opts.Clock.Now()
	reports := map[string][]cordon.Evidence{}
	for name, r := range n.reports {
		if n.present(name) {
			reports[name] = r
		}
	}
	met := map[string][]contact.Evidence{}
	for name, e := range n.met {
		if now-e.at <= 2*n.opts.Terms.Beat {
			met[name] = e.met
		}
	}
	return statemachine.LeaderView{Leases: n.roll, Now: now, ListServers: n.listed, Evidence: reports, AutoCordon: n.opts.AutoCordon, Elapsed: now - n.counted,
		SiteStates: contact.MergeEvidence(met), UnixMs: n.unix(), Schedule: n.opts.Schedule}
}

// unix is the wall clock that the record goes by, in ms.
func (n *node) unix() int64 {
	return n.opts.WallClock().Add(lease.MedianOffset(slices.Collect(maps.Values(n.clocks)))).UnixMilli()
}

// dueNow puts what is due before the others.
func (n *node) dueNow() {
	if !n.leading || !n.settled || !n.dirty || n.due > 0 {
		return
	}
	n.dirty = false
	for _, e := range n.state.Due(n.watch()) {
		if e.Elapsed != nil {
			n.counted += time.Duration(e.Elapsed.Ms) * time.Millisecond
		}
		n.due++
		n.propose(e, func(v any) {
			n.due = max(0, n.due-1)
			if r, ok := v.(statemachine.Result); ok && e.Confirm != nil && r.Refused == "" {
				n.log.Info("confirmed", zap.String("cordon", e.Confirm.Cordon), zap.Strings("lapsed", e.Confirm.Lapsed))
			}
		})
	}
}

// failBeats answers those that wait for a proof.
func (n *node) failBeats(why string) {
	all := append(n.proving, n.beats...)
	for _, p := range n.proven {
		all = append(all, p.for_...)
	}
	n.proving, n.beats, n.proven = nil, nil, nil
	n.proofID++ // a proof that comes late is nobody's
	for _, a := range all {
		a.reply(accord.NewProblem(accord.CodeBusy, why))
	}
}

// failAll answers all that wait. What was proposed may yet be agreed: the same key brings the answer.
func (n *node) failAll(why string) {
	n.failBeats(why)
	waiting := n.waiting
	n.waiting = map[string]func(any){}
	for _, reply := range waiting {
		reply(accord.NewProblem(accord.CodeBusy, why+": it may have been agreed; ask again with the same key"))
	}
}

func (n *node) reported(m sent) {
	switch {
	case m.snapshot && m.ok:
		n.rn.ReportSnapshot(m.to, raft.SnapshotFinish)
	case m.snapshot:
		n.rn.ReportSnapshot(m.to, raft.SnapshotFailure)
	default:
		n.rn.ReportUnreachable(m.to)
	}
}

// handOver lets another registrar lead, before this one ends.
func (n *node) handOver() {
	if !n.leading {
		return
	}
	best, match := uint64(0), uint64(0)
	n.rn.WithProgress(func(id uint64, _ raft.ProgressType, pr tracker.Progress) {
		if id != n.id.ID && pr.RecentActive && pr.Match >= match {
			best, match = id, pr.Match
		}
	})
	if best != 0 {
		n.rn.TransferLeader(best)
	}
}

func (n *node) inc(name, why string) {
	n.set.GetOrCreateCounter(fmt.Sprintf("registrar_%s_total{why=%q}", name, why)).Inc()
}
