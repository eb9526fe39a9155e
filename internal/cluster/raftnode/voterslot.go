package raftnode

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/wal"
)

// voterSlot is a daemon's part in the voting.
type voterSlot struct {
	identity
	voter     *consensus.Voter
	log       *wal.Log
	peerNames map[uint64]string // of voters, as messages have told, until the log does
}

// identity is what a voter's directory says of itself in a file beside the log: whose it is, and in which fleet. It never changes.
// A first voter's has the names of all first voters, from which follow their ids; that of one which joined has the id that it was
// given, and the digest of the first voters' names.
type identity struct {
	name        string
	firstVoters []string // sorted; none: it joined
	id          uint64
	fleetID     [fleetIDSize]byte // of the first voters' names: messages of voters of another fleet are not heard
	marks       map[string]string // of the first voters, with which one of them began
}

const (
	identityFile     = "IDENTITY"
	maxIdentityBytes = 4096 // bytes: seven names have 500
	fleetIDSize      = 8
)

func newFleetID(names []string) (f [fleetIDSize]byte) {
	sum := sha256.Sum256([]byte(strings.Join(names, " ")))
	return [fleetIDSize]byte(sum[:])
}

func (i *identity) String() string {
	if len(i.firstVoters) > 0 {
		text := i.name + " of " + strings.Join(i.firstVoters, " ")
		for _, name := range slices.Sorted(maps.Keys(i.marks)) {
			text += "\n" + name + " " + i.marks[name]
		}
		return text
	}
	return fmt.Sprintf("%s joined as %d in %x", i.name, i.id, i.fleetID)
}

// parseIdentity undoes String.
func parseIdentity(text string) (*identity, error) {
	line, more, _ := strings.Cut(text, "\n")
	words := strings.Fields(line)
	i := &identity{marks: map[string]string{}}
	for line := range strings.Lines(more) {
		name, mark, _ := strings.Cut(strings.TrimSpace(line), " ")
		i.marks[name] = mark
	}
	switch {
	case len(words) > 2 && words[1] == "of":
		i.name, i.firstVoters = words[0], words[2:]
		if i.id = uint64(slices.Index(i.firstVoters, i.name) + 1); i.id > 0 {
			i.fleetID = newFleetID(i.firstVoters)
			return i, nil
		}
	case len(words) == 6 && words[1] == "joined" && words[4] == "in":
		founded, err := hex.DecodeString(words[5])
		id, idErr := strconv.ParseUint(words[3], 10, 64)
		if err == nil && idErr == nil && len(founded) == fleetIDSize && id > 0 {
			i.name, i.id, i.fleetID = words[0], id, [fleetIDSize]byte(founded)
			return i, nil
		}
	}
	return nil, fmt.Errorf("%s can't be read: %.100q", identityFile, text)
}

// startVoter opens what this daemon's disk has of a voter. Nil: it has nothing of one, and this daemon is none of the first.
func (n *Node) startVoter(now time.Duration) (*voterSlot, error) {
	text, err := readFile(n.options.Disk, identityFile, maxIdentityBytes)
	if err != nil {
		return nil, err
	}
	if text != nil {
		is, err := parseIdentity(string(text))
		if err == nil && is.name != n.options.Name {
			err = fmt.Errorf("it is that of %q, and this is %s", strings.TrimSpace(string(text)), n.options.Name)
		}
		if err != nil {
			return nil, err
		}
		n.bootstrapVote = &consensus.BootstrapVote{Begun: true, Marks: is.marks}
		return n.openVoter(now, is)
	}
	first := slices.Sorted(slices.Values(n.options.Voters))
	if n.diskMark, err = n.loadDiskMark(); err != nil || !slices.Contains(first, n.options.Name) {
		return nil, err
	}
	n.bootstrap = consensus.NewBootstrap(n.options.Name, n.diskMark, first)
	return nil, nil
}

// createVoter makes an empty directory a voter's.
func (n *Node) createVoter(now time.Duration, is *identity) (*voterSlot, error) {
	names, err := n.options.Disk.List()
	if err != nil {
		return nil, err
	}
	// Of a start that was cut short, and of a daemon that did not vote.
	names = slices.DeleteFunc(names, func(name string) bool {
		return name == cacheFile || name == markFile || strings.HasSuffix(name, wal.TempSuffix)
	})
	if len(names) > 0 {
		return nil, fmt.Errorf("there is no %s in it, and %d files: it is no voter's", identityFile, len(names))
	}
	if err := wal.Replace(n.options.Disk, identityFile, []byte(is.String()+"\n")); err != nil {
		return nil, err
	}
	return n.openVoter(now, is)
}

func (n *Node) openVoter(now time.Duration, is *identity) (*voterSlot, error) {
	disk, err := consensus.NewRecoveredState(is.firstVoters)
	if err != nil {
		return nil, err
	}
	options := wal.Options{Said: func(line string) { n.options.Log.Warn("the durable log", "said", line) }}
	log, err := wal.Open(n.options.Disk, options, disk.Restore, func(r wal.Record) error { return disk.Replay(r.Type, r.Payload) })
	if err != nil {
		return nil, err
	}
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // it never fails
	voter, err := consensus.NewVoter(now, consensus.Config{ID: is.id, Beat: heartbeatInterval, Seed: binary.LittleEndian.Uint64(seed[:]), Lease: n.options.Lease}, disk)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return &voterSlot{identity: *is, voter: voter, log: log, peerNames: map[uint64]string{}}, nil
}

// stopVoter ends this daemon's part in the voting, for the rest of its process's life.
func (n *Node) stopVoter() {
	if err := n.slot.log.Close(); err != nil {
		n.options.Log.Warn("the durable log", "err", err)
	}
	n.slot, n.hasStoppedVoting = nil, true
}

// maxPeerNames bounds what is learned from messages beside the log: ids are never given twice, and a voter that is further behind is
// brought up by any that it knows.
const maxPeerNames = 64

// peerName is a voter's name; empty: none is known.
func (s *voterSlot) peerName(id uint64) string {
	if name := s.voter.State().VoterName(id); name != "" {
		return name
	}
	return s.peerNames[id]
}

// handleRaft takes a message of another voter.
func (n *Node) handleRaft(now time.Duration, p transport.Message) {
	m := &raftpb.Message{}
	if len(p.Body) < fleetIDSize || proto.Unmarshal(p.Body[fleetIDSize:], m) != nil {
		return
	}
	s := n.slot
	if s == nil || [fleetIDSize]byte(p.Body) != s.fleetID || m.GetTo() != s.id {
		return
	}
	switch known := s.peerName(m.GetFrom()); {
	case known == "" && len(s.peerNames) < maxPeerNames: // who got its seat while this voter was away may lead by now
		s.peerNames[m.GetFrom()] = p.From
	case known != p.From:
		return
	}
	s.voter.Receive(now, m)
}

// errVoterDiskLost is why a daemon does not vote whose seat is a voter's: what it has promised was on a disk that is gone.
var errVoterDiskLost = errors.New("the log of its seat is not here; have it taken out of the voters, and then put in again")

// applyVoterAction takes up what a leader, confirmed by a majority, says of this daemon's seat.
func (n *Node) applyVoterAction(now time.Duration, g *consensus.LeaseGrant) {
	seat := uint64(0)
	if n.slot != nil {
		seat = n.slot.id
	}
	switch g.VoterAction(n.options.Name, seat) {
	case consensus.StopVoter:
		n.options.Log.Warn("this daemon does not vote any more: its seat was taken out; empty its data_dir before it is to vote again", "seat", n.slot.id)
		n.stopVoter()
	case consensus.StartVoter:
		if !n.hasStoppedVoting {
			n.joinVoters(now, &identity{name: n.options.Name, id: g.Seat, fleetID: newFleetID(g.First)})
		}
	case consensus.VoterDiskLost:
		if !n.isDiskLossLogged && !n.hasStoppedVoting {
			n.isDiskLossLogged = true
			n.options.Log.Error("this daemon does not vote", "seat", g.Seat, "err", errVoterDiskLost)
		}
	}
}

// joinVoters begins as a new voter.
func (n *Node) joinVoters(now time.Duration, is *identity) {
	s, err := n.createVoter(now, is)
	if err != nil {
		n.hasStoppedVoting = true // else it would be tried with each grant
		n.options.Log.Error("this daemon was called to vote, and can't", "err", err)
		return
	}
	n.options.Log.Info("this daemon is to vote", "seat", is.id)
	n.slot, n.bootstrap = s, nil
}

// processVoterOutput does what the voter wants: what must be sure first, then what is to be sent.
func (n *Node) processVoterOutput() {
	for n.slot != nil {
		v := n.slot.voter
		out := v.Output(n.options.Now())
		if v.Stopped != nil {
			n.options.Log.Error("this voter steps down", "err", v.Stopped)
			n.stopVoter()
			return
		}
		if out != nil {
			if err := n.slot.persist(out); err != nil {
				n.options.Log.Error("this voter steps down: its disk has failed", "err", err)
				n.stopVoter()
				return
			}
			for _, m := range out.Messages {
				n.sendRaft(m)
			}
		}
		grants, results := v.Grants, v.Results
		v.Grants, v.Results = nil, nil
		for _, g := range grants {
			if g.Daemon == n.options.Name {
				n.handleGrant(n.options.Now(), n.options.Name, g.Grant)
			} else if body, err := json.Marshal(g.Grant); err == nil {
				_ = n.options.Transport.Send(g.Daemon, kindLeaseGrant, body)
			}
		}
		for _, r := range results {
			said := proposalResult{ID: r.ID, CommandResult: r.CommandResult}
			if r.Err != nil {
				said.Error = r.Err.Error()
			}
			n.handleResult(said)
		}
		if out == nil {
			return
		}
	}
}

// persist makes sure of a voter's records, and of its snapshot.
func (s *voterSlot) persist(out *consensus.VoterOutput) error {
	for _, r := range out.Records {
		if _, err := s.log.Append(r.Type, r.Payload); err != nil {
			return err
		}
	}
	if err := s.log.Sync(); err != nil {
		return err
	}
	if out.Snapshot != nil && s.log.Synced() > s.log.Snapshot() {
		return s.log.Snap(s.log.Synced(), out.Snapshot.Body)
	}
	return nil
}

func (n *Node) sendRaft(m *raftpb.Message) {
	name := n.slot.peerName(m.GetTo())
	if name == "" {
		return
	}
	body, err := proto.Marshal(m)
	if err == nil {
		err = n.options.Transport.Send(name, kindRaft, append(n.slot.fleetID[:], body...))
	}
	if m.GetType() == raftpb.MsgSnap {
		n.slot.voter.ReportSnapshot(m.GetTo(), err == nil)
	}
}
