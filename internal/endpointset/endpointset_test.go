package endpointset

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func member(id string) Member { return Member{ID: id, Addr: id + ":1"} }

func members(ids ...string) (list []Member) {
	for _, id := range ids {
		list = append(list, member(id))
	}
	return list
}

func idsInForce(set *Set) (ids []string) {
	for _, e := range set.Endpoints() {
		ids = append(ids, e.ID)
	}
	return ids
}

func expectInForce(t *testing.T, set *Set, want ...string) {
	t.Helper()
	if got := idsInForce(set); !slices.Equal(got, want) {
		t.Errorf("in force: %v, want %v", got, want)
	}
}

var testOptions = Options{Hold: time.Minute, Damp: time.Second}

func TestEmptyListTakesEffectAfterHold(t *testing.T) {
	set := New(testOptions)
	if _, ok := set.NextChange(); set.HandleFailure(0) || ok {
		t.Error("a set that was always empty holds something")
	}
	set.HandleList(time.Second, members("a", "b"))
	if set.HandleList(2*time.Second, nil) || set.HandleFailure(60*time.Second) {
		t.Error("changed before the hold was over")
	}
	expectInForce(t, set, "a", "b")
	if at, ok := set.NextChange(); !ok || at != 61*time.Second {
		t.Errorf("next change at %v, %v", at, ok)
	}
	if !set.Tick(61 * time.Second) {
		t.Error("not changed when the hold was over")
	}
	expectInForce(t, set)
	if _, ok := set.NextChange(); ok {
		t.Error("a change is due in an empty set")
	}
	set.HandleList(62*time.Second, members("a"))
	expectInForce(t, set, "a")
}

func TestListWithMembersEndsHold(t *testing.T) {
	set := New(testOptions)
	set.HandleList(0, members("a"))
	set.HandleFailure(50 * time.Second)
	set.HandleList(55*time.Second, members("a"))
	if _, ok := set.NextChange(); ok || set.Tick(10*time.Minute) {
		t.Error("the failure before the list still has an effect")
	}
	expectInForce(t, set, "a")
}

// A member that is new since the first list may need to warm up, and so may one that has moved to another address.
func TestNewAndMovedMembersHaveSince(t *testing.T) {
	set := New(testOptions)
	set.HandleList(5, members("a"))
	moved := Member{ID: "a", Addr: "elsewhere:1"}
	set.HandleList(7, []Member{moved, member("b")})
	if e := set.Endpoints(); e[0].Since != 7 || e[1].Since != 7 {
		t.Errorf("%+v", e)
	}
	inZone := moved
	inZone.Zone = "z"
	set.HandleList(9, []Member{inZone, member("b")})
	if e := set.Endpoints(); e[0].Since != 7 || e[0].Zone != "z" {
		t.Errorf("after a change of its zone alone: %+v", e[0])
	}
}

func TestSetOptionsAppliesToNextFailure(t *testing.T) {
	set := New(Options{Hold: time.Hour})
	set.HandleList(0, members("a"))
	set.SetOptions(Options{Hold: time.Second})
	if !set.HandleFailure(time.Second) {
		t.Error("the former hold is in effect")
	}
}

// Whatever a source returns: endpoints in force are in the last list that was believed, a member that a list lacks is out at once,
// and while a member is listed as ready one that is ready is in force.
func TestEndpointsInForceAreListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := New(Options{Hold: time.Duration(rapid.IntRange(0, 50).Draw(t, "hold")), Damp: time.Duration(rapid.IntRange(0, 9).Draw(t, "damp"))})
		now, lastListAt := time.Duration(1), time.Duration(0)
		var lastList []Member
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "later"))
			before := set.Endpoints()
			changed := false
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				changed = set.HandleFailure(now)
			case 1:
				changed = set.Tick(now)
			default:
				list := rapid.SliceOfN(rapid.Custom(drawMember), 0, 4).Draw(t, "list")
				changed = set.HandleList(now, list)
				if len(list) > 0 {
					lastList, lastListAt = list, now
				}
			}
			after := set.Endpoints()
			if changed == slices.Equal(before, after) {
				t.Fatalf("changed is %v: %v, then %v", changed, before, after)
			}
			if len(lastList) > 0 && now < lastListAt+set.options.Hold && len(after) == 0 {
				t.Fatalf("empty %v after a list with members", now-lastListAt)
			}
			checkListed(t, after, lastList)
		}
	})
}

func drawMember(t *rapid.T) Member {
	return Member{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Draining: rapid.Bool().Draw(t, "draining")}
}

// checkListed checks endpoints in force against the last list with members.
func checkListed(t *rapid.T, inForce []Endpoint, list []Member) {
	for _, e := range inForce {
		if !slices.Contains(list, e.Member) {
			t.Fatalf("%v is in force, and is not listed in %v", e, list)
		}
	}
	firstByID := map[string]Member{}
	for _, m := range list {
		if _, isDuplicate := firstByID[m.ID]; !isDuplicate {
			firstByID[m.ID] = m
		}
	}
	isReadyListed := false
	for _, m := range firstByID {
		isReadyListed = isReadyListed || !m.Draining
	}
	if isReadyListed && len(inForce) > 0 && !slices.ContainsFunc(inForce, func(e Endpoint) bool { return !e.Draining }) {
		t.Fatalf("no ready member of %v is in force: %v", list, inForce)
	}
}
