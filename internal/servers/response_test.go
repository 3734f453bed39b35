package servers

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"merlinarch/logic"
)

var testResponseLimits = responseLimits{maxHead: 1024, maxBody: 64, readTimeout: patience}

func TestReadResponse(t *testing.T) {
	long := strings.Repeat("x", 65)
	cases := []struct {
		name, text string
		want       response
		err        error // nil: none
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", response{status: 200, body: []byte("hi"), reusable: true}, nil},
		{"bare line ends", "HTTP/1.1 200\nContent-Length: 2\n\nhi", response{status: 200, body: []byte("hi"), reusable: true}, nil},
		{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=b\r\nh\r\n1\r\ni\r\n0\r\nTrailer: x\r\n\r\n",
			response{status: 200, body: []byte("hi"), reusable: true}, nil},
		{"until the end", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", response{status: 200, body: []byte("hi")}, nil},
		{"close", "HTTP/1.1 200 OK\r\nConnection: keep, Close\r\nContent-Length: 2\r\n\r\nhi", response{status: 200, body: []byte("hi")}, nil},
		{"old version", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", response{status: 200, body: []byte("hi")}, nil},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", response{status: 100, reusable: true}, nil},
		{"no framing", "HTTP/1.1 200 OK\r\n\r\nhi", response{}, errMalformed},
		{"noise in a header name", "HTTP/1.1 200 OK\r\nCont\x00ent: 2\r\nContent-Length: 2\r\n\r\nhi", response{}, errMalformed},
		{"noise in a value", "HTTP/1.1 200 OK\r\nX: \x01\r\nContent-Length: 2\r\n\r\nhi", response{}, errMalformed},
		{"three gigabytes", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhi", response{}, errMalformed},
		{"no content", "HTTP/1.1 204 Fine\r\n\r\n", response{status: 204, reusable: true}, nil},
		{"turned away", "HTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", response{status: 503, rejected: true, reusable: true}, nil},
		{"same length twice", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", response{status: 200, body: []byte("hi"), reusable: true}, nil},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi!", response{}, errMalformed},
		{"two framings", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nhi", response{}, errMalformed},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", response{}, errMalformed},
		{"other encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", response{}, errMalformed},
		{"no protocol", "hello\r\n\r\n", response{}, errMalformed},
		{"no status", "HTTP/1.1 abc OK\r\n\r\n", response{}, errMalformed},
		{"no header name", "HTTP/1.1 200 OK\r\n: x\r\n\r\n", response{}, errMalformed},
		{"space in header name", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nhi", response{}, errMalformed},
		{"body over the limit", "HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + long, response{}, errTooLarge},
		{"endless body over the limit", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + long, response{}, errTooLarge},
		{"chunks over the limit", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + long, response{}, errTooLarge},
		{"head over the limit", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 1024) + "\r\n\r\n", response{}, errTooLarge},
		{"bad chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", response{}, errMalformed},
		{"chunk too long", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nhi\r\n0\r\n\r\n", response{}, errMalformed},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-Le", response{}, io.ErrUnexpectedEOF},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi", response{}, io.ErrUnexpectedEOF},
		{"half the chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", response{}, io.ErrUnexpectedEOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := readResponse(bufio.NewReader(strings.NewReader(c.text)), testResponseLimits)
			if !errors.Is(err, c.err) || (err == nil) != (c.err == nil) {
				t.Fatalf("error %v, want %v", err, c.err)
			}
			if err != nil {
				return
			}
			if got.status != c.want.status || string(got.body) != string(c.want.body) ||
				got.reusable != c.want.reusable || got.rejected != c.want.rejected {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}

func TestParseLoad(t *testing.T) {
	cases := []struct {
		text string
		want *logic.Load
	}{
		{"inflight=7,queue=2,util=0.61", &logic.Load{InFlight: 7, Queue: 2, Utilization: 0.61, RatePerSec: -1}},
		{"depth=3", &logic.Load{InFlight: -1, Queue: 3, Utilization: -1, RatePerSec: -1}},
		{"queue=2,other=5", &logic.Load{InFlight: -1, Queue: 2, Utilization: -1, RatePerSec: -1}},
		{"other=5", nil}, {"", nil}, {"queue", nil}, {"queue=", nil}, {"queue=-1", nil}, {"queue=NaN", nil},
		{"queue=1,util=many", nil},
	}
	for _, c := range cases {
		got := parseLoad(c.text)
		if (got == nil) != (c.want == nil) || got != nil && *got != *c.want {
			t.Errorf("%q: got %+v, want %+v", c.text, got, c.want)
		}
	}
}

func FuzzReadResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Full\r\nX-Turned-Away: 1\r\nX-Pressure: queue=2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\n", "\r\n\r\n", "HTTP/1.1 200",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, err := readResponse(bufio.NewReader(strings.NewReader(string(data))), testResponseLimits)
		if err == nil && (len(got.body) > testResponseLimits.maxBody || got.status < 100 || got.status > 999) {
			t.Errorf("accepted %+v", got)
		}
	})
}
