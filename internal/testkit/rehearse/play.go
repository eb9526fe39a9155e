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

	"tuliprock/internal/testkit/clusterinvariant"
	"tuliprock/internal/testkit/fake"
	"tuliprock/internal/testkit/invariant"
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

// host is a place for a node: a machine with its own sidecar, and whatever node runs there now.
type host struct {
	plan    NodePlan
	cell    *fake.Cell
	sidecar *sidecarProcess // nil in the last tier
	client  *fake.Client

	mu           sync.Mutex
	node         *fake.Node
	member       fake.Member
	renames      int
	incarnations []*fake.Node // that have run here
}

// outcome is what became of a first try and its retries.
type outcome struct {
	isServed bool
	duration time.Duration // since it was due, to its last answer
	status   int           // of its last answer; 0: none
	attempts int
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

// buildHosts makes nodes, agents and sidecars. The nodes run when it returns.
func (w *rehearsal) buildHosts() error {
	cells := map[[2]int]*fake.Cell{}
	window := time.Duration(0)
	for _, c := range w.plan.Classes {
		window = max(window, c.Window)
	}
	w.hosts = make([][]*host, len(w.plan.Day.Tiers))
	for _, p := range w.plan.Nodes {
		key := [2]int{p.Spec.Tier, p.Spec.Cell}
		if cells[key] == nil {
			cells[key] = fake.NewCell(window)
		}
		s := &host{plan: p, cell: cells[key]}
		s.newNode(w, p.Spec.ID, "")
		if _, err := s.node.Start(false); err != nil {
			return err
		}
		s.member = memberOf(s.node, fake.StateReady, time.Time{})
		w.hosts[p.Spec.Tier] = append(w.hosts[p.Spec.Tier], s)
	}
	if err := w.buildCluster(); err != nil {
		return err
	}
	for i := range w.plan.Sidecars {
		p, err := w.newSidecar(sidecarName(i), 0, i, w.plan.Sidecars)
		if err != nil {
			return err
		}
		w.frontSidecars = append(w.frontSidecars, p)
	}
	for tier, sites := range w.hosts[:len(w.hosts)-1] {
		for i, s := range sites {
			p, err := w.newSidecar("of-"+s.plan.Spec.ID, tier+1, i, len(sites))
			if err != nil {
				return err
			}
			s.mu.Lock()
			s.sidecar = p
			s.client = fake.NewClient(w.plan.Classes, w.registry, w.recorder, w.plan.Day.Rules.Slack, maxNodeIdleConnections)
			s.mu.Unlock()
		}
	}
	return nil
}

// newNode puts a node that is down in its place, under an id.
func (s *host) newNode(w *rehearsal, id, addr string) {
	spec := s.plan.Spec
	spec.ID = id
	n := fake.NewNode(spec, w.plan.Classes, s.cell, w.registry, w.recorder, s.plan.Seed)
	n.Addr = addr
	if spec.Tier+1 < len(w.plan.Day.Tiers) {
		n.NextTier = &nextTierClient{w, s}
	}
	s.node = n
	s.incarnations = append(s.incarnations, n)
}

func memberOf(n *fake.Node, state string, started time.Time) fake.Member {
	m := fake.Member{ID: n.ID, Addr: n.Addr, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, State: state, Weight: 1}
	if !started.IsZero() {
		m.StartedMs = started.UnixMilli()
	}
	return m
}

// nextTierClient makes a node's calls through its own sidecar, each with an id and a key of its own. A call does not carry what is
// left of its caller's time.
type nextTierClient struct {
	w *rehearsal
	s *host
}

// Call implements fake.NextTier.
func (n *nextTierClient) Call(class int, key string, job *fake.Job) bool {
	n.s.mu.Lock()
	p, caller := n.s.sidecar, n.s.client
	n.s.mu.Unlock()
	out := caller.Do(fake.Request{ID: n.w.newID("call"), Class: class, Key: fmt.Sprintf("%s-%016x", key, n.w.sequence.Add(1)), Job: job,
		Timeout: n.w.plan.Classes[class].Deadline,
		Connect: func() (fake.Target, bool) { return fake.Target{Sidecar: p.name, Addr: p.addr}, true }})
	return out.Status == 200
}

func (w *rehearsal) newID(what string) string {
	return fmt.Sprintf("%s-%016x", what, w.sequence.Add(1))
}

func (w *rehearsal) newSidecar(name string, tier, me, n int) (*sidecarProcess, error) {
	var list []fake.Member
	for _, s := range w.hosts[tier] {
		list = append(list, s.member)
	}
	agent, err := fake.NewAgent(name, list, w.recorder)
	if err != nil {
		return nil, err
	}
	notices := make(chan notification, maxPendingNotifications)
	w.notifications[agent] = notices
	w.deliveries.Go(func() { w.deliver(agent, notices) })
	p := &sidecarProcess{name: name, agent: agent, recorder: w.recorder, workDir: w.workDir, command: w.options.Command, day: w.plan.Day}
	w.sidecars = append(w.sidecars, p) // from here on close ends it
	if p.addr, err = freeLoopbackAddr(len(w.sidecars)); err != nil {
		return nil, err
	}
	if p.settings, err = w.plan.settingsFor(tier, me, n); err != nil {
		return nil, err
	}
	place := w.cluster.member(name)
	if w.options.Serve || place != nil {
		if place != nil && place.clockEnv != "" {
			p.env = append(p.env, place.clockEnv)
		}
		p.operatorsFile = func(seed uint64) string {
			return w.plan.operatorsFile(name, p.addr, agent.Addr, tier, me, n, seed, place)
		}
	}
	life := uint64(0)
	p.nextSeed = func() uint64 { life++; return w.drawHash(name, fmt.Sprint(life)) }
	p.onCrash = func(p *sidecarProcess) { w.frontLayer.Remove(p.name) }
	return p, nil
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

// startSidecars starts all sidecars and waits for them.
func (w *rehearsal) startSidecars() error {
	room := make(chan struct{}, maxConcurrentStarts)
	errs := make(chan error, len(w.sidecars))
	for _, p := range w.sidecars {
		room <- struct{}{}
		go func() {
			defer func() { <-room }()
			err := p.start()
			if err == nil {
				err = p.awaitReady(w.ctx)
			}
			errs <- err
		}()
	}
	var first error
	for range w.sidecars {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	for _, p := range w.frontSidecars {
		w.frontLayer.Add(p.name, p.addr)
		w.cluster.recordFact(clusterinvariant.Up, p.name)
	}
	return first
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

// runClient plays one first try and its retries.
func (w *rehearsal) runClient(i int, due time.Time) {
	q, o := &w.plan.Requests[i], &w.outcomes[i]
	class := w.plan.Classes[q.Class]
	end := due.Add(class.Deadline)
	defer func() {
		o.duration = time.Since(due)
		w.offeredWorth.Add(int64(1000 * q.Worth))
		if o.isInTime(w.plan.Day.Classes[q.Class].LatencyObjective) {
			w.inTimeWorth.Add(int64(1000 * q.Worth))
		}
	}()
	for {
		wait := min(q.AttemptTimeout, time.Until(end))
		if wait < time.Millisecond {
			return
		}
		try := fake.Request{ID: w.newID("try"), Class: q.Class, Tenant: w.plan.Day.Tenants[q.Tenant].Name, Key: q.Key, Retry: o.attempts > 0,
			Job: q.Job, Timeout: wait, Connect: w.frontLayer.Connect}
		if w.plan.Day.Load.Hints {
			try.CostHint = costHint(q)
		}
		if o.attempts == 0 {
			try.LeaveAfter = q.LeaveAfter
		}
		out := w.clients.Do(try)
		o.attempts++
		o.status = out.Status
		if out.Status == 200 {
			o.isServed = true
			return
		}
		refused := out.Status == 503 || out.Status == 429
		if out.HasLeft || o.attempts > q.Retries || class.Effect != invariant.Safe && out.IsAccepted && !refused {
			return
		}
		pause := q.Backoff
		if refused && q.HonoursRetryAfter {
			pause = max(pause, out.RetryAfter)
		}
		if !sleep(w.ctx, pause) {
			return
		}
	}
}

// costHint is a client's guess at the work: half to twice of it.
func costHint(q *Request) time.Duration {
	return time.Duration(float64(q.Job.TotalWork()) * (0.5 + 1.5*rand.New(rand.NewPCG(q.Draw, sourceJobs)).Float64()))
}

func (o *outcome) isInTime(aim time.Duration) bool { return o.isServed && o.duration <= aim }
