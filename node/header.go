package node

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers that the node reads or sets. The internal ones share a prefix, so that
// forged ones can be recognised and removed.
const (
	headerPrefix        = "Gooseberry-"
	headerToken         = "Gooseberry-Call-Token"
	headerOutcome       = "Gooseberry-Outcome"
	headerReason        = "Gooseberry-Reason"
	headerRetryAfterMS  = "Gooseberry-Retry-After-Ms"
	headerRequestID     = "Gooseberry-Request-Id"
	headerDeadlineMS    = "Gooseberry-Deadline-Ms"
	headerCustomer      = "Gooseberry-Customer"
	headerRateLimit     = "Gooseberry-Rate-Limit"
	headerLeaving       = "Gooseberry-Leaving"
	headerIdempotency   = "Idempotency-Key"
	headerAuthorization = "Authorization"
	bearerPrefix        = "Bearer "
)

// hopByHopHeaders lists the headers that concern a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length",
}

// stripRequestHeader returns the caller's headers without those that must not
// reach an upstream: the key, hop-by-hop headers and forged internal ones.
func stripRequestHeader(in http.Header) http.Header {
	out := stripHeader(in)
	out.Del(headerAuthorization)
	out.Del(headerIdempotency)
	out.Del("Host")
	return out
}

// stripHeader returns a copy without hop-by-hop and internal headers.
func stripHeader(in http.Header) http.Header {
	out := make(http.Header, len(in))
	for name, values := range in {
		if strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), headerPrefix) {
			continue
		}
		out[name] = values
	}
	for _, list := range in.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// bearerToken returns the key in the Authorization header, or "".
func bearerToken(h http.Header) string {
	text := h.Get(headerAuthorization)
	if len(text) < len(bearerPrefix) || !strings.EqualFold(text[:len(bearerPrefix)], bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(text[len(bearerPrefix):])
}
