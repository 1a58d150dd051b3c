package daemontest

import (
	"fmt"
	"time"
)

// Sidecar is the settings of a daemon beside an instance; addresses are host and
// port.
type Sidecar struct {
	Name, Service, Domain                                 string
	Callers, Health, Heartbeats, Metrics, Calls, Upstream string
	// Advertised is the address that other nodes get in place of Calls, if any.
	Advertised string
	// Plugins is the list as in the settings; empty for all.
	Plugins       string
	StopTimeout   time.Duration
	Store         string
	Partitions    int
	KeyWithdrawal time.Duration
	RetryRatio    float64
	RetrySlack    float64
}

// Text returns the settings file.
func (s Sidecar) Text() string {
	optional := ""
	if s.Advertised != "" {
		optional += fmt.Sprintf("advertised_address = %q\n", s.Advertised)
	}
	if s.Plugins != "" {
		optional += "plugins = " + s.Plugins + "\n"
	}
	return fmt.Sprintf(`[sidecar]
name = %q
service = %q
failure_domain = %q
caller_address = %q
health_address = %q
heartbeat_address = %q
metrics_address = %q
call_address = %q
upstream_address = %q
memory_mb = 256
log_level = "info"
stop_timeout = %q
%s
[store]
address = %q
partitions = %d
[bounds]
key_withdrawal = %q
retry_ratio = %g
retry_slack = %g
retry_window = "10s"
`, s.Name, s.Service, s.Domain, s.Callers, s.Health, s.Heartbeats, s.Metrics, s.Calls, s.Upstream,
		s.StopTimeout, optional, s.Store, s.Partitions, s.KeyWithdrawal, s.RetryRatio, s.RetrySlack)
}
