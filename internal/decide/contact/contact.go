// Package contact decides how likely a site with an intermittent link is to be reachable at a future time, from what
// dispatchers (the gateways) observed of it.
//
// A site alternates between intervals of being up and down. The model of their lengths is the piecewise exponential model of
// survival analysis: interval ends and exposure (observed time) are counted in bins of the interval's age. An interval that
// still runs, or whose end was not observed, adds exposure and no end; it is censored, and not counted as finished. An
// alternating renewal process turns these lengths into the probability of being up later. Three other forecasts compete with
// it: the share of time that the site is up at that time of the day, its share of all time, and that its state does not
// change. The forecasts are mixed by exponential weights with a fixed share (Herbster and Warmuth, 1998), by how well each did
// before. Each length of look-ahead has its own weights, and the fixed share lets the mix adapt when a pattern changes. An
// operator's calendar of planned outages is applied on top as a strong prior, which observations of earlier planned outages
// override.
package contact

import (
	"encoding/json"
	"math"
	"time"
)

// State says whether a site can be reached.
type State int

// States of a site.
const (
	Unknown State = iota
	Up
	Down
)

const (
	ageBins          = 44             // bins of an interval's age, two per doubling, from a second to about three weeks
	dayBins          = 48             // bins of half an hour
	dayLength        = 24 * time.Hour // in UTC, so a switch to or from summer time shifts the pattern, which is then relearned
	horizonCount     = 6              // lengths of look-ahead, each with its own weights of the experts
	maxPending       = 8              // forecasts per horizon that wait for their outcome
	minSteps         = 24             // least number of steps by which the renewal process looks ahead
	maxSteps         = 160
	stepsPerInterval = 8 // steps per mean interval of the shorter kind; with fewer, the process loses track of the phase
	expertCount      = 4 // the forecasts that are mixed: renewal, time of day, mean, no change

	intervalDecay         = 0.97  // factor on the counts at the end of each interval: about the last 30 count
	dayDecay              = 0.85  // factor per day on the observations of a time of day: about the last week counts
	sharedWeight          = 0.005 // part of the weights that is redistributed evenly at each update, so that old results are forgotten
	priorEndCount         = 0.7   // weight of the mean over all ages in each bin, in interval ends
	calendarPriorOccurred = 4.0   // initial trust in a calendar: as if four of five planned outages had occurred
	calendarPriorPlanned  = 5.0
	minEndedIntervals     = 3        // ended intervals of each kind that a forecast needs to count as based on evidence
	MaxSites              = 1024     // sites that are tracked; further ones stay unknown
	maxProbability        = 1 - 1e-3 // bound of every forecast; the lower one is 1 - maxProbability
)

// horizonLengths holds the length of each horizon. Forecasts are evaluated at the end of the horizon, since errors add up until
// then.
var horizonLengths = [horizonCount]time.Duration{time.Minute, 5 * time.Minute, 20 * time.Minute, time.Hour, 4 * time.Hour, 12 * time.Hour}

// horizonOf returns the index of the horizon for a look-ahead of d.
func horizonOf(d time.Duration) int {
	for i, longest := range horizonLengths[:horizonCount-1] {
		if d <= longest {
			return i
		}
	}
	return horizonCount - 1
}

// DurationModel estimates how long intervals of one kind (up or down) last, by bins of age.
type DurationModel struct {
	Exposure [ageBins]float64 `json:"exposure"` // seconds observed at an age
	Ends     [ageBins]float64 `json:"ends"`     // intervals that ended at an age
}

// ageBin returns the bin of an age.
func ageBin(age time.Duration) int {
	if age < time.Second {
		return 0
	}
	return min(ageBins-1, int(2*math.Log2(age.Seconds())))
}

// binStart returns the age at which a bin begins.
func binStart(bin int) time.Duration {
	if bin == 0 {
		return 0
	}
	return time.Duration(math.Exp2(float64(bin)/2) * float64(time.Second))
}

// addExposure adds the time between two ages, without an end.
func (a *DurationModel) addExposure(from, to time.Duration) {
	for b := ageBin(from); from < to && b < ageBins; b++ {
		until := to
		if b < ageBins-1 {
			until = min(to, binStart(b+1))
		}
		a.Exposure[b] += max(0, until-from).Seconds()
		from = max(from, until)
	}
}

// addEnd counts the end of an interval at an age, and decays the earlier counts.
func (a *DurationModel) addEnd(age time.Duration) {
	for i := range a.Ends {
		a.Ends[i] *= intervalDecay
		a.Exposure[i] *= intervalDecay
	}
	a.Ends[ageBin(age)]++
}

// endCount returns the decayed number of intervals that ended.
func (a *DurationModel) endCount() (n float64) {
	for _, e := range a.Ends {
		n += e
	}
	return n
}

// hazard returns the rate per second at which intervals in an age bin end. With little data in the bin, it is close to the mean.
func (a *DurationModel) hazard(b int, mean float64) float64 {
	return (a.Ends[b] + priorEndCount) / (a.Exposure[b] + priorEndCount/mean)
}

// meanHazard returns the rate of ends per second over all ages. Without data it assumes intervals of an hour.
func (a *DurationModel) meanHazard() float64 {
	exposure, ends := 0.0, 0.0
	for b := range a.Ends {
		exposure += a.Exposure[b]
		ends += a.Ends[b]
	}
	return (ends + 1) / (exposure + 3600)
}

// hazards returns the hazards of all bins.
func (a *DurationModel) hazards() (out [ageBins]float64) {
	mean := a.meanHazard()
	for b := range out {
		out[b] = a.hazard(b, mean)
	}
	return out
}

// survivalProbability returns the probability that an interval of the given age lasts for another d.
func survivalProbability(hazards *[ageBins]float64, age, d time.Duration) float64 {
	sum, to := 0.0, age+d
	for b := ageBin(age); age < to && b < ageBins; b++ {
		until := to
		if b < ageBins-1 {
			until = min(to, binStart(b+1))
		}
		if until > age {
			sum += hazards[b] * (until - age).Seconds()
			age = until
		}
	}
	return math.Exp(-sum)
}

// pendingForecast is a forecast that waits for its outcome. Probabilities holds each expert's probability of being up.
type pendingForecast struct {
	DueMs         int64                `json:"at"`
	Probabilities [expertCount]float64 `json:"p"`
}

// Site holds what is known of one site. Its size is bounded.
type Site struct {
	State             State                              `json:"state"`
	Since             int64                              `json:"since"` // Unix ms: start of the current interval, as far as observed
	Seen              int64                              `json:"seen"`  // Unix ms: last observed in this state
	Durations         [2]DurationModel                   `json:"ages"`  // up; down
	UpSecondsByBin    [dayBins]float64                   `json:"day_up"`
	SeenSecondsByBin  [dayBins]float64                   `json:"day_all"`
	LastDayByBin      [dayBins]int64                     `json:"day_at"` // the day of the bin's latest observation, in days since the Unix epoch
	Weights           [horizonCount][expertCount]float64 `json:"weights"`
	Pending           [horizonCount][]pendingForecast    `json:"pending,omitempty"`
	OutagesOccurred   float64                            `json:"plan_yes"`  // decayed number of planned outages that occurred
	OutagesPlanned    float64                            `json:"plan_all"`  // decayed number of planned outages during which the site was observed
	LastCountedOutage int64                              `json:"plan_seen"` // Unix ms: start of the latest planned outage that was counted
}

// CopyForForecasts returns a copy that gives the same forecasts. It leaves out the forecasts that wait for their outcomes, which
// only observations need.
func (s *Site) CopyForForecasts() *Site {
	copied := *s
	clear(copied.Pending[:])
	return &copied
}

// Forecaster tracks all sites and forecasts when they can be reached.
type Forecaster struct {
	Sites map[string]*Site `json:"sites"`
}

// New returns a forecaster that knows no sites.
func New() *Forecaster { return &Forecaster{Sites: map[string]*Site{}} }

// UnmarshalJSON reads a stored forecaster. It leaves out corrupt sites and returns no error, so that whatever contains the
// forecaster can still be read.
func (s *Forecaster) UnmarshalJSON(text []byte) error {
	type plain Forecaster
	var p plain
	s.Sites = map[string]*Site{}
	if json.Unmarshal(text, &p) != nil || len(p.Sites) > MaxSites {
		return nil
	}
	for name, x := range p.Sites {
		if x != nil && x.isValid() {
			s.Sites[name] = x
		}
	}
	return nil
}

// isValid reports whether all numbers are within their possible ranges.
func (s *Site) isValid() bool {
	isValidNumber := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	valid := s.State >= Unknown && s.State <= Down && s.Seen >= s.Since &&
		isValidNumber(s.OutagesOccurred) && isValidNumber(s.OutagesPlanned) && s.OutagesOccurred <= s.OutagesPlanned
	for i := range s.Durations {
		for b := range ageBins {
			valid = valid && isValidNumber(s.Durations[i].Exposure[b]) && isValidNumber(s.Durations[i].Ends[b])
		}
	}
	for b := range dayBins {
		valid = valid && isValidNumber(s.UpSecondsByBin[b]) && isValidNumber(s.SeenSecondsByBin[b]) && s.UpSecondsByBin[b] <= s.SeenSecondsByBin[b]*(1+1e-9)
	}
	for i := range horizonCount {
		valid = valid && len(s.Pending[i]) <= maxPending
		for e := range expertCount {
			valid = valid && isValidNumber(s.Weights[i][e])
		}
	}
	return valid
}

// Span is a planned outage, in Unix milliseconds. Until is excluded.
type Span struct{ From, Until int64 }

func (s Span) covers(at int64) bool { return s.From <= at && at < s.Until }

// outageAt returns the first planned outage that covers a time, or nil.
func outageAt(calendar []Span, at int64) *Span {
	for i := range calendar {
		if calendar[i].covers(at) {
			return &calendar[i]
		}
	}
	return nil
}

// stateIndex returns the index of a state in Site.Durations.
func stateIndex(s State) int {
	if s == Up {
		return 0
	}
	return 1
}

// Observe records the state in which a site was found at a time, in Unix milliseconds. Unknown leaves the current interval as
// it was: the time until the next observation counts in full only if that finds the same state.
func (s *Forecaster) Observe(now int64, name string, state State, calendar []Span) {
	x := s.Sites[name]
	if x == nil {
		if state == Unknown || len(s.Sites) >= MaxSites {
			return
		}
		x = &Site{State: state, Since: now, Seen: now, OutagesOccurred: calendarPriorOccurred, OutagesPlanned: calendarPriorPlanned}
		for i := range x.Weights {
			for e := range x.Weights[i] {
				x.Weights[i][e] = 1.0 / expertCount
			}
		}
		s.Sites[name] = x
	}
	if state == Unknown || now < x.Seen {
		return
	}
	x.updateWeights(now, state)
	x.countTimeOfDay(now, state)
	x.countPlannedOutage(now, state, calendar)
	since, seen := millis(x.Since), millis(x.Seen)
	if state == x.State {
		x.Durations[stateIndex(state)].addExposure(seen-since, millis(now)-since)
	} else { // the state changed in between, at an unknown time; assume the middle
		change := (x.Seen + now) / 2
		a := &x.Durations[stateIndex(x.State)]
		a.addExposure(seen-since, millis(change)-since)
		a.addEnd(millis(change) - since)
		x.State, x.Since = state, change
		x.Durations[stateIndex(state)].addExposure(0, millis(now-change))
	}
	x.Seen = now
	x.queueForecasts(now)
}

// millis converts milliseconds to a duration.
func millis(t int64) time.Duration { return time.Duration(t) * time.Millisecond }

// timeOfDayBin returns the bin of a time's time of day, and its day.
func timeOfDayBin(at int64) (bin int, day int64) {
	day = at / dayLength.Milliseconds()
	return int((at % dayLength.Milliseconds()) * dayBins / dayLength.Milliseconds()), day
}

// countTimeOfDay adds an observation to its time of day. It counts the time since the previous observation, at most the
// length of a bin.
func (s *Site) countTimeOfDay(now int64, state State) {
	b, day := timeOfDayBin(now)
	if daysSince := day - s.LastDayByBin[b]; daysSince > 0 {
		decay := math.Pow(dayDecay, float64(min(daysSince, 60)))
		s.UpSecondsByBin[b] *= decay
		s.SeenSecondsByBin[b] *= decay
		s.LastDayByBin[b] = day
	}
	elapsed := min(float64(now-s.Seen), float64(dayLength.Milliseconds()/dayBins)) / 1000
	s.SeenSecondsByBin[b] += elapsed
	if state == Up {
		s.UpSecondsByBin[b] += elapsed
	}
}

// countPlannedOutage counts whether a planned outage occurs, once for each outage, after its first quarter.
func (s *Site) countPlannedOutage(now int64, state State, calendar []Span) {
	c := outageAt(calendar, now)
	if c == nil || c.From <= s.LastCountedOutage || now < c.From+(c.Until-c.From)/4 {
		return
	}
	s.LastCountedOutage = c.From
	s.OutagesOccurred, s.OutagesPlanned = s.OutagesOccurred*intervalDecay, s.OutagesPlanned*intervalDecay+1
	if state == Down {
		s.OutagesOccurred++
	}
}

// expertForecasts returns each expert's probability that the site is up at a time: by the renewal process, by the time of day,
// by the mean over all time, and if the state does not change.
func (s *Site) expertForecasts(now, at int64) (p [expertCount]float64) {
	up, down := s.Durations[0].hazards(), s.Durations[1].hazards()
	total, upTotal := 0.0, 0.0
	for b := range dayBins {
		total += s.SeenSecondsByBin[b]
		upTotal += s.UpSecondsByBin[b]
	}
	meanUp := (upTotal + 60) / (total + 120)
	b, _ := timeOfDayBin(at)
	const shrinkage = 120 // weight of the mean in a bin's estimate, in seconds of observation
	p[0] = s.renewalUpProbability(&up, &down, millis(now-s.Since), millis(at-now))
	p[1] = (s.UpSecondsByBin[b] + shrinkage*meanUp) / (s.SeenSecondsByBin[b] + shrinkage)
	p[2] = meanUp
	p[3] = 0.02
	if s.State == Up {
		p[3] = 0.98
	}
	for e := range p {
		p[e] = min(maxProbability, max(1-maxProbability, p[e]))
	}
	return p
}

// renewalUpProbability returns the probability of being up after d. It steps through the look-ahead in equal steps and keeps
// the probabilities of both states by age: of the current interval, and of intervals that may begin later.
func (s *Site) renewalUpProbability(up, down *[ageBins]float64, age, d time.Duration) float64 {
	if d <= 0 {
		if s.State == Up {
			return 1
		}
		return 0
	}
	hazards := [2]*[ageBins]float64{up, down}
	mean := min(1/s.Durations[0].meanHazard(), 1/s.Durations[1].meanHazard())
	steps := max(minSteps, min(maxSteps, int(stepsPerInterval*d.Seconds()/mean)))
	dt := d / time.Duration(steps)
	var inInterval [2][maxSteps + 1]float64 // probability that an interval of this kind began k steps ago and still runs
	var survives [2][maxSteps + 1]float64   // probability that an interval of that age lasts one more step
	for k := range steps + 1 {
		survives[0][k], survives[1][k] = survivalProbability(up, time.Duration(k)*dt, dt), survivalProbability(down, time.Duration(k)*dt, dt)
	}
	inCurrent, current := 1.0, stateIndex(s.State) // inCurrent: probability that the current interval still runs
	for range steps {
		var begins [2]float64
		stay := survivalProbability(hazards[current], age, dt)
		begins[1-current] += inCurrent * (1 - stay)
		inCurrent *= stay
		age += dt
		for kind := range 2 {
			for k := steps - 1; k >= 0; k-- {
				if inInterval[kind][k] == 0 {
					continue
				}
				begins[1-kind] += inInterval[kind][k] * (1 - survives[kind][k])
				inInterval[kind][k+1] = inInterval[kind][k] * survives[kind][k]
				inInterval[kind][k] = 0
			}
		}
		inInterval[0][0], inInterval[1][0] = begins[0], begins[1]
	}
	p := 0.0
	for _, c := range inInterval[0] {
		p += c
	}
	if current == 0 {
		p += inCurrent
	}
	return min(1, max(0, p))
}

// queueForecasts stores forecasts whose outcome is compared when their time comes.
func (s *Site) queueForecasts(now int64) {
	for i := range horizonCount {
		spacing := horizonLengths[i].Milliseconds() / maxPending
		if n := len(s.Pending[i]); n >= maxPending || n > 0 && s.Pending[i][n-1].DueMs-horizonLengths[i].Milliseconds()+spacing > now {
			continue
		}
		at := now + horizonLengths[i].Milliseconds()
		s.Pending[i] = append(s.Pending[i], pendingForecast{at, s.expertForecasts(now, at)})
	}
}

// updateWeights updates the experts' weights from the forecasts that are due now.
func (s *Site) updateWeights(now int64, state State) {
	for i := range horizonCount {
		for len(s.Pending[i]) > 0 && s.Pending[i][0].DueMs <= now {
			f := s.Pending[i][0]
			s.Pending[i] = s.Pending[i][1:]
			if now-f.DueMs > horizonLengths[i].Milliseconds()/4 {
				continue // the site was not observed at that time
			}
			w, sum := &s.Weights[i], 0.0
			for e := range expertCount {
				p := f.Probabilities[e]
				if state == Down {
					p = 1 - p
				}
				w[e] *= p
				sum += w[e]
			}
			for e := range expertCount {
				w[e] = (1-sharedWeight)*w[e]/sum + sharedWeight/expertCount
			}
		}
	}
}

// Forecast is the forecast for a site at a time.
type Forecast struct {
	UpProbability float64
	HasEvidence   bool // there is enough evidence to plan with it
}

// Forecast returns how likely a site is to be reachable at a time.
func (s *Forecaster) Forecast(now, at int64, name string, calendar []Span) Forecast {
	x := s.Sites[name]
	if x == nil {
		return Forecast{UpProbability: 0.5}
	}
	at = max(at, now)
	p := x.expertForecasts(now, at)
	w, mix := &x.Weights[horizonOf(millis(at-now))], 0.0
	for e := range expertCount {
		mix += w[e] * p[e]
	}
	f := Forecast{UpProbability: mix, HasEvidence: min(x.Durations[0].endCount(), x.Durations[1].endCount()) >= minEndedIntervals*0.8}
	calendarTrust := x.OutagesOccurred / max(1, x.OutagesPlanned)
	switch planned, current := outageAt(calendar, at), outageAt(calendar, now); {
	case planned != nil && (x.State == Down || planned != current):
		f.UpProbability *= 1 - calendarTrust // planned for then; if for now as well, the site is down as planned
		f.HasEvidence = true
	case planned != nil: // planned for now, but the site is up so far
		f.UpProbability *= 1 - calendarTrust*0.5
	case current != nil && x.State == Down: // the current planned outage will be over by then
		f.UpProbability = calendarTrust*max(f.UpProbability, p[2]) + (1-calendarTrust)*f.UpProbability
		f.HasEvidence = true
	}
	f.UpProbability = min(maxProbability, max(1-maxProbability, f.UpProbability))
	return f
}

// StayUpProbability returns the probability that a site which is up at a time stays up for d.
func (s *Forecaster) StayUpProbability(now, at int64, name string, d time.Duration) float64 {
	x := s.Sites[name]
	if x == nil {
		return 0.5
	}
	up := x.Durations[0].hazards()
	age := time.Duration(0)
	if x.State == Up {
		age = millis(max(at, now) - x.Since)
	}
	return survivalProbability(&up, age, d)
}

// Evidence counts one dispatcher's attempts at one site since its previous report.
type Evidence struct {
	Site       string `json:"site"`
	Answered   int    `json:"answered"` // attempts with any answer, in time or late, errors and refusals included
	Unanswered int    `json:"silent"`   // attempts and connections without an answer
}

// MergeEvidence derives the states of sites from all dispatchers' evidence. A dispatcher that is cut off from the network gets
// no answer from any site and would report them all as lost, so missing answers count only from a dispatcher that got an
// answer from some site. A slow site answers late and does not count as lost. Sites that no dispatcher sent anything to are
// left out, and so stay unknown.
func MergeEvidence(reports map[string][]Evidence) map[string]State {
	reached, unreached := map[string]int{}, map[string]int{}
	for _, list := range reports {
		answered := 0
		for _, e := range list {
			answered += e.Answered
		}
		for _, e := range list {
			switch {
			case e.Answered > 0:
				reached[e.Site]++
			case e.Unanswered >= minUnanswered && answered > 0:
				unreached[e.Site]++
			}
		}
	}
	states := map[string]State{}
	for site, count := range reached {
		if count >= unreached[site] {
			states[site] = Up
		}
	}
	for site, count := range unreached {
		if count > reached[site] {
			states[site] = Down
		}
	}
	return states
}

// minUnanswered is how many attempts have to go unanswered to count against a site: any network loses one or two.
const minUnanswered = 3
