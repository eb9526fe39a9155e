package frontend

import (
	"sync"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
	"tuliprock/internal/route"
)

// Class is a class of requests. It says whether requests of the class are idempotent, and which headers hold the id, key, tenant
// and deadline of a request.
type Class struct {
	Name        string
	Idempotency balance.Idempotency
	Methods     []string // allowed request methods; none means all
	ForbidsBody bool     // requests with a body are rejected

	IDHeader     string // name of the header with the request's id
	RequiresID   bool   // a request without an id is rejected; otherwise an id is generated for it
	KeyHeader    string // name of the header with the idempotency key
	TenantHeader string // name of the header with the tenant
	RetryHeader  string // name of the header whose value "1" marks a retry by the client; "" means that no mark is trusted

	DeadlineHeader   string        // name of the header with the client's timeout in milliseconds
	RequiresDeadline bool          // a request without a deadline is rejected; otherwise DefaultDeadline applies
	DefaultDeadline  time.Duration // timeout of a request without a deadline, from its arrival
	MaxDeadline      time.Duration // longest timeout that a client may set

	MaxStreamDuration     time.Duration // longest time for a streaming request body and, separately, for a streaming response body
	DeadlineCoversStreams bool          // the deadline also applies to the time that streaming bodies take

	Metrics *metrics.Class
}

// Target says how the requests of a route are handled: by which pool, as which class and with which changes.
type Target struct {
	Loop          *eventloop.Loop
	Class         *Class
	DefaultTenant string      // tenant of requests that name none
	Prefix        string      // prefix of the path that PrefixRewrite replaces
	PrefixRewrite string      // replacement for Prefix; "" means that the path is not changed
	SetHeaders    [][2]string // request headers to set, each as name and value
	RemoveHeaders []string    // names of request headers to remove
}

// RouteConfig is a configuration by which requests are routed. It must not change after it was passed to
// ActiveRouteConfig.Swap.
type RouteConfig struct {
	Table   *route.Table
	Targets []Target // Targets[i] is the target of the rule with index i in Table

	// AcceptsRequests reports whether new requests may be routed by this configuration at present; nil means always. While it returns
	// false, new requests are shed with RejectionRetryAfter as their Retry-After.
	AcceptsRequests     func() bool
	RejectionRetryAfter time.Duration // Retry-After of a request that is shed because AcceptsRequests returns false

	inFlight sync.WaitGroup // requests that have acquired the configuration and not released it
}

// Wait waits until all requests that are routed by the configuration have ended. It must be called only after Swap has
// replaced the configuration by another one.
func (c *RouteConfig) Wait() { c.inFlight.Wait() }

// release ends a request's use of the configuration, which began with acquire.
func (c *RouteConfig) release() { c.inFlight.Done() }

// ActiveRouteConfig holds the configuration that routes new requests. It is safe for concurrent use.
type ActiveRouteConfig struct {
	mu     sync.RWMutex // guards active
	active *RouteConfig
}

// Swap replaces the active configuration. The previous one routes no new requests.
func (c *ActiveRouteConfig) Swap(next *RouteConfig) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = next
}

// acquire returns the active configuration for one request. The caller must release it when the request has ended.
func (c *ActiveRouteConfig) acquire() *RouteConfig {
	c.mu.RLock()
	defer c.mu.RUnlock()
	c.active.inFlight.Add(1)
	return c.active
}
