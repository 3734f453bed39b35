package ledger

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"merlinarch/internal/decide/usage"
)

var (
	bucketMeta          = []byte("meta")
	bucketRecords       = []byte("records")
	keyVersion          = []byte("version")
	keySnapshot         = []byte("snapshot")
	keyPreviousSnapshot = []byte("earlier") // the snapshot before the newest one
)

// Errors that callers distinguish. Open returns the first two; ErrNotWritable is wrapped by the errors of failed writes,
// and returned after Close.
var (
	ErrInUse        = errors.New("another process has the ledger open")
	ErrNewerVersion = errors.New("the ledger's format version is not supported")
	ErrNotWritable  = errors.New("the ledger can't be written")
)

// Limits bound a ledger's groups, queue, snapshots and waiting times.
type Limits struct {
	MaxGroupSize  int           // uses and confirmations that one record holds at most
	QueueSize     int           // requests to the writer that may wait for the disk
	SnapshotEvery uint64        // records between two snapshots; records that both of the last two cover are dropped
	LockTimeout   time.Duration // how long to wait for another process to close the file
	ProbeInterval time.Duration // interval of trial writes while the disk fails
}

// DefaultLimits returns limits for a router with a few thousand requests a second.
func DefaultLimits() Limits {
	return Limits{MaxGroupSize: 1024, QueueSize: 8192, SnapshotEvery: 4096, LockTimeout: time.Second,
		ProbeInterval: time.Second}
}

// Options configure a ledger.
type Options struct {
	Instance string
	Accounts usage.Settings
	Limits   Limits
	Now      func() time.Time
	// commit replaces the store's own commit in tests that simulate a failing disk; nil: none.
	commit func(*bolt.DB, func(*bolt.Tx) error) error
}

// Ledger is an open ledger. Its methods are safe for use by several goroutines.
type Ledger struct {
	opts      Options
	names     usage.Names
	db        *bolt.DB
	mu        sync.Mutex // guards state
	state     *state
	serial    atomic.Uint64
	writeErr  atomic.Pointer[error]
	queue     chan writeRequest
	done      chan struct{}
	stop      context.CancelFunc
	syncs     atomic.Int64
	unwritten []uint64 // confirmations whose write failed; only the writer's goroutine uses it
}

// writeRequest is a use, a confirmation or a correction for the writer. result receives nil once it is durable, or the
// error; a confirmation has none.
type writeRequest struct {
	use             *Use
	confirmedSerial uint64
	note            *usage.Note
	result          chan error
}

// Open opens or creates a ledger and begins a new incarnation of its instance.
func Open(path string, opts Options) (*Ledger, error) {
	db, st, err := load(path, opts, false)
	if err != nil {
		return nil, err
	}
	l := &Ledger{opts: opts, names: usage.NewNames(opts.Accounts), db: db, state: st, queue: make(chan writeRequest, opts.Limits.QueueSize), done: make(chan struct{})}
	st.opening = Opening{Instance: opts.Instance, Incarnation: st.opening.Incarnation + 1}
	opening := st.opening
	if err := l.write(Record{Opened: &opening}); err != nil {
		db.Close()
		return nil, fmt.Errorf("ledger %s: %w", path, err)
	}
	for serial := range st.unconfirmed { // serials continue, so that none is used twice
		l.serial.Store(max(l.serial.Load(), serial))
	}
	l.serial.Store(max(l.serial.Load(), st.opening.Incarnation<<40))
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	go l.run(ctx)
	return l, nil
}

// newFileTxID is the id of the latest transaction of a file that the store has just created.
const newFileTxID = 1

// load opens a file and reads the state that it holds.
func load(path string, opts Options, readOnly bool) (*bolt.DB, *state, error) {
	if readOnly {
		if _, err := os.Stat(path); err != nil {
			return nil, nil, fmt.Errorf("ledger: %w", err)
		}
	}
	var db *bolt.DB
	err := recoverPageFaults(func() (err error) {
		db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: max(opts.Limits.LockTimeout, time.Millisecond), ReadOnly: readOnly})
		return err
	})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, nil, fmt.Errorf("ledger %s: %w", path, ErrInUse)
	case err != nil:
		return nil, nil, fmt.Errorf("ledger %s: %w", path, err)
	}
	var st *state
	err = recoverPageFaults(func() error {
		return db.View(func(tx *bolt.Tx) error {
			if err := checkNotTruncated(path, tx); err != nil {
				return err
			}
			var err error
			st, err = readState(tx, opts)
			return err
		})
	})
	if err == nil && !readOnly {
		err = db.Update(func(tx *bolt.Tx) error {
			meta, err := tx.CreateBucketIfNotExists(bucketMeta)
			if err != nil {
				return err
			}
			if _, err := tx.CreateBucketIfNotExists(bucketRecords); err != nil {
				return err
			}
			return meta.Put(keyVersion, []byte{Version})
		})
	}
	if err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("ledger %s: %w", path, err)
	}
	return db, st, nil
}

// checkNotTruncated checks that the file holds all pages that its newest meta page counts. The store reads the missing end
// of a truncated page as zeros. A bucket there would have no records, and the file would be taken for a new ledger.
func checkNotTruncated(path string, tx *bolt.Tx) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size() < tx.Size() {
		return fmt.Errorf("%w: the file is truncated: %d bytes of %d", errCorrupt, info.Size(), tx.Size())
	}
	return nil
}

// recoverPageFaults runs a function that reads a file which may be damaged, and returns its panics as errors. The store
// maps the file into memory: a page beyond the end of a truncated file causes a memory fault, and a page with arbitrary
// content makes the store panic.
func recoverPageFaults(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: unreadable pages: %v", errCorrupt, p)
		}
	}()
	return do()
}

// readState reads the newest snapshot, replays the records after it, and checks each of them.
func readState(tx *bolt.Tx, opts Options) (*state, error) {
	st := &state{unconfirmed: map[uint64]Use{}}
	var err error
	if st.book, err = usage.New(opts.Accounts, opts.Now()); err != nil {
		return nil, err
	}
	meta, records := tx.Bucket(bucketMeta), tx.Bucket(bucketRecords)
	if meta == nil || records == nil {
		// A truncated file may appear to have no buckets. Without this check it would be taken for a new one.
		if tx.ID() > newFileTxID {
			return nil, fmt.Errorf("%w: the file holds no ledger; it is truncated, or belongs to another program", errCorrupt)
		}
		return st, nil // new
	}
	if v := meta.Get(keyVersion); len(v) != 1 || v[0] > Version {
		return nil, fmt.Errorf("%w: version %v, this program supports up to %d", ErrNewerVersion, v, Version)
	}
	if err := st.restore(meta.Get(keySnapshot)); err != nil {
		return nil, err
	}
	return st, st.replay(records)
}

// restore sets the state from a stored snapshot; nil stands for no snapshot.
func (s *state) restore(data []byte) error {
	if data == nil {
		s.book.Restore(usage.State{})
		return nil
	}
	snap, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	s.sequence, s.lastHash, s.opening = snap.Sequence, snap.LastHash, snap.Opening
	for _, u := range snap.Unconfirmed {
		s.unconfirmed[u.Serial] = u
	}
	s.book.Restore(snap.Book)
	return nil
}

// replay applies all records after the last one that the state covers.
func (s *state) replay(records *bolt.Bucket) error {
	c := records.Cursor()
	for k, v := c.Seek(recordKey(s.sequence + 1)); k != nil; k, v = c.Next() {
		if string(k) != string(recordKey(s.sequence+1)) {
			return fmt.Errorf("entry %d: %w: it is missing", s.sequence+1, errCorrupt)
		}
		r, err := decode(v, s.sequence+1, s.lastHash)
		if err != nil {
			return err
		}
		if err := s.apply(r, v); err != nil {
			return err
		}
	}
	return nil
}

// Count makes a use durable, so that its answer may go out, and returns the serial that Confirm needs. If the disk fails,
// the error wraps ErrNotWritable.
func (l *Ledger) Count(ctx context.Context, u usage.Use) (uint64, error) {
	use := &Use{Serial: l.serial.Add(1), UnixNs: l.opts.Now().UnixNano(), Use: l.names.Recorded(u)}
	return use.Serial, l.submit(ctx, writeRequest{use: use, result: make(chan error, 1)})
}

// Confirm records that an answer's last byte has been written. It does not wait for the disk: after a crash before the
// confirmation is durable, the use is listed as unconfirmed.
func (l *Ledger) Confirm(serial uint64) {
	select {
	case l.queue <- writeRequest{confirmedSerial: serial}:
	case <-l.done:
	}
}

// Correct enters a correction. Repeating a correction with the same key changes nothing.
func (l *Ledger) Correct(ctx context.Context, n usage.Note) error {
	return l.submit(ctx, writeRequest{note: &n, result: make(chan error, 1)})
}

// submit passes a request to the writer and waits for its result. A request is passed on even if ctx has ended, unless the
// queue is full: the answer that it is about may go out all the same.
func (l *Ledger) submit(ctx context.Context, request writeRequest) error {
	select {
	case l.queue <- request:
	default:
		select {
		case l.queue <- request:
		case <-l.done:
			return ErrNotWritable
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case err := <-request.result:
		return err
	case <-l.done:
		return ErrNotWritable
	case <-ctx.Done(): // the use may still become durable, and is then unconfirmed
		return ctx.Err()
	}
}

// WriteError returns the error that the disk last failed with, or nil if it works.
func (l *Ledger) WriteError() error {
	if p := l.writeErr.Load(); p != nil {
		return *p
	}
	return nil
}

// run is the writer's goroutine. It writes requests in groups: while one group is being written, the next one collects in
// the queue.
func (l *Ledger) run(ctx context.Context) {
	defer close(l.done)
	probe := time.NewTicker(l.opts.Limits.ProbeInterval)
	defer probe.Stop()
	for {
		select {
		case request := <-l.queue:
			l.writeGroup(request)
		case <-probe.C: // without new requests, only this trial write finds out that the disk works again
			if l.WriteError() != nil {
				_ = l.write(l.addUnwritten(Record{})) // a failure is recorded for WriteError
			}
		case <-ctx.Done():
			for { // write what was submitted before Close
				select {
				case request := <-l.queue:
					l.writeGroup(request)
				default:
					return
				}
			}
		}
	}
}

// writeGroup collects the waiting requests into one record and writes it. A correction gets a record of its own, so that
// an invalid one does not make the uses in the same group fail.
func (l *Ledger) writeGroup(first writeRequest) {
	if first.note != nil {
		first.result <- l.write(Record{Note: first.note})
		return
	}
	var r Record
	var waiting []chan error
	var note *writeRequest
	for request, more := first, true; more; {
		switch {
		case request.note != nil:
			note, more = &request, false
			continue
		case request.use != nil:
			r.Uses, waiting = append(r.Uses, *request.use), append(waiting, request.result)
		default:
			r.Confirmed = append(r.Confirmed, request.confirmedSerial)
		}
		if more = len(r.Uses)+len(r.Confirmed) < l.opts.Limits.MaxGroupSize; !more {
			continue
		}
		select {
		case request = <-l.queue:
		default:
			more = false
		}
	}
	err := l.write(l.addUnwritten(r))
	for _, ready := range waiting {
		ready <- err
	}
	if note != nil {
		l.writeGroup(*note)
	}
}

// addUnwritten adds the confirmations of groups whose write failed.
func (l *Ledger) addUnwritten(r Record) Record {
	r.Confirmed = append(l.unwritten, r.Confirmed...)
	l.unwritten = nil
	return r
}

// write makes a record durable and applies it to the state. If a snapshot is due, it writes one too.
func (l *Ledger) write(r Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	// Drop confirmations of uses that the ledger does not hold because their own group failed to be written. The others
	// refer to uses that are still unconfirmed, also if an earlier group with the same confirmation failed.
	r.Confirmed = slices.DeleteFunc(r.Confirmed, func(serial uint64) bool {
		_, open := l.state.unconfirmed[serial]
		return !open && !slices.ContainsFunc(r.Uses, func(u Use) bool { return u.Serial == serial })
	})
	r.Sequence, r.PreviousHash, r.UnixNs = l.state.sequence+1, l.state.lastHash, l.opts.Now().UnixNano()
	if r.Note != nil { // checked before it is written: a record that cannot be applied would make the file unreadable
		trial := usage.Book{}
		if b, err := usage.New(l.opts.Accounts, time.Unix(0, r.UnixNs)); err == nil {
			trial = *b
		}
		trial.Restore(l.state.book.State())
		if _, err := trial.Correct(time.Unix(0, r.UnixNs), *r.Note); err != nil {
			return err
		}
	}
	data, err := cbor.Marshal(r)
	if err == nil {
		err = l.commit(func(tx *bolt.Tx) error { return tx.Bucket(bucketRecords).Put(recordKey(r.Sequence), data) })
	}
	if err != nil {
		err = fmt.Errorf("%w: %w", ErrNotWritable, err)
		l.writeErr.Store(&err)
		for _, serial := range r.Confirmed { // uses of the failed group itself were not stored
			if _, open := l.state.unconfirmed[serial]; open {
				l.unwritten = append(l.unwritten, serial)
			}
		}
		return err
	}
	l.writeErr.Store(nil)
	l.syncs.Add(1)
	if err := l.state.apply(r, data); err != nil {
		return err
	}
	if l.state.sequence%l.opts.Limits.SnapshotEvery == 0 {
		if err := l.writeSnapshot(); err != nil {
			err = fmt.Errorf("%w: snapshot: %w", ErrNotWritable, err)
			l.writeErr.Store(&err)
		}
	}
	return nil
}

// commit runs a write transaction of the store, or the replacement that a test has set.
func (l *Ledger) commit(do func(*bolt.Tx) error) error {
	if l.opts.commit != nil {
		return l.opts.commit(l.db, do)
	}
	return l.db.Update(do)
}

// writeSnapshot stores the state as the newest snapshot, and drops the records that the previous snapshot covers.
func (l *Ledger) writeSnapshot() error {
	s := l.state
	snap := snapshot{Sequence: s.sequence, LastHash: s.lastHash, Book: s.book.State(), Unconfirmed: sortedUnconfirmed(s), Opening: s.opening}
	data, err := snap.encode()
	if err != nil {
		return err
	}
	return l.commit(func(tx *bolt.Tx) error {
		meta, records := tx.Bucket(bucketMeta), tx.Bucket(bucketRecords)
		if current := meta.Get(keySnapshot); current != nil {
			previous, err := decodeSnapshot(current)
			if err != nil {
				return err
			}
			if err := meta.Put(keyPreviousSnapshot, slices.Clone(current)); err != nil {
				return err
			}
			c := records.Cursor()
			for k, _ := c.First(); k != nil && string(k) <= string(recordKey(previous.Sequence)); k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		return meta.Put(keySnapshot, data)
	})
}

// sortedUnconfirmed returns the unconfirmed uses in order of their serials.
func sortedUnconfirmed(s *state) []Use {
	return slices.SortedFunc(maps.Values(s.unconfirmed), func(a, b Use) int { return cmp.Compare(a.Serial, b.Serial) })
}

// Close writes all waiting requests and closes the file.
func (l *Ledger) Close() error {
	l.stop()
	<-l.done
	if err := l.db.Close(); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// View is a summary of a ledger.
type View struct {
	Opening     Opening
	Entries     uint64
	Statements  []usage.Statement
	Unconfirmed []Use // unconfirmed at a crash, or in flight now
}

// View returns a summary of an open ledger.
func (l *Ledger) View() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return viewOf(l.state)
}

// viewOf returns a summary of a state.
func viewOf(s *state) View {
	v := View{Opening: s.opening, Entries: s.sequence, Unconfirmed: sortedUnconfirmed(s)}
	for _, p := range s.book.Periods() {
		v.Statements = append(v.Statements, s.book.Statement(p))
	}
	return v
}

// Show returns a summary of a ledger file that no process has open for writing.
func Show(path string, opts Options) (View, error) {
	db, st, err := load(path, opts, true)
	if err != nil {
		return View{}, err
	}
	defer db.Close()
	return viewOf(st), nil
}

// Verify checks a whole ledger file, from the earlier of its two snapshots on: hashes, sequence numbers, and that the
// newer snapshot matches the records that it covers. The error names the first entry that is wrong.
func Verify(path string, opts Options) (entries uint64, err error) {
	db, newest, err := load(path, opts, true)
	if err != nil {
		return 0, err
	}
	defer db.Close()
	err = recoverPageFaults(func() error {
		return db.View(func(tx *bolt.Tx) error {
			meta, records := tx.Bucket(bucketMeta), tx.Bucket(bucketRecords)
			if meta == nil || records == nil {
				return nil
			}
			st := &state{unconfirmed: map[uint64]Use{}}
			if st.book, err = usage.New(opts.Accounts, opts.Now()); err != nil {
				return err
			}
			if err := st.restore(meta.Get(keyPreviousSnapshot)); err != nil {
				return err
			}
			if err := st.replay(records); err != nil {
				return err
			}
			if st.sequence != newest.sequence || st.lastHash != newest.lastHash || fmt.Sprint(st.book.State()) != fmt.Sprint(newest.book.State()) ||
				fmt.Sprint(sortedUnconfirmed(st)) != fmt.Sprint(sortedUnconfirmed(newest)) {
				return fmt.Errorf("snapshot: %w: it does not match the records that it covers", errCorrupt)
			}
			entries = st.sequence
			return nil
		})
	})
	if err != nil {
		return 0, fmt.Errorf("ledger %s: %w", path, err)
	}
	return entries, nil
}
