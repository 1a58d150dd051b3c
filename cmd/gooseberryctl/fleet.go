package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	api "github.com/gooseberryflow/gooseberryflow/admin/gen/admin"
	apiclient "github.com/gooseberryflow/gooseberryflow/admin/gen/http/admin/client"
)

const (
	dialTimeout = 2 * time.Second
	// attemptTimeout bounds one request to one node.
	attemptTimeout = 10 * time.Second
)

// fleet is the nodes that the tool may ask, in order of preference.
type fleet struct {
	nodes []node
}

type node struct {
	address string
	client  *api.Client
}

// connect checks the addresses and the token; it sends nothing yet.
func (a *app) connect() (*fleet, error) {
	if a.token == "" {
		return nil, exitf(exitUsage, "an operator's token is needed: set %s_TOKEN or --token", envPrefix)
	}
	f := &fleet{}
	for _, address := range strings.Split(a.admin, ",") {
		address = strings.TrimSpace(address)
		if _, err := netip.ParseAddrPort(address); err != nil {
			return nil, exitf(exitUsage, "--admin: %q is not an IP number with a port, such as %s", address, defaultAdmin)
		}
		f.nodes = append(f.nodes, node{address, newClient(address)})
	}
	return f, nil
}

func newClient(address string) *api.Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	doer := &http.Client{Transport: transport, Timeout: attemptTimeout}
	c := apiclient.NewClient("http", address, doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return api.NewClient(c.GetConfig(), c.Apply(), c.GetChange(), c.ListKeys(), c.IssueKey(), c.WithdrawKey(),
		c.Status(), c.Drain(), c.Remove(), c.ReportBurn(), c.Health())
}

// certainty tells what is known after one attempt at one node.
type certainty int

const (
	// answered means that the node gave its final answer, good or bad.
	answered certainty = iota
	// notSent means that the request never reached the node.
	notSent
	// notDone means that the node could not do it; another one may.
	notDone
	// uncertain means that the node may have done it.
	uncertain
)

func classify(err error) certainty {
	if err == nil {
		return answered
	}
	var failure *goa.ServiceError
	if errors.As(err, &failure) {
		switch failure.Name {
		case "unavailable":
			return notDone
		case "unknown_outcome", "fault":
			return uncertain
		}
		return answered
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notSent
	}
	return uncertain
}

// ask sends an idempotent request to one node after the other until one gives
// its final answer.
func ask[T any](ctx context.Context, f *fleet, send func(context.Context, *api.Client) (T, error)) (T, error) {
	var none T
	worst := notSent
	var causes []error
	for _, n := range f.nodes {
		result, err := send(ctx, n.client)
		c := classify(err)
		if c == answered && (err == nil || worst != uncertain) {
			return result, finalError(n.address, err)
		}
		causes = append(causes, fmt.Errorf("%s: %w", n.address, err))
		worst = max(worst, c)
	}
	return none, &exitError{worst.exitCode(), errors.Join(causes...)}
}

// exitCode returns the code for a request that no node answered.
func (c certainty) exitCode() int {
	switch c {
	case notSent:
		return exitUnreachable
	case uncertain:
		return exitUnknown
	}
	return exitFailure
}

// finalError turns a node's refusal into an error with its exit code.
func finalError(address string, err error) error {
	if err == nil {
		return nil
	}
	code := exitRejected
	var failure *goa.ServiceError
	if errors.As(err, &failure) && failure.Name == "unauthorized" {
		code = exitFailure
	}
	return exitf(code, "%s: %w", address, err)
}

// read is ask for requests that change nothing, so that no outcome is unknown.
func read[T any](ctx context.Context, f *fleet, send func(context.Context, *api.Client) (T, error)) (T, error) {
	result, err := ask(ctx, f, send)
	var e *exitError
	if errors.As(err, &e) && e.code == exitUnknown {
		err = &exitError{exitUnreachable, e.err}
	}
	return result, err
}

// change is ask for requests without a result.
func change(ctx context.Context, f *fleet, send func(context.Context, *api.Client) error) error {
	_, err := ask(ctx, f, func(ctx context.Context, c *api.Client) (struct{}, error) {
		return struct{}{}, send(ctx, c)
	})
	return err
}
