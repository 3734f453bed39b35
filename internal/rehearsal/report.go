package rehearsal

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"merlinarch/internal/rehearsal/script"
)

// windowLength is the length of the windows for which service is reported.
const windowLength = 10 * time.Second

// WindowSeconds is the length of a window in seconds.
const WindowSeconds = float64(windowLength / time.Second)

// Weights of the parts of service: the whole rehearsal, its worst window, its worst class and its worst tenant.
const (
	weightWhole       = 0.4
	weightWorstWindow = 0.3
	weightWorstClass  = 0.2
	weightWorstTenant = 0.1
)

// Report is the result of a rehearsal. All of its figures are emulated, or of live routers with emulated hosts on
// loopback.
type Report struct {
	Script     string         `json:"script"`
	Live       bool           `json:"live"`
	Seed       uint64         `json:"seed"`
	Routers    int            `json:"routers"`
	Hosts      int            `json:"hosts"`
	Policy     string         `json:"policy"`
	Service    float64        `json:"service"` // 0 to 1, the weighted mean of its parts
	Whole      float64        `json:"service_whole"`
	Worst      float64        `json:"service_worst_window"`
	Outcomes   string         `json:"outcomes_sha256"` // over the ID, end and time of every try
	Requests   int            `json:"requests"`
	Ends       map[string]int `json:"ends"` // number of requests by how they ended
	Events     uint64         `json:"events"`
	VirtualS   float64        `json:"virtual_s"`
	Rules      Rules          `json:"rules"`
	Broken     []string       `json:"broken,omitempty"` // descriptions of the first violations of rules
	Attempts   int            `json:"attempts"`
	TurnedAway int            `json:"turned_away"`
	Messages   int            `json:"messages"`      // between routers, counted once for each receiver
	Bytes      int            `json:"message_bytes"` // of those messages
	Waste      float64        `json:"waste"`         // fraction of the hosts' work on answers that no client got
	Classes    []Part         `json:"classes"`
	Tenants    []Part         `json:"tenants"`
	Windows    []Window       `json:"windows"`
	Builds     []BuildReport  `json:"builds"`
	Marks      []Mark         `json:"marks"`
}

// Part is the service of one class or tenant, and the latency of its answers.
type Part struct {
	Name    string  `json:"name"`
	Asked   int     `json:"asked"`
	Service float64 `json:"service"`
	P50ms   float64 `json:"p50_ms"`
	P99ms   float64 `json:"p99_ms"`
}

// Window is the outcome of the requests that arrived in one window of time. Its latencies are those of the requests
// served within it.
type Window struct {
	AtS     float64 `json:"at_s"`
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Service float64 `json:"service"`
	P50ms   float64 `json:"p50_ms"`
	P99ms   float64 `json:"p99_ms"`

	worth, earned float64 // of all requests; of those served
}

// account adds up requests, their worth and the worth earned by serving them.
type account struct {
	asked         int
	worth, earned float64
	latencies     *hdrhistogram.Histogram // microseconds
}

// tally adds up service over the rehearsal, and by class, tenant and window.
type tally struct {
	s                       *script.Script
	classShare, tenantShare float64 // sums of the shares in the script
	whole                   account
	classes, tenants        []account
	windows                 []Window
	windowLatencies         *hdrhistogram.Histogram // of requests served in the current window
	currentWindow           int                     // index of the current window
	endCounts               [5]int                  // by Status
}

// newLatencies returns a histogram for a microsecond to ten minutes, with two significant digits.
func newLatencies() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 2)
}

func newTally(s *script.Script) tally {
	t := tally{s: s, windowLatencies: newLatencies()}
	for _, c := range s.Classes {
		t.classShare += c.Share
		t.classes = append(t.classes, account{latencies: newLatencies()})
	}
	for _, x := range s.Tenants {
		t.tenantShare += x.Share
		t.tenants = append(t.tenants, account{latencies: newLatencies()})
	}
	n := int((s.Length + windowLength - 1) / windowLength)
	for i := range n {
		t.windows = append(t.windows, Window{AtS: (time.Duration(i) * windowLength).Seconds()})
	}
	return t
}

// addRequest counts a new request and returns the index of its window.
func (t *tally) addRequest(at time.Duration, class, tenant int, c *script.Class) int {
	i := min(int(at/windowLength), len(t.windows)-1)
	t.windows[i].Asked++
	t.windows[i].worth += c.Worth
	for _, a := range []*account{&t.whole, &t.classes[class], &t.tenants[tenant]} {
		a.asked++
		a.worth += c.Worth
	}
	return i
}

// addEnd counts a request that has ended. A late answer earns a part of the worth, one after the deadline nothing.
func (t *tally) addEnd(q *ClientRequest, s Status, now time.Duration) {
	t.endCounts[s]++
	win := &t.windows[q.window]
	switch s {
	case Served:
		win.Served++
	case Refused:
		win.Refused++
	default:
		win.Failed++
	}
	if s != Served {
		return
	}
	latency := now - q.arrivedAt
	earned := q.class.Worth
	if latency > q.class.Aim {
		earned *= q.class.LateWorth
	}
	if latency > q.class.Deadline {
		earned = 0
	}
	class := 0
	for i := range t.s.Classes {
		if &t.s.Classes[i] == q.class {
			class = i
		}
	}
	win.earned += earned
	us := max(1, latency.Microseconds())
	for _, a := range []*account{&t.whole, &t.classes[class], &t.tenants[q.tenant]} {
		a.earned += earned
		if a.latencies != nil {
			_ = a.latencies.RecordValue(min(us, a.latencies.HighestTrackableValue()))
		}
	}
	_ = t.windowLatencies.RecordValue(min(us, t.windowLatencies.HighestTrackableValue()))
}

// closeWindow stores the latency quantiles of the current window and starts the next.
func (t *tally) closeWindow() {
	if t.currentWindow < len(t.windows) {
		w := &t.windows[t.currentWindow]
		w.P50ms, w.P99ms = quantileMillis(t.windowLatencies, 50), quantileMillis(t.windowLatencies, 99)
	}
	t.windowLatencies.Reset()
	t.currentWindow++
}

// quantileMillis returns a quantile, in percent, in milliseconds.
func quantileMillis(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1000
}

// ratio returns got / all, and 1 if all is zero.
func ratio(got, all float64) float64 {
	if all == 0 {
		return 1
	}
	return got / all
}

// closeWindows schedules the end of each window.
func (w *World) closeWindows() {
	w.queue.after(windowLength, func() {
		w.tally.closeWindow()
		if w.tally.currentWindow < len(w.tally.windows) {
			w.closeWindows()
		}
	})
}

// Report sums the rehearsal up. Requests that have not ended are counted as open.
func (w *World) Report() Report {
	t := &w.tally
	r := Report{Script: w.script.Name, Live: w.referee.timeSlack > 0, Seed: w.script.Seed,
		Routers: w.script.Routers.Count, Hosts: w.script.Hosts.Count, Policy: w.script.Routers.Policy,
		Requests: w.requestCount, Events: w.queue.processedCount, VirtualS: w.queue.now.Seconds(), Rules: w.referee.rules,
		Broken: w.referee.firstViolations, Attempts: w.attempts, TurnedAway: w.rejected,
		Messages: w.messages, Bytes: w.messageBytes, Builds: w.buildReports, Marks: w.marks,
		Outcomes: hex.EncodeToString(w.digest.Sum(nil)), Ends: map[string]int{}}
	if w.workDone > 0 {
		r.Waste = w.workWasted / w.workDone
	}
	endedCount := 0
	for s, n := range t.endCounts {
		r.Ends[statusNames[s]] = n
		endedCount += n
	}
	r.Ends[statusNames[Open]] = w.requestCount - endedCount
	r.Whole, r.Worst = ratio(t.whole.earned, t.whole.worth), 1
	for i := range t.windows {
		win := &t.windows[i]
		win.Service = ratio(win.earned, win.worth)
		r.Worst = min(r.Worst, win.Service)
	}
	r.Windows = t.windows
	summarize := func(accounts []account, name func(int) string) (list []Part, least float64) {
		least = 1
		for i, a := range accounts {
			p := Part{Name: name(i), Asked: a.asked, Service: ratio(a.earned, a.worth), P50ms: quantileMillis(a.latencies, 50),
				P99ms: quantileMillis(a.latencies, 99)}
			least = min(least, p.Service)
			list = append(list, p)
		}
		return list, least
	}
	var class, tenant float64
	r.Classes, class = summarize(t.classes, func(i int) string { return w.script.Classes[i].Name })
	r.Tenants, tenant = summarize(t.tenants, func(i int) string { return w.script.Tenants[i].Name })
	r.Service = weightWhole*r.Whole + weightWorstWindow*r.Worst + weightWorstClass*class + weightWorstTenant*tenant
	for i := range r.Builds {
		b := &r.Builds[i]
		b.Attempts = w.referee.trialAttempts[b.Build]
		if t.whole.worth > 0 {
			b.Harm = w.referee.harmByBuild[b.Build] / t.whole.worth
		}
	}
	return r
}

// Writer is the destination of a file's content.
type Writer = io.Writer

// WriteFile writes a value as JSON, atomically.
func WriteFile(path string, v any) error {
	return WriteWhole(path, func(f Writer) error {
		e := json.NewEncoder(f)
		e.SetIndent("", " ")
		return e.Encode(v)
	})
}

// WriteWhole writes a file atomically: into a temporary file that is renamed once all of it is on disk.
func WriteWhole(path string, write func(Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".rehearsal-*")
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	defer os.Remove(f.Name()) // no longer there after a successful rename
	err = write(f)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

// roundForDisplay rounds to three decimals.
func roundForDisplay(x float64) float64 { return math.Round(x*1000) / 1000 }

// Lines returns a summary of the report to print.
func (r Report) Lines() []string {
	kind := "emulated"
	if r.Live {
		kind = "emulated hosts, live routers on loopback"
	}
	out := []string{
		fmt.Sprintf("%s, seed %d: service %.3f (%s; whole %.3f, worst window %.3f)", r.Script, r.Seed, r.Service, kind,
			r.Whole, r.Worst),
		fmt.Sprintf("%d routers (%s), %d hosts, %.0f s, %d requests: %d served, %d refused, %d failed, %d abandoned, %d open",
			r.Routers, r.Policy, r.Hosts, r.VirtualS, r.Requests, r.Ends["served"], r.Ends["refused"], r.Ends["failed"],
			r.Ends["abandoned"], r.Ends["open"]),
		fmt.Sprintf("rules broken: lost %d, doubled %d, late to drained %d, pushed over %d, over cap %d", r.Rules.Lost,
			r.Rules.Doubled, r.Rules.LateToDrained, r.Rules.PushedOver, r.Rules.OverCap),
	}
	if r.Requests > 0 {
		out = append(out, fmt.Sprintf(
			"attempts %d, turned away %d, waste %.3f of the work; %.1f messages and %.0f bytes between routers a request",
			r.Attempts, r.TurnedAway, r.Waste, float64(r.Messages)/float64(r.Requests), float64(r.Bytes)/float64(r.Requests)))
	}
	for _, c := range r.Classes {
		out = append(out, fmt.Sprintf("  %s: %d asked, service %v, p50 %.0f ms, p99 %.0f ms", c.Name, c.Asked,
			roundForDisplay(c.Service), c.P50ms, c.P99ms))
	}
	for _, b := range r.Builds {
		fault := b.Fault
		if fault == "" {
			fault = "good"
		}
		line := fmt.Sprintf("  build %d (%s), offered at %.0f s: %s", b.Build, fault, b.OfferedS, b.End)
		if b.BackS >= 0 {
			line += fmt.Sprintf(" after %.1f s in wave %d, harm %.4f", b.BackS, b.Stage+1, b.Harm)
		} else if b.Released >= 0 {
			line += fmt.Sprintf(" after %.1f s, harm %.4f", b.Released, b.Harm)
		}
		out = append(out, line)
	}
	for i, b := range r.Broken {
		if i == 5 {
			break
		}
		out = append(out, "  broken: "+b)
	}
	return out
}
