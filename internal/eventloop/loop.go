// Package eventloop runs the decision module of one pool. The module is not safe for concurrent use, and its decisions must
// follow what happened in the order in which it happened: so a Loop owns it, and one goroutine (Run) handles all events in
// turn, feeds them to the module and carries out what it decides.
//
// The loop's goroutine owns all state of the Loop and of the Calls submitted to it; the clock alone may be read from anywhere.
// Events come by Post and Do, which any goroutine but the loop's may call. Each attempt at an endpoint has a goroutine of its
// own, which ends with the attempt and posts its end as an event. A method that says so is called from an event.
//
// A caller may rely on this: each Call that was submitted gets at most one Reply, and exactly one if its client stays and the
// loop lasts; nothing of it is written once it has its Reply or its client was seen to have gone; when Run returns, all attempts
// that are still in flight have been canceled.
package eventloop

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/upstream"
)

// ErrClosed is why an event was not handled: the loop has ended.
var ErrClosed = errors.New("the pool has ended")

// eventQueueLength is how many events wait before Post blocks: room for a burst of ends of attempts.
const eventQueueLength = 256

// Loop owns the decision module. All that happens is posted to it and handled in turn by its one goroutine.
type Loop struct {
	clock        clock
	balancer     balance.Events
	events       chan func(now time.Duration)
	urgent       chan func(now time.Duration) // what must not wait behind the queue of events
	done         chan struct{}
	upstream     Upstream
	requestWatch func() // has discovery watch in place of being polled
	log          *slog.Logger

	idempotencyWindows map[string]time.Duration  // of classes with idempotency keys: for which endpoints drop duplicates
	calls              map[string]*Call          // by id
	endpoints          map[string]bool           // the ids listed by discovery
	timers             []time.Duration           // sorted
	deferred           []func(now time.Duration) // events that arose within a Host method
}

// Upstream makes the attempts; *upstream.Client does.
type Upstream interface {
	// Attempt sends a request once and returns how that ended; reused: on a connection that had served before. It may be called
	// by many goroutines at once, and writes nothing once ctx has ended, or the hook Wanted has returned false.
	Attempt(ctx context.Context, id string, m *upstream.Request, w upstream.AttemptHooks) (r balance.Result, reused bool, a upstream.Response)
	// SetEndpoint lists an endpoint at an address; takes: new requests may go to it.
	SetEndpoint(id, addr string, takes bool)
	// RemoveEndpoint takes an endpoint from the list.
	RemoveEndpoint(id string)
	// SetEjected ejects an endpoint by an operator's override, or takes it back in.
	SetEjected(id string, out bool)
	// HasIdle reports whether an endpoint has an idle connection.
	HasIdle(id string) bool
}

var _ Upstream = (*upstream.Client)(nil)

// BalancerFactory makes the module that decides. It must call no method of the host before it returns.
type BalancerFactory func(now time.Duration, s balance.Settings, h balance.Host) balance.Events

// NewBalancer is the BalancerFactory of the daemon.
func NewBalancer(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
	return balance.New(now, s, h)
}

// New makes a Loop, which handles nothing before Run. requestWatch asks discovery for a watch and must not block.
func New(decide BalancerFactory, s balance.Settings, u Upstream, requestWatch func(), log *slog.Logger) *Loop {
	l := &Loop{
		clock:              clock{time.Now()},
		events:             make(chan func(time.Duration), eventQueueLength),
		urgent:             make(chan func(time.Duration)),
		done:               make(chan struct{}),
		upstream:           u,
		requestWatch:       requestWatch,
		log:                log,
		idempotencyWindows: map[string]time.Duration{},
		calls:              map[string]*Call{},
		endpoints:          map[string]bool{},
	}
	for _, c := range s.Classes {
		if c.Idempotency == balance.IdempotencyKey {
			l.idempotencyWindows[c.Name] = c.DedupWindow
		}
	}
	l.balancer = decide(l.clock.now(), s, host{l})
	return l
}

// Now is the Loop's clock. It never runs backwards, and may be read from any goroutine.
func (l *Loop) Now() time.Duration { return l.clock.now() }

// At is an instant by the Loop's clock.
func (l *Loop) At(t time.Time) time.Duration { return l.clock.at(t) }

// Done is closed when the Loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// ResourceCounts returns how much the Loop holds of each sort: calls, endpoints, deferred events and timers. It is called from
// an event.
func (l *Loop) ResourceCounts() (calls, members, events, timers int) {
	return len(l.calls), len(l.endpoints), len(l.deferred), len(l.timers)
}

// Post hands an event to the loop, and blocks while its queue is full. Once the loop has ended the event is dropped. It must
// not be called from within the loop.
func (l *Loop) Post(event func(now time.Duration)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Do hands an event to the loop past those that wait, and returns nil when it was handled. It returns the error of ctx, or
// ErrClosed, when one of them ends first: then the event may still be handled. It must not be called from within the loop.
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

// Run handles events until ctx ends. Attempts that are still in flight then are canceled.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	defer l.cancelAllAttempts()
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

func (l *Loop) cancelAllAttempts() {
	for _, c := range l.calls {
		for _, cancel := range c.cancelAttempts {
			cancel()
		}
	}
}

// handle handles an event, and those that arise from it.
func (l *Loop) handle(event func(now time.Duration)) {
	event(l.clock.now())
	for len(l.deferred) > 0 {
		next := l.deferred[0]
		l.deferred = l.deferred[1:]
		next(l.clock.now())
	}
}

// fireTimers reports the timers that are due. One set meanwhile waits for the next turn, so that timers can't keep
// other events out.
func (l *Loop) fireTimers(now time.Duration) {
	due, _ := slices.BinarySearch(l.timers, now+1)
	l.timers = slices.Delete(l.timers, 0, due)
	for range due {
		l.balancer.Timer(now)
	}
}
