package usage

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that each run generates the same cases. The flag -rapid.seed selects others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var hourly = Settings{Period: time.Hour, Grace: time.Minute, Tenants: []string{"a", "b"}, Classes: []string{"read", "post"}}

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func newBook(t *testing.T, now time.Time) *Book {
	t.Helper()
	b, err := New(hourly, now)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func newUse(tenant string) Use { return Use{Tenant: tenant, Class: "read", Attempts: 1, Worth: 5} }

// Usage and corrections that arrive after a period has closed never change it: the statement shows both figures and the
// reason.
func TestClosedPeriodDoesNotChange(t *testing.T) {
	b := newBook(t, noon)
	p := b.Add(noon, newUse("a"))
	if got := b.Close(noon.Add(time.Hour + 59*time.Second)); len(got) != 0 {
		t.Errorf("closed %v within the grace period", got)
	}
	if got := b.Close(noon.Add(time.Hour + time.Minute)); !reflect.DeepEqual(got, []Period{p}) {
		t.Errorf("closed %v after the grace period, want the period of the use", got)
	}
	before := b.Statement(p)
	in := b.Add(noon.Add(30*time.Minute), newUse("a"))
	b.Add(noon.Add(31*time.Minute), newUse("a"))
	if _, err := b.Correct(noon.Add(2*time.Hour), Note{Key: "k", For: p, Account: Account{"gone", "read", Served}, Sum: Sum{Requests: -1},
		Reason: "billed twice", Author: "operator"}); err != nil {
		t.Fatal(err)
	}
	st := b.Statement(p)
	if in != p+1 || !st.Closed || len(st.Lines) != 2 || len(st.Notes) != 2 {
		t.Fatalf("late usage entered in period %d, statement %+v", in, st)
	}
	if l := st.Lines[0]; l.Counted != before.Lines[0].Counted || l.Corrected.Requests != 3 || l.Counted.Requests != 1 {
		t.Errorf("account with late usage: %+v", l)
	}
	if l := st.Lines[1]; l.Tenant != "gone" || l.Counted != (Sum{}) || l.Corrected.Requests != -1 {
		t.Errorf("corrected account of a tenant that is not in the settings: %+v", l)
	}
}

// A repeated correction counts once. Corrections that are incomplete, reuse a key or are about a future period are refused.
func TestCorrections(t *testing.T) {
	b := newBook(t, noon)
	n := Note{Key: "k", For: hourly.PeriodAt(noon), Account: Account{"a", "read", Served}, Sum: Sum{Requests: 2}, Reason: "r", Author: "o"}
	first, err := b.Correct(noon, n)
	if err != nil {
		t.Fatal(err)
	}
	b.Close(noon.Add(3 * time.Hour))
	if again, err := b.Correct(noon.Add(3*time.Hour), n); err != nil || again != first {
		t.Errorf("repeating a key: %+v %v", again, err)
	}
	if st := b.Statement(n.For); len(st.Notes) != 1 || st.Lines[0].Corrected.Requests != 2 {
		t.Errorf("statement after a repeated correction: %+v", st)
	}
	other := n
	other.Sum.Requests = 3
	if _, err := b.Correct(noon, other); !errors.Is(err, ErrKeyReused) {
		t.Errorf("another correction under the same key: %v", err)
	}
	for _, bad := range []Note{{For: n.For, Reason: "r", Author: "o"}, {Key: "x", For: n.For, Author: "o"}, {Key: "x", For: n.For, Reason: "r"},
		{Key: lateKey, For: n.For, Reason: "r", Author: "o"}} {
		if _, err := b.Correct(noon, bad); !errors.Is(err, ErrIncompleteCorrection) {
			t.Errorf("incomplete correction %+v: %v", bad, err)
		}
	}
	if _, err := b.Correct(noon, Note{Key: "f", For: n.For + 10, Reason: "r", Author: "o"}); !errors.Is(err, ErrFuturePeriod) {
		t.Errorf("a correction of a future period: %v", err)
	}
}

// A clock that steps forward over two periods, or back again, reopens no period and loses no usage.
func TestClockSteps(t *testing.T) {
	b := newBook(t, noon)
	p := b.Add(noon, newUse("a"))
	b.Close(noon.Add(2*time.Hour + 2*time.Minute)) // forward over two periods
	if b.Open() != p+2 {
		t.Fatalf("oldest open period is %d, want %d", b.Open(), p+2)
	}
	if got := b.Close(noon); len(got) != 0 || b.Open() != p+2 {
		t.Errorf("a step back closed %v, oldest open period is %d", got, b.Open())
	}
	if in := b.Add(noon.Add(time.Minute), newUse("a")); in != p+2 {
		t.Errorf("late usage counted in period %d, want the oldest open one", in)
	}
	if l := b.Statement(p).Lines[0]; l.Counted.Requests != 1 || l.Corrected.Requests != 2 {
		t.Errorf("account after the clock's steps: %+v", l)
	}
}

// Unknown names from clients do not make the book grow.
func TestUnknownNames(t *testing.T) {
	b := newBook(t, noon)
	for i := range 10000 {
		b.Add(noon, Use{Tenant: fmt.Sprint(i), Class: fmt.Sprint("c", i), Outcome: Outcome(i % 256)})
		b.Add(noon.Add(-3*time.Hour), Use{Tenant: fmt.Sprint(i), Class: fmt.Sprint("c", i), Outcome: Outcome(i % 256)})
	}
	if n := len(b.Statement(hourly.PeriodAt(noon)).Lines); n != int(outcomeCount) {
		t.Errorf("%d lines for 10000 unknown tenants and classes, want one for each outcome", n)
	}
	if n := len(b.pages[b.open].notes); n != int(outcomeCount) {
		t.Errorf("%d notes on late usage, want one for each outcome", n)
	}
}

// Times before the Unix epoch belong to negative periods.
func TestPeriodsBeforeTheEpoch(t *testing.T) {
	before := time.Unix(-1, 0)
	if p := hourly.PeriodAt(before); p != -1 || hourly.PeriodStart(p).After(before) {
		t.Errorf("period %d from %v", p, hourly.PeriodStart(p))
	}
	if _, err := New(Settings{}, noon); err == nil {
		t.Error("a period of length zero is accepted")
	}
}

// For any sequence of uses, corrections and closings, the corrected figures of all periods add up to everything entered, and
// the counted figures of a closed period do not change.
func TestTotalsAreConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(hourly, noon)
		if err != nil {
			t.Fatal(err)
		}
		var want int64
		frozen := map[Period][]Line{}
		touched := map[Period]bool{}
		now := noon
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				at := now.Add(-time.Duration(rapid.IntRange(0, 300).Draw(t, "age")) * time.Minute)
				b.Add(at, newUse(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant")))
				touched[hourly.PeriodAt(at)] = true
				want++
			case 1:
				n := Note{Key: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), For: hourly.PeriodAt(now) - Period(rapid.IntRange(0, 4).Draw(t, "for")),
					Account: Account{"a", "read", Served}, Sum: Sum{Requests: -2}, Reason: "r", Author: fmt.Sprint(i)}
				_, known := b.corrections[n.Key]
				if _, err := b.Correct(now, n); err == nil && !known {
					want -= 2
					touched[n.For] = true
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(-90, 150).Draw(t, "minutes")) * time.Minute)
			case 3:
				for _, p := range b.Close(now) {
					frozen[p] = b.Statement(p).Lines
				}
			}
		}
		var got int64
		for p := range touched {
			for _, l := range b.Statement(p).Lines {
				got += l.Corrected.Requests
			}
		}
		if got != want {
			t.Fatalf("%d requests in all statements, want %d", got, want)
		}
		for p, lines := range frozen {
			now := b.Statement(p)
			for i, l := range lines {
				found := false
				for _, m := range now.Lines {
					found = found || m.Account == l.Account && m.Counted == l.Counted
				}
				if !found {
					t.Fatalf("closed period %d changed: %+v is not in %+v", p, lines[i], now.Lines)
				}
			}
		}
	})
}

// exportSimulation is an export between a sender and a receiver. Both may crash at any step, and only durable data survives.
type exportSimulation struct {
	rng           *rand.Rand
	batches       int    // number of batches
	durableCursor uint64 // the sender's cursor on disk
	cursor        *Cursor
	receiver      *Receiver
	counted       map[uint64]int
	confirmations []uint64 // confirmations on their way
	advanceOnSend bool     // a broken rule: the cursor advances when the batch is sent
}

// step simulates one random event.
func (w *exportSimulation) step() error {
	switch w.rng.IntN(6) {
	case 0, 1: // send the next batch; it may be lost, or the receiver may crash before or after storing it
		n := w.cursor.Next()
		if n > uint64(w.batches) {
			return nil
		}
		if w.advanceOnSend {
			if _, err := w.cursor.Confirm(n); err != nil {
				return err
			}
			w.durableCursor = n
		}
		if w.rng.IntN(4) == 0 {
			return nil
		}
		switch w.receiver.Receive(Batch{Instance: Instance{"n", 1}, Sequence: n}) {
		case Accept:
			w.counted[n]++
			fallthrough
		case Duplicate:
			if w.rng.IntN(4) > 0 { // otherwise it crashed between storing and answering
				w.confirmations = append(w.confirmations, n)
			}
		}
	case 2: // a confirmation arrives, perhaps out of order, perhaps twice
		if len(w.confirmations) == 0 {
			return nil
		}
		i := w.rng.IntN(len(w.confirmations))
		confirmation := w.confirmations[i]
		if w.rng.IntN(3) > 0 {
			w.confirmations = append(w.confirmations[:i], w.confirmations[i+1:]...)
		}
		if _, err := w.cursor.Confirm(confirmation); err != nil {
			return err
		}
		if w.rng.IntN(2) == 0 { // otherwise it crashes before the cursor is durable
			w.durableCursor = w.cursor.Next() - 1
		} else {
			w.cursor = ResumeCursor(w.durableCursor)
		}
	case 3: // the sender restarts
		w.cursor = ResumeCursor(w.durableCursor)
	case 4: // all confirmations on their way are lost
		w.confirmations = nil
	}
	return nil
}

// simulateExport runs the export with crashes, then lets it finish without any. It returns an error if a batch was not
// counted exactly once.
func simulateExport(seed uint64, advanceOnSend bool) error {
	w := &exportSimulation{rng: rand.New(rand.NewPCG(seed, 1)), batches: 12, cursor: ResumeCursor(0), receiver: NewReceiver(),
		counted: map[uint64]int{}, advanceOnSend: advanceOnSend}
	for range 200 {
		if err := w.step(); err != nil {
			return err
		}
	}
	w.cursor = ResumeCursor(w.durableCursor)
	for n := w.cursor.Next(); n <= uint64(w.batches); n = w.cursor.Next() {
		switch w.receiver.Receive(Batch{Instance: Instance{"n", 1}, Sequence: n}) {
		case Accept:
			w.counted[n]++
		case OutOfOrder:
			return fmt.Errorf("batch %d: an earlier one was never sent", n)
		}
		if _, err := w.cursor.Confirm(n); err != nil {
			return err
		}
	}
	for n := uint64(1); n <= uint64(w.batches); n++ {
		if w.counted[n] != 1 {
			return fmt.Errorf("batch %d counted %d times", n, w.counted[n])
		}
	}
	return nil
}

// Every batch counts exactly once, although both sides crash at any step. A cursor that advances when it sends breaks the
// rule and has to be detected.
func TestExportExactlyOnce(t *testing.T) {
	caught := 0
	for seed := range uint64(2000) {
		if err := simulateExport(seed, false); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if simulateExport(seed, true) != nil {
			caught++
		}
	}
	if caught < 1000 {
		t.Errorf("the broken cursor was detected in %d of 2000 simulations", caught)
	}
	if _, err := ResumeCursor(3).Confirm(5); err == nil {
		t.Error("the confirmation of a batch that was never sent is accepted")
	}
}

// Each discrepancy between claims and received batches is a finding of its kind, and so is an expected router of which nothing
// arrived.
func TestReconcile(t *testing.T) {
	one, back, two, odd := Instance{"one", 1}, Instance{"one", 2}, Instance{"two", 1}, Instance{"odd", 1}
	got := Reconcile([]string{"one", "two", "three"}, []Claim{{one, Sum{Requests: 5}}, {back, Sum{Requests: 2}}, {two, Sum{}}},
		map[Instance]Sum{one: {Requests: 5}, back: {Requests: 1}, odd: {Requests: 7}})
	want := []Finding{{odd, Unclaimed, Sum{}, Sum{Requests: 7}}, {back, Mismatch, Sum{Requests: 2}, Sum{Requests: 1}},
		{back, Restarted, Sum{Requests: 2}, Sum{Requests: 1}}, {Instance{Name: "three"}, Missing, Sum{}, Sum{}},
		{two, Mismatch, Sum{}, Sum{}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v", got)
	}
}
