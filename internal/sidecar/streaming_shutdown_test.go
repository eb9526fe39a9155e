package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// startUpload sends the headers of an upload. The test sends the body on the returned connection. The channel receives all
// that the daemon sends, once the daemon has closed the connection.
func startUpload(t *testing.T, addr string, size int) (nc net.Conn, response chan string) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(2 * testpeer.Timeout))
	_, _ = fmt.Fprintf(nc, "POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	response = make(chan string, 1)
	go func() {
		daemonOutput, _ := io.ReadAll(nc)
		response <- string(daemonOutput)
	}()
	return nc, response
}

// After SIGTERM streaming bodies may still complete; a body that has not completed by the drain timeout is aborted in
// such a way that its client notices.
func TestShutdownAbortsStreamsAfterDrainTimeout(t *testing.T) {
	arrived := make(chan bool, 10)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Header().Set("Content-Length", "10000000")
			w.Write(longBody(1 << 20))
			w.(http.Flusher).Flush()
			arrived <- true
			<-r.Context().Done()
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, 1<<10)
		arrived <- true
		if n, _ := io.Copy(io.Discard, r.Body); n == 1<<20-1<<10 {
			_, _ = fmt.Fprint(w, "complete")
		}
	}))
	defer e.Close()
	file := "[daemon]\ndrain_timeout = \"1s\"\n" + streamingListener + poolSection("a", e.Listener.Addr().String()) + payRoute
	s := startFromFile(t, parseService(t, file))
	addr := s.addressOf("one")
	quickUpload, quickResponse := startUpload(t, addr, 1<<20)
	quickUpload.Write(longBody(64 << 10))
	stuckUpload, stuckResponse := startUpload(t, addr, 1<<20)
	stuckUpload.Write(longBody(64 << 10))
	// The daemon still buffers the first bytes of this upload when the shutdown begins.
	bufferedUpload, bufferedResponse := startUpload(t, addr, 1<<20)
	bufferedUpload.Write(longBody(100))
	download := make(chan error, 1)
	go func() {
		resp, err := (&http.Transport{}).RoundTrip(newGetRequest("http://" + addr + "/down"))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		download <- err
	}()
	for range 3 {
		<-arrived
	}
	s.terminate()
	quickUpload.Write(longBody(1 << 20)[64<<10:])
	if got := <-quickResponse; !strings.HasPrefix(got, "HTTP/1.1 200 OK") || !strings.HasSuffix(got, "complete") {
		t.Errorf("an upload that ends in time: response %q, want 200 \"complete\"", got)
	}
	if got := <-stuckResponse; !strings.HasPrefix(got, "HTTP/1.1 502 ") {
		t.Errorf("an upload that does not end in time: response %q, want 502", got)
	}
	if got := <-bufferedResponse; !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "Retry-After") {
		t.Errorf("an upload that has not reached the endpoint: response %q, want 503 with Retry-After", got)
	}
	if err := <-download; !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a download that does not end in time: error %v, want %v", err, io.ErrUnexpectedEOF)
	}
	if err := <-s.serveResult; err != nil {
		t.Error(err)
	}
}

// A streaming upload continues after a reload, under the configuration that accepted it.
func TestReloadKeepsStreamingUpload(t *testing.T) {
	arrived := make(chan bool, 1)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 1<<10)
		arrived <- true
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n+1<<10)
	}))
	defer e.Close()
	file := streamingListener + poolSection("a", e.Listener.Addr().String()) + payRoute
	s := startFromFile(t, parseService(t, file))
	nc, response := startUpload(t, s.addressOf("one"), 1<<20)
	nc.Write(longBody(64 << 10))
	<-arrived
	// The changed limit needs a new server, which takes over the socket.
	s.reload(t, strings.Replace(file, "body_bytes = 1073741824", "body_bytes = 100", 1))
	nc.Write(longBody(1 << 20)[64<<10:])
	// The old server may close the connection with the response or later; the response must be complete in both cases.
	if got := <-response; !strings.HasPrefix(got, "HTTP/1.1 200 OK") || !strings.HasSuffix(got, "1048576") {
		t.Errorf("response %q, want 200 and the length 1048576", got)
	}
}

// An endpoint that begins to drain during an upload completes the upload, and gets no new requests.
func TestEndpointDrainKeepsStreamingUpload(t *testing.T) {
	arrived := make(chan bool, 1)
	var newRequests atomic.Int32 // requests other than the upload that reach the draining endpoint
	a := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			newRequests.Add(1)
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, 1<<10)
		arrived <- true
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n+1<<10)
	}))
	defer a.Close()
	b := startEchoEndpoint(t, "B")
	poolText := poolSection("a", a.Listener.Addr().String())
	s := startFromFile(t, parseService(t, streamingListener+poolText+payRoute))
	nc, response := startUpload(t, s.addressOf("one"), 1<<20)
	nc.Write(longBody(64 << 10))
	<-arrived
	s.reload(t, streamingListener+poolText+"state = \"draining\"\n[[pool.member]]\naddress = \""+b+"\"\n"+payRoute)
	for range 20 {
		sendGet(t, s.addressOf("one"), "h", "/")
	}
	nc.Write(longBody(1 << 20)[64<<10:])
	if got := <-response; !strings.HasPrefix(got, "HTTP/1.1 200 OK") {
		t.Errorf("the upload: response %q, want 200", got)
	}
	if n := newRequests.Load(); n != 0 {
		t.Errorf("%d new requests reached the draining member, want none", n)
	}
}

// A response that comes before the end of the request's body is forwarded at once, and the rest of the body is discarded.
func TestEarlyResponseIsForwardedAtOnce(t *testing.T) {
	for _, status := range []int{200, 403, 413} {
		l := testpeer.ServeTCP(t, func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 1<<10))
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 %d Early\r\nContent-Length: 5\r\n\r\nearly", status)
		})
		s := startFromFile(t, parseService(t, streamingListener+poolSection("a", l.Addr().String())+payRoute))
		nc, response := startUpload(t, s.addressOf("one"), 1<<30)
		nc.Write(longBody(64 << 10))
		got := <-response // the daemon closes the connection after the response, although the body never ends
		if !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", status)) || !strings.HasSuffix(got, "early") ||
			!strings.Contains(got, "Connection: close") {
			t.Errorf("response %q, want status %d, \"early\" and Connection: close", got, status)
		}
	}
}

// Two hundred uploads that are too slow reach no endpoint, and do not disturb other clients.
func TestSlowUploadsAreRejectedBeforeAnEndpoint(t *testing.T) {
	var uploadsAtEndpoint atomic.Int32
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		if r.Method == http.MethodPost {
			uploadsAtEndpoint.Add(1)
		}
		io.WriteString(nc, testpeer.ResponseOK)
		return true
	})
	s := startFromFile(t, parseService(t, streamingListener+"flow_idle = \"1s\"\n"+poolSection("a", e.Addr)+payRoute))
	var responses []chan string
	for range 200 {
		nc, response := startUpload(t, s.addressOf("one"), 1<<30)
		responses = append(responses, response)
		go func() {
			for {
				if _, err := nc.Write([]byte("x")); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for range 50 {
		if resp, _ := sendGet(t, s.addressOf("one"), "h", "/"); resp.StatusCode != http.StatusOK {
			t.Errorf("another client during the slow uploads: status %s, want 200", resp.Status)
		}
	}
	for _, response := range responses {
		if got := <-response; !strings.HasPrefix(got, "HTTP/1.1 408 ") {
			t.Errorf("a slow upload: response %q, want 408", got)
		}
	}
	if n := uploadsAtEndpoint.Load(); n != 0 {
		t.Errorf("%d slow uploads reached the endpoint, want none", n)
	}
	if reservedBytes, _ := s.bodyMemory.InUse(); reservedBytes != 0 {
		t.Errorf("%d bytes of the body memory are still reserved, want none", reservedBytes)
	}
}
