// Package statemachine decides how each entry of the registrars' Raft log changes the replicated state: the versions of the
// rules, the enrolled dispatchers and their incarnations, the confirmation of cordons, and planned work. A registrar is a
// member of the Raft group that replicates the configuration; a dispatcher is a gateway that holds a read lease on it; a
// cordon keeps new requests away from a server; a dispatch is a piece of planned work. Every registrar applies the same
// entries in the same order and so holds the same state.
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
)

// Entry is one entry of the log. Exactly one of its parts is set. Entries are stored as JSON.
type Entry struct {
	// Term is the term of the leader that proposed the entry. A leader that was deposed or was paused may decide on old
	// reports, so its decision is void unless the entry was appended to the log in the same term.
	Term uint64 `json:"term"`
	At   int64  `json:"at_ms"` // Unix time by that leader's clock

	ChangeRequest *ruleset.ChangeRequest `json:"ask,omitempty"`
	Enrol         *Enrol                 `json:"enrol,omitempty"`
	Activate      *Activate              `json:"open,omitempty"`
	Confirm       *Confirm               `json:"confirm,omitempty"`
	Forget        *Forget                `json:"forget,omitempty"`
	Retire        *Retire                `json:"retire,omitempty"`
	Elapsed       *Elapsed               `json:"passed,omitempty"`
	Observed      *Observed              `json:"seen,omitempty"`
	Claim         *Claim                 `json:"claim,omitempty"`
	Outcome       *Outcome               `json:"ended,omitempty"`
	Reclaim       *Reclaim               `json:"vacate,omitempty"`
	Drop          *Drop                  `json:"drop,omitempty"`
}

// Enrol gives an incarnation to a dispatcher.
type Enrol struct {
	Name       string     `json:"name"`
	Token      string     `json:"token"` // chosen at random by the dispatcher at its start
	Mode       lease.Mode `json:"mode"`
	KnownKinds []string   `json:"knows,omitempty"`
	Site       string     `json:"site,omitempty"`
}

// Activate puts the pending changes in force that were announced up to a version. It is proposed once no dispatcher acts on
// a version older than the one that announced them.
type Activate struct {
	Version uint64 `json:"version"`
}

// Confirm records that no dispatcher starts attempts at a cordoned server any more.
type Confirm struct {
	Cordon  string   `json:"cordon"`
	Version uint64   `json:"version"`          // that introduced the cordon; it changes if a cordon is lifted and requested again
	Total   int      `json:"of"`               // number of dispatchers at that time
	Lapsed  []string `json:"lapsed,omitempty"` // dispatchers that did not report the version but whose leases have expired
}

// Elapsed counts time towards the expiry of cordons: the time on the leader's clock since the previous such entry of its
// term. Wall clocks are not used. Time between two leaders is not counted, so at worst a cordon lasts too long.
type Elapsed struct {
	Ms int64 `json:"ms"`
}

// Forget removes former incarnations of dispatchers whose leases have expired.
type Forget struct {
	Incarnations map[string][]uint64 `json:"lives"`
}

// Retire removes a dispatcher from the state. Its author vouches that the dispatcher's process has ended.
type Retire struct {
	Name   string `json:"name"`
	Author string `json:"author"`
	Reason string `json:"reason"`
	Forced bool   `json:"forced,omitempty"`
}

// Confirmation records when a cordon was confirmed, and for how many dispatchers.
type Confirmation struct {
	At     int64    `json:"at_ms"`
	Total  int      `json:"of"`
	Lapsed []string `json:"lapsed,omitempty"`
}

// State is the whole replicated state. It is stored as JSON.
type State struct {
	Ruleset         *ruleset.State           `json:"book"`
	Members         map[string]lease.Member  `json:"members"`
	LastIncarnation uint64                   `json:"lives"` // number of the last incarnation given
	Confirmed       map[string]Confirmation  `json:"confirmed"`
	CordonVersions  map[string]uint64        `json:"agreed"` // by cordon: the version that introduced it
	Retired         map[string]Retire        `json:"retired,omitempty"`
	RemainingMs     map[string]int64         `json:"left,omitempty"` // by cordon that expires: time until then
	Forecaster      *contact.Forecaster      `json:"contacts"`
	Dispatches      map[string]DispatchState `json:"work,omitempty"`     // by dispatch name
	LastFence       uint64                   `json:"fence"`              // fencing token of the latest claim
	UsedNames       map[string]struct{}      `json:"used,omitempty"`     // names of withdrawn dispatches that were claimed
	AllNamesUsed    bool                     `json:"all_used,omitempty"` // there were too many to remember: each name counts as used

	Registrars         map[string]Registrar `json:"registrars"`
	FormerRegistrarIDs []uint64             `json:"gone,omitempty"` // replaced or removed; never accepted again
}

// Registrar is one member of the Raft group.
type Registrar struct {
	ID   uint64 `json:"id"` // identity of its store; a registrar that lost its store gets another one
	Addr string `json:"address"`
}

// ReplaceRegistrar adds a registrar, or replaces the one with the same name. With an empty address it removes it.
func (s *State) ReplaceRegistrar(name string, r Registrar) {
	if old, ok := s.Registrars[name]; ok && old.ID != r.ID {
		s.FormerRegistrarIDs = append(slices.Clone(s.FormerRegistrarIDs), old.ID)
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

// MaxMembers bounds the number of dispatchers in a cluster.
const MaxMembers = 4096

// New returns the state before its first entry.
func New(budget cordon.Budget, coldMs int64) *State {
	return &State{Ruleset: ruleset.New(budget, coldMs), Members: map[string]lease.Member{}, Confirmed: map[string]Confirmation{},
		CordonVersions: map[string]uint64{}, Retired: map[string]Retire{}, RemainingMs: map[string]int64{}, Forecaster: contact.New(), Dispatches: map[string]DispatchState{}}
}

// Restore reads a state from a snapshot.
func Restore(text []byte) (*State, error) {
	s := New(cordon.Budget{}, 0)
	s.Ruleset = nil
	if err := json.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	if s.Ruleset == nil || s.Forecaster == nil || !s.Ruleset.Document.HasValidHash() {
		return nil, errors.New("record: not whole")
	}
	for name, dispatch := range s.Dispatches {
		s.Dispatches[name] = dispatch.withUnrecordedTries()
	}
	return s, nil
}

// Result tells what applying an entry did.
type Result struct {
	Answer      ruleset.Answer // to a change request
	Incarnation uint64         // given to a dispatcher
	Refused     string         // why the entry was not applied; empty: it was applied
	Step        *ruleset.Step  // the step to the new version, if there is one
}

// Apply applies one committed entry, which was appended to the log in the given term. An entry written by a later build
// may have parts that this build does not know. It must not be skipped silently, so Decode refuses it.
func (s *State) Apply(e Entry, term uint64) Result {
	before := s.Ruleset.Document.Head.Version
	r := s.apply(e, term)
	if s.Ruleset.Document.Head.Version != before {
		step := s.Ruleset.LastStep()
		r.Step = &step
		s.syncCordons()
	}
	return r
}

func (s *State) apply(e Entry, term uint64) Result {
	// Requests of operators and enrolments are decided here, by the replicated state alone, so the term in which they were
	// proposed does not matter.
	needsSameTerm := e.Activate != nil || e.Confirm != nil || e.Forget != nil || e.Elapsed != nil || e.Claim != nil || e.Reclaim != nil || e.Drop != nil
	if needsSameTerm && e.Term != term {
		return Result{Refused: fmt.Sprintf("judged in term %d, agreed in term %d", e.Term, term)}
	}
	switch {
	case e.ChangeRequest != nil:
		a := s.Ruleset.Submit(*e.ChangeRequest, e.At)
		return Result{Answer: a, Refused: a.Refused}
	case e.Enrol != nil:
		return s.enrol(*e.Enrol)
	case e.Activate != nil:
		if err := s.Ruleset.Activate(e.Activate.Version, e.At); err != nil {
			return Result{Refused: err.Error()}
		}
	case e.Confirm != nil:
		if v, ok := s.CordonVersions[e.Confirm.Cordon]; !ok || v != e.Confirm.Version || s.isLifting(e.Confirm.Cordon) {
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
			s.Forecaster.Observe(e.At, name, e.Observed.States[name], s.plannedOutages(name))
		}
	case e.Claim != nil || e.Outcome != nil || e.Reclaim != nil || e.Drop != nil:
		return s.applyDispatch(e)
	case e.Forget != nil:
		for name, incarnations := range e.Forget.Incarnations {
			if m, ok := s.Members[name]; ok {
				m.FormerIncarnations = slices.DeleteFunc(slices.Clone(m.FormerIncarnations), func(l uint64) bool { return slices.Contains(incarnations, l) })
				if s.Members[name] = m; m.Incarnation == 0 && len(m.FormerIncarnations) == 0 { // retired, and no lease can be in force
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
		// Registrars wait for its incarnations as for any that were replaced. Only the expiry of their leases ends that.
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

// enrol gives a dispatcher its incarnation. When a process is killed and starts again under the same name, a lease of its
// earlier incarnation may still be in force. So registrars wait for that incarnation as for a separate dispatcher.
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

// isLifting reports whether the lifting of a cordon is committed but not yet in force.
func (s *State) isLifting(id string) bool {
	return slices.ContainsFunc(s.Ruleset.Document.Pending, func(w ruleset.PendingChange) bool {
		return w.Change.Kind == ruleset.KindLift && w.Change.Name == id
	})
}

// syncCordons updates the state of cordons and dispatches after a new version of the rules.
func (s *State) syncCordons() {
	d := &s.Ruleset.Document
	for id := range s.CordonVersions {
		if _, ok := d.Rules.Cordons[id]; !ok {
			delete(s.CordonVersions, id)
			delete(s.Confirmed, id)
			delete(s.RemainingMs, id)
		}
	}
	for id := range s.Confirmed {
		if s.isLifting(id) {
			delete(s.Confirmed, id)
		}
	}
	s.removeWithdrawn()
	for id := range d.Rules.Cordons {
		if _, ok := s.CordonVersions[id]; !ok {
			s.CordonVersions[id] = d.Head.Version
		}
	}
	for _, c := range s.Ruleset.LastStep().Changes { // including a cordon that already exists and is requested again
		if c.Kind != ruleset.KindCordon {
			continue
		}
		if delete(s.RemainingMs, c.Cordon.ID()); c.DurationMs > 0 {
			s.RemainingMs[c.Cordon.ID()] = c.DurationMs
		}
	}
}

// CordonStatus tells how far a cordon has been put into effect.
type CordonStatus struct {
	ID string `json:"id"`
	cordon.Cordon
	Version    uint64            `json:"version"` // that introduced it
	State      cordon.State      `json:"state"`
	Confirmed  *Confirmation     `json:"confirmed,omitempty"`
	Reached    int               `json:"reached"`
	Total      int               `json:"of"`
	Stragglers []lease.Straggler `json:"missing,omitempty"`
}

// LeaderView holds what a leader knows at a given time in addition to the replicated state.
type LeaderView struct {
	Leases      *lease.Tracker
	Now         time.Duration                // on the leader's clock
	ListServers func() []cordon.Server       // merged from the lists of all dispatchers
	Evidence    map[string][]cordon.Evidence // by dispatcher: its recent evidence on servers
	AutoCordon  cordon.AutoPolicy
	SiteStates  map[string]contact.State // by site: whether dispatchers could reach it recently, merged from all reports
	UnixMs      int64                    // wall-clock time
	Plan        *Plan                    // what to do with dispatches; nil: no plan has been made since the last look
	Elapsed     time.Duration            // since the last entry that counted time
	// ClockInDoubt says that the clocks of too few members agree. Nothing is claimed, given up or observed then.
	ClockInDoubt bool

	RepeatWindows map[string]map[string]int64 // by dispatcher and class; see DispatchState.WindowMs
	Draining      map[string]bool             // dispatchers that take no further dispatches
}

// Cordons returns the status of all cordons, sorted by ID.
func (s *State) Cordons(view LeaderView) []CordonStatus {
	var out []CordonStatus
	for _, id := range slices.Sorted(maps.Keys(s.Ruleset.Document.Rules.Cordons)) {
		c := CordonStatus{ID: id, Cordon: s.Ruleset.Document.Rules.Cordons[id], Version: s.CordonVersions[id], State: cordon.Propagating, Total: s.enrolledCount()}
		c.Stragglers = view.Leases.Stragglers(view.Now, s.Members, c.Version)
		c.Reached = c.Total
		for _, m := range c.Stragglers {
			if s.Members[m.Name].Incarnation == m.Incarnation {
				c.Reached--
			}
		}
		if confirmation, ok := s.Confirmed[id]; ok {
			c.State, c.Confirmed, c.Stragglers, c.Reached = cordon.Confirmed, &confirmation, nil, c.Total
		}
		if s.isLifting(id) {
			c.State = cordon.Lifting
		}
		out = append(out, c)
	}
	return out
}

// enrolledCount returns the number of dispatchers with a current incarnation.
func (s *State) enrolledCount() int {
	n := 0
	for _, m := range s.Members {
		if m.Incarnation != 0 {
			n++
		}
	}
	return n
}

// elapsedInterval is the interval at which time is counted towards the expiry of cordons. A change of leaders may prolong
// each cordon by this much.
const elapsedInterval = 2 * time.Second

// Due returns the entries that a leader should propose now, based on the reports of its term.
func (s *State) Due(view LeaderView) []Entry {
	var out []Entry
	d := &s.Ruleset.Document
	for _, c := range s.Cordons(view) {
		if c.State == cordon.Propagating && len(c.Stragglers) == 0 {
			out = append(out, Entry{Confirm: &Confirm{Cordon: c.ID, Version: c.Version, Total: c.Total, Lapsed: s.dispatchersBehind(view, c.Version)}})
		}
	}
	if v := s.Ruleset.NewestPending(); v > 0 && !slices.ContainsFunc(view.Leases.Stragglers(view.Now, s.Members, v), func(m lease.Straggler) bool {
		return m.Remaining > 0 // a dispatcher in mode serve without a lease stays at its last version and is not waited for
	}) {
		out = append(out, Entry{Activate: &Activate{Version: v}})
	}
	if incarnations := view.Leases.LapsedIncarnations(view.Now, s.Members); len(incarnations) > 0 {
		out = append(out, Entry{Forget: &Forget{Incarnations: incarnations}})
	}
	if len(s.RemainingMs) > 0 && view.Elapsed >= elapsedInterval {
		out = append(out, Entry{Elapsed: &Elapsed{Ms: view.Elapsed.Milliseconds()}})
	}
	for _, id := range slices.Sorted(maps.Keys(s.RemainingMs)) {
		if s.RemainingMs[id] == 0 && !s.isLifting(id) {
			out = append(out, Entry{ChangeRequest: &ruleset.ChangeRequest{Key: fmt.Sprintf("expire %s %d %d", id, s.CordonVersions[id], d.Head.Version), BaseVersion: d.Head.Version,
				Author: "registrar", Reason: "its time is over", Changes: []ruleset.Change{{Kind: ruleset.KindLift, Name: id}}}})
			break // the next one has to be based on the version that this one makes
		}
	}
	out = append(out, s.dueDispatchEntries(view)...)
	for _, host := range view.AutoCordon.Outliers(view.Evidence, d.Rules.Cordons) {
		if s.Ruleset.Budget.Check(cordon.Target{Host: host}, d.Rules.Cordons, view.ListServers()) != nil {
			continue // it would be refused each time
		}
		out = append(out, Entry{ChangeRequest: &ruleset.ChangeRequest{Key: fmt.Sprintf("auto %s %d", host, d.Head.Version), BaseVersion: d.Head.Version,
			Author: "registrar", Reason: "dispatchers agree that it fails", Evidence: view.ListServers(),
			Changes: []ruleset.Change{{Kind: ruleset.KindCordon, Cordon: &cordon.Target{Host: host}, Automatic: true}}}})
		break
	}
	return out
}

// dispatchersBehind returns the enrolled dispatchers that have not reported a version as applied. For a cordon that is
// about to be confirmed their leases have expired, so that they need not be waited for.
func (s *State) dispatchersBehind(view LeaderView, version uint64) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(s.Members)) {
		m := s.Members[name]
		if _, held, reported := view.Leases.LastBeat(name, m.Incarnation); m.Incarnation != 0 && (!reported || held < version) {
			out = append(out, name)
		}
	}
	return out
}

// Decode reads an entry, and refuses an entry with any part that this build does not know.
func Decode(text []byte) (Entry, error) {
	var e Entry
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&e); err != nil {
		return e, fmt.Errorf("entry of the log: %w", err)
	}
	return e, nil
}
