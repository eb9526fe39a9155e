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

// All forms in which the platform's clients frame a request are served, and reach the endpoint as one request.
func TestPlatformRequestForms(t *testing.T) {
	type got struct {
		uri, host, body string
	}
	came := make(chan got, 10)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		came <- got{r.RequestURI, r.Host, string(body)}
		_, _ = io.WriteString(w, "hi")
	}))
	t.Cleanup(e.Close)
	s := startPlatform(t, e.Listener.Addr().String())
	const fields = " HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: 8000\r\n"
	big := strings.Repeat("0123456789abcdef", 10<<10)
	for i, row := range []struct {
		name, text, uri, body string
		pieces                bool
	}{
		{"a length", "POST /pay" + fields + "Req-Id: %d\r\nContent-Length: 2\r\n\r\nhi", "/pay", "hi", false},
		{"in pieces of a byte", "POST /pay" + fields + "Req-Id: %d\r\nContent-Length: 2\r\n\r\nhi", "/pay", "hi", true},
		{"chunks", "POST /pay" + fields + "Req-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "/pay", "hi", false},
		{"chunks in pieces", "POST /pay" + fields + "Req-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n", "/pay", "hi", true},
		{"extensions and trailers", "POST /pay" + fields + "Req-Id: %d\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b;c=\"d\"\r\nhi\r\n0;e\r\nX-Sum: 1\r\n\r\n", "/pay", "hi", false},
		{"absolute form", "GET http://h/look/1?a=%%41" + fields + "Req-Id: %d\r\n\r\n", "/look/1?a=%41", "", false},
		{"a query and no path", "GET HTTP://h/look?x" + fields + "Req-Id: %d\r\n\r\n", "/look?x", "", false},
		{"long", "POST /pay" + fields + fmt.Sprintf("Req-Id: %%d\r\nContent-Length: %d\r\n\r\n", len(big)) + big, "/pay", big, false},
		{"long, in chunks", "POST /pay" + fields + fmt.Sprintf("Req-Id: %%d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", len(big)) + big + "\r\n0\r\n\r\n", "/pay", big, false},
	} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = nc.SetDeadline(time.Now().Add(testpeer.Timeout))
		text := fmt.Appendf(nil, row.text, i)
		go func() {
			if !row.pieces {
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
		answer, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || string(answer) != "hi" {
			t.Errorf("%s: %d %.80q %v", row.name, resp.StatusCode, answer, err)
		} else if g := <-came; g.uri != row.uri || g.body != row.body || g.host != "h" {
			t.Errorf("%s: came as %q for %q with %d bytes", row.name, g.uri, g.host, len(g.body))
		}
		nc.Close()
	}
	// Expect: the body is sent only after the 100 response.
	nc, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(testpeer.Timeout))
	_, _ = fmt.Fprintf(nc, "POST /pay%sReq-Id: e\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", fields)
	in := bufio.NewReader(nc)
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("expects: %q, %v", line, err)
	}
	_, _ = in.ReadString('\n')
	_, _ = io.WriteString(nc, "hi")
	if resp, err := http.ReadResponse(in, nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("expects: %v, %v", resp, err)
	}
	if g := <-came; g.body != "hi" {
		t.Errorf("expects: %q came", g.body)
	}
}

// A response may end with its connection if it says so (RFC 9112, 6.3); one that does not could have been truncated.
func TestResponsesDelimitedByConnectionClose(t *testing.T) {
	big := strings.Repeat("z", 200<<10)
	for name, row := range map[string]struct {
		text   string
		status int
		body   string
	}{
		"it says so":           {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", 200, "hello"},
		"among others":         {"HTTP/1.1 200 OK\r\nCONNECTION: x, Close\r\n\r\nhello", 200, "hello"},
		"nothing":              {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", 200, ""},
		"a long one":           {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + big, 200, big},
		"it does not say so":   {"HTTP/1.1 200 OK\r\n\r\nhello", 502, ""},
		"it says another word": {"HTTP/1.1 200 OK\r\nConnection: closed\r\nX: close\r\n\r\nhello", 502, ""},
	} {
		e := testpeer.NewEndpoint(t, testpeer.RespondWith(row.text, false))
		s := startPlatform(t, e.Addr)
		status, body, _ := send(t, s.request(t, http.MethodPost, "/pay", "1", 8000))
		if status != row.status || status == 200 && body != row.body {
			t.Errorf("%s: %d, %d bytes", name, status, len(body))
		}
		if n := e.Requests.Load(); n != 1 {
			t.Errorf("%s: %d attempts of what may not run twice", name, n)
		}
	}
}

// Streaming bodies both ways at once arrive complete, and the memory for them is bounded.
func TestPlatformStreamingBodies(t *testing.T) {
	const size, clients = 4 << 20, 24
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(rand.Uint32())
	}
	sum := sha256.Sum256(text)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		n, _ := io.Copy(h, r.Body)
		if n != size || !bytes.Equal(h.Sum(nil), sum[:]) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(text)
	}))
	t.Cleanup(e.Close)
	s := startPlatformWith(t, `{"memory_mb":96,"sockets":512}`, nil, e.Listener.Addr().String())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var work sync.WaitGroup
	for i := range clients {
		work.Go(func() {
			r := s.request(t, http.MethodPost, "/pay", fmt.Sprint(i), 20000)
			r.Body = io.NopCloser(bytes.NewReader(text))
			r.ContentLength = size
			if i%2 == 0 {
				r.ContentLength = -1
			}
			resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
			if err != nil {
				t.Error(i, err)
				return
			}
			defer resp.Body.Close()
			h := sha256.New()
			n, err := io.Copy(h, resp.Body)
			refused := resp.StatusCode == http.StatusServiceUnavailable // there is memory for 12 requests at the start
			if !refused && (err != nil || resp.StatusCode != http.StatusOK || n != size || !bytes.Equal(h.Sum(nil), sum[:])) {
				t.Errorf("%d: %d, %d bytes, %v", i, resp.StatusCode, n, err)
			}
		})
	}
	work.Wait()
	testpeer.Eventually(t, "no memory is reserved", func() bool {
		held, waiting := s.bodyMemory.InUse()
		return held == 0 && waiting == 0
	})
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 24<<20 {
		t.Errorf("%d bytes stay", grown)
	}
}

// A regression test: the time limit of short responses applied while the beginning was buffered, and 28 long responses
// that arrived in pieces were cut off.
func TestLongResponseMayArriveSlowly(t *testing.T) {
	big := strings.Repeat("z", 100<<10)
	for name, head := range map[string]string{
		"a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", len(big)),
		"chunks":   fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(big)),
		"a close":  "Connection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
				_, _ = io.WriteString(nc, "HTTP/1.1 200 OK\r\n"+head)
				for part := 0; part < len(big); part += 10 << 10 { // the first window alone takes longer than short responses may
					time.Sleep(100 * time.Millisecond)
					_, _ = io.WriteString(nc, big[part:part+10<<10])
				}
				if name == "chunks" {
					_, _ = io.WriteString(nc, "\r\n0\r\n\r\n")
				}
				return name != "a close"
			})
			s := startPlatform(t, e.Addr)
			if status, body, _ := send(t, s.request(t, http.MethodPost, "/pay", "1", 8000)); status != http.StatusOK || body != big {
				t.Errorf("%d, %d bytes", status, len(body))
			}
		})
	}
}
