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
	got := make(chan *http.Request, 1)
	body := make(chan string, 1)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		body <- string(text)
		got <- r
		io.WriteString(w, "done")
	}))
	defer e.Close()
	s := startPlatform(t, e.Listener.Addr().String())
	r := s.request(t, http.MethodPost, "/book/a%2Fb?x=1&y=%20", "id-1", 4000)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader("parcel")), 6
	if status, text, _ := send(t, r); status != http.StatusOK || text != "done" {
		t.Errorf("%d %q", status, text)
	}
	in := <-got
	if b := <-body; in.Method != http.MethodPost || in.RequestURI != "/book/a%2Fb?x=1&y=%20" || b != "parcel" ||
		in.Header.Get("Req-Id") != "id-1" || in.Header.Get("Idempotency-Key") != "key-id-1" {
		t.Errorf("%s %s %v, body %q", in.Method, in.RequestURI, in.Header, b)
	}
	var left int
	if _, err := fmt.Sscan(in.Header.Get("Req-Deadline-Ms"), &left); err != nil || left < 1 || left >= 4000 {
		t.Errorf("the endpoint got a deadline of %d ms: %v", left, err)
	}
}

// A request that can't have run may be shed; one that may have run fails, and is sent only once.
func TestNonIdempotentRequestIsNotRetriedOnceSent(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith("", false))
	s := startPlatform(t, e.Addr, e.Addr, e.Addr)
	if status, _, _ := send(t, s.request(t, http.MethodPost, "/pay", "r1", 4000)); status != http.StatusBadGateway {
		t.Errorf("may have run: %d", status)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("sent %d times", n)
	}
	closed := testpeer.NewEndpoint(t, testpeer.RespondWith("", false))
	closed.Listener.Close()
	s = startPlatform(t, closed.Addr)
	status, _, h := send(t, s.request(t, http.MethodPost, "/pay", "r2", 4000))
	if status != http.StatusServiceUnavailable || h.Get("Retry-After") == "" {
		t.Errorf("never ran: %d %v", status, h)
	}
}

func TestSilentEndpointStillYieldsAResponse(t *testing.T) {
	e := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		_, _ = nc.Read(make([]byte, 1))
		return false
	})
	s := startPlatform(t, e.Addr)
	if status, _, _ := send(t, s.request(t, http.MethodPost, "/pay", "r1", 300)); status != http.StatusBadGateway {
		t.Errorf("status %d", status)
	}
}

func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	came, left := make(chan bool), make(chan bool)
	e := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		came <- true
		<-r.Context().Done()
		left <- true
	}))
	defer e.Close()
	s := startPlatform(t, e.Listener.Addr().String())
	ctx, leave := context.WithCancel(context.Background())
	go func() { <-came; leave() }()
	r := s.request(t, http.MethodGet, "/look", "r1", 60000).WithContext(ctx)
	if _, err := http.DefaultClient.Do(r); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	select {
	case <-left:
	case <-time.After(testpeer.Timeout):
		t.Error("the endpoint was left waiting")
	}
}

func TestDuplicateRequestIDLeavesTheFirstInFlight(t *testing.T) {
	e, came, release := newHeldEndpoint(t)
	s := startPlatform(t, e.Addr)
	first := make(chan int)
	go func() {
		status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "same", 60000))
		first <- status
	}()
	<-came
	if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "same", 60000)); status != http.StatusConflict {
		t.Errorf("second: %d", status)
	}
	close(release)
	if status := <-first; status != http.StatusOK {
		t.Errorf("first: %d", status)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}

func TestInvalidRequestReachesNoEndpoint(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startPlatform(t, e.Addr)
	const host, id, ms = " HTTP/1.1\r\nHost: h\r\n", "Req-Id: r1\r\n", "Req-Deadline-Ms: 1000\r\n"
	for name, text := range map[string]string{
		"noise":                     "\x01\x02 \x03\r\n\r\n",
		"no host":                   "GET /look HTTP/1.1\r\n" + id + ms + "\r\n",
		"no id":                     "GET /look" + host + ms + "\r\n",
		"an empty id":               "GET /look" + host + "Req-Id:\r\n" + ms + "\r\n",
		"two ids":                   "GET /look" + host + id + "Req-Id: r2\r\n" + ms + "\r\n",
		"an endless id":             "GET /look" + host + "Req-Id: " + strings.Repeat("x", 999) + "\r\n" + ms + "\r\n",
		"no deadline":               "GET /look" + host + id + "\r\n",
		"a deadline that's no time": "GET /look" + host + id + "Req-Deadline-Ms: soon\r\n\r\n",
		"a deadline of nothing":     "GET /look" + host + id + "Req-Deadline-Ms: 0\r\n\r\n",
		"a negative deadline":       "GET /look" + host + id + "Req-Deadline-Ms: -5\r\n\r\n",
		"an endless deadline":       "GET /look" + host + id + "Req-Deadline-Ms: 99999999999999999999\r\n\r\n",
		"a negative length":         "POST /pay" + host + id + ms + "Content-Length: -1\r\n\r\n",
		"a length that's no number": "POST /pay" + host + id + ms + "Content-Length: x\r\n\r\n",
		"an over-long body":         "POST /pay" + host + id + ms + "Content-Length: 33554433\r\n\r\n" + strings.Repeat("x", 70000),
		"a huge length, no body":    "POST /pay" + host + id + ms + "Content-Length: 3000000000\r\n\r\n",
		"chunks and a length":       "POST /pay" + host + id + ms + "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"chunks that are none":      "POST /pay" + host + id + ms + "Transfer-Encoding: chunked\r\n\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.0":                  "GET /look HTTP/1.0\r\nHost: h\r\n" + id + ms + "\r\n",
		"a class that nobody named": "POST /new" + host + id + ms + "Content-Length: 0\r\n\r\n",
		"a class in disguise":       "GET /loo%6b" + host + id + ms + "\r\n",
		"a whole URL of no class":   "GET http://h/" + host + id + ms + "\r\n",
		"a URL of another scheme":   "GET ftp://h/look" + host + id + ms + "\r\n",
		"a target not in ASCII":     "GET /look/\xff" + host + id + ms + "\r\n",
		"a safe class by POST":      "POST /look" + host + id + ms + "Content-Length: 0\r\n\r\n",
		"a keyed class by GET":      "GET /book" + host + id + ms + "Idempotency-Key: k\r\n\r\n",
		"two keys":                  "POST /book" + host + id + ms + "Idempotency-Key: k\r\nIdempotency-Key: l\r\nContent-Length: 0\r\n\r\n",
		"a safe class with a body":  "GET /look" + host + id + ms + "Content-Length: 2\r\n\r\nhi",
		"an over-long head":         "GET /look" + host + id + ms + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n",
		"a keyed class with no key": "POST /book" + host + id + ms + "Content-Length: 0\r\n\r\n",
		"another method":            "DELETE /look" + host + id + ms + "\r\n",
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
			t.Errorf("%s: status %d", name, resp.StatusCode)
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
	if status, _, _ := send(t, s.request(t, http.MethodGet, "/look", "r1", 4000)); status != http.StatusOK {
		t.Errorf("a good request afterwards: %d", status)
	}
}

// A body that never ends must not hold its connection, whatever else is wrong with the request.
func TestIncompleteRequestBodyTimesOut(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	shortTimeout := func(c *config.Service) { c.Listeners[0].BodyTimeout = 100 * time.Millisecond }
	s := startPlatformWith(t, "{}", []func(*config.Service){shortTimeout}, e.Addr)
	for name, fields := range map[string]string{"good": "Req-Id: r1\r\nReq-Deadline-Ms: 60000\r\n", "no id": ""} {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, "POST /pay HTTP/1.1\r\nHost: h\r\n"+fields+"Content-Length: 9\r\n\r\nhalf")
		nc.SetReadDeadline(time.Now().Add(testpeer.Timeout))
		text, err := io.ReadAll(nc) // to the end of the connection
		if err != nil || !strings.HasPrefix(string(text), "HTTP/1.1 400 ") {
			t.Errorf("%s: %q, %v", name, text, err)
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint", n)
	}
}
