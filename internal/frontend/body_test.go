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

// A request that waits for body memory must be shed by its own deadline, which is shorter than BodyTimeout.
func TestWaitForBodyMemoryEndsBeforeTheRequestsDeadline(t *testing.T) {
	e := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	pool := body.NewMemoryPool(body.BufferSize)
	p := startProxy(t, proxyOptions{bodyMemory: pool}, e.Addr)
	if err := pool.Acquire(t.Context(), body.MemoryRequest{Bytes: body.BufferSize}); err != nil {
		t.Fatal(err)
	}
	client := p.dialClient(t)
	sentAt := time.Now()
	io.WriteString(client, requestTextWithDeadline("pay", "r1", "small", 200*time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	elapsed := time.Since(sentAt)
	isShed := err == nil && resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != ""
	if !isShed || elapsed > testpeer.Timeout/2 {
		t.Errorf("response %v, error %v after %v, want status 503 with a Retry-After within %v", resp, err, elapsed, testpeer.Timeout/2)
	}
	if n := e.Requests.Load(); n != 0 {
		t.Errorf("%d requests were forwarded, want 0", n)
	}
}
