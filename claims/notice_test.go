package claims

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// joinSnapshot returns the state after the given members have joined.
func joinSnapshot(version uint64, at time.Time, members ...state.Member) *state.Snapshot {
	s := &state.Snapshot{Offset: uint64(len(members)), Version: version, LogContact: at, Members: map[state.MemberID]state.Member{}}
	if version > 0 {
		s.Config = &config.Config{FailureDomains: []string{"d"}}
	}
	for i, m := range members {
		s.Members[m.ID] = m
		s.Events = append(s.Events, state.RosterEvent{Seq: uint64(i + 1), Member: m, Observed: at})
	}
	return s.Index()
}

// TestNoticesCrossTheFirstConfiguration has a member join before the first
// configuration, while the notice about it arrives after that: the new owner's
// ranges must start where the old ones end, without a gap.
func TestNoticesCrossTheFirstConfiguration(t *testing.T) {
	at := time.UnixMilli(10_000_000)
	a := state.Member{ID: "a", Domain: "d", Service: "s"}
	b := state.Member{ID: "b", Domain: "d", Service: "s"}
	old := NewTable(a, DefaultSettings())
	old.Update(joinSnapshot(0, at, a), at)
	notices := old.Update(joinSnapshot(0, at, a, b), at)
	if len(notices) != 1 || notices[0].To.ID != b.ID {
		t.Fatalf("notices %+v, want one to b", notices)
	}
	joined := NewTable(b, DefaultSettings())
	joined.Update(joinSnapshot(0, at, a, b), at)
	joined.Update(joinSnapshot(1, at, a, b), at)
	if _, ok := joined.Closed(notices[0].Notice); !ok {
		t.Error("the notice of version 0 was refused under version 1")
	}
	later := NewTable(b, DefaultSettings())
	later.Update(joinSnapshot(0, at, a, b), at)
	later.Update(joinSnapshot(2, at, a, b), at)
	if _, ok := later.Closed(notices[0].Notice); ok {
		t.Error("the notice of version 0 was taken under version 2")
	}
}
