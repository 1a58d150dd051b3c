package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const nodesHelp = `Reads the metrics of nodes that follow a keyed store and writes what each
believes: the version of the configuration and how long ago it was vouched for,
the members it knows, and the incarnation of the store with the time since the
node has known it. Nodes that differ in the incarnation have not all heard yet
that the store came back from a copy. ADDRESS is that of a node's metrics.`

const (
	// maxMetricsBytes bounds a node's answer.
	maxMetricsBytes = 1 << 20
	// nodesTimeout bounds the wait for one node.
	nodesTimeout = 3 * time.Second
	// tableGap is the space between two columns.
	tableGap = 2
)

// nodeBelief is what a node's metrics say of its state.
type nodeBelief struct {
	Address       string `json:"address"`
	Version       uint64 `json:"config_version"`
	AgeMS         int64  `json:"config_age_ms"`
	Members       int    `json:"members"`
	Incarnation   uint64 `json:"store_incarnation"`
	IncarnationMS int64  `json:"store_incarnation_age_ms"`
	// Error is why the node could not be read.
	Error string `json:"error,omitempty"`
}

func (a *app) nodesCommand() *ffcli.Command {
	c := a.command("nodes", "gooseberryctl nodes [flags] ADDRESS...", "what nodes believe of configuration and store", nodesHelp)
	c.Exec = func(ctx context.Context, addresses []string) error {
		if len(addresses) == 0 {
			return exitf(exitUsage, "name the metrics addresses of nodes; see --help")
		}
		ctx, stop := context.WithTimeout(ctx, a.timeout)
		defer stop()
		return a.nodes(ctx, addresses)
	}
	return c
}

func (a *app) nodes(ctx context.Context, addresses []string) error {
	beliefs := make([]nodeBelief, len(addresses))
	var asking sync.WaitGroup
	for i, address := range addresses {
		asking.Go(func() { beliefs[i] = readBelief(ctx, address) })
	}
	asking.Wait()
	if err := a.writeBeliefs(beliefs); err != nil {
		return err
	}
	for _, b := range beliefs {
		if b.Error != "" {
			return exitf(exitUnreachable, "%s: %s", b.Address, b.Error)
		}
	}
	return nil
}

func (a *app) writeBeliefs(beliefs []nodeBelief) error {
	if a.json {
		return a.writeJSON(beliefs)
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, tableGap, ' ', 0)
	fmt.Fprintln(w, "NODE\tVERSION\tAGE\tMEMBERS\tINCARNATION\tSINCE")
	for _, b := range beliefs {
		if b.Error != "" {
			fmt.Fprintf(w, "%s\t%s\n", b.Address, b.Error)
			continue
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%s\n", b.Address, b.Version, milliseconds(b.AgeMS), b.Members,
			b.Incarnation, milliseconds(b.IncarnationMS))
	}
	return w.Flush()
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func readBelief(ctx context.Context, address string) nodeBelief {
	b := nodeBelief{Address: address}
	ctx, stop := context.WithTimeout(ctx, nodesTimeout)
	defer stop()
	if err := b.read(ctx); err != nil {
		return nodeBelief{Address: address, Error: err.Error()}
	}
	return b
}

func (b *nodeBelief) read(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxMetricsBytes))
	if err != nil {
		return err
	}
	return json.Unmarshal(data, b)
}
