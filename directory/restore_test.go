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

// fleetOf starts nodes that share a store.
func fleetOf(t *testing.T, count int, store *sharedStore) ([]*Directory, []*access) {
	t.Helper()
	nodes := map[string]*fakePeers{}
	all, ways := make([]*Directory, count), make([]*access, count)
	var running sync.WaitGroup
	t.Cleanup(running.Wait) // by then the context has ended
	for i := range all {
		all[i], _ = newNode(fmt.Sprint("n", i), "x", nodes)
		ways[i] = &access{store: store}
		all[i].options.Store = ways[i]
	}
	for _, d := range all {
		running.Go(func() { d.Run(t.Context()) })
	}
	return all, ways
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

func (d *Directory) has(name string, announced int64) bool {
	_, ok := d.Snapshot().Members[state.MemberID(fmt.Sprint(name, "#", announced))]
	return ok
}

// Pattern: the store comes back from a copy, and has grown past the position of
// its readers before they ask again: no offset is missing, only the incarnation
// tells. All nodes learn what was written since, and write their own records
// again, once each; those that the copy holds are not written.
func TestRestoredStoreIsReadAnew(t *testing.T) {
	const count = 8
	store := newSharedStore()
	store.incarnation = 1
	all, ways := fleetOf(t, count, store)
	store.put("config", "it", []byte("5 golf"))
	eventually(t, "all know all", func() bool {
		for _, d := range all {
			if d.Snapshot().Version != 5 || d.Snapshot().Nodes != count {
				return false
			}
		}
		return true
	})
	for _, way := range ways {
		way.cut.Store(true)
	}
	const lost = 5
	store.restore("members", lost)
	for i := range 3 * lost { // the topic grows past the old end
		store.put("members", fmt.Sprint("new", i), mustEncode(t, recordOf(fmt.Sprint("new", i), 1, 1)))
	}
	store.put("config", "it", []byte("6 golf"))
	for _, way := range ways {
		way.puts.Store(0)
		way.cut.Store(false)
	}
	eventually(t, "all know what was written since", func() bool {
		for _, d := range all {
			if d.Snapshot().Version != 6 || !d.has("new0", 1) || !d.has(fmt.Sprint("new", 3*lost-1), 1) {
				return false
			}
		}
		return true
	})
	eventually(t, "all records are back", func() bool {
		page, err := ways[0].Latest(t.Context(), "members")
		return err == nil && len(page.Items) == count+3*lost
	})
	puts := int64(0)
	for _, way := range ways {
		puts += way.puts.Load()
	}
	if puts < lost || puts > lost+1 {
		t.Errorf("%d writes for %d records that fell out", puts, lost)
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

// A configuration that fell out of the store stays in force, also for a process
// that starts afterwards: it asks others before it uses the store's.
func TestRestoredConfigurationNeverGoesBack(t *testing.T) {
	store := newSharedStore()
	store.incarnation = 1
	store.put("config", "it", []byte("7 golf"))
	store.put("config", "it", []byte("9 club"))
	all, _ := fleetOf(t, 3, store)
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
	fresh.options.Store = &access{store: store}
	var running sync.WaitGroup
	t.Cleanup(running.Wait) // by then the context has ended
	running.Go(func() { fresh.Run(t.Context()) })
	eventually(t, "a fresh process has one", func() bool {
		if v := fresh.Snapshot().Version; v != 0 && v != 9 {
			t.Fatalf("version %d came back", v)
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

// After the store has come back, its configuration vouches for the one in force
// only once it has been written anew, or after restoreTrust: a version that no
// node has seen may have withdrawn keys. Before that the age counts on.
func TestRestoredConfigurationVouchesLater(t *testing.T) {
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
		{"nothing new", Page{Incarnation: 2}, false, restoreTrust / 2, false},
		{"older version", page(2, "4 golf"), true, 0, false},
		{"written anew", page(2, "5 golf"), false, 0, true},
		{"later", Page{Incarnation: 2}, false, restoreTrust + time.Second, true},
		{"older version, later", page(2, "4 golf"), true, restoreTrust + time.Second, true},
	} {
		d, _ := newNode("a", "x", map[string]*fakePeers{})
		d.applyConfig(page(1, "5 golf"), true, boottime.Now().Add(-time.Second))
		before := d.contact.Load()
		d.applyConfig(c.then, c.whole, boottime.Now().Add(c.after))
		if got := d.contact.Load() > before; got != c.want {
			t.Errorf("%s: vouched %v, want %v", c.name, got, c.want)
		}
		if d.Snapshot().Version != 5 {
			t.Errorf("%s: version %d", c.name, d.Snapshot().Version)
		}
	}
}

// A page of an earlier incarnation that arrives late changes nothing.
func TestRestoredLateAnswerIsDropped(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	d.applyMembers(Page{Items: []Item{item(t, "b", recordOf("b", 1, 1), 3)}, End: 4, Incarnation: 2}, true, 0)
	d.applyMembers(Page{Items: []Item{item(t, "c", recordOf("c", 1, 1), 90)}, End: 91, Incarnation: 1}, false, 0)
	if d.has("c", 1) || d.membersNext != 4 {
		t.Errorf("members %v, next %d", d.Snapshot().Members, d.membersNext)
	}
	d.applyConfig(Page{Items: document("9 golf"), End: 1, Incarnation: 1}, false, boottime.Now())
	if d.Snapshot().Version != 0 {
		t.Error("a configuration of an earlier incarnation is in force")
	}
}

// An instance that has left doesn't come back with the copy, nor does a process
// that another has followed; what a node changes later counts.
func TestRestoredRecordIsOlderThanBelieved(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	left := recordOf("b", 5, 7)
	left.Present, left.Member.Draining = false, true
	read := func(incarnation, offset uint64, whole bool, r Record) {
		d.applyMembers(Page{Items: []Item{item(t, "b", r, offset)}, End: offset + 1, Incarnation: incarnation}, whole, 0)
	}
	read(1, 50, true, left)
	read(2, 20, true, recordOf("b", 5, 6))
	if d.has("b", 5) {
		t.Error("an instance that had left is back")
	}
	read(2, 21, false, recordOf("b", 4, 9))
	if d.has("b", 4) {
		t.Error("an earlier process is back")
	}
	d.pruneAt = 1
	d.prune()
	if d.records["b"].Record.Revision != 7 {
		t.Errorf("record %+v", d.records["b"])
	}
	read(2, 22, false, recordOf("b", 5, 8))
	if !d.has("b", 5) {
		t.Error("a change by the node itself doesn't count")
	}
}

// Records that fell out are believed until their nodes have had the time to
// write them again, and not longer.
func TestRestoredRecordsThatFellOut(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	d.applyMembers(Page{Items: []Item{
		item(t, "alive", recordOf("alive", 1, 1), 1), item(t, "kept", recordOf("kept", 1, 1), 2), item(t, "gone", recordOf("gone", 1, 1), 3),
	}, End: 4, Incarnation: 1}, true, 0)
	d.applyMembers(Page{Items: []Item{item(t, "kept", recordOf("kept", 1, 1), 2)}, End: 3, Incarnation: 2}, true, 0)
	d.prune()
	for _, name := range []string{"alive", "kept", "gone"} {
		if !d.has(name, 1) {
			t.Errorf("%s is dropped at once", name)
		}
	}
	d.applyMembers(Page{Items: []Item{item(t, "alive", recordOf("alive", 1, 1), 3)}, End: 4, Incarnation: 2}, false, 0)
	d.pruneAt = boottime.Now().Add(-time.Second)
	d.prune()
	if !d.has("alive", 1) || !d.has("kept", 1) || d.has("gone", 1) {
		t.Errorf("members %v", d.Snapshot().Members)
	}
}

// A node that can't reach the store passes its record on itself, and is not
// taken for gone.
func TestRestoredNodeWithoutStoreIsKept(t *testing.T) {
	d, _ := newNode("a", "x", map[string]*fakePeers{})
	cut := recordOf("cut", 1, 1)
	d.applyMembers(Page{Items: []Item{item(t, "cut", cut, 1)}, End: 2, Incarnation: 1}, true, 0)
	d.applyMembers(Page{End: 1, Incarnation: 2}, true, 0)
	if _, err := d.onAsk(t.Context(), "", question{Name: "cut", Own: cut}); err != nil {
		t.Fatal(err)
	}
	d.pruneAt = boottime.Now().Add(-time.Second)
	d.prune()
	if !d.has("cut", 1) {
		t.Error("dropped though it lives")
	}
}

// What a process has acknowledged reaches its successor by other nodes when the
// store has lost it.
func TestRestoredSuccessorHearsOfTheInstanceThatLeft(t *testing.T) {
	nodes := map[string]*fakePeers{}
	peer, _ := newNode("peer", "x", nodes)
	former := recordOf("a", 5, 9)
	former.Instance = Instance{ID: "i-1", StartedMS: 100, Left: true}
	peer.applyMembers(Page{Items: []Item{item(t, "a", former, 40)}, End: 41, Incarnation: 1}, true, 0)

	d, _ := newNode("a", "x", nodes)
	recalled := make(chan Instance, 2)
	d.options.OnPreviousInstance = func(i Instance) { recalled <- i }
	older := recordOf("a", 5, 8)
	older.Instance = Instance{ID: "i-1", StartedMS: 100}
	d.applyMembers(Page{Items: []Item{item(t, "a", older, 20)}, End: 21, Incarnation: 2}, true, 0)
	if i := <-recalled; i.Left {
		t.Fatal("the copy knows")
	}
	if _, err := d.askOne(t.Context(), state.Member{CallAddr: "peer"}); err != nil {
		t.Fatal(err)
	}
	if i := <-recalled; !i.Left || i.ID != "i-1" {
		t.Errorf("recalled %+v", i)
	}
	if d.own.Member.AnnouncedMS <= 5 || d.written {
		t.Error("the process doesn't follow the former one")
	}
	select {
	case <-d.wake:
	default:
		t.Error("its record is not written")
	}
}

// Owners are told apart by incarnation first: generations fall with the copy.
func TestRestoredOwnersOfPools(t *testing.T) {
	pools := map[int]state.PoolOwner{}
	members := map[state.MemberID]state.Member{}
	before, after := recordOf("b", 1, 1), recordOf("c", 1, 1)
	before.Pools, before.PoolTerm, before.PoolIncarnation = []int{3}, 40, 1
	after.Pools, after.PoolTerm, after.PoolIncarnation = []int{3}, 12, 2
	for _, records := range [][]Record{{before, after}, {after, before}} {
		clear(pools)
		for _, r := range records {
			addRecord(members, pools, r)
		}
		if pools[3].Member.ID != after.Member.ID {
			t.Errorf("owner %s", pools[3].Member.ID)
		}
	}
}
