package main

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
	"github.com/gooseberryflow/gooseberryflow/report"
)

const burnHelp = `Shows the burn rate of each customer's error budget on each route, over 5
minutes, 1 hour and 6 hours. A burn rate of 1 uses up the budget exactly.

Each node counts the requests that it receives as entry node, so the report
adds up the nodes in --admin. Unreachable nodes are listed.`

func (a *app) reportCommand() *ffcli.Command {
	group := a.newCommand("report", "gooseberryctl report burn [flags]", "report on service levels", "")
	burn := a.newCommand("burn", "gooseberryctl report burn [flags]", "show the burn rate of error budgets", burnHelp)
	burn.Exec = a.withArgs(nil, a.reportBurn)
	group.Subcommands = []*ffcli.Command{burn}
	group.Exec = explainGroup(group)
	return group
}

// burnOutput is the merged report as JSON.
type burnOutput struct {
	// Nodes is the number of nodes that the report adds up.
	Nodes       int          `json:"nodes"`
	Unreachable []string     `json:"unreachable,omitempty"`
	Rows        []report.Row `json:"rows"`
}

func (a *app) reportBurn(ctx context.Context, _ []string) error {
	f, err := a.connect()
	if err != nil {
		return err
	}
	out, err := a.collectBurn(ctx, f)
	if err != nil {
		return err
	}
	if a.json {
		return a.writeJSON(out)
	}
	if err := (report.Report{Rows: out.Rows}).WriteTable(a.stdout); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.stdout, "added up from %d of %d nodes\n", out.Nodes, out.Nodes+len(out.Unreachable))
	return err
}

// collectBurn merges the reports of all nodes. Several addresses of one node
// count once. It fails if no node responds.
func (a *app) collectBurn(ctx context.Context, f *fleet) (burnOutput, error) {
	var out burnOutput
	var lastErr error
	byMember := map[string]report.Report{}
	for _, n := range f.nodes {
		single := &fleet{nodes: []node{n}}
		r, err := readAnyNode(ctx, single, func(ctx context.Context, c *api.Client) (*api.BurnReport, error) {
			return c.ReportBurn(ctx, &api.Credential{Token: &a.token})
		})
		if err != nil {
			fmt.Fprintf(a.stderr, "not included: %s\n", err)
			out.Unreachable = append(out.Unreachable, n.address)
			lastErr = err
			continue
		}
		byMember[r.Member] = toReport(r)
	}
	if len(byMember) == 0 {
		return out, lastErr
	}
	out.Nodes = len(byMember)
	for _, r := range byMember {
		out.Rows = report.Merge(report.Report{Rows: out.Rows}, r).Rows
	}
	return out, nil
}

func toReport(r *api.BurnReport) report.Report {
	var out report.Report
	for _, row := range r.Rows {
		out.Rows = append(out.Rows, toRow(row))
	}
	return out
}

func toRow(row *api.BurnRow) report.Row {
	out := report.Row{Customer: row.Customer, Route: row.Route, Objective: row.Objective}
	for _, w := range row.Windows {
		for i, length := range report.Windows {
			if int64(length/time.Second) == w.Seconds {
				out.Windows[i] = toCounts(w)
			}
		}
	}
	return out
}

func toCounts(w *api.BurnWindow) report.Counts {
	return report.Counts{
		Total:      w.Total,
		Failed:     w.Failed,
		LatencySum: time.Duration(w.LatencySumMs * float64(time.Millisecond)),
	}
}
