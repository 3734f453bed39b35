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

// front is the registrar's HTTP: each request is a session of its own, which asks the node and waits.
type front struct {
	opts  Options
	id    Identity
	store *store
	node  *mailbox[any]
	disk  *mailbox[toStore]
	set   *metrics.Set
	log   *zap.Logger
	ended chan struct{} // closed when the registrar ends

	running atomic.Pointer[node] // nil until it takes part

	mu    sync.Mutex
	marks map[uint64]Watermark // as they were at the start, and as hellos brought them
}

func (f *front) routes() http.Handler {
	mux := http.NewServeMux()
	post := func(path string, most int64, h func(r *http.Request) any) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.MaxBytesReader(w, r.Body, most)
			f.answer(w, h(r))
		})
	}
	post(pathRaft, maxRaftBody, f.raft)
	post(pathHello, accord.MaxBodySize, f.hello)
	post(accord.PathEnrol, accord.MaxBodySize, f.enrol)
	post(accord.PathBeat, accord.MaxBodySize, f.beat)
	post(accord.PathChange, accord.MaxBodySize, f.change)
	post(accord.PathRetire, accord.MaxBodySize, f.retire)
	post(accord.PathMembers, accord.MaxBodySize, f.members)
	mux.HandleFunc("GET "+accord.PathWatch, func(w http.ResponseWriter, r *http.Request) { f.answer(w, f.watch(r)) })
	mux.HandleFunc("GET "+accord.PathStatus, func(w http.ResponseWriter, r *http.Request) { f.answer(w, f.status(r)) })
	mux.HandleFunc("GET "+accord.PathVersion, func(w http.ResponseWriter, r *http.Request) { f.answer(w, f.version(r)) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { f.set.WritePrometheus(w) })
	return mux
}

// answer writes an answer, and counts what was refused.
func (f *front) answer(w http.ResponseWriter, v any) {
	if p, ok := v.(*accord.Problem); ok {
		f.set.GetOrCreateCounter(`registrar_refused_total{code="` + p.Code + `"}`).Inc()
	}
	accord.WriteResponse(w, v)
}

// take reads a body and holds its cluster against this one's.
func (f *front) take(r *http.Request, most int64, into any, cluster *string) *accord.Problem {
	switch err := accord.ReadRequest(r, most, into); {
	case errors.Is(err, accord.ErrDigestMismatch):
		f.set.GetOrCreateCounter(`registrar_messages_refused_total{why="spoilt"}`).Inc()
		return accord.NewProblem(accord.CodeInvalid, err.Error())
	case err != nil:
		return accord.NewProblem(accord.CodeInvalid, err.Error())
	case *cluster != f.opts.Cluster:
		return accord.NewProblem(accord.CodeWrongCluster, "this is a registrar of cluster "+f.opts.Cluster)
	}
	return nil
}

var notYet = accord.NewProblem(accord.CodeBusy, "this registrar does not take part yet")

// wait puts a question to the node and waits for its answer.
func (f *front) wait(r *http.Request, ask func(reply func(any)) any) any {
	if f.running.Load() == nil {
		return notYet
	}
	got := make(chan any, 1)
	f.node.put(ask(func(v any) {
		select {
		case got <- v:
		default: // it was answered already
		}
	}))
	patience := time.NewTimer(f.opts.Terms.Length)
	defer patience.Stop()
	select {
	case v := <-got:
		return v
	case <-r.Context().Done():
	case <-f.ended:
	case <-patience.C:
	}
	return accord.NewProblem(accord.CodeBusy, "no agreement in time: it may come about yet; ask again with the same key")
}

// raft takes another registrar's messages.
func (f *front) raft(r *http.Request) any {
	var p parcel
	if wrong := f.take(r, maxRaftBody, &p, &p.Cluster); wrong != nil {
		return wrong
	}
	n := f.running.Load()
	if n == nil {
		return notYet
	}
	gone := n.shown.Load().gone
	switch {
	case slices.Contains(gone, p.FromID):
		return accord.NewProblem(accord.CodeNotFound, "this registrar was replaced")
	case p.ToID != f.id.ID:
		f.set.GetOrCreateCounter(`registrar_messages_refused_total{why="not_for_this_disk"}`).Inc()
		return accord.NewProblem(accord.CodeInvalid, "for another disk than this one")
	case !f.known(n, p.From):
		f.set.GetOrCreateCounter(`registrar_messages_refused_total{why="stranger"}`).Inc()
		return accord.NewProblem(accord.CodeInvalid, "no registrar of this name is known")
	}
	in := received{from: p.From, id: p.FromID, boots: p.Boots}
	for _, text := range p.Messages {
		m := &pb.Message{}
		if err := proto.Unmarshal(text, m); err != nil || m.GetFrom() != p.FromID || m.GetTo() != f.id.ID {
			f.set.GetOrCreateCounter(`registrar_messages_refused_total{why="unreadable"}`).Inc()
			return accord.NewProblem(accord.CodeInvalid, "a message that can't be")
		}
		in.messages = append(in.messages, m)
	}
	f.node.put(in)
	return struct{}{}
}

func (f *front) known(n *node, name string) bool {
	_, set := f.opts.Registrars[name]
	_, there := n.shown.Load().registrars[name]
	return set || there
}

// hello tells a registrar that starts whether its disk is the one it had. What it tells of itself is on this disk before
// it is answered.
func (f *front) hello(r *http.Request) any {
	var h Hello
	if wrong := f.take(r, accord.MaxBodySize, &h, &h.Cluster); wrong != nil {
		return wrong
	}
	if _, ok := f.opts.Registrars[h.Name]; !ok {
		f.set.GetOrCreateCounter(`registrar_messages_refused_total{why="stranger"}`).Inc()
		return accord.NewProblem(accord.CodeInvalid, "no registrar of this name is known")
	}
	var m Watermark
	if f.running.Load() != nil {
		switch v := f.wait(r, func(reply func(any)) any { return greeted{h, reply} }).(type) {
		case Watermark:
			m = v
		default:
			return v
		}
	} else { // this one starts as well: what it knows is what was on its disk
		var p *accord.Problem
		f.mu.Lock()
		m, p = f.marks[h.ID].greet(h)
		if p == nil {
			f.marks[h.ID] = m
		}
		f.mu.Unlock()
		if p != nil {
			return p
		}
	}
	written := make(chan error, 1)
	f.disk.put(toStore{batch: batch{marks: map[uint64]Watermark{h.ID: m}}, finished: func(err error) { written <- err }})
	select {
	case err := <-written:
		if err == nil {
			return struct{}{}
		}
	case <-r.Context().Done():
	case <-f.ended:
	}
	return notYet
}

// greet holds what a registrar tells at its start against what it was seen to promise.
func (m Watermark) greet(h Hello) (Watermark, *accord.Problem) {
	if h.Boots < m.Boots || h.Boots == m.Boots && m.StartToken != "" && h.StartToken != m.StartToken || h.LastIndex < m.Match || h.Term < m.Term {
		return m, accord.NewProblem(codeLost, fmt.Sprintf("its disk tells of start %d, entry %d and term %d; seen were %d, %d and %d",
			h.Boots, h.LastIndex, h.Term, m.Boots, m.Match, m.Term))
	}
	m.Boots, m.StartToken = h.Boots, h.StartToken // the same start may ask again
	return m, nil
}

func (f *front) enrol(r *http.Request) any {
	var e accord.EnrolRequest
	if wrong := f.take(r, accord.MaxBodySize, &e, &e.Cluster); wrong != nil {
		return wrong
	}
	if e.Terms != f.opts.Terms {
		return accord.NewProblem(accord.CodeTermsMismatch, "lease, beat, send or drift are set otherwise at this registrar")
	}
	v := f.wait(r, func(reply func(any)) any {
		return propose{statemachine.Entry{Enrol: &statemachine.Enrol{Name: e.Name, Token: e.Token, Mode: e.Mode, KnownKinds: e.KnownKinds, Site: e.Site}}, reply}
	})
	if res, ok := v.(statemachine.Result); ok {
		if res.Refused != "" {
			return accord.NewProblem(accord.CodeInvalid, res.Refused)
		}
		return accord.EnrolResponse{Incarnation: res.Incarnation}
	}
	return v
}

func (f *front) beat(r *http.Request) any {
	at := f.opts.Clock.Now()
	var b accord.Beat
	if wrong := f.take(r, accord.MaxBodySize, &b, &b.Cluster); wrong != nil {
		return wrong
	}
	return f.wait(r, func(reply func(any)) any { return &asked{at: at, beat: &b, reply: reply} })
}

func (f *front) change(r *http.Request) any {
	var a accord.OperatorRequest
	if wrong := f.take(r, accord.MaxBodySize, &a, &a.Cluster); wrong != nil {
		return wrong
	}
	v := f.wait(r, func(reply func(any)) any { return propose{statemachine.Entry{ChangeRequest: &a.ChangeRequest}, reply} })
	if res, ok := v.(statemachine.Result); ok {
		return res.Answer
	}
	return v
}

func (f *front) retire(r *http.Request) any {
	var q accord.RetireRequest
	if wrong := f.take(r, accord.MaxBodySize, &q, &q.Cluster); wrong != nil {
		return wrong
	}
	v := f.wait(r, func(reply func(any)) any {
		return propose{statemachine.Entry{Retire: &statemachine.Retire{Name: q.Name, Author: q.Author, Reason: q.Reason, Forced: q.Forced}}, reply}
	})
	if res, ok := v.(statemachine.Result); ok {
		if res.Refused != "" {
			return accord.NewProblem(accord.CodeInvalid, res.Refused)
		}
		return struct{}{}
	}
	return v
}

func (f *front) members(r *http.Request) any {
	var m MembershipChange
	if wrong := f.take(r, accord.MaxBodySize, &m, &m.Cluster); wrong != nil {
		return wrong
	}
	v := f.wait(r, func(reply func(any)) any { return change{m, reply} })
	if _, ok := v.(statemachine.Result); ok {
		return struct{}{}
	}
	return v
}

// watch brings the newest version once it is newer than the one that the asker has.
func (f *front) watch(r *http.Request) any {
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
		return notYet
	}
	f.set.GetOrCreateCounter("registrar_watches_total").Inc()
	patience := time.NewTimer(accord.WatchTimeout)
	defer patience.Stop()
	for {
		s := n.shown.Load()
		if s.document.Head.Version > after {
			return accord.WatchResponse{Cluster: f.opts.Cluster, Document: &s.document}
		}
		select {
		case <-s.next:
		case <-patience.C:
			return accord.WatchResponse{Cluster: f.opts.Cluster}
		case <-r.Context().Done():
			return accord.WatchResponse{Cluster: f.opts.Cluster}
		case <-f.ended:
			return accord.NewProblem(accord.CodeBusy, "the registrar ends")
		}
	}
}

func (f *front) status(r *http.Request) any {
	if r.URL.Query().Has("local") { // of this registrar alone, also without a leader
		if n := f.running.Load(); n != nil {
			return n.shown.Load().state
		}
		return accord.RegistrarStatus{Name: f.id.Name}
	}
	return f.wait(r, func(reply func(any)) any { return &asked{at: f.opts.Clock.Now(), reply: reply} })
}

// status is called once leadership is proved.
func (n *node) status() any {
	if !n.leading {
		return n.notLeader()
	}
	w := n.watch()
	d := n.state.Ruleset.Document
	s := accord.Status{Cluster: n.opts.Cluster, Role: n.shown.Load().state, Head: d.Head, StalenessBound: n.opts.Terms.StalenessBound().String(), Rules: d.Rules,
		PendingChanges: d.Pending, Dispatches: n.state.Dispatches, Sites: n.state.SiteStatuses(n.unix()), Cordons: n.state.Cordons(w), Registrars: n.state.Registrars}
	for site, d := range n.state.StalenessBounds(n.opts.Terms, n.unix()) {
		if s.StalenessBoundBySite == nil {
			s.StalenessBoundBySite = map[string]string{}
		}
		s.StalenessBoundBySite[site] = d.String()
	}
	for _, name := range slices.Sorted(maps.Keys(n.state.Members)) {
		m := n.state.Members[name]
		if m.Incarnation == 0 {
			continue
		}
		at, holds, heard := n.roll.LastBeat(name, m.Incarnation)
		x := accord.DispatcherStatus{Name: name, Incarnation: m.Incarnation, Mode: m.Mode, SeenByLeader: heard, HeldVersion: holds, UnknownKinds: n.unknown[name]}
		if heard {
			x.SinceLastBeat = (w.Now - at).Round(time.Millisecond).String()
		}
		s.Dispatchers = append(s.Dispatchers, x)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Rules.Expected)) {
		if m, ok := n.state.Members[name]; !ok || m.Incarnation == 0 {
			s.MissingDispatchers = append(s.MissingDispatchers, name)
		}
	}
	return s
}

// version reads the history back, from a version on, from this registrar's disk.
func (f *front) version(r *http.Request) any {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		return accord.NewProblem(accord.CodeInvalid, "from: expected a version")
	}
	steps, err := f.store.steps(from, stepsTogether)
	if err != nil {
		return accord.NewProblem(accord.CodeInvalid, err.Error())
	}
	if len(steps) > 0 && steps[0].Head.Version != from {
		return accord.NewProblem(accord.CodeBusy, "this registrar does not have this version yet: ask another")
	}
	return accord.VersionHistory{Steps: steps}
}
