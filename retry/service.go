package retry

import (
	"math"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const (
	// usedBudgetFraction is the fraction of the fleet's bounds (RetryBounds) that
	// all nodes together use. The rest is a margin because nodes count attempts at
	// different moments.
	usedBudgetFraction = 0.6
	// earnedHalfLife is the age at which half of the tokens earned by first
	// attempts is dropped: at a steady rate five seconds' worth accumulates, half
	// of a window. maxEarned bounds the accumulated tokens of a node.
	earnedHalfLife = 3500 * time.Millisecond
	maxEarned      = 5.0
	// usedSlackFraction is the maximum fraction of the slack that a node spends or
	// accumulates.
	usedSlackFraction = 0.5
)

// budget bounds the retries at a service.
type budget interface {
	recordFirstAttempt()
	spend() bool
	refund()
}

// serviceBudget is a token bucket that is filled by first attempts at one
// service and, slowly, by the node's share of the slack.
type serviceBudget struct {
	bounds kernel.RetryBounds
	rand   func() uint64

	mu           sync.Mutex
	earnedTokens float64 // from first attempts
	slackTokens  float64 // from the slack
	nodes        float64
	lastTick     time.Time
}

func newServiceBudget(b kernel.RetryBounds, nodes int, now time.Time, rand func() uint64) *serviceBudget {
	s := &serviceBudget{bounds: b, rand: rand, nodes: float64(nodes), lastTick: now}
	s.slackTokens = s.slackPerNode()
	return s
}

// slackPerNode returns the node's share of the attempts per window beyond the
// ratio.
func (s *serviceBudget) slackPerNode() float64 {
	return usedSlackFraction * usedBudgetFraction * s.bounds.Slack / s.nodes
}

func (s *serviceBudget) recordFirstAttempt() {
	s.mu.Lock()
	s.earnedTokens += usedBudgetFraction * s.bounds.Ratio
	s.mu.Unlock()
}

// spend takes one token. A node with only a fraction of a token may retry with
// that probability and loses the fraction in either case. Many nodes with
// little traffic can thus use their fractions and together stay within the sum
// of them.
func (s *serviceBudget) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	available := s.earnedTokens + s.slackTokens
	if available < 1 {
		s.earnedTokens, s.slackTokens = 0, 0
		return float64(s.rand()>>11)/(1<<53) < available
	}
	s.earnedTokens--
	if s.earnedTokens < 0 {
		s.earnedTokens, s.slackTokens = 0, s.slackTokens+s.earnedTokens
	}
	return true
}

func (s *serviceBudget) refund() {
	s.mu.Lock()
	s.earnedTokens++
	s.mu.Unlock()
}

// tick adds the node's share of the slack and decays the earned tokens.
func (s *serviceBudget) tick(now time.Time, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = float64(nodes)
	elapsed := now.Sub(s.lastTick).Seconds()
	s.lastTick = now
	s.earnedTokens = min(s.earnedTokens*math.Exp2(-elapsed/earnedHalfLife.Seconds()), maxEarned)
	s.slackTokens = min(s.slackTokens+s.slackPerNode()*elapsed/s.bounds.Window.Seconds(), s.slackPerNode())
}
