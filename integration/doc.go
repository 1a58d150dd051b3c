// Package integration holds tests that start real gooseberryflowd processes
// against stand-ins and break things under them.
package integration
