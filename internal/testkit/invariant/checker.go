// Package invariant checks a timeline of events against the four rules that every day of traffic must keep:
//
//  1. Every accepted request gets exactly one final response before its deadline.
//  2. No request takes effect twice: a request has at most one attempt in flight, and work that is not idempotent is not
//     sent again if it may have run.
//  3. No new attempt goes to a node later than Rules.DrainGrace after the sidecar was notified that the node is draining
//     or gone.
//  4. A node that is warming up is not overloaded.
//
// The package starts no goroutine, reads no clock and keeps no state between calls. A timeline holds what the fakes around
// a sidecar observed, never what the sidecar reports about itself. For each rule the package finds whether the rule held,
// was broken or was never put to the test.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Class holds the properties of a class of requests that the rules depend on.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // time after a request in which the nodes of a cell drop its duplicates; set for IdempotencyKeyed classes
}

// Rules holds the limits that a timeline is checked against.
type Rules struct {
	Classes               []Class
	MaxAttempts           int           // largest number of attempts allowed for a request; 0: unlimited
	Tolerance             time.Duration // time by which an event may exceed each time limit, since events are observed late
	DrainGrace            time.Duration // time after the notification that a node is draining or gone in which attempts may still go to the node
	ColdOverloadFactor    float64       // a warming node is overloaded if the work sent to it within ColdOverloadWindow exceeds this multiple of what it can do in that time
	ColdOverloadWindow    time.Duration // length of the window over which the work sent to a warming node is summed
	ColdOverloadTolerance float64       // fraction by which the work sent to a warming node may exceed the limit that ColdOverloadFactor sets, since requests arrive at random
	SigtermGrace          time.Duration // time after SIGTERM in which a sidecar must still answer each request that it accepts
}

// Check checks a timeline against the rules. Events may be in any order: Check sorts them in place by their instants, since
// the timeline of a long day is too large to copy. Events of the same instant keep their order.
func Check(rules Rules, events []Event) *Report {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	c := &checker{rules: rules, report: newReport(), requests: map[string]*requestState{},
		nodes: map[string]*nodeState{}, sidecars: map[string]*sidecarState{}}
	for i := range events {
		c.apply(&events[i])
	}
	c.checkOverlaps()
	c.report.setVerdicts()
	return c.report
}

// checker holds the rules and the state of requests, nodes and sidecars after the events applied so far.
type checker struct {
	rules        Rules
	report       *Report
	requests     map[string]*requestState
	requestOrder []*requestState // all requests, in the order of their first events
	nodes        map[string]*nodeState
	sidecars     map[string]*sidecarState
}

// requestState holds what the events applied so far say about a request of a client.
type requestState struct {
	sentEvent     Event         // the latest RequestSent event of the request
	process       *sidecarState // sidecar process to which the request was sent last; nil before RequestSent
	wasSent       bool          // whether a RequestSent event of the request has been applied
	responseCount int           // number of complete responses that the client has received
	hasEnded      bool          // whether the client has received a response, lost its connection or given up
	endedAt       time.Duration // instant at which the client received a response, lost its connection or gave up, if it did
	attempts      []*attemptState
}

// attemptState holds what the events applied so far say about an attempt at a node.
type attemptState struct {
	receivedEvent Event // AttemptReceived event of the attempt
	isRejected    bool
	hasEnded      bool          // whether the attempt was completed, rejected or aborted, or its node died
	endedAt       time.Duration // instant at which the attempt was completed, rejected or aborted, or its node died
}

// mayHaveRun reports whether the attempt may have taken effect. Any attempt that a node received completely and did not
// reject counts, whether or not an EffectStarted event was recorded for it.
func (a *attemptState) mayHaveRun() bool { return !a.isRejected }

// apply updates the checker's state by one event and checks the rules that the event can break.
func (c *checker) apply(e *Event) {
	switch e.Kind {
	case RequestSent:
		c.applyRequestSent(e)
	case RequestNotWritten:
		c.applyRequestNotWritten(e)
	case ResponseReceived, ExtraBytes, ConnectionLost, ResponseOverdue, ClientDisconnected:
		c.applyRequestEnd(e)
	case AttemptReceived:
		c.applyAttemptReceived(e)
	case AttemptRejected, AttemptCompleted, AttemptAborted:
		c.applyAttemptEnd(e)
	case EffectStarted:
		c.applyEffectStarted(e)
	case NodeStateNotified:
		c.applyNotification(e)
	case NodeStarted:
		*c.node(e.Node) = nodeState{startEvent: *e, isUp: true, isCold: e.WarmUpDuration > 0}
	case NodeStopped:
		c.applyNodeStopped(e)
	case NodeCollapsed:
		c.applyNodeCollapsed(e)
	case SidecarStarted, SigtermSent, SidecarKilled, SidecarPaused, SidecarResumed, SidecarExited:
		c.applyProcessEvent(e)
	}
}

// applyAttemptReceived records an attempt. It checks that the attempt repeats no effect, does not go to a draining or gone
// node and does not overload a warming node.
func (c *checker) applyAttemptReceived(e *Event) {
	request := c.request(e.Request)
	e.Sidecar = request.sentEvent.Sidecar
	if !request.wasSent {
		c.addViolation(ruleNoDoubleEffect, e, "an endpoint got a request that nobody had asked for")
		return
	}
	c.checkDoubleEffect(request, e)
	request.attempts = append(request.attempts, &attemptState{receivedEvent: *e})
	c.checkSentAfterEnd(request, e)
	c.checkDrain(request.process, e)
	c.checkColdOverload(request.process, e)
}

// applyAttemptEnd marks the latest attempt of the event's request that is in flight at the event's node as ended.
func (c *checker) applyAttemptEnd(e *Event) {
	for _, attempt := range slices.Backward(c.request(e.Request).attempts) {
		if attempt.receivedEvent.Node == e.Node && !attempt.hasEnded {
			attempt.hasEnded, attempt.endedAt, attempt.isRejected = true, e.At, e.Kind == AttemptRejected
			return
		}
	}
}

// applyNodeStopped marks all attempts in flight at a node as ended, since the node's process died.
func (c *checker) applyNodeStopped(e *Event) {
	c.node(e.Node).isUp = false
	for _, request := range c.requestOrder {
		for _, attempt := range request.attempts {
			if attempt.receivedEvent.Node == e.Node && !attempt.hasEnded {
				attempt.hasEnded, attempt.endedAt = true, e.At
			}
		}
	}
}

// addViolation records that the event e violates a rule. The violation's description is made from format and args.
func (c *checker) addViolation(rule int, e *Event, format string, args ...any) {
	result := &c.report.Rules[rule-1]
	result.ViolationCount++
	if len(result.Violations) < maxReportedViolations {
		result.Violations = append(result.Violations, Violation{Rule: rule, At: e.At, Request: e.Request, Sidecar: e.Sidecar,
			Node: e.Node, Description: fmt.Sprintf(format, args...)})
	}
}

// countOccasion adds 1 to a rule's count of the named occasion, a situation that the rule's result reports. Unlike
// countOccasionAsTest, it does not count the occasion as one in which a sidecar could have broken the rule.
func (c *checker) countOccasion(rule int, name string) { c.report.Rules[rule-1].Occasions[name]++ }

// countOccasionAsTest adds 1 to a rule's count of the named occasion, and counts the occasion as a test of the rule: a situation in
// which a sidecar could have broken the rule.
func (c *checker) countOccasionAsTest(rule int, name string) {
	c.countOccasion(rule, name)
	c.report.Rules[rule-1].TestedOccasions++
}

// request returns the state of a request. At the first call for an ID, it creates an empty state.
func (c *checker) request(id string) *requestState {
	request := c.requests[id]
	if request == nil {
		request = &requestState{}
		c.requests[id] = request
		c.requestOrder = append(c.requestOrder, request)
	}
	return request
}

// node returns the state of a node. At the first call for an ID, it creates an empty state.
func (c *checker) node(id string) *nodeState {
	node := c.nodes[id]
	if node == nil {
		node = &nodeState{}
		c.nodes[id] = node
	}
	return node
}

// sidecar returns what is known of a sidecar's current process. At the first call for a name, it creates an empty state.
func (c *checker) sidecar(id string) *sidecarState {
	sidecar := c.sidecars[id]
	if sidecar == nil {
		sidecar = newSidecarState()
		c.sidecars[id] = sidecar
	}
	return sidecar
}

// class returns the class of a request. A class that the rules do not list counts as NonIdempotent.
func (c *checker) class(request *requestState) Class {
	if i := request.sentEvent.Class; i >= 0 && i < len(c.rules.Classes) {
		return c.rules.Classes[i]
	}
	return Class{Effect: NonIdempotent}
}
