// Package fleetsim simulates a cluster of hundreds of sidecars in virtual time, in one process: for each sidecar a balancer of
// package balance, and models of the endpoints, the network, discovery and the clients. It shows in seconds, and reproducibly,
// faults that arise only from the interplay of many sidecars.
package fleetsim

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Day configures a simulation: its size, its faults, and the load and its duration.
type Day struct {
	Seed        uint64
	Sidecars    int           // approximate number of sidecars of all tiers together
	Scenario    string        // name of the faults, one of Scenarios
	Length      time.Duration // time during which clients send requests
	Utilization float64       // mean rate of clients' requests, as a fraction of the highest rate for which every tier has enough capacity
	SlowStart   SlowStart     // slow start of endpoints; the zero value stands for defaultSlowStart
}

// SlowStart says how endpoints warm up after a start, and how much work overloads one that is warming up.
type SlowStart struct {
	InitialCapacity float64       // fraction of its full capacity that an endpoint has at its start, from where the capacity rises linearly
	Duration        time.Duration // time from the start until the endpoint has its full capacity
	OverloadFactor  float64       // work within OverloadWindow that overloads a warming endpoint, as a multiple of what its present capacity can process in that time
	OverloadWindow  time.Duration // length of the sliding window over which the work sent to a warming endpoint is added up
}

// defaultSlowStart holds the slow start that endpoints have if Day.SlowStart is not set.
var defaultSlowStart = SlowStart{InitialCapacity: 0.31, Duration: 9 * time.Second, OverloadFactor: 4, OverloadWindow: 3 * time.Second}

// Scenarios returns the names of all scenarios, in the order in which they are reported. Front sidecars are those that receive the
// clients' requests.
//
//	calm   no faults
//	roll   half of the endpoints are replaced, and all front sidecars restart, one group after another
//	herd   some endpoints become slow, and most front sidecars restart at the same time
//	zone   all endpoints of a zone are killed, and restart five seconds later
//	split  a fifth of the endpoints can't be reached for six seconds, though their processes run
//	join   most endpoints are replaced within seven seconds
func Scenarios() []string { return []string{"calm", "roll", "herd", "zone", "split", "join"} }

// Day.Check rejects a Day outside these bounds. With fewer sidecars some tiers would have almost no endpoints; larger simulations would take
// minutes.
const (
	minSidecars = 20
	maxSidecars = 2000
	maxLength   = 5 * time.Minute
)

// Check returns an error that names the first field with an invalid value.
func (d Day) Check() error {
	switch {
	case !slices.Contains(Scenarios(), d.Scenario):
		return fmt.Errorf("trouble: %q is none of %s", d.Scenario, strings.Join(Scenarios(), ", "))
	case d.Sidecars < minSidecars || d.Sidecars > maxSidecars:
		return fmt.Errorf("sidecars: from %d to %d", minSidecars, maxSidecars)
	case d.Length <= 0 || d.Length > maxLength:
		return fmt.Errorf("length: over 0, and %v at most", maxLength)
	case d.Utilization <= 0 || d.Utilization > 2:
		return errors.New("use: over 0, and 2 at most")
	case d.SlowStart != SlowStart{} && (d.SlowStart.InitialCapacity <= 0 || d.SlowStart.InitialCapacity > 1 || d.SlowStart.Duration <= 0 || d.SlowStart.OverloadFactor <= 0 || d.SlowStart.OverloadWindow <= 0):
		return errors.New("slow start: all values must be over 0, and the initial capacity at most 1")
	}
	return nil
}

// class holds the properties that all requests of a class share.
type class struct {
	name             string
	isKeyed          bool          // whether requests carry an idempotency key, by which the endpoints of a cell drop duplicates
	fraction         float64       // fraction of clients' requests that belong to the class
	work             float64       // mean CPU time of a request in all tiers, in seconds of a core of speed 1
	latencyObjective time.Duration // time after the start of a request within which its response counts as in time
	timeout          time.Duration // time from a client's first attempt to send a request, or from an endpoint's call to the next tier, until the deadline
	weight           float64       // priority weight of each request; Result adds up the weights of all requests and of those served in time
}

// classes are the request classes of every simulation: those of one installation, which is called the default site. Each figure is from the
// middle of the range that the requirements of this site give for it.
var classes = []class{
	{"item-lookup", false, 0.75, 0.10, 2 * time.Second, 5 * time.Second, 5},
	{"bag-dispatch", true, 0.25, 0.31, 2500 * time.Millisecond, 6 * time.Second, 3},
}

// tiers are the tiers of endpoints. Front sidecars, which receive the clients' requests, send to the first tier, and each tier calls the
// next one.
var tiers = []struct {
	workFraction    float64 // mean work of each request to the tier, as a fraction of class.work
	relativeSize    float64 // number of endpoints of the tier, relative to the first tier
	callsPerRequest int     // number of requests that an endpoint sends to the next tier, one after another, for each request that it serves
}{{0.39, 1, 2}, {0.33, 2, 1}, {0.28, 1.55, 0}}

// Package invariant checks the simulated sidecars and endpoints with these limits and tolerances.
const (
	dedupWindow       = 10 * time.Second       // time in which the endpoints of a cell drop duplicates of a request with an idempotency key
	maxAttempts       = 4                      // highest number of attempts that a sidecar may send for one request
	overloadTolerance = 0.25                   // fraction by which the work of a warming endpoint may exceed the overload limit, since work varies at random
	drainGrace        = 500 * time.Millisecond // time for which a sidecar may go on sending requests to an endpoint after a notification that the endpoint is draining
	timeTolerance     = 50 * time.Millisecond  // tolerance that the check of the invariants adds to each time limit
)

// These constants describe the topology and each endpoint.
const (
	cellSize              = 4       // number of endpoints in a cell; each of these endpoints drops duplicates of requests that the cell has received
	zoneCount             = 3       // number of zones over which each tier is spread
	frontFraction         = 1.0 / 6 // fraction of the sidecars that receive requests from clients
	coresPerEndpoint      = 2
	maxConcurrentRequests = 24 // highest number of requests that an endpoint works on at the same time
	maxQueuedRequests     = 12 // highest number of requests that wait at an endpoint, in addition to maxConcurrentRequests; further ones are rejected
)

// The network and discovery have these delays and limits.
const (
	wireDelay      = 500 * time.Microsecond  // delay of a message in one direction
	handshakeDelay = 1500 * time.Microsecond // time that opening a connection takes in addition to a round trip
	maxConnections = 40                      // highest number of connections that an endpoint accepts, low enough for sidecars to reach the limit
	idleTimeout    = 15 * time.Second        // time since the last use of a connection after which the sidecar closes it
	meanListDelay  = 800 * time.Millisecond  // mean time until a sidecar receives a change of the endpoint list
)

// These constants set the behaviour of the clients, and the time limits of the responses that clients get.
const (
	loadSkew         = 3.0                    // relative loads of front sidecars range from 1/loadSkew to loadSkew
	clientRetryDelay = 100 * time.Millisecond // time from a failed response until the client's retry
	maxClientRetries = 3                      // highest number of retries of a request by its client
	deadlineMargin   = 10 * time.Millisecond  // time by which the deadline that the balancer gets is earlier than the request's deadline
	responseGrace    = 500 * time.Millisecond // time after a request's deadline at which a missing response is recorded as overdue
)

// These constants set the extent of the faults in the scenario herd.
const (
	faultSlowdown = 4.0     // factor by which requests take longer at a slow endpoint
	slowFraction  = 1.0 / 8 // fraction of the endpoints that become slow
)
