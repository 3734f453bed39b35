package main

import (
	"bytes"
	"encoding/json"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"merlinarch/internal/rehearsal"
)

// smallScript has a failing build and a crash of hosts within 12 s.
const smallScript = `{name: "small", length: "12s", clients: {rate: 60}, releases: [{at: "2s", fault: "errors", size: 0.5}],
  troubles: [{kind: "crash", at: "4s", "for": "2s", share: 0.2}]}`

// writeFile writes a file into a temporary folder and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// runExpecting runs a command line, checks its exit code and returns what it printed.
func runExpecting(t *testing.T, want int, args ...string) (out, errText string) {
	t.Helper()
	var o, e bytes.Buffer
	if code := run(args, &o, &e); code != want {
		t.Errorf("%v: code %d, want %d; %q", args, code, want, e.String())
	}
	return o.String(), e.String()
}

// An invalid command line or script gives one line of error and exit code 2, and no report is written.
func TestInvalidCommandLines(t *testing.T) {
	good, dir := writeFile(t, "good.jsonnet", smallScript), t.TempDir()
	report := filepath.Join(dir, "r.json")
	for _, c := range []struct {
		args    []string
		wantErr string
	}{
		{[]string{"run", writeFile(t, "a.jsonnet", `{clients: {rte: 1}}`), "--json", report}, "a.jsonnet: clients.rte: expected"},
		{[]string{"run", writeFile(t, "b.jsonnet", `{`), "--json", report}, "b.jsonnet: not Jsonnet"},
		{[]string{"check", filepath.Join(dir, "none.jsonnet")}, "none.jsonnet: no such file"},
		{[]string{"run", good, "--policy", "magic", "--json", report}, "routers.policy: expected one of"},
		{[]string{"run", good, "--hosts", "99999", "--json", report}, "hosts.count: expected"},
		{[]string{"sweep", good, "--set", "clients.rate"}, "--set: expected"},
		{[]string{"sweep", good, "--set", "clients.rate=1,2", "--seeds", "9-1"}, "--seeds: expected"},
		{[]string{"sweep", good, "--set", "clients.rate=1,x", "--json", report}, "clients.rate: expected float64"},
		{[]string{"live", good, "--policy", "random", "--json", report}, "virtual time only"},
		{[]string{"compare", good, good}, "not a report"},
		{[]string{"run"}, "arg"},
		{[]string{"dance"}, "unknown command"},
	} {
		if _, errText := runExpecting(t, exitBadCall, c.args...); !strings.Contains(errText, c.wantErr) || strings.Count(errText, "\n") != 1 && c.args[0] != "dance" {
			t.Errorf("%v: %q, want %q", c.args, errText, c.wantErr)
		}
	}
	if _, err := os.Stat(report); err == nil {
		t.Error("a report was written")
	}
}

func TestRunAndCompare(t *testing.T) {
	script, dir := writeFile(t, "small.jsonnet", smallScript), t.TempDir()
	one, two, other := filepath.Join(dir, "1.json"), filepath.Join(dir, "2.json"), filepath.Join(dir, "3.json")
	if out, _ := runExpecting(t, exitOK, "check", script); !strings.Contains(out, "script is good: small") {
		t.Errorf("%q", out)
	}
	out, errText := runExpecting(t, exitOK, "run", script, "--seed", "7", "--json", one, "--plot", filepath.Join(dir, "plots"))
	if !strings.Contains(out, "service 0.") && !strings.Contains(out, "service 1.") || errText != "" {
		t.Errorf("%q %q", out, errText) // no progress bar, since standard error is no terminal
	}
	runExpecting(t, exitOK, "run", script, "--seed", "7", "--json", two)
	runExpecting(t, exitOK, "run", script, "--seed", "8", "--json", other, "--policy", "random", "--routers", "2", "--hosts", "5")
	a, _ := os.ReadFile(one)
	b, _ := os.ReadFile(two)
	if len(a) == 0 || !bytes.Equal(a, b) {
		t.Error("two runs with the same seed gave different reports")
	}
	var r rehearsal.Report
	if err := json.Unmarshal(a, &r); err != nil || r.Requests < 500 || r.Service <= 0 || len(r.Outcomes) != 64 || len(r.Windows) != 2 {
		t.Errorf("%v %+v", err, r)
	}
	if out, _ := runExpecting(t, exitOK, "compare", one, two, "--within", "0"); !strings.Contains(out, "the same outcomes") {
		t.Errorf("%q", out)
	}
	if out, errText := runExpecting(t, exitFailed, "compare", one, other, "--within", "0"); !strings.Contains(out, "other outcomes") ||
		!strings.Contains(errText, "service differs") {
		t.Errorf("%q %q", out, errText)
	}
	checkPicture(t, filepath.Join(dir, "plots", "small.png"))
}

func TestSweep(t *testing.T) {
	script, dir := writeFile(t, "small.jsonnet", smallScript), t.TempDir()
	report := filepath.Join(dir, "s.json")
	out, _ := runExpecting(t, exitOK, "sweep", script, "--set", "releases[0].size=0.3,0.9", "--seeds", "1-3", "--json", report, "--plot", dir)
	if strings.Count(out, "service mean") != 2 {
		t.Errorf("%q", out)
	}
	data, err := os.ReadFile(report)
	var s rehearsal.Sweep
	if err != nil || json.Unmarshal(data, &s) != nil || len(s.Points) != 2 || s.Points[1].Value != "0.9" || len(s.Points[1].Plays) != 3 {
		t.Errorf("%v %s", err, data)
	}
	checkPicture(t, filepath.Join(dir, "small-sweep.png"))
	// A report that can't be written gives exit code 1: the command line is valid.
	runExpecting(t, exitFailed, "run", script, "--json", filepath.Join(dir, "no", "such", "r.json"))
}

// checkPicture reads a plot and checks that it is a PNG picture with more than a background.
func checkPicture(t *testing.T, path string) {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	img, err := png.Decode(f)
	if err != nil {
		t.Fatalf("%s: %v", path, err)
	}
	colors := map[any]bool{}
	for x := img.Bounds().Min.X; x < img.Bounds().Max.X; x += 3 {
		for y := img.Bounds().Min.Y; y < img.Bounds().Max.Y; y += 3 {
			colors[img.At(x, y)] = true
		}
	}
	if len(colors) < 4 {
		t.Errorf("%s has only %d colours", path, len(colors))
	}
}
