package frontend

import (
	"net"
	"net/http"
	"slices"
	"strings"
)

// Forwarded says what becomes of what callers say of those before them (RFC 7239, and X-Forwarded-* by custom).
type Forwarded string

// The ways.
const (
	ForwardedSet    Forwarded = "set"    // dropped, and said anew
	ForwardedAppend Forwarded = "append" // kept, and added to: callers are trusted
	ForwardedDrop   Forwarded = "drop"   // dropped
	ForwardedLeave  Forwarded = "leave"  // kept; nothing is said, in Via neither
)

// hopByHopHeaders are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// forwardedHeaders are the headers by which endpoints know what the daemon says of a caller.
var forwardedHeaders = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto"}

// removeHopByHop takes the headers out that concern one connection only.
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

// endToEndHeader are the headers that go on. Those kept go on unchanged, whatever Connection names.
func endToEndHeader(in http.Header, kept ...string) http.Header {
	out := in.Clone()
	removeHopByHop(out)
	for _, name := range kept {
		if v := in.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = v
		}
	}
	return out
}

// upstreamHeader are the headers for an endpoint.
func (s *Server) upstreamHeader(r *http.Request, t *Target) http.Header {
	c := t.Class
	h := endToEndHeader(r.Header, c.IDHeader, c.KeyHeader, c.TenantHeader)
	for _, name := range t.Remove {
		h.Del(name)
	}
	for _, set := range t.Set {
		h.Set(set[0], set[1])
	}
	s.addForwarded(h, r)
	return h
}

// addForwarded says where a request comes from, as the listener is told to. It guards against callers' words that pass for
// the daemon's: the same names with underscores are the same to some endpoints.
func (s *Server) addForwarded(h http.Header, r *http.Request) {
	if s.options.Forwarded == ForwardedLeave {
		return
	}
	for name := range h {
		if strings.Contains(name, "_") && slices.Contains(forwardedHeaders, http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))) {
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
	if strings.Contains(host, ":") {
		node = `"[` + host + `]"`
	}
	appendListValue(h, "Forwarded", "for="+node+";host="+quotedString(r.Host)+";proto=http")
}

// appendListValue appends to a list header, in one line.
func appendListValue(h http.Header, name, value string) {
	if was := strings.Join(h.Values(name), ", "); was != "" {
		value = was + ", " + value
	}
	h.Set(name, value)
}

// quotedString is a quoted string (RFC 9110, 5.6.4).
func quotedString(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}
