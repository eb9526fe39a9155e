package route

import (
	"errors"
	"net"
	"strings"
)

// Errors of Normalize. A request with such a target is rejected with status 400, since servers interpret the target in different
// ways, and a request must not be routed by one interpretation and served by another.
var (
	ErrNotAbsolutePath    = errors.New("the target is no absolute path")
	ErrUnencodedCharacter = errors.New("the target has a character that must be encoded")
	ErrInvalidEscape      = errors.New("the path has a malformed or ambiguous percent-encoding")
	ErrInvalidSegment     = errors.New("the path has an empty segment, or a parameter")
	ErrAboveRoot          = errors.New("the path leads above its root")
)

// Normalize returns the path of a request target in normal form, in which it is matched and forwarded, and the unchanged query
// without its "?". In normal form unreserved characters are not percent-encoded, other percent-encodings are in upper case (RFC
// 3986, 6.2.2.1 and 6.2.2.2), and there are no dot segments (RFC 3986, 5.2.4).
//
// The query must consist of characters that are allowed in a target. A path that servers interpret in different ways is an
// error: one with encoded slashes, backslashes or NULs, with empty segments except the last, or with parameters (";"), which
// some servers strip.
//
// A path that is already in normal form is returned without allocation.
func Normalize(target string) (path, query string, err error) {
	path, query, _ = strings.Cut(target, "?")
	if path == "" || path[0] != '/' {
		return "", "", ErrNotAbsolutePath
	}
	if !isValidQuery(query) {
		return "", "", ErrUnencodedCharacter
	}
	isNormalForm, err := isNormal(path)
	if err != nil || isNormalForm {
		return path, query, err
	}
	if path, err = decodePath(path); err != nil {
		return "", "", err
	}
	path, err = removeDotSegments(path)
	return path, query, err
}

// NormalizeHost returns the host of a Host header in the form in which rules name hosts: in lower case, without port, brackets and final
// dot.
func NormalizeHost(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		header = name
	}
	return strings.ToLower(strings.TrimSuffix(strings.Trim(header, "[]"), "."))
}

// isValidQuery reports whether a query consists of visible ASCII characters other than "#", which begins a fragment.
func isValidQuery(query string) bool {
	for i := range len(query) {
		if c := query[i]; c <= ' ' || c > '~' || c == '#' {
			return false
		}
	}
	return true
}

// isNormal reports whether an absolute path is certainly in normal form; false means that it may have to be changed. An error
// means that the path has no normal form.
func isNormal(path string) (isNormalForm bool, err error) {
	isNormalForm = true
	for i := range len(path) {
		switch c := path[i]; {
		case c == '%':
			isNormalForm = false
		case c == '/' && i > 0 && path[i-1] == '/', c == ';':
			return false, ErrInvalidSegment
		case c == '.' && path[i-1] == '/': // i-1 is not negative, since the first byte is a slash
			isNormalForm = false // the dot may begin a dot segment
		case !isPathByte(c):
			return false, ErrUnencodedCharacter
		}
	}
	return isNormalForm, nil
}

// isPathByte reports whether a byte is allowed unencoded in a path: pchar and slash (RFC 3986, 3.3), except the semicolon.
func isPathByte(c byte) bool {
	return isUnreserved(c) || strings.IndexByte("/!$&'()*+,=:@", c) >= 0
}

// isUnreserved reports whether a byte is an unreserved character (RFC 3986, 2.3).
func isUnreserved(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-._~", c) >= 0
}

const hexDigits = "0123456789ABCDEF"

// decodePath decodes percent-encoded unreserved characters and writes other percent-encodings in upper case.
func decodePath(path string) (string, error) {
	var b strings.Builder
	b.Grow(len(path))
	for i := 0; i < len(path); i++ {
		if path[i] != '%' {
			b.WriteByte(path[i])
			continue
		}
		if i+2 >= len(path) {
			return "", ErrInvalidEscape
		}
		high, low := hexValue(path[i+1]), hexValue(path[i+2])
		if high < 0 || low < 0 {
			return "", ErrInvalidEscape
		}
		switch c := byte(high<<4 | low); {
		case c == '/' || c == '\\' || c == 0 || c == ';' || c == '%':
			return "", ErrInvalidEscape // a server that decodes this slash, backslash, NUL, semicolon or percent sign would read a different path
		case isUnreserved(c):
			b.WriteByte(c)
		default:
			b.WriteByte('%')
			b.WriteByte(hexDigits[high])
			b.WriteByte(hexDigits[low])
		}
		i += 2
	}
	return b.String(), nil
}

// hexValue returns the value of a hexadecimal digit, and -1 for any other byte.
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

// removeDotSegments implements RFC 3986, 5.2.4, except that a path that leads above the root is an error, since servers handle
// it in different ways.
func removeDotSegments(path string) (string, error) {
	var output []string
	segments := strings.Split(path[1:], "/")
	for i, segment := range segments {
		isLast := i == len(segments)-1
		switch segment {
		case ".":
		case "..":
			if len(output) == 0 {
				return "", ErrAboveRoot
			}
			output = output[:len(output)-1]
		default:
			output = append(output, segment)
			continue
		}
		if isLast {
			output = append(output, "") // a path that ends with a dot segment keeps a final slash
		}
	}
	return "/" + strings.Join(output, "/"), nil
}
