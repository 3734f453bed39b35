// Package usage decides what counts as use, by whom and in which period; when a period closes; where a late entry
// or a correction goes; and what a statement says. It keeps sums only, bounded by the settings, and is pure: the time
// comes with each call, and the same calls give the same book.
//
// A closed period never changes. What comes for it afterwards is an entry of the oldest open period that names the
// period, the reason and the author, and every statement shows both figures.
package usage

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Outcome is how a request ended for its client.
type Outcome uint8

// Outcomes that are told apart in accounts.
const (
	Served Outcome = iota
	Refused
	Failed
	outcomes
)

// Other is the name under which what no setting names is counted. Danger: names come from clients; each would
// otherwise grow the book.
const Other = "(other)"

// Settings bound the book.
type Settings struct {
	Period  time.Duration // length of a period, over 0; periods are counted from the Unix epoch, UTC
	Grace   time.Duration // a period closes so long after its end
	Tenants []string
	Classes []string
}

// Period is a period's number since the epoch.
type Period int64

// Start is when a period begins.
func (s Settings) PeriodStart(p Period) time.Time {
	return time.Unix(0, int64(p)*int64(s.Period)).UTC()
}

// At is the period of a moment.
func (s Settings) PeriodAt(t time.Time) Period {
	n := t.UnixNano() / int64(s.Period)
	if t.UnixNano()%int64(s.Period) < 0 {
		n--
	}
	return Period(n)
}

// Use is one final answer.
type Use struct {
	Tenant, Class string
	Outcome       Outcome
	Attempts      int64
	Work          time.Duration // estimated
	Worth         int64         // millionths
}

// Account is what is counted together.
type Account struct {
	Tenant, Class string
	Outcome       Outcome
}

// Sum is use added up.
type Sum struct {
	Requests, Attempts int64
	Work               time.Duration
	Worth              int64 // millionths
}

func (s Sum) plus(t Sum) Sum {
	return Sum{s.Requests + t.Requests, s.Attempts + t.Attempts, s.Work + t.Work, s.Worth + t.Worth}
}

// Note is a correction, or late use, for a period that had closed when it came.
type Note struct {
	Key     string // a repeat of the same key changes nothing
	For     Period // the closed period that it is about
	In      Period // the open one that holds it
	Account Account
	Sum     Sum // negative figures take back
	Reason  string
	Author  string
}

// lateKey, with a period and an account, is the key of the note that gathers late use.
const lateKey = "late"

// page is one period.
type page struct {
	sums  map[Account]Sum
	notes []Note
}

// Book is one instance's accounts.
type Book struct {
	s       Settings
	tenants map[string]bool
	classes map[string]bool
	open    Period // the oldest open period: all before it are closed
	pages   map[Period]*page
	keys    map[string]Note // corrections by key
}

// Errors of corrections.
var (
	ErrIncompleteCorrection = errors.New("a correction needs a key, a reason and an author")
	ErrKeyReused            = errors.New("the key was used for another correction")
	ErrFuturePeriod         = errors.New("the period has not begun")
)

// New opens a book at a moment.
func New(s Settings, now time.Time) (*Book, error) {
	if s.Period <= 0 || s.Grace < 0 {
		return nil, fmt.Errorf("accounts: period %v and grace %v: need more than 0, and 0 or more", s.Period, s.Grace)
	}
	b := &Book{s: s, tenants: map[string]bool{}, classes: map[string]bool{}, open: s.PeriodAt(now.Add(-s.Grace)),
		pages: map[Period]*page{}, keys: map[string]Note{}}
	for _, t := range s.Tenants {
		b.tenants[t] = true
	}
	for _, c := range s.Classes {
		b.classes[c] = true
	}
	return b, nil
}

// Open is the oldest open period.
func (b *Book) Open() Period { return b.open }

// Close closes what is due at a moment, and tells which periods that were, the oldest first. Danger: a clock that
// steps back must not open a period again; what was closed stays so.
func (b *Book) Close(now time.Time) []Period {
	var closed []Period
	due := b.s.PeriodAt(now.Add(-b.s.Grace))
	for p := range b.pages {
		if p >= b.open && p < due {
			closed = append(closed, p)
		}
	}
	b.open = max(b.open, due)
	slices.Sort(closed)
	return closed
}

// account folds names that no setting has. Two thousand unknown tenants are one line.
func (b *Book) account(tenant, class string, o Outcome) Account {
	if !b.tenants[tenant] {
		tenant = Other
	}
	if !b.classes[class] {
		class = Other
	}
	return Account{tenant, class, min(o, outcomes-1)}
}

func (b *Book) page(p Period) *page {
	if b.pages[p] == nil {
		b.pages[p] = &page{sums: map[Account]Sum{}}
	}
	return b.pages[p]
}

// Add counts a final answer in the period in which it was given, whenever the request came; where that has closed,
// in the oldest open one, as late. It tells which period holds it.
func (b *Book) Add(at time.Time, u Use) Period {
	a := b.account(u.Tenant, u.Class, u.Outcome)
	sum := Sum{1, u.Attempts, u.Work, u.Worth}
	p := b.s.PeriodAt(at)
	if p >= b.open {
		b.page(p).sums[a] = b.page(p).sums[a].plus(sum)
		return p
	}
	in := b.page(b.open)
	i := slices.IndexFunc(in.notes, func(n Note) bool { return n.Key == lateKey && n.For == p && n.Account == a })
	if i < 0 {
		in.notes = append(in.notes, Note{Key: lateKey, For: p, In: b.open, Account: a, Reason: "answered in a closed period"})
		i = len(in.notes) - 1
	}
	in.notes[i].Sum = in.notes[i].Sum.plus(sum)
	return b.open
}

// Correct enters a correction. For an open period it is a note in that period; for a closed one it is a note of the
// oldest open one. The same key again gives the first note and changes nothing; for another content it is an error. A
// tenant that has left the settings is corrected under its name.
func (b *Book) Correct(now time.Time, n Note) (Note, error) {
	if n.Key == "" || n.Key == lateKey || n.Reason == "" || n.Author == "" {
		return Note{}, ErrIncompleteCorrection
	}
	if have, ok := b.keys[n.Key]; ok {
		n.In = have.In
		if have != n {
			return have, ErrKeyReused
		}
		return have, nil
	}
	if n.For > b.s.PeriodAt(now) && n.For > b.open {
		return Note{}, ErrFuturePeriod
	}
	n.In = max(n.For, b.open)
	b.keys[n.Key] = n
	in := b.page(n.In)
	in.notes = append(in.notes, n)
	return n, nil
}

// Line is one account of a statement.
type Line struct {
	Account
	Counted   Sum // in the period itself; of a closed one it never changes
	Corrected Sum // with all notes about it, wherever they stand
}

// Statement is what a book says of a period.
type Statement struct {
	Period Period
	Closed bool
	Lines  []Line // by tenant, class and outcome
	Notes  []Note // about it, in the order in which they came
}

// Statement sums up a period.
func (b *Book) Statement(p Period) Statement {
	st := Statement{Period: p, Closed: p < b.open}
	lines := map[Account]Line{}
	if own := b.pages[p]; own != nil {
		for a, sum := range own.sums {
			lines[a] = Line{a, sum, sum}
		}
	}
	for _, at := range slices.Sorted(maps.Keys(b.pages)) {
		for _, n := range b.pages[at].notes {
			if n.For != p {
				continue
			}
			st.Notes = append(st.Notes, n)
			l := lines[n.Account]
			l.Account, l.Corrected = n.Account, l.Corrected.plus(n.Sum)
			lines[n.Account] = l
		}
	}
	st.Lines = slices.SortedFunc(maps.Values(lines), func(x, y Line) int {
		return cmp.Or(cmp.Compare(x.Tenant, y.Tenant), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Outcome, y.Outcome))
	})
	return st
}
