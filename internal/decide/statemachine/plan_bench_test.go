package statemachine

import (
	"fmt"
	"testing"
	"time"

	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/schedule"
)

// newFlappingState returns a state with dispatches planned at sites that have flapped, and a leader's view of it. After an even
// number of intervals the sites are down, so that the forecasts of each dispatch decide.
func newFlappingState(dispatches, sites int, left time.Duration, intervals int) (*State, LeaderView) {
	const flapMs = int64(20_000)
	s := New(cordon.Budget{Share: 1}, 1000)
	s.Apply(enrolEntry("n0", "t", lease.Hold), 1)
	now := time.Now().UnixMilli()
	s.Ruleset.Document.Rules.Dispatches = map[string]ruleset.Dispatch{}
	for i := range dispatches {
		latest := now + left.Milliseconds() + int64(i)*1000 // each has its own, so that no two have a look-ahead in common
		s.Ruleset.Document.Rules.Dispatches[fmt.Sprint("sheet-", i)] = ruleset.Dispatch{Site: fmt.Sprint("site-", i%sites), Class: "post", Target: "/",
			Earliest: now - 1000, Latest: latest, Worth: 1, ExpectedDurationMs: 50}
	}
	for site := range sites {
		state := contact.Up
		for i := range intervals {
			for at := int64(0); at < flapMs; at += 1000 {
				s.Forecaster.Observe(now-int64(intervals-i)*flapMs+at, fmt.Sprint("site-", site), state, nil)
			}
			state = contact.Up + contact.Down - state
		}
	}
	view := LeaderView{Leases: lease.NewTracker(terms, 0), ListServers: threeServers, UnixMs: now}
	view.Leases.RecordBeat(0, "n0", 1, s.Ruleset.Document.Head.Version, terms.Length)
	return s, view
}

// BenchmarkDue measures what the leader's goroutine does for one look at the entries that are due: with a plan, and with the
// input of the next. BenchmarkPlan measures the planning itself, in a goroutine of its own.
func BenchmarkDue(b *testing.B) {
	forEachPlanSize(b, func(b *testing.B, s *State, view LeaderView, input PlanInput) {
		view.Plan = input.Compute()
		for b.Loop() {
			s.Due(view)
			s.PlanInput(view.UnixMs, schedule.DefaultSettings())
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	forEachPlanSize(b, func(b *testing.B, s *State, view LeaderView, _ PlanInput) {
		for b.Loop() {
			input, _ := s.PlanInput(view.UnixMs, schedule.DefaultSettings())
			input.Compute()
		}
	})
}

// BenchmarkPlanOfSitesThatAreUp measures the planning that sends what has waited.
func BenchmarkPlanOfSitesThatAreUp(b *testing.B) {
	s, view := newFlappingState(500, 6, 20*time.Hour, 9)
	for b.Loop() {
		input, _ := s.PlanInput(view.UnixMs, schedule.DefaultSettings())
		input.Compute()
	}
}

// forEachPlanSize runs a benchmark for each number of dispatches, of sites, and of hours that are left.
func forEachPlanSize(b *testing.B, measure func(b *testing.B, s *State, view LeaderView, input PlanInput)) {
	for _, dispatches := range []int{10, 280, 500} { // 500 short ones are about what 64 KiB of rules hold
		for _, hours := range []int{1, 12, 20} {
			for _, sites := range []int{2, 6, 20} {
				b.Run(fmt.Sprintf("%d dispatches, %d h, %d sites", dispatches, hours, sites), func(b *testing.B) {
					s, view := newFlappingState(dispatches, sites, time.Duration(hours)*time.Hour, 8)
					input, _ := s.PlanInput(view.UnixMs, schedule.DefaultSettings())
					measure(b, s, view, input)
				})
			}
		}
	}
}
