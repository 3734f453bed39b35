package registrar

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/statemachine"
)

const (
	pathRaft    = "/v1/raft"
	pathHello   = "/v1/hello"
	maxRaftBody = 64 << 20 // a snapshot, as text
	maxQueued   = 512      // messages for one registrar; beyond, they are dropped, and sent anew by the protocol
	maxTogether = 128      // in one body
	maxLearnt   = 16       // registrars in all, with those that the record does not name yet
)

// parcel is what one registrar sends another. Danger: an address may have gone over to another cluster, or to another
// disk of the same name; whom it is from and for is told, and anybody else refuses it.
type parcel struct {
	Cluster  string   `json:"cluster"`
	From     string   `json:"from"`
	FromID   uint64   `json:"from_id"`
	ToID     uint64   `json:"to_id"`
	Boots    uint64   `json:"boots"`
	Messages [][]byte `json:"messages"` // protobuf
}

// peers is the way to the other registrars: a task each, which owns its connection.
type peers struct {
	opts   Options
	id     Identity
	client *http.Client
	node   *mailbox[any]
	set    *metrics.Set
	ctx    context.Context
	work   sync.WaitGroup

	mu  sync.Mutex
	all map[uint64]*peer
}

type peer struct {
	name, addr string
	id         uint64
	stop       context.CancelFunc
	queue      chan *pb.Message
}

func newPeers(ctx context.Context, o Options, id Identity, node *mailbox[any], set *metrics.Set) *peers {
	return &peers{opts: o, id: id, node: node, set: set, ctx: ctx, all: map[uint64]*peer{},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}}}
}

// address is where a registrar is reached from here.
func (p *peers) address(name, told string) string {
	if a, ok := p.opts.Registrars[name]; ok {
		return a
	}
	return told
}

// use brings the tasks in step with the record.
func (p *peers) use(registrars map[string]statemachine.Registrar) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[uint64]bool{}
	for name, r := range registrars {
		if r.ID == p.id.ID {
			continue
		}
		wanted[r.ID] = true
		if p.all[r.ID] != nil || p.ctx.Err() != nil {
			continue
		}
		p.start(name, p.address(name, r.Addr), r.ID)
	}
	for id, q := range p.all {
		if !wanted[id] {
			q.stop()
			delete(p.all, id)
		}
	}
}

// learn makes a way to a registrar that has written, where the record does not name it yet: one that joins has to answer
// before it has the record.
func (p *peers) learn(name string, id uint64) {
	addr, ok := p.opts.Registrars[name]
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok && p.all[id] == nil && len(p.all) < maxLearnt && p.ctx.Err() == nil {
		p.start(name, addr, id)
	}
}

// start is called under the lock.
func (p *peers) start(name, addr string, id uint64) {
	ctx, stop := context.WithCancel(p.ctx)
	q := &peer{name: name, addr: addr, id: id, stop: stop, queue: make(chan *pb.Message, maxQueued)}
	p.all[id] = q
	p.work.Go(func() { p.run(ctx, q) })
}

// send queues a message. Losing one is harmless: the protocol sends anew.
func (p *peers) send(m *pb.Message) {
	p.mu.Lock()
	q := p.all[m.GetTo()]
	p.mu.Unlock()
	if q == nil {
		p.set.GetOrCreateCounter(`registrar_messages_lost_total{why="nobody"}`).Inc()
		return
	}
	select {
	case q.queue <- m:
	default:
		p.set.GetOrCreateCounter(`registrar_messages_lost_total{why="full"}`).Inc()
		if m.GetType() == pb.MsgSnap {
			p.node.put(sent{to: q.id, snapshot: true})
		}
	}
}

// run sends what is queued for one registrar, all that waits in one body.
func (p *peers) run(ctx context.Context, q *peer) {
	for {
		var first *pb.Message
		select {
		case <-ctx.Done():
			return
		case first = <-q.queue:
		}
		messages := []*pb.Message{first}
		for more := true; more && len(messages) < maxTogether; {
			select {
			case m := <-q.queue:
				messages = append(messages, m)
			default:
				more = false
			}
		}
		b := parcel{Cluster: p.opts.Cluster, From: p.id.Name, FromID: p.id.ID, ToID: q.id, Boots: p.id.Boots}
		snapshot := false
		for _, m := range messages {
			text, err := proto.Marshal(m)
			if err != nil {
				continue
			}
			b.Messages = append(b.Messages, text)
			snapshot = snapshot || m.GetType() == pb.MsgSnap
		}
		patience := p.opts.Terms.Length / 3
		if snapshot {
			patience = 10 * p.opts.Terms.Length
		}
		err := p.post(ctx, q.addr, pathRaft, b, nil, patience)
		if snapshot {
			p.node.put(sent{to: q.id, snapshot: true, ok: err == nil})
		}
		if err != nil && ctx.Err() == nil {
			p.set.GetOrCreateCounter(`registrar_messages_lost_total{why="unreachable"}`).Inc()
			p.node.put(sent{to: q.id})
			var refused *accord.Problem
			if errors.As(err, &refused) && refused.Code == accord.CodeNotFound {
				p.node.put(failure{ErrRemoved})
			}
			// Danger: whoever refuses connections answers at once; the loop must not spin on it.
			pause := time.NewTimer(tickEvery(p.opts.Terms))
			select {
			case <-ctx.Done():
			case <-pause.C:
			}
			pause.Stop()
		}
	}
}

// ask asks another registrar something that needs no body.
func (p *peers) ask(ctx context.Context, addr, path string, out any, patience time.Duration) error {
	return p.post(ctx, addr, path, nil, out, patience)
}

func (p *peers) post(ctx context.Context, addr, path string, in, out any, patience time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	return accord.Call(ctx, p.client, addr, path, in, out)
}
