package raftsim

import (
	"fmt"

	"tuliprock/internal/cluster/consensus"
)

// proposal is a command that puts or reverts a document. While it is one of the latest commands, proposePuts proposes it repeatedly until a
// voter has applied it.
type proposal struct {
	command     *consensus.Command
	isCommitted bool // some voter has applied the command
}

// reconfigure proposes to a random voter a change of the voter slots in that voter's state. If a daemon has a slot, but its disk does not
// belong to the slot, since the earlier disk was lost or the daemon's voter has not started yet, the change removes the slot. Otherwise it
// adds a random daemon if there are at most Options.Voters slots, and removes a random voter if there are more.
func (s *Simulation) reconfigure() {
	if s.isQuiescent {
		return
	}
	s.schedule(nil, s.Now+s.options.ReconfigurationInterval, s.reconfigure)
	proposer := s.randomVoter()
	if proposer == nil {
		return
	}
	slots := proposer.voter.State().VoterSlots
	var withUnusedSlot, withSlot, withoutSlot []*Node
	for _, n := range s.Nodes {
		switch id := proposer.voter.State().VoterID(fmt.Sprint("d", n.index)); {
		case id == 0:
			withoutSlot = append(withoutSlot, n)
		case n.voterID != id:
			withUnusedSlot = append(withUnusedSlot, n)
		default:
			withSlot = append(withSlot, n)
		}
	}
	change := &consensus.VoterChange{IsRemoval: true}
	switch {
	case len(withUnusedSlot) > 0:
		change.Name = fmt.Sprint("d", withUnusedSlot[0].index)
	case len(slots) <= s.options.Voters && len(withoutSlot) > 0:
		n := withoutSlot[s.rng.IntN(len(withoutSlot))]
		// A daemon whose voter was removed can run a voter again only after a restart with an empty disk.
		if change.Name, change.IsRemoval = fmt.Sprint("d", n.index), false; n.wasRemoved {
			s.Crash(n)
			s.startNode(n)
		}
	case len(withSlot) > 0:
		change.Name = fmt.Sprint("d", withSlot[s.rng.IntN(len(withSlot))].index)
	}
	s.schedule(proposer, s.Now, func() {
		s.callVoter(proposer, func() { _ = proposer.voter.Propose(&consensus.Command{ChangeVoter: change}) })
	})
}

// proposePuts begins a change of a document, unless the simulation is quiescent. It then sends each recent change that is not committed
// yet to a random voter, like a client that got no response and retries.
func (s *Simulation) proposePuts() {
	if !s.isQuiescent {
		s.lastPutNumber++
		id := fmt.Sprint("put-", s.lastPutNumber)
		command := &consensus.Command{ID: id, ProposedBy: "test", Put: &consensus.DocumentPut{Name: fmt.Sprint("doc-", s.rng.IntN(3)), Body: []byte(id)}}
		switch s.lastPutNumber % rejectedPutPeriod {
		case 0:
			command.Put = &consensus.DocumentPut{Name: rejectableDoc, Body: []byte(id + rejectedSuffix)}
		case rejectedPutPeriod / 4:
			command.Put = &consensus.DocumentPut{Name: rejectableDoc, Body: []byte(id)}
		case rejectedPutPeriod / 2:
			command.Put, command.Revert = nil, &consensus.DocumentVersion{Name: "doc-0", Version: s.Checker.latestVersion / 2}
		}
		s.proposals[id] = &proposal{command: command}
		if s.lastPutNumber%(2*rejectedPutPeriod) == 0 { // simulates operators who force every second version that daemons reject to be activated
			s.schedule(nil, s.Now+s.options.PutInterval/2, s.forcePendingVersion)
		}
	}
	for i := max(1, s.lastPutNumber-20); i <= s.lastPutNumber; i++ {
		if p := s.proposals[fmt.Sprint("put-", i)]; !p.isCommitted {
			if proposer := s.randomVoter(); proposer != nil {
				s.schedule(proposer, s.Now, func() { s.callVoter(proposer, func() { _ = proposer.voter.Propose(p.command) }) })
			}
		}
	}
	s.schedule(nil, s.Now+s.options.PutInterval, s.proposePuts)
}

// forcePendingVersion proposes that the pending version, as a random voter knows it, be activated although some daemons reject it.
func (s *Simulation) forcePendingVersion() {
	proposer := s.randomVoter()
	if proposer == nil {
		return
	}
	s.schedule(proposer, s.Now, func() {
		s.callVoter(proposer, func() {
			if state := proposer.voter.State(); state.PendingVersion > state.ActiveVersion {
				_ = proposer.voter.Propose(&consensus.Command{ForceVersion: state.PendingVersion})
			}
		})
	})
}
