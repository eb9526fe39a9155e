package hotrestart

import (
	"testing"
	"time"
)

func TestLifecycleChoosesPhaseByViewListsAndConnections(t *testing.T) {
	alone, withOlder, superseded := View{}, View{Others: []int{1}}, View{Others: []int{2}, Superseded: true}
	type update struct {
		now              time.Duration
		view             View
		hasEndpointLists bool
		connections      int
		want             Phase
	}
	const s = time.Second
	for name, updates := range map[string][]update{
		"alone": {
			{0, alone, false, 0, Serving},
			{s, alone, true, 5, Serving},
		},
		"a successor waits until the older process has polled": {
			{0, withOlder, true, 0, Starting},
			{successorMinStartingTime, withOlder, true, 0, Serving},
			{s, withOlder, true, 9, Serving},
		},
		"the endpoint lists stay incomplete": {
			{s, withOlder, false, 0, Starting},
			{endpointListTimeout, withOlder, false, 0, Serving},
		},
		"the older process dies while the successor starts": {
			{0, withOlder, false, 0, Starting},
			{1, alone, false, 0, Serving},
		},
		"a superseded process drains its connections": {
			{0, alone, true, 5, Serving},
			{s, superseded, true, 5, Draining},
			{9 * s, superseded, true, 1, Draining},
			{10 * s, superseded, true, 0, Finished},
		},
		"a superseded process without connections drains for minDrainTime": {
			{0, alone, true, 0, Serving},
			{s, superseded, true, 0, Draining},
			{s + minDrainTime - 1, superseded, true, 0, Draining},
			{s + minDrainTime, superseded, true, 0, Finished},
		},
		"the successor dies and another one starts": {
			{0, alone, true, 5, Serving},
			{s, superseded, true, 5, Draining},
			{2 * s, alone, true, 0, Serving},
			{3 * s, superseded, true, 0, Draining},
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLifecycle(0)
			for i, u := range updates {
				previous := l.Phase()
				hasChanged := l.Update(u.now, u.view, u.hasEndpointLists, u.connections)
				if l.Phase() != u.want || hasChanged != (previous != u.want) {
					t.Errorf("update %d: phase %d, reported as changed: %v; the phase was %d, want %d", i, l.Phase(), hasChanged, previous, u.want)
				}
			}
		})
	}
}
