package node

import (
	"strings"

	"github.com/gooseberryflow/gooseberryflow/config"
)

// findRoute returns the route for a method and path. Of several matching patterns
// it picks the one with the most literal segments; validation of the operators'
// file excludes ties.
func findRoute(routes []config.Route, method, path string) (*config.Route, bool) {
	var best *config.Route
	for i := range routes {
		r := &routes[i]
		if r.Method != method || !matches(r.Pattern, path) {
			continue
		}
		if best == nil || literalSegments(r.Pattern) > literalSegments(best.Pattern) {
			best = r
		}
	}
	return best, best != nil
}

// matches reports whether a path matches a pattern. A pattern segment in braces
// matches any one non-empty segment.
func matches(pattern, path string) bool {
	for {
		patternSegment, restPattern, morePattern := strings.Cut(pattern, "/")
		pathSegment, restPath, morePath := strings.Cut(path, "/")
		if !segmentMatches(patternSegment, pathSegment) || morePattern != morePath {
			return false
		}
		if !morePattern {
			return true
		}
		pattern = restPattern
		path = restPath
	}
}

func segmentMatches(pattern, segment string) bool {
	if isWildcard(pattern) {
		return segment != ""
	}
	return pattern == segment
}

func isWildcard(s string) bool {
	return strings.HasPrefix(s, "{") && strings.HasSuffix(s, "}")
}

func literalSegments(pattern string) int {
	n := 0
	for _, s := range strings.Split(pattern, "/") {
		if !isWildcard(s) {
			n++
		}
	}
	return n
}
