package wire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"merlinarch/logic"
)

// Reply builds one reply line of the simulator's protocol.
type Reply struct {
	buf   []byte
	parts int
}

// Reset starts a new reply.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], `{"parts":[`...)
	r.parts = 0
}

// Add appends the actions of one instance. An instance without actions is left out.
func (r *Reply) Add(instance int64, actions []logic.Action) error {
	if len(actions) == 0 {
		return nil
	}
	if r.parts > 0 {
		r.buf = append(r.buf, ',')
	}
	r.parts++
	r.buf = append(r.buf, `{"who":`...)
	r.buf = strconv.AppendInt(r.buf, instance, 10)
	r.buf = append(r.buf, `,"decisions":[`...)
	for i, a := range actions {
		if i > 0 {
			r.buf = append(r.buf, ',')
		}
		if err := r.appendAction(a); err != nil {
			return err
		}
	}
	r.buf = append(r.buf, "]}"...)
	return nil
}

// Line returns the finished line with its newline; it is valid until the next Reset.
func (r *Reply) Line() []byte {
	r.buf = append(r.buf, "]}\n"...)
	return r.buf
}

// appendAction appends one action as a JSON array.
func (r *Reply) appendAction(a logic.Action) error {
	switch a := a.(type) {
	case logic.Send:
		r.openAction("place")
		r.appendString(string(a.ID))
		r.appendUint(uint64(a.Server))
		r.appendMillis(a.Timeout)
	case logic.Cancel:
		r.openAction("withdraw")
		r.appendString(string(a.ID))
		r.appendUint(uint64(a.Attempt))
	case logic.Close:
		r.openAction("close")
		r.appendUint(uint64(a.Server))
	case logic.Refuse:
		r.openAction("refuse")
		r.appendString(string(a.ID))
		r.appendMillis(a.RetryAfter)
	case logic.Fail:
		r.openAction("respond_error")
		r.appendString(string(a.ID))
	case logic.SetTimer:
		r.openAction("timer")
		r.appendMillis(a.After)
		r.appendUint(a.Token)
	case logic.Probe:
		r.openAction("ask_load")
		r.appendUint(uint64(a.Server))
	case logic.Post:
		r.openAction("post")
		if a.Peer < 0 {
			r.buf = append(r.buf, ",null"...)
		} else {
			r.appendUint(uint64(a.Peer))
		}
		r.appendString(hex.EncodeToString(a.Data))
	case logic.Vote:
		r.openAction("vote")
		r.appendUint(uint64(a.Build))
		r.appendUint(uint64(a.Stage))
		r.appendUint(uint64(verdictCode(a.Verdict)))
	case logic.Watch:
		r.openAction("stream_changes")
		r.buf = append(r.buf, ",true"...)
	case logic.Log:
		r.openAction("debug")
		r.appendString(a.Text)
	default:
		return fmt.Errorf("no wire form for action %T", a)
	}
	r.buf = append(r.buf, ']')
	return nil
}

// verdictCode returns the protocol's number for a verdict.
func verdictCode(v logic.Verdict) int {
	switch v {
	case logic.VoteAdvance:
		return 1
	case logic.VoteHold:
		return 2
	case logic.VoteRollBack:
		return 3
	default:
		return 0
	}
}

// openAction appends the opening bracket and the name of an action.
func (r *Reply) openAction(name string) {
	r.buf = append(r.buf, '[', '"')
	r.buf = append(r.buf, name...)
	r.buf = append(r.buf, '"')
}

// appendString appends a JSON string. Plain ASCII, which nearly all strings are, bypasses the general encoder.
func (r *Reply) appendString(s string) {
	r.buf = append(r.buf, ',')
	plain := true
	for i := range len(s) {
		plain = plain && s[i] >= ' ' && s[i] < 0x7f && s[i] != '"' && s[i] != '\\'
	}
	if plain {
		r.buf = append(append(append(r.buf, '"'), s...), '"')
		return
	}
	quoted, _ := json.Marshal(s) // encoding a string never fails
	r.buf = append(r.buf, quoted...)
}

func (r *Reply) appendUint(n uint64) {
	r.buf = append(r.buf, ',')
	r.buf = strconv.AppendUint(r.buf, n, 10)
}

// appendMillis appends a duration in milliseconds, in steps of a microsecond.
func (r *Reply) appendMillis(d time.Duration) {
	r.buf = append(r.buf, ',')
	r.buf = strconv.AppendFloat(r.buf, float64(d.Microseconds())/1000, 'f', -1, 64)
}
