package rehearse

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"tuliprock/internal/cluster/status"
	"tuliprock/internal/testkit/clusterinvariant"
)

const (
	clusterPollInterval = 50 * time.Millisecond // between two polls of one sidecar
	clusterPollTimeout  = time.Second
	overrideInterval    = 1500 * time.Millisecond // between two changes of the operator override
)

// startPollers starts goroutines that poll what the sidecars hold of one another, until done closes.
func (c *cluster) startPollers(done <-chan struct{}) {
	if c == nil {
		return
	}
	hasConsensus := c.rehearsal.plan.Day.Cluster.HasConsensus
	for name, member := range c.members {
		c.pollers.Go(func() { c.pollMembership(name, member, done) })
		if hasConsensus {
			c.pollers.Go(func() { c.pollVersion(name, member, done) })
		}
	}
	if hasConsensus {
		c.pollers.Go(func() { c.toggleOverride(done) })
	}
}

// pollMembership polls a sidecar's view of the members, and records each change in it.
func (c *cluster) pollMembership(name string, member *clusterMember, done <-chan struct{}) {
	known := map[string]status.Peer{}
	for c.sleep(done, clusterPollInterval) {
		fleet, err := status.FetchFleet(member.adminAddr, clusterPollTimeout)
		if err != nil {
			if failed := (*net.OpError)(nil); errors.As(err, &failed) && failed.Op != "read" {
				clear(known) // no process listens, and a restarted one holds nothing of its former incarnation
			}
			continue
		}
		c.recordView(name, fleet, known)
	}
}

// recordView records what has changed in a sidecar's view since the one known.
func (c *cluster) recordView(name string, fleet *status.Fleet, known map[string]status.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range fleet.Peers {
		if previous, ok := known[p.Name]; ok && previous.State == p.State && previous.Incarnation == p.Incarnation {
			continue
		}
		known[p.Name] = p
		c.record(clusterinvariant.Event{Kind: clusterinvariant.StateObserved, Observer: name, Subject: p.Name, State: p.State,
			Incarnation: p.Incarnation})
	}
}

// pollVersion polls the version that a sidecar acts on. A response that a restart overlaps is not used.
func (c *cluster) pollVersion(name string, member *clusterMember, done <-chan struct{}) {
	for c.sleep(done, clusterPollInterval) {
		c.mu.Lock()
		incarnation := member.incarnation
		c.mu.Unlock()
		sentAt := c.rehearsal.recorder.Now()
		s, err := status.FetchSettings(member.adminAddr, clusterPollTimeout)
		if err != nil || !s.HasLease {
			continue
		}
		act := clusterinvariant.VersionReport{RequestedAt: sentAt, ReportedAt: c.rehearsal.recorder.Now(), Daemon: name, Incarnation: incarnation,
			Version: s.ActiveVersion, Digest: fmt.Sprint(s.Documents)}
		c.mu.Lock()
		if incarnation == member.incarnation && len(c.versionReports) < maxClusterEvents {
			c.versionReports = append(c.versionReports, act)
		}
		c.mu.Unlock()
	}
}

// toggleOverride ejects an endpoint manually and brings it back, again and again, at a sidecar that is drawn each time.
// The commands may fail: the versions that are acted on show what became of them.
func (c *cluster) toggleOverride(done <-chan struct{}) {
	hosts := c.rehearsal.hosts[0]
	endpoint := hosts[len(hosts)-1].plan.Spec.ID
	for n := 0; c.sleep(done, overrideInterval); n++ {
		drawn := int(c.rehearsal.drawUint64For("hands", fmt.Sprint(n)) % uint64(len(c.members)))
		command := []string{"set-down", "set-up"}[n%2]
		if conn, err := net.DialTimeout("tcp", c.members[sidecarName(drawn)].adminAddr, clusterPollTimeout); err == nil {
			_ = conn.SetDeadline(time.Now().Add(clusterPollTimeout))
			_, _ = fmt.Fprintf(conn, "%s %s\n", command, endpoint)
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}
	}
}

// sleep waits for d, or is false when done closes or the rehearsal's context ends first.
func (c *cluster) sleep(done <-chan struct{}, d time.Duration) bool {
	select {
	case <-done:
		return false
	case <-c.rehearsal.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
