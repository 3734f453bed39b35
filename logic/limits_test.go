package logic

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestPolicyFileLimits checks that the lines of logic.go stay short enough to be read side by side.
func TestPolicyFileLimits(t *testing.T) {
	const maxColumns = 110
	f, err := os.Open("logic.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	scan := bufio.NewScanner(f)
	for n := 1; scan.Scan(); n++ {
		text := strings.ReplaceAll(scan.Text(), "\t", "    ")
		if utf8.RuneCountInString(text) > maxColumns {
			t.Errorf("line %d has more than %d characters", n, maxColumns)
		}
	}
	if err := scan.Err(); err != nil {
		t.Fatal(err)
	}
}
