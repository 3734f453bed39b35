package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"merlinarch/internal/sockstat"
	"merlinarch/internal/testwait"
)

// These tests run the program as a process beside clients that misbehave by hundreds, and check its memory and the answers
// that other clients get.

// smallestMemoryMB is the least memory that the users' deployments give a router.
const smallestMemoryMB = 32

// answerSlack is how much later than its client's time a final answer may come: half a second, and 50 ms for a limit on
// sockets.
const answerSlack = 550 * time.Millisecond

// peakMemory returns the highest resident memory of a process so far, in kB.
func peakMemory(t *testing.T, process *exec.Cmd) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kB, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				t.Fatal(err)
			}
			return kB
		}
	}
	t.Fatal("the process has no VmHWM")
	return 0
}

// usualResult counts how the requests of usual clients ended.
type usualResult struct {
	served, other int64 // served, and answered otherwise, in time
	late, lost    int64 // with no answer in time, and on connections that ended without an answer
	failures      []string
}

func (r usualResult) String() string {
	return fmt.Sprintf("%d served, %d with another answer, %d late, %d lost\n%s", r.served, r.other, r.late, r.lost, strings.Join(r.failures, "\n"))
}

// usualLoad sends requests from clients that keep their connections, until the function that it returns is called.
func usualLoad(listen string, clients int, pause, wait time.Duration) (stop func() usualResult) {
	var served, other, late, lost atomic.Int64
	var mu sync.Mutex
	var failures []string
	done := make(chan struct{})
	var work sync.WaitGroup
	transport := &http.Transport{MaxIdleConnsPerHost: clients, DisableCompression: true}
	for k := range clients {
		work.Go(func() {
			client := http.Client{Transport: transport, Timeout: wait + 4*time.Second}
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(pause):
				}
				id, sentAt := fmt.Sprintf("usual%d-%d", k, n), time.Now()
				status, steps, err := sendUsual(&client, listen, id, wait)
				took := time.Since(sentAt)
				if took > wait+answerSlack || err != nil {
					mu.Lock()
					failures = append(failures, fmt.Sprintf("%s at %v: status %d after %v, %v; %s", id, sentAt.Format("05.000"), status, took, err, steps))
					mu.Unlock()
				}
				switch {
				case took > wait+answerSlack:
					late.Add(1)
				case err != nil: // where a connection is closed between requests, the transport sends the request again
					lost.Add(1)
				case status == http.StatusOK:
					served.Add(1)
				default:
					other.Add(1)
				}
			}
		})
	}
	return func() usualResult {
		close(done)
		work.Wait()
		transport.CloseIdleConnections()
		return usualResult{served.Load(), other.Load(), late.Load(), lost.Load(), failures}
	}
}

// sendUsual sends one request and reads its answer. It describes the steps, with the time since the beginning of each.
func sendUsual(client *http.Client, listen, id string, wait time.Duration) (status int, steps string, err error) {
	var mu sync.Mutex // the transport may call the hooks from several goroutines
	begin := time.Now()
	note := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		steps += fmt.Sprintf("%v ", time.Since(begin).Round(time.Millisecond)) + fmt.Sprintf(format, args...) + "; "
	}
	hooks := &httptrace.ClientTrace{
		GotConn:              func(i httptrace.GotConnInfo) { note("connection from %v, reused %t", i.Conn.LocalAddr(), i.Reused) },
		WroteRequest:         func(i httptrace.WroteRequestInfo) { note("written, error %v", i.Err) },
		GotFirstResponseByte: func() { note("first byte") },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), hooks), http.MethodGet, "http://"+listen+"/api", nil)
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("X-Txn", id)
	req.Header.Set("X-Lane", "read")
	req.Header.Set("X-Remaining-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		mu.Lock()
		defer mu.Unlock()
		return 0, steps, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	mu.Lock()
	defer mu.Unlock()
	return resp.StatusCode, steps, err
}

// loadedHost is a host that takes some time for a request, longer for a target with "slow", gives a long answer for one with
// "large", and turns one with "turn-away" away. It records the ids that it has met, with the times of their arrival.
type loadedHost struct {
	*httptest.Server
	mu       sync.Mutex
	arrivals map[string][]time.Time
}

// newLoadedHost starts a host; the test's cleanup ends it.
func newLoadedHost(t *testing.T) *loadedHost {
	h := &loadedHost{arrivals: map[string][]time.Time{}}
	large := strings.Repeat("b", 64<<10)
	h.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		id := r.Header.Get("X-Txn")
		h.mu.Lock()
		h.arrivals[id] = append(h.arrivals[id], arrivedAt(r))
		h.mu.Unlock()
		if strings.Contains(r.RequestURI, "turn-away") {
			w.Header().Set("X-Turned-Away", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if strings.Contains(r.RequestURI, "slow") {
			time.Sleep(500 * time.Millisecond)
		} else {
			time.Sleep(20 * time.Millisecond)
		}
		if strings.Contains(r.RequestURI, "large") {
			io.WriteString(w, large)
			return
		}
		io.WriteString(w, "notice")
	}))
	h.Server.Config.ConnContext = withHostConn
	h.Server.Start()
	t.Cleanup(func() { h.CloseClientConnections(); h.Close() })
	return h
}

// hostConnKey is the context key of the connection of a request to a host.
type hostConnKey struct{}

// withHostConn stores a connection in the context of its requests.
func withHostConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, hostConnKey{}, c)
}

// arrivedAt returns when the kernel received the last byte of a request to a host, whose handler may run later.
func arrivedAt(r *http.Request) time.Time {
	return time.Now().Add(-sockstat.SinceReceived(r.Context().Value(hostConnKey{}).(net.Conn)))
}

// entries returns n entries of a list of hosts, all at this host's address.
func (h *loadedHost) entries(n int) []string {
	var entries []string
	for i := range n {
		entries = append(entries, hostEntry(fmt.Sprintf("s-%d", i), strings.TrimPrefix(h.URL, "http://"), "up"))
	}
	return entries
}

// waitReady waits until a router answers its readiness check with 200.
func waitReady(t *testing.T, listen string) {
	t.Helper()
	testwait.Until(t, "the router to get ready", func() bool {
		status, _, err := sendGet(listen, "/-/ready", "r")
		return err == nil && status == 200
	})
}

// A router with the least memory and 1,024 descriptors stays within its memory beside 900 clients that misbehave, whatever
// they do, and answers the requests of other clients in time. It guards against connections, heads, bodies and answers that
// together take more memory than the router has.
func TestMemoryLimitBesideCrowds(t *testing.T) {
	const clients = 900
	for name := range crowds() {
		t.Run(name, func(t *testing.T) {
			host, listen := newLoadedHost(t), freeAddr(t)
			router := startProcess(t, routerConfig{listen: listen, discovery: "127.0.0.1:1", memoryMB: smallestMemoryMB, sockets: 1024, cancel: true, hosts: host.entries(15)}.text())
			waitReady(t, listen)
			stopUsual := usualLoad(listen, 60, 900*time.Millisecond, 3*time.Second)
			time.Sleep(time.Second)
			stopCrowd := startCrowd(t, listen, clients, name)
			time.Sleep(5 * time.Second)
			peak := peakMemory(t, router)
			usual := stopUsual()
			stopCrowd()
			t.Logf("at most %d kB resident; usual requests: %v", peak, usual)
			if peak > smallestMemoryMB<<10 {
				t.Errorf("%d kB resident, %d kB are allowed", peak, smallestMemoryMB<<10)
			}
			if usual.late+usual.lost > 0 || usual.served == 0 {
				t.Errorf("usual requests: %v", usual)
			}
		})
	}
}

// No attempt begins later than 0.1 s after a client has closed its connection, however many bytes it has sent behind its
// request. It guards against a close that is not seen because the end of the stream waits behind a full receive window.
func TestNoAttemptAfterCloseBehindUnreadBytes(t *testing.T) {
	t.Parallel()
	const clients, allowed = 40, 100 * time.Millisecond
	for _, cancel := range []bool{true, false} {
		for _, behind := range []int{1_000, 100_000, 1_000_000, 8_000_000} {
			host, listen := newLoadedHost(t), freeAddr(t)
			startProcess(t, routerConfig{listen: listen, discovery: "127.0.0.1:1", memoryMB: 64, sockets: 256, cancel: cancel, hosts: host.entries(15)}.text())
			waitReady(t, listen)
			var mu sync.Mutex
			closedAt := map[string]time.Time{}
			var work sync.WaitGroup
			for k := range clients {
				work.Go(func() {
					c, err := net.Dial("tcp", listen)
					if err != nil {
						t.Error(err)
						return
					}
					id := fmt.Sprintf("leaves%d", k)
					fmt.Fprintf(c, "GET /api?turn-away HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n\r\n", id)
					c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
					c.Write(bytes.Repeat([]byte("G"), behind))
					time.Sleep(time.Duration(k) * time.Millisecond)
					c.Close()
					mu.Lock()
					closedAt[id] = time.Now()
					mu.Unlock()
				})
			}
			work.Wait()
			time.Sleep(3 * time.Second) // the clients' time
			attempts := 0
			for id, arrivals := range host.allArrivals() {
				for _, at := range arrivals {
					attempts++
					if late := at.Sub(closedAt[id]); late > allowed {
						t.Errorf("%d bytes behind, cancel %v: an attempt for %s %v after its client had left", behind, cancel, id, late)
					}
				}
			}
			if attempts == 0 && behind < 8<<10 { // behind more bytes a close could not be seen, so that nothing is sent at all
				t.Errorf("%d bytes behind, cancel %v: no attempt at all", behind, cancel)
			}
		}
	}
}

// An id whose client has left while its attempt was at a host does not run again when it comes again. It guards against a
// second copy of a request that its client gave up.
func TestAbandonedIDDoesNotRunAgain(t *testing.T) {
	t.Parallel()
	const clients = 20
	for _, cancel := range []bool{true, false} {
		for _, post := range []bool{true, false} {
			host, listen := newLoadedHost(t), freeAddr(t)
			startProcess(t, routerConfig{listen: listen, discovery: "127.0.0.1:1", memoryMB: 64, sockets: 256, cancel: cancel, hosts: host.entries(15)}.text())
			waitReady(t, listen)
			var work sync.WaitGroup
			for k := range clients {
				work.Go(func() {
					id := fmt.Sprintf("again%d", k)
					text := fmt.Sprintf("GET /api?slow HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: read\r\nX-Remaining-Ms: 3000\r\n\r\n", id)
					if post {
						text = fmt.Sprintf("POST /api?slow HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: post\r\nX-Remaining-Ms: 3000\r\nIdempotency-Key: %s\r\nContent-Length: 4\r\n\r\nnote", id, id)
					}
					for _, pause := range []time.Duration{100 * time.Millisecond, 700 * time.Millisecond, 0} {
						c, err := net.Dial("tcp", listen)
						if err != nil {
							t.Error(err)
							return
						}
						io.WriteString(c, text)
						if pause > 0 {
							time.Sleep(pause)
						} else {
							awaitAnswer(c)
						}
						c.Close()
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
			work.Wait()
			arrived := host.allArrivals()
			if len(arrived) != clients {
				t.Errorf("cancel %v, post %v: %d of %d ids ran", cancel, post, len(arrived), clients)
			}
			for id, arrivals := range arrived {
				if len(arrivals) > 1 {
					t.Errorf("cancel %v, post %v: %s ran %d times", cancel, post, id, len(arrivals))
				}
			}
		}
	}
}

// A client that sends small or invalid requests at full speed on one connection, under ever new names, is slowed down:
// other clients get their answers in time, and memory stays within its limit. It guards against one connection that takes
// the processor from all others.
func TestFloodOnOneConnectionIsSlowedDown(t *testing.T) {
	const length = 3 * time.Second
	const maxAnswers = 200 // a connection may send 10 requests at once and 50 a second that are not served
	for name, text := range floods() {
		t.Run(name, func(t *testing.T) {
			host, listen := newLoadedHost(t), freeAddr(t)
			router := startProcess(t, routerConfig{listen: listen, discovery: "127.0.0.1:1", memoryMB: smallestMemoryMB, sockets: 1024, hosts: host.entries(15)}.text())
			waitReady(t, listen)
			stopUsual := usualLoad(listen, 60, 300*time.Millisecond, 1200*time.Millisecond)
			answers, sent := 0, 0
			for end := time.Now().Add(length); time.Now().Before(end); {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					t.Fatal(err)
				}
				c.SetDeadline(end)
				var reader sync.WaitGroup
				reader.Go(func() {
					for r := bufio.NewReader(c); ; answers++ {
						resp, err := http.ReadResponse(r, nil)
						if err != nil {
							return
						}
						io.Copy(io.Discard, resp.Body)
						resp.Body.Close()
					}
				})
				for err == nil {
					var requests strings.Builder
					for range 200 {
						sent++
						requests.WriteString(text(sent))
					}
					_, err = io.WriteString(c, requests.String())
				}
				reader.Wait()
				c.Close()
			}
			usual := stopUsual()
			t.Logf("%d answers; usual requests: %v", answers, usual)
			if answers == 0 || answers > maxAnswers {
				t.Errorf("the client got %d answers, want at least one and at most %d", answers, maxAnswers)
			}
			if usual.served == 0 || usual.other+usual.late+usual.lost > 0 {
				t.Errorf("usual requests: %v", usual)
			}
			if peak := peakMemory(t, router); peak > smallestMemoryMB<<10 {
				t.Errorf("%d kB resident, %d kB are allowed", peak, smallestMemoryMB<<10)
			}
		})
	}
}

// floods are the small and invalid requests that one client sends at full speed. The names in them are always new.
func floods() map[string]func(n int) string {
	return map[string]func(n int) string{
		"ready":         func(int) string { return "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n" },
		"no such path":  func(n int) string { return fmt.Sprintf("GET /p%d HTTP/1.1\r\nHost: x\r\n\r\n", n) },
		"no id":         func(n int) string { return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: x\r\nX-F%d: 1\r\n\r\n", n) },
		"unknown class": func(n int) string { return readRequest(n, fmt.Sprintf("c%d", n), 3000) },
		"no time":       func(n int) string { return readRequest(n, "read", 1) },
		"no body": func(n int) string {
			return fmt.Sprintf("POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: f%d\r\nX-Lane: post\r\nIdempotency-Key: k%d\r\nX-Remaining-Ms: 3000\r\nContent-Length: 0\r\n\r\n", n, n)
		},
	}
}

// readRequest returns the text of a request of a class, with a new id and key.
func readRequest(n int, class string, remainingMs int) string {
	return fmt.Sprintf("GET /api HTTP/1.1\r\nHost: x\r\nX-Txn: f%d\r\nX-Entity: e%d\r\nX-Lane: %s\r\nX-Remaining-Ms: %d\r\n\r\n", n, n, class, remainingMs)
}

// Clients that stop in the middle of a request, by hundreds and coming again at once, get an error or a close within 3 s,
// and take neither descriptors nor the accept queue from clients that send whole requests. It guards against answers that
// come late because connections of incomplete requests fill the table.
func TestHalfRequestsTakeNoDescriptors(t *testing.T) {
	const owedWithin = 3 * time.Second
	for _, crowd := range []struct {
		name    string
		clients int
		again   bool
	}{{"400 once", 400, false}, {"400 again and again", 400, true}, {"1000 again and again", 1000, true}} {
		t.Run(crowd.name, func(t *testing.T) {
			host, listen := newLoadedHost(t), freeAddr(t)
			startProcess(t, routerConfig{listen: listen, discovery: "127.0.0.1:1", memoryMB: 192, sockets: 256, cancel: true, hosts: host.entries(15)}.text())
			waitReady(t, listen)
			stopUsual := usualLoad(listen, 60, 900*time.Millisecond, 1200*time.Millisecond)
			time.Sleep(1500 * time.Millisecond)
			var ended, endedLate atomic.Int64
			var once sync.Map
			stopCrowd := runCrowd(listen, crowd.clients, func(c net.Conn, id string) {
				client, _, _ := strings.Cut(id, "-")
				if _, came := once.LoadOrStore(client, true); came && !crowd.again {
					time.Sleep(50 * time.Millisecond)
					return
				}
				connectedAt := time.Now()
				fmt.Fprintf(c, "POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: %s\r\nX-Lane: post\r\nX-Remaining-Ms: 3000\r\nIdempotency-Key: %s\r\nContent-Length: 212\r\n\r\nhalf a notice", id, id)
				c.Read(make([]byte, 1))
				ended.Add(1)
				if time.Since(connectedAt) > owedWithin {
					endedLate.Add(1)
				}
				awaitEnd(c)
			})
			time.Sleep(6 * time.Second)
			usual := stopUsual()
			halves, halvesLate := ended.Load(), endedLate.Load()
			stopCrowd()
			t.Logf("usual requests: %v; %d half requests ended, %d late", usual, halves, halvesLate)
			if usual.served == 0 || usual.late+usual.lost > 0 {
				t.Errorf("usual requests: %v", usual)
			}
			if halves < int64(crowd.clients) || halvesLate > 0 {
				t.Errorf("%d half requests ended, %d of them after more than %v", halves, halvesLate, owedWithin)
			}
		})
	}
}

// allArrivals returns the times at which requests arrived, by id.
func (h *loadedHost) allArrivals() map[string][]time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.arrivals)
}
