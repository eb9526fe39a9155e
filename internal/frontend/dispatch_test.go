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

// A request that was forwarded before its client disconnected is not cancelled where settings forbid that: its response is
// waited for, and its connection stays open.
func TestForwardedRequestIsNotCancelledByDisconnect(t *testing.T) {
	received, respond := make(chan bool), make(chan bool)
	e := testpeer.NewEndpoint(t, func(conn net.Conn, _ *http.Request, n int) bool {
		if n == 1 {
			received <- true
			<-respond
		}
		io.WriteString(conn, testpeer.Served)
		return true
	})
	p := startProxy(t, proxyOptions{}, e.Addr)
	client := p.dialClient(t)
	io.WriteString(client, requestText("pay", "r1", ""))
	<-received
	disconnect(client, false)
	close(respond)
	p.awaitNoCalls(t)
	if got := p.status(t, requestText("pay", "r2", "")); got != http.StatusOK || e.Connections.Load() != 1 {
		t.Errorf("status %d, %d connections", got, e.Connections.Load())
	}
}

// Nothing is forwarded to an endpoint that is terminated or removed while a connection to it is dialed.
func TestRequestIsNotForwardedToEndpointRemovedDuringDial(t *testing.T) {
	for _, state := range []string{"Terminating", "Gone"} {
		t.Run(state, func(t *testing.T) {
			e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
			mayDial := make(chan struct{})
			p := startProxy(t, proxyOptions{mayCancel: true, beforeDial: func() { <-mayDial }}, e.Addr)
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
			if got := responseStatus(client); got != http.StatusServiceUnavailable {
				t.Errorf("status %d: it must be shed, for it was never executed", got)
			}
			if n := e.Requests.Load(); n != 0 {
				t.Errorf("%d requests were forwarded", n)
			}
		})
	}
}

// A request with an idempotency key that may have been executed is not forwarded once endpoints no longer drop its
// duplicates, even if its retry began to dial before.
func TestRetryIsNotForwardedAfterItsIdempotencyWindow(t *testing.T) {
	e := testpeer.NewEndpoint(t, func(net.Conn, *http.Request, int) bool { return false }) // a reset after the last byte
	var dials atomic.Int32
	mayDialAgain := make(chan struct{})
	p := startProxy(t, proxyOptions{mayCancel: true, beforeDial: func() {
		if dials.Add(1) > 1 {
			<-mayDialAgain
		}
	}}, e.Addr)
	client := p.dialClient(t)
	sentAt := time.Now()
	io.WriteString(client, requestText("book", "r1", ""))
	p.awaitDial(t)
	p.awaitDial(t)
	testpeer.Until(t, "the window has ended", func() bool { return time.Since(sentAt) > idempotencyWindow+100*time.Millisecond })
	close(mayDialAgain)
	if got := responseStatus(client); got != http.StatusServiceUnavailable { // of group "all"
		t.Errorf("status %d", got)
	}
	if n := e.Requests.Load(); n != 1 {
		t.Errorf("%d requests were forwarded, all but one after the window", n)
	}
}
