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

// Defaults and bounds of the settings.
const (
	DefaultStopTimeout = 30 * time.Second
	MinStopTimeout     = 100 * time.Millisecond
	MaxStopTimeout     = 10 * time.Minute

	DefaultBodyLimitBytes = 1 << 20
	MaxBodyLimitBytes     = 8 << 20 // half of what a frame between nodes may hold

	// MinTokenLength is the least number of characters of an operator's token.
	MinTokenLength = 16
)

// DefaultPlugins is the full chain.
var DefaultPlugins = []string{
	"auth", "quarantine", "admission", "ratelimit", "claims", "retry", "routing",
}

// Load reads a settings file. Unknown keys are faults. The error is an *Error
// for the first fault of a key in the file, else for the first absent key: an
// absent key is often a misspelt one.
func Load(file string, data []byte) (*Settings, error) {
	doc := tomlfile.Parse(data)
	s := &Settings{File: file}
	if !doc.Failed() {
		root := doc.Root()
		if root.Has("sidecar") {
			s.Sidecar = readSidecar(root)
			return s, allProblems(file, doc.Problems())
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

// allProblems joins the faults of a file, one *Error for each.
func allProblems(file string, problems []tomlfile.Problem) error {
	var all []error
	for _, p := range problems {
		all = append(all, &Error{File: file, Line: p.Line, Key: p.Key, Reason: p.Reason})
	}
	return errors.Join(all...)
}

func readPlatform(t *tomlfile.Table) Platform {
	t.Require("stream")
	return Platform{Address: readAddress(t, "address"), Stream: readName(t, "stream")}
}

func readPeers(t *tomlfile.Table) Peers {
	var first []netip.AddrPort
	for i, text := range t.Strings("first") {
		address, reason := parseAddress(text)
		if reason != "" {
			t.Reportf(fmt.Sprintf("first[%d]", i), "%s", reason)
		}
		first = append(first, address)
	}
	return Peers{First: first}
}

func readTLS(t *tomlfile.Table) TLS {
	t.Require("ca", "certificate", "key")
	credentials := TLS{CA: t.String("ca"), Certificate: t.String("certificate"), Key: t.String("key")}
	if t.Valid("ca") && !x509.NewCertPool().AppendCertsFromPEM([]byte(credentials.CA)) {
		t.Reportf("ca", "holds no certificate in PEM form")
	}
	if !t.Valid("certificate") || !t.Valid("key") {
		return credentials
	}
	if _, err := tls.X509KeyPair([]byte(credentials.Certificate), []byte(credentials.Key)); err != nil {
		t.Reportf("certificate", "does not go with key: %s", err)
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
			t.Reportf(fmt.Sprintf("tokens[%d]", i), "must have at least %d characters", MinTokenLength)
		}
	}
	return Operators{Tokens: tokens}
}

// CheckPlugins returns an *Error if the settings name a plug-in that is not
// among the known ones.
func (s *Settings) CheckPlugins(known []string) error {
	for _, name := range s.Node.Plugins {
		if !slices.Contains(known, name) {
			reason := fmt.Sprintf("no plug-in is named %q; there are %s", name, strings.Join(known, ", "))
			return &Error{File: s.File, Key: "node.plugins", Reason: reason}
		}
	}
	return nil
}
