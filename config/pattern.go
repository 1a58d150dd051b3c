package config

import (
	"fmt"
	"regexp"
	"strings"
)

// A pattern is a path whose segments are literals or wildcards. A wildcard such
// as {id} matches any one non-empty segment.

var (
	wildcardPattern = regexp.MustCompile(`^\{[a-z][a-z0-9_]*\}$`)
	literalPattern  = regexp.MustCompile(`^[A-Za-z0-9._~-]+$`)
)

func isWildcard(segment string) bool { return strings.HasPrefix(segment, "{") }

// invalidPatternReason returns why a pattern is invalid, or "" if it is valid.
func invalidPatternReason(pattern string) string {
	if pattern == "/" {
		return ""
	}
	segments := strings.Split(pattern, "/")
	if segments[0] != "" || len(segments) < 2 {
		return "must start with /"
	}
	for _, s := range segments[1:] {
		if s == "." || s == ".." {
			return "must not contain . or .. segments"
		}
		if !wildcardPattern.MatchString(s) && !literalPattern.MatchString(s) {
			return fmt.Sprintf("%q is neither a literal segment nor a wildcard such as {id}", s)
		}
	}
	return ""
}

// ambiguous reports whether some path matches both patterns while neither
// pattern is more specific than the other.
func ambiguous(a, b string) bool {
	as, bs := strings.Split(a, "/"), strings.Split(b, "/")
	if len(as) != len(bs) {
		return false
	}
	aMoreSpecific, bMoreSpecific := false, false
	for i := range as {
		aIsWildcard, bIsWildcard := isWildcard(as[i]), isWildcard(bs[i])
		switch {
		case !aIsWildcard && !bIsWildcard && as[i] != bs[i]:
			return false
		case aIsWildcard && !bIsWildcard:
			bMoreSpecific = true
		case bIsWildcard && !aIsWildcard:
			aMoreSpecific = true
		}
	}
	return aMoreSpecific == bMoreSpecific
}
