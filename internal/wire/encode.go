package wire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"merlinarch/logic"
)

// Reply builds one reply line.
type Reply struct {
	buf   []byte
	parts int
}

// Reset begins a new reply.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], `{"parts":[`...)
	r.parts = 0
}

// Add appends the actions of one instance.
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
		if err := r.action(a); err != nil {
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

func (r *Reply) action(a logic.Action) error {
	switch a := a.(type) {
	case logic.Send:
		r.open("place")
		r.text(string(a.ID))
		r.uint(uint64(a.Server))
		r.millis(a.Timeout)
	case logic.Cancel:
		r.open("withdraw")
		r.text(string(a.ID))
		r.uint(uint64(a.Attempt))
	case logic.Close:
		r.open("close")
		r.uint(uint64(a.Server))
	case logic.Refuse:
		r.open("refuse")
		r.text(string(a.ID))
		r.millis(a.RetryAfter)
	case logic.Fail:
		r.open("respond_error")
		r.text(string(a.ID))
	case logic.SetTimer:
		r.open("timer")
		r.millis(a.After)
		r.uint(a.Token)
	case logic.Probe:
		r.open("ask_load")
		r.uint(uint64(a.Server))
	case logic.Post:
		r.open("post")
		if a.Peer < 0 {
			r.buf = append(r.buf, ",null"...)
		} else {
			r.uint(uint64(a.Peer))
		}
		r.text(hex.EncodeToString(a.Data))
	case logic.Vote:
		r.open("vote")
		r.uint(uint64(a.Build))
		r.uint(uint64(a.Stage))
		r.uint(uint64(verdictCode(a.Verdict)))
	case logic.Watch:
		r.open("stream_changes")
		r.buf = append(r.buf, ",true"...)
	case logic.Log:
		r.open("debug")
		r.text(a.Text)
	default:
		return fmt.Errorf("no wire form for action %T", a)
	}
	r.buf = append(r.buf, ']')
	return nil
}

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

func (r *Reply) open(name string) {
	r.buf = append(r.buf, '[', '"')
	r.buf = append(r.buf, name...)
	r.buf = append(r.buf, '"')
}

// text appends a JSON string; plain words, nearly all there are, skip the general encoder.
func (r *Reply) text(s string) {
	r.buf = append(r.buf, ',')
	plain := true
	for i := range len(s) {
		plain = plain && s[i] >= ' ' && s[i] < 0x7f && s[i] != '"' && s[i] != '\\'
	}
	if plain {
		r.buf = append(append(append(r.buf, '"'), s...), '"')
		return
	}
	quoted, _ := json.Marshal(s) // a string always has a JSON form
	r.buf = append(r.buf, quoted...)
}

func (r *Reply) uint(n uint64) {
	r.buf = append(r.buf, ',')
	r.buf = strconv.AppendUint(r.buf, n, 10)
}

func (r *Reply) millis(d time.Duration) {
	r.buf = append(r.buf, ',')
	r.buf = strconv.AppendFloat(r.buf, float64(d.Microseconds())/1000, 'f', -1, 64)
}
