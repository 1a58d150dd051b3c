// Package sidecar wires a node for deployments that keep members and
// configuration in a keyed store: plug-in chains of the kernel, the directory,
// connections to other nodes, and the dispatch of calls to the instance beside
// the node. The protocols of callers, the instance and the store belong to an
// adapter package, which passes a directory.Store and the exchange handler to
// New and then calls Serve.
package sidecar
