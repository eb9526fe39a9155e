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
	clusterPollInterval    = 50 * time.Millisecond   // interval between two polls of the same sidecar
	clusterPollTimeout     = time.Second             // timeout of a poll; a command that ejects or restores an endpoint has this time to connect, and again for its exchange
	ejectionToggleInterval = 1500 * time.Millisecond // interval between commands that alternately eject and restore an endpoint
)

// startAdminClients starts goroutines that poll the sidecars' views of one another, and with consensus the sidecars' active versions,
// until done closes. With consensus, another goroutine alternately ejects and restores an endpoint.
func (c *cluster) startAdminClients(done <-chan struct{}) {
	if c == nil {
		return
	}
	hasConsensus := c.rehearsal.plan.Day.Cluster.HasConsensus
	for name, member := range c.members {
		c.adminClients.Go(func() { c.pollMembership(name, member, done) })
		if hasConsensus {
			c.adminClients.Go(func() { c.pollVersion(name, member, done) })
		}
	}
	if hasConsensus {
		c.adminClients.Go(func() { c.toggleManualEjection(done) })
	}
}

// pollMembership polls a sidecar's view of the cluster and records each change of the view.
func (c *cluster) pollMembership(name string, member *clusterMember, done <-chan struct{}) {
	lastView := map[string]status.Peer{}
	for c.sleep(done, clusterPollInterval) {
		fleet, err := status.FetchFleet(member.adminAddr, clusterPollTimeout)
		if err != nil {
			if opErr := (*net.OpError)(nil); errors.As(err, &opErr) && opErr.Op != "read" {
				clear(lastView) // no process accepted the connection; a process that starts later has no view yet
			}
			continue
		}
		c.recordView(name, fleet, lastView)
	}
}

// recordView records each difference between a sidecar's view of the cluster and lastView, its previous view, and updates lastView.
func (c *cluster) recordView(name string, fleet *status.Fleet, lastView map[string]status.Peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range fleet.Peers {
		if previous, ok := lastView[p.Name]; ok && previous.State == p.State && previous.Incarnation == p.Incarnation {
			continue
		}
		lastView[p.Name] = p
		c.record(clusterinvariant.Event{Kind: clusterinvariant.StateObserved, Observer: name, Subject: p.Name, State: p.State,
			Incarnation: p.Incarnation})
	}
}

// pollVersion polls the version of the settings that a sidecar acts on. It ignores a response if the sidecar was restarted during
// the poll.
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
		report := clusterinvariant.VersionReport{RequestedAt: sentAt, ReportedAt: c.rehearsal.recorder.Now(), Daemon: name,
			Incarnation: incarnation, Version: s.ActiveVersion, Digest: fmt.Sprint(s.Documents)}
		c.mu.Lock()
		if incarnation == member.incarnation && len(c.versionReports) < maxClusterEvents {
			c.versionReports = append(c.versionReports, report)
		}
		c.mu.Unlock()
	}
}

// toggleManualEjection alternately ejects an endpoint manually and ends the ejection. It sends each command to a random sidecar.
// Commands may fail: the checker only compares the versions on which sidecars act.
func (c *cluster) toggleManualEjection(done <-chan struct{}) {
	hosts := c.rehearsal.hosts[0]
	endpoint := hosts[len(hosts)-1].plan.Spec.ID
	for n := 0; c.sleep(done, ejectionToggleInterval); n++ {
		i := int(c.rehearsal.drawUint64For("hands", fmt.Sprint(n)) % uint64(len(c.members)))
		command := []string{"set-down", "set-up"}[n%2]
		if conn, err := net.DialTimeout("tcp", c.members[sidecarName(i)].adminAddr, clusterPollTimeout); err == nil {
			_ = conn.SetDeadline(time.Now().Add(clusterPollTimeout))
			_, _ = fmt.Fprintf(conn, "%s %s\n", command, endpoint)
			_, _ = io.Copy(io.Discard, conn)
			conn.Close()
		}
	}
}

// sleep waits for d and returns true, or returns false as soon as done closes or the rehearsal's context ends.
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
