package eventloop

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"tuliprock/balance"
	"tuliprock/internal/discovery"
	"tuliprock/internal/upstream"
)

const (
	scriptDedupWindow = 300 * time.Millisecond // how long endpoints drop duplicates of the simulated request
	scriptDeadline    = time.Second            // time from the simulated request's arrival to its deadline
)

// scriptedAttempt is an attempt that a script controls: it waits until the script lets its dial succeed, and then for its result.
type scriptedAttempt struct {
	endpoint  string
	connected chan struct{}       // closed when the dial succeeds
	results   chan balance.Result // receives the result from the script
	writtenAt time.Time           // when the request was written; zero: the request was not written
	endedAt   time.Time           // when the attempt ended; zero: the attempt is in flight
	result    balance.Result
}

func (a *scriptedAttempt) mayHaveRun() bool {
	return !a.writtenAt.IsZero() && a.result != balance.Rejected
}

// scriptedUpstream is an Upstream for one request. Like *upstream.Client it writes nothing once ctx has ended, IsWanted returns
// false or the endpoint accepts no requests. It records violations of the rules for attempts.
type scriptedUpstream struct {
	idempotency balance.Idempotency // idempotency of the request's class

	mu               sync.Mutex
	accepting        map[string]bool // whether an endpoint accepts new requests, by its id
	attempts         []*scriptedAttempt
	attemptsInFlight int
	violations       []string
	replies          []Reply
	disconnectedAt   time.Time // when the client disconnected; zero: the client is connected
}

func (u *scriptedUpstream) Attempt(
	ctx context.Context, id string, _ *upstream.Request, hooks upstream.AttemptHooks,
) (balance.Result, bool, upstream.Response) {
	a := &scriptedAttempt{endpoint: id, connected: make(chan struct{}), results: make(chan balance.Result, 1)}
	u.mu.Lock()
	if n := len(u.attempts); n > 0 && !u.disconnectedAt.IsZero() {
		if lastAttempt := u.attempts[n-1]; lastAttempt.result == balance.NotSent && !lastAttempt.endedAt.Before(u.disconnectedAt) {
			u.violations = append(u.violations, "an attempt starts after an earlier one has found the client disconnected")
		}
	}
	u.attempts = append(u.attempts, a)
	if u.attemptsInFlight++; u.attemptsInFlight > 1 {
		u.violations = append(u.violations, "two attempts are in flight")
	}
	u.mu.Unlock()
	result := u.exchange(ctx, a, hooks)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attemptsInFlight--
	a.result, a.endedAt = result, time.Now()
	response := upstream.Response{}
	if result == balance.OK {
		response.Status = 200
	}
	return result, false, response
}

// exchange waits for the dial, writes the request and waits for the result.
func (u *scriptedUpstream) exchange(ctx context.Context, a *scriptedAttempt, hooks upstream.AttemptHooks) balance.Result {
	select {
	case <-a.connected:
	case <-ctx.Done():
		return balance.ConnectFailed
	}
	isWanted := hooks.IsWanted()
	u.mu.Lock()
	if !u.accepting[a.endpoint] || ctx.Err() != nil || !isWanted {
		u.mu.Unlock()
		return balance.NotSent
	}
	u.checkWrite(a)
	a.writtenAt = time.Now()
	a.result = balance.TimedOut // the request may run from now on; Attempt overwrites this with the actual result
	u.mu.Unlock()
	select {
	case r := <-a.results:
		return r
	case <-ctx.Done():
		return balance.TimedOut
	}
}

// checkWrite records which rules are violated if an attempt writes the request now. u.mu is held.
func (u *scriptedUpstream) checkWrite(a *scriptedAttempt) {
	if !u.disconnectedAt.IsZero() {
		u.violations = append(u.violations, "written after the client had disconnected")
	}
	if len(u.replies) > 0 {
		u.violations = append(u.violations, "written after the reply")
	}
	for _, earlier := range u.attempts {
		switch {
		case earlier == a || !earlier.mayHaveRun() || u.idempotency == balance.Idempotent:
		case u.idempotency == balance.NonIdempotent:
			u.violations = append(u.violations, "a non-idempotent request is written again")
		case cellOf[earlier.endpoint] != cellOf[a.endpoint]:
			u.violations = append(u.violations, "a retry with an idempotency key goes to another cell")
		case time.Since(earlier.writtenAt) > scriptDedupWindow:
			u.violations = append(u.violations, "a retry with an idempotency key is written after the deduplication window")
		}
	}
}

func (u *scriptedUpstream) SetEndpoint(id, _ string, acceptsRequests bool) {
	u.setAccepting(id, acceptsRequests)
}
func (u *scriptedUpstream) RemoveEndpoint(id string)             { u.setAccepting(id, false) }
func (u *scriptedUpstream) SetEjected(id string, isEjected bool) { u.setAccepting(id, !isEjected) }
func (u *scriptedUpstream) HasIdleConnection(string) bool        { return false }

func (u *scriptedUpstream) setAccepting(id string, isAccepting bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.accepting[id] = isAccepting
}

func (u *scriptedUpstream) latestAttempt() *scriptedAttempt {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.attempts) == 0 {
		return nil
	}
	return u.attempts[len(u.attempts)-1]
}

// cellOf maps the id of each endpoint to the endpoint's cell.
var cellOf = map[string]int{"a": 1, "b": 1, "c": 2}

// The steps of a script: events that may happen to a request at any time. simulateRequest depends on the order of the steps from
// endpointSucceeds to connectionResets.
const (
	dialSucceeds             = iota // the latest attempt connects to its endpoint
	endpointSucceeds                // the latest attempt ends with balance.OK
	endpointErrs                    // the latest attempt ends with balance.ErrorResponse
	endpointRejects                 // the latest attempt ends with balance.Rejected
	connectionResets                // the latest attempt ends with balance.Reset
	clientDisconnects               // the client disconnects, and the loop is not notified
	loopNotifiedOfDisconnect        // the loop is notified if the client has disconnected
	endpointDrains                  // an endpoint list reports the endpoint of the latest attempt as draining
	endpointsReturn                 // an endpoint list reports all endpoints as ready
	shortWait                       // 40 ms pass
	longWait                        // the length of the deduplication window passes
	waitUntilNearDeadline           // time passes until 2 ms before the deadline: the balancer has given up the request, but the attempt has not timed out
	loopStops                       // the context of Loop.Run ends
	stepCount                       // the number of steps
)

// simulateRequest runs a script of steps for one request and returns the violations of the rules for attempts and replies.
// canCancel is whether the balancer may cancel attempts.
func simulateRequest(idempotency balance.Idempotency, canCancel bool, script []int) (violations []string) {
	u := &scriptedUpstream{idempotency: idempotency, accepting: map[string]bool{}}
	settings := balance.Settings{Seed: 3, CanCancel: canCancel, MaxAttempts: 4, TimerResolution: 5 * time.Millisecond,
		Classes: []balance.Class{{Name: "c", Idempotency: idempotency, DedupScope: balance.ScopeCell, DedupWindow: scriptDedupWindow, LatencyObjective: scriptDeadline / 2}}}
	l := New(NewBalancer, settings, u, func() {}, slog.New(slog.DiscardHandler))
	updateEndpoints := func(drainingID string) func(time.Duration) {
		return func(now time.Duration) {
			update := discovery.ListUpdate{Full: true}
			for id, cell := range cellOf {
				member := discovery.Member{ID: id, Addr: "h:1", Cell: cell}
				if id == drainingID {
					member.State = balance.Draining
				}
				update.Members = append(update.Members, member)
			}
			l.UpdateEndpoints(now, update)
		}
	}
	updateEndpoints("")(l.Now())
	ctx, stopLoop := context.WithCancel(context.Background())
	go l.Run(ctx)
	c := &Call{Request: balance.Request{ID: "r", Class: "c"}, HTTPRequest: &upstream.Request{}, Replies: make(chan Reply, 4)}
	c.IsClientConnected = func() bool { u.mu.Lock(); defer u.mu.Unlock(); return u.disconnectedAt.IsZero() }
	l.Post(func(now time.Duration) { c.Deadline = now + scriptDeadline; l.Submit(now, c) })
	collectReplies := func() {
		synctest.Wait()
		u.mu.Lock()
		defer u.mu.Unlock()
		for len(c.Replies) > 0 {
			u.replies = append(u.replies, <-c.Replies)
		}
	}
	endAttempt := func(r balance.Result) {
		if a := u.latestAttempt(); a != nil && !a.writtenAt.IsZero() && len(a.results) == 0 {
			a.results <- r
		}
	}
	startedAt := time.Now()
	collectReplies()
	for _, step := range script {
		switch step {
		case dialSucceeds:
			if a := u.latestAttempt(); a != nil && a.writtenAt.IsZero() && a.endedAt.IsZero() {
				close(a.connected)
			}
		case endpointSucceeds, endpointErrs, endpointRejects, connectionResets:
			endAttempt([]balance.Result{balance.OK, balance.ErrorResponse, balance.Rejected, balance.Reset}[step-endpointSucceeds])
		case clientDisconnects:
			if c.IsClientConnected() {
				u.mu.Lock()
				u.disconnectedAt = time.Now()
				u.mu.Unlock()
			}
		case loopNotifiedOfDisconnect:
			if !c.IsClientConnected() {
				l.Post(func(now time.Duration) { l.ClientDisconnected(now, c) })
			}
		case endpointDrains:
			if a := u.latestAttempt(); a != nil {
				l.Post(updateEndpoints(a.endpoint))
			}
		case endpointsReturn:
			l.Post(updateEndpoints(""))
		case shortWait:
			time.Sleep(40 * time.Millisecond) // advances the virtual time only
		case longWait:
			time.Sleep(scriptDedupWindow) // advances the virtual time only
		case waitUntilNearDeadline:
			time.Sleep(time.Until(startedAt.Add(scriptDeadline - 2*time.Millisecond))) // advances the virtual time only
		case loopStops:
			stopLoop()
		}
		collectReplies()
	}
	time.Sleep(2 * scriptDeadline) // advances the virtual time only
	collectReplies()
	isLoopStopped := ctx.Err() != nil
	if !isLoopStopped {
		l.Post(func(time.Duration) {
			if calls, _, events, timers := l.ResourceCounts(); calls+events > 0 || timers > 1 {
				u.violations = append(u.violations, fmt.Sprintf("the loop holds %d calls, %d deferred events and %d timers, want none, none and 1 at most", calls, events, timers))
			}
		})
		synctest.Wait()
	}
	stopLoop()
	synctest.Wait()
	u.mu.Lock()
	defer u.mu.Unlock()
	violations = u.violations
	if u.attemptsInFlight > 0 {
		violations = append(violations, "an attempt is in flight after the loop has stopped")
	}
	if n := len(u.replies); n > 1 || n == 0 && u.disconnectedAt.IsZero() && !isLoopStopped {
		violations = append(violations, fmt.Sprintf("%d replies, the client disconnected at %v (zero: never), the loop was stopped: %v", n, u.disconnectedAt, isLoopStopped))
	}
	for _, r := range u.replies {
		for _, a := range u.attempts {
			if r.Verdict == Shed && idempotency != balance.Idempotent && a.mayHaveRun() {
				violations = append(violations, "the request was shed although it may have run")
			}
		}
	}
	return violations
}

// raceScripts are scripts in which an event that ends the request coincides with another event, such as a disconnect right before
// the dial succeeds. Random scripts rarely contain these orders.
var raceScripts = [][]int{
	{clientDisconnects, dialSucceeds},
	{clientDisconnects, loopNotifiedOfDisconnect, dialSucceeds},
	{dialSucceeds, clientDisconnects, loopNotifiedOfDisconnect, endpointSucceeds},
	{dialSucceeds, clientDisconnects, connectionResets, dialSucceeds},
	{dialSucceeds, endpointErrs, clientDisconnects, dialSucceeds, loopNotifiedOfDisconnect},
	{dialSucceeds, endpointRejects, clientDisconnects, dialSucceeds},
	{dialSucceeds, endpointErrs, longWait, shortWait, dialSucceeds},
	{dialSucceeds, endpointErrs, shortWait, dialSucceeds, connectionResets, longWait, dialSucceeds},
	{dialSucceeds, connectionResets, dialSucceeds, endpointSucceeds},
	{dialSucceeds, endpointRejects, dialSucceeds, endpointSucceeds},
	{waitUntilNearDeadline, dialSucceeds},
	{dialSucceeds, waitUntilNearDeadline, endpointSucceeds},
	{endpointDrains, dialSucceeds, dialSucceeds},
	{endpointDrains, dialSucceeds, endpointsReturn, dialSucceeds, endpointSucceeds},
	{dialSucceeds, endpointDrains, endpointSucceeds},
	{dialSucceeds, endpointErrs, endpointDrains, dialSucceeds},
	{loopStops, dialSucceeds},
	{dialSucceeds, loopStops, endpointSucceeds},
	{dialSucceeds, clientDisconnects, loopStops, endpointSucceeds},
}

func TestRacesWithTheEndOfARequestCauseNoViolation(t *testing.T) {
	for _, idempotency := range []balance.Idempotency{balance.Idempotent, balance.IdempotencyKey, balance.NonIdempotent} {
		for _, canCancel := range []bool{false, true} {
			for _, script := range raceScripts {
				synctest.Test(t, func(t *testing.T) {
					if violations := simulateRequest(idempotency, canCancel, script); len(violations) > 0 {
						t.Errorf("idempotency %v, can cancel %v, steps %v: %q", idempotency, canCancel, script, violations)
					}
				})
			}
		}
	}
}

// The test runs one request in virtual time through random orders of events. The request must get at most one reply, and exactly
// one if its client stays connected. There must never be two attempts in flight. Nothing may be written after the disconnect,
// after the reply, to an endpoint that accepts no requests, or against the class's rule on retries. The loop may hold no call and
// no deferred event in the end.
func TestOneRequestGetsOneReplyInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		idempotency := rapid.SampledFrom([]balance.Idempotency{balance.Idempotent, balance.IdempotencyKey, balance.NonIdempotent}).Draw(rt, "idempotency")
		canCancel := rapid.Bool().Draw(rt, "can cancel")
		script := rapid.SliceOfN(rapid.IntRange(0, stepCount-1), 1, 14).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = simulateRequest(idempotency, canCancel, script) })
		if len(violations) > 0 {
			rt.Fatalf("%q", violations)
		}
	})
}
