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

// Pattern: a third of the nodes is cut off from the others, but not from the
// store (raiosul-alertas-grown scale-2). The nodes on the small side reach few
// owners and give their pools back; those on the large side keep theirs.
func TestWhoIsCutOff(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	for _, c := range []struct {
		name            string
		reached, failed int
		age             time.Duration
		want            bool
	}{
		{"small side", 2, 5, 0, true},
		{"large side", 5, 3, 0, false},
		{"one dead owner of two", 0, 1, 0, false},
		{"half", 3, 3, 0, false},
		{"long ago", 0, 5, 2 * contactTerm, false},
		{"nothing asked", 0, 0, 0, false},
	} {
		met := contacts{}
		for i := range c.reached + c.failed {
			met[state.MemberID(fmt.Sprint(i))] = contact{at: now.Add(-c.age), reached: i < c.reached}
		}
		if got := met.mostFail(now); got != c.want {
			t.Errorf("%s: cut off %t, want %t", c.name, got, c.want)
		}
	}
}

// A process that has ended on a machine that answers is no sign of a cut.
func TestWhatCountsAsReached(t *testing.T) {
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
		if got := reached(c.ctx, c.err); got != c.want {
			t.Errorf("%v: reached %t, want %t", c.err, got, c.want)
		}
	}
}

// Pattern: all nodes start at once and know nobody yet. None stands for pools
// until the others have become known; a node alone stands after that time.
func TestNodesThatStartTogetherWaitBeforeTheyStand(t *testing.T) {
	started := time.Unix(1_700_000_000, 0)
	p := &Plugin{host: &kernel.Host{Self: state.Member{ID: "n1#1"}}, started: started}
	alone := &state.Snapshot{Members: map[state.MemberID]state.Member{"n1#1": {}}}
	if p.stands(alone, started.Add(settleTerm/2)) {
		t.Error("stands before others can be known")
	}
	if !p.stands(alone, started.Add(settleTerm)) {
		t.Error("a node alone doesn't stand")
	}
}
