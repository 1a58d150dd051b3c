package membership

import (
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
	"github.com/gooseberryflow/gooseberryflow/streamlog/standin"
)

// removalTarget is the time within which a failed member leaves the roster.
const removalTarget = 3 * time.Minute

func TestFailedMemberIsRemovedOnce(t *testing.T) {
	f := newFleet(t, 40)
	f.startNodes(24, "west-a", "west-b", "west-c")
	dead := f.nodes[4]
	dead.down = true
	f.advance(DefaultSuspectAfter)
	if n := len(logRecords[state.EndRecord](f)); n != 0 {
		t.Fatalf("%d removals before the suspicion is old enough", n)
	}
	f.advance(removalTarget)
	for _, n := range f.nodes {
		if n != dead && len(n.Snapshot().Members) != 23 {
			t.Fatalf("%s knows %d members", n.member.ID, len(n.Snapshot().Members))
		}
	}
	if ends := logRecords[state.EndRecord](f); len(ends) != 1 {
		t.Errorf("%d records of one removal", len(ends))
	}
	// The node was only paused and finds that its incarnation has ended.
	dead.down = false
	f.advance(3 * time.Second)
	if !dead.ended {
		t.Error("the removed node keeps running")
	}
	if n := len(f.nodes[0].Snapshot().Members); n != 23 {
		t.Errorf("%d members after the removed node came back", n)
	}
}

func TestPartitionWithoutMajorityRemovesNoMember(t *testing.T) {
	for name, isolated := range map[string]func(n *testNode) bool{
		"domain isolated": func(n *testNode) bool { return n.member.Domain == "west-b" },
		"even halves":     func(n *testNode) bool { return n.member.ControlAddr < "127.0.0.1:10004" },
	} {
		f := newFleet(t, 41)
		f.startNodes(8, "west-a", "west-b")
		f.partitioned = func(a, b *testNode) bool { return isolated(a) != isolated(b) }
		f.advance(2 * removalTarget)
		if n := len(logRecords[state.EndRecord](f)); n != 0 {
			t.Errorf("%s: %d members removed", name, n)
		}
	}
}

func TestMinorityPartitionRemovesNoMember(t *testing.T) {
	f := newFleet(t, 42)
	f.startNodes(9, "west-a")
	// Enough nodes for the removal quorum, but no majority.
	minority := map[state.MemberID]bool{}
	for _, n := range f.nodes[:maxRemovalQuorum+1] {
		minority[n.member.ID] = true
	}
	f.partitioned = func(a, b *testNode) bool { return minority[a.member.ID] != minority[b.member.ID] }
	f.advance(2 * removalTarget)
	for _, e := range logRecords[state.EndRecord](f) {
		if minority[e.By] || !minority[e.ID] {
			t.Errorf("%s removed %s", e.By, e.ID)
		}
	}
}

func TestSuspicionNeedsRepeatedFailuresOverTime(t *testing.T) {
	d := newDetector(state.Member{ID: "self"}, Intervals{}.withDefaults())
	start := time.UnixMilli(1_800_000_000_000)
	for range minSuspectFailures {
		d.observe("peer", false, start)
	}
	if d.suspected("peer", start.Add(DefaultSuspectAfter-1)) {
		t.Error("suspected too early")
	}
	if !d.suspected("peer", start.Add(DefaultSuspectAfter)) {
		t.Error("not suspected")
	}
	d.observe("peer", true, start)
	for range minSuspectFailures - 1 {
		d.observe("peer", false, start)
	}
	if d.suspected("peer", start.Add(DefaultSuspectAfter)) {
		t.Error("suspected after too few failures since the last response")
	}
}

func TestSingleSuspicionRemovesNoMember(t *testing.T) {
	f := newFleet(t, 43)
	f.startNodes(6, "west-a")
	a, b := f.nodes[0], f.nodes[1]
	f.partitioned = func(x, y *testNode) bool { return x == a && y == b }
	f.advance(2 * removalTarget)
	if n := len(logRecords[state.EndRecord](f)); n != 0 {
		t.Errorf("%d members removed because of one bad link", n)
	}
}

func TestNoMemberIsRemovedDuringOutage(t *testing.T) {
	f := newFleet(t, 44)
	f.startNodes(5, "west-a")
	f.log.SetFaults(standin.Faults{Down: true})
	f.nodes[0].down = true
	f.advance(removalTarget)
	if n := len(f.nodes[1].Snapshot().Members); n != 5 {
		t.Fatalf("%d members: the roster changed without the log", n)
	}
	f.log.SetFaults(standin.Faults{})
	f.advance(removalTarget)
	if n := len(f.nodes[1].Snapshot().Members); n != 4 {
		t.Fatalf("%d members after the outage", n)
	}
}

func TestStatusIncludesRelayedPositions(t *testing.T) {
	f := newFleet(t, 46)
	f.startNodes(3, "west-a")
	f.mustSubmit(f.nodes[0], "one", 0)
	a, c := f.nodes[0], f.nodes[2]
	f.partitioned = func(x, y *testNode) bool { return x == a && y == c || x == c && y == a }
	f.advance(DefaultSuspectAfter)
	for _, st := range a.Status() {
		if st.Version != 1 || st.Age > 15*time.Second {
			t.Errorf("%+v", st)
		}
	}
}

func TestStatusShowsVersionsAndLag(t *testing.T) {
	f := newFleet(t, 45)
	f.startNodes(8, "west-a", "west-b")
	f.mustSubmit(f.nodes[0], "one", 0)
	f.advance(30 * time.Second)
	behind := f.nodes[7]
	behind.down = true
	f.mustSubmit(f.nodes[0], "two", 1)
	f.advance(20 * time.Second)
	status := f.nodes[0].Status()
	if len(status) != 8 {
		t.Fatalf("%d members in the status", len(status))
	}
	for _, st := range status {
		isBehind := st.Member.ID == behind.member.ID
		want := uint64(2)
		if isBehind {
			want = 1
		}
		if !st.Known || st.Version != want || (st.Lag > 0) != isBehind || isBehind && st.Age < 15*time.Second {
			t.Errorf("%+v", st)
		}
	}
}
