package config

import (
	"encoding/hex"
	"math"
	"regexp"
	"time"

	"github.com/gooseberryflow/gooseberryflow/internal/tomlfile"
)

// Bounds of the values in an operators' file.
const (
	// MaxFileBytes bounds the file, which is one record on the platform's log.
	MaxFileBytes = 256 << 10
	// MaxAllowance is the largest number of retries for a root request's tree.
	MaxAllowance = 100
	// MinRate is the smallest rate in requests per second.
	MinRate = 0.001
	// MinBurst is the smallest burst in requests.
	MinBurst = 1
	// MaxAmount is the largest rate (per second) and burst.
	MaxAmount = 1e6
	// MinDeadline and MaxDeadline bound a route's deadline.
	MinDeadline = time.Millisecond
	MaxDeadline = 10 * time.Minute
	// MaxObjective is the largest service-level objective.
	MaxObjective = 0.999999
)

// namePattern bounds names to 63 characters that are safe in headers, logs
// and file names.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

const nameReason = "%q is not a name of lower-case letters, digits and hyphens (1 to 63)"

// keyIDPattern leaves out the underscore, which ends the ID in a key text.
var keyIDPattern = regexp.MustCompile(`^[a-z0-9]{8,40}$`)

var methods = map[string]bool{
	"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true,
}

// ValidName reports whether a text can name a customer, a service, a route or
// a failure domain.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// The checks below leave absent keys to Table.Require and values of a wrong
// type to the getters of Table.

func checkName(t *tomlfile.Table, key, name string) {
	if t.Valid(key) && !ValidName(name) {
		t.Reportf(key, nameReason, name)
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

func checkAmount(t *tomlfile.Table, key string, value, least float64) {
	if !t.Valid(key) {
		return
	}
	if math.IsNaN(value) || value < least || value > MaxAmount {
		t.Reportf(key, "must be from %g to %g", least, float64(MaxAmount))
	}
}

func checkKeyID(t *tomlfile.Table, id string) {
	if t.Valid("id") && !keyIDPattern.MatchString(id) {
		t.Reportf("id", "%q is not a key ID of 8 to 40 lower-case letters and digits", id)
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
	if reason := patternFault(pattern); reason != "" {
		t.Reportf("path", "%s", reason)
	}
}

// checkAmbiguous reports a route that some request could match as well as an
// earlier one, with neither being more specific.
func checkAmbiguous(t *tomlfile.Table, r Route, earlier []Route) {
	for _, e := range earlier {
		if e.Service != r.Service || e.Method != r.Method {
			continue
		}
		if ambiguous(e.Pattern, r.Pattern) {
			t.Reportf("path", "is ambiguous with route %q (%s)", e.Name, e.Pattern)
		}
	}
}
