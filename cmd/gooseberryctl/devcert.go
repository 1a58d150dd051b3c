package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/gooseberryflow/gooseberryflow/internal/devcert"
)

const devcertHelp = `Creates a certificate authority and one node certificate for trials, and writes
ca.pem, node.pem and node-key.pem into --dir. The files must not exist yet. The
authority's key is discarded, so all nodes of a trial share one certificate:
list all their IP addresses. Not for production.`

const (
	publicFileMode = 0o644
	secretFileMode = 0o600
)

func (a *app) devcertCommand() *ffcli.Command {
	c := a.newCommand("devcert", "gooseberryctl devcert [flags]", "create certificates for trials", devcertHelp)
	dir := c.FlagSet.String("dir", ".", "`directory` to write to")
	ips := c.FlagSet.String("ip", "127.0.0.1", "IP `addresses` of the nodes, separated by commas")
	c.Exec = a.withArgs(nil, func(context.Context, []string) error { return a.devcert(*dir, *ips) })
	return c
}

type devcertOutput struct {
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

func (a *app) devcert(dir, ips string) error {
	addresses, err := parseIPs(ips)
	if err != nil {
		return err
	}
	authority, err := devcert.New()
	if err != nil {
		return err
	}
	certificate, key, err := authority.IssueNode(addresses...)
	if err != nil {
		return err
	}
	out := devcertOutput{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "node.pem"), filepath.Join(dir, "node-key.pem")}
	if err := createFile(out.CA, authority.CA(), publicFileMode); err != nil {
		return err
	}
	if err := createFile(out.Certificate, certificate, publicFileMode); err != nil {
		return err
	}
	if err := createFile(out.Key, key, secretFileMode); err != nil {
		return err
	}
	if a.json {
		return a.writeJSON(out)
	}
	_, err = fmt.Fprintf(a.stdout, "%s\n%s\n%s\n", out.CA, out.Certificate, out.Key)
	return err
}

func parseIPs(text string) ([]net.IP, error) {
	var addresses []net.IP
	for _, field := range strings.Split(text, ",") {
		ip := net.ParseIP(strings.TrimSpace(field))
		if ip == nil {
			return nil, exitf(exitUsage, "--ip: %q is not an IP address", field)
		}
		addresses = append(addresses, ip)
	}
	return addresses, nil
}

// createFile creates a file with the given contents. The file must not exist yet.
func createFile(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
