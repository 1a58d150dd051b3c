package config

import (
	"crypto/sha256"
	"strings"
	"time"
)

// Target is one service that a route's requests go to.
type Target struct {
	Service string
	// Weight is the target's share among those of the route; at least 1.
	Weight int
}

// HostRoute selects requests by host and path prefix and may spread them over
// several services. It is the counterpart of Route for deployments whose
// requests don't name a service in the path.
type HostRoute struct {
	Route
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets lists the services; Route.Service is the first one's.
	Targets []Target
	// MaxAttempts is the number of instances that one request may be sent to.
	MaxAttempts int
	// TargetLatency is the response time within which an answer has its full value.
	TargetLatency time.Duration
	// Rank orders routes; a smaller value is more important. Priority is Rank
	// cut to the range that the plug-ins share.
	Rank int
}

// Limits bound what a caller may send to a node.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// KeyDigest identifies an opaque key without holding it.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key text.
func DigestKey(text string) KeyDigest { return sha256.Sum256([]byte(text)) }

// HostTable finds the route with the longest prefix. It is immutable.
type HostTable struct {
	hosts map[string]map[string]*HostRoute
	all   []*HostRoute
}

// NewHostTable returns the table of the routes; a later route replaces an
// earlier one with the same host and prefix.
func NewHostTable(routes []HostRoute) *HostTable {
	t := &HostTable{hosts: map[string]map[string]*HostRoute{}}
	for i := range routes {
		r := &routes[i]
		host := strings.ToLower(r.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*HostRoute{}
		}
		t.hosts[host][r.Prefix] = r
		t.all = append(t.all, r)
	}
	return t
}

// Find returns the route of a request, or nil. Its cost grows with the number
// of segments of the path, not with the number of routes.
func (t *HostTable) Find(host, path string) *HostRoute {
	if t == nil {
		return nil
	}
	prefixes := t.hosts[host]
	if prefixes == nil {
		prefixes = t.hosts[strings.ToLower(host)]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := prefixes[path[:end+1]]; r != nil {
			return r
		}
	}
	return nil
}

// Routes returns all routes of the table.
func (t *HostTable) Routes() []*HostRoute {
	if t == nil {
		return nil
	}
	return t.all
}
