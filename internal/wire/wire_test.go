package wire

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"merlinarch/logic"
)

const bootLine = `{"time_ms":8412.25,"parts":[{"who":3,"input":[["boot",18446744073709551615,` +
	`{"me":1,"peers_total":3,"zone":"b","unknown":{"x":[1]},"orgs":[{"name":"t","quota_rps":19.5,"share":0.4}],` +
	`"caps":{"max_attempts":6,"max_retry_after_ms":500.0,"peers":true,"probes":true,"cancel":true},` +
	`"client_habits":{"marks_retry":true},` +
	`"classes":[{"name":"c","repeat":"keyed","group":"zone","aim_ms":1500.0,"deadline_ms":4000.0,"window_ms":8000.0,` +
	`"worth":5.0,"late_value":0.2}],"rules":{"drain_grace_ms":1000.0,"cold_from":0.31},` +
	`"family_info":{"exposure_caps":[0.036,1.0],"counts":"per_lane","swap":"rolling","free":3.0,` +
	`"exposure_window_ms":4000.0,"complaint_share":0.3}}]]}]}`

func TestDecodeBoot(t *testing.T) {
	b, err := NewDecoder().Decode([]byte(bootLine))
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 8412250*time.Microsecond || len(b.Parts) != 1 || b.Parts[0].Instance != 3 {
		t.Fatalf("batch %+v", b)
	}
	boot := b.Parts[0].Inputs[0].Boot
	s := boot.Settings
	if boot.Seed != 1<<64-1 || s.Self != 1 || s.RouterCount != 3 || s.Zone != "b" || s.MaxAttempts != 6 || !s.CanPost ||
		!s.MarksRetry || s.DrainGrace != time.Second || s.ColdCapacity != 0.31 || s.Tenants[0].Quota != 19.5 {
		t.Errorf("seed %d, settings %+v", boot.Seed, s)
	}
	want := logic.Class{Name: "c", Repeatability: logic.Keyed, DedupScope: logic.ScopeZone, DedupWindow: 8 * time.Second,
		LatencyTarget: 1500 * time.Millisecond, Deadline: 4 * time.Second, Worth: 5, LateValue: 0.2}
	if s.Classes[0] != want {
		t.Errorf("class %+v, want %+v", s.Classes[0], want)
	}
	r := s.Rollout
	if len(r.StageCap) != 2 || r.StageCap[0] != 0.036 || !r.BudgetPerClass || !r.RollingUpdate || r.FreeAttempts != 3 ||
		r.ExposureWindow != 4*time.Second {
		t.Errorf("rollout %+v", r)
	}
}

func TestDecodeEvents(t *testing.T) {
	cases := []struct {
		line string
		want any
	}{
		{`["job_in","r-1","c","t",4569004829183723,240.5,12.0,3]`, logic.RequestArrived{ID: "r-1", Class: "c",
			Tenant: "t", Key: 4569004829183723, HasKey: true, TimeLeft: 240500 * time.Microsecond,
			ExpectedWork: 12 * time.Millisecond, MarkedRetry: true}},
		{`["job_in","r-1","c",0,null,240.5,null,0]`, nil},
		{`["job_in","r-1","c",null,null,1.0,12.0,64]`, logic.RequestArrived{ID: "r-1", Class: "c",
			TimeLeft: time.Millisecond}},
		{`["ack_first","r-1",2,7,1.0]`, logic.AnswerStarted{ID: "r-1", Attempt: 2}},
		{`["gone","r-1"]`, logic.ClientGone{ID: "r-1"}},
		{`["fired",9223372036854775807]`, logic.TimerFired{Token: 1<<63 - 1}},
		{`["message",2,"68692037"]`, logic.PeerMessage{From: 2, Data: []byte("hi 7")}},
		{`["release_state",42,2,0,1,200,0.125,310.0]`, logic.ReleaseStatus{Build: 42, Stage: 2, IsReply: true,
			Cap: 0.125, StageAge: 310 * time.Millisecond}},
		{`["release_state",null,null,null,1,409,null,null]`, logic.ReleaseStatus{IsReply: true, Reply: logic.VoteStale}},
		{`["release_state",42,2,3,0,200,0,0]`, logic.ReleaseStatus{Build: 42, Stage: 2, Phase: logic.Withdrawn}},
		{`["scorecard",42,"c",180,4,21.5,1250.0]`, logic.BuildTally{Build: 42, Class: "c", Count: 180, Failed: 4,
			MeanDuration: 21500 * time.Microsecond, Age: 1250 * time.Millisecond}},
		{`["objection",747639282,"c",2400.0]`, logic.AnswerDisputed{Server: 747639282, Class: "c",
			AttemptAge: 2400 * time.Millisecond}},
		{`["update",5,"X",0]`, logic.ServersListed{Failed: true}},
	}
	for _, c := range cases {
		b, err := NewDecoder().Decode([]byte(`{"time_ms":1,"parts":[{"who":0,"input":[` + c.line + `]}]}`))
		if c.want == nil {
			if err != nil {
				t.Errorf("%s: %v", c.line, err)
			}
			continue
		}
		if err != nil {
			t.Errorf("%s: %v", c.line, err)
			continue
		}
		if got := b.Parts[0].Inputs[0].Event; fmt.Sprintf("%#v", got) != fmt.Sprintf("%#v", c.want) {
			t.Errorf("%s: %#v, want %#v", c.line, got, c.want)
		}
	}
}

func TestDecodeOutcomesAndLoad(t *testing.T) {
	for code, want := range outcomesByCode {
		line := fmt.Sprintf(`{"time_ms":1,"parts":[{"who":0,"input":[["resolved","r",%d,18.5,51,2,true,`+
			`{"concurrent":3.5,"new_key":1}]]}]}`, code)
		b, err := NewDecoder().Decode([]byte(line))
		if err != nil {
			t.Fatal(err)
		}
		got := b.Parts[0].Inputs[0].Event.(logic.AttemptDone)
		if got.Outcome != want || got.Duration != 18500*time.Microsecond || got.Server != 51 || got.Attempt != 2 ||
			!got.RequestEnded || got.Load.InFlight != 3.5 || got.Load.Queue != -1 {
			t.Errorf("%d: %+v load %+v", code, got, got.Load)
		}
	}
}

// The simulator sends a server list once and refers to it by number in later batches.
func TestServerListsOutliveTheirBatch(t *testing.T) {
	entry := func(id int, mode string) string {
		return fmt.Sprintf(`[%d,"a","std",41,7,%q,1.5,6100.0]`, id, mode)
	}
	line := `{"time_ms":1,"parts":[{"who":0,"input":[["pool",0,[` + entry(1, "SERVING") + `]],["update",1,"C",0],` +
		`["pool",0,[` + entry(2, "DRAINING") + `,` + entry(3, "DELETED") + `]],["update",2,"D",0]]}]}`
	d := NewDecoder()
	b, err := d.Decode([]byte(line))
	if err != nil {
		t.Fatal(err)
	}
	first := b.Parts[0].Inputs[0].Event.(logic.ServersListed)
	second := b.Parts[0].Inputs[1].Event.(logic.ServersListed)
	if !first.Full || first.Servers[0] != (logic.Server{ID: 1, Zone: "a", Build: 41, Cell: 7, Weight: 1.5,
		Started: 6100 * time.Millisecond}) {
		t.Errorf("first %+v", first)
	}
	if second.Full || second.Servers[0].State != logic.Draining || second.Servers[1].State != logic.Gone {
		t.Errorf("second %+v", second)
	}
	if b, err = d.Decode([]byte(`{"time_ms":2,"parts":[{"who":1,"input":[["update",2,"F",0]]}]}`)); err != nil ||
		len(b.Parts[0].Inputs[0].Event.(logic.ServersListed).Servers) != 2 {
		t.Errorf("a server list is not kept for later batches: %+v, %v", b, err)
	}
}

// The error for an invalid line must say what is wrong with it.
func TestDecodeErrors(t *testing.T) {
	event := func(e string) string { return `{"time_ms":1,"parts":[{"who":0,"input":[` + e + `]}]}` }
	cases := []struct{ line, says string }{
		{`nonsense`, "not JSON"},
		{`[1]`, "not an object"},
		{`{"parts":[]}`, "time_ms"},
		{`{"time_ms":1}`, "parts"},
		{`{"time_ms":1,"parts":[{"input":[]}]}`, "who"},
		{`{"time_ms":1,"parts":[{"who":1}]}`, "input"},
		{event(`7`), "not an array"},
		{event(`[]`), "empty"},
		{event(`["strange"]`), `unknown event "strange"`},
		{event(`["fired"]`), "value 0 is missing"},
		{event(`["fired","x"]`), "not a number"},
		{event(`["resolved","r",299,1,2,0,true,null]`), "unknown outcome 299"},
		{event(`["message",1,"zz"]`), "message"},
		{event(`["update",1,"D",9]`), "no pool 9"},
		{event(`["update",1,"Q",0]`), "update: unknown how"},
		{event(`["pool",0,[[1,"a","k",1,0,"ASLEEP",1,null]]]`), "unknown mode"},
		{event(`["release_state",1,0,9,0,200,0,0]`), "unknown standing"},
		{event(`["boot",1,{"classes":[{"name":"c","repeat":"often"}]}]`), "unknown repeat"},
	}
	for _, c := range cases {
		if _, err := NewDecoder().Decode([]byte(c.line)); err == nil || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: error %v, want one saying %q", c.line, err, c.says)
		}
	}
}

func TestEncodeActions(t *testing.T) {
	cases := []struct {
		action logic.Action
		want   string
	}{
		{logic.Send{ID: "r-1", Server: 51530247, Timeout: 80 * time.Millisecond}, `["place","r-1",51530247,80]`},
		{logic.Send{ID: "r-1", Server: 5}, `["place","r-1",5,0]`},
		{logic.Cancel{ID: "r-1", Attempt: 2}, `["withdraw","r-1",2]`},
		{logic.Refuse{ID: "r-1", RetryAfter: 1500 * time.Microsecond}, `["refuse","r-1",1.5]`},
		{logic.Fail{ID: "r-1"}, `["respond_error","r-1"]`},
		{logic.SetTimer{After: 500 * time.Millisecond, Token: 77}, `["timer",500,77]`},
		{logic.Probe{Server: 9}, `["ask_load",9]`},
		{logic.Close{Server: 9}, `["close",9]`},
		{logic.Post{Peer: -1, Data: []byte("hi 7")}, `["post",null,"68692037"]`},
		{logic.Post{Peer: 2}, `["post",2,""]`},
		{logic.Vote{Build: 42, Stage: 2, Verdict: logic.VoteAdvance}, `["vote",42,2,1]`},
		{logic.Vote{Build: 42, Stage: 2, Verdict: logic.VoteHold}, `["vote",42,2,2]`},
		{logic.Vote{Build: 42, Verdict: logic.VoteRollBack}, `["vote",42,0,3]`},
		{logic.Vote{Build: 42}, `["vote",42,0,0]`},
		{logic.Watch{}, `["stream_changes",true]`},
		{logic.Log{Text: "a \"b\"\n\x01é"}, `["debug","a \"b\"\n\u0001é"]`},
	}
	for _, c := range cases {
		var r Reply
		r.Reset()
		if err := r.Add(3, []logic.Action{c.action}); err != nil {
			t.Fatal(err)
		}
		if got, want := string(r.Line()), `{"parts":[{"who":3,"decisions":[`+c.want+"]}]}\n"; got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
	var r Reply
	r.Reset()
	if err := r.Add(3, nil); err != nil || string(r.Line()) != "{\"parts\":[]}\n" {
		t.Error("an instance without actions is not left out")
	}
	if err := r.Add(3, []logic.Action{"x"}); err == nil {
		t.Error("an unknown action is not an error")
	}
}
