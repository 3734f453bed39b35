// Package jsonnet evaluates settings files written in Jsonnet, a superset of JSON, to objects.
package jsonnet

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/google/go-jsonnet"

	"merlinarch/internal/template"
)

// Limits of a file. Without a limit on call depth, a file with endless recursion would take all memory.
const (
	maxFileBytes  = 1 << 20
	maxStackDepth = 200
)

// Evaluate evaluates a file to JSON text; imports are resolved relative to it. The error for an invalid file is a
// *template.Error.
func Evaluate(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", &template.Error{File: path, Text: errors.Unwrap(err).Error()}
	}
	if info.IsDir() || info.Size() > maxFileBytes {
		return "", &template.Error{File: path, Text: fmt.Sprintf("expected a file of at most %d bytes", maxFileBytes)}
	}
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStackDepth
	text, err := vm.EvaluateFile(path)
	return text, evaluationError(path, err)
}

// Load evaluates a file to an object, with errors as Evaluate returns them.
func Load(path string) (map[string]any, error) {
	text, err := Evaluate(path)
	if err != nil {
		return nil, err
	}
	return template.ParseObject(path, text)
}

// Parse evaluates text as Load does a file, but does not allow imports; errors give name as the file.
func Parse(name, text string) (map[string]any, error) {
	if len(text) > maxFileBytes {
		return nil, &template.Error{File: name, Text: fmt.Sprintf("expected at most %d bytes", maxFileBytes)}
	}
	vm := jsonnet.MakeVM()
	vm.MaxStack = maxStackDepth
	vm.Importer(&jsonnet.MemoryImporter{})
	out, err := vm.EvaluateAnonymousSnippet(name, text)
	if err := evaluationError(name, err); err != nil {
		return nil, err
	}
	return template.ParseObject(name, out)
}

// evaluationError returns a *template.Error with the first line of an error of the evaluation, or nil if err is nil.
func evaluationError(file string, err error) error {
	if err == nil {
		return nil
	}
	line, _, _ := strings.Cut(err.Error(), "\n")
	return &template.Error{File: file, Text: "not Jsonnet: " + strings.TrimPrefix(line, "RUNTIME ERROR: ")}
}
