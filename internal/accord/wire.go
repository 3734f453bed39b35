// Package accord is the dispatcher's side of the replicated configuration. A dispatcher is a gateway that holds a read
// lease on the rules; a registrar is a member of the Raft group that replicates them. The package renews the lease with
// regular beats (heartbeats), passes each new version of the rules to the gateway's decisions, and admits an attempt only
// if the rules and the lease allow it. The registrars' side is package registrar; the decisions of both sides are under
// internal/decide.
//
// Bodies are JSON over HTTP. Each carries a digest (RFC 9530), so that a body that was corrupted on the network is
// rejected instead of applied.
package accord

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/statemachine"
)

// Paths of a registrar's HTTP interface.
const (
	PathEnrol   = "/v1/enrol"
	PathBeat    = "/v1/beat"
	PathWatch   = "/v1/watch"
	PathChange  = "/v1/ask"
	PathRetire  = "/v1/retire"
	PathStatus  = "/v1/status"
	PathVersion = "/v1/version"
	PathMembers = "/v1/members"
)

// MaxBodySize is the largest request or response body in bytes. It has room for a document of the maximum size and a
// list of servers.
const MaxBodySize = 1 << 20

// EnrolRequest registers a dispatcher's process and asks for its incarnation number. A registrar refuses lease terms that
// differ from its own: with other terms, the dispatcher could still act on a lease that the registrars take for expired.
type EnrolRequest struct {
	Cluster    string      `json:"cluster"`
	Name       string      `json:"name"`
	Token      string      `json:"token"`
	Mode       lease.Mode  `json:"mode"`
	KnownKinds []string    `json:"knows"`
	Site       string      `json:"site,omitempty"`
	Terms      lease.Terms `json:"terms"`
}

// EnrolResponse carries the incarnation that the process was given.
type EnrolResponse struct {
	Incarnation uint64 `json:"life"`
}

// Beat is a dispatcher's heartbeat: it asks for a lease and reports which version the dispatcher has applied.
type Beat struct {
	Cluster        string            `json:"cluster"`
	Name           string            `json:"name"`
	Incarnation    uint64            `json:"life"`
	HeldVersion    uint64            `json:"holds"`             // no attempt starts or continues under an older version
	UnknownKinds   []string          `json:"unknown,omitempty"` // kinds of rules in the newest version that the sender does not support
	ServersDigest  string            `json:"list,omitempty"`    // changes whenever the list of servers does
	Servers        []cordon.Server   `json:"listed,omitempty"`  // only if the registrar's last response asked for the list
	ServerEvidence []cordon.Evidence `json:"reports,omitempty"`

	UnixMs        int64              `json:"unix_ms"`                     // the sender's wall clock
	SiteEvidence  []contact.Evidence `json:"met,omitempty"`               // results of attempts at each site since the last beat
	RepeatWindows map[string]int64   `json:"repeat_windows_ms,omitempty"` // by class; see statemachine.DispatchState

	Draining bool                   `json:"draining,omitempty"` // the sender ends soon and takes no further tasks
	Outcomes []statemachine.Outcome `json:"ended,omitempty"`    // finished tries of dispatches; repeated until the response no longer lists their tasks
}

// BeatResponse grants a lease on a version. The lease starts when the Beat was sent.
type BeatResponse struct {
	Cluster     string              `json:"cluster"`
	Leader      string              `json:"leader"`
	Version     uint64              `json:"version"`
	LeaseNs     int64               `json:"lease_ns"`
	Document    *ruleset.Document   `json:"document,omitempty"` // if the dispatcher held another version
	WantServers bool                `json:"want_list,omitempty"`
	UnixMs      int64               `json:"unix_ms,omitempty"` // the registrars' time of the answer, by which tasks tell times; zero: not told
	Tasks       []statemachine.Task `json:"tasks,omitempty"`   // dispatches that this dispatcher has claimed
}

// WatchResponse answers a watch: it holds a newer version, or no document if there was none within WatchTimeout.
type WatchResponse struct {
	Cluster  string            `json:"cluster"`
	Document *ruleset.Document `json:"document,omitempty"`
}

// OperatorRequest asks for changes to the configuration on behalf of an operator.
type OperatorRequest struct {
	Cluster string `json:"cluster"`
	ruleset.ChangeRequest
}

// RetireRequest is an operator's statement that a dispatcher has ended for good.
type RetireRequest struct {
	Cluster string `json:"cluster"`
	Name    string `json:"name"`
	Author  string `json:"author"`
	Reason  string `json:"reason"`
	Forced  bool   `json:"forced,omitempty"`
}

// RegistrarStatus is a registrar's view of itself and of its Raft group.
type RegistrarStatus struct {
	Name         string `json:"name"`
	Leader       string `json:"leader"` // empty if it knows of none
	IsLeader     bool   `json:"leads"`
	Term         uint64 `json:"term"`
	AppliedIndex uint64 `json:"applied"`
	Version      uint64 `json:"version"`
}

// Status is the leader's view of the replicated configuration and of the cluster.
type Status struct {
	Cluster              string                                `json:"cluster"`
	Role                 RegistrarStatus                       `json:"role"`
	Head                 ruleset.Head                          `json:"head"`
	StalenessBound       string                                `json:"bound"`            // how long after a new version is agreed an attempt may still start under an older one
	StalenessBoundBySite map[string]string                     `json:"bounds,omitempty"` // the same for each site whose dispatchers get longer leases now
	Rules                ruleset.Rules                         `json:"rules"`
	PendingChanges       []ruleset.PendingChange               `json:"waiting,omitempty"`
	Cordons              []statemachine.CordonStatus           `json:"cordons,omitempty"`
	Dispatches           map[string]statemachine.DispatchState `json:"work,omitempty"`
	Sites                map[string]statemachine.SiteStatus    `json:"sites,omitempty"`
	Dispatchers          []DispatcherStatus                    `json:"dispatchers,omitempty"`
	MissingDispatchers   []string                              `json:"expected_missing,omitempty"` // expected by the rules, but not enrolled
	Registrars           map[string]statemachine.Registrar     `json:"registrars"`
}

// DispatcherStatus is the leader's view of one dispatcher.
type DispatcherStatus struct {
	Name          string     `json:"name"`
	Incarnation   uint64     `json:"life"`
	Mode          lease.Mode `json:"mode"`
	SeenByLeader  bool       `json:"heard"` // this leader has received a beat from it
	SinceLastBeat string     `json:"ago,omitempty"`
	HeldVersion   uint64     `json:"holds"`
	UnknownKinds  []string   `json:"unknown,omitempty"`
}

// VersionHistory is a range of consecutive versions.
type VersionHistory struct {
	Steps []ruleset.Step `json:"steps"`
}

// Problem says why a registrar did not serve a request.
type Problem struct {
	Code   string `json:"code"`
	Text   string `json:"text"`
	Leader string `json:"leader,omitempty"` // the name of the registrar to ask instead, if it is known
	status int
}

// Error gives the code and the text.
func (p *Problem) Error() string { return fmt.Sprintf("registrar: %s: %s", p.Code, p.Text) }

// Codes of problems.
const (
	CodeWrongCluster     = "cluster"    // the request is for another cluster
	CodeNotLeader        = "not_leader" // only the leader serves this request
	CodeStaleIncarnation = "life"       // a later incarnation replaced the sender's: it has to enrol again
	CodeTermsMismatch    = "terms"      // the sender's lease terms differ from the registrar's
	CodeBusy             = "busy"       // temporary: there is no leader, or it cannot prove that it still leads
	CodeInvalid          = "wrong"      // the request is invalid
	CodeNotFound         = "gone"       // nothing has this name or version
)

// NewProblem returns a Problem with the HTTP status that belongs to its code.
func NewProblem(code, text string) *Problem {
	status := map[string]int{CodeWrongCluster: http.StatusForbidden, CodeNotLeader: http.StatusMisdirectedRequest,
		CodeStaleIncarnation: http.StatusConflict, CodeTermsMismatch: http.StatusPreconditionFailed, CodeBusy: http.StatusServiceUnavailable,
		CodeNotFound: http.StatusNotFound}[code]
	if status == 0 {
		status = http.StatusBadRequest
	}
	return &Problem{Code: code, Text: text, status: status}
}

const headerDigest = "Content-Digest"

// digest returns the Content-Digest value of a body.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return "sha-256=:" + base64.StdEncoding.EncodeToString(sum[:]) + ":"
}

// ErrDigestMismatch is returned for a body that differs from what its sender wrote.
var ErrDigestMismatch = errors.New("body does not match its digest")

// readBody reads a whole body of at most maxBytes bytes, checks its digest and decodes it into a value, unless into is nil.
func readBody(header http.Header, body io.Reader, maxBytes int64, into any) error {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("body: %w", err)
	case int64(len(data)) > maxBytes:
		return fmt.Errorf("body is longer than %d bytes", maxBytes)
	case subtle.ConstantTimeCompare([]byte(header.Get(headerDigest)), []byte(digest(data))) != 1:
		return ErrDigestMismatch
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("body: %w", err)
	}
	return nil
}

// ReadRequest reads and checks a request's body of at most maxBytes bytes and decodes it.
func ReadRequest(r *http.Request, maxBytes int64, into any) error {
	return readBody(r.Header, r.Body, maxBytes, into)
}

// WriteResponse answers a request with a value, or with a *Problem under its HTTP status.
func WriteResponse(w http.ResponseWriter, v any) {
	status := http.StatusOK
	if p, ok := v.(*Problem); ok {
		status = p.status
	}
	data, err := json.Marshal(v)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"code":"wrong","text":"the answer can't be written"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerDigest, digest(data))
	w.WriteHeader(status)
	w.Write(data) // an error means that the client has disconnected
}

// Call sends one request to a registrar: a POST with in as its body, or a GET if in is nil. It decodes the answer into
// out. If the registrar refused the request, the error is a *Problem.
func Call(ctx context.Context, client *http.Client, addr, path string, in, out any) error {
	method, body := http.MethodGet, []byte(nil)
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		method, body = http.MethodPost, data
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	req.Header.Set(headerDigest, digest(body))
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("registrar: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		problem := &Problem{status: resp.StatusCode}
		if err := readBody(resp.Header, resp.Body, MaxBodySize, problem); err != nil || problem.Code == "" {
			return fmt.Errorf("registrar %s: status %d", addr, resp.StatusCode)
		}
		return problem
	}
	if err := readBody(resp.Header, resp.Body, MaxBodySize, out); err != nil {
		return fmt.Errorf("registrar %s: %w", addr, err)
	}
	return nil
}
