package state

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// outsideChunk bounds the key IDs in one record made by Outside.Records.
const outsideChunk = 1024

// Outside is what nodes tell each other outside the log, until the log has it.
// It only ever grows, so order and repetition do not matter.
//
// Removals are not part of it: a member may confirm its contact with the log as
// long as its end is not in the log.
type Outside struct {
	// Withdrawn holds the IDs of withdrawn keys.
	Withdrawn []string `cbor:"1,keyasint,omitempty"`
	// Resigned holds the incarnations that ended by their own word.
	Resigned []MemberID `cbor:"2,keyasint,omitempty"`
	// Draining holds the members that take no new work.
	Draining []MemberID `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether there are no items.
func (o Outside) Empty() bool {
	return len(o.Withdrawn) == 0 && len(o.Resigned) == 0 && len(o.Draining) == 0
}

// Hash identifies the items; zero means none.
func (o Outside) Hash() uint64 {
	if o.Empty() {
		return 0
	}
	d := xxhash.New()
	hashItems(d, 'w', o.Withdrawn)
	hashItems(d, 'r', o.Resigned)
	hashItems(d, 'd', o.Draining)
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

// Limit returns o with at most MaxListLen items of each kind.
func (o Outside) Limit() Outside {
	return Outside{
		Withdrawn: o.Withdrawn[:min(len(o.Withdrawn), MaxListLen)],
		Resigned:  o.Resigned[:min(len(o.Resigned), MaxListLen)],
		Draining:  o.Draining[:min(len(o.Draining), MaxListLen)],
	}
}

// Records returns the records that bring the items into the log.
func (o Outside) Records() []Record {
	var records []Record
	for ids := range slices.Chunk(o.Withdrawn, outsideChunk) {
		records = append(records, WithdrawRecord{KeyIDs: ids})
	}
	for _, id := range o.Draining {
		records = append(records, DrainRecord{ID: id, Draining: true})
	}
	for _, id := range o.Resigned {
		records = append(records, EndRecord{ID: id, By: id, Reason: EndResigned})
	}
	return records
}

// Outside returns the items that are not in the applied prefix yet, sorted.
func (f *Fold) Outside() Outside {
	return Outside{
		Withdrawn: slices.Sorted(maps.Keys(f.withdrawn)),
		Resigned:  slices.Sorted(maps.Keys(f.resigned)),
		Draining:  slices.Sorted(maps.Keys(f.draining)),
	}
}

// Merge takes items that were learned outside the log and returns those that
// were new.
func (f *Fold) Merge(o Outside, now time.Time) Outside {
	var fresh Outside
	for _, id := range o.Withdrawn {
		if f.mergeWithdrawn(id) {
			fresh.Withdrawn = append(fresh.Withdrawn, id)
		}
	}
	for _, id := range o.Resigned {
		if f.mergeResigned(id, now) {
			fresh.Resigned = append(fresh.Resigned, id)
		}
	}
	for _, id := range o.Draining {
		if f.mergeDraining(id) {
			fresh.Draining = append(fresh.Draining, id)
		}
	}
	f.dirty = f.dirty || !fresh.Empty()
	return fresh
}

func (f *Fold) mergeWithdrawn(id string) bool {
	if checkIDs(id) != nil || f.core.Withdrawn[id] || f.withdrawn[id] {
		return false
	}
	f.withdrawn[id] = true
	return true
}

func (f *Fold) mergeResigned(id MemberID, now time.Time) bool {
	if checkIDs(string(id)) != nil || f.hasEnded(id) {
		return false
	}
	if m, live := f.core.Members[id]; live {
		f.event(change{member: m.Member, ended: true}, now)
	}
	f.resigned[id] = true
	delete(f.draining, id)
	return true
}

func (f *Fold) mergeDraining(id MemberID) bool {
	if checkIDs(string(id)) != nil || f.hasEnded(id) || f.draining[id] || f.core.Members[id].Member.Draining {
		return false
	}
	f.draining[id] = true
	return true
}

func (f *Fold) hasEnded(id MemberID) bool {
	_, ended := f.core.Ended[id]
	return ended || f.resigned[id]
}

// forgetEnded drops the items about incarnations whose end is in the prefix.
func (f *Fold) forgetEnded() {
	for id := range f.core.Ended {
		delete(f.resigned, id)
		delete(f.draining, id)
	}
}
