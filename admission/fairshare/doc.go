// Package fairshare divides what an overloaded service admits among customers.
//
// # Demand
//
// A Meter at each entry node counts requests by customer and route over a sliding
// window. A request's load at a service is the number of calls that its tree makes
// there, so a customer's demand on the service is a number of calls per second for
// each priority. Summarize and Sum pass demands on between nodes in bounded size: the
// customers that matter by name, all others as one.
//
// # Shares
//
// The admission level of a service admits a fraction of the load of one priority, the
// band that the level lies in. Divide distributes that amount by weighted max-min
// fairness (water-filling): every customer may use a share in proportion to its
// weight, and what a customer leaves unused goes to the others. Load of more urgent
// bands counts toward a customer's share, but is admitted in any case. Requests of a
// customer within its share are all admitted, those of others with the probability
// share/demand. The sum is what the level admits, so the level's controller is not
// affected.
//
// A demand is measured from few requests and therefore noisy. A customer is held to
// its share only as far as its demand exceeds the share by more than the noise
// explains, and never because of a single request in the window.
//
// # Limits
//
// A Meter follows maxCustomers customers; the requests of others are not counted, and
// their ranks are drawn as without shares. The package does no I/O and reads no clock;
// its types are not safe for concurrent use.
package fairshare
