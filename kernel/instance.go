package kernel

import (
	"time"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// InstanceReport is what an instance has said of itself in its responses.
type InstanceReport struct {
	Incarnation state.Incarnation `cbor:"1,keyasint" json:"instance"`
	// RateLimit is the number of requests per second that the instance accepts
	// from all callers together; zero means that it has named no limit.
	RateLimit float64 `cbor:"2,keyasint,omitempty" json:"rate_limit,omitempty"`
	// Leaving is set once the instance has said that it shuts down.
	Leaving bool `cbor:"3,keyasint,omitempty" json:"leaving,omitempty"`
	// Age is the time since the instance said so.
	Age time.Duration `cbor:"4,keyasint,omitempty" json:"age_ns,omitempty"`
}
