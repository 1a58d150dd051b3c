package directory

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Record is what a node publishes about itself and the instance beside it.
type Record struct {
	Member state.Member `cbor:"1,keyasint"`
	// Present is false while there is no instance to send calls to.
	Present bool `cbor:"2,keyasint,omitempty"`
	// Pools lists the partitions of customers' rate pools that the node owns;
	// PoolGeneration is the generation of the term of ownership (state.Term).
	Pools          []int  `cbor:"3,keyasint,omitempty"`
	PoolGeneration uint64 `cbor:"4,keyasint,omitempty"`
	// Fanout holds the nested calls of each route as learnt by the node.
	Fanout state.Fanout `cbor:"5,keyasint,omitempty"`
	// Instance is the latest instance beside the node.
	Instance Instance `cbor:"6,keyasint,omitempty"`
	// PoolIncarnation is the store's incarnation in which PoolGeneration was assigned.
	PoolIncarnation uint64 `cbor:"7,keyasint,omitempty"`
	// Revision counts the changes of the record by the node's current process.
	Revision uint64 `cbor:"8,keyasint,omitempty"`
}

// newer reports whether a is newer than b; both are records of one node. Records are
// ordered by the start of the process, then by revision. The order doesn't use the store's offsets, which decrease when the store is
// restored from a backup.
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

// Instance identifies one run of an instance.
type Instance struct {
	ID string `cbor:"1,keyasint,omitempty"`
	// StartedMS is its start in Unix milliseconds, zero if it isn't known.
	StartedMS int64 `cbor:"2,keyasint,omitempty"`
	// Left is set once the instance has announced that it is shutting down, or is
	// gone.
	Left bool `cbor:"3,keyasint,omitempty"`
}

// storedRecord is a record with its position in the store. The offset is zero for a
// record that was received from its node rather than read from the store.
type storedRecord struct {
	Record      Record `cbor:"1,keyasint"`
	Offset      uint64 `cbor:"2,keyasint,omitempty"`
	Incarnation uint64 `cbor:"3,keyasint,omitempty"`
}

// olderThan reports whether s precedes t in the store.
func (s storedRecord) olderThan(t storedRecord) bool {
	if s.Incarnation != t.Incarnation {
		return s.Incarnation < t.Incarnation
	}
	return s.Offset < t.Offset
}

// reconcile returns s with the newer of its record and old's. A record of a
// restored store that is older than the known one only confirms that the store
// has a record of the node.
func (s storedRecord) reconcile(old storedRecord) storedRecord {
	if newer(old.Record, s.Record) {
		s.Record = old.Record
	}
	return s
}

// applyMembers applies a page of the members topic. whole is set if the page holds
// all latest records, and unset for a page of the tail.
func (d *Directory) applyMembers(page Page, whole bool, _ boottime.Instant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeIncarnation(page.Incarnation, "store")
	if page.Incarnation < d.incarnation {
		return
	}
	ownSeen := false
	for _, i := range page.Items {
		d.applyRecord(i, page.Incarnation)
		ownSeen = ownSeen || i.Key == d.options.Name
	}
	if whole {
		d.membersReloaded(page.Incarnation, ownSeen)
	}
	d.membersOffset = max(d.membersOffset, page.End)
	if len(page.Items) > 0 {
		d.publishMembers()
	}
	d.membersLoadedOnce.Do(func() { close(d.membersLoaded) })
}

func (d *Directory) applyRecord(i Item, incarnation uint64) {
	read := storedRecord{Offset: i.Offset, Incarnation: incarnation}
	if old, known := d.records[i.Key]; known && read.olderThan(old) {
		return
	}
	if len(i.Value) == 0 {
		delete(d.records, i.Key)
		return
	}
	err := recordDecMode.Unmarshal(i.Value, &read.Record)
	if err == nil {
		err = d.options.validate(i.Key, &read.Record, time.Now())
	}
	if err != nil {
		d.reject(i.Key, read, "store", err)
		return
	}
	d.putRecord(i.Key, read)
}

// putRecord keeps a record that was read from the store. d.mu is held.
func (d *Directory) putRecord(name string, s storedRecord) {
	if name == d.options.Name && d.own != nil {
		d.reconcileOwn(s)
		return
	}
	if old, known := d.records[name]; known {
		s = s.reconcile(old)
	}
	d.records[name] = s
}

// reconcileOwn compares a stored record under this node's name with the node's own
// record, and schedules a write if they differ. d.mu is held.
func (d *Directory) reconcileOwn(s storedRecord) {
	if !s.olderThan(d.ownStored) {
		d.ownStored = storedRecord{Offset: s.Offset, Incarnation: s.Incarnation}
	}
	r := s.Record
	d.held.replace(r)
	if r.Member.ID != d.own.Member.ID {
		d.adoptPrevious(r)
	}
	d.ownWritten = sameRecord(r, *d.own)
	if !d.ownWritten {
		d.signalWrite()
	}
}

// adoptPrevious takes over the instance and fan-out recorded by an earlier process of
// this node, unless a newer record of an earlier process is known. The instance stays in
// the record until this process has heard of one. d.mu is held.
func (d *Directory) adoptPrevious(r Record) {
	if newer(d.previousRecord, r) {
		return
	}
	own := *d.own
	if own.Instance.ID == "" || own.Instance == d.previousRecord.Instance {
		own.Instance = r.Instance
	}
	d.previousRecord = r
	if d.options.OnPreviousInstance != nil {
		go d.options.OnPreviousInstance(r.Instance) // it may announce a change
	}
	if own.Fanout == nil && r.Member.Service == own.Member.Service {
		own.Fanout = r.Fanout
	}
	if !sameRecord(own, *d.own) {
		own.Revision++
		d.ownWritten = false
		d.signalWrite()
	}
	d.own = &own
	d.supersedePrevious()
}

// supersedePrevious makes the node's own record newer than that of an earlier
// process, even if the clock has been set back in between. d.mu is held.
func (d *Directory) supersedePrevious() {
	former := d.previousRecord.Member
	if former.ID == "" || former.ID == d.own.Member.ID || former.AnnouncedMS < d.own.Member.AnnouncedMS {
		return
	}
	d.own.Member.AnnouncedMS = former.AnnouncedMS + 1
	d.ownWritten = false
	d.signalWrite()
}

// recordEncMode encodes equal records to equal bytes; by default the order of map
// entries differs between encodings.
var recordEncMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("directory: " + err.Error()) // the options are constant
	}
	return mode
}()

// recordDecMode refuses records with a duplicate key, of which another reader may take the
// other value. Nesting and the sizes of arrays and maps are bounded by the library.
var recordDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode()
	if err != nil {
		panic("directory: " + err.Error()) // the options are constant
	}
	return mode
}()

func sameRecord(a, b Record) bool {
	x, errX := recordEncMode.Marshal(a)
	y, errY := recordEncMode.Marshal(b)
	return errX == nil && errY == nil && string(x) == string(y)
}

// publishMembers makes a snapshot from the records. d.mu is held.
func (d *Directory) publishMembers() {
	members := make(map[state.MemberID]state.Member, len(d.records)+1)
	pools := map[int]state.PoolOwner{}
	var fanouts []state.Fanout
	for _, r := range d.records {
		addRecord(members, pools, r.Record)
		fanouts = append(fanouts, r.Record.Fanout)
	}
	if d.own != nil {
		addRecord(members, pools, *d.own)
		fanouts = append(fanouts, d.own.Fanout)
	}
	d.publish(func(s *state.Snapshot) {
		s.Members = members
		s.Pools = pools
		s.Fanout = mergeFanout(fanouts)
		s.Nodes = len(d.records)
		if d.own != nil {
			s.Nodes++
		}
	})
}

// mergeFanout keeps a nested call of a route if at least half of the nodes that
// have learnt the route's fan-out report the call, and averages their values.
func mergeFanout(all []state.Fanout) state.Fanout {
	nodesByRoute := map[string]int{}
	nodesByCall := map[[2]string]int{}
	sum := map[[2]string]int{}
	for _, fanout := range all {
		for route, calls := range fanout {
			nodesByRoute[route]++
			for call, n := range calls {
				nodesByCall[[2]string{route, call}]++
				sum[[2]string{route, call}] += n
			}
		}
	}
	merged := state.Fanout{}
	for key, n := range nodesByCall {
		route, call := key[0], key[1]
		if 2*n < nodesByRoute[route] {
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
		m := r.Member
		m.Instance = state.Incarnation{ID: r.Instance.ID, StartedMS: r.Instance.StartedMS}
		members[m.ID] = m
	}
	term := state.Term{Incarnation: r.PoolIncarnation, Generation: r.PoolGeneration}
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
