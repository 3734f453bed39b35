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
	pathRaft           = "/v1/raft"
	pathHello          = "/v1/hello"
	maxRaftBody        = 64 << 20 // a snapshot, as text
	maxQueuedMessages  = 512      // messages for one registrar; beyond, they are dropped, and sent anew by the protocol
	maxMessagesPerBody = 128      // in one body
	maxPeers           = 16       // registrars in all, with those that the record does not name yet
)

// parcel is what one registrar sends another. Danger: an address may have gone over to another cluster, or to another
// disk of the same name; whom it is from and for is told, and anybody else refuses it.
type raftBatch struct {
	Cluster  string   `json:"cluster"`
	From     string   `json:"from"`
	FromID   uint64   `json:"from_id"`
	ToID     uint64   `json:"to_id"`
	Boots    uint64   `json:"boots"`
	Messages [][]byte `json:"messages"` // protobuf
}

// peers is the way to the other registrars: a task each, which owns its connection.
type peers struct {
	opts      Options
	id        Identity
	client    *http.Client
	nodeInbox *mailbox[any]
	counters  *metrics.Set
	ctx       context.Context
	tasks     sync.WaitGroup

	mu   sync.Mutex
	byID map[uint64]*peer
}

type peer struct {
	name, addr string
	id         uint64
	stop       context.CancelFunc
	queue      chan *pb.Message
}

func newPeers(ctx context.Context, o Options, id Identity, nodeInbox *mailbox[any], counters *metrics.Set) *peers {
	return &peers{opts: o, id: id, nodeInbox: nodeInbox, counters: counters, ctx: ctx, byID: map[uint64]*peer{},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}}}
}

// address is where a registrar is reached from here.
func (p *peers) address(name, recorded string) string {
	if a, ok := p.opts.Registrars[name]; ok {
		return a
	}
	return recorded
}

// use brings the tasks in step with the record.
func (p *peers) update(registrars map[string]statemachine.Registrar) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := map[uint64]bool{}
	for name, r := range registrars {
		if r.ID == p.id.ID {
			continue
		}
		wanted[r.ID] = true
		if p.byID[r.ID] != nil || p.ctx.Err() != nil {
			continue
		}
		p.startPeer(name, p.address(name, r.Addr), r.ID)
	}
	for id, q := range p.byID {
		if !wanted[id] {
			q.stop()
			delete(p.byID, id)
		}
	}
}

// learn makes a way to a registrar that has written, where the record does not name it yet: one that joins has to answer
// before it has the record.
func (p *peers) addUnlisted(name string, id uint64) {
	addr, ok := p.opts.Registrars[name]
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok && p.byID[id] == nil && len(p.byID) < maxPeers && p.ctx.Err() == nil {
		p.startPeer(name, addr, id)
	}
}

// start is called under the lock.
func (p *peers) startPeer(name, addr string, id uint64) {
	ctx, stop := context.WithCancel(p.ctx)
	q := &peer{name: name, addr: addr, id: id, stop: stop, queue: make(chan *pb.Message, maxQueuedMessages)}
	p.byID[id] = q
	p.tasks.Go(func() { p.runPeer(ctx, q) })
}

// send queues a message. Losing one is harmless: the protocol sends anew.
func (p *peers) send(m *pb.Message) {
	p.mu.Lock()
	q := p.byID[m.GetTo()]
	p.mu.Unlock()
	if q == nil {
		p.counters.GetOrCreateCounter(`registrar_messages_lost_total{why="nobody"}`).Inc()
		return
	}
	select {
	case q.queue <- m:
	default:
		p.counters.GetOrCreateCounter(`registrar_messages_lost_total{why="full"}`).Inc()
		if m.GetType() == pb.MsgSnap {
			p.nodeInbox.put(sendResult{to: q.id, snapshot: true})
		}
	}
}

// run sends what is queued for one registrar, all that waits in one body.
func (p *peers) runPeer(ctx context.Context, q *peer) {
	for {
		var first *pb.Message
		select {
		case <-ctx.Done():
			return
		case first = <-q.queue:
		}
		messages := []*pb.Message{first}
		for queued := true; queued && len(messages) < maxMessagesPerBody; {
			select {
			case m := <-q.queue:
				messages = append(messages, m)
			default:
				queued = false
			}
		}
		batch := raftBatch{Cluster: p.opts.Cluster, From: p.id.Name, FromID: p.id.ID, ToID: q.id, Boots: p.id.Boots}
		snapshot := false
		for _, m := range messages {
			text, err := proto.Marshal(m)
			if err != nil {
				continue
			}
			batch.Messages = append(batch.Messages, text)
			snapshot = snapshot || m.GetType() == pb.MsgSnap
		}
		timeout := p.opts.Terms.Length / 3
		if snapshot {
			timeout = 10 * p.opts.Terms.Length
		}
		err := p.post(ctx, q.addr, pathRaft, batch, nil, timeout)
		if snapshot {
			p.nodeInbox.put(sendResult{to: q.id, snapshot: true, ok: err == nil})
		}
		if err != nil && ctx.Err() == nil {
			p.counters.GetOrCreateCounter(`registrar_messages_lost_total{why="unreachable"}`).Inc()
			p.nodeInbox.put(sendResult{to: q.id})
			var refused *accord.Problem
			if errors.As(err, &refused) && refused.Code == accord.CodeGone {
				p.nodeInbox.put(failure{ErrRemoved})
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
func (p *peers) get(ctx context.Context, addr, path string, out any, timeout time.Duration) error {
	return p.post(ctx, addr, path, nil, out, timeout)
}

func (p *peers) post(ctx context.Context, addr, path string, in, out any, timeout time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return accord.Call(ctx, p.client, addr, path, in, out)
}
