package discovery

import (
	"bytes"
	"errors"
)

// listAssembler assembles JSON lists that arrive either on one line or indented over several lines. An indented list
// starts with a line that ends in an opening brace, an opening bracket or a comma, continues with indented lines and ends
// with a closing brace that is not indented. A truncated list must not absorb the lists that follow it, so a heartbeat (an
// empty line) or any other unindented line that does not start with a closing brace or bracket is reported as a truncation.
type listAssembler struct{ partial []byte }

var errListTruncated = errors.New("list is truncated or too long")

// inProgress reports whether a list has started and not yet ended.
func (o *listAssembler) inProgress() bool { return len(o.partial) > 0 }

// addLine adds a line and returns the list that it completes, or nothing if no list is complete. A list longer than
// maxBytes is an error.
func (o *listAssembler) addLine(line []byte, maxBytes int) ([]byte, error) {
	trimmed := bytes.TrimSpace(line)
	if !o.inProgress() {
		if len(trimmed) == 0 || !bytes.ContainsAny(trimmed[len(trimmed)-1:], "{[,") {
			return trimmed, nil
		}
		o.partial = append(o.partial, trimmed...)
		return nil, nil
	}
	switch {
	case len(trimmed) == 0, !bytes.ContainsAny(line[:1], " \t}]"), len(o.partial)+len(line) > maxBytes:
		o.partial = nil
		return nil, errListTruncated
	}
	o.partial = append(append(o.partial, '\n'), trimmed...)
	if line[0] != '}' {
		return nil, nil
	}
	complete := o.partial
	o.partial = nil
	return complete, nil
}
