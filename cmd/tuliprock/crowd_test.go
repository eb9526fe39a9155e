package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"tuliprock/internal/testkit/crowd"
	"tuliprock/internal/testkit/testpeer"
)

// The smallest limits that the platform gives a process, and the number of clients that are connected at once.
const (
	smallestMemoryMB    = 32
	crowdDescriptors    = 1024
	crowdClients        = 470
	crowdMemoryLimitKiB = smallestMemoryMB * 1_000_000 / 1024 // the whole resident set, with MB read as 1,000,000 bytes
)

// daemonDir is the directory in which buildDaemon has built the program; empty if it was not called.
var daemonDir string

// buildDaemon returns the path of the program as the deploy file builds it, without the race detector, whose shadow memory would be
// measured too.
var buildDaemon = sync.OnceValues(func() (string, error) {
	var err error
	if daemonDir, err = os.MkdirTemp("", "tuliprock-daemon"); err != nil {
		return "", err
	}
	path := filepath.Join(daemonDir, "tuliprockd")
	cmd := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", path, "tuliprock/cmd/tuliprockd")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if output, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return path, nil
})

// startStage starts the program as it is deployed, with the smallest limits.
func startStage(t *testing.T, seed uint64, change func(*crowd.Options)) *crowd.Stage {
	t.Helper()
	path, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	o := crowd.Options{
		Program: func() *exec.Cmd { return exec.Command(path) }, Dir: t.TempDir(),
		Addr: testpeer.FreeAddress(t), AdminAddr: testpeer.FreeAddress(t),
		MemoryMB: smallestMemoryMB, Descriptors: crowdDescriptors, Endpoints: 6, Seed: seed,
	}
	if change != nil {
		change(&o)
	}
	stage, err := crowd.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stage.Close)
	return stage
}

// playCrowd keeps clients of the forms connected until ctx ends: whoever is closed on comes back.
func playCrowd(ctx context.Context, stage *crowd.Stage, seed uint64, count int, forms []crowd.Form) (wait func()) {
	var clients sync.WaitGroup
	for i := range count {
		clients.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				c := &crowd.Client{Addr: stage.Addr, Deadline: 2500 * time.Millisecond}
				if c.Run(ctx, forms[random.IntN(len(forms))]) != nil {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	return clients.Wait
}

// usualOutcomes counts how the requests of usual clients ended.
type usualOutcomes struct {
	sent, served, refused, failed int
	closed                        int      // the connection was closed without an answer, or could not be opened
	late                          int      // no answer came within half a second after the request's time
	unanswered                    []string // ids of those that were closed on or late, with the reason
}

// usualRequests sends lookups, each on a connection of its own, until ctx ends.
func usualRequests(ctx context.Context, stage *crowd.Stage) (o usualOutcomes) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	for ticker := time.NewTicker(200 * time.Millisecond); ctx.Err() == nil; <-ticker.C {
		o.sent++
		requests.Go(func() {
			r := crowd.Request{Class: crowd.LookupClass, Behavior: crowd.Behavior{Work: 20 * time.Millisecond}, Deadline: 2300 * time.Millisecond}
			r.Patience = r.Deadline + answerSlack
			a := r.Send(stage.Addr)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case a.Status == http.StatusOK:
				o.served++
			case a.Status == http.StatusServiceUnavailable:
				o.refused++
			case a.Status != 0:
				o.failed++
			case a.Took() >= r.Patience:
				o.late++
				o.unanswered = append(o.unanswered, fmt.Sprintf("%s late, sent %v", a.ID, a.SentAt.Format("05.000")))
			default:
				o.closed++
				o.unanswered = append(o.unanswered, fmt.Sprintf("%s %v after %v", a.ID, a.Err, a.Took()))
			}
		})
	}
	requests.Wait()
	return o
}

// crowdsAtOnce limits how many crowds are played at a time, so that the clients get enough of the processors.
var crowdsAtOnce = make(chan struct{}, 3)

// Whatever hundreds of clients do at once, the process must stay within the smallest memory limit, or the platform kills it, and usual
// clients must get their final answers.
// TULIPROCK_TEST_CROWD_SECONDS sets how long each form is played, TULIPROCK_TEST_CROWD_FORMS which ones, as a regular expression.
func TestCrowdStaysWithinMemoryLimit(t *testing.T) {
	seconds, _ := strconv.Atoi(os.Getenv("TULIPROCK_TEST_CROWD_SECONDS"))
	only := regexp.MustCompile(os.Getenv("TULIPROCK_TEST_CROWD_FORMS"))
	crowds := map[string][]crowd.Form{"all forms": crowd.Forms}
	for _, form := range crowd.Forms {
		crowds[form.Name] = []crowd.Form{form}
	}
	for name, forms := range crowds {
		if !only.MatchString(name) {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			crowdsAtOnce <- struct{}{}
			defer func() { <-crowdsAtOnce }()
			stage := startStage(t, 1, func(o *crowd.Options) { o.Endpoints = 22 })
			ctx, stop := context.WithTimeout(t.Context(), time.Duration(max(seconds, 3))*time.Second)
			defer stop()
			wait := playCrowd(ctx, stage, 1, crowdClients, forms)
			outcomes := usualRequests(ctx, stage)
			memory, err := stage.Memory()
			if err != nil {
				t.Fatalf("%v; log: %s", err, stage.Log())
			}
			stop()
			wait()
			t.Logf("peak %d KiB, anonymous at the end %d KiB; usual requests: %+v", memory.Peak, memory.Anonymous, outcomes)
			if memory.Peak > crowdMemoryLimitKiB {
				t.Errorf("the resident set reached %d KiB, want at most %d", memory.Peak, crowdMemoryLimitKiB)
			}
			if outcomes.late > 0 {
				t.Errorf("%d of %d usual requests had no answer half a second after their time: %v; log: %.4000s", outcomes.late, outcomes.sent, outcomes.unanswered, stage.Log())
			}
		})
	}
}
