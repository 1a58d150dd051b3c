package admission

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// MaxThreshold is the threshold that admits every call.
const MaxThreshold uint32 = math.MaxUint32

const (
	priorityShift = 30
	// minThreshold is the first rank below the top priority; no threshold is
	// lower.
	minThreshold uint32 = 1 << priorityShift
)

// Rank returns the shed rank of a call: calls are shed from the highest rank
// down. All calls of a tree with the same priority have the same rank on every
// node.
func Rank(p config.Priority, root kernel.CallID) uint32 {
	hash := uint32(xxhash.Sum64(root[:]) >> (64 - priorityShift))
	return uint32(min(p, config.PriorityCount-1))<<priorityShift | hash
}

// admits reports whether a threshold admits a rank.
func admits(threshold, rank uint32) bool {
	return threshold == MaxThreshold || rank < threshold
}
