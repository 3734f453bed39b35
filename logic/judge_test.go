package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// referencePValue computes the p-value of harmPValue one observation at a time, by the formula of the paper: each
// observation has an arm a (1: new build) and an outcome y (1: served in time).
func referencePValue(rng *rand.Rand, c Counts, margin float64) float64 {
	type observation struct{ a, y float64 }
	var data []observation
	addObservations := func(n uint32, o observation) { data = append(data, slices.Repeat([]observation{o}, int(n))...) }
	addObservations(c.Old.Attempts-c.Old.Missed, observation{0, 1})
	addObservations(c.Old.Missed, observation{0, 0})
	addObservations(c.New.Attempts-c.New.Missed, observation{1, 1})
	addObservations(c.New.Missed, observation{1, 0})
	n := float64(len(data))
	var sumA, sumY1, sumY0 float64
	for _, o := range data {
		sumA += o.a
		sumY1 += o.a * o.y
		sumY0 += (1 - o.a) * o.y
	}
	p, mOld, mNew := sumA/n, sumY0/(n-sumA), sumY1/sumA
	mu := make([]float64, len(data))
	mean, square := 0.0, 0.0
	for i, o := range data {
		mu[i] = (mOld - mNew) + (1-o.a)/(1-p)*(o.y-mOld) - o.a/p*(o.y-mNew) - margin
		mean += mu[i] / n
	}
	for _, m := range mu {
		square += (m - mean) * (m - mean)
	}
	sigma := math.Sqrt(square / (n - 1))
	cauchy := 0.0
	for range 20 {
		rng.Shuffle(len(mu), func(i, j int) { mu[i], mu[j] = mu[j], mu[i] })
		startUp := rng.Uint64()&1 == 0
		stat := 0.0
		for i, m := range mu {
			sign := -1.0
			if stat > 0 || i == 0 && startUp {
				sign = 1
			}
			stat += sign * m / (math.Sqrt(n) * sigma)
		}
		phi := 0.5 * (1 + math.Erf(-math.Abs(stat)/math.Sqrt2))
		cauchy += math.Tan((0.5-math.Max(2*phi, 1e-15))*math.Pi) / 20
	}
	return 0.5 - math.Atan(cauchy)/math.Pi
}

// harmPValue, which works on sums, must agree with the observation-wise formula.
func TestHarmPValueMatchesReference(t *testing.T) {
	for _, c := range []Counts{
		{Old: Arm{Attempts: 200, Missed: 10}, New: Arm{Attempts: 20, Missed: 4}},
		{Old: Arm{Attempts: 50, Missed: 1}, New: Arm{Attempts: 3, Missed: 1}},
		{Old: Arm{Attempts: 30, Missed: 6}, New: Arm{Attempts: 60, Missed: 12}},
		{Old: Arm{Attempts: 400, Missed: 4}, New: Arm{Attempts: 40, Missed: 0}},
	} {
		for seed := range uint64(5) {
			got := harmPValue(rand.New(rand.NewPCG(seed, 1)), c.Old.Attempts, c.Old.Missed, c.New.Attempts, c.New.Missed, 0.02)
			want := referencePValue(rand.New(rand.NewPCG(seed, 1)), c, 0.02)
			if math.Abs(got-want) > 1e-6 {
				t.Errorf("%+v seed %d: p-value %.9f, the formula gives %.9f", c, seed, got, want)
			}
		}
	}
}

// The test must reject clear harm for nearly all random orderings, and hardly ever reject a harmless build.
func TestHarmPValueRejections(t *testing.T) {
	cases := []struct {
		name                       string
		oldN, oldBad, newN, newBad uint32
		rejects                    bool
	}{
		{"clear harm", 400, 8, 40, 20, true},
		{"no harm", 400, 8, 40, 1, false},
		{"better than the old build", 400, 80, 40, 1, false},
		{"harm within the margin", 2000, 20, 200, 4, false},
		{"no variance", 100, 0, 20, 0, false},
		{"no outcomes of the new build", 100, 5, 0, 0, false},
		{"no outcomes of the old build", 0, 0, 20, 10, false},
		{"one outcome each", 1, 0, 1, 0, false},
		{"clear harm in few outcomes", 100, 2, 5, 5, true},
	}
	for _, c := range cases {
		rejected := 0
		for seed := range uint64(50) {
			if harmPValue(rand.New(rand.NewPCG(seed, 3)), c.oldN, c.oldBad, c.newN, c.newBad, missedMargin) < significanceLevel {
				rejected++
			}
		}
		if c.rejects && rejected < 48 || !c.rejects && rejected > 2 {
			t.Errorf("%s: rejected for %d of 50 seeds, want rejection %v", c.name, rejected, c.rejects)
		}
	}
}

// The walk adds the next value while its sum is positive and subtracts it otherwise.
func TestWalk(t *testing.T) {
	cases := []struct {
		scores  []float64
		startUp bool
		want    float64
	}{
		{[]float64{1, -2, 3}, true, -2},   // 0.5; 0.5-1 = -0.5; -0.5-1.5
		{[]float64{1, -2, 3}, false, 2},   // -0.5; -0.5+1 = 0.5; 0.5+1.5
		{[]float64{1, 1, 1}, true, 1.5},   // positive scores (harm) move the sum away from zero,
		{[]float64{1, 1, 1}, false, -1.5}, // in either direction
		{[]float64{-1, -1, -1}, true, 0.5},
		{nil, true, 0},
	}
	for _, c := range cases {
		if got := walk(c.scores, 0.5, c.startUp); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("walk(%v, startUp %v) = %v, want %v", c.scores, c.startUp, got, c.want)
		}
	}
}

// Each build has votersPerBuild voters, and each router votes on some of the builds.
func TestThreeVotersByHash(t *testing.T) {
	isVoter := map[int]bool{}
	for b := BuildID(1); b < 200; b++ {
		voters := 0
		for self := range 9 {
			settings := testSettings()
			settings.Self, settings.RouterCount = self, 9
			if slices.Contains(New(settings, 1).votersOf(b), settings.Self) {
				voters++
				isVoter[self] = true
			}
		}
		if voters != votersPerBuild {
			t.Fatalf("build %d has %d voters", b, voters)
		}
	}
	if len(isVoter) != 9 {
		t.Errorf("only %d of 9 routers ever vote", len(isVoter))
	}
}

// newVoter returns a harness whose router is the first voter on build 2, at the first stage of its trial. It knows
// one server, of build 1.
func newVoter(t *testing.T) *harness {
	t.Helper()
	for self := range 3 {
		settings := testSettings()
		settings.Self = self
		if New(settings, 1).votersOf(2)[0] == settings.Self {
			g := newHarness(t, settings, 11)
			g.setServers(testServer(1))
			g.setRelease(1, 2, Released, 1)
			g.setRelease(2, 0, OnTrial, 0.1)
			return g
		}
	}
	t.Fatal("no first voter")
	return nil
}

// receiveReport passes a peer's report on build 2 to the router, with the same counts for the stage and the build.
func (g *harness) receiveReport(from int, incarnation uint32, stage int, c Counts) {
	g.t.Helper()
	m := Report{Incarnation: incarnation, Build: 2, Stage: stage, StageCounts: c, BuildCounts: c}
	g.feed(PeerMessage{From: from, Data: m.Encode()})
}

// peerNumber returns the number of another router.
func (g *harness) peerNumber() int { return (g.router.settings.Self + 1) % 3 }

// Pooled counts of a new build that does no harm, that misses many latency targets, and that answers with errors.
var (
	harmlessCounts = Counts{Old: Arm{Attempts: 300, Missed: 5}, New: Arm{Attempts: 30, Missed: 0}}
	harmfulCounts  = Counts{Old: Arm{Attempts: 300, Missed: 5}, New: Arm{Attempts: 30, Missed: 20}}
	failingCounts  = Counts{Old: Arm{Attempts: 300, Missed: 5}, New: Arm{Attempts: 30, Missed: 10, Errors: 10}}
)

// The verdict and the time of the first vote depend on the counts, the listing of a server of the new build, and the
// stage timeout.
func TestVotes(t *testing.T) {
	cases := []struct {
		name   string
		counts Counts
		listed bool
		wait   time.Duration
		want   []Verdict
	}{
		{"no harm", harmlessCounts, true, 2 * time.Second, []Verdict{VoteAdvance}},
		{"harm", harmfulCounts, true, 2 * time.Second, []Verdict{VoteRollBack}},
		{"errors do not wait for the sample size", failingCounts, false, 2 * time.Second, []Verdict{VoteRollBack}},
		{"sample size reached, no server listed", harmlessCounts, false, 2 * time.Second, nil},
		{"stage timeout without outcomes", Counts{}, true, 6 * time.Second, []Verdict{VoteAdvance}},
		{"before the stage timeout", Counts{}, true, 4 * time.Second, nil},
		{"no server ever listed", Counts{}, false, 11 * time.Second, []Verdict{VoteAdvance}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newVoter(t)
			g.advance(100 * ms)
			if c.listed {
				g.feed(ServersListed{Servers: []Server{testServer(2, withBuild(2))}})
			}
			g.receiveReport(g.peerNumber(), 5, 0, c.counts)
			g.advance(c.wait)
			var got []Verdict
			for _, v := range g.votes {
				got = append(got, v.Verdict)
				if v.Build != 2 || v.Stage != 0 {
					t.Errorf("vote %+v", v)
				}
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("votes %v, want %v", got, c.want)
			}
		})
	}
}

// A vote is renewed before it expires, and cast again after a pause if it did not count or was not answered, until
// the stage changes.
func TestVoteIsCastAgain(t *testing.T) {
	cases := []struct {
		reply   VoteReply
		noReply bool
		pause   time.Duration // approximate time until the next vote
	}{
		{reply: VoteCounted, pause: 3 * time.Second}, // renewed before it expires
		{reply: VoteStale, pause: voteRetryPause},
		{reply: VoteThrottled, pause: voteRetryPause},
		{reply: VoteError, pause: voteRetryPause},
		{reply: VoteTimedOut, pause: voteRetryPause},
		{noReply: true, pause: 800*ms + voteRetryPause},
	}
	for _, c := range cases {
		g := newVoter(t)
		g.advance(100 * ms)
		g.feed(ServersListed{Servers: []Server{testServer(2, withBuild(2))}})
		g.advance(5200 * ms)
		if len(g.votes) != 1 {
			t.Fatalf("%d votes, want 1", len(g.votes))
		}
		if !c.noReply {
			g.feed(ReleaseStatus{Build: 2, Phase: OnTrial, Cap: 0.1, IsReply: true, Reply: c.reply})
		}
		g.advance(c.pause - 300*ms)
		if len(g.votes) != 1 {
			t.Errorf("reply %v: the vote was cast again too early", c.reply)
		}
		g.advance(time.Second)
		if len(g.votes) != 2 {
			t.Errorf("reply %v: %d votes, want 2", c.reply, len(g.votes))
		}
		g.setRelease(2, 1, OnTrial, 0.5)
		n := len(g.votes)
		g.advance(900 * ms)
		if len(g.votes) != n {
			t.Errorf("reply %v: the vote was cast again after the stage had changed", c.reply)
		}
	}
}

// With AutoAdvance, stages advance without votes, so a router votes only to roll back.
func TestNoAdvanceVotesWithAutoAdvance(t *testing.T) {
	for _, c := range []struct {
		counts Counts
		want   int
	}{{harmlessCounts, 0}, {harmfulCounts, 1}} {
		g := newVoter(t)
		g.router.settings.Rollout.AutoAdvance = true
		g.advance(100 * ms)
		g.feed(ServersListed{Servers: []Server{testServer(2, withBuild(2))}})
		g.receiveReport(g.peerNumber(), 5, 0, c.counts)
		g.advance(1500 * ms)
		if len(g.votes) != c.want {
			t.Errorf("votes %v, want %d", g.votes, c.want)
		}
	}
}

// Few errors among few answers are enough for the Poisson test of the guard, where the walk has no power yet. The
// same errors among many answers, or at the old build's rate, are not harm.
func TestGuardDetectsFewErrors(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts Counts
		want   bool
	}{
		{"five of 116", Counts{Old: Arm{Attempts: 1641, Errors: 1}, New: Arm{Attempts: 116, Errors: 5}}, true},
		{"three of 116", Counts{Old: Arm{Attempts: 1641, Errors: 1}, New: Arm{Attempts: 116, Errors: 3}}, false},
		{"five of 900", Counts{Old: Arm{Attempts: 1641, Errors: 1}, New: Arm{Attempts: 900, Errors: 5}}, false},
		{"same rate at the old build", Counts{Old: Arm{Attempts: 1641, Errors: 70}, New: Arm{Attempts: 116, Errors: 5}}, false},
	} {
		g := newVoter(t)
		if got := g.router.errorsIncreased(c.counts); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	for _, c := range []struct {
		mean float64
		n    uint32
		want float64
	}{{1, 0, 1}, {1, 1, 0.6321}, {2, 4, 0.1429}, {0.63, 5, 0.000489}} {
		if got := poissonTail(c.mean, c.n); math.Abs(got-c.want) > 1e-4 {
			t.Errorf("poissonTail(%v, %d) = %v, want %v", c.mean, c.n, got, c.want)
		}
	}
}

// If servers of both builds begin to fail in the middle of a trial, the new build gets most of its answers after that
// time and the old build most of its own before it. A comparison of the sums would roll a good build back (30 errors
// of 385 answers against 211 of 6,325, although 6 of 100 of both builds failed in the last stage). So the guard
// compares errors within short spans.
func TestGuardComparesWithinSpans(t *testing.T) {
	type second struct{ oldN, oldErr, newN, newErr uint32 }
	healthy, failing := second{400, 0, 4, 0}, second{250, 20, 100, 8}
	for _, c := range []struct {
		name       string
		seconds    []second
		rolledBack bool
	}{
		{"servers of both builds begin to fail", []second{healthy, healthy, healthy, healthy, healthy, failing, failing,
			failing, failing}, false},
		{"only the new build fails", []second{healthy, healthy, healthy, {300, 0, 60, 5}, {300, 0, 60, 5}}, true},
		{"the new build fails more than the old one", []second{healthy, healthy, failing, {250, 20, 100, 30}, {250, 20, 100, 30}}, true},
		{"no old server is left", []second{healthy, healthy, healthy, {0, 0, 300, 20}, {0, 0, 300, 20}}, true},
	} {
		g := newVoter(t)
		counts := Counts{}
		for _, s := range c.seconds {
			for range 4 { // reports come four times a second
				counts.Old.add(Arm{Attempts: s.oldN, Missed: s.oldErr, Errors: s.oldErr})
				counts.New.add(Arm{Attempts: s.newN, Missed: s.newErr, Errors: s.newErr})
				g.receiveReport(g.peerNumber(), 5, 0, counts)
				g.advance(250 * ms)
			}
		}
		rolledBack := slices.ContainsFunc(g.votes, func(v Vote) bool { return v.Verdict == VoteRollBack })
		if rolledBack != c.rolledBack {
			t.Errorf("%s: rolled back %v, want %v (%v)", c.name, rolledBack, c.rolledBack, counts)
		}
	}
}

// A restarted voter gets all counts from before its restart in the peers' first reports. It must not take them for
// one span, in which the builds cannot be compared; it uses the counts that come later.
func TestRestartedVoterIgnoresEarlierCounts(t *testing.T) {
	counts := Counts{Old: Arm{Attempts: 6000, Missed: 100, Errors: 100}, New: Arm{Attempts: 500, Missed: 40, Errors: 40}}
	g := newVoter(t)
	restarted := newHarness(t, g.router.settings, 12)
	restarted.setServers(testServer(1))
	restarted.setRelease(2, 1, OnTrial, 0.4)
	for range 6 {
		restarted.receiveReport(restarted.peerNumber(), 5, 1, counts)
		restarted.advance(time.Second)
	}
	if len(restarted.votes) > 0 && restarted.votes[0].Verdict == VoteRollBack {
		t.Errorf("votes %v, based on counts from before the restart", restarted.votes)
	}
	for range 8 {
		counts.New.add(Arm{Attempts: 50, Missed: 25, Errors: 25})
		counts.Old.add(Arm{Attempts: 300, Missed: 3, Errors: 3})
		restarted.receiveReport(restarted.peerNumber(), 5, 1, counts)
		restarted.advance(time.Second)
	}
	if !slices.ContainsFunc(restarted.votes, func(v Vote) bool { return v.Verdict == VoteRollBack }) {
		t.Errorf("votes %v, want one to roll back a build that fails after the restart", restarted.votes)
	}
}

// The guard against errors may still roll a build back after its release.
func TestGuardAfterTheRelease(t *testing.T) {
	g := newVoter(t)
	g.feed(ServersListed{Servers: []Server{testServer(2, withBuild(2))}})
	g.setRelease(2, 2, Released, 1)
	g.receiveReport(g.peerNumber(), 5, 3, failingCounts)
	g.advance(time.Second)
	if len(g.votes) != 1 || g.votes[0].Verdict != VoteRollBack {
		t.Fatalf("votes %v, want one to roll back", g.votes)
	}
}

// A build is rolled back for slow answers only if there are testSampleSize of its answers; a single slow one must not
// do it.
func TestSlowTestNeedsOutcomes(t *testing.T) {
	for _, c := range []struct {
		n, slow uint32
		want    Verdict
	}{{1, 1, VoteAdvance}, {40, 30, VoteRollBack}, {40, 12, VoteAdvance}} {
		g := newVoter(t)
		g.advance(100 * ms)
		g.feed(ServersListed{Servers: []Server{testServer(2, withBuild(2))}})
		g.receiveReport(g.peerNumber(), 5, 0, Counts{Old: Arm{Attempts: 300, Measured: 300, Slow: 75},
			New: Arm{Attempts: c.n, Measured: c.n, Slow: c.slow}})
		g.advance(6 * time.Second)
		if len(g.votes) == 0 || g.votes[0].Verdict != c.want {
			t.Errorf("%d slow of %d: votes %v, want %v", c.slow, c.n, g.votes, c.want)
		}
	}
}

// The guard against builds that slow the whole fleet rolls back only if both arms became slower than before the
// trial, the build has much traffic, and no burst of demand explains the slowness. Requests must also miss their
// targets, or be much slower with a mean latency that is a large part of the target.
func TestFleetSlowed(t *testing.T) {
	slowCounts := func(oldSlow, newSlow uint32) Counts {
		return Counts{Old: Arm{Attempts: 100, Measured: 100, Slow: oldSlow, Missed: oldSlow / 4},
			New: Arm{Attempts: 100, Measured: 100, Slow: newSlow, Missed: newSlow / 4}}
	}
	slowInTime := func(slow uint32) Counts {
		return Counts{Old: Arm{Attempts: 200, Measured: 200, Slow: slow}, New: Arm{Attempts: 200, Measured: 200, Slow: slow}}
	}
	cases := []struct {
		name   string
		counts Counts
		cap    float64
		demand float64 // as a multiple of the usual demand
		want   bool
	}{
		{"both arms slower", slowCounts(80, 80), 0.5, 1, true},
		{"as before the trial", slowCounts(25, 25), 0.5, 1, false},
		{"only old servers: some are down or faulty", slowCounts(80, 25), 0.5, 1, false},
		{"only new servers: found by the other tests", slowCounts(25, 80), 0.5, 1, false},
		{"a burst of demand", slowCounts(80, 80), 0.5, 1.5, false},
		{"slower, but within the target", slowInTime(95), 0.5, 1, false},
		{"much slower, though within the target", slowInTime(160), 0.5, 1, true},
		{"much slower, but far from the target", slowInTime(161), 0.5, 1, false},
		{"little traffic at the new build", slowCounts(80, 80), 0.1, 1, false},
		{"few outcomes", Counts{Old: Arm{Attempts: 5, Measured: 5, Slow: 5}, New: Arm{Attempts: 5, Measured: 5, Slow: 5}}, 0.5, 1, false},
	}
	for _, c := range cases {
		g := newVoter(t)
		class := g.router.classes["read"]
		class.slowThreshold, class.baselineAnswers, class.meanSeconds = 0.1, uint32(len(class.recentSeconds)),
			0.3*class.LatencyTarget.Seconds()
		if strings.Contains(c.name, "far") {
			class.meanSeconds /= 3
		}
		g.router.usualDemand, g.router.demand, g.router.release.Cap = 10, 10*c.demand, c.cap
		if got := g.router.fleetSlowed(c.counts); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		// A stage's counts still contain the effect of a burst that has just ended.
		g.router.demand = 10
		if c.demand > 1 && g.router.fleetSlowed(c.counts) {
			t.Errorf("%s: rejected by its counts after the burst had ended", c.name)
		}
	}
}

// Where no old server is left, old servers' earlier answers are no evidence that the fleet is fast, so the new
// build's answers alone decide. Few outcomes still are not enough.
func TestFleetSlowedWithoutOldServers(t *testing.T) {
	for _, c := range []struct {
		hasOldServer bool
		n            uint32
		want         bool
	}{{true, 200, false}, {false, 200, true}, {false, 5, false}} {
		g := newVoter(t)
		class := g.router.classes["read"]
		class.slowThreshold, class.baselineAnswers = 0.1, uint32(len(class.recentSeconds))
		g.router.usualDemand, g.router.demand, g.router.release.Cap = 10, 10, 1
		if !c.hasOldServer {
			g.router.base.all = nil
		}
		counts := Counts{Old: Arm{Attempts: 300, Measured: 300, Slow: 70},
			New: Arm{Attempts: c.n, Measured: c.n, Slow: c.n * 8 / 10, Missed: c.n / 5}}
		if got := g.router.fleetSlowed(counts); got != c.want {
			t.Errorf("old server left: %v, %d outcomes: %v, want %v", c.hasOldServer, c.n, got, c.want)
		}
	}
}

// Peers' reports are cumulative: of each incarnation of a peer the newest counts, and incarnations are added. Reports
// that are malformed, impossible or of another stage do not count.
func TestPooledCounts(t *testing.T) {
	fewer := Counts{Old: Arm{Attempts: 10, Missed: 1}, New: Arm{Attempts: 2, Missed: 1}}
	more := Counts{Old: Arm{Attempts: 20, Missed: 2}, New: Arm{Attempts: 4, Missed: 1}}
	cases := []struct {
		name    string
		receive func(g *harness)
		want    uint32 // pooled attempts at the old build
	}{
		{"a newer report replaces an older one", func(g *harness) {
			g.receiveReport(g.peerNumber(), 1, 0, fewer)
			g.receiveReport(g.peerNumber(), 1, 0, more)
		}, 20},
		{"the same report twice", func(g *harness) {
			g.receiveReport(g.peerNumber(), 1, 0, more)
			g.receiveReport(g.peerNumber(), 1, 0, more)
		}, 20},
		{"an older report arrives late", func(g *harness) {
			g.receiveReport(g.peerNumber(), 1, 0, more)
			g.receiveReport(g.peerNumber(), 1, 0, fewer)
		}, 20},
		{"a restarted peer's counts are added", func(g *harness) {
			g.receiveReport(g.peerNumber(), 1, 0, more)
			g.receiveReport(g.peerNumber(), 2, 0, fewer)
		}, 30},
		{"late report of the previous incarnation", func(g *harness) {
			g.receiveReport(g.peerNumber(), 2, 0, fewer)
			g.receiveReport(g.peerNumber(), 1, 0, more)
		}, 30},
		{"another stage", func(g *harness) { g.receiveReport(g.peerNumber(), 1, 1, more) }, 0},
		{"from the router itself", func(g *harness) { g.receiveReport(g.router.settings.Self, 1, 0, more) }, 0},
		{"from an unknown peer", func(g *harness) { g.receiveReport(3, 1, 0, more) }, 0},
		{"a stage beyond the last", func(g *harness) { g.receiveReport(g.peerNumber(), 1, 9, more) }, 0},
		{"truncated", func(g *harness) {
			m := Report{Incarnation: 1, Build: 2, StageCounts: more, BuildCounts: more}
			b := m.Encode()
			g.feed(PeerMessage{From: g.peerNumber(), Data: b[:len(b)-3]})
		}, 0},
		{"impossible counts", func(g *harness) {
			g.receiveReport(g.peerNumber(), 1, 0, Counts{Old: Arm{Attempts: 3, Missed: 9}})
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newVoter(t)
			c.receive(g)
			if stage, _ := g.router.pooledCounts(); stage.Old.Attempts != c.want {
				t.Errorf("%d attempts at the old build, want %d", stage.Old.Attempts, c.want)
			}
		})
	}
}

// A first attempt counts as evidence unless no build answered it, its class is not allowed at the stage, or its
// server may still be cold.
func TestEvidence(t *testing.T) {
	cases := []struct {
		name    string
		class   string
		option  func(*Server)
		closed  int // closed stages
		outcome Outcome
		want    Arm
	}{
		{"served", "read", withBuild(1), 0, OK, Arm{Attempts: 1}},
		{"failed", "read", withBuild(1), 0, ServerError, Arm{Attempts: 1, Missed: 1, Errors: 1}},
		{"timed out", "once", withBuild(1), 0, TimedOut, Arm{Attempts: 1, Missed: 1}},
		{"connect failed", "read", withBuild(1), 0, ConnectFailed, Arm{}},
		{"class not allowed at the stage, old arm too", "once", withBuild(1), 1, OK, Arm{}},
		{"young server", "read", startedAt(startTime - time.Second), 0, OK, Arm{}},
		{"older server", "read", startedAt(startTime - 4*time.Second), 0, OK, Arm{Attempts: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.Rollout.ClosedStages = c.closed
			g := newHarness(t, settings, 1)
			g.setServers(testServer(1, c.option), testServer(2, c.option))
			g.setRelease(2, 0, OnTrial, 0.1)
			var sends []Send
			for i := 0; len(sends) == 0; i++ { // a cold server gets only a part of the requests
				sends = append(g.startRequest(fmt.Sprint("r", i), c.class, 4*time.Second), g.advance(10*ms)...)
			}
			sends = sends[:1]
			for retries := g.endAttempt(sends[0], c.outcome); len(retries) > 0; { // an error counts by the retry's outcome
				retries = g.endAttempt(retries[0], OK)
			}
			g.advance(4 * time.Second)
			if got := g.router.stageCounts.Old; got != c.want {
				t.Errorf("counted %+v, want %+v", got, c.want)
			}
		})
	}
}

// An answer that a client found wrong counts as missed and wrong if its server is known. The number of wrong answers
// never exceeds that of the counted attempts.
func TestDisputedAnswersCountAsFailed(t *testing.T) {
	g := newHarness(t, testSettings(), 1)
	g.setServers(testServer(1))
	g.setRelease(2, 0, OnTrial, 0.1)
	g.advance(100 * ms)
	g.endAttempt(g.startRequest("r", "read", time.Second)[0], OK)
	g.advance(time.Second)
	g.feed(AnswerDisputed{Server: 9, Class: "read", AttemptAge: time.Second})
	if got := g.router.stageCounts.Old; got != (Arm{Attempts: 1}) {
		t.Fatalf("an unknown server's answer was counted: %+v", got)
	}
	g.feed(AnswerDisputed{Server: 1, Class: "read", AttemptAge: time.Second})
	g.feed(AnswerDisputed{Server: 1, Class: "read", AttemptAge: time.Second}) // no more answers than were counted
	if got := g.router.stageCounts.Old; got != (Arm{Attempts: 1, Missed: 1, Wrong: 1}) {
		t.Fatalf("counted %+v", got)
	}
}

// failuresUntilSuspect is the number of consecutive failures that make a server suspect while failures are rare.
const failuresUntilSuspect = 2

// A server that fails becomes suspect after few failures and is then avoided, whatever the kind of failure.
func TestFailingServersAreAvoided(t *testing.T) {
	for _, outcome := range []Outcome{ConnectFailed, Reset, ServerError, TimedOut, Rejected} {
		g := newReadyHarness(t, testSettings(), testServer(1), testServer(2), testServer(3))
		failed := 0
		for i := range 60 {
			id := fmt.Sprint("r", i)
			for sends := g.startRequest(id, "once", 4*time.Second); len(sends) > 0; {
				s := sends[0]
				if s.Server == 1 {
					failed++
					sends = g.endAttempt(s, outcome)
				} else {
					sends = g.endAttempt(s, OK)
				}
			}
			g.advance(5 * ms)
		}
		if failed == 0 || failed > failuresUntilSuspect {
			t.Errorf("outcome %v: %d sends to the failing server in 300 ms, want 1 to %d", outcome, failed, failuresUntilSuspect)
		}
	}
}

// A report survives encoding and decoding; other versions and malformed reports are errors.
func TestReportCodec(t *testing.T) {
	full := Report{Incarnation: 1 << 31, Build: 65535, Stage: 3, Demand: 7, UsualDemand: 9, BaselineAnswers: 300,
		StageCounts: Counts{Old: Arm{Attempts: 1000, Missed: 20, Errors: 3, Measured: 900, Slow: 200, Wrong: 2},
			New: Arm{Attempts: 5, Missed: 5}},
		BuildCounts: Counts{Old: Arm{Attempts: 3000, Missed: 30}, New: Arm{Attempts: 50, Missed: 9, Errors: 9}}}
	for _, r := range []Report{{}, full} {
		got, err := DecodeReport(r.Encode())
		if err != nil || fmt.Sprint(got) != fmt.Sprint(r) {
			t.Errorf("round trip: %+v, %v; want %+v", got, err, r)
		}
	}
	otherVersion := full.Encode()
	otherVersion[0]++
	for name, b := range map[string][]byte{"empty": nil, "another version": otherVersion, "truncated header": full.Encode()[:7],
		"truncated counts": full.Encode()[:30], "too long": append(full.Encode(), make([]byte, maxMessageSize)...)} {
		if _, err := DecodeReport(b); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// An in-flight report survives encoding and decoding, within the limits on its length and on the attempts per server.
func TestInFlightCodec(t *testing.T) {
	long := InFlightReport{}
	for i := range 200 {
		long = append(long, BusyServer{Server: uint16(i), InFlight: 1000 * (i % 2), Failed: i%3 == 0, AnsweredError: i%6 == 0})
	}
	for _, m := range []InFlightReport{nil,
		{{Server: 65535, InFlight: 3, Failed: true}, {Server: 7, InFlight: 63, AnsweredError: true}}, long} {
		got, err := DecodeInFlightReport(m.Encode())
		if err != nil || len(m.Encode()) > maxMessageSize {
			t.Fatalf("%d servers: %d bytes, %v", len(m), len(m.Encode()), err)
		}
		for i := range got {
			if got[i].Server != m[i].Server || got[i].InFlight != min(63, m[i].InFlight) ||
				got[i].Failed != m[i].Failed || got[i].AnsweredError != m[i].AnsweredError {
				t.Errorf("server %d: %v, want %v", i, got[i], m[i])
			}
		}
	}
	for _, b := range [][]byte{nil, {reportVersion}, {inFlightVersion, 1}, make([]byte, maxMessageSize+2)} {
		if _, err := DecodeInFlightReport(b); err == nil {
			t.Errorf("%v: no error", b)
		}
	}
}

// FuzzDecodeReport checks that decoding never accepts impossible counts, and that decoded reports survive a round
// trip.
func FuzzDecodeReport(f *testing.F) {
	seed := Report{Incarnation: 1, Build: 2, StageCounts: harmfulCounts, BuildCounts: harmfulCounts}
	f.Add(seed.Encode())
	f.Add([]byte{reportVersion})
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeReport(b)
		if err != nil {
			return
		}
		for _, a := range r.arms() {
			if !a.isPossible() {
				t.Fatalf("impossible counts %+v", *a)
			}
		}
		again, err := DecodeReport(r.Encode())
		if err != nil || fmt.Sprint(again) != fmt.Sprint(r) {
			t.Fatalf("round trip of %+v: %+v, %v", r, again, err)
		}
	})
}

// The same events must give the same actions in every run, independent of the order in which maps are iterated.
func TestReplayIsDeterministic(t *testing.T) {
	run := func() []string {
		settings := testSettings()
		settings.Rollout.ForwardOnly, settings.Rollout.BudgetPerClass = true, true
		g := newHarness(t, settings, 42)
		var servers []Server
		for id := range 12 {
			servers = append(servers, testServer(id+1, withZone([]string{"a", "b"}[id%2]), withBuild(BuildID(1+id/8))))
		}
		g.setServers(servers...)
		g.setRelease(2, 1, OnTrial, 0.5)
		rng := rand.New(rand.NewPCG(8, 8))
		var pending []Send
		for i := range 1500 {
			class := g.router.settings.Classes[rng.IntN(len(g.router.settings.Classes))].Name
			pending = append(pending, g.feed(RequestArrived{ID: RequestID(fmt.Sprint("r", i)), Class: class, Tenant: "t",
				Key: rng.Uint64N(50), HasKey: true, TimeLeft: 2 * time.Second})...)
			for len(pending) > 5 {
				s := pending[0]
				pending = append(pending[1:], g.endAttempt(s, []Outcome{OK, OK, OK, ServerError, ConnectFailed, Reset}[rng.IntN(6)])...)
			}
			if i%100 == 50 {
				g.receiveReport(1+i%2, uint32(i), 1, harmlessCounts)
			}
			pending = append(pending, g.advance(7*ms)...)
		}
		return g.actionLog
	}
	first := run()
	for range 5 {
		if again := run(); !slices.Equal(first, again) {
			for i := range first {
				if i >= len(again) || first[i] != again[i] {
					t.Fatalf("action %d differs: %s", i, first[i])
				}
			}
			t.Fatal("a later run gives more actions than the first")
		}
	}
	if len(first) < 2000 {
		t.Fatalf("only %d actions", len(first))
	}
}

// A single faulty server must not make its build look bad: its failures do not count once it is suspect, unless the
// other servers of its build fail too.
func TestIsolatedFailingServerIsNoEvidence(t *testing.T) {
	cases := []struct {
		name      string
		faulty    int // servers 1 to faulty fail all requests
		maxErrors uint32
		minErrors uint32
	}{
		{"one of four", 1, failuresUntilSuspect, 1},
		{"all four", 4, 1000, 3 * failuresUntilSuspect},
	}
	for _, c := range cases {
		settings := testSettings()
		settings.MaxAttempts = 1
		g := newHarness(t, settings, 6)
		g.setServers(testServer(1), testServer(2), testServer(3), testServer(4))
		g.setRelease(2, 0, OnTrial, 0.1)
		for i := range 600 {
			for _, s := range g.startRequest(fmt.Sprint("r", i), "once", 2*time.Second) {
				if int(s.Server) <= c.faulty {
					g.endAttempt(s, ServerError)
				} else {
					g.endAttempt(s, OK)
				}
			}
			g.advance(20 * ms)
		}
		if n := g.router.stageCounts.Old.Errors; n > c.maxErrors || n < c.minErrors {
			t.Errorf("%s: %d errors counted, want %d to %d", c.name, n, c.minErrors, c.maxErrors)
		}
	}
}

// The test takes bounded memory and time, whatever the counts: more bad outcomes than outcomes, as rounding may give, count
// as all bad, and a very large fleet's counts are scaled down without a change of the result. It guards against a process
// that ends for want of memory.
func TestHarmPValueIsBounded(t *testing.T) {
	pValue := func(oldN, oldBad, newN, newBad uint32) (p float64, bytes uint64) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		p = harmPValue(rand.New(rand.NewPCG(1, 2)), oldN, oldBad, newN, newBad, 0.02)
		runtime.ReadMemStats(&after)
		return p, after.TotalAlloc - before.TotalAlloc
	}
	for _, c := range []struct {
		oldN, oldBad, newN, newBad uint32
		harmful                    bool
	}{
		{100, 101, 100, 100, false},
		{100, 10, 100, 200, true},
		{3_000_000, 150_000, 3_000_000, 150_000, false},
		{3_000_000, 150_000, 1_000_000, 100_000, true},
		{4_000_000_000, 40_000_000, 4_000_000_000, 400_000_000, true},
	} {
		p, bytes := pValue(c.oldN, c.oldBad, c.newN, c.newBad)
		if harmful := p < significanceLevel; harmful != c.harmful || bytes > 4<<20 {
			t.Errorf("%+v: p-value %g, %d bytes allocated", c, p, bytes)
		}
	}
}
