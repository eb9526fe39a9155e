package kit2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that an endpoint has received.
type arrival struct {
	endpoint, id, class string
	beganAt, at         time.Duration // when its first and its last byte had come
}

// endpoint is a stand-in for a sort node. It answers each request with 200 after the time work.
type endpoint struct {
	env    *env
	id     string
	addr   string
	work   time.Duration
	answer int         // length of the answer's body at least
	isHung atomic.Bool // nothing is read or answered, and connections stay open

	mu       sync.Mutex
	arrivals []arrival
}

func (e *env) startEndpoint(id string, work time.Duration) *endpoint {
	l := e.listen()
	ep := &endpoint{env: e, id: id, addr: l.Addr().String(), work: work}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
			go ep.serve(conn)
		}
	}()
	return ep
}

func (e *env) startEndpoints(n int, work time.Duration) (endpoints []*endpoint, members []member) {
	for i := range n {
		ep := e.startEndpoint(fmt.Sprintf("node-%d", i+1), work)
		endpoints = append(endpoints, ep)
		members = append(members, member{ID: ep.id, Addr: ep.addr, Zone: "caboolture-depot", Kind: "front-std", Cell: 1, State: "Ready", Weight: 1})
	}
	return endpoints, members
}

// receiveBuffer is the size of the receive buffers of endpoints, the usual one at the beginning of a connection. It does not grow, so that
// it depends on no setting of the system how much an endpoint that hangs still takes in.
const receiveBuffer = 128 << 10

// gate is the receiving side of a connection; it receives nothing while the endpoint hangs.
type gate struct {
	net.Conn
	ep *endpoint
}

func (g gate) Read(b []byte) (int, error) {
	g.ep.waitWhileHung()
	n, err := g.Conn.Read(b)
	g.ep.waitWhileHung()
	return n, err
}

func (ep *endpoint) waitWhileHung() {
	for ep.isHung.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (ep *endpoint) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(gate{conn, ep})
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		beganAt := ep.env.now()
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		size, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
		a := arrival{ep.id, r.Header.Get("Req-Id"), class, beganAt, ep.env.now()}
		ep.mu.Lock()
		ep.arrivals = append(ep.arrivals, a)
		ep.mu.Unlock()
		ep.env.note("%s got %s %s id=%s body=%d deadline_ms=%s", ep.id, r.Method, r.RequestURI, a.id, size, r.Header.Get("Req-Deadline-Ms"))
		time.Sleep(ep.work)
		ep.waitWhileHung()
		body := "answer to " + a.id + "\n"
		if n := ep.answer - len(body); n > 0 {
			body += strings.Repeat("z", n)
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}

// got returns the requests that the endpoint has received.
func (ep *endpoint) got() []arrival {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	return append([]arrival(nil), ep.arrivals...)
}
