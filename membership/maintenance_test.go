package membership

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

func TestOnlyRefreshOfCurrentVersionCounts(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	m := newMaintenance(start, 0, time.Minute)
	m.observeRecord(state.RefreshRecord{Version: 2}, 3, start)
	m.observeRecord(state.WithdrawRecord{}, 3, start)
	if !m.refreshDue.Equal(start) {
		t.Error("the refresh of an older version postponed the refresh of the current one")
	}
	m.observeRecord(state.RefreshRecord{Version: 3}, 3, start)
	if !m.refreshDue.Equal(start.Add(time.Minute)) {
		t.Error("the refresh of the current version did not postpone the next one")
	}
}

func TestRenewedLogContactRestartsRankWaits(t *testing.T) {
	f := newFleet(t, 90)
	n := f.startNode("west-a")
	f.now = f.now.Add(time.Minute)
	n.recordLogContact(0, f.now)
	n.publish()
	renewed := f.now
	f.now = f.now.Add(time.Second)
	n.recordLogContact(0, f.now)
	if !n.maintenance.logReachableSince.Equal(renewed) || !n.maintenance.waitStart(renewed.Add(-time.Hour)).Equal(renewed) {
		t.Fatalf("waits start at %v, want %v", n.maintenance.logReachableSince, renewed)
	}
}
