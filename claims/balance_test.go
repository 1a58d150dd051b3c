package claims

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// segments splits a key space by the multiple-choice method (Naor and Wieder,
// "Novel Architectures for P2P Applications"). It holds the sorted starts of the
// members' segments on the unit circle.
type segments []float64

// length returns the length of segment i.
func (s segments) length(i int) float64 {
	if i+1 < len(s) {
		return s[i+1] - s[i]
	}
	return 1 - s[i] + s[0]
}

// segmentAt returns the segment in which a point lies.
func (s segments) segmentAt(point float64) int {
	i, found := slices.BinarySearch(s, point)
	if found {
		return i
	}
	return (i - 1 + len(s)) % len(s)
}

// join halves the longest of the segments at some random points and returns the
// share of the key space that changes owner.
func (s segments) join(rng *rand.Rand) (segments, float64) {
	choices := 2 * int(math.Log2(float64(len(s)+1))+1)
	longest := s.segmentAt(rng.Float64())
	for range choices - 1 {
		if i := s.segmentAt(rng.Float64()); s.length(i) > s.length(longest) {
			longest = i
		}
	}
	half := s.length(longest) / 2
	start := math.Mod(s[longest]+half, 1)
	i, _ := slices.BinarySearch(s, start)
	return slices.Insert(s, i, start), half
}

// removeRandom merges a random segment into the one before it and returns the share of
// the key space that changes owner.
func (s segments) removeRandom(rng *rand.Rand) (segments, float64) {
	i := rng.IntN(len(s))
	moved := s.length(i)
	return slices.Delete(s, i, i+1), moved
}

func (s segments) largestOverMean() float64 {
	largest := 0.0
	for i := range s {
		largest = max(largest, s.length(i))
	}
	return largest * float64(len(s))
}

func rendezvousLargestOverMean(members []state.MemberID) float64 {
	owned := make(map[state.MemberID]int)
	for shard := range uint16(shardCount) {
		best := members[0]
		for _, m := range members[1:] {
			if outranks(m, best, shard) {
				best = m
			}
		}
		owned[best]++
	}
	largest := 0
	for _, n := range owned {
		largest = max(largest, n)
	}
	return float64(largest*len(members)) / shardCount
}

const (
	balanceRuns = 20
	// replacementsPerMember is the number of replacements (a leave and a join) per
	// member between the two measurements of segments.
	replacementsPerMember = 4
)

// BenchmarkBalance compares rendezvous hashing with multiple-choice segments:
// the largest share over the mean, for segments also after each member has been
// replaced some times, and the share moved by a join times the number of members.
func BenchmarkBalance(b *testing.B) {
	for _, n := range []int{5, 16, 183} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(uint64(n), 1))
			for b.Loop() {
				reportBalance(b, n, rng)
			}
		})
	}
}

func reportBalance(b *testing.B, n int, rng *rand.Rand) {
	var rendezvous, fresh, replaced, moved, joins float64
	for range balanceRuns {
		members := make([]state.MemberID, n)
		for i := range members {
			members[i] = state.MemberID(fmt.Sprintf("%x", rng.Uint64()))
		}
		rendezvous += rendezvousLargestOverMean(members)
		s := segments{rng.Float64()}
		for len(s) < n {
			s, _ = s.join(rng)
		}
		fresh += s.largestOverMean()
		for range replacementsPerMember * n {
			var share float64
			s, _ = s.removeRandom(rng)
			s, share = s.join(rng)
			moved += share * float64(n)
			joins++
		}
		replaced += s.largestOverMean()
	}
	b.ReportMetric(rendezvous/balanceRuns, "rendezvous-max/mean")
	b.ReportMetric(fresh/balanceRuns, "segments-max/mean")
	b.ReportMetric(replaced/balanceRuns, "segments-replaced-max/mean")
	b.ReportMetric(moved/joins, "segments-moved/mean-share")
}
