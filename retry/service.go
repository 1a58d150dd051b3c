package retry

import (
	"sync"
	"time"

	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// budgetPart is the part of the fleet's bounds that nodes use, so that what
// nodes count at different moments stays within them.
const budgetPart = 0.6

// savedMax bounds the tokens from first attempts that outlive a tick.
const savedMax = 5

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

	mu     sync.Mutex
	tokens float64
	nodes  float64
	ticked time.Time
}

func newServiceBudget(b kernel.RetryBounds, nodes int, now time.Time) *serviceBudget {
	s := &serviceBudget{bounds: b, nodes: float64(nodes), ticked: now}
	s.tokens = s.slack() / 2
	return s
}

// slack is the node's part of the attempts in a window beyond the ratio.
func (s *serviceBudget) slack() float64 { return budgetPart * s.bounds.Slack / s.nodes }

func (s *serviceBudget) first() {
	s.mu.Lock()
	s.tokens += budgetPart * s.bounds.Ratio
	s.mu.Unlock()
}

func (s *serviceBudget) spend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

func (s *serviceBudget) refund() {
	s.mu.Lock()
	s.tokens++
	s.mu.Unlock()
}

// tick adds the node's part of the slack and drops tokens saved beyond the bound.
func (s *serviceBudget) tick(now time.Time, nodes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes = float64(nodes)
	elapsed := now.Sub(s.ticked).Seconds()
	s.ticked = now
	s.tokens += s.slack() / 2 * elapsed / s.bounds.Window.Seconds()
	s.tokens = min(s.tokens, max(s.slack()/2, 1)+savedMax)
}
