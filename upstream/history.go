package upstream

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRequestsPerConn bounds the requests that one connection carries, and with them the
// memory of their IDs. A connection that has reached it is closed.
const maxRequestsPerConn = 512

// history holds the IDs of the requests that a connection has carried. An instance may
// respond to a request twice, the second time where the response to a later request is
// due. The ID tells the two apart only if no two requests on the connection have the
// same one, so a connection carries each ID once.
type history struct {
	hashes []uint64
	heads  []uint64  // those of HEAD requests
	last   time.Time // when the latest request was sent
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// holds reports whether a request whose ID has the hash may have been sent on the
// connection.
func (h *history) holds(hash uint64) bool { return slices.Contains(h.hashes, hash) }

// holdsHead reports whether a HEAD request with the ID may have been sent.
func (h *history) holdsHead(id string) bool {
	return len(h.heads) > 0 && slices.Contains(h.heads, hashID(id))
}

func (h *history) add(r *Request, now time.Time) {
	hash := hashID(r.ID)
	h.hashes = append(h.hashes, hash)
	if r.Method == http.MethodHead {
		h.heads = append(h.heads, hash)
	}
	h.last = now
}

// full reports whether the connection must not carry another request.
func (h *history) full() bool { return len(h.hashes) >= maxRequestsPerConn }

// Mismatch describes a response that does not belong to the request on its connection.
type Mismatch struct {
	// RequestID is the ID of the request that waits, ResponseID that of the response, empty
	// if it has none.
	RequestID, ResponseID string
	Status                int
	// Conn numbers the connections of the pool. Requests is the number of requests that
	// it has carried, with the waiting one.
	Conn     int64
	Requests int
	// Earlier is set if the response names an earlier request of the connection.
	Earlier bool
	// Waiting is the time since the waiting request was sent.
	Waiting time.Duration
}

// maxShownIDBytes bounds the IDs of responses that are kept for reports.
const maxShownIDBytes = 128

// shortID returns the beginning of an ID that an instance has sent, as a copy: a part of the
// string would keep the whole.
func shortID(id string) string { return strings.Clone(id[:min(len(id), maxShownIDBytes)]) }

// Origin is the request that a skipped response names.
type Origin string

// The origins of skipped responses.
const (
	// OriginEarlier means an earlier request of the connection, OriginOther any other
	// request.
	OriginEarlier Origin = "earlier"
	OriginOther   Origin = "other"
	// OriginNone means that the response names no request.
	OriginNone Origin = "none"
)

// Origin returns the request that the response names.
func (m Mismatch) Origin() Origin {
	switch {
	case m.ResponseID == "":
		return OriginNone
	case m.Earlier:
		return OriginEarlier
	}
	return OriginOther
}

func (m Mismatch) String() string {
	return fmt.Sprintf("status %d for %q while %q waits", m.Status, m.ResponseID, m.RequestID)
}

// mismatch describes a response that was read in place of the response to r.
func (c *conn) mismatch(r *Request, resp *Response) Mismatch {
	id := resp.Header.Get(r.IDHeader)
	return Mismatch{
		RequestID: r.ID, ResponseID: shortID(id), Status: resp.Status, Conn: c.number, Requests: len(c.history.hashes),
		Earlier: id != "" && c.history.holds(hashID(id)), Waiting: resp.HeadAt.Sub(c.history.last),
	}
}
