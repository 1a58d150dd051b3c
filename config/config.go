// Package config defines the operators' file: customers, keys, rates, routes
// and priorities. A file is parsed and validated as a whole; a Config value
// is immutable once returned by Parse.
package config

import "time"

// Priority orders requests; a smaller value is more important.
type Priority uint8

// The priorities an operators' file can name, most important first.
const (
	PriorityCritical Priority = iota
	PriorityHigh
	PriorityNormal
	PriorityLow
	// PriorityCount is the number of priorities.
	PriorityCount = 4
)

var priorityNames = [PriorityCount]string{"critical", "high", "normal", "low"}

// String returns the name used in the operators' file.
func (p Priority) String() string {
	if int(p) >= len(priorityNames) {
		return "invalid"
	}
	return priorityNames[p]
}

// ParsePriority returns the priority with the given name.
func ParsePriority(name string) (Priority, bool) {
	for i, n := range priorityNames {
		if n == name {
			return Priority(i), true
		}
	}
	return 0, false
}

// Config is one whole operators' file.
type Config struct {
	Customers []Customer
	Keys      []Key
	Routes    []Route
	Retry     RetryPolicy
	// FailureDomains lists the failure domains; the home failure domain of an
	// idempotency key and the shares of a rate are taken over this list.
	FailureDomains []string

	// Hosts, OpaqueKeys and Limits are set where the configuration comes as a
	// document of the deployment's own instead of an operators' file.
	Hosts *HostTable
	// OpaqueKeys maps the digests of keys without a public part to customers.
	OpaqueKeys map[KeyDigest]string
	// CustomerPriorities holds the customers' own ranks; decoded, not used yet.
	CustomerPriorities map[string]Priority
	Limits             Limits
	// HealthPaths holds the path of the health check of each service.
	HealthPaths map[string]string
}

// Customer is a tenant with a fleet-wide rate limit.
type Customer struct {
	Name string
	// Rate is the sustained rate in requests per second over all instances.
	Rate float64
	// Burst is the token bucket depth in requests over all instances.
	Burst float64
}

// Key is a caller's credential; the secret itself is never stored.
type Key struct {
	// ID is the public part of the key, used for lookup and withdrawal.
	ID       string
	Customer string
	// Salt and Hash are hex; Hash is SHA-256 over salt and secret.
	Salt string
	Hash string
}

// Route describes one kind of request.
type Route struct {
	Name    string
	Service string
	// Method is the HTTP method; Pattern a path such as /slots/{id}.
	Method  string
	Pattern string
	// Open routes need no key and run for no customer.
	Open       bool
	Idempotent bool
	Priority   Priority
	// Deadline bounds the whole request including its nested calls.
	Deadline time.Duration
	// Objective is the service-level objective: the fraction of requests
	// that must be answered whole, in (0, 1). Zero means none.
	Objective float64
}

// RetryPolicy bounds retries.
type RetryPolicy struct {
	// Allowance is the number of retries for a root request's whole tree.
	Allowance int
}
