package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// If two parsers could disagree on where a request ends, the request must not smuggle a second one to the endpoint.
//
// Each test case has a host of its own, by which the requests that reach the endpoint are counted. The counts are
// checked after the daemon has ended, so that a request that arrives late counts for its own case.
func TestSmuggledRequestsAreNotForwarded(t *testing.T) {
	var mu sync.Mutex
	// Numbers of outer requests, and of requests hidden in their bodies, that reached the endpoint, by host.
	outer, hidden := map[string]int{}, map[string]int{}
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		mu.Lock()
		if r.URL.Path == "/x" {
			outer[r.Host]++
		} else {
			hidden[r.Host]++
		}
		mu.Unlock()
		io.WriteString(nc, testpeer.ResponseOK)
		return true
	})
	s := startFromFile(t, parseService(t, streamingListener+poolSection("a", e.Addr)+payRoute))
	const unfinishedCase = "a chunk size of 16 digits" // name of the case whose body is never complete
	const smuggled = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	post := func(headers, body string) string { return "POST /x HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body }
	cases := []struct {
		name, text  string
		isForwarded bool // whether the outer request is forwarded; false: neither request is
	}{
		{"CL.TE", post("Content-Length: 39\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+smuggled), true},
		{"TE.CL", post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "21\r\n"+smuggled+"\r\n0\r\n\r\n"), true},
		{"TE.TE, one unknown", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\nContent-Length: 5\r\n", "0\r\n\r\n"+smuggled), false},
		{"TE.TE, twice", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+smuggled), false},
		{"TE in a list", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"+smuggled), false},
		{"TE that is not chunked", post("Transfer-Encoding: identity\r\nContent-Length: 0\r\n", smuggled), false},
		{"TE with a tab", post("Transfer-Encoding:\tchunked\r\n", "0\r\n\r\n"+smuggled), true},
		{"TE with a vertical tab", post("Transfer-Encoding: \vchunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+smuggled), false},
		{"TE with a space before the colon", post("Transfer-Encoding : chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+smuggled), false},
		{"TE in a folded line", post("X: y\r\n Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+smuggled), false},
		{"TE after a bare CR", post("X: y\rTransfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+smuggled), false},
		{"TE in HTTP/1.0", "POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, false},
		{"two lengths", post("Content-Length: 5\r\nContent-Length: 6\r\n", "abcde"+smuggled), false},
		{"lengths in a list", post("Content-Length: 5, 5\r\n", "abcde"+smuggled), false},
		{"a length with a sign", post("Content-Length: +5\r\n", "abcde"+smuggled), false},
		{"a negative length", post("Content-Length: -1\r\n", smuggled), false},
		{"a length in hex", post("Content-Length: 0x5\r\n", "abcde"+smuggled), false},
		{"a huge length", post("Content-Length: 99999999999999999999\r\n", smuggled), false},
		{unfinishedCase, post("Transfer-Encoding: chunked\r\n", "FFFFFFFFFFFFFFFF\r\n"+smuggled), false},
		{"a chunk size of 17 digits", post("Transfer-Encoding: chunked\r\n", "00000000000000000\r\n\r\n"+smuggled), false},
		{"a negative chunk size", post("Transfer-Encoding: chunked\r\n", "-1\r\n"+smuggled), false},
		{"a chunk size with 0x", post("Transfer-Encoding: chunked\r\n", "0x5\r\nabcde\r\n0\r\n\r\n"+smuggled), false},
		{"a chunk longer than its size", post("Transfer-Encoding: chunked\r\n", "3\r\nabcde\r\n0\r\n\r\n"+smuggled), false},
		{"a chunk extension with a bare LF", post("Transfer-Encoding: chunked\r\n", "5;a\nb\r\nabcde\r\n0\r\n\r\n"+smuggled), false},
		{"very long chunk extensions", post("Transfer-Encoding: chunked\r\n", strings.Repeat("1;"+strings.Repeat("x", 2000)+"\r\na\r\n", 200)+"0\r\n\r\n"+smuggled), false},
		{"framing fields in the trailer", post("Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\nX-Ok: 1\r\n\r\n"+smuggled), true},
		{"an announced framing field in the trailer", post("Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n", "0\r\nContent-Length: 40\r\n\r\n"+smuggled), false},
		{"Content-Length named in Connection", post("Connection: Content-Length\r\nContent-Length: 5\r\n", "abcde"), true},
	}
	host := func(i int) string { return "abcdefghijklmnopqrstuvwxyz0123456789"[i : i+1] }
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			nc, err := net.Dial("tcp", s.addressOf("one"))
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(testpeer.Timeout))
			io.WriteString(nc, strings.ReplaceAll(c.text, "Host: h\r", "Host: "+host(i)+"\r"))
			// The daemon treats a client that closes its sending side as disconnected, so the side is closed before the
			// response only if the body is incomplete and the daemon would wait for the rest.
			if c.name == unfinishedCase {
				_ = nc.(*net.TCPConn).CloseWrite()
			}
			in := bufio.NewReader(nc)
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(resp.Body) // a reset may cut the body short, since the daemon has not read all that was sent
			_ = nc.(*net.TCPConn).CloseWrite()
			if rest, _ := io.ReadAll(in); strings.Contains(string(rest), "HTTP/1.") {
				t.Errorf("got a second response: %q", rest)
			}
			isOK := resp.StatusCode == http.StatusOK
			// A rejection has status 400, or 501 for an unknown transfer coding (RFC 9112, 6.1).
			isRejected := resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusNotImplemented
			if isOK != c.isForwarded || !isOK && !isRejected {
				t.Errorf("status %d %q, want 200 if forwarded (%v), else 400 or 501", resp.StatusCode, body, c.isForwarded)
			}
		})
	}
	s.terminate()
	if err := <-s.serveResult; err != nil {
		t.Fatal(err)
	}
	for i, c := range cases {
		want := map[bool]int{true: 1}[c.isForwarded]
		if n := outer[host(i)]; n != want || hidden[host(i)] != 0 {
			t.Errorf("%s: %d outer and %d smuggled requests reached the endpoint, want %d and 0", c.name, n, hidden[host(i)], want)
		}
	}
}

// A request with ambiguous framing is rejected, and the bytes after its last chunk are not forwarded as a request of
// their own. The daemon must check the framing itself: net/http drops Content-Length without an error if
// Transfer-Encoding is also present.
func TestRequestSmuggledInBodyIsNotForwarded(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatform(t, e.Addr)
	const fields = " HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: 60000\r\n"
	hidden := "0\r\n\r\nPOST /pay" + fields + "Req-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	for name, framing := range map[string]string{
		"CL and TE":            "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n",
		"TE and CL":            "Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
		"TE in other case":     "Content-Length: %d\r\ntransfer-encoding:\tChunked\r\n",
		"TE in a folded line":  "Content-Length: %d\r\nTransfer-Encoding:\r\n chunked\r\n",
		"unknown TE":           "Content-Length: %d\r\nTransfer-Encoding: xchunked\r\n",
		"TE twice":             "Content-Length: %d\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":          "Content-Length: %d\r\nContent-Length: 0\r\n",
		"a length over limits": "X-Length: %d\r\nContent-Length: 99999999\r\n",
	} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(testpeer.Timeout))
		_, _ = fmt.Fprintf(nc, "POST /pay"+fields+"Req-Id: outer\r\n"+framing+"\r\n%s", len(hidden), hidden)
		in := bufio.NewReader(nc)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else {
			io.Copy(io.Discard, resp.Body)
			if resp.StatusCode < 400 {
				t.Errorf("%s: status %d, want 4xx or 5xx", name, resp.StatusCode)
			}
			if b, err := in.ReadByte(); err == nil {
				t.Errorf("%s: got the byte %q after the response, want the connection closed", name, b)
			}
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint, want none", n)
	}
}
