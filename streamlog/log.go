// Package streamlog defines the interface of the platform's append-only log
// service and implements an HTTP client of it.
package streamlog

import (
	"context"
	"errors"
)

// Entry is one record of a stream.
type Entry struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// Page is the response to a read.
type Page struct {
	Entries []Entry `json:"entries"`
	// Oldest is the first offset still retained, Next the offset of the next
	// record to be appended.
	Oldest uint64 `json:"oldest"`
	Next   uint64 `json:"next"`
}

// Log is one stream of the append-only log.
type Log interface {
	// Append adds a record and returns its offset. ErrOutcomeUnknown means that the
	// record may or may not have been written; any other error means that it was
	// not.
	Append(ctx context.Context, data []byte) (uint64, error)
	// Read returns up to limit records, beginning with offset from or, if that has
	// expired, with the oldest retained one.
	Read(ctx context.Context, from uint64, limit int) (Page, error)
}

// ErrOutcomeUnknown reports an append whose response was lost.
var ErrOutcomeUnknown = errors.New("append outcome unknown")
