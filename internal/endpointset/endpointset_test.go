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

func activeIDs(set *Set) (ids []string) {
	for _, e := range set.Endpoints() {
		ids = append(ids, e.ID)
	}
	return ids
}

func expectActive(t *testing.T, set *Set, want ...string) {
	t.Helper()
	if got := activeIDs(set); !slices.Equal(got, want) {
		t.Errorf("active members %v, want %v", got, want)
	}
}

var testOptions = Options{HoldLastGood: time.Minute, FlapDamping: time.Second}

func TestEmptyListTakesEffectAfterHold(t *testing.T) {
	set := New(testOptions)
	if _, ok := set.NextChange(); set.HandleFailure(0) || ok {
		t.Error("a failure changes an empty set, or a change is due in it")
	}
	set.HandleList(time.Second, members("a", "b"))
	if set.HandleList(2*time.Second, nil) || set.HandleFailure(60*time.Second) {
		t.Error("the endpoints changed before the hold time was over")
	}
	expectActive(t, set, "a", "b")
	if at, ok := set.NextChange(); !ok || at != 61*time.Second {
		t.Errorf("next change at %v (due: %v), want at 1m1s", at, ok)
	}
	if !set.Tick(61 * time.Second) {
		t.Error("the endpoints did not change when the hold time was over")
	}
	expectActive(t, set)
	if _, ok := set.NextChange(); ok {
		t.Error("a change is due in an empty set")
	}
	set.HandleList(62*time.Second, members("a"))
	expectActive(t, set, "a")
}

func TestListWithMembersCancelsEarlierFailure(t *testing.T) {
	set := New(testOptions)
	set.HandleList(0, members("a"))
	set.HandleFailure(50 * time.Second)
	set.HandleList(55*time.Second, members("a"))
	if _, ok := set.NextChange(); ok || set.Tick(10*time.Minute) {
		t.Error("a failure before the last list still has an effect")
	}
	expectActive(t, set, "a")
}

// A member that was not in the first list may need slow start, and so may one whose address has changed.
func TestActiveSinceIsSetForNewMembersAndNewAddresses(t *testing.T) {
	set := New(testOptions)
	set.HandleList(5, members("a"))
	atNewAddress := Member{ID: "a", Addr: "elsewhere:1"}
	set.HandleList(7, []Member{atNewAddress, member("b")})
	if e := set.Endpoints(); e[0].ActiveSince != 7 || e[1].ActiveSince != 7 {
		t.Errorf("endpoints %+v, want both active since instant 7", e)
	}
	inNewZone := atNewAddress
	inNewZone.Zone = "z"
	set.HandleList(9, []Member{inNewZone, member("b")})
	if e := set.Endpoints(); e[0].ActiveSince != 7 || e[0].Zone != "z" {
		t.Errorf("after a change of the zone alone: %+v, want it in the new zone and active since instant 7", e[0])
	}
}

func TestSetOptionsAppliesToNextFailure(t *testing.T) {
	set := New(Options{HoldLastGood: time.Hour})
	set.HandleList(0, members("a"))
	set.SetOptions(Options{HoldLastGood: time.Second})
	if !set.HandleFailure(time.Second) {
		t.Error("the former hold time still applies")
	}
}

// For any sequence of responses, active endpoints are in the last list with members, a member that is missing from a list is removed
// at once, and some ready member is active as long as a ready member is listed.
func TestActiveEndpointsAreListed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := New(Options{HoldLastGood: time.Duration(rapid.IntRange(0, 50).Draw(t, "hold time")), FlapDamping: time.Duration(rapid.IntRange(0, 9).Draw(t, "flap damping"))})
		now, lastListAt := time.Duration(1), time.Duration(0)
		var lastList []Member
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "elapsed"))
			before := set.Endpoints()
			changed := false
			switch rapid.IntRange(0, 3).Draw(t, "call") {
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
				t.Fatalf("changed is %v, though the endpoints were %v and are %v", changed, before, after)
			}
			if len(lastList) > 0 && now < lastListAt+set.options.HoldLastGood && len(after) == 0 {
				t.Fatalf("no endpoint is active %v after a list with members, within the hold time", now-lastListAt)
			}
			checkActive(t, after, lastList)
		}
	})
}

func drawMember(t *rapid.T) Member {
	return Member{ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Draining: rapid.Bool().Draw(t, "draining")}
}

// checkActive checks that the active endpoints are in list, and that one of them is ready if a member of list is ready.
func checkActive(t *rapid.T, active []Endpoint, list []Member) {
	for _, e := range active {
		if !slices.Contains(list, e.Member) {
			t.Fatalf("%v is active, and is not in the list %v", e, list)
		}
	}
	firstByID := map[string]Member{}
	for _, m := range list {
		if _, isDuplicate := firstByID[m.ID]; !isDuplicate {
			firstByID[m.ID] = m
		}
	}
	listHasReady := false
	for _, m := range firstByID {
		listHasReady = listHasReady || !m.Draining
	}
	if listHasReady && len(active) > 0 && !slices.ContainsFunc(active, func(e Endpoint) bool { return !e.Draining }) {
		t.Fatalf("no ready member of the list %v is active: %v", list, active)
	}
}
