package frontend

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestHeadScannerDetectsContentLengthBesideChunked(t *testing.T) {
	const requestLine = "POST / HTTP/1.1\r\n"
	for name, c := range map[string]struct {
		head          string
		isChunkedOnly bool
	}{
		"chunked only":                         {requestLine + "Transfer-Encoding: chunked\r\n\r\n", true},
		"empty line first, lower case":         {"\r\n" + requestLine + "transfer-encoding:chunked\r\n\r\n", true},
		"line ends without CR":                 {"POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n", true},
		"Content-Length and chunked":           {requestLine + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", false},
		"folded Content-Length and chunked":    {requestLine + "content-LENGTH:\r\n 3\r\nTransfer-Encoding:\r\n chunked\r\n\r\n", false},
		"incomplete head":                      {requestLine + "Transfer-Encoding: chunked\r\n", false},
		"the name of the field in a value":     {requestLine + "X: Transfer-Encoding: chunked\r\n\r\n", false},
		"the name within other names":          {requestLine + "Transfer-Encoding-X: chunked\r\nX-Transfer-Encoding: b\r\n\r\n", false},
		"a Content-Length in the body":         {requestLine + "Transfer-Encoding: chunked\r\n\r\nContent-Length: 3\r\n\r\nbody", true},
		"a Content-Length within another name": {requestLine + "X-Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			var scanner headScanner
			scanner.scan([]byte(c.head), true)
			if got := scanner.isChunkedOnly(); got != c.isChunkedOnly {
				t.Errorf("head %q: isChunkedOnly returned %v, want %v", c.head, got, c.isChunkedOnly)
			}
		})
	}
	t.Run("not scanned from its start", func(t *testing.T) {
		var scanner headScanner
		scanner.scan([]byte("Transfer-Encoding: chunked\r\n\r\n"), false)
		if scanner.isChunkedOnly() {
			t.Error("isChunkedOnly returned true for a head without its beginning, want false")
		}
	})
}

// The result of a headScanner must not depend on how the bytes of a head are split into reads, nor on earlier requests.
func TestHeadScannerResultIsIndependentOfReadBoundaries(t *testing.T) {
	fields := []string{"Transfer-Encoding: chunked", "Content-Length: 5", "X: y", "Host: h", " folded: z", "x:"}
	previous := []string{"", "GET / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", "half a"}
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom(fields), 0, 6).Draw(t, "lines")
		head := "POST / HTTP/1.1\r\n" + strings.Join(append(lines, "", ""), "\r\n")
		want := strings.Contains(head, "\r\nTransfer") && !strings.Contains(head, "\r\nContent")
		var scanner headScanner
		scanner.scan([]byte(rapid.SampledFrom(previous).Draw(t, "previous")), true)
		for rest, startsRequest := head, true; rest != ""; startsRequest = false {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			scanner.scan([]byte(rest[:n]), startsRequest)
			rest = rest[n:]
		}
		if scanner.isChunkedOnly() != want || scanner.hasFoldedLine != strings.Contains(head, "\n folded") {
			t.Fatalf("head %q: isChunkedOnly is %v, want %v; hasFoldedLine is %v, want %v",
				head, scanner.isChunkedOnly(), want, scanner.hasFoldedLine, strings.Contains(head, "\n folded"))
		}
	})
}
