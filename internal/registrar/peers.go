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
	maxRaftBody        = 64 << 20 // bytes; has to hold an encoded snapshot
	maxQueuedMessages  = 512      // messages for one registrar; further ones are dropped, and Raft sends them again
	maxMessagesPerBody = 128      // messages in one request
	maxPeers           = 16       // including registrars that the replicated state doesn't name yet
)

// raftBatch is the body of a request with Raft messages. It names its sender and its receiver, and any other receiver
// refuses it: an address may since belong to another cluster, or to a registrar of the same name with a new store.
type raftBatch struct {
	Cluster  string   `json:"cluster"`
	From     string   `json:"from"`
	FromID   uint64   `json:"from_id"`
	ToID     uint64   `json:"to_id"`
	Boots    uint64   `json:"boots"`
	UnixMs   int64    `json:"unix_ms,omitempty"` // the sender's wall clock
	Messages [][]byte `json:"messages"`          // protobuf
}

// peers sends to the other registrars. Each of them has a goroutine that owns the connection to it.
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

// peer is one other registrar.
type peer struct {
	name, addr string
	id         uint64
	stop       context.CancelFunc
	queue      chan *pb.Message
}

// newPeers returns a sender without any peers.
func newPeers(ctx context.Context, o Options, id Identity, nodeInbox *mailbox[any], counters *metrics.Set) *peers {
	return &peers{opts: o, id: id, nodeInbox: nodeInbox, counters: counters, ctx: ctx, byID: map[uint64]*peer{},
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 2}}}
}

// address returns where a registrar is reached from here: as configured, or else as recorded in the replicated state.
func (p *peers) address(name, recorded string) string {
	if a, ok := p.opts.Registrars[name]; ok {
		return a
	}
	return recorded
}

// update starts and stops peers so that they match the replicated state.
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

// addUnlisted starts a peer for a registrar that has sent messages and that the replicated state doesn't name yet. A
// registrar that joins needs this: it has to answer the leader before it has the state.
func (p *peers) addUnlisted(name string, id uint64) {
	addr, ok := p.opts.Registrars[name]
	p.mu.Lock()
	defer p.mu.Unlock()
	if ok && p.byID[id] == nil && len(p.byID) < maxPeers && p.ctx.Err() == nil {
		p.startPeer(name, addr, id)
	}
}

// startPeer starts the goroutine of a peer. The caller holds mu.
func (p *peers) startPeer(name, addr string, id uint64) {
	ctx, stop := context.WithCancel(p.ctx)
	q := &peer{name: name, addr: addr, id: id, stop: stop, queue: make(chan *pb.Message, maxQueuedMessages)}
	p.byID[id] = q
	p.tasks.Go(func() { p.runPeer(ctx, q) })
}

// send queues a message. A message that is lost does no harm, as Raft sends it again.
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
			p.nodeInbox.put(sendResult{to: q.id, isSnapshot: true})
		}
	}
}

// runPeer sends the messages queued for one registrar, as many as fit in each request.
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
		batch := raftBatch{Cluster: p.opts.Cluster, From: p.id.Name, FromID: p.id.ID, ToID: q.id, Boots: p.id.Boots, UnixMs: p.opts.unixMs()}
		hasSnapshot := false
		for _, m := range messages {
			encoded, err := proto.Marshal(m)
			if err != nil {
				continue
			}
			batch.Messages = append(batch.Messages, encoded)
			hasSnapshot = hasSnapshot || m.GetType() == pb.MsgSnap
		}
		timeout := p.opts.Terms.Length / 3
		if hasSnapshot {
			timeout = 10 * p.opts.Terms.Length
		}
		err := p.post(ctx, q.addr, pathRaft, batch, nil, timeout)
		if hasSnapshot {
			p.nodeInbox.put(sendResult{to: q.id, isSnapshot: true, ok: err == nil})
		}
		if err != nil && ctx.Err() == nil {
			p.counters.GetOrCreateCounter(`registrar_messages_lost_total{why="unreachable"}`).Inc()
			p.nodeInbox.put(sendResult{to: q.id})
			var refused *accord.Problem
			if errors.As(err, &refused) && refused.Code == accord.CodeNotFound {
				p.nodeInbox.put(failure{ErrRemoved})
			}
			// A refused connection fails at once; without a pause this loop would spin.
			pause := time.NewTimer(tickEvery(p.opts.Terms))
			select {
			case <-ctx.Done():
			case <-pause.C:
			}
			pause.Stop()
		}
	}
}

// get sends another registrar a request without a body.
func (p *peers) get(ctx context.Context, addr, path string, out any, timeout time.Duration) error {
	return p.post(ctx, addr, path, nil, out, timeout)
}

// post sends another registrar a request and decodes its answer into out, unless out is nil.
func (p *peers) post(ctx context.Context, addr, path string, in, out any, timeout time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	return accord.Call(ctx, p.client, addr, path, in, out)
}
