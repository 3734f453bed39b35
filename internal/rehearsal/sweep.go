package rehearsal

import (
	"fmt"
	"runtime"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"merlinarch/internal/rehearsal/script"
)

// Sweep is the result of playing a script with several values of one setting, each with several seeds.
type Sweep struct {
	Script string  `json:"script"`
	Path   string  `json:"path"`
	Points []Point `json:"points"`
}

// Point is the result for one value.
type Point struct {
	Value   string  `json:"value"`
	Service Spread  `json:"service"`
	Worst   Spread  `json:"worst_window"`
	BackS   *Spread `json:"back_s,omitempty"` // of the first faulty build, over the plays in which it was rolled back
	Back    int     `json:"sent_back"`        // number of those plays
	Rules   Rules   `json:"rules"`            // violations summed over all plays
	Plays   []Play  `json:"plays"`
}

// Spread summarizes the distribution of a figure over plays.
type Spread struct {
	Mean   float64 `json:"mean"`
	Least  float64 `json:"least"`
	P10    float64 `json:"p10"`
	Median float64 `json:"median"`
	P90    float64 `json:"p90"`
	Most   float64 `json:"most"`
}

// Play is the result of one rehearsal of a sweep.
type Play struct {
	Seed     uint64  `json:"seed"`
	Service  float64 `json:"service"`
	Worst    float64 `json:"worst_window"`
	BackS    float64 `json:"back_s"` // from the offer of the first faulty build until it is rolled back; -1 if it is not
	Rules    Rules   `json:"rules"`
	Outcomes string  `json:"outcomes_sha256"`
}

// newSpread computes the spread of values, which it sorts.
func newSpread(v []float64) Spread {
	slices.Sort(v)
	q := func(p float64) float64 { return stat.Quantile(p, stat.Empirical, v, nil) }
	return Spread{Mean: stat.Mean(v, nil), Least: v[0], P10: q(0.1), Median: q(0.5), P90: q(0.9), Most: v[len(v)-1]}
}

// RunSweep plays a script once for each value and seed, as many at a time as there are processors. Its result does not
// depend on their number. load returns the script with some settings replaced; onPlayed, if not nil, is called after
// each play.
func RunSweep(load func(sets map[string]any) (script.Script, error), path string, values []string, seeds []uint64,
	onPlayed func()) (Sweep, error) {
	out := Sweep{Path: path, Points: make([]Point, len(values))}
	var group errgroup.Group
	group.SetLimit(runtime.GOMAXPROCS(0))
	var mu sync.Mutex
	for i, value := range values {
		p := &out.Points[i]
		p.Value, p.Plays = value, make([]Play, len(seeds))
		for j, seed := range seeds {
			s, err := load(map[string]any{path: script.ParseValue(value)})
			if err != nil {
				return out, err
			}
			s.Seed, out.Script = seed, s.Name
			group.Go(func() error {
				r, err := Run(s, nil)
				if err != nil {
					return fmt.Errorf("%s=%s, seed %d: %w", path, value, seed, err)
				}
				p.Plays[j] = newPlay(r)
				mu.Lock()
				defer mu.Unlock()
				if onPlayed != nil {
					onPlayed()
				}
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return out, err
	}
	for i := range out.Points {
		out.Points[i].summarize()
	}
	return out, nil
}

// newPlay returns the figures of a report that a sweep keeps.
func newPlay(r Report) Play {
	p := Play{Seed: r.Seed, Service: r.Service, Worst: r.Worst, BackS: -1, Rules: r.Rules, Outcomes: r.Outcomes}
	for _, b := range r.Builds {
		if b.Fault != "" {
			p.BackS = b.BackS
			break
		}
	}
	return p
}

// summarize fills in a point's figures from its plays.
func (p *Point) summarize() {
	var service, worst, back []float64
	for _, x := range p.Plays {
		service, worst = append(service, x.Service), append(worst, x.Worst)
		if x.BackS >= 0 {
			back = append(back, x.BackS)
		}
		p.Rules.add(x.Rules)
	}
	p.Service, p.Worst, p.Back = newSpread(service), newSpread(worst), len(back)
	if len(back) > 0 {
		s := newSpread(back)
		p.BackS = &s
	}
}

// add adds the violations of another play.
func (r *Rules) add(x Rules) {
	r.Lost, r.Doubled, r.LateToDrained = r.Lost+x.Lost, r.Doubled+x.Doubled, r.LateToDrained+x.LateToDrained
	r.PushedOver, r.OverCap = r.PushedOver+x.PushedOver, r.OverCap+x.OverCap
}
