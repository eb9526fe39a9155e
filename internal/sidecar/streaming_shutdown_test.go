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

// slowUpload begins an upload and returns its connection, to send on, and the response.
func slowUpload(t *testing.T, addr string, size int) (nc net.Conn, answer chan string) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	nc.SetDeadline(time.Now().Add(2 * testpeer.Timeout))
	_, _ = fmt.Fprintf(nc, "POST /up HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
	answer = make(chan string, 1)
	go func() {
		all, _ := io.ReadAll(nc)
		answer <- string(all)
	}()
	return nc, answer
}

// After SIGTERM streaming bodies may end; one that does not end in time is aborted so that its client notices.
func TestShutdownAbortsStreamsAfterDrainTimeout(t *testing.T) {
	began := make(chan bool, 10)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.Header().Set("Content-Length", "10000000")
			w.Write(textOf(1 << 20))
			w.(http.Flusher).Flush()
			began <- true
			<-r.Context().Done()
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, 1<<10)
		began <- true
		if n, _ := io.Copy(io.Discard, r.Body); n == 1<<20-1<<10 {
			_, _ = fmt.Fprint(w, "whole")
		}
	}))
	defer e.Close()
	file := "[daemon]\ndrain_timeout = \"1s\"\n" + streamingListener + poolOf("a", e.Listener.Addr().String()) + payRoute
	s := startFromFile(t, parseService(t, file))
	addr := s.addressOf("one")
	quick, quickAnswer := slowUpload(t, addr, 1<<20)
	quick.Write(textOf(64 << 10))
	stuck, stuckAnswer := slowUpload(t, addr, 1<<20)
	stuck.Write(textOf(64 << 10))
	early, earlyAnswer := slowUpload(t, addr, 1<<20) // of which the endpoint has got nothing yet
	early.Write(textOf(100))
	down := make(chan error, 1)
	go func() {
		resp, err := (&http.Transport{}).RoundTrip(newGetRequest("http://" + addr + "/down"))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		down <- err
	}()
	for range 3 {
		<-began
	}
	s.terminate()
	quick.Write(textOf(1 << 20)[64<<10:])
	if got := <-quickAnswer; !strings.HasPrefix(got, "HTTP/1.1 200 OK") || !strings.HasSuffix(got, "whole") {
		t.Errorf("an upload that ends in time: %q", got)
	}
	if got := <-stuckAnswer; !strings.HasPrefix(got, "HTTP/1.1 502 ") {
		t.Errorf("an upload that does not: %q", got)
	}
	if got := <-earlyAnswer; !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "Retry-After") {
		t.Errorf("an upload that has not reached the endpoint: %q", got)
	}
	if err := <-down; !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("a download: %v", err)
	}
	if err := <-s.serveResult; err != nil {
		t.Error(err)
	}
}

// A streaming upload goes on after a reload: it is served by the configuration that accepted it.
func TestReloadKeepsStreamingUpload(t *testing.T) {
	began := make(chan bool, 1)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.CopyN(io.Discard, r.Body, 1<<10)
		began <- true
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n+1<<10)
	}))
	defer e.Close()
	file := streamingListener + poolOf("a", e.Listener.Addr().String()) + payRoute
	s := startFromFile(t, parseService(t, file))
	nc, answer := slowUpload(t, s.addressOf("one"), 1<<20)
	nc.Write(textOf(64 << 10))
	<-began
	s.reload(t, strings.Replace(file, "body_bytes = 1073741824", "body_bytes = 100", 1)) // another server takes over the socket
	nc.Write(textOf(1 << 20)[64<<10:])
	// The response is complete when the connection ends, whether the old server closes it early or not.
	if got := <-answer; !strings.HasPrefix(got, "HTTP/1.1 200 OK") || !strings.HasSuffix(got, "1048576") {
		t.Errorf("%q", got)
	}
}

// An endpoint that begins to drain halfway finishes what it has, and gets nothing new.
func TestEndpointDrainKeepsStreamingUpload(t *testing.T) {
	began := make(chan bool, 1)
	var others atomic.Int32
	a := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			others.Add(1)
			return
		}
		_, _ = io.CopyN(io.Discard, r.Body, 1<<10)
		began <- true
		n, _ := io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprint(w, n+1<<10)
	}))
	defer a.Close()
	b := echoEndpoint(t, "B")
	one := "[[pool]]\nname = \"a\"\n[[pool.member]]\naddress = \"" + a.Listener.Addr().String() + "\"\n"
	s := startFromFile(t, parseService(t, streamingListener+one+payRoute))
	nc, answer := slowUpload(t, s.addressOf("one"), 1<<20)
	nc.Write(textOf(64 << 10))
	<-began
	s.reload(t, streamingListener+one+"state = \"draining\"\n[[pool.member]]\naddress = \""+b+"\"\n"+payRoute)
	for range 20 {
		sendGet(t, s.addressOf("one"), "h", "/")
	}
	nc.Write(textOf(1 << 20)[64<<10:])
	if got := <-answer; !strings.HasPrefix(got, "HTTP/1.1 200 OK") {
		t.Errorf("%q", got)
	}
	if n := others.Load(); n != 0 {
		t.Errorf("%d requests went to a member that drains", n)
	}
}

// A response that comes before the body's end is forwarded at once, and the rest of the body is discarded.
func TestEarlyResponseIsForwardedAtOnce(t *testing.T) {
	for _, status := range []int{200, 403, 413} {
		l := testpeer.ServeTCP(t, func(nc net.Conn) {
			_, _ = nc.Read(make([]byte, 1<<10))
			_, _ = fmt.Fprintf(nc, "HTTP/1.1 %d Early\r\nContent-Length: 5\r\n\r\nearly", status)
		})
		s := startFromFile(t, parseService(t, streamingListener+poolOf("a", l.Addr().String())+payRoute))
		nc, answer := slowUpload(t, s.addressOf("one"), 1<<30)
		nc.Write(textOf(64 << 10))
		got := <-answer // the body never ends, and the connection does
		if !strings.HasPrefix(got, fmt.Sprintf("HTTP/1.1 %d ", status)) || !strings.HasSuffix(got, "early") ||
			!strings.Contains(got, "Connection: close") {
			t.Errorf("%d: %q", status, got)
		}
	}
}

// Two hundred uploads that are too slow reach no endpoint, and do not disturb other clients.
func TestSlowUploadsAreRejectedBeforeAnEndpoint(t *testing.T) {
	var reached atomic.Int32
	e := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		if r.Method == http.MethodPost {
			reached.Add(1)
		}
		io.WriteString(nc, testpeer.ResponseOK)
		return true
	})
	s := startFromFile(t, parseService(t, streamingListener+"flow_idle = \"1s\"\n"+poolOf("a", e.Addr)+payRoute))
	var answers []chan string
	for range 200 {
		nc, answer := slowUpload(t, s.addressOf("one"), 1<<30)
		answers = append(answers, answer)
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
			t.Errorf("another client meanwhile: %s", resp.Status)
		}
	}
	for _, answer := range answers {
		if got := <-answer; !strings.HasPrefix(got, "HTTP/1.1 408 ") {
			t.Errorf("%q", got)
		}
	}
	if n := reached.Load(); n != 0 {
		t.Errorf("%d reached the endpoint", n)
	}
	if held, _ := s.bodyMemory.InUse(); held != 0 {
		t.Errorf("%d bytes are still reserved", held)
	}
}
