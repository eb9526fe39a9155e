package raftsim

import (
	"fmt"
	"time"

	"tuliprock/internal/cluster/consensus"
)

// maxViolations is the highest number of violations that a Checker keeps; further ones are dropped.
const maxViolations = 100

// Checker verifies what voters commit and which versions daemons act on. Its zero value is ready for use.
type Checker struct {
	Violations []string      // descriptions of violations; addViolation drops all after the first maxViolations
	MaxOverlap time.Duration // longest time for which a daemon acted on a version after another had begun to act on a later one

	digestByVersion map[uint64][32]byte // digest of the documents that daemons acted on, by version
	firstDecisions  []firstDecision     // first time that any daemon acted on each version, ascending; versions first acted on after a later one are left out, and of more than 1000 entries the oldest are dropped
	versionByID     map[string]uint64   // version in the result of each committed command, by command ID
	idByVersion     map[uint64]string   // ID of the committed command that made each version, by version
	latestVersion   uint64              // highest version that a committed command made
}

// firstDecision is the first time that any daemon acted on a version.
type firstDecision struct {
	version uint64
	at      time.Duration // virtual time of the decision
}

func (c *Checker) addViolation(format string, args ...any) {
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
	}
}

// observeDecision records that a daemon acts on a version, and verifies that all daemons have the same documents of that version.
func (c *Checker) observeDecision(now time.Duration, n *Node, version uint64, digest [32]byte) {
	if c.digestByVersion == nil {
		c.digestByVersion = map[uint64][32]byte{}
	}
	if knownDigest, ok := c.digestByVersion[version]; ok && knownDigest != digest {
		c.addViolation("%v: daemon %d acts on other documents of version %d than another daemon", now, n.index, version)
	}
	c.digestByVersion[version] = digest
	if lastIndex := len(c.firstDecisions) - 1; lastIndex < 0 || version > c.firstDecisions[lastIndex].version {
		c.firstDecisions = append(c.firstDecisions, firstDecision{version, now})
	}
	// Entries ascend by version and time, so the first entry with a version later than the daemon's version has the earliest time at which any
	// daemon acted on a later version.
	for _, first := range c.firstDecisions {
		if first.version > version {
			c.MaxOverlap = max(c.MaxOverlap, now-first.at)
			break
		}
	}
	if len(c.firstDecisions) > 1000 {
		c.firstDecisions = c.firstDecisions[500:]
	}
}

// observeResult records that a voter has applied a committed command, and verifies that a command makes the same version on all voters
// and that each version is made by only one command.
func (c *Checker) observeResult(now time.Duration, n *Node, r consensus.Result) {
	if r.ID == "" || r.Err != nil {
		return
	}
	if c.versionByID == nil {
		c.versionByID, c.idByVersion = map[string]uint64{}, map[uint64]string{}
	}
	if knownVersion, ok := c.versionByID[r.ID]; ok && knownVersion != r.Version {
		c.addViolation("%v: voter %d made version %d of command %s, which had made version %d before", now, n.index, r.Version, r.ID, knownVersion)
	}
	c.versionByID[r.ID] = r.Version
	if r.Unchanged {
		return
	}
	if knownID, ok := c.idByVersion[r.Version]; ok && knownID != r.ID {
		c.addViolation("%v: voter %d made version %d of command %s, another voter made it of %s", now, n.index, r.Version, r.ID, knownID)
	}
	c.idByVersion[r.Version] = r.ID
	c.latestVersion = max(c.latestVersion, r.Version)
}

// checkConverged verifies that a voter leads, that all daemons run and act on the latest version, and that all active voters have applied
// that version.
func (c *Checker) checkConverged(s *Simulation) {
	var leader *Node
	for _, n := range s.runningVoters() {
		if n.voter.IsLeader() && (leader == nil || n.voter.Term() > leader.voter.Term()) {
			leader = n
		}
	}
	if leader == nil {
		c.addViolation("%v: no voter is the leader", s.Now)
		return
	}
	for _, n := range s.Nodes {
		if n.isDown {
			c.addViolation("%v: daemon %d is down", s.Now, n.index)
			continue
		}
		if version, _, ok := n.leaseHolder.Valid(n.localTime(s.Now)); !ok || version != c.latestVersion {
			c.addViolation("%v: daemon %d has version %d (valid lease: %v), want the latest version %d", s.Now, n.index, version, ok, c.latestVersion)
		}
		if n.voter != nil && leader.voter.State().ActiveVoters[n.voterID] && n.voter.State().Version != c.latestVersion {
			c.addViolation("%v: voter %d has version %d, want the latest version %d", s.Now, n.index, n.voter.State().Version, c.latestVersion)
		}
	}
}
