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

// Requests that two readers could end in different places: none may smuggle a second one to the endpoint.
// What reached the endpoint is counted by the host that each shape has to itself, and judged when the daemon has ended: a
// request that comes late counts for its own shape.
func TestSmuggledRequestsAreNotForwarded(t *testing.T) {
	var mu sync.Mutex
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
	s := startFromFile(t, parseService(t, streamingListener+poolOf("a", e.Addr)+payRoute))
	const unfinished = "a chunk of 16 digits" // its body is never complete
	const secret = "GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
	post := func(headers, body string) string { return "POST /x HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n" + body }
	shapes := []struct {
		name, text string
		passes     bool // one request, the outer one, is forwarded
	}{
		{"CL.TE", post("Content-Length: 39\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+secret), true},
		{"TE.CL", post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "21\r\n"+secret+"\r\n0\r\n\r\n"), true},
		{"TE.TE, one unknown", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\nContent-Length: 5\r\n", "0\r\n\r\n"+secret), false},
		{"TE.TE, twice", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"+secret), false},
		{"TE in a list", post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"+secret), false},
		{"TE that is not chunked", post("Transfer-Encoding: identity\r\nContent-Length: 0\r\n", secret), false},
		{"TE with a tab", post("Transfer-Encoding:\tchunked\r\n", "0\r\n\r\n"+secret), true},
		{"TE with a vertical tab", post("Transfer-Encoding: \vchunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+secret), false},
		{"TE with a space before the colon", post("Transfer-Encoding : chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+secret), false},
		{"TE in a folded line", post("X: y\r\n Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+secret), false},
		{"TE behind a bare CR", post("X: y\rTransfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\n"+secret), false},
		{"TE in HTTP/1.0", "POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + secret, false},
		{"two lengths", post("Content-Length: 5\r\nContent-Length: 6\r\n", "abcde"+secret), false},
		{"lengths in a list", post("Content-Length: 5, 5\r\n", "abcde"+secret), false},
		{"a length with a sign", post("Content-Length: +5\r\n", "abcde"+secret), false},
		{"a negative length", post("Content-Length: -1\r\n", secret), false},
		{"a length in hex", post("Content-Length: 0x5\r\n", "abcde"+secret), false},
		{"a huge length", post("Content-Length: 99999999999999999999\r\n", secret), false},
		{unfinished, post("Transfer-Encoding: chunked\r\n", "FFFFFFFFFFFFFFFF\r\n"+secret), false},
		{"a chunk of 17 digits", post("Transfer-Encoding: chunked\r\n", "00000000000000000\r\n\r\n"+secret), false},
		{"a negative chunk", post("Transfer-Encoding: chunked\r\n", "-1\r\n"+secret), false},
		{"a chunk in 0x", post("Transfer-Encoding: chunked\r\n", "0x5\r\nabcde\r\n0\r\n\r\n"+secret), false},
		{"a chunk longer than told", post("Transfer-Encoding: chunked\r\n", "3\r\nabcde\r\n0\r\n\r\n"+secret), false},
		{"a chunk's extension with a bare LF", post("Transfer-Encoding: chunked\r\n", "5;a\nb\r\nabcde\r\n0\r\n\r\n"+secret), false},
		{"extensions without end", post("Transfer-Encoding: chunked\r\n", strings.Repeat("1;"+strings.Repeat("x", 2000)+"\r\na\r\n", 200)+"0\r\n\r\n"+secret), false},
		{"a trailer that frames", post("Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\nX-Ok: 1\r\n\r\n"+secret), true},
		{"a trailer named in the head that frames", post("Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n", "0\r\nContent-Length: 40\r\n\r\n"+secret), false},
		{"a header that is dropped by name", post("Connection: Content-Length\r\nContent-Length: 5\r\n", "abcde"), true},
	}
	host := func(i int) string { return "abcdefghijklmnopqrstuvwxyz0123456789"[i : i+1] }
	for i, shape := range shapes {
		t.Run(shape.name, func(t *testing.T) {
			nc, err := net.Dial("tcp", s.addressOf("one"))
			if err != nil {
				t.Fatal(err)
			}
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(testpeer.Timeout))
			io.WriteString(nc, strings.ReplaceAll(shape.text, "Host: h\r", "Host: "+host(i)+"\r"))
			// A client that closes its side looks like one that has disconnected: before the response, only a body that
			// waits for more is ended so.
			if shape.name == unfinished {
				_ = nc.(*net.TCPConn).CloseWrite()
			}
			in := bufio.NewReader(nc)
			answer, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, _ := io.ReadAll(answer.Body) // it may be cut short by a reset: more was sent than was read
			_ = nc.(*net.TCPConn).CloseWrite()
			if rest, _ := io.ReadAll(in); strings.Contains(string(rest), "HTTP/1.") {
				t.Errorf("a second answer: %q", rest)
			}
			passed := answer.StatusCode == http.StatusOK
			rejected := answer.StatusCode == http.StatusBadRequest || answer.StatusCode == http.StatusNotImplemented // RFC 9112, 6.1
			if passed != shape.passes || !passed && !rejected {
				t.Errorf("answered %d %q", answer.StatusCode, body)
			}
		})
	}
	s.terminate()
	if err := <-s.serveResult; err != nil {
		t.Fatal(err)
	}
	for i, shape := range shapes {
		want := map[bool]int{true: 1}[shape.passes]
		if n := outer[host(i)]; n != want || hidden[host(i)] != 0 {
			t.Errorf("%s: %d requests reached the endpoint, want %d; %d hid in it", shape.name, n, want, hidden[host(i)])
		}
	}
}

// A regression test: net/http drops Content-Length beside Transfer-Encoding, and the bytes of the body behind the last
// chunk were forwarded to endpoints as a request of their own.
func TestRequestSmuggledInBodyIsNotForwarded(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatform(t, e.Addr)
	const fields = " HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: 60000\r\n"
	hidden := "0\r\n\r\nPOST /pay" + fields + "Req-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	for name, framing := range map[string]string{
		"both":             "Content-Length: %d\r\nTransfer-Encoding: chunked\r\n",
		"the other order":  "Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
		"in other letters": "Content-Length: %d\r\ntransfer-encoding:\tChunked\r\n",
		"folded":           "Content-Length: %d\r\nTransfer-Encoding:\r\n chunked\r\n",
		"of no known kind": "Content-Length: %d\r\nTransfer-Encoding: xchunked\r\n",
		"twice":            "Content-Length: %d\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":      "Content-Length: %d\r\nContent-Length: 0\r\n",
		"too long":         "X-Length: %d\r\nContent-Length: 99999999\r\n",
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
				t.Errorf("%s: status %d", name, resp.StatusCode)
			}
			if b, err := in.ReadByte(); err == nil {
				t.Errorf("%s: the connection goes on with %q", name, b)
			}
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}
