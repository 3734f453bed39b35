// Package features reads the further settings of the program (--settings): the usage ledger and the accord. Without such a
// file both are off. The configuration file that LB_CONFIG names is read by package config.
package features

import (
	"fmt"
	"net"
	"strings"
	"time"

	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/schedule"
	"merlinarch/internal/template"
)

// Features are the settings of the optional subsystems, each in a field of its own.
type Features struct {
	Ledger Ledger `json:"ledger"`
	Accord Accord `json:"accord"`
}

// Accord holds the settings of the accord: a Raft group of registrars that replicates the agreed rules, and dispatchers (the
// gateways) that hold read leases on them. Registrars, dispatchers and commands read the same settings.
type Accord struct {
	Cluster       string            `json:"cluster"`       // name of the cluster; empty: the accord is off
	Registrars    map[string]string `json:"registrars"`    // addresses of the registrars by name
	Listen        string            `json:"listen"`        // address on which a registrar listens; empty: its address in Registrars
	WithoutLease  string            `json:"without_lease"` // what a dispatcher without a lease does: hold or serve
	Lease         time.Duration     `json:"lease"`         // length of a lease
	LongestLease  time.Duration     `json:"longest_lease"` // the most that a lease may grow to; Lease if shorter than that
	Beat          time.Duration     `json:"beat"`          // time between a dispatcher's heartbeats
	Send          time.Duration     `json:"send"`          // longest time from the check of a lease until the kernel has an attempt's last byte
	Drift         float64           `json:"drift"`         // clocks run at a rate from 1-Drift to 1+Drift of true time
	Budget        float64           `json:"budget"`        // share of the weight of one build at one site that may be cordoned, draining, lost or cold at a time
	ColdTime      time.Duration     `json:"cold"`          // length of the slow start of a server after its cordon was lifted, and of a site that is reachable again
	Auto          AutoCordon        `json:"auto"`
	DispatchLimit int               `json:"dispatch_room"` // attempts of dispatches (planned work) that may be in flight at one warm site
	ClockStep     time.Duration     `json:"clock_step"`    // added to the wall clock; for tests
	ClockRate     float64           `json:"clock_rate"`    // rate of the clock that leases are measured with; for tests
}

// AutoCordon holds the settings by which registrars cordon servers on the evidence of the dispatchers.
type AutoCordon struct {
	MinDispatchers int     `json:"agreeing"` // dispatchers whose evidence has to agree; 0: off
	MaxCordons     int     `json:"most"`     // automatic cordons that may be in force at a time
	ErrorShare     float64 `json:"share"`    // share of a server's answers that have to be errors
	MinAnswers     int     `json:"least"`    // answers that a dispatcher needs as evidence
}

// Enabled reports whether the accord is on.
func (a Accord) Enabled() bool { return a.Cluster != "" }

// LeaseTerms returns the terms of the leases.
func (a Accord) LeaseTerms() lease.Terms {
	return lease.Terms{Length: a.Lease, Longest: max(a.Lease, a.LongestLease), Beat: a.Beat, Send: a.Send, Drift: a.Drift}
}

// ScheduleSettings returns the settings for scheduling dispatches.
func (a Accord) ScheduleSettings() schedule.Settings {
	s := schedule.DefaultSettings()
	s.MaxInFlight, s.ColdPeriod = a.DispatchLimit, a.ColdTime
	return s
}

// check returns the key and a description of the first invalid setting; the text is empty if all are valid.
func (a Accord) check() (key, text string) {
	if !a.Enabled() {
		if len(a.Registrars) > 0 {
			return "cluster", "expected a name"
		}
		return "", ""
	}
	if n := len(a.Registrars); n == 0 || n > 7 {
		return "registrars", fmt.Sprintf("expected 3 or 5 addresses by name, got %d", n)
	}
	for name, addr := range a.Registrars {
		if host, _, err := net.SplitHostPort(addr); err != nil || net.ParseIP(host) == nil || name == "" {
			return "registrars", fmt.Sprintf("expected an IP address and a port, got %q", addr)
		}
	}
	if m := lease.Mode(a.WithoutLease); m != lease.Hold && m != lease.Serve {
		return "without_lease", "expected hold or serve, got " + a.WithoutLease
	}
	if err := a.LeaseTerms().Check(); err != nil {
		return "", err.Error()
	}
	switch {
	case a.Budget < 0 || a.Budget > 1:
		return "budget", fmt.Sprintf("expected 0 to 1, got %g", a.Budget)
	case a.ColdTime < 0:
		return "cold", "expected a time from 0s"
	case a.Auto.MinDispatchers < 0 || a.Auto.MaxCordons < 0 || a.Auto.MinAnswers < 0 || a.Auto.ErrorShare < 0 || a.Auto.ErrorShare > 1:
		return "auto", "expected numbers from 0, and a share up to 1"
	case a.DispatchLimit < 1:
		return "dispatch_room", "expected at least 1"
	case a.ClockRate < 0:
		return "clock_rate", "expected more than 0"
	}
	return "", ""
}

// Ledger holds the settings of the usage ledger, which keeps the usage of each tenant durably on disk.
type Ledger struct {
	File      string        `json:"file"`       // path of the ledger's file; empty: the ledger is off
	Period    time.Duration `json:"period"`     // length of a period; periods are counted from the Unix epoch
	Grace     time.Duration `json:"grace"`      // time from the end of a period until it closes
	OnFailure string        `json:"on_failure"` // while the disk fails: refuse new requests, or serve them uncounted
}

// Default returns the default settings, with every subsystem off.
func Default() Features {
	t := lease.DefaultTerms()
	return Features{Ledger: Ledger{Period: time.Hour, Grace: time.Minute, OnFailure: "refuse"},
		Accord: Accord{WithoutLease: string(lease.Hold), Lease: t.Length, Beat: t.Beat, Send: t.Send, Drift: t.Drift,
			Budget: cordon.DefaultBudget().Share, ColdTime: time.Minute, DispatchLimit: schedule.DefaultSettings().MaxInFlight, Auto: AutoCordon{ErrorShare: 0.5, MinAnswers: 20, MaxCordons: 1}}}
}

// Load reads the file at path with read, which returns its content as an object. Without a path it returns the defaults.
// The error for an invalid file is a *template.Error.
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
	if key, text := f.Accord.check(); text != "" {
		return f, &template.Error{File: path, Path: strings.TrimSuffix("accord."+key, "."), Text: text}
	}
	return f, nil
}
