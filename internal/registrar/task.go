package registrar

import (
	"sync"

	pb "go.etcd.io/raft/v3/raftpb"
)

// mailbox is an unbounded queue between goroutines. Its sender never blocks, because two goroutines that send to each
// other would deadlock if both their queues were full. The senders bound how much they put in.
type mailbox[T any] struct {
	mu    sync.Mutex
	queue []T
	wake  chan struct{} // holds a token if something was put since the receiver last took one
}

// newMailbox returns an empty mailbox.
func newMailbox[T any]() *mailbox[T] { return &mailbox[T]{wake: make(chan struct{}, 1)} }

// put appends to the queue and wakes its receiver.
func (m *mailbox[T]) put(v ...T) {
	m.mu.Lock()
	m.queue = append(m.queue, v...)
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// take empties the queue and returns what was in it.
func (m *mailbox[T]) take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.queue
	m.queue = nil
	return l
}

// storeRequest asks the store's goroutine to write something.
type storeRequest struct {
	append   *pb.Message
	batch    batch       // what else is to be written: steps, watermarks, a snapshot
	finished func(error) // called after the write, or nil
}

// runStore is the main loop of the goroutine that owns the store. It writes all queued requests with one sync of the
// disk and then releases the responses that depend on them.
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
		// After a failed write it is unknown what the disk holds, and nothing may be acknowledged as written. This
		// registrar ends; at its next start it goes on from what is on the disk.
		if err != nil {
			failed(err)
			return
		}
	}
}
