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

// clusterNode is this daemon's membership in a cluster, which the section [fleet] of the operators' file configures.
// Without that section the Sidecar has a nil clusterNode, which opens no socket and runs no goroutine; all methods that
// the Sidecar calls accept nil.
type clusterNode struct {
	transport     *transport.Transport
	log           *slog.Logger
	spec          config.ClusterSpec // the cluster's configuration when this daemon was started
	notifiesPools bool               // whether pools are notified of how many daemons share their endpoints
	stop          func()             // stops the cluster's goroutines
	goroutines    sync.WaitGroup

	raft             *raftnode.Node              // consensus node; nil: the cluster does not agree on settings
	ownFile          atomic.Pointer[config.File] // this daemon's own configuration file as last read
	rejectedRequests atomic.Uint64               // number of requests rejected because this daemon had no valid lease
	// appliedEjections are the agreed ejections that this daemon has applied last. After the daemon's start only the goroutine of
	// watchAgreement uses the field.
	appliedEjections agreedEjections

	mu sync.Mutex
	// daemons is the number of daemons that share the endpoints, 0 until it is known; index is this daemon's position
	// among these daemons, from 0.
	daemons, index int
	pools          map[*pool]bool // running pools, which are notified when daemons or index changes
}

var (
	// errNoCluster is the response to a command about the cluster on a daemon that is in none. Clients of the operators'
	// address may match this text.
	errNoCluster = errors.New("this daemon is in no fleet")
	// errClusterNeedsRestart is the error of a reload that adds or removes the section [fleet].
	errClusterNeedsRestart = errors.New("fleet: adding or removing this section needs a restart")
)

// transportOptions returns the options of the cluster's transport for a configuration; it reads the key file.
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

// startCluster joins the cluster that a configuration names. It returns nil if the configuration names none.
func startCluster(c config.Service, log *slog.Logger) (*clusterNode, error) {
	if c.Cluster == nil {
		return nil, nil
	}
	options, err := transportOptions(c.Cluster, log)
	if err != nil {
		return nil, err
	}
	clusterTransport, err := transport.Start(options)
	if err != nil {
		return nil, err
	}
	log.Info("cluster transport started", "cluster", c.Cluster.ClusterName, "addr", clusterTransport.Addr())
	n := &clusterNode{
		transport:     clusterTransport,
		log:           log,
		spec:          *c.Cluster,
		notifiesPools: c.Cluster.SharesByMembership,
		pools:         map[*pool]bool{},
	}
	n.ownFile.Store(c.File)
	if c.Cluster.Consensus != nil {
		if n.raft, err = n.startRaft(); err != nil {
			return nil, errors.Join(fmt.Errorf("fleet.data_dir: %w", err), clusterTransport.Abort())
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.goroutines.Go(func() { n.watchMembers(ctx) })
	return n, nil
}

// startRaft starts this daemon's consensus node. Without a data directory the node never becomes a voter.
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

// prepareReconfigure reads the cluster settings that a reload may change, among them the keys. The returned function
// commit applies these settings and can't fail. It logs a warning if a changed setting takes effect only after a restart,
// or must be changed by an operator's command.
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
		initialSpec := n.spec
		if initialSpec.Name != spec.Name || initialSpec.ClusterName != spec.ClusterName || initialSpec.Listen != spec.Listen ||
			initialSpec.Advertise != spec.Advertise || initialSpec.SharesByMembership != spec.SharesByMembership {
			n.log.Warn("fleet: name, cluster, listen, advertise, and whether daemons and index are given, " +
				"change with a restart only")
		}
		if n.raft != nil && !slices.Equal(initialSpec.Voters, spec.Voters) {
			n.log.Warn("fleet: the change of voters is ignored: where settings are agreed on, voters are changed by command")
			options.Voters = initialSpec.Voters
		}
		n.transport.Reconfigure(options) // even if all options are equal: the key file's content may have changed
	}, nil
}

// watchMembers follows the cluster's membership. It passes to the pools the number of daemons that share the endpoints,
// and this daemon's index among these daemons.
func (n *clusterNode) watchMembers(ctx context.Context) {
	var tracker ordinal.Tracker
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.transport.ViewChanged():
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

// setBalancerCount records how many daemons share the endpoints and this daemon's index among these daemons. It passes the
// two numbers to all pools if either has changed.
func (n *clusterNode) setBalancerCount(daemons, index int) {
	n.mu.Lock()
	isChanged := daemons != n.daemons || index != n.index
	n.daemons, n.index = daemons, index
	var pools []*pool
	for p := range n.pools {
		pools = append(pools, p)
	}
	n.mu.Unlock()
	if !isChanged || !n.notifiesPools {
		return
	}
	n.log.Info("cluster size changed", "daemons", daemons, "index", index)
	for _, p := range pools { // Post blocks while the pool's event queue is full, which delays only this notification
		p.loop.Post(func(now time.Duration) { p.loop.SetBalancerCount(now, daemons, index) })
	}
}

// addPool passes the number of daemons and this daemon's index to a new pool, now and whenever either changes.
func (n *clusterNode) addPool(p *pool) {
	if n == nil {
		return
	}
	n.mu.Lock()
	n.pools[p] = true
	daemons, index := n.daemons, n.index
	n.mu.Unlock()
	if n.notifiesPools && daemons > 0 {
		p.loop.Post(func(now time.Duration) { p.loop.SetBalancerCount(now, daemons, index) })
	}
}

// removePool makes setBalancerCount notify a pool no longer.
func (n *clusterNode) removePool(p *pool) {
	if n == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pools, p)
}

// close announces to the other members that this daemon leaves the cluster, and returns when all of the cluster's
// goroutines have ended.
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

// writePeers writes this daemon's view of the cluster: one line about itself, and one for each member, itself included.
func (n *clusterNode) writePeers(w io.Writer) error {
	if n == nil {
		return errNoCluster
	}
	n.mu.Lock()
	daemons, index := n.daemons, n.index
	n.mu.Unlock()
	return status.FleetFromView(n.transport.View(), n.transport.Now(), daemons, index).Write(w)
}
