// Package contact decides how likely a site is to be reached at a time to come, from what dispatchers met there.
//
// A site is up or down for stretches of time. How long a stretch lasts is estimated by occurrence and exposure in bins of
// its age (the piecewise exponential model of survival analysis): a stretch still running, or one that was lost from
// sight, adds exposure and no end, so it is censored and not taken for finished. From there the chance to be up later
// follows by an alternating renewal process. Beside it stand other forecasts: the part of time that the site is up at
// that hour of the day, its part of all time, and that all stays as it is now. Which to trust is learnt from how each
// did, by exponential weights with a fixed share (Herbster and Warmuth, 1998), for each length of look-ahead by itself,
// so that a pattern that changes is followed. An operator's calendar of planned outages comes on top as a strong prior,
// which what was seen of earlier ones overrules.
package contact

import (
	"encoding/json"
	"math"
	"time"
)

// State is whether a site can be reached.
type State int

// States of a site.
const (
	Unknown State = iota
	Up
	Down
)

const (
	ageBins          = 44             // of stretches' ages, two for each doubling, from a second to about three weeks
	dayBins          = 48             // half hours
	dayLength        = 24 * time.Hour // of UTC: the hours shift with summer time, and are learnt anew
	horizonCount     = 6              // lengths of look-ahead that experts are weighed for
	maxPending       = 8              // forecasts of one look that wait to be judged
	minSteps         = 24             // of a look-ahead, in the renewal process
	maxSteps         = 160
	stepsPerInterval = 8 // steps that a stretch of the shorter kind is cut into, on the mean: fewer lose count of where it is
	expertCount      = 4

	intervalDecay         = 0.97  // of what is known of stretches, at the end of each: about the last 30 count
	dayDecay              = 0.85  // of what is known of an hour, a day later: about the last week counts
	sharedWeight          = 0.005 // of the weights that is spread anew each time: forgetting
	priorEndCount         = 0.7   // how many stretches' worth the mean of all ages counts in each bin
	calendarPriorOccurred = 4.0   // what a calendar is trusted at first: as if four outages of five had come
	calendarPriorPlanned  = 5.0
	minEndedIntervals     = 3        // stretches of each kind that ended, before a forecast is told as known
	MaxSites              = 1024     // that are kept; beyond, further ones stay unknown
	maxProbability        = 1 - 1e-3 // no forecast is surer than that
)

// probe is the distance that forecasts of each look are judged at: its far end, since what errs adds up on the way.
var horizonLengths = [horizonCount]time.Duration{time.Minute, 5 * time.Minute, 20 * time.Minute, time.Hour, 4 * time.Hour, 12 * time.Hour}

// look gives the look-ahead that a distance in time falls in.
func horizonOf(d time.Duration) int {
	for i, longest := range horizonLengths[:horizonCount-1] {
		if d <= longest {
			return i
		}
	}
	return horizonCount - 1
}

// Ages is what is known of how long stretches of one kind last, by bins of age.
type DurationModel struct {
	Exposure [ageBins]float64 `json:"exposure"` // seconds spent at an age
	Ends     [ageBins]float64 `json:"ends"`
}

func ageBin(age time.Duration) int {
	if age < time.Second {
		return 0
	}
	return min(ageBins-1, int(2*math.Log2(age.Seconds())))
}

// begin is the age at which a bin begins.
func binStart(bin int) time.Duration {
	if bin == 0 {
		return 0
	}
	return time.Duration(math.Exp2(float64(bin)/2) * float64(time.Second))
}

// spend adds the time from one age to another, without an end.
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

func (a *DurationModel) addEnd(age time.Duration) {
	for i := range a.Ends {
		a.Ends[i] *= intervalDecay
		a.Exposure[i] *= intervalDecay
	}
	a.Ends[ageBin(age)]++
}

func (a *DurationModel) endCount() (n float64) {
	for _, e := range a.Ends {
		n += e
	}
	return n
}

// hazard is the rate at which stretches of an age end, a second. Bins that have seen little lean on the mean of all.
func (a *DurationModel) hazard(b int, mean float64) float64 {
	return (a.Ends[b] + priorEndCount) / (a.Exposure[b] + priorEndCount/mean)
}

// mean is the rate of ends over all ages, a second; an hour's stretch is assumed before any was seen.
func (a *DurationModel) meanHazard() float64 {
	exposure, ends := 0.0, 0.0
	for b := range a.Ends {
		exposure += a.Exposure[b]
		ends += a.Ends[b]
	}
	return (ends + 1) / (exposure + 3600)
}

// rates are the hazards of all bins.
func (a *DurationModel) hazards() (out [ageBins]float64) {
	mean := a.meanHazard()
	for b := range out {
		out[b] = a.hazard(b, mean)
	}
	return out
}

// survive is the chance that a stretch of an age lasts for d more.
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

// pending is a forecast that waits to be judged.
type pendingForecast struct {
	DueMs         int64                `json:"at"` // ms
	Probabilities [expertCount]float64 `json:"p"`
}

// Site is what is known of one. Its size is fixed.
type Site struct {
	State             State                              `json:"state"`
	Since             int64                              `json:"since"` // ms: this stretch began, as far as was seen
	Seen              int64                              `json:"seen"`  // ms: last seen in this state
	Durations         [2]DurationModel                   `json:"ages"`  // up; down
	UpSecondsByBin    [dayBins]float64                   `json:"day_up"`
	SeenSecondsByBin  [dayBins]float64                   `json:"day_all"`
	LastDayByBin      [dayBins]int64                     `json:"day_at"` // the day that was counted last
	Weights           [horizonCount][expertCount]float64 `json:"weights"`
	Pending           [horizonCount][]pendingForecast    `json:"pending,omitempty"`
	OutagesOccurred   float64                            `json:"plan_yes"` // planned outages that came, and all, as they were seen
	OutagesPlanned    float64                            `json:"plan_all"`
	LastCountedOutage int64                              `json:"plan_seen"` // the latest outage that was counted, by its begin
}

// Sites is what is known of all.
type Forecaster struct {
	Sites map[string]*Site `json:"sites"`
}

// New knows nothing.
func New() *Forecaster { return &Forecaster{Sites: map[string]*Site{}} }

// UnmarshalJSON reads what was kept as part of something larger: what is spoilt is left out, and what it is part of goes on.
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

// sound tells that all numbers can be.
func (s *Site) isValid() bool {
	isValidNumber := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	valid := s.State >= Unknown && s.State <= Down && s.Seen >= s.Since && isValidNumber(s.OutagesOccurred) && isValidNumber(s.OutagesPlanned) && s.OutagesOccurred <= s.OutagesPlanned
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

// Span is a planned outage, in Unix ms.
type Span struct{ From, Until int64 }

func (s Span) covers(at int64) bool { return s.From <= at && at < s.Until }

func outageAt(calendar []Span, at int64) *Span {
	for i := range calendar {
		if calendar[i].covers(at) {
			return &calendar[i]
		}
	}
	return nil
}

// index of Ages.
func stateIndex(s State) int {
	if s == Up {
		return 0
	}
	return 1
}

// Observe takes what was found of a site at a time, in ms. Unknown leaves the stretch as it was seen last: the time
// until it is seen again counts only if it is found in the same state.
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
	} else { // it changed somewhere between: in the middle, as far as is known
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

func millis(t int64) time.Duration { return time.Duration(t) * time.Millisecond }

// hour is the bin of a time of day, and the day.
func timeOfDayBin(at int64) (bin int, day int64) {
	day = at / dayLength.Milliseconds()
	return int((at % dayLength.Milliseconds()) * dayBins / dayLength.Milliseconds()), day
}

// count adds to the hours of the day. Each look adds the time since the one before, at most a bin's.
func (x *Site) countTimeOfDay(now int64, state State) {
	b, day := timeOfDayBin(now)
	if daysSince := day - x.LastDayByBin[b]; daysSince > 0 {
		decay := math.Pow(dayDecay, float64(min(daysSince, 60)))
		x.UpSecondsByBin[b] *= decay
		x.SeenSecondsByBin[b] *= decay
		x.LastDayByBin[b] = day
	}
	elapsed := min(float64(now-x.Seen), float64(dayLength.Milliseconds()/dayBins)) / 1000
	x.SeenSecondsByBin[b] += elapsed
	if state == Up {
		x.UpSecondsByBin[b] += elapsed
	}
}

// plan counts whether planned outages come, once each.
func (x *Site) countPlannedOutage(now int64, state State, calendar []Span) {
	c := outageAt(calendar, now)
	if c == nil || c.From <= x.LastCountedOutage || now < c.From+(c.Until-c.From)/4 {
		return
	}
	x.LastCountedOutage = c.From
	x.OutagesOccurred, x.OutagesPlanned = x.OutagesOccurred*intervalDecay, x.OutagesPlanned*intervalDecay+1
	if state == Down {
		x.OutagesOccurred++
	}
}

// forecasts are what each expert says of being up at a time.
func (x *Site) expertForecasts(now, at int64) (p [expertCount]float64) {
	up, down := x.Durations[0].hazards(), x.Durations[1].hazards()
	total, upTotal := 0.0, 0.0
	for b := range dayBins {
		total += x.SeenSecondsByBin[b]
		upTotal += x.UpSecondsByBin[b]
	}
	meanUp := (upTotal + 60) / (total + 120)
	b, _ := timeOfDayBin(at)
	const shrinkage = 120 // seconds of the mean that an hour's own count leans on
	p[0] = x.renewalUpProbability(&up, &down, millis(now-x.Since), millis(at-now))
	p[1] = (x.UpSecondsByBin[b] + shrinkage*meanUp) / (x.SeenSecondsByBin[b] + shrinkage)
	p[2] = meanUp
	p[3] = 0.02
	if x.State == Up {
		p[3] = 0.98
	}
	for e := range p {
		p[e] = min(maxProbability, max(1-maxProbability, p[e]))
	}
	return p
}

// renewal follows the chances of both states through a look-ahead in even steps: the stretch that runs now with its age,
// and those that may begin later with theirs.
func (x *Site) renewalUpProbability(up, down *[ageBins]float64, age, d time.Duration) float64 {
	if d <= 0 {
		if x.State == Up {
			return 1
		}
		return 0
	}
	hazards := [2]*[ageBins]float64{up, down}
	mean := min(1/x.Durations[0].meanHazard(), 1/x.Durations[1].meanHazard())
	steps := max(minSteps, min(maxSteps, int(stepsPerInterval*d.Seconds()/mean)))
	dt := d / time.Duration(steps)
	var inInterval [2][maxSteps + 1]float64 // chance to have begun a stretch of this kind so many steps ago, and still be in it
	var survives [2][maxSteps + 1]float64   // chance to last one more step, at that age
	for k := range steps + 1 {
		survives[0][k], survives[1][k] = survivalProbability(up, time.Duration(k)*dt, dt), survivalProbability(down, time.Duration(k)*dt, dt)
	}
	inCurrent, current := 1.0, stateIndex(x.State)
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

// expect keeps forecasts to be judged when their time comes.
func (x *Site) queueForecasts(now int64) {
	for i := range horizonCount {
		spacing := horizonLengths[i].Milliseconds() / maxPending
		if n := len(x.Pending[i]); n >= maxPending || n > 0 && x.Pending[i][n-1].DueMs-horizonLengths[i].Milliseconds()+spacing > now {
			continue
		}
		at := now + horizonLengths[i].Milliseconds()
		x.Pending[i] = append(x.Pending[i], pendingForecast{at, x.expertForecasts(now, at)})
	}
}

// judge weighs the experts anew by what they said of now.
func (x *Site) updateWeights(now int64, state State) {
	for i := range horizonCount {
		for len(x.Pending[i]) > 0 && x.Pending[i][0].DueMs <= now {
			f := x.Pending[i][0]
			x.Pending[i] = x.Pending[i][1:]
			if now-f.DueMs > horizonLengths[i].Milliseconds()/4 {
				continue // it was out of sight then
			}
			w, sum := &x.Weights[i], 0.0
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

// Forecast is what can be said of a site at a time.
type Forecast struct {
	UpProbability float64 // chance to be reached
	HasEvidence   bool    // there is evidence enough to plan by it
}

// Forecast tells how likely a site is to be reached at a time.
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
		f.UpProbability *= 1 - calendarTrust // it is expected, unless it is under way and the site is seen to be up
		f.HasEvidence = true
	case planned != nil: // planned for now, and it has not come so far
		f.UpProbability *= 1 - calendarTrust*0.5
	case current != nil && x.State == Down: // the outage that is under way will be over by then
		f.UpProbability = calendarTrust*max(f.UpProbability, p[2]) + (1-calendarTrust)*f.UpProbability
		f.HasEvidence = true
	}
	f.UpProbability = min(maxProbability, max(1-maxProbability, f.UpProbability))
	return f
}

// Lasts is the chance that a site, once reached at a time, stays so for d.
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

// Evidence is what one dispatcher met at one site since it told last.
type Evidence struct {
	Site       string `json:"site"`
	Answered   int    `json:"answered"` // attempts that brought any answer in time or late, also an error or a refusal
	Unanswered int    `json:"silent"`   // attempts and connections that nothing came of
}

// Pool makes states of sites from what dispatchers met. Danger: one that is cut off by itself meets silence at all sites,
// and would have them all for lost; whoever has had no answer from anywhere says nothing about any site. A slow site
// answers late, and is not a lost one. Sites that nobody had anything to do with stay unknown.
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
	for site, n := range reached {
		if n >= unreached[site] {
			states[site] = Up
		}
	}
	for site, n := range unreached {
		if n > reached[site] {
			states[site] = Down
		}
	}
	return states
}

// silentEnough is how many attempts nothing has to come of: one or two are lost on any network.
const minUnanswered = 3
