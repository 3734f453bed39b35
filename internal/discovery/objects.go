package discovery

import (
	"bytes"
	"errors"
)

// objects puts lists together that come on a line each, or indented over several. An indented list begins with a line
// that ends within it, goes on with lines that are set in, and ends with a brace that is not. Danger: a list that is cut
// off must not swallow what is told after it; the next line that is not set in, and a sign of life, show that.
type objects struct{ part []byte }

var errCutOff = errors.New("a list that breaks off")

// open tells that a list has begun and not ended.
func (o *objects) open() bool { return len(o.part) > 0 }

// line takes a line and gives the list that is whole with it; empty: none is. most bounds the bytes of a list.
func (o *objects) line(line []byte, most int) ([]byte, error) {
	text := bytes.TrimSpace(line)
	if !o.open() {
		if len(text) == 0 || !bytes.ContainsAny(text[len(text)-1:], "{[,") {
			return text, nil
		}
		o.part = append(o.part, text...)
		return nil, nil
	}
	switch {
	case len(text) == 0, !bytes.ContainsAny(line[:1], " \t}]"), len(o.part)+len(line) > most:
		o.part = nil
		return nil, errCutOff
	}
	o.part = append(append(o.part, '\n'), text...)
	if line[0] != '}' {
		return nil, nil
	}
	whole := o.part
	o.part = nil
	return whole, nil
}
