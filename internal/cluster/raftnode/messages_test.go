package raftnode

import (
	"encoding/json"
	"fmt"
	"testing"

	"tuliprock/internal/cluster/consensus"
)

// Daemons of different builds exchange messages, so the encoding of their bodies must not change.
func TestMessageBodiesKeepTheirEncoding(t *testing.T) {
	for _, c := range []struct {
		name string
		body any
		want string
	}{
		{
			name: "result of a committed command",
			body: proposalResult{ID: "a", CommandResult: consensus.CommandResult{Version: 7, Unchanged: true}},
			want: `{"ID":"a","version":7,"same":true,"Err":""}`,
		},
		{
			name: "result of a rejected command",
			body: proposalResult{ID: "b", Error: "no"},
			want: `{"ID":"b","version":0,"Err":"no"}`,
		},
		{
			name: "bootstrap vote of a voter that has not created its log",
			body: bootstrapMessage{Round: 3, IsRequest: true, Vote: consensus.BootstrapVote{DiskID: "m"}},
			want: `{"round":3,"asks":true,"word":{"begun":false,"mark":"m","marks":null}}`,
		},
		{
			name: "bootstrap vote of a voter that has created its log",
			body: bootstrapMessage{Round: 4, Vote: consensus.BootstrapVote{HasBegun: true, DiskIDs: map[string]string{"a": "m"}}},
			want: `{"round":4,"asks":false,"word":{"begun":true,"mark":"","marks":{"a":"m"}}}`,
		},
		{
			name: "report that the cluster exists",
			body: bootstrapMessage{Round: 5, Cluster: &consensus.ClusterReport{Exists: true, Voters: []string{"a"}}},
			want: `{"round":5,"asks":false,"word":{"begun":false,"mark":"","marks":null},"cluster":{"exists":true,"voters":["a"]}}`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := json.Marshal(c.body)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != c.want {
				t.Errorf("encoded as %s, want %s", got, c.want)
			}
		})
	}
}

// In a large fleet a round asks some of the members, and the rounds together all.
func TestBootstrapRoundsAskAllMembersInTurn(t *testing.T) {
	var members []string
	for i := range 3*maxReportsPerRound + 5 {
		members = append(members, fmt.Sprint("m", i))
	}
	b, asked := &bootstrap{}, map[string]bool{}
	for range 4 {
		names := b.membersToAsk(members)
		if len(names) != maxReportsPerRound {
			t.Errorf("a round asks %d members, want %d", len(names), maxReportsPerRound)
		}
		for _, name := range names {
			asked[name] = true
		}
	}
	if len(asked) != len(members) {
		t.Errorf("four rounds ask %d members, want all %d", len(asked), len(members))
	}
}
