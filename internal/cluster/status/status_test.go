package status

import (
	"bytes"
	"io"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/swim"
)

func TestSettingsAreTheSameAfterWriteAndParse(t *testing.T) {
	want := &Settings{
		Format: 1, ActiveVersion: 3, HasLease: true, LeaseMs: 70, IsVoter: true, Leader: "s0", AppliedVersion: 5, PendingVersion: 4, Term: 9, OldestActiveVersion: 2,
		RejectedVersion: 4, RejectionReason: "no such field: x", RejectedRequests: 3, KnownVoters: "a,b,c", ActiveVoters: "a,b",
		LaggingDaemons: []LaggingDaemon{{"a", "it can't act: 50 %"}, {"b", ""}},
		Documents:      []Document{{"out/x", 2, "s1", 0, "e3"}, {"out/y", 3, "s2", 7, "e4"}},
	}
	var text strings.Builder
	if err := want.Write(&text); err != nil {
		t.Fatal(err)
	}
	got := &Settings{Format: 1}
	err := readResponse(strings.NewReader(text.String()+endOfResponse+"\n"), got.parseLine)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v; want %+v", got, err, want)
	}
}

func TestFleetIsTheSameAfterWriteAndParse(t *testing.T) {
	v := &swim.View{Number: 7, Self: "s1", Connectivity: swim.PartlyConnected, ElderAddr: "127.0.0.9:1", Members: []swim.Member{
		testMember("s1", "[::1]:7", swim.Alive, 3, time.Second),
		testMember("s2", "127.0.0.1:8", swim.Failed, 9, 2*time.Second),
	}}
	want := FleetFromView(v, 3*time.Second, 2, 1)
	var text strings.Builder
	if err := want.Write(&text); err != nil {
		t.Fatal(err)
	}
	// A daemon of a later version may send more fields and more lines, which the parser must ignore.
	extendedResponse := strings.Replace(text.String(), "view=7", "view=7 more=x", 1) + "news of a later version=1\n" + endOfResponse + "\n"
	got, err := readFleet(strings.NewReader(extendedResponse))
	if err != nil || !reflect.DeepEqual(got, want) || got.Peers[1].StateAgeMs != 1000 {
		t.Errorf("got %+v, error %v; want %+v, with 1000 ms since s2 failed", got, err, want)
	}
	for _, test := range []struct{ name, response, wantError string }{
		{"response without an end line", text.String(), "no end"},
		{"failure of the daemon", "FAILURE this daemon is in no fleet\n", "no fleet"},
		{"value that is not a number", "fleet view=x\n" + endOfResponse, "view=x"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := readFleet(strings.NewReader(test.response))
			if err == nil || !strings.Contains(err.Error(), test.wantError) {
				t.Errorf("%q: got error %v, want one that contains %q", test.response, err, test.wantError)
			}
		})
	}
}

// testMember returns a member that entered its state at the instant since by the failure detector's clock.
func testMember(name, addr string, state swim.State, incarnation uint64, since time.Duration) swim.Member {
	return swim.Member{
		Update: swim.Update{
			Peer: swim.Peer{Name: name, Addr: netip.MustParseAddrPort(addr)}, State: state, Incarnation: incarnation,
		},
		StateSince: since,
	}
}

// readFleet parses the lines of a daemon's response into a Fleet, as FetchFleet does.
func readFleet(r io.Reader) (*Fleet, error) {
	f := &Fleet{Format: 1}
	return f, readResponse(r, f.parseLine)
}

func TestCommandResultIsTheSameAfterWriteAndParse(t *testing.T) {
	body := bytes.Repeat([]byte("all bytes \x00\xff\n"), 2*bodyBytesPerLine/10)
	sent := consensus.CommandResult{Version: 9, Doc: &consensus.Document{Name: "shared", Version: 7, Body: body},
		History: []consensus.HistoryEntry{
			{Version: 1, Name: "a", Digest: [32]byte{1}, Bytes: 5, ProposedBy: "s", AtUnixMilli: 12, RevertedTo: 3},
			{Version: 2, Name: "a"},
		}}
	var text strings.Builder
	if err := WriteResult(&text, sent); err != nil {
		t.Fatal(err)
	}
	got := &CommandResult{}
	if err := readResponse(strings.NewReader(text.String()+endOfResponse+"\n"), got.parseLine); err != nil {
		t.Fatal(err)
	}
	if got.Version != 9 || got.Name != "shared" || got.PutVersion != 7 || !bytes.Equal(got.Body, body) {
		t.Errorf("got %+v, want version 9 and the document shared of version 7 with its body of %d bytes", got, len(body))
	}
	if h := got.History; len(h) != 2 || h[0].IsRemoval() || !h[1].IsRemoval() || h[0].RevertedTo != 3 {
		t.Errorf("got history %+v, want two changes: one that reverts to version 3, and a removal", h)
	}
	if err := (&CommandResult{}).parseLine("body text=!!"); err == nil {
		t.Error("a body that is not base64 was accepted")
	}
}
