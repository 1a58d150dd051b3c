package kernel

import "time"

// Incarnation identifies one run of an instance.
type Incarnation struct {
	ID string `cbor:"1,keyasint" json:"id"`
	// StartedMS is the start in Unix milliseconds; zero if it isn't known.
	StartedMS int64 `cbor:"2,keyasint,omitempty" json:"started_ms,omitempty"`
}

// Same reports whether a and b are the same run, as far as is known: an instance
// may restart under its old ID.
func (a Incarnation) Same(b Incarnation) bool {
	return a.ID == b.ID && (a.StartedMS == b.StartedMS || a.StartedMS == 0 || b.StartedMS == 0)
}

// InstanceReport is what an instance has said of itself in its responses.
type InstanceReport struct {
	Incarnation Incarnation `cbor:"1,keyasint" json:"instance"`
	// RateLimit is the number of requests per second that the instance accepts
	// from all callers together; zero means that it has named no limit.
	RateLimit float64 `cbor:"2,keyasint,omitempty" json:"rate_limit,omitempty"`
	// Leaving is set once the instance has said that it shuts down.
	Leaving bool `cbor:"3,keyasint,omitempty" json:"leaving,omitempty"`
	// Age is the time since the instance said so.
	Age time.Duration `cbor:"4,keyasint,omitempty" json:"age_ns,omitempty"`
}
