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

	digestByVersion map[uint64][32]byte // of what was acted on, by version
	firstDecisions  []firstDecision     // versions in order, and when each was acted on first
	versionByID     map[string]uint64   // versions of puts, by id
	idByVersion     map[uint64]string   // and the other way round
	latestVersion   uint64
}

type firstDecision struct {
	version uint64
	at      time.Duration
}

func (c *Checker) addViolation(format string, args ...any) {
	if len(c.Violations) < 100 {
		c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
	}
}

// observeDecision takes up that a daemon acts on a version.
func (c *Checker) observeDecision(now time.Duration, n *Node, version uint64, digest [32]byte) {
	if c.digestByVersion == nil {
		c.digestByVersion = map[uint64][32]byte{}
	}
	if was, ok := c.digestByVersion[version]; ok && was != digest {
		c.addViolation("%v: daemon %d acts on another version %d than others", now, n.index, version)
	}
	c.digestByVersion[version] = digest
	if last := len(c.firstDecisions) - 1; last < 0 || version > c.firstDecisions[last].version {
		c.firstDecisions = append(c.firstDecisions, firstDecision{version, now})
	}
	for _, b := range c.firstDecisions { // the earliest begin of a later version
		if b.version > version {
			c.MaxOverlap = max(c.MaxOverlap, now-b.at)
			break
		}
	}
	if len(c.firstDecisions) > 1000 {
		c.firstDecisions = c.firstDecisions[500:]
	}
}

// observeResult takes up that a voter has applied a command.
func (c *Checker) observeResult(now time.Duration, n *Node, r consensus.Result) {
	if r.ID == "" || r.Err != nil {
		return
	}
	if c.versionByID == nil {
		c.versionByID, c.idByVersion = map[string]uint64{}, map[uint64]string{}
	}
	if was, ok := c.versionByID[r.ID]; ok && was != r.Version {
		c.addViolation("%v: voter %d has made version %d of %s, which was version %d", now, n.index, r.Version, r.ID, was)
	}
	c.versionByID[r.ID] = r.Version
	if r.Unchanged {
		return
	}
	if was, ok := c.idByVersion[r.Version]; ok && was != r.ID {
		c.addViolation("%v: voter %d has made version %d of %s, others of %s", now, n.index, r.Version, r.ID, was)
	}
	c.idByVersion[r.Version] = r.ID
	c.latestVersion = max(c.latestVersion, r.Version)
}

// checkConverged wants all to act on the latest version, and all voters to have it.
func (c *Checker) checkConverged(s *Simulation) {
	var leader *Node
	for _, n := range s.runningVoters() {
		if n.voter.IsLeader() && (leader == nil || n.voter.Term() > leader.voter.Term()) {
			leader = n
		}
	}
	if leader == nil {
		c.addViolation("%v: nobody leads", s.Now)
		return
	}
	for _, n := range s.Nodes {
		if n.isDown {
			c.addViolation("%v: daemon %d is down", s.Now, n.index)
			continue
		}
		if version, _, ok := n.leaseHolder.Valid(n.localTime(s.Now)); !ok || version != c.latestVersion {
			c.addViolation("%v: daemon %d acts on version %d (%v), %d is the latest", s.Now, n.index, version, ok, c.latestVersion)
		}
		if n.voter != nil && leader.voter.State().ActiveVoters[n.voterID] && n.voter.State().Version != c.latestVersion {
			c.addViolation("%v: voter %d has version %d, %d was committed", s.Now, n.index, n.voter.State().Version, c.latestVersion)
		}
	}
}
