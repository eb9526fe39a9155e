package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// Requests that are written at once wait behind one another, and so does their time: each must get its final answer within its deadline,
// counted from when it arrived.
func TestTimeOfRequestsWrittenAtOnceCountsFromTheirArrival(t *testing.T) {
	const (
		requests = 8
		deadline = 500 * time.Millisecond
	)
	endpoint := testpeer.NewEndpoint(t, func(nc net.Conn, _ *http.Request, _ int) bool {
		time.Sleep(200 * time.Millisecond)
		_, err := io.WriteString(nc, testpeer.ResponseOK)
		return err == nil
	})
	p := startProxy(t, proxyOptions{}, endpoint.Addr)
	stop := keepRequesting(t, p)
	defer stop()
	client := p.dialClient(t)
	for i := range requests {
		io.WriteString(client, requestTextWithDeadline("look", fmt.Sprint("r-", i), "", deadline))
	}
	sentAt, in := time.Now(), bufio.NewReader(client)
	served := 0
	for i := range requests {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if took := time.Since(sentAt); took > deadline+400*time.Millisecond {
			t.Errorf("response %d with status %d came after %v, want at most %v and some slack", i, resp.StatusCode, took, deadline)
		}
		if resp.StatusCode == http.StatusOK {
			served++
		}
	}
	if served == 0 || served == requests {
		t.Errorf("%d of %d requests were served, want some but not all", served, requests)
	}
}

// keepRequesting sends health checks on a connection of its own until stop is called: while a server serves nothing else, pauses between
// requests make it ask the kernel when each arrived.
func keepRequesting(t *testing.T, p *testProxy) (stop func()) {
	t.Helper()
	client := p.dialClient(t)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		in := bufio.NewReader(client)
		for {
			io.WriteString(client, "GET "+healthPath+" HTTP/1.1\r\nHost: h\r\n\r\n")
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
	}()
	return func() {
		client.Close()
		<-ended
	}
}

func TestReceiveClockBoundsArrival(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	type read struct{ began, ended, n, size int }
	for _, row := range []struct {
		name  string
		reads []read
		want  int
	}{
		{"a read that waited", []read{{0, 70, 100, 4096}}, 70},
		{"a second batch that waited", []read{{0, 70, 100, 4096}, {70, 900, 100, 4096}}, 900},
		{"bytes behind a full buffer arrived with it", []read{{0, 70, 4096, 4096}, {500, 500, 100, 4096}}, 70},
		{"a byte that was read ahead while a request was served", []read{{0, 70, 100, 4096}, {70, 90, 1, 1}, {900, 900, 100, 4096}}, 90},
		{"bytes that came after all was read", []read{{0, 70, 100, 4096}, {800, 800, 100, 4096}}, 70},
		{"a read that was interrupted had nothing to read", []read{{0, 70, 100, 4096}, {70, 790, 0, 1}, {800, 800, 100, 4096}}, 790},
	} {
		var clock receiveClock
		for _, r := range row.reads {
			clock.observe(at(r.began), at(r.ended), r.n, r.size)
		}
		if clock.arrivedAt != at(row.want) {
			t.Errorf("%s: arrived at %v, want %v", row.name, clock.arrivedAt.Sub(at(0)), at(row.want).Sub(at(0)))
		}
	}
	var first receiveClock
	first.observeFirst(at(900), 800*time.Millisecond, 100, 4096)
	if first.arrivedAt != at(100) {
		t.Errorf("the first bytes arrived at %v, want when the kernel received them", first.arrivedAt.Sub(at(0)))
	}
}

// However many pipelined requests are ready, the processor must be free for others most of the time, and none waits for long.
func TestPipelinePacerLimitsRateAndWait(t *testing.T) {
	var p pipelinePacer
	now := time.Unix(1000, 0)
	begun := 0
	for range 10_000 {
		wait := p.reserve(now)
		if wait > maxPipelineWait {
			t.Fatalf("a request waits %v, want at most %v", wait, maxPipelineWait)
		}
		if wait < maxPipelineWait {
			begun++
		}
	}
	if limit := int(maxPipelineWait/minPipelineSpacing) + 1; begun > limit {
		t.Errorf("%d requests begin within %v, want at most %d", begun, maxPipelineWait, limit)
	}
	if wait := p.reserve(now.Add(2 * maxPipelineWait)); wait != 0 {
		t.Errorf("a request after a pause waits %v, want none", wait)
	}
}
