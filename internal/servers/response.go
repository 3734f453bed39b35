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

	"merlinarch/internal/settings"
	"merlinarch/logic"
)

// Names of this deployment on the way to servers and back.
const (
	serviceHost          = "app.svc"
	headerID             = "X-Txn"
	headerIdempotencyKey = "Idempotency-Key"
	headerRemaining      = "X-Remaining-Ms"
	headerLoad           = "x-pressure"
	headerRejected       = "x-turned-away"
	pathLoad             = "/-/load"
)

// response is a server's answer, read whole.
type response struct {
	status     int
	rejected   bool        // the server says that it turned the request away unseen
	load       *logic.Load // nil: none, or unreadable
	body       []byte
	allocation *allocation // what the body takes of the node's room
	reusable   bool        // the connection may carry another request
	begun      bool        // some of it has come
}

// good tells that what has come is of a good answer, as far as it goes.
func (r response) begunOK() bool { return r.begun && (r.status == http.StatusOK || r.status == 0) }

// interim tells that the final answer is yet to come.
func (r response) isInterim() bool { return r.status/100 == 1 && r.status != 101 }

// limits bound what is read of an answer.
type responseLimits struct {
	maxHead, maxBody int
	budget           *memoryBudget // for bodies longer than usual
	readTimeout      time.Duration // from its first byte to its last
}

// maxInterim is how many answers may come to a request, interim ones included.
const maxInterim = 8

var (
	errTooLarge        = errors.New("answer too large")
	errMalformed       = errors.New("malformed answer")
	errBudgetExhausted = errors.New("no room for an answer so long")
	errTooManyInterim  = errors.New("too many interim answers")
)

// readResponse reads one answer whole; of one that can't be used it gives the status, zero where that is not known. Danger:
// one whose length is in doubt would spill into the next.
func readResponse(r *bufio.Reader, limit responseLimits) (response, error) {
	headLeft := limit.maxHead
	resp, framing, err := readHead(r, &headLeft)
	if err != nil {
		return response{status: resp.status}, err
	}
	resp.allocation = limit.budget.newAllocation()
	if resp.body, err = readBody(r, framing, limit, resp.allocation); err != nil {
		resp.allocation.free()
		return response{status: resp.status}, err
	}
	resp.reusable = !framing.closeAfter && !framing.untilEOF
	return resp, nil
}

// framing tells how an answer's body ends.
type framing struct {
	length     int // -1: not told
	chunked    bool
	closeAfter bool // the connection ends after it
	untilEOF   bool // the body ends with the connection
}

// line reads one line without its end; left is what the head may still hold.
func readLine(r *bufio.Reader, headLeft *int) (string, error) {
	var text []byte
	for {
		part, err := r.ReadSlice('\n')
		if *headLeft -= len(part); *headLeft < 0 {
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

// unexpected is the error of an end within an answer.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readHead reads a head; of one that can't be used it gives the status, zero where that is not known.
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
		return resp, framing{}, fmt.Errorf("%w: two framings", errMalformed)
	}
	if status/100 == 1 || status == 204 || status == 304 {
		f.chunked, f.length = false, 0
	}
	// Danger: where neither a length nor the end of the connection was told, one that broke off passes for whole.
	if f.untilEOF = !f.chunked && f.length < 0; f.untilEOF && !f.closeAfter {
		return resp, framing{}, fmt.Errorf("%w: no framing", errMalformed)
	}
	return resp, f, nil
}

// control tells of a character that no header may hold.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// notToken tells of a character that no header's name may hold.
func isNotTokenChar(c rune) bool {
	return c <= ' ' || c >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", c)
}

// header takes in one header.
func (resp *response) applyHeader(f *framing, name, value string) error {
	switch name {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || f.length >= 0 && f.length != int(n) {
			return fmt.Errorf("%w: length %.30q", errMalformed, value)
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
		resp.load = parseLoad(value)
	case headerRejected:
		resp.rejected = value == "1"
	}
	return nil
}

// readBody reads a body to its end.
func readBody(r *bufio.Reader, f framing, limit responseLimits, h *allocation) ([]byte, error) {
	switch {
	case f.chunked:
		return readChunks(r, limit, h)
	case f.untilEOF:
		return appendBody(r, nil, limit.maxBody, true, h)
	case f.length > limit.maxBody:
		return nil, errTooLarge
	}
	return appendBody(r, nil, f.length, false, h)
}

// grow reads n more bytes of a body, or until its end if that comes first and may come. Danger: what an answer
// claims to hold would take the memory before it has come.
func appendBody(r io.Reader, body []byte, n int, untilEOF bool, h *allocation) ([]byte, error) {
	const step = 64 << 10
	for n > 0 {
		start, want := len(body), min(n, step)
		if cap(body)-start < want {
			if size := max(2*cap(body), start+want); size <= step || h.growTo(size-step) {
				body = append(make([]byte, 0, size), body...)
			} else {
				return nil, errBudgetExhausted
			}
		}
		got, err := io.ReadFull(r, body[start:start+want])
		body, n = body[:start+got], n-got
		switch {
		case untilEOF && (errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)):
			return body, nil
		case err != nil:
			return nil, unexpectedEOF(err)
		}
	}
	if untilEOF { // there was room for no more, and it has not ended
		return nil, errTooLarge
	}
	return body, nil
}

// readChunks reads a chunked body and its trailer.
func readChunks(r *bufio.Reader, limit responseLimits, h *allocation) ([]byte, error) {
	var body []byte
	for left := limit.maxHead + limit.maxBody; ; { // chunks of a byte each have longer heads than data
		text, err := readLine(r, &left)
		if err != nil {
			return nil, err
		}
		digits, _, _ := strings.Cut(text, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
		if err != nil {
			return nil, fmt.Errorf("%w: chunk size %.30q", errMalformed, text)
		}
		if n == 0 {
			break
		}
		if len(body)+int(n) > limit.maxBody {
			return nil, errTooLarge
		}
		if body, err = appendBody(r, body, int(n), false, h); err != nil {
			return nil, err
		}
		if end, err := readLine(r, &left); err != nil {
			return nil, err
		} else if end != "" {
			return nil, fmt.Errorf("%w: end of chunk %.30q", errMalformed, end)
		}
	}
	for left := limit.maxHead; ; {
		if text, err := readLine(r, &left); err != nil || text == "" {
			return body, err
		}
	}
}

// parseLoad reads a load report, name=value,name=value; one that can't be read is none.
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
