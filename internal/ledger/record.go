// Package ledger keeps a router's usage accounts on disk, in an embedded store. Uses are written in groups; each group is
// a record that holds the hash of the previous one. Every answer that a client received is still counted after a crash: its
// use is durable before the first byte of the answer is written, and is confirmed once the last byte has been written. Uses
// that were not confirmed before a crash are listed separately. The package decides nothing: package usage does.
package ledger

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"merlinarch/internal/decide/usage"
)

// Version is the version of the store's format. A store of a newer version is refused.
const Version = 1

// Record is one group of events as it is stored.
type Record struct {
	Sequence     uint64      `cbor:"1,keyasint"`
	PreviousHash [32]byte    `cbor:"2,keyasint"` // hash of the previous record
	UnixNs       int64       `cbor:"3,keyasint"` // Unix time, nanoseconds
	Uses         []Use       `cbor:"4,keyasint,omitempty"`
	Confirmed    []uint64    `cbor:"5,keyasint,omitempty"` // serials of uses
	Note         *usage.Note `cbor:"6,keyasint,omitempty"`
	Opened       *Opening    `cbor:"7,keyasint,omitempty"`
}

// Opening records that an instance was started with a new incarnation number.
type Opening struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Use is the usage of one answer. The answer may be sent once the Use is durable.
type Use struct {
	Serial uint64    `cbor:"1,keyasint"`
	UnixNs int64     `cbor:"2,keyasint"` // Unix time, nanoseconds
	Use    usage.Use `cbor:"3,keyasint"`
}

// hash returns the hash of a record in its stored form.
func hash(data []byte) [32]byte { return sha256.Sum256(data) }

// recordKey returns a record's key in the store; keys sort by sequence number.
func recordKey(sequence uint64) []byte { return binary.BigEndian.AppendUint64(nil, sequence) }

// errCorrupt is wrapped by every error that reports damage: a record that does not follow the previous one, a snapshot or
// a file that is not as it was written.
var errCorrupt = errors.New("the chain is broken")

// decode decodes a record and checks its sequence number and its hash of the previous record.
func decode(data []byte, sequence uint64, previousHash [32]byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("entry %d: %w: %w", sequence, errCorrupt, err)
	}
	switch {
	case r.Sequence != sequence:
		return r, fmt.Errorf("entry %d: %w: its own sequence number is %d", sequence, errCorrupt, r.Sequence)
	case r.PreviousHash != previousHash:
		return r, fmt.Errorf("entry %d: %w: the previous entry does not match its hash", sequence, errCorrupt)
	}
	return r, nil
}

// state is the result of applying all records in order. The same records always give the same state.
type state struct {
	book        *usage.Book
	sequence    uint64 // of the last record
	lastHash    [32]byte
	unconfirmed map[uint64]Use // by serial
	opening     Opening
}

// apply applies a record; data is its stored form. The result may depend only on the record and on the state before it;
// otherwise a restart or Verify, which replay the records, would arrive at another state.
func (s *state) apply(r Record, data []byte) error {
	s.sequence, s.lastHash = r.Sequence, hash(data)
	s.book.Close(time.Unix(0, r.UnixNs))
	if r.Opened != nil {
		s.opening = *r.Opened
	}
	for _, u := range r.Uses {
		s.unconfirmed[u.Serial] = u
	}
	for _, serial := range r.Confirmed {
		u, ok := s.unconfirmed[serial]
		if !ok {
			return fmt.Errorf("entry %d: %w: it confirms use %d, which is not among the unconfirmed uses", r.Sequence, errCorrupt, serial)
		}
		delete(s.unconfirmed, serial)
		s.book.AddRecorded(time.Unix(0, u.UnixNs), u.Use)
	}
	if r.Note != nil {
		if _, err := s.book.Correct(time.Unix(0, r.UnixNs), *r.Note); err != nil {
			return fmt.Errorf("entry %d: %w", r.Sequence, err)
		}
	}
	return nil
}

// snapshot is the stored form of a state. A restart begins from it and replays the records after it.
type snapshot struct {
	Sequence    uint64      `cbor:"1,keyasint"`
	LastHash    [32]byte    `cbor:"2,keyasint"`
	Book        usage.State `cbor:"3,keyasint"`
	Unconfirmed []Use       `cbor:"4,keyasint"`
	Opening     Opening     `cbor:"5,keyasint"`
	Checksum    [32]byte    `cbor:"6,keyasint"` // hash of the snapshot with a zero Checksum
}

// encode returns the stored form of a snapshot, with its checksum.
func (s snapshot) encode() ([]byte, error) {
	s.Checksum = [32]byte{}
	data, err := cbor.Marshal(s)
	if err != nil {
		return nil, err
	}
	s.Checksum = hash(data)
	return cbor.Marshal(s)
}

// decodeSnapshot decodes a snapshot and checks its checksum.
func decodeSnapshot(data []byte) (snapshot, error) {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("snapshot: %w: %w", errCorrupt, err)
	}
	reencoded, err := s.encode()
	if err != nil || string(reencoded) != string(data) {
		return s, fmt.Errorf("snapshot: %w: its checksum does not match", errCorrupt)
	}
	return s, nil
}
