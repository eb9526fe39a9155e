package raftsim

import (
	"fmt"
	"time"

	"tuliprock/internal/cluster/consensus"
)

// Checker looks at what voters commit and daemons act on. Its zero value has seen nothing.
type Checker struct {
	Violations []string
	MaxOverlap time.Duration // the longest that somebody acted on a version after another had begun to act on a later one

	digests map[uint64][32]byte // of what was acted on, by version
	first   []began             // versions in order, and when each was acted on first
	ids     map[string]uint64   // versions of puts, by id
	made    map[uint64]string   // and the other way round
	latest  uint64
}

type began struct {
	version uint64
	at      time.Duration
}

func (c *Checker) broken(format string, args ...any) {
	if len(c.Violations) < 100 {
		c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
	}
}

// acts takes up that a daemon acts on a version.
func (c *Checker) acts(now time.Duration, n *Node, version uint64, digest [32]byte) {
	if c.digests == nil {
		c.digests = map[uint64][32]byte{}
	}
	if was, ok := c.digests[version]; ok && was != digest {
		c.broken("%v: daemon %d acts on another version %d than others", now, n.place, version)
	}
	c.digests[version] = digest
	if last := len(c.first) - 1; last < 0 || version > c.first[last].version {
		c.first = append(c.first, began{version, now})
	}
	for _, b := range c.first { // the earliest begin of a later version
		if b.version > version {
			c.MaxOverlap = max(c.MaxOverlap, now-b.at)
			break
		}
	}
	if len(c.first) > 1000 {
		c.first = c.first[500:]
	}
}

// committed takes up that a voter has applied a command.
func (c *Checker) committed(now time.Duration, n *Node, r consensus.Result) {
	if r.ID == "" || r.Err != nil {
		return
	}
	if c.ids == nil {
		c.ids, c.made = map[string]uint64{}, map[uint64]string{}
	}
	if was, ok := c.ids[r.ID]; ok && was != r.Version {
		c.broken("%v: voter %d has made version %d of %s, which was version %d", now, n.place, r.Version, r.ID, was)
	}
	c.ids[r.ID] = r.Version
	if r.Unchanged {
		return
	}
	if was, ok := c.made[r.Version]; ok && was != r.ID {
		c.broken("%v: voter %d has made version %d of %s, others of %s", now, n.place, r.Version, r.ID, was)
	}
	c.made[r.Version] = r.ID
	c.latest = max(c.latest, r.Version)
}

// settled wants all to act on the latest version, and all voters to have it.
func (c *Checker) settled(w *Simulation) {
	var leader *Node
	for _, n := range w.voters() {
		if n.voter.IsLeader() && (leader == nil || n.voter.Term() > leader.voter.Term()) {
			leader = n
		}
	}
	if leader == nil {
		c.broken("%v: nobody leads", w.Now)
		return
	}
	for _, n := range w.Nodes {
		if n.down {
			c.broken("%v: daemon %d is down", w.Now, n.place)
			continue
		}
		if version, _, ok := n.holder.Valid(n.local(w.Now)); !ok || version != c.latest {
			c.broken("%v: daemon %d acts on version %d (%v), %d is the latest", w.Now, n.place, version, ok, c.latest)
		}
		if n.voter != nil && leader.voter.State().ActiveVoters[n.id] && n.voter.State().Version != c.latest {
			c.broken("%v: voter %d has version %d, %d was committed", w.Now, n.place, n.voter.State().Version, c.latest)
		}
	}
}
