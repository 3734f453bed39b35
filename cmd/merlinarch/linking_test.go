package main

import (
	"debug/elf"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// checkDynamicLinking reports an error unless a program is linked dynamically against the C library.
func checkDynamicLinking(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("build the program first, as the README says: %w", err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		return errors.New("no interpreter: statically linked")
	}
	needed, err := f.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("needed libraries: %w", err)
	}
	if !slices.ContainsFunc(needed, func(name string) bool { return strings.HasPrefix(name, "libc.so.") }) {
		return fmt.Errorf("needs %v, not the C library", needed)
	}
	return nil
}

// The users' bench preloads a library into each router to control its clock. A statically linked router does not load it
// and runs on another clock than the bench. Plain `go build` links the router statically, since nothing in it needs C.
func TestRouterIsLinkedDynamically(t *testing.T) {
	if err := checkDynamicLinking("../../bin/merlinarch"); err != nil {
		t.Error(err)
	}
	dir := t.TempDir()
	source, static := filepath.Join(dir, "main.go"), filepath.Join(dir, "static")
	if err := os.WriteFile(source, []byte("package main\n\nfunc main() {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	build := exec.Command("go", "build", "-o", static, source)
	build.Env = append(os.Environ(), "CGO_ENABLED=0")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if checkDynamicLinking(static) == nil {
		t.Error("a statically linked program passes the check")
	}
}

// All ways to build the router link it in the same way, so that the tested router is the deployed one.
func TestAllBuildsLinkAlike(t *testing.T) {
	const command = "CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/..."
	for _, path := range []string{"../../deploy/balancer.toml", "../../Makefile", "../../test.sh"} {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(text), command) {
			t.Errorf("%s does not build with %q", path, command)
		}
	}
}
