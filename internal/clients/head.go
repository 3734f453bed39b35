package clients

import (
	"bytes"
	"math"
	"net/http"
	"strconv"
	"strings"
)

// headScanner checks the head of a request while its bytes arrive, before net/http parses it. net/http keeps each header
// field in a map of its own, so a head of many short fields takes a hundred times its size; and it tells nobody where a
// request ends. The scanner accepts nothing that net/http would reject: a head that it passes is parsed by net/http again.
type headScanner struct {
	maxFields int
	maxBytes  int

	scanned  int // bytes of complete lines that were checked
	lines    int // complete lines, without empty ones in front of the request line
	length   int64
	lengthOf string // the value of Content-Length; empty: none yet

	hasEncoding bool // there is a Transfer-Encoding
}

// endless is the size of a body whose end the scanner does not look for: one with a transfer encoding. The connection ends
// with the answer to such a request.
const endless = math.MaxInt64 / 2

// headResult is what the scanner knows of a head after some of its bytes.
type headResult struct {
	end      int           // bytes of the head, with the empty line; zero: it is not complete
	bodySize int64         // bytes of the body that follows
	rejected *requestError // the head is invalid or too large; nil: not so far
}

// scan checks the bytes of a head that have arrived so far, which begin with those of the call before.
func (s *headScanner) scan(head []byte) headResult {
	for {
		lineEnd := bytes.IndexByte(head[s.scanned:], '\n')
		if lineEnd < 0 {
			if len(head) > s.maxBytes {
				return headResult{rejected: &requestError{http.StatusRequestHeaderFieldsTooLarge, "head too large"}}
			}
			return headResult{}
		}
		line := bytes.TrimSuffix(head[s.scanned:s.scanned+lineEnd], []byte("\r"))
		s.scanned += lineEnd + 1
		if s.scanned > s.maxBytes {
			return headResult{rejected: &requestError{http.StatusRequestHeaderFieldsTooLarge, "head too large"}}
		}
		if len(line) == 0 && s.lines > 0 {
			if s.hasEncoding {
				return headResult{end: s.scanned, bodySize: endless}
			}
			return headResult{end: s.scanned, bodySize: s.length}
		}
		if reqErr := s.checkLine(line); reqErr != nil {
			return headResult{rejected: reqErr}
		}
	}
}

// checkLine checks one line: the request line or a header field. Empty lines in front of the request line are skipped.
func (s *headScanner) checkLine(line []byte) *requestError {
	if len(line) == 0 {
		return nil
	}
	s.lines++
	if s.lines == 1 {
		method, rest, _ := bytes.Cut(line, []byte(" "))
		target, version, _ := bytes.Cut(rest, []byte(" "))
		if len(method) == 0 || len(target) == 0 || !bytes.HasPrefix(version, []byte("HTTP/")) {
			return badRequest("request line can't be read")
		}
		return nil
	}
	if s.lines > s.maxFields+1 {
		return &requestError{http.StatusRequestHeaderFieldsTooLarge, "too many header fields"}
	}
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || name[0] == ' ' || name[0] == '\t' {
		return badRequest("header field can't be read")
	}
	switch {
	case strings.EqualFold(string(name), "Content-Length"):
		return s.checkLength(string(bytes.Trim(value, " \t")))
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		s.hasEncoding = true
	}
	return nil
}

// checkLength parses a Content-Length. A second one has to be the same, since the end of the request would be ambiguous.
func (s *headScanner) checkLength(value string) *requestError {
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || s.lengthOf != "" && s.lengthOf != value {
		return badRequest("Content-Length can't be read")
	}
	s.length, s.lengthOf = int64(length), value
	return nil
}
