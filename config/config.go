// Package config defines the operators' file, the configuration shared by all
// nodes: customers, keys, rate limits, routes and priorities. Parse accepts only
// files without errors. A Config is immutable once Parse has returned it.
package config

import "time"

// Priority orders requests; a smaller value is more important.
type Priority uint8

// The priorities that an operators' file can name, most important first.
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

// Config is the parsed and validated content of an operators' file.
type Config struct {
	Customers []Customer
	Keys      []Key
	Routes    []Route
	Retry     RetryPolicy
	// FailureDomains lists the failure domains. It determines the home failure
	// domain of an idempotency key and how rates are divided among domains.
	FailureDomains []string

	// The fields below are set only when the configuration was decoded from a
	// document in the deployment's own format (package platform) instead of an
	// operators' file.

	// Hosts selects routes by host and path prefix.
	Hosts *HostTable
	// OpaqueKeys maps the digests of keys that have no public ID to customers.
	OpaqueKeys map[KeyDigest]string
	// CustomerPriorities holds the priorities set for customers. They are decoded
	// but not used yet.
	CustomerPriorities map[string]Priority
	Limits             Limits
	// HealthPaths maps each service to the path of its health check.
	HealthPaths map[string]string
	// ColdStarts holds the services whose instances are cold after a start.
	ColdStarts map[string]ColdStart
	// Warnings lists the parts of the document that were not understood and how they
	// are treated.
	Warnings []string
}

// ColdStart describes the instances of a service that are slow after a start, for
// example until their caches are filled.
type ColdStart struct {
	// Duration is how long an instance is cold after its start.
	Duration time.Duration
	// Rate is the number of requests per second that a cold instance bears from all
	// nodes together.
	Rate float64
}

// Customer is a tenant and its fleet-wide rate limit.
type Customer struct {
	Name string
	// Rate is the sustained rate in requests per second over all instances.
	Rate float64
	// Burst is the size of the token bucket in requests over all instances.
	Burst float64
	// Regions lists the regions in which the customer's requests may be processed;
	// empty: all.
	Regions []string
}

// Key is a caller's credential. It holds a hash of the secret, never the secret.
type Key struct {
	// ID is the public part of the key, used for lookup and withdrawal.
	ID       string
	Customer string
	// Salt and Hash are hexadecimal; Hash is the SHA-256 sum of salt and secret.
	Salt string
	Hash string
}

// Route describes requests with one method and path pattern.
type Route struct {
	Name    string
	Service string
	// Method is the HTTP method; Pattern is a path such as /slots/{id}.
	Method  string
	Pattern string
	// Open routes need no key, and their requests belong to no customer.
	Open       bool
	Idempotent bool
	Priority   Priority
	// Deadline bounds the duration of a request including its nested calls.
	Deadline time.Duration
	// Objective is the service-level objective: the fraction of requests, in
	// (0, 1), that must succeed. Zero means none.
	Objective float64
}

// RetryPolicy limits retries.
type RetryPolicy struct {
	// Allowance is the number of retries that a root request and all calls nested
	// in it may use together.
	Allowance int
}
