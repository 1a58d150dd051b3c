package config

import (
	"encoding/hex"
	"math"
	"regexp"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/tomlfile"
)

// Limits on the values in an operators' file.
const (
	// MaxFileBytes bounds the size of the file, which is stored as a single
	// record in the platform's log.
	MaxFileBytes = 256 << 10
	// MaxAllowance is the largest retry allowance of a root request and the
	// calls nested in it.
	MaxAllowance = 100
	// MinRate is the smallest rate limit in requests per second.
	MinRate = 0.001
	// MinBurst is the smallest token bucket size in requests.
	MinBurst = 1
	// MaxRateOrBurst is the largest rate limit (requests per second) and the
	// largest token bucket size (requests).
	MaxRateOrBurst = 1e6
	// MinDeadline and MaxDeadline bound the deadline of a route.
	MinDeadline = time.Millisecond
	MaxDeadline = 10 * time.Minute
	// MaxObjective is the largest service-level objective.
	MaxObjective = 0.999999
)

// namePattern limits names to 63 characters that are safe in headers, logs
// and file names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const invalidNameFormat = "%q is not a valid name (1 to 63 lower-case letters, digits and hyphens)"

// keyIDPattern excludes the underscore, which separates the ID from the secret
// in the text of a key.
var keyIDPattern = regexp.MustCompile(`^[a-z0-9]{8,40}$`)

var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true,
}

// ValidName reports whether name is valid for a customer, a service, a route
// or a failure domain.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// The checks below skip absent keys, which Table.Require reports, and values of
// the wrong type, which the getters of Table report.

func checkName(t *tomlfile.Table, key, name string) {
	if t.Valid(key) && !ValidName(name) {
		t.Reportf(key, invalidNameFormat, name)
	}
}

func checkUnique(t *tomlfile.Table, key, value string, seen map[string]bool) {
	if value == "" {
		return
	}
	if seen[value] {
		t.Reportf(key, "%q is used twice", value)
	}
	seen[value] = true
}

func checkRateOrBurst(t *tomlfile.Table, key string, value, minimum float64) {
	if !t.Valid(key) {
		return
	}
	if math.IsNaN(value) || value < minimum || value > MaxRateOrBurst {
		t.Reportf(key, "must be from %g to %g", minimum, float64(MaxRateOrBurst))
	}
}

func checkKeyID(t *tomlfile.Table, id string) {
	if t.Valid("id") && !keyIDPattern.MatchString(id) {
		t.Reportf("id", "%q is not a valid key ID (8 to 40 lower-case letters and digits)", id)
	}
}

func checkHex(t *tomlfile.Table, key, value string, size int) {
	if !t.Valid(key) {
		return
	}
	b, err := hex.DecodeString(value)
	if err != nil || len(b) != size {
		t.Reportf(key, "must be %d hexadecimal digits", 2*size)
	}
}

func checkMethod(t *tomlfile.Table, method string) {
	if t.Valid("method") && !methods[method] {
		t.Reportf("method", "must be GET, HEAD, POST, PUT, PATCH or DELETE")
	}
}

func checkDeadline(t *tomlfile.Table, d time.Duration) {
	if !t.Valid("deadline") {
		return
	}
	if d < MinDeadline || d > MaxDeadline {
		t.Reportf("deadline", "must be from %s to %s", MinDeadline, MaxDeadline)
	}
}

func checkObjective(t *tomlfile.Table, objective float64) {
	if !t.Valid("objective") {
		return
	}
	if math.IsNaN(objective) || objective <= 0 || objective > MaxObjective {
		t.Reportf("objective", "must be above 0 and at most %g", MaxObjective)
	}
}

func checkPattern(t *tomlfile.Table, pattern string) {
	if !t.Valid("path") {
		return
	}
	if reason := invalidPatternReason(pattern); reason != "" {
		t.Reportf("path", "%s", reason)
	}
}

// checkAmbiguous reports a route whose pattern overlaps with that of an earlier
// route while neither pattern is more specific.
func checkAmbiguous(t *tomlfile.Table, r Route, earlier []Route) {
	for _, other := range earlier {
		if other.Service != r.Service || other.Method != r.Method {
			continue
		}
		if ambiguous(other.Pattern, r.Pattern) {
			t.Reportf("path", "is ambiguous with route %q (%s)", other.Name, other.Pattern)
		}
	}
}
