package rehearsal

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"merlinarch/internal/rehearsal/script"
)

// TestMain limits the random scripts to a number that the race detector can play, and makes them the same each time.
// -rapid.checks and -rapid.seed override this.
func TestMain(m *testing.M) {
	for name, v := range map[string]string{"rapid.checks": "25", "rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, v); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var shippedScripts = []string{"calm", "water-cut", "herd", "site-loss", "rolling-release", "slow-fleet", "minute"}

func load(t testing.TB, name string, sets map[string]any) script.Script {
	t.Helper()
	s, err := script.Load("../../deploy/rehearsals/"+name+".jsonnet", sets)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func run(t testing.TB, s script.Script) Report {
	t.Helper()
	r, err := Run(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func marshalReport(t *testing.T, r Report) []byte {
	t.Helper()
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestSameSeedSameReport checks that the same script and seed give the same report to the last byte on any number of
// processors, and that another seed gives another.
func TestSameSeedSameReport(t *testing.T) {
	for _, name := range []string{"herd", "rolling-release"} {
		s := load(t, name, map[string]any{"length": "60s", "releases": nil, "troubles": nil})
		full := load(t, name, nil)
		s.Releases, s.Troubles = full.Releases[:min(1, len(full.Releases))], full.Troubles[:1]
		one := marshalReport(t, run(t, s))
		previous := runtime.GOMAXPROCS(1)
		two := marshalReport(t, run(t, s))
		runtime.GOMAXPROCS(previous)
		if !bytes.Equal(one, two) {
			t.Errorf("%s: two plays with the same seed differ", name)
		}
		s.Seed++
		if bytes.Equal(one, marshalReport(t, run(t, s))) {
			t.Errorf("%s: another seed gives the same report", name)
		}
	}
}

// TestOutcomesSameOnEveryMachine compares the outcomes of a rehearsal with a fixed hash. It uses a baseline policy so
// that changes to the module do not change the hash.
func TestOutcomesSameOnEveryMachine(t *testing.T) {
	s := load(t, "minute", map[string]any{"routers.policy": "least", "seed": 7.0})
	const want = "b147055ce917e9ac1aa1477624848772893efe1844d21f9bd3d16ac2c6df775d"
	if r := run(t, s); r.Outcomes != want {
		t.Errorf("outcomes %s, want %s: the world has changed, or depends on the machine", r.Outcomes, want)
	}
}

// TestModuleBreaksNoRule plays the shipped scripts with the module. docs/rehearsal.md covers more seeds.
func TestModuleBreaksNoRule(t *testing.T) {
	for _, name := range shippedScripts {
		s := load(t, name, nil)
		if r := run(t, s); r.Rules.Broken() > 0 || checkConservation(r) != nil {
			t.Errorf("%s: %+v %v %v", name, r.Rules, r.Broken, checkConservation(r))
		}
	}
}

// TestFailingHostsAreAvoided guards against two failures in a large fleet in which one of eight places fails most
// requests, whatever its build. If the eighty routers do not share failures, each finds the failing hosts alone, and
// 0.026 to 0.028 of the hosts' work is wasted instead of 0.007 to 0.008 (seeds 1 and 2). And the new build's failing
// hosts, which take requests again while the old build's are avoided, cause a good build to be rolled back (seeds 1
// and 3).
func TestFailingHostsAreAvoided(t *testing.T) {
	for seed := range uint64(3) {
		s := load(t, "sick-hosts", map[string]any{"seed": float64(seed + 1), "length": "40s"})
		r := run(t, s)
		if r.Rules.Broken() > 0 || checkConservation(r) != nil {
			t.Errorf("seed %d: %+v %v %v", seed+1, r.Rules, r.Broken, checkConservation(r))
		}
		if r.Waste > 0.015 || r.Service < 0.99 || r.Builds[0].End != "released" {
			t.Errorf("seed %d: waste %.3f, service %.3f, the good build ends %q", seed+1, r.Waste, r.Service, r.Builds[0].End)
		}
	}
}

// TestModuleServesMoreThanBaselines checks that baselines, which choose at random or by their in-flight counts, serve
// less when something fails.
func TestModuleServesMoreThanBaselines(t *testing.T) {
	for _, name := range []string{"site-loss", "slow-fleet"} {
		service := map[string]float64{}
		for _, p := range script.Policies {
			service[p] = run(t, load(t, name, map[string]any{"routers.policy": p})).Service
		}
		if service["module"] < service["random"]+0.05 || service["module"] < service["least"]+0.05 {
			t.Errorf("%s: service by policy %v", name, service)
		}
	}
}

// TestRateAndSchedule checks that requests arrive at the scripted rate for the scripted time, and that a release is
// offered at its scripted time.
func TestRateAndSchedule(t *testing.T) {
	s := load(t, "calm", nil)
	r := run(t, s)
	if want := s.Clients.Rate * s.Length.Seconds(); math.Abs(float64(r.Requests)-want) > 5*math.Sqrt(want) {
		t.Errorf("%d requests, want about %v", r.Requests, want)
	}
	if r.Builds[0].OfferedS != 8 || r.Marks[0].AtS != 8 {
		t.Errorf("offered at %v, marked at %v", r.Builds[0].OfferedS, r.Marks[0].AtS)
	}
}

// checkConservation checks that each request has one end, and that all sums agree.
func checkConservation(r Report) error {
	sum, asked := 0, 0
	for _, n := range r.Ends {
		sum += n
	}
	for _, w := range r.Windows {
		asked += w.Asked
		if w.Served+w.Refused+w.Failed > w.Asked || w.Service < 0 || w.Service > 1+1e-9 {
			return fmt.Errorf("window %+v", w)
		}
	}
	classes, tenants := 0, 0
	for _, c := range r.Classes {
		classes += c.Asked
	}
	for _, x := range r.Tenants {
		tenants += x.Asked
	}
	if sum != r.Requests || asked != r.Requests || classes != r.Requests || tenants != r.Requests || r.Ends["open"] < 0 {
		return fmt.Errorf("%d requests, ends %v, %d in windows, %d by class, %d by tenant", r.Requests, r.Ends, asked, classes, tenants)
	}
	if math.IsNaN(r.Service) || r.Service < 0 || r.Service > 1+1e-9 || r.Waste < 0 || r.Waste > 1+1e-9 {
		return fmt.Errorf("service %v, waste %v", r.Service, r.Waste)
	}
	return nil
}

// TestConservation plays random combinations of troubles, faults and policies. Each request must be served, refused,
// failed, abandoned or still open, exactly once, and none may be lost, doubled or sent to a drained host too late.
func TestConservation(t *testing.T) {
	kinds := []string{"pause", "slow", "crash", "silent", "drain", "stall", "shared", "launcher_silent", "launcher_late",
		"discovery_silent", "router_kill", "router_stall", "burst", "hot_key", "site_cut", "site_loss", "link_slow", "link_loss"}
	sizes := map[string]string{"slow": "0.3", "shared": "0.5", "launcher_late": "3", "burst": "3", "hot_key": "0.5",
		"link_slow": "0.05", "link_loss": "0.2"}
	rapid.Check(t, func(t *rapid.T) {
		var troubles []string
		for _, at := range []int{1, 2, 4, 6}[:rapid.IntRange(1, 4).Draw(t, "troubles")] {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			text := fmt.Sprintf(`{kind: %q, at: "%ds", "for": "%dms", share: %v`, kind, at,
				rapid.IntRange(1, 4000).Draw(t, "for"), rapid.SampledFrom([]float64{0.1, 0.5, 1}).Draw(t, "share"))
			if size := sizes[kind]; size != "" {
				text += ", size: " + size
			}
			if strings.HasPrefix(kind, "site_") || rapid.Bool().Draw(t, "at a site") {
				text += `, site: "heredia"`
			}
			troubles = append(troubles, text+"}")
		}
		text := fmt.Sprintf(`{length: "7s", seed: %d, routers: {count: %d, policy: %q}, hosts: {count: %d, stops: %q}, clients: {rate: %d},
			releases: [{at: "1s", fault: %q, size: 1, class: "read-board"}], troubles: [%s]}`, rapid.IntRange(0, 1000).Draw(t, "seed"),
			rapid.IntRange(1, 5).Draw(t, "routers"), rapid.SampledFrom([]string{"module", "random", "least"}).Draw(t, "policy"),
			rapid.IntRange(1, 12).Draw(t, "hosts"), rapid.SampledFrom([]string{"nothing", "waiting", "running"}).Draw(t, "stops"),
			rapid.IntRange(1, 300).Draw(t, "rate"),
			rapid.SampledFrom([]string{"", "slow", "errors", "class", "late", "load", "wrong", "neighbours"}).Draw(t, "fault"),
			strings.Join(troubles, ", "))
		s, err := script.Parse("drawn", text)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		r, err := Run(s, nil)
		if err != nil {
			t.Fatal(err)
		}
		if err := checkConservation(r); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if r.Rules.Lost > 0 || r.Rules.Doubled > 0 || r.Rules.LateToDrained > 0 {
			t.Fatalf("%s: %+v %v", text, r.Rules, r.Broken)
		}
		if r.Events == 0 || r.Requests > 0 && r.Attempts == 0 && len(troubles) == 0 {
			t.Fatalf("nothing happened: %+v", r)
		}
	})
}

// TestSweep checks that a sweep gives the same result on any number of processors and groups its plays by value.
func TestSweep(t *testing.T) {
	play := func() Sweep {
		s, err := RunSweep(func(sets map[string]any) (script.Script, error) {
			sets["length"] = "10s"
			sets["releases"] = nil
			return script.Load("../../deploy/rehearsals/calm.jsonnet", sets)
		}, "clients.rate", []string{"50", "900"}, []uint64{1, 2, 3}, nil)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	a := play()
	previous := runtime.GOMAXPROCS(1)
	b := play()
	runtime.GOMAXPROCS(previous)
	if fmt.Sprint(a) != fmt.Sprint(b) {
		t.Error("the sweep's result depends on the number of processors")
	}
	if len(a.Points) != 2 || len(a.Points[0].Plays) != 3 || a.Points[0].Service.Mean < a.Points[1].Service.Mean+0.1 {
		t.Errorf("%+v", a.Points)
	}
	if p := a.Points[0]; p.Service.Least > p.Service.Median || p.Service.Median > p.Service.Most || p.Plays[0].Seed != 1 {
		t.Errorf("%+v", p)
	}
	if _, err := RunSweep(func(sets map[string]any) (script.Script, error) {
		return script.Load("../../deploy/rehearsals/calm.jsonnet", sets)
	}, "clients.rte", []string{"1"}, []uint64{1}, nil); err == nil || !strings.Contains(err.Error(), "clients.rte") {
		t.Errorf("error for an unknown path: %v", err)
	}
}

// TestWriteWhole checks that a failed write leaves the previous file unchanged and no temporary file behind.
func TestWriteWhole(t *testing.T) {
	path := filepath.Join(t.TempDir(), "r.json")
	if err := WriteFile(path, Report{Script: "x"}); err != nil {
		t.Fatal(err)
	}
	err := WriteWhole(path, func(w Writer) error {
		fmt.Fprint(w, "half")
		return fmt.Errorf("broke off")
	})
	data, _ := os.ReadFile(path)
	left, _ := os.ReadDir(filepath.Dir(path))
	if err == nil || !bytes.Contains(data, []byte(`"script": "x"`)) || len(left) != 1 {
		t.Errorf("%v, %q, %d files", err, data, len(left))
	}
	if err := WriteFile(filepath.Join(path, "no", "such"), 1); err == nil {
		t.Error("no error for a file whose folder does not exist")
	}
}
