package upstream

import (
	"net/http"
	"slices"
	"strings"
)

// forbiddenTrailers are fields that must not be forwarded as trailers: fields for framing, routing and authentication, and fields
// that say how the body is processed (RFC 9110, 6.5.1).
var forbiddenTrailers = []string{
	"Authorization", "Cache-Control", "Connection", "Content-Encoding", "Content-Length", "Content-Range", "Content-Type",
	"Cookie", "Expect", "Host", "Keep-Alive", "Max-Forwards", "Pragma", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Range", "Set-Cookie", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Www-Authenticate",
}

// forwardableTrailers returns the trailers of a message that may be forwarded.
func forwardableTrailers(in http.Header) http.Header {
	out := http.Header{}
	for name, values := range in {
		canonical := http.CanonicalHeaderKey(name)
		if !slices.Contains(forbiddenTrailers, canonical) && !strings.HasPrefix(canonical, "If-") {
			out[name] = values
		}
	}
	return out
}
