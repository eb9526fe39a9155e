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

// runClosedLoop sends requests for a duration on the given number of connections. On each connection it sends the next request as
// soon as the response has arrived. It returns the requests per second, and the median and the p99 of the latencies.
func runClosedLoop(t *testing.T, addr string, connections int, duration time.Duration) (rate float64, p50, p99 time.Duration) {
	t.Helper()
	var mu sync.Mutex
	var latencies []time.Duration
	var clients sync.WaitGroup
	end := time.Now().Add(duration)
	for range connections {
		clients.Go(func() {
			nc, err := net.Dial("tcp", addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			in := bufio.NewReader(nc)
			var ownLatencies []time.Duration
			for time.Now().Before(end) {
				start := time.Now()
				_, _ = io.WriteString(nc, "GET /item/1 HTTP/1.1\r\nHost: h\r\n\r\n")
				resp, err := http.ReadResponse(in, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("response %v, error %v, want status 200", resp, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				ownLatencies = append(ownLatencies, time.Since(start))
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, ownLatencies...)
		})
	}
	clients.Wait()
	slices.Sort(latencies)
	return float64(len(latencies)) / duration.Seconds(), latencies[len(latencies)/2], latencies[len(latencies)*99/100]
}

// This test measures the throughput and the latency of this daemon relative to httputil.ReverseProxy, each on one core and with
// the same four nodes. The two proxies are measured alternately, TULIPROCK_TEST_PROXY_TURNS times each; if that variable is not
// set, the test is skipped. See docs/design/012.
func TestThroughputAgainstReverseProxy(t *testing.T) {
	turns, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_PROXY_TURNS"))
	if turns == 0 {
		t.Skip("TULIPROCK_TEST_PROXY_TURNS is not set: this is a measurement, for an idle machine")
	}
	var nodes []string
	config := "format = 1\n[daemon]\ncores = 1\n[[listener]]\nname = \"l\"\naddress = \"LISTEN\"\n[[class]]\nname = \"look\"\neffect = \"safe\"\n[[pool]]\nname = \"p\"\n"
	for range 4 {
		addr := testpeer.FreeAddress(t)
		startServerProcess(t, "node", addr)
		nodes = append(nodes, addr)
		config += fmt.Sprintf("[[pool.member]]\naddress = %q\n", addr)
	}
	config += "[[route]]\npool = \"p\"\nclass = \"look\"\n"
	daemonAddr, proxyAddr := testpeer.FreeAddress(t), testpeer.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "ops.toml")
	if err := os.WriteFile(path, []byte(strings.Replace(config, "LISTEN", daemonAddr, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := startProcess(t, "serve", "--config", path)
	daemon.awaitText(t, "msg=listening")
	startServerProcess(t, append([]string{"proxy", proxyAddr}, nodes...)...)
	for _, connections := range []int{1, 16, 64} {
		var rates, p50s, p99s []float64
		for i := range turns {
			var rate [2]float64
			var p50, p99 [2]time.Duration
			for k := range 2 {
				variant := (i + k) % 2
				rate[variant], p50[variant], p99[variant] = runClosedLoop(t, []string{daemonAddr, proxyAddr}[variant], connections, 3*time.Second)
			}
			t.Logf("%d connections, daemon and ReverseProxy: %.0f and %.0f requests per second, p50 %v and %v, p99 %v and %v", connections, rate[0], rate[1], p50[0], p50[1], p99[0], p99[1])
			rates, p50s, p99s = append(rates, rate[0]/rate[1]), append(p50s, float64(p50[0])/float64(p50[1])), append(p99s, float64(p99[0])/float64(p99[1]))
		}
		t.Logf("peak memory of the daemon: %d KiB", readProcessMemoryKiB(daemon.cmd.Process.Pid, "VmHWM"))
		t.Logf("%d connections, daemon relative to ReverseProxy: request rate %s, p50 %s, p99 %s", connections, formatRatios(rates), formatRatios(p50s), formatRatios(p99s))
	}
}

// formatRatios formats the median, the minimum and the maximum of the values. It sorts the values.
func formatRatios(values []float64) string {
	slices.Sort(values)
	return fmt.Sprintf("%.2f (%.2f to %.2f)", values[len(values)/2], values[0], values[len(values)-1])
}
