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
	orderWindow   = 300 * time.Millisecond
	orderDeadline = time.Second
)

// scriptedAttempt is an attempt at a scripted endpoint: it waits for a connection until goOn, and then for its end.
type scriptedAttempt struct {
	endpoint string
	goOn     chan struct{}
	ends     chan balance.Result
	writtenAt,
	endedAt time.Time
	result balance.Result
}

func (a *scriptedAttempt) ran() bool {
	return !a.writtenAt.IsZero() && a.result != balance.Full
}

// scriptedUpstream is a scripted Upstream, with the guards that the real one has: it heeds ctx, Wanted and who takes nothing new.
type scriptedUpstream struct {
	effect balance.Effect

	mu       sync.Mutex
	takes    map[string]bool
	attempts []*scriptedAttempt
	out      int
	wrong    []string
	replies  []Reply
	leftAt   time.Time // zero: the client is here
}

func (e *scriptedUpstream) Attempt(ctx context.Context, id string, _ *upstream.Message, w upstream.AttemptHooks) (balance.Result, bool, upstream.Response) {
	a := &scriptedAttempt{endpoint: id, goOn: make(chan struct{}), ends: make(chan balance.Result, 1)}
	e.mu.Lock()
	if n := len(e.attempts); n > 0 && !e.leftAt.IsZero() && e.attempts[n-1].result == balance.NotSent && !e.attempts[n-1].endedAt.Before(e.leftAt) {
		e.wrong = append(e.wrong, "tried again for a client that was seen to have left")
	}
	e.attempts = append(e.attempts, a)
	if e.out++; e.out > 1 {
		e.wrong = append(e.wrong, "two attempts are out")
	}
	e.mu.Unlock()
	r := e.carry(ctx, a, w)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.out--
	a.result, a.endedAt = r, time.Now()
	answer := upstream.Response{}
	if r == balance.OK {
		answer.Status = 200
	}
	return r, false, answer
}

func (e *scriptedUpstream) carry(ctx context.Context, a *scriptedAttempt, w upstream.AttemptHooks) balance.Result {
	select {
	case <-a.goOn:
	case <-ctx.Done():
		return balance.ConnectFailed
	}
	wanted := w.Wanted()
	e.mu.Lock()
	if !e.takes[a.endpoint] || ctx.Err() != nil || !wanted {
		e.mu.Unlock()
		return balance.NotSent
	}
	e.check(a)
	a.writtenAt = time.Now()
	a.result = balance.TimedOut // until it has ended: it may run
	e.mu.Unlock()
	select {
	case r := <-a.ends:
		return r
	case <-ctx.Done():
		return balance.TimedOut
	}
}

// check holds what is about to be written against the rules. e.mu is held.
func (e *scriptedUpstream) check(a *scriptedAttempt) {
	if !e.leftAt.IsZero() {
		e.wrong = append(e.wrong, "written after the client had left")
	}
	if len(e.replies) > 0 {
		e.wrong = append(e.wrong, "written after the final answer")
	}
	for _, was := range e.attempts {
		switch {
		case was == a || !was.ran() || e.effect == balance.Safe:
		case e.effect == balance.Unsafe:
			e.wrong = append(e.wrong, "unsafe work is written again")
		case cellOf[was.endpoint] != cellOf[a.endpoint]:
			e.wrong = append(e.wrong, "keyed work leaves its cell")
		case time.Since(was.writtenAt) > orderWindow:
			e.wrong = append(e.wrong, "keyed work is written after its window")
		}
	}
}

func (e *scriptedUpstream) SetMember(id, _ string, takes bool) { e.set(id, takes) }
func (e *scriptedUpstream) RemoveMember(id string)             { e.set(id, false) }
func (e *scriptedUpstream) SetEjected(id string, out bool)     { e.set(id, !out) }
func (e *scriptedUpstream) HasIdle(string) bool                { return false }

func (e *scriptedUpstream) set(id string, takes bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.takes[id] = takes
}

func (e *scriptedUpstream) latest() *scriptedAttempt {
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
	connects = iota
	answers
	errs
	declines
	resets
	leaves     // the client goes
	tells      // and the loop hears of it
	drains     // an endpoint, with a list
	returns    // of all endpoints, with a list
	waitsShort // time passes
	waitsLong
	waitsToEnd // until the module has given up, and the attempt's own time is not over yet
	ends       // the process
	steps
)

// order plays one request through the steps and returns what was wrong.
func order(effect balance.Effect, mayCancel bool, script []int) (wrong []string) {
	e := &scriptedUpstream{effect: effect, takes: map[string]bool{}}
	l := New(Module, balance.Settings{Seed: 3, MayCancel: mayCancel, MaxAttempts: 4, Resolution: 5 * time.Millisecond,
		Classes: []balance.Class{{Name: "c", Effect: effect, Group: balance.GroupCell, Window: orderWindow, Aim: orderDeadline / 2}}}, e, func() {}, slog.New(slog.DiscardHandler))
	list := func(without string) func(time.Duration) {
		return func(now time.Duration) {
			m := discovery.ListUpdate{Full: true}
			for id, cell := range cellOf {
				s := discovery.Member{ID: id, Addr: "h:1", Cell: cell}
				if id == without {
					s.State = balance.Draining
				}
				m.Servers = append(m.Servers, s)
			}
			l.UpdateEndpoints(now, m)
		}
	}
	list("")(l.Now())
	ctx, end := context.WithCancel(context.Background())
	go l.Run(ctx)
	c := &Call{Request: balance.Request{ID: "r", Class: "c"}, Message: &upstream.Message{}, Replies: make(chan Reply, 4)}
	c.Here = func() bool { e.mu.Lock(); defer e.mu.Unlock(); return e.leftAt.IsZero() }
	l.Post(func(now time.Duration) { c.Deadline = now + orderDeadline; l.Submit(now, c) })
	heard := func() {
		synctest.Wait()
		e.mu.Lock()
		defer e.mu.Unlock()
		for len(c.Replies) > 0 {
			e.replies = append(e.replies, <-c.Replies)
		}
	}
	finish := func(r balance.Result) {
		if a := e.latest(); a != nil && !a.writtenAt.IsZero() && len(a.ends) == 0 {
			a.ends <- r
		}
	}
	began := time.Now()
	heard()
	for _, step := range script {
		switch step {
		case connects:
			if a := e.latest(); a != nil && a.writtenAt.IsZero() && a.endedAt.IsZero() {
				close(a.goOn)
			}
		case answers, errs, declines, resets:
			finish([]balance.Result{balance.OK, balance.Errored, balance.Full, balance.Reset}[step-answers])
		case leaves:
			if c.Here() {
				e.mu.Lock()
				e.leftAt = time.Now()
				e.mu.Unlock()
			}
		case tells:
			if !c.Here() {
				l.Post(func(now time.Duration) { l.ClientDisconnected(now, c) })
			}
		case drains:
			if a := e.latest(); a != nil {
				l.Post(list(a.endpoint))
			}
		case returns:
			l.Post(list(""))
		case waitsShort:
			time.Sleep(40 * time.Millisecond) // virtual
		case waitsLong:
			time.Sleep(orderWindow) // virtual
		case waitsToEnd:
			time.Sleep(time.Until(began.Add(orderDeadline - 2*time.Millisecond))) // virtual
		case ends:
			end()
		}
		heard()
	}
	time.Sleep(2 * orderDeadline) // virtual
	heard()
	ended := ctx.Err() != nil
	if !ended {
		l.Post(func(time.Duration) {
			if calls, _, later, timers := l.ResourceCounts(); calls+later > 0 || timers > 1 {
				e.wrong = append(e.wrong, fmt.Sprintf("the loop still holds %d calls, %d events, %d timers", calls, later, timers))
			}
		})
		synctest.Wait()
	}
	end()
	synctest.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	wrong = e.wrong
	if e.out > 0 {
		wrong = append(wrong, "an attempt outlives the loop")
	}
	if n := len(e.replies); n > 1 || n == 0 && e.leftAt.IsZero() && !ended {
		wrong = append(wrong, fmt.Sprintf("%d final answers, left at %v, ended %v", n, e.leftAt, ended))
	}
	for _, r := range e.replies {
		for _, a := range e.attempts {
			if r.Verdict == Refused && effect != balance.Safe && a.ran() {
				wrong = append(wrong, "refused, and it may have run")
			}
		}
	}
	return wrong
}

// crossings are the orders in which something is owed at the instant at which something ends; the drawn ones rarely meet them.
var crossings = [][]int{
	{leaves, connects},
	{leaves, tells, connects},
	{connects, leaves, tells, answers},
	{connects, leaves, resets, connects},
	{connects, errs, leaves, connects, tells},
	{connects, declines, leaves, connects},
	{connects, errs, waitsLong, waitsShort, connects},
	{connects, errs, waitsShort, connects, resets, waitsLong, connects},
	{connects, resets, connects, answers},
	{connects, declines, connects, answers},
	{waitsToEnd, connects},
	{connects, waitsToEnd, answers},
	{drains, connects, connects},
	{drains, connects, returns, connects, answers},
	{connects, drains, answers},
	{connects, errs, drains, connects},
	{ends, connects},
	{connects, ends, answers},
	{connects, leaves, ends, answers},
}

func TestCrossings(t *testing.T) {
	for _, effect := range []balance.Effect{balance.Safe, balance.Keyed, balance.Unsafe} {
		for _, mayCancel := range []bool{false, true} {
			for _, script := range crossings {
				synctest.Test(t, func(t *testing.T) {
					if wrong := order(effect, mayCancel, script); len(wrong) > 0 {
						t.Errorf("effect %v, may cancel %v, steps %v: %q", effect, mayCancel, script, wrong)
					}
				})
			}
		}
	}
}

// One request in virtual time, with all that may happen to it in all orders that are drawn: one final answer at most, and exactly
// one to a client that stays; never two attempts out; nothing written after the leaving, after the answer, to whom was told off, nor
// against the class's rule on repeats; nothing left over.
func TestOneRequestInAllOrders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		effect := rapid.SampledFrom([]balance.Effect{balance.Safe, balance.Keyed, balance.Unsafe}).Draw(rt, "effect")
		mayCancel := rapid.Bool().Draw(rt, "may cancel")
		script := rapid.SliceOfN(rapid.IntRange(0, steps-1), 1, 14).Draw(rt, "steps")
		var wrong []string
		synctest.Test(t, func(*testing.T) { wrong = order(effect, mayCancel, script) })
		if len(wrong) > 0 {
			rt.Fatalf("%q", wrong)
		}
	})
}
