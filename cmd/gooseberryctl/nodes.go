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

	"github.com/gooseberryflow/gooseberryflow/internal/httpstrict"
)

const nodesHelp = `Reads the metrics of nodes that follow a keyed store and writes the state of
each: the version of the configuration and the time since it was last confirmed,
the number of members, and the incarnation of the store with the time since the
node learned it. If the incarnations differ, some nodes have not yet learned
that the store was restored from a backup. INSTANCE is the cold start of the
instance beside the node: warm, unknown, cold or ramp; "evacuated" is added while
its failure domain is. EVACUATED is the number of evacuated failure domains that
the node knows of. ADDRESS is a node's metrics address.`

const (
	// maxMetricsBytes bounds the size of a node's response.
	maxMetricsBytes = 1 << 20
	// nodeTimeout bounds the request to one node.
	nodeTimeout = 3 * time.Second
	// columnPadding is the number of spaces between two columns.
	columnPadding = 2
)

// metricsClient reads the metrics of nodes.
var metricsClient = httpstrict.NewClient()

// nodeView is the state of a node as its metrics report it.
type nodeView struct {
	Address          string `json:"address"`
	Version          uint64 `json:"config_version"`
	ConfigAgeMS      int64  `json:"config_age_ms"`
	Members          int    `json:"members"`
	Incarnation      uint64 `json:"store_incarnation"`
	IncarnationAgeMS int64  `json:"store_incarnation_age_ms"`
	// ColdPhase is the cold start of the instance; empty if the node doesn't tell it.
	ColdPhase        string `json:"instance_cold_phase"`
	Evacuated        bool   `json:"instance_evacuated"`
	EvacuatedDomains int    `json:"evacuated_domains"`
	// Error is the reason why the node's metrics could not be read.
	Error string `json:"error,omitempty"`
}

func (a *app) nodesCommand() *ffcli.Command {
	c := a.newCommand("nodes", "gooseberryctl nodes [flags] ADDRESS...", "show the state of nodes with a keyed store", nodesHelp)
	c.Exec = func(ctx context.Context, addresses []string) error {
		if len(addresses) == 0 {
			return exitf(exitUsage, "at least one metrics address of a node is required; see --help")
		}
		ctx, stop := context.WithTimeout(ctx, a.timeout)
		defer stop()
		return a.nodes(ctx, addresses)
	}
	return c
}

func (a *app) nodes(ctx context.Context, addresses []string) error {
	views := make([]nodeView, len(addresses))
	var readers sync.WaitGroup
	for i, address := range addresses {
		readers.Go(func() { views[i] = readNodeView(ctx, address) })
	}
	readers.Wait()
	if err := a.printNodeViews(views); err != nil {
		return err
	}
	for _, b := range views {
		if b.Error != "" {
			return exitf(exitUnreachable, "%s: %s", b.Address, b.Error)
		}
	}
	return nil
}

func (a *app) printNodeViews(views []nodeView) error {
	if a.json {
		return a.writeJSON(views)
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, columnPadding, ' ', 0)
	fmt.Fprintln(w, "NODE\tVERSION\tAGE\tMEMBERS\tINCARNATION\tSINCE\tINSTANCE\tEVACUATED")
	for _, b := range views {
		if b.Error != "" {
			fmt.Fprintf(w, "%s\t%s\n", b.Address, b.Error)
			continue
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%s\t%s\t%d\n", b.Address, b.Version, milliseconds(b.ConfigAgeMS), b.Members,
			b.Incarnation, milliseconds(b.IncarnationAgeMS), b.instanceState(), b.EvacuatedDomains)
	}
	return w.Flush()
}

// instanceState describes the instance beside the node; "-" if the node doesn't tell.
func (b *nodeView) instanceState() string {
	state := b.ColdPhase
	if state == "" {
		state = "-"
	}
	if b.Evacuated {
		state += " evacuated"
	}
	return state
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func readNodeView(ctx context.Context, address string) nodeView {
	b := nodeView{Address: address}
	ctx, stop := context.WithTimeout(ctx, nodeTimeout)
	defer stop()
	if err := b.fetch(ctx); err != nil {
		return nodeView{Address: address, Error: err.Error()}
	}
	return b
}

func (b *nodeView) fetch(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.Address+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := metricsClient.Do(req)
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
