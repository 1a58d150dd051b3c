package quota

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// When a minority of the nodes is cut off from the others but not from the
// store, its owners must give their pools back, as most nodes can't reach them.
// Owners on the majority side keep theirs.
func TestIsolationByUnreachableOwners(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name            string
		reached, failed int
		age             time.Duration
		want            bool
	}{
		{"minority side", 2, 5, 0, true},
		{"majority side", 5, 3, 0, false},
		{"one dead owner of two", 0, 1, 0, false},
		{"half unreachable", 3, 3, 0, false},
		{"contacts too old", 0, 5, 2 * contactWindow, false},
		{"no contacts", 0, 0, 0, false},
	} {
		owners := contacts{}
		for i := range c.reached + c.failed {
			owners[state.MemberID(fmt.Sprint(i))] = contact{at: now.Add(-c.age), reached: i < c.reached}
		}
		if got := owners.mostUnreachable(now); got != c.want {
			t.Errorf("%s: mostUnreachable = %t, want %t", c.name, got, c.want)
		}
	}
}

// A refused connection shows that the machine is reachable, so an ended process
// does not count towards isolation.
func TestPeerReachedByError(t *testing.T) {
	ended, stop := context.WithCancel(t.Context())
	stop()
	for _, c := range []struct {
		ctx  context.Context
		err  error
		want bool
	}{
		{t.Context(), nil, true},
		{t.Context(), fmt.Errorf("%w: %w", kernel.ErrNotSent, syscall.ECONNREFUSED), true},
		{t.Context(), kernel.ErrNotSent, false},
		{ended, context.DeadlineExceeded, false},
		{t.Context(), errors.New("not the owner"), true},
	} {
		if got := peerReached(c.ctx, c.err); got != c.want {
			t.Errorf("peerReached(%v) = %t, want %t", c.err, got, c.want)
		}
	}
}

// Nodes that start at the same time know no other members yet and would all
// join the group. Each waits for settleTime first; a node that is alone joins
// after that.
func TestStartingNodesWaitBeforeTheyAreCandidates(t *testing.T) {
	started := time.Unix(1_700_000_000, 0)
	p := &Plugin{host: &kernel.Host{Self: state.Member{ID: "n1#1"}}, startedAt: started}
	alone := &state.Snapshot{Members: map[state.MemberID]state.Member{"n1#1": {}}}
	if p.isCandidate(alone, started.Add(settleTime/2)) {
		t.Error("candidate before settleTime has passed")
	}
	if !p.isCandidate(alone, started.Add(settleTime)) {
		t.Error("single node is no candidate after settleTime")
	}
}
