package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"tuliprock/internal/testkit/loadgen"
	"tuliprock/internal/testkit/schedule"
	"tuliprock/internal/testkit/testpeer"
)

// startStreamingDaemon starts a daemon on one core, and a node on a core of its own.
func startStreamingDaemon(t *testing.T, daemonSettings string) (daemon *process, own, node string) {
	t.Helper()
	node = testpeer.FreeAddress(t)
	startPeer(t, "bulk", node)
	own = testpeer.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "ops.toml")
	text := fmt.Sprintf("format = 1\n[daemon]\ncores = 1\n%s\n[[listener]]\nname = \"l\"\naddress = %q\nbody_bytes = 4294967296\n[[class]]\nname = \"put\"\neffect = \"unsafe\"\ndeadline = \"30s\"\n"+
		"[[pool]]\nname = \"p\"\n[[pool.member]]\naddress = %q\n[[route]]\npool = \"p\"\nclass = \"put\"\n", daemonSettings, own, node)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon = startProcess(t, "serve", "--config", path)
	daemon.awaitText(t, "msg=listening")
	return daemon, own, node
}

// processMemoryKiB reads a value of a process's memory, such as VmRSS or VmHWM.
func processMemoryKiB(pid int, what string) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(status), what+":")
	line, _, _ := strings.Cut(rest, "\n")
	kb, _ := strconv.Atoi(strings.Fields(line)[0])
	return kb
}

// processorTime is the processor time that a process has used.
func processorTime(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return time.Duration(user+system) * 10 * time.Millisecond // USER_HZ is 100 wherever Go runs on Linux
}

// Long streaming bodies stay under a fixed ceiling of memory, however fast or slow both sides are, and arrive complete.
// BODIES=gigabytes runs the measurement of docs/design/016; without it the test is a small form of the same.
func TestStreamingBodiesStayUnderMemoryCeiling(t *testing.T) {
	gigabytes, _ := strconv.Atoi(os.Getenv("BODIES"))
	alone, each, rate := int64(256<<20), int64(1<<20), 4 // a single body is larger than the ceiling: one that is buffered fails
	if gigabytes > 0 {
		alone, each, rate = int64(gigabytes)<<30, int64(gigabytes)<<30/50, 20
	}
	ceiling := 32 << 10   // KiB over the idle daemon's
	if isRaceDetectorOn { // whose shadow memory is several times as large as the program's
		ceiling = 128 << 10
	}
	daemon, own, _ := startStreamingDaemon(t, "")
	pid := daemon.cmd.Process.Pid
	if _, err := transfer(own, "down", "", 1, false, 0); err != nil {
		t.Fatal(err)
	}
	idle := processMemoryKiB(pid, "VmRSS")
	for _, row := range []struct {
		name       string
		at         int
		size       int64
		query      string
		callerRate int
	}{
		{"alone", 1, alone, "", 0}, {"50 at once", 50, each, "", 0},
		{"50, slow node", 50, each, fmt.Sprintf("mbs=%d", rate), 0}, {"50, slow caller", 50, each, "", rate << 20},
		{"50, both slow", 50, each, fmt.Sprintf("mbs=%d", rate), rate << 20},
	} {
		for _, way := range []string{"up", "down"} {
			h := sha256.New()
			_, _ = io.Copy(h, bodyOf(true, row.size))
			want := fmt.Sprintf("%x", h.Sum(nil))
			began := time.Now()
			var busy sync.WaitGroup
			var refusals atomic.Int32
			for range row.at {
				busy.Go(func() {
					got, refused, err := transferUntilAdmitted(own, way, "hash=1&"+row.query, row.size, true, row.callerRate)
					refusals.Add(int32(refused))
					if err != nil || got != want {
						t.Errorf("%s, %s: %q, %v, want %q", row.name, way, got, err, want)
					}
				})
			}
			busy.Wait()
			took, peak := time.Since(began), processMemoryKiB(pid, "VmHWM")
			t.Logf("%s, %s: %d x %d MiB in %.1f s, refused first %d times; idle %d KiB, at the peak %d KiB more",
				row.name, way, row.at, row.size>>20, took.Seconds(), refusals.Load(), idle, peak-idle)
			if peak-idle > ceiling {
				t.Errorf("%s, %s: %d KiB over the idle daemon's, %d allowed", row.name, way, peak-idle, ceiling)
			}
		}
	}
}

// The measurement: long bodies through this daemon on one core, through httputil.ReverseProxy on one core, and through
// bare io.Copy on one core, in turns. THROUGH=turns runs it; see docs/design/016.
func TestStreamingThroughputAgainstReverseProxyAndSplice(t *testing.T) {
	turns, _ := strconv.Atoi(os.Getenv("THROUGH"))
	if turns == 0 {
		t.Skip("THROUGH is not set: a measurement, for a quiet machine")
	}
	daemon, own, node := startStreamingDaemon(t, "")
	addrs := []string{own, testpeer.FreeAddress(t), testpeer.FreeAddress(t)}
	pids := []int{daemon.cmd.Process.Pid, startPeer(t, "proxy", addrs[1], node), startPeer(t, "splice", addrs[2], node)}
	const total = 2 << 30
	for _, way := range []string{"up", "down"} {
		for _, at := range []int{1, 8} {
			var rates, cpus [2][]float64 // of ours, over the proxy's and over the splice's
			for i := range turns {
				var rate, used [3]float64
				for k := range 3 {
					which := (i + k) % 3
					began, spent := time.Now(), processorTime(pids[which])
					var busy sync.WaitGroup
					for range at {
						busy.Go(func() {
							if _, err := transfer(addrs[which], way, "", total/int64(at), false, 0); err != nil {
								t.Error(err)
							}
						})
					}
					busy.Wait()
					rate[which] = total / time.Since(began).Seconds() / (1 << 20)
					used[which] = (processorTime(pids[which]) - spent).Seconds() / (float64(total) / (1 << 30))
				}
				t.Logf("%s, %d: %.0f, %.0f, %.0f MiB/s; %.2f, %.2f, %.2f s of processor for each GiB",
					way, at, rate[0], rate[1], rate[2], used[0], used[1], used[2])
				for k := range 2 {
					rates[k], cpus[k] = append(rates[k], rate[0]/rate[k+1]), append(cpus[k], used[0]/used[k+1])
				}
			}
			t.Logf("%s, %d at once: rate %s of ReverseProxy's, %s of the splice loop's; processor %s and %s",
				way, at, formatRatios(rates[0]), formatRatios(rates[1]), formatRatios(cpus[0]), formatRatios(cpus[1]))
		}
	}
}

// measureLookups sends short requests at a steady rate. It returns the median and the p99 of the latencies, in µs from when
// each was due, and the share of requests that were shed.
func measureLookups(t *testing.T, addr string, length time.Duration) (p50, p99, refused float64) {
	t.Helper()
	const connections = 500
	request, err := loadgen.RequestTemplate(http.MethodGet, "http://"+addr+"/item?give=512", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	send := loadgen.NewHTTP(request, connections, nil)
	defer send.Close()
	r, err := loadgen.Run(t.Context(), loadgen.Options{Process: schedule.Process{Rate: schedule.Steady(800), Gaps: schedule.Even}, Seed: 1, Duration: length,
		ResponseTimeout: testpeer.Timeout, Connections: connections}, send)
	if err != nil {
		t.Fatal(err)
	}
	if r.Invalid != "" {
		t.Log("not valid:", r.Invalid)
	}
	ended := r.CountByOutcome()
	for how, n := range ended {
		if how != "200" && how != "503" {
			t.Errorf("%d lookups: %s", n, how)
		}
	}
	us := func(share float64) float64 { return float64(r.Latency.Quantile(share).Microseconds()) }
	return us(0.5), us(0.99), float64(ended["503"]) / float64(r.Scheduled)
}

// The measurement: lookups alone, beside 50 long transfers through the same daemon and pool, and beside the same ones that go past the
// daemon, in turns. LOOKUPS=turns runs it, with RATE MiB a second for each transfer; see docs/design/016.
func TestLookupLatencyBesideTransfers(t *testing.T) {
	turns, _ := strconv.Atoi(os.Getenv("LOOKUPS"))
	rate, _ := strconv.Atoi(os.Getenv("RATE"))
	if turns == 0 || rate == 0 {
		t.Skip("LOOKUPS and RATE are not set: a measurement, for a quiet machine")
	}
	_, own, node := startStreamingDaemon(t, "")
	const length = 4 * time.Second
	transfers := func(addr string) *sync.WaitGroup {
		var busy sync.WaitGroup
		for i := range 50 {
			busy.Go(func() {
				way := []string{"up", "down"}[i%2]
				if _, _, err := transferUntilAdmitted(addr, way, "", int64(rate)<<20*6, false, rate<<20); err != nil {
					t.Error(err)
				}
			})
		}
		time.Sleep(time.Second)
		return &busy
	}
	var through, past []float64
	for i := range turns {
		var p99 [3]float64
		for k := range 3 {
			which := (i + k) % 3
			var busy *sync.WaitGroup
			if which > 0 {
				busy = transfers([]string{"", own, node}[which])
			}
			var p50, refused float64
			p50, p99[which], refused = measureLookups(t, own, length)
			if busy != nil {
				busy.Wait()
			}
			t.Logf("%s: p50 %.0f us, p99 %.0f us, %.3f refused",
				[]string{"alone", "beside transfers", "beside transfers past the daemon"}[which], p50, p99[which], refused)
		}
		through, past = append(through, p99[1]/p99[0]), append(past, p99[2]/p99[0])
	}
	t.Logf("p99 of lookups over the quiet one: %s beside 50 transfers of %d MiB/s, %s where these go past the daemon",
		formatRatios(through), rate, formatRatios(past))
}

// 500 concurrent uploads of a gigabyte each, with 192 MB and 1,024 descriptors: most wait or are shed, all are answered when
// the daemon gets SIGTERM, and lookups are served meanwhile. UPLOADS=seconds runs it.
func TestManyConcurrentUploadsAreAllAnswered(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("UPLOADS"))
	if seconds == 0 {
		t.Skip("UPLOADS is not set: a measurement, for a quiet machine")
	}
	daemon, own, _ := startStreamingDaemon(t, "memory_mb = 192\nbody_memory_mb = 64\ndrain_timeout = \"1s\"")
	pid := daemon.cmd.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 1024, Max: 1024}, nil); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	answers := map[string]int{}
	var busy sync.WaitGroup
	for range 500 {
		busy.Go(func() {
			got := "ended without an answer"
			defer func() { mu.Lock(); defer mu.Unlock(); answers[got]++ }()
			nc, err := net.Dial("tcp", own)
			if err != nil {
				got = err.Error()
				return
			}
			defer nc.Close()
			_, _ = fmt.Fprintf(nc, "PUT /bulk HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<30)
			go func() { _, _ = io.Copy(nc, bodyOf(false, 1<<30)) }()
			if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil {
				got = resp.Status
			}
		})
	}
	time.Sleep(time.Duration(seconds) * time.Second)
	p50, p99, refused := measureLookups(t, own, 2*time.Second)
	t.Logf("lookups meanwhile (aim 15 s): p50 %.0f us, p99 %.0f us, %.3f refused; the daemon's memory at its peak %d KiB",
		p50, p99, refused, processMemoryKiB(pid, "VmHWM"))
	_ = daemon.cmd.Process.Signal(syscall.SIGTERM)
	busy.Wait()
	t.Logf("answers: %v", answers)
	if answers["ended without an answer"] > 0 {
		t.Error("some were not answered")
	}
	if peak := processMemoryKiB(pid, "VmHWM"); peak > 192<<10 {
		t.Errorf("%d KiB", peak)
	}
}
