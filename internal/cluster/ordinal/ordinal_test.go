package ordinal

import (
	"testing"
	"time"

	"tuliprock/internal/cluster/swim"
)

// viewOfB returns the cluster as member b sees it. The map states has the state of each member in the view by name: a, b or c.
func viewOfB(connectivity swim.Connectivity, states map[string]swim.State) *swim.View {
	v := &swim.View{Self: "b", Connectivity: connectivity}
	for _, name := range []string{"a", "b", "c"} {
		if state, ok := states[name]; ok {
			v.Members = append(v.Members, swim.Member{Update: swim.Update{Peer: swim.Peer{Name: name}, State: state}})
		}
	}
	return v
}

// Guards against limits that are divided anew whenever a member fails for a moment. The cases build on one another: each
// case passes another view to the same Tracker.
func TestMemberIsCountedUntilItLeftOrFailedForFailureHold(t *testing.T) {
	allPresent := map[string]swim.State{"a": swim.Alive, "b": swim.Alive, "c": swim.Suspect}
	aFailed := map[string]swim.State{"a": swim.Failed, "b": swim.Alive, "c": swim.Alive}
	aLeft := map[string]swim.State{"a": swim.Left, "b": swim.Alive, "c": swim.Alive}
	onlyB := map[string]swim.State{"b": swim.Alive}
	var tracker Tracker
	for _, step := range []struct {
		name           string
		now            time.Duration
		view           *swim.View
		count, ordinal int
		nextUpdate     time.Duration
	}{
		{"all present", 0, viewOfB(swim.FullyConnected, allPresent), 3, 1, 0},
		{"a failed member still counts", 1, viewOfB(swim.PartlyConnected, aFailed), 3, 1, 1 + FailureHold},
		{"the failed member is present again", 2, viewOfB(swim.FullyConnected, allPresent), 3, 1, 0},
		{"the member fails again", 3, viewOfB(swim.PartlyConnected, aFailed), 3, 1, 3 + FailureHold},
		{"a cut-off daemon keeps counting a member that failed for FailureHold", 3 + FailureHold, viewOfB(swim.CutOff, aFailed), 3, 1, 0},
		{"a member that failed for FailureHold does not count", 4 + FailureHold, viewOfB(swim.PartlyConnected, aFailed), 2, 0, 0},
		{"a member that joins counts at once", 5 + FailureHold, viewOfB(swim.FullyConnected, allPresent), 3, 1, 0},
		{"a member that left does not count", 6 + FailureHold, viewOfB(swim.FullyConnected, aLeft), 2, 0, 0},
		{"the member that left joins again", 7 + FailureHold, viewOfB(swim.FullyConnected, allPresent), 3, 1, 0},
		{"members that are unknown still count", 8 + FailureHold, viewOfB(swim.FullyConnected, onlyB), 3, 1, 8 + 2*FailureHold},
		{"members unknown for FailureHold do not count", 9 + 2*FailureHold, viewOfB(swim.FullyConnected, onlyB), 1, 0, 0},
	} {
		count, ordinal, nextUpdate := tracker.Update(step.now, step.view)
		if count != step.count || ordinal != step.ordinal || nextUpdate != step.nextUpdate {
			t.Errorf("%s: ordinal %d of %d, next update at %v; want ordinal %d of %d, next update at %v",
				step.name, ordinal, count, nextUpdate, step.ordinal, step.count, step.nextUpdate)
		}
	}
}
