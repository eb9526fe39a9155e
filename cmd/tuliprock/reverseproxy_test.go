package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tuliprock/internal/testkit/testpeer"
)

// peerEnv makes the test binary a peer of the measurement below: "node" or "proxy", with addresses behind.
const peerEnv = "TULIPROCK_TEST_PEER"

// peer runs one, at the first address.
func peer(what string) {
	words := strings.Fields(what)
	var handler http.Handler
	switch words[0] {
	case "node":
		body := []byte(strings.Repeat("x", 512))
		handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/plain")
			_, _ = w.Write(body)
		})
	case "bulk":
		handler = http.HandlerFunc(bulk)
	case "splice":
		fmt.Fprintln(os.Stderr, spliceLoop(words[1], words[2]))
		return
	case "proxy":
		var turn atomic.Uint64
		targets := words[2:]
		handler = &httputil.ReverseProxy{
			Rewrite: func(r *httputil.ProxyRequest) {
				r.SetURL(&url.URL{Scheme: "http", Host: targets[turn.Add(1)%uint64(len(targets))]})
				r.SetXForwarded()
			},
			Transport: &http.Transport{MaxIdleConnsPerHost: 500},
		}
	}
	fmt.Fprintln(os.Stderr, http.ListenAndServe(words[1], handler))
}

// startPeer starts a peer in a process of its own, on one core, and gives its id.
func startPeer(t *testing.T, words ...string) int {
	t.Helper()
	s := &daemonRun{cmd: program()}
	s.cmd.Env = append(s.cmd.Env, peerEnv+"="+strings.Join(words, " "), "GOMAXPROCS=1")
	s.begin(t)
	for end := time.Now().Add(testpeer.Patience); ; time.Sleep(5 * time.Millisecond) {
		nc, err := net.Dial("tcp", words[1])
		if err == nil {
			nc.Close()
			return s.cmd.Process.Pid
		}
		if time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// closedLoop asks on as many connections as given, each as fast as it is answered, and gives the rate and the latencies.
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
func TestBesideReverseProxy(t *testing.T) {
	turns, _ := strconv.Atoi(os.Getenv("PROXY"))
	if turns == 0 {
		t.Skip("PROXY is not set: a measurement, for a quiet machine")
	}
	var nodes []string
	file := "format = 1\n[daemon]\ncores = 1\n[[listener]]\nname = \"l\"\naddress = \"LISTEN\"\n[[class]]\nname = \"look\"\neffect = \"safe\"\n[[pool]]\nname = \"p\"\n"
	for range 4 {
		addr := testpeer.FreePort(t)
		startPeer(t, "node", addr)
		nodes = append(nodes, addr)
		file += fmt.Sprintf("[[pool.member]]\naddress = %q\n", addr)
	}
	file += "[[route]]\npool = \"p\"\nclass = \"look\"\n"
	own, proxy := testpeer.FreePort(t), testpeer.FreePort(t)
	path := filepath.Join(t.TempDir(), "ops.toml")
	if err := os.WriteFile(path, []byte(strings.Replace(file, "LISTEN", own, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon := start(t, "serve", "--config", path)
	daemon.await(t, "msg=listening")
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
		t.Logf("the daemon's memory at its peak: %d KiB", memory(daemon.cmd.Process.Pid, "VmHWM"))
		t.Logf("%d connections, of ReverseProxy's: rate %s, p50 %s, p99 %s", connections, ratios(rates), ratios(p50s), ratios(p99s))
	}
}

func ratios(v []float64) string {
	slices.Sort(v)
	return fmt.Sprintf("%.2f (%.2f to %.2f)", v[len(v)/2], v[0], v[len(v)-1])
}
