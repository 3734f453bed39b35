// Package usage decides what counts as usage, for whom and in which period; when a period closes; where a late entry or a
// correction is entered; and what a statement contains. It keeps only sums, and their number is bounded by the settings. It
// does no input or output: the time is passed with each call, and the same calls give the same book.
//
// A closed period never changes. What arrives for it later is entered in the oldest open period with the period that it is
// about, the reason and the author, and every statement shows both figures.
package usage

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Outcome tells how a request ended for its client.
type Outcome uint8

// Outcomes with separate accounts.
const (
	Served Outcome = iota
	Refused
	Failed
	outcomeCount
)

// Other is the name under which tenants and classes that the settings do not name are counted. The names come from
// clients, so otherwise each new name would make the book grow.
const Other = "(other)"

// Settings give the length of periods and the names that have accounts of their own, which bounds the size of a book.
type Settings struct {
	Period  time.Duration // length of a period, more than 0; periods are counted from the Unix epoch, UTC
	Grace   time.Duration // time from the end of a period until it closes
	Tenants []string
	Classes []string
}

// Period is the number of a period since the epoch.
type Period int64

// PeriodStart returns the time at which a period begins.
func (s Settings) PeriodStart(p Period) time.Time {
	return time.Unix(0, int64(p)*int64(s.Period)).UTC()
}

// PeriodAt returns the period that contains a time.
func (s Settings) PeriodAt(t time.Time) Period {
	n := t.UnixNano() / int64(s.Period)
	if t.UnixNano()%int64(s.Period) < 0 {
		n--
	}
	return Period(n)
}

// Use is the usage of one final answer.
type Use struct {
	Tenant, Class string
	Outcome       Outcome
	Attempts      int64
	Work          time.Duration // estimated
	Worth         int64         // in millionths
}

// Account identifies a total: usage with the same tenant, class and outcome is added up.
type Account struct {
	Tenant, Class string
	Outcome       Outcome
}

// Sum is a total of usage.
type Sum struct {
	Requests, Attempts int64
	Work               time.Duration
	Worth              int64 // in millionths
}

func (s Sum) add(t Sum) Sum {
	return Sum{s.Requests + t.Requests, s.Attempts + t.Attempts, s.Work + t.Work, s.Worth + t.Worth}
}

// Note is a correction, or late usage of a period that had already closed.
type Note struct {
	Key     string // idempotency key: repeating it changes nothing
	For     Period // the period that it is about
	In      Period // the open period in which it is entered
	Account Account
	Sum     Sum // negative figures reduce the account
	Reason  string
	Author  string
}

// lateKey is the key of the notes that collect late usage, one for each period and account.
const lateKey = "late"

// page holds the entries of one period.
type page struct {
	sums  map[Account]Sum
	notes []Note
}

// Book holds the accounts of one instance.
type Book struct {
	settings    Settings
	names       Names
	open        Period // the oldest open period: all periods before it are closed
	pages       map[Period]*page
	corrections map[string]Note // by key
}

// Errors of Book.Correct.
var (
	ErrIncompleteCorrection = errors.New("a correction needs a key, a reason and an author")
	ErrKeyReused            = errors.New("the key was used for another correction")
	ErrFuturePeriod         = errors.New("the period has not begun")
)

// New returns an empty book that starts at a given time.
func New(s Settings, now time.Time) (*Book, error) {
	if s.Period <= 0 || s.Grace < 0 {
		return nil, fmt.Errorf("accounts: period %v and grace %v: need more than 0, and 0 or more", s.Period, s.Grace)
	}
	return &Book{settings: s, names: NewNames(s), open: s.PeriodAt(now.Add(-s.Grace)), pages: map[Period]*page{},
		corrections: map[string]Note{}}, nil
}

// Names are the tenants and classes that have accounts of their own at present. They are safe for concurrent use.
type Names struct{ tenants, classes map[string]bool }

// NewNames returns the names of the settings.
func NewNames(s Settings) Names {
	n := Names{tenants: map[string]bool{}, classes: map[string]bool{}}
	for _, t := range s.Tenants {
		n.tenants[t] = true
	}
	for _, c := range s.Classes {
		n.classes[c] = true
	}
	return n
}

// Recorded returns a use under the names under which it is recorded. All names that are not in the settings are replaced by
// Other, so two thousand unknown tenants make one line.
func (n Names) Recorded(u Use) Use {
	if !n.tenants[u.Tenant] {
		u.Tenant = Other
	}
	if !n.classes[u.Class] {
		u.Class = Other
	}
	return u
}

// Open returns the oldest open period.
func (b *Book) Open() Period { return b.open }

// Close closes the periods that are due at a given time, and returns those that have entries, the oldest first. A closed
// period stays closed even if the clock steps back.
func (b *Book) Close(now time.Time) []Period {
	var closed []Period
	due := b.settings.PeriodAt(now.Add(-b.settings.Grace))
	for p := range b.pages {
		if p >= b.open && p < due {
			closed = append(closed, p)
		}
	}
	b.open = max(b.open, due)
	slices.Sort(closed)
	return closed
}

func (b *Book) page(p Period) *page {
	if b.pages[p] == nil {
		b.pages[p] = &page{sums: map[Account]Sum{}}
	}
	return b.pages[p]
}

// Add counts a final answer in the period in which it was given, whenever the request arrived. If that period has closed,
// Add counts it as late in the oldest open period. It returns the period in which the answer was entered.
func (b *Book) Add(at time.Time, u Use) Period { return b.AddRecorded(at, b.names.Recorded(u)) }

// AddRecorded is Add for a use that was recorded before: it keeps its names, which the settings may not name any more.
func (b *Book) AddRecorded(at time.Time, u Use) Period {
	a := Account{u.Tenant, u.Class, min(u.Outcome, outcomeCount-1)}
	sum := Sum{1, u.Attempts, u.Work, u.Worth}
	p := b.settings.PeriodAt(at)
	if p >= b.open {
		b.page(p).sums[a] = b.page(p).sums[a].add(sum)
		return p
	}
	in := b.page(b.open)
	i := slices.IndexFunc(in.notes, func(n Note) bool { return n.Key == lateKey && n.For == p && n.Account == a })
	if i < 0 {
		in.notes = append(in.notes, Note{Key: lateKey, For: p, In: b.open, Account: a, Reason: "answered in a closed period"})
		i = len(in.notes) - 1
	}
	in.notes[i].Sum = in.notes[i].Sum.add(sum)
	return b.open
}

// Correct enters a correction as a note: in its own period if that is open, or else in the oldest open period. Repeating a
// key returns the first note and changes nothing; with another content it is an error. Usage of a tenant that is no longer
// in the settings is corrected under the tenant's name.
func (b *Book) Correct(now time.Time, n Note) (Note, error) {
	if n.Key == "" || n.Key == lateKey || n.Reason == "" || n.Author == "" {
		return Note{}, ErrIncompleteCorrection
	}
	if existing, ok := b.corrections[n.Key]; ok {
		n.In = existing.In
		if existing != n {
			return existing, ErrKeyReused
		}
		return existing, nil
	}
	if n.For > b.settings.PeriodAt(now) && n.For > b.open {
		return Note{}, ErrFuturePeriod
	}
	n.In = max(n.For, b.open)
	b.corrections[n.Key] = n
	in := b.page(n.In)
	in.notes = append(in.notes, n)
	return n, nil
}

// Line is one account of a statement.
type Line struct {
	Account
	Counted   Sum // entered in the period itself; in a closed period it never changes
	Corrected Sum // including all notes about the period, whichever period holds them
}

// Statement shows the accounts of a period.
type Statement struct {
	Period Period
	Closed bool
	Lines  []Line // sorted by tenant, class and outcome
	Notes  []Note // notes about it, in order of entry
}

// Statement returns the statement of a period.
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
			l.Account, l.Corrected = n.Account, l.Corrected.add(n.Sum)
			lines[n.Account] = l
		}
	}
	st.Lines = slices.SortedFunc(maps.Values(lines), func(x, y Line) int {
		return cmp.Or(cmp.Compare(x.Tenant, y.Tenant), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Outcome, y.Outcome))
	})
	return st
}
