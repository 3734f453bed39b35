package usage

import (
	"cmp"
	"maps"
	"slices"
)

// State is the content of a Book for storage, in an order that does not depend on the order in which it was entered. It
// is encoded under the names of the fields of the types in this package, so these names stay.
type State struct {
	Open  Period
	Pages []PageState
}

// PageState is the content of one period.
type PageState struct {
	Period Period
	Lines  []StateLine
	Notes  []Note
}

// StateLine is the total of one account in a period.
type StateLine struct {
	Account Account
	Sum     Sum
}

// State returns the book's content for a snapshot.
func (b *Book) State() State {
	out := State{Open: b.open}
	for _, p := range slices.Sorted(maps.Keys(b.pages)) {
		page := PageState{Period: p, Notes: slices.Clone(b.pages[p].notes)}
		for a, sum := range b.pages[p].sums {
			page.Lines = append(page.Lines, StateLine{a, sum})
		}
		slices.SortFunc(page.Lines, func(x, y StateLine) int {
			return cmp.Or(cmp.Compare(x.Account.Tenant, y.Account.Tenant), cmp.Compare(x.Account.Class, y.Account.Class),
				cmp.Compare(x.Account.Outcome, y.Account.Outcome))
		})
		out.Pages = append(out.Pages, page)
	}
	return out
}

// Restore replaces the book's content by that of a snapshot.
func (b *Book) Restore(s State) {
	b.open, b.pages, b.corrections = s.Open, map[Period]*page{}, map[string]Note{}
	for _, ps := range s.Pages {
		p := &page{sums: map[Account]Sum{}, notes: slices.Clone(ps.Notes)}
		for _, l := range ps.Lines {
			p.sums[l.Account] = l.Sum
		}
		for _, n := range ps.Notes {
			if n.Key != lateKey {
				b.corrections[n.Key] = n
			}
		}
		b.pages[ps.Period] = p
	}
}

// Periods returns the periods with entries in the book or notes about them, including closed periods, in order.
func (b *Book) Periods() []Period {
	hasEntries := map[Period]bool{}
	for p, page := range b.pages {
		hasEntries[p] = len(page.sums) > 0 || hasEntries[p]
		for _, n := range page.notes {
			hasEntries[n.For] = true
		}
	}
	maps.DeleteFunc(hasEntries, func(_ Period, yes bool) bool { return !yes })
	return slices.Sorted(maps.Keys(hasEntries))
}
