package clients

import (
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"merlinarch/internal/testwait"
)

// A shortage is logged once when it begins and once when it is over, however often something is short in between.
func TestShortageLog(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	l := shortageLog{log: zap.New(core)}
	for range 3 {
		l.note("descriptors")
	}
	testwait.Until(t, "the end of the shortage", func() bool { return logs.Len() == 2 })
	if events := logs.All()[1].ContextMap()["events"]; events != int64(3) {
		t.Errorf("%v events, want 3", events)
	}
}
