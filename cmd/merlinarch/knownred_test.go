package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Tests that KNOWN-RED.txt names are passed over, and no others; what the file may not hold fails.
func TestKnownRed(t *testing.T) {
	script, err := filepath.Abs("../../deploy/run-tests.sh")
	if err != nil {
		t.Fatal(err)
	}
	const red = "./a TestRed | a fault | an issue\n"
	for _, c := range []struct {
		name, file, other string // the file's text; "-": there is none. The body of a further test
		passes            bool
		prints            string
	}{
		{"no file", "-", "", false, "--- FAIL: TestRed"},
		{"named", red, "", true, "known red: ./a TestRed fails (a fault)"},
		{"another one fails", red, "t.Fail()", false, "--- FAIL: TestOther"},
		{"its name elsewhere", "./b TestRed | a fault | an issue\n", "", false, "--- FAIL: TestRed"},
		{"no such test", "./a TestNone | a fault | an issue\n", "", false, "./a has no TestNone"},
		{"no cause", "./a TestRed |  | an issue\n", "", false, "not a line of it"},
		{"no issue", "./a TestRed | a fault\n", "", false, "not a line of it"},
		{"an empty line", red + "\n", "", false, "not a line of it"},
		{"a fourth line", red + red + red + red, "", false, "more than three lines"},
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
