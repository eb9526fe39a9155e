package frontend

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/testkit/testpeer"
)

// A request that waits for memory is shed before its own deadline, and not only when a body's time is up.
func TestWaitForBodyMemoryEndsBeforeTheRequestsDeadline(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.Says(testpeer.Served, true))
	pool := body.NewMemoryPool(body.WindowSize)
	p := startProxy(t, proxyOptions{bodyMemory: pool}, e.Addr)
	if err := pool.Acquire(t.Context(), body.Size{Bytes: body.WindowSize}); err != nil {
		t.Fatal(err)
	}
	client := p.dialClient(t)
	sentAt := time.Now()
	io.WriteString(client, requestTextWithin("pay", "r1", "small", 200*time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	took := time.Since(sentAt)
	isShed := err == nil && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != ""
	if !isShed || took > testpeer.Patience/2 {
		t.Errorf("%v, %v after %v", resp, err, took)
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded", n)
	}
}
