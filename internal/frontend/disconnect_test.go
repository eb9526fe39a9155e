package frontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/testkit/testpeer"
)

// If a client disconnects while the attempt of its request dials, the request must not be written once the connection is established.
// net/http does not notice these disconnects, because further bytes follow the request or the rest of a streaming body has not been
// read yet. A client that closes only its sending side before the end of its body must get status 400. The connection that was
// dialed must serve the next request.
func TestRequestOfDisconnectedClientIsNotForwarded(t *testing.T) {
	longBody := strings.Repeat("x", body.BufferSize+1<<10)
	for _, class := range []string{"look", "book", "pay"} {
		shortRequest := requestText(class, "r1", "")
		// The keys are names of cases. The values are the bytes that the client sends before and after the dial begins.
		requests := map[string][2]string{
			"short":                        {shortRequest},
			"short, then a stray line end": {shortRequest, "\r\n"},
			"short, then a second request": {shortRequest, requestText(class, "next", "")},
		}
		if class != "look" {
			requests["long"] = [2]string{requestText(class, "r1", longBody)}
			requests[incompleteBodyCase] = [2]string{strings.TrimSuffix(requestText(class, "r1", longBody), "x")}
		}
		for name, request := range requests {
			for _, disconnectMode := range []string{"FIN", "RST", halfClose} {
				t.Run(fmt.Sprintf("%s, %s, %s", class, name, disconnectMode), func(t *testing.T) {
					checkNotForwarded(t, class, request, disconnectMode, map[bool]int{true: http.StatusBadRequest}[name == incompleteBodyCase])
				})
			}
		}
	}
}

const (
	incompleteBodyCase = "long, without its last byte"
	halfClose          = "half-close"
)

// checkNotForwarded sends a request in two parts, disconnects while its attempt dials, and checks that nothing is forwarded.
// wantStatus is the status for a client that closes only its sending side; 0 means that it gets no response.
func checkNotForwarded(t *testing.T, class string, request [2]string, disconnectMode string, wantStatus int) {
	t.Helper()
	var forwardedBytes atomic.Int64 // number of bytes that the endpoint received
	endpoint := testpeer.ServeTCP(t, func(conn net.Conn) {
		defer conn.Close()
		for b := make([]byte, 1<<10); ; io.WriteString(conn, testpeer.ResponseOK) {
			n, err := conn.Read(b)
			if forwardedBytes.Add(int64(n)); err != nil {
				return
			}
		}
	})
	mayDial := make(chan struct{})
	options := proxyOptions{bodyMemory: body.NewMemoryPool(1 << 20), beforeDial: func() { <-mayDial }}
	p := startProxy(t, options, endpoint.Addr().String())
	client := p.dialClient(t)
	io.WriteString(client, request[0])
	p.awaitDial(t)
	io.WriteString(client, request[1])
	if disconnectMode == halfClose {
		_ = client.CloseWrite()
	} else {
		disconnect(client, disconnectMode == "RST")
	}
	close(mayDial)
	p.awaitNoCalls(t)
	if n := forwardedBytes.Load(); n != 0 {
		t.Errorf("%d bytes were written to the endpoint, want 0", n)
	}
	if got := readStatus(client); disconnectMode == halfClose && got != wantStatus {
		t.Errorf("status %d, want %d (0: no response)", got, wantStatus)
	}
	if got := p.sendRequest(t, requestText(class, "r2", "")); got != http.StatusOK || len(p.dialedAddrs) > 0 {
		t.Errorf("request of another client: status %d, %d more dials, want 200 and 0", got, len(p.dialedAddrs))
	}
}

// The client of a connection that this process has closed must not count as connected, although the kernel's state of a closed
// connection can't be read. Otherwise a request may be forwarded after its handler has noticed the disconnect and closed the
// connection: on a machine short of processor time 1 of 30,000 requests is forwarded 0.7 s after its client has disconnected.
func TestClientOfClosedConnectionIsNotConnected(t *testing.T) {
	conn := acceptIdleConn(t).conn
	r, err := http.NewRequestWithContext(withConn(t.Context(), conn), http.MethodGet, "/look", nil)
	if err != nil {
		t.Fatal(err)
	}
	if !isClientConnected(r) {
		t.Error("isClientConnected returned false for an open connection, want true")
	}
	conn.Close()
	if isClientConnected(r) {
		t.Error("isClientConnected returned true for a closed connection, want false")
	}
}

// A client may send far more requests than the receive window holds, and close its sending side. The kernel learns of the close only
// when all of them were read; until then none of them may be forwarded.
func TestRequestsOfClientWhoseCloseIsHiddenAreNotForwarded(t *testing.T) {
	var arrivals atomic.Int64
	e := testpeer.NewEndpoint(t, func(conn net.Conn, _ *http.Request, _ int) bool {
		arrivals.Add(1)
		_, err := io.WriteString(conn, testpeer.ResponseOK)
		return err == nil
	})
	p := startProxy(t, proxyOptions{}, e.Addr)
	client := p.dialClient(t)
	_ = client.SetDeadline(time.Now().Add(testpeer.Timeout))
	const count = 2000
	var requests strings.Builder
	for i := range count {
		requests.WriteString(strings.Replace(requestText("look", strconv.Itoa(i), ""), "Host: h", "Host: h\r\nX: "+strings.Repeat("x", 500), 1))
	}
	responses := make(chan int, 1)
	go func() {
		received, _ := io.ReadAll(client)
		responses <- strings.Count(string(received), "HTTP/1.1 ")
	}()
	io.WriteString(client, requests.String())
	_ = client.CloseWrite()
	arrivedBefore := arrivals.Load()
	got := <-responses // the daemon closes the connection once it has noticed the close
	if late := arrivals.Load() - arrivedBefore; late > 1 {
		t.Errorf("%d requests were forwarded after the client's close, want only the one in progress", late)
	}
	if got == 0 {
		t.Error("the client got no response, want some to the requests that were read before the close was noticed")
	}
}
