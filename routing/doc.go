// Package routing chooses the owner of a call: the member of the wanted
// service whose node will hand the call to its upstream instance. It is the
// last plug-in of the entry chain.
//
// # Choice
//
// Two members of the node's own failure domain are drawn at random and the
// one under less pressure is taken (Mitzenmacher, The Power of Two Choices in
// Randomized Load Balancing, 2001). Pressure is the number of calls at the
// member over its concurrency limit: this node's outstanding calls, counted
// exactly, and those of others as the member's latest answer told, halved for
// each second of age, and a surcharge for the share of calls that its instance
// has rejected of late. The node's own instance is taken if it is under no more
// pressure than the better of the two, which saves a hop. At a pressure of 1
// or more that a report has shown, two members of other failure domains are
// drawn as well, and the better one is taken if its pressure is lower by a
// quarter of a limit; from an occupancy of 0.8 on also if its occupancy is lower
// by a tenth; without a usable member at home they are drawn at once.
//
// # Ejection
//
// A member is ejected after a lost call or failed connection, after three
// timeouts in a row while most other members have none, or when most of its answers are errors (status 500 and
// above) and those of the other members are not, for 1 s, doubling to 30 s,
// with jitter (outlier detection as in Envoy). Then one call at a time
// probes it; the first good answer returns it. A refusal counts neither way.
// At most half of a service's members are ejected at any time, so that
// failures which all members share don't empty the service. If nothing else
// is left for a call, an ejected member is used.
//
// Draining members get nothing new, by the roster or by their own word, which
// counts for 30 s. A call never goes to the same member twice (WithTriedOwners).
//
// # Limits
//
// Each node judges by its own calls; no ejections are exchanged. The roster is
// read from the published snapshot; the node's view of it is rebuilt once for
// each change, and a choice takes no lock besides that of the call's own set
// of tried members.
package routing
