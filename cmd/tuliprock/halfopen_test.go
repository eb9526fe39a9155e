package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// Thousands of clients that connect and send half a request or none do not block others: operators and complete requests
// are answered, and the daemon keeps to its limit of descriptors.
func TestHalfOpenConnectionsDoNotBlockClientsOrOperators(t *testing.T) {
	const limit, half = 512, 2000
	p := newHotRestartStage(t, 1)
	d := p.startDaemon()
	d.awaitAdmin(t, "check", "SUCCESS")
	var open []net.Conn
	defer func() {
		for _, nc := range open {
			nc.Close()
		}
	}()
	answered := func(line, want string) {
		t.Helper()
		began := time.Now()
		if got := d.callAdmin(t, line); !strings.HasPrefix(got, want) {
			t.Errorf("%s with %d half open: %q", line, len(open), got)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s with %d half open: answered after %v", line, len(open), took)
		}
	}
	for i := range half {
		nc, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, nc)
		_, _ = io.WriteString(nc, []string{"", "GET /look HTTP/1.1\r\nReq-", "GET"}[i%3])
		if i%400 != 399 {
			continue
		}
		answered("check", "SUCCESS")
		answered("vars", "edge_router.")
		r, _ := http.NewRequest(http.MethodGet, "http://"+p.addr+"/look", nil)
		r.Header.Set("Req-Id", fmt.Sprint("real-", i))
		r.Header.Set("Req-Deadline-Ms", "20000")
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != http.StatusOK {
			t.Errorf("a caller that asks, with %d half open: %d", len(open), resp.StatusCode)
		}
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
		if err != nil || len(files) > limit {
			t.Errorf("%d descriptors of %d, %v", len(files), limit, err)
		}
	}
}

// descriptorCount is how many descriptors the process has open; 0 if it has exited.
func (p *stagedDaemon) descriptorCount() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(files)
}

// A hot restart among clients that connect and send half a request, with complete requests beside them: both processes
// together keep to the limit of descriptors, and no request is lost.
func TestHotRestartAmongHalfOpenConnectionsKeepsDescriptorLimit(t *testing.T) {
	const limit = 512
	p := newHotRestartStage(t, 2)
	first := p.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	callers := p.startLoad(4)
	callers.awaitServed(t, 20)
	ctx, stop := context.WithCancel(t.Context())
	var crowd sync.WaitGroup
	for range 8 {
		crowd.Go(func() {
			var open []net.Conn
			for i := 0; ctx.Err() == nil; i++ {
				nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.addr)
				if err != nil {
					break
				}
				_, _ = io.WriteString(nc, []string{"", "GET /look HTTP/1.1\r\nReq-"}[i%2])
				if open = append(open, nc); len(open) > 100 {
					open[0].Close()
					open = open[1:]
				}
				time.Sleep(2 * time.Millisecond)
			}
			for _, nc := range open {
				nc.Close()
			}
		})
	}
	most := 0
	watched := make(chan struct{})
	var others []*stagedDaemon
	var mu sync.Mutex
	go func() {
		defer close(watched)
		for ctx.Err() == nil {
			sum := 0
			mu.Lock()
			for _, d := range append([]*stagedDaemon{first}, others...) {
				sum += d.descriptorCount()
			}
			mu.Unlock()
			most = max(most, sum)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	testpeer.Eventually(t, "the crowd fills the first process", func() bool { return first.descriptorCount() > 200 })
	second := p.startDaemon()
	mu.Lock()
	others = append(others, second)
	mu.Unlock()
	second.awaitAdmin(t, "check", "SUCCESS")
	first.terminate(t)
	callers.awaitServed(t, 50)
	stop()
	crowd.Wait()
	<-watched
	p.stopLoad(callers)
	if most > limit {
		t.Errorf("%d descriptors of %d at once", most, limit)
	}
	second.terminate(t)
}
