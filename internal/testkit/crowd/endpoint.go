package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Behavior is how an endpoint treats one request. A client encodes it in the query of its request, which the daemon forwards unchanged.
type Behavior struct {
	ReadRate     int           // bytes of the request's body that the endpoint reads in a second; 0: as fast as they come
	StopAfter    int           // bytes of the body after which the endpoint reads nothing more, until the connection ends; 0: it reads all
	Work         time.Duration // time from the request's last byte to the response's first
	ResponseSize int           // bytes of the response's body
	WriteRate    int           // bytes of the response that the endpoint writes in a second; 0: as fast as they are taken
	Pause        time.Duration // pause in the middle of the response's body
	IsChunked    bool          // the response is sent in chunks, without a length
}

// Query returns the behavior as the query of a request target.
func (b Behavior) Query() string {
	values := url.Values{}
	for name, value := range map[string]int{
		"read": b.ReadRate, "stop": b.StopAfter, "work_ms": int(b.Work.Milliseconds()), "answer": b.ResponseSize, "write": b.WriteRate,
		"pause_ms": int(b.Pause.Milliseconds()),
	} {
		if value > 0 {
			values.Set(name, strconv.Itoa(value))
		}
	}
	if b.IsChunked {
		values.Set("chunked", "1")
	}
	return values.Encode()
}

// behaviorOf returns the behavior that a request's query asks for. Values that can't be parsed count as 0.
func behaviorOf(query url.Values) Behavior {
	number := func(name string) int {
		n, _ := strconv.Atoi(query.Get(name))
		return n
	}
	return Behavior{
		ReadRate: number("read"), StopAfter: number("stop"), Work: time.Duration(number("work_ms")) * time.Millisecond,
		ResponseSize: number("answer"), WriteRate: number("write"), Pause: time.Duration(number("pause_ms")) * time.Millisecond,
		IsChunked: query.Get("chunked") != "",
	}
}

// paceInterval is the time between two parts of a body that is read or written at a rate.
const paceInterval = 20 * time.Millisecond

// Endpoint is a server at the level of bytes, which serves each request with the behavior that its query asks for. It counts the complete
// requests by id.
type Endpoint struct {
	Addr     string
	listener net.Listener

	mu    sync.Mutex
	runs  map[string]int // complete requests by Req-Id
	conns map[net.Conn]bool
}

// StartEndpoint starts an endpoint on a loopback address. Close ends it.
func StartEndpoint() (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{Addr: l.Addr().String(), listener: l, runs: map[string]int{}, conns: map[net.Conn]bool{}}
	go e.accept()
	return e, nil
}

// Close closes the listener and all connections.
func (e *Endpoint) Close() {
	e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		conn.Close()
	}
}

// Runs returns how often each request has arrived completely, by its id.
func (e *Endpoint) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runs))
	for id, n := range e.runs {
		runs[id] = n
	}
	return runs
}

func (e *Endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		go e.serve(conn)
	}
}

func (e *Endpoint) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	in := bufio.NewReaderSize(conn, 16<<10)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		b := behaviorOf(r.URL.Query())
		if !readBody(r.Body, b, conn) {
			return
		}
		e.mu.Lock()
		e.runs[r.Header.Get("Req-Id")]++
		e.mu.Unlock()
		time.Sleep(b.Work)
		if writeResponse(conn, r.Header.Get("Req-Id"), b) != nil {
			return
		}
	}
}

// readBody reads a request's body as the behavior says, and reports whether it was read to its end. An endpoint that stops reading waits
// until the connection ends, which it notices by a write that has no effect on a peer that still waits for a response.
func readBody(from io.Reader, b Behavior, conn net.Conn) bool {
	read := 0
	part := make([]byte, 64<<10)
	for {
		size := len(part)
		if b.ReadRate > 0 {
			time.Sleep(paceInterval)
			size = min(size, max(b.ReadRate*int(paceInterval)/int(time.Second), 1))
		}
		if b.StopAfter > 0 {
			if size = min(size, b.StopAfter-read); size == 0 {
				waitForEnd(conn)
				return false
			}
		}
		n, err := from.Read(part[:size])
		read += n
		if err == io.EOF {
			return true
		}
		if err != nil {
			return false
		}
	}
}

// stopLimit is the longest time for which an endpoint that stops reading keeps its connection open.
const stopLimit = 30 * time.Second

// waitForEnd waits until the peer resets the connection or stopLimit has passed. It reads nothing.
func waitForEnd(conn net.Conn) {
	for end := time.Now().Add(stopLimit); time.Now().Before(end) && !isReset(conn); {
		time.Sleep(paceInterval)
	}
}

// ResponseBody returns the body of the response to a request with the given id, of at least the given size.
func ResponseBody(id string, size int) string {
	mark := "response to " + id + "\n"
	if missing := size - len(mark); missing > 0 {
		return mark + strings.Repeat("z", missing)
	}
	return mark
}

// writeResponse writes the response to a request as the behavior says.
func writeResponse(conn net.Conn, id string, b Behavior) error {
	content := ResponseBody(id, b.ResponseSize)
	framing := fmt.Sprintf("Content-Length: %d", len(content))
	if b.IsChunked {
		framing = "Transfer-Encoding: chunked"
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n%s\r\n\r\n", framing); err != nil {
		return err
	}
	size, pauseAt := len(content), len(content)
	if b.Pause > 0 {
		pauseAt /= 2
	}
	if b.WriteRate > 0 {
		size = max(b.WriteRate*int(paceInterval)/int(time.Second), 1)
	}
	for written := 0; written < len(content); {
		if b.WriteRate > 0 {
			time.Sleep(paceInterval)
		}
		if written >= pauseAt {
			time.Sleep(b.Pause)
			pauseAt = len(content)
		}
		part := content[written:min(written+size, pauseAt)]
		written += len(part)
		if b.IsChunked {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
	}
	if b.IsChunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}
