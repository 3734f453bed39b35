package rehearsal

import (
	"slices"
	"time"

	"merlinarch/logic"
)

// Rules counts how often each of the five rules was broken.
type Rules struct {
	Lost          int `json:"lost"`            // no answer in time though its router ran, two answers, or a strange one
	Doubled       int `json:"doubled"`         // two attempts out at once, a repeat or a refusal that the class forbids
	LateToDrained int `json:"late_to_drained"` // new work after the grace
	PushedOver    int `json:"pushed_over"`     // cold hosts that fell
	OverCap       int `json:"over_cap"`        // attempts at an unreleased build beyond the cap, or of a closed class
}

// Broken is the sum.
func (r Rules) Broken() int {
	return r.Lost + r.Doubled + r.LateToDrained + r.PushedOver + r.OverCap
}

// Referee watches what reaches hosts and clients, and what routers were told; it asks no router anything.
type Referee struct {
	w     *World
	rules Rules
	views []*view
	first []string // what was seen of the first few

	slack     time.Duration // on sockets times are a little longer
	slackMore float64       // and so many attempts and
	slackPart float64       // such a part of the cap more may pass
	harm      []float64     // by build
	trials    []int
}

// view is what one router has been told.
type view struct {
	news   ReleaseState
	lower  time.Duration // until then the cap before a lower one holds
	before float64
	gone   map[int]time.Duration // hosts that drain or are gone: when it was told
	taken  []request             // in the window
	sent   map[trialKey][]time.Duration
	froze  time.Duration // when a stall of it last ended
}

// request is one that a router took, and what it earned.
type request struct {
	at    time.Duration
	build int
	cap   float64
	class string
}

type trialKey struct {
	build int
	class string
}

// trial is what the referee notes on a try.
type trial struct {
	out      *Attempt
	ran      bool
	ranAt    time.Duration
	ranOn    *Host
	answers  int
	answerAt time.Duration
}

func newReferee(w *World, live bool) *Referee {
	f := &Referee{w: w, harm: make([]float64, len(w.s.Releases)+1), trials: make([]int, len(w.s.Releases)+1)}
	if live {
		f.slack, f.slackMore, f.slackPart = 50*time.Millisecond, 2, 0.04
	}
	for range w.s.Routers.Count {
		f.views = append(f.views, &view{})
	}
	return f
}

func (f *Referee) broken(rule *int, what string, x *Try) {
	*rule++
	if len(f.first) < 20 {
		text := what
		if x != nil {
			text += " (" + x.ID() + ", " + x.Class() + ")"
		}
		f.first = append(f.first, f.w.q.now.Round(time.Millisecond).String()+": "+text)
	}
}

func (f *Referee) booted(i int, known []Entry, news ReleaseState) {
	v := &view{news: news, gone: map[int]time.Duration{}, sent: map[trialKey][]time.Duration{}}
	f.views[i] = v
	for _, e := range known {
		f.listed(i, e)
	}
}

func (f *Referee) listed(i int, e Entry) {
	v := f.views[i]
	if e.State != logic.Ready && v.gone[e.Host.ID] == 0 {
		v.gone[e.Host.ID] = max(f.w.q.now, 1)
	}
}

func (f *Referee) news(i int, s ReleaseState) {
	v := f.views[i]
	if s.Build == v.news.Build && s.Cap < v.news.Cap { // a lower cap binds after the grace
		v.before, v.lower = v.news.Cap, f.w.q.now+f.w.s.Hosts.DrainGrace+2*f.slack
	} else if s.Build != v.news.Build {
		v.lower = 0
	}
	v.news = s
}

// cap is what a router may send to a build, as a part of its requests; open: the build is released.
func (f *Referee) cap(v *view, build int) (part float64, stage int, open bool) {
	if build > v.news.Build { // not announced: as in the first wave
		return f.w.s.Launcher.Cap[0], 0, false
	}
	if build < v.news.Build || v.news.Phase == logic.Released {
		return 1, 0, true
	}
	part = v.news.Cap
	if f.w.q.now < v.lower {
		part = max(part, v.before)
	}
	return part, v.news.Stage, false
}

// taken notes a request that a router owes an answer, and what it earns for the build on trial.
func (f *Referee) taken(x *Try) {
	v, now := f.views[x.Router], f.w.q.now
	part, _, open := f.cap(v, v.news.Build)
	build := v.news.Build
	if open {
		part, build = f.w.s.Launcher.Cap[0], v.news.Build+1
	}
	for len(v.taken) > 0 && v.taken[0].at <= now-f.w.s.Launcher.Window-f.slack {
		v.taken = v.taken[1:]
	}
	v.taken = append(v.taken, request{now, build, part, x.Class()})
}

// exposed checks an attempt at a build that is not released.
func (f *Referee) exposed(a *Attempt, v *view) {
	l, now := f.w.s.Launcher, f.w.q.now
	part, stage, open := f.cap(v, a.Host.Build)
	if open {
		return
	}
	f.trials[a.Host.Build]++
	class := ""
	if l.PerClass {
		class = a.Try.Class()
	}
	if stage < l.Closed && a.Try.Repeat() != "safe" && part > 0 {
		f.broken(&f.rules.OverCap, "a closed class at a build on trial", a.Try)
		return
	}
	k := trialKey{a.Host.Build, class}
	sent := append(v.sent[k], now)
	for sent[0] <= now-l.Window {
		sent = sent[1:]
	}
	v.sent[k] = sent
	allowed := float64(l.Free) + f.slackMore + 1e-9
	for _, r := range v.taken {
		if class != "" && r.class != class || r.at <= now-l.Window-f.slack {
			continue
		}
		switch {
		case r.build == a.Host.Build:
			allowed += r.cap + f.slackPart
		case r.build < a.Host.Build:
			allowed += l.Cap[0] + f.slackPart
		}
	}
	if float64(len(sent)) > allowed {
		f.broken(&f.rules.OverCap, "beyond the cap", a.Try)
	}
}

// attempt judges one that has reached a host.
func (f *Referee) attempt(a *Attempt) {
	v, x, now := f.views[a.Router], a.Try, f.w.q.now
	j, c := &x.judged, x.Request.class
	if j.out != nil && !j.out.over {
		f.second(a, j.out)
	}
	if j.answers > 0 && now > j.answerAt+f.slack {
		f.broken(&f.rules.Doubled, "sent after its final answer", x)
	}
	if j.ran {
		same := c.Group == "all" || c.Group == "zone" && a.Host.Site == j.ranOn.Site ||
			c.Group == "cell" && a.Host.Cell == j.ranOn.Cell
		if c.Repeat == "unsafe" || c.Repeat == "keyed" && (!same || now >= j.ranAt+c.Window) {
			f.broken(&f.rules.Doubled, "repeated though it may have run", x)
		}
	}
	j.out = a
	if at := v.gone[a.Host.ID]; at > 0 && a.SentAt > at+f.w.s.Hosts.DrainGrace+f.slack {
		f.broken(&f.rules.LateToDrained, "sent to a host that drains or is gone", x)
	}
	f.exposed(a, v)
}

// second notes two attempts out at once. Danger: on sockets the end of one and the begin of the next come on two
// connections, in any order; the first then ends at once.
func (f *Referee) second(a, earlier *Attempt) {
	check := func() {
		if !earlier.over {
			f.broken(&f.rules.Doubled, "two attempts out at once", a.Try)
		}
	}
	if f.slack > 0 {
		f.w.q.after(f.slack, check)
		return
	}
	check()
}

// ran notes the end of an attempt.
func (f *Referee) ran(a *Attempt, r Reply) {
	j := &a.Try.judged
	if r != TurnedAway && !j.ran {
		j.ran, j.ranAt, j.ranOn = true, a.SentAt, a.Host
	}
	if b := a.Host.Build; b > 0 && (r == Wrong || r == Erred && a.Try.Repeat() != "safe") {
		f.harm[b] += a.Try.Request.class.Worth
	}
}

func (f *Referee) fell(h *Host) {
	f.broken(&f.rules.PushedOver, "a cold host fell", nil)
	f.w.mark("a cold host fell", 0)
}

func (f *Referee) answered(x *Try, a Answer) {
	j, c := &x.judged, x.Request.class
	j.answers++
	j.answerAt = f.w.q.now
	switch {
	case j.answers > 1:
		f.broken(&f.rules.Lost, "answered twice", x)
	case a.Mismatched:
		f.broken(&f.rules.Lost, "served with another's answer", x)
	case a.Status == Refused && (j.ran || j.out != nil && !j.out.over) &&
		(c.Repeat == "unsafe" || c.Repeat == "keyed" && c.Group != "all"):
		f.broken(&f.rules.Doubled, "refused though it may have run", x)
	}
}

// late notes an answer that came once its client had gone; one that a stall of its router made late is no loss.
func (f *Referee) late(x *Try) {
	if f.views[x.Router].froze > x.SentAt {
		return
	}
	if x.judged.answers == 1 && x.judged.answerAt <= x.Until { // sent in time, but not in time to be there
		f.broken(&f.rules.Lost, "answered too late", x)
	}
}

// dropped notes a connection that its router ended without an answer.
func (f *Referee) dropped(x *Try) {
	if r := f.w.routers[x.Router]; r.up && r.life == x.life {
		f.broken(&f.rules.Lost, "its connection was ended without an answer", x)
	}
}

// unanswered notes a client that gave up. It is no loss where its router died or stood still meanwhile, or never
// had the time to answer.
func (f *Referee) unanswered(x *Try) {
	v := f.views[x.Router]
	r := f.w.routers[x.Router]
	if x.judged.answers > 0 || r.life != x.life || !r.up || v.froze > x.SentAt {
		return
	}
	f.broken(&f.rules.Lost, "no answer", x)
}

func sortTries(list []*Try) {
	slices.SortFunc(list, func(a, b *Try) int {
		if a.Request.ID != b.Request.ID {
			return a.Request.ID - b.Request.ID
		}
		return a.Number - b.Number
	})
}
