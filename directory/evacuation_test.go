package directory

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/boottime"
	"github.com/gooseberryflow/gooseberryflow/state"
)

const evacuationPrefix = "evacuate/"

func newEvacuationNode(name, domain string, nodes map[string]*fakePeers) *Directory {
	d, _ := newNode(name, domain, nodes)
	d.options.Topics.EvacuationPrefix = evacuationPrefix
	return d
}

func evacuate(domain string, offset uint64) Item {
	return Item{Key: evacuationPrefix + domain, Value: []byte("{}"), Offset: offset}
}

func endEvacuation(domain string, offset uint64) Item {
	return Item{Key: evacuationPrefix + domain, Offset: offset}
}

// wantEvacuated checks which failure domains are evacuated, given as a list separated by
// blanks.
func (d *Directory) wantEvacuated(t *testing.T, when, want string) {
	t.Helper()
	if got := strings.Join(slices.Sorted(maps.Keys(d.Snapshot().Evacuations)), " "); got != want {
		t.Errorf("%s: evacuated %q, want %q", when, got, want)
	}
}

func (d *Directory) readConfig(incarnation, end uint64, whole bool, items ...Item) {
	d.applyConfig(Page{Items: items, End: end, Incarnation: incarnation}, whole, boottime.Now())
}

// Guards against calls to an evacuated failure domain between the first configuration
// and the record: a node that starts learns both at once.
func TestEvacuationIsInForceWithFirstConfiguration(t *testing.T) {
	d := newEvacuationNode("a", "x", map[string]*fakePeers{})
	atConfig := ""
	d.options.Decode = func(data []byte) (*config.Config, uint64, error) {
		atConfig = strings.Join(slices.Sorted(maps.Keys(d.Snapshot().Evacuations)), " ")
		return decode(data)
	}
	d.readConfig(1, 3, true, Item{Key: "it", Value: []byte("5 golf"), Offset: 1}, evacuate("y", 2))
	if d.Snapshot().Version != 5 || atConfig != "y" {
		t.Errorf("version %d, evacuated %q while the configuration was decoded, want y", d.Snapshot().Version, atConfig)
	}
	d.wantEvacuated(t, "after the first read", "y")
}

// Guards against records for keys that only begin like the prefix, and against
// evacuations where the deployment has none.
func TestOnlyEvacuationRecordsEvacuate(t *testing.T) {
	d := newEvacuationNode("a", "x", map[string]*fakePeers{})
	items := []Item{evacuate("", 1), {Key: "evacuat", Value: []byte("{}"), Offset: 2}, {Key: "evacuated/z", Value: []byte("{}"), Offset: 3}}
	d.readConfig(1, 4, true, items...)
	d.wantEvacuated(t, "other keys", "")
	d.options.Topics.EvacuationPrefix = ""
	d.readConfig(1, 5, false, evacuate("y", 4))
	d.wantEvacuated(t, "without a prefix", "")
}

// Guards against an evacuation that outlasts its record, and against the deletion of one
// record ending the evacuation of another failure domain.
func TestDeletedRecordEndsEvacuation(t *testing.T) {
	d := newEvacuationNode("a", "x", map[string]*fakePeers{})
	d.readConfig(1, 3, true, evacuate("y", 1), evacuate("z", 2))
	d.wantEvacuated(t, "two at once", "y z")
	d.readConfig(1, 4, false, endEvacuation("y", 3))
	d.wantEvacuated(t, "one deleted", "z")
	d.readConfig(1, 7, false, endEvacuation("z", 4), evacuate("y", 5), endEvacuation("y", 6))
	d.wantEvacuated(t, "all deleted", "")
}

// Guards against a deletion being missed whose record the store has compacted away: the
// latest records lack the key then.
func TestTailCompactedWhileRecordWasDeleted(t *testing.T) {
	d := newEvacuationNode("a", "x", map[string]*fakePeers{})
	d.readConfig(1, 3, true, evacuate("y", 1), evacuate("z", 2))
	d.readConfig(1, 9, true, evacuate("z", 2))
	d.wantEvacuated(t, "read anew", "z")
}

// Guards against an undecodable configuration holding up an evacuation.
func TestEvacuationBesideUndecodableDocument(t *testing.T) {
	d := newEvacuationNode("a", "x", map[string]*fakePeers{})
	d.readConfig(1, 2, true, document("5 golf")...)
	d.readConfig(1, 4, false, Item{Key: "it", Value: []byte("9 bad"), Offset: 2}, evacuate("y", 3))
	d.wantEvacuated(t, "beside the document", "y")
}

// Guards against nodes without the store missing a change, and against a peer that is
// behind undoing one.
func TestEvacuationIsLearntFromPeerOfLaterPosition(t *testing.T) {
	nodes := map[string]*fakePeers{}
	ahead, behind, d := newEvacuationNode("ahead", "y", nodes), newEvacuationNode("behind", "y", nodes), newEvacuationNode("d", "x", nodes)
	learn := func(from string) {
		t.Helper()
		if _, err := d.requestState(t.Context(), state.Member{CallAddr: from}); err != nil {
			t.Fatal(err)
		}
	}
	learn("behind")
	d.wantEvacuated(t, "from a peer that knows nothing", "")
	ahead.readConfig(1, 3, true, evacuate("y", 2))
	learn("ahead")
	d.wantEvacuated(t, "from a peer that has read it", "y")
	behind.readConfig(1, 2, true)
	learn("behind")
	d.wantEvacuated(t, "from a peer of an earlier position", "y")
	ahead.readConfig(1, 4, false, endEvacuation("y", 3))
	learn("ahead")
	d.wantEvacuated(t, "the deletion from a peer", "")
	behind.readConfig(1, 3, false, evacuate("y", 2))
	learn("behind")
	d.wantEvacuated(t, "deleted before, from a peer of an earlier position", "")
}

// Guards against a node that becomes the reader reading again what its peers have told
// it: neither a deletion nor a later record is undone while it reads the old part.
func TestNewReaderReadsOldPartOfTail(t *testing.T) {
	nodes := map[string]*fakePeers{}
	reader, d := newEvacuationNode("reader", "x", nodes), newEvacuationNode("d", "x", nodes)
	d.readConfig(1, 2, true)
	reader.readConfig(1, 2, true)
	tail := []Item{evacuate("y", 2), endEvacuation("y", 3), evacuate("z", 4)}
	reader.readConfig(1, 5, false, tail...)
	if _, err := d.requestState(t.Context(), state.Member{CallAddr: "reader"}); err != nil {
		t.Fatal(err)
	}
	d.wantEvacuated(t, "from the former reader", "z")
	d.readConfig(1, 3, false, tail[:1]...)
	d.wantEvacuated(t, "after a part of the tail", "z")
	d.readConfig(1, 5, false, tail[1:]...)
	d.wantEvacuated(t, "after the tail", "z")
	d.readConfig(1, 6, false, append(tail, endEvacuation("z", 5))...)
	d.wantEvacuated(t, "after a tail that overlaps what is known", "")
}

// expireNow ends the time for which lost evacuations are kept.
func (d *Directory) expireNow() {
	if d.evacuations.keptUntil != 0 {
		d.evacuations.keptUntil = boottime.Now().Add(-1)
	}
	d.expireEvacuations()
}

// Guards against an evacuation ending because the store came back from a copy that lacks
// the record, before the operator could write it again; and against one that stays
// although it isn't written again.
func TestRestoredStoreKeepsEvacuationsForAWhile(t *testing.T) {
	for _, c := range []struct {
		name      string
		copied    []Item // in the copy
		then      []Item // written afterwards
		want      string // once the store is back
		wantLater string // after the time for writing again
	}{
		{"the copy has the record", []Item{evacuate("y", 1)}, nil, "y", "y"},
		{"the copy lacks the record", nil, nil, "y", ""},
		{"written again", nil, []Item{evacuate("y", 1)}, "y", "y"},
		{"deleted meanwhile", nil, []Item{evacuate("y", 1), endEvacuation("y", 2)}, "y", ""},
		{"another written", nil, []Item{evacuate("z", 1)}, "y", "z"},
	} {
		d := newEvacuationNode("a", "x", map[string]*fakePeers{})
		d.readConfig(1, 9, true, evacuate("y", 8))
		d.readConfig(2, 1, true, c.copied...)
		d.expireEvacuations()
		d.wantEvacuated(t, c.name+", at once", c.want)
		d.readConfig(2, 1+uint64(len(c.then)), false, c.then...)
		d.expireNow()
		d.wantEvacuated(t, c.name+", later", c.wantLater)
	}
}

// Guards against a second read of all latest records, as after a compaction or by a node
// that knew the incarnation from a peer, dropping what is kept.
func TestLostEvacuationIsKeptAcrossReads(t *testing.T) {
	nodes := map[string]*fakePeers{}
	peer, d := newEvacuationNode("peer", "y", nodes), newEvacuationNode("d", "x", nodes)
	for _, n := range []*Directory{peer, d} {
		n.readConfig(1, 9, true, evacuate("y", 8))
	}
	peer.readConfig(2, 1, true)
	if _, err := d.requestState(t.Context(), state.Member{CallAddr: "peer"}); err != nil {
		t.Fatal(err)
	}
	d.wantEvacuated(t, "from a peer in the new incarnation", "y")
	d.readConfig(2, 1, true)
	d.wantEvacuated(t, "after its own read", "y")
	d.readConfig(2, 3, true)
	d.wantEvacuated(t, "after another read", "y")
	d.expireNow()
	d.wantEvacuated(t, "later", "")
}

// Guards against nodes that learnt a kept evacuation from a peer keeping it for good:
// the position doesn't change when the peer drops it.
func TestKeptEvacuationFromPeerIsDropped(t *testing.T) {
	nodes := map[string]*fakePeers{}
	peer, d, fresh := newEvacuationNode("peer", "y", nodes), newEvacuationNode("d", "x", nodes), newEvacuationNode("fresh", "x", nodes)
	peer.readConfig(1, 9, true, evacuate("y", 8))
	d.readConfig(1, 9, true, evacuate("y", 8))
	peer.readConfig(2, 1, true)
	peer.readConfig(2, 2, false, Item{Key: "it", Value: []byte("6 golf"), Offset: 1})
	for _, n := range []*Directory{d, fresh} {
		if _, err := n.requestState(t.Context(), state.Member{CallAddr: "peer"}); err != nil {
			t.Fatal(err)
		}
		n.wantEvacuated(t, "from the peer", "y")
		n.expireNow()
		n.wantEvacuated(t, "after the time for writing again", "")
	}
}

// Guards against nodes missing changes together with the others: with and without the
// store, and when it comes back from a copy that lacks the records.
func TestNodesFollowEvacuationsOfStore(t *testing.T) {
	store := newSharedStore()
	store.incarnation = 1
	store.put("config", "it", []byte("5 golf"))
	nodes := map[string]*fakePeers{}
	var running sync.WaitGroup
	t.Cleanup(running.Wait) // by then the context has ended
	var all []*Directory
	var clients []*storeClient
	for i, domain := range []string{"x", "x", "y", "y"} {
		d := newEvacuationNode("n"+string(rune('0'+i)), domain, nodes)
		client := &storeClient{store: store}
		d.options.Store = client
		all, clients = append(all, d), append(clients, client)
	}
	for _, d := range all {
		running.Go(func() { d.Run(t.Context()) })
	}
	allEvacuated := func(what string, want ...string) {
		t.Helper()
		for _, d := range all {
			eventually(t, what, func() bool {
				return d.Snapshot().Version == 5 && slices.Equal(slices.Sorted(maps.Keys(d.Snapshot().Evacuations)), want)
			})
		}
	}
	allEvacuated("the configuration is in force")
	for _, d := range all {
		eventually(t, "the nodes know each other", func() bool { return d.Snapshot().Nodes == len(all) })
	}
	store.put("config", evacuationPrefix+"y", []byte("{}"))
	allEvacuated("the evacuation is in force", "y")
	// One node can't reach the store and learns the next change from the others.
	clients[1].cutOff.Store(true)
	clients[2].cutOff.Store(true)
	store.put("config", evacuationPrefix+"x", []byte("{}"))
	allEvacuated("a second evacuation is in force", "x", "y")
	store.put("config", evacuationPrefix+"y", nil)
	allEvacuated("one has ended", "x")
	clients[1].cutOff.Store(false)
	clients[2].cutOff.Store(false)
	store.restore("config", 3) // lacks both evacuations
	allEvacuated("what the store has lost is dropped")
}
