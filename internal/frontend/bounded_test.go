package frontend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/testkit/testpeer"
)

// The body of a health check is of no use. If it were read, clients could make the daemon hold bodies that no memory budget counts.
func TestHealthCheckWithBodyIsRejectedBeforeItsBodyIsRead(t *testing.T) {
	for name, framing := range map[string]string{
		"chunked": "Transfer-Encoding: chunked\r\n\r\n400\r\n",
		"length":  "Content-Length: 1024\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := startProxy(t, proxyOptions{bodyMemory: body.NewMemoryPool(1 << 20)})
			client := p.dialClient(t)
			_ = client.SetDeadline(time.Now().Add(testpeer.Timeout / 4)) // the daemon would wait for the body for longer
			io.WriteString(client, "POST /_health HTTP/1.1\r\nHost: h\r\n"+framing+"the body stops here")
			if status := readStatus(client); status != http.StatusBadRequest {
				t.Errorf("status %d, want %d", status, http.StatusBadRequest)
			}
		})
	}
}

// net/http reads the rest of a body that its handler has left, without a deadline. A client that stops in the middle of a request that
// is rejected would otherwise keep its connection for good.
func TestConnectionOfRejectedRequestIsClosedThoughItsBodyStops(t *testing.T) {
	for name, request := range map[string]string{
		"no route":        "POST /none HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nstops",
		"no id":           "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: 9000\r\nContent-Length: 1000\r\n\r\nstops",
		"no id, chunked":  "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: 9000\r\nTransfer-Encoding: chunked\r\n\r\n400\r\nstops",
		"no id, long":     "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Deadline-Ms: 9000\r\nContent-Length: 200000\r\n\r\nstops",
		"a health check":  "POST /_health HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nstops",
		"no memory, ever": "POST /pay HTTP/1.1\r\nHost: h\r\nReq-Id: a\r\nReq-Deadline-Ms: 9000\r\nContent-Length: 60000\r\n\r\nstops",
	} {
		t.Run(name, func(t *testing.T) {
			p := startProxy(t, proxyOptions{bodyMemory: body.NewMemoryPool(1 << 10)})
			client := p.dialClient(t)
			_ = client.SetDeadline(time.Now().Add(testpeer.Timeout / 4))
			io.WriteString(client, request)
			in := bufio.NewReader(client)
			resp, err := http.ReadResponse(in, nil)
			if err != nil || resp.StatusCode < 400 {
				t.Fatalf("response %v, error %v, want a rejection", resp, err)
			}
			if _, err := io.Copy(io.Discard, in); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection is still open, want it closed")
			}
		})
	}
}

// A client that sends requests and reads no response must not keep its connection: the daemon waits in a write then, and evicts no
// connection with an open request.
func TestClientThatReadsNoResponseIsDisconnected(t *testing.T) {
	for name, request := range map[string]string{
		"served by the daemon itself": "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n",
		"served by an endpoint":       requestText("look", "a", ""),
	} {
		t.Run(name, func(t *testing.T) {
			response := "HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("y", 60000)
			e := testpeer.NewEndpoint(t, testpeer.RespondWith(response, true))
			p := startProxy(t, proxyOptions{sendBufferBytes: 4 << 10, configure: func(o *Options) { o.WriteTimeout = 50 * time.Millisecond }}, e.Addr)
			client := p.dialClient(t)
			_ = client.SetReadBuffer(4 << 10)
			_ = client.SetWriteDeadline(time.Now().Add(testpeer.Timeout))
			requests, err := strings.Repeat(request, 1000), error(nil)
			for err == nil {
				_, err = io.WriteString(client, requests)
			}
			if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
				t.Error("the connection is still open, want it closed")
			}
		})
	}
}

// A client that sends requests at full speed which need no endpoint must not keep the processor from the requests of others.
func TestRequestsAnsweredWithoutEndpointArePaced(t *testing.T) {
	const count = 100
	p := startProxy(t, proxyOptions{})
	client := p.dialClient(t)
	_ = client.SetDeadline(time.Now().Add(testpeer.Timeout))
	beganAt := time.Now()
	io.WriteString(client, strings.Repeat("GET /_health HTTP/1.1\r\nHost: h\r\n\r\n", count))
	in := bufio.NewReader(client)
	for range count {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if took := time.Since(beganAt); took < (count-1)*minLocalSpacing {
		t.Errorf("%d requests were answered in %v, want at least %v", count, took, (count-1)*minLocalSpacing)
	}
}
