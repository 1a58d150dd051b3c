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
