package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/features"
	"merlinarch/internal/testwait"
)

// A router with a ledger counts the answers that clients received. The ledger commands read, correct and verify its file.
func TestLedgerCountsServedRequests(t *testing.T) {
	w := newEnvironment(t)
	listen := freeAddr(t)
	path := w.writeConfig(t, listen)
	c, err := config.Load(path, emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "n0.ledger")
	f := features.Default()
	f.Ledger.File = file
	done := make(chan error, 1)
	go func() { done <- serve(c, f, zap.NewNop()) }()
	testwait.Until(t, "the router to get ready", func() bool {
		status, _, err := sendGet(listen, "/-/ready", "r")
		return err == nil && status == 200
	})
	for i := range 5 {
		if status, _, err := sendGet(listen, "/api", fmt.Sprint("id", i)); status != 200 || err != nil {
			t.Fatalf("%d %v", status, err)
		}
	}
	if err := serve(c, f, zap.NewNop()); err == nil { // the first one holds its port and its file
		t.Error("a second router started on the same port and ledger")
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := testwait.Value(t, "the router to end", done); err != nil {
		t.Fatal(err)
	}
	runLedger := func(want int, args ...string) string {
		t.Helper()
		var out, errOut bytes.Buffer
		if code := run(append([]string{"ledger"}, append(args, "--config", path)...), &out, &errOut, emptyEnv); code != want {
			t.Errorf("%v: code %d, %q", args, code, errOut.String())
		}
		return out.String() + errOut.String()
	}
	if text := runLedger(0, "show", file, "--format", "csv"); !strings.Contains(text, ",false,(other),read,served,5,5,5,0,5") {
		t.Errorf("%s", text)
	}
	now := time.Now().UTC().Format(time.RFC3339)
	correct := []string{"correct", file, "--period", now, "--tenant", "(other)", "--class", "read", "--amount", "-2", "--reason", "test",
		"--author", "op", "--key", "k1"}
	runLedger(0, correct...)
	runLedger(0, correct...) // the same key again
	if text := runLedger(0, "show", file); !strings.Contains(text, "served   5         3 ") || !strings.Contains(text, "0 unconfirmed") {
		t.Errorf("%s", text)
	}
	if text := runLedger(0, "show", file, "--format", "json", "--tenant", "nobody", "--period", now); !strings.Contains(text, `"lines": []`) {
		t.Errorf("%s", text)
	}
	if text := runLedger(0, "verify", file); !strings.Contains(text, "good") {
		t.Errorf("%s", text)
	}
	if text := runLedger(1, "verify", file+".none"); !strings.Contains(text, "no such file") {
		t.Errorf("%s", text)
	}
	runLedger(2, "show", file, "--format", "xml")
	runLedger(2, "show", file, "--period", "yesterday")
	runLedger(2, append(correct, "--period", "yesterday")...)
	runLedger(1, append(correct, "--amount", "-3")...) // the same key with other content
}
