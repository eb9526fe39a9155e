package config

import (
	"slices"
	"strings"
)

// protectedHeaders are the headers that a route may not set or remove: they frame a message or belong to one connection
// (RFC 9110, 7.6.1), or the daemon writes them on its own behalf.
var protectedHeaders = []string{
	"Connection", "Content-Length", "Expect", "Forwarded", "Host", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Via", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto",
}

// isRewritableHeader reports whether a route may set or remove the header of this name.
func isRewritableHeader(name string) bool {
	isSame := func(protected string) bool { return strings.EqualFold(protected, name) }
	return isHeaderName(name) && !slices.ContainsFunc(protectedHeaders, isSame)
}

// isHeaderName reports whether a text is a token, and so may name a header (RFC 9110, 5.6.2).
func isHeaderName(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return !isTokenCharacter(c) })
}

func isTokenCharacter(c rune) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// isHeaderValue reports whether a text may be a header's value (RFC 9110, 5.5). Characters beyond ASCII are allowed.
func isHeaderValue(s string) bool {
	isControl := func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
	return strings.TrimSpace(s) == s && !strings.ContainsFunc(s, isControl)
}
