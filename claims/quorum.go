package claims

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// minConfirming is the least number of members, with the asker, that can
// confirm a roster.
const minConfirming = 2

// smallRoster is the size up to which a round asks the whole failure domain;
// beyond it, a majority and an eighth more.
const smallRoster = 16

// Divisors of the margin: the age of a contact at which a majority is asked,
// and the time between rounds for it.
const (
	contactAgeDivisor    = 2
	contactPeriodDivisor = 8
)

// settlePeriod is the time to the second round that settles new tenures; it
// doubles with each round up to maxSettleDoublings.
const (
	settlePeriod       = 500 * time.Millisecond
	maxSettleDoublings = 6
)

// Round asks members of the failure domain for their offsets in the log. All
// at the asker's own offset, a majority confirms that its roster is current.
// At that offset or later, enough of them prove that nobody can confirm an
// earlier roster any more.
type Round struct {
	Ask    []state.Member
	offset uint64
	begun  time.Time
	// offsets holds the answers.
	offsets map[state.MemberID]uint64
}

// Answer takes in the offset of a member.
func (r *Round) Answer(from state.MemberID, offset uint64) { r.offsets[from] = offset }

// quorum is what a table keeps for rounds.
type quorum struct {
	// rosters holds the rosters of the failure domain that a change ended
	// within Settings.Limit, oldest first.
	rosters []pastRoster
	// blindUntil is when all rosters within the limit are known.
	blindUntil time.Time
	// unsettledUntil is when the last unsettled tenure starts by itself.
	unsettledUntil time.Time
	logContact     time.Time
	contact        time.Time
	asked          time.Time
	running        bool
	// tries counts the rounds since a tenure has last become unsettled.
	tries int
}

type pastRoster struct {
	members []state.MemberID
	until   time.Time
}

// Offset returns the offset that this node has applied. Answers to rounds must
// come from here: a table confirms nothing for an offset below one it has told.
func (t *Table) Offset() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offset
}

// NextRound returns the round that is due, or nil. Finish must follow.
func (t *Table) NextRound(now time.Time, shuffle func(n int, swap func(i, j int))) *Round {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.settings.Limit <= 0 || t.resigned || !t.started || t.quorum.running || !t.roundDue(now) {
		return nil
	}
	if _, live := t.roster.members[t.self.ID]; !live {
		return nil
	}
	t.quorum.asked = now
	t.quorum.tries++
	t.quorum.running = true
	r := &Round{offset: t.offset, begun: now, offsets: make(map[state.MemberID]uint64)}
	r.Ask = t.roster.others(t.self.ID)
	shuffle(len(r.Ask), func(i, j int) { r.Ask[i], r.Ask[j] = r.Ask[j], r.Ask[i] })
	if n := len(r.Ask); n > smallRoster {
		r.Ask = r.Ask[:n/2+1+n/8]
	}
	return r
}

func (t *Table) roundDue(now time.Time) bool {
	q := &t.quorum
	pause := settlePeriod << min(max(q.tries-1, 0), maxSettleDoublings)
	if now.Before(q.unsettledUntil) && (q.tries == 0 || now.Sub(q.asked) >= pause) {
		return true
	}
	old := now.Sub(q.contact) >= t.settings.Margin/contactAgeDivisor
	return old && now.Sub(q.asked) >= t.settings.Margin/contactPeriodDivisor
}

// Finish ends a round and returns the notices that follow.
func (t *Table) Finish(r *Round, now time.Time) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quorum.running = false
	if t.resigned {
		return nil
	}
	t.prunePast(now)
	if t.confirmedBy(r, now) {
		t.quorum.contact = later(t.quorum.contact, r.begun)
		t.extend(t.capped(r.begun))
	}
	if now.Before(t.quorum.unsettledUntil) && t.superseded(r, now) {
		return t.settle(r, now)
	}
	return nil
}

// confirmedBy reports whether a majority has applied exactly what this node
// has. It counts against the largest recent roster, because members that have
// resigned leave the roster at different times at different nodes; a node that
// may have missed some confirms nothing.
func (t *Table) confirmedBy(r *Round, now time.Time) bool {
	if r.offset != t.offset || now.Before(t.quorum.blindUntil) {
		return false
	}
	largest := len(t.roster.members)
	for _, past := range t.quorum.rosters {
		largest = max(largest, len(past.members))
	}
	same := 1
	for id, offset := range r.offsets {
		if _, live := t.roster.members[id]; live && offset == r.offset {
			same++
		}
	}
	return same >= max(minConfirming, largest/2+1)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// superseded reports whether no majority of any recent roster is left that
// could confirm it: enough of its members have applied what this node has.
func (t *Table) superseded(r *Round, now time.Time) bool {
	if now.Before(t.quorum.blindUntil) {
		return false
	}
	for _, past := range t.quorum.rosters {
		left := 0
		for _, id := range past.members {
			if offset, ok := r.offsets[id]; id != t.self.ID && (!ok || offset < r.offset) {
				left++
			}
		}
		if left >= max(minConfirming, len(past.members)/2+1) {
			return false
		}
	}
	return true
}

// settle starts the unsettled tenures a margin after now.
func (t *Table) settle(r *Round, now time.Time) []Outgoing {
	lowMS := now.Add(t.settings.Margin+t.settings.Skew).UnixMilli() + 1
	next := make(notices)
	left := false
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, tenure := range s.tenures {
			if !tenure.unsettled {
				continue
			}
			if tenure.openedAt > r.offset {
				left = true
				continue
			}
			tenure.unsettled = false
			if tenure.lower(lowMS) && !tenure.Open {
				next.add(t, uint16(i), tenure)
			}
		}
		s.mu.Unlock()
	}
	if !left {
		t.quorum.unsettledUntil = time.Time{}
	}
	return next.list()
}

// capped returns the end of the range after a contact that a majority has
// confirmed: never later than the limit after the last contact with the log.
func (t *Table) capped(contact time.Time) time.Time {
	limit := t.quorum.logContact.Add(t.settings.Limit)
	high := contact.Add(t.settings.Margin)
	if high.After(limit) {
		return limit
	}
	return high
}

// remember keeps the roster that an event ends.
func (t *Table) remember(until time.Time) {
	if t.settings.Limit <= 0 {
		return
	}
	t.prunePast(until)
	past := pastRoster{until: until}
	for id := range t.roster.members {
		past.members = append(past.members, id)
	}
	t.quorum.rosters = append(t.quorum.rosters, past)
}

func (t *Table) prunePast(now time.Time) {
	oldest := now.Add(-t.settings.Limit - 2*t.settings.Skew)
	rosters := t.quorum.rosters
	for len(rosters) > 0 && rosters[0].until.Before(oldest) {
		rosters = rosters[1:]
	}
	t.quorum.rosters = rosters
}

// blind forgets the past rosters where some may have been missed.
func (t *Table) blind(now time.Time) {
	t.quorum.rosters = nil
	t.quorum.unsettledUntil = time.Time{}
	t.quorum.blindUntil = now.Add(t.settings.Limit + 2*t.settings.Skew)
}
