package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const settings = `{"me":%d,"peers_total":2,"zone":"a","caps":{"max_attempts":4,"peers":true},"tick_ms":5.0,` +
	`"classes":[{"name":"c","repeat":"safe","aim_ms":1000.0,"deadline_ms":4000.0,"worth":1.0}],` +
	`"rules":{"drain_grace_ms":1000.0},"family_info":{"exposure_caps":[0.1,1.0],"free":3.0,"exposure_window_ms":4000.0}}`

// batchLines returns the batches for the given instances: boot, requests, a timer and a crash.
func batchLines(instances ...int) string {
	var b strings.Builder
	line := func(at int, part func(i int) string) {
		var parts []string
		for _, i := range instances {
			parts = append(parts, fmt.Sprintf(`{"who":%d,"input":[%s]}`, i, part(i)))
		}
		fmt.Fprintf(&b, "{\"time_ms\":%d,\"parts\":[%s]}\n", at, strings.Join(parts, ","))
	}
	b.WriteString("{\"time_ms\":1,\"parts\":[]}\n")
	line(5, func(i int) string {
		return fmt.Sprintf(`["boot",%d,`+settings+`],["pool",%d,[[1,"a","k",7,0,"SERVING",1,null],`+
			`[2,"b","k",7,0,"SERVING",1,null]]],["update",1,"C",%d],["release_state",7,1,2,0,200,1.0,0.0]`, 50+i, i, i, i)
	})
	for n := range 40 {
		line(10+5*n, func(i int) string { return fmt.Sprintf(`["job_in","r-%d-%d","c",null,null,900.0,null,0]`, i, n) })
	}
	line(300, func(int) string { return `["fired",1]` })
	line(305, func(int) string { return `["crash_now"]` })
	return b.String()
}

// runReplies runs the program on in and returns its reply lines.
func runReplies(t *testing.T, in string) []string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
}

// Instances in one process must act as they would in separate processes. The test guards against shared state.
func TestInstancesShareNothing(t *testing.T) {
	both, first, second := runReplies(t, batchLines(0, 1)), runReplies(t, batchLines(0)), runReplies(t, batchLines(1))
	if len(both) != strings.Count(batchLines(0, 1), "\n") {
		t.Fatalf("%d replies", len(both))
	}
	sends := 0
	for i := range both {
		sends += strings.Count(both[i], `"place"`)
		a, b := strings.TrimSuffix(first[i], "]}"), strings.TrimPrefix(second[i], `{"parts":[`)
		want := a + b
		if a != `{"parts":[` && b != "]}" {
			want = a + "," + b
		}
		if both[i] != want {
			t.Errorf("reply %d\n%s\nin separate processes\n%s", i, both[i], want)
		}
	}
	if sends < 2 { // no request is answered, so the limit holds back the rest
		t.Errorf("%d sends, want at least 2", sends)
	}
}

func TestBadInputEndsTheRun(t *testing.T) {
	cases := []struct{ in, says string }{
		{"{\"time_ms\":1,\"parts\":[]}\nnonsense\n", "line 2"},
		{`{"time_ms":1,"parts":[{"who":4,"input":[["gone","r"]]}]}`, "never booted"},
		{`{"time_ms":1,"parts":[{"who":4,"input":[["odd"]]}]}`, `unknown event "odd"`},
	}
	for _, c := range cases {
		var out bytes.Buffer
		err := run(strings.NewReader(c.in), &out)
		if err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%q: error %v, want one saying %q", c.in, err, c.says)
		}
		for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
			if line != "" && !strings.HasPrefix(line, `{"parts"`) {
				t.Errorf("%q: standard output contains %q", c.in, line)
			}
		}
	}
}

func TestEndOfInputIsClean(t *testing.T) {
	if got := runReplies(t, "{\"time_ms\":8412.25,\"parts\":[]}\n"); len(got) != 1 || got[0] != `{"parts":[]}` {
		t.Errorf("replies %q", got)
	}
	if err := run(strings.NewReader(""), &bytes.Buffer{}); err != nil {
		t.Error(err)
	}
}
