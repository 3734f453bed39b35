package clients

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"merlinarch/internal/config"
	"merlinarch/internal/exchange"
	"merlinarch/logic"
)

// Names of this deployment on the way from clients.
const (
	pathAPI         = "/api"
	pathReady       = "/-/ready"
	headerID        = "X-Txn"
	headerClass     = "X-Lane"
	headerTenant    = "X-Org"
	headerKey       = "X-Entity"
	headerRemaining = "X-Remaining-Ms"
	headerRetry     = "X-Resent"
	headerHint      = "X-Estimate"
	headerDedup     = "Idempotency-Key"
)

// problem is why a request is turned down before the decisions see it.
type problem struct {
	status int
	text   string
}

func bad(text string) *problem { return &problem{http.StatusBadRequest, text} }

// reader checks requests and takes out what decisions need.
type reader struct {
	limits  config.Limits
	classes map[string]logic.Class
	tenants map[string]bool
}

func newReader(limits config.Limits, s logic.Settings) *reader {
	p := &reader{limits: limits, classes: map[string]logic.Class{}, tenants: map[string]bool{}}
	for _, c := range s.Classes {
		p.classes[c.Name] = c
	}
	for _, t := range s.Tenants {
		p.tenants[t.Name] = true
	}
	return p
}

// once gives a header that must be there once.
func once(h http.Header, name string, longest int) (string, *problem) {
	v := h.Values(name)
	switch {
	case len(v) == 0 || v[0] == "":
		return "", bad(name + " is missing")
	case len(v) > 1:
		return "", bad(name + " comes twice")
	case len(v[0]) > longest:
		return "", bad(name + " is too long")
	}
	return v[0], nil
}

// optional gives a header that may be absent; doubled ones count as absent.
func optional(h http.Header, name string) string {
	if v := h.Values(name); len(v) == 1 {
		return v[0]
	}
	return ""
}

// head checks all of a request but its body. Danger: what a host would answer with 400, or would run under
// another request's name, must never be forwarded.
func (p *reader) head(r *http.Request) (exchange.Message, exchange.Fields, time.Duration, *problem) {
	var m exchange.Message
	var f exchange.Fields
	if r.URL.Path != pathAPI && !strings.HasPrefix(r.URL.Path, pathAPI+"/") {
		return m, f, 0, &problem{http.StatusNotFound, "no such path"}
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return m, f, 0, &problem{http.StatusMethodNotAllowed, "no such method"}
	}
	values := map[string]string{}
	for _, name := range []string{headerID, headerClass, headerRemaining} {
		v, wrong := once(r.Header, name, p.limits.MaxIDLength)
		if wrong != nil {
			return m, f, 0, wrong
		}
		values[name] = v
	}
	class, ok := p.classes[values[headerClass]]
	if !ok {
		return m, f, 0, bad("unknown class")
	}
	wait, wrong := p.wait(values[headerRemaining])
	if wrong != nil {
		return m, f, 0, wrong
	}
	m = exchange.Message{Method: r.Method, Target: r.RequestURI, ID: values[headerID]}
	if m.DedupKey, wrong = p.repeatable(r, class); wrong != nil {
		return m, f, 0, wrong
	}
	f = exchange.Fields{Class: class.Name, IsRetry: optional(r.Header, headerRetry) == "1",
		ExpectedWork: p.hint(optional(r.Header, headerHint))}
	if len(p.tenants) > 0 {
		if f.Tenant, wrong = once(r.Header, headerTenant, p.limits.MaxIDLength); wrong != nil {
			return m, f, 0, wrong
		}
		if !p.tenants[f.Tenant] {
			return m, f, 0, bad("unknown tenant")
		}
	}
	if key := optional(r.Header, headerKey); key != "" {
		f.Key, f.HasKey = keyNumber(key), true
	}
	return m, f, wait, nil
}

// wait reads the client's time left: whole milliseconds, more than none and not absurdly many.
func (p *reader) wait(text string) (time.Duration, *problem) {
	ms, err := strconv.ParseUint(text, 10, 32)
	if wait := time.Duration(ms) * time.Millisecond; err == nil && ms > 0 && wait <= p.limits.MaxWait {
		return wait, nil
	}
	return 0, bad(headerRemaining + " can't be")
}

// repeatable checks that the method fits the class, and gives the key of a keyed request.
func (p *reader) repeatable(r *http.Request, class logic.Class) (string, *problem) {
	want := http.MethodPost
	if class.Repeatability == logic.Safe {
		want = http.MethodGet
	}
	if r.Method != want {
		return "", &problem{http.StatusMethodNotAllowed, "the class needs " + want}
	}
	switch {
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return "", bad("a body where none is due")
	case r.Method == http.MethodPost && r.ContentLength == 0:
		return "", &problem{http.StatusLengthRequired, "no body where one is due"}
	case r.ContentLength > int64(p.limits.MaxBody):
		return "", &problem{http.StatusRequestEntityTooLarge, "body too large"}
	case class.Repeatability != logic.Keyed:
		return "", nil
	}
	return once(r.Header, headerDedup, p.limits.MaxIDLength)
}

// hint reads the client's guess at the work, in microseconds; one that can't be read is none.
func (p *reader) hint(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us >= 0 && us < 1e10) {
		return 0
	}
	return time.Duration(us * 1000)
}

// keyNumber is a number for a key, the same for the same text.
func keyNumber(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// framed checks that it is in no doubt where a request ends. Danger: net/http drops Content-Length, unseen, where
// a transfer encoding comes with it, and drops the encoding itself under HTTP/1.0; who reads the other of the
// two, here or behind, finds another request in the body. So the length alone counts, which HTTP lets a server
// insist on. It hurts a client that sends chunks; it may send a length.
func framed(r *http.Request) *problem {
	switch {
	case len(r.TransferEncoding) > 0:
		return &problem{http.StatusLengthRequired, "a length is needed, not a transfer encoding"}
	case !r.ProtoAtLeast(1, 1):
		return &problem{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"}
	}
	return nil
}

// body reads a request's body whole; its length has been checked, and the server's time-out ends one that stalls.
func (p *reader) body(r *http.Request) ([]byte, *problem) {
	if r.ContentLength <= 0 {
		return nil, nil
	}
	body := make([]byte, r.ContentLength)
	switch _, err := io.ReadFull(r.Body, body); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &problem{http.StatusRequestTimeout, "body came too slowly"}
	case err != nil:
		return nil, bad("body can't be read")
	}
	return body, nil
}
