package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/tomlfile"
)

// Defaults and limits of the settings.
const (
	DefaultStopTimeout = 30 * time.Second
	MinStopTimeout     = 100 * time.Millisecond
	MaxStopTimeout     = 10 * time.Minute

	DefaultBodyLimitBytes = 1 << 20
	MaxBodyLimitBytes     = 8 << 20 // half the size limit of a frame between nodes

	// MinTokenLength is the smallest length of an operator's token in bytes.
	MinTokenLength = 16
)

// DefaultPlugins is the plug-in chain of a node whose settings name none.
var DefaultPlugins = []string{
	"auth", "quarantine", "admission", "ratelimit", "claims", "retry", "routing",
}

// Load parses and validates a settings file. Unknown keys are errors.
//
// For a file with a sidecar table, the error joins an *Error for each problem.
// For other files it is a single *Error: that of the first problem with a key that
// the file contains, else that of the first missing key. A key is often missing
// because it is misspelt, and the error should name the misspelt key.
func Load(file string, data []byte) (*Settings, error) {
	doc := tomlfile.Parse(data)
	s := &Settings{File: file}
	if !doc.Failed() {
		root := doc.Root()
		if root.Has("sidecar") {
			s.Sidecar = readSidecar(root)
			return s, joinProblems(file, doc.Problems())
		}
		s.Node = readNode(root.Table("node"))
		s.Platform = readPlatform(root.Table("platform"))
		s.Peers = readPeers(root.Table("peers"))
		s.TLS = readTLS(root.Table("tls"))
		s.Operators = readOperators(root.Table("operators"))
	}
	problems := doc.Problems()
	if len(problems) == 0 {
		return s, nil
	}
	first := problems[0]
	if i := slices.IndexFunc(problems, func(p tomlfile.Problem) bool { return doc.HasKey(p.Key) }); i >= 0 {
		first = problems[i]
	}
	return nil, &Error{File: file, Line: first.Line, Key: first.Key, Reason: first.Reason}
}

// joinProblems joins the problems of a file, each as an *Error.
func joinProblems(file string, problems []tomlfile.Problem) error {
	var errs []error
	for _, p := range problems {
		errs = append(errs, &Error{File: file, Line: p.Line, Key: p.Key, Reason: p.Reason})
	}
	return errors.Join(errs...)
}

func readPlatform(t *tomlfile.Table) Platform {
	t.Require("stream")
	return Platform{Address: readAddress(t, "address"), Stream: readName(t, "stream")}
}

func readPeers(t *tomlfile.Table) Peers {
	var seedPeers []netip.AddrPort
	for i, text := range t.Strings("first") {
		address, reason := parseAddress(text)
		if reason != "" {
			t.Reportf(fmt.Sprintf("first[%d]", i), "%s", reason)
		}
		seedPeers = append(seedPeers, address)
	}
	return Peers{SeedPeers: seedPeers}
}

func readTLS(t *tomlfile.Table) TLS {
	t.Require("ca", "certificate", "key")
	credentials := TLS{CA: t.String("ca"), Certificate: t.String("certificate"), Key: t.String("key")}
	if t.Valid("ca") && !x509.NewCertPool().AppendCertsFromPEM([]byte(credentials.CA)) {
		t.Reportf("ca", "contains no PEM certificate")
	}
	if !t.Valid("certificate") || !t.Valid("key") {
		return credentials
	}
	if _, err := tls.X509KeyPair([]byte(credentials.Certificate), []byte(credentials.Key)); err != nil {
		t.Reportf("certificate", "does not match the key: %s", err)
	}
	return credentials
}

func readOperators(t *tomlfile.Table) Operators {
	t.Require("tokens")
	tokens := t.Strings("tokens")
	if t.Valid("tokens") && len(tokens) == 0 {
		t.Reportf("tokens", "must hold at least one token")
	}
	for i, token := range tokens {
		if len(token) < MinTokenLength {
			t.Reportf(fmt.Sprintf("tokens[%d]", i), "must have at least %d bytes", MinTokenLength)
		}
	}
	return Operators{Tokens: tokens}
}

// CheckPlugins returns an *Error if the settings name a plug-in that is not in
// known.
func (s *Settings) CheckPlugins(known []string) error {
	for _, name := range s.Node.Plugins {
		if !slices.Contains(known, name) {
			reason := fmt.Sprintf("no plug-in is named %q; known plug-ins: %s", name, strings.Join(known, ", "))
			return &Error{File: s.File, Key: "node.plugins", Reason: reason}
		}
	}
	return nil
}
