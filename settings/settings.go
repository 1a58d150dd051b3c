// Package settings reads the settings of one daemon: its addresses, its
// failure domain, its credentials and the plug-ins of its chains. Settings
// belong to one process and are fixed for its life, unlike the operators'
// file (package config), which is shared by all nodes and changes under load.
package settings

import (
	"log/slog"
	"net/netip"
	"time"
)

// Settings is one validated settings file with its overrides.
type Settings struct {
	// File is the path the settings were read from.
	File string
	// CheckOnly asks to validate the settings and exit.
	CheckOnly bool
	// ShowVersion asks to print the version and exit; all else is unset.
	ShowVersion bool

	// Sidecar is set instead of all that follows if the file has its table.
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
	// ControlAddress is where nodes send control messages (UDP, QUIC).
	ControlAddress netip.AddrPort
	// CallAddress is where nodes send calls (TCP with Transport "tls").
	CallAddress netip.AddrPort
	// AdminAddress is where operators connect (TCP, HTTP).
	AdminAddress netip.AddrPort
	// AnnouncedControlAddress and AnnouncedCallAddress are what other nodes
	// connect to, where that differs from what this node binds.
	AnnouncedControlAddress netip.AddrPort
	AnnouncedCallAddress    netip.AddrPort
	// UpstreamAddress is the upstream instance's own address (TCP, HTTP).
	UpstreamAddress netip.AddrPort
	LogLevel        slog.Level
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
	// BodyLimitBytes bounds the body of a request and of an answer.
	BodyLimitBytes int64
	Transport      Transport
	// Plugins names the plug-ins of the chains; the order is the kernel's.
	Plugins []string
}

// Transport carries calls between nodes.
type Transport string

// The transports.
const (
	TransportQUIC Transport = "quic"
	TransportTLS  Transport = "tls"
)

// Platform is the append-only log service.
type Platform struct {
	Address netip.AddrPort
	Stream  string
}

// Peers holds the control addresses of nodes to ask first after a start.
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

// LogValue leaves all credentials out.
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
