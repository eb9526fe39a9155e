package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
	"tuliprock/internal/testkit/testpeer"
)

// Responses that wait for slow clients must not take the memory of the process: those beyond the budget are not read, and short ones are
// not delayed by them.
func TestBufferedResponsesFitTheirMemory(t *testing.T) {
	const size = 32 << 10
	endpoint := testpeer.NewEndpoint(t, func(nc net.Conn, r *http.Request, _ int) bool {
		length := 2
		if r.URL.Path == "/long" {
			length = size
		}
		_, err := fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("z", length))
		return err == nil
	})
	pool := body.NewMemoryPool(2 * size)
	client := New(Options{MaxConnections: 10, ResponseMemory: pool, RequestStart: StartsWithLastByte})
	client.SetEndpoint("a", endpoint.Addr, true)
	attempt := func(path string, timeout time.Duration) (balance.Result, Response) {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		result, _, response := client.Attempt(ctx, "a", &Request{Method: "GET", Target: path, Host: "h"}, AttemptHooks{})
		return result, response
	}
	var held []Response
	for range 2 {
		result, response := attempt("/long", testpeer.Timeout)
		if result != balance.OK || len(response.Body) != size {
			t.Fatalf("a response within the budget ended as %v with %d bytes", result, len(response.Body))
		}
		held = append(held, response)
	}
	if result, _ := attempt("/long", 300*time.Millisecond); result != balance.Canceled {
		t.Errorf("a response beyond the budget ended as %v, want canceled, which does not count against the endpoint", result)
	}
	if result, response := attempt("/short", testpeer.Timeout); result != balance.OK || len(response.Body) != 2 {
		t.Errorf("a short response beside them ended as %v with %d bytes", result, len(response.Body))
	}
	_, _ = io.Discard.Write(held[0].Body) // the responses are in use until here
	clear(held)
	if result, _ := attempt("/long", testpeer.Timeout); result != balance.OK {
		t.Errorf("after the responses were written a further one ended as %v", result)
	}
}
