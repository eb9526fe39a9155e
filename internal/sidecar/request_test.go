package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/testkit/testpeer"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	forwarded := make(chan *http.Request, 1)
	body := make(chan string, 1)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		body <- string(text)
		forwarded <- r
		io.WriteString(w, "done")
	}))
	defer e.Close()
	s := startPlatform(t, e.Listener.Addr().String())
	r := s.newRequest(t, http.MethodPost, "/book/a%2Fb?x=1&y=%20", "id-1", 4000)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader("parcel")), 6
	if status, text, _ := send(t, r); status != http.StatusOK || text != "done" {
		t.Errorf("response %d %q, want 200 \"done\"", status, text)
	}
	got := <-forwarded
	if b := <-body; got.Method != http.MethodPost || got.RequestURI != "/book/a%2Fb?x=1&y=%20" || b != "parcel" ||
		got.Header.Get("Req-Id") != "id-1" || got.Header.Get("Idempotency-Key") != "key-id-1" {
		t.Errorf("the endpoint got %s %s %v, body %q, want the client's method, URI, Req-Id, Idempotency-Key and body", got.Method, got.RequestURI, got.Header, b)
	}
	var remainingMs int
	if _, err := fmt.Sscan(got.Header.Get("Req-Deadline-Ms"), &remainingMs); err != nil || remainingMs < 1 || remainingMs >= 4000 {
		t.Errorf("the endpoint got a deadline of %d ms (error %v), want 1 to 3999 ms", remainingMs, err)
	}
}

// A non-idempotent request that an endpoint may have run fails with 502 and is sent only once; one that never reached an
// endpoint is shed with 503 and Retry-After.
func TestNonIdempotentRequestIsNotRetriedOnceSent(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith("", false))
	s := startPlatform(t, e.Addr, e.Addr, e.Addr)
	if status, _, _ := send(t, s.newRequest(t, http.MethodPost, "/pay", "r1", 4000)); status != http.StatusBadGateway {
		t.Errorf("a request that may have run: status %d, want 502", status)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("the request was sent %d times, want once", n)
	}
	closedEndpoint := testpeer.NewEndpoint(t, testpeer.RespondWith("", false))
	closedEndpoint.Listener.Close()
	s = startPlatform(t, closedEndpoint.Addr)
	status, _, h := send(t, s.newRequest(t, http.MethodPost, "/pay", "r2", 4000))
	if status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Errorf("a request that was never sent: status %d, headers %v, want 503 with Retry-After", status, h)
	}
}

// An endpoint that accepts a request and never responds must not keep the client without a response.
func TestSilentEndpointStillYieldsAResponse(t *testing.T) {
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		_, _ = nc.Read(make([]byte, 1))
		return false
	})
	s := startPlatform(t, e.Addr)
	if status, _, _ := send(t, s.newRequest(t, http.MethodPost, "/pay", "r1", 300)); status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", status)
	}
}

func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	arrived, canceled := make(chan bool), make(chan bool)
	e := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- true
		<-r.Context().Done()
		canceled <- true
	}))
	defer e.Close()
	s := startPlatform(t, e.Listener.Addr().String())
	ctx, disconnect := context.WithCancel(context.Background())
	go func() { <-arrived; disconnect() }()
	r := s.newRequest(t, http.MethodGet, "/look", "r1", 60000).WithContext(ctx)
	if _, err := http.DefaultClient.Do(r); !errors.Is(err, context.Canceled) {
		t.Errorf("the client got error %v, want %v", err, context.Canceled)
	}
	select {
	case <-canceled:
	case <-time.After(testpeer.Timeout):
		t.Error("the attempt was not cancelled")
	}
}

func TestDuplicateRequestIDLeavesTheFirstInFlight(t *testing.T) {
	e, arrived, release := newBlockingEndpoint(t)
	s := startPlatform(t, e.Addr)
	firstStatus := make(chan int)
	go func() {
		status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", "same", 60000))
		firstStatus <- status
	}()
	<-arrived
	if status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", "same", 60000)); status != http.StatusConflict {
		t.Errorf("the second request: status %d, want 409", status)
	}
	close(release)
	if status := <-firstStatus; status != http.StatusOK {
		t.Errorf("the first request: status %d, want 200", status)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint, want 1", n)
	}
}

func TestInvalidRequestReachesNoEndpoint(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatform(t, e.Addr)
	const versionAndHost, idLine, deadlineLine = " HTTP/1.1\r\nHost: h\r\n", "Req-Id: r1\r\n", "Req-Deadline-Ms: 1000\r\n"
	for name, text := range map[string]string{
		"binary garbage":            "\x01\x02 \x03\r\n\r\n",
		"no host":                   "GET /look HTTP/1.1\r\n" + idLine + deadlineLine + "\r\n",
		"no id":                     "GET /look" + versionAndHost + deadlineLine + "\r\n",
		"an empty id":               "GET /look" + versionAndHost + "Req-Id:\r\n" + deadlineLine + "\r\n",
		"two ids":                   "GET /look" + versionAndHost + idLine + "Req-Id: r2\r\n" + deadlineLine + "\r\n",
		"an over-long id":           "GET /look" + versionAndHost + "Req-Id: " + strings.Repeat("x", 999) + "\r\n" + deadlineLine + "\r\n",
		"no deadline":               "GET /look" + versionAndHost + idLine + "\r\n",
		"a non-numeric deadline":    "GET /look" + versionAndHost + idLine + "Req-Deadline-Ms: soon\r\n\r\n",
		"a zero deadline":           "GET /look" + versionAndHost + idLine + "Req-Deadline-Ms: 0\r\n\r\n",
		"a negative deadline":       "GET /look" + versionAndHost + idLine + "Req-Deadline-Ms: -5\r\n\r\n",
		"an overflowing deadline":   "GET /look" + versionAndHost + idLine + "Req-Deadline-Ms: 99999999999999999999\r\n\r\n",
		"a negative length":         "POST /pay" + versionAndHost + idLine + deadlineLine + "Content-Length: -1\r\n\r\n",
		"a non-numeric length":      "POST /pay" + versionAndHost + idLine + deadlineLine + "Content-Length: x\r\n\r\n",
		"an over-long body":         "POST /pay" + versionAndHost + idLine + deadlineLine + "Content-Length: 33554433\r\n\r\n" + strings.Repeat("x", 70000),
		"a huge length, no body":    "POST /pay" + versionAndHost + idLine + deadlineLine + "Content-Length: 3000000000\r\n\r\n",
		"chunks and a length":       "POST /pay" + versionAndHost + idLine + deadlineLine + "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"malformed chunks":          "POST /pay" + versionAndHost + idLine + deadlineLine + "Transfer-Encoding: chunked\r\n\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.0":                  "GET /look HTTP/1.0\r\nHost: h\r\n" + idLine + deadlineLine + "\r\n",
		"an unknown class":          "POST /new" + versionAndHost + idLine + deadlineLine + "Content-Length: 0\r\n\r\n",
		"an encoded class":          "GET /loo%6b" + versionAndHost + idLine + deadlineLine + "\r\n",
		"an absolute URL, no class": "GET http://h/" + versionAndHost + idLine + deadlineLine + "\r\n",
		"a URL of another scheme":   "GET ftp://h/look" + versionAndHost + idLine + deadlineLine + "\r\n",
		"a target not in ASCII":     "GET /look/\xff" + versionAndHost + idLine + deadlineLine + "\r\n",
		"a safe class by POST":      "POST /look" + versionAndHost + idLine + deadlineLine + "Content-Length: 0\r\n\r\n",
		"book by GET":               "GET /book" + versionAndHost + idLine + deadlineLine + "Idempotency-Key: k\r\n\r\n",
		"two keys":                  "POST /book" + versionAndHost + idLine + deadlineLine + "Idempotency-Key: k\r\nIdempotency-Key: l\r\nContent-Length: 0\r\n\r\n",
		"a safe class with a body":  "GET /look" + versionAndHost + idLine + deadlineLine + "Content-Length: 2\r\n\r\nhi",
		"an over-long head":         "GET /look" + versionAndHost + idLine + deadlineLine + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"book with no key":          "POST /book" + versionAndHost + idLine + deadlineLine + "Content-Length: 0\r\n\r\n",
		"another method":            "DELETE /look" + versionAndHost + idLine + deadlineLine + "\r\n",
	} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		go io.WriteString(nc, text)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil {
			t.Errorf("%s: %v", name, err)
		} else if resp.StatusCode < 400 || resp.StatusCode > 499 || resp.StatusCode == http.StatusTooManyRequests {
			t.Errorf("%s: status %d, want 4xx other than 429", name, resp.StatusCode)
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint, want none", n)
	}
	if status, _, _ := send(t, s.newRequest(t, http.MethodGet, "/look", "r1", 4000)); status != http.StatusOK {
		t.Errorf("a valid request afterwards: status %d, want 200", status)
	}
}

// A request whose body stays incomplete is rejected after the body timeout and its connection is closed, also if the
// request has other defects.
func TestIncompleteRequestBodyTimesOut(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	setShortTimeout := func(c *config.Service) { c.Listeners[0].BodyTimeout = 100 * time.Millisecond }
	s := startPlatformWith(t, "{}", []func(*config.Service){setShortTimeout}, e.Addr)
	for name, fields := range map[string]string{"valid headers": "Req-Id: r1\r\nReq-Deadline-Ms: 60000\r\n", "no id": ""} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, "POST /pay HTTP/1.1\r\nHost: h\r\n"+fields+"Content-Length: 9\r\n\r\nhalf")
		nc.SetReadDeadline(time.Now().Add(testpeer.Timeout))
		text, err := io.ReadAll(nc) // the read ends when the daemon has closed the connection
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 400 ") {
			t.Errorf("%s: response %q, error %v, want status 400", name, text, err)
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint, want none", n)
	}
}
