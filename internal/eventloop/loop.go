// Package eventloop runs the balancer of one pool. The balancer (package balance) is not safe for concurrent use, and it must be
// notified of events in the order in which they happen. So a Loop owns it, and one goroutine (Run) handles all events in turn,
// reports them to the balancer and carries out its decisions.
//
// The loop's goroutine owns all state of the Loop and of the Calls submitted to it; only the clock may be read from any goroutine.
// Events are posted with Post and Do, which any goroutine but the loop's may call. Each attempt has a goroutine of its own, which
// ends with the attempt and posts its end as an event. A method that is "called from an event" must be called only by a function
// passed to Post or Do.
//
// The package guarantees: each submitted Call gets at most one Reply, and exactly one if its client stays connected and the loop
// keeps running; nothing is written to an endpoint for a Call that has its Reply or whose client is known to have disconnected;
// when Run returns, all attempts that are still in flight have been canceled.
package eventloop

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/loglimit"
	"tuliprock/internal/upstream"
)

// ErrClosed is returned for an event that was not handled because the loop has stopped.
var ErrClosed = errors.New("the event loop of the pool has stopped")

// eventQueueLength is how many events can be queued before Post blocks. It is enough for a burst of attempts that end at once.
const eventQueueLength = 256

// Loop owns the balancer of one pool. Its single goroutine handles all events, one after another.
type Loop struct {
	clock        clock
	balancer     balance.Events
	events       chan func(now time.Duration) // queue of events posted with Post
	urgentEvents chan func(now time.Duration) // events posted with Do, which bypass the queue
	done         chan struct{}                // closed when Run returns
	upstream     Upstream
	requestWatch func() // asks discovery to watch the endpoint list, or to poll it at once
	log          *slog.Logger
	requestLog   *loglimit.Logger // lines about single requests

	idClaims           IDClaims                  // ids of requests that must not run twice; nil: only ids in flight are known
	poolName           string                    // name of the pool, which tells its ids from those of others
	idempotentClasses  map[string]bool           // names of the classes whose requests may run any number of times
	idempotencyWindows map[string]time.Duration  // how long endpoints drop duplicates of an idempotency key, by class name
	calls              map[string]*Call          // calls that are unfinished or have attempts in flight, by request id
	endpoints          map[string]listedEndpoint // listed endpoints, by id
	idByAddress        map[string]string         // id of the endpoint that was last listed at an address
	timers             []time.Duration           // instants of the balancer's timers, ascending
	deferredEvents     []func(now time.Duration) // events that methods of host caused, to be handled after the current event
}

// Upstream makes attempts at endpoints. *upstream.Client implements it.
type Upstream interface {
	// Attempt sends a request to an endpoint once and returns the result. reused means that the attempt used a connection that had
	// served a request before. Attempt is safe for concurrent use. It writes nothing after ctx has ended or the hook IsWanted has
	// returned false.
	Attempt(ctx context.Context, id string, request *upstream.Request, hooks upstream.AttemptHooks) (
		result balance.Result, reused bool, response upstream.Response)
	// SetEndpoint adds an endpoint or updates it. acceptsRequests means that new requests may be sent to it.
	SetEndpoint(id, addr string, acceptsRequests bool)
	// RemoveEndpoint removes an endpoint and closes its idle connections. A manually ejected endpoint is still ejected if
	// it is added again.
	RemoveEndpoint(id string)
	// SetEjected ejects an endpoint manually, or ends its manual ejection.
	SetEjected(id string, isEjected bool)
	// HasIdleConnection reports whether there is an idle connection to an endpoint.
	HasIdleConnection(id string) bool
}

var _ Upstream = (*upstream.Client)(nil)

// BalancerFactory creates the balancer that a Loop owns. It must not call the host before it returns.
type BalancerFactory func(now time.Duration, s balance.Settings, h balance.Host) balance.Events

// NewBalancer is the BalancerFactory that the daemon uses. It returns a *balance.Balancer.
func NewBalancer(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
	return balance.New(now, s, h)
}

// New returns a Loop, which handles no event until Run is called. requestWatch asks discovery to watch the endpoint list, or to
// poll it at once, and must not block.
func New(newBalancer BalancerFactory, s balance.Settings, u Upstream, requestWatch func(), log *slog.Logger) *Loop {
	l := &Loop{
		clock:              clock{time.Now()},
		events:             make(chan func(time.Duration), eventQueueLength),
		urgentEvents:       make(chan func(time.Duration)),
		done:               make(chan struct{}),
		upstream:           u,
		requestWatch:       requestWatch,
		log:                log,
		requestLog:         loglimit.New(log, maxRequestLines),
		idempotentClasses:  map[string]bool{},
		idempotencyWindows: map[string]time.Duration{},
		calls:              map[string]*Call{},
		endpoints:          map[string]listedEndpoint{},
		idByAddress:        map[string]string{},
	}
	for _, c := range s.Classes {
		switch c.Idempotency {
		case balance.Idempotent:
			l.idempotentClasses[c.Name] = true
		case balance.IdempotencyKey:
			l.idempotencyWindows[c.Name] = c.DedupWindow
		}
	}
	l.balancer = newBalancer(l.clock.now(), s, host{l})
	return l
}

// SetIDClaims makes the Loop refuse ids that are claimed in claims, and claim those of its own requests there, under the name of its pool.
// It must be called before Run.
func (l *Loop) SetIDClaims(claims IDClaims, poolName string) {
	l.idClaims, l.poolName = claims, poolName
}

// Now returns the current instant by the Loop's clock, which never runs backwards. It may be called from any goroutine.
func (l *Loop) Now() time.Duration { return l.clock.now() }

// At converts a time to an instant by the Loop's clock.
func (l *Loop) At(t time.Time) time.Duration { return l.clock.at(t) }

// Done returns a channel that is closed when the Loop has stopped.
func (l *Loop) Done() <-chan struct{} { return l.done }

// ResourceCounts returns how many calls, endpoints, deferred events and timers the Loop holds. It is called from an event.
func (l *Loop) ResourceCounts() (calls, endpoints, events, timers int) {
	return len(l.calls), len(l.endpoints), len(l.deferredEvents), len(l.timers)
}

// Post queues an event, and blocks while the queue is full. The event is dropped if the loop has stopped. Post must not be called
// from the loop's goroutine.
func (l *Loop) Post(event func(now time.Duration)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Do has the loop handle an event ahead of the queued events, and returns nil once the event has been handled. If ctx ends before, Do
// returns the error of ctx; if the loop ends before, Do returns ErrClosed. In both cases the event may or may not have been handled.
// Do must not be called from the loop's goroutine.
func (l *Loop) Do(ctx context.Context, event func(now time.Duration)) error {
	handled := make(chan struct{})
	select {
	case l.urgentEvents <- func(now time.Duration) { event(now); close(handled) }:
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

// Run handles events until ctx ends. It then cancels the attempts that are still in flight.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.done)
	defer l.cancelAllAttempts()
	nextTimer := time.NewTimer(time.Hour)
	defer nextTimer.Stop()
	for {
		if len(l.timers) > 0 {
			nextTimer.Reset(l.timers[0] - l.clock.now())
		}
		select {
		case <-ctx.Done():
			return
		case event := <-l.urgentEvents:
			l.handleEvent(event)
		case event := <-l.events:
			l.handleEvent(event)
		case <-nextTimer.C:
			l.handleEvent(l.fireTimers)
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

// handleEvent handles an event, and then the deferred events that it caused.
func (l *Loop) handleEvent(event func(now time.Duration)) {
	event(l.clock.now())
	for len(l.deferredEvents) > 0 {
		nextEvent := l.deferredEvents[0]
		l.deferredEvents = l.deferredEvents[1:]
		nextEvent(l.clock.now())
	}
}

// fireTimers reports the due timers to the balancer. A timer that the balancer sets meanwhile fires only after Run has had a chance
// to handle another event, so that timers that are due at once cannot starve other events.
func (l *Loop) fireTimers(now time.Duration) {
	dueCount, _ := slices.BinarySearch(l.timers, now+1)
	l.timers = slices.Delete(l.timers, 0, dueCount)
	for range dueCount {
		l.balancer.Timer(now)
	}
}
