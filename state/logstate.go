package state

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Windows and bounds of the folded state, in records unless said otherwise.
const (
	// AnnounceWindow is how many records late an announcement may reach the
	// log. It keeps a writer that was paused before its append from reviving
	// an incarnation whose end is no longer kept.
	AnnounceWindow = 1 << 14
	// endWindow is how long the end of an incarnation is kept.
	endRetention = 4 * AnnounceWindow
	// pruneInterval is the number of records between prunings.
	pruneInterval = 1 << 10
	// maxDecisions bounds the remembered decisions on configurations.
	maxDecisions = 512
	// maxPending bounds the configurations that wait for a known version.
	maxPending = 64
)

// core is the part of the state that is a function of the log prefix alone.
type logState struct {
	// Offset is the first offset not applied; Start the first one applied
	// without a gap up to Offset.
	Offset         uint64 `cbor:"1,keyasint"`
	ContiguousFrom uint64 `cbor:"2,keyasint"`
	// LastHash is the hash of the record at Offset-1; zero means none.
	LastHash uint64 `cbor:"3,keyasint"`
	// VersionKnown is false after a start or a gap in the middle of the log,
	// until a refresh record tells the version.
	VersionKnown bool                     `cbor:"4,keyasint"`
	Version      uint64                   `cbor:"5,keyasint"`
	ChangeID     string                   `cbor:"6,keyasint"`
	File         []byte                   `cbor:"7,keyasint"`
	Pending      []pendingConfig          `cbor:"8,keyasint"`
	Decisions    []Decision               `cbor:"9,keyasint"`
	Keys         map[string]IssuedKey     `cbor:"10,keyasint"`
	Withdrawn    map[string]bool          `cbor:"11,keyasint"`
	Members      map[MemberID]memberState `cbor:"12,keyasint"`
	// Ended maps ended incarnations to the offset of their end.
	Ended map[MemberID]uint64 `cbor:"13,keyasint"`
}

// pendingConfig is a configuration that can't be judged yet.
type pendingConfig struct {
	Offset uint64       `cbor:"1,keyasint"`
	Record ConfigRecord `cbor:"2,keyasint"`
}

// memberState is a live incarnation.
type memberState struct {
	Member Member `cbor:"1,keyasint"`
	// DrainedAt is the offset of the latest drain record plus one.
	DrainedAt uint64 `cbor:"2,keyasint"`
	// JoinedAt is the offset of the first announcement that was applied. It
	// differs between nodes if the log no longer holds the very first.
	JoinedAt uint64 `cbor:"3,keyasint"`
}

// Decision is the judgement on one configuration record.
type Decision struct {
	ChangeID string `cbor:"1,keyasint"`
	// Version is the version that the change became; zero means void.
	Version uint64 `cbor:"2,keyasint"`
	// Reason tells why the change is void.
	Reason string `cbor:"3,keyasint"`
}

// Accepted reports whether the change came into force.
func (d Decision) Accepted() bool { return d.Version > 0 }

func newCore() logState {
	return logState{
		VersionKnown: true,
		Keys:         map[string]IssuedKey{},
		Withdrawn:    map[string]bool{},
		Members:      map[MemberID]memberState{},
		Ended:        map[MemberID]uint64{},
	}
}

// RecordHash is the hash by which nodes compare records.
func RecordHash(data []byte) uint64 { return xxhash.Sum64(data) }

func (c *logState) advance(offset uint64, data []byte) {
	if offset+1 < c.Offset {
		return
	}
	c.Offset = offset + 1
	c.LastHash = RecordHash(data)
	if c.Offset%pruneInterval == 0 {
		c.pruneEnded()
	}
}

func (c *logState) pruneEnded() {
	for id, at := range c.Ended {
		if at+endRetention < c.Offset {
			delete(c.Ended, id)
		}
	}
}

func (c *logState) issueKeys(r KeysRecord) error {
	var refused error
	for _, k := range r.Keys {
		have, dup := c.Keys[k.ID]
		if !dup {
			c.Keys[k.ID] = k
		} else if have != k {
			refused = fmt.Errorf("key %s was issued before", k.ID)
		}
	}
	return refused
}

func (c *logState) withdrawKeys(r WithdrawRecord) {
	for _, id := range r.KeyIDs {
		c.Withdrawn[id] = true
	}
}

func (c *logState) setDraining(offset uint64, r DrainRecord) error {
	m, ok := c.Members[r.ID]
	if !ok {
		return fmt.Errorf("no member %s", r.ID)
	}
	m.Member.Draining = r.Draining
	m.DrainedAt = offset + 1
	c.Members[r.ID] = m
	return nil
}

// change is one change of the roster made by a record.
type memberChange struct {
	member Member
	ended  bool
}

func (c *logState) applyAnnouncement(offset uint64, r AnnounceRecord) ([]memberChange, error) {
	m := r.Member
	if _, ended := c.Ended[m.ID]; ended {
		return nil, fmt.Errorf("incarnation %s has ended", m.ID)
	}
	if offset > r.AsOfOffset+AnnounceWindow {
		return nil, fmt.Errorf("announcement of %s is %d records late", m.ID, offset-r.AsOfOffset)
	}
	if known, ok := c.Members[m.ID]; ok {
		if r.AsOfOffset >= known.DrainedAt {
			known.Member.Draining = m.Draining
			c.Members[m.ID] = known
		}
		return nil, nil
	}
	changes := c.endByAddress(offset, m.ControlAddr)
	c.Members[m.ID] = memberState{Member: m, JoinedAt: offset}
	return append(changes, memberChange{member: m}), nil
}

// endAddress ends the incarnation that was bound to an address before.
func (c *logState) endByAddress(offset uint64, addr string) []memberChange {
	var changes []memberChange
	for id, old := range c.Members {
		if old.Member.ControlAddr == addr {
			changes = append(changes, c.endMember(offset, id)...)
		}
	}
	return changes
}

func (c *logState) endMember(offset uint64, id MemberID) []memberChange {
	if _, before := c.Ended[id]; before {
		return nil
	}
	c.Ended[id] = offset
	m, ok := c.Members[id]
	if !ok {
		return nil
	}
	delete(c.Members, id)
	return []memberChange{{member: m.Member, ended: true}}
}
