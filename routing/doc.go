// Package routing chooses the owner of a call: the member of the wanted
// service whose node will hand the call to its upstream instance. It is the
// last plug-in of the entry chain.
//
// Two members are drawn at random and the one with fewer outstanding calls of
// this node is taken (Mitzenmacher, The Power of Two Choices in Randomized
// Load Balancing, 2001).
package routing
