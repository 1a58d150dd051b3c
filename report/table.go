package report

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable writes the report as a text table with a line for each customer and
// route.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "CUSTOMER\tROUTE\tOBJECTIVE\tBURN 5M\tBURN 1H\tBURN 6H\tREQUESTS 6H\tFAILED 6H\tMEAN 1H\tALERT")
	for _, row := range r.Rows {
		fmt.Fprintln(t, row.line())
	}
	return t.Flush()
}

func (r Row) line() string {
	long := r.Windows[windowCount-1]
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s",
		orDash(r.Customer), r.Route, r.objectiveText(),
		r.burnText(0), r.burnText(1), r.burnText(2),
		long.Total, long.Failed,
		r.Windows[1].MeanLatency().Round(10*time.Microsecond),
		orDash(string(r.Alert())))
}

func (r Row) objectiveText() string {
	if r.Objective == 0 {
		return "-"
	}
	return fmt.Sprintf("%g%%", 100*r.Objective)
}

func (r Row) burnText(window int) string {
	if r.Objective == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", r.Windows[window].Burn(r.Objective))
}

// orDash returns s, or a dash if it is empty.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
