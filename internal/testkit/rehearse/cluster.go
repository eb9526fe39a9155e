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

// The lease settings of clusters with consensus, as the operators' files of the sidecars state them.
const (
	maxClockDrift       = 0.1             // fraction by which the rate of a clock may differ from real time
	maxConflictDuration = 2 * time.Second // longest time for which two sidecars may act on different versions of the settings
	leaseDuration       = 6 * time.Second
)

// firstClusterAddrIndex is the argument of freeLoopbackAddr for the first member of a cluster. Lower arguments give the addresses
// at which sidecars listen for clients.
const firstClusterAddrIndex = 2000

// maxClusterEvents bounds the number of events in a cluster's timeline, and separately the number of recorded responses that state
// which version of the settings a member acts on.
const maxClusterEvents = maxEvents / 10

// cluster is the cluster of the sidecars before the first tier. It is nil for a day without a cluster; the methods that are called
// for every day do nothing for nil.
type cluster struct {
	rehearsal    *rehearsal
	network      *faultnet.Network         // network between the members; it injects the faults of the links between them
	members      map[string]*clusterMember // members by the name of the sidecar; not modified after buildCluster
	adminClients sync.WaitGroup            // goroutines that send commands to the members' admin listeners: polls, and commands that eject or restore an endpoint

	mu             sync.Mutex
	events         []clusterinvariant.Event         // starts and ends of members' processes and of faults, and changes of the members' views of the cluster
	versionReports []clusterinvariant.VersionReport // responses of the members to the rehearsal's polls; each states the version of the settings on which the member acts and holds a lease
	activeFaults   int                              // number of faults of links or processes that are active
}

// clusterMember is a sidecar that is a member of the cluster, with what the rehearsal needs to start and poll it.
type clusterMember struct {
	clockRateEnv string // NAME=VALUE of the environment variable that sets the rate of the sidecar's clock; empty: the sidecar uses the machine's clock
	incarnation  int    // number of times that the sidecar's process was started; guarded by cluster.mu
	configText   string // admin_addr and the section [fleet] of the sidecar's operators' file
	adminAddr    string // address of the sidecar's admin listener, which the rehearsal polls for the sidecar's state
}

// buildCluster creates the cluster, if the day has one, and the configuration of its members.
func (r *rehearsal) buildCluster() error {
	config := r.plan.Day.Cluster
	if config == nil {
		return nil
	}
	c := &cluster{rehearsal: r, network: faultnet.New(r.plan.Seed, nil), members: map[string]*clusterMember{}}
	r.cluster = c
	var listenAddrs, advertisedAddrs []netip.AddrPort
	var voters []string
	for i := range r.plan.SidecarCount {
		addr, err := freeLoopbackAddr(firstClusterAddrIndex + i)
		if err != nil {
			return err
		}
		listenAddr := netip.MustParseAddrPort(addr)
		relayAddr, err := c.network.AddRelay(sidecarName(i), listenAddr)
		if err != nil {
			return err
		}
		listenAddrs, advertisedAddrs = append(listenAddrs, listenAddr), append(advertisedAddrs, relayAddr)
		if i < config.VoterCount {
			voters = append(voters, fmt.Sprintf("%q", sidecarName(i)))
		}
	}
	for i := range r.plan.SidecarCount {
		name := sidecarName(i)
		adminAddr, err := freeLoopbackAddr(firstClusterAddrIndex + i)
		if err != nil {
			return err
		}
		text := fmt.Sprintf("admin_addr = %q\n[fleet]\ncluster = %q\nlisten = %q\nadvertise = %q\njoin = [%q, %q]\nvoters = [%s]\n",
			adminAddr, r.plan.Day.Name, listenAddrs[i], advertisedAddrs[i], advertisedAddrs[0],
			advertisedAddrs[len(advertisedAddrs)/2], strings.Join(voters, ", "))
		member := &clusterMember{configText: text + config.fleetKeys(r.workDir, name, i < config.VoterCount), adminAddr: adminAddr}
		if config.ClockRate.Hi > 0 {
			member.clockRateEnv = fmt.Sprintf("%s=%v", transport.ClockRateEnv, config.ClockRate.At(r.drawFractionFor("clock", name)))
		}
		c.members[name] = member
	}
	return nil
}

// fleetKeys returns the keys of an operators' file that configure the failure detector and consensus in the section [fleet].
func (c *ClusterConfig) fleetKeys(workDir, name string, isVoter bool) string {
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

// member returns the member with the given name, or nil if the sidecar is not in the cluster.
func (c *cluster) member(name string) *clusterMember {
	if c == nil {
		return nil
	}
	return c.members[name]
}

// recordProcessEvent records that a sidecar's process was started, began to shut down, or ended.
func (c *cluster) recordProcessEvent(kind clusterinvariant.EventKind, sidecar string) {
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

// record adds an event at the current instant, unless the timeline is full. The caller holds c.mu.
func (c *cluster) record(e clusterinvariant.Event) {
	e.At = c.rehearsal.recorder.Now()
	if len(c.events) < maxClusterEvents {
		c.events = append(c.events, e)
	}
}

// beginFault adds 1 to the number of active faults of links or processes.
func (c *cluster) beginFault() { c.changeActiveFaults(1) }

// endFault subtracts 1 from the number of active faults of links or processes.
func (c *cluster) endFault() { c.changeActiveFaults(-1) }

// changeActiveFaults adds change to the number of active faults. It records an event when the number leaves 0 or returns to 0.
func (c *cluster) changeActiveFaults(change int) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	countBefore := c.activeFaults
	c.activeFaults += change
	switch {
	case countBefore == 0:
		c.record(clusterinvariant.Event{Kind: clusterinvariant.FaultBegan})
	case c.activeFaults == 0:
		c.record(clusterinvariant.Event{Kind: clusterinvariant.FaultsEnded})
	}
}

// inject injects a fault of links when it is due. At the end of the fault, or earlier if ctx ends, it restores the links and returns.
func (c *cluster) inject(ctx context.Context, dayStartedAt time.Time, fault LinkFault) {
	if !sleep(ctx, time.Until(dayStartedAt.Add(fault.Start))) {
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
		if fault.PhaseDuration > 0 {
			wait = min(wait, fault.PhaseDuration)
		}
		if !sleep(ctx, wait) {
			break
		}
	}
	c.setLinks(fault, faultnet.Link{})
}

// setLinks sets the state of the links that a fault hits: those between sidecars in different parts of its partition.
func (c *cluster) setLinks(fault LinkFault, link faultnet.Link) {
	for i, part := range fault.Parts {
		for _, other := range fault.Parts[i+1:] {
			c.network.SetLinksOneWay(part, other, link)
			if !fault.IsOneWay {
				c.network.SetLinksOneWay(other, part, link)
			}
		}
	}
}

// close waits for the goroutines of startAdminClients, which stop when the rehearsal's context ends, and closes the network.
func (c *cluster) close() {
	if c == nil {
		return
	}
	c.adminClients.Wait()
	c.network.Close()
}
