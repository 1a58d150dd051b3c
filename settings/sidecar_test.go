package settings

import (
	"errors"
	"strings"
	"testing"
)

const sidecarFile = `[sidecar]
name = "n1"
service = "mapas"
failure_domain = "a"
caller_address = "10.0.0.1:1"
health_address = "10.0.0.1:2"
heartbeat_address = "10.0.0.1:3"
metrics_address = "10.0.0.1:4"
call_address = "10.0.0.1:5"
upstream_address = "10.0.0.1:6"
memory_mb = 284
stop_timeout = "6s"
[store]
address = "10.0.0.9:1"
partitions = 8
[bounds]
key_withdrawal = "5s"
retry_ratio = 0.2
retry_slack = 48
retry_window = "10s"
`

func TestLoadSidecarSettings(t *testing.T) {
	s, err := Load("f", []byte(sidecarFile))
	if err != nil || s.Sidecar == nil || s.Sidecar.Service != "mapas" || s.Sidecar.RetrySlack != 48 {
		t.Fatalf("%+v %v", s, err)
	}
}

// Other nodes reach a node at call_address unless advertised_address is set.
func TestAdvertisedAddressDefaultsToCallAddress(t *testing.T) {
	for line, want := range map[string]string{"": "10.0.0.1:5", "advertised_address = \"10.0.0.1:7\"\n": "10.0.0.1:7"} {
		s, err := Load("f", []byte(strings.Replace(sidecarFile, "memory_mb", line+"memory_mb", 1)))
		if err != nil || s.Sidecar.AdvertisedAddress.String() != want {
			t.Errorf("%q: %v %v", line, s, err)
		}
	}
}

// Load reports all errors of a file with a sidecar table, not only the first.
func TestLoadSidecarReportsAllErrors(t *testing.T) {
	file := sidecarFile
	for from, to := range map[string]string{
		`memory_mb = 284`: `memory_mb = 1`, `"10.0.0.1:4"`: `"host:4"`, `retry_ratio = 0.2`: `retry_ratio = 2`,
		`partitions = 8`: `partitions = 0`, `"5s"`: `"5"`, `name = "n1"`: `nmae = "n1"`,
	} {
		file = strings.Replace(file, from, to, 1)
	}
	_, err := Load("f", []byte(file))
	var first *Error
	if !errors.As(err, &first) || ExitCode(err) != ExitUsage {
		t.Fatalf("got %v", err)
	}
	for _, key := range []string{"memory_mb", "metrics_address", "retry_ratio", "partitions", "key_withdrawal", "name", "nmae"} {
		if !strings.Contains(err.Error(), key) {
			t.Errorf("%s is missing from the error:\n%v", key, err)
		}
	}
}
