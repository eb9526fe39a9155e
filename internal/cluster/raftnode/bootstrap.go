package raftnode

import (
	"crypto/rand"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/wal"
)

// markName is a file that holds the mark of a disk, drawn at its first start (agree.Founding, agree.SeatMark).
const markName = "MARK"

const (
	foundEvery = 300 * time.Millisecond // between two rounds of asking the other first voters
	foundSaid  = 10 * time.Second       // after which it is said who does not answer
)

// foundParcel is a word between first voters: one that has yet to begin asks, all answer.
type foundParcel struct {
	Round uint64                  `json:"round"`
	Asks  bool                    `json:"asks"`
	Word  consensus.BootstrapVote `json:"word"`
}

// mark is that of this daemon's disk.
func (c *Node) mark() (string, error) {
	text, err := read(c.o.Disk, markName, mostIdentity)
	if err != nil || len(text) > 0 {
		return strings.TrimSpace(string(text)), err
	}
	mark := rand.Text()
	return mark, wal.Replace(c.o.Disk, markName, []byte(mark+"\n"))
}

// found asks the other first voters whether they have begun.
func (c *Node) found(now time.Duration) {
	c.foundAt = now + foundEvery
	if silent := c.founding.MissingVotes(); now > c.began+foundSaid && !c.awaited && len(silent) > 0 {
		c.awaited = true
		c.o.Log.Warn("this daemon votes when all first voters have been up at once", "silent", strings.Join(silent, " "))
	}
	p := foundParcel{Round: c.founding.StartRound(), Asks: true, Word: c.founding.Vote()}
	for _, name := range c.o.Voters {
		if name != c.o.Name {
			c.sendFound(name, p)
		}
	}
	c.decideFound(now)
}

func (c *Node) sendFound(to string, p foundParcel) {
	if body, err := json.Marshal(p); err == nil {
		_ = c.o.Transport.Send(to, kindFound, body)
	}
}

// hearFound takes another's word, and answers one that asks. Who never began, and is not about to, says nothing.
func (c *Node) hearFound(now time.Duration, parcel transport.Message) {
	var p foundParcel
	if json.Unmarshal(parcel.Body, &p) != nil || !slices.Contains(c.o.Voters, parcel.From) {
		return
	}
	switch {
	case p.Asks && c.word != nil:
		c.sendFound(parcel.From, foundParcel{Round: p.Round, Word: *c.word})
	case p.Asks && c.founding != nil:
		c.sendFound(parcel.From, foundParcel{Round: p.Round, Word: c.founding.Vote()})
	case !p.Asks && c.founding != nil:
		c.founding.ReceiveVote(parcel.From, p.Round, p.Word)
		c.decideFound(now)
	}
}

// decideFound begins as a first voter, or never will.
func (c *Node) decideFound(now time.Duration) {
	marks, lost := c.founding.Decision()
	switch {
	case lost:
		c.o.Log.Error("this daemon does not vote", "err", errLost)
		c.founding, c.lost = nil, true
	case marks != nil:
		first := slices.Sorted(slices.Values(c.o.Voters))
		is := &identity{name: c.o.Name, first: first, id: uint64(slices.Index(first, c.o.Name) + 1), founded: foundedBy(first), marks: marks}
		c.founding, c.word = nil, &consensus.BootstrapVote{Begun: true, Marks: marks}
		var err error
		if c.seat, err = c.begin(now, is); err != nil {
			c.left = true
			c.o.Log.Error("this daemon can't vote", "err", err)
		}
	}
}
