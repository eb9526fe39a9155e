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

// Long buffered bodies both ways at once stay under the daemon's memory limit and arrive complete. BODIES=50x32 sets how
// many, and of how many MB; the small default is for every run of the tests.
func TestBufferedBodiesStayUnderMemoryLimit(t *testing.T) {
	callers, size := 16, 4
	if given := os.Getenv("BODIES"); given != "" {
		if _, err := fmt.Sscanf(given, "%dx%d", &callers, &size); err != nil {
			t.Fatal(err)
		}
	}
	const limit = 96 << 10 // kB
	text := make([]byte, size<<20)
	for i := range text {
		text[i] = byte(rand.Uint32())
	}
	sum := sha256.Sum256(text)
	p := newHotRestartHarness(t, 0)
	e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := sha256.New()
		if _, err := io.Copy(h, r.Body); err != nil || !bytes.Equal(h.Sum(nil), sum[:]) {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		_, _ = w.Write(text)
	}))
	t.Cleanup(e.Close)
	p.endpointIDs, p.endpoints = []string{"s-0"}, []*testpeer.Endpoint{{Addr: e.Listener.Addr().String()}}
	d := p.startDaemon()
	d.awaitAdmin(t, "check", "SUCCESS")
	var work sync.WaitGroup
	var refused atomic.Int32
	for i := range callers {
		work.Go(func() {
			for try := 0; ; try++ {
				r, _ := http.NewRequest(http.MethodPost, "http://"+p.listenAddr+"/pay", bytes.NewReader(text))
				r.Header.Set("Req-Id", fmt.Sprint(i, "-", try))
				r.Header.Set("Req-Deadline-Ms", "60000")
				resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
				if err != nil { // a rejection may come before the body was sent, and close the connection
					refused.Add(1)
				} else {
					h := sha256.New()
					n, err := io.Copy(h, resp.Body)
					resp.Body.Close()
					if resp.StatusCode == http.StatusOK {
						if err != nil || n != int64(len(text)) || !bytes.Equal(h.Sum(nil), sum[:]) {
							t.Errorf("%d: %d bytes, %v", i, n, err)
						}
						return
					}
					if resp.StatusCode != http.StatusServiceUnavailable {
						t.Errorf("%d: %d", i, resp.StatusCode)
						return
					}
					refused.Add(1)
				}
				if try > 100 {
					t.Errorf("%d: never served", i)
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	work.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	peak := 0
	if _, err := fmt.Sscan(rest, &peak); err != nil || peak > limit {
		t.Errorf("peak %d kB of %d, %v", peak, limit, err)
	}
	t.Logf("%d bodies of %d MB each way at once: peak %d kB, %d refused at first", callers, size, peak, refused.Load())
}
