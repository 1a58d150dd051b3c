package state

import (
	"testing"
	"time"
)

// TestAdoptedEventsFollowLogOrder checks that a node that adopts a state gets the
// announcements in log order, whatever the IDs.
func TestAdoptedEventsFollowLogOrder(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	reader := NewFold(parseAny)
	for i, id := range []MemberID{"c", "a", "b"} {
		m := Member{
			ID: id, Service: "s", Domain: "d", ControlAddr: "127.0.0.1:1", CallAddr: "127.0.0.1:1",
			CallerAddr: "127.0.0.1:1",
		}
		m.ControlAddr = "127.0.0.1:" + string(rune('1'+i))
		data, err := Encode(AnnounceRecord{Member: m})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := reader.Apply(uint64(i), data, now); err != nil {
			t.Fatal(err)
		}
	}
	state, err := reader.Export()
	if err != nil {
		t.Fatal(err)
	}
	adopter := NewFold(parseAny)
	if err := adopter.Adopt(state, now); err != nil {
		t.Fatal(err)
	}
	var order []MemberID
	for _, e := range adopter.Snapshot().Events {
		if n := len(order); n == 0 || order[n-1] != e.Member.ID {
			order = append(order, e.Member.ID)
		}
	}
	if got := order[len(order)-3:]; got[0] != "c" || got[1] != "a" || got[2] != "b" {
		t.Errorf("events in the order %v, want [c a b]", order)
	}
}
