// Package integration tests real gooseberryflowd processes against stand-ins of
// upstreams and of the log while faults are injected.
package integration
