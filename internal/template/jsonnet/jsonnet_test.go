package jsonnet

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"merlinarch/internal/template"
)

type leaf struct {
	Wait  time.Duration `json:"wait"`
	Count int           `json:"count"`
}

type tree struct {
	Name   string `json:"name"`
	Leaves []leaf `json:"leaves"`
	Inner  leaf   `json:"inner"`
}

func decode(t *testing.T, text string) (tree, error) {
	t.Helper()
	var out tree
	o, err := Parse("f", text)
	if err != nil {
		return out, err
	}
	return out, template.Decode("f", o, &out)
}

func TestDecode(t *testing.T) {
	got, err := decode(t, `local n = 2; {name: "x" + n, leaves: [{wait: "1.5s", count: i} for i in std.range(1, n)]}`)
	if err != nil || got.Name != "x2" || len(got.Leaves) != 2 || got.Leaves[1] != (leaf{1500 * time.Millisecond, 2}) {
		t.Errorf("%+v %v", got, err)
	}
}

// Each error is a single line with the file, the path and what was expected.
func TestErrorsNameFileAndPath(t *testing.T) {
	for text, want := range map[string]string{
		`{`:                                    "f: not Jsonnet",
		`[1]`:                                  "f: expected an object",
		`{nme: "x"}`:                           "f: nme: expected no such name",
		`{inner: {wiat: "1s"}}`:                "f: inner.wiat: expected no such name",
		`{inner: {wait: 3}}`:                   `f: inner.wait: expected a time`,
		`{inner: {wait: "soon"}}`:              `f: inner.wait: expected a time`,
		`{leaves: [{}, {count: "three"}]}`:     "f: leaves[1].count: expected int",
		`{inner: {count: 1.5}}`:                "f: inner.count: expected a whole number",
		`{name: 3}`:                            "f: name: expected string",
		`import "x.jsonnet"`:                   "f: not Jsonnet",
		`local f(x) = f(x + 1) + 1; {a: f(0)}`: "f: not Jsonnet",
	} {
		_, err := decode(t, text)
		var templateErr *template.Error
		if !errors.As(err, &templateErr) || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", text, err, want)
		}
	}
}

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.jsonnet")
	if err := os.WriteFile(path, []byte(`import "b.libsonnet"`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, "b.libsonnet"), []byte(`{a: 1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if o, err := Load(path); err != nil || o["a"] != 1.0 {
		t.Errorf("%v %v", o, err)
	}
	for _, unreadable := range []string{dir, path + ".none"} {
		if _, err := Load(unreadable); !errors.As(err, new(*template.Error)) {
			t.Errorf("%s: %v", unreadable, err)
		}
	}
}
