package fake

import (
	"encoding/json"
	"testing"
	"time"
)

// TestNodeSpecAndJobKeepFieldNamesInPrintedPlans guards against renames of Go fields that change the names that a node's or job's
// fields have in printed plans, which other tools read.
func TestNodeSpecAndJobKeepFieldNamesInPrintedPlans(t *testing.T) {
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{"node", NodeSpec{"n", "z", "k", 1, 2, 3, 1.5, 4, 5, 0.3, 6, 7.5, 8, 9, 10, 11, 0.25, nil},
			`{"ID":"n","Zone":"z","Kind":"k","Tier":1,"Cell":2,"Cores":3,"Speed":1.5,"Slots":4,"Room":5,"ColdFrom":0.3,` +
				`"ColdFor":6,"FallMultiple":7.5,"FallAfter":8,"Handshake":9,"IdleFor":10,"Conns":11,"ErrorRate":0.25,"Choke":null}`},
		{"overload", NodeSpec{Overload: &OverloadSpec{1.5, 2, 3.5, 4, 0.5, 6}},
			`{"ID":"","Zone":"","Kind":"","Tier":0,"Cell":0,"Cores":0,"Speed":0,"Slots":0,"Room":0,"ColdFrom":0,"ColdFor":0,` +
				`"FallMultiple":0,"FallAfter":0,"Handshake":0,"IdleFor":0,"Conns":0,"ErrorRate":0,` +
				`"Choke":{"At":1.5,"Over":2,"Slower":3.5,"Rest":4,"Below":0.5,"Most":6}}`},
		{"job", Job{time.Second, 2, []*Job{{Work: 3}}},
			`{"Work":1000000000,"Wait":2,"Calls":[{"Work":3,"Wait":0,"Calls":null}]}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := json.Marshal(c.value)
			if err != nil || string(got) != c.want {
				t.Errorf("got %s, error %v, want\n%s", got, err, c.want)
			}
		})
	}
}
