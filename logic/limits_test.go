package logic

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestPolicyFileLimits checks that no line of logic.go exceeds 110 columns, so that two versions can be read side by
// side.
func TestPolicyFileLimits(t *testing.T) {
	const maxColumns = 110
	f, err := os.Open("logic.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	scanner := bufio.NewScanner(f)
	for lineNumber := 1; scanner.Scan(); lineNumber++ {
		text := strings.ReplaceAll(scanner.Text(), "\t", "    ")
		if utf8.RuneCountInString(text) > maxColumns {
			t.Errorf("line %d has more than %d characters", lineNumber, maxColumns)
		}
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
}
