package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// closedLoop sends requests on so many connections, each as fast as it is answered. It returns the requests per second and
// the median and the p99 of the latencies.
func closedLoop(t *testing.T, addr string, connections int, length time.Duration) (rate float64, p50, p99 time.Duration) {
	t.Helper()
	var mu sync.Mutex
	var took []time.Duration
	var busy sync.WaitGroup
	end := time.Now().Add(length)
	for range connections {
		busy.Go(func() {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			in := bufio.NewReader(nc)
			var mine []time.Duration
			for time.Now().Before(end) {
				began := time.Now()
				_, _ = io.WriteString(nc, "GET /item/1 HTTP/1.1\r\nHost: h\r\n\r\n")
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("%v, %v", resp, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				mine = append(mine, time.Since(began))
			}
			mu.Lock()
			defer mu.Unlock()
			took = append(took, mine...)
		})
	}
	busy.Wait()
	slices.Sort(took)
	return float64(len(took)) / length.Seconds(), took[len(took)/2], took[len(took)*99/100]
}

// The measurement: this daemon on one core beside httputil.ReverseProxy on one core, with the same four nodes, in turns.
// PROXY=turns runs it; see docs/design/012.
func TestThroughputAgainstReverseProxy(t *testing.T) {
	turns, _ := strconv.Atoi(os.Getenv("PROXY"))
	if turns == 0 {
		t.Skip("PROXY is not set: a measurement, for a quiet machine")
	}
	var nodes []string
	file := "format = 1\n[daemon]\ncores = 1\n[[listener]]\nname = \"l\"\naddress = \"LISTEN\"\n[[class]]\nname = \"look\"\neffect = \"safe\"\n[[pool]]\nname = \"p\"\n"
	for range 4 {
		addr := testpeer.FreeAddress(t)
		startPeer(t, "node", addr)
		nodes = append(nodes, addr)
		file += fmt.Sprintf("[[pool.member]]\naddress = %q\n", addr)
	}
	file += "[[route]]\npool = \"p\"\nclass = \"look\"\n"
	own, proxy := testpeer.FreeAddress(t), testpeer.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "ops.toml")
	if err := os.WriteFile(path, []byte(strings.Replace(file, "LISTEN", own, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := startProcess(t, "serve", "--config", path)
	daemon.awaitText(t, "msg=listening")
	startPeer(t, append([]string{"proxy", proxy}, nodes...)...)
	for _, connections := range []int{1, 16, 64} {
		var rates, p50s, p99s []float64
		for i := range turns {
			var rate [2]float64
			var p50, p99 [2]time.Duration
			for k := range 2 {
				which := (i + k) % 2
				rate[which], p50[which], p99[which] = closedLoop(t, []string{own, proxy}[which], connections, 3*time.Second)
			}
			t.Logf("%d connections: %.0f and %.0f a second, p50 %v and %v, p99 %v and %v", connections, rate[0], rate[1], p50[0], p50[1], p99[0], p99[1])
			rates, p50s, p99s = append(rates, rate[0]/rate[1]), append(p50s, float64(p50[0])/float64(p50[1])), append(p99s, float64(p99[0])/float64(p99[1]))
		}
		t.Logf("the daemon's memory at its peak: %d KiB", processMemoryKiB(daemon.cmd.Process.Pid, "VmHWM"))
		t.Logf("%d connections, of ReverseProxy's: rate %s, p50 %s, p99 %s", connections, formatRatios(rates), formatRatios(p50s), formatRatios(p99s))
	}
}

// formatRatios gives the median of the values, and the least and the largest. It sorts them.
func formatRatios(v []float64) string {
	slices.Sort(v)
	return fmt.Sprintf("%.2f (%.2f to %.2f)", v[len(v)/2], v[0], v[len(v)-1])
}
