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

// faultSchedule is one run of random faults on real processes, with requests through all of them and operations on the
// settings all the time, and what was observed.
type faultSchedule struct {
	*testCluster
	rng       *rand.Rand
	startedAt time.Time
	load      sync.WaitGroup
	isOver    atomic.Bool

	mu              sync.Mutex
	requestsSent    map[string]sentRequest    // by id
	requestsArrived map[string]arrivedRequest // by id
	requestsShed    map[string]bool           // ids of requests that were answered with 503
	unansweredCount int                       // requests without a response: their daemon was killed
	violations      []string                  // what contradicts a guarantee by itself
	incarnations    []int                     // of each daemon
	pauses          [][]pause                 // of each daemon
	isUp            []bool
	marks           map[[32]byte]string // the mark of each settings text, by its digest
	versionDigests  map[uint64][32]byte // the digest of the text that made a version, by the response to its put
	flagOperations  []porcupine.Operation

	faults []injectedFault
}

// injectedFault is a fault that was injected; its effect lasts until the next one begins.
type injectedFault struct {
	name string
	from time.Duration
}

type sentRequest struct {
	daemon, incarnation int
	at                  time.Duration
}

type arrivedRequest struct {
	mark string
	at   time.Duration
}

// pause is for how long a daemon was stopped by SIGSTOP.
type pause struct{ from, to time.Duration }

const (
	maxFaultDuration  = 2500 * time.Millisecond // added to the least, 200 ms
	faultsDuration    = 12 * time.Second        // for how long faults are injected
	minFaultGap       = 500 * time.Millisecond  // between two faults
	requestInterval   = 8 * time.Millisecond    // between two requests through a daemon
	operationInterval = 150 * time.Millisecond  // between two operations of a client on the settings
	flagName          = "flag/x"                // the document that is checked for linearizability
)

// now is the time since the schedule was created, by which all observations are dated.
func (s *faultSchedule) now() time.Duration { return time.Since(s.startedAt) }

func newFaultSchedule(t *testing.T, seed uint64, daemons int) *faultSchedule {
	t.Helper()
	s := &faultSchedule{
		rng:             rand.New(rand.NewPCG(seed, 4)),
		startedAt:       time.Now(),
		requestsSent:    map[string]sentRequest{},
		requestsArrived: map[string]arrivedRequest{},
		requestsShed:    map[string]bool{},
		incarnations:    make([]int, daemons),
		pauses:          make([][]pause, daemons),
		isUp:            make([]bool, daemons),
		marks:           map[[32]byte]string{},
		versionDigests:  map[uint64][32]byte{},
	}
	for i := range s.isUp {
		s.isUp[i] = true
	}
	// In builds with the race detector clocks differ by as much as is tolerated; all daemons start with one rate.
	t.Setenv(transport.ClockRate, "0.99")
	s.testCluster = newTestCluster(t, clusterSpec{
		daemons: daemons, voters: 3, persist: true, shared: `shared = { unsure = "refuse" }`, onRequest: s.recordArrival,
	})
	return s
}

// recordArrival is called with each request that arrives at a node. A request must not arrive by two versions.
func (s *faultSchedule) recordArrival(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("Req-Id")
	if was, ok := s.requestsArrived[id]; ok && was.mark != r.Header.Get(markHeader) {
		s.violations = append(s.violations, fmt.Sprintf("%s came by %q and by %q", id, was.mark, r.Header.Get(markHeader)))
	}
	s.requestsArrived[id] = arrivedRequest{r.Header.Get(markHeader), s.now()}
}

// sendRequests sends requests through a daemon, one after another, until the schedule is over.
func (s *faultSchedule) sendRequests(daemon int) {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for n := 0; !s.isOver.Load(); n++ {
		id := fmt.Sprintf("s%d-%d", daemon, n)
		s.mu.Lock()
		up := s.isUp[daemon]
		s.requestsSent[id] = sentRequest{daemon, s.incarnations[daemon], s.now()}
		s.mu.Unlock()
		status, after, err := s.daemons[daemon].get(client, id)
		s.mu.Lock()
		switch {
		case err != nil:
			s.unansweredCount++
		case status == http.StatusServiceUnavailable:
			s.requestsShed[id] = true
			if after == "" {
				s.violations = append(s.violations, id+" was refused without advice")
			}
		case status != http.StatusOK:
			s.violations = append(s.violations, fmt.Sprintf("%s was answered with %d", id, status))
		}
		s.mu.Unlock()
		if time.Sleep(requestInterval); !up {
			time.Sleep(10 * requestInterval)
		}
	}
}

// sendOperations puts settings and a flag, and reads the flag, by way of random daemons, until the schedule is over.
func (s *faultSchedule) sendOperations(client int, rng *rand.Rand) {
	for n := 0; !s.isOver.Load(); n++ {
		s.mu.Lock()
		d := rng.IntN(len(s.daemons))
		up := s.isUp[d]
		s.mu.Unlock()
		if up {
			value := fmt.Sprintf("%d-%d", client, n)
			switch rng.IntN(3) {
			case 0:
				_, _ = s.putText(d, value, rng.IntN(3)*rng.IntN(20_000))
			case 1:
				s.putFlag(d, value)
			default:
				s.readFlag(d)
			}
		}
		time.Sleep(operationInterval)
	}
}

// injectFault draws a fault, injects it for a random time, ends it, and returns its name.
func (s *faultSchedule) injectFault() string {
	length := 200*time.Millisecond + time.Duration(s.rng.Int64N(int64(maxFaultDuration)))
	names := make([]string, len(s.daemons))
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	s.rng.Shuffle(len(names), func(i, k int) { names[i], names[k] = names[k], names[i] })
	n := 1 + s.rng.IntN(len(names)-1)
	some, others := names[:n], names[n:]
	d := s.rng.IntN(len(s.daemons))
	if leads := s.leader(); leads >= 0 && s.rng.IntN(2) == 0 {
		d = leads
	}
	switch which := s.rng.IntN(8); which {
	case 0:
		s.net.SetLinksBetween(some, others, faultnet.Link{Cut: true})
		time.Sleep(length)
		s.net.Heal()
		return "cut"
	case 1: // two partitions in a row, so that a new leader is lost at once
		s.net.SetLinksBetween(some, others, faultnet.Link{Cut: true})
		time.Sleep(length / 2)
		s.net.Heal()
		s.net.SetLinksBetween(others[:1], names, faultnet.Link{Cut: true})
		time.Sleep(length / 2)
		s.net.Heal()
		return "cuts"
	case 2:
		s.net.SetLinksOneWay(some, others, faultnet.Link{Cut: true})
		time.Sleep(length)
		s.net.Heal()
		return "one way"
	case 3:
		s.net.SetLinksBetween(names, names, faultnet.Link{Loss: 0.3, Delay: 20 * time.Millisecond, Jitter: 50 * time.Millisecond, Duplicate: 0.1})
		time.Sleep(length)
		s.net.Heal()
		return "loss"
	case 4, 5:
		s.daemons[d].signal(s.t, syscall.SIGSTOP)
		from := s.now()
		time.Sleep(length)
		to := s.now()
		s.mu.Lock()
		s.pauses[d] = append(s.pauses[d], pause{from, to})
		s.mu.Unlock()
		s.daemons[d].signal(s.t, syscall.SIGCONT)
		return "stop"
	case 6:
		s.kill(d)
		time.Sleep(length / 2)
		if s.rng.IntN(3) == 0 && d >= 3 { // a daemon that does not vote may lose its disk
			_ = os.RemoveAll(filepath.Join(s.dir, fmt.Sprint("s", d)))
		}
		s.start(d)
		return "kill"
	default:
		for i := range s.daemons {
			s.kill(i)
		}
		for i := range s.daemons {
			s.start(i)
		}
		return "kill all"
	}
}

func (s *faultSchedule) kill(d int) {
	s.mu.Lock()
	s.isUp[d] = false
	s.mu.Unlock()
	s.daemons[d].signal(s.t, syscall.SIGKILL)
	_ = s.daemons[d].wait()
}

// start starts a daemon again, with a clock rate within the tolerance, and does not wait until it is ready.
func (s *faultSchedule) start(d int) {
	s.t.Setenv(transport.ClockRate, []string{"0.99", "1", "1.01"}[s.rng.IntN(3)])
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations[d]++
	s.isUp[d] = true
	s.daemons[d].process = startProcess(s.t, "serve", "--config", s.daemons[d].path)
}

// run injects faults, and then checks the observations against the guarantees.
func (s *faultSchedule) run() {
	t := s.t
	_, _ = s.putText(0, "first", 0)
	for d := range s.daemons {
		s.load.Go(func() { s.sendRequests(d) })
	}
	for i := range 3 {
		rng := rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i)))
		s.load.Go(func() { s.sendOperations(i, rng) })
	}
	for s.now() < faultsDuration {
		from := s.now()
		what := s.injectFault()
		s.faults = append(s.faults, injectedFault{what, from})
		rest := minFaultGap + time.Duration(s.rng.Int64N(int64(time.Second)))
		t.Logf("%v: %s is over", s.now().Round(time.Millisecond), what)
		time.Sleep(rest)
	}
	var last *status.CommandResult
	testpeer.Eventually(t, "a last put is agreed on", func() bool {
		var err error
		last, err = s.putText(s.rng.IntN(3), "last", 0)
		return err == nil
	})
	s.awaitActive(s.daemons, last.Version)
	s.isOver.Store(true)
	s.load.Wait()
	s.judge(last.Version)
}

// SCHEDULES=number runs more of them, from SCHEDULE=seed on; every second one has seven daemons instead of five.
func TestRandomFaultSchedules(t *testing.T) {
	n, err := strconv.Atoi(cmp.Or(os.Getenv("SCHEDULES"), "1"))
	first, err2 := strconv.ParseUint(cmp.Or(os.Getenv("SCHEDULE"), "1"), 10, 64)
	if err := errors.Join(err, err2); err != nil {
		t.Fatal(err)
	}
	for i := range uint64(n) {
		seed := first + i
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			newFaultSchedule(t, seed, 5+2*int((seed+1)%2)).run()
		})
	}
}
