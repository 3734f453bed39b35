// Package features reads the file of settings for what the product has beyond the users' platform: everything is
// off without it. The platform's own configuration is in package config.
package features

import (
	"time"

	"merlinarch/internal/template"
)

// Features is what a file may switch on; each subsystem has a field of its own.
type Features struct {
	Ledger Ledger `json:"ledger"`
}

// Ledger counts use by tenant on a disk that lasts.
type Ledger struct {
	File      string        `json:"file"`       // empty: off
	Period    time.Duration `json:"period"`     // length of a period, counted from the Unix epoch
	Grace     time.Duration `json:"grace"`      // a period closes so long after its end
	OnFailure string        `json:"on_failure"` // refuse: nothing new is taken while the disk fails; serve: it is, uncounted
}

// Default is everything off.
func Default() Features {
	return Features{Ledger: Ledger{Period: time.Hour, Grace: time.Minute, OnFailure: "refuse"}}
}

// Load reads a file, which read makes an object of; without a path everything is off. A wrong file is a
// *template.Error.
func Load(path string, read func(path string) (map[string]any, error)) (Features, error) {
	f := Default()
	if path == "" {
		return f, nil
	}
	object, err := read(path)
	if err != nil {
		return f, err
	}
	if err := template.Decode(path, object, &f); err != nil {
		return f, err
	}
	switch l := f.Ledger; {
	case l.Period < time.Second:
		return f, &template.Error{File: path, Path: "ledger.period", Text: "expected at least 1s, got " + l.Period.String()}
	case l.Grace < 0 || l.Grace > l.Period:
		return f, &template.Error{File: path, Path: "ledger.grace", Text: "expected 0s to the period, got " + l.Grace.String()}
	case l.OnFailure != "refuse" && l.OnFailure != "serve":
		return f, &template.Error{File: path, Path: "ledger.on_failure", Text: "expected refuse or serve, got " + l.OnFailure}
	}
	return f, nil
}
