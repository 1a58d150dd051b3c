package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// clockTicks is the unit of CPU times in /proc, per second.
	clockTicks  = 100
	idleSeconds = 20
	costCalls   = 20000
	costCallers = 32
	// costPause keeps the callers within the customer's rate.
	costPause = 10 * time.Millisecond
)

// usage is what one daemon has used so far.
type usage struct {
	cpuSeconds    float64
	residentMB    float64
	controlBytes  float64
	controlFrames float64
}

func (d *daemon) usage(tb testing.TB) usage {
	tb.Helper()
	pid := d.command.Process.Pid
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		tb.Fatal(err)
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	pages, _ := strconv.ParseFloat(fields[21], 64)
	var vars map[string]any
	r := send(&daemon{caller: d.admin}, request{method: http.MethodGet, path: "/debug/vars"})
	if err := json.Unmarshal(r.body, &vars); err != nil {
		tb.Fatal(err)
	}
	number := func(name string) float64 { n, _ := vars[name].(float64); return n }
	return usage{
		cpuSeconds:    (user + system) / clockTicks,
		residentMB:    pages * float64(os.Getpagesize()) / (1 << 20),
		controlBytes:  number("control_bytes_sent_total") + number("control_bytes_received_total"),
		controlFrames: number("control_frames_sent_total") + number("control_frames_received_total"),
	}
}

// BenchmarkIdleFleet reports what control costs each node in fleets of several
// sizes: share of a core, memory, bytes and frames a second.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f := newFleet(b)
			domains := []string{"a", "b", "c", "d", "e", "f"}
			first := f.start("logbook", "a", daemonOptions{})
			for i := 1; i < size; i++ {
				service := []string{"logbook", "booker"}[i%2]
				f.start(service, domains[i%len(domains)], daemonOptions{First: []string{first.control}})
			}
			f.settle(domains...)
			for b.Loop() {
				reportIdle(b, f)
			}
		})
	}
}

func reportIdle(b *testing.B, f *fleet) {
	var before []usage
	for _, d := range f.daemons {
		before = append(before, d.usage(b))
	}
	time.Sleep(idleSeconds * time.Second)
	var sum usage
	for i, d := range f.daemons {
		after := d.usage(b)
		sum.cpuSeconds += after.cpuSeconds - before[i].cpuSeconds
		sum.controlBytes += after.controlBytes - before[i].controlBytes
		sum.controlFrames += after.controlFrames - before[i].controlFrames
		sum.residentMB += after.residentMB
	}
	n := float64(len(f.daemons))
	b.ReportMetric(100*sum.cpuSeconds/n/idleSeconds, "%core/node")
	b.ReportMetric(sum.residentMB/n, "MB/node")
	b.ReportMetric(sum.controlBytes/n/idleSeconds, "B/s/node")
	b.ReportMetric(sum.controlFrames/n/idleSeconds, "frames/s/node")
}

// BenchmarkCallCost reports the CPU time that one call costs its entry node and
// its owner node.
func BenchmarkCallCost(b *testing.B) {
	f := newFleet(b)
	entry := f.start("logbook", "a", daemonOptions{})
	owner := f.start("booker", "a", daemonOptions{First: []string{entry.control}, Slots: 200})
	f.settle("a")
	key, _ := f.issueKey(entry, "farm")
	look := request{method: http.MethodGet, path: "/booker/bookings/1", key: key}
	eventually(b, "calls are served", func() bool { return send(entry, look).whole("1") })
	for b.Loop() {
		entryBefore := entry.usage(b)
		ownerBefore := owner.usage(b)
		served := sendMany(entry, look)
		per := 1e6 / float64(served)
		b.ReportMetric((entry.usage(b).cpuSeconds-entryBefore.cpuSeconds)*per, "entry-us/call")
		b.ReportMetric((owner.usage(b).cpuSeconds-ownerBefore.cpuSeconds)*per, "owner-us/call")
		b.ReportMetric(entry.usage(b).residentMB, "entry-MB")
		b.ReportMetric(float64(served)/costCalls, "served")
	}
}

// sendMany sends costCalls requests from costCallers callers and returns how
// many got a whole answer.
func sendMany(entry *daemon, q request) int {
	served := make([]int, costCallers)
	var wg sync.WaitGroup
	for c := range costCallers {
		wg.Go(func() {
			for range costCalls / costCallers {
				if send(entry, q).whole("1") {
					served[c]++
				}
				time.Sleep(costPause)
			}
		})
	}
	wg.Wait()
	total := 0
	for _, n := range served {
		total += n
	}
	return total
}
