// Package template decodes the project's own files of settings whole into a Go value. A name that the value does not
// have, and a value of another kind, are errors that name the file and the path in it. Package jsonnet below it
// evaluates templates; its library takes 2 MB at rest, so a router does not link it.
package template

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"time"

	"github.com/go-viper/mapstructure/v2"
)

// Tag is the struct tag that names a field in files.
const Tag = "json"

// Error is one thing wrong with a file.
type Error struct {
	File, Path, Text string // Path is empty where the file as a whole is meant
}

func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Path, e.Text)
}

// Object reads the text of plain JSON; the name stands for it in errors.
func ParseObject(file, text string) (map[string]any, error) {
	var v any
	if err := json.Unmarshal([]byte(text), &v); err != nil {
		return nil, &Error{File: file, Text: "not JSON: " + err.Error()}
	}
	m, ok := v.(map[string]any)
	if !ok {
		return nil, &Error{File: file, Text: "expected an object"}
	}
	return m, nil
}

var duration = reflect.TypeFor[time.Duration]()

// times reads "1.5s" and refuses bare numbers, which leave the unit open, and parts of what is counted whole.
func times(from, to reflect.Type, v any) (any, error) {
	if f, ok := v.(float64); ok && to != duration && to.Kind() >= reflect.Int && to.Kind() <= reflect.Uint64 &&
		f != math.Trunc(f) {
		return nil, fmt.Errorf("expected a whole number, got %v", f)
	}
	if to != duration || from == duration {
		return v, nil
	}
	text, ok := v.(string)
	if !ok {
		return nil, errors.New(`expected a time such as "1.5s"`)
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return nil, fmt.Errorf(`expected a time such as "1.5s", got %q`, text)
	}
	return d, nil
}

// Decode puts an object into the struct that into points to; what the object does not name stays as it is.
func Decode(file string, from map[string]any, into any) error {
	var meta mapstructure.Metadata
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: into, TagName: Tag, Metadata: &meta,
		DecodeHook: times, MatchName: func(key, field string) bool { return key == field }})
	if err != nil {
		return fmt.Errorf("decoder: %w", err)
	}
	if err := d.Decode(from); err != nil {
		var bad *mapstructure.DecodeError
		if !errors.As(err, &bad) {
			return &Error{File: file, Text: err.Error()}
		}
		text := bad.Unwrap().Error()
		var kind *mapstructure.UnconvertibleTypeError
		if errors.As(err, &kind) {
			text = fmt.Sprintf("expected %v, got %v", kind.Expected.Type(), kind.Value)
		}
		return &Error{File: file, Path: bad.Name(), Text: text}
	}
	if len(meta.Unused) > 0 {
		slices.Sort(meta.Unused)
		return &Error{File: file, Path: meta.Unused[0], Text: "expected no such name"}
	}
	return nil
}
