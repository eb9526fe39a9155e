package raftsim

import (
	"fmt"

	"tuliprock/internal/cluster/consensus"
)

type proposal struct {
	command     *consensus.Command
	isCommitted bool
}

// reconfigure changes the voters: who has lost its disk is taken out, one is put in where there are few, and one taken out where there are
// many. Now and then a voter loses its disk, while all others are there.
func (s *Simulation) reconfigure() {
	if s.isQuiescent {
		return
	}
	s.schedule(nil, s.Now+s.options.ReconfigurationInterval, s.reconfigure)
	by := s.randomVoter()
	if by == nil {
		return
	}
	seats := by.voter.State().VoterSlots
	var lost, in, out []*Node
	for _, n := range s.Nodes {
		switch id := by.voter.State().VoterID(fmt.Sprint("d", n.index)); {
		case id == 0:
			out = append(out, n)
		case n.voterID != id:
			lost = append(lost, n)
		default:
			in = append(in, n)
		}
	}
	c := &consensus.VoterChange{Remove: true}
	switch {
	case len(lost) > 0:
		c.Name = fmt.Sprint("d", lost[0].index)
	case len(seats) <= s.options.Voters && len(out) > 0:
		n := out[s.rng.IntN(len(out))]
		if c.Name, c.Remove = fmt.Sprint("d", n.index), false; n.wasRemoved { // its directory is emptied, and it is started again
			s.Crash(n)
			s.startNode(n)
		}
	case len(in) > 0:
		c.Name = fmt.Sprint("d", in[s.rng.IntN(len(in))].index)
	}
	s.schedule(by, s.Now, func() { s.callVoter(by, func() { _ = by.voter.Propose(&consensus.Command{ChangeVoter: c}) }) })
}

// proposePuts has something put, and asks again for what has not been heard of.
func (s *Simulation) proposePuts() {
	if !s.isQuiescent {
		s.lastPut++
		id := fmt.Sprint("put-", s.lastPut)
		c := &consensus.Command{ID: id, ProposedBy: "test", Put: &consensus.DocumentPut{Name: fmt.Sprint("doc-", s.rng.IntN(3)), Body: []byte(id)}}
		switch s.lastPut % rejectedPutPeriod {
		case 0:
			c.Put = &consensus.DocumentPut{Name: rejectableDoc, Body: []byte(id + rejectedSuffix)}
		case rejectedPutPeriod / 4:
			c.Put = &consensus.DocumentPut{Name: rejectableDoc, Body: []byte(id)}
		case rejectedPutPeriod / 2:
			c.Put, c.Revert = nil, &consensus.DocumentVersion{Name: "doc-0", Version: s.Checker.latestVersion / 2}
		}
		s.proposals[id] = &proposal{command: c}
		if s.lastPut%(2*rejectedPutPeriod) == 0 { // every second time somebody insists
			s.schedule(nil, s.Now+s.options.PutInterval/2, s.forcePendingVersion)
		}
	}
	for i := max(1, s.lastPut-20); i <= s.lastPut; i++ {
		if p := s.proposals[fmt.Sprint("put-", i)]; !p.isCommitted {
			if to := s.randomVoter(); to != nil {
				s.schedule(to, s.Now, func() { s.callVoter(to, func() { _ = to.voter.Propose(p.command) }) })
			}
		}
	}
	s.schedule(nil, s.Now+s.options.PutInterval, s.proposePuts)
}

// forcePendingVersion has what comes activated though some can't act on it, as far as some voter knows.
func (s *Simulation) forcePendingVersion() {
	to := s.randomVoter()
	if to == nil {
		return
	}
	s.schedule(to, s.Now, func() {
		s.callVoter(to, func() {
			if st := to.voter.State(); st.Pending > st.Active {
				_ = to.voter.Propose(&consensus.Command{Force: st.Pending})
			}
		})
	})
}
