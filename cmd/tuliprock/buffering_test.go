package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// Large buffered bodies, of requests and responses at the same time, arrive complete while the daemon stays under its memory
// limit. TULIPROCK_TEST_BUFFERED_BODIES=50x32 sends 50 concurrent requests of 32 MiB instead of 16 of 4 MiB.
func TestBufferedBodiesStayUnderMemoryLimit(t *testing.T) {
	clients, sizeMiB := 16, 4
	if bodiesSetting := os.Getenv("TULIPROCK_TEST_BUFFERED_BODIES"); bodiesSetting != "" {
		if _, err := fmt.Sscanf(bodiesSetting, "%dx%d", &clients, &sizeMiB); err != nil {
			t.Fatal(err)
		}
	}
	const memoryLimitKiB = 96 << 10 // memory limit of the daemon, as the harness configures it
	body := make([]byte, sizeMiB<<20)
	for i := range body {
		body[i] = byte(rand.Uint32())
	}
	bodyHash := sha256.Sum256(body)
	h := newHotRestartHarness(t, 0)
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		receivedHash := sha256.New()
		if _, err := io.Copy(receivedHash, r.Body); err != nil || !bytes.Equal(receivedHash.Sum(nil), bodyHash[:]) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body)
	}))
	t.Cleanup(node.Close)
	h.endpointIDs, h.endpoints = []string{"s-0"}, []*testpeer.Endpoint{{Addr: node.Listener.Addr().String()}}
	d := h.startDaemon()
	d.awaitAdmin(t, "check", "SUCCESS")
	var clientGoroutines sync.WaitGroup
	var shedCount atomic.Int32
	for i := range clients {
		clientGoroutines.Go(func() {
			for attempt := 0; ; attempt++ {
				r, _ := http.NewRequest(http.MethodPost, "http://"+h.listenAddr+"/pay", bytes.NewReader(body))
				r.Header.Set("Req-Id", fmt.Sprint(i, "-", attempt))
				r.Header.Set("Req-Deadline-Ms", "60000")
				resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
				if err != nil { // a shed request's connection may be closed before its body was sent
					shedCount.Add(1)
				} else {
					receivedHash := sha256.New()
					n, err := io.Copy(receivedHash, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						if err != nil || n != int64(len(body)) || !bytes.Equal(receivedHash.Sum(nil), bodyHash[:]) {
							t.Errorf("client %d: response body of %d bytes, error %v, want the %d bytes that were sent", i, n, err, len(body))
						}
						return
					}
					if resp.StatusCode != http.StatusServiceUnavailable {
						t.Errorf("client %d: response status %d, want 200 or 503", i, resp.StatusCode)
						return
					}
					shedCount.Add(1)
				}
				if attempt > 100 {
					t.Errorf("client %d: more than 100 attempts were shed", i)
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	clientGoroutines.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	peakKiB := 0
	if _, err := fmt.Sscan(rest, &peakKiB); err != nil || peakKiB > memoryLimitKiB {
		t.Errorf("peak memory %d KiB, error %v, want at most %d KiB", peakKiB, err, memoryLimitKiB)
	}
	t.Logf("%d concurrent bodies of %d MiB in each direction: peak memory %d KiB, %d attempts shed", clients, sizeMiB, peakKiB, shedCount.Load())
}
