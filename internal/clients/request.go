package clients

import (
	"errors"
	"hash/fnv"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"merlinarch/internal/config"
	"merlinarch/internal/exchange"
	"merlinarch/logic"
)

// Paths and header fields of requests from clients.
const (
	pathAPI              = "/api"
	pathReady            = "/-/ready"
	headerID             = "X-Txn"
	headerClass          = "X-Lane"
	headerTenant         = "X-Org"
	headerKey            = "X-Entity"
	headerRemaining      = "X-Remaining-Ms"
	headerRetry          = "X-Resent"
	headerEstimate       = "X-Estimate"
	headerIdempotencyKey = "Idempotency-Key"
)

// requestError is the answer to a request that is rejected before the gateway gets it. The message is sent to the client.
type requestError struct {
	status  int
	message string
}

// badRequest returns a requestError with status 400.
func badRequest(message string) *requestError { return &requestError{http.StatusBadRequest, message} }

// requestParser validates requests and extracts the fields that the decisions need.
type requestParser struct {
	limits  config.Limits
	classes map[string]logic.Class
	tenants map[string]bool
}

// newRequestParser returns a parser that knows the classes and tenants of the settings.
func newRequestParser(limits config.Limits, s logic.Settings) *requestParser {
	p := &requestParser{limits: limits, classes: map[string]logic.Class{}, tenants: map[string]bool{}}
	for _, c := range s.Classes {
		p.classes[c.Name] = c
	}
	for _, t := range s.Tenants {
		p.tenants[t.Name] = true
	}
	return p
}

// isSafe reports whether requests of a class may be repeated at any time.
func (p *requestParser) isSafe(class string) bool {
	return p.classes[class].Repeatability == logic.Safe
}

// requiredHeader returns the value of a header that must be present exactly once, not empty and at most maxLength bytes
// long.
func requiredHeader(h http.Header, name string, maxLength int) (string, *requestError) {
	v := h.Values(name)
	switch {
	case len(v) == 0 || v[0] == "":
		return "", badRequest(name + " is missing")
	case len(v) > 1:
		return "", badRequest(name + " comes twice")
	case len(v[0]) > maxLength:
		return "", badRequest(name + " is too long")
	}
	return v[0], nil
}

// optionalHeader returns the value of a header, or an empty string if it is absent or repeated.
func optionalHeader(h http.Header, name string) string {
	if v := h.Values(name); len(v) == 1 {
		return v[0]
	}
	return ""
}

// parseHead validates everything in a request except its body, and returns the message to forward, the fields for the
// decisions and the time that the client waits. A request that a host would answer with 400, or would execute under
// another request's id, must never be forwarded.
func (p *requestParser) parseHead(r *http.Request) (exchange.Message, exchange.Fields, time.Duration, *requestError) {
	var message exchange.Message
	var fields exchange.Fields
	if r.URL.Path != pathAPI && !strings.HasPrefix(r.URL.Path, pathAPI+"/") {
		return message, fields, 0, &requestError{http.StatusNotFound, "no such path"}
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPost {
		return message, fields, 0, &requestError{http.StatusMethodNotAllowed, "no such method"}
	}
	values := map[string]string{}
	for _, name := range []string{headerID, headerClass, headerRemaining} {
		v, reqErr := requiredHeader(r.Header, name, p.limits.MaxIDLength)
		if reqErr != nil {
			return message, fields, 0, reqErr
		}
		values[name] = v
	}
	class, ok := p.classes[values[headerClass]]
	if !ok {
		return message, fields, 0, badRequest("unknown class")
	}
	wait, reqErr := p.parseRemaining(values[headerRemaining])
	if reqErr != nil {
		return message, fields, 0, reqErr
	}
	message = exchange.Message{Method: r.Method, Target: r.RequestURI, ID: values[headerID]}
	if message.DedupKey, reqErr = p.checkRepeatability(r, class); reqErr != nil {
		return message, fields, 0, reqErr
	}
	fields = exchange.Fields{Class: class.Name, IsRetry: optionalHeader(r.Header, headerRetry) == "1",
		ExpectedWork: p.parseEstimate(optionalHeader(r.Header, headerEstimate))}
	if len(p.tenants) > 0 {
		if fields.Tenant, reqErr = requiredHeader(r.Header, headerTenant, p.limits.MaxIDLength); reqErr != nil {
			return message, fields, 0, reqErr
		}
		if !p.tenants[fields.Tenant] {
			return message, fields, 0, badRequest("unknown tenant")
		}
	}
	if key := optionalHeader(r.Header, headerKey); key != "" {
		fields.Key, fields.HasKey = hashKey(key), true
	}
	return message, fields, wait, nil
}

// parseRemaining parses the time that the client still waits: whole milliseconds, more than zero and at most MaxWait.
func (p *requestParser) parseRemaining(text string) (time.Duration, *requestError) {
	ms, err := strconv.ParseUint(text, 10, 32)
	if wait := time.Duration(ms) * time.Millisecond; err == nil && ms > 0 && wait <= p.limits.MaxWait {
		return wait, nil
	}
	return 0, badRequest(headerRemaining + " can't be")
}

// checkRepeatability checks that the method and the length of the body fit the class, and returns the idempotency key if
// the class is keyed.
func (p *requestParser) checkRepeatability(r *http.Request, class logic.Class) (string, *requestError) {
	wantMethod := http.MethodPost
	if class.Repeatability == logic.Safe {
		wantMethod = http.MethodGet
	}
	if r.Method != wantMethod {
		return "", &requestError{http.StatusMethodNotAllowed, "the class needs " + wantMethod}
	}
	switch {
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return "", badRequest("a body where none is due")
	case r.Method == http.MethodPost && r.ContentLength == 0:
		return "", &requestError{http.StatusLengthRequired, "no body where one is due"}
	case r.ContentLength > int64(p.limits.MaxBody):
		return "", &requestError{http.StatusRequestEntityTooLarge, "body too large"}
	case class.Repeatability != logic.Keyed:
		return "", nil
	}
	return requiredHeader(r.Header, headerIdempotencyKey, p.limits.MaxIDLength)
}

// parseEstimate parses the client's estimate of the work, in microseconds. It returns zero, which means unknown, if the
// text is not a number or is out of range.
func (p *requestParser) parseEstimate(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us >= 0 && us < 1e10) {
		return 0
	}
	return time.Duration(us * 1000)
}

// hashKey returns a hash of a key's text.
func hashKey(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// checkFraming checks that the end of a request is unambiguous, to prevent request smuggling. net/http silently drops
// Content-Length if a transfer encoding comes with it, and drops the encoding itself under HTTP/1.0; whoever relies on the
// other of the two, here or at a host, would find another request in the body. So only Content-Length is accepted, which
// HTTP allows a server to require. The cost: clients that send chunked bodies are rejected, and have to send a length.
func checkFraming(r *http.Request) *requestError {
	switch {
	case len(r.TransferEncoding) > 0:
		return &requestError{http.StatusLengthRequired, "a length is needed, not a transfer encoding"}
	case !r.ProtoAtLeast(1, 1):
		return &requestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"}
	}
	return nil
}

// bodyChunk is the size up to which a body's memory is not reserved, and from which it grows as the body arrives.
const bodyChunk = 1 << 10

// readBody reads the whole body of a request. The length has been checked before, and the server's read timeout ends a body
// that stalls. Memory is taken as the body arrives, not by the length that the client claims.
func (p *requestParser) readBody(r *http.Request, reserve func(bytes int) bool) ([]byte, *requestError) {
	if r.ContentLength <= 0 {
		return nil, nil
	}
	size := int(r.ContentLength)
	body := make([]byte, 0, min(size, bodyChunk))
	for len(body) < size {
		if len(body) == cap(body) {
			grown := min(size, 4*cap(body))
			if !reserve(grown - cap(body)) {
				return nil, &requestError{http.StatusServiceUnavailable, "no memory for the body"}
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) == size:
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, &requestError{http.StatusRequestTimeout, "body came too slowly"}
		case err != nil:
			return nil, badRequest("body can't be read")
		}
	}
	return body, nil
}
