package live

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"merlinarch/internal/rehearsal"
	"merlinarch/internal/rehearsal/script"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// buildRouter builds the router's program and returns its path.
func buildRouter(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "merlinarch")
	if out, err := exec.Command("go", "build", "-o", path, "merlinarch/cmd/merlinarch").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// parseScript parses a valid script.
func parseScript(t *testing.T, text string) script.Script {
	t.Helper()
	s, err := script.Parse("t", text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// runningProcesses returns the /proc paths of the processes that run a program.
func runningProcesses(t *testing.T, binary string) (pids []string) {
	t.Helper()
	links, err := filepath.Glob("/proc/[0-9]*/exe")
	if err != nil {
		t.Fatal(err)
	}
	for _, l := range links {
		if to, err := os.Readlink(l); err == nil && strings.HasPrefix(to, binary) {
			pids = append(pids, l)
		}
	}
	return pids
}

// A short live rehearsal with a killed and a paused router, a crashed host, a silent platform, a burst and a release breaks
// no rule, serves most requests, comes near to the service in virtual time, and leaves no process.
func TestLive(t *testing.T) {
	binary := buildRouter(t)
	s := parseScript(t, `{name: "t", length: "14s", hosts: {count: 6}, clients: {rate: 60},
		classes: [{name: "read-board", share: 2, work: "20ms", cv: 0.5, aim: "1s", deadline: "2500ms", worth: 1, repeat: "safe"},
			{name: "post-notice", share: 1, work: "20ms", cv: 0.5, aim: "1s", deadline: "2s", worth: 5, repeat: "keyed", group: "zone", window: "8s"}],
		releases: [{at: "1s"}],
		troubles: [{kind: "router_kill", at: "3s", "for": "1s", share: 0.34}, {kind: "crash", at: "5s", "for": "1s", share: 0.17},
			{kind: "launcher_silent", at: "6s", "for": "1s"}, {kind: "burst", at: "8s", "for": "2s", size: 1.5},
			{kind: "router_stall", at: "10s", "for": "200ms", share: 0.34}]}`)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	r, err := Run(ctx, s, Options{Binary: binary, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	virtual, err := rehearsal.Run(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	if r.Rules.Broken() > 0 || r.Requests < 600 || !r.Live || r.Attempts < r.Ends["served"] {
		t.Errorf("%+v %v", r.Rules, strings.Join(append(r.Lines(), r.Broken...), "\n"))
	}
	// A busy machine slows live routers, so these bounds are wide; docs/rehearsal.md has the figures.
	if r.Service < virtual.Service-0.3 || r.Ends["served"] < r.Requests*8/10 {
		t.Errorf("live %v, virtual %v: %v", r.Service, virtual.Service, strings.Join(r.Lines(), "\n"))
	}
	if len(r.Builds) != 1 || r.Builds[0].Attempts == 0 {
		t.Errorf("no attempt reached the released build: %+v", r.Builds)
	}
	if remaining := runningProcesses(t, binary); len(remaining) > 0 {
		t.Errorf("processes left: %v", remaining)
	}
}

// An interrupted rehearsal returns soon and leaves no process; a router that exits at once gives an error.
func TestInterrupted(t *testing.T) {
	binary := buildRouter(t)
	s := parseScript(t, `{length: "60s", hosts: {count: 3}, clients: {rate: 20}}`)
	ctx, stop := context.WithTimeout(context.Background(), 6*time.Second)
	defer stop()
	startedAt := time.Now()
	if _, err := Run(ctx, s, Options{Binary: binary, Dir: t.TempDir()}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got error %v, want DeadlineExceeded", err)
	}
	if time.Since(startedAt) > 20*time.Second || len(runningProcesses(t, binary)) > 0 {
		t.Errorf("returned after %v; processes left: %v", time.Since(startedAt), runningProcesses(t, binary))
	}
	if _, err := Run(context.Background(), s, Options{Binary: "/bin/false", Dir: t.TempDir()}); err == nil ||
		!strings.Contains(err.Error(), "router") {
		t.Errorf("got error %v for a router that exits at once", err)
	}
}

// A script that can't be played live gives an error that names the path.
func TestCheck(t *testing.T) {
	for text, want := range map[string]string{
		`{troubles: [{kind: "link_loss", at: "1s", "for": "1s", size: 0.1}]}`: "troubles[0].kind",
		`{routers: {policy: "random"}}`:                                       "routers.policy",
		`{routers: {count: 100}, hosts: {count: 100}}`:                        "routers.count",
	} {
		if err := Check(parseScript(t, text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
