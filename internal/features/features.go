// Package features reads the file of settings for what the product has beyond the users' platform: everything is
// off without it. The platform's own configuration is in package config.
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

// Features is what a file may switch on; each subsystem has a field of its own.
type Features struct {
	Ledger Ledger `json:"ledger"`
	Accord Accord `json:"accord"`
}

// Accord is the cluster of registrars that keeps the agreed rules; the same for them, the dispatchers and the commands.
type Accord struct {
	Cluster       string            `json:"cluster"`    // empty: off
	Registrars    map[string]string `json:"registrars"` // addresses by name
	Listen        string            `json:"listen"`     // of a registrar; empty: its address above
	WithoutLease  string            `json:"without_lease"`
	Lease         time.Duration     `json:"lease"`
	LongestLease  time.Duration     `json:"longest_lease"` // empty: the lease
	Beat          time.Duration     `json:"beat"`
	Send          time.Duration     `json:"send"`
	Drift         float64           `json:"drift"`
	Budget        float64           `json:"budget"` // of a site's and build's capacity that may be cordoned, draining, lost or cold together
	ColdTime      time.Duration     `json:"cold"`   // a server whose cordon was lifted is cold for so long
	Auto          AutoCordon        `json:"auto"`
	DispatchLimit int               `json:"dispatch_room"` // tries of planned work that may be out at one warm site together
	ClockStep     time.Duration     `json:"clock_step"`    // by which the wall clock is off; for tests
	ClockRate     float64           `json:"clock_rate"`    // of the clock that leases are counted on; for tests
}

// Auto cordons servers by the dispatchers' own evidence.
type AutoCordon struct {
	MinAgreeing int     `json:"agreeing"` // dispatchers that have to see the same; 0: off
	MaxCordons  int     `json:"most"`     // such cordons that may stand together
	ErrorShare  float64 `json:"share"`    // of a server's answers that are errors
	MinAnswers  int     `json:"least"`    // answers that a dispatcher needs
}

// On tells whether there is an accord.
func (a Accord) Enabled() bool { return a.Cluster != "" }

// Terms are those of the leases.
func (a Accord) LeaseTerms() lease.Terms {
	return lease.Terms{Length: a.Lease, Longest: max(a.Lease, a.LongestLease), Beat: a.Beat, Send: a.Send, Drift: a.Drift}
}

// Planned are the settings of planned work.
func (a Accord) ScheduleSettings() schedule.Settings {
	s := schedule.DefaultSettings()
	s.MaxInFlight, s.ColdPeriod = a.DispatchLimit, a.ColdTime
	return s
}

// check finds what is wrong; the path is of the field.
func (a Accord) check() (path, text string) {
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
	case a.Auto.MinAgreeing < 0 || a.Auto.MaxCordons < 0 || a.Auto.MinAnswers < 0 || a.Auto.ErrorShare < 0 || a.Auto.ErrorShare > 1:
		return "auto", "expected numbers from 0, and a share up to 1"
	case a.DispatchLimit < 1:
		return "dispatch_room", "expected at least 1"
	case a.ClockRate < 0:
		return "clock_rate", "expected more than 0"
	}
	return "", ""
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
	t := lease.DefaultTerms()
	return Features{Ledger: Ledger{Period: time.Hour, Grace: time.Minute, OnFailure: "refuse"},
		Accord: Accord{WithoutLease: string(lease.Hold), Lease: t.Length, Beat: t.Beat, Send: t.Send, Drift: t.Drift,
			Budget: cordon.DefaultBudget().Share, ColdTime: time.Minute, DispatchLimit: schedule.DefaultSettings().MaxInFlight, Auto: AutoCordon{ErrorShare: 0.5, MinAnswers: 20, MaxCordons: 1}}}
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
	if at, text := f.Accord.check(); text != "" {
		return f, &template.Error{File: path, Path: strings.TrimSuffix("accord."+at, "."), Text: text}
	}
	return f, nil
}
