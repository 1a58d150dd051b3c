package directory

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the requested records have been compacted away; newer
// records of the same keys remain.
var ErrCompacted = errors.New("records have been compacted")

// Item is one record of a key.
type Item struct {
	Key string
	// Value is empty for a key that has been deleted.
	Value  []byte
	Offset uint64
}

// Page is a part of the latest records or of the tail.
type Page struct {
	Items []Item
	// End is the offset from which to continue reading.
	End uint64
	// Incarnation is the incarnation of the store that responded.
	Incarnation uint64
}

// Store is a linearizable store of keyed topics. A write that returned an error may
// have taken effect.
//
// A store restored from a backup is a new incarnation: writes since the backup are
// lost and offsets are assigned again. A response of an earlier incarnation that
// arrives late must be returned as an error.
type Store interface {
	// Incarnation returns the newest incarnation seen in a response; zero before the
	// first response and for stores that report none.
	Incarnation() uint64
	// Latest returns the latest record of each key. Page.End is the end of the topic
	// before the first of them was read.
	Latest(ctx context.Context, topic string) (Page, error)
	// Tail returns the records from an offset on as soon as there are any, or none
	// after wait. On ErrCompacted, call Latest again.
	Tail(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
	// Put sets the record of a key.
	Put(ctx context.Context, topic, key string, value []byte) error
}

// Topics names the topics of the store and the keys of the topic Config: ConfigKey is
// that of the configuration, EvacuationPrefix followed by the name of a failure domain
// that of its evacuation. Without a prefix there are no evacuations.
type Topics struct {
	Config           string
	ConfigKey        string
	EvacuationPrefix string
	Members          string
}
