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
	"github.com/gooseberryflow/gooseberryflow/internal/httpstrict"
)

const (
	dialTimeout = 2 * time.Second
	// attemptTimeout bounds one request to one node.
	attemptTimeout = 10 * time.Second
	// maxResponseBytes bounds the body of a node's response.
	maxResponseBytes = 8 << 20
)

// fleet lists the nodes to which the tool may send requests, in order of
// preference.
type fleet struct {
	nodes []node
}

type node struct {
	address string
	client  *api.Client
}

// connect creates clients for the nodes in --admin. It checks the addresses and
// the presence of a token but sends nothing.
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
	doer := &http.Client{Transport: boundedTransport{httpstrict.NewTransport(transport)}, Timeout: attemptTimeout}
	c := apiclient.NewClient("http", address, doer, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return api.NewClient(c.GetConfig(), c.Apply(), c.GetChange(), c.ListKeys(), c.IssueKey(), c.WithdrawKey(),
		c.Status(), c.Drain(), c.Remove(), c.ReportBurn(), c.Health())
}

// boundedTransport bounds the bodies of responses to maxResponseBytes.
type boundedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxResponseBytes)
	return resp, nil
}

// outcome is what is known about a request after one attempt at one node, in
// ascending order of severity.
type outcome int

const (
	// answered means that the node's response, success or error, is final.
	answered outcome = iota
	// notSent means that the request never reached the node.
	notSent
	// notExecuted means that the node could not execute the request; another
	// node may.
	notExecuted
	// maybeExecuted means that the node may have executed the request.
	maybeExecuted
)

func classify(err error) outcome {
	if err == nil {
		return answered
	}
	var failure *goa.ServiceError
	if errors.As(err, &failure) {
		switch failure.Name {
		case "unavailable":
			return notExecuted
		case "unknown_outcome", "fault":
			return maybeExecuted
		}
		return answered
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notSent
	}
	return maybeExecuted
}

// callAnyNode sends an idempotent request to the nodes in turn until one gives a
// final response. An error response is final only if no earlier node may have
// executed the request.
func callAnyNode[T any](ctx context.Context, f *fleet, send func(context.Context, *api.Client) (T, error)) (T, error) {
	var none T
	worstOutcome := notSent
	var causes []error
	for _, n := range f.nodes {
		result, err := send(ctx, n.client)
		o := classify(err)
		if o == answered && (err == nil || worstOutcome != maybeExecuted) {
			return result, finalError(n.address, err)
		}
		causes = append(causes, fmt.Errorf("%s: %w", n.address, httpstrict.ShortenError(err)))
		worstOutcome = max(worstOutcome, o)
	}
	return none, &exitError{worstOutcome.exitCode(), errors.Join(causes...)}
}

// exitCode returns the exit code for a request without a final response.
func (o outcome) exitCode() int {
	switch o {
	case notSent:
		return exitUnreachable
	case maybeExecuted:
		return exitUnknown
	}
	return exitFailure
}

// finalError adds an exit code to the final error response of a node.
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

// readAnyNode is callAnyNode for read-only requests, whose outcome is never
// unknown.
func readAnyNode[T any](ctx context.Context, f *fleet, send func(context.Context, *api.Client) (T, error)) (T, error) {
	result, err := callAnyNode(ctx, f, send)
	var e *exitError
	if errors.As(err, &e) && e.code == exitUnknown {
		err = &exitError{exitUnreachable, e.err}
	}
	return result, err
}

// changeAnyNode is callAnyNode for requests without a result.
func changeAnyNode(ctx context.Context, f *fleet, send func(context.Context, *api.Client) error) error {
	_, err := callAnyNode(ctx, f, func(ctx context.Context, c *api.Client) (struct{}, error) {
		return struct{}{}, send(ctx, c)
	})
	return err
}
