package raftnode

import (
	"encoding/json"
	"slices"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
)

// leaseClient requests a daemon's leases, applies the grants, and knows the voters that may grant a lease.
type leaseClient struct {
	holder                 *consensus.LeaseHolder
	nextRequestAt          time.Duration // instant of the next lease request
	knownVoters            []string      // names, sorted, of the initial voters and other known voters, which may grant leases
	activeVoters           []string      // names of the daemons that vote, as a leader last reported them
	leader                 string        // name of the voter taken for the leader: the sender of the latest grant or, if it left a request unanswered since, the voter that was asked next
	isLatestRequestGranted bool          // whether a grant has answered the latest lease request
	hasFirstGrant          bool          // whether, since Start, a grant has named as active the version on which this daemon acts; Node.firstGrant is then closed
	checkingVersion        uint64        // version for which Options.Check is running; 0: none
}

// requestLease requests a lease from the voter that sent the latest grant. If that voter did not answer the latest
// request, requestLease requests the lease from the voter whose name follows in sorted order.
func (n *Node) requestLease(now time.Duration) {
	c := &n.leaseClient
	if !c.isLatestRequestGranted {
		i, _ := slices.BinarySearch(c.knownVoters, c.leader+"\x00") // index of the first known voter after c.leader
		c.leader = c.knownVoters[i%len(c.knownVoters)]
	}
	c.isLatestRequestGranted = false
	r, next := c.holder.NextRequest(now)
	if n.localVoter == nil && !n.isVoterStartDisabled {
		r.DiskID = n.diskID
	}
	c.nextRequestAt = next
	if n.localVoter != nil && n.localVoter.voter.IsLeader() {
		_ = n.localVoter.voter.RequestLease(r) // if RequestLease fails, the daemon repeats the request at nextRequestAt
		return
	}
	n.sendInCluster(c.leader, kindLeaseRequest, r)
}

// handleLeaseRequest passes another daemon's request to this daemon's voter. If this daemon does not lead, it sends the
// names of the voters that it knows to the requesting daemon, which may know only earlier voters.
func (n *Node) handleLeaseRequest(m transport.Message) {
	var r consensus.LeaseRequest
	if _, ok := n.openInCluster(&m); !ok || json.Unmarshal(m.Body, &r) != nil || r.Daemon != m.From {
		return
	}
	if n.localVoter == nil || n.localVoter.voter.RequestLease(r) != nil {
		n.sendJSON(m.From, kindVoterNames, n.leaseClient.knownVoters)
	}
}

// handleLeaseGrant applies a grant that another daemon sent, and drops a grant of a daemon that is no known voter or that belongs to
// another bootstrap of the cluster.
func (n *Node) handleLeaseGrant(now time.Duration, m transport.Message) {
	var g consensus.LeaseGrant
	founding, ok := n.openInCluster(&m)
	if ok && slices.Contains(n.leaseClient.knownVoters, m.From) && json.Unmarshal(m.Body, &g) == nil {
		n.learnFounding(founding)
		n.applyGrant(now, m.From, g)
	}
}

// applyGrant applies a grant of a leader, which may be this daemon's own voter, and what the grant reports about the
// voters and the versions.
func (n *Node) applyGrant(now time.Duration, leader string, g consensus.LeaseGrant) {
	c := &n.leaseClient
	c.isLatestRequestGranted, c.leader = true, leader
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
		return // this daemon does not act yet on the active version, which the grant names
	}
	if leased.Version != n.cachedEntry.Version || !slices.Equal(g.SlotHolders, n.cachedEntry.Voters) || n.isCacheOutdated {
		n.cacheVersion(leased, g.SlotHolders)
	}
	if !c.hasFirstGrant {
		c.hasFirstGrant = true
		n.publish() // Valid must return the granted version before firstGrant is closed
		close(n.firstGrant)
	}
}

// startCheck runs Options.Check for the version that the leader offered, unless a check is running. As soon as the check
// ends the daemon requests a lease, since the leader may wait for the outcome.
func (n *Node) startCheck() {
	c := &n.leaseClient
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
			n.startCheck() // the leader may have offered another version while the check was running
		})
	})
}

// handleVoterNames adds to the known voters the names that a daemon sent because it does not lead. It ignores the names
// if a grant has already answered the latest lease request.
func (n *Node) handleVoterNames(m transport.Message) {
	var names []string
	if json.Unmarshal(m.Body, &names) == nil && !n.leaseClient.isLatestRequestGranted {
		n.leaseClient.addVoters(names)
	}
}

// maxKnownVoters is the number of known voters beyond which a daemon ignores names that come from a daemon other than the
// leader.
const maxKnownVoters = 4 * consensus.MaxVoters

// setVoters sets the known voters to the voters that a leader reported and the initial voters.
func (c *leaseClient) setVoters(names, initialVoters []string) {
	c.knownVoters = sortedUnion(names, initialVoters)
}

// addVoters adds names to the known voters. It adds none of the names if there would then be more than maxKnownVoters.
func (c *leaseClient) addVoters(names []string) {
	if all := sortedUnion(names, c.knownVoters); len(all) <= maxKnownVoters {
		c.knownVoters = all
	}
}

// sortedUnion returns the names that are in either list, each once and sorted.
func sortedUnion(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}
