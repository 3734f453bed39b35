// Package cluster is a test cluster on loopback. It starts registrars (members of the Raft group that replicates the
// configuration) and dispatchers (gateways that hold read leases on it) as processes of this build, and runs the servers
// behind the dispatchers in the test's own process. On request each caller reaches each registrar through a faulty link
// of its own. Tests can kill and stop processes and cut links. What happened is recorded by the servers: each dispatcher
// has a separate listener for each server, so an arrival names both.
package cluster

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"merlinarch/internal/accord"
	"merlinarch/internal/standin/hosts"
	"merlinarch/internal/standin/link"
)

// Options describes a cluster.
type Options struct {
	Bin             string // directory of the programs
	Dir             string // directory for the registrars' stores, settings and logs
	Registrars      int
	Dispatchers     int
	Servers         int
	Mode            string                              // what a dispatcher without a lease does: accord.without_lease
	Accord          map[string]any                      // further accord settings of all processes
	ProcessSettings func(process string) map[string]any // further accord settings of one process, which override Accord; may be nil
	Seed            uint64
	// Serve answers a request that the server has recorded. If it is nil, the server answers at once.
	Serve func(ctx context.Context, a Arrival) hosts.Reply
	Site  func(server int) string // the site of a server; nil: all are in site a
	// RepeatWindow is how long servers drop repeats of planned work, as the dispatchers' settings say; zero: a minute.
	RepeatWindow time.Duration
	UseLinks     bool // connect through links; false: directly, which takes fewer file descriptors
	LowTraffic   bool // for tests that send little traffic because many processes share few cores
}

// Arrival is a complete request as a server received it.
type Arrival struct {
	At         time.Time
	Dispatcher string
	Server     string
	ID         string
	Target     string
	Key        string
	Body       string
}

// Process is one process of the cluster.
type Process struct {
	Name    string
	args    []string
	logPath string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// listener is where one dispatcher reaches one server.
type listener struct {
	server  int
	addr    string
	handler hosts.Handler
	running *hosts.Server // nil: the server is down
}

// Cluster is a running test cluster.
type Cluster struct {
	Options
	Processes map[string]*Process
	Links     map[[2]string]*link.Link // by the names of caller and registrar
	Addrs     map[string]string        // listen addresses of registrars and dispatchers, by name

	servers  []*listener
	mu       sync.Mutex
	arrivals []Arrival
	client   *http.Client
}

// RegistrarName returns the name of registrar i.
func RegistrarName(i int) string { return "r" + strconv.Itoa(i) }

// DispatcherName returns the name of dispatcher i.
func DispatcherName(i int) string { return "n" + strconv.Itoa(i) }

// ServerName returns the name of server i.
func ServerName(i int) string { return "s-" + strconv.Itoa(i) }

// portCounter varies the ports that freeAddr tries. They lie below the kernel's range for outgoing connections, so that
// a restarted process finds its own port still free.
var portCounter atomic.Int64

// freeAddr returns a loopback address that nothing listens on.
func freeAddr() (string, error) {
	for range 1000 {
		port := 10000 + (int64(os.Getpid())*97+portCounter.Add(1))%20000
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("no free loopback port in 1000 attempts")
}

// New creates a cluster's files and links and starts its servers; Start starts its processes.
func New(o Options) (*Cluster, error) {
	c := &Cluster{Options: o, Processes: map[string]*Process{}, Links: map[[2]string]*link.Link{}, Addrs: map[string]string{},
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	for i := range o.Registrars {
		if err := c.assignAddr(RegistrarName(i)); err != nil {
			return nil, err
		}
	}
	for i := range o.Dispatchers {
		if err := c.assignAddr(DispatcherName(i)); err != nil {
			return nil, err
		}
	}
	for i := range o.Registrars {
		name := RegistrarName(i)
		if err := c.writeSettings(name, c.Addrs[name]); err != nil {
			return nil, errors.Join(err, c.Close())
		}
		c.Processes[name] = &Process{Name: name, logPath: filepath.Join(o.Dir, name+".log"),
			args: []string{filepath.Join(o.Bin, "merlinarch-registrar"), "run", "--settings", c.settingsFile(name), "--name", name, "--dir", o.Dir}}
		if out, err := c.runRegistrarCommand("init", name); err != nil {
			return nil, errors.Join(fmt.Errorf("%w: %s", err, out), c.Close())
		}
	}
	for i := range o.Dispatchers {
		if err := c.addDispatcher(i); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, nil
}

// assignAddr gives a process the address that it will listen on.
func (c *Cluster) assignAddr(name string) (err error) {
	c.Addrs[name], err = freeAddr()
	return err
}

func (c *Cluster) settingsFile(name string) string {
	return filepath.Join(c.Dir, name+".settings.json")
}

// runRegistrarCommand runs a command of the registrar program to its end and returns its output.
func (c *Cluster) runRegistrarCommand(command, name string) (string, error) {
	out, err := exec.Command(filepath.Join(c.Bin, "merlinarch-registrar"), command, "--settings", c.settingsFile(name), "--name", name, "--dir", c.Dir).CombinedOutput()
	return string(out), err
}

// Join runs "merlinarch-registrar join", as an operator does, to create a new store for a registrar.
func (c *Cluster) Join(name string) (string, error) { return c.runRegistrarCommand("join", name) }

// SettingsPath returns the path of a process's settings file.
func (c *Cluster) SettingsPath(name string) string { return c.settingsFile(name) }

// StorePath returns the path of a registrar's store.
func (c *Cluster) StorePath(name string) string { return filepath.Join(c.Dir, name+".record") }

// writeSettings writes one process's settings file. With UseLinks it first creates the links through which the process
// reaches the other registrars.
func (c *Cluster) writeSettings(name, listen string) error {
	registrars := map[string]string{}
	for i := range c.Registrars {
		r := RegistrarName(i)
		registrars[r] = c.Addrs[r]
		if r == name || !c.Options.UseLinks {
			continue
		}
		k, err := link.New(c.Addrs[r], c.Seed+uint64(len(c.Links)))
		if err != nil {
			return err
		}
		c.Links[[2]string{name, r}] = k
		registrars[r] = k.Addr()
	}
	settings := map[string]any{"cluster": "test", "registrars": registrars, "without_lease": c.Mode, "listen": listen}
	for k, v := range c.Accord {
		settings[k] = v
	}
	if c.ProcessSettings != nil {
		for k, v := range c.ProcessSettings(name) {
			settings[k] = v
		}
	}
	return writeJSON(c.settingsFile(name), map[string]any{"accord": settings})
}

func writeJSON(path string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// addDispatcher writes a dispatcher's files and starts its listeners, one for each server.
func (c *Cluster) addDispatcher(i int) error {
	name := DispatcherName(i)
	var hostEntries []map[string]any
	for j := range c.Servers {
		server := ServerName(j)
		handler := func(ctx context.Context, request hosts.Request) hosts.Reply {
			a := Arrival{At: time.Now(), Dispatcher: name, Server: server, ID: request.ID, Target: request.Target, Key: request.DedupKey, Body: string(request.Body)}
			c.mu.Lock()
			c.arrivals = append(c.arrivals, a)
			c.mu.Unlock()
			if c.Serve != nil {
				return c.Serve(ctx, a)
			}
			return hosts.Reply{Body: []byte(server)}
		}
		host, err := hosts.Listen("127.0.0.1:0", handler)
		if err != nil {
			return err
		}
		c.servers = append(c.servers, &listener{j, host.Addr(), handler, host})
		site := "a"
		if c.Site != nil {
			site = c.Site(j)
		}
		hostEntries = append(hostEntries, map[string]any{"host": server, "dial": host.Addr(), "site": site, "class": "m", "block": 0, "health": "up",
			"share": 1.0, "born_ms": 0, "build": 42})
	}
	if err := c.writeSettings(name, ""); err != nil {
		return err
	}
	config := filepath.Join(c.Dir, name+".json")
	repeatWindow := cmp.Or(c.RepeatWindow, time.Minute)
	err := writeJSON(config, map[string]any{"name": name, "listen": c.Addrs[name], "discovery": "127.0.0.1:1", "seed": fmt.Sprintf("%x", c.Seed+uint64(i)*7919),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512},
		"pipeline": map[string]any{"address": "127.0.0.1:1",
			"news": map[string]any{"release": 42, "tranche": 0, "mode": "released", "exposure": 1, "old_ms": 0}},
		"known": map[string]any{"seq": 1, "whole": true, "hosts": hostEntries},
		"settings": map[string]any{"me": i, "peers_total": c.Dispatchers, "zone": "a",
			"classes": []map[string]any{{"name": "read", "repeat": "safe", "aim_ms": 1500.0, "deadline_ms": 5000.0, "worth": 1.0},
				{"name": "print", "repeat": "keyed", "group": "all", "window_ms": float64(repeatWindow.Milliseconds()), "aim_ms": 1500.0, "deadline_ms": 5000.0, "worth": 1.0}},
			"caps":  map[string]any{"max_attempts": 3, "conn_idle_ms": 30000.0, "dial_timeout_ms": 250.0},
			"rules": map[string]any{"drain_grace_ms": 1000.0}}})
	if err != nil {
		return err
	}
	c.Processes[name] = &Process{Name: name, logPath: filepath.Join(c.Dir, name+".log"),
		args: []string{filepath.Join(c.Bin, "merlinarch"), "serve", "--config", config, "--settings", c.settingsFile(name)}}
	return nil
}

// Start starts all processes of the cluster.
func (c *Cluster) Start() error {
	for _, p := range c.Processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Start starts a process, or restarts one that has ended. Its output is appended to its log file, and the kernel kills
// it when the thread that started it ends.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { cmd.Wait(); close(done) }(p.cmd, p.done)
	return nil
}

// Signal sends a signal to the process. It does nothing if the process has ended, whose id may belong to another by now.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(s)
	}
}

// Stop suspends the process with SIGSTOP until Continue.
func (p *Process) Stop() { p.Signal(syscall.SIGSTOP) }

// Continue resumes a process that Stop has suspended.
func (p *Process) Continue() { p.Signal(syscall.SIGCONT) }

// Kill kills the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// WaitExit waits for the process to end and returns its exit code, or false if it still runs after the timeout.
func (p *Process) WaitExit(timeout time.Duration) (int, bool) {
	select {
	case <-p.done:
		return p.cmd.ProcessState.ExitCode(), true
	case <-time.After(timeout):
		return 0, false
	}
}

// Log returns the output of a process so far.
func (c *Cluster) Log(name string) string {
	text, err := os.ReadFile(c.Processes[name].logPath)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// StopServer ends a server as a crash does: its connections are reset and new ones are refused.
func (c *Cluster) StopServer(server int) {
	for _, l := range c.listenersOf(server) {
		c.mu.Lock()
		running := l.running
		l.running = nil
		c.mu.Unlock()
		if running != nil {
			running.Close()
		}
	}
}

// RestartServer starts a server that StopServer has ended, at its former addresses.
func (c *Cluster) RestartServer(server int) error {
	for _, l := range c.listenersOf(server) {
		running, err := hosts.Listen(l.addr, l.handler)
		if err != nil {
			return err
		}
		c.mu.Lock()
		l.running = running
		c.mu.Unlock()
	}
	return nil
}

// listenersOf returns the listeners of a server, one for each dispatcher.
func (c *Cluster) listenersOf(server int) []*listener {
	var out []*listener
	for _, l := range c.servers {
		if l.server == server {
			out = append(out, l)
		}
	}
	return out
}

// Close kills all processes and closes the links and servers.
func (c *Cluster) Close() error {
	for _, p := range c.Processes {
		if p.done != nil {
			p.Kill()
		}
	}
	for _, k := range c.Links {
		k.Close()
	}
	for i := range c.Servers {
		c.StopServer(i)
	}
	c.client.CloseIdleConnections()
	return nil
}

// Arrivals returns the requests that the servers have received so far, in the order in which they were recorded.
func (c *Cluster) Arrivals() []Arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.arrivals)
}

// Operator returns a client that reaches the named registrars, or all without a name, directly instead of through links.
func (c *Cluster) Operator(names ...string) *accord.Client {
	addrs := map[string]string{}
	for i := range c.Registrars {
		if r := RegistrarName(i); len(names) == 0 || slices.Contains(names, r) {
			addrs[r] = c.Addrs[r]
		}
	}
	return accord.NewClient(addrs)
}

// Leader asks each registrar whether it is the leader and returns the name of the one with the highest term, or an empty
// string if none is.
func (c *Cluster) Leader(ctx context.Context) string {
	leader, term := "", uint64(0)
	for i := range c.Registrars {
		var role accord.RegistrarStatus
		callCtx, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		err := accord.Call(callCtx, c.client, c.Addrs[RegistrarName(i)], accord.PathStatus+"?local", nil, &role)
		cancel()
		if err == nil && role.IsLeader && role.Term > term {
			leader, term = role.Name, role.Term
		}
	}
	return leader
}

// Ready reports whether a dispatcher accepts requests.
func (c *Cluster) Ready(name string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Addrs[name]+"/-/ready", nil)
	if err != nil {
		return false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Get sends a GET request through a dispatcher. It returns the status, 0 if no answer came, and the Retry-After field.
func (c *Cluster) Get(ctx context.Context, name, id string) (status int, retryAfter string) {
	return c.sendRequest(ctx, http.MethodGet, name, id, "read", "", nil)
}

// Post sends a POST request with an idempotency key through a dispatcher. It returns the status, 0 if no answer came.
func (c *Cluster) Post(ctx context.Context, name, id, key string, body []byte) (status int) {
	status, _ = c.sendRequest(ctx, http.MethodPost, name, id, "print", key, body)
	return status
}

// sendRequest sends a request through a dispatcher and returns the status, 0 if no answer came, and the Retry-After field.
func (c *Cluster) sendRequest(ctx context.Context, method, name, id, class, key string, body []byte) (int, string) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Addrs[name]+"/api", bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Header.Set("X-Txn", id)
	req.Header.Set("X-Lane", class)
	req.Header.Set("X-Remaining-Ms", "2000")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// Metrics returns a registrar's counters as text.
func (c *Cluster) Metrics(ctx context.Context, name string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Addrs[name]+"/metrics", nil)
	if err != nil {
		return "", err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	return string(text), err
}
