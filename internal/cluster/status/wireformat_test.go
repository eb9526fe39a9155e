package status

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/swim"
)

// Guards against changes of the lines in a daemon's responses and of the JSON keys: operators and their scripts read both.
func TestWrittenLinesAndJSONStayTheSame(t *testing.T) {
	view := &swim.View{Number: 7, Self: "s1", Connectivity: swim.CutOff, ElderAddr: "127.0.0.9:1", Members: []swim.Member{
		testMember("s1", "[::1]:7", swim.Alive, 3, time.Second),
		testMember("s2", "127.0.0.1:8", swim.Left, 9, 9*time.Second),
	}}
	fleet := FleetFromView(view, 3*time.Second, 2, 1)
	settings := &Settings{
		Format: 1, ActiveVersion: 3, HasLease: true, LeaseMs: 70, IsVoter: true, IsLeader: true, Leader: "s0", AppliedVersion: 5, PendingVersion: 4,
		Term: 9, OldestActiveVersion: 2, RejectedVersion: 4, RejectionReason: "no such field: x", RejectedRequests: 3, KnownVoters: "a,b,c", ActiveVoters: "a,b",
		LaggingDaemons: []LaggingDaemon{{"a", "it can't act: 50 %"}}, Documents: []Document{{"out/x", 2, "s1", 5, "e3"}},
	}
	result := &CommandResult{
		Format: 1, Version: 9, IsUnchanged: true, Name: "shared", PutVersion: 7, Body: []byte("\x00a"),
		History: []HistoryEntry{{Version: 1, Name: "a", Bytes: 5, SHA256: "01", ProposedBy: "s", AtUnixMilli: 12, RevertedTo: 3}},
	}
	sent := consensus.CommandResult{
		Version: 9, Unchanged: true, Doc: &consensus.Document{Name: "shared", Version: 7, Body: []byte(strings.Repeat("a", 6001))},
		History: []consensus.HistoryEntry{{Version: 1, Name: "a", Digest: [32]byte{1}, Bytes: 5, ProposedBy: "s", AtUnixMilli: 12, RevertedTo: 3}},
	}
	writeToString := func(write func(*strings.Builder) error) string {
		t.Helper()
		var text strings.Builder
		if err := write(&text); err != nil {
			t.Fatal(err)
		}
		return text.String()
	}
	encodeJSON := func(v any) string {
		t.Helper()
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	}
	for _, test := range []struct{ name, got, want string }{
		{"fleet lines", writeToString(func(w *strings.Builder) error { return fleet.Write(w) }),
			"fleet self=s1 standing=cut-off view=7 daemons=2 index=1 elder=127.0.0.9:1\n" +
				"peer name=s1 address=[::1]:7 state=alive incarnation=3 since_ms=2000\n" +
				"peer name=s2 address=127.0.0.1:8 state=left incarnation=9 since_ms=0\n"},
		{"fleet lines without an older process", writeToString(func(w *strings.Builder) error { return (&Fleet{Self: "a", Connectivity: "whole"}).Write(w) }),
			"fleet self=a standing=whole view=0 daemons=0 index=0\n"},
		{"fleet JSON", encodeJSON(fleet),
			`{"format":1,"self":"s1","standing":"cut-off","elder":"127.0.0.9:1","view":7,"daemons":2,"index":1,"peers":[` +
				`{"name":"s1","address":"[::1]:7","state":"alive","incarnation":3,"since_ms":2000},` +
				`{"name":"s2","address":"127.0.0.1:8","state":"left","incarnation":9,"since_ms":0}]}`},
		{"settings lines", writeToString(func(w *strings.Builder) error { return settings.Write(w) }),
			"settings version=3 acting=true lease_ms=70 votes=true leads=true leader=s0 term=9 committed=5 coming=4 all=2 declined=4 " +
				"why=no+such+field%3A+x refused=3 voters=a,b,c sitting=a,b\n" +
				"lag daemon=a why=it+can%27t+act%3A+50+%25\n" +
				"document name=out/x version=2 by=s1 bytes=5 sha256=e3\n"},
		{"settings JSON", encodeJSON(settings),
			`{"format":1,"version":3,"acting":true,"lease_ms":70,"votes":true,"leads":true,"leader":"s0","committed":5,"coming":4,"term":9,` +
				`"all":2,"declined":4,"why":"no such field: x","refused":3,"voters":"a,b,c","sitting":"a,b",` +
				`"lags":[{"daemon":"a","why":"it can't act: 50 %"}],` +
				`"documents":[{"name":"out/x","version":2,"by":"s1","bytes":5,"sha256":"e3"}]}`},
		{"settings JSON without optional fields", encodeJSON(&Settings{}),
			`{"format":0,"version":0,"acting":false,"lease_ms":0,"votes":false,"leads":false,"leader":"","committed":0,"coming":0,"term":0,` +
				`"all":0,"refused":0,"voters":"","sitting":"","lags":null,"documents":null}`},
		{"command result lines", writeToString(func(w *strings.Builder) error { return WriteResult(w, sent) }),
			"answer version=9 same=true\n" +
				"change version=1 name=a bytes=5 sha256=01" + strings.Repeat("0", 62) + " by=s at_ms=12 back=3\n" +
				"document name=shared version=7\n" +
				"body text=" + strings.Repeat("YWFh", 2000) + "\n" +
				"body text=YQ\n"},
		{"command result JSON", encodeJSON(result),
			`{"format":1,"version":9,"same":true,"name":"shared","put":7,"body":"AGE=","history":[` +
				`{"version":1,"name":"a","bytes":5,"sha256":"01","by":"s","at_ms":12,"back":3}]}`},
		{"command result JSON without optional fields", encodeJSON(&CommandResult{History: []HistoryEntry{{}}}),
			`{"format":0,"version":0,"history":[{"version":0,"name":"","bytes":0,"sha256":"","by":"","at_ms":0}]}`},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.got != test.want {
				t.Errorf("got  %s\nwant %s", test.got, test.want)
			}
		})
	}
}
