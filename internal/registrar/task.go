package registrar

import (
	"sync"

	pb "go.etcd.io/raft/v3/raftpb"
)

// mailbox is a queue between two tasks that never blocks its sender: two tasks that write to each other would stand
// still for ever where both queues are full. What may be put in is bounded by those who put it in.
type mailbox[T any] struct {
	mu    sync.Mutex
	queue []T
	wake  chan struct{} // holds a token while something is there
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{wake: make(chan struct{}, 1)} }

func (m *mailbox[T]) put(v ...T) {
	m.mu.Lock()
	m.queue = append(m.queue, v...)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take empties the queue.
func (m *mailbox[T]) take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.queue
	m.queue = nil
	return l
}

// toStore is one message to the store's task.
type storeRequest struct {
	append   *pb.Message
	batch    batch // what else is to be written: steps, marks, a snapshot
	finished func(error)
}

// runStore is the task that owns the disk. It writes all that waits under one sync, then lets the answers go.
func runStore(s *store, inbox *mailbox[storeRequest], done <-chan struct{}, deliver func([]*pb.Message), failed func(error)) {
	for {
		select {
		case <-done:
			return
		case <-inbox.wake:
		}
		requests := inbox.take()
		if len(requests) == 0 {
			continue
		}
		b := batch{watermarks: map[uint64]Watermark{}}
		for _, request := range requests {
			if request.append != nil {
				b.messages = append(b.messages, request.append)
			}
			b.steps = append(b.steps, request.batch.steps...)
			for id, m := range request.batch.watermarks {
				b.watermarks[id] = m
			}
			if request.batch.snapshot != nil {
				b.snapshot, b.keepFrom = request.batch.snapshot, request.batch.keepFrom
			}
		}
		err := s.write(b)
		for _, request := range requests {
			if err == nil && request.append != nil {
				deliver(request.append.Responses)
			}
			if request.finished != nil {
				request.finished(err)
			}
		}
		// Danger: what a failing disk may or may not hold must never be told as written. This registrar ends, and
		// comes back with what the disk has.
		if err != nil {
			failed(err)
			return
		}
	}
}
