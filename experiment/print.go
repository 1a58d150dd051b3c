package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Print writes both reports side by side as a table.
func (c Comparison) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	line := func(name string, naive, full any) {
		_, _ = fmt.Fprintf(t, "%s\t%v\t%v\n", name, naive, full)
	}
	line(c.Deployment, c.Naive.Chain, c.Full.Chain)
	for i, p := range c.Naive.Phases {
		f := c.Full.Phases[i]
		line(p.Name+": successful of offered requests", share(p.Total), share(f.Total))
		for _, priority := range []string{"critical", "high", "normal", "low"} {
			if _, ok := p.ByPriority[priority]; ok {
				line("  "+priority, share(p.ByPriority[priority]), share(f.ByPriority[priority]))
			}
		}
		line("  of the graph's capacity", percent(p.OfCapacity), percent(f.OfCapacity))
		line("  worst-served customer", percent(p.WorstCustomer), percent(f.WorstCustomer))
		line("  worst-served, of its fair share", percent(p.WorstOfFairShare), percent(f.WorstOfFairShare))
	}
	line("recovery, seconds", seconds(c.Naive.RecoverySeconds), seconds(c.Full.RecoverySeconds))
	line("attempts per request", round(c.Naive.AttemptsPerRequest), round(c.Full.AttemptsPerRequest))
	line("refused within rate", c.Naive.RefusedWithinRate, c.Full.RefusedWithinRate)
	line("wrongful rate refusals", c.Naive.WrongfulRateRefusals, c.Full.WrongfulRateRefusals)
	line("duplicate executions", c.Naive.Duplicates, c.Full.Duplicates)
	_ = t.Flush()
}

func share(g Goodput) string {
	return fmt.Sprintf("%d/%d (%s)", g.Good, g.Offered, percent(g.Ratio()))
}

func percent(x float64) string { return fmt.Sprintf("%.1f%%", 100*x) }

func round(x float64) string { return fmt.Sprintf("%.2f", x) }

func seconds(x float64) string {
	if x < 0 {
		return "not within the run"
	}
	return fmt.Sprintf("%.1f", x)
}
