package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// entry is an entry of discovery's list.
type entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs int64   `json:"born_ms"`
	Build  int     `json:"build"`
}

type list struct {
	Seq   int     `json:"seq"`
	Whole bool    `json:"whole"`
	Hosts []entry `json:"hosts"`
}

// discovery is a stand-in of the agent: it tells each change at once to each open watch.
type discovery struct {
	addr    string
	mu      sync.Mutex
	seq     int
	hosts   map[string]entry
	changes []list
	watches map[chan list]chan time.Time
}

func newDiscovery(r *rig, hosts []entry) *discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.unable("%v", err)
	}
	d := &discovery{addr: l.Addr().String(), seq: 1, hosts: map[string]entry{}, watches: map[chan list]chan time.Time{}}
	for _, h := range hosts {
		d.hosts[h.Host] = h
	}
	srv := &http.Server{Handler: d}
	go srv.Serve(l)
	r.endings = append(r.endings, func() { srv.Close() })
	return d
}

// whole returns the whole list.
func (d *discovery) whole() list {
	l := list{Seq: d.seq, Whole: true, Hosts: []entry{}}
	for _, h := range d.hosts {
		if h.Health != "removed" {
			l.Hosts = append(l.Hosts, h)
		}
	}
	sort.Slice(l.Hosts, func(i, j int) bool { return l.Hosts[i].Host < l.Hosts[j].Host })
	return l
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/api/targets" {
		http.NotFound(w, q)
		return
	}
	d.mu.Lock()
	first := d.whole()
	if q.URL.Query().Get("watch") == "" {
		d.mu.Unlock()
		json.NewEncoder(w).Encode(first)
		return
	}
	from := atoi(q.URL.Query().Get("from"))
	in, told := make(chan list, 64), make(chan time.Time, 64)
	d.watches[in] = told
	var missed []list
	for _, c := range d.changes {
		if c.Seq > from {
			missed = append(missed, c)
		}
	}
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, in)
		d.mu.Unlock()
	}()
	send := func(v any) bool {
		data, _ := json.Marshal(v)
		if v == nil {
			data = nil
		}
		_, err := w.Write(append(data, '\n'))
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		return err == nil
	}
	if from < 1 {
		send(first)
	} else {
		for _, c := range missed {
			send(c)
		}
		if len(missed) == 0 {
			send(nil)
		}
	}
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for {
		select {
		case c := <-in:
			if !send(c) {
				return
			}
			told <- time.Now()
		case <-beat.C:
			if !send(nil) {
				return
			}
		case <-q.Context().Done():
			return
		}
	}
}

// tell changes entries, and returns when the change was written to all open watches, with their number.
func (d *discovery) tell(change ...entry) (at time.Time, watches int) {
	d.mu.Lock()
	d.seq++
	c := list{Seq: d.seq, Hosts: change}
	d.changes = append(d.changes, c)
	for _, h := range change {
		d.hosts[h.Host] = h
	}
	var told []chan time.Time
	for in, t := range d.watches {
		in <- c
		told = append(told, t)
	}
	d.mu.Unlock()
	for _, t := range told {
		select {
		case x := <-t:
			if x.After(at) {
				at = x
			}
			watches++
		case <-time.After(2 * time.Second):
		}
	}
	return at, watches
}

// platform is a stand-in of the release platform. It counts each vote and changes nothing by it.
type platform struct {
	addr  string
	mu    sync.Mutex
	state string // build, stage, mode, cap
	since time.Time
	conns map[net.Conn]bool // those that watch
	votes []string
}

func newPlatform(r *rig, state string) *platform {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.unable("%v", err)
	}
	p := &platform{addr: l.Addr().String(), state: state, since: time.Now().Add(-time.Minute), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(r, c)
		}
	}()
	go func() {
		for range time.Tick(time.Second) {
			p.mu.Lock()
			for c := range p.conns {
				fmt.Fprintf(c, "*\r\n")
			}
			p.mu.Unlock()
		}
	}()
	r.endings = append(r.endings, func() { l.Close() })
	return p
}

func (p *platform) line() string {
	return fmt.Sprintf("%s %d", p.state, time.Since(p.since).Milliseconds())
}

func (p *platform) serve(r *rig, c net.Conn) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		text, err := in.ReadString('\n')
		if err != nil {
			return
		}
		text = strings.TrimSpace(text)
		p.mu.Lock()
		switch {
		case text == "WATCH":
			p.conns[c] = true
			fmt.Fprintf(c, "OK\r\n* news %s\r\n", p.line())
		case strings.HasPrefix(text, "VOTE "):
			p.votes = append(p.votes, text)
			fmt.Fprintf(c, "OK %s\r\n", p.line())
		default:
			fmt.Fprintf(c, "ERR SYNTAX\r\n")
		}
		p.mu.Unlock()
		r.note("platform got %q", text)
	}
}

// tell changes the state of the newest build and returns when it was written to all watches.
func (p *platform) tell(state string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state, p.since = state, time.Now()
	for c := range p.conns {
		fmt.Fprintf(c, "* news %s\r\n", p.line())
	}
	return time.Now()
}

// attempt is one request as a host received it whole.
type attempt struct {
	at        time.Time // when it was read by the host, which is not before its last byte arrived
	host      string
	id        string
	method    string
	target    string
	key       string
	body      string
	remaining int
	conn      net.Conn
}

// host is a stand-in of a server. It answers 200 with a body that names the request, after its time of work.
type host struct {
	name string
	addr string
	l    net.Listener
	r    *rig

	mu       sync.Mutex
	hanging  bool
	conns    map[net.Conn]bool
	attempts []attempt
	// serve answers an attempt; false: the connection is closed. nil: after work, 200.
	serve func(h *host, a attempt) bool
	work  time.Duration
	quiet bool
}

func newHost(r *rig, name string, work time.Duration) *host {
	h := &host{name: name, r: r, conns: map[net.Conn]bool{}, work: work}
	h.listen("127.0.0.1:0")
	r.endings = append(r.endings, h.die)
	return h
}

func (h *host) listen(addr string) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		h.r.unable("%v", err)
	}
	h.mu.Lock()
	h.l, h.addr = l, l.Addr().String()
	h.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.conns[c] = true
			h.mu.Unlock()
			go h.serveConn(c)
		}
	}()
}

// die ends the host as the end of a process does: its connections are reset and new ones refused.
func (h *host) die() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.l.Close()
	for c := range h.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		delete(h.conns, c)
	}
}

// hang makes the host read requests and answer none from now on.
func (h *host) hang() {
	h.mu.Lock()
	h.hanging = true
	h.mu.Unlock()
}

func (h *host) serveConn(c net.Conn) {
	defer func() {
		h.mu.Lock()
		delete(h.conns, c)
		h.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		a := attempt{time.Now(), h.name, q.Header.Get("X-Txn"), q.Method, q.RequestURI, q.Header.Get("Idempotency-Key"), string(body),
			atoi(q.Header.Get("X-Remaining-Ms")), c}
		h.mu.Lock()
		hanging := h.hanging
		h.attempts = append(h.attempts, a)
		h.mu.Unlock()
		if !h.quiet {
			h.r.noteAt(a.at, "host %s got %s %s key %q remaining %d hanging %v", h.name, a.id, a.target, a.key, a.remaining, hanging)
		}
		if hanging {
			io.Copy(io.Discard, c) // until the router closes
			return
		}
		if h.serve != nil {
			if !h.serve(h, a) {
				return
			}
			continue
		}
		time.Sleep(h.work)
		if !answer(c, 200, "made for "+a.id, "") {
			return
		}
	}
}

func answer(c net.Conn, status int, body, header string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

// clientConn is a connection of a usual client: one request at a time.
type clientConn struct {
	c  net.Conn
	in *bufio.Reader
}

// outcome is how one request ended for its client.
type outcome struct {
	id       string
	class    string
	waitMs   int
	sent     time.Time // its last byte was written
	answered time.Time // the last byte of the answer was read; zero: never
	status   int       // 0: no answer
	body     string
	err      string
	reused   bool // not the first request of its connection
}

// request is what a client sends.
type request struct {
	id, class, method, key, body, org string
	waitMs                            int
}

func (q request) bytes() []byte {
	text := fmt.Sprintf("%s /api?n=%s HTTP/1.1\r\nHost: app.svc\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n", q.method, q.id, q.id, q.class, q.waitMs)
	if q.org != "" {
		text += "X-Org: " + q.org + "\r\n"
	}
	if q.key != "" {
		text += "Idempotency-Key: " + q.key + "\r\n"
	}
	if q.method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	return []byte(text + "\r\n" + q.body)
}

// do sends a request and waits for its answer until limit after its time is over.
func (cc *clientConn) do(q request, limit time.Duration) (o outcome) {
	o = outcome{id: q.id, class: q.class, waitMs: q.waitMs}
	if _, err := cc.c.Write(q.bytes()); err != nil {
		o.sent, o.err = time.Now(), err.Error()
		return o
	}
	o.sent = time.Now()
	cc.c.SetReadDeadline(o.sent.Add(time.Duration(q.waitMs)*time.Millisecond + limit))
	resp, err := http.ReadResponse(cc.in, nil)
	if err != nil {
		o.err = err.Error()
		return o
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = err.Error()
		return o
	}
	o.answered, o.status, o.body = time.Now(), resp.StatusCode, string(body)
	if resp.Close {
		o.err = "closed"
	}
	return o
}

// clients sends requests at a rate, each on the connection that has rested longest.
type clients struct {
	r     *rig
	addr  string
	limit time.Duration // how long after its time a client still waits

	mu     sync.Mutex
	idle   []*clientConn
	outs   []outcome
	wg     sync.WaitGroup
	n      int
	prefix string        // of its ids; empty: t
	done   func(outcome) // nil, or called at the end of each request, which is then not recorded
}

// warm opens connections.
func (cs *clients) take() (cc *clientConn, reused bool, err error) {
	cs.mu.Lock()
	if len(cs.idle) > 0 {
		cc = cs.idle[0]
		cs.idle = cs.idle[1:]
	}
	cs.mu.Unlock()
	if cc != nil {
		return cc, true, nil
	}
	c, err := net.DialTimeout("tcp", cs.addr, 3*time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{c, bufio.NewReader(c)}, false, nil
}

// send sends one request in the background. fresh: on a new connection.
func (cs *clients) send(make func(id string) request, fresh bool) {
	cs.mu.Lock()
	cs.n++
	id := fmt.Sprintf("%s%06d", cmp.Or(cs.prefix, "t"), cs.n)
	cs.mu.Unlock()
	cs.wg.Add(1)
	go func() {
		defer cs.wg.Done()
		var cc *clientConn
		reused := false
		var err error
		if fresh {
			var c net.Conn
			if c, err = net.DialTimeout("tcp", cs.addr, 3*time.Second); err == nil {
				cc = &clientConn{c, bufio.NewReader(c)}
			}
		} else {
			cc, reused, err = cs.take()
		}
		if err != nil {
			cs.r.note("client could not connect: %v", err)
			return
		}
		q := make(id)
		o := cc.do(q, cs.limit)
		if reused && o.status == 0 && o.answered.IsZero() && time.Since(o.sent) < 100*time.Millisecond {
			// The connection was closed between requests: the request is sent once more on a new connection.
			cc.c.Close()
			c, err := net.DialTimeout("tcp", cs.addr, 3*time.Second)
			if err != nil {
				return
			}
			cc, reused = &clientConn{c, bufio.NewReader(c)}, false
			o = cc.do(q, cs.limit)
		}
		o.reused = reused
		cs.mu.Lock()
		defer cs.mu.Unlock()
		if cs.done == nil {
			cs.outs = append(cs.outs, o)
		} else {
			cs.done(o)
		}
		if o.err == "" {
			cs.idle = append(cs.idle, cc)
		} else {
			cc.c.Close()
		}
	}()
}

// finish waits for all requests and writes them to the record.
func (cs *clients) finish() []outcome {
	cs.wg.Wait()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for _, cc := range cs.idle {
		cc.c.Close()
	}
	sort.Slice(cs.outs, func(i, j int) bool { return cs.outs[i].sent.Before(cs.outs[j].sent) })
	for _, o := range cs.outs {
		took := -1.0
		if !o.answered.IsZero() {
			took = float64(o.answered.Sub(o.sent).Microseconds()) / 1000
		}
		cs.r.noteAt(o.sent, "client sent %s %s wait %d ms reused %v: status %d after %.1f ms %q %s", o.id, o.class, o.waitMs, o.reused, o.status, took, o.body, o.err)
	}
	return cs.outs
}
