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
	sampleEvery   = 250 * time.Millisecond
	stallLook     = 5 * time.Millisecond
	callersIdle   = 64                     // idle connections that a node's own caller keeps: its slots bound those in use
	clientsIdle   = 256                    // idle connections that all clients together keep
	eventsMost    = 4_000_000              // 40 for each first try that a plan may have; a quiet day with three tiers leaves about 20
	termOutAfter  = 300 * time.Millisecond // new connections go on coming after SIGTERM
	startTogether = 8                      // sidecars that start at once
)

// world is a day that is being played.
type world struct {
	plan    *Plan
	opt     Options
	ctx     context.Context
	rec     *fake.Recorder
	desk    *fake.Registry
	front   *fake.FrontLayer
	clients *fake.Client
	dir     string
	seq     atomic.Uint64
	cancel  context.CancelFunc
	notices map[*fake.Agent]chan notification // on their way; not written to after build
	carry   sync.WaitGroup

	tiers    [][]*site // by tier
	first    []*process
	all      []*process
	fleet    *fleetWorld  // nil: the sidecars don't know one another
	late     atomic.Int64 // nanoseconds that notices take on top
	inFlight atomic.Int64

	mu     sync.Mutex
	failed error
	outs   []outcome

	work   sync.WaitGroup
	asked  atomic.Int64 // thousandths of worth
	earned atomic.Int64
	own    *schedule.Latency // lateness of sends; of the dispatcher's goroutine only
}

// site is a place for a node: a machine with its own sidecar, and whatever node runs there now.
type site struct {
	plan    NodePlan
	cell    *fake.Cell
	sidecar *process // nil in the last tier
	caller  *fake.Client

	mu     sync.Mutex
	node   *fake.Node
	member fake.Member
	names  int
	all    []*fake.Node // that have run here
}

// outcome is what became of a first try and its retries.
type outcome struct {
	served bool
	took   time.Duration // since it was due, to its last answer
	status int           // of its last answer; 0: none
	tries  int
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
	w := &world{plan: plan, opt: opt, ctx: ctx, cancel: cancel, dir: dir, desk: &fake.Registry{}, front: &fake.FrontLayer{},
		notices: map[*fake.Agent]chan notification{}, outs: make([]outcome, len(plan.Requests)), own: schedule.NewLatency()}
	began := usage()
	w.rec = fake.NewRecorder(time.Now(), eventsMost)
	w.clients = fake.NewClient(plan.Classes, w.desk, w.rec, plan.Day.Rules.Slack, clientsIdle)
	if keep := plan.Day.Clients.Keep; keep.Hi > 0 {
		w.clients.SetConnectionLifetime(func() time.Duration { return keep.At(w.share("keep", fmt.Sprint(w.seq.Add(1)))) })
	}
	defer w.close()
	if err := w.build(); err != nil {
		return nil, err
	}
	if err := w.ready(); err != nil {
		return nil, err
	}
	r, err := w.play(began)
	if err != nil {
		return nil, err
	}
	w.close() // sidecars' use is known once they have ended
	now := usage()
	r.Own.SidecarsCPU, r.Own.MemoryMB = (now.sidecars - began.sidecars).Seconds(), now.ownMB
	for _, p := range w.all {
		r.Own.SidecarMemoryMB = max(r.Own.SidecarMemoryMB, p.peak)
	}
	return r, nil
}

// fail ends the day: it is not the one that was drawn any more.
func (w *world) fail(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed == nil && w.ctx.Err() == nil {
		w.failed = err
		w.cancel()
	}
}

// build makes nodes, agents and sidecars. The nodes run when it returns.
func (w *world) build() error {
	cells := map[[2]int]*fake.Cell{}
	window := time.Duration(0)
	for _, c := range w.plan.Classes {
		window = max(window, c.Window)
	}
	w.tiers = make([][]*site, len(w.plan.Day.Tier))
	for _, p := range w.plan.Nodes {
		key := [2]int{p.Spec.Tier, p.Spec.Cell}
		if cells[key] == nil {
			cells[key] = fake.NewCell(window)
		}
		s := &site{plan: p, cell: cells[key]}
		s.make(w, p.Spec.ID, "")
		if _, err := s.node.Start(false); err != nil {
			return err
		}
		s.member = member(s.node, fake.StateReady, time.Time{})
		w.tiers[p.Spec.Tier] = append(w.tiers[p.Spec.Tier], s)
	}
	if err := w.buildFleet(); err != nil {
		return err
	}
	for i := range w.plan.Sidecars {
		p, err := w.newProcess(sidecarName(i), 0, i, w.plan.Sidecars)
		if err != nil {
			return err
		}
		w.first = append(w.first, p)
	}
	for tier, sites := range w.tiers[:len(w.tiers)-1] {
		for i, s := range sites {
			p, err := w.newProcess("of-"+s.plan.Spec.ID, tier+1, i, len(sites))
			if err != nil {
				return err
			}
			s.mu.Lock()
			s.sidecar = p
			s.caller = fake.NewClient(w.plan.Classes, w.desk, w.rec, w.plan.Day.Rules.Slack, callersIdle)
			s.mu.Unlock()
		}
	}
	return nil
}

// make puts a node that is down in its place, under an id.
func (s *site) make(w *world, id, addr string) {
	spec := s.plan.Spec
	spec.ID = id
	n := fake.NewNode(spec, w.plan.Classes, s.cell, w.desk, w.rec, s.plan.Seed)
	n.Addr = addr
	if spec.Tier+1 < len(w.plan.Day.Tier) {
		n.NextTier = &next{w, s}
	}
	s.node = n
	s.all = append(s.all, n)
}

func member(n *fake.Node, state string, started time.Time) fake.Member {
	m := fake.Member{ID: n.ID, Addr: n.Addr, Zone: n.Zone, Kind: n.Kind, Cell: n.Cell, State: state, Weight: 1}
	if !started.IsZero() {
		m.StartedMs = started.UnixMilli()
	}
	return m
}

// next makes a node's calls through its own sidecar, each with an id and a key of its own. A call does not carry what is
// left of its caller's time.
type next struct {
	w *world
	s *site
}

// Call implements fake.NextTier.
func (n *next) Call(class int, key string, job *fake.Job) bool {
	n.s.mu.Lock()
	p, caller := n.s.sidecar, n.s.caller
	n.s.mu.Unlock()
	out := caller.Do(fake.Request{ID: n.w.id("call"), Class: class, Key: fmt.Sprintf("%s-%016x", key, n.w.seq.Add(1)), Job: job,
		Timeout: n.w.plan.Classes[class].Deadline,
		Connect: func() (fake.Target, bool) { return fake.Target{Sidecar: p.name, Addr: p.addr}, true }})
	return out.Status == 200
}

func (w *world) id(what string) string { return fmt.Sprintf("%s-%016x", what, w.seq.Add(1)) }

func (w *world) newProcess(name string, tier, me, n int) (*process, error) {
	var list []fake.Member
	for _, s := range w.tiers[tier] {
		list = append(list, s.member)
	}
	agent, err := fake.NewAgent(name, list, w.rec)
	if err != nil {
		return nil, err
	}
	notices := make(chan notification, noticesMost)
	w.notices[agent] = notices
	w.carry.Go(func() { w.bring(agent, notices) })
	p := &process{name: name, agent: agent, rec: w.rec, dir: w.dir, command: w.opt.Command, day: w.plan.Day}
	w.all = append(w.all, p) // from here on close ends it
	if p.addr, err = freeAddr(len(w.all)); err != nil {
		return nil, err
	}
	if p.settings, err = w.plan.settingsFor(tier, me, n); err != nil {
		return nil, err
	}
	place := w.fleet.place(name)
	if w.opt.Serve || place != nil {
		if place != nil && place.clock != "" {
			p.env = append(p.env, place.clock)
		}
		p.file = func(seed uint64) string {
			return w.plan.operatorsFile(name, p.addr, agent.Addr, tier, me, n, seed, place)
		}
	}
	life := uint64(0)
	p.seeds = func() uint64 { life++; return w.hash(name, fmt.Sprint(life)) }
	p.crashed = func(p *process) { w.front.Remove(p.name) }
	return p, nil
}

// hash draws a number for a matter by its name, so that the order of events does not sway it.
func (w *world) hash(names ...string) uint64 {
	h := fnv.New64a()
	for _, n := range names {
		_, _ = fmt.Fprintf(h, "%s\x00", n) // a hash takes all that is written to it
	}
	return rand.New(rand.NewPCG(w.plan.Seed, h.Sum64())).Uint64()
}

func (w *world) share(names ...string) float64 { return float64(w.hash(names...)>>11) / (1 << 53) }

// ready starts all sidecars and waits for them.
func (w *world) ready() error {
	room := make(chan struct{}, startTogether)
	errs := make(chan error, len(w.all))
	for _, p := range w.all {
		room <- struct{}{}
		go func() {
			defer func() { <-room }()
			err := p.start()
			if err == nil {
				err = p.ready(w.ctx)
			}
			errs <- err
		}()
	}
	var first error
	for range w.all {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	for _, p := range w.first {
		w.front.Add(p.name, p.addr)
		w.fleet.fact(clusterinvariant.Up, p.name)
	}
	return first
}

// close ends everything.
func (w *world) close() {
	w.cancel()
	w.carry.Wait()
	w.fleet.close()
	var ends sync.WaitGroup
	for _, p := range w.all {
		ends.Go(func() {
			p.stop()
			_ = p.agent.Close() // its sidecar has ended, and nothing else asks it
		})
	}
	ends.Wait()
	w.clients.Close()
	for _, sites := range w.tiers {
		for _, s := range sites {
			s.mu.Lock()
			s.node.Stop()
			if s.caller != nil {
				s.caller.Close()
			}
			s.mu.Unlock()
		}
	}
}

func (w *world) play(began resources) (*Result, error) {
	start := time.Now()
	dayStart := w.rec.Now()
	watch := &watch{w: w, start: start, own: schedule.NewLatency()}
	done := make(chan struct{})
	var watching sync.WaitGroup
	watching.Go(func() { watch.run(done) })
	watching.Go(func() { watch.stalls(done) })
	var strikes sync.WaitGroup
	striking, calm := context.WithCancel(w.ctx)
	for _, s := range w.plan.Strikes {
		strikes.Go(func() { w.strike(striking, start, s) })
	}
	w.fleet.watchAll(done)
	for _, s := range w.plan.Links {
		strikes.Go(func() { w.fleet.strike(striking, start, s) })
	}
	arrivals := make([]schedule.Arrival, len(w.plan.Requests))
	for i, q := range w.plan.Requests {
		arrivals[i] = q.Arrival
	}
	schedule.Due(start, arrivals, w.ctx.Done(), func(i int, due time.Time) {
		w.own.Record(time.Since(due))
		w.work.Add(1)
		w.inFlight.Add(1)
		go func() {
			defer w.work.Done()
			defer w.inFlight.Add(-1)
			w.client(i, due)
		}()
	})
	hurry := context.AfterFunc(w.ctx, func() { // an interrupt must not wait for answers
		for _, p := range w.all {
			p.stop()
		}
	})
	defer hurry()
	w.work.Wait()
	calm()
	strikes.Wait()
	w.settle()
	end := w.rec.Now()
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
	return w.result(watch, dayStart, end, began), nil
}

// settle lets nodes finish what they have, for as long as the longest deadline, so that the rules are held to the end.
func (w *world) settle() {
	for end := time.Now().Add(w.plan.longestDeadline()); time.Now().Before(end); {
		busy := 0
		for _, sites := range w.tiers {
			for _, s := range sites {
				s.mu.Lock()
				busy += s.node.InFlight()
				s.mu.Unlock()
			}
		}
		if busy == 0 || !sleepCtx(w.ctx, sampleEvery/5) {
			return
		}
	}
}

// client plays one first try and its retries.
func (w *world) client(i int, due time.Time) {
	q, o := &w.plan.Requests[i], &w.outs[i]
	class := w.plan.Classes[q.Class]
	end := due.Add(class.Deadline)
	defer func() {
		o.took = time.Since(due)
		w.asked.Add(int64(1000 * q.Worth))
		if o.inAim(w.plan.Day.Class[q.Class].Aim) {
			w.earned.Add(int64(1000 * q.Worth))
		}
	}()
	for {
		wait := min(q.Wait, time.Until(end))
		if wait < time.Millisecond {
			return
		}
		try := fake.Request{ID: w.id("try"), Class: q.Class, Tenant: w.plan.Day.Tenant[q.Tenant].Name, Key: q.Key, Retry: o.tries > 0,
			Job: q.Job, Timeout: wait, Connect: w.front.Connect}
		if w.plan.Day.Load.Hints {
			try.CostHint = roughly(q)
		}
		if o.tries == 0 {
			try.LeaveAfter = q.HangUp
		}
		out := w.clients.Do(try)
		o.tries++
		o.status = out.Status
		if out.Status == 200 {
			o.served = true
			return
		}
		refused := out.Status == 503 || out.Status == 429
		if out.HasLeft || o.tries > q.Retries || class.Effect != invariant.Safe && out.IsAccepted && !refused {
			return
		}
		pause := q.Backoff
		if refused && q.Honours {
			pause = max(pause, out.RetryAfter)
		}
		if !sleepCtx(w.ctx, pause) {
			return
		}
	}
}

// roughly is a client's guess at the work: half to twice of it.
func roughly(q *Request) time.Duration {
	return time.Duration(float64(q.Job.TotalWork()) * (0.5 + 1.5*rand.New(rand.NewPCG(q.Draw, drawJobs)).Float64()))
}

func (o *outcome) inAim(aim time.Duration) bool { return o.served && o.took <= aim }
