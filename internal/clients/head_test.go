package clients

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The scanner finds the end of a head and the size of its body, whatever the pieces in which the head arrives, and rejects
// what has no clear end.
func TestHeadScanner(t *testing.T) {
	const first = "GET /api HTTP/1.1\r\n"
	for name, c := range map[string]struct {
		head     string
		bodySize int64
		status   int // of a rejection; zero: the head is accepted
	}{
		"no body":                     {first + "Host: x\r\n\r\n", 0, 0},
		"bare line feeds":             {"POST /api HTTP/1.1\nHost: x\ncontent-LENGTH:\t12 \n\n", 12, 0},
		"empty lines in front":        {"\r\n\r\n" + first + "\r\n", 0, 0},
		"the same length twice":       {first + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", 5, 0},
		"an encoding":                 {first + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", endless, 0},
		"two lengths":                 {first + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 0, 400},
		"no length":                   {first + "Content-Length:\r\n 5\r\n\r\n", 0, 400},
		"a negative length":           {first + "Content-Length: -1\r\n\r\n", 0, 400},
		"a continued line":            {first + "X-A: 1\r\n 2\r\n\r\n", 0, 400},
		"no colon":                    {first + "X-A\r\n\r\n", 0, 400},
		"no version":                  {"GET /api\r\n\r\n", 0, 400},
		"noise":                       {"\x16\x03\x01 \n", 0, 400},
		"as many fields as allowed":   {first + strings.Repeat("a:\n", 5) + "\n", 0, 0},
		"one field too many":          {first + strings.Repeat("a:\n", 6) + "\n", 0, 431},
		"too long a line":             {first + "X-A: " + strings.Repeat("a", 200), 0, 431},
		"too long with its last line": {first + strings.Repeat("X-A: "+strings.Repeat("a", 40)+"\r\n", 4) + "\r\n", 0, 431},
	} {
		for _, piece := range []int{1, 3, len(c.head)} {
			scanner, head := headScanner{maxFields: 5, maxBytes: 200}, headResult{}
			for n := piece; ; n += piece {
				n = min(n, len(c.head))
				head = scanner.scan([]byte(c.head[:n]))
				if head.end > 0 || head.rejected != nil || n == len(c.head) {
					break
				}
			}
			switch {
			case c.status != 0 && (head.rejected == nil || head.rejected.status != c.status):
				t.Errorf("%s, pieces of %d: %+v, want status %d", name, piece, head, c.status)
			case c.status == 0 && (head.rejected != nil || head.end != len(c.head) || head.bodySize != c.bodySize):
				t.Errorf("%s, pieces of %d: %+v, want its end at %d and a body of %d", name, piece, head, len(c.head), c.bodySize)
			}
		}
	}
}

// The scanner and net/http agree on where a request ends: what follows would otherwise be read as another request, or not
// be counted as a head.
func FuzzHeadScanner(f *testing.F) {
	f.Add("GET /api HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add("POST /api HTTP/1.1\nHost: x\nContent-Length: 3\n\nabcGET")
	f.Add("POST / HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		scanner := headScanner{maxFields: 100, maxBytes: 16 << 10}
		head := scanner.scan([]byte(text))
		reader := bufio.NewReaderSize(strings.NewReader(text), 64<<10)
		req, err := http.ReadRequest(reader)
		if err != nil || req.Method == "PRI" {
			return // net/http ends the connection
		}
		consumed := len(text) - reader.Buffered()
		if head.rejected != nil || len(req.TransferEncoding) > 0 || !req.ProtoAtLeast(1, 1) {
			return // answered and closed
		}
		if head.end != consumed || head.bodySize != max(0, req.ContentLength) && head.bodySize != endless {
			t.Errorf("%q: the scanner sees %+v, net/http a head of %d and a body of %d", text, head, consumed, req.ContentLength)
		}
	})
}

// Heads of many short fields are rejected before net/http parses them, also behind a good request and behind a body, and
// a good request in the same write as the one before is answered.
func TestHeadsOfManyFields(t *testing.T) {
	limits := testLimits()
	many := strings.Repeat("a:\n", limits.MaxHeadFields+1)
	gateway := &stubGateway{onSubmit: serveOK}
	addr, _, counters := startServer(t, limits, gateway)
	for i, before := range []string{"", get(), post("body"), post("body") + "\r\n"} {
		c := dial(t, addr)
		c.write(before + "GET /api HTTP/1.1\nHost: x\n" + many + "\n")
		if before != "" {
			if resp, _ := c.read(); resp.StatusCode != 200 {
				t.Errorf("%q: status %d", before, resp.StatusCode)
			}
		}
		if resp, _ := c.read(); resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge || !resp.Close {
			t.Errorf("behind %q: status %d, close %v", before, resp.StatusCode, resp.Close)
		}
		if n := counters.Get("requests.bad_431"); n != int64(i+1) {
			t.Errorf("%d heads counted, want %d", n, i+1)
		}
	}
	c := dial(t, addr)
	c.write(post("body") + get() + post(strings.Repeat("b", 9000)) + get())
	for i := range 4 {
		if resp, body := c.read(); resp.StatusCode != 200 || body != "hi" {
			t.Errorf("pipelined request %d: status %d %q", i, resp.StatusCode, body)
		}
	}
}

// Bodies take memory as they arrive. When it is short, connections with incomplete requests make room, the oldest first,
// and no memory is left taken.
func TestMemoryOfBodies(t *testing.T) {
	limits := testLimits()
	limits.RequestMemory, limits.EvictIncompleteAfter = 128<<10, 20*time.Millisecond
	gateway := &stubGateway{onSubmit: serveOK}
	addr, s, counters := startServer(t, limits, gateway)
	long := post(strings.Repeat("b", 40_000))
	for i := range 20 {
		c := dial(t, addr)
		c.write(strings.Replace(long, "X-Txn: ", fmt.Sprintf("X-Txn: half%d", i), 1)[:30_000])
	}
	c := dial(t, addr)
	for i := range 10 {
		c.write(long)
		if resp, body := c.read(); resp.StatusCode != 200 || body != "hi" {
			t.Errorf("request %d: status %d %q", i, resp.StatusCode, body)
		}
	}
	if counters.Get("clients.memory_waits") == 0 {
		t.Error("memory was never short")
	}
	if n, _ := gateway.calls(); n != 10 {
		t.Errorf("%d requests were forwarded, want 10", n)
	}
	s.http.Close()
	for end := 0; s.conns.memory.Available() != limits.RequestMemory && end < 1000; end++ {
		s.conns.evictInactive()
	}
	if free := s.conns.memory.Available(); free != limits.RequestMemory {
		t.Errorf("%d bytes of memory are free at the end, want %d", free, limits.RequestMemory)
	}
}

// Requests that no host serves are read more slowly after unservedBurst of them; served ones are not, and every request is
// answered.
func TestUnservedRequestsAreSlowedDown(t *testing.T) {
	gateway := &stubGateway{onSubmit: serveOK}
	addr, _, counters := startServer(t, testLimits(), gateway)
	c := dial(t, addr)
	for range 2 * unservedBurst {
		c.write(get())
		c.read()
	}
	if counters.Get("clients.slowed_down") != 0 {
		t.Error("served requests were slowed down")
	}
	began := time.Now()
	const unserved = unservedBurst + 20
	for range unserved {
		c.write(strings.Replace(get(), "/api", "/other", 1))
		if resp, _ := c.read(); resp.StatusCode != 404 {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	least := time.Duration(unserved-unservedBurst-1) * time.Second / unservedPerSecond
	if elapsed := time.Since(began); elapsed < least {
		t.Errorf("%d requests took %v, want at least %v", unserved, elapsed, least)
	}
	if counters.Get("clients.slowed_down") == 0 {
		t.Error("slowing down is not counted")
	}
}
