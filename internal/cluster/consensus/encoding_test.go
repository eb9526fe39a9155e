package consensus

import (
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// zeroDigest is the JSON encoding of a digest of zeros.
var zeroDigest = "[" + strings.Repeat("0,", 31) + "0]"

// The JSON names of fields in messages and in stored data must not change: daemons of other builds read the messages,
// and later builds read the data on the disks. A Go field may be renamed; its JSON name may not.
func TestEncodedFieldNamesAreFixed(t *testing.T) {
	expectedVersion := uint64(3)
	document := Document{Name: "a", Version: 2, ProposedBy: "op", Body: []byte("xy")}
	entry := HistoryEntry{Version: 4, Name: "a", Bytes: 2, ProposedBy: "op", AtUnixMilli: 9, RevertedTo: 1}
	documentJSON := `{"name":"a","version":2,"digest":` + zeroDigest + `,"by":"op","body":"eHk="}`
	entryJSON := `{"version":4,"name":"a","digest":` + zeroDigest + `,"bytes":2,"by":"op","at":9,"back":1}`
	for _, c := range []struct {
		name  string
		value any
		want  string
	}{
		{
			"lease request",
			LeaseRequest{
				Daemon: "d", Seq: 1, ReadyVersion: 2, InstalledVersion: 3, AcceptedSeq: 4,
				RejectedVersion: 5, RejectReason: "w", DiskID: "m",
			},
			`{"Daemon":"d","Seq":1,"Has":2,"Acts":3,"Took":4,"Declines":5,"Why":"w","Mark":"m"}`,
		},
		{"empty lease request", LeaseRequest{}, `{"Daemon":"","Seq":0,"Has":0,"Acts":0,"Took":0}`},
		{
			"lease grant",
			LeaseGrant{
				Seq: 1, Version: 2, ActiveDocs: map[string]Document{"a": document},
				PendingVersion: 3, PendingDocs: map[string]Document{"a": document}, Duration: time.Second,
				SlotHolders: []string{"v"}, ActiveVoters: []string{"s"}, VoterID: 4,
				MayStartVoter: true, InitialVoters: []string{"f"}, DiskLost: true,
				OldestActiveVersion: 5, Lagging: []LaggingDaemon{{"l", "y"}},
			},
			`{"Seq":1,"Version":2,"Docs":{"a":` + documentJSON + `},` +
				`"Next":3,"Coming":{"a":` + documentJSON + `},"Lease":1000000000,` +
				`"Voters":["v"],"Sitting":["s"],"Seat":4,` +
				`"Begins":true,"First":["f"],"Lost":true,` +
				`"All":5,"Lags":[{"Daemon":"l","Why":"y"}]}`,
		},
		{
			"empty lease grant",
			LeaseGrant{},
			`{"Seq":0,"Version":0,"Docs":null,"Next":0,"Coming":null,"Lease":0,"Voters":null,"Sitting":null,"Seat":0,` +
				`"Begins":false,"First":null,"Lost":false,"All":0,"Lags":null}`,
		},
		{
			"command",
			Command{
				Format: 2, ID: "i", ExpectedVersion: &expectedVersion, ProposedBy: "op", AtUnixMilli: 9,
				Put: &DocumentPut{"a", []byte("xy")}, Remove: "r", Revert: &DocumentVersion{"a", 1}, ForceVersion: 1, SkipVersion: 2,
				ChangeVoter: &VoterChange{"v", true}, ClaimSlot: &SlotClaim{7, "m"}, Read: &DocumentVersion{"a", 0}, ActivateVersion: 5,
			},
			`{"format":2,"id":"i","expect":3,"by":"op","at":9,` +
				`"put":{"name":"a","body":"eHk="},"remove":"r","back":{"name":"a","version":1},"force":1,"skip":2,` +
				`"seat":{"name":"v","out":true},"mark":{"seat":7,"mark":"m"},"read":{"name":"a"},"activate":5}`,
		},
		{"empty command", Command{}, `{"format":0}`},
		{
			"command result",
			CommandResult{Version: 1, Unchanged: true, Doc: &document, History: []HistoryEntry{entry}},
			`{"version":1,"same":true,"doc":` + documentJSON + `,"history":[` + entryJSON + `]}`,
		},
		{
			"bootstrap vote",
			BootstrapVote{HasBegun: true, DiskID: "m", DiskIDs: map[string]string{"v": "m"}},
			`{"begun":true,"mark":"m","marks":{"v":"m"}}`,
		},
		{
			"state",
			State{
				Version: 1, PendingVersion: 2, ActiveVersion: 3, ForcedVersion: 4,
				Docs: map[string]Document{"a": document}, PendingDocs: map[string]Document{}, ActiveDocs: map[string]Document{},
				History: []HistoryEntry{entry}, RetainedDocs: []Document{document},
				RecentResults: []recentResult{{"i", CommandResult{Version: 1}}},
				VoterSlots:    map[uint64]string{1: "v"}, ActiveVoters: map[uint64]bool{1: true}, DepartingVoters: map[uint64]string{2: "w"},
				DiskIDs: map[uint64]string{3: "m"}, LastVoterID: 3, InitialVoters: []string{"v"},
			},
			`{"version":1,"coming":2,"active":3,"forced":4,"docs":{"a":` + documentJSON + `},"next":{},"acted":{},` +
				`"history":[` + entryJSON + `],"kept":[` + documentJSON + `],"ids":[{"id":"i","version":1}],` +
				`"seats":{"1":"v"},"sitting":{"1":true},"leaving":{"2":"w"},` +
				`"marks":{"3":"m"},"last_seat":3,"first":["v"]}`,
		},
		{
			"state in a snapshot",
			snapshotState{State: State{}, Bodies: map[string][]byte{"00": []byte("xy")}},
			`{"version":0,"coming":0,"active":0,"forced":0,"docs":null,"next":null,"acted":null,` +
				`"history":null,"kept":null,"ids":null,"seats":null,"sitting":null,"leaving":null,` +
				`"marks":null,"last_seat":0,"first":null,"bodies":{"00":"eHk="}}`,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := json.Marshal(c.value)
			if err != nil {
				t.Fatal(err)
			}
			if string(got) != c.want {
				t.Errorf("encoded as\n%s, want\n%s", got, c.want)
			}
		})
	}
}

// The record types of a durable log and the encoding of a snapshot's body must not change, since later builds read them.
func TestStoredRecordFormIsFixed(t *testing.T) {
	if got := string([]byte{recordHardState, recordEntry, recordSnapshotMarker}); got != "hem" {
		t.Errorf("record types %q, want %q", got, "hem")
	}
	if got := string(joinParts([]byte("ab"), nil, []byte("c"))); got != "\x02ab\x00\x01c" {
		t.Errorf("joined parts %q, want %q", got, "\x02ab\x00\x01c")
	}
}
