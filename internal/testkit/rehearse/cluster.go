package rehearse

import (
	"context"
	"fmt"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/testkit/clusterinvariant"
	"tuliprock/internal/testkit/faultnet"
)

// The lease config of a day whose sidecars agree on operator overrides.
const (
	maxClockDrift       = 0.1
	maxConflictDuration = 2 * time.Second
	leaseDuration       = 6 * time.Second
)

// firstClusterAddr is the number of a cluster's first loopback address, beyond those of the sidecars.
const firstClusterAddr = 2000

// maxClusterEvents bounds the events of a cluster's timeline, and the acts.
const maxClusterEvents = maxEvents / 10

// cluster is a cluster of sidecars that is being rehearsed. Its methods do nothing for nil, which is a day without one.
type cluster struct {
	rehearsal *rehearsal
	net       *faultnet.Network
	members   map[string]*clusterMember // by the sidecar's name; not written to after buildCluster
	pollers   sync.WaitGroup

	mu             sync.Mutex
	events         []clusterinvariant.Event
	versionReports []clusterinvariant.VersionReport
	activeFaults   int
}

// clusterMember is what a sidecar needs to be a member of the cluster.
type clusterMember struct {
	clockRateEnv string // sets the rate of its clock in the environment; empty: it is the machine's
	incarnation  int    // of its process; guarded by cluster.mu
	configText   string // the part of its operators' file: admin_addr and [fleet]
	adminAddr    string
}

// buildCluster makes the sidecars before the first tier members of a cluster, if the day has one.
func (r *rehearsal) buildCluster() error {
	config := r.plan.Day.Cluster
	if config == nil {
		return nil
	}
	c := &cluster{rehearsal: r, net: faultnet.New(r.plan.Seed, nil), members: map[string]*clusterMember{}}
	r.cluster = c
	var listens, advertised []netip.AddrPort
	var voters []string
	for i := range r.plan.SidecarCount {
		addr, err := freeLoopbackAddr(firstClusterAddr + i)
		if err != nil {
			return err
		}
		listen := netip.MustParseAddrPort(addr)
		relay, err := c.net.AddRelay(sidecarName(i), listen)
		if err != nil {
			return err
		}
		listens, advertised = append(listens, listen), append(advertised, relay)
		if i < config.Voters {
			voters = append(voters, fmt.Sprintf("%q", sidecarName(i)))
		}
	}
	for i := range r.plan.SidecarCount {
		name := sidecarName(i)
		admin, err := freeLoopbackAddr(firstClusterAddr + i)
		if err != nil {
			return err
		}
		text := fmt.Sprintf("admin_addr = %q\n[fleet]\ncluster = %q\nlisten = %q\nadvertise = %q\njoin = [%q, %q]\nvoters = [%s]\n",
			admin, r.plan.Day.Name, listens[i], advertised[i], advertised[0], advertised[len(advertised)/2],
			strings.Join(voters, ", "))
		member := &clusterMember{configText: text + config.operatorsFile(r.workDir, name, i < config.Voters), adminAddr: admin}
		if config.ClockRate.Hi > 0 {
			member.clockRateEnv = fmt.Sprintf("%s=%v", transport.ClockRateEnv, config.ClockRate.At(r.drawFractionFor("clock", name)))
		}
		c.members[name] = member
	}
	return nil
}

// operatorsFile is the rest of [fleet] in a sidecar's operators' file: the times of the failure detector and consensus.
func (c *ClusterConfig) operatorsFile(workDir, name string, isVoter bool) string {
	var b strings.Builder
	for _, field := range []struct {
		name  string
		value time.Duration
	}{{"probe_every", c.ProbeInterval}, {"probe_timeout", c.ProbeTimeout}, {"suspicion", c.SuspicionTimeout}} {
		if field.value > 0 {
			fmt.Fprintf(&b, "%s = %q\n", field.name, field.value)
		}
	}
	if c.HasConsensus {
		fmt.Fprintf(&b, "agreed = true\nconflict_within = %q\nlease = %q\nclock_drift = %v\n",
			maxConflictDuration, leaseDuration, maxClockDrift)
		if isVoter {
			fmt.Fprintf(&b, "data_dir = %q\n", filepath.Join(workDir, name+".data"))
		}
	}
	return b.String()
}

// member is the sidecar's membership; nil: it is not a member.
func (c *cluster) member(name string) *clusterMember {
	if c == nil {
		return nil
	}
	return c.members[name]
}

// recordProcessEvent records what was done to a sidecar's process.
func (c *cluster) recordProcessEvent(kind clusterinvariant.Kind, sidecar string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if kind == clusterinvariant.Started {
		c.members[sidecar].incarnation++
	}
	c.record(clusterinvariant.Event{Kind: kind, Subject: sidecar})
}

// record adds an event at this instant. c.mu is held.
func (c *cluster) record(e clusterinvariant.Event) {
	e.At = c.rehearsal.recorder.Now()
	if len(c.events) < maxClusterEvents {
		c.events = append(c.events, e)
	}
}

// beginFault records that a fault of links or processes is active, and endFault that it is over.
func (c *cluster) beginFault() { c.changeActiveFaults(1) }
func (c *cluster) endFault()   { c.changeActiveFaults(-1) }

func (c *cluster) changeActiveFaults(change int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.activeFaults
	c.activeFaults += change
	switch {
	case before == 0:
		c.record(clusterinvariant.Event{Kind: clusterinvariant.FaultBegan})
	case c.activeFaults == 0:
		c.record(clusterinvariant.Event{Kind: clusterinvariant.FaultsEnded})
	}
}

// inject injects a fault of links when it is due. When ctx ends, the links are well again.
func (c *cluster) inject(ctx context.Context, start time.Time, fault LinkFault) {
	if !sleep(ctx, time.Until(start.Add(fault.Start))) {
		return
	}
	c.beginFault()
	defer c.endFault()
	end := time.Now().Add(fault.Duration)
	for isActive := true; time.Until(end) > 0; isActive = !isActive {
		link := faultnet.Link{}
		if isActive {
			link = fault.linkState()
		}
		c.setLinks(fault, link)
		wait := time.Until(end)
		if fault.Period > 0 {
			wait = min(wait, fault.Period)
		}
		if !sleep(ctx, wait) {
			break
		}
	}
	c.setLinks(fault, faultnet.Link{})
}

// setLinks sets the state of all links between the parts of a fault.
func (c *cluster) setLinks(fault LinkFault, link faultnet.Link) {
	for i, part := range fault.Parts {
		for _, other := range fault.Parts[i+1:] {
			c.net.SetLinksOneWay(part, other, link)
			if !fault.IsOneWay {
				c.net.SetLinksOneWay(other, part, link)
			}
		}
	}
}

// close waits for the pollers, which the end of the rehearsal's context stops, and closes the links.
func (c *cluster) close() {
	if c == nil {
		return
	}
	c.pollers.Wait()
	c.net.Close()
}
