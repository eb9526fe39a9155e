// Package testpeer has scripted peers for tests: endpoints and a discovery on loopback. Only tests import it.
package testpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Timeout is a time that no test should come near.
const Timeout = 20 * time.Second

// ResponseOK is an endpoint's good answer.
const ResponseOK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// Endpoint accepts connections and hands each request that comes whole to a function, which returns false to close.
type Endpoint struct {
	Addr        string
	Listener    net.Listener
	Connections atomic.Int32
	Requests    atomic.Int32
}

// NewEndpoint starts an Endpoint that ends with the test. serve is told how many requests have come so far.
func NewEndpoint(tb testing.TB, serve func(nc net.Conn, r *http.Request, n int) bool) *Endpoint {
	tb.Helper()
	e := &Endpoint{}
	e.Listener = Accept(tb, func(nc net.Conn) {
		e.Connections.Add(1)
		e.run(nc, serve)
	})
	e.Addr = e.Listener.Addr().String()
	return e
}

// Accept starts a listener that ends with the test, and hands over each connection on a goroutine of its own.
func Accept(tb testing.TB, serve func(net.Conn)) net.Listener {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { l.Close() })
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go serve(nc)
		}
	}()
	return l
}

func (e *Endpoint) run(nc net.Conn, serve func(net.Conn, *http.Request, int) bool) {
	defer nc.Close()
	in := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !serve(nc, r, int(e.Requests.Add(1))) {
			return
		}
	}
}

// RespondWith answers every request with the same bytes, and keeps the connection or not.
func RespondWith(text string, stay bool) func(net.Conn, *http.Request, int) bool {
	return func(nc net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(nc, text) // a client that has left fails, or not, by its own test
		return stay
	}
}

// FreePort is a loopback address at which nobody listens just now.
func FreePort(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Eventually waits for a condition.
func Eventually(tb testing.TB, what string, ok func() bool) {
	tb.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			tb.Fatalf("never: %s", what)
		}
	}
}

// OpenDescriptors is how many files and sockets this process has open.
func OpenDescriptors() int {
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		panic(err)
	}
	return len(list)
}

// Members is a message from discovery.
func Members(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// Member is an entry of Members.
func Member(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z","kind":"k","cell":3,"state":%q,"weight":1.0,"started_ms":0}`, id, addr, state)
}

// ScriptedAgent answers each call with its next step and reports the call. Past the last step it says nothing.
type ScriptedAgent struct {
	Steps []string // lines; "SILENT" at the end holds the connection open
	Calls chan string
}

// ServeHTTP implements http.Handler.
func (s *ScriptedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.Calls <- r.URL.RawQuery
	if len(s.Steps) == 0 {
		<-r.Context().Done()
		return
	}
	step := s.Steps[0]
	s.Steps = s.Steps[1:]
	text, silent := strings.CutSuffix(step, "SILENT")
	_, _ = io.WriteString(w, text) // a sidecar that has left polls again
	w.(http.Flusher).Flush()
	if silent {
		<-r.Context().Done()
	}
}
