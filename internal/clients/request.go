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

// problem is why a request is turned down before the decisions see it.
type requestError struct {
	status  int
	message string
}

func badRequest(text string) *requestError { return &requestError{http.StatusBadRequest, text} }

// reader checks requests and takes out what decisions need.
type requestParser struct {
	limits  config.Limits
	classes map[string]logic.Class
	tenants map[string]bool
}

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

// once gives a header that must be there once.
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

// optional gives a header that may be absent; doubled ones count as absent.
func optionalHeader(h http.Header, name string) string {
	if v := h.Values(name); len(v) == 1 {
		return v[0]
	}
	return ""
}

// head checks all of a request but its body. Danger: what a host would answer with 400, or would run under
// another request's name, must never be forwarded.
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

// wait reads the client's time left: whole milliseconds, more than none and not absurdly many.
func (p *requestParser) parseRemaining(text string) (time.Duration, *requestError) {
	ms, err := strconv.ParseUint(text, 10, 32)
	if wait := time.Duration(ms) * time.Millisecond; err == nil && ms > 0 && wait <= p.limits.MaxWait {
		return wait, nil
	}
	return 0, badRequest(headerRemaining + " can't be")
}

// repeatable checks that the method fits the class, and gives the key of a keyed request.
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

// hint reads the client's guess at the work, in microseconds; one that can't be read is none.
func (p *requestParser) parseEstimate(text string) time.Duration {
	us, err := strconv.ParseFloat(text, 64)
	if err != nil || !(us >= 0 && us < 1e10) {
		return 0
	}
	return time.Duration(us * 1000)
}

// keyNumber is a number for a key, the same for the same text.
func hashKey(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// framed checks that it is in no doubt where a request ends. Danger: net/http drops Content-Length, unseen, where
// a transfer encoding comes with it, and drops the encoding itself under HTTP/1.0; who reads the other of the
// two, here or behind, finds another request in the body. So the length alone counts, which HTTP lets a server
// insist on. It hurts a client that sends chunks; it may send a length.
func checkFraming(r *http.Request) *requestError {
	switch {
	case len(r.TransferEncoding) > 0:
		return &requestError{http.StatusLengthRequired, "a length is needed, not a transfer encoding"}
	case !r.ProtoAtLeast(1, 1):
		return &requestError{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is needed"}
	}
	return nil
}

// body reads a request's body whole; its length has been checked, and the server's time-out ends one that stalls.
func (p *requestParser) readBody(r *http.Request) ([]byte, *requestError) {
	if r.ContentLength <= 0 {
		return nil, nil
	}
	body := make([]byte, r.ContentLength)
	switch _, err := io.ReadFull(r.Body, body); {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &requestError{http.StatusRequestTimeout, "body came too slowly"}
	case err != nil:
		return nil, badRequest("body can't be read")
	}
	return body, nil
}
