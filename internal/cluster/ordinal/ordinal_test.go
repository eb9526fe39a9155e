package ordinal

import (
	"testing"
	"time"

	"tuliprock/internal/cluster/swim"
)

func view(s swim.Connectivity, states map[string]swim.State) *swim.View {
	v := &swim.View{Self: "b", Connectivity: s}
	for _, name := range []string{"a", "b", "c"} {
		if state, ok := states[name]; ok {
			v.Members = append(v.Members, swim.Member{Update: swim.Update{Peer: swim.Peer{Name: name}, State: state}})
		}
	}
	return v
}

func TestMemberKeepsItsOrdinalUntilItLeftOrFailedForFailureHold(t *testing.T) {
	all := map[string]swim.State{"a": swim.Alive, "b": swim.Alive, "c": swim.Suspect}
	lost := map[string]swim.State{"a": swim.Failed, "b": swim.Alive, "c": swim.Alive}
	left := map[string]swim.State{"a": swim.Left, "b": swim.Alive, "c": swim.Alive}
	var s Tracker
	for i, step := range []struct {
		now            time.Duration
		v              *swim.View
		daemons, index int
		again          time.Duration
	}{
		{0, view(swim.FullyConnected, all), 3, 1, 0},
		{1, view(swim.PartlyConnected, lost), 3, 1, 1 + FailureHold}, // it may come back
		{2, view(swim.FullyConnected, all), 3, 1, 0},
		{3, view(swim.PartlyConnected, lost), 3, 1, 3 + FailureHold},
		{3 + FailureHold, view(swim.CutOff, lost), 3, 1, 0},          // who is cut off takes nobody's part
		{4 + FailureHold, view(swim.PartlyConnected, lost), 2, 0, 0}, // it was failed for long enough
		{5 + FailureHold, view(swim.FullyConnected, all), 3, 1, 0},   // who comes counts at once
		{6 + FailureHold, view(swim.FullyConnected, left), 2, 0, 0},  // who says goodbye does so for good
		{7 + FailureHold, view(swim.FullyConnected, all), 3, 1, 0},
		{8 + FailureHold, view(swim.FullyConnected, map[string]swim.State{"b": swim.Alive}), 3, 1, 8 + 2*FailureHold}, // forgotten before it was failed for long enough
		{9 + 2*FailureHold, view(swim.FullyConnected, map[string]swim.State{"b": swim.Alive}), 1, 0, 0},
	} {
		if daemons, index, again := s.Update(step.now, step.v); daemons != step.daemons || index != step.index || again != step.again {
			t.Errorf("step %d: %d of %d, again at %v; want %d of %d, %v", i, index, daemons, again, step.index, step.daemons, step.again)
		}
	}
}
