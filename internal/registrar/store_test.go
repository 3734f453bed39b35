package registrar

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
)

// testOptions are the options of one of three registrars.
func testOptions(dir string) Options {
	return Options{Cluster: "c", Name: "r0", Dir: dir, Registrars: map[string]string{"r0": "127.0.0.1:1", "r1": "127.0.0.1:2", "r2": "127.0.0.1:3"},
		Terms: lease.DefaultTerms(), Budget: cordon.DefaultBudget(), ColdTime: time.Minute}
}

// newFilledStore creates a store with a hard state, a log, versions and watermarks, and returns its path.
func newFilledStore(t *testing.T, dir string) string {
	t.Helper()
	o := testOptions(dir)
	if err := Init(o); err != nil {
		t.Fatal(err)
	}
	store, err := openStore(o.storePath())
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(2); i < 40; i++ {
		m := &pb.Message{Term: proto.Uint64(3), Vote: proto.Uint64(7), Commit: proto.Uint64(i - 1), Entries: []*pb.Entry{{Term: proto.Uint64(3),
			Index: proto.Uint64(i), Type: pb.EntryNormal.Enum(), Data: []byte(fmt.Sprintf("entry %d %0200d", i, i))}}}
		b := batch{messages: []*pb.Message{m}, watermarks: map[uint64]Watermark{i % 3: {Match: i, Term: 3}},
			steps: []ruleset.Step{{Head: ruleset.Head{Version: i, Hash: fmt.Sprint("hash", i)}}}}
		if err := store.write(b); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.close(); err != nil {
		t.Fatal(err)
	}
	return o.storePath()
}

// storeContent opens a store and returns all that it holds, as text.
func storeContent(path string) (text string, err error) {
	store, err := openStore(path)
	if err != nil {
		return "", err
	}
	defer store.close()
	hardState, confState, err := store.memory.InitialState()
	if err != nil {
		return "", err
	}
	first, _ := store.memory.FirstIndex()
	last, _ := store.memory.LastIndex()
	entries, err := store.memory.Entries(first, last+1, 1<<30)
	if err != nil {
		return "", err
	}
	snapshot, err := store.memory.Snapshot()
	if err != nil {
		return "", err
	}
	text = fmt.Sprint(store.id.ID, store.id.Name, hardState, confState, first, last, entries, string(snapshot.Data))
	watermarks, err := store.watermarks()
	if err != nil {
		return "", err
	}
	steps, err := store.steps(2, 100)
	return fmt.Sprint(text, watermarks, steps), err
}

// A store's file that is truncated or corrupted has to be refused, unless the damage hit no data. It must never be read
// as other data than was written.
func TestCorruptStoreIsRefused(t *testing.T) {
	path := newFilledStore(t, t.TempDir())
	good, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want, err := storeContent(path)
	if err != nil {
		t.Fatal(err)
	}
	refused, unaffected := 0, 0
	for seed := range uint64(120) {
		rng := rand.New(rand.NewPCG(seed, 1))
		corrupted := bytes.Clone(good)
		switch seed % 3 {
		case 0: // bytes changed
			for range 1 + rng.IntN(32) {
				corrupted[rng.IntN(len(corrupted))] ^= byte(1 + rng.IntN(255))
			}
		case 1: // a page lost
			at := rng.IntN(len(corrupted)/4096) * 4096
			clear(corrupted[at : at+4096])
		case 2: // truncated
			corrupted = corrupted[:rng.IntN(len(corrupted))]
		}
		corruptPath := filepath.Join(t.TempDir(), "r0.record")
		if err := os.WriteFile(corruptPath, corrupted, 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := storeContent(corruptPath)
		switch {
		case err != nil && !errors.Is(err, ErrCorrupt):
			t.Errorf("seed %d: %v", seed, err)
		case err != nil:
			refused++
		case got != want:
			t.Errorf("seed %d: the corrupted file was read as other data", seed)
		default:
			unaffected++
		}
	}
	t.Logf("%d refused, %d with no data hit", refused, unaffected)
	if refused == 0 {
		t.Error("no corrupted file was refused")
	}
}

// When a write fails, it must not be acknowledged, the registrar has to learn of it, and nothing may be written after
// it.
func TestFailedWriteEndsStore(t *testing.T) {
	path := newFilledStore(t, t.TempDir())
	store, err := openStore(path)
	if err != nil {
		t.Fatal(err)
	}
	inbox, done := newMailbox[storeRequest](), make(chan struct{})
	defer close(done)
	delivered, failed := make(chan struct{}, 8), make(chan error, 1)
	store.db.Close() // every write fails from now on
	go runStore(store, inbox, done, func([]*pb.Message) { delivered <- struct{}{} }, func(err error) { failed <- err })
	written := make(chan error, 1)
	inbox.put(storeRequest{append: &pb.Message{Term: proto.Uint64(4), Vote: proto.Uint64(7), Commit: proto.Uint64(2)}, finished: func(err error) { written <- err }})
	if err := <-written; err == nil {
		t.Error("the failed write was acknowledged")
	}
	if err := <-failed; err == nil {
		t.Error("no failure was reported")
	}
	if len(delivered) > 0 {
		t.Error("a response was sent that depends on the failed write")
	}
	if err := store.write(batch{}); err == nil {
		t.Error("a write succeeded after a failed one")
	}
}

// A store must not be created over an existing one, opened where there is none, or opened twice at once.
func TestStoreIsCreatedOnce(t *testing.T) {
	dir := t.TempDir()
	path := newFilledStore(t, dir)
	if err := Init(testOptions(dir)); err == nil {
		t.Error("a store was created over an existing one")
	}
	if _, err := openStore(filepath.Join(dir, "none.record")); !errors.Is(err, ErrNoStore) {
		t.Errorf("opening a missing store: %v, want ErrNoStore", err)
	}
	store, err := openStore(path)
	if err != nil {
		t.Fatal(err)
	}
	defer store.close()
	if _, err := openStore(path); !errors.Is(err, errInUse) {
		t.Errorf("opening a store twice: %v, want errInUse", err)
	}
}
