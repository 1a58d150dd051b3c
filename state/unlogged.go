package state

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxKeysPerWithdrawRecord bounds the key IDs in one record made by
// Unlogged.Records.
const maxKeysPerWithdrawRecord = 1024

// Unlogged holds the items that nodes send each other directly until they are in
// the log. The set of items only grows until then, so that the order and the
// repetition of merges do not matter.
//
// Removals are never sent outside the log, since a member may renew its log
// contact as long as its end is not in the log.
type Unlogged struct {
	// Withdrawn holds the IDs of withdrawn keys.
	Withdrawn []string `cbor:"1,keyasint,omitempty"`
	// Resigned holds the incarnations that have resigned.
	Resigned []MemberID `cbor:"2,keyasint,omitempty"`
	// Draining holds the members that take no new work.
	Draining []MemberID `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether there are no items.
func (u Unlogged) Empty() bool {
	return len(u.Withdrawn) == 0 && len(u.Resigned) == 0 && len(u.Draining) == 0
}

// Hash returns a hash over the items; zero means that there are none.
func (u Unlogged) Hash() uint64 {
	if u.Empty() {
		return 0
	}
	d := xxhash.New()
	hashItems(d, 'w', u.Withdrawn)
	hashItems(d, 'r', u.Resigned)
	hashItems(d, 'd', u.Draining)
	return d.Sum64()
}

func hashItems[S ~string](d *xxhash.Digest, kind byte, ids []S) {
	for _, id := range ids {
		var head [9]byte
		head[0] = kind
		binary.BigEndian.PutUint64(head[1:], uint64(len(id)))
		_, _ = d.Write(head[:])
		_, _ = d.WriteString(string(id))
	}
}

// Truncate returns u with at most MaxListLen items of each kind.
func (u Unlogged) Truncate() Unlogged {
	return Unlogged{
		Withdrawn: u.Withdrawn[:min(len(u.Withdrawn), MaxListLen)],
		Resigned:  u.Resigned[:min(len(u.Resigned), MaxListLen)],
		Draining:  u.Draining[:min(len(u.Draining), MaxListLen)],
	}
}

// Records returns the log records for the items.
func (u Unlogged) Records() []Record {
	var records []Record
	for ids := range slices.Chunk(u.Withdrawn, maxKeysPerWithdrawRecord) {
		records = append(records, WithdrawRecord{KeyIDs: ids})
	}
	for _, id := range u.Draining {
		records = append(records, DrainRecord{ID: id, Draining: true})
	}
	for _, id := range u.Resigned {
		records = append(records, EndRecord{ID: id, By: id, Reason: EndResigned})
	}
	return records
}

// Unlogged returns the items that are not in the applied prefix yet, sorted.
func (f *Fold) Unlogged() Unlogged {
	return Unlogged{
		Withdrawn: slices.Sorted(maps.Keys(f.withdrawn)),
		Resigned:  slices.Sorted(maps.Keys(f.resigned)),
		Draining:  slices.Sorted(maps.Keys(f.draining)),
	}
}

// Merge adds items that were learned outside the log and returns those that were
// new.
func (f *Fold) Merge(items Unlogged, now time.Time) Unlogged {
	var added Unlogged
	for _, id := range items.Withdrawn {
		if f.mergeWithdrawn(id) {
			added.Withdrawn = append(added.Withdrawn, id)
		}
	}
	for _, id := range items.Resigned {
		if f.mergeResigned(id, now) {
			added.Resigned = append(added.Resigned, id)
		}
	}
	for _, id := range items.Draining {
		if f.mergeDraining(id) {
			added.Draining = append(added.Draining, id)
		}
	}
	f.dirty = f.dirty || !added.Empty()
	return added
}

func (f *Fold) mergeWithdrawn(id string) bool {
	if checkIDs(id) != nil || f.logState.Withdrawn[id] || f.withdrawn[id] {
		return false
	}
	f.withdrawn[id] = true
	return true
}

func (f *Fold) mergeResigned(id MemberID, now time.Time) bool {
	if checkIDs(string(id)) != nil || f.hasEnded(id) {
		return false
	}
	if m, live := f.logState.Members[id]; live {
		f.appendEvent(memberChange{member: m.Member, ended: true}, now)
	}
	f.resigned[id] = true
	delete(f.draining, id)
	return true
}

func (f *Fold) mergeDraining(id MemberID) bool {
	if checkIDs(string(id)) != nil || f.hasEnded(id) || f.draining[id] || f.logState.Members[id].Member.Draining {
		return false
	}
	f.draining[id] = true
	return true
}

func (f *Fold) hasEnded(id MemberID) bool {
	_, ended := f.logState.Ended[id]
	return ended || f.resigned[id]
}

// dropLoggedEnds drops the items about incarnations whose end is in the applied
// prefix.
func (f *Fold) dropLoggedEnds() {
	for id := range f.logState.Ended {
		delete(f.resigned, id)
		delete(f.draining, id)
	}
}
