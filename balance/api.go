// Package balance makes a load balancer's decisions for a service that calls other services: which
// endpoint gets a request, when to try again, when to hold back and when to refuse.
//
// The package has no transport, no clock and no goroutine. A host (a sidecar, a proxy, a test) owns all
// of these: it creates a Balancer with New, reports what happens through the methods of Events and
// carries out what the Balancer asks for through Host, in the order asked. Host methods are called from
// within the event methods and must not call back into the Balancer. A Balancer is not safe for
// concurrent use.
//
// Instants are readings of any clock that never runs backwards, given as a time.Duration since an
// arbitrary zero. The same settings and the same events at the same instants give the same actions.
package balance

import "time"

// Events is what a host reports. *Balancer implements it. Events must be reported in the order in which
// they happened.
type Events interface {
	// EndpointList reports what service discovery says. The first one follows New directly.
	EndpointList(now time.Duration, l List)
	// Request reports a request that wants exactly one final answer: the success of an attempt, or the
	// Host's Refuse or Fail.
	Request(now time.Duration, r Request)
	// BodySent reports, for a request with Flow, that the last byte of attempt n has gone out: from now on it waits for
	// the endpoint, and the client until the deadline.
	BodySent(now time.Duration, id string, n int, deadline time.Duration)
	// StreamStarted reports that attempt n of a request has begun to stream its answer to the client.
	StreamStarted(now time.Duration, id string, n int)
	// Outcome reports the end of an attempt; every Send gets exactly one.
	Outcome(now time.Duration, o Outcome)
	// ClientLeft reports that the client no longer waits: no answer is owed any more.
	ClientLeft(now time.Duration, id string)
	// Timer reports that an instant asked for with Host.Timer has come.
	Timer(now time.Duration)
	// Probed reports the result of a Host.Probe.
	Probed(now time.Duration, p ProbeResult)
	// Bar reports that operators take an endpoint out, or give it back. What is out gets nothing new, whatever lists
	// say, until it is given back: then it is new, and cold, for it was restarted meanwhile. The id need not be listed;
	// the host bounds how many are out.
	Bar(now time.Duration, id string, out bool)

	// Share reports how many balancers send to these endpoints from now on, this one included, and this one's place among
	// them, from 0. What was learned of endpoints stays.
	Share(now time.Duration, balancers, index int)

	// Knows tells whether an endpoint is listed or out. It reports nothing.
	Knows(id string) bool
	// Census tells how many endpoints are listed, and how many of them are avoided now: out by hand, or dropped. It
	// reports nothing.
	Census() (listed, avoided int)
}

// Host carries out a Balancer's decisions.
type Host interface {
	// Send starts the next attempt of a request; attempts are numbered from 0. The attempt ends as
	// TimedOut after timeout, or at the request's deadline if that comes first.
	Send(id, endpoint string, timeout time.Duration)
	// Cancel stops waiting for attempt n. It still gets its Outcome.
	Cancel(id string, n int)
	// Refuse answers a request for good and tells the client that trying again is harmless, best not
	// before retryAfter has passed (0: no advice).
	Refuse(id string, retryAfter time.Duration)
	// Fail answers a request for good and promises nothing about its effect.
	Fail(id string)
	// Probe asks an endpoint for its load without sending it a request.
	Probe(endpoint string)
	// Idle tells whether a connection to the endpoint stands open and unused, so that a Send would open none;
	// false where the host can't tell.
	Idle(endpoint string) bool
	// Subscribe asks discovery for all changes from now on; an EndpointList answers.
	Subscribe()
	// Timer asks for a Timer event at the given instant or soon after. Timers are not withdrawn.
	Timer(at time.Duration)
	// Log records a line for the people on call.
	Log(line string)
}

// Effect says what repeating a request of a class may do.
type Effect int

// The effects, from harmless to harmful.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // repeats are dropped inside a group of endpoints, for a while
	Unsafe               // must never run twice
)

// Group says which endpoints together drop repeats of a keyed request.
type Group int

// The groups, from wide to narrow.
const (
	GroupAll  Group = iota // all endpoints
	GroupZone              // the endpoints of one zone
	GroupCell              // the endpoints of one cell
)

// Class is a class of requests.
type Class struct {
	Name   string
	Effect Effect
	Group  Group         // for Keyed
	Window time.Duration // for Keyed: how long a repeat is recognised, from the first send
	Aim    time.Duration // an answer is wanted within this time
}

// Tenant is one of the parties that share the endpoints.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within its share, over all balancers of the tier
}

// Settings are fixed for the life of a Balancer, but for what Share reports. Zero values are legal everywhere.
type Settings struct {
	Seed       uint64 // for spreading choices that would otherwise be alike in every balancer
	Balancers  int    // balancers that send to these endpoints, this one included
	Index      int    // of this one among them, from 0
	Tier       int    // how many tiers of callers stand before this balancer
	TiersBelow int    // how many tiers the endpoints themselves depend on
	Classes    []Class
	Tenants    []Tenant

	MustSubscribe bool          // discovery tells nothing unless asked
	AskWithin     time.Duration // without a subscription: ask at least this often

	MaxAttempts   int           // attempts allowed for a request; 0: no limit
	MayCancel     bool          // Cancel is allowed
	MayProbe      bool          // Probe is allowed and results carry a load
	MaxRetryAfter time.Duration // the longest advice that clients heed; 0: advice does not reach them

	Resolution time.Duration // how late events and timers may come
	ColdFrom   float64       // share of its capacity that an endpoint starts with at least
	ColdFor    time.Duration // it is warm after this time at the latest
}

// State is what discovery says of an endpoint.
type State int

// The states of an endpoint.
const (
	Ready State = iota
	Draining
	Gone
)

// Endpoint is an entry of discovery's list.
type Endpoint struct {
	ID      string
	State   State
	Zone    string
	Kind    string        // endpoints of one kind are alike in size and speed, as far as discovery knows
	Cell    int           // endpoints of one cell share which keys they have seen
	Started time.Duration // instant of the latest start; 0: long ago
}

// List is a message from discovery.
type List struct {
	Failed   bool // an ask failed or a subscription broke: nothing is said of endpoints
	Complete bool // endpoints not listed are gone; otherwise only the listed ones have changed
	Entries  []Endpoint
}

// Request is something a client wants done.
type Request struct {
	ID       string
	Class    string
	Tenant   string
	Deadline time.Duration // instant at which the client stops waiting
	Repeat   bool          // the client says that it has asked before
	// Flow is 0 for a request that is here as a whole. Else its body flows in while an attempt is out, until this instant
	// at the latest: the time that this takes says nothing of an endpoint, and Deadline rules only before and after.
	Flow time.Duration
}

// Result is how an attempt ended.
type Result int

// The results. Only Full, ConnectFailed and NotSent prove that the request did not run.
const (
	OK            Result = iota
	Errored              // the endpoint answered with an error
	Full                 // turned away unseen
	TimedOut             // no answer in time
	ConnectFailed        // no connection came about
	Reset                // the connection broke
	Canceled             // withdrawn by Cancel
	NotSent              // the Send was not carried out
)

// MayHaveRun tells whether an attempt that ended so may have had its effect.
func (r Result) MayHaveRun() bool { return r != Full && r != ConnectFailed && r != NotSent }

// Load is what an endpoint says of itself.
type Load struct {
	Known bool    // a report came
	Held  float64 // requests it is working on or keeps waiting
}

// Outcome is the end of an attempt.
type Outcome struct {
	ID       string // of the request
	Attempt  int
	Endpoint string
	Result   Result
	Took     time.Duration // since the Send
	Final    bool          // the request has its final answer
	Reused   bool          // it went out on a connection that had served before
	Spent    bool          // of a request with Flow: its body is gone, so that it can't be sent again
}

// ProbeResult is the answer to a Probe.
type ProbeResult struct {
	Endpoint string
	Result   Result
	Load     Load
}
