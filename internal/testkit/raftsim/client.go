package raftsim

import (
	"fmt"

	"tuliprock/internal/cluster/consensus"
)

type put struct {
	c    *consensus.Command
	done bool
}

// reseat changes the voters: who has lost its disk is taken out, one is put in where there are few, and one taken out where there are
// many. Now and then a voter loses its disk, while all others are there.
func (w *Simulation) reseat() {
	if w.calm {
		return
	}
	w.at(nil, w.Now+w.o.ReconfigurationInterval, w.reseat)
	by := w.aVoter()
	if by == nil {
		return
	}
	seats := by.voter.State().VoterSlots
	var lost, in, out []*Node
	for _, n := range w.Nodes {
		switch id := by.voter.State().VoterID(fmt.Sprint("d", n.place)); {
		case id == 0:
			out = append(out, n)
		case n.id != id:
			lost = append(lost, n)
		default:
			in = append(in, n)
		}
	}
	c := &consensus.VoterChange{Remove: true}
	switch {
	case len(lost) > 0:
		c.Name = fmt.Sprint("d", lost[0].place)
	case len(seats) <= w.o.Voters && len(out) > 0:
		n := out[w.rng.IntN(len(out))]
		if c.Name, c.Remove = fmt.Sprint("d", n.place), false; n.left { // its directory is emptied, and it is started again
			w.Crash(n)
			w.begin(n)
		}
	case len(in) > 0:
		c.Name = fmt.Sprint("d", in[w.rng.IntN(len(in))].place)
	}
	w.at(by, w.Now, func() { w.use(by, func() { _ = by.voter.Propose(&consensus.Command{ChangeVoter: c}) }) })
}

// put has something put, and asks again for what has not been heard of.
func (w *Simulation) put() {
	if !w.calm {
		w.next++
		id := fmt.Sprint("put-", w.next)
		c := &consensus.Command{ID: id, ProposedBy: "test", Put: &consensus.DocumentPut{Name: fmt.Sprint("doc-", w.rng.IntN(3)), Body: []byte(id)}}
		switch w.next % hardEvery {
		case 0:
			c.Put = &consensus.DocumentPut{Name: hardDoc, Body: []byte(id + hardEnd)}
		case hardEvery / 4:
			c.Put = &consensus.DocumentPut{Name: hardDoc, Body: []byte(id)}
		case hardEvery / 2:
			c.Put, c.Revert = nil, &consensus.DocumentVersion{Name: "doc-0", Version: w.Checker.latest / 2}
		}
		w.puts[id] = &put{c: c}
		if w.next%(2*hardEvery) == 0 { // every second time somebody insists
			w.at(nil, w.Now+w.o.PutInterval/2, w.force)
		}
	}
	for i := max(1, w.next-20); i <= w.next; i++ {
		if p := w.puts[fmt.Sprint("put-", i)]; !p.done {
			if to := w.aVoter(); to != nil {
				w.at(to, w.Now, func() { w.use(to, func() { _ = to.voter.Propose(p.c) }) })
			}
		}
	}
	w.at(nil, w.Now+w.o.PutInterval, w.put)
}

// force has what comes activated though some can't act on it, as far as some voter knows.
func (w *Simulation) force() {
	to := w.aVoter()
	if to == nil {
		return
	}
	w.at(to, w.Now, func() {
		w.use(to, func() {
			if st := to.voter.State(); st.Pending > st.Active {
				_ = to.voter.Propose(&consensus.Command{Force: st.Pending})
			}
		})
	})
}
