// Package eventloop owns a decision module: one goroutine feeds it what happens and carries out what it decides.
package eventloop

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/discovery"
	"tuliprock/internal/upstream"
)

// clock gives instants: a monotonic reading since the start, well above zero, so that 0 means long ago and starts
// of endpoints before this sidecar's own have instants too.
type clock struct{ started time.Time }

const clockStart = 24 * time.Hour

func (c clock) now() time.Duration { return c.at(time.Now()) }

func (c clock) at(t time.Time) time.Duration { return clockStart + t.Sub(c.started) }

// fromUnixMillis converts wall time. The offset is fixed: the same start must always give the same instant, or an old one
// would pass for a restart.
func (c clock) fromUnixMillis(unixMs int64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(clockStart+time.Duration(unixMs-c.started.UnixMilli())*time.Millisecond, 0)
}

// Verdict is how a request ended.
type Verdict int

// The verdicts.
const (
	Served    Verdict = iota
	Refused           // nothing of it has run, or running it again does no harm
	Failed            // nothing is promised of its effect
	Duplicate         // its id is in use by a request that is still open
	Left              // its caller has gone: nobody is there to be answered
)

// Reply is the final answer to a caller.
type Reply struct {
	Verdict    Verdict
	RetryAfter time.Duration     // 0: no advice
	Answer     upstream.Response // if served; an endpoint's own error, where the last attempt brought one
}

// Call is a request that was taken.
type Call struct {
	balance.Request
	Message *upstream.Message
	Replies chan Reply // takes the one final answer without blocking; it has room for one

	// Of a request whose body flows: how long its answer may be waited for after the last byte; 0: to the deadline.
	Patience time.Duration

	// Guard, if set, is looked at in the event that has the module decide, and before anything of the request goes out: false, and it
	// is refused at once, to come back after Unsure.
	Guard  func() bool
	Unsure time.Duration

	// Here tells, from any goroutine, whether the caller still waits; nil: it does. It is asked last, before the first byte of an
	// attempt goes out: the loop may hear of the leaving later.
	Here func() bool

	// The loop's own:
	isOver           atomic.Bool       // answered, or the caller has left; the loop alone sets it, attempts that have written nothing yet look at it
	mayHaveRunAt     time.Duration     // when the first attempt that may have run was sent; 0: none may have
	lastResponse     upstream.Response // of the latest attempt that ended, if it brought one
	cancelAttempts   []context.CancelFunc
	attemptsInFlight int // attempts out
}

// Loop owns the Balancer. All that happens is posted to it and handled in turn by its one goroutine.
type Loop struct {
	clock        clock
	balancer     balance.Events
	events       chan func(now time.Duration)
	urgent       chan func(now time.Duration) // what must not wait behind a queue of events
	done         chan struct{}
	upstream     Upstream
	requestWatch func() // asks discovery for a watch
	log          *slog.Logger

	idempotencyWindows map[string]time.Duration // of keyed classes: for which their repeats are dropped
	calls              map[string]*Call
	endpoints          map[string]bool
	timers             []time.Duration           // sorted
	deferred           []func(now time.Duration) // events that arose within a Host method
}

// Upstream makes the attempts; *upstream.Client does.
type Upstream interface {
	// Attempt sends a request once and tells how that ended; reused: on a connection that had served before. It may be called by many
	// at once, and writes nothing once ctx has ended, or Watch.Wanted has said no.
	Attempt(ctx context.Context, id string, m *upstream.Message, w upstream.AttemptHooks) (r balance.Result, reused bool, a upstream.Response)
	SetMember(id, addr string, takes bool)
	RemoveMember(id string)
	SetEjected(id string, out bool)
	HasIdle(id string) bool
}

var _ Upstream = (*upstream.Client)(nil)

// Decider makes the module that decides. It must give the host no calls before it returns.
type Decider func(now time.Duration, s balance.Settings, h balance.Host) balance.Events

// Module is the Decider of the daemon.
func Module(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
	return balance.New(now, s, h)
}

// New makes a Loop. ask asks discovery for a watch and must not block.
func New(decide Decider, s balance.Settings, u Upstream, ask func(), log *slog.Logger) *Loop {
	l := &Loop{clock: clock{time.Now()}, events: make(chan func(time.Duration), 256), urgent: make(chan func(time.Duration)), done: make(chan struct{}),
		upstream: u, requestWatch: ask, log: log, idempotencyWindows: map[string]time.Duration{}, calls: map[string]*Call{}, endpoints: map[string]bool{}}
	for _, c := range s.Classes {
		if c.Effect == balance.Keyed {
			l.idempotencyWindows[c.Name] = c.Window
		}
	}
	l.balancer = decide(l.clock.now(), s, host{l})
	return l
}

// Now is the Loop's clock. It never runs backwards.
func (l *Loop) Now() time.Duration { return l.clock.now() }

// At is an instant by the Loop's clock.
func (l *Loop) At(t time.Time) time.Duration { return l.clock.at(t) }

// Done is closed when the Loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// DiscoveryFailed reports that a watch broke, where discovery is asked.
func (l *Loop) DiscoveryFailed(now time.Duration) {
	l.balancer.EndpointList(now, balance.List{Failed: true})
}

// ResourceCounts tells how much the Loop holds of each sort. Like Start, Leave and List it is called from an event.
func (l *Loop) ResourceCounts() (calls, members, events, timers int) {
	return len(l.calls), len(l.endpoints), len(l.deferred), len(l.timers)
}

// Post hands an event to the loop. It must not be called from within the loop.
func (l *Loop) Post(event func(now time.Duration)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Do hands an event to the loop past those that wait, and returns when it was handled: nil; or when ctx has ended or the
// loop has: then it may still be handled. It must not be called from within the loop.
func (l *Loop) Do(ctx context.Context, event func(now time.Duration)) error {
	handled := make(chan struct{})
	select {
	case l.urgent <- func(now time.Duration) { event(now); close(handled) }:
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return ErrClosed
	}
	select {
	case <-handled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-l.done:
		return ErrClosed
	}
}

// SetEjected takes an endpoint out by hand, or gives it back. It is called from an event.
func (l *Loop) SetEjected(now time.Duration, id string, out bool) {
	l.upstream.SetEjected(id, out) // first: the module may send at once
	l.balancer.Bar(now, id, out)
}

// IsKnown tells whether an endpoint is listed, or out by hand. It is called from an event.
func (l *Loop) IsKnown(id string) bool { return l.balancer.Knows(id) }

// SetBalancerCount reports among how many daemons the endpoints are shared, and this one's place. It is called from an event.
func (l *Loop) SetBalancerCount(now time.Duration, daemons, index int) {
	l.balancer.Share(now, daemons, index)
}

// EndpointCounts tells how many endpoints are listed, and how many of them are avoided. It is called from an event.
func (l *Loop) EndpointCounts() (listed, avoided int) { return l.balancer.Census() }

// ErrClosed is why an event was not handled: the loop has ended.
var ErrClosed = errors.New("the pool has ended")

// Run handles events until ctx ends. Attempts that are still out then are called off.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	defer func() {
		for _, c := range l.calls {
			for _, cancel := range c.cancelAttempts {
				cancel()
			}
		}
	}()
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		if len(l.timers) > 0 {
			alarm.Reset(l.timers[0] - l.clock.now())
		}
		select {
		case <-ctx.Done():
			return
		case event := <-l.urgent:
			l.handle(event)
		case event := <-l.events:
			l.handle(event)
		case <-alarm.C:
			l.handle(l.fireTimers)
		}
	}
}

func (l *Loop) handle(event func(now time.Duration)) {
	event(l.clock.now())
	for len(l.deferred) > 0 {
		next := l.deferred[0]
		l.deferred = l.deferred[1:]
		next(l.clock.now())
	}
}

// fireTimers reports the timers that are due. One asked for meanwhile waits for the next turn, so that timers can't keep
// other events out.
func (l *Loop) fireTimers(now time.Duration) {
	due, _ := slices.BinarySearch(l.timers, now+1)
	l.timers = slices.Delete(l.timers, 0, due)
	for range due {
		l.balancer.Timer(now)
	}
}

// Submit takes a request. One whose id is still in use is turned away, so that it can't disturb the first.
func (l *Loop) Submit(now time.Duration, c *Call) {
	if l.calls[c.ID] != nil {
		c.Replies <- Reply{Verdict: Duplicate}
		return
	}
	if c.Guard != nil && !c.Guard() {
		c.Replies <- Reply{Verdict: Refused, RetryAfter: c.Unsure}
		return
	}
	l.calls[c.ID] = c
	l.balancer.Request(now, c.Request)
}

// ClientDisconnected reports that the caller of a request has gone. It is false if the request had its final answer before.
func (l *Loop) ClientDisconnected(now time.Duration, c *Call) bool {
	if l.calls[c.ID] != c || c.isOver.Load() {
		return false
	}
	c.isOver.Store(true)
	l.balancer.ClientLeft(now, c.ID)
	l.releaseIfEnded(c)
	return true
}

// reply gives the final answer, once.
func (l *Loop) reply(c *Call, r Reply) {
	if c == nil || c.isOver.Load() {
		return
	}
	c.isOver.Store(true)
	c.Replies <- r
	l.releaseIfEnded(c)
}

// releaseIfEnded drops a call of which nothing is to come any more.
func (l *Loop) releaseIfEnded(c *Call) {
	if c.isOver.Load() && c.attemptsInFlight == 0 && l.calls[c.ID] == c {
		delete(l.calls, c.ID)
	}
}

// attemptEnded reports the end of an attempt. A whole answer is passed on at once; one that comes too late is dropped.
func (l *Loop) attemptEnded(now time.Duration, c *Call, o balance.Outcome, sent time.Duration, a upstream.Response) {
	c.attemptsInFlight--
	c.lastResponse = a
	if u := c.Message.Upload; u != nil {
		o.Spent = u.Spent()
		if u.Err() != nil { // the caller's fault, and its end
			l.ClientDisconnected(now, c)
		}
	}
	if o.Result == balance.NotSent && !c.isClientConnected() && l.ClientDisconnected(now, c) {
		c.Replies <- Reply{Verdict: Left} // whoever waits for the answer may not have seen it
	}
	if c.mayHaveRunAt == 0 && o.Result.MayHaveRun() {
		c.mayHaveRunAt = sent
	}
	o.Took, o.Final = now-sent, c.isOver.Load()
	if o.Result == balance.OK && !c.isOver.Load() {
		o.Final = true
		l.reply(c, Reply{Verdict: Served, Answer: a})
	}
	l.balancer.Outcome(now, o)
	l.releaseIfEnded(c)
}

// isClientConnected tells whether the caller still waits, as far as it can be told.
func (c *Call) isClientConnected() bool { return c.Here == nil || c.Here() }

// wantedFunc makes the question that an attempt asks last, before its first byte goes out: is the request still to be sent? It is
// not once it has its answer or its caller has left, nor, if it may have run before, once nobody drops its repeats any more. The
// module decided before the connection came up. What the loop knows comes last: it may learn of an end while the kernel is asked.
func (l *Loop) wantedFunc(c *Call) func() bool {
	last := time.Duration(math.MaxInt64)
	if window, keyed := l.idempotencyWindows[c.Class]; keyed && c.mayHaveRunAt > 0 {
		last = c.mayHaveRunAt + window
	}
	return func() bool { return c.isClientConnected() && !c.isOver.Load() && l.clock.now() < last }
}

// bodySent reports that the last byte of an attempt whose body flows has gone out.
func (l *Loop) bodySent(now time.Duration, c *Call, n int) {
	if !c.isOver.Load() && c.Patience > 0 {
		c.Deadline = min(now+c.Patience, c.Flow)
	}
	l.balancer.BodySent(now, c.ID, n, c.Deadline)
}

// streamStarted gives an answer that has begun to flow to the caller, and tells whether that one still waits for it. From then on
// it is the caller's, whatever becomes of it.
func (l *Loop) streamStarted(now time.Duration, c *Call, n int, a upstream.Response) bool {
	if c.isOver.Load() {
		return false
	}
	c.isOver.Store(true)
	c.Replies <- Reply{Verdict: Served, Answer: a}
	l.balancer.StreamStarted(now, c.ID, n)
	return true
}

// attemptHooks makes what happens during an attempt events.
func (l *Loop) attemptHooks(c *Call, n int) upstream.AttemptHooks {
	return upstream.AttemptHooks{
		Wanted: l.wantedFunc(c),
		Sent:   func() { l.Post(func(now time.Duration) { l.bodySent(now, c, n) }) },
		Begun: func(a upstream.Response) bool {
			taken := make(chan bool, 1)
			l.Post(func(now time.Duration) { taken <- l.streamStarted(now, c, n, a) })
			select {
			case ok := <-taken:
				return ok
			case <-l.done:
				return false
			}
		},
	}
}

// UpdateEndpoints reports what discovery says.
func (l *Loop) UpdateEndpoints(now time.Duration, m discovery.ListUpdate) {
	out := balance.List{Complete: m.Full}
	listed := map[string]bool{}
	for _, s := range m.Servers {
		out.Entries = append(out.Entries, balance.Endpoint{ID: s.ID, State: s.State, Zone: s.Zone, Kind: s.Kind,
			Cell: s.Cell, Started: l.clock.fromUnixMillis(s.StartedMs)})
		listed[s.ID] = true
		if s.State == balance.Gone {
			l.removeEndpoint(s.ID)
			continue
		}
		l.endpoints[s.ID] = true
		l.upstream.SetMember(s.ID, s.Addr, s.State == balance.Ready)
	}
	if m.Full {
		for id := range l.endpoints {
			if !listed[id] {
				l.removeEndpoint(id)
			}
		}
	}
	l.balancer.EndpointList(now, out)
}

func (l *Loop) removeEndpoint(id string) {
	delete(l.endpoints, id)
	l.upstream.RemoveMember(id)
}

// host carries out what the Balancer asks for. It runs on the loop's goroutine, blocks on nothing and does not call
// back.
type host struct{ *Loop }

var _ balance.Host = host{}

// Send implements balance.Host.
func (h host) Send(id, endpoint string, timeout time.Duration) {
	c := h.calls[id]
	if c == nil {
		return // not a request of ours: nothing to report either
	}
	o := balance.Outcome{ID: id, Attempt: len(c.cancelAttempts), Endpoint: endpoint}
	sent := h.clock.now()
	ctx, cancel := context.WithTimeout(context.Background(), min(timeout, max(c.Deadline, c.Flow)-sent))
	c.cancelAttempts = append(c.cancelAttempts, cancel)
	c.attemptsInFlight++
	if c.isOver.Load() {
		o.Result = balance.NotSent
		h.deferred = append(h.deferred, func(now time.Duration) { h.attemptEnded(now, c, o, sent, upstream.Response{}) })
		return
	}
	watch := h.attemptHooks(c, o.Attempt)
	go func() {
		var a upstream.Response
		o.Result, o.Reused, a = h.upstream.Attempt(ctx, endpoint, c.Message, watch)
		cancel()
		h.Post(func(now time.Duration) { h.attemptEnded(now, c, o, sent, a) })
	}()
}

// Cancel implements balance.Host.
func (h host) Cancel(id string, n int) {
	if c := h.calls[id]; c != nil && n >= 0 && n < len(c.cancelAttempts) {
		c.cancelAttempts[n]()
	}
}

// Refuse implements balance.Host.
func (h host) Refuse(id string, retryAfter time.Duration) {
	c := h.calls[id]
	if c != nil && c.lastResponse.Status != 0 { // an endpoint's own error says more to the caller, and promises less
		h.Fail(id)
		return
	}
	h.reply(c, Reply{Verdict: Refused, RetryAfter: retryAfter})
}

// Fail implements balance.Host.
func (h host) Fail(id string) {
	if c := h.calls[id]; c != nil {
		h.reply(c, Reply{Verdict: Failed, Answer: c.lastResponse})
	}
}

// Probe implements balance.Host. Probing endpoints is ruled out; the settings given to the module never allow it.
func (h host) Probe(endpoint string) {
	h.deferred = append(h.deferred, func(now time.Duration) {
		h.balancer.Probed(now, balance.ProbeResult{Endpoint: endpoint, Result: balance.NotSent})
	})
}

// Idle implements balance.Host.
func (h host) Idle(endpoint string) bool { return h.upstream.HasIdle(endpoint) }

// Subscribe implements balance.Host.
func (h host) Subscribe() { h.requestWatch() }

// Timer implements balance.Host.
func (h host) Timer(at time.Duration) {
	i, _ := slices.BinarySearch(h.timers, at)
	h.timers = slices.Insert(h.timers, i, at)
}

// Log implements balance.Host.
func (h host) Log(line string) { h.log.Info(line) }
