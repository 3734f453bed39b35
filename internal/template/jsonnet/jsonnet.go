// Package jsonnet evaluates templates of settings in Jsonnet, of which plain JSON is a part, to objects.
package jsonnet

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/google/go-jsonnet"

	"merlinarch/internal/template"
)

// maxFile bounds a file's size in bytes; maxStack the depth of its calls. Danger: a file that builds itself
// without end takes all the memory.
const (
	maxFile  = 1 << 20
	maxStack = 200
)

// Text evaluates a file to the text of JSON; imports are resolved beside it. A wrong file is a *template.Error.
func Evaluate(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", &template.Error{File: path, Text: errors.Unwrap(err).Error()}
	}
	if info.IsDir() || info.Size() > maxFile {
		return "", &template.Error{File: path, Text: fmt.Sprintf("expected a file of at most %d bytes", maxFile)}
	}
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStack
	text, err := vm.EvaluateFile(path)
	return text, wrong(path, err)
}

// Load evaluates a file to an object.
func Load(path string) (map[string]any, error) {
	text, err := Evaluate(path)
	if err != nil {
		return nil, err
	}
	return template.ParseObject(path, text)
}

// Parse evaluates a text as Load does a file; imports are refused.
func Parse(name, text string) (map[string]any, error) {
	if len(text) > maxFile {
		return nil, &template.Error{File: name, Text: fmt.Sprintf("expected at most %d bytes", maxFile)}
	}
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStack
	vm.Importer(&jsonnet.MemoryImporter{})
	out, err := vm.EvaluateAnonymousSnippet(name, text)
	if err := wrong(name, err); err != nil {
		return nil, err
	}
	return template.ParseObject(name, out)
}

// wrong tells the first line of what the evaluation failed with.
func wrong(file string, err error) error {
	if err == nil {
		return nil
	}
	line, _, _ := strings.Cut(err.Error(), "\n")
	return &template.Error{File: file, Text: "not Jsonnet: " + strings.TrimPrefix(line, "RUNTIME ERROR: ")}
}
