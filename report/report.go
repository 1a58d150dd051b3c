package report

import (
	"sort"
	"time"
)

// Report holds the request counts of one node, or of several nodes after Merge.
type Report struct {
	Rows []Row `json:"rows"`
}

// Row holds the counts of a customer on a route.
type Row struct {
	// Customer is empty on open routes.
	Customer string `json:"customer"`
	Route    string `json:"route"`
	// Objective is the fraction of requests that must succeed; zero means that
	// the route has no objective.
	Objective float64 `json:"objective"`
	// Windows holds the counts of each window in the package variable Windows.
	Windows [windowCount]Counts `json:"windows"`
}

// Counts holds the request counts of a window.
type Counts struct {
	Total  uint64 `json:"total"`
	Failed uint64 `json:"failed"`
	// LatencySum is the total latency of the requests that did not fail.
	LatencySum time.Duration `json:"latency_sum_ns"`
}

func (c *Counts) add(other Counts) {
	c.Total += other.Total
	c.Failed += other.Failed
	c.LatencySum += other.LatencySum
}

// Burn returns the burn rate: the error ratio divided by (1 - objective). It is
// zero if there are no requests or no objective.
func (c Counts) Burn(objective float64) float64 {
	if c.Total == 0 || objective <= 0 || objective >= 1 {
		return 0
	}
	ratio := float64(c.Failed) / float64(c.Total)
	return ratio / (1 - objective)
}

// MeanLatency returns the mean latency of the requests that did not fail, or zero
// if there are none.
func (c Counts) MeanLatency() time.Duration {
	answered := c.Total - c.Failed
	if answered == 0 {
		return 0
	}
	return c.LatencySum / time.Duration(answered)
}

// Alert is the urgency of a row's burn rate.
type Alert string

// The alerts. At the burn rate of AlertFast a month's error budget lasts about two
// days, at that of AlertSlow five days.
const (
	AlertNone Alert = ""
	// AlertFast requires immediate attention.
	AlertFast Alert = "fast"
	// AlertSlow requires attention within the day.
	AlertSlow Alert = "slow"
)

// Burn rate thresholds from table 5-8 of "The Site Reliability Workbook".
const (
	fastBurn = 14.4
	slowBurn = 6.0
)

// Alert returns the alert that both windows of a pair call for. The longer window
// shows that the burn rate is significant, the shorter window that it still
// persists. The workbook pairs the 6 h window with one of 30 min; the 1 h window is
// used instead.
func (r Row) Alert() Alert {
	short := r.Windows[0].Burn(r.Objective)
	medium := r.Windows[1].Burn(r.Objective)
	long := r.Windows[2].Burn(r.Objective)
	switch {
	case medium >= fastBurn && short >= fastBurn:
		return AlertFast
	case long >= slowBurn && medium >= slowBurn:
		return AlertSlow
	}
	return AlertNone
}

// Merge adds up the reports of several nodes. If nodes disagree on an objective,
// the strictest is used.
func Merge(reports ...Report) Report {
	rows := map[seriesKey]Row{}
	for _, r := range reports {
		for _, row := range r.Rows {
			key := seriesKey{row.Customer, row.Route}
			rows[key] = mergeRow(rows[key], row)
		}
	}
	var merged Report
	for _, row := range rows {
		merged.Rows = append(merged.Rows, row)
	}
	merged.sort()
	return merged
}

func mergeRow(sum, row Row) Row {
	for i := range row.Windows {
		row.Windows[i].add(sum.Windows[i])
	}
	row.Objective = max(row.Objective, sum.Objective)
	return row
}

func (r *Report) sort() {
	sort.Slice(r.Rows, func(i, j int) bool {
		a, b := r.Rows[i], r.Rows[j]
		if a.Customer != b.Customer {
			return a.Customer < b.Customer
		}
		return a.Route < b.Route
	})
}
