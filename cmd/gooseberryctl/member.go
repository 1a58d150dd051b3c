package main

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
)

const statusHelp = `Shows the fleet as seen by one node: the configuration in force, the offset up
to which the node has applied the log, and the last report of each member.
LAG is the number of log records by which the member was behind in that report.`

const drainHelp = `Starts draining a member, or stops draining it with --off. A draining member gets
no new calls after a few seconds; calls in flight are completed.`

const removeHelp = `Records that a member's incarnation has ended. Use it for an instance that has
gone without a planned stop and whose address no other instance has taken over.
It cannot be undone; a process that still runs under this ID ends its incarnation.`

func (a *app) statusCommand() *ffcli.Command {
	c := a.newCommand("status", "gooseberryctl status [flags]", "show members, versions and lag", statusHelp)
	c.Exec = a.withArgs(nil, a.status)
	return c
}

func (a *app) drainCommand() *ffcli.Command {
	c := a.newCommand("drain", "gooseberryctl drain [flags] MEMBER", "send no new calls to a member", drainHelp)
	off := c.FlagSet.Bool("off", false, "end the draining")
	c.Exec = a.withArgs([]string{"MEMBER"}, func(ctx context.Context, args []string) error {
		return a.drain(ctx, args[0], !*off)
	})
	return c
}

func (a *app) removeCommand() *ffcli.Command {
	c := a.newCommand("remove", "gooseberryctl remove [flags] MEMBER", "record that a member has ended", removeHelp)
	c.Exec = a.withArgs([]string{"MEMBER"}, func(ctx context.Context, args []string) error {
		return a.remove(ctx, args[0])
	})
	return c
}

func (a *app) drain(ctx context.Context, id string, on bool) error {
	f, err := a.connect()
	if err != nil {
		return err
	}
	err = changeAnyNode(ctx, f, func(ctx context.Context, c *api.Client) error {
		return c.Drain(ctx, &api.DrainPayload{ID: id, On: on, Token: &a.token})
	})
	if err != nil {
		return err
	}
	if !on {
		return a.printDone("no longer draining", id)
	}
	return a.printDone("draining", id)
}

func (a *app) remove(ctx context.Context, id string) error {
	f, err := a.connect()
	if err != nil {
		return err
	}
	err = changeAnyNode(ctx, f, func(ctx context.Context, c *api.Client) error {
		return c.Remove(ctx, &api.RemovePayload{ID: id, Token: &a.token})
	})
	if err != nil {
		return err
	}
	return a.printDone("removed", id)
}

func (a *app) status(ctx context.Context, _ []string) error {
	f, err := a.connect()
	if err != nil {
		return err
	}
	st, err := readAnyNode(ctx, f, func(ctx context.Context, c *api.Client) (*api.FleetStatus, error) {
		return c.Status(ctx, &api.Credential{Token: &a.token})
	})
	if err != nil {
		return err
	}
	if a.json {
		return a.writeJSON(newStatusOutput(st))
	}
	return a.printStatus(st)
}

func (a *app) printStatus(st *api.FleetStatus) error {
	fmt.Fprintf(a.stdout, "node %s: version %d, change %s, log %d of %d, last contact with the log %s\n",
		st.Member, st.Version, orDash(st.ChangeID), st.Offset, st.LogNext, ago(st.LogContactMs))
	t := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tSERVICE\tFAILURE DOMAIN\tCALLERS\tSTATE\tVERSION\tLAG\tHEARD")
	for _, m := range st.Members {
		fmt.Fprintln(t, memberLine(m))
	}
	return t.Flush()
}

func memberLine(m *api.MemberStatus) string {
	state := "active"
	if m.Draining {
		state = "draining"
	}
	version, lag := "-", "-"
	if m.HeardMs != 0 {
		version = fmt.Sprint(m.Version)
		lag = fmt.Sprint(m.Lag)
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s",
		m.ID, m.Service, m.FailureDomain, m.CallerAddress, state, version, lag, ago(m.HeardMs))
}

func ago(unixMS int64) string {
	if unixMS == 0 {
		return "never"
	}
	return time.Since(time.UnixMilli(unixMS)).Round(time.Second).String() + " ago"
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
