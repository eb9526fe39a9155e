package sidecar

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// All ways in which the platform's clients frame a request are served, and each request reaches the endpoint as exactly one
// request.
func TestRequestsInAllFramingsAreForwardedOnce(t *testing.T) {
	type forwardedRequest struct {
		uri, host, body string
	}
	arrived := make(chan forwardedRequest, 10)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		arrived <- forwardedRequest{r.RequestURI, r.Host, string(body)}
		_, _ = io.WriteString(w, "hi")
	}))
	t.Cleanup(e.Close)
	s := startPlatform(t, e.Listener.Addr().String())
	const fields = " HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: 8000\r\n"
	longText := strings.Repeat("0123456789abcdef", 10<<10)
	for i, row := range []struct {
		name, text, uri, body string
		sentBytewise          bool // the client writes the request one byte at a time
	}{
		{"a length", "POST /pay" + fields + "Req-Id: %d\r\nContent-Length: 2\r\n\r\nhi", "/pay", "hi", false},
		{"a length, byte by byte", "POST /pay" + fields + "Req-Id: %d\r\nContent-Length: 2\r\n\r\nhi", "/pay", "hi", true},
		{"chunks", "POST /pay" + fields + "Req-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "/pay", "hi", false},
		{"chunks, byte by byte", "POST /pay" + fields + "Req-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n", "/pay", "hi", true},
		{"extensions and trailers", "POST /pay" + fields + "Req-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b;c=\"d\"\r\nhi\r\n0;e\r\nX-Sum: 1\r\n\r\n", "/pay", "hi", false},
		{"absolute form", "GET http://h/look/1?a=%%41" + fields + "Req-Id: %d\r\n\r\n", "/look/1?a=%41", "", false},
		{"absolute form with an upper-case scheme", "GET HTTP://h/look?x" + fields + "Req-Id: %d\r\n\r\n", "/look?x", "", false},
		{"a long body", "POST /pay" + fields + fmt.Sprintf("Req-Id: %%d\r\nContent-Length: %d\r\n\r\n", len(longText)) + longText, "/pay", longText, false},
		{"a long body in a chunk", "POST /pay" + fields + fmt.Sprintf("Req-Id: %%d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(longText)) + longText + "\r\n0\r\n\r\n", "/pay", longText, false},
	} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = nc.SetDeadline(time.Now().Add(testpeer.Timeout))
		text := fmt.Appendf(nil, row.text, i)
		go func() {
			if !row.sentBytewise {
				_, _ = nc.Write(text)
				return
			}
			for j := range text {
				_, _ = nc.Write(text[j : j+1])
				if j%16 == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		}()
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Errorf("%s: %v", row.name, err)
			nc.Close()
			continue
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || string(body) != "hi" {
			t.Errorf("%s: status %d, body %.80q, error %v, want 200 \"hi\"", row.name, resp.StatusCode, body, err)
		} else if got := <-arrived; got.uri != row.uri || got.body != row.body || got.host != "h" {
			t.Errorf("%s: the endpoint got %q for host %q with %d bytes, want %q for host \"h\" with %d bytes",
				row.name, got.uri, got.host, len(got.body), row.uri, len(row.body))
		}
		nc.Close()
	}
	// With Expect: 100-continue the client sends the body only after the interim response.
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(testpeer.Timeout))
	_, _ = fmt.Fprintf(nc, "POST /pay%sReq-Id: e\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", fields)
	in := bufio.NewReader(nc)
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("Expect: 100-continue: first line %q, error %v, want status 100", line, err)
	}
	_, _ = in.ReadString('\n')
	_, _ = io.WriteString(nc, "hi")
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("Expect: 100-continue: response %v, error %v, want 200", resp, err)
	}
	if got := <-arrived; got.body != "hi" {
		t.Errorf("Expect: 100-continue: the endpoint got the body %q, want \"hi\"", got.body)
	}
}

// The end of the connection may delimit a response without a length (RFC 9112, 6.3), but only if the response says
// Connection: close: otherwise the response could have been truncated.
func TestResponseEndsAtConnectionCloseOnlyIfAnnounced(t *testing.T) {
	longText := strings.Repeat("z", 200<<10)
	for name, row := range map[string]struct {
		text   string
		status int
		body   string
	}{
		"close":                {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", 200, "hello"},
		"close in a list":      {"HTTP/1.1 200 OK\r\nCONNECTION: x, Close\r\n\r\nhello", 200, "hello"},
		"an empty body":        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 200, ""},
		"a long body":          {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + longText, 200, longText},
		"no Connection header": {"HTTP/1.1 200 OK\r\n\r\nhello", 502, ""},
		"another token":        {"HTTP/1.1 200 OK\r\nConnection: closed\r\nX: close\r\n\r\nhello", 502, ""},
	} {
		e := testpeer.NewEndpoint(t, testpeer.RespondWith(row.text, false))
		s := startPlatform(t, e.Addr)
		status, body, _ := send(t, s.newRequest(t, http.MethodPost, "/pay", "1", 8000))
		if status != row.status || status == 200 && body != row.body {
			t.Errorf("%s: status %d with %d bytes, want status %d with %d bytes", name, status, len(body), row.status, len(row.body))
		}
		if n := e.Requests.Load(); n != 1 {
			t.Errorf("%s: %d attempts of a non-idempotent request, want 1", name, n)
		}
	}
}

// Streaming bodies in both directions at the same time arrive complete, and the memory for them is bounded.
func TestStreamingBodiesArriveCompleteInBoundedMemory(t *testing.T) {
	const bodySize, clients = 4 << 20, 24
	text := make([]byte, bodySize)
	for i := range text {
		text[i] = byte(rand.Uint32())
	}
	sum := sha256.Sum256(text)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		n, _ := io.Copy(h, r.Body)
		if n != bodySize || !bytes.Equal(h.Sum(nil), sum[:]) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(bodySize))
		_, _ = w.Write(text)
	}))
	t.Cleanup(e.Close)
	s := startPlatformWith(t, `{"memory_mb":96,"sockets":512}`, nil, e.Listener.Addr().String())
	var statsBefore, statsAfter runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&statsBefore)
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			r := s.newRequest(t, http.MethodPost, "/pay", fmt.Sprint(i), 20000)
			r.Body = io.NopCloser(bytes.NewReader(text))
			r.ContentLength = bodySize
			if i%2 == 0 {
				r.ContentLength = -1 // the body is sent in chunks
			}
			resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
			if err != nil {
				t.Errorf("client %d: %v", i, err)
				return
			}
			defer resp.Body.Close()
			h := sha256.New()
			n, err := io.Copy(h, resp.Body)
			// A request may be shed while the balancer's concurrency limit is reached, which starts at 6 attempts for the
			// one endpoint.
			isShed := resp.StatusCode == http.StatusServiceUnavailable
			if !isShed && (err != nil || resp.StatusCode != http.StatusOK || n != bodySize || !bytes.Equal(h.Sum(nil), sum[:])) {
				t.Errorf("client %d: status %d, %d bytes, error %v, want 200 and the %d bytes of the endpoint", i, resp.StatusCode, n, err, bodySize)
			}
		})
	}
	running.Wait()
	testpeer.Eventually(t, "no body memory is reserved", func() bool {
		reservedBytes, waiting := s.bodyMemory.InUse()
		return reservedBytes == 0 && waiting == 0
	})
	runtime.GC()
	runtime.ReadMemStats(&statsAfter)
	if growth := int64(statsAfter.HeapAlloc) - int64(statsBefore.HeapAlloc); growth > 24<<20 {
		t.Errorf("the heap has grown by %d bytes, want at most %d", growth, 24<<20)
	}
}

// The time limit of short responses must not apply while the beginning of a long response is buffered. When the daemon
// applied it there, it cut off 28 long responses that endpoints sent in pieces during one rehearsed day.
func TestLongResponseMayArriveSlowly(t *testing.T) {
	longText := strings.Repeat("z", 100<<10)
	for name, head := range map[string]string{
		"a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", len(longText)),
		"chunks":   fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(longText)),
		"a close":  "Connection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+head)
				// Sending the part that the daemon buffers takes longer than the time limit of short responses.
				for part := 0; part < len(longText); part += 10 << 10 {
					time.Sleep(100 * time.Millisecond)
					_, _ = io.WriteString(nc, longText[part:part+10<<10])
				}
				if name == "chunks" {
					_, _ = io.WriteString(nc, "\r\n0\r\n\r\n")
				}
				return name != "a close"
			})
			s := startPlatform(t, e.Addr)
			if status, body, _ := send(t, s.newRequest(t, http.MethodPost, "/pay", "1", 8000)); status != http.StatusOK || body != longText {
				t.Errorf("status %d with %d bytes, want 200 with %d bytes", status, len(body), len(longText))
			}
		})
	}
}
