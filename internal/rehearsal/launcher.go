package rehearsal

import (
	"fmt"
	"math"
	"time"

	"merlinarch/internal/rehearsal/script"
	"merlinarch/logic"
)

// BuildReport tells how one release went.
type BuildReport struct {
	Build    int     `json:"build"`
	Fault    string  `json:"fault,omitempty"`
	OfferedS float64 `json:"offered_s"`
	BackS    float64 `json:"back_s"`     // from the offer to the vote that sent it back; -1: none did
	Released float64 `json:"released_s"` // from the offer to its release; -1: it never was
	Stage    int     `json:"stage"`      // the last wave
	End      string  `json:"end"`
	Attempts int     `json:"attempts"` // at an unreleased build
	Harm     float64 `json:"harm"`     // worth that its failing answers spoilt, as a part of all worth asked
}

// launcher is the release platform.
type launcher struct {
	w        *World
	standing ReleaseState
	base     int // the build to go back to
	upAt     time.Duration
	ready    bool // all hosts of the wave are up
	votes    map[int]vote
	tokens   float64
	tokensAt time.Duration
	silent   bool
	newsLate time.Duration
	reports  []BuildReport
	since    []time.Duration
}

type vote struct {
	build, stage int
	verdict      logic.Verdict
	at           time.Duration
}

func newLauncher(w *World) launcher {
	return launcher{w: w, standing: ReleaseState{Phase: logic.Released, Cap: 1, Stage: len(w.s.Launcher.Cap) - 1},
		votes: map[int]vote{}, tokens: 1}
}

// tellAgain tells every router the standing from time to time.
func (l *launcher) tellAgain() {
	l.w.q.after(l.w.s.Launcher.Every, l.tellAgain)
	l.informAll()
}

func (l *launcher) informAll() {
	for i, r := range l.w.routers {
		if r.up {
			l.w.inform(i)
		}
	}
}

// offer begins the trial of a build; one still on trial is taken off.
func (l *launcher) offer(build int) {
	if l.standing.Phase == logic.OnTrial {
		l.report().End = "taken off by the next"
	} else if l.standing.Phase == logic.Released {
		l.base = l.standing.Build
	}
	rel := l.w.s.Releases[build-1]
	l.reports = append(l.reports, BuildReport{Build: build, Fault: rel.Fault, OfferedS: (l.w.q.now - l.w.lead).Seconds(),
		BackS: -1, Released: -1, End: "on trial"})
	l.since = append(l.since, l.w.q.now)
	l.enter(ReleaseState{Build: build, Cap: l.w.s.Launcher.Cap[0]})
}

func (l *launcher) report() *BuildReport {
	if len(l.reports) == 0 {
		return &BuildReport{}
	}
	return &l.reports[len(l.reports)-1]
}

// enter takes a new standing, tells it, and starts the hosts that it asks for.
func (l *launcher) enter(s ReleaseState) {
	s.Since = l.w.q.now
	l.standing, l.ready = s, false
	clear(l.votes)
	l.w.mark(fmt.Sprintf("build %d %s %d", s.Build, phaseName(s.Phase), s.Stage+1), 0)
	if s.Phase == logic.OnTrial {
		l.report().Stage = s.Stage
	}
	l.roll()
	l.informAll()
	l.settled()
}

func phaseName(p logic.Phase) string {
	return [...]string{"wave", "going back", "released", "withdrawn"}[p]
}

// roll starts hosts of the builds that the standing asks for.
func (l *launcher) roll() {
	w, s := l.w, l.standing
	places := w.s.Hosts.Count
	n := 0
	if s.Phase == logic.OnTrial || s.Phase == logic.Released {
		n = min(places, max(1, int(math.Ceil(w.s.Launcher.Share[s.Stage]*float64(places)))))
	}
	for i := range places {
		p := w.places[i]
		want := l.base
		if i < n {
			want = s.Build
		}
		if p.want != want && p.next != nil { // not needed any more
			w.drain(p.next)
			p.next = nil
		}
		if serves := p.host; serves != nil && serves.Build == want && p.next == nil && serves.phase != draining {
			p.want = want
			continue
		}
		if p.want != want || p.host == nil {
			w.launch(p, want, false)
		}
	}
}

// settled looks whether the hosts that the standing asks for are up.
func (l *launcher) settled() {
	if l.ready {
		return
	}
	for _, p := range l.w.places {
		if p.next != nil || p.host != nil && p.host.phase == booting {
			return
		}
	}
	l.ready, l.upAt = true, l.w.q.now
	if l.standing.Phase == logic.RollingBack {
		s := l.standing
		s.Phase = logic.Withdrawn
		l.enter(s)
		return
	}
	build, stage := l.standing.Build, l.standing.Stage
	l.w.q.after(l.w.s.Launcher.Bake, func() {
		if l.standing.Build == build && l.standing.Stage == stage {
			l.count()
		}
	})
}

// VoteReply is how the launcher takes a vote; no reply at all comes while it is silent.
type VoteReply struct {
	Result  logic.VoteReply
	Release ReleaseState
}

// Vote takes a router's vote; reply is called at most once, in a step of the world.
func (l *launcher) Vote(router, build, stage int, v logic.Verdict, reply func(VoteReply)) {
	late := func(r VoteReply) { l.w.q.after(l.w.within(l.w.s.Launcher.Call), func() { reply(r) }) }
	if l.silent {
		if l.w.draws.Float64() < 0.5 {
			l.cast(router, build, stage, v)
		}
		return
	}
	now := l.w.q.now
	rate := l.w.s.Launcher.VotesPerSec
	l.tokens = min(max(1, rate), l.tokens+rate*(now-l.tokensAt).Seconds())
	l.tokensAt = now
	switch {
	case l.tokens < 1:
		late(VoteReply{Result: logic.VoteThrottled})
	case !l.cast(router, build, stage, v):
		l.tokens--
		late(VoteReply{Result: logic.VoteStale})
	default:
		l.tokens--
		late(VoteReply{Result: logic.VoteCounted, Release: l.standing})
	}
}

// cast counts a vote, unless it is about what no longer is.
func (l *launcher) cast(router, build, stage int, v logic.Verdict) bool {
	s := l.standing
	if build != s.Build || stage != s.Stage || s.Phase != logic.OnTrial && (s.Phase != logic.Released || s.Build == 0) {
		return false
	}
	l.votes[router] = vote{build, stage, v, l.w.q.now}
	l.count()
	return true
}

// count acts on the votes that stand.
func (l *launcher) count() {
	s, now := l.standing, l.w.q.now
	on := false
	for i := range l.w.routers {
		v, ok := l.votes[i]
		if !ok || v.build != s.Build || v.stage != s.Stage || now > v.at+l.w.s.Launcher.VoteLife {
			continue
		}
		if v.verdict == logic.VoteRollBack {
			r := l.report()
			r.BackS, r.End = (now - l.since[len(l.since)-1]).Seconds(), "sent back"
			l.enter(ReleaseState{Build: s.Build, Stage: s.Stage, Phase: logic.RollingBack})
			return
		}
		on = on || v.verdict == logic.VoteAdvance
	}
	if !on || s.Phase != logic.OnTrial || !l.ready || now < l.upAt+l.w.s.Launcher.Bake {
		return
	}
	if s.Stage+1 < len(l.w.s.Launcher.Cap) {
		l.enter(ReleaseState{Build: s.Build, Stage: s.Stage + 1, Cap: l.w.s.Launcher.Cap[s.Stage+1]})
		return
	}
	r := l.report()
	r.Released, r.End = (now - l.since[len(l.since)-1]).Seconds(), "released"
	l.enter(ReleaseState{Build: s.Build, Stage: s.Stage, Phase: logic.Released, Cap: 1})
}

// burden is how many times its work a request takes at a host, by what its build does.
func (w *World) burden(h *Host, a *Attempt) float64 {
	times, now := 1.0, w.q.now
	harmful := 0.0
	for i, r := range w.s.Releases {
		if r.Fault == "neighbours" && h.Build == i+1 {
			harmful = r.Size
		}
	}
	w.harmful += 0.01 * (min(1, harmful) - w.harmful)
	for _, r := range w.s.Releases {
		if r.Fault == "neighbours" {
			times *= 1 + (r.Size-1)*w.harmful
		}
	}
	if h.Build == 0 {
		return times
	}
	r := w.s.Releases[h.Build-1]
	times /= r.Speed
	switch {
	case r.Fault == "slow", r.Fault == "late" && now > h.started+r.From, r.Fault == "load" && h.busy() > r.Busy:
		if r.Fault == "slow" {
			return times * r.Size
		}
		return times * 1.5
	}
	return times
}

// busy is the part of its slots that a host uses.
func (h *Host) busy() float64 { return float64(len(h.running)) / float64(h.w.s.Hosts.Slots) }

// fails is what a faulty build makes of an answer.
func (w *World) fails(h *Host, r script.Release, a *Attempt) Reply {
	hit := w.draws.Float64() < r.Size
	switch {
	case !hit:
	case r.Fault == "errors", r.Fault == "class" && a.Try.Request.class.Name == r.Class,
		r.Fault == "late" && w.q.now > h.started+r.From, r.Fault == "load" && h.busy() > r.Busy:
		return Erred
	case r.Fault == "wrong":
		return Wrong
	}
	return Good
}
