package claims

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// minConfirmingMembers is the least number of members, including the requesting one,
// that can confirm a roster.
const minConfirmingMembers = 2

// maxFullRoundRoster is the number of other members up to which a round includes the
// whole failure domain; larger rounds include a majority and an eighth more.
const maxFullRoundRoster = 16

// Divisors of the margin. They give the age of the last contact from which on rounds
// try to confirm the roster, and the time between such rounds.
const (
	contactAgeDivisor    = 2
	contactPeriodDivisor = 8
)

// settleRoundDelay is the time between the first two rounds that settle new tenures;
// it doubles with each further round, up to maxSettleDoublings times.
const (
	settleRoundDelay   = 500 * time.Millisecond
	maxSettleDoublings = 6
)

// Round collects the log offsets that members of the failure domain have applied. A
// majority at exactly the requesting member's offset confirms that its roster is
// current. Enough members at that offset or later prove that no earlier roster can
// be confirmed any more.
type Round struct {
	Members   []state.Member
	offset    uint64
	startedAt time.Time
	// offsets holds the offsets received.
	offsets map[state.MemberID]uint64
}

// RecordOffset records the offset received from a member.
func (r *Round) RecordOffset(from state.MemberID, offset uint64) { r.offsets[from] = offset }

// quorum is the state that a table keeps for rounds.
type quorum struct {
	// pastRosters holds the earlier rosters of the failure domain that were in force
	// within Settings.Limit, oldest first.
	pastRosters []pastRoster
	// historyCompleteAt is the time from which on all rosters within the limit are
	// known.
	historyCompleteAt time.Time
	// unsettledUntil is when the last unsettled tenure starts without a round.
	unsettledUntil time.Time
	// logContact is the last contact with the log, contact the last contact with the
	// log or confirmed by a majority.
	logContact   time.Time
	contact      time.Time
	lastRoundAt  time.Time
	roundRunning bool
	// rounds counts the rounds since a tenure last became unsettled.
	rounds int
}

// pastRoster is a roster that was in force until a change.
type pastRoster struct {
	members []state.MemberID
	until   time.Time
}

// Offset returns the log offset that this node has applied. Responses to rounds must
// use it: a table never confirms a roster at an offset below one that it returned.
func (t *Table) Offset() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.offset
}

// NextRound returns the round that is due, or nil. The caller must pass the round to
// FinishRound.
func (t *Table) NextRound(now time.Time, shuffle func(n int, swap func(i, j int))) *Round {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.settings.Limit <= 0 || t.resigned || !t.started || t.quorum.roundRunning || !t.roundDue(now) {
		return nil
	}
	if _, live := t.roster.members[t.self.ID]; !live {
		return nil
	}
	t.quorum.lastRoundAt = now
	t.quorum.rounds++
	t.quorum.roundRunning = true
	r := &Round{offset: t.offset, startedAt: now, offsets: make(map[state.MemberID]uint64)}
	r.Members = t.roster.others(t.self.ID)
	shuffle(len(r.Members), func(i, j int) { r.Members[i], r.Members[j] = r.Members[j], r.Members[i] })
	if n := len(r.Members); n > maxFullRoundRoster {
		r.Members = r.Members[:n/2+1+n/8]
	}
	return r
}

func (t *Table) roundDue(now time.Time) bool {
	q := &t.quorum
	pause := settleRoundDelay << min(max(q.rounds-1, 0), maxSettleDoublings)
	if now.Before(q.unsettledUntil) && (q.rounds == 0 || now.Sub(q.lastRoundAt) >= pause) {
		return true
	}
	old := now.Sub(q.contact) >= t.settings.Margin/contactAgeDivisor
	return old && now.Sub(q.lastRoundAt) >= t.settings.Margin/contactPeriodDivisor
}

// FinishRound applies the result of a round and returns the notices to send.
func (t *Table) FinishRound(r *Round, now time.Time) []OutgoingNotice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.quorum.roundRunning = false
	if t.resigned {
		return nil
	}
	t.prunePastRosters(now)
	if t.confirmedBy(r, now) {
		t.quorum.contact = laterOf(t.quorum.contact, r.startedAt)
		t.extendOpen(t.cappedRangeEnd(r.startedAt))
	}
	if now.Before(t.quorum.unsettledUntil) && t.earlierRostersSuperseded(r, now) {
		return t.settle(r, now)
	}
	return nil
}

// confirmedBy reports whether a majority has applied exactly the same offset as this
// node. The majority is one of the largest recent roster, because members that have
// resigned leave the roster at different times at different nodes. A node that
// may have missed recent rosters confirms nothing.
func (t *Table) confirmedBy(r *Round, now time.Time) bool {
	if r.offset != t.offset || now.Before(t.quorum.historyCompleteAt) {
		return false
	}
	largest := len(t.roster.members)
	for _, past := range t.quorum.pastRosters {
		largest = max(largest, len(past.members))
	}
	same := 1
	for id, offset := range r.offsets {
		if _, live := t.roster.members[id]; live && offset == r.offset {
			same++
		}
	}
	return same >= max(minConfirmingMembers, largest/2+1)
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlierRostersSuperseded reports whether no past roster can be confirmed any more
// by a majority of its members, because enough of them have applied this node's
// offset.
func (t *Table) earlierRostersSuperseded(r *Round, now time.Time) bool {
	if now.Before(t.quorum.historyCompleteAt) {
		return false
	}
	for _, past := range t.quorum.pastRosters {
		remaining := 0
		for _, id := range past.members {
			if offset, ok := r.offsets[id]; id != t.self.ID && (!ok || offset < r.offset) {
				remaining++
			}
		}
		if remaining >= max(minConfirmingMembers, len(past.members)/2+1) {
			return false
		}
	}
	return true
}

// settle lowers the start of the unsettled tenures to Margin + Skew after now.
func (t *Table) settle(r *Round, now time.Time) []OutgoingNotice {
	lowMS := now.Add(t.settings.Margin+t.settings.Skew).UnixMilli() + 1
	followUps := make(notices)
	pending := false
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, tenure := range s.tenures {
			if !tenure.unsettled {
				continue
			}
			if tenure.openedAtOffset > r.offset {
				pending = true
				continue
			}
			tenure.unsettled = false
			if tenure.lowerStart(lowMS) && !tenure.Open {
				followUps.add(t, uint16(i), tenure)
			}
		}
		s.mu.Unlock()
	}
	if !pending {
		t.quorum.unsettledUntil = time.Time{}
	}
	return followUps.list()
}

// cappedRangeEnd returns the end of the range after a contact that a majority has
// confirmed, which is at most Settings.Limit after the last contact with the log.
func (t *Table) cappedRangeEnd(contact time.Time) time.Time {
	limit := t.quorum.logContact.Add(t.settings.Limit)
	high := contact.Add(t.settings.Margin)
	if high.After(limit) {
		return limit
	}
	return high
}

// recordPastRoster records the current roster, which an event ends.
func (t *Table) recordPastRoster(until time.Time) {
	if t.settings.Limit <= 0 {
		return
	}
	t.prunePastRosters(until)
	past := pastRoster{until: until}
	for id := range t.roster.members {
		past.members = append(past.members, id)
	}
	t.quorum.pastRosters = append(t.quorum.pastRosters, past)
}

func (t *Table) prunePastRosters(now time.Time) {
	oldest := now.Add(-t.settings.Limit - 2*t.settings.Skew)
	pastRosters := t.quorum.pastRosters
	for len(pastRosters) > 0 && pastRosters[0].until.Before(oldest) {
		pastRosters = pastRosters[1:]
	}
	t.quorum.pastRosters = pastRosters
}

// resetRosterHistory drops the past rosters after some may have been missed.
func (t *Table) resetRosterHistory(now time.Time) {
	t.quorum.pastRosters = nil
	t.quorum.unsettledUntil = time.Time{}
	t.quorum.historyCompleteAt = now.Add(t.settings.Limit + 2*t.settings.Skew)
}
