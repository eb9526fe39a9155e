// Package balance makes the decisions of a client-side load balancer, for a service that calls other services: which
// endpoint gets a request, whether an attempt is retried, when a request is queued and when load is shed.
//
// The package has no transport, no clock and no goroutine. A host (a sidecar, a proxy, a test) owns all of these: it
// creates a Balancer with New, reports what happens through the methods of Events, and carries out what the Balancer
// calls for through Host, in the order of the calls. The Balancer calls the host only from within New and the event
// methods; the host must not call back into the Balancer from there.
//
// A Balancer owns its state alone and is not safe for concurrent use: one goroutine at a time may call it.
//
// Instants are readings of any clock that never runs backwards, as a time.Duration since an arbitrary zero. The same
// settings, and the same events at the same instants, give the same calls of the host.
//
// api.go is the interface. All other files hold the decisions and their state; the deploy file lists them as policy.
package balance

import "time"

// Events is what a host reports. *Balancer implements it. A host reports events in the order in which they happen.
type Events interface {
	// EndpointList reports an update by service discovery. The first one directly follows New.
	EndpointList(now time.Duration, l EndpointUpdate)
	// Request reports a request. It gets exactly one final answer: the success of an attempt, or a rejection or
	// failure by the Host.
	Request(now time.Duration, r Request)
	// BodySent reports, for a request with a streaming body, that attempt n has sent the last byte of it. From now on the
	// attempt waits for the endpoint, and the client waits until the deadline.
	BodySent(now time.Duration, id string, n int, deadline time.Duration)
	// StreamStarted reports that attempt n of a request has begun to stream its response to the client.
	StreamStarted(now time.Duration, id string, n int)
	// Outcome reports the end of an attempt. Every attempt sent gets exactly one; others are ignored.
	Outcome(now time.Duration, o Outcome)
	// ClientDisconnected reports that the client has disconnected, so that the request needs no answer any more.
	ClientDisconnected(now time.Duration, id string)
	// Timer reports that an instant asked for by a timer has come.
	Timer(now time.Duration)
	// Probed reports the result of a probe.
	Probed(now time.Duration, p ProbeResult)
	// SetEjected reports that operators eject an endpoint (out) or restore it. An ejected endpoint gets no new attempt, whatever
	// the endpoint list says, until it is restored. It then counts as restarted, and warms up. The ID need not be listed;
	// the host bounds how many are ejected.
	SetEjected(now time.Duration, id string, out bool)

	// SetBalancerCount reports how many balancers send to these endpoints from now on, this one included, and the index of this one
	// among them, from 0. What was learned of the endpoints stays.
	SetBalancerCount(now time.Duration, balancers, index int)

	// IsKnown reports whether an endpoint is listed or ejected by operators. It is a query and changes nothing.
	IsKnown(id string) bool
	// EndpointCounts returns how many endpoints are listed, and how many of them are ejected, by operators or as outliers. It is a
	// query and changes nothing.
	EndpointCounts() (listed, avoided int)
}

// Host carries out a Balancer's decisions. The Balancer waits for each call to return.
type Host interface {
	// Send starts the next attempt of a request; attempts are numbered from 0. The attempt ends as TimedOut after the
	// timeout, or at the request's deadline if that comes first.
	Send(id, endpoint string, timeout time.Duration)
	// Cancel gives up attempt n. It still gets its Outcome.
	Cancel(id string, n int)
	// Reject rejects a request. The answer is final, and says that a retry by the client is harmless, best not before
	// retryAfter has passed (0: no advice).
	Reject(id string, retryAfter time.Duration)
	// Fail fails a request. The answer is final, and says nothing about the effect of the request.
	Fail(id string)
	// Probe asks an endpoint for its load, without a request.
	Probe(endpoint string)
	// HasIdleConnection reports whether a connection to the endpoint is idle, so that an attempt would open none; false where the host
	// cannot tell.
	HasIdleConnection(endpoint string) bool
	// Subscribe asks discovery for all changes from now on; an endpoint list is the response.
	Subscribe()
	// Timer asks for a Timer event at the given instant or soon after. Timers cannot be cancelled.
	Timer(at time.Duration)
	// Log writes a line for the engineers on call.
	Log(line string)
}

// Idempotency says what a repetition of a request of a class may do.
type Idempotency int

// The effects, from harmless to harmful.
const (
	Idempotent     Idempotency = iota // idempotent: may run any number of times
	IdempotencyKey                    // has an idempotency key: a group of endpoints drops duplicates, for a while
	NonIdempotent                     // not idempotent: must never run twice
)

// DedupScope says which endpoints together drop duplicates of a request with an idempotency key.
type DedupScope int

// The groups, from wide to narrow.
const (
	ScopeAll  DedupScope = iota // all endpoints
	ScopeZone                   // the endpoints of one zone
	ScopeCell                   // the endpoints of one cell
)

// Class is a class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope    // with an idempotency key
	DedupWindow      time.Duration // with an idempotency key: how long duplicates are dropped, from the first attempt
	LatencyObjective time.Duration // the latency objective: a response is wanted within this time
}

// Tenant is one of the parties that share the endpoints.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all balancers of the tier
}

// Settings are fixed for the life of a Balancer, but for the count and index of balancers, which an event may change.
// The zero value of every field is valid.
type Settings struct {
	Seed       uint64 // of the random choices, which should differ between balancers
	Balancers  int    // balancers that send to these endpoints, this one included
	Index      int    // of this balancer among them, from 0
	Tier       int    // how many tiers of balancers are between clients and this one
	TiersBelow int    // how many tiers the endpoints depend on themselves
	Classes    []Class
	Tenants    []Tenant

	MustSubscribe   bool          // discovery sends nothing without a subscription
	SubscribeWithin time.Duration // without a subscription, discovery must be asked at least this often

	MaxAttempts   int           // attempts allowed per request; 0: no limit
	CanCancel     bool          // the host may cancel attempts
	CanProbe      bool          // the host may probe endpoints, and results carry a load
	MaxRetryAfter time.Duration // the longest advice that clients follow; 0: advice does not reach them

	TimerResolution   time.Duration // how late events and timers may come
	SlowStartCapacity float64       // slow start: fraction of its capacity that an endpoint starts with at least
	SlowStartDuration time.Duration // slow start: an endpoint has its full capacity after this time
}

// State is the state of an endpoint according to discovery.
type State int

// The states of an endpoint.
const (
	Ready State = iota
	Draining
	Gone
)

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	ID      string
	State   State
	Zone    string
	Kind    string        // endpoints of one kind have the same size and speed, as far as discovery knows
	Cell    int           // endpoints of one cell share the idempotency keys that they have seen
	Started time.Duration // instant of the latest start; 0: long ago
}

// EndpointUpdate is an update by discovery.
type EndpointUpdate struct {
	Failed    bool // a request failed or a subscription broke: the update says nothing of endpoints
	Complete  bool // endpoints that are not listed are gone; otherwise only those listed have changed
	Endpoints []Endpoint
}

// Request is a client's request.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Deadline time.Duration // instant at which the client stops waiting
	IsRetry  bool          // the client says that this is a retry
	// Flow is 0 for a request that is complete. Otherwise its body streams in while an attempt is in flight, until this
	// instant at the latest. The time that this takes is no latency of the endpoint, and the deadline applies only
	// before and after it.
	StreamUntil time.Duration
}

// Result is how an attempt ended.
type Result int

// The results. Only Rejected, ConnectFailed and NotSent prove that the request did not run.
const (
	OK            Result = iota
	ErrorResponse        // the endpoint responded with an error
	Rejected             // the endpoint rejected the request without reading it
	TimedOut             // no response in time
	ConnectFailed        // no connection was established
	Reset                // the connection broke
	Canceled             // the Balancer cancelled the attempt
	NotSent              // the host did not send the attempt
)

// MayHaveRun reports whether an attempt with this result may have taken effect.
func (r Result) MayHaveRun() bool { return r != Rejected && r != ConnectFailed && r != NotSent }

// Load is an endpoint's load report.
type Load struct {
	Known    bool    // there is a report
	Requests float64 // requests in service or queued
}

// Outcome is the end of an attempt.
type Outcome struct {
	ID               string // of the request
	Attempt          int
	Endpoint         string
	Result           Result
	Latency          time.Duration // since the attempt was sent
	IsFinal          bool          // the request has its final answer
	ReusedConnection bool          // the attempt went out on a connection that had served before
	BodyConsumed     bool          // of a request with a streaming body: the body is consumed, so no retry is possible
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Endpoint string
	Result   Result
	Load     Load
}
