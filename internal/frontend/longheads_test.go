package frontend

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"tuliprock/internal/testkit/testpeer"
)

// Clients with long heads on all connections at once must not take the memory of the process: beyond the limit they are rejected, short
// heads are not, and a permit is free again when its request has ended.
func TestLongHeadsAtOnceAreLimited(t *testing.T) {
	endpoint := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	p := startProxy(t, proxyOptions{}, endpoint.Addr)
	const maxLongHeads = 3
	p.listener.SetMaxLongHeads(maxLongHeads)
	longFields := strings.Repeat("X-Field: "+strings.Repeat("v", 90)+"\r\n", 60)
	half := func(id string) string {
		request := requestText("look", id, "")
		return request[:len(request)-len("\r\n")] + longFields
	}
	for i := range maxLongHeads {
		client := p.dialClient(t)
		io.WriteString(client, half(fmt.Sprint("held-", i)))
		defer func() {
			io.WriteString(client, "\r\n")
			if status := readStatus(client); status != http.StatusOK {
				t.Errorf("a request with a long head within the limit got status %d, want 200", status)
			}
		}()
	}
	awaitLongHeads(t, p.listener, maxLongHeads)
	if status := p.sendRequest(t, half("over")+"\r\n"); status != http.StatusBadRequest {
		t.Errorf("a long head beyond the limit got status %d, want 400", status)
	}
	if status := p.sendRequest(t, requestText("look", "short", "")); status != http.StatusOK {
		t.Errorf("a short head beside them got status %d, want 200", status)
	}
}

// A permit that is not given back would make the daemon reject all long heads after a while.
func TestPermitOfLongHeadIsReturned(t *testing.T) {
	endpoint := testpeer.NewEndpoint(t, testpeer.RespondWith(testpeer.ResponseOK, true))
	p := startProxy(t, proxyOptions{}, endpoint.Addr)
	p.listener.SetMaxLongHeads(1)
	longFields := strings.Repeat("X-Field: "+strings.Repeat("v", 90)+"\r\n", 60)
	for i := range 5 {
		request := requestText("look", fmt.Sprint("r-", i), "")
		if status := p.sendRequest(t, request[:len(request)-len("\r\n")]+longFields+"\r\n"); status != http.StatusOK {
			t.Errorf("request %d got status %d, want 200", i, status)
		}
		awaitLongHeads(t, p.listener, 0)
		client := p.dialClient(t)
		io.WriteString(client, request[:len(request)-len("\r\n")]+longFields)
		awaitLongHeads(t, p.listener, 1)
		client.Close()
		awaitLongHeads(t, p.listener, 0)
	}
}

// awaitLongHeads waits until the given number of connections hold a permit for a long head.
func awaitLongHeads(t *testing.T, l *Listener, want int) {
	t.Helper()
	testpeer.Eventually(t, fmt.Sprint(want, " connections have a long head"), func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.longHeads.inUse == want
	})
}
