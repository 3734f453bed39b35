package discovery

import (
	"bytes"
	"errors"
)

// objects puts lists together that come on a line each, or indented over several. An indented list begins with a line
// that ends within it, goes on with lines that are set in, and ends with a brace that is not. Danger: a list that is cut
// off must not swallow what is told after it; the next line that is not set in, and a sign of life, show that.
type listAssembler struct{ partial []byte }

var errListTruncated = errors.New("a list that breaks off")

// open tells that a list has begun and not ended.
func (o *listAssembler) inProgress() bool { return len(o.partial) > 0 }

// line takes a line and gives the list that is whole with it; empty: none is. most bounds the bytes of a list.
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
