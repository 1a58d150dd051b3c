package directory

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Record is what a node says of itself and of the instance beside it.
type Record struct {
	Member state.Member `cbor:"1,keyasint"`
	// Present is false while there is no instance to send calls to.
	Present bool `cbor:"2,keyasint,omitempty"`
	// Pools lists the partitions of customers' rates that the node owns, and
	// PoolTerm the generation in which it got them.
	Pools    []int  `cbor:"3,keyasint,omitempty"`
	PoolTerm uint64 `cbor:"4,keyasint,omitempty"`
	// Needs is what the node has learnt of the runs at its instance.
	Needs state.Fanout `cbor:"5,keyasint,omitempty"`
	// Instance is the instance that was beside the node last.
	Instance Instance `cbor:"6,keyasint,omitempty"`
	// PoolIncarnation is the store's incarnation in which PoolTerm was given out.
	PoolIncarnation uint64 `cbor:"7,keyasint,omitempty"`
	// Revision counts the changes of the record by one process.
	Revision uint64 `cbor:"8,keyasint,omitempty"`
}

// newer orders the records of one node without the store's offsets, which fall
// when it comes back from a copy: by the start of the process, then by revision.
func newer(a, b Record) bool {
	if a.Member.AnnouncedMS != b.Member.AnnouncedMS {
		return a.Member.AnnouncedMS > b.Member.AnnouncedMS
	}
	if a.Member.ID != b.Member.ID {
		return false
	}
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.Member.Draining && !b.Member.Draining
}

// Instance is one incarnation of an instance.
type Instance struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// StartedMS is its start in Unix milliseconds, zero if it isn't known.
	StartedMS int64 `cbor:"2,keyasint,omitempty"`
	// Left is set once it has said that it leaves.
	Left bool `cbor:"3,keyasint,omitempty"`
}

// stored is a record with its place in the store; the offset is zero for one
// that has come from its node itself.
type stored struct {
	Record      Record `cbor:"1,keyasint"`
	Offset      uint64 `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// behind reports whether s stands before t in the store.
func (s stored) behind(t stored) bool {
	if s.Incarnation != t.Incarnation {
		return s.Incarnation < t.Incarnation
	}
	return s.Offset < t.Offset
}

// over returns what is believed of a node once s has been read in the place of
// old. The record of a copy that is older than what is known only confirms that
// the node has one.
func (s stored) over(old stored) stored {
	if newer(old.Record, s.Record) {
		s.Record = old.Record
	}
	return s
}

// applyMembers takes in a page of the members' topic.
func (d *Directory) applyMembers(page Page, whole bool, _ boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meet(page.Incarnation, "store")
	if page.Incarnation < d.incarnation {
		return
	}
	ownSeen := false
	for _, i := range page.Items {
		d.applyRecord(i, page.Incarnation)
		ownSeen = ownSeen || i.Key == d.options.Name
	}
	if whole {
		d.synced(page.Incarnation, ownSeen)
	}
	d.membersNext = max(d.membersNext, page.End)
	if len(page.Items) > 0 {
		d.publishMembers()
	}
	d.membersOnce.Do(func() { close(d.membersRead) })
}

func (d *Directory) applyRecord(i Item, incarnation uint64) {
	read := stored{Offset: i.Offset, Incarnation: incarnation}
	if old, known := d.records[i.Key]; known && read.behind(old) {
		return
	}
	if len(i.Value) == 0 {
		delete(d.records, i.Key)
		return
	}
	if err := cbor.Unmarshal(i.Value, &read.Record); err != nil {
		d.options.Log.Warn("member record not understood", "key", i.Key, "error", err)
		return
	}
	d.takeRecord(i.Key, read)
}

// takeRecord puts a record from the store in place. d.mu is held.
func (d *Directory) takeRecord(name string, s stored) {
	if name == d.options.Name && d.own != nil {
		d.takeOwn(s)
		return
	}
	if old, known := d.records[name]; known {
		s = s.over(old)
	}
	d.records[name] = s
}

// takeOwn compares the store's record of the own name with what it should be.
// d.mu is held.
func (d *Directory) takeOwn(s stored) {
	if !s.behind(d.ownPlace) {
		d.ownPlace = stored{Offset: s.Offset, Incarnation: s.Incarnation}
	}
	r := s.Record
	if r.Member.ID != d.own.Member.ID {
		d.recall(r)
	}
	d.written = sameRecord(r, *d.own)
	if !d.written {
		d.signal()
	}
}

// recall takes over what an earlier process of the own name has left, unless a
// later record of one is known. d.mu is held.
func (d *Directory) recall(r Record) {
	if newer(d.previous, r) {
		return
	}
	d.previous = r
	if d.options.OnPreviousInstance != nil {
		go d.options.OnPreviousInstance(r.Instance) // it may announce a change
	}
	own := *d.own
	if own.Needs == nil && r.Member.Service == own.Member.Service {
		own.Needs = r.Needs
	}
	d.own = &own
	d.succeed()
}

// succeed makes the own record newer than that of an earlier process, whatever
// the clock has done in between. d.mu is held.
func (d *Directory) succeed() {
	former := d.previous.Member
	if former.ID == "" || former.ID == d.own.Member.ID || former.AnnouncedMS < d.own.Member.AnnouncedMS {
		return
	}
	d.own.Member.AnnouncedMS = former.AnnouncedMS + 1
	d.written = false
	d.signal()
}

// recordMode encodes equal records to equal bytes: maps have an order of their own.
var recordMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("directory: " + err.Error()) // the options are constant
	}
	return mode
}()

func sameRecord(a, b Record) bool {
	x, errX := recordMode.Marshal(a)
	y, errY := recordMode.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// publishMembers makes a snapshot from the records. d.mu is held.
func (d *Directory) publishMembers() {
	members := make(map[state.MemberID]state.Member, len(d.records)+1)
	pools := map[int]state.PoolOwner{}
	var needs []state.Fanout
	for _, r := range d.records {
		addRecord(members, pools, r.Record)
		needs = append(needs, r.Record.Needs)
	}
	if d.own != nil {
		addRecord(members, pools, *d.own)
		needs = append(needs, d.own.Needs)
	}
	d.publish(func(s *state.Snapshot) {
		s.Members = members
		s.Pools = pools
		s.Fanout = mergeNeeds(needs)
		s.Nodes = len(d.records)
		if d.own != nil {
			s.Nodes++
		}
	})
}

// mergeNeeds keeps the needs that at least half of those have learnt who know
// anything of a route, and takes their mean.
func mergeNeeds(all []state.Fanout) state.Fanout {
	knowing := map[string]int{}
	naming := map[[2]string]int{}
	sum := map[[2]string]int{}
	for _, needs := range all {
		for route, calls := range needs {
			knowing[route]++
			for call, n := range calls {
				naming[[2]string{route, call}]++
				sum[[2]string{route, call}] += n
			}
		}
	}
	merged := state.Fanout{}
	for key, n := range naming {
		route, call := key[0], key[1]
		if 2*n < knowing[route] {
			continue
		}
		if merged[route] == nil {
			merged[route] = map[string]int{}
		}
		merged[route][call] = sum[key] / n
	}
	return merged
}

func addRecord(members map[state.MemberID]state.Member, pools map[int]state.PoolOwner, r Record) {
	if r.Present {
		members[r.Member.ID] = r.Member
	}
	term := state.Term{Incarnation: r.PoolIncarnation, Generation: r.PoolTerm}
	for _, p := range r.Pools {
		if old, ok := pools[p]; !ok || old.Term.Before(term) {
			pools[p] = state.PoolOwner{Member: r.Member, Term: term}
		}
	}
}

// publish makes the next snapshot. d.mu is held.
func (d *Directory) publish(change func(*state.Snapshot)) {
	next := *d.Snapshot()
	change(&next)
	d.snapshot.Store(next.Index())
}
