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

// Options configure a run of a plan.
type Options struct {
	NewCommand        func() *exec.Cmd   // returns a command that runs one sidecar; called for each start of a sidecar
	UsesOperatorsFile bool               // whether all sidecars run "serve --config FILE" with an operators' file; if not, those outside a cluster get the platform's configuration file instead
	LogDir            string             // directory in which sidecars' logs and configurations are kept; empty: they are deleted
	OnProgress        func(now Snapshot) // called at each sampleInterval from one goroutine; may be nil
}

// Snapshot is the progress of a run.
type Snapshot struct {
	Elapsed, Length           time.Duration // time since the start of the day, and the time over which requests arrive
	OfferedValue, InTimeValue float64       // sum of Request.Value (priority weight times work) of the client requests that have their outcome, and of those served in time
	InFlight                  int           // number of client requests that were started and have no outcome yet
}

// maxEvents bounds the events of a timeline. It allows 40 for each request that a plan may have; a day without faults and with
// three tiers has about 20 for each request.
const maxEvents = 4_000_000

// rehearsal is one run of a plan. It owns the nodes, discovery agents, sidecars and clients, and the goroutines that inject faults.
// close ends all of them.
type rehearsal struct {
	plan       *Plan
	options    Options
	ctx        context.Context    // ends with the run, or when the run fails
	cancel     context.CancelFunc // cancels ctx
	workDir    string             // directory of the sidecars' configurations and logs
	recorder   *fake.Recorder     // timeline of events that the invariants are checked on
	registry   *fake.Registry     // requests that clients and nodes have sent, by ID; nodes look up the work of a request in it
	frontLayer *fake.FrontLayer   // load balancer of the clients, which selects a sidecar before the first tier for each connection of a client
	clients    *fake.Client       // sends the attempts of all clients
	sequence   atomic.Uint64      // latest number of the sequence from which request IDs, call IDs and idempotency keys are made

	hosts         [][]*host         // machines of each tier
	frontSidecars []*sidecarProcess // sidecars before the first tier
	sidecars      []*sidecarProcess // all sidecars, of all tiers
	cluster       *cluster          // cluster of the front sidecars; nil: the day has none

	pendingUpdates         map[*fake.Agent]chan memberUpdate // updates of the endpoint list that were not sent yet, by agent; the map is not modified after buildHosts
	agentUpdaters          sync.WaitGroup                    // goroutines that send updates to agents
	extraNotificationDelay atomic.Int64                      // nanoseconds that faults of discovery add to the delay of notifications

	requests     sync.WaitGroup             // goroutines that run clients, one for each request
	inFlight     atomic.Int64               // number of client requests that were started and have no outcome yet
	outcomes     []outcome                  // outcome of each request; written by the goroutine of its client
	offeredValue atomic.Int64               // sum of 1000 * Request.Value (priority weight times work) over the client requests that have their outcome
	inTimeValue  atomic.Int64               // sum of 1000 * Request.Value (priority weight times work) over the client requests that were served in time
	sendLateness *schedule.LatencyHistogram // time from when requests were due until they were sent

	mu  sync.Mutex
	err error // first error that made the run fail; nil: the run has not failed
}

// Run runs a plan. When it returns, every process and goroutine that it started has ended. An error means that the day could not
// be run as planned; violations and failed requests are no errors, but part of the Result.
func Run(ctx context.Context, plan *Plan, opt Options) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir := opt.LogDir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "tuliprock-rehearse-"); err != nil {
			return nil, err
		}
		defer func() { _ = os.RemoveAll(dir) }() // the error is ignored, since remaining files affect no result
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	usageBefore := resourceUsage()
	r := newRehearsal(ctx, cancel, plan, opt, dir)
	defer r.close()
	if err := r.buildHosts(); err != nil {
		return nil, err
	}
	if err := r.startSidecars(); err != nil {
		return nil, err
	}
	result, err := r.run(usageBefore)
	if err != nil {
		return nil, err
	}
	r.close() // the system counts the CPU time of sidecars only after they have ended
	usageAfter := resourceUsage()
	result.Harness.SidecarsCPUSeconds = (usageAfter.sidecarsCPU - usageBefore.sidecarsCPU).Seconds()
	result.Harness.MemoryMB = usageAfter.ownMemoryMB
	for _, p := range r.sidecars {
		result.Harness.SidecarMemoryMB = max(result.Harness.SidecarMemoryMB, p.peakMemoryMB)
	}
	return result, nil
}

// newRehearsal returns a rehearsal that has started no node, agent, sidecar or client.
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

// fail ends the run because of an error that keeps the day from following its plan. It ignores every error but the first, and errors
// after the end of the run.
func (r *rehearsal) fail(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil && r.ctx.Err() == nil {
		r.err = err
		r.cancel()
	}
}

// newID returns an ID that is unique in the run.
func (r *rehearsal) newID(prefix string) string {
	return fmt.Sprintf("%s-%016x", prefix, r.sequence.Add(1))
}

// drawUint64For draws a random number for one decision of the run, which is identified by the strings in names. The number depends
// only on the plan's seed and these strings, and not on the order of events.
func (r *rehearsal) drawUint64For(names ...string) uint64 {
	h := fnv.New64a()
	for _, name := range names {
		_, _ = fmt.Fprintf(h, "%s\x00", name) // writes to a hash do not fail
	}
	return rand.New(rand.NewPCG(r.plan.Seed, h.Sum64())).Uint64()
}

// drawFractionFor draws a random number in [0, 1) for one decision of the run, which is identified by the strings in names. The number
// depends only on the plan's seed and these strings.
func (r *rehearsal) drawFractionFor(names ...string) float64 {
	return float64(r.drawUint64For(names...)>>11) / (1 << 53)
}

// close ends every process and goroutine that the rehearsal started. It may be called more than once.
func (r *rehearsal) close() {
	r.cancel()
	r.agentUpdaters.Wait()
	r.cluster.close()
	var stopping sync.WaitGroup
	for _, p := range r.sidecars {
		stopping.Go(func() {
			p.stop()
			_ = p.agent.Close() // the error is ignored, since the only client of the agent, the sidecar, has ended
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

// run sends the requests of the plan when they are due, injects its faults, and returns the measured result. usageBefore is the use
// of resources before the run, which the result does not include.
func (r *rehearsal) run(usageBefore resources) (*Result, error) {
	dayStartedAt := time.Now()
	dayStart := r.recorder.Now()
	monitor := &monitor{rehearsal: r, startedAt: dayStartedAt, timerLateness: schedule.NewLatencyHistogram()}
	done := make(chan struct{})
	var monitoring sync.WaitGroup
	monitoring.Go(func() { monitor.sampleInFlight(done) })
	monitoring.Go(func() { monitor.watchStalls(done) })
	endFaults := r.startFaults(dayStartedAt, done)
	r.sendRequests(dayStartedAt)
	cancelStop := context.AfterFunc(r.ctx, func() { // after an interrupt, sidecars are stopped, so that the wait for responses ends
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
	runErr := r.err
	r.mu.Unlock()
	if runErr != nil {
		return nil, runErr
	}
	if err := r.ctx.Err(); err != nil {
		return nil, err
	}
	return r.newResult(monitor, dayStart, end, usageBefore), nil
}

// startFaults starts a goroutine for each fault, and the goroutines of startAdminClients, which stop when done closes. The function
// that it returns ends all faults and waits for the goroutines of the faults.
func (r *rehearsal) startFaults(dayStartedAt time.Time, done <-chan struct{}) (end func()) {
	var faults sync.WaitGroup
	ctx, cancel := context.WithCancel(r.ctx)
	for _, fault := range r.plan.Faults {
		faults.Go(func() { r.inject(ctx, dayStartedAt, fault) })
	}
	r.cluster.startAdminClients(done)
	for _, fault := range r.plan.LinkFaults {
		faults.Go(func() { r.cluster.inject(ctx, dayStartedAt, fault) })
	}
	return func() {
		cancel()
		faults.Wait()
	}
}

// sendRequests starts a goroutine for each request when it is due. It returns after the last request was started, or when the
// rehearsal's context ends.
func (r *rehearsal) sendRequests(dayStartedAt time.Time) {
	arrivals := make([]schedule.Arrival, len(r.plan.Requests))
	for i, request := range r.plan.Requests {
		arrivals[i] = request.Arrival
	}
	schedule.Dispatch(dayStartedAt, arrivals, r.ctx.Done(), func(i int, dueAt time.Time) {
		r.sendLateness.Record(time.Since(dueAt))
		r.requests.Add(1)
		r.inFlight.Add(1)
		go func() {
			defer r.requests.Done()
			defer r.inFlight.Add(-1)
			r.runClient(i, dueAt)
		}()
	})
}

// awaitIdleNodes waits until no node has a request in flight, at most for the longest deadline, so that the invariants are checked
// for the last requests too.
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
