package rehearsal

import (
	"testing"
	"time"

	"merlinarch/internal/rehearsal/script"
	"merlinarch/logic"
)

const ms = time.Millisecond

// simpleFleet is routers that keep the rules: each request is sent once, to the next host that is listed as ready and
// runs build 0, and its answer is returned. override, if set, may handle a request instead and returns whether it did.
type simpleFleet struct {
	t          *testing.T
	w          *World
	knownHosts []map[int]Entry
	releases   []ReleaseState
	next       int // counts up to pick hosts in turn
	taken      int
	override   func(f *simpleFleet, t *Try) bool
}

func (f *simpleFleet) Boot(i int, known []Entry, release ReleaseState) {
	for len(f.knownHosts) <= i {
		f.knownHosts, f.releases = append(f.knownHosts, nil), append(f.releases, ReleaseState{})
	}
	f.knownHosts[i] = map[int]Entry{}
	f.Listed(i, known)
	f.ReleaseChanged(i, release)
}
func (f *simpleFleet) Kill(int)                             {}
func (f *simpleFleet) Freeze(int, time.Duration)            {}
func (f *simpleFleet) ClientGone(*Try)                      {}
func (f *simpleFleet) HostUp(*Host)                         {}
func (f *simpleFleet) SilenceLauncher(bool)                 {}
func (f *simpleFleet) HostDown(*Host, bool)                 {}
func (f *simpleFleet) ReleaseChanged(i int, s ReleaseState) { f.releases[i] = s }
func (f *simpleFleet) Listed(i int, changes []Entry) {
	for _, e := range changes {
		f.knownHosts[i][e.Host.ID] = e
	}
}

func (f *simpleFleet) Take(t *Try) {
	f.taken++
	if f.override != nil && f.override(f, t) {
		return
	}
	f.send(t, f.pick(t.Router, 0), func(r Reply) { f.answer(t, r) })
}

// pick returns the next host that is listed as ready and runs the build.
func (f *simpleFleet) pick(router, build int) *Host {
	for range 2 * f.w.launchedCount {
		f.next++
		if e, ok := f.knownHosts[router][f.next%f.w.launchedCount+1]; ok && e.State == logic.Ready && e.Build == build {
			return e.Host
		}
	}
	f.t.Fatalf("no host of build %d", build)
	return nil
}

// send makes an attempt without any network delay.
func (f *simpleFleet) send(t *Try, h *Host, done func(Reply)) *Attempt {
	a := &Attempt{Try: t, Router: t.Router, Host: h, SentAt: f.w.queue.now, Done: func(r Reply, _ *logic.Load) { done(r) }}
	f.w.Arrive(a, false)
	return a
}

// answer sends the client the answer that follows from a host's reply.
func (f *simpleFleet) answer(t *Try, r Reply) {
	s := Served
	if r != Good && r != Wrong {
		s = Failed
	}
	f.w.Answered(t, Answer{Status: s})
}

// quietScript is the start of a script in which nothing is random that matters to the rules: no errors, hosts of one
// speed, a fixed client delay and patience. It lacks the closing brace.
const quietScript = `{length: "12s", hosts: {errors: 0, speed: [1, 1]}, network: {client: ["1ms", "1ms"]}, clients: {rate: 60, patience: [1, 1]},
  classes: [{name: "read", share: 1, work: "10ms", aim: "1s", deadline: "2s", worth: 1, repeat: "safe"},
    {name: "keyed", share: 1, work: "10ms", aim: "1s", deadline: "2s", worth: 1, repeat: "keyed", group: "zone", window: "100ms"},
    {name: "once", share: 1, work: "10ms", aim: "1s", deadline: "2s", worth: 1, repeat: "unsafe"}]`

// playSimple plays a script with a simpleFleet.
func playSimple(t *testing.T, text string, slip func(f *simpleFleet, t *Try) bool) Report {
	t.Helper()
	s, err := script.Parse("t", text)
	if err != nil {
		t.Fatal(err)
	}
	w := New(s, false)
	f := &simpleFleet{t: t, w: w, override: slip}
	w.Start(f, time.Second)
	for {
		if _, ok := w.Next(); !ok {
			return w.Report()
		}
		w.Step()
	}
}

// onFirst returns an override that calls do for the requests of a class from a time on, until do handles one.
func onFirst(class string, from time.Duration, do func(f *simpleFleet, t *Try) bool) func(*simpleFleet, *Try) bool {
	done := false
	return func(f *simpleFleet, t *Try) bool {
		if done || t.Class() != class || f.w.queue.now < from {
			return false
		}
		done = do(f, t)
		return done
	}
}

// TestRefereeCountsEachViolation breaks each rule once, by as little as possible, in a fleet that keeps the others. The
// referee must count exactly that one, and nothing where a rule is just kept.
func TestRefereeCountsEachViolation(t *testing.T) {
	later := func(f *simpleFleet, d time.Duration, do func()) { f.w.queue.after(d, do) }
	repeat := func(class string, other func(f *simpleFleet, first *Host) *Host, gap time.Duration) func(*simpleFleet, *Try) bool {
		return onFirst(class, 2*time.Second, func(f *simpleFleet, x *Try) bool {
			first := f.pick(x.Router, 0)
			f.send(x, first, func(Reply) {
				later(f, gap, func() { f.send(x, other(f, first), func(r Reply) { f.answer(x, r) }) })
			})
			return true
		})
	}
	sameSite := func(f *simpleFleet, first *Host) *Host {
		for {
			if h := f.pick(0, 0); h != first && h.Site == first.Site {
				return h
			}
		}
	}
	otherSite := func(f *simpleFleet, first *Host) *Host {
		for {
			if h := f.pick(0, 0); h.Site != first.Site {
				return h
			}
		}
	}
	refuse := func(class string) func(*simpleFleet, *Try) bool {
		return onFirst(class, 2*time.Second, func(f *simpleFleet, x *Try) bool {
			f.send(x, f.pick(x.Router, 0), func(Reply) { f.w.Answered(x, Answer{Status: Refused}) })
			return true
		})
	}
	// sendToDraining sends one request to a draining host so long after its router was informed of the drain.
	sendToDraining := func(after time.Duration) func(*simpleFleet, *Try) bool {
		seen := map[int]time.Duration{}
		return onFirst("read", 0, func(f *simpleFleet, x *Try) bool {
			for id, e := range f.knownHosts[x.Router] {
				if e.State != logic.Ready && e.Host.phase == draining {
					if seen[id] == 0 {
						seen[id] = f.w.referee.views[x.Router].notReadySince[id]
					}
					if x.Router != 0 || f.w.queue.now > seen[id]+after {
						return false
					}
					later(f, seen[id]+after-f.w.queue.now, func() { f.send(x, e.Host, func(r Reply) { f.answer(x, r) }) })
					return true
				}
			}
			return false
		})
	}
	drainScript := quietScript + `} + {discovery: {change: ["1ms", "1ms"], period: "0s"}, hosts+: {drain_time: "3s"}, routers: {count: 1}, troubles: [{kind: "drain", at: "3s", "for": "20s", share: 0.05}]}`
	for name, c := range map[string]struct {
		text string
		slip func(*simpleFleet, *Try) bool
		want Rules
	}{
		"all kept":  {quietScript + "}", nil, Rules{}},
		"no answer": {quietScript + "}", onFirst("read", 0, func(*simpleFleet, *Try) bool { return true }), Rules{Lost: 1}},
		"two answers": {quietScript + "}", onFirst("read", 0, func(f *simpleFleet, x *Try) bool {
			f.send(x, f.pick(x.Router, 0), func(r Reply) { f.answer(x, r); f.answer(x, r) })
			return true
		}), Rules{Lost: 1}},
		"half a millisecond too late": {quietScript + "}", onFirst("read", 0, func(f *simpleFleet, x *Try) bool {
			f.send(x, f.pick(x.Router, 0), func(r Reply) { f.w.queue.at(x.Until-ms/2, func() { f.answer(x, r) }) })
			return true
		}), Rules{Lost: 1}},
		"half a millisecond in time": {quietScript + "}", onFirst("read", 0, func(f *simpleFleet, x *Try) bool {
			f.send(x, f.pick(x.Router, 0), func(r Reply) { f.w.queue.at(x.Until-3*ms/2, func() { f.answer(x, r) }) })
			return true
		}), Rules{}},
		"another's answer": {quietScript + "}", onFirst("read", 0, func(f *simpleFleet, x *Try) bool {
			f.send(x, f.pick(x.Router, 0), func(Reply) { f.w.Answered(x, Answer{Status: Served, Mismatched: true}) })
			return true
		}), Rules{Lost: 1}},
		"two out at once": {quietScript + "}", onFirst("read", 0, func(f *simpleFleet, x *Try) bool {
			f.send(x, f.pick(x.Router, 0), func(r Reply) { f.answer(x, r) })
			f.send(x, f.pick(x.Router, 0), func(Reply) {})
			return true
		}), Rules{Doubled: 1}},
		"safe again":                   {quietScript + "}", repeat("read", otherSite, 0), Rules{}},
		"unsafe again":                 {quietScript + "}", repeat("once", sameSite, 0), Rules{Doubled: 1}},
		"keyed again in its group":     {quietScript + "}", repeat("keyed", sameSite, 0), Rules{}},
		"keyed again elsewhere":        {quietScript + "}", repeat("keyed", otherSite, 0), Rules{Doubled: 1}},
		"keyed again after its window": {quietScript + "}", repeat("keyed", sameSite, 100*ms), Rules{Doubled: 1}},
		"unsafe refused":               {quietScript + "}", refuse("once"), Rules{Doubled: 1}},
		"keyed of a zone refused":      {quietScript + "}", refuse("keyed"), Rules{Doubled: 1}},
		"safe refused":                 {quietScript + "}", refuse("read"), Rules{}},
		"a drain within the grace":     {drainScript, sendToDraining(time.Second), Rules{}},
		"a drain just after the grace": {drainScript, sendToDraining(time.Second + ms), Rules{LateToDrained: 1}},
		"a closed class in wave one":   {quietScript + `, releases: [{at: "1s"}]}`, sendToTrialBuild("keyed"), Rules{OverCap: 1}},
		"an open class in wave one":    {quietScript + `, releases: [{at: "1s"}]}`, sendToTrialBuild("read"), Rules{}},
		"as many as the cap allows":    {quietScript + `, releases: [{at: "1s"}], routers: {count: 1}}`, fillCap(0), Rules{}},
		"one more than the cap allows": {quietScript + `, releases: [{at: "1s"}], routers: {count: 1}}`, fillCap(1), Rules{OverCap: 1}},
		"a cold host, just not too much": {quietScript + `, routers: {count: 1}, troubles: [{kind: "crash", at: "1s", "for": "1s", share: 0.05}]}`,
			overloadColdHost(0), Rules{}},
		"a cold host, one too much": {quietScript + `, routers: {count: 1}, troubles: [{kind: "crash", at: "1s", "for": "1s", share: 0.05}]}`,
			overloadColdHost(1), Rules{PushedOver: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			if r := playSimple(t, c.text, c.slip); r.Rules != c.want {
				t.Errorf("rules %+v, want %+v: %v", r.Rules, c.want, r.Broken)
			}
		})
	}
}

// sendToTrialBuild sends one request of a class to the build on trial.
func sendToTrialBuild(class string) func(*simpleFleet, *Try) bool {
	return onFirst(class, 0, func(f *simpleFleet, x *Try) bool {
		for _, e := range f.knownHosts[x.Router] {
			if e.Build == 1 && f.releases[x.Router].Phase == logic.OnTrial && f.releases[x.Router].Build == 1 {
				f.send(x, e.Host, func(r Reply) { f.answer(x, r) })
				return true
			}
		}
		return false
	})
}

// fillCap sends, at one moment of the first stage, as many attempts as the cap allows and some more.
func fillCap(more int) func(*simpleFleet, *Try) bool {
	return onFirst("read", 7*time.Second, func(f *simpleFleet, x *Try) bool {
		var to *Host
		for _, e := range f.knownHosts[0] {
			if e.Build == 1 && e.State == logic.Ready {
				to = e.Host
			}
		}
		if to == nil || f.releases[0].Build != 1 || f.releases[0].Stage != 0 {
			return false
		}
		allowed := float64(f.w.script.Launcher.Free)
		for _, r := range f.w.referee.views[0].accepted {
			if r.at > f.w.queue.now-f.w.script.Launcher.Window {
				allowed += f.w.script.Launcher.Cap[0]
			}
		}
		remaining := int(allowed) + more
		var again func(Reply)
		again = func(r Reply) {
			if remaining--; remaining > 0 {
				f.send(x, to, again)
				return
			}
			f.answer(x, r)
		}
		to.speed = 1000 // so that all arrive at nearly the same moment
		f.send(x, to, again)
		return true
	})
}

// overloadColdHost sends a host that has just restarted as many requests as it can bear within the window, and some
// more.
func overloadColdHost(more int) func(*simpleFleet, *Try) bool {
	return onFirst("read", 5*time.Second, func(f *simpleFleet, x *Try) bool {
		var cold *Host
		for _, h := range f.w.hostsInOrder() {
			if h.started > 0 {
				cold = h
			}
		}
		w, window := f.w, f.w.script.Hosts.FallTime
		if cold == nil || w.queue.now < cold.started+window || w.queue.now > cold.started+w.script.Hosts.ColdTime {
			return false
		}
		capacity := cold.speed * cold.warmth(w.queue.now-window/2) * window.Seconds()
		n := int(w.script.Hosts.FallMultiple*capacity/0.010) - len(cold.coldArrivals) + more
		for _, s := range cold.coldArrivals {
			if s.at < w.queue.now-window {
				n++
			}
		}
		for range n { // each attempt has its own try and is cancelled at once
			y := &Try{Request: x.Request, Router: 0, SentAt: x.SentAt, Until: x.Until}
			a := f.send(y, cold, func(Reply) {})
			if cold.phase == ended {
				break
			}
			w.Cancel(a)
		}
		f.send(x, f.pick(0, 0), func(r Reply) { f.answer(x, r) })
		return true
	})
}
