package settings

import "reflect"

// setting describes a field of Sidecar.
type setting struct {
	key        string // full key in the settings file
	reloadable bool   // whether a running node applies a new value
	value      func(*Sidecar) any
}

var sidecarSettings = []setting{
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
	{"regions", false, func(s *Sidecar) any { return s.Regions }},
}

// Changed returns the keys of the settings that differ in next, divided into
// those that a running node applies and those that need a restart.
func (s *Sidecar) Changed(next *Sidecar) (reloadable, needRestart []string) {
	for _, f := range sidecarSettings {
		switch {
		case reflect.DeepEqual(f.value(s), f.value(next)):
		case f.reloadable:
			reloadable = append(reloadable, f.key)
		default:
			needRestart = append(needRestart, f.key)
		}
	}
	return reloadable, needRestart
}
