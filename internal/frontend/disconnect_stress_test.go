package frontend

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"tuliprock/internal/body"
	"tuliprock/internal/socketinfo"
	"tuliprock/internal/testkit/testpeer"
)

// arrivalRecorder is an endpoint that records when each request arrived. It uses the kernel's clock, since its own reads may be late.
type arrivalRecorder struct {
	mu        sync.Mutex
	arrivedAt map[string]time.Time // arrival times by the request's id
}

func (a *arrivalRecorder) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		arrivedAt := time.Now()
		state, err := socketinfo.Read(conn.(*net.TCPConn))
		if err != nil {
			return
		}
		arrivedAt = arrivedAt.Add(-state.SinceLastReceive())
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		a.mu.Lock()
		a.arrivedAt[r.Header.Get("Req-Id")] = arrivedAt
		a.mu.Unlock()
		io.WriteString(conn, testpeer.ResponseOK)
	}
}

// Clients disconnect by FIN and by RST at random instants, while their requests wait for body memory, in the balancer, for a dial, or
// for an endpoint that pauses after a response. No request may be forwarded later than maxDelay after its client's disconnect, and
// nothing may leak. The environment variable TULIPROCK_TEST_DISCONNECTS sets how many clients of each class disconnect.
func TestNoRequestIsForwardedLongAfterItsClientDisconnected(t *testing.T) {
	const maxDelay = 300 * time.Millisecond
	clientsPerClass := 500
	if value := os.Getenv("TULIPROCK_TEST_DISCONNECTS"); value != "" {
		clientsPerClass, _ = strconv.Atoi(value)
	}
	goroutinesBefore := goleak.IgnoreCurrent()
	// The leak check is registered first, so that it runs after all other cleanups.
	t.Cleanup(func() { goleak.VerifyNone(t, goroutinesBefore) })
	recorder := &arrivalRecorder{arrivedAt: map[string]time.Time{}}
	var addrs []string
	for range 3 {
		addrs = append(addrs, testpeer.ServeTCP(t, recorder.serve).Addr().String())
	}
	options := proxyOptions{canCancel: true, bodyMemory: body.NewMemoryPool(256 << 10), beforeDial: func() {
		<-time.After(randomUpTo(4 * time.Millisecond)) // the delay simulates a slow link; the test does not wait for an event here
	}}
	p := startProxy(t, options, addrs...)
	descriptorsBefore := testpeer.CountOpenDescriptors()
	disconnectedAt := sendAndDisconnect(t, p.addr, clientsPerClass)
	p.awaitNoCalls(t)
	testpeer.Eventually(t, "the balancer has at most one timer", func() bool { _, timers := p.resourceCounts(); return timers <= 1 })
	testpeer.Eventually(t, "all descriptors are closed, except both ends of idle connections to endpoints", func() bool {
		_, idle := p.upstream.ResourceCounts()
		return testpeer.CountOpenDescriptors() <= descriptorsBefore+2*idle
	})
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	lateCount, notForwardedCount, longestDelay := 0, 0, time.Duration(0)
	for id, at := range disconnectedAt {
		arrived, ok := recorder.arrivedAt[id]
		switch delay := arrived.Sub(at); {
		case !ok:
			notForwardedCount++
		case delay > maxDelay:
			lateCount++
			fallthrough
		default:
			longestDelay = max(longestDelay, delay)
		}
	}
	total := len(disconnectedAt)
	t.Logf("%d clients disconnected, %d of their requests were not forwarded, the latest was forwarded %v after the disconnect", total, notForwardedCount, longestDelay)
	if lateCount > 0 || notForwardedCount == 0 || notForwardedCount == total {
		t.Errorf("%d requests were forwarded later than %v after the disconnect, want 0; %d of %d were not forwarded, want some but not all", lateCount, maxDelay, notForwardedCount, total)
	}
}

// sendAndDisconnect sends requests of each class and disconnects at random instants. It returns the time of each client's disconnect by
// the request's id.
func sendAndDisconnect(t *testing.T, addr string, clientsPerClass int) map[string]time.Time {
	t.Helper()
	const workerCount = 32
	shortBody, longBody := strings.Repeat("x", 20<<10), strings.Repeat("x", body.BufferSize+1)
	contents := []string{shortBody, "", shortBody, "", longBody, "", shortBody, ""}
	var mu sync.Mutex
	disconnectedAt := map[string]time.Time{}
	for _, class := range []string{"look", "book", "pay"} {
		var clients sync.WaitGroup
		for worker := range workerCount {
			clients.Go(func() {
				for i := worker; i < clientsPerClass; i += workerCount {
					id := fmt.Sprint(class, i)
					client, err := net.Dial("tcp", addr)
					if err != nil {
						t.Error(err)
						return
					}
					content := ""
					if class != "look" {
						content = contents[i%len(contents)]
					}
					io.WriteString(client, requestTextWithDeadline(class, id, content, 2*time.Second)+[]string{"", "\r\n"}[i%2])
					<-time.After(randomUpTo(24 * time.Millisecond)) // delays the disconnect by a random time
					disconnect(client.(*net.TCPConn), i%3 == 0)
					mu.Lock()
					disconnectedAt[id] = time.Now()
					mu.Unlock()
				}
			})
		}
		clients.Wait()
	}
	return disconnectedAt
}

// randomUpTo returns a random duration less than limit.
func randomUpTo(limit time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(limit))
}
