// Package routing chooses the owner of a call: the member of the wanted service
// whose node will hand the call to its upstream instance. It is the last
// plug-in of the entry chain.
//
// # Choice
//
// Two members of the node's own failure domain are drawn at random and the one
// under less pressure is taken (Mitzenmacher, The Power of Two Choices in
// Randomized Load Balancing, 2001). Pressure is the member's occupancy plus a
// surcharge for the share of calls that its instance has rejected recently.
// Occupancy is the number of calls at the member divided by its concurrency
// limit: this node's outstanding calls, counted exactly, and those of other
// nodes according to the member's latest report, halved for each second of the
// report's age. The node's own instance is taken if it is under no more
// pressure than the better of the two, which saves a hop.
//
// If a report has shown a pressure of 1 or more, two members of other failure
// domains are drawn as well, and the better one is taken if its pressure is
// lower by a quarter of a limit. From an occupancy of 0.8 on it is also taken
// if its occupancy and pressure are lower by a tenth. Without a usable member
// in the node's own domain, members of other domains are drawn at once.
//
// # Members of uneven speed
//
// Where members report their work time, occupancy is the number of calls at the member
// times its work time, divided by its limit: the work ahead of a new call. The two
// random choices are compared by the time to finish, the work time plus the pressure. A
// member that reports none counts as 1. The work time in a report approaches the mean in
// the report, so that a member isn't avoided for longer than its slow phase.
//
// If the best local member has reported its work time within 0.5 s, the thresholds above
// don't apply; they do if its latest report is older, as when it has stalled. A call goes to another domain if the local member has an occupancy and pressure of
// 0.6 or more, and the better of two members of other domains would take less time by
// half of a usual call and the way to the other domain and back. Once calls go there,
// they do so down to 0.5 and a gain of 0.3 (hysteresis), and a gain that is hardly above
// that moves only a part of the calls, since other nodes decide on the same reports.
//
// Only members that can be reached are room for such calls: their domain has had no lost
// call since the last answer from it, for a time that doubles like that of an ejection,
// and neither has the member. A member whose report is older than 0.5 s gets one call of
// this node at a time.
//
// # Regions
//
// If the call's route or customer allows only some regions, the members in failure
// domains of other regions are left out, for every attempt. If no member is left, the
// call is refused as not run (kernel.ReasonRegion).
//
// # Ejection
//
// A member is ejected after a lost call or failed connection, after three
// timeouts in a row while most other members have none, or when most of its
// answers are errors (status 500 and above) and those of the other members are
// not. An ejection lasts 1 s, doubling up to 30 s, with jitter (outlier
// detection as in Envoy). Then one call at a time probes the member; the first
// successful answer ends the ejection. A refusal counts neither as success nor
// as failure. At most half of a service's members are ejected at any time, so
// that failures common to all members don't leave the service without members.
// If no other member is left for a call, an ejected member is used.
//
// Draining members get no new calls, whether the membership or the member's own
// answer says that it drains; an answer counts for 5 s. An instance that has said
// itself that it leaves gets none until another one is beside its node. A call never
// goes to the same member twice (WithTriedOwners).
//
// # Reports of instances
//
// A node remembers what instances say of themselves (kernel.InstanceReport) by the
// name of the node beside them and tells it with its calls, so that the next process
// of that node knows it before it has heard from its instance.
//
// # Limits
//
// Each node uses only the results of its own calls; ejections are not shared.
// The members are read from the published snapshot. The node's view of them is
// rebuilt once for each change, and a choice takes no lock besides that of the
// call's own set of tried owners.
package routing
