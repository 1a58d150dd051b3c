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
	// clockTicks is the number of ticks per second of CPU times in /proc.
	clockTicks  = 100
	idleSeconds = 20
	costCalls   = 20000
	costCallers = 32
	// costPause keeps the callers within the customer's rate.
	costPause = 10 * time.Millisecond
)

// usage is a daemon's use of resources since its start.
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
	r := send(&daemon{callerAddr: d.adminAddr}, request{method: http.MethodGet, path: "/debug/vars"})
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

// BenchmarkIdleFleet reports the cost of control traffic for each node in idle fleets
// of several sizes: share of a core, memory, bytes and frames per second.
func BenchmarkIdleFleet(b *testing.B) {
	for _, size := range []int{8, 16, 32, 64} {
		b.Run(fmt.Sprintf("nodes=%d", size), func(b *testing.B) {
			f := newFleet(b)
			domains := []string{"a", "b", "c", "d", "e", "f"}
			first := f.start("logbook", "a", daemonOptions{})
			for i := 1; i < size; i++ {
				service := []string{"logbook", "booker"}[i%2]
				f.start(service, domains[i%len(domains)], daemonOptions{SeedPeers: []string{first.controlAddr}})
			}
			f.applyDefaultConfig(domains...)
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

// BenchmarkCallCost reports the CPU time that a call takes at its entry node and at
// its owner node.
func BenchmarkCallCost(b *testing.B) {
	f := newFleet(b)
	entry := f.start("logbook", "a", daemonOptions{})
	owner := f.start("booker", "a", daemonOptions{SeedPeers: []string{entry.controlAddr}, Slots: 200})
	f.applyDefaultConfig("a")
	key, _ := f.issueKey(entry, "farm")
	lookup := request{method: http.MethodGet, path: "/booker/bookings/1", key: key}
	eventually(b, "calls are served", func() bool { return send(entry, lookup).complete("1") })
	for b.Loop() {
		entryBefore := entry.usage(b)
		ownerBefore := owner.usage(b)
		served := sendMany(entry, lookup)
		microsPerCall := 1e6 / float64(served)
		b.ReportMetric((entry.usage(b).cpuSeconds-entryBefore.cpuSeconds)*microsPerCall, "entry-us/call")
		b.ReportMetric((owner.usage(b).cpuSeconds-ownerBefore.cpuSeconds)*microsPerCall, "owner-us/call")
		b.ReportMetric(entry.usage(b).residentMB, "entry-MB")
		b.ReportMetric(float64(served)/costCalls, "served")
	}
}

// sendMany sends costCalls requests from costCallers callers and returns how many
// got a complete response.
func sendMany(entry *daemon, req request) int {
	served := make([]int, costCallers)
	var wg sync.WaitGroup
	for c := range costCallers {
		wg.Go(func() {
			for range costCalls / costCallers {
				if send(entry, req).complete("1") {
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
