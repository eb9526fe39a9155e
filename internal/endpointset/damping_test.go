package endpointset

import (
	"fmt"
	"testing"
	"time"
)

// A member that is listed again after its first departure is active at once, since a restart is not flapping. From the second departure
// on its activation is delayed, and the delay doubles with each further departure.
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
	expectActive(t, set, "a", "b")
	for _, delay := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		flap()
		expectActive(t, set, "a")
		if at, ok := set.NextChange(); !ok || at != now+delay {
			t.Errorf("next change at %v, want %v", at, now+delay)
		}
		if set.Tick(now + delay - 1) {
			t.Errorf("the member is active before its delay of %v is over", delay)
		}
		set.HandleList(now+delay/2, members("a", "b")) // another list in between does not restart the delay
		if !set.Tick(now + delay) {
			t.Errorf("the member is not active after its delay of %v", delay)
		}
		expectActive(t, set, "a", "b")
	}
	for range 20 {
		flap()
	}
	if at, _ := set.NextChange(); at != now+64*time.Second {
		t.Errorf("the longest delay is %v, want %v", at-now, 64*time.Second)
	}
	now += flapHistoryLifetime + time.Second
	set.HandleList(now, members("a", "b"))
	flap()
	expectActive(t, set, "a", "b")
}

func TestDampedMemberIsActiveIfNoOtherIsReady(t *testing.T) {
	set := New(testOptions)
	for i := range 6 {
		set.HandleList(time.Duration(2*i)*time.Millisecond, members("a"))
		set.HandleList(time.Duration(2*i+1)*time.Millisecond, members("b"))
		if got := activeIDs(set); len(got) != 1 {
			t.Fatalf("active members %v, want one", got)
		}
	}
	draining := member("b")
	draining.Draining = true
	set.HandleList(time.Second, []Member{draining, member("a")})
	expectActive(t, set, "a", "b")
}

func TestFlapHistoriesAreBounded(t *testing.T) {
	set := New(testOptions)
	for i := range 3 * maxFlapHistories {
		set.HandleList(time.Duration(i), members(fmt.Sprint("m", i)))
	}
	if n := len(set.flapHistories); n > maxFlapHistories+1 {
		t.Errorf("%d flap histories are kept, want at most %d", n, maxFlapHistories+1)
	}
}
