package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"text/template"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/gooseberryflow/gooseberryflow/internal/devcert"
)

const trialHelp = `Writes the files for a trial of one node on loopback into --dir: node.toml (its
settings, with new certificates), fleet.toml (an operators' file) and token (the
operator's token). The files must not exist yet. See the README for the next steps.`

const dirMode = 0o755

var trialSettings = template.Must(template.New("node.toml").Parse(`[node]
service = "trial"
failure_domain = "local"
caller_address = "127.0.0.1:7400"
control_address = "127.0.0.1:7401"
call_address = "127.0.0.1:7402"
admin_address = "127.0.0.1:7403"
upstream_address = "127.0.0.1:8080"

[platform]
address = "127.0.0.1:9000"
stream = "gooseberryflow"

[operators]
tokens = ["{{.Token}}"]

[tls]
ca = """
{{.CA}}"""
certificate = """
{{.Certificate}}"""
key = """
{{.Key}}"""
`))

const trialOperatorsFile = `failure_domains = ["local"]

[retry]
allowance = 3

[[customers]]
name = "farm"
rate = 50
burst = 100

[[routes]]
name = "slots"
service = "trial"
method = "GET"
path = "/slots/{id}"
idempotent = true
priority = "normal"
deadline = "1s"
objective = 0.999

[[routes]]
name = "book"
service = "trial"
method = "POST"
path = "/bookings/{id}"
idempotent = false
priority = "high"
deadline = "1s"
objective = 0.999
`

type trialValues struct {
	Token, CA, Certificate, Key string
}

func (a *app) trialCommand() *ffcli.Command {
	c := a.newCommand("trial", "gooseberryctl trial [flags]", "write the files for a trial", trialHelp)
	dir := c.FlagSet.String("dir", "trial", "`directory` to write to")
	c.Exec = a.withArgs(nil, func(context.Context, []string) error { return a.trial(*dir) })
	return c
}

func (a *app) trial(dir string) error {
	values, err := newTrialValues()
	if err != nil {
		return err
	}
	var settings bytes.Buffer
	if err := trialSettings.Execute(&settings, values); err != nil {
		return fmt.Errorf("render the trial settings: %w", err)
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return err
	}
	files := []struct {
		name string
		data []byte
	}{
		{"node.toml", settings.Bytes()},
		{"fleet.toml", []byte(trialOperatorsFile)},
		{"token", []byte(values.Token)},
	}
	for _, f := range files {
		path := filepath.Join(dir, f.name)
		if err := createFile(path, f.data, secretFileMode); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(a.stdout, path); err != nil {
			return err
		}
	}
	return nil
}

func newTrialValues() (trialValues, error) {
	authority, err := devcert.New()
	if err != nil {
		return trialValues{}, err
	}
	certificate, key, err := authority.IssueNode(net.IPv4(127, 0, 0, 1))
	if err != nil {
		return trialValues{}, err
	}
	return trialValues{
		Token:       rand.Text(),
		CA:          string(authority.CA()),
		Certificate: string(certificate),
		Key:         string(key),
	}, nil
}
