// Package raftnode runs a daemon's part in the cluster's agreement: it owns the daemon's voter (package consensus), the
// voter's durable log (package wal) and the daemon's lease, and carries their messages over a transport.
//
// # State and goroutines
//
// Start starts one goroutine, the event loop, which alone owns the voter, the log, the lease and the pending proposals.
// While a version is checked (Options.Check) there is one more, which hands its result back to the event loop. Close
// ends both and waits for them. Requests read what the daemon may act on from an atomic pointer (Valid, CoversVersion)
// and never wait for the event loop.
//
// # What a caller may rely on
//
// All methods of Node are safe for concurrent use. A version is acted on only under a lease that a majority of the
// voters stands behind. A proposal is answered when it is committed or rejected; while that can't be known it fails
// with consensus.ErrIndeterminate, and the same command with the same ID is applied once however often it is proposed.
//
// A voter whose disk fails stops for the rest of the process and says so in the log; its daemon goes on under the
// leases of the other voters. At most maxPendingProposals commands are pending; messages are bounded by the transport.
package raftnode

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/wal"
)

// Transport carries messages between the daemons; *transport.Transport is one.
type Transport interface {
	// Send sends a message to a daemon by its name and does not wait for it. An error says that the message did not go
	// out; nil does not say that it arrives.
	Send(name string, kind byte, body []byte) error
	// Messages has what other daemons sent to this one.
	Messages() <-chan transport.Message
}

// Options of a Node. Name, Voters, Lease, Transport, Now and Log must be set.
type Options struct {
	// Name is this daemon's, unique in the cluster.
	Name string
	// Voters are the names of the first voters, in any order. All daemons of a cluster have the same, also after voters
	// changed.
	InitialVoters []string
	// Disk holds a voter's durable log and the version that was acted on last. Nil: nothing outlasts a restart, and
	// this daemon can't vote.
	Disk wal.FS
	// Lease has the lease times, the same for all daemons of a cluster.
	Lease consensus.LeaseConfig
	// Transport carries the messages. Its owner closes it, after the Node.
	Transport Transport
	// Now is this daemon's clock, which never runs backwards.
	Now func() time.Duration
	// Log gets what operators need to see.
	Log *slog.Logger
	// Check returns an error if this daemon can't act on documents; nil: it can act on all. Start calls it for the
	// cached version; after that it runs on a goroutine of its own, one call at a time.
	Check func(docs map[string]consensus.Document) error
	// The daemon reports by MarkInstalled which version it has installed. Otherwise a version counts as installed as
	// soon as it is leased.
	ReportsInstalled bool
}

// Node is a daemon's part in the agreement. Start makes one.
type Node struct {
	options    Options
	leased     atomic.Pointer[consensus.LeasedVersion]
	status     atomic.Pointer[Status]
	firstGrant chan struct{} // closed at the first grant
	changed    chan struct{} // has a value when leased has another version
	calls      chan func()   // for the event loop to run
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// What follows is owned by the event loop, run.

	localVoter       *localVoter // nil: this daemon does not vote
	hasStoppedVoting bool        // until the process ends: no voter is started any more
	isDiskLossLogged bool
	diskID           string                   // of a disk that had no voter at Start; empty: it had one, or there is no disk
	bootstrap        *bootstrap               // while this daemon is a first voter that has yet to begin; else nil
	bootstrapVote    *consensus.BootstrapVote // answer to first voters that have yet to begin; nil: it never began
	client           leaseClient
	proposals        pendingProposals
	cached           cacheEntry // what the cache file holds, without the documents
}

// Start loads what the disk has and starts the event loop. An error names the file or what is wrong with the directory.
func Start(o Options) (*Node, error) {
	n := &Node{
		options:    o,
		firstGrant: make(chan struct{}),
		changed:    make(chan struct{}, 1),
		calls:      make(chan func()),
		proposals:  pendingProposals{},
		client:     leaseClient{knownVoters: slices.Sorted(slices.Values(o.InitialVoters)), leader: o.InitialVoters[0]},
	}
	if o.Disk != nil {
		var err error
		if n.localVoter, err = n.startVoter(o.Now()); err != nil {
			return nil, err
		}
	}
	version, docs := n.loadCachedVersion()
	n.client.holder = consensus.NewLeaseHolder(o.Name, o.Lease, version, docs)
	n.leased.Store(&consensus.LeasedVersion{Version: version, Docs: docs})
	n.status.Store(&Status{})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.goroutines.Go(n.run)
	return n, nil
}

// Close stops the node and returns when none of its goroutines runs any more. An error is that of closing the durable
// log.
func (n *Node) Close() error {
	n.cancel()
	n.goroutines.Wait()
	if n.localVoter != nil {
		return n.localVoter.log.Close()
	}
	return nil
}

// Valid returns what this daemon acts on, which must not be changed, and whether its lease is valid now. It is false
// after the lease has expired and before the first one. The caller bounds the time between this check and the act. No
// lock is taken.
func (n *Node) Valid() (*consensus.LeasedVersion, bool) {
	leased := n.leased.Load()
	return leased, leased.Version > 0 && n.options.Now() < leased.ExpiresAt
}

// CoversVersion reports whether a version may be acted on now: the leased one, or the one before it until that one's
// lease has expired. No lock is taken.
func (n *Node) CoversVersion(version uint64) bool {
	return n.leased.Load().CoversVersion(version, n.options.Now())
}

// LeaseRemaining is the time until the lease expires; 0: it has expired.
func (n *Node) LeaseRemaining() time.Duration {
	return max(n.leased.Load().ExpiresAt-n.options.Now(), 0)
}

// MarkInstalled reports that this daemon has installed a version. It is to be
// called if the options say so, and only then.
func (n *Node) MarkInstalled(version uint64) {
	n.submit(n.ctx, func() { n.client.holder.MarkInstalled(version) })
}

// Recheck has a version that this daemon rejected checked again when it is offered next. It is to be called when
// something changed on which Options.Check depends.
func (n *Node) Recheck() { n.submit(n.ctx, func() { n.client.holder.Recheck() }) }

// FirstGrant is closed when the first grant since Start that this daemon can act on has come. Valid returns what is
// agreed from then on, if anything is.
func (n *Node) FirstGrant() <-chan struct{} { return n.firstGrant }

// Changed has a value when Valid returns another version than before. Changes that were not received in time are merged
// into one.
func (n *Node) Changed() <-chan struct{} { return n.changed }

// submit hands a function to the event loop and does not wait for its end. It returns false if ctx or the node ended
// first: the function is not run then.
func (n *Node) submit(ctx context.Context, call func()) bool {
	select {
	case n.calls <- call:
		return true
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	return false
}
