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

// startStreamingDaemon starts a daemon and its only node, which serves large bodies, each on one core. daemonSettings are further
// lines of the table daemon in the operators' file. It returns the daemon and the addresses of the daemon and of the node.
func startStreamingDaemon(t *testing.T, daemonSettings string) (daemon *process, daemonAddr, nodeAddr string) {
	t.Helper()
	nodeAddr = testpeer.FreeAddress(t)
	startServerProcess(t, "bulk", nodeAddr)
	daemonAddr = testpeer.FreeAddress(t)
	path := filepath.Join(t.TempDir(), "ops.toml")
	text := fmt.Sprintf("format = 1\n[daemon]\ncores = 1\n%s\n[[listener]]\nname = \"l\"\naddress = %q\nbody_bytes = 4294967296\n[[class]]\nname = \"put\"\neffect = \"unsafe\"\ndeadline = \"30s\"\n"+
		"[[pool]]\nname = \"p\"\n[[pool.member]]\naddress = %q\n[[route]]\npool = \"p\"\nclass = \"put\"\n", daemonSettings, daemonAddr, nodeAddr)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	daemon = startProcess(t, "serve", "--config", path)
	daemon.awaitText(t, "msg=listening")
	return daemon, daemonAddr, nodeAddr
}

// readProcessMemoryKiB returns a value of /proc/PID/status in KiB, such as VmRSS, the resident memory, or VmHWM, its peak.
func readProcessMemoryKiB(pid int, key string) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(status), key+":")
	line, _, _ := strings.Cut(rest, "\n")
	kib, _ := strconv.Atoi(strings.Fields(line)[0])
	return kib
}

// readProcessorTime returns the processor time, of user and system mode, that a process has used.
func readProcessorTime(pid int) time.Duration {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest) // fields after the command's name; the first of them is field 3 of proc(5)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond // USER_HZ is 100 wherever Go runs on Linux
}

// Large streaming bodies arrive complete, and the daemon's memory stays under a fixed limit whichever side is slow.
// TULIPROCK_TEST_STREAMED_GIB sets the size of the bodies in GiB, for the measurement of docs/design/016; without it the bodies
// are smaller.
func TestStreamingBodiesStayUnderMemoryCeiling(t *testing.T) {
	bodyGiB, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_STREAMED_GIB"))
	// singleBodyBytes, the size of a body that is transferred alone, is larger than memoryLimitKiB, so that the test fails if the
	// daemon buffers the body. Slow nodes and slow clients transfer slowMiBPerSecond MiB per second.
	singleBodyBytes, concurrentBodyBytes, slowMiBPerSecond := int64(256<<20), int64(1<<20), 4
	if bodyGiB > 0 {
		singleBodyBytes, concurrentBodyBytes, slowMiBPerSecond = int64(bodyGiB)<<30, int64(bodyGiB)<<30/50, 20
	}
	memoryLimitKiB := 32 << 10 // limit of the memory that the daemon may use in addition to its memory when idle
	if isRaceDetectorOn {      // the race detector's shadow memory is several times as large as the memory of the program
		memoryLimitKiB = 128 << 10
	}
	daemon, daemonAddr, _ := startStreamingDaemon(t, "")
	pid := daemon.cmd.Process.Pid
	if _, err := transfer(daemonAddr, "down", "", 1, false, 0); err != nil {
		t.Fatal(err)
	}
	idleKiB := readProcessMemoryKiB(pid, "VmRSS")
	for _, row := range []struct {
		name       string
		count      int    // number of concurrent transfers
		size       int64  // size of each body in bytes
		query      string // URL query that serveBulk reads
		clientRate int    // maximum rate of each client in bytes per second; 0: not limited
	}{
		{"1 transfer", 1, singleBodyBytes, "", 0}, {"50 transfers", 50, concurrentBodyBytes, "", 0},
		{"50 transfers, slow node", 50, concurrentBodyBytes, fmt.Sprintf("mbs=%d", slowMiBPerSecond), 0},
		{"50 transfers, slow client", 50, concurrentBodyBytes, "", slowMiBPerSecond << 20},
		{"50 transfers, both slow", 50, concurrentBodyBytes, fmt.Sprintf("mbs=%d", slowMiBPerSecond), slowMiBPerSecond << 20},
	} {
		for _, direction := range []string{"up", "down"} {
			h := sha256.New()
			_, _ = io.Copy(h, newBody(true, row.size))
			want := fmt.Sprintf("%x", h.Sum(nil))
			start := time.Now()
			var transfers sync.WaitGroup
			var shedCount atomic.Int32
			for range row.count {
				transfers.Go(func() {
					got, shedAttempts, err := transferUntilAdmitted(daemonAddr, direction, "hash=1&"+row.query, row.size, true, row.clientRate)
					shedCount.Add(int32(shedAttempts))
					if err != nil || got != want {
						t.Errorf("%s, %s: hash %q, error %v, want %q", row.name, direction, got, err, want)
					}
				})
			}
			transfers.Wait()
			duration, peakKiB := time.Since(start), readProcessMemoryKiB(pid, "VmHWM")
			t.Logf("%s, %s: %d x %d MiB in %.1f s, %d attempts shed; memory of the idle daemon %d KiB, at the peak %d KiB more",
				row.name, direction, row.count, row.size>>20, duration.Seconds(), shedCount.Load(), idleKiB, peakKiB-idleKiB)
			if peakKiB-idleKiB > memoryLimitKiB {
				t.Errorf("%s, %s: peak memory is %d KiB over that of the idle daemon, want at most %d", row.name, direction, peakKiB-idleKiB, memoryLimitKiB)
			}
		}
	}
}

// This test measures the throughput and the processor time of transfers of large bodies through this daemon, through
// httputil.ReverseProxy and through a loop of io.Copy, each on one core. The three are measured in turn,
// TULIPROCK_TEST_THROUGHPUT_TURNS times each; if that variable is not set, the test is skipped. See docs/design/016.
func TestStreamingThroughputAgainstReverseProxyAndSplice(t *testing.T) {
	turns, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_THROUGHPUT_TURNS"))
	if turns == 0 {
		t.Skip("TULIPROCK_TEST_THROUGHPUT_TURNS is not set: this is a measurement, for an idle machine")
	}
	daemon, daemonAddr, nodeAddr := startStreamingDaemon(t, "")
	addrs := []string{daemonAddr, testpeer.FreeAddress(t), testpeer.FreeAddress(t)}
	pids := []int{daemon.cmd.Process.Pid, startServerProcess(t, "proxy", addrs[1], nodeAddr), startServerProcess(t, "splice", addrs[2], nodeAddr)}
	const totalBytes = 2 << 30
	for _, direction := range []string{"up", "down"} {
		for _, count := range []int{1, 8} {
			var rates, cpuTimes [2][]float64 // throughput and processor time of the daemon, divided by those of ReverseProxy (index 0) and of the io.Copy loop (index 1); one ratio per turn
			for i := range turns {
				var rate, cpuTime [3]float64 // throughput in MiB per second and processor time in seconds per GiB, of the daemon, ReverseProxy and the io.Copy loop
				for k := range 3 {
					variant := (i + k) % 3
					start, cpuTimeBefore := time.Now(), readProcessorTime(pids[variant])
					var transfers sync.WaitGroup
					for range count {
						transfers.Go(func() {
							if _, err := transfer(addrs[variant], direction, "", totalBytes/int64(count), false, 0); err != nil {
								t.Error(err)
							}
						})
					}
					transfers.Wait()
					rate[variant] = totalBytes / time.Since(start).Seconds() / (1 << 20)
					cpuTime[variant] = (readProcessorTime(pids[variant]) - cpuTimeBefore).Seconds() / (float64(totalBytes) / (1 << 30))
				}
				t.Logf("%s, %d concurrent; daemon, ReverseProxy and io.Copy: %.0f, %.0f, %.0f MiB/s; %.2f, %.2f, %.2f s of processor time per GiB",
					direction, count, rate[0], rate[1], rate[2], cpuTime[0], cpuTime[1], cpuTime[2])
				for k := range 2 {
					rates[k], cpuTimes[k] = append(rates[k], rate[0]/rate[k+1]), append(cpuTimes[k], cpuTime[0]/cpuTime[k+1])
				}
			}
			t.Logf("%s, %d concurrent; daemon relative to ReverseProxy and to io.Copy: rate %s and %s, processor time %s and %s",
				direction, count, formatRatios(rates[0]), formatRatios(rates[1]), formatRatios(cpuTimes[0]), formatRatios(cpuTimes[1]))
		}
	}
}

// measureSmallRequests sends small requests at a steady rate for a duration. It returns the median and the p99 of the latencies
// in µs, measured from the time at which each request was due, and the fraction of requests that were shed.
func measureSmallRequests(t *testing.T, addr string, duration time.Duration) (p50, p99, shedFraction float64) {
	t.Helper()
	const connections = 500
	request, err := loadgen.NewRequestTemplate(http.MethodGet, "http://"+addr+"/item?give=512", nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	sender := loadgen.NewHTTPSender(request, connections, nil)
	defer sender.Close()
	result, err := loadgen.Run(t.Context(), loadgen.Options{Process: schedule.Process{Rate: schedule.Steady(800), Gaps: schedule.Even}, Seed: 1, Duration: duration,
		ResponseTimeout: testpeer.Timeout, Connections: connections}, sender)
	if err != nil {
		t.Fatal(err)
	}
	if result.InvalidReason != "" {
		t.Log("the load run is not valid:", result.InvalidReason)
	}
	outcomes := result.CountByOutcome()
	for outcome, n := range outcomes {
		if outcome != "200" && outcome != "503" {
			t.Errorf("%d small requests had the outcome %s, want 200 or 503", n, outcome)
		}
	}
	quantileUs := func(q float64) float64 { return float64(result.Latency.Quantile(q).Microseconds()) }
	return quantileUs(0.5), quantileUs(0.99), float64(outcomes["503"]) / float64(result.Scheduled)
}

// This test measures the latency of small requests in three situations: without other load, during 50 large transfers through
// the same daemon and pool, and during 50 transfers that bypass the daemon. Each situation is measured
// TULIPROCK_TEST_LOOKUP_TURNS times, in turn, and each transfer runs at TULIPROCK_TEST_TRANSFER_MIB_PER_S MiB per second; unless
// both variables are set, the test is skipped. See docs/design/016.
func TestSmallRequestLatencyDuringTransfers(t *testing.T) {
	turns, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_LOOKUP_TURNS"))
	transferMiBPerSecond, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_TRANSFER_MIB_PER_S"))
	if turns == 0 || transferMiBPerSecond == 0 {
		t.Skip("TULIPROCK_TEST_LOOKUP_TURNS and TULIPROCK_TEST_TRANSFER_MIB_PER_S are not both set: this is a measurement, for an idle machine")
	}
	_, daemonAddr, nodeAddr := startStreamingDaemon(t, "")
	const duration = 4 * time.Second
	startTransfers := func(addr string) *sync.WaitGroup {
		var transfers sync.WaitGroup
		for i := range 50 {
			transfers.Go(func() {
				direction := []string{"up", "down"}[i%2]
				if _, _, err := transferUntilAdmitted(addr, direction, "", int64(transferMiBPerSecond)<<20*6, false, transferMiBPerSecond<<20); err != nil {
					t.Error(err)
				}
			})
		}
		time.Sleep(time.Second)
		return &transfers
	}
	var throughRatios, bypassRatios []float64 // p99 during transfers through the daemon or past it, divided by the p99 without transfers; one ratio per turn
	for i := range turns {
		var p99 [3]float64
		for k := range 3 {
			variant := (i + k) % 3
			var transfers *sync.WaitGroup
			if variant > 0 {
				transfers = startTransfers([]string{"", daemonAddr, nodeAddr}[variant])
			}
			var p50, shedFraction float64
			p50, p99[variant], shedFraction = measureSmallRequests(t, daemonAddr, duration)
			if transfers != nil {
				transfers.Wait()
			}
			t.Logf("%s: p50 %.0f us, p99 %.0f us, fraction shed %.3f",
				[]string{"without transfers", "with transfers through the daemon", "with transfers that bypass the daemon"}[variant], p50, p99[variant], shedFraction)
		}
		throughRatios, bypassRatios = append(throughRatios, p99[1]/p99[0]), append(bypassRatios, p99[2]/p99[0])
	}
	t.Logf("p99 of small requests relative to that without transfers: %s with 50 transfers of %d MiB/s through the daemon, %s if they bypass it",
		formatRatios(throughRatios), transferMiBPerSecond, formatRatios(bypassRatios))
}

// A daemon with a memory limit of 192 MB and 1,024 descriptors gets 500 concurrent uploads of 1 GiB each: most of them wait or are
// shed, small requests are served meanwhile, and all uploads have got a response when the daemon has shut down. The daemon gets
// SIGTERM after TULIPROCK_TEST_UPLOAD_SECONDS seconds; if that variable is not set, the test is skipped.
func TestManyConcurrentUploadsAreAllAnswered(t *testing.T) {
	uploadSeconds, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_UPLOAD_SECONDS"))
	if uploadSeconds == 0 {
		t.Skip("TULIPROCK_TEST_UPLOAD_SECONDS is not set: this is a measurement, for an idle machine")
	}
	daemon, daemonAddr, _ := startStreamingDaemon(t, "memory_mb = 192\nbody_memory_mb = 64\ndrain_timeout = \"1s\"")
	pid := daemon.cmd.Process.Pid
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: 1024, Max: 1024}, nil); err != nil {
		t.Fatal(err)
	}
	const noResponse = "no response"
	var mu sync.Mutex
	outcomes := map[string]int{} // number of uploads by response status or error
	var uploads sync.WaitGroup
	for range 500 {
		uploads.Go(func() {
			outcome := noResponse
			defer func() { mu.Lock(); defer mu.Unlock(); outcomes[outcome]++ }()
			nc, err := net.Dial("tcp", daemonAddr)
			if err != nil {
				outcome = err.Error()
				return
			}
			defer nc.Close()
			_, _ = fmt.Fprintf(nc, "PUT /bulk HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<30)
			go func() { _, _ = io.Copy(nc, newBody(false, 1<<30)) }()
			if resp, err := http.ReadResponse(bufio.NewReader(nc), nil); err == nil {
				outcome = resp.Status
			}
		})
	}
	time.Sleep(time.Duration(uploadSeconds) * time.Second)
	p50, p99, shedFraction := measureSmallRequests(t, daemonAddr, 2*time.Second)
	t.Logf("small requests meanwhile (latency objective 15 s): p50 %.0f us, p99 %.0f us, fraction shed %.3f; peak memory of the daemon %d KiB",
		p50, p99, shedFraction, readProcessMemoryKiB(pid, "VmHWM"))
	_ = daemon.cmd.Process.Signal(syscall.SIGTERM)
	uploads.Wait()
	t.Logf("outcomes of the uploads: %v", outcomes)
	if outcomes[noResponse] > 0 {
		t.Errorf("%d uploads got no response, want none", outcomes[noResponse])
	}
	if peakKiB := readProcessMemoryKiB(pid, "VmHWM"); peakKiB > 192<<10 {
		t.Errorf("peak memory %d KiB, want at most %d KiB", peakKiB, 192<<10)
	}
}
