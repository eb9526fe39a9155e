package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/testkit/testpeer"
)

func TestRoutesSelectPools(t *testing.T) {
	a, b := startEchoEndpoint(t, "A"), startEchoEndpoint(t, "B")
	s := startFromFile(t, parseService(t, listenerOne+listenerTwo+poolSection("a", a)+poolSection("b", a, b)+`
		[[route]]
		hosts = ["b.example", "*.b.example"]
		path_prefix = "/old/"
		replace_prefix = "/new/"
		remove_headers = ["X-Secret"]
		set_header = [{ name = "X-Pool", value = "b" }]
		pool = "a"
		class = "look"
		[[route]]
		hosts = ["a.example"]
		pool = "a"
		class = "look"
	`))
	if _, text := sendGet(t, s.addressOf("one"), "A.example:80", "/x/%61?q=%2f"); !strings.HasPrefix(text, "A GET /x/a?q=%2f\n") {
		t.Errorf("a.example: endpoint A got %q, want GET /x/a?q=%%2f", text)
	}
	r, _ := http.NewRequest(http.MethodGet, "http://"+s.addressOf("two")+"/old/thing?", nil)
	r.Host = "x.B.example."
	r.Header.Set("X-Secret", "s")
	r.Header.Set("X-Pool", "mine")
	_, text := roundTrip(t, r)
	if !strings.HasPrefix(text, "A GET /new/thing?\n") || strings.Contains(text, "Secret") || !strings.Contains(text, "X-Pool: b\r\n") {
		t.Errorf("x.b.example: endpoint A got %q, want GET /new/thing? with X-Pool: b and without X-Secret", text)
	}
	for target, want := range map[string]int{"/": 404, "/a//b": 400, "/a%2fb": 400, "/../x": 400, "/a;b": 400} {
		if resp, _ := sendGet(t, s.addressOf("one"), "c.example", target); resp.StatusCode != want {
			t.Errorf("%s: status %d, want %d", target, resp.StatusCode, want)
		}
	}
}

func TestForwardedHeadersDescribeTheClient(t *testing.T) {
	a := startEchoEndpoint(t, "A")
	const route = "[[route]]\npool = \"a\"\nclass = \"look\"\n"
	for mode, want := range map[string][]string{
		"set": {
			"Via: 1.0 x\r\nVia: 1.1 tuliprock", "X-Forwarded-For: 127.0.0.1\r\n", "X-Forwarded-Host: h\r\n",
			"X-Forwarded-Proto: http\r\n", "Forwarded: for=127.0.0.1;host=\"h\";proto=http\r\n",
		},
		"append": {
			"Via: 1.0 x\r\nVia: 1.1 tuliprock", "X-Forwarded-For: 6.6.6.6, 127.0.0.1\r\n", "X-Forwarded-Host: h\r\n",
			"Forwarded: for=6.6.6.6, for=127.0.0.1;host=\"h\";proto=http\r\n",
		},
		"drop":  {"Via: 1.0 x\r\nVia: 1.1 tuliprock"},
		"leave": {"Via: 1.0 x\r\n", "X-Forwarded-For: 6.6.6.6\r\n", "Forwarded: for=6.6.6.6\r\n", "X_forwarded_for: 7.7.7.7\r\n"},
	} {
		s := startFromFile(t, parseService(t, listenerOne+"forwarded = \""+mode+"\"\n"+poolSection("a", a)+route))
		r, _ := http.NewRequest(http.MethodGet, "http://"+s.addressOf("one")+"/", nil)
		r.Host = "h"
		for name, value := range map[string]string{
			"X-Forwarded-For": "6.6.6.6",
			"Forwarded":       "for=6.6.6.6",
			"X_Forwarded_For": "7.7.7.7",
			"Via":             "1.0 x",
			"Connection":      "X-Forwarded-Proto, X-Hop",
			"X-Hop":           "h",
			"Req-Deadline-Ms": "9000",
		} {
			r.Header.Set(name, value)
		}
		_, text := roundTrip(t, r)
		for _, line := range want {
			if !strings.Contains(text, line) {
				t.Errorf("forwarded = %s: the endpoint got %q, want it to contain %q", mode, text, line)
			}
		}
		if strings.Contains(text, "X-Hop") ||
			mode != "leave" && strings.Contains(text, "7.7.7.7") ||
			mode == "drop" && strings.Contains(text, "orwarded") ||
			strings.Contains(text, "Req-Deadline-Ms: 9000") || !strings.Contains(text, "Req-Id: ") {
			t.Errorf("forwarded = %s: the endpoint got headers that should be removed or changed, or no Req-Id: %q", mode, text)
		}
	}
}

// An endpoint's responses are forwarded unchanged, except for the statuses 503 and 429, which become 502: a client
// concludes from 503 and 429 that its request has not run, but an endpoint knows nothing of attempts at other
// endpoints.
func TestResponsesAreForwardedUnchanged(t *testing.T) {
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Own", "1")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		var status int
		if _, err := fmt.Sscan(r.URL.Path[1:], &status); err != nil {
			t.Error(err)
		}
		w.WriteHeader(status)
		if status != 204 && status != 304 {
			io.WriteString(w, "body")
		}
	}))
	defer e.Close()
	const postRoute = "[[route]]\nmethods = [\"POST\"]\npool = \"a\"\nclass = \"pay\"\n"
	s := startFromFile(t, parseService(t, listenerOne+poolSection("a", e.Listener.Addr().String())+postRoute+lookRoute))
	for _, c := range []struct {
		method string
		status int
		want   int
	}{
		{"GET", 200, 200}, {"GET", 204, 204}, {"GET", 302, 302}, {"GET", 304, 304}, {"GET", 404, 404}, {"GET", 500, 500},
		{"HEAD", 200, 200},
		{"POST", 201, 201}, {"POST", 409, 409}, {"POST", 500, 500}, {"POST", 502, 502}, {"POST", 503, 502}, {"POST", 429, 502},
	} {
		r, _ := http.NewRequest(c.method, fmt.Sprintf("http://%s/%d", s.addressOf("one"), c.status), nil)
		resp, text := roundTrip(t, r)
		if resp.StatusCode != c.want {
			t.Errorf("%s, endpoint's status %d: the client got status %d, want %d", c.method, c.status, resp.StatusCode, c.want)
		}
		if isForwarded := c.status == c.want; isForwarded != (resp.Header.Get("X-Own") == "1") || resp.Header.Get("X-Hop") != "" {
			t.Errorf("%s, endpoint's status %d: the client got headers %v, want X-Own only if forwarded (%v), and no X-Hop",
				c.method, c.status, resp.Header, isForwarded)
		}
		if hasBody := c.status == c.want && c.method != "HEAD" && c.status != 204 && c.status != 304; hasBody != (text == "body") {
			t.Errorf("%s, endpoint's status %d: the client got the body %q, want \"body\": %v", c.method, c.status, text, hasBody)
		}
		if c.method == "HEAD" && resp.ContentLength != 4 {
			t.Errorf("HEAD: Content-Length %d, want 4", resp.ContentLength)
		}
	}
}

// A request that its client marks as a retry does not count against its tenant's quota. The daemon trusts the mark only if
// the request class configures the header.
func TestRetryHeaderIsTrustedOnlyWhereConfigured(t *testing.T) {
	for header, want := range map[string]bool{"": false, "Req-Retry": true} {
		e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
		isRetry := make(chan bool, 1)
		newBalancer := func(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
			return &retryRecorder{Events: eventloop.NewBalancer(now, s, h), isRetry: isRetry}
		}
		c := parseService(t, listenerOne+poolSection("a", e.Addr)+lookRoute)
		c.Targets[0].Class.RetryHeader = header
		s, err := StartWith(newBalancer, c, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		r, _ := http.NewRequest(http.MethodGet, "http://"+s.Addrs()["one"].String()+"/", nil)
		r.Header.Set("Req-Retry", "1")
		roundTrip(t, r)
		if got := <-isRetry; got != want {
			t.Errorf("with the retry header %q: request treated as a retry: %v, want %v", header, got, want)
		}
		if err := s.shutDown(noSuccessor); err != nil {
			t.Error(err)
		}
	}
}

// retryRecorder passes all events to a balancer, and sends on isRetry whether each request is treated as a retry.
type retryRecorder struct {
	balance.Events
	isRetry chan bool // receives, for each request, whether it is treated as a retry
}

func (w *retryRecorder) Request(now time.Duration, r balance.Request) {
	w.isRetry <- r.IsRetry
	w.Events.Request(now, r)
}

// A request target that two parsers could interpret differently is rejected before routing.
func TestAmbiguousTargetsAreRejected(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	s := startFromFile(t, parseService(t, listenerOne+poolSection("a", e.Addr)+lookRoute))
	for name, text := range map[string]string{
		"two hosts":         "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
		"no host":           "GET / HTTP/1.1\r\n\r\n",
		"an absolute URL":   "GET http://a/ HTTP/1.1\r\nHost: b\r\n\r\n",
		"an authority":      "CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n",
		"an asterisk":       "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
		"an empty segment":  "GET /a//b HTTP/1.1\r\nHost: a\r\n\r\n",
		"an encoded slash":  "GET /a%2Fb HTTP/1.1\r\nHost: a\r\n\r\n",
		"encoded twice":     "GET /a%252fb HTTP/1.1\r\nHost: a\r\n\r\n",
		"above the root":    "GET /a/%2e%2e/../b HTTP/1.1\r\nHost: a\r\n\r\n",
		"a parameter":       "GET /a;x HTTP/1.1\r\nHost: a\r\n\r\n",
		"a backslash":       "GET /a\\b HTTP/1.1\r\nHost: a\r\n\r\n",
		"a fragment":        "GET /a?b#c HTTP/1.1\r\nHost: a\r\n\r\n",
		"a bad chunk size":  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n",
		"an over-long id":   "GET / HTTP/1.1\r\nHost: a\r\nReq-Id: " + strings.Repeat("x", 300) + "\r\n\r\n",
		"a huge deadline":   "GET / HTTP/1.1\r\nHost: a\r\nReq-Deadline-Ms: 99999999\r\n\r\n",
		"an empty deadline": "GET / HTTP/1.1\r\nHost: a\r\nReq-Deadline-Ms:\r\n\r\n",
	} {
		nc, err := net.Dial("tcp", s.addressOf("one"))
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(testpeer.Timeout))
		io.WriteString(nc, text)
		resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || resp.StatusCode < 400 || resp.StatusCode > 499 || resp.StatusCode == http.StatusTooManyRequests {
			t.Errorf("%s: response %+v, error %v, want 4xx other than 429", name, resp, err)
		}
		nc.Close()
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests reached the endpoint, want none", n)
	}
	if resp, _ := sendGet(t, s.addressOf("one"), "a", "/?x=/../;//"); resp.StatusCode != http.StatusOK {
		t.Errorf("a valid request afterwards: status %s, want 200", resp.Status)
	}
}
