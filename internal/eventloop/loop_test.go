package eventloop

import (
	"log/slog"
	"testing"
	"time"

	"tuliprock/balance"
)

// The same start must always be the same instant, or an old one would pass for a restart.
func TestEndpointStartTimeMapsToOneInstant(t *testing.T) {
	c := clock{time.Now()}
	at := c.started.UnixMilli()
	if c.fromUnixMillis(0) != 0 {
		t.Errorf("long ago: %v", c.fromUnixMillis(0))
	}
	if got := c.fromUnixMillis(at - 2000); got != clockStart-2*time.Second {
		t.Errorf("two seconds before the start: %v", got)
	}
	if got := c.fromUnixMillis(1); got != 0 {
		t.Errorf("years ago: %v", got)
	}
	if now := c.now(); now < clockStart {
		t.Errorf("now: %v", now)
	}
}

// rearmingBalancer asks for a timer that is due at once, each time one rings.
type rearmingBalancer struct {
	balance.Events
	host        balance.Host
	timersFired int
}

func (r *rearmingBalancer) Timer(now time.Duration) {
	r.timersFired++
	r.host.Timer(now)
}

// A timer that is asked for while one rings must wait for its turn, or other events never get theirs.
func TestTimerDueAtOnceDoesNotStarveOtherEvents(t *testing.T) {
	l := New(NewBalancer, balance.Settings{}, nil, nil, slog.New(slog.DiscardHandler))
	r := &rearmingBalancer{host: host{l}}
	l.balancer = r
	r.host.Timer(clockStart)
	r.host.Timer(clockStart + 1)
	l.handle(l.fireTimers)
	if r.timersFired != 2 || len(l.timers) != 2 {
		t.Errorf("%d rings, %d timers wait", r.timersFired, len(l.timers))
	}
}

// requestRecorder notes which requests a module is asked to decide on.
type requestRecorder struct {
	balance.Events
	ids []string
}

func (a *requestRecorder) Request(_ time.Duration, r balance.Request) { a.ids = append(a.ids, r.ID) }

// A request whose guard returns false is refused at once, and never reaches the module; its id is free.
func TestGuardIsCalledBeforeBalancerDecides(t *testing.T) {
	l := New(NewBalancer, balance.Settings{}, nil, nil, slog.New(slog.DiscardHandler))
	module := &requestRecorder{}
	l.balancer = module
	sure := false
	c := func() *Call {
		return &Call{Request: balance.Request{ID: "r"}, Replies: make(chan Reply, 1), Guard: func() bool { return sure }, GuardRetryAfter: time.Second}
	}
	first := c()
	l.Submit(clockStart, first)
	if r := <-first.Replies; r.Verdict != Shed || r.RetryAfter != time.Second || len(module.ids) > 0 {
		t.Errorf("%+v, and the module was given %v", r, module.ids)
	}
	sure = true
	l.Submit(clockStart, c())
	if len(module.ids) != 1 {
		t.Errorf("the module was given %v", module.ids)
	}
}
