package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"merlinarch/internal/testwait"
)

// These tests run the program as a process and check what the users' standing page requires of shutdowns, restarts and
// lists of hosts.

// buildRouter builds the router once and returns its path.
var buildRouter = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "merlinarch")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("go", "build", "-o", dir, "merlinarch/cmd/merlinarch").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return filepath.Join(dir, "merlinarch"), nil
})

// startProcess runs the router with a configuration; the test's cleanup kills it. If ROUTER_TRACES names a directory, the
// router writes a log of each request and connection there.
func startProcess(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	bin, err := buildRouter()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	level, traces := "error", os.Getenv("ROUTER_TRACES")
	if traces != "" {
		level = "debug"
	}
	c := exec.Command(bin, "serve", "--config", path, "--log-level", level)
	if traces != "" {
		file, err := os.CreateTemp(traces, strings.ReplaceAll(t.Name(), "/", "_")+"-*.log")
		if err != nil {
			t.Fatal(err)
		}
		defer file.Close()
		c.Stderr = file
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Process.Kill()
		c.Wait()
	})
	return c
}

// routerConfig is the configuration of a router in a test of processes.
type routerConfig struct {
	listen, discovery string
	memoryMB, sockets int
	cancel            bool     // attempts may be cancelled
	hosts             []string // entries of the list of hosts
}

// text returns the configuration as JSON. The keyed class allows repeats at all hosts.
func (c routerConfig) text() string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
		"pipeline":{"address":"127.0.0.1:1","news":{"release":42,"tranche":0,"mode":"released","exposure":1,"old_ms":0}},
		"known":{"seq":1,"whole":true,"hosts":[%s]},"settings":{"me":0,"peers_total":1,"zone":"a","classes":[{"name":"read","repeat":"safe",
		"aim_ms":1500.0,"deadline_ms":3000.0,"worth":1.0},{"name":"post","repeat":"keyed","group":"all","window_ms":8000.0,"aim_ms":1500.0,
		"deadline_ms":3000.0,"worth":1.0},{"name":"pay","repeat":"unsafe","aim_ms":1500.0,"deadline_ms":3000.0,"worth":1.0}],"caps":{"cancel":%t,"max_attempts":3,"conn_idle_ms":10000.0,"dial_timeout_ms":250.0},
		"rules":{"drain_grace_ms":1000.0}}}`, c.listen, c.discovery, c.memoryMB, c.sockets, strings.Join(c.hosts, ","), c.cancel)
}

// configText returns a configuration whose list of hosts has the given entries.
func configText(listen, discovery string, entries ...string) string {
	return routerConfig{listen: listen, discovery: discovery, memoryMB: 64, sockets: 256, hosts: entries}.text()
}

// hostEntry returns an entry of a list of hosts.
func hostEntry(name, addr, health string) string {
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","block":0,"health":%q,"share":1.0,"born_ms":0,"build":42}`, name, addr, health)
}

// countingHost is a host that counts its requests and records when the last one came.
type countingHost struct {
	*httptest.Server
	mu    sync.Mutex
	last  time.Time
	count int
}

// newCountingHost starts a host that waits before it answers requests for a target with "slow".
func newCountingHost(t *testing.T, wait time.Duration) *countingHost {
	a := &countingHost{}
	a.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		a.last = time.Now()
		a.count++
		a.mu.Unlock()
		if strings.Contains(r.RequestURI, "slow") {
			time.Sleep(wait)
		}
		io.WriteString(w, "notice")
	}))
	t.Cleanup(func() { a.CloseClientConnections(); a.Close() })
	return a
}

// addr returns the address of the host.
func (a *countingHost) addr() string { return strings.TrimPrefix(a.URL, "http://") }

// requests returns the time of the last request and the number of requests.
func (a *countingHost) requests() (time.Time, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.last, a.count
}

// After SIGTERM clients still send on every open connection. Each request gets a complete answer, unless its connection was
// closed between requests. The router ends by itself in time, with all accepted requests answered.
func TestOpenConnectionsAreAnsweredAfterSIGTERM(t *testing.T) {
	closed := int64(0)
	for range 4 {
		closed += terminateUnderLoad(t)
	}
	// The router may close a connection at the moment a client sends on it. It must not close one whose request has
	// already arrived.
	t.Logf("%d of 48 connections closed under a request", closed)
	if closed > 3 {
		t.Errorf("%d of 48 connections closed under a request", closed)
	}
}

// terminateUnderLoad sends SIGTERM to a router while twelve clients send requests, each on one connection. It returns how
// many connections closed without an answer to a request that had been sent on them.
func terminateUnderLoad(t *testing.T) int64 {
	t.Helper()
	host := newCountingHost(t, 600*time.Millisecond)
	listen := freeAddr(t)
	router := startProcess(t, configText(listen, "127.0.0.1:1", hostEntry("s-1", host.addr(), "up"), hostEntry("s-2", host.addr(), "up"), hostEntry("s-3", host.addr(), "up")))
	testwait.Until(t, "the router to get ready", func() bool {
		status, _, err := sendGet(listen, "/-/ready", "r")
		return err == nil && status == 200
	})
	var serial, answered, after, closed atomic.Int64
	var ending atomic.Bool
	var work sync.WaitGroup
	for client := range 12 {
		work.Go(func() {
			c, err := net.Dial("tcp", listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			answers := bufio.NewReader(c)
			for {
				target := "/api"
				if client%3 == 0 {
					target = "/api?slow"
				}
				if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: x\r\nX-Txn: %d\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n\r\n", target, serial.Add(1)); err != nil {
					closed.Add(1) // closed between requests
					return
				}
				resp, err := http.ReadResponse(answers, nil)
				if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) {
					if !ending.Load() {
						t.Errorf("connection closed before SIGTERM: %v", err)
					}
					closed.Add(1)
					return
				}
				if err != nil {
					t.Error(err)
					return
				}
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil || resp.StatusCode != 200 || string(body) != "notice" {
					t.Errorf("%d %q %v", resp.StatusCode, body, err)
				}
				answered.Add(1)
				if ending.Load() {
					after.Add(1)
				}
				if resp.Close {
					return
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	ending.Store(true)
	began := time.Now()
	if err := router.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- router.Wait() }()
	if err := testwait.Value(t, "the router to end", done); err != nil {
		t.Errorf("ended with %v", err)
	}
	if took := time.Since(began); took > 3700*time.Millisecond {
		t.Errorf("ended after %v, SIGKILL comes 3.7 s after SIGTERM", took)
	}
	work.Wait()
	if after.Load() == 0 || answered.Load() < 100 {
		t.Errorf("%d answers, %d of them after SIGTERM", answered.Load(), after.Load())
	}
	return closed.Load()
}

// The list of the discovery agent applies from the start of a new process, whatever list the configuration has. A host
// that drained before the start gets no request once its grace is over.
func TestFirstDiscoveryListAppliesAtStart(t *testing.T) {
	draining, healthy := newCountingHost(t, 0), newCountingHost(t, 0)
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var text bytes.Buffer // a list may be indented over several lines
		json.Indent(&text, fmt.Appendf(nil, `{"seq":9,"whole":true,"hosts":[%s,%s]}`, hostEntry("s-1", draining.addr(), "draining"), hostEntry("s-2", healthy.addr(), "up")), "", "  ")
		fmt.Fprintf(w, "%s\n", text.Bytes())
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer agent.Close()
	defer agent.CloseClientConnections()
	listen := freeAddr(t)
	began := time.Now()
	startProcess(t, configText(listen, strings.TrimPrefix(agent.URL, "http://"), hostEntry("s-1", draining.addr(), "up"), hostEntry("s-2", healthy.addr(), "up")))
	served := 0
	for i := 0; time.Since(began) < 2500*time.Millisecond; i++ {
		if status, _, err := sendGet(listen, "/api", fmt.Sprint("x", i)); err == nil && status == 200 {
			served++
		}
	}
	if at, n := draining.requests(); n > 0 && at.Sub(began) > 1050*time.Millisecond {
		t.Errorf("a host that drained before the start got requests until %v after it", at.Sub(began))
	}
	if served < 100 {
		t.Errorf("%d served", served)
	}
}

// A watch that falls silent is reopened in time: the router counts as informed of missed changes 6 s after that.
func TestSilentWatchIsReopened(t *testing.T) {
	t.Parallel()
	draining, healthy := newCountingHost(t, 0), newCountingHost(t, 0)
	var silentSince atomic.Int64
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if silentSince.CompareAndSwap(0, time.Now().UnixNano()) { // the first watch sends nothing after its list
			fmt.Fprintf(w, "{\"seq\":2,\"whole\":true,\"hosts\":[%s,%s]}\n", hostEntry("s-1", draining.addr(), "up"), hostEntry("s-2", healthy.addr(), "up"))
		} else {
			fmt.Fprintf(w, "{\"seq\":3,\"whole\":false,\"hosts\":[%s]}\n", hostEntry("s-1", draining.addr(), "draining"))
		}
		http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer agent.Close()
	defer agent.CloseClientConnections()
	listen := freeAddr(t)
	startProcess(t, configText(listen, strings.TrimPrefix(agent.URL, "http://"), hostEntry("s-1", draining.addr(), "up"), hostEntry("s-2", healthy.addr(), "up")))
	testwait.Until(t, "the watch", func() bool { return silentSince.Load() != 0 })
	silent := time.Unix(0, silentSince.Load())
	for i := 0; time.Since(silent) < 8*time.Second; i++ {
		sendGet(listen, "/api", fmt.Sprint("y", i))
		time.Sleep(5 * time.Millisecond)
	}
	at, n := draining.requests()
	if n == 0 {
		t.Fatal("the draining host got no requests before its drain")
	}
	if late := at.Sub(silent); late > 7050*time.Millisecond { // 6 s, the grace of 1 s, and the protocol's 50 ms
		t.Errorf("a host whose drain was missed got requests until %v after the watch fell silent", late)
	}
}

// Signals that arrive together, repeatedly, or before the router listens lead to one orderly shutdown, with all accepted
// requests answered.
func TestConcurrentAndEarlySignals(t *testing.T) {
	t.Parallel()
	held, release := make(chan struct{}, 1), make(chan struct{})
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		held <- struct{}{}
		<-release
		io.WriteString(w, "notice")
	}))
	defer host.Close()
	listen := freeAddr(t)
	router := startProcess(t, configText(listen, "127.0.0.1:1", hostEntry("s-1", strings.TrimPrefix(host.URL, "http://"), "up")))
	testwait.Until(t, "the router to get ready", func() bool {
		status, _, err := sendGet(listen, "/-/ready", "r")
		return err == nil && status == 200
	})
	answer := make(chan string, 1)
	go func() {
		status, body, err := sendGet(listen, "/api", "held")
		answer <- fmt.Sprint(status, " ", body, " ", err)
	}()
	testwait.Value(t, "the request at its host", held)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1} {
		if err := router.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	testwait.Until(t, "nothing more to be accepted", func() bool {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			c.Close()
		}
		return err != nil
	})
	close(release)
	if got := testwait.Value(t, "the answer", answer); got != "200 notice <nil>" {
		t.Error(got)
	}
	done := make(chan error, 1)
	go func() { done <- router.Wait() }()
	if err := testwait.Value(t, "the router to end", done); err != nil {
		t.Errorf("ended with %v", err)
	}

	early := startProcess(t, configText(freeAddr(t), "127.0.0.1:1", hostEntry("s-1", "127.0.0.1:1", "up")))
	if err := early.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	go func() { done <- early.Wait() }()
	err := testwait.Value(t, "the router to end that got SIGTERM before it listened", done)
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		if status, ok := exit.Sys().(syscall.WaitStatus); !ok || status.Signal() != syscall.SIGTERM {
			t.Errorf("ended with %v", err) // neither cleanly nor by the signal
		}
	}
}

// Of processes that are restarted together, half of them after SIGKILL and half after SIGTERM, nine in ten are ready within
// 10 s and all within 30 s. Discovery accepts connections but never answers, so each serves with the hosts of its
// configuration.
func TestSimultaneousRestartsAreReadyInTime(t *testing.T) {
	t.Parallel()
	const routers = 20
	host := newCountingHost(t, 0)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // the kernel accepts connections; nothing answers on them
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	ready := func(listen string) func() bool {
		return func() bool {
			status, _, err := sendGet(listen, "/-/ready", "r")
			return err == nil && status == 200
		}
	}
	var listens [routers]string
	var processes [routers]*exec.Cmd
	boot := func(i int) {
		processes[i] = startProcess(t, configText(listens[i], silent.Addr().String(), hostEntry("s-1", host.addr(), "up"), hostEntry("s-2", host.addr(), "up")))
	}
	for i := range routers {
		listens[i] = freeAddr(t)
		boot(i)
	}
	for _, listen := range listens {
		testwait.Until(t, "the routers to get ready at first", ready(listen))
	}
	for i, p := range processes {
		if err := p.Process.Signal([]os.Signal{syscall.SIGKILL, syscall.SIGTERM}[i%2]); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range processes {
		p.Wait()
	}
	began := time.Now()
	for i := range routers {
		boot(i)
	}
	var readyAfter [routers]time.Duration
	var work sync.WaitGroup
	for i, listen := range listens {
		work.Go(func() {
			for isReady := ready(listen); !isReady() && time.Since(began) < 31*time.Second; {
				time.Sleep(5 * time.Millisecond)
			}
			readyAfter[i] = time.Since(began)
		})
	}
	work.Wait()
	slices.Sort(readyAfter[:])
	if late := readyAfter[routers*9/10-1]; late > 10*time.Second || readyAfter[routers-1] > 30*time.Second {
		t.Errorf("nine in ten ready after %v, the last after %v", late, readyAfter[routers-1])
	}
	for i, listen := range listens {
		if status, body, err := sendGet(listen, "/api", fmt.Sprint("after", i)); status != 200 || body != "notice" {
			t.Errorf("router %d serves %d %q %v once it is ready", i, status, body, err)
		}
	}
}

// A request whose client closed its connection is not sent to a host if it still waits for its first attempt 0.3 s later,
// even if more bytes follow the request on the connection. Requests of other clients are served.
func TestNoAttemptForDisconnectedClients(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	received := map[string]bool{}
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		received[r.Header.Get("X-Txn")] = true
		mu.Unlock()
		io.WriteString(w, "notice")
	}))
	defer host.Close()
	addr := strings.TrimPrefix(host.URL, "http://")
	markUp := make(chan struct{})
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "{\"seq\":2,\"whole\":true,\"hosts\":[%s]}\n", hostEntry("s-1", addr, "draining"))
		http.NewResponseController(w).Flush()
		select {
		case <-markUp:
			fmt.Fprintf(w, "{\"seq\":3,\"whole\":false,\"hosts\":[%s]}\n", hostEntry("s-1", addr, "up"))
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		case <-r.Context().Done():
		}
	}))
	defer agent.Close()
	defer agent.CloseClientConnections()
	listen := freeAddr(t)
	startProcess(t, configText(listen, strings.TrimPrefix(agent.URL, "http://"), hostEntry("s-1", addr, "draining")))
	testwait.Until(t, "the router to get ready", func() bool {
		status, _, err := sendGet(listen, "/-/ready", "r")
		return err == nil && status == 200
	})
	sendRequest := func(id string) net.Conn {
		c, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n\r\n", id)
		return c
	}
	var disconnecting []net.Conn
	for i := range 20 {
		disconnecting = append(disconnecting, sendRequest(fmt.Sprint("gone", i)))
	}
	stays := sendRequest("stays")
	defer stays.Close()
	time.Sleep(100 * time.Millisecond) // so that the router reads each request before the bytes that follow it, or the close
	for i, c := range disconnecting {
		io.WriteString(c, []string{"", "G", "\r\n", "GET /api HT"}[i%4])
	}
	time.Sleep(50 * time.Millisecond)
	for _, c := range disconnecting {
		c.Close()
	}
	time.Sleep(300 * time.Millisecond) // the time that the standing page allows
	close(markUp)
	stays.SetReadDeadline(time.Now().Add(testwait.Patience))
	resp, err := http.ReadResponse(bufio.NewReader(stays), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatalf("the client that stays: %+v %v", resp, err)
	}
	resp.Body.Close()
	if status, _, err := sendGet(listen, "/api", "last"); status != 200 { // by now every waiting request has been sent or abandoned
		t.Errorf("%d %v", status, err)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(received) != 2 || !received["stays"] || !received["last"] {
		t.Errorf("the host got %v", received)
	}
}

// New connections arrive for 0.4 s after SIGTERM. Of those with an immediate request, the router may close at most one in
// 200 without a good answer.
func TestNewConnectionsAfterSIGTERM(t *testing.T) {
	t.Parallel()
	host := newCountingHost(t, 0)
	listen := freeAddr(t)
	router := startProcess(t, configText(listen, "127.0.0.1:1", hostEntry("s-1", host.addr(), "up"), hostEntry("s-2", host.addr(), "up")))
	testwait.Until(t, "the router to get ready", func() bool {
		status, _, err := sendGet(listen, "/-/ready", "r")
		return err == nil && status == 200
	})
	if err := router.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	var work sync.WaitGroup
	var taken, unanswered atomic.Int64
	for began := time.Now(); time.Since(began) < 400*time.Millisecond; time.Sleep(2 * time.Millisecond) {
		work.Go(func() {
			c, err := net.Dial("tcp", listen)
			if err != nil {
				return // not accepted: no request was sent
			}
			defer c.Close()
			fmt.Fprintf(c, "GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: n%d\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n\r\n", taken.Add(1))
			c.SetReadDeadline(time.Now().Add(testwait.Patience))
			if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
				unanswered.Add(1)
			}
		})
	}
	work.Wait()
	if taken.Load() < 20 || unanswered.Load()*200 > taken.Load() {
		t.Errorf("%d of %d new connections closed without a good answer", unanswered.Load(), taken.Load())
	}
}
