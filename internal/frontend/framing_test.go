package frontend

import (
	"slices"
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
			scanner.scan([]byte(c.head))
			framing, isKnown := scanner.take()
			if got := isKnown && framing.isChunkedOnly(); got != c.isChunkedOnly {
				t.Errorf("head %q: isChunkedOnly returned %v, want %v", c.head, got, c.isChunkedOnly)
			}
		})
	}
}

// Nothing behind a request whose end is not certain may be taken for the beginning of a head.
func TestHeadScannerReportsNoHeadBehindAnUncertainEnd(t *testing.T) {
	const requestLine, next = "POST / HTTP/1.1\r\n", "GET / HTTP/1.1\r\n\r\n"
	for name, head := range map[string]string{
		"chunked":                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"framed in two ways":      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"a list of lengths":       "Content-Length: 0, 0\r\n\r\n",
		"a length with a sign":    "Content-Length: +0\r\n\r\n",
		"a length in two parts":   "Content-Length: 0 0\r\n\r\n",
		"no length":               "Content-Length: \r\n\r\n",
		"a length over 64 bits":   "Content-Length: 18446744073709551616\r\n\r\n",
		"a folded line":           "X: a\r\n Content-Length: 0\r\n\r\n",
		"a length that is folded": "Content-Length:\r\n 0\r\n\r\n",
	} {
		var scanner headScanner
		scanner.scan([]byte(requestLine + head + next))
		scanner.take()
		if _, isKnown := scanner.take(); isKnown {
			t.Errorf("%s: a head was reported behind the request, want none", name)
		}
	}
}

// A head must not take much more memory than its bytes because its fields are short.
func TestHeadScannerLimitsNumberOfFields(t *testing.T) {
	for _, c := range []struct {
		fields  int
		exceeds bool
	}{{maxHeadFields, false}, {maxHeadFields + 1, true}} {
		var scanner headScanner
		scanner.scan([]byte("GET / HTTP/1.1\r\n" + strings.Repeat("a:b\r\n", c.fields)))
		if got := scanner.hasTooManyFields(); got != c.exceeds {
			t.Errorf("%d fields: hasTooManyFields returned %v, want %v", c.fields, got, c.exceeds)
		}
		scanner.scan([]byte("\r\n"))
		if framing, _ := scanner.take(); framing.hasTooManyFields != c.exceeds {
			t.Errorf("%d fields, complete: hasTooManyFields is %v, want %v", c.fields, framing.hasTooManyFields, c.exceeds)
		}
	}
}

// The result of a headScanner must not depend on how the bytes are split into reads, nor on which requests came before on the
// connection: several heads may come in one read, and one head in several reads.
func TestHeadScannerResultIsIndependentOfReadBoundaries(t *testing.T) {
	fields := []string{"Transfer-Encoding: chunked", "Content-Length: 5", "X: y", "Host: h", " folded: z", "x:"}
	previous := []string{"", "GET / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", "\r\nGET / HTTP/1.1\nX: y\n\n", "POST / HTTP/1.1\r\nContent-Length: 29\r\n\r\n0\r\n\r\nPOST / HTTP/1.1\r\n\r\nhid"}
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom(fields), 0, 6).Draw(t, "lines")
		head := "POST / HTTP/1.1\r\n" + strings.Join(append(lines, "", ""), "\r\n")
		want := headFraming{
			hasContentLength:    strings.Contains(head, "\r\nContent"),
			hasTransferEncoding: strings.Contains(head, "\r\nTransfer"),
			hasFoldedLine:       strings.Contains(head, "\n folded"),
		}
		before := rapid.SliceOfN(rapid.SampledFrom(previous), 0, 4).Draw(t, "previous")
		var scanner headScanner
		for rest := strings.Join(before, "") + head; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			scanner.scan([]byte(rest[:n]))
			rest = rest[n:]
		}
		for range slices.DeleteFunc(before, func(request string) bool { return request == "" }) {
			if _, isKnown := scanner.take(); !isKnown {
				t.Fatalf("requests %q before head %q: one was not reported", before, head)
			}
		}
		if got, isKnown := scanner.take(); got != want || !isKnown {
			t.Fatalf("head %q: got %+v (known: %v), want %+v", head, got, isKnown, want)
		}
	})
}
