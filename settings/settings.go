// Package settings reads the settings of a daemon: its addresses, failure domain,
// credentials and plug-ins. Settings belong to one process. Except for a few that
// can be reloaded (see Sidecar.Changed), they are fixed for its lifetime, unlike
// the operators' file (package config), which is shared by all nodes and changes
// while they serve requests.
package settings

import (
	"log/slog"
	"net/netip"
	"time"
)

// Settings holds the validated settings of a file, overridden by flags.
type Settings struct {
	// File is the path the settings were read from.
	File string
	// CheckOnly is set if the process should only validate the settings and exit.
	CheckOnly bool
	// ShowVersion is set if the process should only print its version and exit. All
	// other fields are unset then.
	ShowVersion bool

	// Sidecar is set instead of the fields below if the file has a sidecar table.
	Sidecar *Sidecar

	Node      Node
	Platform  Platform
	Peers     Peers
	TLS       TLS
	Operators Operators
}

// Node describes the process and the upstream instance beside it.
type Node struct {
	Service       string
	FailureDomain string
	// CallerAddress is where callers connect (TCP, HTTP).
	CallerAddress netip.AddrPort
	// ControlAddress is where other nodes send control messages (UDP, QUIC).
	ControlAddress netip.AddrPort
	// CallAddress is where other nodes send calls (TCP with Transport "tls").
	CallAddress netip.AddrPort
	// AdminAddress is where operators connect (TCP, HTTP).
	AdminAddress netip.AddrPort
	// AnnouncedControlAddress and AnnouncedCallAddress are the addresses that
	// other nodes connect to. They default to ControlAddress and CallAddress,
	// which this node binds.
	AnnouncedControlAddress netip.AddrPort
	AnnouncedCallAddress    netip.AddrPort
	// UpstreamAddress is the address of the upstream instance (TCP, HTTP).
	UpstreamAddress netip.AddrPort
	LogLevel        slog.Level
	// StopTimeout bounds the duration of a planned stop.
	StopTimeout time.Duration
	// BodyLimitBytes bounds the size of a request body and of a response body.
	BodyLimitBytes int64
	Transport      Transport
	// Plugins names the plug-ins of the chains; the kernel determines their order.
	Plugins []string
}

// Transport is the protocol for calls between nodes.
type Transport string

// The transports.
const (
	TransportQUIC Transport = "quic"
	TransportTLS  Transport = "tls"
)

// Platform is the address of the platform's append-only log service and the name
// of the log stream.
type Platform struct {
	Address netip.AddrPort
	Stream  string
}

// Peers holds the control addresses of the seed nodes, which a node contacts first
// after its start.
type Peers struct {
	SeedPeers []netip.AddrPort
}

// TLS holds the credentials for mutual TLS between nodes as PEM text.
type TLS struct {
	CA          string
	Certificate string
	Key         string
}

// Operators holds the bearer tokens that the admin API accepts.
type Operators struct {
	Tokens []string
}

// LogValue returns the settings for logging, without credentials.
func (s *Settings) LogValue() slog.Value {
	return slog.GroupValue(
		slog.String("file", s.File),
		slog.String("service", s.Node.Service),
		slog.String("failure_domain", s.Node.FailureDomain),
		slog.String("caller_address", s.Node.CallerAddress.String()),
		slog.String("control_address", s.Node.ControlAddress.String()),
		slog.String("call_address", s.Node.CallAddress.String()),
		slog.String("admin_address", s.Node.AdminAddress.String()),
		slog.String("upstream_address", s.Node.UpstreamAddress.String()),
		slog.String("platform_address", s.Platform.Address.String()),
		slog.String("transport", string(s.Node.Transport)),
		slog.Any("plugins", s.Node.Plugins),
	)
}
