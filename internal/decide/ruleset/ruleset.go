// Package ruleset decides how the versioned, replicated configuration changes: what a requested change makes of the current
// version, which changes only narrow what dispatchers may do, and what a dispatcher may do under the version that it holds.
// Registrars are the members of the Raft group that replicates the configuration; dispatchers are the gateways that act on
// it and hold read leases on it. A dispatch is a piece of planned work, sent to a site within a time window.
//
// Changes are activated in one or two phases. A change that narrows what dispatchers may do takes effect in the version
// that contains it, and each dispatcher applies it as soon as it receives that version. A change that widens it, or moves
// something from one place to another, is first announced: it stays pending in the document until every lease holder has
// acknowledged the version that announced it. A later version, made by the registrars alone, then activates it. A
// dispatcher on an older version therefore stops doing what a newer version forbids within the staleness bound of its lease
// (lease.Terms.StalenessBound), and no two dispatchers act on contradicting rules that were not announced.
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

// Bounds of the document and of a change request.
const (
	MaxRulesBytes    = 64 << 10 // size of the rules and the pending changes, as JSON
	MaxChanges       = 64       // in one change request
	MaxTextBytes     = 512      // length of a name, an author, a reason or a key
	maxStoredAnswers = 4096     // answers stored for the deduplication of repeated requests
)

// Kind is the kind of a change.
type Kind string

// Kinds of changes.
const (
	KindCordon   Kind = "cordon"   // closes a server to new work
	KindLift     Kind = "lift"     // ends a cordon
	KindCeiling  Kind = "ceiling"  // bounds the exposure (share of the traffic) of builds on trial, below the platform's cap
	KindFreeze   Kind = "freeze"   // stops every rollout: no votes to advance a build
	KindThaw     Kind = "thaw"     // ends a freeze
	KindTenant   Kind = "tenant"   // sets a tenant's share
	KindWorth    Kind = "worth"    // sets a request class's worth
	KindSite     Kind = "site"     // sets a site's calendar of planned outages
	KindDispatch Kind = "dispatch" // adds a piece of planned work
	KindWithdraw Kind = "withdraw" // cancels a piece of planned work
	KindExpect   Kind = "expect"   // adds a dispatcher that is required to be present
	KindDismiss  Kind = "dismiss"  // ends that requirement
)

// SupportedKinds lists the kinds of changes that this program understands.
var SupportedKinds = []string{string(KindCordon), string(KindLift), string(KindCeiling), string(KindFreeze), string(KindThaw),
	string(KindTenant), string(KindWorth), string(KindSite), string(KindDispatch), string(KindWithdraw), string(KindExpect),
	string(KindDismiss)}

// Change is one change of the rules. Its kind determines which fields are used.
type Change struct {
	Kind       Kind           `json:"kind"`
	Name       string         `json:"name,omitempty"`  // of the tenant, class, site, dispatch or dispatcher; for KindLift, the cordon's ID
	Value      *float64       `json:"value,omitempty"` // a share, a worth or a ceiling; nil removes the rule
	Cordon     *cordon.Target `json:"cordon,omitempty"`
	DurationMs int64          `json:"for_ms,omitempty"` // time until a cordon expires; 0: it does not expire
	Automatic  bool           `json:"auto,omitempty"`   // the cordon comes from the dispatchers' evidence, not from an operator
	Site       *Site          `json:"site,omitempty"`
	Dispatch   *Dispatch      `json:"work,omitempty"`
}

// Span is a time interval, in Unix milliseconds.
type Span struct {
	From  int64 `json:"from_ms"`
	Until int64 `json:"until_ms"`
}

// Site holds what operators have configured for a site.
type Site struct {
	Outages []Span `json:"outages,omitempty"` // planned times at which the site is expected to be unreachable
}

// Dispatch is a piece of planned work that is sent once, to a receiver in a site.
type Dispatch struct {
	Site               string  `json:"site"`
	Class              string  `json:"class"`  // of request, by its name in the settings
	Target             string  `json:"target"` // path and query of the request
	Body               string  `json:"body,omitempty"`
	Earliest           int64   `json:"earliest_ms"` // Unix time
	Latest             int64   `json:"latest_ms"`   // Unix time by which it has to be done
	Worth              float64 `json:"worth"`
	ExpectedDurationMs float64 `json:"took_ms,omitempty"`
}

// Provenance records who set something, why and when.
type Provenance struct {
	Author string `json:"author"`
	Reason string `json:"reason"`
	Since  int64  `json:"since_ms"`
}

// Rules holds the rules that are in force.
type Rules struct {
	Cordons    map[string]cordon.Cordon `json:"cordons,omitempty"`
	Ceiling    *float64                 `json:"ceiling,omitempty"`
	Freeze     *Provenance              `json:"freeze,omitempty"`
	Tenants    map[string]float64       `json:"tenants,omitempty"`
	Worth      map[string]float64       `json:"worth,omitempty"`
	Sites      map[string]Site          `json:"sites,omitempty"`
	Dispatches map[string]Dispatch      `json:"dispatches,omitempty"`
	Expected   map[string]Provenance    `json:"expected,omitempty"`
	Lifted     map[string]int64         `json:"lifted,omitempty"` // Unix ms by host: recently lifted cordons, whose servers return with slow start
}

// PendingChange is a change that is announced and not yet in force.
type PendingChange struct {
	Version uint64 `json:"version"` // that announced the change
	Change  Change `json:"change"`
	Provenance
}

// Head identifies a version.
type Head struct {
	Version      uint64 `json:"version"`
	PreviousHash string `json:"before"` // the hash of the previous version
	Hash         string `json:"hash"`   // over the version, the previous hash, the provenance and the whole document
	Provenance
	ActivatesUpTo uint64 `json:"opens,omitempty"` // set in a version that activates pending changes: those announced up to this version
}

// Document is one complete version.
type Document struct {
	Head    Head            `json:"head"`
	Rules   Rules           `json:"rules"`
	Pending []PendingChange `json:"waiting,omitempty"`
}

// ComputeHash returns the hash of the document. It ignores Head.Hash.
func (d Document) ComputeHash() string {
	d.Head.Hash = ""
	text, err := json.Marshal(d) // maps are encoded in the order of their keys
	if err != nil {
		panic(err) // validate refuses the numbers that JSON can't represent
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// HasValidHash reports whether the document is complete and unchanged since it was agreed.
func (d Document) HasValidHash() bool { return d.Head.Hash == d.ComputeHash() }

// RuleKinds lists the kinds of rules that the document holds, in a fixed order.
func (d Document) RuleKinds() []string {
	var kinds []string
	addIf := func(k Kind, present bool) {
		if present {
			kinds = append(kinds, string(k))
		}
	}
	r := d.Rules
	addIf(KindCeiling, r.Ceiling != nil)
	addIf(KindCordon, len(r.Cordons) > 0)
	addIf(KindDispatch, len(r.Dispatches) > 0)
	addIf(KindExpect, len(r.Expected) > 0)
	addIf(KindFreeze, r.Freeze != nil)
	addIf(KindSite, len(r.Sites) > 0)
	addIf(KindTenant, len(r.Tenants) > 0)
	addIf(KindWorth, len(r.Worth) > 0)
	return kinds
}

// ChangeRequest is a set of changes requested by an operator or by the registrars themselves.
type ChangeRequest struct {
	Key         string          `json:"key"`  // idempotency key: a repeated request gets the first answer
	BaseVersion uint64          `json:"base"` // the version that the request is based on
	Author      string          `json:"author"`
	Reason      string          `json:"reason"`
	Forced      bool            `json:"forced,omitempty"`
	Changes     []Change        `json:"changes"`
	Evidence    []cordon.Server `json:"evidence,omitempty"` // the dispatchers' server lists, added by the leader
}

// Answer is the outcome of a ChangeRequest.
type Answer struct {
	Version      uint64 `json:"version"`           // that the request made; if it was refused, the current one
	Refused      string `json:"refused,omitempty"` // a refusal code; empty: the request is agreed
	Text         string `json:"text,omitempty"`
	PendingCount int    `json:"waits,omitempty"` // how many of its changes wait for the acknowledgement of all lease holders
}

// Refusal codes.
const (
	RefusedStale     = "stale"  // the base version is not the current one
	RefusedKeyReused = "key"    // another request had this key
	RefusedInvalid   = "wrong"  // the request is invalid
	RefusedBudget    = "budget" // cordon.Budget.Check refuses a cordon
	RefusedTooLarge  = "large"  // the rules would be larger than MaxRulesBytes
)

// storedAnswer is an answer that is stored for repeated requests.
type storedAnswer struct {
	Key    string `json:"key"`
	Digest string `json:"sum"` // of the request
	Answer Answer `json:"answer"`
}

// State holds the current version and what is needed to evaluate the next request. It is identical on all registrars.
type State struct {
	Document Document       `json:"document"`
	Budget   cordon.Budget  `json:"budget"`
	ColdMs   int64          `json:"cold_ms"` // length of the slow start of a server whose cordon was lifted
	Answers  []storedAnswer `json:"answers,omitempty"`

	indexByKey map[string]int // index into Answers; built at first use
	lastStep   Step
}

// New returns the state at version 1, which holds no rules.
func New(budget cordon.Budget, coldMs int64) *State {
	b := &State{Budget: budget, ColdMs: coldMs}
	b.Document.Head = Head{Version: 1, Provenance: Provenance{Author: "registrar", Reason: "the first version"}}
	b.Document.Head.Hash = b.Document.ComputeHash()
	return b
}

// errInvalid tells why a request is invalid. Its text is stored with the answer.
type errInvalid string

func (e errInvalid) Error() string { return string(e) }

// validate checks a change on its own, without regard to the rules in force.
func (c Change) validate() error {
	invalid := func(format string, args ...any) error {
		return errInvalid(string(c.Kind) + ": " + fmt.Sprintf(format, args...))
	}
	if len(c.Name) > MaxTextBytes {
		return invalid("the name is longer than %d bytes", MaxTextBytes)
	}
	if c.Value != nil && (math.IsNaN(*c.Value) || math.IsInf(*c.Value, 0) || *c.Value < 0) {
		return invalid("expected a number from 0, got %v", *c.Value)
	}
	switch c.Kind {
	case KindCordon:
		if c.Cordon == nil || c.Cordon.Host == "" || len(c.Cordon.Host) > MaxTextBytes || c.DurationMs < 0 {
			return invalid("expected a host, and a time from 0")
		}
	case KindLift, KindTenant, KindWorth, KindWithdraw, KindExpect, KindDismiss:
		if c.Name == "" {
			return invalid("expected a name")
		}
	case KindCeiling:
		if c.Value != nil && *c.Value > 1 {
			return invalid("expected 0 to 1, got %v", *c.Value)
		}
	case KindFreeze, KindThaw:
	case KindSite:
		if c.Name == "" {
			return invalid("expected a name")
		}
		if c.Site != nil {
			for _, s := range c.Site.Outages {
				if s.Until <= s.From {
					return invalid("an outage ends before it begins")
				}
			}
		}
	case KindDispatch:
		if c.Name == "" || c.Dispatch == nil || c.Dispatch.Site == "" || c.Dispatch.Class == "" || c.Dispatch.Target == "" {
			return invalid("expected a name, and work with site, class and target")
		}
		if w := c.Dispatch; w.Latest <= w.Earliest || !(w.Worth >= 0) || math.IsInf(w.Worth, 0) ||
			!(w.ExpectedDurationMs >= 0) || math.IsInf(w.ExpectedDurationMs, 0) {
			return invalid("expected a latest time after the earliest, and a worth and a time from 0")
		}
	default:
		return errInvalid(fmt.Sprintf("no such kind of change: %.40q", string(c.Kind)))
	}
	return nil
}

// subject identifies what a change applies to. A later change with the same subject replaces a pending one.
func (c Change) subject() string {
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

// isLower reports whether next is lower than now. A nil number stands for no rule and counts as defaultValue.
func isLower(next, current *float64, defaultValue float64) bool {
	nextValue, currentValue := defaultValue, defaultValue
	if next != nil {
		nextValue = *next
	}
	if current != nil {
		currentValue = *current
	}
	return nextValue < currentValue
}

// Narrows reports whether a change only reduces what dispatchers may do. Such a change takes effect at once; one that widens
// or moves something waits until every lease holder has acknowledged it. The reasons by kind:
//
//	cordon             narrows  less may be sent
//	lift               widens   a dispatcher that does not know of the lift yet sends nothing there, which does no harm;
//	                            but one that confirmed that nothing starts there must not start anything before all
//	                            that rely on the confirmation know of the lift
//	ceiling, lower     narrows  less traffic to a build on trial; a higher ceiling or none widens
//	freeze             narrows  fewer votes; thaw widens
//	tenant             moves    shares add up to a whole: what one tenant gains the others lose
//	worth              moves    it orders classes against each other
//	site               moves    the plans of two dispatchers with different calendars would contradict each other
//	dispatch           widens   there is more to send; withdraw narrows
//	expect             narrows  more dispatchers have to acknowledge; dismiss widens
func (r *Rules) Narrows(c Change) bool {
	switch c.Kind {
	case KindCordon, KindFreeze, KindWithdraw, KindExpect:
		return true
	case KindCeiling:
		return isLower(c.Value, r.Ceiling, 1)
	default:
		return false
	}
}

// apply puts one change in force.
func (r *Rules) apply(c Change, provenance Provenance, forced bool) {
	switch c.Kind {
	case KindCordon:
		setEntry(&r.Cordons, c.Cordon.ID(), cordon.Cordon{Target: *c.Cordon, Author: provenance.Author, Reason: provenance.Reason,
			Since: provenance.Since, DurationMs: c.DurationMs, Forced: forced, Automatic: c.Automatic})
		delete(r.Lifted, c.Cordon.Host)
	case KindLift:
		if o, ok := r.Cordons[c.Name]; ok {
			setEntry(&r.Lifted, o.Host, provenance.Since)
		}
		delete(r.Cordons, c.Name)
	case KindCeiling:
		r.Ceiling = c.Value
	case KindFreeze:
		r.Freeze = &provenance
	case KindThaw:
		r.Freeze = nil
	case KindTenant:
		setNumber(&r.Tenants, c)
	case KindWorth:
		setNumber(&r.Worth, c)
	case KindSite:
		if c.Site == nil {
			delete(r.Sites, c.Name)
		} else {
			setEntry(&r.Sites, c.Name, *c.Site)
		}
	case KindDispatch:
		setEntry(&r.Dispatches, c.Name, *c.Dispatch)
	case KindWithdraw:
		delete(r.Dispatches, c.Name)
	case KindExpect:
		setEntry(&r.Expected, c.Name, provenance)
	case KindDismiss:
		delete(r.Expected, c.Name)
	}
}

// setEntry sets an entry of a map, and makes the map if there is none.
func setEntry[V any](m *map[string]V, name string, v V) {
	if *m == nil {
		*m = map[string]V{}
	}
	(*m)[name] = v
}

// setNumber sets the number that a change gives to its name, or deletes it if the change has no value.
func setNumber(m *map[string]float64, c Change) {
	if c.Value == nil {
		delete(*m, c.Name)
		return
	}
	setEntry(m, c.Name, *c.Value)
}

// clone copies everything that apply may write to.
func (r Rules) clone() Rules {
	r.Cordons, r.Tenants, r.Worth = maps.Clone(r.Cordons), maps.Clone(r.Tenants), maps.Clone(r.Worth)
	r.Sites, r.Dispatches = maps.Clone(r.Sites), maps.Clone(r.Dispatches)
	r.Expected, r.Lifted = maps.Clone(r.Expected), maps.Clone(r.Lifted)
	return r
}

// digest identifies the content of a request. The evidence is not part of it, since the leader adds it.
func (a ChangeRequest) digest() string {
	a.Evidence = nil
	text, err := json.Marshal(a)
	if err != nil {
		return "" // a number that JSON can't represent; validate refuses it
	}
	h := sha256.Sum256(text)
	return hex.EncodeToString(h[:8])
}

// Submit makes the next version from a request, or refuses it; now is Unix time in milliseconds, by the clock of the leader
// that accepted the request. A repeated key gets the stored answer, so that an operator whose answer was lost can repeat the
// request safely.
func (b *State) Submit(request ChangeRequest, now int64) Answer {
	if b.indexByKey == nil {
		b.indexByKey = map[string]int{}
		for i, k := range b.Answers {
			b.indexByKey[k.Key] = i
		}
	}
	digest := request.digest()
	if i, ok := b.indexByKey[request.Key]; ok && request.Key != "" {
		if b.Answers[i].Digest != digest {
			return Answer{Version: b.Document.Head.Version, Refused: RefusedKeyReused, Text: "another asking had this key"}
		}
		return b.Answers[i].Answer
	}
	answer := b.evaluate(request, now)
	if request.Key == "" || len(request.Key) > MaxTextBytes {
		return answer
	}
	if len(b.Answers) >= maxStoredAnswers { // a request whose answer is dropped has an old base version, and is refused as stale
		b.Answers = slices.Clone(b.Answers[len(b.Answers)/2:])
		b.indexByKey = map[string]int{}
		for i, k := range b.Answers {
			b.indexByKey[k.Key] = i
		}
	}
	b.indexByKey[request.Key] = len(b.Answers)
	b.Answers = append(b.Answers, storedAnswer{request.Key, digest, answer})
	return answer
}

// evaluate checks a request that was not seen before, and commits the version that it makes.
func (b *State) evaluate(request ChangeRequest, now int64) Answer {
	head := b.Document.Head
	refuse := func(code, text string) Answer { return Answer{Version: head.Version, Refused: code, Text: text} }
	switch {
	case request.Key == "" || request.Author == "" || request.Reason == "":
		return refuse(RefusedInvalid, "expected a key, an author and a reason")
	case len(request.Key) > MaxTextBytes || len(request.Author) > MaxTextBytes || len(request.Reason) > MaxTextBytes:
		return refuse(RefusedInvalid, "a key, an author or a reason is longer than "+strconv.Itoa(MaxTextBytes)+" bytes")
	case len(request.Changes) == 0 || len(request.Changes) > MaxChanges:
		return refuse(RefusedInvalid, "expected 1 to "+strconv.Itoa(MaxChanges)+" changes")
	case request.BaseVersion != head.Version:
		return refuse(RefusedStale, fmt.Sprintf("it rests on version %d, the present one is %d", request.BaseVersion, head.Version))
	}
	step := Step{Head: Head{Version: head.Version + 1, PreviousHash: head.Hash,
		Provenance: Provenance{Author: request.Author, Reason: request.Reason, Since: now}},
		Changes: request.Changes, Forced: request.Forced}
	// Each change is checked against the rules as the earlier changes of the same request leave them.
	next := b.Document.draftNext(step.Head)
	for _, c := range request.Changes {
		if err := c.validate(); err != nil {
			return refuse(RefusedInvalid, err.Error())
		}
		if c.Kind == KindCordon && !request.Forced {
			if _, exists := next.Rules.Cordons[c.Cordon.ID()]; !exists {
				if err := b.Budget.Check(*c.Cordon, next.Rules.Cordons, request.Evidence); err != nil {
					return refuse(RefusedBudget, err.Error())
				}
			}
		}
		if err := next.checkApplicable(c); err != nil {
			return refuse(RefusedInvalid, err.Error())
		}
		next.applyOrDefer(c, request.Forced)
	}
	if !b.commit(&next, step) {
		return refuse(RefusedTooLarge, "the document would be larger than "+strconv.Itoa(MaxRulesBytes)+" bytes")
	}
	pendingCount := 0
	for _, w := range next.Pending {
		if w.Version == next.Head.Version {
			pendingCount++
		}
	}
	return Answer{Version: next.Head.Version, PendingCount: pendingCount}
}

// Step holds what makes a version from the previous one.
type Step struct {
	Head    Head     `json:"head"`
	Changes []Change `json:"changes,omitempty"`
	Forced  bool     `json:"forced,omitempty"`
}

// draftNext returns the next version before its changes are applied.
func (d Document) draftNext(h Head) Document {
	return Document{Head: h, Rules: d.Rules.clone(), Pending: slices.Clone(d.Pending)}
}

// checkApplicable returns why a change that is valid on its own can't be applied to these rules.
func (d *Document) checkApplicable(c Change) error {
	exists := false
	switch c.Kind {
	case KindLift:
		if _, exists = d.Rules.Cordons[c.Name]; !exists {
			return errInvalid("lift: no such cordon stands")
		}
	case KindWithdraw:
		_, exists = d.Rules.Dispatches[c.Name]
		if !exists && !slices.ContainsFunc(d.Pending, func(w PendingChange) bool { return w.Change.subject() == c.subject() }) {
			return errInvalid("withdraw: no such dispatch")
		}
	case KindDispatch:
		if _, exists = d.Rules.Dispatches[c.Name]; exists {
			return errInvalid("dispatch: there is one of this name; withdraw it first")
		}
	}
	return nil
}

// applyOrDefer applies a change that narrows, and makes any other one pending. It replaces a pending change with the same
// subject.
func (d *Document) applyOrDefer(c Change, forced bool) {
	d.Pending = slices.DeleteFunc(d.Pending, func(w PendingChange) bool { return w.Change.subject() == c.subject() })
	if d.Rules.Narrows(c) {
		d.Rules.apply(c, d.Head.Provenance, forced)
		return
	}
	d.Pending = append(d.Pending, PendingChange{Version: d.Head.Version, Change: c, Provenance: d.Head.Provenance})
}

// activate applies the pending changes announced up to a version, and returns their number.
func (d *Document) activate(upTo uint64) int {
	activated := 0
	d.Pending = slices.DeleteFunc(d.Pending, func(w PendingChange) bool {
		if w.Version > upTo {
			return false
		}
		provenance := w.Provenance
		provenance.Since = d.Head.Since
		d.Rules.apply(w.Change, provenance, false)
		activated++
		return true
	})
	return activated
}

// dropExpiredLifts drops the lifts whose servers have finished their slow start.
func (d *Document) dropExpiredLifts(coldMs int64) {
	maps.DeleteFunc(d.Rules.Lifted, func(_ string, at int64) bool { return d.Head.Since-at > coldMs })
	if len(d.Rules.Lifted) == 0 {
		d.Rules.Lifted = nil
	}
}

// ApplyStep makes the version that a step led to from the previous document. The store keeps steps, and complete versions
// are rebuilt from them. It returns an error if the step does not follow the document, or if either is corrupt.
func ApplyStep(d Document, step Step, coldMs int64) (Document, error) {
	if step.Head.Version != d.Head.Version+1 || step.Head.PreviousHash != d.Head.Hash {
		return d, fmt.Errorf("version %d does not follow version %d", step.Head.Version, d.Head.Version)
	}
	next := d.draftNext(step.Head)
	for _, c := range step.Changes {
		next.applyOrDefer(c, step.Forced)
	}
	if step.Head.ActivatesUpTo > 0 {
		next.activate(step.Head.ActivatesUpTo)
	}
	next.dropExpiredLifts(coldMs)
	if !next.HasValidHash() {
		return d, fmt.Errorf("version %d is not what its hash says", step.Head.Version)
	}
	return next, nil
}

// commit makes next the current version, and reports whether it did: next must not be too large.
func (b *State) commit(next *Document, step Step) bool {
	next.dropExpiredLifts(b.ColdMs)
	text, err := json.Marshal(struct { // encoded under these names, which are part of the size
		Rules   Rules
		Waiting []PendingChange
	}{next.Rules, next.Pending})
	if err != nil || len(text) > MaxRulesBytes {
		return false
	}
	next.Head.Hash = next.ComputeHash()
	step.Head = next.Head
	b.Document, b.lastStep = *next, step
	return true
}

// LastStep returns the step that made the current version. Its Version is 0 if this process did not make it.
func (b *State) LastStep() Step { return b.lastStep }

// NewestPending returns the newest version that announced a change which is still pending; 0 if there is none.
func (b *State) NewestPending() uint64 {
	newest := uint64(0)
	for _, w := range b.Document.Pending {
		newest = max(newest, w.Version)
	}
	return newest
}

// ErrNothingPending says that no change is pending up to a version.
var ErrNothingPending = errors.New("nothing waits up to this version")

// Activate makes a version that puts in force the changes announced up to a version. The caller has to make sure that no
// dispatcher acts on an older one any more.
func (b *State) Activate(upTo uint64, now int64) error {
	head := b.Document.Head
	step := Step{Head: Head{Version: head.Version + 1, PreviousHash: head.Hash, ActivatesUpTo: upTo,
		Provenance: Provenance{Author: "registrar", Reason: "all dispatchers know of it", Since: now}}}
	next := b.Document.draftNext(step.Head)
	if next.activate(upTo) == 0 {
		return ErrNothingPending
	}
	if !b.commit(&next, step) {
		return errInvalid("the document would be too large")
	}
	return nil
}

// Clone returns an independent copy.
func (b *State) Clone() *State {
	c := *b
	c.Answers, c.indexByKey = slices.Clone(b.Answers), nil
	return &c
}
