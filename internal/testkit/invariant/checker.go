// Package invariant checks a timeline of events against the four rules that every day of traffic must keep: one final
// response in time, no double effect, no new request to a node that drains or is gone, and no overload of a node that is
// warming up.
//
// The package is pure: it starts no goroutine, reads no clock and keeps no state between calls. It is fed what the fakes
// around a sidecar observed, never what the sidecar says of itself, and finds for each rule whether it held, was broken or
// was not put to the test.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Class is what the rules say of a class of requests.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // for Keyed: the nodes of a cell drop a duplicate that comes within it
}

// Rules are the limits that the rules set.
type Rules struct {
	Classes               []Class
	MaxAttempts           int           // for one request; 0 is no limit
	Tolerance             time.Duration // tolerance added to each time limit
	DrainGrace            time.Duration // from a notification of a drain until no new request may follow
	ColdOverloadFactor    float64       // a warming node bears this multiple of what it can do
	ColdOverloadWindow    time.Duration // within a window of this length
	ColdOverloadTolerance float64       // share of that budget that chance may add
	TermGrace             time.Duration // after SIGTERM, during which what a sidecar accepts must still be answered
}

// Check checks a timeline against the rules. Events need not be in order of their instants: Judge sorts them in place,
// since the timeline of a long day is too large to hold twice. Events of one instant keep their order.
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

// checker is the state of one check, after the events applied so far.
type checker struct {
	rules        Rules
	report       *Report
	requests     map[string]*requestState
	requestOrder []*requestState // in the order of their first events
	nodes        map[string]*nodeState
	sidecars     map[string]*sidecarState
}

// requestState is what is known of one request.
type requestState struct {
	sent          Event         // its latest Asked event
	process       *sidecarState // the process that accepted it; nil before Asked
	wasSent       bool          // an Asked event has been applied
	responseCount int
	hasEnded      bool // answered, lost, or abandoned by its client
	endedAt       time.Duration
	attempts      []*attemptState
}

// attemptState is what is known of one attempt at a node.
type attemptState struct {
	received   Event
	isRejected bool
	hasEnded   bool
	endedAt    time.Duration
}

// mayHaveRun goes by evidence alone: an attempt that arrived completely and was not rejected may have taken effect.
func (a *attemptState) mayHaveRun() bool { return !a.isRejected }

// apply updates the state by one event and checks what the event decides.
func (c *checker) apply(e *Event) {
	switch e.Kind {
	case RequestSent:
		c.applyRequestSent(e)
	case NotAccepted:
		c.applyRequestNotWritten(e)
	case ResponseReceived, ExtraBytes, ConnectionLost, ResponseOverdue, ClientLeft:
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
		*c.node(e.Node) = nodeState{started: *e, isUp: true, isCold: e.WarmUpDuration > 0}
	case NodeStopped:
		c.applyNodeStopped(e)
	case NodeCollapsed:
		c.applyNodeCollapsed(e)
	case SidecarStarted, TermSent, SidecarKilled, Paused, Resumed, SidecarExited:
		c.applySidecarProcess(e)
	}
}

// applyAttemptReceived records an attempt and checks rules 2, 3 and 4 on it.
func (c *checker) applyAttemptReceived(e *Event) {
	request := c.request(e.Request)
	e.Sidecar = request.sent.Sidecar
	if !request.wasSent {
		c.addViolation(ruleNoDoubleEffect, e, "an endpoint got a request that nobody had asked for")
		return
	}
	c.checkDoubleEffect(request, e)
	request.attempts = append(request.attempts, &attemptState{received: *e})
	c.checkSentAfterEnd(request, e)
	c.checkDrain(request.process, e)
	c.checkColdOverload(request.process, e)
}

// applyAttemptEnd ends the latest attempt of the request at the node that is still in flight.
func (c *checker) applyAttemptEnd(e *Event) {
	for _, attempt := range slices.Backward(c.request(e.Request).attempts) {
		if attempt.received.Node == e.Node && !attempt.hasEnded {
			attempt.hasEnded, attempt.endedAt, attempt.isRejected = true, e.At, e.Kind == AttemptRejected
			return
		}
	}
}

// applyNodeStopped ends all attempts at a node whose process died.
func (c *checker) applyNodeStopped(e *Event) {
	c.node(e.Node).isUp = false
	for _, request := range c.requestOrder {
		for _, attempt := range request.attempts {
			if attempt.received.Node == e.Node && !attempt.hasEnded {
				attempt.hasEnded, attempt.endedAt = true, e.At
			}
		}
	}
}

// addViolation records a violation of a rule; the description goes into the report as it is.
func (c *checker) addViolation(rule int, e *Event, format string, args ...any) {
	result := &c.report.Rules[rule-1]
	result.ViolationCount++
	if len(result.Breaches) < maxReportedViolations {
		result.Breaches = append(result.Breaches, Violation{Rule: rule, At: e.At, Request: e.Request, Sidecar: e.Sidecar,
			Node: e.Node, Description: fmt.Sprintf(format, args...)})
	}
}

// countOccasion counts an occasion that says nothing of whether the rule holds.
func (c *checker) countOccasion(rule int, name string) { c.report.Rules[rule-1].Occasions[name]++ }

// countTestedOccasion counts an occasion on which the rule could have been broken.
func (c *checker) countTestedOccasion(rule int, name string) {
	c.countOccasion(rule, name)
	c.report.Rules[rule-1].TestedOccasions++
}

func (c *checker) request(id string) *requestState {
	request := c.requests[id]
	if request == nil {
		request = &requestState{}
		c.requests[id] = request
		c.requestOrder = append(c.requestOrder, request)
	}
	return request
}

func (c *checker) node(id string) *nodeState {
	node := c.nodes[id]
	if node == nil {
		node = &nodeState{}
		c.nodes[id] = node
	}
	return node
}

func (c *checker) sidecar(id string) *sidecarState {
	sidecar := c.sidecars[id]
	if sidecar == nil {
		sidecar = newSidecarState()
		c.sidecars[id] = sidecar
	}
	return sidecar
}

// class is the class of a request; one that the rules do not name counts as unsafe.
func (c *checker) class(request *requestState) Class {
	if i := request.sent.Class; i >= 0 && i < len(c.rules.Classes) {
		return c.rules.Classes[i]
	}
	return Class{Effect: Unsafe}
}
