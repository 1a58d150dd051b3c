package routing

import (
	"fmt"
	"slices"
	"strings"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/kernel"
)

// maxListedBytes bounds a list of regions in the detail of a refusal.
const maxListedBytes = 120

// regionRule says in which regions a call may run. The zero value allows all.
type regionRule struct {
	// regions maps failure domains to their regions.
	regions map[string]string
	// route and customer list the regions that each allows; empty: all.
	route, customer []string
	// unknownCustomer is set if the customer has been removed from the configuration,
	// so that its regions are not known. No region is allowed then.
	unknownCustomer bool
}

// newRegionRule returns the rule of a call by its route and the configuration of a view.
// A nested call has no customer, so only its route counts.
func newRegionRule(v *view, c *kernel.Call, regions map[string]string) regionRule {
	r := regionRule{regions: regions, route: c.RouteRegions}
	if v.customersNameRegions && c.Customer != "" {
		customer, known := v.snapshot.Customer(c.Customer)
		r.customer, r.unknownCustomer = customer.Regions, !known
	}
	return r
}

// binds reports whether the rule allows only some regions, or none.
func (r *regionRule) binds() bool {
	return len(r.route) > 0 || len(r.customer) > 0 || r.unknownCustomer
}

// allowsDomain reports whether a call may run in a failure domain. A failure domain
// without a region is allowed only if the rule doesn't bind.
func (r *regionRule) allowsDomain(domain string) bool {
	if !r.binds() {
		return true
	}
	region := r.regions[domain]
	return region != "" && !r.unknownCustomer && includes(r.route, region) && includes(r.customer, region)
}

// allows is a filter of members.
func (r *regionRule) allows(o *owner) bool { return r.allowsDomain(o.member.Domain) }

// includes reports whether a list of allowed regions includes a region.
func includes(allowed []string, region string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, region)
}

// refusalDetail says why no member may run the call.
func (r *regionRule) refusalDetail(service string) string {
	if r.unknownCustomer {
		return "the customer is not in the configuration any more, so its regions are not known"
	}
	return fmt.Sprintf("no available instance of %s is in an allowed region: the route allows %s, the customer %s",
		service, listRegions(r.route), listRegions(r.customer))
}

func listRegions(allowed []string) string {
	if len(allowed) == 0 {
		return "all"
	}
	return fmt.Sprintf("%.*q", maxListedBytes, strings.Join(allowed, ", "))
}

// any reports whether a member of the group passes the filter.
func (g *group) any(f filter) bool {
	return slices.ContainsFunc(g.local, f) || slices.ContainsFunc(g.remote, f)
}

func customersNameRegions(c *config.Config) bool {
	return c != nil && slices.ContainsFunc(c.Customers, func(c config.Customer) bool { return len(c.Regions) > 0 })
}
