// Package patterns generates the times at which sites go down and come back: periodic, memoryless, heavy-tailed, by the
// hour of the day, with a drifting period, with a change of pattern, and with operators' calendars that are right or wrong.
package patterns

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Minute and Day are durations in ms.
const (
	Minute = int64(60_000)
	Day    = 24 * 60 * Minute
)

// Span is a planned outage from one time until another, in ms.
type Span struct{ From, Until int64 }

// Pattern is one way in which a site's availability changes. Draw returns the times in ms at which the site changes
// between up and down, from 0, when it is up, and the outages that operators planned.
type Pattern struct {
	Name       string
	Structured bool // the next change can be predicted better than from the current state alone
	Draw       func(rng *rand.Rand, until int64) (changes []int64, calendar []Span)
}

// Up reports whether a site with these changes is up at a time, and when it changes next (math.MaxInt64: never).
func Up(changes []int64, at int64) (up bool, next int64) {
	up = true
	for _, x := range changes {
		if x > at {
			return up, x
		}
		up = !up
	}
	return up, math.MaxInt64
}

// alternate returns changes after up times and down times in turn, drawn in minutes, each at least 5 s.
func alternate(until int64, up, down func(at int64) float64) (changes []int64) {
	at, isUp := int64(0), true
	for at < until {
		minutes := down(at)
		if isUp {
			minutes = up(at)
		}
		at += max(5000, int64(minutes*float64(Minute)))
		changes = append(changes, at)
		isUp = !isUp
	}
	return changes
}

// daily returns changes of a site that is down from one hour of each day to another. Each change is scattered by a
// normal deviation in hours; from day shiftDay on, all are shifted by so many hours.
func daily(rng *rand.Rand, until int64, from, to, scatter, shift float64, shiftDay int64) (changes []int64) {
	day := Day
	for d := int64(0); d*day < until; d++ {
		offset := 0.0
		if d >= shiftDay {
			offset = shift
		}
		timeOf := func(hour float64) int64 {
			return d*day + int64((hour+offset+rng.NormFloat64()*scatter)*60*float64(Minute))
		}
		changes = append(changes, timeOf(from), timeOf(to))
	}
	return changes
}

// All returns the patterns with which tests measure forecasts and plans.
func All() []Pattern {
	exp := func(rng *rand.Rand, mean float64) func(int64) float64 {
		return func(int64) float64 { return rng.ExpFloat64() * mean }
	}
	around := func(rng *rand.Rand, mean, relativeDeviation float64) func(int64) float64 {
		return func(int64) float64 { return mean * (1 + relativeDeviation*rng.NormFloat64()) }
	}
	pareto := func(rng *rand.Rand, least float64) func(int64) float64 {
		return func(int64) float64 { return least * math.Pow(1-rng.Float64(), -1/1.3) }
	}
	var out []Pattern
	add := func(name string, structured bool, draw func(*rand.Rand, int64) ([]int64, []Span)) {
		out = append(out, Pattern{name, structured, draw})
	}
	withoutCalendar := func(f func(rng *rand.Rand, until int64) []int64) func(*rand.Rand, int64) ([]int64, []Span) {
		return func(rng *rand.Rand, until int64) ([]int64, []Span) { return f(rng, until), nil }
	}
	for _, p := range [][2]float64{{90, 30}, {40, 80}, {240, 60}, {20, 20}} {
		add(fmt.Sprintf("periodic %g up %g down", p[0], p[1]), true, withoutCalendar(func(rng *rand.Rand, until int64) []int64 {
			return alternate(until, around(rng, p[0], 0.08), around(rng, p[1], 0.08))
		}))
	}
	for _, p := range [][2]float64{{120, 20}, {30, 30}, {600, 10}, {8, 4}} {
		add(fmt.Sprintf("memoryless %g up %g down", p[0], p[1]), false, withoutCalendar(func(rng *rand.Rand, until int64) []int64 {
			return alternate(until, exp(rng, p[0]), exp(rng, p[1]))
		}))
	}
	for _, p := range [][2]float64{{10, 3}, {30, 10}, {5, 5}} {
		add(fmt.Sprintf("heavy-tailed %g up %g down", p[0], p[1]), true, withoutCalendar(func(rng *rand.Rand, until int64) []int64 {
			return alternate(until, pareto(rng, p[0]), pareto(rng, p[1]))
		}))
	}
	for _, p := range [][3]float64{{1, 5, 0.2}, {9, 17, 0.3}, {20, 23.5, 0.1}} {
		add(fmt.Sprintf("daily down %g to %g", p[0], p[1]), true, withoutCalendar(func(rng *rand.Rand, until int64) []int64 {
			return daily(rng, until, p[0], p[1], p[2], 0, 0)
		}))
	}
	add("daily, shifted by 5 hours on day 8", true, withoutCalendar(func(rng *rand.Rand, until int64) []int64 { return daily(rng, until, 2, 6, 0.2, 5, 8) }))
	add("drifting period", true, withoutCalendar(func(rng *rand.Rand, until int64) []int64 {
		growth := func(at int64) float64 { return 1 + 2*float64(at)/float64(until) }
		return alternate(until, func(at int64) float64 { return 60 * growth(at) * (1 + 0.08*rng.NormFloat64()) },
			func(at int64) float64 { return 25 * growth(at) * (1 + 0.08*rng.NormFloat64()) })
	}))
	add("memoryless, then periodic from day 7", true, withoutCalendar(func(rng *rand.Rand, until int64) []int64 {
		switchAt := 7 * Day
		switchFrom := func(a, b func(int64) float64) func(int64) float64 {
			return func(at int64) float64 {
				if at < switchAt {
					return a(at)
				}
				return b(at)
			}
		}
		return alternate(until, switchFrom(exp(rng, 50), around(rng, 60, 0.05)), switchFrom(exp(rng, 20), around(rng, 30, 0.05)))
	}))
	for _, accuracy := range []float64{1, 0.9, 0} {
		add(fmt.Sprintf("irregular outages, calendar right in %g", accuracy), accuracy > 0, func(rng *rand.Rand, until int64) (changes []int64, calendar []Span) {
			for at := int64(0); ; {
				at += int64((60 + rng.ExpFloat64()*400) * float64(Minute))
				if at >= until {
					return changes, calendar
				}
				s := Span{at, at + int64((30+rng.ExpFloat64()*60)*float64(Minute))}
				calendar = append(calendar, s)
				if rng.Float64() < accuracy {
					changes = append(changes, s.From, s.Until)
				}
				at = s.Until
			}
		})
	}
	return out
}
