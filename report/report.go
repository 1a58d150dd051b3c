package report

import (
	"sort"
	"time"
)

// Report is the service-level burn of one node, or of several after Merge.
type Report struct {
	Rows []Row `json:"rows"`
}

// Row holds the counts of one customer on one route.
type Row struct {
	// Customer is empty on open routes.
	Customer string `json:"customer"`
	Route    string `json:"route"`
	// Objective is the fraction of requests to be answered whole; zero means
	// that the route has none.
	Objective float64 `json:"objective"`
	// Windows holds the counts of each of Windows.
	Windows [windowCount]Counts `json:"windows"`
}

// Counts are the requests of one window.
type Counts struct {
	Total  uint64 `json:"total"`
	Failed uint64 `json:"failed"`
	// LatencySum is the sum over the answered requests.
	LatencySum time.Duration `json:"latency_sum_ns"`
}

func (c *Counts) add(o Counts) {
	c.Total += o.Total
	c.Failed += o.Failed
	c.LatencySum += o.LatencySum
}

// Burn returns the error ratio over the budget that the objective leaves. It
// is zero without requests or without an objective.
func (c Counts) Burn(objective float64) float64 {
	if c.Total == 0 || objective <= 0 || objective >= 1 {
		return 0
	}
	ratio := float64(c.Failed) / float64(c.Total)
	return ratio / (1 - objective)
}

// MeanLatency returns the mean over the answered requests, zero without any.
func (c Counts) MeanLatency() time.Duration {
	answered := c.Total - c.Failed
	if answered == 0 {
		return 0
	}
	return c.LatencySum / time.Duration(answered)
}

// Alert tells how urgent a row's burn is.
type Alert string

// The alerts. A month's budget lasts about two days at AlertFast and five days
// at AlertSlow.
const (
	AlertNone Alert = ""
	// AlertFast needs somebody now.
	AlertFast Alert = "fast"
	// AlertSlow needs somebody today.
	AlertSlow Alert = "slow"
)

// Burn rates from table 5-8 of the workbook.
const (
	fastBurn = 14.4
	slowBurn = 6.0
)

// Alert compares the windows in pairs: the longer one tells that the burn
// matters, the shorter one that it still goes on. The workbook pairs 6 h with
// 30 min, for which the hour stands here.
func (r Row) Alert() Alert {
	short := r.Windows[0].Burn(r.Objective)
	hour := r.Windows[1].Burn(r.Objective)
	long := r.Windows[2].Burn(r.Objective)
	switch {
	case hour >= fastBurn && short >= fastBurn:
		return AlertFast
	case long >= slowBurn && hour >= slowBurn:
		return AlertSlow
	}
	return AlertNone
}

// Merge adds up the reports of several nodes. Where nodes disagree on an
// objective, the strictest counts.
func Merge(reports ...Report) Report {
	rows := map[seriesKey]Row{}
	for _, rep := range reports {
		for _, row := range rep.Rows {
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
