package rehearsal

import (
	"fmt"
	"math"
	"time"

	"merlinarch/internal/rehearsal/script"
	"merlinarch/logic"
)

// BuildReport is the part of a report about one release.
type BuildReport struct {
	Build    int     `json:"build"`
	Fault    string  `json:"fault,omitempty"`
	OfferedS float64 `json:"offered_s"`
	BackS    float64 `json:"back_s"`     // from the offer to the rollback vote that ended it; -1 if none did
	Released float64 `json:"released_s"` // from the offer to its release; -1 if it was not released
	Stage    int     `json:"stage"`      // the last stage that it reached, from 0
	End      string  `json:"end"`
	Attempts int     `json:"attempts"` // that reached it while it was not released
	Harm     float64 `json:"harm"`     // worth that its failing answers destroyed, as a fraction of all requests' worth
}

// launcher is the release platform. It starts hosts of a new build in stages, pushes the release state to the routers
// and acts on their votes.
type launcher struct {
	w                 *World
	release           ReleaseState
	baseBuild         int           // the build to roll back to
	readyAt           time.Duration // when the hosts of the stage were up
	ready             bool          // all hosts of the stage are up
	votes             map[int]vote  // the latest of each router
	tokens            float64       // token bucket that limits votes
	tokensAt          time.Duration
	launcherSilent    bool          // neither pushes nor replies
	addedReleaseDelay time.Duration // on pushes, by troubles
	buildReports      []BuildReport
	offeredAt         []time.Duration // by build report
}

// vote is a router's verdict on a stage of a build.
type vote struct {
	build, stage int
	verdict      logic.Verdict
	at           time.Duration
}

func newLauncher(w *World) launcher {
	return launcher{w: w, release: ReleaseState{Phase: logic.Released, Cap: 1, Stage: len(w.script.Launcher.Cap) - 1},
		votes: map[int]vote{}, tokens: 1}
}

// repeatRelease pushes the release state to every router periodically, since pushes can be lost.
func (l *launcher) repeatRelease() {
	l.w.queue.after(l.w.script.Launcher.Every, l.repeatRelease)
	l.announceRelease()
}

// announceRelease schedules a push of the release state to every router that is up.
func (l *launcher) announceRelease() {
	for i, r := range l.w.routers {
		if r.up {
			l.w.scheduleRelease(i)
		}
	}
}

// offer starts the trial of a build, and ends that of a build still on trial.
func (l *launcher) offer(build int) {
	if l.release.Phase == logic.OnTrial {
		l.currentReport().End = "taken off by the next"
	} else if l.release.Phase == logic.Released {
		l.baseBuild = l.release.Build
	}
	rel := l.w.script.Releases[build-1]
	l.buildReports = append(l.buildReports, BuildReport{Build: build, Fault: rel.Fault,
		OfferedS: (l.w.queue.now - l.w.lead).Seconds(), BackS: -1, Released: -1, End: "on trial"})
	l.offeredAt = append(l.offeredAt, l.w.queue.now)
	l.setRelease(ReleaseState{Build: build, Cap: l.w.script.Launcher.Cap[0]})
}

// currentReport returns the report of the latest release, or one that nobody reads if there is none.
func (l *launcher) currentReport() *BuildReport {
	if len(l.buildReports) == 0 {
		return &BuildReport{}
	}
	return &l.buildReports[len(l.buildReports)-1]
}

// setRelease changes the release state, starts the hosts that it calls for and announces it.
func (l *launcher) setRelease(s ReleaseState) {
	s.Since = l.w.queue.now
	l.release, l.ready = s, false
	clear(l.votes)
	l.w.addMark(fmt.Sprintf("build %d %s %d", s.Build, phaseName(s.Phase), s.Stage+1), 0)
	if s.Phase == logic.OnTrial {
		l.currentReport().Stage = s.Stage
	}
	l.rollOut()
	l.announceRelease()
	l.checkReady()
}

// phaseName returns the name of a phase in the marks of a report.
func phaseName(p logic.Phase) string {
	return [...]string{"wave", "going back", "released", "withdrawn"}[p]
}

// rollOut starts hosts where the release state calls for another build: the stage's share of the places gets the new
// build, the rest the base build.
func (l *launcher) rollOut() {
	w, s := l.w, l.release
	places := w.script.Hosts.Count
	newCount := 0
	if s.Phase == logic.OnTrial || s.Phase == logic.Released {
		newCount = min(places, max(1, int(math.Ceil(w.script.Launcher.Share[s.Stage]*float64(places)))))
	}
	for i := range places {
		p := w.places[i]
		wanted := l.baseBuild
		if i < newCount {
			wanted = s.Build
		}
		if p.wantedBuild != wanted && p.successor != nil { // no longer needed
			w.drain(p.successor)
			p.successor = nil
		}
		if serves := p.host; serves != nil && serves.Build == wanted && p.successor == nil && serves.phase != draining {
			p.wantedBuild = wanted
			continue
		}
		if p.wantedBuild != wanted || p.host == nil {
			w.launch(p, wanted, false)
		}
	}
}

// checkReady checks whether all hosts that the release state calls for are up. It then completes a rollback, or counts
// the votes after the stage's least time.
func (l *launcher) checkReady() {
	if l.ready {
		return
	}
	for _, p := range l.w.places {
		if p.successor != nil || p.host != nil && p.host.phase == booting {
			return
		}
	}
	l.ready, l.readyAt = true, l.w.queue.now
	if l.release.Phase == logic.RollingBack {
		s := l.release
		s.Phase = logic.Withdrawn
		l.setRelease(s)
		return
	}
	build, stage := l.release.Build, l.release.Stage
	l.w.queue.after(l.w.script.Launcher.Bake, func() {
		if l.release.Build == build && l.release.Stage == stage {
			l.countVotes()
		}
	})
}

// VoteReply is the launcher's reply to a vote. While it is silent it does not reply.
type VoteReply struct {
	Result  logic.VoteReply
	Release ReleaseState
}

// Vote takes a router's vote. It calls reply at most once, in a step of the world. A silent launcher records a vote
// with probability 0.5 but does not reply.
func (l *launcher) Vote(router, build, stage int, v logic.Verdict, reply func(VoteReply)) {
	replyLater := func(r VoteReply) { l.w.queue.after(l.w.drawBetween(l.w.script.Launcher.Call), func() { reply(r) }) }
	if l.launcherSilent {
		if l.w.rng.Float64() < 0.5 {
			l.recordVote(router, build, stage, v)
		}
		return
	}
	now := l.w.queue.now
	rate := l.w.script.Launcher.VotesPerSec
	l.tokens = min(max(1, rate), l.tokens+rate*(now-l.tokensAt).Seconds())
	l.tokensAt = now
	switch {
	case l.tokens < 1:
		replyLater(VoteReply{Result: logic.VoteThrottled})
	case !l.recordVote(router, build, stage, v):
		l.tokens--
		replyLater(VoteReply{Result: logic.VoteStale})
	default:
		l.tokens--
		replyLater(VoteReply{Result: logic.VoteCounted, Release: l.release})
	}
}

// recordVote records a vote, unless its build or stage is no longer current, and reports whether it did.
func (l *launcher) recordVote(router, build, stage int, v logic.Verdict) bool {
	s := l.release
	if build != s.Build || stage != s.Stage || s.Phase != logic.OnTrial && (s.Phase != logic.Released || s.Build == 0) {
		return false
	}
	l.votes[router] = vote{build, stage, v, l.w.queue.now}
	l.countVotes()
	return true
}

// countVotes acts on the votes that have not expired: one rollback vote sends the build back; else one vote to advance
// starts the next stage or releases the build, once the stage has lasted its least time.
func (l *launcher) countVotes() {
	s, now := l.release, l.w.queue.now
	advance := false
	for i := range l.w.routers {
		v, ok := l.votes[i]
		if !ok || v.build != s.Build || v.stage != s.Stage || now > v.at+l.w.script.Launcher.VoteLife {
			continue
		}
		if v.verdict == logic.VoteRollBack {
			r := l.currentReport()
			r.BackS, r.End = (now - l.offeredAt[len(l.offeredAt)-1]).Seconds(), "sent back"
			l.setRelease(ReleaseState{Build: s.Build, Stage: s.Stage, Phase: logic.RollingBack})
			return
		}
		advance = advance || v.verdict == logic.VoteAdvance
	}
	if !advance || s.Phase != logic.OnTrial || !l.ready || now < l.readyAt+l.w.script.Launcher.Bake {
		return
	}
	if s.Stage+1 < len(l.w.script.Launcher.Cap) {
		l.setRelease(ReleaseState{Build: s.Build, Stage: s.Stage + 1, Cap: l.w.script.Launcher.Cap[s.Stage+1]})
		return
	}
	r := l.currentReport()
	r.Released, r.End = (now - l.offeredAt[len(l.offeredAt)-1]).Seconds(), "released"
	l.setRelease(ReleaseState{Build: s.Build, Stage: s.Stage, Phase: logic.Released, Cap: 1})
}

// workFactor returns the factor by which the host's build, and builds that slow their neighbours, multiply the work
// of a request.
func (w *World) workFactor(h *Host, a *Attempt) float64 {
	factor, now := 1.0, w.queue.now
	slowdown := 0.0
	for i, r := range w.script.Releases {
		if r.Fault == "neighbours" && h.Build == i+1 {
			slowdown = r.Size
		}
	}
	w.neighbourHarm += 0.01 * (min(1, slowdown) - w.neighbourHarm)
	for _, r := range w.script.Releases {
		if r.Fault == "neighbours" {
			factor *= 1 + (r.Size-1)*w.neighbourHarm
		}
	}
	if h.Build == 0 {
		return factor
	}
	r := w.script.Releases[h.Build-1]
	factor /= r.Speed
	switch {
	case r.Fault == "slow", r.Fault == "late" && now > h.started+r.From, r.Fault == "load" && h.utilization() > r.Busy:
		if r.Fault == "slow" {
			return factor * r.Size
		}
		return factor * 1.5
	}
	return factor
}

// utilization returns the fraction of its slots that a host uses.
func (h *Host) utilization() float64 {
	return float64(len(h.running)) / float64(h.w.script.Hosts.Slots)
}

// faultyReply draws the reply of a build with a fault; Size is the probability that the fault strikes a request.
func (w *World) faultyReply(h *Host, r script.Release, a *Attempt) Reply {
	hit := w.rng.Float64() < r.Size
	switch {
	case !hit:
	case r.Fault == "errors", r.Fault == "class" && a.Try.Request.class.Name == r.Class,
		r.Fault == "late" && w.queue.now > h.started+r.From, r.Fault == "load" && h.utilization() > r.Busy:
		return Erred
	case r.Fault == "wrong":
		return Wrong
	}
	return Good
}
