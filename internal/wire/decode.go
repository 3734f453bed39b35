// Package wire translates between the simulator's line protocol and the interface of the decision module in package logic.
// It makes no decisions itself.
package wire

import (
	"encoding/hex"
	"fmt"
	"time"

	"github.com/valyala/fastjson"

	"merlinarch/internal/settings"
	"merlinarch/logic"
)

// outcomesByCode, voteRepliesByCode and statesByName map the protocol's values to those of package logic.
var outcomesByCode = map[uint64]logic.Outcome{200: logic.OK, 502: logic.ServerError, 429: logic.Rejected,
	408: logic.TimedOut, 521: logic.ConnectFailed, 520: logic.Reset, 444: logic.Cancelled, 409: logic.NotSent}

var voteRepliesByCode = map[uint64]logic.VoteReply{200: logic.VoteCounted, 409: logic.VoteStale, 429: logic.VoteThrottled,
	502: logic.VoteError, 408: logic.VoteTimedOut}

var statesByName = map[string]logic.ServerState{"SERVING": logic.Ready, "DRAINING": logic.Draining, "DELETED": logic.Gone}

// Input is one event for one instance. Exactly one of Boot, Crash and Event is set.
type Input struct {
	Boot  *Boot       // set when the instance starts
	Crash bool        // set when the instance has been killed
	Event logic.Event // any other event
}

// Boot holds the seed and the settings with which an instance starts.
type Boot struct {
	Seed     uint64
	Settings logic.Settings
}

// Part holds the events for one instance in a batch.
type Part struct {
	Instance int64
	Inputs   []Input
}

// Batch is one decoded line: the current time and the events per instance.
type Batch struct {
	Now   time.Duration
	Parts []Part
}

// Decoder decodes batches. It keeps the numbered server lists, because later batches may refer to them.
type Decoder struct {
	parser      fastjson.Parser
	serverLists map[int][]logic.Server
}

// NewDecoder returns a decoder without any server lists.
func NewDecoder() *Decoder { return &Decoder{serverLists: map[int][]logic.Server{}} }

// Decode decodes one line.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	v, err := d.parser.ParseBytes(line)
	if err != nil {
		return Batch{}, fmt.Errorf("line is not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return Batch{}, fmt.Errorf("batch is a %s, not an object", v.Type())
	}
	clock := v.Get("time_ms")
	if clock == nil || clock.Type() != fastjson.TypeNumber {
		return Batch{}, fmt.Errorf("batch has no number time_ms")
	}
	parts := v.Get("parts")
	if parts == nil || parts.Type() != fastjson.TypeArray {
		return Batch{}, fmt.Errorf("batch has no array parts")
	}
	batch := Batch{Now: settings.Millis(clock)}
	for i, p := range parts.GetArray() {
		instance := p.Get("who")
		if instance == nil {
			return Batch{}, fmt.Errorf("part %d: no who", i)
		}
		id, err := instance.Int64()
		if err != nil {
			return Batch{}, fmt.Errorf("part %d: who: %w", i, err)
		}
		events := p.Get("input")
		if events == nil || events.Type() != fastjson.TypeArray {
			return Batch{}, fmt.Errorf("part %d: no array input", i)
		}
		part := Part{Instance: id}
		for j, e := range events.GetArray() {
			in, skip, err := d.decodeEvent(e)
			if err != nil {
				return Batch{}, fmt.Errorf("part %d, event %d: %w", i, j, err)
			}
			if !skip {
				part.Inputs = append(part.Inputs, in)
			}
		}
		batch.Parts = append(batch.Parts, part)
	}
	return batch, nil
}

// fields reads the values of one event, which follow its name, and keeps the first error.
type fields struct {
	name   string
	values []*fastjson.Value
	err    error
}

// value returns the value at index i if it has the given type. A missing or null value is an error only if required.
func (f *fields) value(i int, kind fastjson.Type, required bool) *fastjson.Value {
	if i >= len(f.values) || f.values[i].Type() == fastjson.TypeNull {
		if required && f.err == nil {
			f.err = fmt.Errorf("%s: value %d is missing", f.name, i)
		}
		return nil
	}
	if f.values[i].Type() != kind {
		if f.err == nil {
			f.err = fmt.Errorf("%s: value %d is a %s, not a %s", f.name, i, f.values[i].Type(), kind)
		}
		return nil
	}
	return f.values[i]
}

func (f *fields) text(i int) string {
	if v := f.value(i, fastjson.TypeString, true); v != nil {
		return string(v.GetStringBytes())
	}
	return ""
}

func (f *fields) number(i int) *fastjson.Value { return f.value(i, fastjson.TypeNumber, true) }

func (f *fields) uint(i int) uint64 {
	v := f.number(i)
	if v == nil {
		return 0
	}
	n, err := v.Uint64()
	if err != nil && f.err == nil {
		f.err = fmt.Errorf("%s: value %d: %w", f.name, i, err)
	}
	return n
}

func (f *fields) float(i int) float64 {
	if v := f.number(i); v != nil {
		return v.GetFloat64()
	}
	return 0
}

func (f *fields) millis(i int) time.Duration {
	if v := f.number(i); v != nil {
		return settings.Millis(v)
	}
	return 0
}

func (f *fields) optionalMillis(i int) time.Duration {
	if v := f.value(i, fastjson.TypeNumber, false); v != nil {
		return settings.Millis(v)
	}
	return 0
}

func (f *fields) bool(i int) bool {
	if i < len(f.values) && (f.values[i].Type() == fastjson.TypeTrue || f.values[i].Type() == fastjson.TypeFalse) {
		return f.values[i].GetBool()
	}
	if f.err == nil {
		f.err = fmt.Errorf("%s: value %d is not a bool", f.name, i)
	}
	return false
}

func (f *fields) outcome(i int) logic.Outcome {
	code := f.uint(i)
	o, ok := outcomesByCode[code]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("%s: unknown outcome %d", f.name, code)
	}
	return o
}

// load reads an optional load report. Unknown names are skipped.
func (f *fields) load(i int) *logic.Load {
	v := f.value(i, fastjson.TypeObject, false)
	if v == nil {
		return nil
	}
	l := settings.NoLoad()
	v.GetObject().Visit(func(k []byte, x *fastjson.Value) {
		if x.Type() == fastjson.TypeNumber {
			settings.SetLoad(&l, string(k), x.GetFloat64())
		}
	})
	return &l
}

// decodeEvent decodes one event. skip is set for events that concern only the decoder, such as a server list.
func (d *Decoder) decodeEvent(v *fastjson.Value) (in Input, skip bool, err error) {
	arr, err := v.Array()
	if err != nil {
		return in, false, fmt.Errorf("event is not an array: %w", err)
	}
	if len(arr) == 0 {
		return in, false, fmt.Errorf("event is empty")
	}
	nameBytes, err := arr[0].StringBytes()
	if err != nil {
		return in, false, fmt.Errorf("event has no name: %w", err)
	}
	f := &fields{name: string(nameBytes), values: arr[1:]}
	switch f.name {
	case "job_in":
		in.Event = decodeRequest(f)
	case "resolved":
		in.Event = logic.AttemptDone{ID: logic.RequestID(f.text(0)), Outcome: f.outcome(1), Duration: f.millis(2),
			Server: logic.ServerID(f.uint(3)), Attempt: int(f.uint(4)), RequestEnded: f.bool(5), Load: f.load(6)}
	case "fired":
		in.Event = logic.TimerFired{Token: f.uint(0)}
	case "gone":
		in.Event = logic.ClientGone{ID: logic.RequestID(f.text(0))}
	case "ack_first":
		in.Event = logic.AnswerStarted{ID: logic.RequestID(f.text(0)), Attempt: int(f.uint(1))}
	case "health":
		in.Event = logic.ProbeDone{Server: logic.ServerID(f.uint(0)), Outcome: f.outcome(1), Duration: f.millis(2),
			Load: f.load(3)}
	case "message":
		data, hexErr := hex.DecodeString(f.text(1))
		if hexErr != nil && f.err == nil {
			f.err = fmt.Errorf("message: %w", hexErr)
		}
		in.Event = logic.PeerMessage{From: int(f.uint(0)), Data: data}
	case "release_state":
		in.Event = decodeReleaseStatus(f)
	case "scorecard":
		in.Event = logic.BuildTally{Build: logic.BuildID(f.uint(0)), Class: f.text(1), Count: int(f.uint(2)),
			Failed: int(f.uint(3)), MeanDuration: f.optionalMillis(4), Age: f.millis(5)}
	case "objection":
		in.Event = logic.AnswerDisputed{Server: logic.ServerID(f.uint(0)), Class: f.text(1), AttemptAge: f.millis(2)}
	case "pool":
		skip = true
		if id, entries := int(f.uint(0)), f.value(1, fastjson.TypeArray, true); f.err == nil {
			d.serverLists[id], f.err = decodeServers(entries.GetArray())
		}
	case "update":
		in.Event = d.decodeUpdate(f)
	case "boot":
		in.Boot = &Boot{Seed: f.uint(0)}
		if obj := f.value(1, fastjson.TypeObject, true); f.err == nil {
			in.Boot.Settings, f.err = settings.Decode(obj)
		}
	case "crash_now":
		in.Crash = true
	default:
		f.err = fmt.Errorf("unknown event %q", f.name)
	}
	return in, skip, f.err
}

// decodeRequest decodes the arrival of a request. Bit 0 of the value at index 6 says that the expected work is given, bit
// 1 that the client marked the request as a retry.
func decodeRequest(f *fields) logic.Event {
	r := logic.RequestArrived{ID: logic.RequestID(f.text(0)), Class: f.text(1), TimeLeft: f.millis(4)}
	if len(f.values) > 2 { // deployments without tenants send 0 or nothing here
		r.Tenant = string(f.values[2].GetStringBytes())
	}
	if v := f.value(3, fastjson.TypeNumber, false); v != nil {
		r.Key, r.HasKey = v.GetUint64(), true
	}
	bits := uint64(0)
	if v := f.value(6, fastjson.TypeNumber, false); v != nil {
		bits = v.GetUint64()
	}
	if bits&1 != 0 {
		r.ExpectedWork = f.optionalMillis(5)
	}
	r.MarkedRetry = bits&2 != 0
	return r
}

// decodeReleaseStatus decodes the status of the newest build. A reply other than VoteCounted carries no status.
func decodeReleaseStatus(f *fields) logic.Event {
	reply, ok := voteRepliesByCode[f.uint(4)]
	if !ok && f.err == nil {
		f.err = fmt.Errorf("release_state: unknown how %d", f.uint(4))
	}
	e := logic.ReleaseStatus{IsReply: f.uint(3) == 1, Reply: reply}
	if reply != logic.VoteCounted {
		return e
	}
	e.Build, e.Stage, e.Cap, e.StageAge = logic.BuildID(f.uint(0)), int(f.uint(1)), f.float(5), f.millis(6)
	phase := f.uint(2)
	if phase > uint64(logic.Withdrawn) && f.err == nil {
		f.err = fmt.Errorf("release_state: unknown standing %d", phase)
	}
	e.Phase = logic.Phase(phase)
	return e
}

// decodeUpdate decodes an update of the server list: full ("F" or "C"), a change ("D") or a failure ("X").
func (d *Decoder) decodeUpdate(f *fields) logic.Event {
	f.uint(0)
	mode := f.text(1)
	e := logic.ServersListed{Full: mode == "F" || mode == "C", Failed: mode == "X"}
	switch mode {
	case "X":
	case "D", "F", "C":
		id := int(f.uint(2))
		list, ok := d.serverLists[id]
		if !ok && f.err == nil {
			f.err = fmt.Errorf("update: no pool %d", id)
		}
		e.Servers = list
	default:
		if f.err == nil {
			f.err = fmt.Errorf("update: unknown how %q", mode)
		}
	}
	return e
}

// decodeServers decodes the entries of a server list.
func decodeServers(entries []*fastjson.Value) ([]logic.Server, error) {
	list := make([]logic.Server, 0, len(entries))
	for i, e := range entries {
		arr, err := e.Array()
		if err != nil {
			return nil, fmt.Errorf("pool: line %d: %w", i, err)
		}
		f := &fields{name: fmt.Sprintf("pool line %d", i), values: arr}
		s := logic.Server{ID: logic.ServerID(f.uint(0)), Zone: f.text(1), Build: logic.BuildID(f.uint(3)),
			Cell: int(f.uint(4)), Weight: f.float(6), Started: f.optionalMillis(7)}
		state, ok := statesByName[f.text(5)]
		if !ok && f.err == nil {
			f.err = fmt.Errorf("pool line %d: unknown mode", i)
		}
		if f.err != nil {
			return nil, f.err
		}
		s.State = state
		list = append(list, s)
	}
	return list, nil
}
