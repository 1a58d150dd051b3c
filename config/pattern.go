package config

import (
	"fmt"
	"regexp"
	"strings"
)

// A pattern is a path whose segments are literal text or a wildcard such as
// {id}, which matches any one non-empty segment.

var (
	wildcardPattern = regexp.MustCompile(`^\{[a-z][a-z0-9_]*\}$`)
	literalPattern  = regexp.MustCompile(`^[A-Za-z0-9._~-]+$`)
)

func isWildcard(segment string) bool { return strings.HasPrefix(segment, "{") }

// patternFault returns why a pattern is invalid; empty when it is valid.
func patternFault(pattern string) string {
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

// ambiguous reports whether two patterns match a common path while neither is
// more specific than the other.
func ambiguous(a, b string) bool {
	as, bs := strings.Split(a, "/"), strings.Split(b, "/")
	if len(as) != len(bs) {
		return false
	}
	aNarrower, bNarrower := false, false
	for i := range as {
		aWild, bWild := isWildcard(as[i]), isWildcard(bs[i])
		switch {
		case !aWild && !bWild && as[i] != bs[i]:
			return false
		case aWild && !bWild:
			bNarrower = true
		case bWild && !aWild:
			aNarrower = true
		}
	}
	return aNarrower == bNarrower
}
