package registrar

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/statemachine"
)

// frontend is the registrar's HTTP server. Each request runs in its own goroutine, which sends a message to the node
// and waits for the answer.
type frontend struct {
	opts       Options
	id         Identity
	store      *store
	nodeInbox  *mailbox[any]
	storeInbox *mailbox[storeRequest]
	counters   *metrics.Set
	log        *zap.Logger
	stopped    chan struct{} // closed when the registrar shuts down

	running atomic.Pointer[node] // nil until this registrar takes part

	mu         sync.Mutex
	watermarks map[uint64]Watermark // used until the node runs: as loaded at the start, and updated by hellos
}

// routes returns the handler of all paths.
func (f *frontend) routes() http.Handler {
	mux := http.NewServeMux()
	post := func(path string, maxBytes int64, h func(r *http.Request) any) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
			f.writeAnswer(w, h(r))
		})
	}
	post(pathRaft, maxRaftBody, f.raft)
	post(pathHello, accord.MaxBodySize, f.hello)
	post(accord.PathEnrol, accord.MaxBodySize, f.enrol)
	post(accord.PathBeat, accord.MaxBodySize, f.beat)
	post(accord.PathChange, accord.MaxBodySize, f.change)
	post(accord.PathRetire, accord.MaxBodySize, f.retire)
	post(accord.PathMembers, accord.MaxBodySize, f.members)
	mux.HandleFunc("GET "+accord.PathWatch, func(w http.ResponseWriter, r *http.Request) { f.writeAnswer(w, f.watch(r)) })
	mux.HandleFunc("GET "+accord.PathStatus, func(w http.ResponseWriter, r *http.Request) { f.writeAnswer(w, f.status(r)) })
	mux.HandleFunc("GET "+accord.PathVersion, func(w http.ResponseWriter, r *http.Request) { f.writeAnswer(w, f.version(r)) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { f.counters.WritePrometheus(w) })
	return mux
}

// writeAnswer writes an answer, and counts it if it is a refusal.
func (f *frontend) writeAnswer(w http.ResponseWriter, v any) {
	if p, ok := v.(*accord.Problem); ok {
		f.counters.GetOrCreateCounter(`registrar_refused_total{code="` + p.Code + `"}`).Inc()
	}
	accord.WriteResponse(w, v)
}

// readBody decodes a body and refuses one from another cluster. cluster points to the cluster's name within into.
func (f *frontend) readBody(r *http.Request, maxBytes int64, into any, cluster *string) *accord.Problem {
	switch err := accord.ReadRequest(r, maxBytes, into); {
	case errors.Is(err, accord.ErrDigestMismatch):
		f.counters.GetOrCreateCounter(`registrar_messages_refused_total{why="spoilt"}`).Inc()
		return accord.NewProblem(accord.CodeInvalid, err.Error())
	case err != nil:
		return accord.NewProblem(accord.CodeInvalid, err.Error())
	case *cluster != f.opts.Cluster:
		return accord.NewProblem(accord.CodeWrongCluster, "this is a registrar of cluster "+f.opts.Cluster)
	}
	return nil
}

// notRunning is the refusal while this registrar does not take part, because it is still verifying its store with its
// peers or is shutting down.
var notRunning = accord.NewProblem(accord.CodeBusy, "this registrar does not take part yet")

// askNode sends a message to the node and waits for its answer, at most for the length of a lease.
func (f *frontend) askNode(r *http.Request, ask func(reply func(any)) any) any {
	if f.running.Load() == nil {
		return notRunning
	}
	answers := make(chan any, 1)
	f.nodeInbox.put(ask(func(v any) {
		select {
		case answers <- v:
		default: // already answered
		}
	}))
	timeout := time.NewTimer(f.opts.Terms.Length)
	defer timeout.Stop()
	select {
	case v := <-answers:
		return v
	case <-r.Context().Done():
	case <-f.stopped:
	case <-timeout.C:
	}
	return accord.NewProblem(accord.CodeBusy, "no answer in time: a change may still be committed; retry with the same key")
}

// raft passes another registrar's Raft messages on to the node.
func (f *frontend) raft(r *http.Request) any {
	var batch raftBatch
	if problem := f.readBody(r, maxRaftBody, &batch, &batch.Cluster); problem != nil {
		return problem
	}
	n := f.running.Load()
	if n == nil {
		return notRunning
	}
	formerIDs := n.published.Load().formerIDs
	switch {
	case slices.Contains(formerIDs, batch.FromID):
		return accord.NewProblem(accord.CodeNotFound, "this registrar was replaced")
	case batch.ToID != f.id.ID:
		f.counters.GetOrCreateCounter(`registrar_messages_refused_total{why="not_for_this_disk"}`).Inc()
		return accord.NewProblem(accord.CodeInvalid, "meant for another store than this one")
	case !f.isKnownRegistrar(n, batch.From):
		f.counters.GetOrCreateCounter(`registrar_messages_refused_total{why="stranger"}`).Inc()
		return accord.NewProblem(accord.CodeInvalid, "no registrar of this name is known")
	}
	received := raftMessages{fromName: batch.From, fromID: batch.FromID, boots: batch.Boots, unixMs: batch.UnixMs}
	for _, encoded := range batch.Messages {
		m := &pb.Message{}
		if err := proto.Unmarshal(encoded, m); err != nil || m.GetFrom() != batch.FromID || m.GetTo() != f.id.ID {
			f.counters.GetOrCreateCounter(`registrar_messages_refused_total{why="unreadable"}`).Inc()
			return accord.NewProblem(accord.CodeInvalid, "a message that can't be decoded, or with another sender or receiver than its batch")
		}
		received.messages = append(received.messages, m)
	}
	f.nodeInbox.put(received)
	return struct{}{}
}

// isKnownRegistrar reports whether the settings or the replicated state name a registrar.
func (f *frontend) isKnownRegistrar(n *node, name string) bool {
	_, configured := f.opts.Registrars[name]
	_, isMember := n.published.Load().registrars[name]
	return configured || isMember
}

// hello tells a registrar that starts whether its store is up to date. The new watermark is on this registrar's disk
// before the answer is sent.
func (f *frontend) hello(r *http.Request) any {
	var h Hello
	if problem := f.readBody(r, accord.MaxBodySize, &h, &h.Cluster); problem != nil {
		return problem
	}
	if _, ok := f.opts.Registrars[h.Name]; !ok {
		f.counters.GetOrCreateCounter(`registrar_messages_refused_total{why="stranger"}`).Inc()
		return accord.NewProblem(accord.CodeInvalid, "no registrar of this name is known")
	}
	var watermark Watermark
	if f.running.Load() != nil {
		switch v := f.askNode(r, func(reply func(any)) any { return helloRequest{h, reply} }).(type) {
		case Watermark:
			watermark = v
		default:
			return v
		}
	} else { // this registrar is starting too: it knows only the watermarks in its store
		var refusal *accord.Problem
		f.mu.Lock()
		watermark, refusal = f.watermarks[h.ID].verify(h)
		if refusal == nil {
			f.watermarks[h.ID] = watermark
		}
		f.mu.Unlock()
		if refusal != nil {
			return refusal
		}
	}
	written := make(chan error, 1)
	f.storeInbox.put(storeRequest{batch: batch{watermarks: map[uint64]Watermark{h.ID: watermark}}, finished: func(err error) { written <- err }})
	select {
	case err := <-written:
		if err == nil {
			return struct{}{}
		}
	case <-r.Context().Done():
	case <-f.stopped:
	}
	return notRunning
}

// verify compares what a registrar says at its start with its watermark. It returns the new watermark, or a refusal.
func (m Watermark) verify(h Hello) (Watermark, *accord.Problem) {
	if h.Boots < m.Boots || h.Boots == m.Boots && m.StartToken != "" && h.StartToken != m.StartToken || h.LastIndex < m.Match || h.Term < m.Term {
		return m, accord.NewProblem(codeStaleStore, fmt.Sprintf("its store has start %d, entry %d and term %d; seen were start %d, entry %d and term %d",
			h.Boots, h.LastIndex, h.Term, m.Boots, m.Match, m.Term))
	}
	m.Boots, m.StartToken = h.Boots, h.StartToken // the same start may send its hello again
	return m, nil
}

// enrol registers a dispatcher and gives it an incarnation.
func (f *frontend) enrol(r *http.Request) any {
	var e accord.EnrolRequest
	if problem := f.readBody(r, accord.MaxBodySize, &e, &e.Cluster); problem != nil {
		return problem
	}
	if e.Terms != f.opts.Terms {
		return accord.NewProblem(accord.CodeTermsMismatch, "lease, beat, send or drift differ from this registrar's settings")
	}
	v := f.askNode(r, func(reply func(any)) any {
		return proposal{statemachine.Entry{Enrol: &statemachine.Enrol{Name: e.Name, Token: e.Token, Mode: e.Mode, KnownKinds: e.KnownKinds, Site: e.Site}}, reply}
	})
	if res, ok := v.(statemachine.Result); ok {
		if res.Refused != "" {
			return accord.NewProblem(accord.CodeInvalid, res.Refused)
		}
		return accord.EnrolResponse{Incarnation: res.Incarnation}
	}
	return v
}

// beat renews a dispatcher's lease. The lease tracker counts from when the request came in.
func (f *frontend) beat(r *http.Request) any {
	at := f.opts.Clock.Now()
	var b accord.Beat
	if problem := f.readBody(r, accord.MaxBodySize, &b, &b.Cluster); problem != nil {
		return problem
	}
	return f.askNode(r, func(reply func(any)) any { return &readRequest{receivedAt: at, beat: &b, reply: reply} })
}

// change proposes an operator's changes.
func (f *frontend) change(r *http.Request) any {
	var a accord.OperatorRequest
	if problem := f.readBody(r, accord.MaxBodySize, &a, &a.Cluster); problem != nil {
		return problem
	}
	v := f.askNode(r, func(reply func(any)) any { return proposal{statemachine.Entry{ChangeRequest: &a.ChangeRequest}, reply} })
	if res, ok := v.(statemachine.Result); ok {
		return res.Answer
	}
	return v
}

// retire proposes to retire a dispatcher, so that nothing waits for it any longer.
func (f *frontend) retire(r *http.Request) any {
	var q accord.RetireRequest
	if problem := f.readBody(r, accord.MaxBodySize, &q, &q.Cluster); problem != nil {
		return problem
	}
	v := f.askNode(r, func(reply func(any)) any {
		return proposal{statemachine.Entry{Retire: &statemachine.Retire{Name: q.Name, Author: q.Author, Reason: q.Reason, Forced: q.Forced}}, reply}
	})
	if res, ok := v.(statemachine.Result); ok {
		if res.Refused != "" {
			return accord.NewProblem(accord.CodeInvalid, res.Refused)
		}
		return struct{}{}
	}
	return v
}

// members proposes a membership change of the registrars.
func (f *frontend) members(r *http.Request) any {
	var m MembershipChange
	if problem := f.readBody(r, accord.MaxBodySize, &m, &m.Cluster); problem != nil {
		return problem
	}
	v := f.askNode(r, func(reply func(any)) any { return membershipRequest{m, reply} })
	if _, ok := v.(statemachine.Result); ok {
		return struct{}{}
	}
	return v
}

// watch waits until there is a version newer than the client's and returns the newest one, or none if there is no newer one
// within accord.WatchTimeout.
func (f *frontend) watch(r *http.Request) any {
	q := r.URL.Query()
	if q.Get("cluster") != f.opts.Cluster {
		return accord.NewProblem(accord.CodeWrongCluster, "this is a registrar of cluster "+f.opts.Cluster)
	}
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return accord.NewProblem(accord.CodeInvalid, "after: expected a version")
	}
	n := f.running.Load()
	if n == nil {
		return notRunning
	}
	f.counters.GetOrCreateCounter("registrar_watches_total").Inc()
	timeout := time.NewTimer(accord.WatchTimeout)
	defer timeout.Stop()
	for {
		s := n.published.Load()
		if s.document.Head.Version > after {
			return accord.WatchResponse{Cluster: f.opts.Cluster, Document: &s.document}
		}
		select {
		case <-s.replaced:
		case <-timeout.C:
			return accord.WatchResponse{Cluster: f.opts.Cluster}
		case <-r.Context().Done():
			return accord.WatchResponse{Cluster: f.opts.Cluster}
		case <-f.stopped:
			return accord.NewProblem(accord.CodeBusy, "the registrar is shutting down")
		}
	}
}

// status returns the status of the cluster, or of this registrar alone.
func (f *frontend) status(r *http.Request) any {
	if r.URL.Query().Has("local") { // this registrar's own role, which needs no leader
		if n := f.running.Load(); n != nil {
			return n.published.Load().role
		}
		return accord.RegistrarStatus{Name: f.id.Name}
	}
	return f.askNode(r, func(reply func(any)) any { return &readRequest{receivedAt: f.opts.Clock.Now(), reply: reply} })
}

// status returns the status of the cluster. It is called once leadership is proved. The goroutine of the request encodes it
// while the node goes on, so it shares nothing that the node changes.
func (n *node) status() any {
	if !n.leading {
		return n.notLeader()
	}
	view := n.leaderView()
	d := n.state.Ruleset.Document
	status := accord.Status{Cluster: n.opts.Cluster, Role: n.published.Load().role, Head: d.Head, StalenessBound: n.opts.Terms.StalenessBound().String(), Rules: d.Rules,
		PendingChanges: d.Pending, Dispatches: n.state.DispatchStates(), Sites: n.siteStatuses(), Cordons: n.state.Cordons(view), Registrars: n.state.Registrars}
	for site, d := range n.state.StalenessBounds(n.opts.Terms, n.unixMs()) {
		if status.StalenessBoundBySite == nil {
			status.StalenessBoundBySite = map[string]string{}
		}
		status.StalenessBoundBySite[site] = d.String()
	}
	for _, name := range slices.Sorted(maps.Keys(n.state.Members)) {
		m := n.state.Members[name]
		if m.Incarnation == 0 {
			continue
		}
		at, holds, hasBeat := n.leases.LastBeat(name, m.Incarnation)
		dispatcher := accord.DispatcherStatus{Name: name, Incarnation: m.Incarnation, Mode: m.Mode, SeenByLeader: hasBeat, HeldVersion: holds, UnknownKinds: n.unknownKinds[name]}
		if hasBeat {
			dispatcher.SinceLastBeat = (view.Now - at).Round(time.Millisecond).String()
		}
		status.Dispatchers = append(status.Dispatchers, dispatcher)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Rules.Expected)) {
		if m, ok := n.state.Members[name]; !ok || m.Incarnation == 0 {
			status.MissingDispatchers = append(status.MissingDispatchers, name)
		}
	}
	return status
}

// version returns the history from a version on, as far as this registrar's store has it.
func (f *frontend) version(r *http.Request) any {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		return accord.NewProblem(accord.CodeInvalid, "from: expected a version")
	}
	steps, err := f.store.steps(from, maxStepsPerRead)
	if err != nil {
		return accord.NewProblem(accord.CodeInvalid, err.Error())
	}
	if len(steps) > 0 && steps[0].Head.Version != from {
		return accord.NewProblem(accord.CodeBusy, "this registrar does not have this version yet: ask another one")
	}
	return accord.VersionHistory{Steps: steps}
}
