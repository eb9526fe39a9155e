package endpointset

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func member(id string) Member { return Member{ID: id, Addr: id + ":1"} }

func of(ids ...string) (out []Member) {
	for _, id := range ids {
		out = append(out, member(id))
	}
	return out
}

func ids(k *Set) (out []string) {
	for _, l := range k.Endpoints() {
		out = append(out, l.ID)
	}
	return out
}

func expect(t *testing.T, k *Set, want ...string) {
	t.Helper()
	if got := ids(k); !slices.Equal(got, want) {
		t.Errorf("in force: %v, want %v", got, want)
	}
}

var ordinary = Options{Hold: time.Minute, Damp: time.Second}

func TestAnEmptyAnswerIsDoubtedForAWhile(t *testing.T) {
	k := New(ordinary)
	if _, ok := k.NextChange(); k.HandleFailure(0) || ok {
		t.Error("a pool that had nobody has nothing to hold")
	}
	k.HandleList(time.Second, of("a", "b"))
	if k.HandleList(2*time.Second, nil) || k.HandleFailure(60*time.Second) {
		t.Error("emptied early")
	}
	expect(t, k, "a", "b")
	if at, ok := k.NextChange(); !ok || at != 61*time.Second {
		t.Errorf("due at %v, %v", at, ok)
	}
	if !k.Tick(61 * time.Second) {
		t.Error("not emptied when its time was over")
	}
	expect(t, k)
	if _, ok := k.NextChange(); ok {
		t.Error("something is due for nobody")
	}
	k.HandleList(62*time.Second, of("a"))
	expect(t, k, "a")
}

func TestAGoodAnswerEndsTheDoubt(t *testing.T) {
	k := New(ordinary)
	k.HandleList(0, of("a"))
	k.HandleFailure(50 * time.Second)
	k.HandleList(55*time.Second, of("a"))
	if _, ok := k.NextChange(); ok || k.Tick(10*time.Minute) {
		t.Error("still in doubt")
	}
	expect(t, k, "a")
}

// A restart is no flapping: whoever went once comes back at once. From the second time on the wait doubles.
func TestAMemberThatFlapsMustBeListedSteadily(t *testing.T) {
	k := New(ordinary)
	now := time.Duration(0)
	flap := func() {
		now += 10 * time.Second
		k.HandleList(now, of("a"))
		now += time.Millisecond
		k.HandleList(now, of("a", "b"))
	}
	k.HandleList(now, of("a", "b"))
	flap()
	expect(t, k, "a", "b")
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		flap()
		expect(t, k, "a")
		if at, ok := k.NextChange(); !ok || at != now+wait {
			t.Errorf("due at %v, want %v", at, now+wait)
		}
		if k.Tick(now + wait - 1) {
			t.Error("counted early")
		}
		k.HandleList(now+wait/2, of("a", "b")) // listed again meanwhile: the wait is not begun anew
		if !k.Tick(now + wait) {
			t.Error("never counted")
		}
		expect(t, k, "a", "b")
	}
	for range 20 {
		flap()
	}
	if at, _ := k.NextChange(); at != now+dampMost*time.Second {
		t.Errorf("the longest wait is %v", at-now)
	}
	now += forgetFlap + time.Second
	k.HandleList(now, of("a", "b"))
	flap()
	expect(t, k, "a", "b")
}

func TestDampingLeavesNobodyUnserved(t *testing.T) {
	k := New(ordinary)
	for i := range 6 {
		k.HandleList(time.Duration(2*i)*time.Millisecond, of("a"))
		k.HandleList(time.Duration(2*i+1)*time.Millisecond, of("b"))
		if got := ids(k); len(got) != 1 {
			t.Fatalf("in force: %v", got)
		}
	}
	draining := member("b")
	draining.Draining = true
	k.HandleList(time.Second, []Member{draining, member("a")})
	expect(t, k, "a", "b")
}

// What is new since the first answer may be cold, and so may what has moved.
func TestNewcomersHaveAnInstant(t *testing.T) {
	k := New(ordinary)
	k.HandleList(5, of("a"))
	moved := Member{ID: "a", Addr: "elsewhere:1"}
	k.HandleList(7, []Member{moved, member("b")})
	if l := k.Endpoints(); l[0].Since != 7 || l[1].Since != 7 {
		t.Errorf("%+v", l)
	}
	zoned := moved
	zoned.Zone = "z"
	k.HandleList(9, []Member{zoned, member("b")})
	if l := k.Endpoints(); l[0].Since != 7 || l[0].Zone != "z" {
		t.Errorf("a new zone made it a newcomer: %+v", l[0])
	}
}

func TestFlapsAreForgottenBeforeTheyFillTheMemory(t *testing.T) {
	k := New(ordinary)
	for i := range 3 * mostFlaps {
		k.HandleList(time.Duration(i), of(fmt.Sprint("m", i)))
	}
	if n := len(k.flaps); n > mostFlaps+1 {
		t.Errorf("%d members are remembered", n)
	}
}

// Whatever a source says: members in force were listed by the last answer believed, one not listed is out at once, and
// while someone is listed as ready someone ready is in force.
func TestWhatIsInForceWasListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := New(Options{Hold: time.Duration(rapid.IntRange(0, 50).Draw(t, "hold")), Damp: time.Duration(rapid.IntRange(0, 9).Draw(t, "damp"))})
		now, good := time.Duration(1), time.Duration(0)
		var last []Member
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "later"))
			before := k.Endpoints()
			changed := false
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				changed = k.HandleFailure(now)
			case 1:
				changed = k.Tick(now)
			default:
				answer := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
					return Member{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Draining: rapid.Bool().Draw(t, "draining")}
				}), 0, 4).Draw(t, "answer")
				changed = k.HandleList(now, answer)
				if len(answer) > 0 {
					last, good = answer, now
				}
			}
			after := k.Endpoints()
			if changed == slices.Equal(before, after) {
				t.Fatalf("changed is %v: %v, then %v", changed, before, after)
			}
			for _, l := range after {
				if !slices.Contains(last, l.Member) {
					t.Fatalf("%v is in force, and was not listed in %v", l, last)
				}
			}
			if len(last) > 0 && now < good+k.o.Hold && len(after) == 0 {
				t.Fatalf("emptied after %v", now-good)
			}
			ready := func(m Member) bool { return !m.Draining }
			firsts := map[string]Member{}
			for _, m := range last {
				if _, twice := firsts[m.ID]; !twice {
					firsts[m.ID] = m
				}
			}
			someone := false
			for _, m := range firsts {
				someone = someone || ready(m)
			}
			if someone && len(after) > 0 && !slices.ContainsFunc(after, func(l Endpoint) bool { return ready(l.Member) }) {
				t.Fatalf("nobody ready of %v is in force: %v", last, after)
			}
		}
	})
}

func TestOptionsMayChange(t *testing.T) {
	k := New(Options{Hold: time.Hour})
	k.HandleList(0, of("a"))
	k.SetOptions(Options{Hold: time.Second})
	if !k.HandleFailure(time.Second) {
		t.Error("the old time holds")
	}
}
