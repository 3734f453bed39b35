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
	ageBins     = 44             // of stretches' ages, two for each doubling, from a second to about three weeks
	dayBins     = 48             // half hours
	dayLength   = 24 * time.Hour // of UTC: the hours shift with summer time, and are learnt anew
	looks       = 6              // lengths of look-ahead that experts are weighed for
	pendings    = 8              // forecasts of one look that wait to be judged
	leastSteps  = 24             // of a look-ahead, in the renewal process
	mostSteps   = 160
	stretchPart = 8 // steps that a stretch of the shorter kind is cut into, on the mean: fewer lose count of where it is
	experts     = 4

	keepStretch = 0.97  // of what is known of stretches, at the end of each: about the last 30 count
	keepDay     = 0.85  // of what is known of an hour, a day later: about the last week counts
	share       = 0.005 // of the weights that is spread anew each time: forgetting
	priorEnds   = 0.7   // how many stretches' worth the mean of all ages counts in each bin
	calendarYes = 4.0   // what a calendar is trusted at first: as if four outages of five had come
	calendarAll = 5.0
	enough      = 3        // stretches of each kind that ended, before a forecast is told as known
	MaxSites    = 1024     // that are kept; beyond, further ones stay unknown
	sure        = 1 - 1e-3 // no forecast is surer than that
)

// probe is the distance that forecasts of each look are judged at: its far end, since what errs adds up on the way.
var probe = [looks]time.Duration{time.Minute, 5 * time.Minute, 20 * time.Minute, time.Hour, 4 * time.Hour, 12 * time.Hour}

// look gives the look-ahead that a distance in time falls in.
func look(d time.Duration) int {
	for i, most := range probe[:looks-1] {
		if d <= most {
			return i
		}
	}
	return looks - 1
}

// Ages is what is known of how long stretches of one kind last, by bins of age.
type DurationModel struct {
	Exposure [ageBins]float64 `json:"exposure"` // seconds spent at an age
	Ends     [ageBins]float64 `json:"ends"`
}

func bin(age time.Duration) int {
	if age < time.Second {
		return 0
	}
	return min(ageBins-1, int(2*math.Log2(age.Seconds())))
}

// begin is the age at which a bin begins.
func begin(bin int) time.Duration {
	if bin == 0 {
		return 0
	}
	return time.Duration(math.Exp2(float64(bin)/2) * float64(time.Second))
}

// spend adds the time from one age to another, without an end.
func (a *DurationModel) spend(from, to time.Duration) {
	for b := bin(from); from < to && b < ageBins; b++ {
		until := to
		if b < ageBins-1 {
			until = min(to, begin(b+1))
		}
		a.Exposure[b] += max(0, until-from).Seconds()
		from = max(from, until)
	}
}

func (a *DurationModel) end(age time.Duration) {
	for i := range a.Ends {
		a.Ends[i] *= keepStretch
		a.Exposure[i] *= keepStretch
	}
	a.Ends[bin(age)]++
}

func (a *DurationModel) ended() (n float64) {
	for _, e := range a.Ends {
		n += e
	}
	return n
}

// hazard is the rate at which stretches of an age end, a second. Bins that have seen little lean on the mean of all.
func (a *DurationModel) hazard(b int, mean float64) float64 {
	return (a.Ends[b] + priorEnds) / (a.Exposure[b] + priorEnds/mean)
}

// mean is the rate of ends over all ages, a second; an hour's stretch is assumed before any was seen.
func (a *DurationModel) mean() float64 {
	exposure, ends := 0.0, 0.0
	for b := range a.Ends {
		exposure += a.Exposure[b]
		ends += a.Ends[b]
	}
	return (ends + 1) / (exposure + 3600)
}

// rates are the hazards of all bins.
func (a *DurationModel) rates() (out [ageBins]float64) {
	mean := a.mean()
	for b := range out {
		out[b] = a.hazard(b, mean)
	}
	return out
}

// survive is the chance that a stretch of an age lasts for d more.
func survive(rates *[ageBins]float64, age, d time.Duration) float64 {
	sum, to := 0.0, age+d
	for b := bin(age); age < to && b < ageBins; b++ {
		until := to
		if b < ageBins-1 {
			until = min(to, begin(b+1))
		}
		if until > age {
			sum += rates[b] * (until - age).Seconds()
			age = until
		}
	}
	return math.Exp(-sum)
}

// pending is a forecast that waits to be judged.
type pending struct {
	At int64            `json:"at"` // ms
	P  [experts]float64 `json:"p"`
}

// Site is what is known of one. Its size is fixed.
type Site struct {
	State             State                   `json:"state"`
	Since             int64                   `json:"since"` // ms: this stretch began, as far as was seen
	Seen              int64                   `json:"seen"`  // ms: last seen in this state
	Durations         [2]DurationModel        `json:"ages"`  // up; down
	UpSecondsByBin    [dayBins]float64        `json:"day_up"`
	SeenSecondsByBin  [dayBins]float64        `json:"day_all"`
	LastDayByBin      [dayBins]int64          `json:"day_at"` // the day that was counted last
	Weights           [looks][experts]float64 `json:"weights"`
	Pending           [looks][]pending        `json:"pending,omitempty"`
	OutagesOccurred   float64                 `json:"plan_yes"` // planned outages that came, and all, as they were seen
	OutagesPlanned    float64                 `json:"plan_all"`
	LastCountedOutage int64                   `json:"plan_seen"` // the latest outage that was counted, by its begin
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
		if x != nil && x.sound() {
			s.Sites[name] = x
		}
	}
	return nil
}

// sound tells that all numbers can be.
func (s *Site) sound() bool {
	ok := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	good := s.State >= Unknown && s.State <= Down && s.Seen >= s.Since && ok(s.OutagesOccurred) && ok(s.OutagesPlanned) && s.OutagesOccurred <= s.OutagesPlanned
	for i := range s.Durations {
		for b := range ageBins {
			good = good && ok(s.Durations[i].Exposure[b]) && ok(s.Durations[i].Ends[b])
		}
	}
	for b := range dayBins {
		good = good && ok(s.UpSecondsByBin[b]) && ok(s.SeenSecondsByBin[b]) && s.UpSecondsByBin[b] <= s.SeenSecondsByBin[b]*(1+1e-9)
	}
	for i := range looks {
		good = good && len(s.Pending[i]) <= pendings
		for e := range experts {
			good = good && ok(s.Weights[i][e])
		}
	}
	return good
}

// Span is a planned outage, in Unix ms.
type Span struct{ From, Until int64 }

func (s Span) covers(at int64) bool { return s.From <= at && at < s.Until }

func covering(calendar []Span, at int64) *Span {
	for i := range calendar {
		if calendar[i].covers(at) {
			return &calendar[i]
		}
	}
	return nil
}

// index of Ages.
func index(s State) int {
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
		x = &Site{State: state, Since: now, Seen: now, OutagesOccurred: calendarYes, OutagesPlanned: calendarAll}
		for i := range x.Weights {
			for e := range x.Weights[i] {
				x.Weights[i][e] = 1.0 / experts
			}
		}
		s.Sites[name] = x
	}
	if state == Unknown || now < x.Seen {
		return
	}
	x.judge(now, state)
	x.count(now, state)
	x.plan(now, state, calendar)
	since, seen := ms(x.Since), ms(x.Seen)
	if state == x.State {
		x.Durations[index(state)].spend(seen-since, ms(now)-since)
	} else { // it changed somewhere between: in the middle, as far as is known
		change := (x.Seen + now) / 2
		a := &x.Durations[index(x.State)]
		a.spend(seen-since, ms(change)-since)
		a.end(ms(change) - since)
		x.State, x.Since = state, change
		x.Durations[index(state)].spend(0, ms(now-change))
	}
	x.Seen = now
	x.expect(now)
}

func ms(t int64) time.Duration { return time.Duration(t) * time.Millisecond }

// hour is the bin of a time of day, and the day.
func hour(at int64) (bin int, day int64) {
	day = at / dayLength.Milliseconds()
	return int((at % dayLength.Milliseconds()) * dayBins / dayLength.Milliseconds()), day
}

// count adds to the hours of the day. Each look adds the time since the one before, at most a bin's.
func (x *Site) count(now int64, state State) {
	b, day := hour(now)
	if gone := day - x.LastDayByBin[b]; gone > 0 {
		keep := math.Pow(keepDay, float64(min(gone, 60)))
		x.UpSecondsByBin[b] *= keep
		x.SeenSecondsByBin[b] *= keep
		x.LastDayByBin[b] = day
	}
	spent := min(float64(now-x.Seen), float64(dayLength.Milliseconds()/dayBins)) / 1000
	x.SeenSecondsByBin[b] += spent
	if state == Up {
		x.UpSecondsByBin[b] += spent
	}
}

// plan counts whether planned outages come, once each.
func (x *Site) plan(now int64, state State, calendar []Span) {
	c := covering(calendar, now)
	if c == nil || c.From <= x.LastCountedOutage || now < c.From+(c.Until-c.From)/4 {
		return
	}
	x.LastCountedOutage = c.From
	x.OutagesOccurred, x.OutagesPlanned = x.OutagesOccurred*keepStretch, x.OutagesPlanned*keepStretch+1
	if state == Down {
		x.OutagesOccurred++
	}
}

// forecasts are what each expert says of being up at a time.
func (x *Site) forecasts(now, at int64) (p [experts]float64) {
	up, down := x.Durations[0].rates(), x.Durations[1].rates()
	total, ups := 0.0, 0.0
	for b := range dayBins {
		total += x.SeenSecondsByBin[b]
		ups += x.UpSecondsByBin[b]
	}
	mean := (ups + 60) / (total + 120)
	b, _ := hour(at)
	const lean = 120 // seconds of the mean that an hour's own count leans on
	p[0] = x.renewal(&up, &down, ms(now-x.Since), ms(at-now))
	p[1] = (x.UpSecondsByBin[b] + lean*mean) / (x.SeenSecondsByBin[b] + lean)
	p[2] = mean
	p[3] = 0.02
	if x.State == Up {
		p[3] = 0.98
	}
	for e := range p {
		p[e] = min(sure, max(1-sure, p[e]))
	}
	return p
}

// renewal follows the chances of both states through a look-ahead in even steps: the stretch that runs now with its age,
// and those that may begin later with theirs.
func (x *Site) renewal(up, down *[ageBins]float64, age, d time.Duration) float64 {
	if d <= 0 {
		if x.State == Up {
			return 1
		}
		return 0
	}
	rates := [2]*[ageBins]float64{up, down}
	mean := min(1/x.Durations[0].mean(), 1/x.Durations[1].mean())
	steps := max(leastSteps, min(mostSteps, int(stretchPart*d.Seconds()/mean)))
	dt := d / time.Duration(steps)
	var alive [2][mostSteps + 1]float64 // chance to have begun a stretch of this kind so many steps ago, and still be in it
	var last [2][mostSteps + 1]float64  // chance to last one more step, at that age
	for k := range steps + 1 {
		last[0][k], last[1][k] = survive(up, time.Duration(k)*dt, dt), survive(down, time.Duration(k)*dt, dt)
	}
	first, now := 1.0, index(x.State)
	for range steps {
		var begun [2]float64
		stay := survive(rates[now], age, dt)
		begun[1-now] += first * (1 - stay)
		first *= stay
		age += dt
		for kind := range 2 {
			for k := steps - 1; k >= 0; k-- {
				if alive[kind][k] == 0 {
					continue
				}
				begun[1-kind] += alive[kind][k] * (1 - last[kind][k])
				alive[kind][k+1] = alive[kind][k] * last[kind][k]
				alive[kind][k] = 0
			}
		}
		alive[0][0], alive[1][0] = begun[0], begun[1]
	}
	p := 0.0
	for _, c := range alive[0] {
		p += c
	}
	if now == 0 {
		p += first
	}
	return min(1, max(0, p))
}

// expect keeps forecasts to be judged when their time comes.
func (x *Site) expect(now int64) {
	for i := range looks {
		each := probe[i].Milliseconds() / pendings
		if n := len(x.Pending[i]); n >= pendings || n > 0 && x.Pending[i][n-1].At-probe[i].Milliseconds()+each > now {
			continue
		}
		at := now + probe[i].Milliseconds()
		x.Pending[i] = append(x.Pending[i], pending{at, x.forecasts(now, at)})
	}
}

// judge weighs the experts anew by what they said of now.
func (x *Site) judge(now int64, state State) {
	for i := range looks {
		for len(x.Pending[i]) > 0 && x.Pending[i][0].At <= now {
			f := x.Pending[i][0]
			x.Pending[i] = x.Pending[i][1:]
			if now-f.At > probe[i].Milliseconds()/4 {
				continue // it was out of sight then
			}
			w, sum := &x.Weights[i], 0.0
			for e := range experts {
				p := f.P[e]
				if state == Down {
					p = 1 - p
				}
				w[e] *= p
				sum += w[e]
			}
			for e := range experts {
				w[e] = (1-share)*w[e]/sum + share/experts
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
	p := x.forecasts(now, at)
	w, mix := &x.Weights[look(ms(at-now))], 0.0
	for e := range experts {
		mix += w[e] * p[e]
	}
	f := Forecast{UpProbability: mix, HasEvidence: min(x.Durations[0].ended(), x.Durations[1].ended()) >= enough*0.8}
	right := x.OutagesOccurred / max(1, x.OutagesPlanned)
	switch planned, present := covering(calendar, at), covering(calendar, now); {
	case planned != nil && (x.State == Down || planned != present):
		f.UpProbability *= 1 - right // it is expected, unless it is under way and the site is seen to be up
		f.HasEvidence = true
	case planned != nil: // planned for now, and it has not come so far
		f.UpProbability *= 1 - right*0.5
	case present != nil && x.State == Down: // the outage that is under way will be over by then
		f.UpProbability = right*max(f.UpProbability, p[2]) + (1-right)*f.UpProbability
		f.HasEvidence = true
	}
	f.UpProbability = min(sure, max(1-sure, f.UpProbability))
	return f
}

// Lasts is the chance that a site, once reached at a time, stays so for d.
func (s *Forecaster) StayUpProbability(now, at int64, name string, d time.Duration) float64 {
	x := s.Sites[name]
	if x == nil {
		return 0.5
	}
	up := x.Durations[0].rates()
	age := time.Duration(0)
	if x.State == Up {
		age = ms(max(at, now) - x.Since)
	}
	return survive(&up, age, d)
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
	reached, missed := map[string]int{}, map[string]int{}
	for _, list := range reports {
		answered := 0
		for _, e := range list {
			answered += e.Answered
		}
		for _, e := range list {
			switch {
			case e.Answered > 0:
				reached[e.Site]++
			case e.Unanswered >= silentEnough && answered > 0:
				missed[e.Site]++
			}
		}
	}
	out := map[string]State{}
	for site, n := range reached {
		if n >= missed[site] {
			out[site] = Up
		}
	}
	for site, n := range missed {
		if n > reached[site] {
			out[site] = Down
		}
	}
	return out
}

// silentEnough is how many attempts nothing has to come of: one or two are lost on any network.
const silentEnough = 3
