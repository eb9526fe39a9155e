package route

import (
	"errors"
	"net"
	"strings"
)

// Errors of Normalize. Each is a reason to turn a request away with 400: what could be read in two ways must not be
// routed in one and served in the other.
var (
	ErrNotAbsolutePath = errors.New("the target is no absolute path")
	ErrCharacter       = errors.New("the target has a character that must be encoded")
	ErrEscape          = errors.New("the path has a malformed or ambiguous percent-encoding")
	ErrSegment         = errors.New("the path has an empty segment, or a parameter")
	ErrAboveRoot       = errors.New("the path leads above its root")
)

// Normalize brings a request's target into the one form that is matched and passed on: percent-encoded unreserved
// characters decoded and other encodings in capitals (RFC 3986, 6.2.2.1 and 6.2.2.2), dot segments removed (5.2.4). The
// query, without its "?", is returned as it came, and must be of characters that may stand in a target. A target that servers read differently is an error: encoded slashes,
// backslashes and NULs, empty segments within, and parameters (";"), which some strip and others don't.
//
// A path that is in normal form already is returned as it is, without allocation.
func Normalize(target string) (path, query string, err error) {
	path, query, _ = strings.Cut(target, "?")
	if path == "" || path[0] != '/' {
		return "", "", ErrNotAbsolutePath
	}
	for i := range len(query) {
		if c := query[i]; c <= ' ' || c > '~' || c == '#' {
			return "", "", ErrCharacter
		}
	}
	plain, err := isNormal(path)
	if err != nil || plain {
		return path, query, err
	}
	if path, err = decodePath(path); err != nil {
		return "", "", err
	}
	path, err = removeDotSegments(path)
	return path, query, err
}

// Host brings a Host header into the form that rules have it in: in small letters, without port and final dot.
func Host(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		header = name
	}
	return strings.ToLower(strings.TrimSuffix(strings.Trim(header, "[]"), "."))
}

// isNormal tells whether a path is in normal form already.
func isNormal(path string) (plain bool, err error) {
	plain = true
	for i := range len(path) {
		switch c := path[i]; {
		case c == '%':
			plain = false
		case c == '/' && i > 0 && path[i-1] == '/', c == ';':
			return false, ErrSegment
		case c == '.' && path[i-1] == '/':
			plain = false // perhaps a dot segment; the first byte is a slash
		case !isPathByte(c):
			return false, ErrCharacter
		}
	}
	return plain, nil
}

// isPathByte tells whether a byte may stand in a path as it is: pchar and slash (RFC 3986, 3.3), less the semicolon.
func isPathByte(c byte) bool {
	return isUnreserved(c) || strings.IndexByte("/!$&'()*+,=:@", c) >= 0
}

func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

const hexDigits = "0123456789ABCDEF"

func decodePath(path string) (string, error) {
	var b strings.Builder
	b.Grow(len(path))
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			b.WriteByte(path[i])
			continue
		}
		if i+2 >= len(path) {
			return "", ErrEscape
		}
		hi, lo := hexValue(path[i+1]), hexValue(path[i+2])
		if hi < 0 || lo < 0 {
			return "", ErrEscape
		}
		switch c := byte(hi<<4 | lo); {
		case c == '/' || c == '\\' || c == 0 || c == ';' || c == '%':
			return "", ErrEscape // decoded once more elsewhere, it would be another path
		case isUnreserved(c):
			b.WriteByte(c)
		default:
			b.WriteByte('%')
			b.WriteByte(hexDigits[hi])
			b.WriteByte(hexDigits[lo])
		}
		i += 2
	}
	return b.String(), nil
}

func hexValue(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}

// removeDotSegments is RFC 3986, 5.2.4; a step above the root is an error, since servers differ in what they make of it.
func removeDotSegments(path string) (string, error) {
	var kept []string
	parts := strings.Split(path[1:], "/")
	for i, part := range parts {
		last := i == len(parts)-1
		switch part {
		case ".":
		case "..":
			if len(kept) == 0 {
				return "", ErrAboveRoot
			}
			kept = kept[:len(kept)-1]
		default:
			kept = append(kept, part)
			continue
		}
		if last {
			kept = append(kept, "") // a directory stays one
		}
	}
	return "/" + strings.Join(kept, "/"), nil
}
