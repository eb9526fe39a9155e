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
	"tuliprock/internal/testkit/testpeer"
)

// arrivalRecorder is an endpoint that records when each request arrived, by the kernel's clock: its reader may be late
// itself.
type arrivalRecorder struct {
	mu        sync.Mutex
	arrivedAt map[string]time.Time // by the request's id
}

func (a *arrivalRecorder) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		arrivedAt := time.Now()
		info, err := socketTCPInfo(conn.(*net.TCPConn))
		if err != nil {
			return
		}
		arrivedAt = arrivedAt.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		a.mu.Lock()
		a.arrivedAt[r.Header.Get("Req-Id")] = arrivedAt
		a.mu.Unlock()
		io.WriteString(conn, testpeer.Served)
	}
}

// Clients disconnect by FIN and by RST, at random instants, while their requests wait for memory, in the module, for a dial
// or for an endpoint's pause after a response: nothing is forwarded later than maxDelay after the disconnect, and nothing
// leaks. TULIPROCK_LEAVES sets how many clients of each class disconnect.
func TestThousandsOfClientsDisconnectWhileTheyWait(t *testing.T) {
	const maxDelay = 300 * time.Millisecond
	perClass := 500
	if value := os.Getenv("TULIPROCK_LEAVES"); value != "" {
		perClass, _ = strconv.Atoi(value)
	}
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) }) // after all others
	recorder := &arrivalRecorder{arrivedAt: map[string]time.Time{}}
	var addrs []string
	for range 3 {
		addrs = append(addrs, testpeer.Accept(t, recorder.serve).Addr().String())
	}
	options := proxyOptions{mayCancel: true, bodyMemory: body.NewMemoryPool(256 << 10), beforeDial: func() {
		<-time.After(randomUpTo(4 * time.Millisecond)) // a slow link, not a wait for an event
	}}
	p := startProxy(t, options, addrs...)
	descriptors := testpeer.Descriptors()
	disconnectedAt := disconnectMany(t, p.addr, perClass)
	p.awaitNoCalls(t)
	testpeer.Until(t, "no timer is left but the module's next", func() bool { _, timers := p.resourceCounts(); return timers <= 1 })
	testpeer.Until(t, "descriptors are closed, but for idle connections to endpoints, which have both ends here", func() bool {
		_, idle := p.upstream.ResourceCounts()
		return testpeer.Descriptors() <= descriptors+2*idle
	})
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	late, never, worst := 0, 0, time.Duration(0)
	for id, at := range disconnectedAt {
		arrived, ok := recorder.arrivedAt[id]
		switch delay := arrived.Sub(at); {
		case !ok:
			never++
		case delay > maxDelay:
			late++
			fallthrough
		default:
			worst = max(worst, delay)
		}
	}
	total := len(disconnectedAt)
	t.Logf("%d disconnected, %d of their requests were not forwarded, the latest %v after the disconnect", total, never, worst)
	if late > 0 || never == 0 || never == total {
		t.Errorf("%d were forwarded over %v after the disconnect; %d of %d were never forwarded", late, maxDelay, never, total)
	}
}

// disconnectMany sends requests of each class and disconnects at random instants. It returns when, by the request's id.
func disconnectMany(t *testing.T, addr string, perClass int) map[string]time.Time {
	t.Helper()
	const workers = 32
	short, long := strings.Repeat("x", 20<<10), strings.Repeat("x", body.WindowSize+1)
	contents := []string{short, "", short, "", long, "", short, ""}
	var mu sync.Mutex
	disconnectedAt := map[string]time.Time{}
	for _, class := range []string{"look", "book", "pay"} {
		var clients sync.WaitGroup
		for worker := range workers {
			clients.Go(func() {
				for i := worker; i < perClass; i += workers {
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
					io.WriteString(client, requestTextWithin(class, id, content, 2*time.Second)+[]string{"", "\r\n"}[i%2])
					<-time.After(randomUpTo(24 * time.Millisecond)) // the instant of the disconnect
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

// randomUpTo returns a random duration below most.
func randomUpTo(most time.Duration) time.Duration {
	return time.Duration(rand.Float64() * float64(most))
}
