package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fastjson"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/decide/backoff"
	"merlinarch/internal/metrics"
	"merlinarch/internal/testwait"
	"merlinarch/logic"
)

// fastBackoff is the reconnect backoff in these tests.
var fastBackoff = backoff.Policy{FirstPause: time.Millisecond, MaxPause: 10 * time.Millisecond}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = testwait.Patience

func TestFormatVote(t *testing.T) {
	for verdict, want := range map[logic.Verdict]string{logic.VoteAdvance: "VOTE 42 1 go\r\n", logic.VoteHold: "VOTE 42 1 stay\r\n",
		logic.VoteRollBack: "VOTE 42 1 stop\r\n", logic.VoteNone: "VOTE 42 1 blank\r\n"} {
		if got := formatVote(logic.Vote{Build: 42, Stage: 1, Verdict: verdict}); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}

// trialStatus is the status that answerWatch sends.
var trialStatus = logic.ReleaseStatus{Build: 42, Stage: 1, Phase: logic.OnTrial, Cap: 0.28, StageAge: 310 * time.Millisecond}

func TestParseVoteReply(t *testing.T) {
	counted := trialStatus
	counted.IsReply = true
	reply := func(r logic.VoteReply) logic.ReleaseStatus { return logic.ReleaseStatus{IsReply: true, Reply: r} }
	cases := map[string]logic.ReleaseStatus{
		"OK 42 1 trial 0.28 310": counted,
		"ERR BUSY":               reply(logic.VoteThrottled), "ERR STALE": reply(logic.VoteStale),
		"ERR FAILED": reply(logic.VoteError), "ERR SYNTAX": reply(logic.VoteError),
	}
	for text, want := range cases {
		if got, err := parseVoteReply(text); got != want || err != nil {
			t.Errorf("%q: %+v %v, want %+v", text, got, err, want)
		}
	}
	for _, text := range []string{"ERR", "ERR OTHER", "", "OK", "OK 42 1 trial 0.28", "OK 42 1 other 0.28 310",
		"OK 42 1 trial 1.5 310", "OK 99999 1 trial 0.28 310", "OK x 1 trial 0.28 310", "OK 42 1 trial NaN 310",
		"OK 42 -1 trial 0 310", "OK 42 1 trial 0.28 310 more", "OK 42 1 trial 0.28 310 ", "OK 42 1 trial 0.28 31* news",
		"\x00OK 42 1 trial 0.28 310", "ERR BUSY BUSY", "ER", "OKAY 42 1 trial 0.28 310"} {
		if got, err := parseVoteReply(text); err == nil {
			t.Errorf("%q is read as %+v", text, got)
		}
	}
}

func TestParseUnsolicited(t *testing.T) {
	if e, isStatus, err := parseUnsolicited("* news 42 1 trial 0.28 310"); !isStatus || err != nil || e != trialStatus {
		t.Errorf("%+v %v %v", e, isStatus, err)
	}
	for _, text := range []string{"*", "* counts 1 2", "* report 1 2"} {
		if _, isStatus, err := parseUnsolicited(text); isStatus || err != nil {
			t.Errorf("%q: isStatus %v, error %v", text, isStatus, err)
		}
	}
	for _, text := range []string{"* news", "* news 42 1 trial x 310", "* new", "*news 42 1 trial 0.28 310", "**", "* ",
		"* \xff\x01", "* news 42 1 trial 0.28 310 310"} {
		if e, _, err := parseUnsolicited(text); err == nil {
			t.Errorf("%q is read as %+v", text, e)
		}
	}
}

func TestDecodeReleaseStatus(t *testing.T) {
	v := fastjson.MustParse(`{"exposure":0.28,"mode":"trial","old_ms":310,"release":42,"tranche":1}`)
	if e, err := DecodeReleaseStatus(v); err != nil || e != trialStatus {
		t.Errorf("%+v %v", e, err)
	}
	for _, text := range []string{`{}`, `[]`, `{"release":42,"mode":"other"}`} {
		if _, err := DecodeReleaseStatus(fastjson.MustParse(text)); err == nil {
			t.Errorf("DecodeReleaseStatus accepts %s", text)
		}
	}
	if _, err := DecodeReleaseStatus(nil); err == nil {
		t.Error("DecodeReleaseStatus accepts nil")
	}
}

// Whatever a line holds, a status parsed from it must be within the limits, and an unsolicited one must not be a reply.
func FuzzLines(f *testing.F) {
	for _, s := range []string{"OK 42 1 trial 0.28 310", "ERR BUSY", "* news 42 1 trial 0.28 310", "*", "OK 1e9 1 trial 0 0"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		status, isStatus, _ := parseUnsolicited(text)
		reply, _ := parseVoteReply(text)
		for _, e := range []logic.ReleaseStatus{reply, status} {
			if e.Cap < 0 || e.Cap > 1 || e.Build < 0 || e.Stage < 0 || e.StageAge < 0 {
				t.Errorf("%q gives %+v", text, e)
			}
		}
		if isStatus && status.IsReply {
			t.Errorf("%q: an unsolicited status is marked as a reply", text)
		}
	})
}

// statusRecorder is a Sink that records the delivered statuses.
type statusRecorder struct{ events chan logic.ReleaseStatus }

func (r statusRecorder) UpdateRelease(e logic.ReleaseStatus) { r.events <- e }

// startClient runs a client against a test server. serve handles each connection and gets its number, starting at 0.
func startClient(t *testing.T, limits config.Limits, serve func(n int, c net.Conn, lines *bufio.Scanner)) (*Client, statusRecorder) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer c.Close()
				defer context.AfterFunc(ctx, func() { c.Close() })()
				serve(n, c, bufio.NewScanner(c))
			})
		}
	})
	recorder := statusRecorder{make(chan logic.ReleaseStatus, 64)}
	c := New(l.Addr().String(), fastBackoff, limits, recorder, metrics.New(), zap.NewNop())
	work.Go(func() { c.Run(ctx) })
	t.Cleanup(func() { stop(); l.Close(); work.Wait() })
	return c, recorder
}

func testLimits() config.Limits {
	return config.Limits{MaxPlatformLine: 8 << 10, MaxOutgoing: 16, ControlDialTimeout: patience, PlatformSilenceTimeout: patience,
		VoteTimeout: patience}
}

// answerWatch answers WATCH on a connection and sends trialStatus and a heartbeat.
func answerWatch(c net.Conn, lines *bufio.Scanner) bool {
	if !lines.Scan() || lines.Text() != "WATCH" {
		return false
	}
	io.WriteString(c, "OK\r\n* news 42 1 trial 0.28 310\r\n*\r\n")
	return true
}

// Unsolicited statuses may arrive between the answers to calls. The answers must still be matched to the calls in order.
func TestStatusBetweenVoteReplies(t *testing.T) {
	c, recorder := startClient(t, testLimits(), func(_ int, c net.Conn, lines *bufio.Scanner) {
		answerWatch(c, lines)
		for _, answer := range []string{"ERR STALE", "* news 43 0 trial 0.1 5\r\nOK 43 0 trial 0.1 9"} {
			if !lines.Scan() {
				return
			}
			fmt.Fprintf(c, "%s\r\n", answer)
		}
		lines.Scan()
	})
	if e := testwait.Value(t, "a status", recorder.events); e != trialStatus {
		t.Errorf("first %+v", e)
	}
	c.Vote(logic.Vote{Build: 42, Stage: 1, Verdict: logic.VoteAdvance})
	c.Vote(logic.Vote{Build: 43, Verdict: logic.VoteAdvance})
	if e := testwait.Value(t, "a status", recorder.events); !e.IsReply || e.Reply != logic.VoteStale {
		t.Errorf("second %+v", e)
	}
	if e := testwait.Value(t, "a status", recorder.events); e.IsReply || e.Build != 43 {
		t.Errorf("third %+v", e)
	}
	if e := testwait.Value(t, "a status", recorder.events); !e.IsReply || e.Reply != logic.VoteCounted || e.Build != 43 {
		t.Errorf("fourth %+v", e)
	}
}

// A vote that was written may have been counted whatever happens to its answer, so it must end as timed out, not as failed.
func TestUnansweredVotes(t *testing.T) {
	quick := testLimits()
	quick.VoteTimeout = 20 * time.Millisecond
	cases := []struct {
		name   string
		limits config.Limits
		serve  func(c net.Conn, lines *bufio.Scanner)
	}{
		{"silence", quick, func(c net.Conn, lines *bufio.Scanner) { lines.Scan(); lines.Scan() }},
		{"broken", testLimits(), func(c net.Conn, lines *bufio.Scanner) { lines.Scan() }},
		{"unreadable", testLimits(), func(c net.Conn, lines *bufio.Scanner) {
			lines.Scan()
			io.WriteString(c, "WHAT\r\n")
			lines.Scan()
		}},
		{"line too long", testLimits(), func(c net.Conn, lines *bufio.Scanner) {
			lines.Scan()
			io.WriteString(c, "OK "+strings.Repeat("x", 9<<10)+"\r\n")
			lines.Scan()
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c, recorder := startClient(t, tc.limits, func(n int, c net.Conn, lines *bufio.Scanner) {
				if answerWatch(c, lines) && n == 0 {
					tc.serve(c, lines)
				} else {
					lines.Scan()
				}
			})
			testwait.Value(t, "a status", recorder.events)
			c.Vote(logic.Vote{Build: 42, Verdict: logic.VoteAdvance})
			e := testwait.Value(t, "a status", recorder.events)
			for !e.IsReply { // a status from a later connection
				e = testwait.Value(t, "a status", recorder.events)
			}
			if e.Reply != logic.VoteTimedOut {
				t.Errorf("reply %v", e.Reply)
			}
		})
	}
}

// A vote that could not be written has not been counted, so it must end as failed.
func TestVoteWithoutConnection(t *testing.T) {
	limits := testLimits()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	recorder := statusRecorder{make(chan logic.ReleaseStatus, 1)}
	c := New(addr, backoff.Policy{FirstPause: patience, MaxPause: patience}, limits, recorder, metrics.New(), zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { c.Run(ctx) })
	defer work.Wait()
	defer stop()
	c.Vote(logic.Vote{Build: 42, Verdict: logic.VoteAdvance})
	if e := testwait.Value(t, "a status", recorder.events); !e.IsReply || e.Reply != logic.VoteError {
		t.Errorf("%+v", e)
	}
}

// A connection to a platform that has lost its network stays open and silent. A connection without heartbeats must be
// replaced, and the next one delivers the status again.
func TestSilentPlatformIsReconnected(t *testing.T) {
	limits := testLimits()
	limits.PlatformSilenceTimeout = 30 * time.Millisecond
	_, recorder := startClient(t, limits, func(n int, c net.Conn, lines *bufio.Scanner) {
		if n > 0 {
			answerWatch(c, lines)
		}
		for lines.Scan() {
		}
	})
	if e := testwait.Value(t, "a status", recorder.events); e != trialStatus {
		t.Errorf("%+v", e)
	}
}

// After an unreadable line, answers can't be matched to calls. It must end the connection, nothing after it may be read, and a
// new connection delivers the status again.
func TestUnreadableEndsConnection(t *testing.T) {
	laterStatus := "* news 77 0 trial 0.5 5\r\n"
	for name, sent := range map[string]string{"answer to WATCH is not OK": "WHAT\r\n" + laterStatus, "truncated status": "OK\r\n* news 4\r\n" + laterStatus,
		"noise": "OK\r\n\x00\xff\x10\r\n" + laterStatus, "truncated line": "OK\r\n* news 42 1 tri" + laterStatus,
		"line without carriage return": "OK\r\n*\n" + laterStatus, "answer without a call": "OK\r\nOK 77 0 trial 0.5 5\r\n" + laterStatus} {
		t.Run(name, func(t *testing.T) {
			_, recorder := startClient(t, testLimits(), func(n int, c net.Conn, lines *bufio.Scanner) {
				if n == 0 {
					lines.Scan()
					io.WriteString(c, sent)
				} else {
					answerWatch(c, lines)
				}
				lines.Scan()
			})
			if e := testwait.Value(t, "a status", recorder.events); e != trialStatus {
				t.Errorf("delivered %+v", e)
			}
		})
	}
}

// fakePlatform is a platform with an address of its own, whose connections a test writes to directly.
type fakePlatform struct {
	addr  string
	conns chan net.Conn // connections on which WATCH was read
	calls chan string   // further lines read
}

// newFakePlatform starts a fakePlatform on a free port.
func newFakePlatform(t *testing.T) *fakePlatform {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &fakePlatform{l.Addr().String(), make(chan net.Conn, 8), make(chan string, 8)}
	var work sync.WaitGroup
	work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			work.Go(func() {
				defer c.Close()
				lines := bufio.NewScanner(c)
				if lines.Scan(); lines.Text() == "WATCH" {
					d.conns <- c
				}
				for lines.Scan() {
					d.calls <- lines.Text()
				}
			})
		}
	})
	t.Cleanup(func() {
		l.Close()
		for len(d.conns) > 0 {
			(<-d.conns).Close()
		}
		work.Wait()
	})
	return d
}

// nextConn returns the next connection.
func (d *fakePlatform) nextConn(t *testing.T) net.Conn {
	t.Helper()
	c := testwait.Value(t, "a connection", d.conns)
	t.Cleanup(func() { c.Close() })
	return c
}

// A change of address must leave no gap. Statuses from the old address count until the new one has delivered one, and no
// longer. A vote pending on the old connection gets its answer there, once, and that connection is then closed.
func TestMoveToNewAddress(t *testing.T) {
	limits := testLimits()
	limits.AddressChangeGrace = patience
	oldPlatform, newPlatform := newFakePlatform(t), newFakePlatform(t)
	recorder := statusRecorder{make(chan logic.ReleaseStatus, 64)}
	c := New(oldPlatform.addr, fastBackoff, limits, recorder, metrics.New(), zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { c.Run(ctx) })
	defer work.Wait()
	defer stop()
	writeLine := func(to net.Conn, text string) { io.WriteString(to, text+"\r\n") }
	oldConn := oldPlatform.nextConn(t)
	writeLine(oldConn, "OK\r\n* news 42 0 trial 0.1 5")
	testwait.Value(t, "a status", recorder.events)
	c.Vote(logic.Vote{Build: 42, Verdict: logic.VoteAdvance})
	testwait.Value(t, "the vote", oldPlatform.calls)

	c.Move(newPlatform.addr)
	newConn := newPlatform.nextConn(t)
	writeLine(oldConn, "* news 42 1 trial 0.2 5")
	if e := testwait.Value(t, "a status", recorder.events); e.Stage != 1 {
		t.Errorf("the old address delivers %+v", e)
	}
	writeLine(newConn, "OK\r\n* news 42 2 trial 0.4 5")
	if e := testwait.Value(t, "a status", recorder.events); e.Stage != 2 {
		t.Errorf("the new address delivers %+v", e)
	}
	c.Vote(logic.Vote{Build: 42, Stage: 2, Verdict: logic.VoteAdvance})
	if got := testwait.Value(t, "the second vote", newPlatform.calls); got != "VOTE 42 2 go" {
		t.Errorf("the new address gets %q", got)
	}
	writeLine(oldConn, "* news 42 1 trial 0.2 9\r\nOK 42 1 trial 0.2 9")
	if e := testwait.Value(t, "the first vote's answer", recorder.events); !e.IsReply || e.Reply != logic.VoteCounted || e.Stage != 2 {
		t.Errorf("the first vote's answer: %+v", e)
	}
	writeLine(newConn, "ERR BUSY")
	if e := testwait.Value(t, "the second vote's answer", recorder.events); e.Reply != logic.VoteThrottled {
		t.Errorf("the second vote's answer: %+v", e)
	}
	testwait.Until(t, "the old connection to end", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.conns) == 1
	})
	if len(recorder.events) > 0 || len(oldPlatform.calls) > 0 || len(newPlatform.calls) > 0 {
		t.Error("unexpected further deliveries or calls")
	}
}

// A vote pending on an old connection that never answers must end as timed out when the grace period of the old address
// ends, since it may have been counted.
func TestMoveFromSilentAddress(t *testing.T) {
	limits := testLimits()
	limits.AddressChangeGrace = 20 * time.Millisecond
	oldPlatform, newPlatform := newFakePlatform(t), newFakePlatform(t)
	recorder := statusRecorder{make(chan logic.ReleaseStatus, 64)}
	c := New(oldPlatform.addr, fastBackoff, limits, recorder, metrics.New(), zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { c.Run(ctx) })
	defer work.Wait()
	defer stop()
	oldPlatform.nextConn(t)
	c.Vote(logic.Vote{Build: 42, Verdict: logic.VoteAdvance})
	testwait.Value(t, "the vote", oldPlatform.calls)
	c.Move(newPlatform.addr)
	if e := testwait.Value(t, "its end", recorder.events); e.Reply != logic.VoteTimedOut {
		t.Errorf("%+v", e)
	}
	io.WriteString(newPlatform.nextConn(t), "OK\r\n* news 42 1 trial 0.28 310\r\n")
	if e := testwait.Value(t, "a status", recorder.events); e != trialStatus {
		t.Errorf("%+v", e)
	}
}
