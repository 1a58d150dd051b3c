package report

import (
	"fmt"
	"math"
	"strings"
	"sync"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func objective(string) float64 { return 0.99 }

func TestRequestsLeaveWindows(t *testing.T) {
	r := NewRecorder()
	for i := range 100 {
		r.Observe("golf", "maps", i%10 != 0, 20*time.Millisecond, start)
	}
	tests := []struct {
		after time.Duration
		want  [windowCount]uint64
	}{
		{0, [windowCount]uint64{100, 100, 100}},
		{5 * time.Minute, [windowCount]uint64{100, 100, 100}},
		{6 * time.Minute, [windowCount]uint64{0, 100, 100}},
		{66 * time.Minute, [windowCount]uint64{0, 0, 100}},
	}
	for _, test := range tests {
		row := r.Report(start.Add(test.after), objective).Rows[0]
		for i, want := range test.want {
			if row.Windows[i].Total != want {
				t.Errorf("after %s, the %s window has %d requests, want %d", test.after, Windows[i], row.Windows[i].Total, want)
			}
		}
	}
	if rows := r.Report(start.Add(7*time.Hour), objective).Rows; len(rows) != 0 {
		t.Errorf("%d rows without requests in any window remain", len(rows))
	}
}

func TestBurnIsErrorRatioOverBudget(t *testing.T) {
	c := Counts{Total: 1000, Failed: 20, LatencySum: 980 * time.Millisecond}
	if got := c.Burn(0.99); math.Abs(got-2) > 1e-9 {
		t.Errorf("burn rate %v, want 2", got)
	}
	if c.Burn(0) != 0 || (Counts{}).Burn(0.99) != 0 {
		t.Error("burn rate without an objective or requests is not zero")
	}
	if got := c.MeanLatency(); got != time.Millisecond {
		t.Errorf("mean latency %s, want 1ms", got)
	}
}

func TestAlertRequiresBothWindows(t *testing.T) {
	bad, good := Counts{Total: 100, Failed: 20}, Counts{Total: 100}
	moderate := Counts{Total: 100, Failed: 7}
	tests := []struct {
		windows [windowCount]Counts
		want    Alert
	}{
		{[windowCount]Counts{bad, bad, good}, AlertFast},
		{[windowCount]Counts{good, bad, good}, AlertNone},
		{[windowCount]Counts{bad, good, good}, AlertNone},
		{[windowCount]Counts{good, moderate, moderate}, AlertSlow},
		{[windowCount]Counts{good, good, moderate}, AlertNone},
	}
	for i, test := range tests {
		row := Row{Objective: 0.99, Windows: test.windows}
		if got := row.Alert(); got != test.want {
			t.Errorf("case %d: alert %q, want %q", i, got, test.want)
		}
	}
}

func TestMergeSumsNodes(t *testing.T) {
	a, b := NewRecorder(), NewRecorder()
	a.Observe("golf", "maps", true, time.Millisecond, start)
	b.Observe("golf", "maps", false, time.Millisecond, start)
	b.Observe("", "status", true, time.Millisecond, start)
	m := Merge(a.Report(start, objective), b.Report(start, objective))
	if len(m.Rows) != 2 || m.Rows[1].Windows[0] != (Counts{Total: 2, Failed: 1, LatencySum: time.Millisecond}) {
		t.Fatalf("merged %+v", m)
	}
	var text strings.Builder
	if err := m.WriteTable(&text); err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(text.String(), "golf      maps    99%        50.00") {
		t.Errorf("table:\n%s", text.String())
	}
}

func TestConcurrentObserveCountsEveryRequest(t *testing.T) {
	const workers, each = 8, 500
	r := NewRecorder()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for i := range each {
				r.Observe("golf", fmt.Sprint(i), true, 0, start)
			}
		})
	}
	wg.Wait()
	var total uint64
	for _, row := range r.Report(start, objective).Rows {
		total += row.Windows[0].Total
	}
	if total != workers*each {
		t.Errorf("%d requests counted, want %d", total, workers*each)
	}
}

func TestSeriesCountIsLimited(t *testing.T) {
	const extra = 100
	r := NewRecorder()
	for i := range MaxSeries + extra {
		r.Observe(fmt.Sprint(i), "maps", true, 0, start)
	}
	rows := r.Report(start, objective).Rows
	if len(rows) != MaxSeries+1 {
		t.Fatalf("%d rows, want %d", len(rows), MaxSeries+1)
	}
	if rows[0].Customer != OtherCustomers || rows[0].Windows[0].Total != extra {
		t.Errorf("first row %+v, want %d requests of OtherCustomers", rows[0], extra)
	}
	later := start.Add(24 * time.Hour)
	r.Report(later, objective)
	r.Observe("golf", "maps", true, 0, later)
	if rows := r.Report(later, objective).Rows; len(rows) != 1 || rows[0].Customer != "golf" {
		t.Errorf("idle series still count towards MaxSeries: %+v", rows)
	}
}

func BenchmarkObserve(b *testing.B) {
	r := NewRecorder()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Observe("golf", "maps", true, time.Millisecond, start)
		}
	})
}
