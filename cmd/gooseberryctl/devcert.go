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

const devcertHelp = `Makes a certificate authority and one node certificate for trials, and writes
ca.pem, node.pem and node-key.pem into --dir. The files must not exist. The
authority's key is thrown away: all nodes of a trial share one certificate, so
name all their IP numbers. Not for production.`

const (
	publicFileMode = 0o644
	secretFileMode = 0o600
)

func (a *app) devcertCommand() *ffcli.Command {
	c := a.command("devcert", "gooseberryctl devcert [flags]", "make certificates for trials", devcertHelp)
	dir := c.FlagSet.String("dir", ".", "`directory` to write to")
	ips := c.FlagSet.String("ip", "127.0.0.1", "IP `numbers` of the nodes, separated by commas")
	c.Exec = a.exec(nil, func(context.Context, []string) error { return a.devcert(*dir, *ips) })
	return c
}

type devcertOutput struct {
	CA          string `json:"ca"`
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

func (a *app) devcert(dir, ips string) error {
	numbers, err := parseIPs(ips)
	if err != nil {
		return err
	}
	authority, err := devcert.New()
	if err != nil {
		return err
	}
	certificate, key, err := authority.IssueNode(numbers...)
	if err != nil {
		return err
	}
	out := devcertOutput{filepath.Join(dir, "ca.pem"), filepath.Join(dir, "node.pem"), filepath.Join(dir, "node-key.pem")}
	if err := writeNew(out.CA, authority.CA(), publicFileMode); err != nil {
		return err
	}
	if err := writeNew(out.Certificate, certificate, publicFileMode); err != nil {
		return err
	}
	if err := writeNew(out.Key, key, secretFileMode); err != nil {
		return err
	}
	if a.json {
		return a.writeJSON(out)
	}
	_, err = fmt.Fprintf(a.stdout, "%s\n%s\n%s\n", out.CA, out.Certificate, out.Key)
	return err
}

func parseIPs(text string) ([]net.IP, error) {
	var numbers []net.IP
	for _, one := range strings.Split(text, ",") {
		ip := net.ParseIP(strings.TrimSpace(one))
		if ip == nil {
			return nil, exitf(exitUsage, "--ip: %q is not an IP number", one)
		}
		numbers = append(numbers, ip)
	}
	return numbers, nil
}

// writeNew writes a file that must not exist yet.
func writeNew(path string, data []byte, mode os.FileMode) error {
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
