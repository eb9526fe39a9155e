package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/ordinal"
	"tuliprock/internal/cluster/raftnode"
	"tuliprock/internal/cluster/status"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/config"
	"tuliprock/internal/wal"
)

// clusterNode is this daemon's part in a cluster, which an operators' file configures as [fleet]. Without one the
// Sidecar has a nil clusterNode, which opens no socket and runs no goroutine; all methods that the Sidecar calls take
// that.
type clusterNode struct {
	transport    *transport.Transport
	log          *slog.Logger
	spec         config.ClusterSpec // as it was started
	dividesPools bool               // the pools get the number of members that share them
	stop         func()             // ends the goroutines
	goroutines   sync.WaitGroup

	raft             *raftnode.Node              // nil: nothing is agreed on
	ownFile          atomic.Pointer[config.File] // this daemon's own file, as it was read last
	rejectedRequests atomic.Uint64               // since this daemon had no valid lease
	// agreedEjections are the endpoints ejected by agreement, as applied last. watchAgreement's goroutine owns them.
	agreedEjections map[string]bool

	mu             sync.Mutex
	daemons, index int            // how many members share the pools, and which one this is; 0: not known yet
	pools          map[*pool]bool // those that run
}

var (
	// errNoCluster is why a command about the cluster is not carried out.
	errNoCluster = errors.New("this daemon is in no fleet")
	// errClusterNeedsRestart is why a reload that adds or removes the cluster fails.
	errClusterNeedsRestart = errors.New("fleet: whether there is one changes with a restart")
)

// transportOptions reads the key file.
func transportOptions(spec *config.ClusterSpec, log *slog.Logger) (transport.Options, error) {
	o := transport.Options{
		Cluster:   spec.ClusterName,
		Name:      spec.Name,
		Listen:    spec.Listen,
		Advertise: spec.Advertise,
		Join:      spec.Join,
		Voters:    spec.Voters,
		Timing:    spec.Timing,
		Log:       log,
	}
	if spec.KeyFile == "" {
		return o, nil
	}
	keys, err := transport.ReadKeys(spec.KeyFile)
	if err != nil {
		return o, fmt.Errorf("fleet.key_file: %w", err)
	}
	o.Keys = keys
	return o, nil
}

// startCluster joins the cluster that a configuration names; it returns nil if it names none.
func startCluster(c config.Service, log *slog.Logger) (*clusterNode, error) {
	if c.Cluster == nil {
		return nil, nil
	}
	options, err := transportOptions(c.Cluster, log)
	if err != nil {
		return nil, err
	}
	link, err := transport.Start(options)
	if err != nil {
		return nil, err
	}
	log.Info("cluster transport started", "cluster", c.Cluster.ClusterName, "addr", link.Addr())
	n := &clusterNode{transport: link, log: log, spec: *c.Cluster, dividesPools: c.Cluster.DividesByMembership, pools: map[*pool]bool{}}
	n.ownFile.Store(c.File)
	if c.Cluster.Consensus != nil {
		if n.raft, err = n.startRaft(); err != nil {
			return nil, errors.Join(fmt.Errorf("fleet.data_dir: %w", err), link.Abort())
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.goroutines.Go(func() { n.watchMembers(ctx) })
	return n, nil
}

// startRaft starts this daemon's part in the consensus; without a data directory it never votes.
func (n *clusterNode) startRaft() (*raftnode.Node, error) {
	o := raftnode.Options{
		Name:             n.spec.Name,
		InitialVoters:    n.spec.Voters,
		Lease:            n.spec.Consensus.LeaseConfig,
		Transport:        n.transport,
		Now:              n.transport.Now,
		Log:              n.log,
		ReportsInstalled: true,
		Check: func(docs map[string]consensus.Document) error {
			return n.ownFile.Load().CheckDocuments(documentBodies(docs))
		},
	}
	if n.spec.Consensus.DataDir != "" {
		disk, err := wal.OpenDir(n.spec.Consensus.DataDir)
		if err != nil {
			return nil, err
		}
		o.Disk = disk
	}
	return raftnode.Start(o)
}

// prepareReconfigure reads what a reload may change of the cluster's configuration, the keys among it; commit applies it
// and can't fail.
func (n *clusterNode) prepareReconfigure(spec *config.ClusterSpec) (commit func(), _ error) {
	switch {
	case n == nil && spec == nil:
		return func() {}, nil
	case n == nil || spec == nil:
		return nil, errClusterNeedsRestart
	}
	options, err := transportOptions(spec, n.log)
	if err != nil {
		return nil, err
	}
	return func() {
		started := n.spec
		if started.Name != spec.Name || started.ClusterName != spec.ClusterName || started.Listen != spec.Listen ||
			started.Advertise != spec.Advertise || started.DividesByMembership != spec.DividesByMembership {
			n.log.Warn("fleet: name, cluster, listen, advertise, and whether daemons and index are given, " +
				"change with a restart only")
		}
		if n.raft != nil && !slices.Equal(started.Voters, spec.Voters) {
			n.log.Warn("fleet: voters stay as they are where settings are agreed on")
			options.Voters = started.Voters
		}
		n.transport.Reconfigure(options) // even if all is equal: the key file may have other content under the same name
	}, nil
}

// watchMembers tells the pools how many members share them, as the view of the cluster changes.
func (n *clusterNode) watchMembers(ctx context.Context) {
	var tracker ordinal.Tracker
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.transport.Changed():
		case <-timer.C:
		}
		now := n.transport.Now()
		daemons, index, updateAt := tracker.Update(now, n.transport.View())
		if updateAt > 0 {
			timer.Reset(updateAt - now)
		}
		n.setBalancerCount(daemons, index)
	}
}

// setBalancerCount passes the number of members to all pools, if it has changed.
func (n *clusterNode) setBalancerCount(daemons, index int) {
	n.mu.Lock()
	isChanged := daemons != n.daemons || index != n.index
	n.daemons, n.index = daemons, index
	var pools []*pool
	for p := range n.pools {
		pools = append(pools, p)
	}
	n.mu.Unlock()
	if !isChanged || !n.dividesPools {
		return
	}
	n.log.Info("cluster size changed", "daemons", daemons, "index", index)
	for _, p := range pools { // on this goroutine alone: a pool that is busy delays only the other pools' events
		p.loop.Post(func(now time.Duration) { p.loop.SetBalancerCount(now, daemons, index) })
	}
}

// addPool lets a new pool know the number of members, now and when it changes.
func (n *clusterNode) addPool(p *pool) {
	if n == nil {
		return
	}
	n.mu.Lock()
	n.pools[p] = true
	daemons, index := n.daemons, n.index
	n.mu.Unlock()
	if n.dividesPools && daemons > 0 {
		p.loop.Post(func(now time.Duration) { p.loop.SetBalancerCount(now, daemons, index) })
	}
}

func (n *clusterNode) removePool(p *pool) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pools, p)
}

// close leaves the cluster, so that the other members see it at once, and returns when nothing runs any more.
func (n *clusterNode) close() error {
	if n == nil {
		return nil
	}
	n.stop()
	n.goroutines.Wait()
	var err error
	if n.raft != nil {
		err = n.raft.Close()
	}
	return errors.Join(err, n.transport.Close())
}

// writePeers writes this daemon's view of the cluster: a line for itself, and one for each member, itself included.
func (n *clusterNode) writePeers(w io.Writer) error {
	if n == nil {
		return errNoCluster
	}
	n.mu.Lock()
	daemons, index := n.daemons, n.index
	n.mu.Unlock()
	return status.FleetFromView(n.transport.View(), n.transport.Now(), daemons, index).Write(w)
}
