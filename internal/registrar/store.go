package registrar

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"hash/fnv"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/statemachine"
)

// Identity says which registrar a store belongs to. It is created once, together with the store, and never again: a
// registrar that started with an empty store under its old identity would vote as if it had never promised anything.
type Identity struct {
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
	ID      uint64 `json:"id"`
	Boots   uint64 `json:"boots"` // how often it has been started from this store
}

// Watermark is the progress that a registrar has seen another one make. A store of that other registrar that is behind the
// watermark is an old copy.
type Watermark struct {
	Boots      uint64 `json:"boots"`
	StartToken string `json:"start,omitempty"` // random at each start; tells apart copies of a store that have the same Boots
	Match      uint64 `json:"match"`           // log entries up to this index are in its store
	Term       uint64 `json:"term"`
}

var (
	bucketMeta       = []byte("meta")
	bucketLog        = []byte("log")
	bucketVersions   = []byte("versions")
	bucketWatermarks = []byte("marks")

	keyIdentity  = []byte("identity")
	keyHardState = []byte("hard")
	keySnapshot  = []byte("snapshot")
)

// store keeps a registrar's identity, log, snapshot, history of versions and watermarks in one file. Each value starts
// with a checksum, so that a value which the disk has corrupted is found when it is read, and never taken for what was
// written.
type store struct {
	db       *bbolt.DB
	memory   *raft.MemoryStorage // the log as the Raft library reads it; updated after the disk
	id       Identity
	writeErr error // set once a write has failed; nothing is written after that
}

// Errors of opening a store.
var (
	ErrNoStore = errors.New("this registrar has no store: 'registrar init' creates those of a new cluster, 'registrar join' that of a registrar that joins or is replaced")
	ErrCorrupt = errors.New("the store is corrupt: replace this registrar")
	errInUse   = errors.New("the file is in use by another process")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// addChecksum puts a checksum in front of a value. The checksum covers the key too, so that swapped values are found.
func addChecksum(key, value []byte) []byte {
	sum := crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
	return append(binary.BigEndian.AppendUint32(nil, sum), value...)
}

// verifyChecksum returns the value that addChecksum was given, or ErrCorrupt.
func verifyChecksum(key, stored []byte) ([]byte, error) {
	if len(stored) < 4 {
		return nil, fmt.Errorf("%w (%s)", ErrCorrupt, key)
	}
	sum := crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, stored[4:])
	if binary.BigEndian.Uint32(stored) != sum {
		return nil, fmt.Errorf("%w (%x)", ErrCorrupt, key)
	}
	return stored[4:], nil
}

// uint64Key encodes a number so that keys sort by it.
func uint64Key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// getValue reads a value and verifies its checksum; nil: there is none.
func getValue(b *bbolt.Bucket, key []byte) ([]byte, error) {
	stored := b.Get(key)
	if stored == nil {
		return nil, nil
	}
	return verifyChecksum(key, stored)
}

// putValue writes a value with its checksum.
func putValue(b *bbolt.Bucket, key, value []byte) error { return b.Put(key, addChecksum(key, value)) }

func putJSON(b *bbolt.Bucket, key []byte, v any) error {
	value, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return putValue(b, key, value)
}

// openFile opens the store's file for writing.
func openFile(path string) (*bbolt.DB, error) {
	// The list of free pages is computed from all pages at each start, not stored: a corrupt list would have pages in
	// use overwritten.
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, FreelistType: bbolt.FreelistMapType, NoFreelistSync: true})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, fmt.Errorf("%s: %w", path, errInUse)
	case err != nil:
		return nil, fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
	return db, nil
}

// createStore creates a store's file. The snapshot initial holds the state that a new cluster starts with; it is nil
// for a registrar that the leader will send a snapshot.
func createStore(path string, id Identity, initial *pb.Snapshot) error {
	if _, err := os.Stat(path); !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("%s: the file exists, and a registrar's store is never overwritten with a new one", path)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return err
	}
	// The file is created under another name first, so that an incomplete one is never opened as a store.
	temporary := path + ".new"
	if err := os.Remove(temporary); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	db, err := openFile(temporary)
	if err != nil {
		return err
	}
	err = db.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{bucketMeta, bucketLog, bucketVersions, bucketWatermarks} {
			if _, err := tx.CreateBucket(name); err != nil {
				return err
			}
		}
		meta := tx.Bucket(bucketMeta)
		if err := putJSON(meta, keyIdentity, id); err != nil {
			return err
		}
		if initial == nil {
			return nil
		}
		value, err := proto.Marshal(initial)
		if err != nil {
			return err
		}
		if err := putValue(meta, keySnapshot, value); err != nil {
			return err
		}
		hardState, err := proto.Marshal(&pb.HardState{Term: initial.Metadata.Term, Vote: new(uint64), Commit: initial.Metadata.Index})
		if err != nil {
			return err
		}
		return putValue(meta, keyHardState, hardState)
	})
	if err = errors.Join(err, db.Close()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// openStore opens a store, checks all of it, and counts this start in its identity.
func openStore(path string) (*store, error) {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", path, ErrNoStore)
	}
	if err := checkFile(path); err != nil {
		return nil, err
	}
	db, err := openFile(path)
	if err != nil {
		return nil, err
	}
	s := &store{db: db, memory: raft.NewMemoryStorage()}
	if err := s.load(); err != nil {
		return nil, errors.Join(fmt.Errorf("%s: %w", path, err), db.Close())
	}
	return s, nil
}

// checkFile reads a whole file before any of it is relied on, and looks each key up from the root of its bucket. On a
// corrupt page, bbolt panics or reads beyond the file; when it opens a file for writing, it reads some pages in a
// goroutine of its own, where a panic would end the process. Pages that were read here without a fault are read there
// without one.
func checkFile(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%s: %w: %v", path, ErrCorrupt, p)
		}
	}()
	if err := checkMetaPages(path); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second, ReadOnly: true})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return fmt.Errorf("%s: %w", path, errInUse)
	case err != nil:
		return fmt.Errorf("%s: %w: %w", path, ErrCorrupt, err)
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	return db.View(func(tx *bbolt.Tx) error {
		if info.Size() < tx.Size() {
			return fmt.Errorf("%w: %d bytes of %d", ErrCorrupt, info.Size(), tx.Size())
		}
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			seeker := b.Cursor()
			return b.ForEach(func(k, v []byte) error {
				if _, err := verifyChecksum(k, v); err != nil {
					return err
				}
				if found, _ := seeker.Seek(k); !bytes.Equal(found, k) {
					return fmt.Errorf("%w (%x)", ErrCorrupt, k)
				}
				return nil
			})
		})
	})
}

// checkMetaPages checks both meta pages of the file. Each write replaces the older of the two, within one sector. If
// the newer one is corrupt, bbolt falls back to the older one, and so to the file as it was one write earlier: promises
// that were acknowledged as written would be lost. The layout is that of bbolt's files, version 2.
func checkMetaPages(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	page := int64(os.Getpagesize())
	for i := range int64(2) {
		meta := make([]byte, 64)
		if _, err := f.ReadAt(meta, i*page+16); err != nil {
			return fmt.Errorf("%w: meta page %d: %w", ErrCorrupt, i, err)
		}
		sum := fnv.New64a()
		sum.Write(meta[:56])
		if binary.LittleEndian.Uint32(meta) != 0xED0CDAED || binary.LittleEndian.Uint64(meta[56:]) != sum.Sum64() {
			return fmt.Errorf("%w: meta page %d", ErrCorrupt, i)
		}
	}
	return nil
}

// load reads the identity, the snapshot and the log, and counts this start.
func (s *store) load() error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, logBucket := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if meta == nil || logBucket == nil || tx.Bucket(bucketVersions) == nil || tx.Bucket(bucketWatermarks) == nil {
			return ErrCorrupt
		}
		value, err := getValue(meta, keyIdentity)
		if err != nil {
			return err
		}
		if json.Unmarshal(value, &s.id) != nil || s.id.ID == 0 {
			return fmt.Errorf("identity: %w", ErrCorrupt)
		}
		if value, err = getValue(meta, keySnapshot); err != nil {
			return err
		} else if value != nil {
			var snapshot pb.Snapshot
			if err := proto.Unmarshal(value, &snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", ErrCorrupt)
			}
			if err := s.memory.ApplySnapshot(&snapshot); err != nil {
				return fmt.Errorf("snapshot: %w", err)
			}
		}
		var hardState pb.HardState
		if value, err = getValue(meta, keyHardState); err != nil {
			return err
		} else if value != nil {
			if err := proto.Unmarshal(value, &hardState); err != nil {
				return fmt.Errorf("hard state: %w", ErrCorrupt)
			}
		}
		first, _ := s.memory.FirstIndex()
		var entries []*pb.Entry
		next := first
		for v := logBucket.Get(uint64Key(next)); v != nil; v = logBucket.Get(uint64Key(next)) {
			value, err := verifyChecksum(uint64Key(next), v)
			if err != nil {
				return err
			}
			e := &pb.Entry{}
			if err := proto.Unmarshal(value, e); err != nil || e.GetIndex() != next {
				return fmt.Errorf("log entry %d: %w", next, ErrCorrupt)
			}
			entries = append(entries, e)
			next++
		}
		if k, _ := logBucket.Cursor().Last(); k != nil && binary.BigEndian.Uint64(k) >= next {
			return fmt.Errorf("log entry %d is missing: %w", next, ErrCorrupt)
		}
		if err := s.memory.Append(entries); err != nil {
			return err
		}
		if last, _ := s.memory.LastIndex(); hardState.GetCommit() > last {
			return fmt.Errorf("committed up to entry %d, log up to entry %d: %w", hardState.GetCommit(), last, ErrCorrupt)
		}
		if !raft.IsEmptyHardState(&hardState) {
			if err := s.memory.SetHardState(&hardState); err != nil {
				return err
			}
		}
		s.id.Boots++
		return putJSON(meta, keyIdentity, s.id)
	})
}

// batch is written in one transaction.
type batch struct {
	messages   []*pb.Message  // of type MsgStorageAppend
	steps      []ruleset.Step // of the history of versions
	watermarks map[uint64]Watermark
	snapshot   *pb.Snapshot // of this registrar's own state
	keepFrom   uint64       // with snapshot: log entries before this index are dropped
}

// write writes a batch with one sync of the disk.
func (s *store) write(b batch) error {
	if s.writeErr != nil {
		return s.writeErr
	}
	for _, m := range b.messages { // a snapshot from the leader takes precedence over an own one that isn't newer
		if b.snapshot != nil && !raft.IsEmptySnap(m.Snapshot) && m.Snapshot.Metadata.GetIndex() >= b.snapshot.Metadata.GetIndex() {
			b.snapshot = nil
		}
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		meta, logBucket := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		for _, m := range b.messages {
			if err := appendMessage(meta, logBucket, m); err != nil {
				return err
			}
		}
		for _, step := range b.steps {
			if err := putJSON(tx.Bucket(bucketVersions), uint64Key(step.Head.Version), step); err != nil {
				return err
			}
		}
		for id, m := range b.watermarks {
			if err := putJSON(tx.Bucket(bucketWatermarks), uint64Key(id), m); err != nil {
				return err
			}
		}
		if b.snapshot == nil {
			return nil
		}
		if err := putSnapshot(meta, b.snapshot); err != nil {
			return err
		}
		return dropBefore(logBucket, b.keepFrom)
	})
	if err != nil {
		s.writeErr = fmt.Errorf("write to the store: %w", err)
		return s.writeErr
	}
	return s.updateMemory(b)
}

// updateMemory brings the Raft library's copy of the log up to date with the disk.
func (s *store) updateMemory(b batch) error {
	for _, m := range b.messages {
		if !raft.IsEmptySnap(m.Snapshot) {
			if err := s.memory.ApplySnapshot(m.Snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
				return err
			}
		}
		if hardState := hardStateOf(m); hardState != nil {
			if err := s.memory.SetHardState(hardState); err != nil {
				return err
			}
		}
		if err := s.memory.Append(m.Entries); err != nil {
			return err
		}
	}
	if b.snapshot == nil {
		return nil
	}
	m := b.snapshot.Metadata
	if _, err := s.memory.CreateSnapshot(m.GetIndex(), m.ConfState, b.snapshot.Data); err != nil {
		if errors.Is(err, raft.ErrSnapOutOfDate) {
			return nil
		}
		return err
	}
	if first, _ := s.memory.FirstIndex(); b.keepFrom > first {
		return s.memory.Compact(b.keepFrom - 1)
	}
	return nil
}

// hardStateOf returns the hard state (term, vote and commit index) that a message asks to store; nil: none.
func hardStateOf(m *pb.Message) *pb.HardState {
	if m.Term == nil || m.Vote == nil || m.Commit == nil {
		return nil
	}
	return &pb.HardState{Term: m.Term, Vote: m.Vote, Commit: m.Commit}
}

// putSnapshot writes a snapshot.
func putSnapshot(meta *bbolt.Bucket, snapshot *pb.Snapshot) error {
	value, err := proto.Marshal(snapshot)
	if err != nil {
		return err
	}
	return putValue(meta, keySnapshot, value)
}

// appendMessage writes the snapshot, the hard state and the log entries of a message.
func appendMessage(meta, logBucket *bbolt.Bucket, m *pb.Message) error {
	if !raft.IsEmptySnap(m.Snapshot) {
		if err := putSnapshot(meta, m.Snapshot); err != nil {
			return err
		}
		if err := dropFrom(logBucket, 0); err != nil { // the snapshot covers the entries before it; those after it belong to another history
			return err
		}
	}
	if hardState := hardStateOf(m); hardState != nil {
		value, err := proto.Marshal(hardState)
		if err != nil {
			return err
		}
		if err := putValue(meta, keyHardState, value); err != nil {
			return err
		}
	}
	if len(m.Entries) == 0 {
		return nil
	}
	if err := dropFrom(logBucket, m.Entries[0].GetIndex()); err != nil {
		return err
	}
	for _, e := range m.Entries {
		value, err := proto.Marshal(e)
		if err != nil {
			return err
		}
		if err := putValue(logBucket, uint64Key(e.GetIndex()), value); err != nil {
			return err
		}
	}
	return nil
}

// dropFrom deletes the log entries from an index on.
func dropFrom(logBucket *bbolt.Bucket, from uint64) error {
	c := logBucket.Cursor()
	for k, _ := c.Seek(uint64Key(from)); k != nil; k, _ = c.Seek(uint64Key(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// dropBefore deletes the log entries before an index.
func dropBefore(logBucket *bbolt.Bucket, before uint64) error {
	c := logBucket.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) < before; k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// watermarks reads the watermarks of the other registrars, by ID.
func (s *store) watermarks() (map[uint64]Watermark, error) {
	watermarks := map[uint64]Watermark{}
	err := s.db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bucketWatermarks).ForEach(func(k, v []byte) error {
			value, err := verifyChecksum(k, v)
			if err != nil {
				return err
			}
			var m Watermark
			if err := json.Unmarshal(value, &m); err != nil {
				return fmt.Errorf("watermark: %w", ErrCorrupt)
			}
			watermarks[binary.BigEndian.Uint64(k)] = m
			return nil
		})
	})
	return watermarks, err
}

// steps reads the history of versions from a version on, at most limit of them.
func (s *store) steps(from uint64, limit int) ([]ruleset.Step, error) {
	var steps []ruleset.Step
	err := s.db.View(func(tx *bbolt.Tx) error {
		c := tx.Bucket(bucketVersions).Cursor()
		for k, v := c.Seek(uint64Key(from)); k != nil && len(steps) < limit; k, v = c.Next() {
			value, err := verifyChecksum(k, v)
			if err != nil {
				return err
			}
			var step ruleset.Step
			if err := json.Unmarshal(value, &step); err != nil {
				return fmt.Errorf("version: %w", ErrCorrupt)
			}
			steps = append(steps, step)
		}
		return nil
	})
	return steps, err
}

// decodeState decodes the replicated state in a snapshot.
func decodeState(snapshot *pb.Snapshot) (*statemachine.State, error) {
	s, err := statemachine.Restore(snapshot.Data)
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w: %w", ErrCorrupt, err)
	}
	return s, nil
}

func (s *store) close() error { return s.db.Close() }
