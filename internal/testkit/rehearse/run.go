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
	Command           func() *exec.Cmd   // runs one sidecar
	UsesOperatorsFile bool               // the command gets "serve --config FILE" and an operators' file; else ROUTER_CONFIG is set
	LogDir            string             // folder that keeps the sidecars' logs; empty: none are kept
	Progress          func(now Snapshot) // called some times a second, from one goroutine; nil: none
}

// Snapshot is how far a day has come.
type Snapshot struct {
	Elapsed, Length           time.Duration
	OfferedValue, InTimeValue float64 // worth of the requests that are decided, and of those served in time
	InFlight                  int
}

// maxEvents bounds a timeline: 40 events for each request that a plan may have; a quiet day with three tiers has about 20.
const maxEvents = 4_000_000

// rehearsal is a day that is being played. It owns everything that runs for the day: nodes, agents, sidecars, clients and
// the goroutines that inject faults. All of them end with close.
type rehearsal struct {
	plan       *Plan
	options    Options
	ctx        context.Context // ends with the play, and when it fails
	cancel     context.CancelFunc
	workDir    string // of the sidecars' configurations and logs
	recorder   *fake.Recorder
	registry   *fake.Registry
	frontLayer *fake.FrontLayer
	clients    *fake.Client
	sequence   atomic.Uint64 // numbers the IDs of requests

	hosts         [][]*host         // by tier
	frontSidecars []*sidecarProcess // those before the first tier
	sidecars      []*sidecarProcess // all
	cluster       *cluster          // nil: the day has none

	pendingUpdates         map[*fake.Agent]chan memberUpdate // on their way; not written to after buildHosts
	agentUpdaters          sync.WaitGroup
	extraNotificationDelay atomic.Int64 // nanoseconds added to the delay of notifications

	requests     sync.WaitGroup
	inFlight     atomic.Int64
	outcomes     []outcome                  // by request of the plan; each belongs to the goroutine of its client
	offeredWorth atomic.Int64               // thousandths of worth
	inTimeWorth  atomic.Int64               // thousandths of worth
	sendLateness *schedule.LatencyHistogram // of the dispatcher's goroutine only

	mu  sync.Mutex
	err error // why the day could not be played
}

// Run plays a plan. When it returns, everything that it started has ended. An error means that the day could not be
// played; what the day showed is in the Result.
func Run(ctx context.Context, plan *Plan, opt Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir := opt.LogDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "tuliprock-rehearse-"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // nobody asked for these logs, and a rest of them harms no result
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	before := resourceUsage()
	r := newRehearsal(ctx, cancel, plan, opt, dir)
	defer r.close()
	if err := r.buildHosts(); err != nil {
		return nil, err
	}
	if err := r.startSidecars(); err != nil {
		return nil, err
	}
	result, err := r.run(before)
	if err != nil {
		return nil, err
	}
	r.close() // the sidecars' use of resources is known once they have ended
	after := resourceUsage()
	result.Harness.SidecarsCPUSeconds = (after.sidecars - before.sidecars).Seconds()
	result.Harness.MemoryMB = after.ownMB
	for _, p := range r.sidecars {
		result.Harness.SidecarMemoryMB = max(result.Harness.SidecarMemoryMB, p.peakMemoryMB)
	}
	return result, nil
}

func newRehearsal(ctx context.Context, cancel context.CancelFunc, plan *Plan, opt Options, dir string) *rehearsal {
	r := &rehearsal{
		plan:           plan,
		options:        opt,
		ctx:            ctx,
		cancel:         cancel,
		workDir:        dir,
		recorder:       fake.NewRecorder(time.Now(), maxEvents),
		registry:       &fake.Registry{},
		frontLayer:     &fake.FrontLayer{},
		pendingUpdates: map[*fake.Agent]chan memberUpdate{},
		outcomes:       make([]outcome, len(plan.Requests)),
		sendLateness:   schedule.NewLatencyHistogram(),
	}
	r.clients = fake.NewClient(plan.Classes, r.registry, r.recorder, plan.Day.Rules.Tolerance, maxClientIdleConnections)
	if lifetime := plan.Day.Clients.ConnectionLifetime; lifetime.Hi > 0 {
		r.clients.SetConnectionLifetime(func() time.Duration {
			return lifetime.At(r.drawFractionFor("keep", fmt.Sprint(r.sequence.Add(1))))
		})
	}
	return r
}

// fail ends the play with an error, since the day is no longer the one that was drawn. Only the first error counts.
func (r *rehearsal) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil && r.ctx.Err() == nil {
		r.err = err
		r.cancel()
	}
}

// newID makes an ID that is unique in the play.
func (r *rehearsal) newID(prefix string) string {
	return fmt.Sprintf("%s-%016x", prefix, r.sequence.Add(1))
}

// drawUint64For draws a number from the seed and names, so that it does not depend on the order of events.
func (r *rehearsal) drawUint64For(names ...string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		_, _ = fmt.Fprintf(h, "%s\x00", name) // a hash takes all that is written to it
	}
	return rand.New(rand.NewPCG(r.plan.Seed, h.Sum64())).Uint64()
}

// drawFractionFor is drawHash in [0, 1).
func (r *rehearsal) drawFractionFor(names ...string) float64 {
	return float64(r.drawUint64For(names...)>>11) / (1 << 53)
}

// close ends everything that the rehearsal started. It may be called twice.
func (r *rehearsal) close() {
	r.cancel()
	r.agentUpdaters.Wait()
	r.cluster.close()
	var stopping sync.WaitGroup
	for _, p := range r.sidecars {
		stopping.Go(func() {
			p.stop()
			_ = p.agent.Close() // its only client has ended
		})
	}
	stopping.Wait()
	r.clients.Close()
	for _, hosts := range r.hosts {
		for _, h := range hosts {
			h.mu.Lock()
			h.node.Stop()
			if h.client != nil {
				h.client.Close()
			}
			h.mu.Unlock()
		}
	}
}

// run sends the requests of the plan when they are due, injects its faults, and checks what came of it.
func (r *rehearsal) run(before resources) (*Result, error) {
	start := time.Now()
	dayStart := r.recorder.Now()
	monitor := &monitor{rehearsal: r, startedAt: start, timerLateness: schedule.NewLatencyHistogram()}
	done := make(chan struct{})
	var monitoring sync.WaitGroup
	monitoring.Go(func() { monitor.sampleInFlight(done) })
	monitoring.Go(func() { monitor.watchStalls(done) })
	endFaults := r.startFaults(start, done)
	r.sendRequests(start)
	cancelStop := context.AfterFunc(r.ctx, func() { // an interrupt must not wait for responses
		for _, p := range r.sidecars {
			p.stop()
		}
	})
	defer cancelStop()
	r.requests.Wait()
	endFaults()
	r.awaitIdleNodes()
	end := r.recorder.Now()
	close(done)
	monitoring.Wait()
	r.mu.Lock()
	failed := r.err
	r.mu.Unlock()
	if failed != nil {
		return nil, failed
	}
	if err := r.ctx.Err(); err != nil {
		return nil, err
	}
	return r.newResult(monitor, dayStart, end, before), nil
}

// startFaults starts a goroutine for each fault, and the pollers of the cluster, which done ends. The function that it
// returns ends all faults and waits for them.
func (r *rehearsal) startFaults(start time.Time, done <-chan struct{}) (end func()) {
	var faults sync.WaitGroup
	ctx, cancel := context.WithCancel(r.ctx)
	for _, fault := range r.plan.Faults {
		faults.Go(func() { r.inject(ctx, start, fault) })
	}
	r.cluster.startPollers(done)
	for _, fault := range r.plan.LinkFaults {
		faults.Go(func() { r.cluster.inject(ctx, start, fault) })
	}
	return func() {
		cancel()
		faults.Wait()
	}
}

// sendRequests starts a goroutine for each request when it is due, and returns after the last or when the play is cancelled.
func (r *rehearsal) sendRequests(start time.Time) {
	arrivals := make([]schedule.Arrival, len(r.plan.Requests))
	for i, request := range r.plan.Requests {
		arrivals[i] = request.Arrival
	}
	schedule.Dispatch(start, arrivals, r.ctx.Done(), func(i int, due time.Time) {
		r.sendLateness.Record(time.Since(due))
		r.requests.Add(1)
		r.inFlight.Add(1)
		go func() {
			defer r.requests.Done()
			defer r.inFlight.Add(-1)
			r.runClient(i, due)
		}()
	})
}

// awaitIdleNodes waits until the nodes have finished their requests, for the longest deadline at most, so that the rules
// are checked to the end.
func (r *rehearsal) awaitIdleNodes() {
	for end := time.Now().Add(r.plan.longestDeadline()); time.Now().Before(end); {
		inFlight := 0
		for _, hosts := range r.hosts {
			for _, h := range hosts {
				h.mu.Lock()
				inFlight += h.node.InFlight()
				h.mu.Unlock()
			}
		}
		if inFlight == 0 || !sleep(r.ctx, sampleInterval/5) {
			return
		}
	}
}
