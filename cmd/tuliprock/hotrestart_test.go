package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// Under load a process is hot-restarted twice: no request is lost or sent twice. An endpoint that operators ejected stays
// ejected in the successors, and can be readmitted by a call to any of the processes.
func TestHotRestartUnderLoadLosesNoRequest(t *testing.T) {
	h := newHotRestartHarness(t, 3)
	first := h.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	load := h.startLoad(12)
	load.awaitServed(t, 50)
	first.awaitAdmin(t, "set-down s-1", "SUCCESS")
	time.Sleep(50 * time.Millisecond) // requests in flight to the ejected endpoint end in this time, so that requestsWhenEjected includes them
	requestsWhenEjected := h.endpoints[1].Requests.Load()
	second := h.startDaemon()
	second.awaitAdmin(t, "check", "SUCCESS")
	first.terminate(t)
	load.awaitServed(t, 200)
	third := h.startDaemon()
	third.awaitAdmin(t, "check", "SUCCESS")
	if n := h.endpoints[1].Requests.Load() - requestsWhenEjected; n > 0 {
		t.Errorf("the ejected endpoint got %d requests, want none", n)
	}
	second.awaitAdmin(t, "set-up s-1", "SUCCESS") // the command goes to the draining process, which notifies its successor
	second.terminate(t)
	testpeer.Eventually(t, "s-1 gets requests again", func() bool { return t.Failed() || h.endpoints[1].Requests.Load() > requestsWhenEjected })
	h.stopLoad(load)
	third.terminate(t)
}

// The predecessor serves again when its successor is killed, both before and after the successor was ready.
func TestPredecessorResumesWhenSuccessorDies(t *testing.T) {
	h := newHotRestartHarness(t, 2)
	first := h.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	load := h.startLoad(6)
	load.awaitServed(t, 20)
	second := h.startDaemon()
	second.signal(t, syscall.SIGKILL) // killed before the process is ready
	_ = second.wait()
	load.awaitServed(t, 50)
	load.stop() // the load must stop before the next SIGKILL, which loses requests in flight
	load.clients.Wait()
	idleClient, err := net.Dial("tcp", h.listenAddr) // while this connection is open, the first process does not exit
	if err != nil {
		t.Fatal(err)
	}
	defer idleClient.Close()
	_, _ = io.WriteString(idleClient, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := idleClient.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	third := h.startDaemon()
	third.awaitAdmin(t, "check", "SUCCESS")
	first.awaitAdmin(t, "check", "FAILURE")
	third.signal(t, syscall.SIGKILL)
	_ = third.wait()
	first.awaitAdmin(t, "check", "SUCCESS")
	secondLoad := h.startLoad(6)
	secondLoad.awaitServed(t, 50)
	secondLoad.stop()
	secondLoad.clients.Wait()
	first.terminate(t)
}

// A predecessor needs no signal to exit: it exits when its last connection is closed.
func TestPredecessorExitsAfterItsLastConnection(t *testing.T) {
	h := newHotRestartHarness(t, 1)
	first := h.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	second := h.startDaemon()
	second.awaitAdmin(t, "check", "SUCCESS")
	first.awaitExit(t)
	load := h.startLoad(3)
	load.awaitServed(t, 20)
	h.stopLoad(load)
	second.terminate(t)
}

// In a hot restart while long responses are in flight, the predecessor exits only when all of them are complete. A SIGHUP to
// either process does not change this.
func TestHotRestartWaitsForLongResponses(t *testing.T) {
	h := newHotRestartHarness(t, 2)
	first := h.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	var requests sync.WaitGroup
	for i := range 6 {
		requests.Go(func() {
			r, _ := http.NewRequest(http.MethodGet, "http://"+h.listenAddr+"/look/long", nil)
			r.Header.Set("Req-Id", fmt.Sprint("long-", i))
			r.Header.Set("Req-Deadline-Ms", "5000")
			resp, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != longResponseParts*32<<10 {
				t.Errorf("response body of %d bytes, error %v, want %d bytes", n, err, longResponseParts*32<<10)
			}
		})
	}
	testpeer.Eventually(t, "all requests have arrived at the endpoints", func() bool { return h.endpoints[0].Requests.Load()+h.endpoints[1].Requests.Load() == 6 })
	second := h.startDaemon()
	first.signal(t, syscall.SIGHUP)
	second.awaitAdmin(t, "check", "SUCCESS")
	second.signal(t, syscall.SIGHUP)
	first.terminate(t)
	requests.Wait()
	load := h.startLoad(3)
	load.awaitServed(t, 20)
	h.stopLoad(load)
	second.terminate(t)
}

// If the discovery service does not respond, a successor waits for it for some seconds and then serves with the endpoint list of
// its configuration. A successor that gets SIGTERM while it waits has not accepted any connection, so no request is lost.
func TestSuccessorUsesConfiguredEndpointsIfDiscoveryIsSilent(t *testing.T) {
	h := newHotRestartHarness(t, 1)
	h.isDiscoverySilent = true
	first := h.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	load := h.startLoad(3)
	load.awaitServed(t, 20)
	second := h.startDaemon()
	testpeer.Eventually(t, "the second process listens at its operators' address", func() bool { return strings.HasPrefix(second.callAdmin(t, "check"), "FAILURE") })
	second.terminate(t)
	first.awaitAdmin(t, "check", "SUCCESS")
	load.awaitServed(t, 20)
	third := h.startDaemon()
	third.awaitAdmin(t, "check", "SUCCESS")
	first.terminate(t)
	load.awaitServed(t, 20)
	h.stopLoad(load)
}

// A request that may have run at one process must not run again when its client sends it to the process that replaces it: neither while
// the first process still serves it, nor after the client has left.
func TestIDThatMayHaveRunIsRejectedByBothProcesses(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint("client leaves: ", leaves), func(t *testing.T) {
			h := newHotRestartHarness(t, 2)
			first := h.startDaemon()
			first.awaitAdmin(t, "check", "SUCCESS")
			send := func(path string) net.Conn {
				client, err := net.Dial("tcp", h.listenAddr)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { client.Close() })
				_, _ = fmt.Fprintf(client, "POST %s HTTP/1.1\r\nHost: a\r\nReq-Id: once\r\nReq-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n", path)
				return client
			}
			arrivals := func() int {
				h.mu.Lock()
				defer h.mu.Unlock()
				return h.requestsByID["once"]
			}
			client := send("/pay/slow")
			testpeer.Eventually(t, "the request is at an endpoint", func() bool { return arrivals() == 1 })
			if leaves {
				client.Close()
			}
			second := h.startDaemon()
			second.awaitAdmin(t, "check", "SUCCESS")
			first.awaitAdmin(t, "check", "FAILURE")
			resp, err := http.ReadResponse(bufio.NewReader(send("/pay")), nil)
			if err != nil {
				t.Fatal(err)
			}
			if n := arrivals(); resp.StatusCode != http.StatusConflict || n != 1 {
				t.Errorf("status %d, and the request arrived %d times at endpoints, want %d and once", resp.StatusCode, n, http.StatusConflict)
			}
			client.Close()
			first.awaitExit(t)
			second.terminate(t)
		})
	}
}

// If the inherited descriptor is not the socket of the listen address, the daemon reports that in one line and does not start.
func TestWrongListenDescriptorIsRejected(t *testing.T) {
	h := newHotRestartHarness(t, 1)
	h.listenAddr = testpeer.FreeAddress(t)
	d := h.startDaemon()
	if err := d.wait(); err == nil {
		t.Error("the daemon exited without error, want an error")
	}
	if stderr := d.String(); strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "listens at") {
		t.Errorf("stderr %q, want one line that says where the descriptor listens", stderr)
	}
}
