package settings

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"merlinarch/logic"
)

// What Encode writes, Decode reads as it was.
func TestEncodeDecode(t *testing.T) {
	want := logic.Settings{Self: 2, Peers: 5, Zone: "a", MaxAttempts: 6, MaxOpen: 77, MaxRetryAfter: 500 * time.Millisecond,
		MarksRetry: true, CanProbe: true, CanPost: true, CanCancel: true, AskDiscovery: true, AskWithin: time.Second,
		Tick: 5 * time.Millisecond, DrainGrace: time.Second, ConnIdle: 30 * time.Second, ColdFrom: 0.35,
		ColdTime: 4 * time.Second, FallMultiple: 2, FallTime: 1500 * time.Millisecond, CrossZoneCost: 0.12, HandshakeCost: 0.08,
		OverShare: 0.2,
		Classes: []logic.Class{{Name: "r", Aim: time.Second, Deadline: 2 * time.Second, Worth: 1, LateValue: 0.2},
			{Name: "k", Repeat: logic.Keyed, Scope: logic.ScopeZone, DedupWindow: 8 * time.Second, Aim: time.Second,
				Deadline: 2 * time.Second, Worth: 5},
			{Name: "u", Repeat: logic.Unsafe, Aim: time.Second, Deadline: 2 * time.Second, Worth: 3}},
		Tenants: []logic.Tenant{{Name: "t", Quota: 12.5, Share: 0.25}},
		Rollout: logic.Rollout{StageShare: []float64{0.1, 1}, StageCap: []float64{0.2, 1}, Window: 4 * time.Second, Free: 3,
			PerClass: true, ClosedStages: 1, ForwardOnly: true, Rolling: true, WarmKeys: true, MinStage: 3 * time.Second,
			VoteTTL: 4 * time.Second, VoteTimeout: 800 * time.Millisecond, VotesPerSec: 50, Clocked: true}}
	text, err := json.Marshal(Encode(want))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(fastjson.MustParseBytes(text))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n got %+v\nwant %+v", err, got, want)
	}
}
