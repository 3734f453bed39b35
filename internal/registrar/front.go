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
type frontend struct {
	opts       Options
	id         Identity
	store      *store
	nodeInbox  *mailbox[any]
	storeInbox *mailbox[storeRequest]
	counters   *metrics.Set
	log        *zap.Logger
	stopped    chan struct{} // closed when the registrar ends

	running atomic.Pointer[node] // nil until it takes part

	mu         sync.Mutex
	watermarks map[uint64]Watermark // as they were at the start, and as hellos brought them
}

func (f *frontend) routes() http.Handler {
	mux := http.NewServeMux()
	post := func(path string, maxBytes int64, h func(r *http.Request) any) {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
			f.writeAnswer(w, h(r))
		})
	}
	post(pathRaft, maxRaftBody, f.raft)
	post(pathHello, accord.MaxBody, f.hello)
	post(accord.PathEnrol, accord.MaxBody, f.enrol)
	post(accord.PathBeat, accord.MaxBody, f.beat)
	post(accord.PathAsk, accord.MaxBody, f.change)
	post(accord.PathRetire, accord.MaxBody, f.retire)
	post(accord.PathMembers, accord.MaxBody, f.members)
	mux.HandleFunc("GET "+accord.PathWatch, func(w http.ResponseWriter, r *http.Request) { f.writeAnswer(w, f.watch(r)) })
	mux.HandleFunc("GET "+accord.PathStatus, func(w http.ResponseWriter, r *http.Request) { f.writeAnswer(w, f.status(r)) })
	mux.HandleFunc("GET "+accord.PathVersion, func(w http.ResponseWriter, r *http.Request) { f.writeAnswer(w, f.version(r)) })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { f.counters.WritePrometheus(w) })
	return mux
}

// answer writes an answer, and counts what was refused.
func (f *frontend) writeAnswer(w http.ResponseWriter, v any) {
	if p, ok := v.(*accord.Problem); ok {
		f.counters.GetOrCreateCounter(`registrar_refused_total{code="` + p.Code + `"}`).Inc()
	}
	accord.Write(w, v)
}

// take reads a body and holds its cluster against this one's.
func (f *frontend) readBody(r *http.Request, maxBytes int64, into any, cluster *string) *accord.Problem {
	switch err := accord.Read(r, maxBytes, into); {
	case errors.Is(err, accord.ErrSpoilt):
		f.counters.GetOrCreateCounter(`registrar_messages_refused_total{why="spoilt"}`).Inc()
		return accord.NewProblem(accord.CodeWrong, err.Error())
	case err != nil:
		return accord.NewProblem(accord.CodeWrong, err.Error())
	case *cluster != f.opts.Cluster:
		return accord.NewProblem(accord.CodeCluster, "this is a registrar of cluster "+f.opts.Cluster)
	}
	return nil
}

var notRunning = accord.NewProblem(accord.CodeBusy, "this registrar does not take part yet")

// wait puts a question to the node and waits for its answer.
func (f *frontend) askNode(r *http.Request, ask func(reply func(any)) any) any {
	if f.running.Load() == nil {
		return notRunning
	}
	answers := make(chan any, 1)
	f.nodeInbox.put(ask(func(v any) {
		select {
		case answers <- v:
		default: // it was answered already
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
	return accord.NewProblem(accord.CodeBusy, "no agreement in time: it may come about yet; ask again with the same key")
}

// raft takes another registrar's messages.
func (f *frontend) raft(r *http.Request) any {
	var batch raftBatch
	if wrong := f.readBody(r, maxRaftBody, &batch, &batch.Cluster); wrong != nil {
		return wrong
	}
	n := f.running.Load()
	if n == nil {
		return notRunning
	}
	formerIDs := n.published.Load().formerIDs
	switch {
	case slices.Contains(formerIDs, batch.FromID):
		return accord.NewProblem(accord.CodeGone, "this registrar was replaced")
	case batch.ToID != f.id.ID:
		f.counters.GetOrCreateCounter(`registrar_messages_refused_total{why="not_for_this_disk"}`).Inc()
		return accord.NewProblem(accord.CodeWrong, "for another disk than this one")
	case !f.isKnownRegistrar(n, batch.From):
		f.counters.GetOrCreateCounter(`registrar_messages_refused_total{why="stranger"}`).Inc()
		return accord.NewProblem(accord.CodeWrong, "no registrar of this name is known")
	}
	messages := raftMessages{fromName: batch.From, fromID: batch.FromID, boots: batch.Boots}
	for _, text := range batch.Messages {
		m := &pb.Message{}
		if err := proto.Unmarshal(text, m); err != nil || m.GetFrom() != batch.FromID || m.GetTo() != f.id.ID {
			f.counters.GetOrCreateCounter(`registrar_messages_refused_total{why="unreadable"}`).Inc()
			return accord.NewProblem(accord.CodeWrong, "a message that can't be")
		}
		messages.messages = append(messages.messages, m)
	}
	f.nodeInbox.put(messages)
	return struct{}{}
}

func (f *frontend) isKnownRegistrar(n *node, name string) bool {
	_, configured := f.opts.Registrars[name]
	_, isMember := n.published.Load().registrars[name]
	return configured || isMember
}

// hello tells a registrar that starts whether its disk is the one it had. What it tells of itself is on this disk before
// it is answered.
func (f *frontend) hello(r *http.Request) any {
	var h Hello
	if wrong := f.readBody(r, accord.MaxBody, &h, &h.Cluster); wrong != nil {
		return wrong
	}
	if _, ok := f.opts.Registrars[h.Name]; !ok {
		f.counters.GetOrCreateCounter(`registrar_messages_refused_total{why="stranger"}`).Inc()
		return accord.NewProblem(accord.CodeWrong, "no registrar of this name is known")
	}
	var watermark Watermark
	if f.running.Load() != nil {
		switch v := f.askNode(r, func(reply func(any)) any { return helloRequest{h, reply} }).(type) {
		case Watermark:
			watermark = v
		default:
			return v
		}
	} else { // this one starts as well: what it knows is what was on its disk
		var p *accord.Problem
		f.mu.Lock()
		watermark, p = f.watermarks[h.ID].verify(h)
		if p == nil {
			f.watermarks[h.ID] = watermark
		}
		f.mu.Unlock()
		if p != nil {
			return p
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

// greet holds what a registrar tells at its start against what it was seen to promise.
func (m Watermark) verify(h Hello) (Watermark, *accord.Problem) {
	if h.Boots < m.Boots || h.Boots == m.Boots && m.StartToken != "" && h.StartToken != m.StartToken || h.LastIndex < m.Match || h.Term < m.Term {
		return m, accord.NewProblem(codeStaleStore, fmt.Sprintf("its disk tells of start %d, entry %d and term %d; seen were %d, %d and %d",
			h.Boots, h.LastIndex, h.Term, m.Boots, m.Match, m.Term))
	}
	m.Boots, m.StartToken = h.Boots, h.StartToken // the same start may ask again
	return m, nil
}

func (f *frontend) enrol(r *http.Request) any {
	var e accord.Enrol
	if wrong := f.readBody(r, accord.MaxBody, &e, &e.Cluster); wrong != nil {
		return wrong
	}
	if e.Terms != f.opts.Terms {
		return accord.NewProblem(accord.CodeTerms, "lease, beat, send or drift are set otherwise at this registrar")
	}
	v := f.askNode(r, func(reply func(any)) any {
		return proposal{statemachine.Entry{Enrol: &statemachine.Enrol{Name: e.Name, Token: e.Token, Mode: e.Mode, KnownKinds: e.Knows, Site: e.Site}}, reply}
	})
	if res, ok := v.(statemachine.Result); ok {
		if res.Refused != "" {
			return accord.NewProblem(accord.CodeWrong, res.Refused)
		}
		return accord.Enrolled{Life: res.Incarnation}
	}
	return v
}

func (f *frontend) beat(r *http.Request) any {
	at := f.opts.Clock.Now()
	var b accord.Beat
	if wrong := f.readBody(r, accord.MaxBody, &b, &b.Cluster); wrong != nil {
		return wrong
	}
	return f.askNode(r, func(reply func(any)) any { return &readRequest{receivedAt: at, beat: &b, reply: reply} })
}

func (f *frontend) change(r *http.Request) any {
	var a accord.Ask
	if wrong := f.readBody(r, accord.MaxBody, &a, &a.Cluster); wrong != nil {
		return wrong
	}
	v := f.askNode(r, func(reply func(any)) any { return proposal{statemachine.Entry{Ask: &a.ChangeRequest}, reply} })
	if res, ok := v.(statemachine.Result); ok {
		return res.Answer
	}
	return v
}

func (f *frontend) retire(r *http.Request) any {
	var q accord.Retire
	if wrong := f.readBody(r, accord.MaxBody, &q, &q.Cluster); wrong != nil {
		return wrong
	}
	v := f.askNode(r, func(reply func(any)) any {
		return proposal{statemachine.Entry{Retire: &statemachine.Retire{Name: q.Name, Author: q.Author, Reason: q.Reason, Forced: q.Forced}}, reply}
	})
	if res, ok := v.(statemachine.Result); ok {
		if res.Refused != "" {
			return accord.NewProblem(accord.CodeWrong, res.Refused)
		}
		return struct{}{}
	}
	return v
}

func (f *frontend) members(r *http.Request) any {
	var m MembershipChange
	if wrong := f.readBody(r, accord.MaxBody, &m, &m.Cluster); wrong != nil {
		return wrong
	}
	v := f.askNode(r, func(reply func(any)) any { return membershipRequest{m, reply} })
	if _, ok := v.(statemachine.Result); ok {
		return struct{}{}
	}
	return v
}

// watch brings the newest version once it is newer than the one that the asker has.
func (f *frontend) watch(r *http.Request) any {
	q := r.URL.Query()
	if q.Get("cluster") != f.opts.Cluster {
		return accord.NewProblem(accord.CodeCluster, "this is a registrar of cluster "+f.opts.Cluster)
	}
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		return accord.NewProblem(accord.CodeWrong, "after: expected a version")
	}
	n := f.running.Load()
	if n == nil {
		return notRunning
	}
	f.counters.GetOrCreateCounter("registrar_watches_total").Inc()
	timeout := time.NewTimer(accord.WatchFor)
	defer timeout.Stop()
	for {
		s := n.published.Load()
		if s.document.Head.Version > after {
			return accord.News{Cluster: f.opts.Cluster, Document: &s.document}
		}
		select {
		case <-s.replaced:
		case <-timeout.C:
			return accord.News{Cluster: f.opts.Cluster}
		case <-r.Context().Done():
			return accord.News{Cluster: f.opts.Cluster}
		case <-f.stopped:
			return accord.NewProblem(accord.CodeBusy, "the registrar ends")
		}
	}
}

func (f *frontend) status(r *http.Request) any {
	if r.URL.Query().Has("local") { // of this registrar alone, also without a leader
		if n := f.running.Load(); n != nil {
			return n.published.Load().role
		}
		return accord.Role{Name: f.id.Name}
	}
	return f.askNode(r, func(reply func(any)) any { return &readRequest{receivedAt: f.opts.Clock.Now(), reply: reply} })
}

// status is called once leadership is proved.
func (n *node) status() any {
	if !n.leading {
		return n.notLeader()
	}
	view := n.leaderView()
	d := n.state.Book.Document
	status := accord.Status{Cluster: n.opts.Cluster, Role: n.published.Load().role, Head: d.Head, Bound: n.opts.Terms.StalenessBound().String(), Rules: d.Rules,
		Waiting: d.Pending, Work: n.state.Dispatches, Sites: n.state.SiteStatuses(n.unixMs()), Cordons: n.state.Cordons(view), Registrars: n.state.Registrars}
	for site, d := range n.state.StalenessBounds(n.opts.Terms, n.unixMs()) {
		if status.Bounds == nil {
			status.Bounds = map[string]string{}
		}
		status.Bounds[site] = d.String()
	}
	for _, name := range slices.Sorted(maps.Keys(n.state.Members)) {
		m := n.state.Members[name]
		if m.Incarnation == 0 {
			continue
		}
		at, holds, heard := n.leases.LastBeat(name, m.Incarnation)
		dispatcher := accord.Dispatcher{Name: name, Life: m.Incarnation, Mode: m.Mode, Heard: heard, Holds: holds, Unknown: n.unknownKinds[name]}
		if heard {
			dispatcher.Ago = (view.Now - at).Round(time.Millisecond).String()
		}
		status.Dispatchers = append(status.Dispatchers, dispatcher)
	}
	for _, name := range slices.Sorted(maps.Keys(d.Rules.Expected)) {
		if m, ok := n.state.Members[name]; !ok || m.Incarnation == 0 {
			status.Expected = append(status.Expected, name)
		}
	}
	return status
}

// version reads the history back, from a version on, from this registrar's disk.
func (f *frontend) version(r *http.Request) any {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		return accord.NewProblem(accord.CodeWrong, "from: expected a version")
	}
	steps, err := f.store.steps(from, maxStepsPerRead)
	if err != nil {
		return accord.NewProblem(accord.CodeWrong, err.Error())
	}
	if len(steps) > 0 && steps[0].Head.Version != from {
		return accord.NewProblem(accord.CodeBusy, "this registrar does not have this version yet: ask another")
	}
	return accord.Versions{Steps: steps}
}
