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

// A member joins before the first configuration, and the notice about its join arrives
// after it: the notice must be applied, so that the new owner's ranges start where the
// old ones end, without a gap. Under a later version it must not be applied.
func TestNoticeFromBeforeFirstConfigurationIsApplied(t *testing.T) {
	at := time.UnixMilli(10_000_000)
	a := state.Member{ID: "a", Domain: "d", Service: "s"}
	b := state.Member{ID: "b", Domain: "d", Service: "s"}
	oldOwner := NewTable(a, DefaultSettings())
	oldOwner.Update(joinSnapshot(0, at, a), at)
	notices := oldOwner.Update(joinSnapshot(0, at, a, b), at)
	if len(notices) != 1 || notices[0].To.ID != b.ID {
		t.Fatalf("notices %+v, want one to b", notices)
	}
	newOwner := NewTable(b, DefaultSettings())
	newOwner.Update(joinSnapshot(0, at, a, b), at)
	newOwner.Update(joinSnapshot(1, at, a, b), at)
	if _, ok := newOwner.ApplyNotice(notices[0].Notice); !ok {
		t.Error("the notice of version 0 was refused under version 1")
	}
	laterVersion := NewTable(b, DefaultSettings())
	laterVersion.Update(joinSnapshot(0, at, a, b), at)
	laterVersion.Update(joinSnapshot(2, at, a, b), at)
	if _, ok := laterVersion.ApplyNotice(notices[0].Notice); ok {
		t.Error("the notice of version 0 was applied under version 2")
	}
}
