package clients

import (
	"fmt"
	"testing"
	"time"
)

// The id of an open request, and of one that may run, can't be claimed. The number of ids that are kept is
// bounded, and they are free after some time.
func TestRequestIDs(t *testing.T) {
	ids := newRequestIDs(time.Hour)
	if !ids.claim("a") || ids.claim("a") {
		t.Error("an open id was claimed")
	}
	if ids.release("a", false); !ids.claim("a") {
		t.Error("the id of a request that has ended can't be claimed")
	}
	if ids.release("a", true); ids.claim("a") {
		t.Error("the id of a request that may run was claimed")
	}
	for i := range 3 * maxSpentIDs {
		id := fmt.Sprint("x", i)
		if !ids.claim(id) {
			t.Fatalf("%s can't be claimed", id)
		}
		ids.release(id, true)
	}
	if len(ids.spent) > maxSpentIDs || len(ids.oldest) > maxSpentIDs || len(ids.open) != 0 {
		t.Errorf("%d ids are kept in a queue of %d, %d are open", len(ids.spent), len(ids.oldest), len(ids.open))
	}
	if ids.claim(fmt.Sprint("x", 3*maxSpentIDs-1)) {
		t.Error("the newest id was claimed")
	}
	short := newRequestIDs(time.Millisecond)
	short.claim("a")
	short.release("a", true)
	time.Sleep(2 * time.Millisecond)
	if !short.claim("a") {
		t.Error("the id is not free after its time")
	}
}
