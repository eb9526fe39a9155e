package main

import (
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

// Under load a process is replaced twice: no request is lost or sent twice, and an endpoint that operators ejected stays
// ejected until they readmit it, whichever process they call.
func TestHotRestartUnderLoadLosesNoRequest(t *testing.T) {
	p := newHotRestartStage(t, 3)
	first := p.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	callers := p.startLoad(12)
	callers.awaitServed(t, 50)
	first.awaitAdmin(t, "set-down s-1", "SUCCESS")
	time.Sleep(50 * time.Millisecond) // requests in flight have ended
	out := p.endpoints[1].Requests.Load()
	second := p.startDaemon()
	second.awaitAdmin(t, "check", "SUCCESS")
	first.terminate(t)
	callers.awaitServed(t, 200)
	third := p.startDaemon()
	third.awaitAdmin(t, "check", "SUCCESS")
	if came := p.endpoints[1].Requests.Load() - out; came > 0 {
		t.Errorf("%d requests came to the one that is out", came)
	}
	second.awaitAdmin(t, "set-up s-1", "SUCCESS") // by the draining process: its successor is notified
	second.terminate(t)
	testpeer.Eventually(t, "s-1 is used again", func() bool { return t.Failed() || p.endpoints[1].Requests.Load() > out })
	p.stopLoad(callers)
	third.terminate(t)
}

// The predecessor resumes when its successor dies, both before and after the successor was ready.
func TestPredecessorResumesWhenSuccessorDies(t *testing.T) {
	p := newHotRestartStage(t, 2)
	first := p.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	callers := p.startLoad(6)
	callers.awaitServed(t, 20)
	second := p.startDaemon()
	second.signal(t, syscall.SIGKILL) // at its start
	_ = second.wait()
	callers.awaitServed(t, 50)
	callers.stop() // requests in flight at a SIGKILL are lost
	callers.work.Wait()
	stays, err := net.Dial("tcp", p.addr) // a client that keeps its connection: the first process must not exit
	if err != nil {
		t.Fatal(err)
	}
	defer stays.Close()
	_, _ = io.WriteString(stays, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
	if _, err := stays.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	third := p.startDaemon()
	third.awaitAdmin(t, "check", "SUCCESS")
	first.awaitAdmin(t, "check", "FAILURE")
	third.signal(t, syscall.SIGKILL)
	_ = third.wait()
	first.awaitAdmin(t, "check", "SUCCESS")
	again := p.startLoad(6)
	again.awaitServed(t, 50)
	again.stop()
	again.work.Wait()
	first.terminate(t)
}

// A predecessor exits without a signal when its last connection is closed.
func TestPredecessorExitsAfterItsLastConnection(t *testing.T) {
	p := newHotRestartStage(t, 1)
	first := p.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	second := p.startDaemon()
	second.awaitAdmin(t, "check", "SUCCESS")
	first.awaitExit(t)
	callers := p.startLoad(3)
	callers.awaitServed(t, 20)
	p.stopLoad(callers)
	second.terminate(t)
}

// With long responses in flight, and a SIGHUP to both processes during the hot restart: all responses are complete, and the
// predecessor waits for them.
func TestHotRestartWaitsForLongResponses(t *testing.T) {
	p := newHotRestartStage(t, 2)
	first := p.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	var work sync.WaitGroup
	for i := range 6 {
		work.Go(func() {
			r, _ := http.NewRequest(http.MethodGet, "http://"+p.addr+"/look/long", nil)
			r.Header.Set("Req-Id", fmt.Sprint("long-", i))
			r.Header.Set("Req-Deadline-Ms", "5000")
			resp, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != longResponseParts*32<<10 {
				t.Errorf("%d bytes, %v", n, err)
			}
		})
	}
	testpeer.Eventually(t, "all are under way", func() bool { return p.endpoints[0].Requests.Load()+p.endpoints[1].Requests.Load() == 6 })
	second := p.startDaemon()
	first.signal(t, syscall.SIGHUP)
	second.awaitAdmin(t, "check", "SUCCESS")
	second.signal(t, syscall.SIGHUP)
	first.terminate(t)
	work.Wait()
	callers := p.startLoad(3)
	callers.awaitServed(t, 20)
	p.stopLoad(callers)
	second.terminate(t)
}

// Where discovery is silent a successor uses, after a while, the endpoint list that it was started with. One that gets
// SIGTERM before that has accepted no connection.
func TestHotRestartWithSilentDiscovery(t *testing.T) {
	p := newHotRestartStage(t, 1)
	p.isDiscoverySilent = true
	first := p.startDaemon()
	first.awaitAdmin(t, "check", "SUCCESS")
	callers := p.startLoad(3)
	callers.awaitServed(t, 20)
	second := p.startDaemon()
	testpeer.Eventually(t, "the second one listens to operators", func() bool { return strings.HasPrefix(second.callAdmin(t, "check"), "FAILURE") })
	second.terminate(t)
	first.awaitAdmin(t, "check", "SUCCESS")
	callers.awaitServed(t, 20)
	third := p.startDaemon()
	third.awaitAdmin(t, "check", "SUCCESS")
	first.terminate(t)
	callers.awaitServed(t, 20)
	p.stopLoad(callers)
}

// A descriptor that is not the socket of the listen address is reported in one line, and the daemon does not start.
func TestWrongListenDescriptorIsRejected(t *testing.T) {
	p := newHotRestartStage(t, 1)
	p.addr = testpeer.FreeAddress(t)
	d := p.startDaemon()
	if err := d.wait(); err == nil {
		t.Error("it started")
	}
	if said := d.String(); strings.Count(said, "\n") != 1 || !strings.Contains(said, "listens at") {
		t.Errorf("%s", said)
	}
}
