package discovery

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"
)

// Backoff between two watches. After silence it stays at the least: the agent answers a request that waits when it returns, but
// cannot know of one that is not there yet. It doubles only after malformed messages.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// AgentClient is the Source that watches the endpoint list at the platform's discovery agent. Only Subscribe and SwitchAgent may be
// called while Run runs.
type AgentClient struct {
	// Deliver takes each update, in order. It must be set before Run.
	OnUpdate func(ListUpdate)
	// Failed takes the end of each watch, where the agent must be subscribed to. It must be set before Run.
	OnWatchEnd func()

	addr              string
	mustSubscribe     bool          // only Subscribe starts a watch, and Failed takes its end
	subscribeRequests chan struct{} // capacity 1: a Subscribe not yet served
	switchRequests    chan string   // capacity 1: the latest address to switch to
	version           *int64        // of the latest update; nil: the complete list must be fetched
	log               *slog.Logger
	client            *http.Client
	idleTimeout       time.Duration // a watch that sends nothing for this long is closed
	firstByteTimeout  time.Duration // for the first byte of a response
	lastLoggedAt      time.Time
}

// NewAgentClient makes a client of the discovery agent at addr. version is that of the list already known; nil: the complete list is
// fetched first. Where mustSubscribe is true a watch is opened only after Subscribe. The caller sets the callbacks before Run.
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

// SwitchAgent leaves the present address for another. It does not block, and replaces a switch that Run has not yet made. It must not
// be called concurrently with itself.
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

// Run implements Source. A switch of the agent ends the watch at once and fetches the complete list at the new address, since what
// was missed meanwhile cannot be known there. The old list remains in force until the new one comes.
func (c *AgentClient) Run(ctx context.Context) {
	isWanted := !c.mustSubscribe // a watch, without a further Subscribe
	for ctx.Err() == nil {
		watchCtx, stop := context.WithCancel(ctx)
		ended := make(chan bool, 1)
		go func() { ended <- c.keepWatching(watchCtx, isWanted) }()
		select {
		case <-ctx.Done():
			stop()
			<-ended
		case addr := <-c.switchRequests:
			stop()
			isWanted = <-ended
			if addr != c.addr {
				c.addr, c.version = addr, nil
			}
		}
	}
}

// keepWatching keeps a watch at the present address until ctx ends, and reports whether one was wanted then. A watch that breaks
// leaves the old list in force; the next one requests what has changed since.
func (c *AgentClient) keepWatching(ctx context.Context, isWanted bool) bool {
	backoff := minBackoff
	for {
		if !isWanted {
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
			isWanted = false
			c.OnWatchEnd()
			continue
		}
		if backoff = min(2*backoff, maxBackoff); hasReceived || !errors.Is(err, errMalformed) {
			backoff = minBackoff
		}
		sleep(ctx, time.Duration(float64(backoff)*(0.5+rand.Float64()))) // jitter: all sidecars lose their watch together
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// logWatchEnd logs the end of a watch, at most once in logInterval.
func (c *AgentClient) logWatchEnd(err error) {
	if time.Since(c.lastLoggedAt) > logInterval {
		c.lastLoggedAt = time.Now()
		c.log.Warn("discovery watch ended", "agent", c.addr, "error", err)
	}
}
