package membership

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

func TestOnlyARefreshOfTheVersionInForceCounts(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	d := newDuties(start, 0, time.Minute)
	d.observe(state.RefreshRecord{Version: 2}, 3, start)
	d.observe(state.WithdrawRecord{}, 3, start)
	if !d.refreshDue.Equal(start) {
		t.Error("an older version's refresh, read again, put off this one's")
	}
	d.observe(state.RefreshRecord{Version: 3}, 3, start)
	if !d.refreshDue.Equal(start.Add(time.Minute)) {
		t.Error("a refresh did not count")
	}
}

func TestRenewedContactRestartsTheWaits(t *testing.T) {
	f := newFleet(t, 90)
	n := f.start("west-a")
	f.now = f.now.Add(time.Minute)
	n.confirm(0, f.now)
	n.publish()
	renewed := f.now
	f.now = f.now.Add(time.Second)
	n.confirm(0, f.now)
	if !n.duties.reachable.Equal(renewed) || !n.duties.since(renewed.Add(-time.Hour)).Equal(renewed) {
		t.Fatalf("waits begin at %v, want %v", n.duties.reachable, renewed)
	}
}
