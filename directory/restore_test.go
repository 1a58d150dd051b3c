package directory

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// startFleet starts nodes that share a store.
func startFleet(t *testing.T, count int, store *sharedStore) ([]*Directory, []*storeClient) {
	t.Helper()
	nodes := map[string]*fakePeers{}
	all, clients := make([]*Directory, count), make([]*storeClient, count)
	var running sync.WaitGroup
	t.Cleanup(running.Wait) // by then the context has ended
	for i := range all {
		all[i], _ = newNode(fmt.Sprint("n", i), "x", nodes)
		clients[i] = &storeClient{store: store}
		all[i].options.Store = clients[i]
	}
	for _, d := range all {
		running.Go(func() { d.Run(t.Context()) })
	}
	return all, clients
}

func item(t *testing.T, key string, r Record, offset uint64) Item {
	t.Helper()
	return Item{Key: key, Value: mustEncode(t, r), Offset: offset}
}

func recordOf(name string, announced int64, revision uint64) Record {
	return Record{
		Member:  state.Member{ID: state.MemberID(fmt.Sprint(name, "#", announced)), Service: "maps", Domain: "y", CallAddr: name, AnnouncedMS: announced},
		Present: true, Revision: revision,
	}
}

func (d *Directory) hasMember(name string, announced int64) bool {
	_, ok := d.Snapshot().Members[state.MemberID(fmt.Sprint(name, "#", announced))]
	return ok
}

// The store is restored from a backup and has grown past its readers' offsets before
// they read again, so that only the incarnation shows the loss. All nodes learn
// the records written since, and the nodes whose records were lost write them again,
// once each; records that the backup holds are not written.
func TestRestoredStoreIsReread(t *testing.T) {
	const count = 8
	store := newSharedStore()
	store.incarnation = 1
	all, clients := startFleet(t, count, store)
	store.put("config", "it", []byte("5 golf"))
	eventually(t, "all nodes know all others", func() bool {
		for _, d := range all {
			if d.Snapshot().Version != 5 || d.Snapshot().Nodes != count {
				return false
			}
		}
		return true
	})
	for _, client := range clients {
		client.cutOff.Store(true)
	}
	const lost = 5
	store.restore("members", lost)
	for i := range 3 * lost { // the topic grows past the old end
		store.put("members", fmt.Sprint("new", i), mustEncode(t, recordOf(fmt.Sprint("new", i), 1, 1)))
	}
	store.put("config", "it", []byte("6 golf"))
	for _, client := range clients {
		client.puts.Store(0)
		client.cutOff.Store(false)
	}
	eventually(t, "all nodes know the records written since", func() bool {
		for _, d := range all {
			if d.Snapshot().Version != 6 || !d.hasMember("new0", 1) || !d.hasMember(fmt.Sprint("new", 3*lost-1), 1) {
				return false
			}
		}
		return true
	})
	eventually(t, "all lost records are written again", func() bool {
		page, err := clients[0].Latest(t.Context(), "members")
		return err == nil && len(page.Items) == count+3*lost
	})
	puts := int64(0)
	for _, client := range clients {
		puts += client.puts.Load()
	}
	if puts < lost || puts > lost+1 {
		t.Errorf("%d writes for %d lost records", puts, lost)
	}
}

func mustEncode(t *testing.T, r Record) []byte {
	t.Helper()
	value, err := cbor.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// A configuration that the store has lost stays in force, also in a process that
// starts afterwards, because it requests the configuration from peers before it uses
// the store's.
func TestRestoredStoreDoesNotRevertConfig(t *testing.T) {
	store := newSharedStore()
	store.incarnation = 1
	store.put("config", "it", []byte("7 golf"))
	store.put("config", "it", []byte("9 club"))
	all, _ := startFleet(t, 3, store)
	inForce := func(d *Directory, customer string) bool {
		s := d.Snapshot()
		return s.Version == 9 && s.Config.Customers[0].Name == customer
	}
	for _, d := range all {
		eventually(t, "the newest is in force", func() bool { return inForce(d, "club") })
	}
	eventually(t, "records are in the store", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return len(store.topics["members"]) >= 3
	})
	store.restore("config", 1)
	nodes := all[0].peers.(*fakePeers).nodes
	fresh, _ := newNode("fresh", "z", nodes)
	fresh.options.Store = &storeClient{store: store}
	var running sync.WaitGroup
	t.Cleanup(running.Wait) // by then the context has ended
	running.Go(func() { fresh.Run(t.Context()) })
	eventually(t, "a fresh process has the configuration in force", func() bool {
		if v := fresh.Snapshot().Version; v != 0 && v != 9 {
			t.Fatalf("version %d of the restored store is in force", v)
		}
		return inForce(fresh, "club")
	})
	for _, d := range all {
		eventually(t, "the incarnation is known", func() bool { n, _ := d.Incarnation(); return n == 2 })
		if !inForce(d, "club") {
			t.Errorf("version %d in force", d.Snapshot().Version)
		}
	}
}

// After the store was restored, its reads confirm the configuration in force only
// once a configuration was written in the new incarnation, or after
// configTrustDelay: a lost version that no node has seen may have withdrawn keys.
func TestRestoredStoreConfirmsConfigOnlyAfterWriteOrDelay(t *testing.T) {
	page := func(incarnation uint64, text string) Page {
		return Page{Items: document(text), End: 1, Incarnation: incarnation}
	}
	for _, c := range []struct {
		name  string
		then  Page
		whole bool
		after time.Duration
		want  bool
	}{
		{"same incarnation", Page{End: 1, Incarnation: 1}, false, 0, true},
		{"read anew", page(2, "5 golf"), true, 0, false},
		{"nothing new", Page{Incarnation: 2}, false, configTrustDelay / 2, false},
		{"older version", page(2, "4 golf"), true, 0, false},
		{"written anew", page(2, "5 golf"), false, 0, true},
		{"later", Page{Incarnation: 2}, false, configTrustDelay + time.Second, true},
		{"older version, later", page(2, "4 golf"), true, configTrustDelay + time.Second, true},
	} {
		d, _ := newNode("a", "x", map[string]*fakePeers{})
		d.applyConfig(page(1, "5 golf"), true, boottime.Now().Add(-time.Second))
		before := d.configConfirmedAt.Load()
		d.applyConfig(c.then, c.whole, boottime.Now().Add(c.after))
		if got := d.configConfirmedAt.Load() > before; got != c.want {
			t.Errorf("%s: confirmed %v, want %v", c.name, got, c.want)
		}
		if d.Snapshot().Version != 5 {
			t.Errorf("%s: version %d", c.name, d.Snapshot().Version)
		}
	}
}

// A late page of an earlier incarnation changes nothing.
func TestPageOfEarlierIncarnationIsDropped(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	d.applyMembers(Page{Items: []Item{item(t, "b", recordOf("b", 1, 1), 3)}, End: 4, Incarnation: 2}, true, 0)
	d.applyMembers(Page{Items: []Item{item(t, "c", recordOf("c", 1, 1), 90)}, End: 91, Incarnation: 1}, false, 0)
	if d.hasMember("c", 1) || d.membersOffset != 4 {
		t.Errorf("members %v, offset %d", d.Snapshot().Members, d.membersOffset)
	}
	d.applyConfig(Page{Items: document("9 golf"), End: 1, Incarnation: 1}, false, boottime.Now())
	if d.Snapshot().Version != 0 {
		t.Error("a configuration of an earlier incarnation is in force")
	}
}

// A restored store revives neither an instance that has left nor a process that was
// replaced by a later one; a later change by the node is applied.
func TestRestoredStoreDoesNotReviveOldRecords(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	departed := recordOf("b", 5, 7)
	departed.Present, departed.Member.Draining = false, true
	read := func(incarnation, offset uint64, whole bool, r Record) {
		d.applyMembers(Page{Items: []Item{item(t, "b", r, offset)}, End: offset + 1, Incarnation: incarnation}, whole, 0)
	}
	read(1, 50, true, departed)
	read(2, 20, true, recordOf("b", 5, 6))
	if d.hasMember("b", 5) {
		t.Error("an instance that had left is back")
	}
	read(2, 21, false, recordOf("b", 4, 9))
	if d.hasMember("b", 4) {
		t.Error("an earlier process is back")
	}
	d.pruneAt = 1
	d.prune()
	if d.records["b"].Record.Revision != 7 {
		t.Errorf("record %+v", d.records["b"])
	}
	read(2, 22, false, recordOf("b", 5, 8))
	if !d.hasMember("b", 5) {
		t.Error("a later change by the node is not applied")
	}
}

// Lost records are kept until their nodes have had the time to write them again,
// and no longer.
func TestLostRecordsAreKeptForGracePeriod(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	d.applyMembers(Page{Items: []Item{
		item(t, "alive", recordOf("alive", 1, 1), 1), item(t, "kept", recordOf("kept", 1, 1), 2), item(t, "gone", recordOf("gone", 1, 1), 3),
	}, End: 4, Incarnation: 1}, true, 0)
	d.applyMembers(Page{Items: []Item{item(t, "kept", recordOf("kept", 1, 1), 2)}, End: 3, Incarnation: 2}, true, 0)
	d.prune()
	for _, name := range []string{"alive", "kept", "gone"} {
		if !d.hasMember(name, 1) {
			t.Errorf("%s is dropped at once", name)
		}
	}
	d.applyMembers(Page{Items: []Item{item(t, "alive", recordOf("alive", 1, 1), 3)}, End: 4, Incarnation: 2}, false, 0)
	d.pruneAt = boottime.Now().Add(-time.Second)
	d.prune()
	if !d.hasMember("alive", 1) || !d.hasMember("kept", 1) || d.hasMember("gone", 1) {
		t.Errorf("members %v", d.Snapshot().Members)
	}
}

// A node that can't reach the restored store sends its record to peers and is not
// dropped.
func TestNodeCutOffFromRestoredStoreIsKept(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	cutOff := recordOf("cut", 1, 1)
	d.applyMembers(Page{Items: []Item{item(t, "cut", cutOff, 1)}, End: 2, Incarnation: 1}, true, 0)
	d.applyMembers(Page{End: 1, Incarnation: 2}, true, 0)
	if _, err := d.handleStateRequest(t.Context(), "", stateRequest{Name: "cut", OwnRecord: cutOff}); err != nil {
		t.Fatal(err)
	}
	d.pruneAt = boottime.Now().Add(-time.Second)
	d.prune()
	if !d.hasMember("cut", 1) {
		t.Error("a live node was dropped")
	}
}

// A process learns from peers that its predecessor's instance had left, even if the
// restored store has lost that record.
func TestSuccessorLearnsOfDepartedInstanceFromPeers(t *testing.T) {
	nodes := map[string]*fakePeers{}
	peer, _ := newNode("peer", "x", nodes)
	formerRecord := recordOf("a", 5, 9)
	formerRecord.Instance = Instance{ID: "i-1", StartedMS: 100, Left: true}
	peer.applyMembers(Page{Items: []Item{item(t, "a", formerRecord, 40)}, End: 41, Incarnation: 1}, true, 0)

	d, _ := newNode("a", "x", nodes)
	previous := make(chan Instance, 2)
	d.options.OnPreviousInstance = func(i Instance) { previous <- i }
	olderRecord := recordOf("a", 5, 8)
	olderRecord.Instance = Instance{ID: "i-1", StartedMS: 100}
	d.applyMembers(Page{Items: []Item{item(t, "a", olderRecord, 20)}, End: 21, Incarnation: 2}, true, 0)
	if i := <-previous; i.Left {
		t.Fatal("the restored record already marks the instance as left")
	}
	if _, err := d.requestState(t.Context(), state.Member{CallAddr: "peer"}); err != nil {
		t.Fatal(err)
	}
	if i := <-previous; !i.Left || i.ID != "i-1" {
		t.Errorf("previous instance %+v, want i-1 marked as left", i)
	}
	if !d.own.Instance.Left || d.own.Instance.ID != "i-1" {
		t.Errorf("the process's record names the instance %+v, want i-1 marked as left", d.own.Instance)
	}
	if d.own.Member.AnnouncedMS <= 5 || d.ownWritten {
		t.Error("the process's record is not newer than its predecessor's")
	}
	select {
	case <-d.writeSignal:
	default:
		t.Error("no write of the process's record is scheduled")
	}
}

// Pool owners are ordered by incarnation first, since generations decrease when the
// store is restored from a backup.
func TestPoolOwnersAreOrderedByIncarnationFirst(t *testing.T) {
	pools := map[int]state.PoolOwner{}
	members := map[state.MemberID]state.Member{}
	olderRecord, newerRecord := recordOf("b", 1, 1), recordOf("c", 1, 1)
	olderRecord.Pools, olderRecord.PoolGeneration, olderRecord.PoolIncarnation = []int{3}, 40, 1
	newerRecord.Pools, newerRecord.PoolGeneration, newerRecord.PoolIncarnation = []int{3}, 12, 2
	for _, records := range [][]Record{{olderRecord, newerRecord}, {newerRecord, olderRecord}} {
		clear(pools)
		for _, r := range records {
			addRecord(members, pools, r)
		}
		if pools[3].Member.ID != newerRecord.Member.ID {
			t.Errorf("owner %s", pools[3].Member.ID)
		}
	}
}
