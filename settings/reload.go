package settings

import "reflect"

// field is one setting of a node, by its key in the file.
type field struct {
	key   string
	live  bool // it can change while the node runs
	value func(*Sidecar) any
}

var sidecarFields = []field{
	{"sidecar.name", false, func(s *Sidecar) any { return s.Name }},
	{"sidecar.service", false, func(s *Sidecar) any { return s.Service }},
	{"sidecar.failure_domain", false, func(s *Sidecar) any { return s.FailureDomain }},
	{"sidecar.caller_address", false, func(s *Sidecar) any { return s.CallerAddress }},
	{"sidecar.health_address", false, func(s *Sidecar) any { return s.HealthAddress }},
	{"sidecar.heartbeat_address", false, func(s *Sidecar) any { return s.HeartbeatAddress }},
	{"sidecar.metrics_address", false, func(s *Sidecar) any { return s.MetricsAddress }},
	{"sidecar.call_address", false, func(s *Sidecar) any { return s.CallAddress }},
	{"sidecar.upstream_address", false, func(s *Sidecar) any { return s.UpstreamAddress }},
	{"sidecar.advertised_address", false, func(s *Sidecar) any { return s.AdvertisedAddress }},
	{"sidecar.memory_mb", true, func(s *Sidecar) any { return s.MemoryMB }},
	{"sidecar.log_level", true, func(s *Sidecar) any { return s.LogLevel }},
	{"sidecar.stop_timeout", true, func(s *Sidecar) any { return s.StopTimeout }},
	{"sidecar.plugins", false, func(s *Sidecar) any { return s.Plugins }},
	{"store.address", false, func(s *Sidecar) any { return s.StoreAddress }},
	{"store.partitions", false, func(s *Sidecar) any { return s.StorePartitions }},
	{"bounds.config_apply", false, func(s *Sidecar) any { return s.ConfigApply }},
	{"bounds.key_withdrawal", true, func(s *Sidecar) any { return s.KeyWithdrawal }},
	{"bounds.retry_ratio", false, func(s *Sidecar) any { return s.RetryRatio }},
	{"bounds.retry_slack", false, func(s *Sidecar) any { return s.RetrySlack }},
	{"bounds.retry_window", false, func(s *Sidecar) any { return s.RetryWindow }},
}

// Changed returns the keys of the settings that differ in next: those that a
// running node takes over, and those that need a restart.
func (s *Sidecar) Changed(next *Sidecar) (live, fixed []string) {
	for _, f := range sidecarFields {
		switch {
		case reflect.DeepEqual(f.value(s), f.value(next)):
		case f.live:
			live = append(live, f.key)
		default:
			fixed = append(fixed, f.key)
		}
	}
	return live, fixed
}
