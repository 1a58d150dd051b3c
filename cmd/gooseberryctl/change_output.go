package main

import (
	"fmt"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
	"github.com/gooseberryflow/gooseberryflow/config"
)

// changeOutput is the outcome of a change as JSON.
type changeOutput struct {
	Status   string          `json:"status"`
	Version  uint64          `json:"version"`
	ChangeID string          `json:"change_id"`
	Reason   string          `json:"reason,omitempty"`
	Faults   []faultOutput   `json:"faults,omitempty"`
	Changes  []config.Change `json:"changes,omitempty"`
}

type faultOutput struct {
	Line   int    `json:"line"`
	Key    string `json:"key"`
	Reason string `json:"reason"`
}

func newChangeOutput(r *api.ChangeResult) changeOutput {
	out := changeOutput{Status: r.Status, Version: r.Version, ChangeID: r.ChangeID, Reason: changeReason(r)}
	for _, f := range r.Faults {
		out.Faults = append(out.Faults, faultOutput{f.Line, f.Key, f.Reason})
	}
	for _, c := range r.Changes {
		out.Changes = append(out.Changes, config.Change{Kind: config.ChangeKind(c.Kind), Item: c.Item, Name: c.Name, Fields: c.Fields})
	}
	return out
}

func changeReason(r *api.ChangeResult) string {
	if r.Reason == nil {
		return ""
	}
	return *r.Reason
}

func (a *app) showChange(path string, r *api.ChangeResult) error {
	out := newChangeOutput(r)
	if a.json {
		if err := a.writeJSON(out); err != nil {
			return err
		}
	} else {
		a.printChange(path, out)
	}
	if r.Status == "rejected" {
		return exitf(exitRejected, "rejected: %s; version %d stays in force", out.Reason, out.Version)
	}
	return nil
}

func (a *app) printChange(path string, out changeOutput) {
	for _, f := range out.Faults {
		fmt.Fprintf(a.stderr, "%s:%d: %s: %s\n", path, f.Line, f.Key, f.Reason)
	}
	switch out.Status {
	case "accepted":
		fmt.Fprintf(a.stdout, "accepted: version %d, change %s\n", out.Version, out.ChangeID)
	case "valid":
		for _, c := range out.Changes {
			fmt.Fprintln(a.stdout, c)
		}
		fmt.Fprintf(a.stdout, "valid: %d changes to version %d; nothing was applied\n", len(out.Changes), out.Version)
	}
}
