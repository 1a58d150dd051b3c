package graph

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"

	"github.com/gooseberryflow/gooseberryflow/state"
)

// Parameters of the regression.
const (
	// intervalHalfLife is the age at which the weight of an interval has halved.
	intervalHalfLife = 20 * time.Second
	// minIntervals is the total weight of intervals, beyond one per route, below
	// which nothing is estimated.
	minIntervals = 3
	// minTrustedWeight is the total weight of intervals and the weighted number of
	// a route's runs from which on a node may contradict the announced fan-out of
	// the route, for example because it has seen none of the announced calls.
	minTrustedWeight = 20
	// significanceStdErrors is the number of standard errors that an estimate must
	// exceed.
	significanceStdErrors = 4
	// announcedZeroFactor multiplies significanceStdErrors for a call that the
	// route was announced not to make: while a called service is overloaded, the
	// residuals of the regression are not independent.
	announcedZeroFactor = 2
	// minCallShare is the fraction of the calls that the runs of a route must
	// account for.
	minCallShare = 0.3
	// minCallsPerRun is the number of calls per run below which an estimate is
	// noise.
	minCallsPerRun = 0.2
	// maxRoutes bounds the number of routes whose runs are told apart.
	maxRoutes = 12
	// An announced call is gone if its estimate plus goneStdErrors standard errors
	// is below goneFraction of the announced number.
	goneStdErrors = 2
	goneFraction  = 0.5
	// ridge keeps the regression solvable for routes with few runs.
	ridge = 1e-6
	// halfRun is counted at the start and again at the end of a run.
	halfRun = 0.5
)

// FanoutEstimator estimates how many calls one run on a route makes, by called
// route. It regresses the calls per interval on the runs of each route in the
// interval. Half of a run is counted at its start and half at its end, since a
// run makes the same calls however long the calls wait. Only significant
// coefficients count, so that a route which merely runs at the same time as a
// calling route gets no fan-out. FanoutEstimator is not safe for concurrent
// use.
type FanoutEstimator struct {
	routes        map[string]*runStats
	routeOrder    []string // routes in the order of the regression
	calls         map[string]*callStats
	runProducts   [][]float64 // weighted sums of products of run counts
	totalWeight   float64
	intervalStart time.Time
	estimates     map[string]map[string]float64 // calls per run, by route and called route
	announced     state.Fanout                  // fan-out exported or restored last
	// restored is set when an earlier process has announced a fan-out of the
	// service's routes.
	restored bool
	refuted  map[string]map[string]bool // announced calls that the regression refutes
}

// runStats counts the runs on one route.
type runStats struct {
	index         int     // position in routeOrder
	runs          float64 // in the current interval
	weightedTotal float64 // with the weights of the intervals
}

// callStats counts the calls on one route.
type callStats struct {
	count           float64   // in the current interval
	weightedTotal   float64   // with the weights of the intervals
	runCallProducts []float64 // weighted sums of run counts times call counts
	callSquares     float64   // weighted sum of squared call counts
}

// NewFanoutEstimator returns an estimator without data.
func NewFanoutEstimator(now time.Time) *FanoutEstimator {
	return &FanoutEstimator{
		routes:        map[string]*runStats{},
		calls:         map[string]*callStats{},
		estimates:     map[string]map[string]float64{},
		intervalStart: now,
	}
}

// RunStarted records the start of a run on a route.
func (e *FanoutEstimator) RunStarted(route string) {
	r := e.routes[route]
	if r == nil {
		if len(e.routeOrder) >= maxRoutes {
			return
		}
		r = &runStats{index: len(e.routeOrder)}
		e.routes[route] = r
		e.routeOrder = append(e.routeOrder, route)
		e.addRoute()
	}
	r.runs += halfRun
}

// RunEnded records the end of a run on a route.
func (e *FanoutEstimator) RunEnded(route string) {
	if r := e.routes[route]; r != nil {
		r.runs += halfRun
	}
}

// CallMade records a call that the instance made.
func (e *FanoutEstimator) CallMade(route string) {
	c := e.calls[route]
	if c == nil {
		c = &callStats{runCallProducts: make([]float64, len(e.routeOrder))}
		e.calls[route] = c
	}
	c.count++
}

// addRoute extends the sums by one route.
func (e *FanoutEstimator) addRoute() {
	for i := range e.runProducts {
		e.runProducts[i] = append(e.runProducts[i], 0)
	}
	e.runProducts = append(e.runProducts, make([]float64, len(e.routeOrder)))
	for _, c := range e.calls {
		c.runCallProducts = append(c.runCallProducts, 0)
	}
}

// MakesCalls reports whether runs on a route are estimated to make calls.
func (e *FanoutEstimator) MakesCalls(route string) bool { return len(e.estimates[route]) > 0 }

// Tick ends an interval.
func (e *FanoutEstimator) Tick(now time.Time) {
	elapsed := now.Sub(e.intervalStart)
	e.intervalStart = now
	if elapsed <= 0 || len(e.routeOrder) == 0 {
		return
	}
	decay := math.Exp2(-elapsed.Seconds() / intervalHalfLife.Seconds())
	x := make([]float64, len(e.routeOrder))
	idle := true
	for i, route := range e.routeOrder {
		r := e.routes[route]
		x[i], r.runs = r.runs, 0
		idle = idle && x[i] == 0
	}
	if idle {
		return
	}
	e.totalWeight = e.totalWeight*decay + 1
	for i, route := range e.routeOrder {
		e.routes[route].weightedTotal = e.routes[route].weightedTotal*decay + x[i]
	}
	for i := range x {
		for j := range x {
			e.runProducts[i][j] = e.runProducts[i][j]*decay + x[i]*x[j]
		}
	}
	for _, c := range e.calls {
		for i := range x {
			c.runCallProducts[i] = c.runCallProducts[i]*decay + x[i]*c.count
		}
		c.callSquares = c.callSquares*decay + c.count*c.count
		c.weightedTotal = c.weightedTotal*decay + c.count
		c.count = 0
	}
}

// Solve updates the estimates from the intervals so far.
func (e *FanoutEstimator) Solve() {
	k := len(e.routeOrder)
	if k == 0 || e.totalWeight < float64(minIntervals+k) {
		return
	}
	a := mat.NewSymDense(k, nil)
	for i := range k {
		for j := i; j < k; j++ {
			a.SetSym(i, j, e.runProducts[i][j])
		}
		a.SetSym(i, i, e.runProducts[i][i]+ridge)
	}
	var factors mat.Cholesky
	if !factors.Factorize(a) {
		return
	}
	var inverse mat.SymDense
	if err := factors.InverseTo(&inverse); err != nil {
		return // nearly singular: the routes can't be told apart yet
	}
	e.estimates = map[string]map[string]float64{}
	e.refuted = map[string]map[string]bool{}
	for call, c := range e.calls {
		e.solveCall(call, c, &factors, &inverse)
	}
}

func (e *FanoutEstimator) solveCall(call string, c *callStats, factors *mat.Cholesky, inverse *mat.SymDense) {
	k := len(e.routeOrder)
	coefficients := mat.NewVecDense(k, nil)
	if err := factors.SolveVecTo(coefficients, mat.NewVecDense(k, c.runCallProducts)); err != nil {
		return
	}
	explained := 0.0
	for i := range k {
		explained += coefficients.AtVec(i) * c.runCallProducts[i]
	}
	variance := max(c.callSquares-explained, 0) / max(e.totalWeight-float64(k), 1)
	for i, route := range e.routeOrder {
		perRun, stdError := coefficients.AtVec(i), math.Sqrt(variance*inverse.At(i, i))
		e.checkGone(route, call, perRun+goneStdErrors*stdError)
		stdErrors := float64(significanceStdErrors)
		if announced, known := e.announced[route]; known && announced[call] == 0 {
			stdErrors *= announcedZeroFactor
		}
		if route == call || perRun < minCallsPerRun || perRun < stdErrors*stdError {
			continue
		}
		if perRun*e.routes[route].weightedTotal < minCallShare*c.weightedTotal {
			continue
		}
		if e.estimates[route] == nil {
			e.estimates[route] = map[string]float64{}
		}
		e.estimates[route][call] = perRun
	}
}

// checkGone marks an announced call as refuted if upperBound, the most calls
// that a run may make by the regression, is far below the announced number.
func (e *FanoutEstimator) checkGone(route, call string, upperBound float64) {
	if announced := float64(e.announced[route][call]) / 1000; announced == 0 || upperBound >= goneFraction*announced {
		return
	}
	if e.refuted[route] == nil {
		e.refuted[route] = map[string]bool{}
	}
	e.refuted[route][call] = true
}

// gone reports whether runs of a route no longer make an announced call: the
// regression refutes the call, or enough runs have made none at all.
func (e *FanoutEstimator) gone(route, call string) bool {
	r := e.routes[route]
	if r == nil || r.weightedTotal < minTrustedWeight || e.totalWeight < minTrustedWeight {
		return false
	}
	return e.calls[call] == nil || e.refuted[route][call]
}

// sufficientData reports whether this node's estimates of a route may be
// announced: no process has announced the route before, or this node has seen
// enough runs since.
func (e *FanoutEstimator) sufficientData(route string) bool {
	_, announced := e.announced[route]
	return !announced && !e.restored || e.totalWeight >= minTrustedWeight
}

// Export returns the fan-out to announce: the estimates, and what was announced
// before and is not gone. A route without calls is announced as well, to count
// against nodes that announce calls for it.
func (e *FanoutEstimator) Export() state.Fanout {
	out := state.Fanout{}
	for route, calls := range e.announced {
		out[route] = map[string]int{}
		for call, k := range calls {
			if !e.gone(route, call) {
				out[route][call] = k
			}
		}
	}
	for _, route := range e.routeOrder {
		if out[route] == nil && e.totalWeight >= minTrustedWeight && e.routes[route].weightedTotal >= minTrustedWeight {
			out[route] = map[string]int{}
		}
	}
	for route, calls := range e.estimates {
		if !e.sufficientData(route) {
			continue
		}
		if out[route] == nil {
			out[route] = map[string]int{}
		}
		for call, k := range calls {
			out[route][call] = int(math.Round(k * 1000))
		}
	}
	e.announced = out
	return out
}

// Restore sets the fan-out that an earlier process has announced, unless one is
// set already.
func (e *FanoutEstimator) Restore(announced state.Fanout) {
	if len(e.announced) == 0 && len(announced) > 0 {
		e.announced, e.restored = announced, true
	}
}

// Changed reports whether the called routes differ from those announced last. A
// change of the numbers alone is not announced: admission depends on which services a
// tree reaches, and only the shares of customers on the numbers.
func (e *FanoutEstimator) Changed() bool {
	for route, calls := range e.estimates {
		if !e.sufficientData(route) {
			continue
		}
		for call, k := range calls {
			if k > 0 && e.announced[route][call] == 0 {
				return true
			}
		}
	}
	if e.totalWeight < minTrustedWeight {
		return false
	}
	for route, calls := range e.announced {
		for call := range calls {
			if e.gone(route, call) {
				return true
			}
		}
	}
	for _, route := range e.routeOrder {
		if _, announced := e.announced[route]; !announced && e.routes[route].weightedTotal >= minTrustedWeight {
			return true
		}
	}
	return false
}
