package graph

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Parameters of the regression.
const (
	// needsHalfLife is the age at which an interval has half of its weight.
	needsHalfLife = 20 * time.Second
	// needsMinTicks is the weight of intervals below which nothing is said.
	needsMinTicks = 3
	// needsTrust is the weight of intervals from which on a node contradicts what
	// has been told of a route, and the absence of a need counts as well.
	needsTrust = 20
	// needsSignificance is the number of standard errors that a need must have.
	needsSignificance = 4
	// doubt multiplies it for a route that has been told to need nothing of the
	// kind: while a service below is full, residuals are not independent.
	doubt = 2
	// needsShare is the part of the calls that a route's runs must make for it.
	needsShare = 0.3
	// needsFloor is the number of calls per run below which a need is noise.
	needsFloor = 0.2
	// needsRoutes bounds the routes of runs that are told apart.
	needsRoutes = 12
	// deniedErrors is the number of standard errors by which calls must stay below
	// deniedPart of what has been told, for a need to be gone.
	deniedErrors = 2
	deniedPart   = 0.5
	// ridge keeps the regression solvable for routes that hardly run.
	ridge = 1e-6
	// runHalf is counted at the start and at the end of a run.
	runHalf = 0.5
)

// Needs learns how many calls on which routes one run on a route makes. Calls
// per interval are regressed on the runs of each route in it, half of a run
// counted at its start and half at its end; a run makes the same calls however
// long they wait. Only significant coefficients count, so that a route which
// merely runs beside a calling one is not taken for it. It is not safe for
// concurrent use.
type Needs struct {
	routes map[string]*runStats
	index  []string // routes in the order of the regression
	calls  map[string]*callStats
	xx     [][]float64 // weighted products of the run times
	weight float64
	ticked time.Time
	needs  map[string]map[string]float64
	told   state.Fanout
	// recalled is set when an earlier process has told of the service's routes.
	recalled bool
	denied   map[string]map[string]bool // needs told that are gone
}

// runStats is what is counted of the runs on one route.
type runStats struct {
	index int
	runs  float64 // since the last tick
	total float64 // weighted
}

// callStats is what is counted of the calls on one route.
type callStats struct {
	count float64 // since the last tick
	total float64 // weighted
	xy    []float64
	yy    float64
}

// NewNeeds returns a learner without knowledge.
func NewNeeds(now time.Time) *Needs {
	return &Needs{
		routes: map[string]*runStats{},
		calls:  map[string]*callStats{},
		needs:  map[string]map[string]float64{},
		ticked: now,
	}
}

// Start records the start of a run on a route.
func (n *Needs) Start(route string) {
	r := n.routes[route]
	if r == nil {
		if len(n.index) >= needsRoutes {
			return
		}
		r = &runStats{index: len(n.index)}
		n.routes[route] = r
		n.index = append(n.index, route)
		n.grow()
	}
	r.runs += runHalf
}

// End records the end of a run.
func (n *Needs) End(route string) {
	if r := n.routes[route]; r != nil {
		r.runs += runHalf
	}
}

// Called records a call that the instance made.
func (n *Needs) Called(route string) {
	c := n.calls[route]
	if c == nil {
		c = &callStats{xy: make([]float64, len(n.index))}
		n.calls[route] = c
	}
	c.count++
}

// grow makes room for one more route.
func (n *Needs) grow() {
	for i := range n.xx {
		n.xx[i] = append(n.xx[i], 0)
	}
	n.xx = append(n.xx, make([]float64, len(n.index)))
	for _, c := range n.calls {
		c.xy = append(c.xy, 0)
	}
}

// Calls reports whether runs on a route are known to make calls.
func (n *Needs) Calls(route string) bool { return len(n.needs[route]) > 0 }

// Tick closes an interval.
func (n *Needs) Tick(now time.Time) {
	elapsed := now.Sub(n.ticked)
	n.ticked = now
	if elapsed <= 0 || len(n.index) == 0 {
		return
	}
	keep := math.Exp2(-elapsed.Seconds() / needsHalfLife.Seconds())
	x := make([]float64, len(n.index))
	idle := true
	for i, route := range n.index {
		r := n.routes[route]
		x[i], r.runs = r.runs, 0
		idle = idle && x[i] == 0
	}
	if idle {
		return
	}
	n.weight = n.weight*keep + 1
	for i, route := range n.index {
		n.routes[route].total = n.routes[route].total*keep + x[i]
	}
	for i := range x {
		for j := range x {
			n.xx[i][j] = n.xx[i][j]*keep + x[i]*x[j]
		}
	}
	for _, c := range n.calls {
		for i := range x {
			c.xy[i] = c.xy[i]*keep + x[i]*c.count
		}
		c.yy = c.yy*keep + c.count*c.count
		c.total = c.total*keep + c.count
		c.count = 0
	}
}

// Solve moves the estimates to what the intervals so far say.
func (n *Needs) Solve() {
	k := len(n.index)
	if k == 0 || n.weight < float64(needsMinTicks+k) {
		return
	}
	a := mat.NewSymDense(k, nil)
	for i := range k {
		for j := i; j < k; j++ {
			a.SetSym(i, j, n.xx[i][j])
		}
		a.SetSym(i, i, n.xx[i][i]+ridge)
	}
	var factors mat.Cholesky
	if !factors.Factorize(a) {
		return
	}
	var inverse mat.SymDense
	if err := factors.InverseTo(&inverse); err != nil {
		return // nearly singular: the next intervals tell the routes apart
	}
	n.needs = map[string]map[string]float64{}
	n.denied = map[string]map[string]bool{}
	for call, c := range n.calls {
		n.solveCall(call, c, &factors, &inverse)
	}
}

func (n *Needs) solveCall(call string, c *callStats, factors *mat.Cholesky, inverse *mat.SymDense) {
	k := len(n.index)
	b := mat.NewVecDense(k, nil)
	if err := factors.SolveVecTo(b, mat.NewVecDense(k, c.xy)); err != nil {
		return
	}
	explained := 0.0
	for i := range k {
		explained += b.AtVec(i) * c.xy[i]
	}
	variance := max(c.yy-explained, 0) / max(n.weight-float64(k), 1)
	for i, route := range n.index {
		perRun, spread := b.AtVec(i), math.Sqrt(variance*inverse.At(i, i))
		n.deny(route, call, perRun+deniedErrors*spread)
		errors := float64(needsSignificance)
		if told, known := n.told[route]; known && told[call] == 0 {
			errors *= doubt
		}
		if route == call || perRun < needsFloor || perRun < errors*spread {
			continue
		}
		if perRun*n.routes[route].total < needsShare*c.total {
			continue
		}
		if n.needs[route] == nil {
			n.needs[route] = map[string]float64{}
		}
		n.needs[route][call] = perRun
	}
}

// deny notes that a need told is gone if even the most calls that a run may make,
// by the regression's error, are far below it.
func (n *Needs) deny(route, call string, most float64) {
	if told := float64(n.told[route][call]) / 1000; told == 0 || most >= deniedPart*told {
		return
	}
	if n.denied[route] == nil {
		n.denied[route] = map[string]bool{}
	}
	n.denied[route][call] = true
}

// gone reports whether a need told of a route isn't there any more: its runs make
// fewer calls, or enough of them have made none at all.
func (n *Needs) gone(route, call string) bool {
	r := n.routes[route]
	if r == nil || r.total < needsTrust || n.weight < needsTrust {
		return false
	}
	return n.calls[call] == nil || n.denied[route][call]
}

// trusted reports whether what this node has learnt of a route counts: neither it
// nor an earlier process has told of the route, or it has seen enough since.
func (n *Needs) trusted(route string) bool {
	_, told := n.told[route]
	return !told && !n.recalled || n.weight >= needsTrust
}

// Export returns the needs, with those told before that are not gone. A route
// without needs is told as well; it counts against nodes that say otherwise.
func (n *Needs) Export() state.Fanout {
	out := state.Fanout{}
	for route, calls := range n.told {
		out[route] = map[string]int{}
		for call, k := range calls {
			if !n.gone(route, call) {
				out[route][call] = k
			}
		}
	}
	for _, route := range n.index {
		if out[route] == nil && n.weight >= needsTrust && n.routes[route].total >= needsTrust {
			out[route] = map[string]int{}
		}
	}
	for route, calls := range n.needs {
		if !n.trusted(route) {
			continue
		}
		if out[route] == nil {
			out[route] = map[string]int{}
		}
		for call, k := range calls {
			out[route][call] = int(math.Round(k * 1000))
		}
	}
	n.told = out
	return out
}

// Recall takes over what an earlier process has told.
func (n *Needs) Recall(told state.Fanout) {
	if len(n.told) == 0 && len(told) > 0 {
		n.told, n.recalled = told, true
	}
}

// Moved reports whether other calls are made than those exported last. Their
// numbers are not told anew: admission goes by the services that a tree reaches.
func (n *Needs) Moved() bool {
	for route, calls := range n.needs {
		if !n.trusted(route) {
			continue
		}
		for call, k := range calls {
			if k > 0 && n.told[route][call] == 0 {
				return true
			}
		}
	}
	if n.weight < needsTrust {
		return false
	}
	for route, calls := range n.told {
		for call := range calls {
			if n.gone(route, call) {
				return true
			}
		}
	}
	for _, route := range n.index {
		if _, told := n.told[route]; !told && n.routes[route].total >= needsTrust {
			return true
		}
	}
	return false
}
