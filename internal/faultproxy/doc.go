// Package faultproxy is test support: a proxy for TCP and UDP on loopback
// that injects network faults, set by code while traffic runs.
//
// Faults are set for each direction. Delay and jitter hold data back, loss
// drops datagrams with a probability drawn from a seeded generator, bandwidth
// limits bytes per second, a cut lets nothing pass, and a freeze holds
// everything until it ends, as when the process behind it is paused. A cut
// drops datagrams; a TCP stream can't lose bytes, so there a cut holds them
// like a freeze, and new connections get no answer until it ends. Reset ends
// all TCP connections with RST.
//
// Limits: jitter reorders datagrams but never bytes of a stream; loss has no
// effect on TCP; at most queueLen chunks wait in each direction, after which
// a TCP reader waits and datagrams are dropped.
package faultproxy
