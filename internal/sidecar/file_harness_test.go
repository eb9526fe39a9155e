package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tuliprock/internal/config"
	"tuliprock/internal/testkit/testpeer"
)

// parseService parses an operators' file and adds the request classes that all tests share: look, which is safe, and pay,
// which is not idempotent.
func parseService(tb testing.TB, text string) config.Service {
	tb.Helper()
	return parseFile(tb, `format = 1
		class = [{ name = "look", effect = "safe", deadline = "20s" }, { name = "pay", effect = "unsafe", deadline = "20s" }]
		`+text)
}

// parseFile parses a complete operators' file.
func parseFile(tb testing.TB, text string) config.Service {
	tb.Helper()
	f, err := config.ParseFile("test.toml", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	return f.Service()
}

// fileSidecar is a daemon that runs on an operators' file.
type fileSidecar struct {
	*Sidecar
	terminate   context.CancelFunc // begins the shutdown, as SIGTERM does
	serveResult chan error         // receives the error of Serve, and is then closed
}

// startFromFile starts a daemon with the configuration of an operators' file. It serves until the test ends.
func startFromFile(tb testing.TB, c config.Service) *fileSidecar {
	tb.Helper()
	s, err := Start(c, slog.New(slog.DiscardHandler))
	if err != nil {
		tb.Fatal(err)
	}
	terminate, serveResult := serveUntilCleanup(tb, s)
	return &fileSidecar{Sidecar: s, terminate: terminate, serveResult: serveResult}
}

// addressOf returns the address of the listener with a name.
func (s *fileSidecar) addressOf(name string) string { return s.Addrs()[name].String() }

// reload parses an operators' file with parseService and installs it.
func (s *fileSidecar) reload(tb testing.TB, text string) {
	tb.Helper()
	if err := s.Reload(parseService(tb, text)); err != nil {
		tb.Fatal(err)
	}
}

// sendGet sends a GET request with the given Host header and request target on a connection of its own, and returns the
// response and its body.
func sendGet(tb testing.TB, addr, host, target string) (*http.Response, string) {
	tb.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+target, nil)
	if err != nil {
		tb.Fatal(err)
	}
	r.Host = host
	return roundTrip(tb, r)
}

// roundTrip sends a request on a connection of its own, and returns the response and its body.
func roundTrip(tb testing.TB, r *http.Request) (*http.Response, string) {
	tb.Helper()
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		tb.Error(err)
		return &http.Response{}, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		tb.Error(err)
	}
	return resp, string(text)
}

// startEchoEndpoint starts an endpoint that responds with its name, the request line and the request's headers. It returns
// the endpoint's address.
func startEchoEndpoint(tb testing.TB, name string) string {
	tb.Helper()
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = fmt.Fprintf(w, "%s %s %s\n", name, r.Method, r.RequestURI)
		_ = r.Header.Write(w)
	}))
	tb.Cleanup(e.Close)
	return e.Listener.Addr().String()
}

// poolSection returns the section of an operators' file for a pool with the given members.
func poolSection(name string, addrs ...string) string {
	text := "[[pool]]\nname = \"" + name + "\"\n"
	for _, a := range addrs {
		text += "[[pool.member]]\naddress = \"" + a + "\"\n"
	}
	return text
}

// Sections of operators' files: two listeners, and routes that send all requests to pool a in the class look or pay.
const (
	listenerOne = "[[listener]]\nname = \"one\"\naddress = \"127.0.0.1:0\"\n"
	listenerTwo = "[[listener]]\nname = \"two\"\naddress = \"127.0.0.1:0\"\n"
	lookRoute   = "[[route]]\npool = \"a\"\nclass = \"look\"\n"
	payRoute    = "[[route]]\npool = \"a\"\nclass = \"pay\"\n"
)

// openConnection opens a connection, sends a request on it and reads the response. The connection stays open until the
// test ends.
func openConnection(tb testing.TB, addr string) (net.Conn, *bufio.Reader, *http.Response) {
	tb.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { nc.Close() })
	in := bufio.NewReader(nc)
	return nc, in, sendOn(tb, nc, in)
}

// sendOn sends a request on an open connection and reads the response and its body.
func sendOn(tb testing.TB, nc net.Conn, in *bufio.Reader) *http.Response {
	tb.Helper()
	nc.SetDeadline(time.Now().Add(testpeer.Timeout))
	io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		tb.Error(err)
		return &http.Response{}
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}
