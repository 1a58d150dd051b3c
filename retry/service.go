package retry

import (
	"math"
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

const (
	// budgetPart is the part of the fleet's bounds that nodes use, so that what
	// nodes count at different moments stays within them.
	budgetPart = 0.6
	// earnedHalfLife is the age at which half of the tokens that first attempts have
	// earned is dropped: at a steady rate five seconds' worth is saved, half of a
	// window. earnedMax bounds the saved tokens of a node.
	earnedHalfLife = 3500 * time.Millisecond
	earnedMax      = 5.0
	// slackPart is the part of the slack that a node spends or saves at most.
	slackPart = 0.5
)

// budget bounds the repeated attempts at a service.
type budget interface {
	first()
	spend() bool
	refund()
}

// serviceBudget is a token bucket fed by first attempts at one service and,
// slowly, by the node's part of the slack.
type serviceBudget struct {
	bounds kernel.RetryBounds
	rand   func() uint64

	mu     sync.Mutex
	earned float64 // tokens from first attempts
	saved  float64 // tokens from the slack
	nodes  float64
	ticked time.Time
}

func newServiceBudget(b kernel.RetryBounds, nodes int, now time.Time, rand func() uint64) *serviceBudget {
	s := &serviceBudget{bounds: b, rand: rand, nodes: float64(nodes), ticked: now}
	s.saved = s.slack()
	return s
}

// slack is the node's part of the attempts in a window beyond the ratio.
func (s *serviceBudget) slack() float64 { return slackPart * budgetPart * s.bounds.Slack / s.nodes }

func (s *serviceBudget) first() {
	s.mu.Lock()
	s.earned += budgetPart * s.bounds.Ratio
	s.mu.Unlock()
}

// spend takes one token. A node that has only a part of one draws for it and
// spends the part either way, so that many nodes with little traffic make use of
// their parts and stay within the sum of them.
func (s *serviceBudget) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.earned + s.saved
	if have < 1 {
		s.earned, s.saved = 0, 0
		return float64(s.rand()>>11)/(1<<53) < have
	}
	s.earned--
	if s.earned < 0 {
		s.earned, s.saved = 0, s.saved+s.earned
	}
	return true
}

func (s *serviceBudget) refund() {
	s.mu.Lock()
	s.earned++
	s.mu.Unlock()
}

// tick adds the node's part of the slack and forgets what was earned long ago.
func (s *serviceBudget) tick(now time.Time, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = float64(nodes)
	elapsed := now.Sub(s.ticked).Seconds()
	s.ticked = now
	s.earned = min(s.earned*math.Exp2(-elapsed/earnedHalfLife.Seconds()), earnedMax)
	s.saved = min(s.saved+s.slack()*elapsed/s.bounds.Window.Seconds(), s.slack())
}
