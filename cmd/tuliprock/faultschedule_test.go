package main

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/faultnet"
	"tuliprock/internal/testkit/testpeer"
)

// faultSchedule is one run of random faults on a cluster of daemon processes. During the run clients send requests through
// all daemons and change the settings; what they observe is recorded, and checked at the end.
type faultSchedule struct {
	*testCluster
	rng       *rand.Rand     // source of the random choice of faults
	startedAt time.Time      // start of the schedule
	clients   sync.WaitGroup // goroutines that send requests and change settings
	isOver    atomic.Bool    // whether all faults are over, so that the clients must stop

	mu              sync.Mutex                // guards the following fields, up to flagOperations
	requestsSent    map[string]sentRequest    // requests that clients sent, by request id
	requestsArrived map[string]arrivedRequest // latest arrival of each request at a node, by request id
	requestsShed    map[string]bool           // set of the ids of requests whose response had status 503
	unansweredCount int                       // number of requests without a response, for example because their daemon was killed
	violations      []string                  // descriptions of single observations that break a guarantee
	incarnations    []int                     // number of restarts of each daemon, by the daemon's index
	pausesByDaemon  [][]daemonPause           // intervals in which each daemon was paused by SIGSTOP, by the daemon's index
	isRunning       []bool                    // whether each daemon is running, as opposed to killed, by the daemon's index
	markByDigest    map[[32]byte]string       // mark (value of settingsMarkHeader) of each settings text, by the SHA-256 digest of the text
	digestByVersion map[uint64][32]byte       // SHA-256 digest of each settings text that was put, by the version that the response named
	flagOperations  []porcupine.Operation     // puts and reads of the document flagName, to check for linearizability

	faults []injectedFault // injected faults, in the order of their start
}

// injectedFault records when a fault started. A shed request is attributed to the last fault that started before the request
// was sent.
type injectedFault struct {
	kind      string        // kind of the fault as injectFault returned it, such as "cut" or "kill"
	startedAt time.Duration // when the fault started, as a time since the start of the schedule
}

// sentRequest records through which daemon and when a client sent a request.
type sentRequest struct {
	daemon      int           // index of the daemon that the request was sent to
	incarnation int           // how often the daemon had been restarted when the request was sent
	sentAt      time.Duration // when the request was sent, as a time since the start of the schedule
}

// arrivedRequest records with which value of settingsMarkHeader, and when, a request arrived at a node.
type arrivedRequest struct {
	mark      string        // value of settingsMarkHeader; empty if the request was forwarded before the first settings were active
	arrivedAt time.Duration // when the request arrived, as a time since the start of the schedule
}

// daemonPause is an interval in which a daemon was paused by SIGSTOP. Its bounds are times since the start of the schedule.
type daemonPause struct{ from, to time.Duration }

const (
	faultDurationSpread    = 2500 * time.Millisecond // a fault lasts 200 ms plus a random time below faultDurationSpread
	faultInjectionDuration = 12 * time.Second        // time since the start of the schedule after which no further fault is injected
	minFaultGap            = 500 * time.Millisecond  // minimum time from the end of a fault to the start of the next one
	requestInterval        = 8 * time.Millisecond    // time between two requests of a client
	operationInterval      = 150 * time.Millisecond  // time between two operations of a client on the settings
	flagName               = "flag/x"                // name of the document whose puts and reads are checked for linearizability
)

// elapsed returns the time since the start of the schedule. All observations are recorded with this time.
func (s *faultSchedule) elapsed() time.Duration { return time.Since(s.startedAt) }

// newFaultSchedule starts a cluster of the given number of daemons, three of them voters, for a schedule. The seed determines
// which faults the schedule injects.
func newFaultSchedule(t *testing.T, seed uint64, daemons int) *faultSchedule {
	t.Helper()
	s := &faultSchedule{
		rng:             rand.New(rand.NewPCG(seed, 4)),
		startedAt:       time.Now(),
		requestsSent:    map[string]sentRequest{},
		requestsArrived: map[string]arrivedRequest{},
		requestsShed:    map[string]bool{},
		incarnations:    make([]int, daemons),
		pausesByDaemon:  make([][]daemonPause, daemons),
		isRunning:       make([]bool, daemons),
		markByDigest:    map[[32]byte]string{},
		digestByVersion: map[uint64][32]byte{},
	}
	for i := range s.isRunning {
		s.isRunning[i] = true
	}
	// Only daemons built with the race detector read this variable. They all start with the clock rate 0.99; later startDaemon
	// draws a rate for each restarted daemon, so that clock rates differ by as much as the configuration tolerates.
	t.Setenv(transport.ClockRateEnv, "0.99")
	s.testCluster = newTestCluster(t, clusterSpec{
		daemons: daemons, voters: 3, allHaveDataDir: true, extraConfig: `shared = { unsure = "refuse" }`, onRequest: s.recordArrival,
	})
	return s
}

// recordArrival records a request that arrives at a node. If an earlier attempt of the request arrived with another value of
// settingsMarkHeader, recordArrival records a violation, since a single version of the settings must apply to all attempts of a
// request.
func (s *faultSchedule) recordArrival(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("Req-Id")
	if earlier, ok := s.requestsArrived[id]; ok && earlier.mark != r.Header.Get(settingsMarkHeader) {
		s.violations = append(s.violations, fmt.Sprintf("request %s arrived with the marks %q and %q, want only one", id, earlier.mark, r.Header.Get(settingsMarkHeader)))
	}
	s.requestsArrived[id] = arrivedRequest{r.Header.Get(settingsMarkHeader), s.elapsed()}
}

// sendRequests sends requests through a daemon, one after another, until the schedule is over. It sends fewer requests while the
// daemon is down.
func (s *faultSchedule) sendRequests(daemon int) {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; !s.isOver.Load(); n++ {
		id := fmt.Sprintf("s%d-%d", daemon, n)
		s.mu.Lock()
		isRunning := s.isRunning[daemon]
		s.requestsSent[id] = sentRequest{daemon, s.incarnations[daemon], s.elapsed()}
		s.mu.Unlock()
		status, retryAfter, err := s.daemons[daemon].sendRequest(client, id)
		s.mu.Lock()
		switch {
		case err != nil:
			s.unansweredCount++
		case status == http.StatusServiceUnavailable:
			s.requestsShed[id] = true
			if retryAfter == "" {
				s.violations = append(s.violations, "request "+id+" was shed without Retry-After")
			}
		case status != http.StatusOK:
			s.violations = append(s.violations, fmt.Sprintf("request %s got status %d, want 200 or 503", id, status))
		}
		s.mu.Unlock()
		if time.Sleep(requestInterval); !isRunning {
			time.Sleep(10 * requestInterval)
		}
	}
}

// sendOperations puts settings, or puts or reads the document flagName, through random daemons, until the schedule is over.
func (s *faultSchedule) sendOperations(client int, rng *rand.Rand) {
	for n := 0; !s.isOver.Load(); n++ {
		s.mu.Lock()
		d := rng.IntN(len(s.daemons))
		isRunning := s.isRunning[d]
		s.mu.Unlock()
		if isRunning {
			value := fmt.Sprintf("%d-%d", client, n)
			switch rng.IntN(3) {
			case 0:
				_, _ = s.putSettings(d, value, rng.IntN(3)*rng.IntN(20_000))
			case 1:
				s.putFlag(d, value)
			default:
				s.readFlag(d)
			}
		}
		time.Sleep(operationInterval)
	}
}

// injectFault draws a fault, keeps it up for a random time, ends it and returns its kind. The order of the random draws must not
// change, or a seed no longer gives the same schedule.
func (s *faultSchedule) injectFault() string {
	duration := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(faultDurationSpread)))
	names := make([]string, len(s.daemons))
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	s.rng.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	n := 1 + s.rng.IntN(len(names)-1)
	groupA, groupB := names[:n], names[n:]
	d := s.rng.IntN(len(s.daemons))
	if leader := s.findLeader(); leader >= 0 && s.rng.IntN(2) == 0 {
		d = leader
	}
	switch faultKind := s.rng.IntN(8); faultKind {
	case 0:
		s.network.SetLinksBetween(groupA, groupB, faultnet.Link{IsCut: true})
		time.Sleep(duration)
		s.network.Heal()
		return "cut"
	case 1: // two partitions in a row: the second isolates one daemon, which may have been elected leader during the first
		s.network.SetLinksBetween(groupA, groupB, faultnet.Link{IsCut: true})
		time.Sleep(duration / 2)
		s.network.Heal()
		s.network.SetLinksBetween(groupB[:1], names, faultnet.Link{IsCut: true})
		time.Sleep(duration / 2)
		s.network.Heal()
		return "cuts"
	case 2:
		s.network.SetLinksOneWay(groupA, groupB, faultnet.Link{IsCut: true})
		time.Sleep(duration)
		s.network.Heal()
		return "one way"
	case 3:
		s.network.SetLinksBetween(names, names, faultnet.Link{LossProbability: 0.3, Delay: 20 * time.Millisecond, Jitter: 50 * time.Millisecond, DuplicateProbability: 0.1})
		time.Sleep(duration)
		s.network.Heal()
		return "loss"
	case 4, 5:
		s.daemons[d].signal(s.t, syscall.SIGSTOP)
		from := s.elapsed()
		time.Sleep(duration)
		to := s.elapsed()
		s.mu.Lock()
		s.pausesByDaemon[d] = append(s.pausesByDaemon[d], daemonPause{from, to})
		s.mu.Unlock()
		s.daemons[d].signal(s.t, syscall.SIGCONT)
		return "stop"
	case 6:
		s.killDaemon(d)
		time.Sleep(duration / 2)
		if s.rng.IntN(3) == 0 && d >= 3 { // a daemon that is not a voter may lose its data_dir
			_ = os.RemoveAll(filepath.Join(s.dataDir, fmt.Sprint("s", d)))
		}
		s.startDaemon(d)
		return "kill"
	default:
		for i := range s.daemons {
			s.killDaemon(i)
		}
		for i := range s.daemons {
			s.startDaemon(i)
		}
		return "kill all"
	}
}

// killDaemon kills a daemon and waits until its process has exited.
func (s *faultSchedule) killDaemon(d int) {
	s.mu.Lock()
	s.isRunning[d] = false
	s.mu.Unlock()
	s.daemons[d].signal(s.t, syscall.SIGKILL)
	_ = s.daemons[d].wait()
}

// startDaemon restarts a daemon with a clock rate within the configured tolerance. It does not wait until the daemon is ready.
func (s *faultSchedule) startDaemon(d int) {
	s.t.Setenv(transport.ClockRateEnv, []string{"0.99", "1", "1.01"}[s.rng.IntN(3)])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations[d]++
	s.isRunning[d] = true
	s.daemons[d].process = startProcess(s.t, "serve", "--config", s.daemons[d].configPath)
}

// run starts the clients, injects faults, and waits until the cluster agrees on a last put of settings. Then it checks with
// checkGuarantees whether the recorded observations break a guarantee of the cluster.
func (s *faultSchedule) run() {
	t := s.t
	_, _ = s.putSettings(0, "first", 0)
	for d := range s.daemons {
		s.clients.Go(func() { s.sendRequests(d) })
	}
	for i := range 3 {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
		s.clients.Go(func() { s.sendOperations(i, rng) })
	}
	for s.elapsed() < faultInjectionDuration {
		startedAt := s.elapsed()
		fault := s.injectFault()
		s.faults = append(s.faults, injectedFault{fault, startedAt})
		gap := minFaultGap + time.Duration(s.rng.Int64N(int64(time.Second)))
		t.Logf("%v: fault %q has ended", s.elapsed().Round(time.Millisecond), fault)
		time.Sleep(gap)
	}
	var lastPut *status.CommandResult
	testpeer.Eventually(t, "the last put is agreed on", func() bool {
		var err error
		lastPut, err = s.putSettings(s.rng.IntN(3), "last", 0)
		return err == nil
	})
	s.awaitActive(s.daemons, lastPut.Version)
	s.isOver.Store(true)
	s.clients.Wait()
	s.checkGuarantees(lastPut.Version)
}

// The guarantees that checkGuarantees lists hold while clusters of five daemons, or of seven for every second seed, go through
// random faults. TULIPROCK_TEST_FAULT_SCHEDULES is the number of schedules, 1 by default, and TULIPROCK_TEST_FAULT_SCHEDULE_SEED
// the seed of the first one.
func TestClusterGuaranteesHoldUnderRandomFaults(t *testing.T) {
	scheduleCount, err := strconv.Atoi(cmp.Or(os.Getenv("TULIPROCK_TEST_FAULT_SCHEDULES"), "1"))
	firstSeed, seedErr := strconv.ParseUint(cmp.Or(os.Getenv("TULIPROCK_TEST_FAULT_SCHEDULE_SEED"), "1"), 10, 64)
	if err := errors.Join(err, seedErr); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(scheduleCount) {
		seed := firstSeed + i
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			newFaultSchedule(t, seed, 5+2*int((seed+1)%2)).run()
		})
	}
}
