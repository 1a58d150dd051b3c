package graph

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/gooseberryflow/gooseberryflow/admission/fairshare"
	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
	"github.com/gooseberryflow/gooseberryflow/state"
)

// Order is the position of the plug-in in both chains.
const Order = 310

const (
	kindNotice = "graph.notice"
	// Every node sends notices of its level to every other node, so the number of
	// ticks between two notices grows by one for every nodesPerNoticeTick nodes,
	// between minNoticeTicks and maxNoticeTicks. The interval stays within
	// levelTTL.
	minNoticeTicks     = 2
	maxNoticeTicks     = 8
	nodesPerNoticeTick = 16
	// minFanoutTicks is the initial number of ticks between two announcements of
	// the fan-out. The interval doubles with each announcement up to
	// maxFanoutTicks, since every announcement is a write to the store that all
	// failure domains read.
	minFanoutTicks = 30
	maxFanoutTicks = 600
	// Nodes of a service that learn the same fan-out at the same time announce it
	// after a random delay of up to fanoutSpreadTicksPerNode ticks per node, at
	// most maxFanoutSpreadTicks. What another node has announced by then is not
	// announced again.
	fanoutSpreadTicksPerNode = 2
	maxFanoutSpreadTicks     = 60
	// expireTicks is the number of ticks between two removals of expired members.
	expireTicks = 30
	// fanoutIntervalTicks is the number of ticks in an interval of the fan-out
	// estimate.
	fanoutIntervalTicks = 4
	// Refused callers are told to retry after at most retryAfterFraction of the
	// time left, maxRetryAfter, and retryAfterObjectiveFraction of the latency
	// objective, so that a second attempt can still meet the objective. The delay
	// is random in the upper half of that time.
	retryAfterFraction          = 0.3
	retryAfterObjectiveFraction = 0.5
	maxRetryAfter               = 2 * time.Second
	// levelLogInterval is the time between two log lines about a level below top.
	levelLogInterval = time.Second
)

func init() {
	kernel.Register(kernel.PluginInfo{Name: "graph", Order: Order, New: func() kernel.Plugin { return &Plugin{} }})
}

// Plugin is the graph admission plug-in of one node.
type Plugin struct {
	host *kernel.Host
	// overdueCalls counts the calls that have become overdue.
	overdueCalls expvar.Int

	mu         sync.Mutex // guards the fields below
	gate       *Gate
	level      *Level // by the slots
	rateLevel  *Level // by the rate limit; nil without one
	fanout     *FanoutEstimator
	levelTable *levelTable
	ticks      int
	// fanoutDueTick is the tick from which on the fan-out may be announced again,
	// fanoutBackoffTicks the time from the latest announcement until then.
	fanoutDueTick, fanoutBackoffTicks int
	// fanoutAnnounceTick is the tick at which the fan-out will be announced; zero
	// if nothing is to be announced.
	fanoutAnnounceTick int
	// configVersion is the version of the configuration that top and services come
	// from.
	configVersion uint64
	top           float64
	services      map[string]string // route -> service
	// snapshot is the snapshot last applied; reachableServices holds the services
	// that the trees of each route reach.
	snapshot *state.Snapshot
	// evacuations are those of the snapshot last applied.
	evacuations       map[string]state.Evacuation
	reachableServices map[string][]string
	// serviceLevels caches the level of each service for one tick.
	serviceLevels map[string]serviceLevel
	fair          *fairness
	// levelLoggedAt is when a level below top was logged last; zero while the
	// level admits all ranks.
	levelLoggedAt time.Time
	// instance is the incarnation beside the node that the work times are of;
	// refusedLate counts the waiting calls refused because it has become slow.
	instance    state.Incarnation
	refusedLate int
}

// Provision initializes the plug-in and registers the handler of notices.
func (p *Plugin) Provision(h *kernel.Host) error {
	p.host = h
	p.gate = NewGate(h.Now())
	p.level = NewLevel(h.Now(), config.PriorityCount)
	p.fanout = NewFanoutEstimator(h.Now())
	p.fanoutDueTick, p.fanoutBackoffTicks = minFanoutTicks, minFanoutTicks
	p.levelTable = newLevelTable()
	p.services = map[string]string{}
	p.serviceLevels = map[string]serviceLevel{}
	p.fair = newFairness(h.Now())
	p.top = config.PriorityCount
	p.publishShareMetrics(h.PublishMetric)
	h.PublishMetric("overdue_calls_total", &p.overdueCalls)
	h.Peers.Handle(kindNotice, p.onNotice)
	p.publish()
	return nil
}

// Validate always succeeds because the plug-in has no settings.
func (p *Plugin) Validate() error { return nil }

// Cleanup does nothing because the plug-in holds no resources.
func (p *Plugin) Cleanup() error { return nil }

// Tick updates the level and the fan-out and announces them to the other nodes.
func (p *Plugin) Tick(now time.Time) {
	s := p.host.Snapshot()
	p.mu.Lock()
	p.ticks++
	p.applySnapshot(s)
	self := s.Members[p.host.Self.ID]
	p.gate.SetSlots(self.Slots)
	p.gate.SetRateLimit(now, p.host.InstanceRateLimit())
	if p.host.RefuseNewWork() != nil {
		p.gate.Flush()
	}
	p.followWorkTime(now, self)
	p.gate.dispatch(now)
	overdue := p.gate.MarkOverdue(now)
	demand := p.gate.Demand()
	p.level.Update(now, demand)
	p.updateRateLevel(now)
	p.logLevel(now, demand)
	if p.ticks%fanoutIntervalTicks == 0 {
		p.fanout.Tick(now)
		p.fanout.Solve()
	}
	n := notice{From: p.host.Self.ID, Service: p.host.Self.Service, Level: -1}
	if p.gate.pacer.Rate() > 0 {
		n.Capacity = p.gate.Capacity(now)
	}
	if level := p.lowerLevel(); !level.AdmitsAll() {
		n.Level = int(level.Value() * 1000)
	}
	noticeDue := (n.Level >= 0 || n.Capacity > 0) && p.ticks%noticeInterval(len(s.Members)) == 0
	if noticeDue {
		p.attachCollected(&n, s, now)
		p.levelTable.record(n, now)
	}
	if p.ticks%expireTicks == 0 {
		p.levelTable.expire(now)
	}
	reports := p.updateFairness(s, now)
	fanout := p.dueFanout(s)
	p.mu.Unlock()
	for _, t := range overdue {
		t.ReportOverdue()
	}
	if noticeDue {
		p.sendNotices(s, n)
	}
	p.sendReports(n, reports)
	if fanout != nil {
		p.host.Log.Info("needs learnt", "needs", fanout)
		p.host.AnnounceFanout(fanout)
	}
}

// updateRateLevel adjusts the level by the rate limit. It begins at the top with each
// limit and ends with it, so that the level by the slots holds at once. p.mu is held.
func (p *Plugin) updateRateLevel(now time.Time) {
	demand := p.gate.RateDemand()
	switch {
	case p.gate.pacer.Rate() == 0:
		p.rateLevel = nil
	case p.rateLevel == nil:
		p.rateLevel = NewLevel(now, p.top)
	default:
		p.rateLevel.Update(now, demand)
	}
}

// lowerLevel returns the level that admits fewer ranks. p.mu is held.
func (p *Plugin) lowerLevel() *Level {
	if p.rateLevel != nil && p.rateLevel.Value() < p.level.Value() {
		return p.rateLevel
	}
	return p.level
}

// noticeInterval returns the number of ticks between two notices in a
// deployment of the given number of nodes.
func noticeInterval(nodes int) int {
	return min(max(nodes/nodesPerNoticeTick, minNoticeTicks), maxNoticeTicks)
}

// dueFanout returns the fan-out to announce now, or nil. p.mu is held.
func (p *Plugin) dueFanout(s *state.Snapshot) state.Fanout {
	if p.ticks < p.fanoutDueTick || !p.fanout.Changed() {
		p.fanoutAnnounceTick = 0
		return nil
	}
	if p.fanoutAnnounceTick == 0 {
		spread := fanoutSpreadTicksPerNode * len(s.Service(p.host.Self.Service))
		p.fanoutAnnounceTick = p.ticks + int(p.host.Rand()%uint64(min(spread, maxFanoutSpreadTicks)+1))
	}
	if p.ticks < p.fanoutAnnounceTick {
		return nil
	}
	p.fanoutAnnounceTick = 0
	p.fanoutBackoffTicks = min(2*p.fanoutBackoffTicks, maxFanoutTicks)
	p.fanoutDueTick = p.ticks + p.fanoutBackoffTicks
	fanout := p.fanout.Export()
	if sameCalls(fanout, s.Fanout) {
		return nil
	}
	return fanout
}

// sendNotices sends a notice to every other node without waiting for delivery.
func (p *Plugin) sendNotices(s *state.Snapshot, n notice) {
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
	now := p.host.Now()
	p.levelTable.record(n, now)
	if n.Demand != nil {
		p.fair.receive(n.From, p.host.Self.Service, n.Demand, now)
	}
	p.mu.Unlock()
	return nil, nil
}

// WrapEntry refuses new trees that reach an overloaded service and records the
// calls that the instance makes.
func (p *Plugin) WrapEntry(next kernel.Handler) kernel.Handler {
	return kernel.HandlerFunc(func(ctx context.Context, c *kernel.Call) *kernel.Result {
		if c.Nested() {
			p.mu.Lock()
			p.fanout.CallMade(c.RouteName)
			p.mu.Unlock()
			return next.Serve(ctx, c)
		}
		if overload := p.overloadedService(c); overload != nil {
			return kernel.Refuse(kernel.ReasonOverload, overload.String(), p.retryAfter(c))
		}
		return next.Serve(ctx, c)
	})
}

// serviceOverload describes a service that refuses the rank of a call.
type serviceOverload struct {
	service string
	rank    float64
	serviceLevel
}

func (s *serviceOverload) String() string {
	return fmt.Sprintf("%s has no room for this request: rank %.2f, level %.2f, told by %d of %d instances, the oldest %d ms ago",
		s.service, s.rank, s.level, s.reported, s.instances, s.oldestAge.Milliseconds())
}

// overloadedService returns a service of the call's tree whose level is at or
// below the call's rank, or nil if there is none.
func (p *Plugin) overloadedService(c *kernel.Call) *serviceOverload {
	now := p.host.Now()
	s := p.host.Snapshot()
	random := float64(p.host.Rand()%1000) / 1000
	p.mu.Lock()
	defer p.mu.Unlock()
	customer := p.fair.offered(c)
	if overload := p.refusedBy(c.Service, c, customer, random, s, now); overload != nil {
		return overload
	}
	if p.reachableServices == nil {
		p.reachableServices = reachableServices(s.Fanout, p.services)
	}
	for _, service := range p.reachableServices[c.RouteName] {
		if overload := p.refusedBy(service, c, customer, random, s, now); overload != nil {
			return overload
		}
	}
	if customer != nil {
		p.fair.meter.Admitted(customer)
	}
	return nil
}

// refusedBy returns a service if its level is at or below the call's rank there, else
// nil. customer is nil if the call is not subject to shares. p.mu is held.
func (p *Plugin) refusedBy(service string, c *kernel.Call, customer *fairshare.Customer, random float64, s *state.Snapshot, now time.Time) *serviceOverload {
	current := p.cachedLevel(service, s, now)
	rank := float64(c.Priority) + random
	if customer != nil && current.level < p.top {
		rank = p.sharesOf(service, current.level, now).Rank(c.Customer, c.Priority, random)
	}
	if rank < current.level {
		return nil
	}
	if customer != nil && int(current.level) == int(c.Priority) {
		p.fair.limited.refusals++
	}
	return &serviceOverload{service, rank, current}
}

// cachedLevel returns the level of a service. p.mu is held.
func (p *Plugin) cachedLevel(service string, s *state.Snapshot, now time.Time) serviceLevel {
	if current, ok := p.serviceLevels[service]; ok {
		return current
	}
	current := p.levelTable.serviceLevel(service, s.AvailableMembers(service), p.top, now)
	p.serviceLevels[service] = current
	return current
}

// logLevel logs when the level drops below top or returns to it, and every
// levelLogInterval while it is below top. p.mu is held.
func (p *Plugin) logLevel(now time.Time, d Demand) {
	level := p.lowerLevel()
	admitsAll, logged := level.AdmitsAll(), !p.levelLoggedAt.IsZero()
	if admitsAll && !logged || !admitsAll && now.Sub(p.levelLoggedAt) < levelLogInterval {
		return
	}
	p.levelLoggedAt = now
	if admitsAll {
		p.levelLoggedAt = time.Time{}
	}
	rejectedAgo := int64(-1) // never
	if !p.gate.lastRejection.IsZero() {
		rejectedAgo = now.Sub(p.gate.lastRejection).Milliseconds()
	}
	p.host.Log.Info("admission level", "open", admitsAll, "level", level.Value(), "top", p.top, "load", level.Load(),
		"backlog_ms", d.Backlog.Milliseconds(), "slots", p.gate.slots, "limit", p.gate.Limit(now), "rate_limit", p.gate.pacer.Rate(), "work_time", p.gate.currentWork, "in_flight", p.gate.InFlight(),
		"queued", p.gate.Queued(), "rejected_ago_ms", rejectedAgo)
}

// retryAfter returns how long a refused caller should wait before it retries.
func (p *Plugin) retryAfter(c *kernel.Call) time.Duration {
	remaining := c.Deadline().Sub(p.host.Now())
	longest := min(time.Duration(retryAfterFraction*float64(remaining)), maxRetryAfter)
	if objective := time.Duration(retryAfterObjectiveFraction * float64(c.TargetLatencyMS) * float64(time.Millisecond)); objective > 0 {
		longest = min(longest, objective)
	}
	if longest <= 0 {
		return 0
	}
	return longest/2 + time.Duration(p.host.Rand()%uint64(longest/2+1))
}
