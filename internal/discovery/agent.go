package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"
)

// Bounds of the backoff between two watches. The backoff doubles only while the complete list that the agent sends is malformed. When
// the agent is silent or down the backoff stays at the minimum, so that a request is nearly always pending: an agent that comes back
// responds to pending requests at once.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// AgentClient is the Source that watches the endpoint list of the platform's discovery agent. While Run runs, only Subscribe and
// SwitchAgent may be called.
type AgentClient struct {
	// OnUpdate is called with each update, in order. It must be set before Run.
	OnUpdate func(ListUpdate)
	// OnWatchEnd is called whenever a watch ends, if each watch must be requested by Subscribe. It must be set before Run.
	OnWatchEnd func()

	addr              string        // host:port of the current agent
	mustSubscribe     bool          // each watch must be requested by Subscribe; otherwise a new watch is opened whenever the last one ends
	subscribeRequests chan struct{} // holds at most one call of Subscribe that has not been handled
	switchRequests    chan string   // holds at most one address, which was passed to SwitchAgent and which Run has not switched to
	version           *int64        // version of the known list; nil if the complete list must be fetched
	log               *slog.Logger
	client            *http.Client
	idleTimeout       time.Duration // maximum time without a byte before a watch is closed
	firstByteTimeout  time.Duration // maximum time to the first byte of a response
	lastLoggedAt      time.Time     // when the end of a watch was last logged
}

// NewAgentClient returns a client of the discovery agent at addr. version is the version of the list that the caller already knows; if
// it is nil, the complete list is fetched first. If mustSubscribe is true, a watch is opened only after a call of Subscribe. The caller
// sets the callbacks before Run.
func NewAgentClient(addr string, version *int64, mustSubscribe bool, log *slog.Logger) *AgentClient {
	c := &AgentClient{
		addr:              addr,
		mustSubscribe:     mustSubscribe,
		subscribeRequests: make(chan struct{}, 1),
		switchRequests:    make(chan string, 1),
		version:           version,
		log:               log,
		client:            &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		idleTimeout:       watchIdleTimeout,
		firstByteTimeout:  pushedFirstByteTimeout,
	}
	if mustSubscribe {
		c.firstByteTimeout = subscribedFirstByteTimeout
	}
	return c
}

// SwitchAgent makes Run continue with the agent at addr. It does not block, and overrides an earlier call that Run has not handled yet.
// It must not be called concurrently with itself.
func (c *AgentClient) SwitchAgent(addr string) {
	select {
	case <-c.switchRequests:
	default:
	}
	c.switchRequests <- addr
}

// Subscribe implements Source: it requests a watch. It does not block.
func (c *AgentClient) Subscribe() {
	select {
	case c.subscribeRequests <- struct{}{}:
	default:
	}
}

// Run implements Source. SwitchAgent ends the current watch at once, and the complete list is fetched from the new agent, since the
// version of the old agent's list does not tell which updates of the new agent were missed. The receiver keeps the old list until the
// new one arrives.
func (c *AgentClient) Run(ctx context.Context) {
	watchRequested := !c.mustSubscribe
	for ctx.Err() == nil {
		watchCtx, stop := context.WithCancel(ctx)
		watchInterrupted := make(chan bool, 1)
		go func() { watchInterrupted <- c.keepWatching(watchCtx, watchRequested) }()
		select {
		case <-ctx.Done():
			stop()
			<-watchInterrupted
		case addr := <-c.switchRequests:
			stop()
			watchRequested = <-watchInterrupted
			if addr != c.addr {
				c.addr, c.version = addr, nil
			}
		}
	}
}

// keepWatching opens one watch after the other at the current agent until ctx ends. watchRequested is whether the first watch need not
// wait for Subscribe. It returns whether ctx ended during a watch. If so, and the cause was SwitchAgent, Run opens a watch at the new agent
// without waiting for Subscribe, since the watch that ended had been requested. When a watch breaks, the receiver keeps its list, and the
// next watch begins with the changes after the version of that list.
func (c *AgentClient) keepWatching(ctx context.Context, watchRequested bool) bool {
	backoff := minBackoff
	for {
		if !watchRequested {
			select {
			case <-ctx.Done():
				return false
			case <-c.subscribeRequests:
			}
		}
		hasReceived, err := c.watch(ctx)
		if ctx.Err() != nil {
			return true
		}
		c.logWatchEnd(err)
		if c.mustSubscribe {
			watchRequested = false
			c.OnWatchEnd()
			continue
		}
		if backoff = min(2*backoff, maxBackoff); hasReceived || !errors.Is(err, errMalformedMessage) {
			backoff = minBackoff
		}
		sleep(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64()))) // jitter, since the watches of all sidecars end at the same time when their agent fails
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// logWatchEnd logs why a watch ended, at most once per logInterval.
func (c *AgentClient) logWatchEnd(err error) {
	if time.Since(c.lastLoggedAt) > logInterval {
		c.lastLoggedAt = time.Now()
		c.log.Warn("discovery watch ended", "agent", c.addr, "error", err)
	}
}
