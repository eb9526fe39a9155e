package raftnode

import (
	"fmt"
	"net/netip"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/simdisk"
	"tuliprock/internal/testkit/testpeer"
)

const (
	founding1 foundingID = "0011223344556677"
	founding2 foundingID = "8899aabbccddeeff"
)

// An initial voter without its disk that is cut off from all others bootstraps the cluster a second time. When it reaches the others
// again, their daemons must not take its leases, and it must not take their commands.
func TestSecondBootstrapOfAClusterIsKeptApart(t *testing.T) {
	c := newTestClusterOf(t, 3, "s0")
	firstVersion := c.put(1, "a", "first")
	c.waitUntilAllNodesActOn(firstVersion, "first")
	c.nodes[0].Close()
	abort(t, c.transports[0])
	c.disks[0] = simdisk.New()
	o := testTransportOptions("s0")
	c.transports[0] = startTestTransport(t, o)
	c.start(0)
	lastVersion := firstVersion
	for i := range 3 { // its versions get higher numbers than those of the first bootstrap
		lastVersion = c.put(0, fmt.Sprint("b", i), "second")
	}
	c.waitUntilNodesActOn(c.nodes[:1], lastVersion, "second")

	o.Join = []netip.AddrPort{c.transports[1].Addr(), c.transports[2].Addr()}
	c.transports[0].Reconfigure(o)
	c.waitForDroppedMessages(0, 10) // several lease requests of s1 and s2
	grant := consensus.LeaseGrant{Version: lastVersion, SlotHolders: []string{"s0"}, ActiveVoters: []string{"s0"}}
	c.nodes[0].submit(t.Context(), func() { c.nodes[0].sendInCluster("s1", kindLeaseGrant, grant) })
	c.waitForDroppedMessages(1, 1)
	for _, n := range c.nodes[1:] {
		if leased, _ := n.Valid(); leased.Version != firstVersion || string(leased.Docs[testDocument].Body) != "first" {
			t.Errorf("%s acts on version %d, %q, of the second bootstrap", n.options.Name, leased.Version, leased.Docs[testDocument].Body)
		}
	}
}

// waitForDroppedMessages waits until node i has dropped at least count messages of another bootstrap.
func (c *testCluster) waitForDroppedMessages(i int, count uint64) {
	c.t.Helper()
	testpeer.Eventually(c.t, fmt.Sprintf("s%d drops %d messages of another bootstrap", i, count), func() bool {
		dropped := make(chan uint64, 1)
		c.nodes[i].submit(c.t.Context(), func() { dropped <- c.nodes[i].otherClusterMessages })
		return <-dropped >= count
	})
}

func TestFoundingIDFollowsFromTheDisksOfAllInitialVoters(t *testing.T) {
	names := []string{"b", "a"}
	id := newFoundingID(names, map[string]string{"a": "1", "b": "2"})
	if !id.isValid() || id != newFoundingID([]string{"a", "b"}, map[string]string{"a": "1", "b": "2", "c": "3"}) {
		t.Errorf("id %q, want a valid one that depends on the initial voters' disks alone", id)
	}
	if other := newFoundingID(names, map[string]string{"a": "1", "b": "3"}); !id.isOther(other) {
		t.Errorf("the ids %q and %q, of different disks, are taken for the same", id, other)
	}
	if unknown := newFoundingID(names, map[string]string{"a": "1"}); unknown != "" || id.isOther(unknown) {
		t.Errorf("id %q without the disk of b, want none, which is no other", unknown)
	}
}

// Daemons of earlier builds send messages without an id, and ignore the field of those that have one.
func TestMessagesCarryFoundingIDAsAnAdditionalField(t *testing.T) {
	const object = `{"Daemon":"d","Seq":1}`
	with := prependFounding(founding1, []byte(object))
	if id, rest := cutFounding(with); string(with) != `{"founding":"0011223344556677","Daemon":"d","Seq":1}` || id != founding1 || string(rest) != object {
		t.Errorf("encoded as %s, decoded as %q and %s", with, id, rest)
	}
	for _, text := range []string{object, `{"founding":"zz",}`, `{"founding":"0011223344556677"}`, ``, `{}`} {
		if id, rest := cutFounding([]byte(text)); id != "" || string(rest) != text {
			t.Errorf("%s is decoded as %q and %s, want no id and the same text", text, id, rest)
		}
	}
	term := uint64(7)
	plain, err := proto.Marshal(&raftpb.Message{Term: &term})
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []foundingID{"", founding1} {
		message := &raftpb.Message{}
		if err := proto.Unmarshal(appendRaftFounding(plain, want), message); err != nil {
			t.Fatal(err)
		}
		if got := takeRaftFounding(message); got != want || message.GetTerm() != term || len(message.ProtoReflect().GetUnknown()) != 0 {
			t.Errorf("a raft message with %q is decoded with %q, term %d", want, got, message.GetTerm())
		}
	}
}

// A voter must take no raft message of another bootstrap: its sender may have voted in the same terms for another log.
func TestRaftMessageOfAnotherBootstrapIsDropped(t *testing.T) {
	disk := simdisk.New()
	n := &Node{options: Options{Name: "a", Disk: disk, Lease: testLeaseConfig, Log: discardLog}}
	var err error
	names := []string{"a", "b", "c"}
	n.localVoter, err = n.createVoter(0, newInitialVoterIdentity("a", names, map[string]string{"a": "1", "b": "2", "c": "3"}))
	if err != nil {
		t.Fatal(err)
	}
	defer n.localVoter.log.Close()
	to, from, term, kind := uint64(1), uint64(2), uint64(9), raftpb.MessageType_MsgHeartbeat
	body, err := proto.Marshal(&raftpb.Message{Type: &kind, To: &to, From: &from, Term: &term})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		founding foundingID
		wantTerm uint64
	}{{founding2, 0}, {n.foundingID(), term}} {
		message := appendRaftFounding(append(n.localVoter.clusterID[:], body...), c.founding)
		n.handleRaft(0, transport.Message{From: "b", Kind: kindRaft, Body: message})
		n.localVoter.voter.Output(0)
		if got := n.localVoter.voter.Term(); got != c.wantTerm {
			t.Errorf("term %d after a message of founding %q, want %d", got, c.founding, c.wantTerm)
		}
	}
}

// A voter that an earlier build added to the voters does not know the id. It learns it from a leader, and keeps it.
func TestVoterOfEarlierBuildLearnsFoundingID(t *testing.T) {
	disk := simdisk.New()
	n := &Node{options: Options{Name: "d", Disk: disk, Lease: testLeaseConfig, Log: discardLog}}
	var err error
	if n.localVoter, err = n.createVoter(0, &identity{name: "d", voterID: 4}); err != nil {
		t.Fatal(err)
	}
	defer n.localVoter.log.Close()
	for _, id := range []foundingID{"", founding1, founding2} {
		n.learnFounding(id)
	}
	text, err := readFile(disk, identityFile, maxIdentityBytes)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := parseIdentity(string(text))
	if err != nil || stored.founding != founding1 || stored.voterID != 4 || n.foundingID() != founding1 {
		t.Errorf("stored identity %+v, error %v, id %q, want %q", stored, err, n.foundingID(), founding1)
	}
}

// Initial voters without their disks learn of the loss one after another. One that has learned of it must still answer the others, or they
// would wait for its vote for ever.
func TestInitialVoterWithLostDiskStillAnswersTheOthers(t *testing.T) {
	n := &Node{options: Options{Name: "a", InitialVoters: []string{"a", "b"}, Disk: simdisk.New(), Log: discardLog}, diskID: "1"}
	n.bootstrap = &bootstrap{Bootstrap: consensus.NewBootstrap("a", "1", n.options.InitialVoters)}
	vote := consensus.BootstrapVote{DiskID: "2"}
	for range 2 { // the loss is concluded in the round after the report that the cluster exists
		round := n.bootstrap.StartRound(nil, 0)
		n.bootstrap.ReceiveReport("d", round, consensus.ClusterReport{Exists: true})
		n.bootstrap.ReceiveVote("b", round, vote)
	}
	n.decideBootstrap(0)
	if answer := n.bootstrapAnswer(7); n.bootstrap != nil || answer.Vote.DiskID != "1" || answer.Vote.HasBegun || !answer.Cluster.Exists {
		t.Errorf("answer %+v with the report %+v, want the vote of disk 1, not begun, and that the cluster exists", answer, answer.Cluster)
	}
}
