package daemontest

import (
	"fmt"
	"time"
)

// SidecarSettings are the settings of a daemon beside an instance. Addresses
// consist of host and port.
type SidecarSettings struct {
	Name, Service, FailureDomain                                               string
	CallerAddr, HealthAddr, HeartbeatAddr, MetricsAddr, CallAddr, UpstreamAddr string
	// AdvertisedAddr is advertised to other nodes instead of CallAddr unless empty.
	AdvertisedAddr string
	// Plugins is the plug-in list in TOML syntax; empty for all plug-ins.
	Plugins       string
	StopTimeout   time.Duration
	StoreAddr     string
	Partitions    int
	KeyWithdrawal time.Duration
	RetryRatio    float64
	RetrySlack    float64
	// Regions maps failure domains to regions.
	Regions map[string]string
}

// TOML returns the text of the settings file.
func (s SidecarSettings) TOML() string {
	optional := ""
	if s.AdvertisedAddr != "" {
		optional += fmt.Sprintf("advertised_address = %q\n", s.AdvertisedAddr)
	}
	if s.Plugins != "" {
		optional += "plugins = " + s.Plugins + "\n"
	}
	regions := ""
	for domain, region := range s.Regions {
		regions += fmt.Sprintf("%q = %q\n", domain, region)
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
[regions]
%s`, s.Name, s.Service, s.FailureDomain, s.CallerAddr, s.HealthAddr, s.HeartbeatAddr, s.MetricsAddr, s.CallAddr, s.UpstreamAddr,
		s.StopTimeout, optional, s.StoreAddr, s.Partitions, s.KeyWithdrawal, s.RetryRatio, s.RetrySlack, regions)
}
