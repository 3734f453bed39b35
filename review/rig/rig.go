// Package rig holds what the review's cases share: the record, free ports, the router processes and their configuration,
// and a client.
package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Case is one run of a case.
type Case struct {
	Trouble bool   // cause the disruption
	Root    string // the repository
	Run     string // the command of the deploy file that starts a router
	Dir     string // a temporary folder
	start   time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*Process
}

// Object is a JSON object.
type Object = map[string]any

// New reads the environment that run.sh sets, and opens the record.
func New() *Case {
	runtime.LockOSThread() // children get a parent-death signal, which belongs to the thread that starts them
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Root: os.Getenv("CASE_ROOT"), Run: os.Getenv("CASE_RUN"), Dir: os.Getenv("CASE_TMP"), start: time.Now()}
	f, err := os.Create(os.Getenv("CASE_RECORD"))
	if err != nil || c.Root == "" || c.Run == "" || c.Dir == "" {
		fmt.Fprintln(os.Stderr, "start this by run.sh:", err)
		os.Exit(2)
	}
	c.record = f
	c.Log("trouble=%v", c.Trouble)
	return c
}

// Log writes one line to the record, with the time since the start in milliseconds.
func (c *Case) Log(format string, args ...any) { c.LogAt(time.Now(), format, args...) }

// LogAt writes one line to the record for something that happened at a given time.
func (c *Case) LogAt(at time.Time, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%10.3f %s\n", float64(at.Sub(c.start).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// End ends all processes and exits: 0 the rule held, 1 it was broken, 2 the case could not run.
func (c *Case) End(code int, format string, args ...any) {
	c.mu.Lock()
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range procs {
		p.WaitFor(5 * time.Second)
	}
	text := map[int]string{0: "rule held", 1: "RULE BROKEN", 2: "case could not run"}[code] + ": " + fmt.Sprintf(format, args...)
	c.Log("%s", text)
	fmt.Println(text)
	os.Exit(code)
}

// Must ends the case as one that could not run if there is an error.
func (c *Case) Must(err error) {
	if err != nil {
		c.End(2, "%v", err)
	}
}

// FreePort returns a loopback address with a free port.
func (c *Case) FreePort() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	defer l.Close()
	return l.Addr().String()
}

// Process is a process that the case started.
type Process struct {
	Name string
	cmd  *exec.Cmd
	done chan struct{}
}

// Start starts a shell command in the repository's folder, as the deploy file's commands are started.
func (c *Case) Start(name, command string, env ...string) *Process {
	log, err := os.OpenFile(filepath.Join(c.Dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	c.Must(err)
	p := &Process{Name: name, cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Env, p.cmd.Stdout, p.cmd.Stderr = c.Root, append(os.Environ(), env...), log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	c.Must(p.cmd.Start())
	c.mu.Lock()
	c.procs = append(c.procs, p)
	c.mu.Unlock()
	c.Log("process %s started, pid %d: %s", name, p.cmd.Process.Pid, command)
	go func() {
		err := p.cmd.Wait()
		c.Log("process %s ended: %v", name, err)
		log.Close()
		close(p.done)
	}()
	return p
}

// Signal sends a signal to the process unless it has ended.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		p.cmd.Process.Signal(s)
	}
}

// WaitFor waits for the end of the process, and reports whether it ended in time.
func (p *Process) WaitFor(d time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(d):
		return false
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool { return p.WaitFor(0) }

// StartRouter writes a router's configuration and starts it by the deploy file's command; arguments follow the command.
func (c *Case) StartRouter(name string, config Object, arguments string) *Process {
	path := filepath.Join(c.Dir, name+".json")
	text, err := json.MarshalIndent(config, "", " ")
	c.Must(err)
	c.Must(os.WriteFile(path, text, 0o600))
	tmp := filepath.Join(c.Dir, name+".tmp")
	c.Must(os.MkdirAll(tmp, 0o700))
	return c.Start(name, strings.TrimSpace(c.Run+" "+arguments), "LB_CONFIG="+path, "LB_NAME="+name, "LB_LISTEN="+config["listen"].(string),
		"LB_DISCOVERY="+config["discovery"].(string), "TMPDIR="+tmp)
}

// WaitReady waits until a router answers its readiness check with 200.
func (c *Case) WaitReady(p *Process, addr string) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end) && !p.Ended(); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + addr + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			c.Log("%s is ready", p.Name)
			return
		}
	}
	c.End(2, "%s is not ready", p.Name)
}

// Client sends requests to routers over kept connections.
type Client struct{ http http.Client }

// NewClient returns a client.
func NewClient() *Client {
	return &Client{http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 1500 * time.Millisecond, DisableCompression: true}}}
}

// Request is one request of a client.
type Request struct {
	ID, Class, Key string // Key: idempotency key; a request with one is a POST
	Tenant         string
	Wait           time.Duration
	Body           string
}

// Send sends a request and returns the status and body of the answer. The client waits a second longer than it says, so that
// a late answer is told from none.
func (cl *Client) Send(addr string, q Request) (status int, body string, err error) {
	ctx, stop := context.WithTimeout(context.Background(), q.Wait+time.Second)
	defer stop()
	method := http.MethodGet
	if q.Key != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+"/api", strings.NewReader(q.Body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Txn", q.ID)
	req.Header.Set("X-Lane", q.Class)
	req.Header.Set("X-Remaining-Ms", strconv.FormatInt(q.Wait.Milliseconds(), 10))
	if q.Key != "" {
		req.Header.Set("Idempotency-Key", q.Key)
	}
	if q.Tenant != "" {
		req.Header.Set("X-Org", q.Tenant)
	}
	resp, err := cl.http.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// Pid returns the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }
