// Package faultproxy is a TCP and UDP proxy on loopback for tests. It injects
// network faults, which can be changed while traffic flows.
//
// Faults are set per direction. Delay and jitter hold data back, loss drops
// datagrams at random from a seeded generator, and bandwidth limits the bytes
// per second. A cut partitions the link: it drops datagrams; a TCP stream
// can't lose bytes, so a cut holds them, and new connections are not forwarded
// until it ends. A freeze holds all data until it ends, as if the process
// behind the proxy were paused. Reset aborts all TCP connections with RST.
//
// Limits: jitter may reorder datagrams but never the bytes of a stream; loss
// has no effect on TCP. At most queueLen chunks are queued in each direction;
// beyond that, TCP reads block and datagrams are dropped.
package faultproxy
