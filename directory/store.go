package directory

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the records asked for have been dropped; newer ones
// of the same keys remain.
var ErrCompacted = errors.New("records have been dropped")

// Item is the record of a key.
type Item struct {
	Key string
	// Value is empty for a key that has been dropped.
	Value  []byte
	Offset uint64
}

// Page is a part of the newest records or of the tail.
type Page struct {
	Items []Item
	// End is the offset to read on from.
	End uint64
	// Incarnation is that of the store which has answered.
	Incarnation uint64
}

// Store is a linearizable store of keyed topics. Its errors say nothing about
// whether a write took effect.
//
// A store that comes back from a copy is a new incarnation: what was written
// since the copy is gone, and offsets are given out again. Answers of an earlier
// incarnation that arrive late are errors.
type Store interface {
	// Incarnation returns the newest that an answer has told; zero before the first
	// and for stores that tell none.
	Incarnation() uint64
	// Latest returns the newest record of each key, and an end from before the
	// first of them was read.
	Latest(ctx context.Context, topic string) (Page, error)
	// Tail returns the records from an offset on, as soon as there are any or
	// after wait. ErrCompacted means that Latest has to be read again.
	Tail(ctx context.Context, topic string, from uint64, wait time.Duration) (Page, error)
	// Put sets the record of a key.
	Put(ctx context.Context, topic, key string, value []byte) error
}

// Topics names the topics and the key of the configuration.
type Topics struct {
	Config    string
	ConfigKey string
	Members   string
}
