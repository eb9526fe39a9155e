package rehearse

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/schedule"
)

// Options say how a plan is played.
type Options struct {
	Command  func() *exec.Cmd   // runs one sidecar
	Serve    bool               // the command gets "serve --config FILE" and an operators' file; else ROUTER_CONFIG is set
	Logs     string             // folder that keeps the sidecars' logs; empty: none are kept
	Progress func(now Snapshot) // called some times a second, from one goroutine; nil: none
}

// Snapshot is how far a day has come.
type Snapshot struct {
	At, Length      time.Duration
	Asked, Answered float64 // worth of what is due so far and decided, and of what was answered in time
	InFlight        int
}

// Figures of the play itself.
const (
	sampleInterval           = 250 * time.Millisecond
	stallCheckInterval       = 5 * time.Millisecond
	maxNodeIdleConnections   = 64                     // idle connections that a node's own caller keeps: its slots bound those in use
	maxClientIdleConnections = 256                    // idle connections that all clients together keep
	maxEvents                = 4_000_000              // 40 for each first try that a plan may have; a quiet day with three tiers leaves about 20
	frontNoticeAfterTerm     = 300 * time.Millisecond // new connections go on coming after SIGTERM
	maxConcurrentStarts      = 8                      // sidecars that start at once
)

// rehearsal is a day that is being played.
type rehearsal struct {
	plan          *Plan
	options       Options
	ctx           context.Context
	recorder      *fake.Recorder
	registry      *fake.Registry
	frontLayer    *fake.FrontLayer
	clients       *fake.Client
	workDir       string
	sequence      atomic.Uint64
	cancel        context.CancelFunc
	notifications map[*fake.Agent]chan notification // on their way; not written to after build
	deliveries    sync.WaitGroup

	hosts         [][]*host // by tier
	frontSidecars []*sidecarProcess
	sidecars      []*sidecarProcess
	cluster       *cluster     // nil: the sidecars don't know one another
	extraNotice   atomic.Int64 // nanoseconds that notices take on top
	inFlight      atomic.Int64

	mu       sync.Mutex
	failed   error
	outcomes []outcome

	requests     sync.WaitGroup
	offeredWorth atomic.Int64 // thousandths of worth
	inTimeWorth  atomic.Int64
	sendLateness *schedule.Latency // lateness of sends; of the dispatcher's goroutine only
}

// Play plays a plan. When it returns, everything that it started has ended. An error means that the day could not be
// played; what the day showed is in the Result.
func Play(ctx context.Context, plan *Plan, opt Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir := opt.Logs
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "tuliprock-rehearse-"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // logs that nobody asked for: what stays of them harms no result
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	w := &rehearsal{plan: plan, options: opt, ctx: ctx, cancel: cancel, workDir: dir, registry: &fake.Registry{}, frontLayer: &fake.FrontLayer{},
		notifications: map[*fake.Agent]chan notification{}, outcomes: make([]outcome, len(plan.Requests)), sendLateness: schedule.NewLatency()}
	began := resourceUsage()
	w.recorder = fake.NewRecorder(time.Now(), maxEvents)
	w.clients = fake.NewClient(plan.Classes, w.registry, w.recorder, plan.Day.Rules.Slack, maxClientIdleConnections)
	if keep := plan.Day.Clients.Keep; keep.Hi > 0 {
		w.clients.SetConnectionLifetime(func() time.Duration { return keep.At(w.drawShare("keep", fmt.Sprint(w.sequence.Add(1)))) })
	}
	defer w.close()
	if err := w.buildHosts(); err != nil {
		return nil, err
	}
	if err := w.startSidecars(); err != nil {
		return nil, err
	}
	r, err := w.play(began)
	if err != nil {
		return nil, err
	}
	w.close() // sidecars' use is known once they have ended
	now := resourceUsage()
	r.Harness.SidecarsCPU, r.Harness.MemoryMB = (now.sidecars - began.sidecars).Seconds(), now.ownMB
	for _, p := range w.sidecars {
		r.Harness.SidecarMemoryMB = max(r.Harness.SidecarMemoryMB, p.peakMemoryMB)
	}
	return r, nil
}

// fail ends the day: it is not the one that was drawn any more.
func (w *rehearsal) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed == nil && w.ctx.Err() == nil {
		w.failed = err
		w.cancel()
	}
}

func (w *rehearsal) newID(what string) string {
	return fmt.Sprintf("%s-%016x", what, w.sequence.Add(1))
}

// drawHash draws a number for a matter by its name, so that the order of events does not sway it.
func (w *rehearsal) drawHash(names ...string) uint64 {
	h := fnv.New64a()
	for _, n := range names {
		_, _ = fmt.Fprintf(h, "%s\x00", n) // a hash takes all that is written to it
	}
	return rand.New(rand.NewPCG(w.plan.Seed, h.Sum64())).Uint64()
}

func (w *rehearsal) drawShare(names ...string) float64 {
	return float64(w.drawHash(names...)>>11) / (1 << 53)
}

// close ends everything.
func (w *rehearsal) close() {
	w.cancel()
	w.deliveries.Wait()
	w.cluster.close()
	var ends sync.WaitGroup
	for _, p := range w.sidecars {
		ends.Go(func() {
			p.stop()
			_ = p.agent.Close() // its sidecar has ended, and nothing else asks it
		})
	}
	ends.Wait()
	w.clients.Close()
	for _, sites := range w.hosts {
		for _, s := range sites {
			s.mu.Lock()
			s.node.Stop()
			if s.client != nil {
				s.client.Close()
			}
			s.mu.Unlock()
		}
	}
}

func (w *rehearsal) play(began resources) (*Result, error) {
	start := time.Now()
	dayStart := w.recorder.Now()
	watch := &monitor{w: w, start: start, timerLateness: schedule.NewLatency()}
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { watch.sampleInFlight(done) })
	watching.Go(func() { watch.watchStalls(done) })
	var strikes sync.WaitGroup
	striking, calm := context.WithCancel(w.ctx)
	for _, s := range w.plan.Faults {
		strikes.Go(func() { w.inject(striking, start, s) })
	}
	w.cluster.startPollers(done)
	for _, s := range w.plan.LinkFaults {
		strikes.Go(func() { w.cluster.inject(striking, start, s) })
	}
	arrivals := make([]schedule.Arrival, len(w.plan.Requests))
	for i, q := range w.plan.Requests {
		arrivals[i] = q.Arrival
	}
	schedule.Due(start, arrivals, w.ctx.Done(), func(i int, due time.Time) {
		w.sendLateness.Record(time.Since(due))
		w.requests.Add(1)
		w.inFlight.Add(1)
		go func() {
			defer w.requests.Done()
			defer w.inFlight.Add(-1)
			w.runClient(i, due)
		}()
	})
	hurry := context.AfterFunc(w.ctx, func() { // an interrupt must not wait for answers
		for _, p := range w.sidecars {
			p.stop()
		}
	})
	defer hurry()
	w.requests.Wait()
	calm()
	strikes.Wait()
	w.awaitIdleNodes()
	end := w.recorder.Now()
	close(done)
	watching.Wait()
	w.mu.Lock()
	failed := w.failed
	w.mu.Unlock()
	if failed != nil {
		return nil, failed
	}
	if err := w.ctx.Err(); err != nil {
		return nil, err
	}
	return w.newResult(watch, dayStart, end, began), nil
}

// awaitIdleNodes lets nodes finish what they have, for as long as the longest deadline, so that the rules are held to the end.
func (w *rehearsal) awaitIdleNodes() {
	for end := time.Now().Add(w.plan.longestDeadline()); time.Now().Before(end); {
		busy := 0
		for _, sites := range w.hosts {
			for _, s := range sites {
				s.mu.Lock()
				busy += s.node.InFlight()
				s.mu.Unlock()
			}
		}
		if busy == 0 || !sleep(w.ctx, sampleInterval/5) {
			return
		}
	}
}
