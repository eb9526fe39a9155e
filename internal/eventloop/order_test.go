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
	scriptDedupWindow = 300 * time.Millisecond
	scriptDeadline    = time.Second
)

// scriptedAttempt is an attempt at a scripted endpoint: it waits until it is connected, and then for its result.
type scriptedAttempt struct {
	endpoint  string
	connected chan struct{}
	results   chan balance.Result
	writtenAt,
	endedAt time.Time
	result balance.Result
}

func (a *scriptedAttempt) mayHaveRun() bool {
	return !a.writtenAt.IsZero() && a.result != balance.Rejected
}

// scriptedUpstream is an Upstream with the guards that the real one has: it writes nothing once ctx has ended, Wanted returns
// false or the endpoint takes nothing new.
type scriptedUpstream struct {
	idempotency balance.Idempotency

	mu             sync.Mutex
	accepting      map[string]bool
	attempts       []*scriptedAttempt
	inFlight       int
	violations     []string
	replies        []Reply
	disconnectedAt time.Time // zero: the client is here
}

func (e *scriptedUpstream) Attempt(
	ctx context.Context, id string, _ *upstream.Request, w upstream.AttemptHooks,
) (balance.Result, bool, upstream.Response) {
	a := &scriptedAttempt{endpoint: id, connected: make(chan struct{}), results: make(chan balance.Result, 1)}
	e.mu.Lock()
	if n := len(e.attempts); n > 0 && !e.disconnectedAt.IsZero() {
		if last := e.attempts[n-1]; last.result == balance.NotSent && !last.endedAt.Before(e.disconnectedAt) {
			e.violations = append(e.violations, "another attempt for a client that was seen to have gone")
		}
	}
	e.attempts = append(e.attempts, a)
	if e.inFlight++; e.inFlight > 1 {
		e.violations = append(e.violations, "two attempts are in flight")
	}
	e.mu.Unlock()
	r := e.exchange(ctx, a, w)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
	a.result, a.endedAt = r, time.Now()
	answer := upstream.Response{}
	if r == balance.OK {
		answer.Status = 200
	}
	return r, false, answer
}

func (e *scriptedUpstream) exchange(ctx context.Context, a *scriptedAttempt, w upstream.AttemptHooks) balance.Result {
	select {
	case <-a.connected:
	case <-ctx.Done():
		return balance.ConnectFailed
	}
	wanted := w.IsWanted()
	e.mu.Lock()
	if !e.accepting[a.endpoint] || ctx.Err() != nil || !wanted {
		e.mu.Unlock()
		return balance.NotSent
	}
	e.checkWrite(a)
	a.writtenAt = time.Now()
	a.result = balance.TimedOut // until it has ended: it may run
	e.mu.Unlock()
	select {
	case r := <-a.results:
		return r
	case <-ctx.Done():
		return balance.TimedOut
	}
}

// checkWrite holds what is about to be written against the rules. e.mu is held.
func (e *scriptedUpstream) checkWrite(a *scriptedAttempt) {
	if !e.disconnectedAt.IsZero() {
		e.violations = append(e.violations, "written after the client had disconnected")
	}
	if len(e.replies) > 0 {
		e.violations = append(e.violations, "written after the final answer")
	}
	for _, was := range e.attempts {
		switch {
		case was == a || !was.mayHaveRun() || e.idempotency == balance.Idempotent:
		case e.idempotency == balance.NonIdempotent:
			e.violations = append(e.violations, "unsafe work is written again")
		case cellOf[was.endpoint] != cellOf[a.endpoint]:
			e.violations = append(e.violations, "keyed work leaves its cell")
		case time.Since(was.writtenAt) > scriptDedupWindow:
			e.violations = append(e.violations, "keyed work is written after its window")
		}
	}
}

func (e *scriptedUpstream) SetEndpoint(id, _ string, takes bool) { e.setAccepting(id, takes) }
func (e *scriptedUpstream) RemoveEndpoint(id string)             { e.setAccepting(id, false) }
func (e *scriptedUpstream) SetEjected(id string, out bool)       { e.setAccepting(id, !out) }
func (e *scriptedUpstream) HasIdle(string) bool                  { return false }

func (e *scriptedUpstream) setAccepting(id string, takes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.accepting[id] = takes
}

func (e *scriptedUpstream) latestAttempt() *scriptedAttempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.attempts) == 0 {
		return nil
	}
	return e.attempts[len(e.attempts)-1]
}

var cellOf = map[string]int{"a": 1, "b": 1, "c": 2}

// The steps of an order: what may happen to one request at any time.
const (
	dialSucceeds = iota
	endpointSucceeds
	endpointErrs
	endpointRejects
	connectionResets
	clientDisconnects        // the client
	loopNotifiedOfDisconnect // of the disconnect
	endpointDrains           // an endpoint, with a list
	endpointsReturn          // of all endpoints, with a list
	shortWait                // time passes
	longWait
	waitUntilNearDeadline // until the module has given up, and the attempt's own time is not over yet
	loopStops             // the process
	stepCount
)

// simulateRequest plays one request through the steps and returns what was wrong.
func simulateRequest(effect balance.Idempotency, mayCancel bool, script []int) (wrong []string) {
	e := &scriptedUpstream{idempotency: effect, accepting: map[string]bool{}}
	settings := balance.Settings{Seed: 3, CanCancel: mayCancel, MaxAttempts: 4, TimerResolution: 5 * time.Millisecond,
		Classes: []balance.Class{{Name: "c", Idempotency: effect, DedupScope: balance.ScopeCell, DedupWindow: scriptDedupWindow, LatencyObjective: scriptDeadline / 2}}}
	l := New(NewBalancer, settings, e, func() {}, slog.New(slog.DiscardHandler))
	list := func(without string) func(time.Duration) {
		return func(now time.Duration) {
			m := discovery.ListUpdate{Full: true}
			for id, cell := range cellOf {
				s := discovery.Member{ID: id, Addr: "h:1", Cell: cell}
				if id == without {
					s.State = balance.Draining
				}
				m.Members = append(m.Members, s)
			}
			l.UpdateEndpoints(now, m)
		}
	}
	list("")(l.Now())
	ctx, end := context.WithCancel(context.Background())
	go l.Run(ctx)
	c := &Call{Request: balance.Request{ID: "r", Class: "c"}, Message: &upstream.Request{}, Replies: make(chan Reply, 4)}
	c.IsClientConnected = func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.disconnectedAt.IsZero() }
	l.Post(func(now time.Duration) { c.Deadline = now + scriptDeadline; l.Submit(now, c) })
	collectReplies := func() {
		synctest.Wait()
		e.mu.Lock()
		defer e.mu.Unlock()
		for len(c.Replies) > 0 {
			e.replies = append(e.replies, <-c.Replies)
		}
	}
	finish := func(r balance.Result) {
		if a := e.latestAttempt(); a != nil && !a.writtenAt.IsZero() && len(a.results) == 0 {
			a.results <- r
		}
	}
	began := time.Now()
	collectReplies()
	for _, step := range script {
		switch step {
		case dialSucceeds:
			if a := e.latestAttempt(); a != nil && a.writtenAt.IsZero() && a.endedAt.IsZero() {
				close(a.connected)
			}
		case endpointSucceeds, endpointErrs, endpointRejects, connectionResets:
			finish([]balance.Result{balance.OK, balance.ErrorResponse, balance.Rejected, balance.Reset}[step-endpointSucceeds])
		case clientDisconnects:
			if c.IsClientConnected() {
				e.mu.Lock()
				e.disconnectedAt = time.Now()
				e.mu.Unlock()
			}
		case loopNotifiedOfDisconnect:
			if !c.IsClientConnected() {
				l.Post(func(now time.Duration) { l.ClientDisconnected(now, c) })
			}
		case endpointDrains:
			if a := e.latestAttempt(); a != nil {
				l.Post(list(a.endpoint))
			}
		case endpointsReturn:
			l.Post(list(""))
		case shortWait:
			time.Sleep(40 * time.Millisecond) // virtual
		case longWait:
			time.Sleep(scriptDedupWindow) // virtual
		case waitUntilNearDeadline:
			time.Sleep(time.Until(began.Add(scriptDeadline - 2*time.Millisecond))) // virtual
		case loopStops:
			end()
		}
		collectReplies()
	}
	time.Sleep(2 * scriptDeadline) // virtual
	collectReplies()
	ended := ctx.Err() != nil
	if !ended {
		l.Post(func(time.Duration) {
			if calls, _, later, timers := l.ResourceCounts(); calls+later > 0 || timers > 1 {
				e.violations = append(e.violations, fmt.Sprintf("the loop still holds %d calls, %d events, %d timers", calls, later, timers))
			}
		})
		synctest.Wait()
	}
	end()
	synctest.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	wrong = e.violations
	if e.inFlight > 0 {
		wrong = append(wrong, "an attempt outlives the loop")
	}
	if n := len(e.replies); n > 1 || n == 0 && e.disconnectedAt.IsZero() && !ended {
		wrong = append(wrong, fmt.Sprintf("%d final answers, left at %v, ended %v", n, e.disconnectedAt, ended))
	}
	for _, r := range e.replies {
		for _, a := range e.attempts {
			if r.Verdict == Shed && effect != balance.Idempotent && a.mayHaveRun() {
				wrong = append(wrong, "refused, and it may have run")
			}
		}
	}
	return wrong
}

// raceScripts are the orders in which something is owed at the instant at which something ends; the drawn ones rarely meet them.
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

func TestConcurrentEndEventsKeepRequestInvariants(t *testing.T) {
	for _, effect := range []balance.Idempotency{balance.Idempotent, balance.IdempotencyKey, balance.NonIdempotent} {
		for _, mayCancel := range []bool{false, true} {
			for _, script := range raceScripts {
				synctest.Test(t, func(t *testing.T) {
					if wrong := simulateRequest(effect, mayCancel, script); len(wrong) > 0 {
						t.Errorf("effect %v, may cancel %v, steps %v: %q", effect, mayCancel, script, wrong)
					}
				})
			}
		}
	}
}

// One request in virtual time, with all that may happen to it in all orders that are drawn: one final answer at most, and exactly
// one to a client that stays; never two attempts in flight; nothing written after the disconnect, after the answer, to an
// endpoint that takes nothing new, nor against the class's rule on retries; nothing left over.
func TestOneRequestGetsOneReplyInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		effect := rapid.SampledFrom([]balance.Idempotency{balance.Idempotent, balance.IdempotencyKey, balance.NonIdempotent}).Draw(rt, "effect")
		mayCancel := rapid.Bool().Draw(rt, "may cancel")
		script := rapid.SliceOfN(rapid.IntRange(0, stepCount-1), 1, 14).Draw(rt, "steps")
		var wrong []string
		synctest.Test(t, func(*testing.T) { wrong = simulateRequest(effect, mayCancel, script) })
		if len(wrong) > 0 {
			rt.Fatalf("%q", wrong)
		}
	})
}
