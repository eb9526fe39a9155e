package config

import (
	"slices"
	"strings"
)

// protectedHeaders are the headers that a route may not set or remove, because they frame a message, belong to a single
// connection (RFC 9110, 7.6.1) or are written by the daemon itself.
var protectedHeaders = []string{
	"Connection", "Content-Length", "Expect", "Forwarded", "Host", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Via", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto",
}

// isRewritableHeader reports whether name is a valid header name that a route may set or remove.
func isRewritableHeader(name string) bool {
	isSameHeader := func(protected string) bool { return strings.EqualFold(protected, name) }
	return isHeaderName(name) && !slices.ContainsFunc(protectedHeaders, isSameHeader)
}

// isHeaderName reports whether s is a token, which a header name must be (RFC 9110, 5.6.2).
func isHeaderName(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool { return !isTokenCharacter(c) })
}

func isTokenCharacter(c rune) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}

// isHeaderValue reports whether s is a valid header value (RFC 9110, 5.5). Non-ASCII characters are allowed.
func isHeaderValue(s string) bool {
	isControl := func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
	return strings.TrimSpace(s) == s && !strings.ContainsFunc(s, isControl)
}
