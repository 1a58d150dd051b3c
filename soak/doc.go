// Package soak runs real daemons on one machine against the stand-ins of the
// store and of instances, injects faults drawn from a seed, and checks what
// callers, instances and operators were promised.
//
// # What runs
//
// Every node is a process of gooseberryflowd beside a stand-in instance. Its way
// to the store and the way of other nodes to it lead through fault proxies.
// Callers keep connections open and send requests all the time; an operator
// changes routes, withdraws keys and has nodes stopped.
//
// # Faults
//
// Processes are killed, paused, stopped as planned and started again; links
// between nodes and to the store are delayed, cut, silenced one way or reset;
// the store is down, silent, slow, loses answers, does writes late, forgets its
// history and deals partitions anew; instances lose answers, cut them short,
// send extra ones, reject, also before the body is in, stay silent, drain and are
// replaced. Some callers send several requests at a time, or leave. Faults overlap.
//
// # Checks
//
// Non-idempotent requests run at most once and never after a refusal; a success
// is the whole answer to its own request; runs carry the right customer and no
// key; a leaving instance gets nothing new; a configuration comes into force in
// time and never goes back; a withdrawn key stops everywhere; the fleet keeps a
// customer's rate and the retry budget; a planned stop loses nothing; the fleet
// serves again when the faults end. Each check has a test in which it fails.
//
// # Limits
//
// Clocks can't be set without privileges, so no fault moves them. Nodes are
// ended by the IDs of their processes only.
//
//	go test ./soak                                   # a few short seeds
//	go test ./soak -run TestSoak -seeds 50 -first 100 -timeout 60m
package soak
