package statemachine

import (
	"time"

	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/schedule"
)

// PlanInput is a copy of what planning needs of the state. Planning may take seconds, so it is done by another goroutine than
// the one that owns the state.
type PlanInput struct {
	unixMs   int64
	settings schedule.Settings
	jobs     []schedule.Job
	basis    map[string]planBasis // by dispatch
	sites    map[string]*siteForecast
}

// planBasis is what a decision on a dispatch rests on.
type planBasis struct {
	planned ruleset.Dispatch
	state   DispatchState
}

// Plan holds decisions on dispatches. A decision is void once its dispatch has changed.
type Plan struct {
	decisions []schedule.Decision
	basis     map[string]planBasis
}

// PlanInput returns the input for a plan at unixMs, and false if there is nothing to plan.
func (s *State) PlanInput(unixMs int64, settings schedule.Settings) (PlanInput, bool) {
	in := PlanInput{unixMs: unixMs, settings: settings, basis: map[string]planBasis{}, sites: map[string]*siteForecast{}}
	for name, planned := range s.Ruleset.Document.Rules.Dispatches {
		dispatch := s.Dispatches[name]
		if dispatch.isFinal() {
			continue
		}
		latest := planned.Latest
		if until, limited := dispatch.repeatUntil(); limited {
			latest = min(latest, until+int64(planned.ExpectedDurationMs))
		}
		in.jobs = append(in.jobs, schedule.Job{ID: name, Site: planned.Site, Earliest: planned.Earliest, Latest: latest, Worth: planned.Worth,
			ExpectedDuration: time.Duration(planned.ExpectedDurationMs * float64(time.Millisecond)), LastTriedMs: dispatch.LastTriedMs, FailedTries: dispatch.Failures, InFlight: dispatch.Progress == Claimed})
		in.basis[name] = planBasis{planned, dispatch}
		if in.sites[planned.Site] == nil {
			in.sites[planned.Site] = s.newSiteForecast(planned.Site, unixMs)
		}
	}
	return in, len(in.jobs) > 0
}

// Compute makes the plan. It may take long, and uses nothing of the state.
func (in PlanInput) Compute() *Plan {
	return &Plan{decisions: in.settings.Plan(in.unixMs, in.jobs, func(site string) schedule.Site { return in.sites[site] }), basis: in.basis}
}

// currentDecisions returns the decisions of a plan on dispatches that have not changed since.
func (s *State) currentDecisions(plan *Plan) []schedule.Decision {
	if plan == nil {
		return nil
	}
	var current []schedule.Decision
	for _, decision := range plan.decisions {
		planned, stands := s.Ruleset.Document.Rules.Dispatches[decision.Job]
		if stands && plan.basis[decision.Job] == (planBasis{planned, s.Dispatches[decision.Job]}) {
			current = append(current, decision)
		}
	}
	return current
}

// siteForecast provides the forecasts of one site to the planning of dispatches (schedule.Site). It keeps them, since many
// dispatches may be planned for the same site.
type siteForecast struct {
	forecaster *contact.Forecaster // of this site alone
	name       string
	now        int64
	outages    []contact.Span
	forecasts  map[int64]contact.Forecast // by the time that they are for, in Unix ms
}

// newSiteForecast copies what is known of a site.
func (s *State) newSiteForecast(name string, now int64) *siteForecast {
	p := &siteForecast{forecaster: contact.New(), name: name, now: now, outages: s.plannedOutages(name), forecasts: map[int64]contact.Forecast{}}
	if site := s.Forecaster.Sites[name]; site != nil {
		p.forecaster.Sites[name] = site.CopyForForecasts()
	}
	return p
}

// UpProbability implements schedule.Site.
func (p *siteForecast) UpProbability(at int64) (float64, bool) {
	f, known := p.forecasts[at]
	if !known {
		f = p.forecaster.Forecast(p.now, at, p.name, p.outages)
		p.forecasts[at] = f
	}
	return f.UpProbability, f.HasEvidence
}

// StayUpProbability implements schedule.Site.
func (p *siteForecast) StayUpProbability(at int64, d time.Duration) float64 {
	return p.forecaster.StayUpProbability(p.now, at, p.name, d)
}

// LastObservation implements schedule.Site.
func (p *siteForecast) LastObservation() (bool, int64, int64) {
	site := p.forecaster.Sites[p.name]
	if site == nil {
		return false, 0, -1
	}
	return site.State == contact.Up, site.Since, site.Seen
}
