package ratelimit

import (
	"slices"
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// pollRound is a poll of the domain's roster in progress.
type pollRound struct {
	number   uint64
	digest   uint64
	takeover bool
	sentAt   time.Time
	acks     map[state.MemberID]bool
	done     bool
}

// promise is a promise not to confirm other rosters than digest. It holds until
// this node has read the log's head after it was made.
type promise struct {
	digest uint64
	at     time.Time
}

// pollInterval allows two attempts at a confirmation before the authority ends.
func (o *Ownership) pollInterval() time.Duration { return o.timing.QuorumAuthority / 4 }

func (o *Ownership) startPoll(takeover bool, now time.Time) []OutgoingPoll {
	o.lastRound++
	o.poll = pollRound{
		number:   o.lastRound,
		digest:   o.digest,
		takeover: takeover,
		sentAt:   now,
		acks:     map[state.MemberID]bool{},
	}
	msg := Poll{Digest: o.digest, Round: o.lastRound, Takeover: takeover}
	out := make([]OutgoingPoll, 0, len(o.roster))
	for _, m := range o.roster {
		if m.ID != o.self {
			out = append(out, OutgoingPoll{To: m, Poll: msg})
		}
	}
	if o.answer(msg, now) {
		o.countVote(o.self, now)
	}
	return out
}

// Answer answers another node's poll.
func (o *Ownership) Answer(p Poll, now time.Time) PollAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return PollAnswer{Round: p.Round, OK: o.answer(p, now)}
}

func (o *Ownership) answer(p Poll, now time.Time) bool {
	if o.snap == nil {
		return false
	}
	o.dropPromises()
	if p.Takeover {
		return o.promise(p.Digest, now)
	}
	if p.Digest != o.digest {
		return false
	}
	for _, pr := range o.promises {
		if pr.digest != p.Digest {
			return false
		}
	}
	return true
}

// maxPromises bounds the promises kept between two reads of the log's head.
const maxPromises = 64

// promise records a promise for a takeover; a repeated one only updates its time.
func (o *Ownership) promise(digest uint64, now time.Time) bool {
	for i := range o.promises {
		if o.promises[i].digest == digest {
			o.promises[i].at = now
			return true
		}
	}
	if len(o.promises) == maxPromises {
		return false
	}
	o.promises = append(o.promises, promise{digest: digest, at: now})
	return true
}

// dropPromises drops promises made before the latest read of the log's head: the
// snapshot then contains the change that led to them.
func (o *Ownership) dropPromises() {
	kept := o.promises[:0]
	for _, p := range o.promises {
		if !o.snap.LogContact.After(p.at) {
			kept = append(kept, p)
		}
	}
	o.promises = kept
}

// dropPromise drops the promise for a roster that has changed at this node since.
// Ended members never return, so this node will not confirm an earlier roster
// again.
func (o *Ownership) dropPromise(digest uint64) {
	o.promises = slices.DeleteFunc(o.promises, func(p promise) bool { return p.digest == digest })
}

// CountAnswer counts a member's answer to the current poll.
func (o *Ownership) CountAnswer(from state.MemberID, a PollAnswer, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.OK && a.Round == o.poll.number {
		o.countVote(from, now)
	}
}

func (o *Ownership) countVote(from state.MemberID, now time.Time) {
	p := &o.poll
	if p.done || p.digest != o.digest || !containsMember(o.roster, from) {
		return
	}
	p.acks[from] = true
	if len(p.acks) < quorum(len(o.roster), p.takeover) {
		return
	}
	p.done = true
	if !p.takeover {
		o.confirmedAt = p.sentAt
		return
	}
	for _, pending := range o.pendingTakeovers {
		if pending.promisedAt.IsZero() && !pending.startedAt.After(p.sentAt) {
			pending.promisedAt = now
		}
	}
}

// quorum is a majority for a takeover and three quarters for a confirmation. The
// two share a member even if up to a quarter of the roster was replaced in
// between.
func quorum(n int, takeover bool) int {
	if takeover {
		return n/2 + 1
	}
	return (3*n + 3) / 4
}
