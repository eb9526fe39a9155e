package frontend

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func TestFramingSeesBoth(t *testing.T) {
	for head, alone := range map[string]bool{
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n":                                 true,
		"\r\nPOST / HTTP/1.1\r\ntransfer-encoding:chunked\r\n\r\n":                              true,
		"POST / HTTP/1.1\nTransfer-Encoding: chunked\n\n":                                       true,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n":            false,
		"POST / HTTP/1.1\r\ncontent-LENGTH:\r\n 3\r\nTransfer-Encoding:\r\n chunked\r\n\r\n":    false,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n":                                     false,
		"POST / HTTP/1.1\r\nX: Transfer-Encoding: chunked\r\n\r\n":                              false,
		"POST / HTTP/1.1\r\nTransfer-Encoding-X: chunked\r\nX-Transfer-Encoding: b\r\n\r\n":     false,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nContent-Length: 3\r\n\r\nbody":    true,
		"POST / HTTP/1.1\r\nX-Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": true,
	} {
		var f headScanner
		f.scan([]byte(head), true)
		if f.isChunkedOnly() != alone {
			t.Errorf("%q: %v", head, !alone)
		}
	}
	var f headScanner
	f.scan([]byte("Transfer-Encoding: chunked\r\n\r\n"), false) // the beginning was never seen
	if f.isChunkedOnly() {
		t.Error("a head without its beginning is believed")
	}
}

// However the bytes come, and whatever came before, the same is seen.
func TestFramingInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"Transfer-Encoding: chunked", "Content-Length: 5", "X: y", "Host: h", " folded: z", "x:"}), 0, 6).Draw(t, "lines")
		head := "POST / HTTP/1.1\r\n" + strings.Join(append(lines, "", ""), "\r\n")
		want := strings.Contains(head, "\r\nTransfer") && !strings.Contains(head, "\r\nContent")
		var f headScanner
		f.scan([]byte(rapid.SampledFrom([]string{"", "GET / HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi", "half a"}).Draw(t, "before")), true)
		for rest, anew := head, true; rest != ""; anew = false {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			f.scan([]byte(rest[:n]), anew)
			rest = rest[n:]
		}
		if f.isChunkedOnly() != want || f.hasFoldedLine != strings.Contains(head, "\n folded") {
			t.Fatalf("%q: %v, folded %v", head, !want, f.hasFoldedLine)
		}
	})
}
