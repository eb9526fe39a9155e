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

// markFile is a file that holds the mark of a disk, drawn at its first start (agree.Founding, agree.SeatMark).
const markFile = "MARK"

const (
	bootstrapRoundInterval = 300 * time.Millisecond // between two rounds of asking the other first voters
	bootstrapWarnAfter     = 10 * time.Second       // after which it is said who does not answer
)

// bootstrapMessage is a word between first voters: one that has yet to begin asks, all answer.
type bootstrapMessage struct {
	Round     uint64                  `json:"round"`
	IsRequest bool                    `json:"asks"`
	Vote      consensus.BootstrapVote `json:"word"`
}

// loadDiskMark is that of this daemon's disk.
func (n *Node) loadDiskMark() (string, error) {
	text, err := readFile(n.options.Disk, markFile, maxIdentityBytes)
	if err != nil || len(text) > 0 {
		return strings.TrimSpace(string(text)), err
	}
	mark := rand.Text()
	return mark, wal.Replace(n.options.Disk, markFile, []byte(mark+"\n"))
}

// runBootstrapRound asks the other first voters whether they have begun.
func (n *Node) runBootstrapRound(now time.Duration) {
	n.nextBootstrapRound = now + bootstrapRoundInterval
	if silent := n.bootstrap.MissingVotes(); now > n.startedAt+bootstrapWarnAfter && !n.isBootstrapWaitLogged && len(silent) > 0 {
		n.isBootstrapWaitLogged = true
		n.options.Log.Warn("this daemon votes when all first voters have been up at once", "silent", strings.Join(silent, " "))
	}
	p := bootstrapMessage{Round: n.bootstrap.StartRound(), IsRequest: true, Vote: n.bootstrap.Vote()}
	for _, name := range n.options.Voters {
		if name != n.options.Name {
			n.sendBootstrap(name, p)
		}
	}
	n.decideBootstrap(now)
}

func (n *Node) sendBootstrap(to string, p bootstrapMessage) {
	if body, err := json.Marshal(p); err == nil {
		_ = n.options.Transport.Send(to, kindBootstrap, body)
	}
}

// handleBootstrap takes another's word, and answers one that asks. Who never began, and is not about to, says nothing.
func (n *Node) handleBootstrap(now time.Duration, parcel transport.Message) {
	var p bootstrapMessage
	if json.Unmarshal(parcel.Body, &p) != nil || !slices.Contains(n.options.Voters, parcel.From) {
		return
	}
	switch {
	case p.IsRequest && n.bootstrapVote != nil:
		n.sendBootstrap(parcel.From, bootstrapMessage{Round: p.Round, Vote: *n.bootstrapVote})
	case p.IsRequest && n.bootstrap != nil:
		n.sendBootstrap(parcel.From, bootstrapMessage{Round: p.Round, Vote: n.bootstrap.Vote()})
	case !p.IsRequest && n.bootstrap != nil:
		n.bootstrap.ReceiveVote(parcel.From, p.Round, p.Vote)
		n.decideBootstrap(now)
	}
}

// decideBootstrap begins as a first voter, or never will.
func (n *Node) decideBootstrap(now time.Duration) {
	marks, lost := n.bootstrap.Decision()
	switch {
	case lost:
		n.options.Log.Error("this daemon does not vote", "err", errVoterDiskLost)
		n.bootstrap, n.isDiskLossLogged = nil, true
	case marks != nil:
		first := slices.Sorted(slices.Values(n.options.Voters))
		is := &identity{name: n.options.Name, firstVoters: first, id: uint64(slices.Index(first, n.options.Name) + 1), fleetID: newFleetID(first), marks: marks}
		n.bootstrap, n.bootstrapVote = nil, &consensus.BootstrapVote{Begun: true, Marks: marks}
		var err error
		if n.slot, err = n.createVoter(now, is); err != nil {
			n.hasStoppedVoting = true
			n.options.Log.Error("this daemon can't vote", "err", err)
		}
	}
}
