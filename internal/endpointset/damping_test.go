package endpointset

import (
	"fmt"
	"testing"
	"time"
)

// A member that departed once returns at once, since a restart is no flapping. From the second departure on the delay doubles.
func TestFlappingMemberIsDampedWithDoublingDelay(t *testing.T) {
	set := New(testOptions)
	now := time.Duration(0)
	flap := func() {
		now += 10 * time.Second
		set.HandleList(now, members("a"))
		now += time.Millisecond
		set.HandleList(now, members("a", "b"))
	}
	set.HandleList(now, members("a", "b"))
	flap()
	expectInForce(t, set, "a", "b")
	for _, delay := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		flap()
		expectInForce(t, set, "a")
		if at, ok := set.NextChange(); !ok || at != now+delay {
			t.Errorf("next change at %v, want %v", at, now+delay)
		}
		if set.Tick(now + delay - 1) {
			t.Error("admitted early")
		}
		set.HandleList(now+delay/2, members("a", "b")) // a further list does not restart the delay
		if !set.Tick(now + delay) {
			t.Error("not admitted when the delay was over")
		}
		expectInForce(t, set, "a", "b")
	}
	for range 20 {
		flap()
	}
	if at, _ := set.NextChange(); at != now+64*time.Second {
		t.Errorf("the longest delay is %v", at-now)
	}
	now += flapMemory + time.Second
	set.HandleList(now, members("a", "b"))
	flap()
	expectInForce(t, set, "a", "b")
}

func TestDampingNeverLeavesSetWithoutReadyMember(t *testing.T) {
	set := New(testOptions)
	for i := range 6 {
		set.HandleList(time.Duration(2*i)*time.Millisecond, members("a"))
		set.HandleList(time.Duration(2*i+1)*time.Millisecond, members("b"))
		if got := idsInForce(set); len(got) != 1 {
			t.Fatalf("in force: %v", got)
		}
	}
	draining := member("b")
	draining.Draining = true
	set.HandleList(time.Second, []Member{draining, member("a")})
	expectInForce(t, set, "a", "b")
}

func TestRememberedFlapsAreBounded(t *testing.T) {
	set := New(testOptions)
	for i := range 3 * maxRememberedFlaps {
		set.HandleList(time.Duration(i), members(fmt.Sprint("m", i)))
	}
	if n := len(set.flaps); n > maxRememberedFlaps+1 {
		t.Errorf("%d members are remembered", n)
	}
}
