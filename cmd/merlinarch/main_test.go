package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"merlinarch/internal/config"
	"merlinarch/internal/features"
	"merlinarch/internal/testwait"
)

func TestMain(m *testing.M) {
	if crowdProcess() {
		return
	}
	goleak.VerifyTestMain(m)
}

// environment holds the services that a router calls, on loopback: a host, discovery and the release platform.
type environment struct {
	host, discovery               *httptest.Server
	platform                      net.Listener
	background                    sync.WaitGroup
	mu                            sync.Mutex
	hostRequests                  []string // ids that the host has met
	discoveryAsked, platformAsked bool     // discovery and the platform were asked
}

// newEnvironment starts the services; the test's cleanup stops them.
func newEnvironment(t *testing.T) *environment {
	t.Helper()
	w := &environment{}
	w.host = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.mu.Lock()
		w.hostRequests = append(w.hostRequests, r.Header.Get("X-Txn"))
		w.mu.Unlock()
		if strings.Contains(r.RequestURI, "slow") {
			time.Sleep(300 * time.Millisecond)
		}
		fmt.Fprintf(rw, "%s %s %s", r.Method, r.RequestURI, body)
	}))
	w.discovery = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		w.discoveryAsked = true
		w.mu.Unlock()
		io.WriteString(rw, "\n")
		http.NewResponseController(rw).Flush()
		<-r.Context().Done()
	}))
	var err error
	if w.platform, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	w.background.Go(func() {
		for {
			c, err := w.platform.Accept()
			if err != nil {
				return
			}
			w.background.Go(func() {
				defer c.Close()
				for lines := bufio.NewScanner(c); lines.Scan(); {
					w.mu.Lock()
					w.platformAsked = true
					w.mu.Unlock()
					io.WriteString(c, "OK\r\n* news 42 0 released 1 5\r\n")
				}
			})
		}
	})
	t.Cleanup(func() {
		w.platform.Close()
		w.discovery.CloseClientConnections()
		w.discovery.Close()
		w.host.Close()
		w.background.Wait()
	})
	return w
}

// freeAddr returns a loopback address with a port that was free a moment ago.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// writeConfig writes the configuration of a router that knows one host, and returns its path.
func (w *environment) writeConfig(t *testing.T, listen string) string {
	t.Helper()
	addr := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	data, err := json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": addr(w.discovery), "seed": "1f",
		"limits":      map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 256},
		"peer_listen": "127.0.0.1:0", "peers": []string{"127.0.0.1:7946"},
		"pipeline": map[string]any{"address": w.platform.Addr().String(), "news": map[string]any{"release": 42,
			"tranche": 0, "mode": "released", "exposure": 1, "old_ms": 0}},
		"known": map[string]any{"seq": 1, "whole": true, "hosts": []any{map[string]any{"host": "s-1",
			"dial": addr(w.host), "site": "a", "block": 0, "health": "up", "share": 1.0, "born_ms": 0, "build": 42}}},
		"settings": map[string]any{"me": 0, "peers_total": 1, "zone": "a", "classes": []any{
			map[string]any{"name": "read", "repeat": "safe", "aim_ms": 5000.0, "deadline_ms": 5000.0, "worth": 1.0}},
			"caps":  map[string]any{"max_attempts": 3, "conn_idle_ms": 10000.0, "dial_timeout_ms": 1000.0},
			"rules": map[string]any{"drain_grace_ms": 1000.0}}})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// emptyEnv is an environment without variables.
func emptyEnv(string) string { return "" }

// sendGet sends a GET request on a new connection and returns the status and the body of the answer.
func sendGet(addr, target, id string) (int, string, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+target, nil)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Txn", id)
	req.Header.Set("X-Lane", "read")
	req.Header.Set("X-Remaining-Ms", "4000")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// A router serves with the hosts of its configuration, logs its counters on SIGUSR1, and on SIGTERM answers all accepted
// requests before it ends, including one on a connection opened just after the signal.
func TestServeAndEnd(t *testing.T) {
	w := newEnvironment(t)
	listen := freeAddr(t)
	c, err := config.Load(w.writeConfig(t, listen), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	done := make(chan error, 1)
	go func() { done <- serve(c, features.Default(), zap.New(core)) }()
	testwait.Until(t, "the router to get ready", func() bool {
		status, _, err := sendGet(listen, "/-/ready", "r")
		return err == nil && status == 200
	})
	if status, body, err := sendGet(listen, "/api?x=1", "one"); err != nil || status != 200 || body != "GET /api?x=1 " {
		t.Fatalf("%d %q %v", status, body, err)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGUSR1); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "the counters", func() bool { return logs.FilterMessage("counters").Len() > 0 })
	if n := logs.FilterMessage("counters").All()[0].ContextMap()["answers.served"]; n != int64(1) {
		t.Errorf("counters say %v answers were served", n)
	}
	results := make(chan string, 2)
	fetch := func(id string) {
		status, _, err := sendGet(listen, "/api?slow", id)
		results <- fmt.Sprint(status, err)
	}
	go fetch("two")
	testwait.Until(t, "the request to arrive", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.hostRequests) == 2
	})
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	go fetch("three") // on a connection that is opened after the signal
	for range 2 {
		if got := <-results; got != "200 <nil>" {
			t.Errorf("a request during the shutdown: %s", got)
		}
	}
	if err := testwait.Value(t, "the router to end", done); err != nil {
		t.Error(err)
	}
	if logs.FilterMessage("counters").Len() != 2 {
		t.Error("the counters were not logged at the end")
	}
}

// SIGHUP switches to the addresses that the configuration file names now. A file that can't be read changes nothing. Both
// also hold while the router shuts down.
func TestReload(t *testing.T) {
	w, next := newEnvironment(t), newEnvironment(t)
	listen := freeAddr(t)
	path := w.writeConfig(t, listen)
	c, err := config.Load(path, emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	done := make(chan error, 1)
	go func() { done <- serve(c, features.Default(), zap.New(core)) }()
	testwait.Until(t, "the router to get ready", func() bool {
		status, _, err := sendGet(listen, "/-/ready", "r")
		return err == nil && status == 200
	})
	signalSelf := func(s syscall.Signal) {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), s); err != nil {
			t.Fatal(err)
		}
	}
	waitForLog := func(text string, times int) {
		t.Helper()
		testwait.Until(t, text, func() bool { return logs.FilterMessage(text).Len() == times })
	}
	replaceFile := func(data []byte) { // by a rename, so that the router never reads half a file
		t.Helper()
		if err := os.WriteFile(path+".new", data, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	replaceFile([]byte(`{"name":"n0","listen`))
	signalSelf(syscall.SIGHUP)
	waitForLog("new configuration can't be used, going on with the old one", 1)
	other, err := os.ReadFile(next.writeConfig(t, listen))
	if err != nil {
		t.Fatal(err)
	}
	replaceFile(other)
	signalSelf(syscall.SIGHUP)
	waitForLog("configuration read anew", 1)
	waitForLog("platform moves", 1)
	waitForLog("discovery moves", 1)
	testwait.Until(t, "the new addresses to be asked", func() bool {
		next.mu.Lock()
		defer next.mu.Unlock()
		return next.platformAsked && next.discoveryAsked
	})
	if status, _, err := sendGet(listen, "/api", "one"); err != nil || status != 200 {
		t.Errorf("after the reload: %d %v", status, err)
	}
	results := make(chan string, 1)
	go func() {
		status, _, err := sendGet(listen, "/api?slow", "two")
		results <- fmt.Sprint(status, err)
	}()
	testwait.Until(t, "the request to arrive", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.hostRequests) == 2
	})
	signalSelf(syscall.SIGTERM)
	signalSelf(syscall.SIGHUP)
	waitForLog("configuration read anew", 2)
	if got := <-results; got != "200 <nil>" {
		t.Errorf("a request during the shutdown: %s", got)
	}
	if err := testwait.Value(t, "the router to end", done); err != nil {
		t.Error(err)
	}
}

func TestCommandLine(t *testing.T) {
	w := newEnvironment(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	good, busy := w.writeConfig(t, freeAddr(t)), w.writeConfig(t, taken.Addr().String())
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	odd := filepath.Join(t.TempDir(), "odd.jsonnet")
	if err := os.WriteFile(odd, []byte(`{"ledgr": {"on": true}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	plain := filepath.Join(t.TempDir(), "plain.json")
	if err := os.WriteFile(plain, []byte(`{"ledger": {"period": "10m"}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args             []string
		code             int
		wantOut, wantErr string // what standard output and standard error have to contain
	}{
		{nil, 2, "", "Usage"},
		{[]string{"help"}, 0, "serve", ""},
		{[]string{"help", "serve"}, 0, "SIGTERM", ""},
		{[]string{"version"}, 0, "merlinarch", ""},
		{[]string{"dance"}, 2, "", "unknown command"},
		{[]string{"check", "-config", good}, 0, "good", ""},
		{[]string{"check", "-config", good}, 0, "memory: 192 MiB, of these 134.4 for the Go runtime", ""},
		{[]string{"check", "-config", broken}, 2, "", "not JSON"},
		{[]string{"check"}, 2, "", "LB_CONFIG is not set"},
		{[]string{"check", "--config", good, "--settings", plain}, 0, "good", ""},
		{[]string{"check", "-config=" + good, "--settings", odd}, 2, "", "odd.jsonnet: ledgr: expected no such name"},
		{[]string{"check", "-config", good, "more"}, 2, "", "unexpected"},
		{[]string{"check", "-odd"}, 2, "", "odd"},
		{[]string{"serve", "-config", broken + ".none"}, 2, "", "no such file"},
		{[]string{"serve", "-config", good, "-log-level", "loud"}, 2, "", "log level"},
		{[]string{"serve", "-config", busy, "-log-level", "error"}, 1, "", "address already in use"},
	}
	for _, c := range cases {
		t.Run(strings.Join(c.args[:min(1, len(c.args))], ""), func(t *testing.T) {
			var out, errOut bytes.Buffer
			if code := run(c.args, &out, &errOut, emptyEnv); code != c.code || !strings.Contains(out.String(), c.wantOut) ||
				!strings.Contains(errOut.String(), c.wantErr) {
				t.Errorf("%v: code %d, out %q, err %q", c.args, code, out.String(), errOut.String())
			}
			if c.code == 2 && c.args != nil && c.args[0] == "check" && c.wantErr != "odd" && strings.Count(errOut.String(), "\n") != 1 {
				t.Errorf("%v: the error is not one line: %q", c.args, errOut.String())
			}
		})
	}
}

// Settings in Jsonnet are evaluated by merlinarch-rehearse, in the folder of the router; without that program the check
// fails with exit code 1 and says so.
func TestSettingsTemplate(t *testing.T) {
	w := newEnvironment(t)
	path := w.writeConfig(t, freeAddr(t))
	dir := t.TempDir()
	build := func(name string) {
		t.Helper()
		if out, err := exec.Command("go", "build", "-o", dir, "merlinarch/cmd/"+name).CombinedOutput(); err != nil {
			t.Fatalf("%v: %s", err, out)
		}
	}
	check := func(settings string) (string, int) {
		c := exec.Command(filepath.Join(dir, "merlinarch"), "check", "--config", path, "--settings", settings)
		out, _ := c.CombinedOutput()
		return string(out), c.ProcessState.ExitCode()
	}
	wrong := filepath.Join(dir, "wrong.jsonnet")
	if err := os.WriteFile(wrong, []byte("{ledger: {period: 3}}"), 0o600); err != nil {
		t.Fatal(err)
	}
	build("merlinarch")
	if text, code := check("../../deploy/merlinarch.jsonnet"); code != 1 || !strings.Contains(text, "is built beside") {
		t.Errorf("without merlinarch-rehearse: %d %s", code, text)
	}
	build("merlinarch-rehearse")
	if text, code := check("../../deploy/merlinarch.jsonnet"); code != 0 || !strings.Contains(text, "good") {
		t.Errorf("%d %s", code, text)
	}
	if text, code := check(wrong); code != 2 || !strings.Contains(text, "wrong.jsonnet: ledger.period: expected") {
		t.Errorf("%d %s", code, text)
	}
	if text, code := check(wrong + ".none"); code != 2 || !strings.Contains(text, "no such file") {
		t.Errorf("%d %s", code, text)
	}
}
