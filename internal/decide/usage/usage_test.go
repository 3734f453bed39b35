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

// TestMain draws the same cases each time; -rapid.seed asks for others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var hourly = Settings{Period: time.Hour, Grace: time.Minute, Tenants: []string{"a", "b"}, Classes: []string{"read", "post"}}

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

func book(t *testing.T, now time.Time) *Book {
	t.Helper()
	b, err := New(hourly, now)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func use(tenant string) Use { return Use{Tenant: tenant, Class: "read", Attempts: 1, Worth: 5} }

// What comes after a period has closed never changes it: both figures are told, with the reason.
func TestClosedPeriodStays(t *testing.T) {
	b := book(t, noon)
	p := b.Add(noon, use("a"))
	if got := b.Close(noon.Add(time.Hour + 59*time.Second)); len(got) != 0 {
		t.Errorf("closed %v within the grace", got)
	}
	if got := b.Close(noon.Add(time.Hour + time.Minute)); !reflect.DeepEqual(got, []Period{p}) {
		t.Errorf("closed %v", got)
	}
	before := b.Statement(p)
	in := b.Add(noon.Add(30*time.Minute), use("a"))
	b.Add(noon.Add(31*time.Minute), use("a"))
	if _, err := b.Correct(noon.Add(2*time.Hour), Note{Key: "k", For: p, Account: Account{"gone", "read", Served}, Sum: Sum{Requests: -1},
		Reason: "billed twice", Author: "operator"}); err != nil {
		t.Fatal(err)
	}
	st := b.Statement(p)
	if in != p+1 || !st.Closed || len(st.Lines) != 2 || len(st.Notes) != 2 {
		t.Fatalf("in %d, %+v", in, st)
	}
	if l := st.Lines[0]; l.Counted != before.Lines[0].Counted || l.Corrected.Requests != 3 || l.Counted.Requests != 1 {
		t.Errorf("%+v", l)
	}
	if l := st.Lines[1]; l.Tenant != "gone" || l.Counted != (Sum{}) || l.Corrected.Requests != -1 {
		t.Errorf("%+v", l)
	}
}

func TestCorrections(t *testing.T) {
	b := book(t, noon)
	n := Note{Key: "k", For: hourly.PeriodAt(noon), Account: Account{"a", "read", Served}, Sum: Sum{Requests: 2}, Reason: "r", Author: "o"}
	first, err := b.Correct(noon, n)
	if err != nil {
		t.Fatal(err)
	}
	b.Close(noon.Add(3 * time.Hour))
	if again, err := b.Correct(noon.Add(3*time.Hour), n); err != nil || again != first {
		t.Errorf("the same key again: %+v %v", again, err)
	}
	if st := b.Statement(n.For); len(st.Notes) != 1 || st.Lines[0].Corrected.Requests != 2 {
		t.Errorf("%+v", st)
	}
	other := n
	other.Sum.Requests = 3
	if _, err := b.Correct(noon, other); !errors.Is(err, ErrKeyReused) {
		t.Errorf("another correction under a key: %v", err)
	}
	for _, bad := range []Note{{For: n.For, Reason: "r", Author: "o"}, {Key: "x", For: n.For, Author: "o"}, {Key: "x", For: n.For, Reason: "r"},
		{Key: lateKey, For: n.For, Reason: "r", Author: "o"}} {
		if _, err := b.Correct(noon, bad); !errors.Is(err, ErrIncompleteCorrection) {
			t.Errorf("%+v: %v", bad, err)
		}
	}
	if _, err := b.Correct(noon, Note{Key: "f", For: n.For + 10, Reason: "r", Author: "o"}); !errors.Is(err, ErrFuturePeriod) {
		t.Errorf("the future: %v", err)
	}
}

// A clock that steps back an hour, or forward over two periods, opens nothing again and loses nothing.
func TestClockSteps(t *testing.T) {
	b := book(t, noon)
	p := b.Add(noon, use("a"))
	b.Close(noon.Add(2*time.Hour + 2*time.Minute)) // forward over two
	if b.Open() != p+2 {
		t.Fatalf("open from %d, want %d", b.Open(), p+2)
	}
	if got := b.Close(noon); len(got) != 0 || b.Open() != p+2 {
		t.Errorf("a step back closed %v, open from %d", got, b.Open())
	}
	if in := b.Add(noon.Add(time.Minute), use("a")); in != p+2 {
		t.Errorf("counted in %d", in)
	}
	if l := b.Statement(p).Lines[0]; l.Counted.Requests != 1 || l.Corrected.Requests != 2 {
		t.Errorf("%+v", l)
	}
}

// Names from clients don't grow the book.
func TestUnknownNames(t *testing.T) {
	b := book(t, noon)
	for i := range 10000 {
		b.Add(noon, Use{Tenant: fmt.Sprint(i), Class: fmt.Sprint("c", i), Outcome: Outcome(i % 256)})
		b.Add(noon.Add(-3*time.Hour), Use{Tenant: fmt.Sprint(i), Class: fmt.Sprint("c", i), Outcome: Outcome(i % 256)})
	}
	if n := len(b.Statement(hourly.PeriodAt(noon)).Lines); n != int(outcomes) {
		t.Errorf("%d lines", n)
	}
	if n := len(b.pages[b.open].notes); n != int(outcomes) {
		t.Errorf("%d notes", n)
	}
}

func TestPeriodsBeforeTheEpoch(t *testing.T) {
	before := time.Unix(-1, 0)
	if p := hourly.PeriodAt(before); p != -1 || hourly.PeriodStart(p).After(before) {
		t.Errorf("period %d from %v", p, hourly.PeriodStart(p))
	}
	if _, err := New(Settings{}, noon); err == nil {
		t.Error("a period of no length")
	}
}

// Whatever is added, corrected and closed in whatever order, the corrected figures of all periods together are what
// was added and corrected, and a closed period's own figures stay.
func TestNothingIsLost(t *testing.T) {
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
				b.Add(at, use(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "tenant")))
				touched[hourly.PeriodAt(at)] = true
				want++
			case 1:
				n := Note{Key: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "key")), For: hourly.PeriodAt(now) - Period(rapid.IntRange(0, 4).Draw(t, "for")),
					Account: Account{"a", "read", Served}, Sum: Sum{Requests: -2}, Reason: "r", Author: fmt.Sprint(i)}
				_, known := b.keys[n.Key]
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

// world is an export between a sender and a receiver that crash at any step; only what is durable survives.
type world struct {
	rng      *rand.Rand
	sent     int    // batches that there are
	durable  uint64 // the sender's cursor on disk
	cursor   *Cursor
	receiver *Receiver
	counted  map[uint64]int
	words    []uint64 // confirmations under way
	early    bool     // the broken rule: the cursor moves as the batch is sent
}

func (w *world) step() error {
	switch w.rng.IntN(6) {
	case 0, 1: // send the next batch; it may be lost on its way, or the receiver dies before or after it stores it
		n := w.cursor.Next()
		if n > uint64(w.sent) {
			return nil
		}
		if w.early {
			if _, err := w.cursor.Confirm(n); err != nil {
				return err
			}
			w.durable = n
		}
		if w.rng.IntN(4) == 0 {
			return nil
		}
		switch w.receiver.Receive(Batch{Instance: Instance{"n", 1}, Sequence: n}) {
		case Accept:
			w.counted[n]++
			fallthrough
		case Duplicate:
			if w.rng.IntN(4) > 0 { // else it died between storing and answering
				w.words = append(w.words, n)
			}
		}
	case 2: // a word arrives, perhaps not the first, perhaps twice
		if len(w.words) == 0 {
			return nil
		}
		i := w.rng.IntN(len(w.words))
		word := w.words[i]
		if w.rng.IntN(3) > 0 {
			w.words = append(w.words[:i], w.words[i+1:]...)
		}
		if _, err := w.cursor.Confirm(word); err != nil {
			return err
		}
		if w.rng.IntN(2) == 0 { // else it dies before the cursor is durable
			w.durable = w.cursor.Next() - 1
		} else {
			w.cursor = ResumeCursor(w.durable)
		}
	case 3:
		w.cursor = ResumeCursor(w.durable)
	case 4:
		w.words = nil
	}
	return nil
}

// play runs the export for a while, then lets it finish without crashes, and tells what was not counted once.
func play(seed uint64, early bool) error {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), sent: 12, cursor: ResumeCursor(0), receiver: NewReceiver(),
		counted: map[uint64]int{}, early: early}
	for range 200 {
		if err := w.step(); err != nil {
			return err
		}
	}
	w.cursor = ResumeCursor(w.durable)
	for n := w.cursor.Next(); n <= uint64(w.sent); n = w.cursor.Next() {
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
	for n := uint64(1); n <= uint64(w.sent); n++ {
		if w.counted[n] != 1 {
			return fmt.Errorf("batch %d counted %d times", n, w.counted[n])
		}
	}
	return nil
}

// Every batch counts exactly once through crashes of both sides at any step; a cursor that moves as it sends, which
// is the rule broken, is caught.
func TestExportExactlyOnce(t *testing.T) {
	caught := 0
	for seed := range uint64(2000) {
		if err := play(seed, false); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if play(seed, true) != nil {
			caught++
		}
	}
	if caught < 1000 {
		t.Errorf("the broken cursor was caught in %d of 2000 plays", caught)
	}
	if _, err := ResumeCursor(3).Confirm(5); err == nil {
		t.Error("a word on a batch that was never sent")
	}
}

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
