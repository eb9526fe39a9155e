package hotrestart

import (
	"testing"
	"time"
)

func TestLifecyclePhases(t *testing.T) {
	alone, older, superseded := View{}, View{Others: []int{1}}, View{Others: []int{2}, Superseded: true}
	type update struct {
		at             time.Duration
		view           View
		isListComplete bool
		connections    int
		want           Phase
	}
	const s = time.Second
	for name, updates := range map[string][]update{
		"alone": {
			{0, alone, false, 0, Serving},
			{s, alone, true, 5, Serving},
		},
		"a successor waits to be noticed": {
			{0, older, true, 0, Starting},
			{successorNoticeTime, older, true, 0, Serving},
			{s, older, true, 9, Serving},
		},
		"the endpoint list does not come": {
			{s, older, false, 0, Starting},
			{endpointListTimeout, older, false, 0, Serving},
		},
		"the older ones die": {
			{0, older, false, 0, Starting},
			{1, alone, false, 0, Serving},
		},
		"superseded, drains its connections": {
			{0, alone, true, 5, Serving},
			{s, superseded, true, 5, Draining},
			{9 * s, superseded, true, 1, Draining},
			{10 * s, superseded, true, 0, Finished},
		},
		"superseded without connections, drains for the least time": {
			{0, alone, true, 0, Serving},
			{s, superseded, true, 0, Draining},
			{s + minDrainTime - 1, superseded, true, 0, Draining},
			{s + minDrainTime, superseded, true, 0, Finished},
		},
		"the successor dies": {
			{0, alone, true, 5, Serving},
			{s, superseded, true, 5, Draining},
			{2 * s, alone, true, 0, Serving},
			{3 * s, superseded, true, 0, Draining},
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewLifecycle(0)
			for i, u := range updates {
				before := l.Phase()
				hasChanged := l.Update(u.at, u.view, u.isListComplete, u.connections)
				if l.Phase() != u.want || hasChanged != (before != u.want) {
					t.Errorf("update %d: phase %d, changed %v, want %d", i, l.Phase(), hasChanged, u.want)
				}
			}
		})
	}
}
