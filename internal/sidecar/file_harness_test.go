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

// parseService reads an operators' file. Its classes are the same in all tests.
func parseService(t testing.TB, text string) config.Service {
	t.Helper()
	return parseFile(t, `format = 1
		class = [{ name = "look", effect = "safe", deadline = "20s" }, { name = "pay", effect = "unsafe", deadline = "20s" }]
		`+text)
}

func parseFile(t testing.TB, text string) config.Service {
	t.Helper()
	f, err := config.ParseFile("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f.Service()
}

// fileSidecar is a daemon on an operators' file.
type fileSidecar struct {
	*Sidecar
	terminate   context.CancelFunc
	serveResult chan error
}

func startFromFile(t testing.TB, c config.Service) *fileSidecar {
	t.Helper()
	s, err := Start(c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, term := context.WithCancel(context.Background())
	r := &fileSidecar{Sidecar: s, terminate: term, serveResult: make(chan error, 1)}
	go func() { r.serveResult <- s.Serve(ctx); close(r.serveResult) }()
	t.Cleanup(func() { term(); <-r.serveResult })
	return r
}

func (s *fileSidecar) addressOf(name string) string { return s.Addrs()[name].String() }

func (s *fileSidecar) reload(t testing.TB, text string) {
	t.Helper()
	if err := s.Reload(parseService(t, text)); err != nil {
		t.Fatal(err)
	}
}

// sendGet asks on a connection of its own, for a host.
func sendGet(t testing.TB, addr, host, target string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+target, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = host
	return roundTrip(t, r)
}

func roundTrip(t testing.TB, r *http.Request) (*http.Response, string) {
	t.Helper()
	tr := &http.Transport{DisableKeepAlives: true}
	resp, err := tr.RoundTrip(r)
	if err != nil {
		t.Error(err)
		return &http.Response{}, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp, string(text)
}

// echoEndpoint is an endpoint that gives its name and the request's line and headers back.
func echoEndpoint(t testing.TB, name string) string {
	t.Helper()
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintf(w, "%s %s %s\n", name, r.Method, r.RequestURI)
		_ = r.Header.Write(w)
	}))
	t.Cleanup(e.Close)
	return e.Listener.Addr().String()
}

func poolOf(name string, addrs ...string) string {
	text := "[[pool]]\nname = \"" + name + "\"\n"
	for _, a := range addrs {
		text += "[[pool.member]]\naddress = \"" + a + "\"\n"
	}
	return text
}

const listen1, listen2 = "[[listener]]\nname = \"one\"\naddress = \"127.0.0.1:0\"\n", "[[listener]]\nname = \"two\"\naddress = \"127.0.0.1:0\"\n"

const lookRoute = "[[route]]\npool = \"a\"\nclass = \"look\"\n"

// openConnection asks on a connection that stays open.
func openConnection(t testing.TB, addr string) (net.Conn, *bufio.Reader, *http.Response) {
	t.Helper()
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	in := bufio.NewReader(nc)
	return nc, in, sendOn(t, nc, in)
}

func sendOn(t testing.TB, nc net.Conn, in *bufio.Reader) *http.Response {
	t.Helper()
	nc.SetDeadline(time.Now().Add(testpeer.Patience))
	io.WriteString(nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Error(err)
		return &http.Response{}
	}
	io.Copy(io.Discard, resp.Body)
	return resp
}
