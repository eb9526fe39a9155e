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

// Thousands of connections on which only part of a request arrives, or nothing, do not block other connections: operators'
// commands and complete requests get their responses, and the daemon does not exceed its limit of descriptors.
func TestHalfOpenConnectionsDoNotBlockClientsOrOperators(t *testing.T) {
	const (
		maxDescriptors = 512 // limit that the harness configures for the daemon
		connections    = 2000
	)
	h := newHotRestartHarness(t, 1)
	d := h.startDaemon()
	d.awaitAdmin(t, "check", "SUCCESS")
	var halfOpenConns []net.Conn
	defer func() {
		for _, nc := range halfOpenConns {
			nc.Close()
		}
	}()
	checkAdmin := func(line, want string) {
		t.Helper()
		start := time.Now()
		if got := d.callAdmin(t, line); !strings.HasPrefix(got, want) {
			t.Errorf("response to %s with %d half-open connections: %q, want it to begin with %q", line, len(halfOpenConns), got, want)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("response to %s with %d half-open connections came after %v, want at most 1 s", line, len(halfOpenConns), took)
		}
	}
	for i := range connections {
		nc, err := net.Dial("tcp", h.listenAddr)
		if err != nil {
			t.Fatal(err)
		}
		halfOpenConns = append(halfOpenConns, nc)
		_, _ = io.WriteString(nc, []string{"", "GET /look HTTP/1.1\r\nReq-", "GET"}[i%3])
		if i%400 != 399 {
			continue
		}
		checkAdmin("check", "SUCCESS")
		checkAdmin("vars", "edge_router.")
		r, _ := http.NewRequest(http.MethodGet, "http://"+h.listenAddr+"/look", nil)
		r.Header.Set("Req-Id", fmt.Sprint("real-", i))
		r.Header.Set("Req-Deadline-Ms", "20000")
		resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != http.StatusOK {
			t.Errorf("complete request with %d half-open connections: status %d, want 200", len(halfOpenConns), resp.StatusCode)
		}
		files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
		if err != nil || len(files) > maxDescriptors {
			t.Errorf("the daemon has %d open descriptors, error %v, want at most %d", len(files), err, maxDescriptors)
		}
	}
}

// countDescriptors returns the number of open descriptors of the process, or 0 after the process has exited.
func (d *harnessDaemon) countDescriptors() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	return len(files)
}

// During a hot restart some clients keep opening connections on which they send only part of a request, or nothing, and others
// send complete requests: the two processes together do not exceed the limit of descriptors, and no complete request is lost.
func TestHotRestartAmongHalfOpenConnectionsKeepsDescriptorLimit(t *testing.T) {
	const maxDescriptors = 512 // limit that the harness configures for both processes together
	h := newHotRestartHarness(t, 2)
	first := h.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	load := h.startLoad(4)
	load.awaitServed(t, 20)
	ctx, stop := context.WithCancel(t.Context())
	var halfOpenClients sync.WaitGroup
	for range 8 {
		halfOpenClients.Go(func() {
			var halfOpenConns []net.Conn
			for i := 0; ctx.Err() == nil; i++ {
				nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", h.listenAddr)
				if err != nil {
					break
				}
				_, _ = io.WriteString(nc, []string{"", "GET /look HTTP/1.1\r\nReq-"}[i%2])
				if halfOpenConns = append(halfOpenConns, nc); len(halfOpenConns) > 100 {
					halfOpenConns[0].Close()
					halfOpenConns = halfOpenConns[1:]
				}
				time.Sleep(2 * time.Millisecond)
			}
			for _, nc := range halfOpenConns {
				nc.Close()
			}
		})
	}
	peakDescriptors := 0
	watcherDone := make(chan struct{})
	var successors []*harnessDaemon // processes that replaced the first one by hot restarts; guarded by mu
	var mu sync.Mutex
	go func() {
		defer close(watcherDone)
		for ctx.Err() == nil {
			totalDescriptors := 0
			mu.Lock()
			for _, d := range append([]*harnessDaemon{first}, successors...) {
				totalDescriptors += d.countDescriptors()
			}
			mu.Unlock()
			peakDescriptors = max(peakDescriptors, totalDescriptors)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	testpeer.Eventually(t, "the first process has more than 200 open descriptors", func() bool { return first.countDescriptors() > 200 })
	second := h.startDaemon()
	mu.Lock()
	successors = append(successors, second)
	mu.Unlock()
	second.awaitAdmin(t, "check", "SUCCESS")
	first.terminate(t)
	load.awaitServed(t, 50)
	stop()
	halfOpenClients.Wait()
	<-watcherDone
	h.stopLoad(load)
	if peakDescriptors > maxDescriptors {
		t.Errorf("the processes had up to %d open descriptors together, want at most %d", peakDescriptors, maxDescriptors)
	}
	second.terminate(t)
}
