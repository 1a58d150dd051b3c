// Package soak runs real daemons on one machine against stand-ins of the store
// and of upstream instances, injects faults drawn from a seed, and checks the guarantees
// given to callers, instances and operators.
//
// # What runs
//
// Every node is a gooseberryflowd process beside a stand-in instance. Fault proxies sit
// between the node and the store and between the node and its peers. Callers keep
// connections open and send requests all the time; an operator changes routes, withdraws
// keys and stops nodes.
//
// # Faults
//
// Processes are killed, paused, stopped as planned, also with further signals in series,
// and restarted. Links between nodes and to the store are delayed, cut, reset or frozen in
// one direction. The store is down, hangs, is slow, loses responses, applies writes late,
// compacts its history, is restored from a backup, sends endless responses and reassigns
// partitions. Instances fail requests of their own accord, lose, truncate or duplicate
// responses, cut them within the head, send bytes that are no response, a status that is
// none or a blank in the name of a field, reset the connection within a response without a
// length before they have read the request, send each response of a connection twice, send
// endless ones, reject requests, also before the body has arrived, hang, drain and are
// replaced. Some callers upload long bodies then. A second response to a run has the status of the
// first one or the other one (a success for a failure, a failure for a success). It comes
// at once, late or where the next response is due, on the connection of the request or on
// another one, with "Connection: close" or without a length, and may break off within its
// head so that the next response continues it. Failures, second responses and the other
// faults of an instance are drawn independently. Instances name rate limits, odd ones too, and say in responses only that they leave, while the nodes beside them are
// killed and stopped in turn. They end and come back cold, and replaced ones are cold. The
// operator evacuates failure domains. Some callers pipeline requests or close their
// connection early, some upload long bodies. Some send a safe request that has failed again
// under its ID, as libraries do. Faults overlap.
//
// # Checks
//
// Non-idempotent requests run at most once and never after a refusal. A success is the
// complete response to its own request. A response with a stamp names a run of its own
// request and has the status, and a success the body, of the first response to that run;
// no response is a second one. Runs have the right customer and no API key. A draining
// instance gets nothing new. A configuration comes into force in time and is never rolled
// back. An instance that names a rate limit gets no more than it allows, also across
// restarts, and one that says that it leaves gets nothing new. A cold instance gets no
// more than it bears in any second, and an evacuated failure domain nothing after the time
// allowed. A withdrawn key stops working on every node. The fleet keeps a customer's rate
// and the retry budget. A planned stop loses nothing. The fleet serves again when the
// faults end. Each check has a test in which it fails.
//
// # Limits
//
// Setting clocks requires privileges, so no fault moves them. Nodes are ended only by the
// IDs of their processes.
//
//	go test ./soak                                   # a few short seeds
//	go test ./soak -run TestSoak -seeds 50 -first 100 -timeout 60m
//	go test ./soak -run TestSoak -seeds 2 -copies 10 -side 1
//	go test ./soak -run TestSoakInvalidResponses -seeds 50 -side 4
//	go test ./soak -run TestSoakStutteringInstances -seeds 4 -copies 10 -side 1 -resenders 4 -v
package soak
