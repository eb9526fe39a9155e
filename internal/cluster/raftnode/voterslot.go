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

// seat is a daemon's part in the voting.
type seat struct {
	identity
	voter *consensus.Voter
	log   *wal.Log
	names map[uint64]string // of voters, as messages have told, until the log does
}

// identity is what a voter's directory says of itself in a file beside the log: whose it is, and in which fleet. It never changes.
// A first voter's has the names of all first voters, from which follow their ids; that of one which joined has the id that it was
// given, and the digest of the first voters' names.
type identity struct {
	name    string
	first   []string // sorted; none: it joined
	id      uint64
	founded [foundedSize]byte // of the first voters' names: messages of voters of another fleet are not heard
	marks   map[string]string // of the first voters, with which one of them began
}

const (
	identityName = "IDENTITY"
	mostIdentity = 4096 // bytes: seven names have 500
	foundedSize  = 8
)

func foundedBy(names []string) (f [foundedSize]byte) {
	sum := sha256.Sum256([]byte(strings.Join(names, " ")))
	return [foundedSize]byte(sum[:])
}

func (i *identity) String() string {
	if len(i.first) > 0 {
		text := i.name + " of " + strings.Join(i.first, " ")
		for _, name := range slices.Sorted(maps.Keys(i.marks)) {
			text += "\n" + name + " " + i.marks[name]
		}
		return text
	}
	return fmt.Sprintf("%s joined as %d in %x", i.name, i.id, i.founded)
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
		i.name, i.first = words[0], words[2:]
		if i.id = uint64(slices.Index(i.first, i.name) + 1); i.id > 0 {
			i.founded = foundedBy(i.first)
			return i, nil
		}
	case len(words) == 6 && words[1] == "joined" && words[4] == "in":
		founded, err := hex.DecodeString(words[5])
		id, idErr := strconv.ParseUint(words[3], 10, 64)
		if err == nil && idErr == nil && len(founded) == foundedSize && id > 0 {
			i.name, i.id, i.founded = words[0], id, [foundedSize]byte(founded)
			return i, nil
		}
	}
	return nil, fmt.Errorf("%s can't be read: %.100q", identityName, text)
}

// sitDown opens what this daemon's disk has of a voter. Nil: it has nothing of one, and this daemon is none of the first.
func (c *Node) sitDown(now time.Duration) (*seat, error) {
	text, err := read(c.o.Disk, identityName, mostIdentity)
	if err != nil {
		return nil, err
	}
	if text != nil {
		is, err := parseIdentity(string(text))
		if err == nil && is.name != c.o.Name {
			err = fmt.Errorf("it is that of %q, and this is %s", strings.TrimSpace(string(text)), c.o.Name)
		}
		if err != nil {
			return nil, err
		}
		c.word = &consensus.BootstrapVote{Begun: true, Marks: is.marks}
		return c.open(now, is)
	}
	first := slices.Sorted(slices.Values(c.o.Voters))
	if c.marked, err = c.mark(); err != nil || !slices.Contains(first, c.o.Name) {
		return nil, err
	}
	c.founding = consensus.NewBootstrap(c.o.Name, c.marked, first)
	return nil, nil
}

// begin makes an empty directory a voter's.
func (c *Node) begin(now time.Duration, is *identity) (*seat, error) {
	names, err := c.o.Disk.List()
	if err != nil {
		return nil, err
	}
	// Of a start that was cut short, and of a daemon that did not vote.
	names = slices.DeleteFunc(names, func(name string) bool {
		return name == keptName || name == markName || strings.HasSuffix(name, wal.TempSuffix)
	})
	if len(names) > 0 {
		return nil, fmt.Errorf("there is no %s in it, and %d files: it is no voter's", identityName, len(names))
	}
	if err := wal.Replace(c.o.Disk, identityName, []byte(is.String()+"\n")); err != nil {
		return nil, err
	}
	return c.open(now, is)
}

func (c *Node) open(now time.Duration, is *identity) (*seat, error) {
	disk, err := consensus.NewRecoveredState(is.first)
	if err != nil {
		return nil, err
	}
	options := wal.Options{Said: func(line string) { c.o.Log.Warn("the durable log", "said", line) }}
	log, err := wal.Open(c.o.Disk, options, disk.Restore, func(r wal.Record) error { return disk.Replay(r.Type, r.Payload) })
	if err != nil {
		return nil, err
	}
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // it never fails
	voter, err := consensus.NewVoter(now, consensus.Config{ID: is.id, Beat: beat, Seed: binary.LittleEndian.Uint64(seed[:]), Lease: c.o.Lease}, disk)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return &seat{identity: *is, voter: voter, log: log, names: map[uint64]string{}}, nil
}

// getUp ends this daemon's part in the voting, for the rest of its process's life.
func (c *Node) getUp() {
	if err := c.seat.log.Close(); err != nil {
		c.o.Log.Warn("the durable log", "err", err)
	}
	c.seat, c.left = nil, true
}

// mostNames bounds what is learned from messages beside the log: ids are never given twice, and a voter that is further behind is
// brought up by any that it knows.
const mostNames = 64

// nameOf is a voter's name; empty: none is known.
func (s *seat) nameOf(id uint64) string {
	if name := s.voter.State().VoterName(id); name != "" {
		return name
	}
	return s.names[id]
}

// hearRaft takes a message of another voter.
func (c *Node) hearRaft(now time.Duration, p transport.Message) {
	m := &raftpb.Message{}
	if len(p.Body) < foundedSize || proto.Unmarshal(p.Body[foundedSize:], m) != nil {
		return
	}
	s := c.seat
	if s == nil || [foundedSize]byte(p.Body) != s.founded || m.GetTo() != s.id {
		return
	}
	switch known := s.nameOf(m.GetFrom()); {
	case known == "" && len(s.names) < mostNames: // who got its seat while this voter was away may lead by now
		s.names[m.GetFrom()] = p.From
	case known != p.From:
		return
	}
	s.voter.Receive(now, m)
}

// errLost is why a daemon does not vote whose seat is a voter's: what it has promised was on a disk that is gone.
var errLost = errors.New("the log of its seat is not here; have it taken out of the voters, and then put in again")

// told takes up what a leader, confirmed by a majority, says of this daemon's seat.
func (c *Node) told(now time.Duration, g *consensus.LeaseGrant) {
	seat := uint64(0)
	if c.seat != nil {
		seat = c.seat.id
	}
	switch g.VoterAction(c.o.Name, seat) {
	case consensus.StopVoter:
		c.o.Log.Warn("this daemon does not vote any more: its seat was taken out; empty its data_dir before it is to vote again", "seat", c.seat.id)
		c.getUp()
	case consensus.StartVoter:
		if !c.left {
			c.join(now, &identity{name: c.o.Name, id: g.Seat, founded: foundedBy(g.First)})
		}
	case consensus.VoterDiskLost:
		if !c.lost && !c.left {
			c.lost = true
			c.o.Log.Error("this daemon does not vote", "seat", g.Seat, "err", errLost)
		}
	}
}

// join begins as a new voter.
func (c *Node) join(now time.Duration, is *identity) {
	s, err := c.begin(now, is)
	if err != nil {
		c.left = true // else it would be tried with each grant
		c.o.Log.Error("this daemon was called to vote, and can't", "err", err)
		return
	}
	c.o.Log.Info("this daemon is to vote", "seat", is.id)
	c.seat, c.founding = s, nil
}

// carry does what the voter wants: what must be sure first, then what is to be sent.
func (c *Node) carry() {
	for c.seat != nil {
		v := c.seat.voter
		out := v.Output(c.o.Now())
		if v.Stopped != nil {
			c.o.Log.Error("this voter steps down", "err", v.Stopped)
			c.getUp()
			return
		}
		if out != nil {
			if err := c.seat.save(out); err != nil {
				c.o.Log.Error("this voter steps down: its disk has failed", "err", err)
				c.getUp()
				return
			}
			for _, m := range out.Messages {
				c.send(m)
			}
		}
		grants, results := v.Grants, v.Results
		v.Grants, v.Results = nil, nil
		for _, g := range grants {
			if g.Daemon == c.o.Name {
				c.granted(c.o.Now(), c.o.Name, g.Grant)
			} else if body, err := json.Marshal(g.Grant); err == nil {
				_ = c.o.Transport.Send(g.Daemon, kindGrant, body)
			}
		}
		for _, r := range results {
			said := CommandOutcome{ID: r.ID, CommandResult: r.CommandResult}
			if r.Err != nil {
				said.Err = r.Err.Error()
			}
			c.answer(said)
		}
		if out == nil {
			return
		}
	}
}

// save makes sure of a voter's records, and of its snapshot.
func (s *seat) save(out *consensus.VoterOutput) error {
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

func (c *Node) send(m *raftpb.Message) {
	name := c.seat.nameOf(m.GetTo())
	if name == "" {
		return
	}
	body, err := proto.Marshal(m)
	if err == nil {
		err = c.o.Transport.Send(name, kindRaft, append(c.seat.founded[:], body...))
	}
	if m.GetType() == raftpb.MsgSnap {
		c.seat.voter.ReportSnapshot(m.GetTo(), err == nil)
	}
}
