package sidecar

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"tuliprock/balance"
)

// clock gives instants: a monotonic reading since the start, well above zero, so that 0 means long ago and starts
// of endpoints before this sidecar's own have instants too.
type clock struct{ started time.Time }

const clockStart = 24 * time.Hour

func (c clock) now() time.Duration { return clockStart + time.Since(c.started) }

// instant converts wall time. The offset is fixed: the same start must always give the same instant, or an old one
// would pass for a restart.
func (c clock) instant(unixMs int64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(clockStart+time.Duration(unixMs-c.started.UnixMilli())*time.Millisecond, 0)
}

// reply is the final answer to a caller.
type reply struct {
	status     int
	retryAfter time.Duration
	answer     answer
}

// call is a request that was taken.
type call struct {
	balance.Request
	message *message
	replies chan reply // takes the one final answer without blocking

	// The loop's own:
	over    bool // answered, or the caller has left
	cancels []context.CancelFunc
	out     int // attempts out
}

// loop owns the Balancer. All that happens is posted to it and handled in turn by its one goroutine.
type loop struct {
	clock    clock
	balancer balance.Events
	events   chan func(now time.Duration)
	done     chan struct{}
	upstream *upstream
	ask      func() // asks discovery for a watch
	log      *slog.Logger

	calls   map[string]*call
	members map[string]bool
	timers  []time.Duration           // sorted
	later   []func(now time.Duration) // events that arose within a Host method
}

func newLoop(s balance.Settings, u *upstream, ask func(), log *slog.Logger) *loop {
	l := &loop{clock: clock{time.Now()}, events: make(chan func(time.Duration), 256), done: make(chan struct{}),
		upstream: u, ask: ask, log: log, calls: map[string]*call{}, members: map[string]bool{}}
	l.balancer = balance.New(l.clock.now(), s, host{l})
	return l
}

// post hands an event to the loop. It must not be called from within the loop.
func (l *loop) post(event func(now time.Duration)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// run handles events until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		if len(l.timers) > 0 {
			alarm.Reset(l.timers[0] - l.clock.now())
		}
		select {
		case <-ctx.Done():
			return
		case event := <-l.events:
			l.handle(event)
		case <-alarm.C:
			l.handle(l.ring)
		}
	}
}

func (l *loop) handle(event func(now time.Duration)) {
	event(l.clock.now())
	for len(l.later) > 0 {
		next := l.later[0]
		l.later = l.later[1:]
		next(l.clock.now())
	}
}

// ring reports the timers that are due. One asked for meanwhile waits for the next turn, so that timers can't keep
// other events out.
func (l *loop) ring(now time.Duration) {
	due, _ := slices.BinarySearch(l.timers, now+1)
	l.timers = slices.Delete(l.timers, 0, due)
	for range due {
		l.balancer.Timer(now)
	}
}

// start takes a request. One whose id is still in use is turned away, so that it can't disturb the first.
func (l *loop) start(now time.Duration, c *call) {
	if l.calls[c.ID] != nil {
		c.replies <- reply{status: statusDuplicate}
		return
	}
	l.calls[c.ID] = c
	l.balancer.Request(now, c.Request)
}

// leave reports that the caller of a request has gone.
func (l *loop) leave(now time.Duration, c *call) {
	if l.calls[c.ID] == c && !c.over {
		c.over = true
		l.balancer.ClientLeft(now, c.ID)
		l.forget(c)
	}
}

// finish gives the final answer, once.
func (l *loop) finish(c *call, r reply) {
	if c == nil || c.over {
		return
	}
	c.over = true
	c.replies <- r
	l.forget(c)
}

// forget drops a call of which nothing is to come any more.
func (l *loop) forget(c *call) {
	if c.over && c.out == 0 && l.calls[c.ID] == c {
		delete(l.calls, c.ID)
	}
}

// ended reports the end of an attempt. A whole answer is passed on at once; one that comes too late is dropped.
func (l *loop) ended(now time.Duration, c *call, o balance.Outcome, sent time.Duration, a answer) {
	c.out--
	o.Took, o.Final = now-sent, c.over
	if o.Result == balance.OK && !c.over {
		o.Final = true
		l.finish(c, reply{status: statusServed, answer: a})
	}
	l.balancer.Outcome(now, o)
	l.forget(c)
}

// list reports what discovery says.
func (l *loop) list(now time.Duration, m Members) {
	out := balance.List{Complete: m.Full}
	listed := map[string]bool{}
	for _, s := range m.Servers {
		out.Entries = append(out.Entries, balance.Endpoint{ID: s.ID, State: s.State, Zone: s.Zone, Kind: s.Kind,
			Cell: s.Cell, Started: l.clock.instant(s.StartedMs)})
		listed[s.ID] = true
		if s.State == balance.Gone {
			l.remove(s.ID)
			continue
		}
		l.members[s.ID] = true
		l.upstream.setMember(s.ID, s.Addr, s.State == balance.Ready)
	}
	if m.Full {
		for id := range l.members {
			if !listed[id] {
				l.remove(id)
			}
		}
	}
	l.balancer.EndpointList(now, out)
}

func (l *loop) remove(id string) {
	delete(l.members, id)
	l.upstream.removeMember(id)
}

// host carries out what the Balancer asks for. It runs on the loop's goroutine, blocks on nothing and does not call
// back.
type host struct{ *loop }

var _ balance.Host = host{}

// Send implements balance.Host.
func (h host) Send(id, endpoint string, timeout time.Duration) {
	c := h.calls[id]
	if c == nil {
		return // not a request of ours: nothing to report either
	}
	o := balance.Outcome{ID: id, Attempt: len(c.cancels), Endpoint: endpoint}
	sent := h.clock.now()
	ctx, cancel := context.WithTimeout(context.Background(), min(timeout, c.Deadline-sent))
	c.cancels = append(c.cancels, cancel)
	c.out++
	if c.over {
		o.Result = balance.NotSent
		h.later = append(h.later, func(now time.Duration) { h.ended(now, c, o, sent, answer{}) })
		return
	}
	go func() {
		var a answer
		o.Result, o.Reused, a = h.upstream.attempt(ctx, endpoint, c.message)
		cancel()
		h.post(func(now time.Duration) { h.ended(now, c, o, sent, a) })
	}()
}

// Cancel implements balance.Host.
func (h host) Cancel(id string, n int) {
	if c := h.calls[id]; c != nil && n >= 0 && n < len(c.cancels) {
		c.cancels[n]()
	}
}

// Refuse implements balance.Host.
func (h host) Refuse(id string, retryAfter time.Duration) {
	h.finish(h.calls[id], reply{status: statusRefused, retryAfter: retryAfter})
}

// Fail implements balance.Host.
func (h host) Fail(id string) { h.finish(h.calls[id], reply{status: statusFailed}) }

// Probe implements balance.Host. Probing endpoints is ruled out; the settings given to the module never allow it.
func (h host) Probe(endpoint string) {
	h.later = append(h.later, func(now time.Duration) {
		h.balancer.Probed(now, balance.ProbeResult{Endpoint: endpoint, Result: balance.NotSent})
	})
}

// Idle implements balance.Host.
func (h host) Idle(endpoint string) bool { return h.upstream.idle(endpoint) }

// Subscribe implements balance.Host.
func (h host) Subscribe() { h.ask() }

// Timer implements balance.Host.
func (h host) Timer(at time.Duration) {
	i, _ := slices.BinarySearch(h.timers, at)
	h.timers = slices.Insert(h.timers, i, at)
}

// Log implements balance.Host.
func (h host) Log(line string) { h.log.Info(line) }
