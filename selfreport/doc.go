// Package selfreport tracks what an instance says of itself in its responses: how
// many requests per second it accepts, and that it shuts down.
//
// # Algorithm
//
// A Tracker belongs to the node beside the instance, which sees all of its
// responses. The latest complete response of the present incarnation decides: it
// sets the rate limit, changes it, or ends it by naming none, the latter not within
// endDelay of a response that has named one. Responses are ordered by when their heads
// arrived, since a long body may arrive after a response that was sent later. Without
// responses the latest one holds on. That an instance shuts down holds until another
// incarnation takes its place.
//
// What other nodes were told by an earlier process counts like a response of the time
// at which the instance said so.
//
// # Limits
//
// A rate limit that can't be read, is negative or isn't finite changes nothing. Of
// several values the lowest counts. A limit is kept between MinRateLimit, at which
// some requests still reach the instance and show when the limit ends, and
// MaxRateLimit.
package selfreport
