package frontend

import (
	"net"
	"net/http"
	"slices"
	"strings"
)

// ForwardedMode is what becomes of the headers by which a client names those before it (RFC 9110, 7.6.3, RFC 7239, and
// X-Forwarded-* by custom).
type ForwardedMode string

// The settings of a listener's forwarding headers.
const (
	ForwardedSet    ForwardedMode = "set"    // the client's are dropped, and the daemon's set
	ForwardedAppend ForwardedMode = "append" // the daemon's are appended to the client's: clients are trusted
	ForwardedDrop   ForwardedMode = "drop"   // the client's are dropped; only Via is added
	ForwardedLeave  ForwardedMode = "leave"  // the client's are forwarded unchanged; nothing is added, not even Via
)

// hopByHopHeaders concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardedHeaders are those by which endpoints learn from the daemon who the client is.
var forwardedHeaders = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto"}

// removeHopByHop removes the headers that concern one connection only, and those that Connection names.
func removeHopByHop(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// endToEndHeader returns a copy without the hop-by-hop headers. The headers in preserved stay, whatever Connection names.
func endToEndHeader(in http.Header, preserved ...string) http.Header {
	out := in.Clone()
	removeHopByHop(out)
	for _, name := range preserved {
		if values := in.Values(name); len(values) > 0 {
			out[http.CanonicalHeaderKey(name)] = values
		}
	}
	return out
}

// upstreamHeader returns the header with which a request is forwarded.
func (s *Server) upstreamHeader(r *http.Request, target *Target) http.Header {
	class := target.Class
	h := endToEndHeader(r.Header, class.IDHeader, class.KeyHeader, class.TenantHeader)
	for _, name := range target.RemoveHeaders {
		h.Del(name)
	}
	for _, field := range target.SetHeaders {
		h.Set(field[0], field[1])
	}
	s.addForwarded(h, r)
	return h
}

// addForwarded says in the header where a request comes from, as the listener's setting wants it. It guards against
// headers of a client that pass for the daemon's: some endpoints take an underscore in a name for a hyphen.
func (s *Server) addForwarded(h http.Header, r *http.Request) {
	if s.options.Forwarded == ForwardedLeave {
		return
	}
	for name := range h {
		if !strings.Contains(name, "_") {
			continue
		}
		hyphenated := http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
		if slices.Contains(forwardedHeaders, hyphenated) {
			delete(h, name)
		}
	}
	if s.options.Forwarded != ForwardedAppend {
		for _, name := range forwardedHeaders {
			h.Del(name)
		}
	}
	h["Via"] = append(h["Via"], "1.1 "+s.options.Pseudonym)
	if s.options.Forwarded == ForwardedDrop {
		return
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = "unknown"
	}
	appendListValue(h, "X-Forwarded-For", host)
	if h.Get("X-Forwarded-Host") == "" {
		h.Set("X-Forwarded-Host", r.Host)
	}
	if h.Get("X-Forwarded-Proto") == "" {
		h.Set("X-Forwarded-Proto", "http")
	}
	node := host
	if strings.Contains(host, ":") { // IPv6 (RFC 7239, 6)
		node = `"[` + host + `]"`
	}
	appendListValue(h, "Forwarded", "for="+node+";host="+quotedString(r.Host)+";proto=http")
}

// appendListValue appends to a header that is a list, and joins its lines to one.
func appendListValue(h http.Header, name, value string) {
	if existing := strings.Join(h.Values(name), ", "); existing != "" {
		value = existing + ", " + value
	}
	h.Set(name, value)
}

// quotedString returns a quoted-string (RFC 9110, 5.6.4).
func quotedString(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}
