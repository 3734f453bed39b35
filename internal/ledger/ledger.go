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
	keyPreviousSnapshot = []byte("earlier") // the snapshot before
)

// Errors of opening.
var (
	ErrInUse        = errors.New("another process has the ledger open")
	ErrNewerVersion = errors.New("the ledger is of a newer version")
	ErrNotWritable  = errors.New("the ledger can't be written")
)

// Limits of a store.
type Limits struct {
	MaxGroupSize  int           // uses that one record holds at most
	QueueSize     int           // uses and confirmations that wait for the disk
	SnapshotEvery uint64        // records between two snapshots; what both cover is dropped
	LockTimeout   time.Duration // for another process
	ProbeInterval time.Duration // while the disk fails, it is tried so often
}

// DefaultLimits suit a router with a few thousand requests a second.
func DefaultLimits() Limits {
	return Limits{MaxGroupSize: 1024, QueueSize: 8192, SnapshotEvery: 4096, LockTimeout: time.Second,
		ProbeInterval: time.Second}
}

// Options is what a ledger is opened with.
type Options struct {
	Instance string
	Accounts usage.Settings
	Limits   Limits
	Now      func() time.Time
	// commit stands for the store's own, so that tests can let the disk fail.
	commit func(*bolt.DB, func(*bolt.Tx) error) error
}

// Ledger is an open store. Its methods may be called from any goroutine.
type Ledger struct {
	opts      Options
	db        *bolt.DB
	mu        sync.Mutex // guards state
	state     *state
	serial    atomic.Uint64
	writeErr  atomic.Pointer[error]
	queue     chan writeRequest
	done      chan struct{}
	stop      context.CancelFunc
	syncs     atomic.Int64
	unwritten []uint64 // confirmations that the disk did not take; the writer's own
}

// item is one thing for the writer; ready is told once it is durable, or can't be.
type writeRequest struct {
	use             *Use
	confirmedSerial uint64
	note            *usage.Note
	result          chan error
}

// Open opens or creates a ledger and begins a new life of its instance.
func Open(path string, opts Options) (*Ledger, error) {
	db, st, err := load(path, opts, false)
	if err != nil {
		return nil, err
	}
	l := &Ledger{opts: opts, db: db, state: st, queue: make(chan writeRequest, opts.Limits.QueueSize), done: make(chan struct{})}
	st.opening = Opening{Instance: opts.Instance, Incarnation: st.opening.Incarnation + 1}
	opening := st.opening
	if err := l.write(Record{Opened: &opening}); err != nil {
		db.Close()
		return nil, fmt.Errorf("ledger %s: %w", path, err)
	}
	for serial := range st.unconfirmed { // serials go on, so that none comes twice
		l.serial.Store(max(l.serial.Load(), serial))
	}
	l.serial.Store(max(l.serial.Load(), st.opening.Incarnation<<40))
	ctx, stop := context.WithCancel(context.Background())
	l.stop = stop
	go l.run(ctx)
	return l, nil
}

// freshTx is the newest transaction of a file that the store has only just made.
const newFileTxID = 1

// load opens a file and adds up what is in it.
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

// whole checks that the file holds all pages that its newest head counts. Danger: the store reads what lies behind the cut,
// in the page that was cut, as zeros; a bucket that stands there is one without records, and would pass for a new ledger.
func checkNotTruncated(path string, tx *bolt.Tx) error {
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size() < tx.Size() {
		return fmt.Errorf("%w: the file was cut: %d bytes of %d", errCorrupt, info.Size(), tx.Size())
	}
	return nil
}

// guarded reads what may be torn. Danger: the store maps the file; a page behind the end of a file that was cut is a
// fault, and pages of noise make it panic.
func recoverPageFaults(do func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: unreadable pages: %v", errCorrupt, p)
		}
	}()
	return do()
}

// read adds up the newest snapshot and the records after it, and checks each of them.
func readState(tx *bolt.Tx, opts Options) (*state, error) {
	st := &state{unconfirmed: map[uint64]Use{}}
	var err error
	if st.book, err = usage.New(opts.Accounts, opts.Now()); err != nil {
		return nil, err
	}
	meta, records := tx.Bucket(bucketMeta), tx.Bucket(bucketRecords)
	if meta == nil || records == nil {
		// Danger: a file that was cut shows as one without buckets, and would pass for a new one.
		if tx.ID() > newFileTxID {
			return nil, fmt.Errorf("%w: the file holds no ledger; it was cut, or is another program's", errCorrupt)
		}
		return st, nil // new
	}
	if v := meta.Get(keyVersion); len(v) != 1 || v[0] > Version {
		return nil, fmt.Errorf("%w: %v, this program knows %d", ErrNewerVersion, v, Version)
	}
	if err := st.restore(meta.Get(keySnapshot)); err != nil {
		return nil, err
	}
	return st, st.replay(records)
}

// restore begins from a snapshot; nil is none.
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

// replay applies all records after the state's own.
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

// Count makes a use durable before its answer goes out, and gives the serial to confirm it by. Where the disk fails,
// the error is ErrIll.
func (l *Ledger) Count(ctx context.Context, u usage.Use) (uint64, error) {
	use := &Use{Serial: l.serial.Add(1), UnixNs: l.opts.Now().UnixNano(), Use: u}
	return use.Serial, l.submit(ctx, writeRequest{use: use, result: make(chan error, 1)})
}

// Confirm tells that the answer's last byte was written. It does not wait for the disk: a crash before it is durable
// leaves the use among the unconfirmed.
func (l *Ledger) Confirm(serial uint64) {
	select {
	case l.queue <- writeRequest{confirmedSerial: serial}:
	case <-l.done:
	}
}

// Correct enters a correction; a repeat of its key changes nothing.
func (l *Ledger) Correct(ctx context.Context, n usage.Note) error {
	return l.submit(ctx, writeRequest{note: &n, result: make(chan error, 1)})
}

func (l *Ledger) submit(ctx context.Context, it writeRequest) error {
	select {
	case l.queue <- it:
	case <-l.done:
		return ErrNotWritable
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-it.result:
		return err
	case <-l.done:
		return ErrNotWritable
	case <-ctx.Done(): // it may become durable all the same: it is unconfirmed then
		return ctx.Err()
	}
}

// Ill tells what the disk failed with last; nil: it does not.
func (l *Ledger) WriteError() error {
	if p := l.writeErr.Load(); p != nil {
		return *p
	}
	return nil
}

// run writes what waits, in groups: while one is on its way to the disk, the next gathers.
func (l *Ledger) run(ctx context.Context) {
	defer close(l.done)
	probe := time.NewTicker(l.opts.Limits.ProbeInterval)
	defer probe.Stop()
	for {
		select {
		case it := <-l.queue:
			l.writeGroup(it)
		case <-probe.C: // nobody may be let in to find out that the disk is well again
			if l.WriteError() != nil {
				_ = l.write(l.addUnwritten(Record{})) // that it may fail is known
			}
		case <-ctx.Done():
			for { // what was handed over is written
				select {
				case it := <-l.queue:
					l.writeGroup(it)
				default:
					return
				}
			}
		}
	}
}

// group gathers what waits into one record, and writes it. A correction has a record of its own: one that can't be
// entered must not fail the uses beside it.
func (l *Ledger) writeGroup(first writeRequest) {
	if first.note != nil {
		first.result <- l.write(Record{Note: first.note})
		return
	}
	var r Record
	var waiting []chan error
	var note *writeRequest
	for it, more := first, true; more; {
		switch {
		case it.note != nil:
			note, more = &it, false
			continue
		case it.use != nil:
			r.Uses, waiting = append(r.Uses, *it.use), append(waiting, it.result)
		default:
			r.Confirmed = append(r.Confirmed, it.confirmedSerial)
		}
		if more = len(r.Uses)+len(r.Confirmed) < l.opts.Limits.MaxGroupSize; !more {
			continue
		}
		select {
		case it = <-l.queue:
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

// withOwed adds the confirmations of groups that the disk did not take.
func (l *Ledger) addUnwritten(r Record) Record {
	r.Confirmed = append(l.unwritten, r.Confirmed...)
	l.unwritten = nil
	return r
}

// write makes a record durable, then applies it. A snapshot goes with it where one is due.
func (l *Ledger) write(r Record) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	// A group that failed confirmed uses in vain: they stay open.
	r.Confirmed = slices.DeleteFunc(r.Confirmed, func(serial uint64) bool {
		_, open := l.state.unconfirmed[serial]
		return !open && !slices.ContainsFunc(r.Uses, func(u Use) bool { return u.Serial == serial })
	})
	r.Sequence, r.PreviousHash, r.UnixNs = l.state.sequence+1, l.state.lastHash, l.opts.Now().UnixNano()
	if r.Note != nil { // judged before it is written: a record that can't be applied would break the file
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
		for _, serial := range r.Confirmed { // what the failed group itself holds never became open
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

func (l *Ledger) commit(do func(*bolt.Tx) error) error {
	if l.opts.commit != nil {
		return l.opts.commit(l.db, do)
	}
	return l.db.Update(do)
}

// snapshot writes the state, and drops the records that the snapshot before this one covers.
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

func sortedUnconfirmed(s *state) []Use {
	return slices.SortedFunc(maps.Values(s.unconfirmed), func(a, b Use) int { return cmp.Compare(a.Serial, b.Serial) })
}

// Close writes what waits, and closes the file.
func (l *Ledger) Close() error {
	l.stop()
	<-l.done
	if err := l.db.Close(); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	return nil
}

// View is what a ledger says.
type View struct {
	Opening     Opening
	Entries     uint64
	Statements  []usage.Statement
	Unconfirmed []Use // open at a crash, or in flight now
}

// View sums up an open ledger.
func (l *Ledger) View() View {
	l.mu.Lock()
	defer l.mu.Unlock()
	return viewOf(l.state)
}

func viewOf(s *state) View {
	v := View{Opening: s.opening, Entries: s.sequence, Unconfirmed: sortedUnconfirmed(s)}
	for _, p := range s.book.Periods() {
		v.Statements = append(v.Statements, s.book.Statement(p))
	}
	return v
}

// Show reads a file that no process has open for writing.
func Show(path string, opts Options) (View, error) {
	db, st, err := load(path, opts, true)
	if err != nil {
		return View{}, err
	}
	defer db.Close()
	return viewOf(st), nil
}

// Verify checks all that a file holds, from the earlier of its snapshots on: hashes, sequence, and that the newer
// snapshot is what its records add up to. It names the first entry that is wrong.
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
				return fmt.Errorf("snapshot: %w: its records add up to something else", errCorrupt)
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
