package ledger

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"
	"go.uber.org/goleak"

	"merlinarch/internal/decide/usage"
	"merlinarch/internal/testwait"
)

// TestMain also runs the process that TestKilledProcessLosesNoUse kills.
func TestMain(m *testing.M) {
	if path := os.Getenv("LEDGER_VICTIM"); path != "" {
		runVictim(path)
		return
	}
	goleak.VerifyTestMain(m)
}

func options() Options {
	o := Options{Instance: "n0", Now: time.Now, Limits: DefaultLimits(), Accounts: usage.Settings{Period: time.Hour,
		Grace: time.Minute, Tenants: []string{"a", "b"}, Classes: []string{"read"}}}
	o.Limits.LockTimeout = 50 * time.Millisecond
	return o
}

// openLedger opens a ledger and fails the test on an error.
func openLedger(t *testing.T, path string, o Options) *Ledger {
	t.Helper()
	l, err := Open(path, o)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// countUse counts a use of one tenant and returns its serial.
func countUse(t *testing.T, l *Ledger, tenant string) uint64 {
	t.Helper()
	serial, err := l.Count(context.Background(), usage.Use{Tenant: tenant, Class: "read", Attempts: 1, Worth: 1e6})
	if err != nil {
		t.Fatal(err)
	}
	return serial
}

// requests sums up the requests of all statements, with corrections.
func requests(v View) (n int64) {
	for _, s := range v.Statements {
		for _, l := range s.Lines {
			n += l.Corrected.Requests
		}
	}
	return n
}

// A use is counted once it is confirmed. Until then it is listed as unconfirmed, also after a restart.
func TestUnconfirmedUseSurvivesRestart(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l")
	l := openLedger(t, path, options())
	one := countUse(t, l, "a")
	two := countUse(t, l, "b")
	l.Confirm(one)
	testwait.Until(t, "the confirmation", func() bool { return requests(l.View()) == 1 })
	if v := l.View(); len(v.Unconfirmed) != 1 || v.Unconfirmed[0].Serial != two {
		t.Errorf("%+v", v)
	}
	if _, err := Open(path, options()); !errors.Is(err, ErrInUse) {
		t.Errorf("opened a second time: %v", err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Count(context.Background(), usage.Use{}); !errors.Is(err, ErrNotWritable) {
		t.Errorf("counted after Close: %v", err)
	}
	l = openLedger(t, path, options())
	defer l.Close()
	if v := l.View(); requests(v) != 1 || len(v.Unconfirmed) != 1 || v.Opening.Incarnation != 2 {
		t.Errorf("%+v", v)
	}
	if again := countUse(t, l, "a"); again <= two {
		t.Errorf("serial %d after a restart, want more than %d", again, two)
	}
}

// runVictim answers requests as a router does, and prints the serial of each use whose client has received its answer.
func runVictim(path string) {
	l, err := Open(path, options())
	if err != nil {
		fmt.Println("error", err)
		os.Exit(1)
	}
	var mu sync.Mutex
	for range 8 {
		go func() {
			for {
				serial, err := l.Count(context.Background(), usage.Use{Tenant: "a", Class: "read"})
				if err != nil {
					continue
				}
				mu.Lock()
				os.Stdout.WriteString(strconv.FormatUint(serial, 10) + "\n") // the client has received the answer
				mu.Unlock()
				l.Confirm(serial)
			}
		}()
	}
	select {}
}

// A process that is killed at any moment loses no use: each answer that a client received is counted or listed as
// unconfirmed, exactly once. Beyond those, at most the answers in flight at the kills appear.
func TestKilledProcessLosesNoUse(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l")
	received := map[uint64]bool{}
	kills := 12
	for kill := range kills {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "LEDGER_VICTIM="+path)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		stop := time.AfterFunc(time.Duration(60+17*kill)*time.Millisecond, func() { cmd.Process.Kill() })
		lines := bufio.NewScanner(out)
		for lines.Scan() {
			n, err := strconv.ParseUint(lines.Text(), 10, 64)
			if err != nil {
				continue // the last line may be incomplete
			}
			if received[n] {
				t.Errorf("serial %d was used twice", n)
			}
			received[n] = true
		}
		cmd.Wait()
		stop.Stop()
	}
	v, err := Show(path, options())
	if err != nil {
		t.Fatal(err)
	}
	counted, open := requests(v), len(v.Unconfirmed)
	if len(received) == 0 {
		t.Fatal("no client received an answer")
	}
	if total := counted + int64(open); total < int64(len(received)) || total > int64(len(received)+8*kills) {
		t.Errorf("%d received; %d counted, %d unconfirmed", len(received), counted, open)
	}
	if counted > int64(len(received)) {
		t.Errorf("%d confirmed of %d received", counted, len(received))
	}
	if n, err := Verify(path, options()); err != nil || n == 0 {
		t.Errorf("%d %v", n, err)
	}
}

// Verify and Open detect a changed, lost or reordered entry, and Verify names it.
func TestVerifyNamesDamagedEntry(t *testing.T) {
	fill := func(path string) {
		l := openLedger(t, path, options())
		for range 6 {
			l.Confirm(countUse(t, l, "a"))
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
	}
	change := func(path string, do func(*bolt.Bucket) error) {
		db, err := bolt.Open(path, 0o600, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := db.Update(func(tx *bolt.Tx) error { return do(tx.Bucket(bucketRecords)) }); err != nil {
			t.Fatal(err)
		}
		db.Close()
	}
	for name, do := range map[string]func(*bolt.Bucket) error{
		"changed": func(b *bolt.Bucket) error {
			var r Record
			if err := cbor.Unmarshal(b.Get(recordKey(3)), &r); err != nil {
				return err
			}
			r.UnixNs++
			data, err := cbor.Marshal(r)
			if err != nil {
				return err
			}
			return b.Put(recordKey(3), data) // 3 still matches 2, but 4 does not match the changed 3
		},
		"lost": func(b *bolt.Bucket) error { return b.Delete(recordKey(4)) },
		"reordered": func(b *bolt.Bucket) error {
			x, y := bytes.Clone(b.Get(recordKey(4))), bytes.Clone(b.Get(recordKey(5)))
			if err := b.Put(recordKey(4), y); err != nil {
				return err
			}
			return b.Put(recordKey(5), x)
		},
	} {
		path := filepath.Join(t.TempDir(), "l")
		fill(path)
		if _, err := Verify(path, options()); err != nil {
			t.Fatal(err)
		}
		change(path, do)
		_, err := Verify(path, options())
		if !errors.Is(err, errCorrupt) || !strings.Contains(err.Error(), "entry 4") {
			t.Errorf("%s: %v", name, err)
		}
		if _, err := Open(path, options()); !errors.Is(err, errCorrupt) {
			t.Errorf("%s: opened: %v", name, err)
		}
	}
}

// Verify detects a flipped bit anywhere in a record. A file truncated at any point gives an error, not a crash, unless
// only unused space is missing.
func TestFlippedBitAndTruncation(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l")
	l := openLedger(t, path, options())
	for range 3 {
		l.Confirm(countUse(t, l, "a"))
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var record []byte
	db, err := bolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := db.View(func(tx *bolt.Tx) error {
		record = bytes.Clone(tx.Bucket(bucketRecords).Get(recordKey(2)))
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	db.Close()
	broken := filepath.Join(t.TempDir(), "b")
	for i := range record {
		data := bytes.Clone(whole)
		for at, n := bytes.Index(data, record), 0; at >= 0; n++ { // free pages hold older copies
			data[at+i] ^= 1 << (i % 8)
			at = bytes.Index(data, record)
			if n > 20 {
				break
			}
		}
		if err := os.WriteFile(broken, data, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Verify(broken, options()); err == nil {
			t.Errorf("byte %d of %d: flipped bit not detected", i, len(record))
		}
	}
	all, err := Show(path, options())
	if err != nil {
		t.Fatal(err)
	}
	detected := 0
	for n := 0; n < len(whole); n += 509 {
		if err := os.WriteFile(broken, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		// All used pages may lie before the cut. A file that passes has to hold everything.
		entries, err := Verify(broken, options())
		if v, e := Show(broken, options()); err == nil && n > 0 && (e != nil || entries != all.Entries || requests(v) != 3) {
			t.Errorf("cut at %d of %d: %d entries, %v, %+v", n, len(whole), entries, e, v)
		}
		if err != nil {
			detected++
		}
	}
	if detected < 10 {
		t.Errorf("%d truncations detected, want at least 10", detected)
	}
}

// A truncated file is never taken for a shorter or a new ledger. The store reads the missing end of a page as zeros; the
// header of a bucket that is small enough to be stored inside another page can lie there.
func TestTruncatedFileIsNotNewLedger(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l")
	if err := openLedger(t, path, options()).Close(); err != nil { // one record: the smallest bucket
		t.Fatal(err)
	}
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	used := len(bytes.TrimRight(whole, "\x00")) // the rest of the file is zeros
	dir, passed := t.TempDir(), 0
	for n := 16; n < len(whole); n += 16 {
		cut := filepath.Join(dir, strconv.Itoa(n)) // a file for each: the store keeps its lock if opening fails
		if err := os.WriteFile(cut, whole[:n], 0o600); err != nil {
			t.Fatal(err)
		}
		entries, err := Verify(cut, options())
		if err == nil {
			passed++
		}
		if err == nil && (entries != 1 || n < used) {
			t.Errorf("cut at %d of %d, of which %d are used: %d entries", n, len(whole), used, entries)
		}
		if page := os.Getpagesize(); n < used/page*page {
			continue
		}
		l, err := Open(cut, options())
		if err == nil {
			err = l.Close()
		}
		if n < used && !errors.Is(err, errCorrupt) {
			t.Errorf("cut at %d of %d, of which %d are used: opened, %v", n, len(whole), used, err)
		}
	}
	if passed == 0 {
		t.Error("no file passed whose unused end alone was cut off")
	}
}

// Open refuses a store of a newer version, and Show reports a missing file.
func TestNewerVersion(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l")
	if err := openLedger(t, path, options()).Close(); err != nil {
		t.Fatal(err)
	}
	db, err := bolt.Open(path, 0o600, nil)
	if err != nil {
		t.Fatal(err)
	}
	db.Update(func(tx *bolt.Tx) error { return tx.Bucket(bucketMeta).Put(keyVersion, []byte{Version + 1}) })
	db.Close()
	if _, err := Open(path, options()); !errors.Is(err, ErrNewerVersion) {
		t.Errorf("%v", err)
	}
	if _, err := Show(path+".none", options()); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("%v", err)
	}
}

// If the disk fails, waiting callers get an error and no use is partly counted. The ledger continues when the disk works
// again.
func TestDiskFailureAndRecovery(t *testing.T) {
	path := filepath.Join(t.TempDir(), "l")
	errDiskFull := errors.New("no space left on device")
	var fails atomic.Bool
	o := options()
	o.Limits.ProbeInterval = 5 * time.Millisecond
	o.commit = func(db *bolt.DB, do func(*bolt.Tx) error) error {
		return db.Update(func(tx *bolt.Tx) error {
			if err := do(tx); err != nil || !fails.Load() {
				return err
			}
			return errDiskFull // after the write, as a full disk fails at the commit
		})
	}
	l := openLedger(t, path, o)
	l.Confirm(countUse(t, l, "a"))
	fails.Store(true)
	serial, err := l.Count(context.Background(), usage.Use{Tenant: "a", Class: "read"})
	if !errors.Is(err, ErrNotWritable) || !errors.Is(err, errDiskFull) || l.WriteError() == nil {
		t.Errorf("%v, write error %v", err, l.WriteError())
	}
	l.Confirm(serial) // its answer went out nevertheless
	fails.Store(false)
	testwait.Until(t, "the ledger to recover", func() bool { return l.WriteError() == nil })
	l.Confirm(countUse(t, l, "b"))
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	v, err := Show(path, options())
	if err != nil || requests(v) != 2 || len(v.Unconfirmed) != 0 {
		t.Errorf("%v %+v", err, v)
	}
	if _, err := Verify(path, options()); err != nil {
		t.Error(err)
	}
}

// Snapshots bound the size of the file and the work of a restart, and do not change the statements.
func TestSnapshotsBoundFileOnly(t *testing.T) {
	views := map[uint64]View{}
	for _, every := range []uint64{4, 1 << 40} {
		path := filepath.Join(t.TempDir(), "l")
		now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
		o := options()
		o.Limits.SnapshotEvery = every
		var mu sync.Mutex
		o.Now = func() time.Time { mu.Lock(); defer mu.Unlock(); now = now.Add(time.Minute); return now }
		l := openLedger(t, path, o)
		for i := range 40 {
			if serial := countUse(t, l, []string{"a", "b", "c"}[i%3]); i%5 > 0 {
				l.Confirm(serial)
			}
			for len(l.queue) > 0 {
				time.Sleep(time.Millisecond)
			}
		}
		mu.Lock() // the writer may still be writing the last confirmation
		at := now
		mu.Unlock()
		if err := l.Correct(context.Background(), usage.Note{Key: "k", For: o.Accounts.PeriodAt(at), Account: usage.Account{Tenant: "a",
			Class: "read"}, Sum: usage.Sum{Requests: -1}, Reason: "r", Author: "o"}); err != nil {
			t.Fatal(err)
		}
		if err := l.Correct(context.Background(), usage.Note{Key: "", Reason: "r"}); !errors.Is(err, usage.ErrIncompleteCorrection) {
			t.Errorf("an incomplete correction: %v", err)
		}
		if err := l.Close(); err != nil {
			t.Fatal(err)
		}
		v, err := Show(path, o)
		if err != nil {
			t.Fatal(err)
		}
		views[every] = v
		n, err := Verify(path, o)
		if err != nil || n != v.Entries {
			t.Errorf("%d entries of %d, %v", n, v.Entries, err)
		}
		db, err := bolt.Open(path, 0o600, nil)
		if err != nil {
			t.Fatal(err)
		}
		db.View(func(tx *bolt.Tx) error {
			if kept := tx.Bucket(bucketRecords).Stats().KeyN; every == 4 && kept > 12 || every != 4 && kept < 40 {
				t.Errorf("every %d: %d records kept", every, kept)
			}
			return nil
		})
		db.Close()
	}
	a, b := views[4], views[1<<40]
	if requests(a) != requests(b) || len(a.Unconfirmed) != len(b.Unconfirmed) || requests(a) != 31 || len(a.Unconfirmed) != 8 {
		t.Errorf("%d and %d requests, %d and %d unconfirmed", requests(a), requests(b), len(a.Unconfirmed), len(b.Unconfirmed))
	}
}

// BenchmarkCount counts and confirms uses from several goroutines at once. syncs/op shows how many writes the groups save.
func BenchmarkCount(b *testing.B) {
	for _, clients := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("clients=%d", clients), func(b *testing.B) {
			l, err := Open(filepath.Join(b.TempDir(), "l"), options())
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			var work sync.WaitGroup
			var next atomic.Int64
			b.ResetTimer()
			for range clients {
				work.Go(func() {
					for next.Add(1) <= int64(b.N) {
						serial, err := l.Count(context.Background(), usage.Use{Tenant: "a", Class: "read", Attempts: 1})
						if err != nil {
							b.Error(err)
							return
						}
						l.Confirm(serial)
					}
				})
			}
			work.Wait()
			b.ReportMetric(float64(l.syncs.Load())/float64(b.N), "syncs/op")
		})
	}
}

// A use is counted although its time is over when it comes, as long as the ledger has room for it. It guards against
// answers that clients get and that the ledger neither counts nor names as unconfirmed.
func TestUseIsCountedPastItsTime(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	l := openLedger(t, path, options())
	ended, stop := context.WithCancel(t.Context())
	stop()
	const uses = 100
	for range uses {
		serial, err := l.Count(ended, usage.Use{Tenant: "a", Class: "read", Attempts: 1})
		if err != nil && !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		l.Confirm(serial)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	l = openLedger(t, path, options())
	defer l.Close()
	if n := requests(l.View()); n != uses {
		t.Errorf("%d of %d uses are counted", n, uses)
	}
}

// Usage keeps the name under which it was recorded, whatever tenants and classes the settings name at a later start, and
// whether or not a snapshot is written then. It guards against usage of closed periods that moves to another account.
func TestUsageKeepsItsName(t *testing.T) {
	for _, snapshotEvery := range []uint64{4, 1000} {
		path := filepath.Join(t.TempDir(), "ledger")
		recorded := map[string]int64{}
		for _, tenants := range [][]string{{"a", "b"}, {"b"}, {}, {"a", "b"}} {
			o := options()
			o.Accounts.Tenants, o.Limits.SnapshotEvery = tenants, snapshotEvery
			l := openLedger(t, path, o)
			for _, tenant := range append([]string{"nobody"}, tenants...) {
				for range 5 {
					l.Confirm(countUse(t, l, tenant))
				}
				if tenant == "nobody" {
					tenant = usage.Other
				}
				recorded[tenant] += 5
			}
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			l = openLedger(t, path, o)
			got := map[string]int64{}
			for _, s := range l.View().Statements {
				for _, line := range s.Lines {
					got[line.Tenant] += line.Corrected.Requests
				}
			}
			if err := l.Close(); err != nil {
				t.Fatal(err)
			}
			if fmt.Sprint(got) != fmt.Sprint(recorded) {
				t.Errorf("a snapshot every %d records, tenants %v: %v, want %v", snapshotEvery, tenants, got, recorded)
			}
		}
	}
}
