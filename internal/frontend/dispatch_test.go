package frontend

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// If the settings forbid cancelling attempts, an attempt in flight must go on until its response when its client disconnects, and
// its connection to the endpoint must stay open.
func TestForwardedRequestIsNotCancelledByDisconnect(t *testing.T) {
	received, respond := make(chan bool), make(chan bool)
	e := testpeer.NewEndpoint(t, func(conn net.Conn, _ *http.Request, n int) bool {
		if n == 1 {
			received <- true
			<-respond
		}
		io.WriteString(conn, testpeer.ResponseOK)
		return true
	})
	p := startProxy(t, proxyOptions{}, e.Addr)
	client := p.dialClient(t)
	io.WriteString(client, requestText("pay", "r1", ""))
	<-received
	disconnect(client, false)
	close(respond)
	p.awaitNoCalls(t)
	if got := p.sendRequest(t, requestText("pay", "r2", "")); got != http.StatusOK || e.Connections.Load() != 1 {
		t.Errorf("next request: status %d, %d connections to the endpoint, want 200 and 1", got, e.Connections.Load())
	}
}

// Nothing may be forwarded to an endpoint that begins to drain or is removed while a connection to it is dialed.
func TestRequestIsNotForwardedToEndpointRemovedDuringDial(t *testing.T) {
	for _, state := range []string{"Terminating", "Gone"} {
		t.Run(state, func(t *testing.T) {
			e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
			mayDial := make(chan struct{})
			p := startProxy(t, proxyOptions{canCancel: true, beforeDial: func() { <-mayDial }}, e.Addr)
			client := p.dialClient(t)
			io.WriteString(client, requestText("pay", "r1", ""))
			p.awaitDial(t)
			updated := make(chan bool)
			p.loop.Post(func(now time.Duration) {
				p.loop.UpdateEndpoints(now, listUpdate(t, state, []string{e.Addr}))
				close(updated)
			})
			<-updated
			close(mayDial)
			if got := readStatus(client); got != http.StatusServiceUnavailable {
				t.Errorf("status %d, want 503, since the request was not executed", got)
			}
			if n := e.Requests.Load(); n != 0 {
				t.Errorf("%d requests were forwarded, want 0", n)
			}
		})
	}
}

// A request with an idempotency key that may have been executed must not be forwarded again after its deduplication window, in which
// endpoints drop duplicates, even if the retry began to dial within the window.
func TestRetryIsNotForwardedAfterItsIdempotencyWindow(t *testing.T) {
	e := testpeer.NewEndpoint(t, func(net.Conn, *http.Request, int) bool { return false }) // false makes the endpoint close the connection without a response
	var dialCount atomic.Int32
	mayDialAgain := make(chan struct{})
	p := startProxy(t, proxyOptions{canCancel: true, beforeDial: func() {
		if dialCount.Add(1) > 1 {
			<-mayDialAgain
		}
	}}, e.Addr)
	client := p.dialClient(t)
	sentAt := time.Now()
	io.WriteString(client, requestText("book", "r1", ""))
	p.awaitDial(t)
	p.awaitDial(t)
	testpeer.Eventually(t, "the deduplication window has ended", func() bool { return time.Since(sentAt) > idempotencyWindow+100*time.Millisecond })
	close(mayDialAgain)
	// Status 503 would invite the client to retry, although the first attempt may have run and endpoints no longer drop that retry as a
	// duplicate.
	if got := readStatus(client); got != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("%d attempts reached the endpoint, want 1: only the first one is within the window", n)
	}
}
