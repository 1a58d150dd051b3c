package graph

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Order is the place of the plug-in in both chains.
const Order = 310

const (
	kindNotice = "graph.notice"
	// noticeTicks is the least number of ticks between two notices of the level,
	// noticeNodes the number of nodes for each tick between them: every node
	// tells every other one. They stay within levelTerm.
	noticeTicks    = 2
	noticeTicksMax = 8
	noticeNodes    = 16
	// needsTicks is the least number of ticks between two changes of the needs
	// told, at first; it doubles with each change up to needsTicksMax, since
	// every change is a write to the store that all failure domains read.
	needsTicks    = 30
	needsTicksMax = 600
	// needsSpread is the number of ticks for each node of the service, at most
	// needsSpreadMax, over which nodes that learn something at the same time tell
	// it: what others have told by then is not told again.
	needsSpread    = 2
	needsSpreadMax = 60
	// forgetTicks is the number of ticks between two looks for silent members.
	forgetTicks = 30
	// solveTicks counts the ticks of an interval of the needs.
	solveTicks = 4
	// Refused callers are told to come back after comeBackPart of the time left,
	// at most comeBackMax, and within comeBackAim of the latency objective, so
	// that a second try can still meet it. The upper half is spread by chance.
	comeBackPart = 0.3
	comeBackAim  = 0.5
	comeBackMax  = 2 * time.Second
	// levelLogPause is the time between two lines on a level below top.
	levelLogPause = time.Second
)

func init() {
	kernel.Register(kernel.Info{Name: "graph", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the graph admission of one node.
type Plugin struct {
	host *kernel.Host

	mu    sync.Mutex // guards what follows
	gate  *Gate
	level *Level
	needs *Needs
	table *table
	ticks int
	// needsDue is the tick from which on needs may be told again, needsWait the
	// number of ticks between the next two times.
	needsDue, needsWait int
	// needsAt is the tick at which they are told; zero if there is nothing to tell.
	needsAt int
	// version is that of the configuration that top and services come from.
	version  uint64
	top      float64
	services map[string]string // route -> service
	// known is the snapshot that trees come from: the services below each route.
	known *state.Snapshot
	trees map[string][]string
	// levels caches what is known of the level of each service for a tick.
	levels map[string]standing
	// shutLogged is when the level below top was logged last; zero while it is open.
	shutLogged time.Time
}

// Provision keeps the host and registers the handler of notices.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.gate = NewGate(h.Now())
	p.level = NewLevel(h.Now(), config.PriorityCount)
	p.needs = NewNeeds(h.Now())
	p.needsDue, p.needsWait = needsTicks, needsTicks
	p.table = newTable()
	p.services = map[string]string{}
	p.levels = map[string]standing{}
	p.top = config.PriorityCount
	h.Peers.Handle(kindNotice, p.onNotice)
	return nil
}

// Validate accepts every configuration.
func (p *Plugin) Validate() error { return nil }

// Cleanup releases nothing.
func (p *Plugin) Cleanup() error { return nil }

// Tick moves the level, learns needs and tells the other nodes.
func (p *Plugin) Tick(now time.Time) {
	s := p.host.Snapshot()
	p.mu.Lock()
	p.ticks++
	p.refresh(s)
	self := s.Members[p.host.Self.ID]
	p.gate.SetSlots(self.Slots)
	if self.Draining {
		p.gate.Flush()
	}
	p.gate.dispatch(now)
	silent := p.gate.Silent(now)
	demand := p.gate.Demand()
	p.level.Update(now, demand)
	p.logLevel(now, demand)
	if p.ticks%solveTicks == 0 {
		p.needs.Tick(now)
		p.needs.Solve()
	}
	n := notice{From: p.host.Self.ID, Service: p.host.Self.Service, Level: -1}
	if !p.level.Open() {
		n.Level = int(p.level.Value() * 1000)
	}
	due := n.Level >= 0 && p.ticks%noticePause(len(s.Members)) == 0
	if due {
		p.table.take(n, now)
	}
	if p.ticks%forgetTicks == 0 {
		p.table.forget(now)
	}
	clear(p.levels)
	needs := p.news(s)
	p.mu.Unlock()
	for _, t := range silent {
		t.GiveUpSilent()
	}
	if due {
		p.tell(s, n)
	}
	if needs != nil {
		p.host.Log.Info("needs learnt", "needs", needs)
		p.host.AnnounceFanout(needs)
	}
}

// noticePause returns the number of ticks between two notices among some nodes.
func noticePause(nodes int) int {
	return min(max(nodes/noticeNodes, noticeTicks), noticeTicksMax)
}

// news returns needs that the other nodes should be told, or nil. p.mu is held.
func (p *Plugin) news(s *state.Snapshot) state.Fanout {
	if p.ticks < p.needsDue || !p.needs.Moved() {
		p.needsAt = 0
		return nil
	}
	if p.needsAt == 0 {
		spread := needsSpread * len(s.Service(p.host.Self.Service))
		p.needsAt = p.ticks + int(p.host.Rand()%uint64(min(spread, needsSpreadMax)+1))
	}
	if p.ticks < p.needsAt {
		return nil
	}
	p.needsAt = 0
	p.needsWait = min(2*p.needsWait, needsTicksMax)
	p.needsDue = p.ticks + p.needsWait
	needs := p.needs.Export()
	if sameCalls(needs, s.Fanout) {
		return nil
	}
	return needs
}

// refresh takes over what a new snapshot changes. p.mu is held.
func (p *Plugin) refresh(s *state.Snapshot) {
	if s == p.known {
		return
	}
	p.known = s
	p.trees = nil
	if s.Config != nil && s.Version != p.version {
		p.takeConfig(s)
	}
	p.recall(s)
}

// takeConfig takes over the routes of a new configuration. p.mu is held.
func (p *Plugin) takeConfig(s *state.Snapshot) {
	p.version = s.Version
	p.services = map[string]string{}
	top := 1
	for _, r := range s.Config.Hosts.Routes() {
		p.services[r.Name] = r.Service
		if !r.Open {
			top = max(top, int(r.Priority)+1)
		}
	}
	p.top = float64(top)
	p.level.SetTop(p.top)
}

// recall takes over what has been learnt of the routes of this node's service
// before this process began. p.mu is held.
func (p *Plugin) recall(s *state.Snapshot) {
	own := state.Fanout{}
	for route, calls := range s.Fanout {
		if p.services[route] == p.host.Self.Service {
			own[route] = calls
		}
	}
	p.needs.Recall(own)
}

// tell sends a notice to every other node, without waiting.
func (p *Plugin) tell(s *state.Snapshot, n notice) {
	notifier, ok := p.host.Peers.(kernel.Notifier)
	if !ok {
		return
	}
	body, err := cbor.Marshal(n)
	if err != nil {
		p.host.Log.Error("notice not encoded", "error", err)
		return
	}
	for id, m := range s.Members {
		if id != p.host.Self.ID {
			notifier.Notify(m, kindNotice, body)
		}
	}
}

func (p *Plugin) onNotice(_ context.Context, _ state.MemberID, body []byte) ([]byte, error) {
	var n notice
	if err := cbor.Unmarshal(body, &n); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.table.take(n, p.host.Now())
	p.mu.Unlock()
	return nil, nil
}

// WrapEntry refuses new trees for which a service has no room, and counts the
// calls that the instance makes.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if c.Nested() {
			p.mu.Lock()
			p.needs.Called(c.RouteName)
			p.mu.Unlock()
			return next.Serve(ctx, c)
		}
		if lack := p.admits(c); lack != nil {
			return kernel.Refuse(kernel.ReasonOverload, lack.String(), p.comeBack(c))
		}
		return next.Serve(ctx, c)
	})
}

// shortage is a service below a call that doesn't take its rank.
type shortage struct {
	service string
	rank    float64
	standing
}

func (s *shortage) String() string {
	return fmt.Sprintf("%s has no room for this request: rank %.2f, level %.2f, told by %d of %d instances, the oldest %d ms ago",
		s.service, s.rank, s.level, s.told, s.instances, s.age.Milliseconds())
}

// admits returns nil if all services of the call's tree take its rank, and
// otherwise one that doesn't.
func (p *Plugin) admits(c *kernel.Call) *shortage {
	now := p.host.Now()
	s := p.host.Snapshot()
	rank := float64(c.Priority) + float64(p.host.Rand()%1000)/1000
	p.mu.Lock()
	defer p.mu.Unlock()
	if at := p.levelOf(c.Service, s, now); rank >= at.level {
		return &shortage{c.Service, rank, at}
	}
	if p.trees == nil {
		p.trees = trees(s.Fanout, p.services)
	}
	for _, service := range p.trees[c.RouteName] {
		if at := p.levelOf(service, s, now); rank >= at.level {
			return &shortage{service, rank, at}
		}
	}
	return nil
}

// levelOf returns what is known of the level of a service. p.mu is held.
func (p *Plugin) levelOf(service string, s *state.Snapshot, now time.Time) standing {
	if at, ok := p.levels[service]; ok {
		return at
	}
	at := p.table.standing(service, len(s.Service(service)), p.top, now)
	p.levels[service] = at
	return at
}

// logLevel logs that the level has closed or opened, and each levelLogPause what
// it rests on while it is below top. p.mu is held.
func (p *Plugin) logLevel(now time.Time, d Demand) {
	open, logged := p.level.Open(), !p.shutLogged.IsZero()
	if open && !logged || !open && now.Sub(p.shutLogged) < levelLogPause {
		return
	}
	p.shutLogged = now
	if open {
		p.shutLogged = time.Time{}
	}
	rejectedAgo := int64(-1) // never
	if !p.gate.rejected.IsZero() {
		rejectedAgo = now.Sub(p.gate.rejected).Milliseconds()
	}
	p.host.Log.Info("admission level", "open", open, "level", p.level.Value(), "top", p.top, "load", p.level.Load(),
		"backlog_ms", d.Backlog.Milliseconds(), "slots", p.gate.slots, "limit", p.gate.Limit(now), "in_flight", p.gate.InFlight(),
		"queued", p.gate.Queued(), "rejected_ago_ms", rejectedAgo)
}

// comeBack returns when a refused caller may try again.
func (p *Plugin) comeBack(c *kernel.Call) time.Duration {
	left := c.Deadline().Sub(p.host.Now())
	most := min(time.Duration(comeBackPart*float64(left)), comeBackMax)
	if aim := time.Duration(comeBackAim * float64(c.LatencyMS) * float64(time.Millisecond)); aim > 0 {
		most = min(most, aim)
	}
	if most <= 0 {
		return 0
	}
	return most/2 + time.Duration(p.host.Rand()%uint64(most/2+1))
}
