package ratelimit

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Share is a part of a customer's rate limit.
type Share struct {
	// Rate is in tokens per second, Burst in tokens.
	Rate, Burst float64
}

// clockRateError is the largest relative error in the rate of a node's clock that
// the limit allows for.
const clockRateError = 0.001

// domainShare returns the fixed share of a failure domain. The shares of all
// domains sum to the whole. The burst is split into whole tokens, since a bucket
// of less than one token never admits anything. The rate is split equally over
// the domains that have a part of the burst.
func domainShare(c config.Customer, domains []string, domain string) Share {
	ranked := append([]string(nil), domains...)
	sort.Slice(ranked, func(i, j int) bool {
		return rendezvousWeight(ranked[i], c.Name) > rendezvousWeight(ranked[j], c.Name)
	})
	n := len(ranked)
	wholeTokens := int(math.Floor(c.Burst))
	holders := min(n, wholeTokens)
	for i, d := range ranked {
		if d != domain || i >= holders {
			continue
		}
		burst := wholeTokens / n
		if i < wholeTokens%n {
			burst++
		}
		rate := c.Rate * (1 - clockRateError) / float64(holders)
		return Share{Rate: rate, Burst: float64(burst)}
	}
	return Share{}
}

// rendezvousWeight is the rendezvous hashing weight of a node (or domain) for a key.
func rendezvousWeight(node, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(node)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// PoolOwner returns the member of a failure domain's roster that owns a customer's pool: the
// one with the largest rendezvous weight. It returns false if the roster is empty.
func PoolOwner(roster []state.Member, customer string) (state.Member, bool) {
	var owner state.Member
	var largest uint64
	found := false
	for _, m := range roster {
		w := rendezvousWeight(string(m.ID), customer)
		if !found || w > largest {
			owner, largest, found = m, w, true
		}
	}
	return owner, found
}

// rosterDigest identifies a roster ordered by member ID.
func rosterDigest(roster []state.Member) uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, m := range roster {
		_, _ = d.WriteString(string(m.ID))
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}
