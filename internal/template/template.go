// Package template decodes the project's own settings files into Go values. An unknown name and a value of a wrong type are
// errors that name the file and the path in it. Its subpackage jsonnet evaluates Jsonnet templates; the Jsonnet library
// takes 2 MB of memory even when idle, so a router does not link it.
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

// Tag is the key of the struct tag that holds a field's name in files.
const Tag = "json"

// Error is an error in a settings file.
type Error struct {
	File, Path, Text string // Path is empty if the error concerns the whole file
}

func (e *Error) Error() string {
	if e.Path == "" {
		return fmt.Sprintf("%s: %s", e.File, e.Text)
	}
	return fmt.Sprintf("%s: %s: %s", e.File, e.Path, e.Text)
}

// ParseObject parses a JSON object; errors name it as file.
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

var durationType = reflect.TypeFor[time.Duration]()

// decodeScalar parses durations such as "1.5s". It rejects plain numbers for durations, since their unit would be unclear,
// and fractions for integers.
func decodeScalar(from, to reflect.Type, v any) (any, error) {
	if f, ok := v.(float64); ok && to != durationType && to.Kind() >= reflect.Int && to.Kind() <= reflect.Uint64 &&
		f != math.Trunc(f) {
		return nil, fmt.Errorf("expected a whole number, got %v", f)
	}
	if to != durationType || from == durationType {
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

// Decode stores an object in the struct that into points to; fields that the object does not name keep their values.
func Decode(file string, from map[string]any, into any) error {
	var meta mapstructure.Metadata
	d, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{Result: into, TagName: Tag, Metadata: &meta,
		DecodeHook: decodeScalar, MatchName: func(key, field string) bool { return key == field }})
	if err != nil {
		return fmt.Errorf("decoder: %w", err)
	}
	if err := d.Decode(from); err != nil {
		var decodeErr *mapstructure.DecodeError
		if !errors.As(err, &decodeErr) {
			return &Error{File: file, Text: err.Error()}
		}
		text := decodeErr.Unwrap().Error()
		var typeErr *mapstructure.UnconvertibleTypeError
		if errors.As(err, &typeErr) {
			text = fmt.Sprintf("expected %v, got %v", typeErr.Expected.Type(), typeErr.Value)
		}
		return &Error{File: file, Path: decodeErr.Name(), Text: text}
	}
	if len(meta.Unused) > 0 {
		slices.Sort(meta.Unused)
		return &Error{File: file, Path: meta.Unused[0], Text: "expected no such name"}
	}
	return nil
}
