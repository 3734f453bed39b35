// Package statemachine decides what the agreed record becomes by each entry of the registrars' log: the rulebook's versions,
// the dispatchers and their lives, and which cordons are confirmed. Every registrar carries out the same entries in the
// same order and holds the same record.
package statemachine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/schedule"
)

// Entry is one entry of the log. One of its parts is set.
type Entry struct {
	// Term is the term of the leader that judged it. Danger: one that was deposed, or that stood still, judges by what
	// it heard long ago; what it judged is void unless it still led in this very term when the entry was agreed.
	Term uint64 `json:"term"`
	At   int64  `json:"at_ms"` // Unix time by that leader's clock

	Ask      *ruleset.ChangeRequest `json:"ask,omitempty"`
	Enrol    *Enrol                 `json:"enrol,omitempty"`
	Activate *Activate              `json:"open,omitempty"`
	Confirm  *Confirm               `json:"confirm,omitempty"`
	Forget   *Forget                `json:"forget,omitempty"`
	Retire   *Retire                `json:"retire,omitempty"`
	Elapsed  *Elapsed               `json:"passed,omitempty"`
	Observed *Observed              `json:"seen,omitempty"`
	Claim    *Claim                 `json:"claim,omitempty"`
	Outcome  *Outcome               `json:"ended,omitempty"`
	Reclaim  *Reclaim               `json:"vacate,omitempty"`
	Drop     *Drop                  `json:"drop,omitempty"`
}

// Enrol gives a life to a dispatcher.
type Enrol struct {
	Name       string     `json:"name"`
	Token      string     `json:"token"` // drawn by the dispatcher at its start
	Mode       lease.Mode `json:"mode"`
	KnownKinds []string   `json:"knows,omitempty"`
	Site       string     `json:"site,omitempty"`
}

// Open puts in force what waits, as nobody acts on a version older than the one that announced it.
type Activate struct {
	Version uint64 `json:"version"`
}

// Confirm says that no dispatcher will start anything at a server.
type Confirm struct {
	Cordon  string   `json:"cordon"`
	Version uint64   `json:"version"`          // that brought it: one lifted and asked for anew meanwhile is another
	Total   int      `json:"of"`               // dispatchers at that time
	Lapsed  []string `json:"lapsed,omitempty"` // those that did not say so: their leases are over
}

// Passed counts time towards the expiry of cordons: what passed on the leader's clock since the last such entry of its
// term. Wall clocks have no part in it; time between two leaders is not counted, so a cordon lasts too long at worst.
type Elapsed struct {
	Ms int64 `json:"ms"`
}

// Forget drops former lives of dispatchers whose leases are over.
type Forget struct {
	Incarnations map[string][]uint64 `json:"lives"`
}

// Retire takes a dispatcher out of the record: whoever asks for it vouches that it has ended.
type Retire struct {
	Name   string `json:"name"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	Forced bool   `json:"forced,omitempty"`
}

// Confirmation is a cordon's, as it was agreed.
type Confirmation struct {
	At     int64    `json:"at_ms"`
	Total  int      `json:"of"`
	Lapsed []string `json:"lapsed,omitempty"`
}

// State is the whole record.
type State struct {
	Book            *ruleset.State           `json:"book"`
	Members         map[string]lease.Member  `json:"members"`
	LastIncarnation uint64                   `json:"lives"` // the number of the last one given
	Confirmed       map[string]Confirmation  `json:"confirmed"`
	CordonVersions  map[string]uint64        `json:"agreed"` // by cordon: the version that brought it
	Retired         map[string]Retire        `json:"retired,omitempty"`
	RemainingMs     map[string]int64         `json:"left,omitempty"` // by cordon that expires: ms until then
	Contacts        *contact.Forecaster      `json:"contacts"`
	Dispatches      map[string]DispatchState `json:"work,omitempty"` // by dispatch
	LastFence       uint64                   `json:"fence"`          // of the latest claim

	Registrars         map[string]Registrar `json:"registrars"`
	FormerRegistrarIDs []uint64             `json:"gone,omitempty"` // identities that were replaced: never taken again
}

// Registrar is one of those that keep the record.
type Registrar struct {
	ID   uint64 `json:"id"` // of its disk: one that lost it is another
	Addr string `json:"address"`
}

// Replace puts a registrar in, or in the place of one that bore its name; with an empty address it takes it out.
func (s *State) ReplaceRegistrar(name string, r Registrar) {
	if was, ok := s.Registrars[name]; ok && was.ID != r.ID {
		s.FormerRegistrarIDs = append(slices.Clone(s.FormerRegistrarIDs), was.ID)
	}
	next := maps.Clone(s.Registrars)
	if next == nil {
		next = map[string]Registrar{}
	}
	if r.Addr == "" {
		s.FormerRegistrarIDs = append(slices.Clone(s.FormerRegistrarIDs), r.ID)
		delete(next, name)
	} else {
		next[name] = r
	}
	s.Registrars = next
}

// MaxMembers bounds the dispatchers of a cluster.
const MaxMembers = 4096

// New is the record before its first entry.
func New(budget cordon.Budget, coldMs int64) *State {
	return &State{Book: ruleset.New(budget, coldMs), Members: map[string]lease.Member{}, Confirmed: map[string]Confirmation{},
		CordonVersions: map[string]uint64{}, Retired: map[string]Retire{}, RemainingMs: map[string]int64{}, Contacts: contact.New(), Dispatches: map[string]DispatchState{}}
}

// Restore reads a record that was written whole.
func Restore(text []byte) (*State, error) {
	s := New(cordon.Budget{}, 0)
	s.Book = nil
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if s.Book == nil || s.Contacts == nil || !s.Book.Document.HasValidHash() {
		return nil, errors.New("record: not whole")
	}
	return s, nil
}

// Result is what an entry did.
type Result struct {
	Answer      ruleset.Answer // to an Ask
	Incarnation uint64         // that was given to a dispatcher
	Refused     string         // why nothing was done; empty: it was
	Step        *ruleset.Step  // that made a new version, if there is one
}

// Apply carries out one entry, agreed in a term. Entries that a later program wrote, with parts that this one does not
// know, must not be passed over unseen: Decode refuses them.
func (s *State) Apply(e Entry, term uint64) Result {
	before := s.Book.Document.Head.Version
	r := s.apply(e, term)
	if s.Book.Document.Head.Version != before {
		step := s.Book.LastStep()
		r.Step = &step
		s.follow()
	}
	return r
}

func (s *State) apply(e Entry, term uint64) Result {
	// An operator's asking, a dispatcher's enrolment are judged here, on the record alone, whoever passed them on.
	judged := e.Activate != nil || e.Confirm != nil || e.Forget != nil || e.Elapsed != nil || e.Claim != nil || e.Reclaim != nil || e.Drop != nil
	if judged && e.Term != term {
		return Result{Refused: fmt.Sprintf("judged in term %d, agreed in term %d", e.Term, term)}
	}
	switch {
	case e.Ask != nil:
		a := s.Book.Submit(*e.Ask, e.At)
		return Result{Answer: a, Refused: a.Refused}
	case e.Enrol != nil:
		return s.enrol(*e.Enrol)
	case e.Activate != nil:
		if err := s.Book.Activate(e.Activate.Version, e.At); err != nil {
			return Result{Refused: err.Error()}
		}
	case e.Confirm != nil:
		if v, ok := s.CordonVersions[e.Confirm.Cordon]; !ok || v != e.Confirm.Version || s.lifting(e.Confirm.Cordon) {
			return Result{Refused: "no such cordon stands"}
		}
		if _, ok := s.Confirmed[e.Confirm.Cordon]; !ok {
			s.Confirmed[e.Confirm.Cordon] = Confirmation{At: e.At, Total: e.Confirm.Total, Lapsed: e.Confirm.Lapsed}
		}
	case e.Elapsed != nil:
		for id := range s.RemainingMs {
			s.RemainingMs[id] = max(0, s.RemainingMs[id]-max(0, e.Elapsed.Ms))
		}
	case e.Observed != nil:
		for _, name := range slices.Sorted(maps.Keys(e.Observed.States)) {
			s.Contacts.Observe(e.At, name, e.Observed.States[name], s.calendar(name))
		}
	case e.Claim != nil || e.Outcome != nil || e.Reclaim != nil || e.Drop != nil:
		return s.work(e)
	case e.Forget != nil:
		for name, lives := range e.Forget.Incarnations {
			if m, ok := s.Members[name]; ok {
				m.FormerIncarnations = slices.DeleteFunc(slices.Clone(m.FormerIncarnations), func(l uint64) bool { return slices.Contains(lives, l) })
				if s.Members[name] = m; m.Incarnation == 0 && len(m.FormerIncarnations) == 0 { // retired, and over
					delete(s.Members, name)
				}
			}
		}
	case e.Retire != nil:
		m, ok := s.Members[e.Retire.Name]
		switch {
		case !ok || m.Incarnation == 0:
			return Result{Refused: "no such dispatcher"}
		case e.Retire.Author == "" || e.Retire.Reason == "":
			return Result{Refused: "expected an author and a reason"}
		case m.Mode == lease.Serve && !e.Retire.Forced:
			return Result{Refused: "it serves without a lease: retire it by force once its process has ended for certain"}
		}
		// Its lives are waited for as any that were replaced are; nothing but their lapse is known of them.
		m.FormerIncarnations, m.Mode = append(slices.Clone(m.FormerIncarnations), m.Incarnation), lease.Hold
		m.Incarnation, m.Token = 0, ""
		s.Members[e.Retire.Name] = m
		if len(s.Retired) < MaxMembers {
			s.Retired[e.Retire.Name] = *e.Retire
		}
	default:
		return Result{Refused: "an entry without a part"}
	}
	return Result{}
}

// enrol gives a dispatcher its life. Danger: a process that was killed and comes back under its name may meet a lease
// of its earlier life that still stands somewhere; that life is waited for like a dispatcher of its own.
func (s *State) enrol(e Enrol) Result {
	if e.Name == "" || e.Token == "" || len(e.Name) > ruleset.MaxTextBytes || len(e.Token) > ruleset.MaxTextBytes || len(e.KnownKinds) > 64 ||
		e.Mode != lease.Hold && e.Mode != lease.Serve {
		return Result{Refused: "expected a name, a token and a mode"}
	}
	m, ok := s.Members[e.Name]
	if ok && m.Incarnation != 0 && m.Token == e.Token {
		return Result{Incarnation: m.Incarnation}
	}
	if !ok && len(s.Members) >= MaxMembers {
		return Result{Refused: "too many dispatchers"}
	}
	if len(m.FormerIncarnations) >= lease.MaxFormerIncarnations {
		return Result{Refused: "too many former lives whose leases may stand: come back later"}
	}
	if m.Incarnation != 0 {
		m.FormerIncarnations = append(slices.Clone(m.FormerIncarnations), m.Incarnation)
	}
	s.LastIncarnation++
	m.Incarnation, m.Token, m.Mode, m.KnownKinds, m.Site = s.LastIncarnation, e.Token, e.Mode, e.KnownKinds, e.Site
	s.Members[e.Name] = m
	delete(s.Retired, e.Name)
	return Result{Incarnation: m.Incarnation}
}

// lifting tells whether a cordon's lifting is agreed and waits.
func (s *State) lifting(id string) bool {
	return slices.ContainsFunc(s.Book.Document.Pending, func(w ruleset.PendingChange) bool {
		return w.Change.Kind == ruleset.KindLift && w.Change.Name == id
	})
}

// follow keeps what is known of cordons in step with the rules.
func (s *State) follow() {
	d := &s.Book.Document
	for id := range s.CordonVersions {
		if _, ok := d.Rules.Cordons[id]; !ok {
			delete(s.CordonVersions, id)
			delete(s.Confirmed, id)
			delete(s.RemainingMs, id)
		}
	}
	for id := range s.Confirmed {
		if s.lifting(id) {
			delete(s.Confirmed, id)
		}
	}
	s.tidyWork()
	for id := range d.Rules.Cordons {
		if _, ok := s.CordonVersions[id]; !ok {
			s.CordonVersions[id] = d.Head.Version
		}
	}
	for _, c := range s.Book.LastStep().Changes { // also one that stands already and is asked for again
		if c.Kind != ruleset.KindCordon {
			continue
		}
		if delete(s.RemainingMs, c.Cordon.ID()); c.DurationMs > 0 {
			s.RemainingMs[c.Cordon.ID()] = c.DurationMs
		}
	}
}

// Cordon is how far one has got.
type CordonStatus struct {
	ID string `json:"id"`
	cordon.Cordon
	Version    uint64            `json:"version"` // that brought it
	State      cordon.State      `json:"state"`
	Confirmed  *Confirmation     `json:"confirmed,omitempty"`
	Reached    int               `json:"reached"`
	Total      int               `json:"of"`
	Stragglers []lease.Straggler `json:"missing,omitempty"`
}

// Watch is what a leader knows at a moment, beside the record.
type LeaderView struct {
	Leases      *lease.Tracker
	Now         time.Duration                // on the leader's clock
	ListServers func() []cordon.Server       // as the dispatchers list them, pooled
	Reports     map[string][]cordon.Evidence // by dispatcher: its evidence on servers, of late
	AutoCordon  cordon.AutoPolicy
	SiteStates  map[string]contact.State // by site: what the dispatchers met there of late, pooled
	UnixMs      int64                    // ms
	Schedule    schedule.Settings
	Elapsed     time.Duration // since the last entry that counted time
}

// Cordons tells of all cordons, in order of their names.
func (s *State) Cordons(w LeaderView) []CordonStatus {
	var out []CordonStatus
	for _, id := range slices.Sorted(maps.Keys(s.Book.Document.Rules.Cordons)) {
		c := CordonStatus{ID: id, Cordon: s.Book.Document.Rules.Cordons[id], Version: s.CordonVersions[id], State: cordon.Propagating, Total: s.living()}
		c.Stragglers = w.Leases.Stragglers(w.Now, s.Members, c.Version)
		c.Reached = c.Total
		for _, m := range c.Stragglers {
			if s.Members[m.Name].Incarnation == m.Incarnation {
				c.Reached--
			}
		}
		if k, ok := s.Confirmed[id]; ok {
			c.State, c.Confirmed, c.Stragglers, c.Reached = cordon.Confirmed, &k, nil, c.Total
		}
		if s.lifting(id) {
			c.State = cordon.Lifting
		}
		out = append(out, c)
	}
	return out
}

// living counts the dispatchers that have a life.
func (s *State) living() int {
	n := 0
	for _, m := range s.Members {
		if m.Incarnation != 0 {
			n++
		}
	}
	return n
}

// countEvery is how often time is counted towards the expiry of cordons: what a change of leaders may add to each.
const countEvery = 2 * time.Second

// Due is what a leader asks the record to take in now, by what it has heard in its term.
func (s *State) Due(w LeaderView) []Entry {
	var out []Entry
	d := &s.Book.Document
	for _, c := range s.Cordons(w) {
		if c.State == cordon.Propagating && len(c.Stragglers) == 0 {
			out = append(out, Entry{Confirm: &Confirm{Cordon: c.ID, Version: c.Version, Total: c.Total, Lapsed: s.lapsed(w, c.Version)}})
		}
	}
	if v := s.Book.NewestPending(); v > 0 && !slices.ContainsFunc(w.Leases.Stragglers(w.Now, s.Members, v), func(m lease.Straggler) bool {
		return m.Remaining > 0 // who serves without a lease keeps to the last version it heard, and nobody waits for it here
	}) {
		out = append(out, Entry{Activate: &Activate{Version: v}})
	}
	if lives := w.Leases.LapsedIncarnations(w.Now, s.Members); len(lives) > 0 {
		out = append(out, Entry{Forget: &Forget{Incarnations: lives}})
	}
	if len(s.RemainingMs) > 0 && w.Elapsed >= countEvery {
		out = append(out, Entry{Elapsed: &Elapsed{Ms: w.Elapsed.Milliseconds()}})
	}
	for _, id := range slices.Sorted(maps.Keys(s.RemainingMs)) {
		if s.RemainingMs[id] == 0 && !s.lifting(id) {
			out = append(out, Entry{Ask: &ruleset.ChangeRequest{Key: fmt.Sprintf("expire %s %d", id, s.CordonVersions[id]), BaseVersion: d.Head.Version,
				Author: "registrar", Reason: "its time is over", Changes: []ruleset.Change{{Kind: ruleset.KindLift, Name: id}}}})
			break // the next one rests on the version that this makes
		}
	}
	out = append(out, s.dueWork(w)...)
	for _, host := range w.AutoCordon.Outliers(w.Reports, d.Rules.Cordons) {
		if s.Book.Budget.Check(cordon.Target{Host: host}, d.Rules.Cordons, w.ListServers()) != nil {
			continue // it would be refused, again and again
		}
		out = append(out, Entry{Ask: &ruleset.ChangeRequest{Key: fmt.Sprintf("auto %s %d", host, d.Head.Version), BaseVersion: d.Head.Version,
			Author: "registrar", Reason: "dispatchers agree that it fails", Evidence: w.ListServers(),
			Changes: []ruleset.Change{{Kind: ruleset.KindCordon, Cordon: &cordon.Target{Host: host}, Automatic: true}}}})
		break
	}
	return out
}

// lapsed names the dispatchers that have not taken in a version, and may be passed over as their leases are over.
func (s *State) lapsed(w LeaderView, version uint64) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		m := s.Members[name]
		if _, holds, heard := w.Leases.LastBeat(name, m.Incarnation); m.Incarnation != 0 && (!heard || holds < version) {
			out = append(out, name)
		}
	}
	return out
}

// Decode reads an entry, and refuses what it does not understand whole.
func Decode(text []byte) (Entry, error) {
	var e Entry
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&e); err != nil {
		return e, fmt.Errorf("entry of the log: %w", err)
	}
	return e, nil
}
