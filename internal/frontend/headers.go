package frontend

import (
	"net"
	"net/http"
	"slices"
	"strings"
)

// ForwardedMode says how a listener handles the headers that tell endpoints where a request came from: Via (RFC 9110, 7.6.3),
// Forwarded (RFC 7239) and the customary X-Forwarded-*.
type ForwardedMode string

// Values of ForwardedMode, as the setting "forwarded" of a listener names them.
const (
	ForwardedSet    ForwardedMode = "set"    // replace the client's forwarding headers by the daemon's
	ForwardedAppend ForwardedMode = "append" // append the daemon's values to the client's forwarding headers; for trusted clients
	ForwardedDrop   ForwardedMode = "drop"   // remove the client's forwarding headers and add only Via
	ForwardedLeave  ForwardedMode = "leave"  // forward the client's headers unchanged and add nothing, not even Via
)

// hopByHopHeaders are the headers that apply to a single connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// forwardedHeaders are the headers that tell endpoints who the client is.
var forwardedHeaders = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto"}

// removeHopByHop removes the hop-by-hop headers, and the headers that the Connection header names.
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

// keepEndToEnd removes the hop-by-hop headers. The preserved headers stay even if the Connection header names them.
func keepEndToEnd(h http.Header, preserved ...string) {
	values := make([][]string, len(preserved))
	for i, name := range preserved {
		values[i] = h.Values(name)
	}
	removeHopByHop(h)
	for i, name := range preserved {
		if len(values[i]) > 0 {
			h[http.CanonicalHeaderKey(name)] = values[i]
		}
	}
}

// takeUpstreamHeader takes the header of a request and returns the one with which the request is forwarded: its end-to-end headers with
// the target's changes and the forwarding headers. The request has no header after that: it is not copied, since many requests with long
// heads may wait at a time.
func (s *Server) takeUpstreamHeader(r *http.Request, target *Target) http.Header {
	class, h := target.Class, r.Header
	r.Header = http.Header{}
	keepEndToEnd(h, class.IDHeader, class.KeyHeader, class.TenantHeader)
	for _, name := range target.RemoveHeaders {
		h.Del(name)
	}
	for _, field := range target.SetHeaders {
		h.Set(field[0], field[1])
	}
	s.addForwarded(h, r)
	return h
}

// addForwarded sets the headers that say where a request came from, according to the listener's ForwardedMode. It also removes headers
// of the client such as X_Forwarded_For: some endpoints treat an underscore in a name like a hyphen, and would take them for the
// daemon's.
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
	if strings.Contains(host, ":") { // an IPv6 address must be in brackets and quoted (RFC 7239, 6)
		node = `"[` + host + `]"`
	}
	appendListValue(h, "Forwarded", "for="+node+";host="+quotedString(r.Host)+";proto=http")
}

// appendListValue appends a value to a header whose value is a comma-separated list, and joins its lines to one.
func appendListValue(h http.Header, name, value string) {
	if existing := strings.Join(h.Values(name), ", "); existing != "" {
		value = existing + ", " + value
	}
	h.Set(name, value)
}

// quotedString returns s as a quoted-string (RFC 9110, 5.6.4).
func quotedString(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}
