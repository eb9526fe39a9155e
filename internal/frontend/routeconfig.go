package frontend

import (
	"sync"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
	"tuliprock/internal/route"
)

// Class is a class of requests: what executing one twice may do, and which headers carry its parameters.
type Class struct {
	Name        string
	Idempotency balance.Idempotency
	Methods     []string // that are served; none: all
	ForbidsBody bool     // requests with a body are rejected

	IDHeader     string
	RequiresID   bool // a request without an id is rejected; else an id is generated for it
	KeyHeader    string
	TenantHeader string
	RetryHeader  string // the value "1" marks a retry by the client; empty: the mark is never believed

	DeadlineHeader   string
	RequiresDeadline bool          // a request without a deadline is rejected; else the default applies
	DefaultDeadline  time.Duration // the default, from the request's arrival
	MaxDeadline      time.Duration // the longest that a client may set

	MaxStreamDuration     time.Duration // that a streaming body may take, each way
	DeadlineCoversStreams bool          // the deadline covers streaming bodies, too

	Metrics *metrics.Class
}

// Target is where the requests of a route go.
type Target struct {
	Pool          *eventloop.Loop
	Class         *Class
	DefaultTenant string      // of requests that name none
	Prefix        string      // of the path, to be replaced
	PrefixRewrite string      // of the prefix; empty: the path stays as it is
	SetHeaders    [][2]string // request headers to set, as name and value
	RemoveHeaders []string    // request headers to remove
}

// RouteConfig is a configuration by which requests are routed. It does not change once it was swapped in.
type RouteConfig struct {
	Table   *route.Table
	Targets []Target // by the index of the Table's rule

	// Guard reports, at any time, whether new requests may be decided by this configuration; nil: always. While it is
	// false they are shed, with the Retry-After that follows.
	Guard           func() bool
	GuardRetryAfter time.Duration

	inFlight sync.WaitGroup // requests that acquired it
}

// Wait returns when all requests that are routed by it were responded to. It must have been swapped out before.
func (s *RouteConfig) Wait() { s.inFlight.Wait() }

// release ends the use that acquire has begun.
func (s *RouteConfig) release() { s.inFlight.Done() }

// ActiveRouteConfig holds the configuration that routes new requests. It is safe for concurrent use.
type ActiveRouteConfig struct {
	mu     sync.RWMutex
	active *RouteConfig
}

// Swap replaces the active configuration, which routes no new request from then on.
func (c *ActiveRouteConfig) Swap(s *RouteConfig) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = s
}

// acquire returns the active configuration for one request, which must release it.
func (c *ActiveRouteConfig) acquire() *RouteConfig {
	c.mu.RLock()
	defer c.mu.RUnlock()
	c.active.inFlight.Add(1)
	return c.active
}
