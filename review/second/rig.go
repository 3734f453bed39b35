// Command second plays the cases of the second review: it starts the project's programs as processes, gives them stand-ins
// of discovery, of the release platform, of hosts and of clients, causes one disruption, and checks one rule by what the
// stand-ins saw.
//
// Exit code 0: the rule held; 1: it was broken; 2: the case could not run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is what all cases share.
type rig struct {
	root    string // of the repository
	tmp     string
	trouble bool

	start      time.Time
	mu         sync.Mutex
	out        *bufio.Writer
	file       *os.File
	procs      []*proc
	broken     []string
	endings    []func()
	registrars []string // their addresses
	ended      sync.Once
}

// proc is a process of the project.
type proc struct {
	name string
	text string // the command
	env  []string
	cmd  *exec.Cmd
	done chan struct{}
}

// unable ends the case with exit code 2.
type unable struct{ why string }

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: second CASE ROOT RECORD")
		os.Exit(2)
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

func run(play func(*rig), root, record string) (code int) {
	r := &rig{root: root, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	var err error
	if r.tmp, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if r.file, err = os.Create(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	r.out = bufio.NewWriter(r.file)
	defer r.end()
	defer func() {
		if p := recover(); p != nil {
			u, ok := p.(unable)
			if !ok {
				panic(p)
			}
			r.note("could not run: %s", u.why)
			fmt.Println("could not run:", u.why)
			code = 2
		}
	}()
	r.note("trouble %v", r.trouble)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() { // a case that is ended, or that takes too long, leaves no process behind
		why := "took longer than 117 s"
		select {
		case x := <-stop:
			why = "ended by " + x.String()
		case <-time.After(117 * time.Second):
		}
		fmt.Println("could not run:", why)
		r.note("could not run: %s", why)
		r.end()
		os.Exit(2)
	}()
	play(r)
	for _, b := range r.broken {
		r.note("BROKEN %s", b)
	}
	if len(r.broken) > 0 {
		fmt.Printf("broken: %d times; first: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

// end ends all processes and removes the temporary folder.
func (r *rig) end() {
	r.ended.Do(r.endAll)
}

func (r *rig) endAll() {
	for _, p := range r.procs {
		p.signal(syscall.SIGKILL)
		p.signal(syscall.SIGCONT)
		<-p.done
	}
	for _, f := range r.endings {
		f()
	}
	r.mu.Lock()
	r.out.Flush()
	r.file.Close()
	r.mu.Unlock()
	os.RemoveAll(r.tmp)
}

// note writes a line to the record, with the time since the start in milliseconds.
func (r *rig) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

func (r *rig) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%10.1f ", r.ms(at))
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

func (r *rig) ms(at time.Time) float64 { return float64(at.Sub(r.start).Microseconds()) / 1000 }

// breach records that the rule was broken.
func (r *rig) breach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *rig) unable(format string, args ...any) { panic(unable{fmt.Sprintf(format, args...)}) }

// spawn starts a command of the deploy file from the root of the repository.
func (r *rig) spawn(name, command string, env ...string) *proc {
	log, err := os.OpenFile(filepath.Join(r.tmp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.unable("%v", err)
	}
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir, cmd.Env = r.root, append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		r.unable("%s: %v", name, err)
	}
	p := &proc{name, command, env, cmd, make(chan struct{})}
	go func() { cmd.Wait(); log.Close(); close(p.done) }()
	r.procs = append(r.procs, p)
	r.note("started %s: %s", name, command)
	return p
}

// restart starts a process that has ended once more, in its place.
func (r *rig) restart(i int) {
	old := r.procs[i]
	r.spawn(old.name, old.text, old.env...)
	r.procs[i] = r.procs[len(r.procs)-1]
	r.procs = r.procs[:len(r.procs)-1]
}

// call runs a command to its end and returns its output.
func (r *rig) call(command string, limit time.Duration) (string, error) {
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Dir = r.root
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	t := time.AfterFunc(limit, func() {
		if cmd.Process != nil {
			cmd.Process.Kill()
		}
	})
	defer t.Stop()
	out, err := cmd.CombinedOutput()
	r.note("ran %s: %s (%v)", command, out, err)
	return string(out), err
}

// tailFrom returns what a process's log says from a word on.
func (r *rig) tailFrom(p *proc, word string) string {
	data, _ := os.ReadFile(filepath.Join(r.tmp, p.name+".log"))
	if i := strings.Index(string(data), word); i >= 0 {
		data = data[i:]
	}
	return string(data[:min(len(data), 2500)])
}

func (p *proc) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

func (p *proc) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// log returns the last bytes of a process's log.
func (r *rig) tail(p *proc) string {
	data, _ := os.ReadFile(filepath.Join(r.tmp, p.name+".log"))
	if len(data) > 3000 {
		data = data[len(data)-3000:]
	}
	return string(data)
}

// freeAddr returns a loopback address on which nothing listens.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(unable{err.Error()})
	}
	defer l.Close()
	return l.Addr().String()
}

// waitReady waits until a router answers its readiness check with 200.
func (r *rig) waitReady(p *proc, addr string) {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if p.ended() {
			r.unable("%s ended: %s", p.name, r.tail(p))
		}
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, "GET /-/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
		line, _ := bufio.NewReader(c).ReadString('\n')
		c.Close()
		if len(line) > 12 && line[9:12] == "200" {
			r.note("%s is ready", p.name)
			return
		}
	}
	r.unable("%s is not ready: %s", p.name, r.tail(p))
}

// object is a JSON object.
type object = map[string]any

func (r *rig) writeJSON(name string, v any) string {
	data, err := json.MarshalIndent(v, "", " ")
	path := filepath.Join(r.tmp, name)
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		r.unable("%v", err)
	}
	return path
}

func atoi(s string) int { n, _ := strconv.Atoi(s); return n }
