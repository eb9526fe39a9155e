// Package balance makes the decisions of a client-side load balancer, for a service that calls other services: which
// endpoint gets a request, whether an attempt is retried, when a request is queued and when load is shed.
//
// The package has no transport, no clock and no goroutine. A host (a sidecar, a proxy, a test) owns all of these: it
// creates a Balancer with New, reports events through the methods of Events, and carries out the actions that the Balancer
// requests through the methods of Host, in the order of the calls. The Balancer calls the host only from within New and the
// event methods; the host must not call back into the Balancer from there.
//
// A Balancer shares no state with other balancers and is not safe for concurrent use: one goroutine at a time may call it.
//
// Instants are readings of any monotonic clock, as a time.Duration since an arbitrary zero. The same settings, and the same
// events at the same instants, give the same calls of the host.
//
// File api.go declares the interface. All other files hold the decisions and their state; deploy/balancer.toml lists them as
// policy.
package balance

import "time"

// Events are the events that a host reports to a balancer, in the order in which they happen. *Balancer implements it.
type Events interface {
	// EndpointList reports an update by service discovery. The host must report the first update directly after New.
	EndpointList(now time.Duration, l EndpointUpdate)
	// Request reports a new request. The request gets exactly one final response: that of a successful attempt, or the one
	// that Host.Reject or Host.Fail sends.
	Request(now time.Duration, r Request)
	// BodySent reports, for a request with a streaming body, that attempt n has sent the last byte of the body. From now on
	// the attempt waits for the endpoint, and the client waits until the deadline given here.
	BodySent(now time.Duration, id string, n int, deadline time.Duration)
	// BodyOverdue reports, for a request with a streaming body, that the client may have waited for its response since the
	// instant writtenAt, for as long as it waits at most, although the body has not been sent to the end: the endpoint does not
	// take it.
	BodyOverdue(now time.Duration, id string, writtenAt time.Duration)
	// StreamStarted reports that attempt n of a request has begun to stream its response to the client.
	StreamStarted(now time.Duration, id string, n int)
	// Outcome reports the end of an attempt. The host reports exactly one outcome per attempt sent; the balancer ignores
	// further ones.
	Outcome(now time.Duration, o Outcome)
	// ClientDisconnected reports that the client of a request has disconnected, so that the request needs no response.
	ClientDisconnected(now time.Duration, id string)
	// Timer reports that the instant of a timer, set by Host.Timer, has been reached.
	Timer(now time.Duration)
	// Probed reports the result of a load probe.
	Probed(now time.Duration, p ProbeResult)
	// SetEjected reports that operators eject an endpoint or, if ejected is false, restore it. An ejected endpoint gets no new
	// attempt, whatever the endpoint list says, until operators restore it. A restored endpoint counts as restarted, and warms
	// up. The ID need not be listed; the host bounds the number of ejected endpoints.
	SetEjected(now time.Duration, id string, ejected bool)

	// SetBalancerCount reports how many balancers send to the listed endpoints from now on, this balancer included, and the
	// index of this balancer among all these balancers, from 0. Latency estimates, ejections and the other state of the
	// endpoints stay.
	SetBalancerCount(now time.Duration, balancers, index int)

	// IsKnown reports whether an endpoint is listed or ejected by operators. The call has no side effects.
	IsKnown(id string) bool
	// EndpointCounts returns how many endpoints are listed, and how many of them are ejected, by operators or as outliers.
	// The call has no side effects.
	EndpointCounts() (listed, ejected int)
}

// Host carries out a Balancer's decisions. The Balancer waits for each call to return.
type Host interface {
	// Send starts the next attempt of a request; attempts are numbered from 0. The attempt ends as TimedOut after the
	// timeout, or at the request's deadline if that comes first.
	Send(id, endpoint string, timeout time.Duration)
	// Cancel cancels attempt n of a request. The host still reports its Outcome.
	Cancel(id string, n int)
	// Reject sends the final response of a request that is not served. It tells the client that a retry is harmless, best
	// not before retryAfter has passed (0: no Retry-After).
	Reject(id string, retryAfter time.Duration)
	// Fail sends the final response of a request that has failed. It says nothing about whether the request has run.
	Fail(id string)
	// Probe sends a load probe, which requests a load report from an endpoint. The host reports its result by Events.Probed.
	Probe(endpoint string)
	// HasIdleConnection reports whether a connection to the endpoint is idle, so that an attempt would not open one. It is
	// false if the host does not know.
	HasIdleConnection(endpoint string) bool
	// Subscribe subscribes to the endpoint list: discovery sends a list in response, and an update for each later change.
	Subscribe()
	// Timer requests a Timer event at the given instant or soon after. Timers cannot be cancelled.
	Timer(at time.Duration)
	// Log writes a line to the log that the engineers on call read.
	Log(line string)
}

// Idempotency says whether a request of a class may run more than once.
type Idempotency int

// Values of Idempotency, ordered from harmless to harmful retries.
const (
	Idempotent     Idempotency = iota // the request may run any number of times
	IdempotencyKey                    // endpoints drop duplicates by the request's key, within DedupScope and DedupWindow
	NonIdempotent                     // the request must never run twice
)

// DedupScope says which endpoints recognize one another's requests with an idempotency key, and so drop duplicates of them.
type DedupScope int

// Values of DedupScope, ordered from wide to narrow.
const (
	ScopeAll  DedupScope = iota // any endpoint drops duplicates of requests that any other endpoint has received
	ScopeZone                   // only endpoints of the same zone drop duplicates of one another's requests
	ScopeCell                   // only endpoints of the same cell drop duplicates of one another's requests
)

// Class holds the properties that all requests of one class have in common.
type Class struct {
	Name             string
	Idempotency      Idempotency   // whether requests of the class may run more than once
	DedupScope       DedupScope    // which endpoints drop duplicates of one another's requests; for IdempotencyKey only
	DedupWindow      time.Duration // how long after the first attempt duplicates are dropped; for IdempotencyKey only
	LatencyObjective time.Duration // a response is on time if it comes within this time of the request's arrival
}

// Tenant holds the quota of one of the parties that share the endpoints.
type Tenant struct {
	Name  string
	Quota float64 // requests per second that the tenant may send to all balancers of the tier together
}

// Settings configure a Balancer. They do not change after New, except for BalancerCount and BalancerIndex, which the event
// SetBalancerCount replaces. The zero value of every field is valid.
type Settings struct {
	Seed          uint64   // seed of the random choices, which should differ between balancers
	BalancerCount int      // number of balancers that send to the same endpoints as this balancer, this one included
	BalancerIndex int      // index of this balancer among the BalancerCount balancers, from 0
	Tier          int      // number of tiers of balancers between the clients and this one
	TiersBelow    int      // number of tiers that the endpoints depend on to serve a request
	Classes       []Class  // classes of requests; a request of any other class counts as NonIdempotent
	Tenants       []Tenant // tenants that have a quota

	MustSubscribe bool // whether discovery sends updates only after Host.Subscribe
	// MaxSubscribeInterval is the longest time that a balancer may be without a subscription to discovery or a poll of discovery. The
	// backoff before a new subscription is at most half of it, or 500 ms if that is longer.
	MaxSubscribeInterval time.Duration

	MaxAttempts   int           // attempts allowed per request; 0: no limit
	CanCancel     bool          // whether the balancer is allowed to cancel attempts
	CanProbe      bool          // whether the balancer is allowed to send load probes, and endpoints respond to them with a load report
	MaxRetryAfter time.Duration // longest Retry-After that clients honour; 0: Retry-After does not reach them

	TimerResolution   time.Duration // longest delay with which the host reports events and timers
	SlowStartCapacity float64       // least fraction of its full capacity that an endpoint has when it starts
	SlowStartDuration time.Duration // time from the start of an endpoint until it has its full capacity
}

// State is the state of an endpoint according to discovery.
type State int

// The states of an endpoint. Only a Ready endpoint may get new attempts.
const (
	Ready    State = iota
	Draining       // the endpoint finishes its requests in flight and then stops
	Gone           // the endpoint does not run any more
)

// Endpoint is an entry of an endpoint list.
type Endpoint struct {
	ID        string        // name of the endpoint in lists and in calls of the Host
	State     State         // state according to discovery
	Zone      string        // zone in which the endpoint runs
	Kind      string        // name of the endpoint's kind; endpoints of one kind have the same size and speed, as far as discovery knows
	Cell      int           // number of the endpoint's cell; endpoints of one cell share the idempotency keys that they have received
	StartedAt time.Duration // instant at which the endpoint last started; 0: long ago
}

// EndpointUpdate is an update of the endpoint list by discovery.
type EndpointUpdate struct {
	HasFailed bool       // whether a poll failed or a subscription broke, so that the update has no endpoints
	Complete  bool       // whether endpoints that are missing in Endpoints are gone; if false, they are unchanged
	Endpoints []Endpoint // new and changed endpoints, or all endpoints if Complete
}

// Request describes a request that the host has received from a client.
type Request struct {
	ID       string
	Class    string        // name of a class in Settings.Classes; an unknown one counts as NonIdempotent
	Tenant   string        // name of a tenant in Settings.Tenants; an unknown one has no quota
	Deadline time.Duration // instant at which the client stops waiting
	IsRetry  bool          // whether the client says that it has sent the request before
	// StreamUntil is 0 for a request whose body is buffered. Otherwise the body streams in while an attempt is in flight,
	// until this instant at the latest. The time that the body takes is not part of the endpoint's latency, and the deadline
	// does not apply while the body streams.
	StreamUntil time.Duration
}

// Result is how an attempt or a load probe ended.
type Result int

// The results of an attempt. Only Rejected, ConnectFailed and NotSent prove that the request did not run.
const (
	OK            Result = iota // the endpoint responded without an error
	ErrorResponse               // the endpoint responded with an error
	Rejected                    // the endpoint rejected the request without reading it
	TimedOut                    // no response came before the timeout
	ConnectFailed               // no connection was established
	Reset                       // an established connection broke
	Canceled                    // the Balancer cancelled the attempt
	NotSent                     // the host did not send the attempt
)

// resultNames are the names of the results in the log.
var resultNames = [...]string{
	OK: "ok", ErrorResponse: "error_response", Rejected: "rejected", TimedOut: "timed_out", ConnectFailed: "connect_failed",
	Reset: "reset", Canceled: "canceled", NotSent: "not_sent",
}

// String returns the name of the result in the log.
func (r Result) String() string {
	if r < 0 || int(r) >= len(resultNames) {
		return "unknown"
	}
	return resultNames[r]
}

// MayHaveRun reports whether an attempt with this result may have taken effect.
func (r Result) MayHaveRun() bool { return r != Rejected && r != ConnectFailed && r != NotSent }

// Load is the load that an endpoint has reported in its response to a load probe.
type Load struct {
	IsReported bool    // whether there is a load report; if not, Requests has no meaning
	Requests   float64 // requests that the endpoint serves or has queued
}

// Outcome describes how an attempt ended, as the host reports it.
type Outcome struct {
	ID               string        // ID of the request
	AttemptNumber    int           // number of the attempt, from 0
	Endpoint         string        // ID of the endpoint that the attempt was sent to
	Result           Result        // how the attempt ended
	Latency          time.Duration // time from the sending of the attempt to its end
	IsFinal          bool          // whether the request already has its final response when the outcome is reported
	ReusedConnection bool          // whether the attempt was sent on a connection that had served another attempt before
	BodyConsumed     bool          // whether bytes of a streaming body were consumed, so that no retry is possible
}

// ProbeResult tells how a load probe ended and which load the probed endpoint reported.
type ProbeResult struct {
	Endpoint string // ID of the endpoint that got the load probe
	Result   Result // how the load probe ended; OK if the endpoint responded
	Load     Load   // load report in the endpoint's response
}
