// Package ruleset decides what the agreed document of rules becomes by a change, which changes narrow what dispatchers
// may do and which widen or move it, and what a dispatcher may do under the version that it holds.
//
// A change that narrows is in force with the version that brings it: who hears of it obeys at once. One that widens, or
// moves something from one place to another, waits in the document until every dispatcher has taken in the version that
// announces it; only the opening, a version of its own, puts it in force. So a dispatcher on an older version never
// allows what a newer one forbids later than D, and no two of them act on rules that contradict each other unannounced.
package ruleset

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"

	"merlinarch/internal/decide/cordon"
)

// Bounds of the document and of an asking.
const (
	MaxRulesBytes = 64 << 10 // bytes of the rules, with what waits, as JSON
	MaxChanges    = 64       // of one asking
	MaxTextBytes  = 512      // bytes of a name, a reason or a key
	keptKeys      = 4096     // answers that are kept for repeats
)

// Kind is a kind of change.
type Kind string

// Kinds of changes.
const (
	KindCordon   Kind = "cordon"   // closes a server to new work
	KindLift     Kind = "lift"     // ends a cordon
	KindCeiling  Kind = "ceiling"  // a bound on the exposure of builds on trial, below the platform's cap
	KindFreeze   Kind = "freeze"   // no build gets any further: no votes on
	KindThaw     Kind = "thaw"     // ends a freeze
	KindTenant   Kind = "tenant"   // a tenant's share
	KindWorth    Kind = "worth"    // a class's worth
	KindSite     Kind = "site"     // a site's calendar of planned outages
	KindDispatch Kind = "dispatch" // a piece of planned work
	KindWithdraw Kind = "withdraw" // takes a piece of planned work back
	KindExpect   Kind = "expect"   // a dispatcher that has to be there
	KindDismiss  Kind = "dismiss"  // one that need not be there any more
)

// Kinds is all that this program understands.
var SupportedKinds = []string{string(KindCordon), string(KindLift), string(KindCeiling), string(KindFreeze), string(KindThaw),
	string(KindTenant), string(KindWorth), string(KindSite), string(KindDispatch), string(KindWithdraw), string(KindExpect),
	string(KindDismiss)}

// Change is one change of the rules. Which fields count depends on its kind.
type Change struct {
	Kind       Kind           `json:"kind"`
	Name       string         `json:"name,omitempty"`  // of the tenant, class, site, dispatch or dispatcher; a cordon's ID to lift
	Value      *float64       `json:"value,omitempty"` // a share, a worth or a ceiling; nil takes the rule away
	Cordon     *cordon.Target `json:"cordon,omitempty"`
	DurationMs int64          `json:"for_ms,omitempty"` // of a cordon: it expires after so long; 0: never by itself
	Automatic  bool           `json:"auto,omitempty"`   // of a cordon: by the dispatchers' own evidence
	Site       *Site          `json:"site,omitempty"`
	Dispatch   *Dispatch      `json:"work,omitempty"`
}

// Span is a stretch of time, in Unix milliseconds.
type Span struct {
	From  int64 `json:"from_ms"`
	Until int64 `json:"until_ms"`
}

// Site is what operators know of a site.
type Site struct {
	Outages []Span `json:"outages,omitempty"` // planned: it is expected not to be reachable
}

// Work is a dispatch: a piece of planned work, sent once, to a receiver in a site.
type Dispatch struct {
	Site               string  `json:"site"`
	Class              string  `json:"class"`  // of request, as the settings name it
	Target             string  `json:"target"` // path and query that it asks for
	Body               string  `json:"body,omitempty"`
	Earliest           int64   `json:"earliest_ms"`
	Latest             int64   `json:"latest_ms"`
	Worth              float64 `json:"worth"`
	ExpectedDurationMs float64 `json:"took_ms,omitempty"` // it is expected to take so long
}

// Note is who set something, why and when.
type Provenance struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
	Since  int64  `json:"since_ms"`
}

// Rules are the rules in force, as one document.
type Rules struct {
	Cordons    map[string]cordon.Cordon `json:"cordons,omitempty"`
	Ceiling    *float64                 `json:"ceiling,omitempty"`
	Freeze     *Provenance              `json:"freeze,omitempty"`
	Tenants    map[string]float64       `json:"tenants,omitempty"`
	Worth      map[string]float64       `json:"worth,omitempty"`
	Sites      map[string]Site          `json:"sites,omitempty"`
	Dispatches map[string]Dispatch      `json:"dispatches,omitempty"`
	Expected   map[string]Provenance    `json:"expected,omitempty"`
	Lifted     map[string]int64         `json:"lifted,omitempty"` // by host, Unix ms: cordons lifted of late; they come back cold
}

// Waiting is a change that is agreed and not yet in force.
type PendingChange struct {
	Version uint64 `json:"version"` // that announced it
	Change  Change `json:"change"`
	Provenance
}

// Head tells a version from all others.
type Head struct {
	Version      uint64 `json:"version"`
	PreviousHash string `json:"before"` // the hash of the version before
	Hash         string `json:"hash"`   // over the version, the one before, who asked and why, and the whole document
	Provenance
	ActivatesUpTo uint64 `json:"opens,omitempty"` // not a change of its own: what waits up to this version is in force now
}

// Document is one whole version.
type Document struct {
	Head    Head            `json:"head"`
	Rules   Rules           `json:"rules"`
	Pending []PendingChange `json:"waiting,omitempty"`
}

// Seal is the hash of a document, whatever its Head.Hash says.
func (d Document) ComputeHash() string {
	d.Head.Hash = ""
	text, err := json.Marshal(d) // maps are written in order of their keys
	if err != nil {
		panic(err) // numbers that JSON does not have are refused by check
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Genuine tells whether a document is whole and as it was agreed.
func (d Document) HasValidHash() bool { return d.Head.Hash == d.ComputeHash() }

// Needs lists the kinds of rules that a document holds, in order.
func (d Document) RuleKinds() []string {
	var out []string
	need := func(k Kind, there bool) {
		if there {
			out = append(out, string(k))
		}
	}
	r := d.Rules
	need(KindCeiling, r.Ceiling != nil)
	need(KindCordon, len(r.Cordons) > 0)
	need(KindDispatch, len(r.Dispatches) > 0)
	need(KindExpect, len(r.Expected) > 0)
	need(KindFreeze, r.Freeze != nil)
	need(KindSite, len(r.Sites) > 0)
	need(KindTenant, len(r.Tenants) > 0)
	need(KindWorth, len(r.Worth) > 0)
	return out
}

// Ask is what an operator, or the registrars themselves, want changed.
type ChangeRequest struct {
	Key         string          `json:"key"`  // its own; a repeat gets the first answer
	BaseVersion uint64          `json:"base"` // the version that it rests on
	Author      string          `json:"author"`
	Reason      string          `json:"reason"`
	Forced      bool            `json:"forced,omitempty"`
	Changes     []Change        `json:"changes"`
	Evidence    []cordon.Server `json:"evidence,omitempty"` // what the dispatchers list, put in by the leader
}

// Answer is what became of an Ask.
type Answer struct {
	Version      uint64 `json:"version"`           // that it made; of the present one where it was refused
	Refused      string `json:"refused,omitempty"` // a code; empty: agreed
	Text         string `json:"text,omitempty"`
	PendingCount int    `json:"waits,omitempty"` // of its changes, those that are in force only once all dispatchers know
}

// Codes of refusals.
const (
	RefusedStale     = "stale"  // it rests on a version that is not the present one
	RefusedKeyReused = "key"    // another asking had this key
	RefusedInvalid   = "wrong"  // it can't be
	RefusedBudget    = "budget" // of cordons
	RefusedTooLarge  = "large"  // the document would be larger than MaxRules
)

// kept is an answer for repeats.
type kept struct {
	Key    string `json:"key"`
	Sum    string `json:"sum"` // of the asking
	Answer Answer `json:"answer"`
}

// Book is the present version, and what it takes to judge the next. Every registrar's is the same.
type State struct {
	Document Document      `json:"document"`
	Budget   cordon.Budget `json:"budget"`
	ColdMs   int64         `json:"cold_ms"` // a server whose cordon was lifted is cold for so long
	Answers  []kept        `json:"answers,omitempty"`

	byKey map[string]int // index into Answers; made when first needed
	last  Step
}

// New is version 1, which holds nothing.
func New(budget cordon.Budget, coldMs int64) *State {
	b := &State{Budget: budget, ColdMs: coldMs}
	b.Document.Head = Head{Version: 1, Provenance: Provenance{Author: "registrar", Reason: "the first version"}}
	b.Document.Head.Hash = b.Document.ComputeHash()
	return b
}

// errWrong is an asking that can't be.
type errWrong string

func (e errWrong) Error() string { return string(e) }

// check finds what is wrong with a change by itself.
func (c Change) check() error {
	wrong := func(format string, args ...any) error {
		return errWrong(string(c.Kind) + ": " + fmt.Sprintf(format, args...))
	}
	if len(c.Name) > MaxTextBytes {
		return wrong("the name is longer than %d bytes", MaxTextBytes)
	}
	if c.Value != nil && (math.IsNaN(*c.Value) || math.IsInf(*c.Value, 0) || *c.Value < 0) {
		return wrong("expected a number from 0, got %v", *c.Value)
	}
	switch c.Kind {
	case KindCordon:
		if c.Cordon == nil || c.Cordon.Host == "" || len(c.Cordon.Host) > MaxTextBytes || c.DurationMs < 0 {
			return wrong("expected a host, and a time from 0")
		}
	case KindLift, KindTenant, KindWorth, KindWithdraw, KindExpect, KindDismiss:
		if c.Name == "" {
			return wrong("expected a name")
		}
	case KindCeiling:
		if c.Value != nil && *c.Value > 1 {
			return wrong("expected 0 to 1, got %v", *c.Value)
		}
	case KindFreeze, KindThaw:
	case KindSite:
		if c.Name == "" {
			return wrong("expected a name")
		}
		if c.Site != nil {
			for _, s := range c.Site.Outages {
				if s.Until <= s.From {
					return wrong("an outage ends before it begins")
				}
			}
		}
	case KindDispatch:
		if c.Name == "" || c.Dispatch == nil || c.Dispatch.Site == "" || c.Dispatch.Class == "" || c.Dispatch.Target == "" {
			return wrong("expected a name, and work with site, class and target")
		}
		if w := c.Dispatch; w.Latest <= w.Earliest || !(w.Worth >= 0) || math.IsInf(w.Worth, 0) || !(w.ExpectedDurationMs >= 0) || math.IsInf(w.ExpectedDurationMs, 0) {
			return wrong("expected a latest time after the earliest, and a worth and a time from 0")
		}
	default:
		return errWrong(fmt.Sprintf("no such kind of change: %.40q", string(c.Kind)))
	}
	return nil
}

// about names what a change is about: a later change about the same thing takes the place of one that waits.
func (c Change) about() string {
	switch c.Kind {
	case KindCordon:
		return "cordon " + c.Cordon.ID()
	case KindLift:
		return "cordon " + c.Name
	case KindFreeze, KindThaw:
		return "freeze"
	case KindDispatch, KindWithdraw:
		return "dispatch " + c.Name
	case KindExpect, KindDismiss:
		return "expect " + c.Name
	default:
		return string(c.Kind) + " " + c.Name
	}
}

// lower tells whether a number takes away from what holds now; nil stands for no rule.
func lower(next, now *float64, unset float64) bool {
	a, b := unset, unset
	if next != nil {
		a = *next
	}
	if now != nil {
		b = *now
	}
	return a < b
}

// Narrows tells whether a change only takes away from what dispatchers may do. The table, with its reasons:
//
//	cordon             narrows  less may be sent
//	lift               widens   who has not heard of the lifting still sends nothing there: no harm; but who confirmed
//	                            that nothing starts there must not start before all that rely on it know
//	ceiling, lower     narrows  less of a build on trial; higher, or none: widens
//	freeze             narrows  fewer votes; thaw widens
//	tenant             moves    shares add up to a whole: what one gains the others lose
//	worth              moves    it orders classes against each other
//	site               moves    plans of two dispatchers made on two calendars contradict each other
//	dispatch           widens   there is more to send; withdraw narrows
//	expect             narrows  more dispatchers have to be heard; dismiss widens
func (r *Rules) Narrows(c Change) bool {
	switch c.Kind {
	case KindCordon, KindFreeze, KindWithdraw, KindExpect:
		return true
	case KindCeiling:
		return lower(c.Value, r.Ceiling, 1)
	default:
		return false
	}
}

// put carries out one change.
func (r *Rules) put(c Change, n Provenance, forced bool) {
	switch c.Kind {
	case KindCordon:
		set(&r.Cordons, c.Cordon.ID(), cordon.Cordon{Target: *c.Cordon, Author: n.Author, Reason: n.Reason, Since: n.Since, DurationMs: c.DurationMs,
			Forced: forced, Automatic: c.Automatic})
		delete(r.Lifted, c.Cordon.Host)
	case KindLift:
		if o, ok := r.Cordons[c.Name]; ok {
			set(&r.Lifted, o.Host, n.Since)
		}
		delete(r.Cordons, c.Name)
	case KindCeiling:
		r.Ceiling = c.Value
	case KindFreeze:
		r.Freeze = &n
	case KindThaw:
		r.Freeze = nil
	case KindTenant:
		number(&r.Tenants, c)
	case KindWorth:
		number(&r.Worth, c)
	case KindSite:
		if c.Site == nil {
			delete(r.Sites, c.Name)
		} else {
			set(&r.Sites, c.Name, *c.Site)
		}
	case KindDispatch:
		set(&r.Dispatches, c.Name, *c.Dispatch)
	case KindWithdraw:
		delete(r.Dispatches, c.Name)
	case KindExpect:
		set(&r.Expected, c.Name, n)
	case KindDismiss:
		delete(r.Expected, c.Name)
	}
}

func set[V any](m *map[string]V, name string, v V) {
	if *m == nil {
		*m = map[string]V{}
	}
	(*m)[name] = v
}

func number(m *map[string]float64, c Change) {
	if c.Value == nil {
		delete(*m, c.Name)
		return
	}
	set(m, c.Name, *c.Value)
}

// clone copies what put may write to.
func (r Rules) clone() Rules {
	r.Cordons, r.Tenants, r.Worth = maps.Clone(r.Cordons), maps.Clone(r.Tenants), maps.Clone(r.Worth)
	r.Sites, r.Dispatches = maps.Clone(r.Sites), maps.Clone(r.Dispatches)
	r.Expected, r.Lifted = maps.Clone(r.Expected), maps.Clone(r.Lifted)
	return r
}

// sum tells askings apart; the leader's evidence is no part of what was asked.
func (a ChangeRequest) sum() string {
	a.Evidence = nil
	text, err := json.Marshal(a)
	if err != nil {
		return "" // a number that JSON does not have; check refuses it
	}
	h := sha256.Sum256(text)
	return hex.EncodeToString(h[:8])
}

// Ask judges an asking and makes the next version of it, or refuses it; now is Unix time in milliseconds, by the clock
// of the leader that took it. Danger: an operator whose answer was lost asks again; the same key gets the same answer.
func (b *State) Submit(a ChangeRequest, now int64) Answer {
	if b.byKey == nil {
		b.byKey = map[string]int{}
		for i, k := range b.Answers {
			b.byKey[k.Key] = i
		}
	}
	sum := a.sum()
	if i, ok := b.byKey[a.Key]; ok && a.Key != "" {
		if b.Answers[i].Sum != sum {
			return Answer{Version: b.Document.Head.Version, Refused: RefusedKeyReused, Text: "another asking had this key"}
		}
		return b.Answers[i].Answer
	}
	answer := b.judge(a, now)
	if a.Key == "" || len(a.Key) > MaxTextBytes {
		return answer
	}
	if len(b.Answers) >= keptKeys { // one that is forgotten rests on a version long gone, and is refused for that
		b.Answers = slices.Clone(b.Answers[len(b.Answers)/2:])
		b.byKey = map[string]int{}
		for i, k := range b.Answers {
			b.byKey[k.Key] = i
		}
	}
	b.byKey[a.Key] = len(b.Answers)
	b.Answers = append(b.Answers, kept{a.Key, sum, answer})
	return answer
}

func (b *State) judge(a ChangeRequest, now int64) Answer {
	head := b.Document.Head
	refuse := func(code, text string) Answer { return Answer{Version: head.Version, Refused: code, Text: text} }
	switch {
	case a.Key == "" || a.Author == "" || a.Reason == "":
		return refuse(RefusedInvalid, "expected a key, an author and a reason")
	case len(a.Key) > MaxTextBytes || len(a.Author) > MaxTextBytes || len(a.Reason) > MaxTextBytes:
		return refuse(RefusedInvalid, "a key, an author or a reason is longer than "+strconv.Itoa(MaxTextBytes)+" bytes")
	case len(a.Changes) == 0 || len(a.Changes) > MaxChanges:
		return refuse(RefusedInvalid, "expected 1 to "+strconv.Itoa(MaxChanges)+" changes")
	case a.BaseVersion != head.Version:
		return refuse(RefusedStale, fmt.Sprintf("it rests on version %d, the present one is %d", a.BaseVersion, head.Version))
	}
	step := Step{Head: Head{Version: head.Version + 1, PreviousHash: head.Hash, Provenance: Provenance{Author: a.Author, Reason: a.Reason, Since: now}},
		Changes: a.Changes, Forced: a.Forced}
	// Each change is judged on the rules as the ones before it in the same asking leave them.
	next := b.Document.begin(step.Head)
	for _, c := range a.Changes {
		if err := c.check(); err != nil {
			return refuse(RefusedInvalid, err.Error())
		}
		if c.Kind == KindCordon && !a.Forced {
			if _, there := next.Rules.Cordons[c.Cordon.ID()]; !there {
				if err := b.Budget.Check(*c.Cordon, next.Rules.Cordons, a.Evidence); err != nil {
					return refuse(RefusedBudget, err.Error())
				}
			}
		}
		if err := next.fits(c); err != nil {
			return refuse(RefusedInvalid, err.Error())
		}
		next.add(c, a.Forced)
	}
	if !b.seal(&next, step) {
		return refuse(RefusedTooLarge, "the document would be larger than "+strconv.Itoa(MaxRulesBytes)+" bytes")
	}
	waits := 0
	for _, w := range next.Pending {
		if w.Version == next.Head.Version {
			waits++
		}
	}
	return Answer{Version: next.Head.Version, PendingCount: waits}
}

// Step is what makes a version out of the one before.
type Step struct {
	Head    Head     `json:"head"`
	Changes []Change `json:"changes,omitempty"`
	Forced  bool     `json:"forced,omitempty"`
}

// begin is the next version before its changes.
func (d Document) begin(h Head) Document {
	return Document{Head: h, Rules: d.Rules.clone(), Pending: slices.Clone(d.Pending)}
}

// fits tells what keeps a change, right by itself, from these rules.
func (d *Document) fits(c Change) error {
	there := false
	switch c.Kind {
	case KindLift:
		if _, there = d.Rules.Cordons[c.Name]; !there {
			return errWrong("lift: no such cordon stands")
		}
	case KindWithdraw:
		_, there = d.Rules.Dispatches[c.Name]
		if !there && !slices.ContainsFunc(d.Pending, func(w PendingChange) bool { return w.Change.about() == c.about() }) {
			return errWrong("withdraw: no such dispatch")
		}
	case KindDispatch:
		if _, there = d.Rules.Dispatches[c.Name]; there {
			return errWrong("dispatch: there is one of this name; withdraw it first")
		}
	}
	return nil
}

// add carries out a change that narrows, and lets any other wait.
func (d *Document) add(c Change, forced bool) {
	d.Pending = slices.DeleteFunc(d.Pending, func(w PendingChange) bool { return w.Change.about() == c.about() })
	if d.Rules.Narrows(c) {
		d.Rules.put(c, d.Head.Provenance, forced)
		return
	}
	d.Pending = append(d.Pending, PendingChange{Version: d.Head.Version, Change: c, Provenance: d.Head.Provenance})
}

// open puts in force what waits up to a version, and tells how much that was.
func (d *Document) open(upTo uint64) int {
	opened := 0
	d.Pending = slices.DeleteFunc(d.Pending, func(w PendingChange) bool {
		if w.Version > upTo {
			return false
		}
		n := w.Provenance
		n.Since = d.Head.Since
		d.Rules.put(w.Change, n, false)
		opened++
		return true
	})
	return opened
}

// forget drops liftings that are so long ago that their servers are not cold any more.
func (d *Document) forget(coldMs int64) {
	maps.DeleteFunc(d.Rules.Lifted, func(_ string, at int64) bool { return d.Head.Since-at > coldMs })
	if len(d.Rules.Lifted) == 0 {
		d.Rules.Lifted = nil
	}
}

// Follow makes the version that a step made out of a document; the record keeps steps, and whole versions are read
// back with it. An error tells that the two do not belong together, or that one of them is spoilt.
func ApplyStep(d Document, step Step, coldMs int64) (Document, error) {
	if step.Head.Version != d.Head.Version+1 || step.Head.PreviousHash != d.Head.Hash {
		return d, fmt.Errorf("version %d does not follow version %d", step.Head.Version, d.Head.Version)
	}
	next := d.begin(step.Head)
	for _, c := range step.Changes {
		next.add(c, step.Forced)
	}
	if step.Head.ActivatesUpTo > 0 {
		next.open(step.Head.ActivatesUpTo)
	}
	next.forget(coldMs)
	if !next.HasValidHash() {
		return d, fmt.Errorf("version %d is not what its hash says", step.Head.Version)
	}
	return next, nil
}

// seal makes a document the present version, unless it is too large.
func (b *State) seal(next *Document, step Step) bool {
	next.forget(b.ColdMs)
	text, err := json.Marshal(struct {
		Rules   Rules
		Waiting []PendingChange
	}{next.Rules, next.Pending})
	if err != nil || len(text) > MaxRulesBytes {
		return false
	}
	next.Head.Hash = next.ComputeHash()
	step.Head = next.Head
	b.Document, b.last = *next, step
	return true
}

// Last is the step that made the present version; its Version is 0 where it was made before this process.
func (b *State) LastStep() Step { return b.last }

// Ready is the newest version that announced something which waits; 0: nothing does.
func (b *State) NewestPending() uint64 {
	newest := uint64(0)
	for _, w := range b.Document.Pending {
		newest = max(newest, w.Version)
	}
	return newest
}

// ErrNothing tells that nothing waits up to a version.
var ErrNothingPending = errors.New("nothing waits up to this version")

// Open puts in force what was announced up to a version, as a version of its own. The caller has made sure that no
// dispatcher acts on an older one any more.
func (b *State) Activate(upTo uint64, now int64) error {
	head := b.Document.Head
	step := Step{Head: Head{Version: head.Version + 1, PreviousHash: head.Hash, ActivatesUpTo: upTo,
		Provenance: Provenance{Author: "registrar", Reason: "all dispatchers know of it", Since: now}}}
	next := b.Document.begin(step.Head)
	if next.open(upTo) == 0 {
		return ErrNothingPending
	}
	if !b.seal(&next, step) {
		return errWrong("the document would be too large")
	}
	return nil
}

// Clone is a copy that goes its own way.
func (b *State) Clone() *State {
	c := *b
	c.Answers, c.byKey = slices.Clone(b.Answers), nil
	return &c
}
