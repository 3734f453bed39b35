package registrar

import (
	"sync"

	pb "go.etcd.io/raft/v3/raftpb"
)

// mailbox is a queue between two tasks that never blocks its sender: two tasks that write to each other would stand
// still for ever where both queues are full. What may be put in is bounded by those who put it in.
type mailbox[T any] struct {
	mu   sync.Mutex
	list []T
	wake chan struct{} // holds a token while something is there
}

func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{wake: make(chan struct{}, 1)} }

func (m *mailbox[T]) put(v ...T) {
	m.mu.Lock()
	m.list = append(m.list, v...)
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
	l := m.list
	m.list = nil
	return l
}

// toStore is one message to the store's task.
type toStore struct {
	append   *pb.Message
	batch    batch // what else is to be written: steps, marks, a snapshot
	finished func(error)
}

// runStore is the task that owns the disk. It writes all that waits under one sync, then lets the answers go.
func runStore(s *store, in *mailbox[toStore], done <-chan struct{}, deliver func([]*pb.Message), failed func(error)) {
	for {
		select {
		case <-done:
			return
		case <-in.wake:
		}
		work := in.take()
		if len(work) == 0 {
			continue
		}
		b := batch{marks: map[uint64]Watermark{}}
		for _, w := range work {
			if w.append != nil {
				b.messages = append(b.messages, w.append)
			}
			b.steps = append(b.steps, w.batch.steps...)
			for id, m := range w.batch.marks {
				b.marks[id] = m
			}
			if w.batch.snapshot != nil {
				b.snapshot, b.keep = w.batch.snapshot, w.batch.keep
			}
		}
		err := s.write(b)
		for _, w := range work {
			if err == nil && w.append != nil {
				deliver(w.append.Responses)
			}
			if w.finished != nil {
				w.finished(err)
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
