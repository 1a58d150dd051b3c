package ratelimit

import (
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// pollRound is a poll of the domain's roster in progress.
type pollRound struct {
	round    uint64
	digest   uint64
	takeover bool
	sent     time.Time
	acks     map[state.MemberID]bool
	done     bool
}

// promise holds until this node has read the log's head after it.
type promise struct {
	digest uint64
	at     time.Time
}

// pollInterval gives a confirmation two tries before the authority ends.
func (t *Tenure) pollInterval() time.Duration { return t.timing.Confirmed / 4 }

func (t *Tenure) begin(takeover bool, now time.Time) []OutgoingPoll {
	t.rounds++
	t.poll = pollRound{
		round:    t.rounds,
		digest:   t.digest,
		takeover: takeover,
		sent:     now,
		acks:     map[state.MemberID]bool{},
	}
	msg := Poll{Digest: t.digest, Round: t.rounds, Takeover: takeover}
	out := make([]OutgoingPoll, 0, len(t.roster))
	for _, m := range t.roster {
		if m.ID != t.self {
			out = append(out, OutgoingPoll{To: m, Poll: msg})
		}
	}
	if t.answer(msg, now) {
		t.count(t.self, now)
	}
	return out
}

// Answer answers a poll of another node.
func (t *Tenure) Answer(p Poll, now time.Time) PollAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return PollAnswer{Round: p.Round, OK: t.answer(p, now)}
}

func (t *Tenure) answer(p Poll, now time.Time) bool {
	if t.snap == nil {
		return false
	}
	t.dropPromises()
	if p.Takeover {
		return t.promise(p.Digest, now)
	}
	if p.Digest != t.digest {
		return false
	}
	for _, pr := range t.promises {
		if pr.digest != p.Digest {
			return false
		}
	}
	return true
}

// maxPromises bounds the promises kept between two reads of the log's head.
const maxPromises = 64

// promise records a takeover; an equal one is only moved in time.
func (t *Tenure) promise(digest uint64, now time.Time) bool {
	for i := range t.promises {
		if t.promises[i].digest == digest {
			t.promises[i].at = now
			return true
		}
	}
	if len(t.promises) == maxPromises {
		return false
	}
	t.promises = append(t.promises, promise{digest: digest, at: now})
	return true
}

// dropPromises drops those made before the last read of the log's head: the
// snapshot then contains the change that led to them.
func (t *Tenure) dropPromises() {
	kept := t.promises[:0]
	for _, p := range t.promises {
		if !t.snap.LogContact.After(p.at) {
			kept = append(kept, p)
		}
	}
	t.promises = kept
}

// leave drops the promise for a roster that this node has had and moved on
// from: as no member comes back, it confirms no earlier roster again.
func (t *Tenure) leave(digest uint64) {
	t.promises = slices.DeleteFunc(t.promises, func(p promise) bool { return p.digest == digest })
}

// Answered takes in the answer of a member.
func (t *Tenure) Answered(from state.MemberID, a PollAnswer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.OK && a.Round == t.poll.round {
		t.count(from, now)
	}
}

func (t *Tenure) count(from state.MemberID, now time.Time) {
	p := &t.poll
	if p.done || p.digest != t.digest || !contains(t.roster, from) {
		return
	}
	p.acks[from] = true
	if len(p.acks) < quorum(len(t.roster), p.takeover) {
		return
	}
	p.done = true
	if !p.takeover {
		t.quorumAt = p.sent
		return
	}
	for _, h := range t.handovers {
		if h.promised.IsZero() && !h.at.After(p.sent) {
			h.promised = now
		}
	}
}

// quorum is a majority for a takeover and three quarters for a confirmation:
// the two share a member also when up to a quarter of the roster has been
// replaced between them.
func quorum(n int, takeover bool) int {
	if takeover {
		return n/2 + 1
	}
	return (3*n + 3) / 4
}
