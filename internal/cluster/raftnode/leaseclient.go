package raftnode

import (
	"encoding/json"
	"slices"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
)

// leaseClient is a daemon's side of its lease, and what it knows of the voters that may grant one.
type leaseClient struct {
	holder          *consensus.LeaseHolder
	nextRequestAt   time.Duration // instant at which a lease is requested again
	knownVoters     []string      // who may be asked, sorted: the first voters, and those that vote as far as is known
	activeVoters    []string      // who votes, as the leader reported last
	leader          string        // the voter that granted the latest lease, or that was asked last
	isLatestGranted bool          // leader granted the latest request
	hasFirstGrant   bool          // Node.firstGrant is closed
	checkingVersion uint64        // version whose check is running; 0: none
}

// requestLease requests a lease from the voter that granted the last one, or from the next one by name if it did not
// answer.
func (n *Node) requestLease(now time.Duration) {
	c := &n.client
	if !c.isLatestGranted {
		i, _ := slices.BinarySearch(c.knownVoters, c.leader+"\x00") // the least string that is greater than leader
		c.leader = c.knownVoters[i%len(c.knownVoters)]
	}
	c.isLatestGranted = false
	r, next := c.holder.NextRequest(now)
	if n.localVoter == nil && !n.hasStoppedVoting {
		r.DiskID = n.diskID
	}
	c.nextRequestAt = next
	if n.localVoter != nil && n.localVoter.voter.IsLeader() {
		_ = n.localVoter.voter.RequestLease(r) // without a grant it is requested again
		return
	}
	n.sendJSON(c.leader, kindLeaseRequest, r)
}

// handleLeaseRequest hands a request to this daemon's voter. If that is not the leader, the other gets the names of
// those that it may ask instead: its own may be out of date.
func (n *Node) handleLeaseRequest(m transport.Message) {
	var r consensus.LeaseRequest
	if json.Unmarshal(m.Body, &r) != nil || r.Daemon != m.From {
		return
	}
	if n.localVoter == nil || n.localVoter.voter.RequestLease(r) != nil {
		n.sendJSON(m.From, kindVoterNames, n.client.knownVoters)
	}
}

// handleLeaseGrant takes a grant that another daemon sent.
func (n *Node) handleLeaseGrant(now time.Duration, m transport.Message) {
	var g consensus.LeaseGrant
	if slices.Contains(n.client.knownVoters, m.From) && json.Unmarshal(m.Body, &g) == nil {
		n.applyGrant(now, m.From, g)
	}
}

// applyGrant takes up a grant of a leader, which may be this daemon's own voter, and what the leader reports with it.
func (n *Node) applyGrant(now time.Duration, leader string, g consensus.LeaseGrant) {
	c := &n.client
	c.isLatestGranted, c.leader = true, leader
	if len(g.SlotHolders) > 0 {
		c.setVoters(g.SlotHolders, n.options.InitialVoters)
		c.activeVoters = g.ActiveVoters
		if leader != n.options.Name {
			n.applyVoterAction(now, &g)
		}
	}
	c.holder.HandleGrant(now, g)
	if !n.options.ReportsInstalled {
		c.holder.MarkInstalled(c.holder.Leased().Version)
	}
	n.startCheck()
	leased := c.holder.Leased()
	if leased.Version != g.Version {
		return // it can't be acted on yet
	}
	if leased.Version != n.cached.Version || !slices.Equal(g.SlotHolders, n.cached.Voters) {
		n.cacheVersion(leased, g.SlotHolders)
	}
	if !c.hasFirstGrant {
		c.hasFirstGrant = true
		n.publish() // before the channel says that it is
		close(n.firstGrant)
	}
}

// startCheck starts Options.Check of the version that was offered, one at a time. The lease is requested as soon as it
// ends, since the leader may wait for the result.
func (n *Node) startCheck() {
	c := &n.client
	version, docs := c.holder.PendingCheck()
	if version == 0 || c.checkingVersion != 0 {
		return
	}
	c.checkingVersion = version
	n.goroutines.Go(func() {
		var err error
		if n.options.Check != nil {
			err = n.options.Check(docs)
		}
		n.submit(n.ctx, func() {
			c.checkingVersion = 0
			if err != nil {
				n.options.Log.Warn("version rejected by this daemon's check", "version", version, "error", err)
			}
			c.holder.CompleteCheck(version, err)
			c.nextRequestAt = 0
			n.startCheck() // another version may have been offered meanwhile
		})
	})
}

// handleVoterNames takes the names that a daemon sent which is not the leader, unless the leader has answered already.
func (n *Node) handleVoterNames(m transport.Message) {
	var names []string
	if json.Unmarshal(m.Body, &names) == nil && !n.client.isLatestGranted {
		n.client.addVoters(names)
	}
}

// maxKnownVoters bounds the names that are learned from daemons that are not the leader.
const maxKnownVoters = 4 * consensus.MaxVoters

// setVoters sets the known voters to those that a leader reported, and the first voters.
func (c *leaseClient) setVoters(names, firstVoters []string) {
	c.knownVoters = sortedUnion(names, firstVoters)
}

// addVoters adds names to the known voters, unless there would be more than maxKnownVoters.
func (c *leaseClient) addVoters(names []string) {
	if all := sortedUnion(names, c.knownVoters); len(all) <= maxKnownVoters {
		c.knownVoters = all
	}
}

// sortedUnion has each name of both lists once.
func sortedUnion(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
