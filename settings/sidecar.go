package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/tomlfile"
)

// SidecarPlugins is the plug-in chain of a Sidecar whose settings name none.
var SidecarPlugins = []string{"auth", "quarantine", "graph", "quota", "retry", "routing"}

// Sidecar holds the settings of a node that keeps members and configuration in a
// keyed store (package sidecar). They come from the tables sidecar, store, bounds
// and regions, which a settings file has instead of the tables for the other fields
// of Settings.
type Sidecar struct {
	// Name identifies the node in the fleet. It stays the same when the process
	// restarts.
	Name          string
	Service       string
	FailureDomain string
	// Callers and the instance connect to CallerAddress, readiness checks to
	// HealthAddress, and other nodes to CallAddress. The instance sends heartbeats
	// to HeartbeatAddress. All are TCP.
	CallerAddress    netip.AddrPort
	HealthAddress    netip.AddrPort
	HeartbeatAddress netip.AddrPort
	MetricsAddress   netip.AddrPort
	CallAddress      netip.AddrPort
	UpstreamAddress  netip.AddrPort
	// AdvertisedAddress is the address by which other nodes reach CallAddress. It
	// defaults to CallAddress.
	AdvertisedAddress netip.AddrPort
	// MemoryMB is the memory in MiB that the process may use.
	MemoryMB int64
	LogLevel slog.Level
	// StopTimeout bounds the duration of a planned stop.
	StopTimeout time.Duration
	Plugins     []string

	StoreAddress    netip.AddrPort
	StorePartitions int

	// ConfigApply is the time within which a new configuration must be in force at
	// all nodes; zero means unset.
	ConfigApply time.Duration
	// KeyWithdrawal is the time within which a withdrawn key must stop working.
	KeyWithdrawal time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit the retries of calls to a
	// service over all nodes: RetryRatio retries for each first attempt, and
	// RetrySlack more in each RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration

	// Regions maps failure domains to their regions, as configurations name them. A
	// failure domain that is missing is in no region.
	Regions map[string]string
}

// Limits of the sidecar settings.
const (
	minMemoryMB      = 16
	minKeyWithdrawal = time.Second
	minConfigApply   = time.Second
	maxPartitions    = 1024
	maxRegionBytes   = 63
)

func readSidecar(root *tomlfile.Table) *Sidecar {
	t, store, bounds := root.Table("sidecar"), root.Table("store"), root.Table("bounds")
	t.Require("name", "service", "failure_domain", "memory_mb", "stop_timeout")
	s := &Sidecar{
		Name:             t.String("name"),
		Service:          t.String("service"),
		FailureDomain:    readName(t, "failure_domain"),
		CallerAddress:    readAddress(t, "caller_address"),
		HealthAddress:    readAddress(t, "health_address"),
		HeartbeatAddress: readAddress(t, "heartbeat_address"),
		MetricsAddress:   readAddress(t, "metrics_address"),
		CallAddress:      readAddress(t, "call_address"),
		UpstreamAddress:  readAddress(t, "upstream_address"),
		MemoryMB:         t.Int("memory_mb"),
		LogLevel:         readLogLevel(t),
		StopTimeout:      readStopTimeout(t),
		Plugins:          slices.Clone(SidecarPlugins),
		StoreAddress:     readAddress(store, "address"),
	}
	s.AdvertisedAddress = s.CallAddress
	if t.Has("advertised_address") {
		s.AdvertisedAddress = readAddress(t, "advertised_address")
	}
	if t.Has("plugins") {
		s.Plugins = readPlugins(t)
	}
	if t.Valid("memory_mb") && s.MemoryMB < minMemoryMB {
		t.Reportf("memory_mb", "must be at least %d", minMemoryMB)
	}
	store.Require("partitions")
	s.StorePartitions = int(store.Int("partitions"))
	if store.Valid("partitions") && (s.StorePartitions < 1 || s.StorePartitions > maxPartitions) {
		store.Reportf("partitions", "must be from 1 to %d", maxPartitions)
	}
	s.readBounds(bounds)
	s.Regions = readRegions(root.Table("regions"))
	return s
}

// readRegions returns the region of each failure domain; nil if the table is empty.
func readRegions(t *tomlfile.Table) map[string]string {
	var regions map[string]string
	for _, domain := range t.Names() {
		region := t.String(domain)
		if !config.ValidName(domain) {
			t.Reportf(domain, "%q is not a valid name of a failure domain (1 to 63 lower-case letters, digits and hyphens)", domain)
		}
		if t.Valid(domain) && !validRegion(region) {
			t.Reportf(domain, "%q is not a valid region (1 to %d bytes, printable, no space at either end)", region, maxRegionBytes)
		}
		if regions == nil {
			regions = map[string]string{}
		}
		regions[domain] = region
	}
	return regions
}

// validRegion reports whether a region can be named in the settings. Configurations
// choose the names, so only what is likely to be a mistake is rejected.
func validRegion(name string) bool {
	if name == "" || len(name) > maxRegionBytes || strings.TrimSpace(name) != name {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool { return !unicode.IsPrint(r) })
}

func (s *Sidecar) readBounds(t *tomlfile.Table) {
	t.Require("key_withdrawal", "retry_ratio", "retry_slack", "retry_window")
	if t.Has("config_apply") {
		s.ConfigApply = t.Duration("config_apply")
		if t.Valid("config_apply") && s.ConfigApply < minConfigApply {
			t.Reportf("config_apply", "must be at least %s", minConfigApply)
		}
	}
	s.KeyWithdrawal = t.Duration("key_withdrawal")
	s.RetryRatio = t.Float("retry_ratio")
	s.RetrySlack = t.Float("retry_slack")
	s.RetryWindow = t.Duration("retry_window")
	if t.Valid("key_withdrawal") && s.KeyWithdrawal < minKeyWithdrawal {
		t.Reportf("key_withdrawal", "must be at least %s", minKeyWithdrawal)
	}
	if t.Valid("retry_ratio") && (s.RetryRatio <= 0 || s.RetryRatio > 1) {
		t.Reportf("retry_ratio", "must be above 0 and at most 1")
	}
	if t.Valid("retry_slack") && s.RetrySlack < 0 {
		t.Reportf("retry_slack", "must not be negative")
	}
	if t.Valid("retry_window") && s.RetryWindow <= 0 {
		t.Reportf("retry_window", "must be above 0")
	}
}

// CheckPlugins returns an *Error if the settings name a plug-in that is not in
// known.
func (s *Sidecar) CheckPlugins(known []string) error {
	for _, name := range s.Plugins {
		if !slices.Contains(known, name) {
			return &Error{Key: "sidecar.plugins", Reason: fmt.Sprintf("no plug-in is named %q", name)}
		}
	}
	return nil
}

// LogValue returns the settings that are logged when the process starts.
func (s *Sidecar) LogValue() slog.Value {
	return slog.GroupValue(
		slog.String("caller_address", s.CallerAddress.String()),
		slog.String("call_address", s.CallAddress.String()),
		slog.String("upstream_address", s.UpstreamAddress.String()),
		slog.String("store_address", s.StoreAddress.String()),
		slog.Int64("memory_mb", s.MemoryMB),
		slog.Duration("key_withdrawal", s.KeyWithdrawal),
		slog.Any("plugins", s.Plugins),
		slog.Any("regions", s.Regions),
	)
}
