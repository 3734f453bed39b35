package settings

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/valyala/fastjson"

	"merlinarch/logic"
)

// Decode restores the settings that Encode writes.
func TestEncodeDecode(t *testing.T) {
	want := logic.Settings{Self: 2, RouterCount: 5, Zone: "a", MaxAttempts: 6, MaxOpenRequests: 77, MaxRetryAfter: 500 * time.Millisecond,
		MarksRetry: true, CanProbe: true, CanPost: true, CanCancel: true, WatchDiscovery: true, WatchWithin: time.Second,
		ClockResolution: 5 * time.Millisecond, DrainGrace: time.Second, ConnIdleTimeout: 30 * time.Second, ColdCapacity: 0.35,
		WarmUpTime: 4 * time.Second, OverloadMultiple: 2, OverloadTime: 1500 * time.Millisecond, CrossZoneCost: 0.12, HandshakeCost: 0.08,
		OverShareWorth: 0.2,
		Classes: []logic.Class{{Name: "r", LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 1, LateValue: 0.2},
			{Name: "k", Repeatability: logic.Keyed, DedupScope: logic.ScopeZone, DedupWindow: 8 * time.Second, LatencyTarget: time.Second,
				Deadline: 2 * time.Second, Worth: 5},
			{Name: "u", Repeatability: logic.Unsafe, LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 3}},
		Tenants: []logic.Tenant{{Name: "t", Quota: 12.5, Share: 0.25}},
		Rollout: logic.Rollout{StageShare: []float64{0.1, 1}, StageCap: []float64{0.2, 1}, ExposureWindow: 4 * time.Second, FreeAttempts: 3,
			BudgetPerClass: true, ClosedStages: 1, ForwardOnly: true, RollingUpdate: true, WarmKeys: true, MinStageTime: 3 * time.Second,
			VoteTTL: 4 * time.Second, VoteTimeout: 800 * time.Millisecond, VotesPerSec: 50, AutoAdvance: true}}
	text, err := json.Marshal(Encode(want))
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(fastjson.MustParseBytes(text))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v\n got %+v\nwant %+v", err, got, want)
	}
}
