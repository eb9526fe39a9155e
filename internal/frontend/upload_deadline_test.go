package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/testkit/testpeer"
)

// A client's time begins with the last byte that it writes. An endpoint that takes a long body slowly, or not at all, leaves that byte
// in the buffers of the systems, where the daemon does not see it; the client must get its response in time nevertheless. A client
// that is slow itself keeps its time.
func TestResponseToUploadComesInTimeWhateverTheEndpointTakes(t *testing.T) {
	const deadline = 400 * time.Millisecond
	for _, row := range []struct {
		name           string
		size           int
		endpointPause  time.Duration // pause of the endpoint before each read of 16 KiB; 0: it reads at full speed
		clientPause    time.Duration // pause of the client before each write of an eighth of the body
		isServed       bool
		isChunked      bool
		expectsAtLeast time.Duration
	}{
		{name: "the endpoint takes nothing", size: 8 << 20, endpointPause: time.Hour},
		{name: "the endpoint takes nothing, chunked", size: 8 << 20, endpointPause: time.Hour, isChunked: true},
		{name: "the endpoint is slow", size: 8 << 20, endpointPause: 20 * time.Millisecond},
		{name: "the client is slow", size: 1 << 20, clientPause: deadline / 2, isServed: true, expectsAtLeast: 3 * deadline},
	} {
		t.Run(row.name, func(t *testing.T) {
			released := make(chan struct{})
			t.Cleanup(func() { close(released) })
			endpoint := testpeer.ServeTCP(t, func(conn net.Conn) {
				defer conn.Close()
				if row.endpointPause > 0 { // a full buffer of this size is read in bursts, with pauses of the system between them
					_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
				}
				r, err := http.ReadRequest(bufio.NewReaderSize(&slowReader{conn, row.endpointPause, released}, 16<<10))
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, r.Body); err == nil {
					io.WriteString(conn, testpeer.ResponseOK)
				}
			})
			p := startProxy(t, proxyOptions{canCancel: true, bodyMemory: body.NewMemoryPool(1 << 20),
				configure:      func(o *Options) { o.MaxBodyBytes = 64 << 20 },
				configureClass: func(c *Class) { c.MaxStreamDuration = time.Hour },
			}, endpoint.Addr().String())
			client := p.dialClient(t)
			_ = client.SetDeadline(time.Now().Add(testpeer.Timeout / 4))
			framing, content, end := fmt.Sprintf("Content-Length: %d\r\n\r\n", row.size), bytes.Repeat([]byte("x"), row.size), ""
			if row.isChunked {
				framing, end = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", row.size), "\r\n0\r\n\r\n"
			}
			_, _ = fmt.Fprintf(client, "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: a\r\nReq-Deadline-Ms: %d\r\n%s", deadline.Milliseconds(), framing)
			beganAt := time.Now()
			go func() {
				for part := row.size / 8; len(content) > 0; content = content[min(part, len(content)):] {
					time.Sleep(row.clientPause)
					client.Write(content[:min(part, len(content))])
				}
				io.WriteString(client, end)
			}()
			status := readStatus(client)
			if isServed := status == http.StatusOK; status == 0 || isServed != row.isServed || time.Since(beganAt) < row.expectsAtLeast {
				t.Errorf("status %d after %v, want a response that is 200 (%v), after %v at least", status, time.Since(beganAt), row.isServed, row.expectsAtLeast)
			}
		})
	}
}

// slowReader reads after a pause each time, until it is released.
type slowReader struct {
	io.Reader
	pause    time.Duration
	released <-chan struct{}
}

func (r *slowReader) Read(to []byte) (int, error) {
	select {
	case <-r.released:
		return 0, io.ErrClosedPipe
	case <-time.After(r.pause):
	}
	return r.Reader.Read(to)
}
