package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Failures of tests that KNOWN-RED.txt names do not fail deploy/run-tests.sh, failures of all other tests do. A file that
// does not have the agreed form fails.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../deploy/run-tests.sh")
	if err != nil {
		t.Fatal(err)
	}
	const (
		red       = "./a TestRed | go test ./a | 7 | a fault | an issue\n"
		malformed = `expected "./PACKAGE Test | command | seed | what was seen | issue", got: `
	)
	for _, c := range []struct {
		name   string
		file   string // the text of KNOWN-RED.txt; "-" if there is no such file
		other  string // the body of TestOther
		passes bool
		prints string
	}{
		{"no file", "-", "", false, "--- FAIL: TestRed"},
		{"named", red, "", true, "known red: ./a TestRed fails (a fault; an issue)"},
		{"no seed needed", "./a TestRed | go test ./a | none | a fault | an issue", "", true, "known red: ./a TestRed fails (a fault; an issue)"},
		{"several lines", red + "./b TestRed | c | 1 | s | i\n./a TestOther | c | 1 | s | i\n" + red, "", true, "known red: ./b TestRed passes (s; i)"},
		{"another one fails", red, "t.Fail()", false, "--- FAIL: TestOther"},
		{"its name elsewhere", "./b TestRed | go test ./b | 7 | a fault | an issue\n", "", false, "--- FAIL: TestRed"},
		{"no such test", "./a TestNone | go test ./a | 7 | a fault | an issue\n", "", false, "./a has no TestNone"},
		{"no command", "./a TestRed |  | 7 | a fault | an issue\n", "", false, malformed},
		{"no seed", "./a TestRed | go test ./a |  | a fault | an issue\n", "", false, malformed},
		{"nothing seen", "./a TestRed | go test ./a | 7 |  | an issue\n", "", false, malformed},
		{"no issue", "./a TestRed | go test ./a | 7 | a fault | \n", "", false, malformed},
		{"a part missing", "./a TestRed | go test ./a | 7 | a fault\n", "", false, malformed},
		{"a part too many", "./a TestRed | go test ./a | 7 | a fault | an issue | more\n", "", false, malformed},
		{"the old form", "./a TestRed | a fault | an issue\n", "", false, malformed},
		{"the old form without a cause", "./a TestRed |  | an issue\n", "", false, malformed},
		{"the old form without an issue", "./a TestRed | a fault\n", "", false, malformed},
		{"no package", "TestRed | go test ./a | 7 | a fault | an issue\n", "", false, malformed},
		{"not a test", "./a Red | go test ./a | 7 | a fault | an issue\n", "", false, malformed},
		{"an empty line", red + "\n", "", false, malformed},
		{"several lines and another that fails", red + red + red + red, "t.Fail()", false, "--- FAIL: TestOther"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for name, text := range map[string]string{"go.mod": "module m\n\ngo 1.26\n", "KNOWN-RED.txt": c.file,
				"a/a_test.go": "package a\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Fail() }\n\nfunc TestOther(t *testing.T) { " + c.other + " }\n",
				"b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestRed(*testing.T) {}\n"} {
				if text == "-" {
					continue
				}
				path := filepath.Join(dir, name)
				if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
					t.Fatal(err)
				}
			}
			run := exec.Command(script)
			run.Dir = dir
			out, err := run.CombinedOutput()
			if (err == nil) != c.passes || !strings.Contains(string(out), c.prints) {
				t.Errorf("%v, want %v and %q:\n%s", err, c.passes, c.prints, out)
			}
		})
	}
}
