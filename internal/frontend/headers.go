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

// hopByHop are the headers that concern one connection only (RFC 9110, 7.6.1).
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect"}

// ours are the headers by which endpoints know what the daemon says of a caller.
var ours = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto"}

// strip takes the headers out that concern one connection only.
func strip(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// endToEnd are the headers that go on. Those kept go on unchanged, whatever Connection names.
func endToEnd(in http.Header, kept ...string) http.Header {
	out := in.Clone()
	strip(out)
	for _, name := range kept {
		if v := in.Values(name); len(v) > 0 {
			out[http.CanonicalHeaderKey(name)] = v
		}
	}
	return out
}

// towards are the headers for an endpoint.
func (s *Server) towards(r *http.Request, t *Target) http.Header {
	c := t.Class
	h := endToEnd(r.Header, c.IDHeader, c.KeyHeader, c.TenantHeader)
	for _, name := range t.Remove {
		h.Del(name)
	}
	for _, set := range t.Set {
		h.Set(set[0], set[1])
	}
	s.introduce(h, r)
	return h
}

// introduce says where a request comes from, as the listener is told to. It guards against callers' words that pass for
// the daemon's: the same names with underscores are the same to some endpoints.
func (s *Server) introduce(h http.Header, r *http.Request) {
	if s.o.Forwarded == ForwardedLeave {
		return
	}
	for name := range h {
		if strings.Contains(name, "_") && slices.Contains(ours, http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))) {
			delete(h, name)
		}
	}
	if s.o.Forwarded != ForwardedAppend {
		for _, name := range ours {
			h.Del(name)
		}
	}
	h["Via"] = append(h["Via"], "1.1 "+s.o.Pseudonym)
	if s.o.Forwarded == ForwardedDrop {
		return
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = "unknown"
	}
	add(h, "X-Forwarded-For", host)
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
	add(h, "Forwarded", "for="+node+";host="+quoted(r.Host)+";proto=http")
}

// add appends to a list header, in one line.
func add(h http.Header, name, value string) {
	if was := strings.Join(h.Values(name), ", "); was != "" {
		value = was + ", " + value
	}
	h.Set(name, value)
}

// quoted is a quoted string (RFC 9110, 5.6.4).
func quoted(s string) string {
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}
