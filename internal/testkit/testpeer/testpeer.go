// Package testpeer provides scripted peers on loopback for tests: HTTP/1.1 endpoints and a discovery agent. Only tests
// import it.
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

// Timeout is the time for which Eventually and other waits of tests wait for an event before the test fails. It is far longer than any
// event should take.
const Timeout = 20 * time.Second

// ResponseOK is a complete, successful HTTP/1.1 response, with the body "hi".
const ResponseOK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// Endpoint is an HTTP/1.1 server that reads each request completely and lets a test's function write the response.
type Endpoint struct {
	Addr        string       // address that the endpoint listens on, as host:port
	Listener    net.Listener // the endpoint's TCP listener, closed when the test ends
	Connections atomic.Int32 // number of connections accepted so far
	Requests    atomic.Int32 // number of complete requests received so far, over all connections
}

// NewEndpoint starts an Endpoint whose listener is closed when the test ends. For each complete request serve writes the
// response to nc; n is the number of requests received so far, this one included. If serve returns false, the connection is
// closed.
func NewEndpoint(tb testing.TB, serve func(nc net.Conn, r *http.Request, n int) bool) *Endpoint {
	tb.Helper()
	e := &Endpoint{}
	e.Listener = ServeTCP(tb, func(nc net.Conn) {
		e.Connections.Add(1)
		e.serveConn(nc, serve)
	})
	e.Addr = e.Listener.Addr().String()
	return e
}

// ServeTCP listens on a free loopback port until the test ends and calls serve for each connection on a goroutine of its own.
func ServeTCP(tb testing.TB, serve func(net.Conn)) net.Listener {
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

// serveConn reads requests from nc and passes each one to serve, until serve returns false or a request can't be read.
func (e *Endpoint) serveConn(nc net.Conn, serve func(net.Conn, *http.Request, int) bool) {
	defer nc.Close()
	reader := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(reader)
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

// RespondWith returns a function for NewEndpoint that writes the same bytes in response to every request, and then keeps
// the connection open if keepAlive is set.
func RespondWith(response string, keepAlive bool) func(net.Conn, *http.Request, int) bool {
	return func(nc net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(nc, response) // an error means that the client has disconnected, and the test decides whether that is a failure
		return keepAlive
	}
}

// Eventually checks a condition every millisecond and fails the test if the condition is still false after Timeout. The
// failure message contains the description of the condition.
func Eventually(tb testing.TB, description string, condition func() bool) {
	tb.Helper()
	for deadline := time.Now().Add(Timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			tb.Fatalf("condition not met within %v: %s", Timeout, description)
		}
	}
}

// CountOpenDescriptors returns the number of file descriptors that this process has open, sockets included.
func CountOpenDescriptors() int {
	descriptors, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		panic(err)
	}
	return len(descriptors)
}

// EncodeMembers encodes a discovery agent's message of the given list version. The message is a complete endpoint list if isComplete is
// set, else an update of the endpoints in entries. Each entry is a result of EncodeMember.
func EncodeMembers(version int, isComplete bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, isComplete, strings.Join(entries, ","))
}

// EncodeMember encodes one endpoint, as an entry for EncodeMembers. The endpoint is in zone "z" and cell 3, and is of kind "k" and weight 1.
func EncodeMember(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"z","kind":"k","cell":3,"state":%q,"weight":1.0,"started_ms":0}`, id, addr, state)
}

// ScriptedAgent is a discovery agent that responds to each request with the next of its Responses. Once all have been used, it
// leaves requests unanswered until the client disconnects.
type ScriptedAgent struct {
	Responses []string    // response bodies, in order; the suffix "SILENT" is not written, but keeps the response open until the client disconnects
	Queries   chan string // receives the raw query of each request, before the response is written
}

// ServeHTTP implements http.Handler. It sends the request's query to Queries and then writes the next of the Responses.
func (a *ScriptedAgent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.Queries <- r.URL.RawQuery
	if len(a.Responses) == 0 {
		<-r.Context().Done()
		return
	}
	response := a.Responses[0]
	a.Responses = a.Responses[1:]
	body, holdOpen := strings.CutSuffix(response, "SILENT")
	_, _ = io.WriteString(w, body) // an error means that the sidecar has disconnected; it polls again
	w.(http.Flusher).Flush()
	if holdOpen {
		<-r.Context().Done()
	}
}
