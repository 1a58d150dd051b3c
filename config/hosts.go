package config

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is at least 1. The target's share of requests is its weight over the
	// sum of the route's weights.
	Weight int
}

// HostRoute selects requests by host and path prefix and may distribute them
// over several services. Deployments whose request paths don't name a service
// use it instead of Route.
type HostRoute struct {
	Route
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets lists the services; Route.Service is the first of them.
	Targets []Target
	// MaxAttempts is the number of instances that a request may be sent to.
	MaxAttempts int
	// TargetLatency is the response time within which a response is of full value to
	// the caller.
	TargetLatency time.Duration
	// Rank orders routes by importance; a smaller value is more important.
	// Priority is Rank clamped to the range of the Priority constants.
	Rank int
	// Regions lists the regions in which requests may be processed; empty: all.
	Regions []string
}

// Limits bounds the size and duration of callers' requests to a node. All fields
// are decoded, but nodes enforce only MaxBodyBytes.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// KeyDigest is the SHA-256 sum of an opaque key. It identifies the key without
// storing it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key's text.
func DigestKey(text string) KeyDigest { return sha256.Sum256([]byte(text)) }

// HostTable finds routes by host and longest path prefix. It is immutable.
type HostTable struct {
	byHost    map[string]map[string]*HostRoute
	allRoutes []*HostRoute
}

// NewHostTable returns a table of the routes. A later route replaces an earlier
// route with the same host and prefix.
func NewHostTable(routes []HostRoute) *HostTable {
	t := &HostTable{byHost: map[string]map[string]*HostRoute{}}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		if t.byHost[host] == nil {
			t.byHost[host] = map[string]*HostRoute{}
		}
		t.byHost[host][r.Prefix] = r
		t.allRoutes = append(t.allRoutes, r)
	}
	return t
}

// Find returns the route of a request, or nil. Its cost is proportional to the
// number of path segments and independent of the number of routes.
func (t *HostTable) Find(host, path string) *HostRoute {
	if t == nil {
		return nil
	}
	prefixes := t.byHost[host]
	if prefixes == nil {
		prefixes = t.byHost[strings.ToLower(host)]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Routes returns the routes in the order given to NewHostTable, including
// replaced ones.
func (t *HostTable) Routes() []*HostRoute {
	if t == nil {
		return nil
	}
	return t.allRoutes
}
