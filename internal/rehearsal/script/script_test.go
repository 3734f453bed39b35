package script

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"merlinarch/internal/template"
)

// The scripts in deploy/rehearsals load, and each is named after its file.
func TestShippedScripts(t *testing.T) {
	paths, err := filepath.Glob("../../../deploy/rehearsals/*.jsonnet")
	if err != nil || len(paths) < 5 {
		t.Fatalf("%v %v", paths, err)
	}
	for _, p := range paths {
		s, err := Load(p, nil)
		if err != nil || s.Name != strings.TrimSuffix(filepath.Base(p), ".jsonnet") {
			t.Errorf("%s: %q %v", p, s.Name, err)
		}
	}
}

// Overrides replace single values, also in lists; the script's other values stay.
func TestLoadOverrides(t *testing.T) {
	s, err := Load("../../../deploy/rehearsals/water-cut.jsonnet", map[string]any{"clients.rate": 50.0,
		"releases[1].size": 0.25, "hosts.boot": []any{"1s", "2s"}})
	if err != nil || s.Clients.Rate != 50 || s.Releases[1].Size != 0.25 || s.Hosts.Boot[1] != 2*time.Second ||
		s.Clients.Period != time.Minute || len(s.Classes) != 2 {
		t.Errorf("%+v %v", s, err)
	}
}

// A script that can't be played gives an error of one line that names the path and what is expected.
func TestInvalidScripts(t *testing.T) {
	for text, path := range map[string]string{
		`{clients: {rte: 3}}`:                                                        "clients.rte",
		`{clients: {rate: 0}}`:                                                       "clients.rate",
		`{length: "10h", clients: {rate: 20000}}`:                                    "clients.rate",
		`{length: 60}`:                                                               "length",
		`{hosts: {count: 0}}`:                                                        "hosts.count",
		`{hosts: {speed: [2, 1]}}`:                                                   "hosts.speed",
		`{hosts: {stops: "all"}}`:                                                    "hosts.stops",
		`{routers: {policy: "magic"}}`:                                               "routers.policy",
		`{classes: [{name: "a", share: 1}]}`:                                         "classes[0].work",
		`{tenants: [{name: "a", share: 1}, {name: "a", share: 1}]}`:                  "tenants[1].name",
		`{launcher: {cap: [0.5, 0.2, 0.4, 1]}}`:                                      "launcher.cap",
		`{launcher: {share: [1]}}`:                                                   "launcher.share",
		`{network: {same: ["2s", "1s"]}}`:                                            "network.same",
		`{releases: [{at: "20s"}, {at: "10s"}]}`:                                     "releases[1].at",
		`{releases: [{at: "2s", fault: "class", size: 0.5}]}`:                        "releases[0].class",
		`{releases: [{at: "2s", fault: "slow", size: 0.5}]}`:                         "releases[0].size",
		`{troubles: [{kind: "flood", at: "1s", "for": "1s"}]}`:                       "troubles[0].kind",
		`{troubles: [{kind: "pause", at: "70s", "for": "1s"}]}`:                      "troubles[0].at",
		`{troubles: [{kind: "pause", at: "7s"}]}`:                                    "troubles[0].for",
		`{troubles: [{kind: "pause", at: "7s", "for": "1s", size: 2}]}`:              "troubles[0].size",
		`{troubles: [{kind: "site_cut", at: "7s", "for": "1s"}]}`:                    "troubles[0].site",
		`{troubles: [{kind: "pause", at: "7s", "for": "1s", times: 2}]}`:             "troubles[0].every",
		`{troubles: [{kind: "burst", at: "7s", "for": "1s", size: 2, tenant: "x"}]}`: "troubles[0].tenant",
	} {
		_, err := Parse("f", text)
		var templateErr *template.Error
		if !errors.As(err, &templateErr) || templateErr.Path != path || !strings.Contains(err.Error(), "expected") ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %s", text, err, path)
		}
	}
	for _, path := range []string{"", "releases[9].at", "releases.x.at", "name.x"} {
		if _, err := Load("../../../deploy/rehearsals/calm.jsonnet", map[string]any{path: 1.0}); err == nil {
			t.Errorf("override of %q: no error", path)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add(`{name: "x", length: "10s", releases: [{at: "1s"}], troubles: [{kind: "pause", at: "2s", "for": "1s"}]}`)
	f.Add(`{classes: [{name: "a", share: 1e-300, work: "1ns"}], clients: {zipf: 1, patience: [1, 1]}}`)
	f.Add(`{hosts: {speed: [1], boot: []}, launcher: {share: [], cap: []}}`)
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("f", text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("error of more than one line: %q", err)
			}
			return
		}
		if len(s.Classes) == 0 || len(s.Hosts.Speed) != 2 || s.Length <= 0 || s.Clients.Rate <= 0 {
			t.Errorf("invalid script accepted: %+v", s)
		}
	})
}
