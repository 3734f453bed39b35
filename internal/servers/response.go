package servers

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"merlinarch/internal/memory"
	"merlinarch/internal/settings"
	"merlinarch/logic"
)

// Header names, the host name and the path of a probe that this deployment uses in requests to servers and in their
// answers.
const (
	serviceHost          = "app.svc"
	headerID             = "X-Txn"
	headerIdempotencyKey = "Idempotency-Key"
	headerRemaining      = "X-Remaining-Ms"
	headerLoad           = "x-pressure"
	headerRejected       = "x-turned-away"
	pathLoad             = "/-/load"
)

// response is a server's complete answer.
type response struct {
	status     int
	rejected   bool        // the server says that it rejected the request without running it
	load       *logic.Load // nil: no load report, or an invalid one
	body       []byte
	allocation *allocation // the body's buffer
	reusable   bool        // the connection may carry another request
	begun      bool        // its first byte has arrived
}

// begunOK reports whether the answer has begun and, as far as its status is known, is a successful one.
func (r response) begunOK() bool { return r.begun && (r.status == http.StatusOK || r.status == 0) }

// isInterim reports whether the answer is an interim one, which the final answer follows.
func (r response) isInterim() bool { return r.status/100 == 1 && r.status != 101 }

// responseLimits limit the size of an answer and the time that it may take.
type responseLimits struct {
	maxHead, maxBody int            // bytes
	budget           *memory.Budget // shared by all bodies of more than freeAnswerBytes
	readTimeout      time.Duration  // from the first byte of an answer to its last
}

// maxInterim is the number of answers that are read for one request, the final one included.
const maxInterim = 8

// Reasons why an answer cannot be used; failureReason maps them to counters.
var (
	errTooLarge        = errors.New("answer too large")
	errMalformed       = errors.New("malformed answer")
	errBudgetExhausted = errors.New("memory budget is used up")
	errTooManyInterim  = errors.New("too many interim answers")
)

// readResponse reads one complete answer. With an error it returns only the status, zero if that is not known. An answer
// whose length is ambiguous is an error: a wrong guess would leave a part of it to be read as the next answer.
func readResponse(r *bufio.Reader, limit responseLimits) (response, error) {
	headLeft := limit.maxHead
	resp, framing, err := readHead(r, &headLeft)
	if err != nil {
		return response{status: resp.status}, err
	}
	resp.allocation = &allocation{budget: limit.budget}
	if err = readBody(r, framing, limit, resp.allocation); err != nil {
		resp.allocation.free()
		return response{status: resp.status}, err
	}
	resp.body = resp.allocation.body
	resp.reusable = !framing.closeAfter && !framing.untilEOF
	return resp, nil
}

// framing tells where an answer's body ends.
type framing struct {
	length     int // Content-Length; -1: none
	chunked    bool
	closeAfter bool // the host closes the connection after the answer
	untilEOF   bool // the body ends where the connection does
}

// readLine reads one line and returns it without its line end. It subtracts the number of bytes read from bytesLeft; if
// that becomes negative, the answer is too large.
func readLine(r *bufio.Reader, bytesLeft *int) (string, error) {
	var text []byte
	for {
		part, err := r.ReadSlice('\n')
		if *bytesLeft -= len(part); *bytesLeft < 0 {
			return "", errTooLarge
		}
		text = append(text, part...)
		if err == nil {
			break
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", unexpectedEOF(err)
		}
	}
	return string(bytes.TrimSuffix(text[:len(text)-1], []byte{'\r'})), nil
}

// unexpectedEOF turns the end of the connection within an answer into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readHead reads the status line and the header. With an error, the response holds the status, zero if that is not
// known.
func readHead(r *bufio.Reader, headLeft *int) (response, framing, error) {
	first, err := readLine(r, headLeft)
	if err != nil {
		return response{}, framing{}, err
	}
	version, rest, _ := strings.Cut(first, " ")
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return response{}, framing{}, fmt.Errorf("%w: status line %.60q", errMalformed, first)
	}
	resp, f := response{status: status}, framing{length: -1, closeAfter: version == "HTTP/1.0"}
	for {
		text, err := readLine(r, headLeft)
		if err != nil {
			return resp, framing{}, err
		}
		if text == "" {
			break
		}
		name, value, ok := strings.Cut(text, ":")
		if !ok || name == "" || strings.ContainsFunc(name, isNotTokenChar) || strings.ContainsFunc(value, isControl) {
			return resp, framing{}, fmt.Errorf("%w: header line %.60q", errMalformed, text)
		}
		if err := resp.applyHeader(&f, strings.ToLower(name), strings.Trim(value, " \t")); err != nil {
			return resp, framing{}, err
		}
	}
	if f.chunked && f.length >= 0 {
		return resp, framing{}, fmt.Errorf("%w: both a content length and a transfer encoding", errMalformed)
	}
	if status/100 == 1 || status == 204 || status == 304 {
		f.chunked, f.length = false, 0
	}
	// Without a length or an announced end of the connection, an answer that broke off could not be told from a complete
	// one.
	if f.untilEOF = !f.chunked && f.length < 0; f.untilEOF && !f.closeAfter {
		return resp, framing{}, fmt.Errorf("%w: unknown body length", errMalformed)
	}
	return resp, f, nil
}

// isControl reports whether a character is a control character, which no header value may contain.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// isNotTokenChar reports whether a character is not allowed in a header name.
func isNotTokenChar(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", c)
}

// applyHeader interprets one header line; name is in lower case. Headers that the router does not use are ignored.
func (r *response) applyHeader(f *framing, name, value string) error {
	switch name {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || f.length >= 0 && f.length != int(n) {
			return fmt.Errorf("%w: content length %.30q", errMalformed, value)
		}
		f.length = int(n)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || f.chunked {
			return fmt.Errorf("%w: transfer encoding %.30q", errMalformed, value)
		}
		f.chunked = true
	case "connection":
		for option := range strings.SplitSeq(value, ",") {
			f.closeAfter = f.closeAfter || strings.EqualFold(strings.TrimSpace(option), "close")
		}
	case headerLoad:
		r.load = parseLoad(value)
	case headerRejected:
		r.rejected = value == "1"
	}
	return nil
}

// readBody reads a body to its end as its framing says.
func readBody(r *bufio.Reader, f framing, limit responseLimits, alloc *allocation) error {
	switch {
	case f.chunked:
		return readChunks(r, limit, alloc)
	case f.untilEOF:
		return appendBody(r, limit.maxBody, true, alloc)
	case f.length > limit.maxBody:
		return errTooLarge
	}
	return appendBody(r, f.length, false, alloc)
}

// appendBody reads n more bytes and appends them to the body; with untilEOF, the body has to end before that instead.
// Memory is allocated in steps as the bytes arrive, because an answer that only announces a long body must not take the
// memory for it.
func appendBody(r io.Reader, n int, untilEOF bool, alloc *allocation) error {
	const step = 64 << 10 // bytes
	for n > 0 {
		start, want := len(alloc.body), min(n, step)
		if cap(alloc.body)-start < want && !alloc.grow(max(min(2*cap(alloc.body), start+n), start+want)) {
			return errBudgetExhausted
		}
		got, err := io.ReadFull(r, alloc.body[start:start+want])
		alloc.body, n = alloc.body[:start+got], n-got
		switch {
		case untilEOF && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
			return nil
		case err != nil:
			return unexpectedEOF(err)
		}
	}
	if untilEOF { // all n bytes were read and the end was not seen
		return errTooLarge
	}
	return nil
}

// readChunks reads a chunked body and skips its trailer.
func readChunks(r *bufio.Reader, limit responseLimits, alloc *allocation) error {
	for left := limit.maxHead + limit.maxBody; ; { // bytes of chunk heads, which are longer than the data if each chunk holds one byte
		text, err := readLine(r, &left)
		if err != nil {
			return err
		}
		digits, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return fmt.Errorf("%w: chunk size %.30q", errMalformed, text)
		}
		if n == 0 {
			break
		}
		if len(alloc.body)+int(n) > limit.maxBody {
			return errTooLarge
		}
		if err = appendBody(r, int(n), false, alloc); err != nil {
			return err
		}
		if end, err := readLine(r, &left); err != nil {
			return err
		} else if end != "" {
			return fmt.Errorf("%w: no line end after a chunk, but %.30q", errMalformed, end)
		}
	}
	for left := limit.maxHead; ; {
		if text, err := readLine(r, &left); err != nil || text == "" {
			return err
		}
	}
}

// parseLoad parses a load report, name=value,name=value. It returns nil if the report is invalid or has no known name.
func parseLoad(text string) *logic.Load {
	l, found := settings.NoLoad(), false
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		x, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || !(x >= 0 && x < 1e12) {
			return nil
		}
		found = settings.SetLoad(&l, name, x) || found
	}
	if !found {
		return nil
	}
	return &l
}
