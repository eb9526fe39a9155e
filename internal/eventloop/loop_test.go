package eventloop

import (
	"log/slog"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/upstream"
)

// The same start time must always give the same instant, or the balancer would take the endpoint for restarted.
func TestEndpointStartTimeMapsToOneInstant(t *testing.T) {
	c := clock{time.Now()}
	startedMs := c.startedAt.UnixMilli()
	if got := c.fromUnixMillis(0); got != 0 {
		t.Errorf("the unknown start time 0 gives instant %v, want 0", got)
	}
	if got := c.fromUnixMillis(startedMs - 2000); got != clockStart-2*time.Second {
		t.Errorf("two seconds before the clock's start give instant %v, want %v", got, clockStart-2*time.Second)
	}
	if got := c.fromUnixMillis(1); got != 0 {
		t.Errorf("a start in 1970 gives instant %v, want 0", got)
	}
	if now := c.now(); now < clockStart {
		t.Errorf("now is instant %v, want %v at least", now, clockStart)
	}
}

// rearmingBalancer sets a timer that is due at once whenever a timer fires.
type rearmingBalancer struct {
	balance.Events
	host        balance.Host
	timersFired int
}

func (r *rearmingBalancer) Timer(now time.Duration) {
	r.timersFired++
	r.host.Timer(now)
}

// A timer that is set while timers fire must not fire in the same event, or other events would never be handled.
func TestTimerDueAtOnceDoesNotStarveOtherEvents(t *testing.T) {
	l := New(NewBalancer, balance.Settings{}, nil, nil, slog.New(slog.DiscardHandler))
	balancer := &rearmingBalancer{host: host{l}}
	l.balancer = balancer
	balancer.host.Timer(clockStart)
	balancer.host.Timer(clockStart + 1)
	l.handleEvent(l.fireTimers)
	if balancer.timersFired != 2 || len(l.timers) != 2 {
		t.Errorf("%d timers fired and %d are pending, want 2 and 2", balancer.timersFired, len(l.timers))
	}
}

// requestRecorder is a balancer that records the ids of the requests that it is given.
type requestRecorder struct {
	balance.Events
	ids []string
}

func (r *requestRecorder) ClientDisconnected(time.Duration, string) {}

func (r *requestRecorder) Outcome(time.Duration, balance.Outcome) {}

func (r *requestRecorder) Request(_ time.Duration, request balance.Request) {
	r.ids = append(r.ids, request.ID)
}

// A request whose AcceptsRequests returns false must be shed without reaching the balancer, and its id must be free afterwards.
func TestAcceptsRequestsIsCalledBeforeBalancerDecides(t *testing.T) {
	l := New(NewBalancer, balance.Settings{}, nil, nil, slog.New(slog.DiscardHandler))
	balancer := &requestRecorder{}
	l.balancer = balancer
	acceptsRequests := false
	newCall := func() *Call {
		return &Call{Request: balance.Request{ID: "r"}, Replies: make(chan Reply, 1), AcceptsRequests: func() bool { return acceptsRequests }, RejectionRetryAfter: time.Second}
	}
	firstCall := newCall()
	l.Submit(clockStart, firstCall)
	if r := <-firstCall.Replies; r.Verdict != Shed || r.RetryAfter != time.Second || len(balancer.ids) > 0 {
		t.Errorf("AcceptsRequests returned false: reply %+v, balancer was given %v, want verdict Shed, a Retry-After of 1 s and no request", r, balancer.ids)
	}
	acceptsRequests = true
	l.Submit(clockStart, newCall())
	if len(balancer.ids) != 1 {
		t.Errorf("AcceptsRequests returned true: balancer was given %v, want one request", balancer.ids)
	}
}

// idSet is an IDClaims of claims that never expire.
type idSet map[string]bool

func (s idSet) Claim(id string, _ time.Duration) bool {
	isFree := !s[id]
	s[id] = true
	return isFree
}

func (s idSet) Keep(string, time.Duration) {}

func (s idSet) Release(id string) { delete(s, id) }

// A request that may have run must not run again if its client has left and sends it again, unless running it twice is harmless.
func TestIDMayBeUsedAgainOnlyIfNothingRunsTwice(t *testing.T) {
	settings := balance.Settings{Classes: []balance.Class{
		{Name: "read"}, {Name: "keyed", Idempotency: balance.IdempotencyKey}, {Name: "unsafe", Idempotency: balance.NonIdempotent},
	}}
	for _, row := range []struct {
		class        string
		result       balance.Result // how the only attempt of the first request ends
		leaves       bool           // the client leaves before it has a reply
		hasUniqueID  bool
		isDuplicate  bool
		describesWhy string
	}{
		{"unsafe", balance.Canceled, true, false, true, "a cancelled attempt may have run"},
		{"keyed", balance.Canceled, true, false, true, "the second request may go to an endpoint that does not know the key"},
		{"read", balance.Canceled, true, true, false, "an idempotent request may run any number of times"},
		{"unsafe", balance.NotSent, true, true, false, "the first request has not run"},
		{"unsafe", balance.OK, false, true, true, "the id names one request only"},
		{"unsafe", balance.OK, false, false, false, "the client has its reply, and its ids may be used again"},
	} {
		t.Run(row.class+": "+row.describesWhy, func(t *testing.T) {
			l := New(NewBalancer, settings, nil, nil, slog.New(slog.DiscardHandler))
			l.balancer = &requestRecorder{}
			l.SetIDClaims(idSet{}, "p")
			newCall := func() *Call {
				return &Call{Request: balance.Request{ID: "r", Class: row.class}, Replies: make(chan Reply, 1), HTTPRequest: &upstream.Request{}, HasUniqueID: row.hasUniqueID}
			}
			first, second := newCall(), newCall()
			l.Submit(clockStart, first)
			first.attemptsInFlight = 1
			if row.leaves {
				l.ClientDisconnected(clockStart, first)
			}
			l.handleAttemptEnded(clockStart, first, balance.Outcome{ID: "r", Result: row.result}, clockStart, upstream.Response{})
			l.Submit(clockStart, second)
			isDuplicate := len(second.Replies) > 0
			if isDuplicate != row.isDuplicate {
				t.Errorf("the second request is taken for a duplicate: %v, want %v", isDuplicate, row.isDuplicate)
			}
		})
	}
}

// The loop may end right after it has made a streaming response a request's reply. The attempt must learn of the reply even then:
// otherwise it releases the buffer of the response, and closes its connection, while the request's handler reads from them.
func TestResultOfLastEventIsKnownAfterLoopEnded(t *testing.T) {
	l := New(NewBalancer, balance.Settings{}, nil, nil, slog.New(slog.DiscardHandler))
	close(l.done)
	result := make(chan bool, 1)
	for range 100 { // a select chooses at random among the channels that are ready
		result <- true
		if !l.awaitResult(result) {
			t.Fatal("the result of an event that was handled is lost")
		}
	}
	if l.awaitResult(result) {
		t.Error("an event that was not handled has a result")
	}
}
