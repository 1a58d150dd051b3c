package settings

import (
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/gooseberryflow/gooseberryflow/config"
	"github.com/gooseberryflow/gooseberryflow/internal/tomlfile"
)

func readNode(t *tomlfile.Table) Node {
	t.Require("service", "failure_domain")
	n := Node{
		Service:         readName(t, "service"),
		FailureDomain:   readName(t, "failure_domain"),
		CallerAddress:   readAddress(t, "caller_address"),
		ControlAddress:  readAddress(t, "control_address"),
		CallAddress:     readAddress(t, "call_address"),
		AdminAddress:    readAddress(t, "admin_address"),
		UpstreamAddress: readAddress(t, "upstream_address"),
		LogLevel:        readLogLevel(t),
		StopTimeout:     readStopTimeout(t),
		BodyLimitBytes:  readBodyLimit(t),
		Transport:       readTransport(t),
		Plugins:         readPlugins(t),
	}
	n.AnnouncedControlAddress = readOptionalAddress(t, "announced_control_address", n.ControlAddress)
	n.AnnouncedCallAddress = readOptionalAddress(t, "announced_call_address", n.CallAddress)
	checkDistinct(t, map[string]netip.AddrPort{
		"caller_address":   n.CallerAddress,
		"call_address":     n.CallAddress,
		"admin_address":    n.AdminAddress,
		"upstream_address": n.UpstreamAddress,
	})
	return n
}

func readName(t *tomlfile.Table, key string) string {
	name := t.String(key)
	if t.Valid(key) && !config.ValidName(name) {
		t.Reportf(key, "%q is not a valid name (1 to 63 lower-case letters, digits and hyphens)", name)
	}
	return name
}

// readOptionalAddress returns the address of a key, or def if the key is absent.
func readOptionalAddress(t *tomlfile.Table, key string, def netip.AddrPort) netip.AddrPort {
	text := t.String(key)
	if text == "" || !t.Valid(key) {
		return def
	}
	address, reason := parseAddress(text)
	if reason != "" {
		t.Reportf(key, "%s", reason)
	}
	return address
}

func readAddress(t *tomlfile.Table, key string) netip.AddrPort {
	t.Require(key)
	text := t.String(key)
	if !t.Valid(key) {
		return netip.AddrPort{}
	}
	address, reason := parseAddress(text)
	if reason != "" {
		t.Reportf(key, "%s", reason)
	}
	return address
}

// parseAddress parses an IP address with a port. The second result tells why the
// text is invalid, or is "". Host names are rejected, since a node must be able to
// start and run without DNS.
func parseAddress(text string) (netip.AddrPort, string) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fmt.Sprintf("%q is not an IP number with a port, such as 10.0.0.7:7400", text)
	}
	if address.Addr().IsUnspecified() {
		return netip.AddrPort{}, fmt.Sprintf("%q: the IP address must not be unspecified, as other processes connect to it", text)
	}
	if address.Port() == 0 {
		return netip.AddrPort{}, fmt.Sprintf("%q: the port must not be 0", text)
	}
	return address, ""
}

// checkDistinct reports TCP addresses that are used for two purposes.
func checkDistinct(t *tomlfile.Table, addresses map[string]netip.AddrPort) {
	order := []string{"caller_address", "call_address", "admin_address", "upstream_address"}
	seen := map[netip.AddrPort]string{}
	for _, key := range order {
		address := addresses[key]
		if !address.IsValid() {
			continue
		}
		if otherKey, used := seen[address]; used {
			t.Reportf(key, "%s is already used as %s", address, otherKey)
		}
		seen[address] = key
	}
}

func readLogLevel(t *tomlfile.Table) slog.Level {
	name := t.String("log_level")
	if !t.Valid("log_level") {
		return slog.LevelInfo
	}
	level, ok := parseLogLevel(name)
	if !ok {
		t.Reportf("log_level", "%s", invalidLogLevel)
	}
	return level
}

func readStopTimeout(t *tomlfile.Table) time.Duration {
	d := t.Duration("stop_timeout")
	if !t.Valid("stop_timeout") {
		return DefaultStopTimeout
	}
	if d < MinStopTimeout || d > MaxStopTimeout {
		t.Reportf("stop_timeout", "must be from %s to %s", MinStopTimeout, MaxStopTimeout)
	}
	return d
}

func readBodyLimit(t *tomlfile.Table) int64 {
	n := t.Int("body_limit_bytes")
	if !t.Valid("body_limit_bytes") {
		return DefaultBodyLimitBytes
	}
	if n < 1 || n > MaxBodyLimitBytes {
		t.Reportf("body_limit_bytes", "must be from 1 to %d", MaxBodyLimitBytes)
	}
	return n
}

func readTransport(t *tomlfile.Table) Transport {
	name := Transport(t.String("transport"))
	if !t.Valid("transport") {
		return TransportTLS
	}
	if name != TransportQUIC && name != TransportTLS {
		t.Reportf("transport", "must be %q or %q", TransportQUIC, TransportTLS)
	}
	return name
}

func readPlugins(t *tomlfile.Table) []string {
	names := t.Strings("plugins")
	if !t.Valid("plugins") {
		return append([]string(nil), DefaultPlugins...)
	}
	seen := map[string]bool{}
	for _, name := range names {
		if seen[name] {
			t.Reportf("plugins", "%q is named twice", name)
		}
		seen[name] = true
	}
	return names
}
