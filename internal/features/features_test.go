package features

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"merlinarch/internal/template/jsonnet"
)

func load(t *testing.T, text string) (Features, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "f.jsonnet")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return Load(path, jsonnet.Load)
}

func TestLoad(t *testing.T) {
	for _, path := range []string{"", "../../deploy/merlinarch.jsonnet"} {
		if f, err := Load(path, jsonnet.Load); err != nil || !reflect.DeepEqual(f, Default()) || f.Ledger.File != "" {
			t.Errorf("%q: %+v %v, want the defaults with everything off", path, f, err)
		}
	}
	f, err := load(t, `{ledger: {file: "x", period: "10m", on_failure: "serve"}}`)
	if err != nil || f.Ledger != (Ledger{"x", 10 * time.Minute, time.Minute, "serve"}) {
		t.Errorf("%+v %v", f, err)
	}
	for text, want := range map[string]string{`{ledgr: {}}`: "ledgr: expected", `{ledger: {period: "1ms"}}`: "ledger.period: expected",
		`{ledger: {grace: "2h"}}`: "ledger.grace: expected", `{ledger: {on_failure: "panic"}}`: "ledger.on_failure: expected"} {
		if _, err := load(t, text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
	}
}
