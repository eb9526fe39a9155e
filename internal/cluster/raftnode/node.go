// Package raftnode connects a daemon to the replicated documents of package consensus. It runs the daemon's voter, if
// the daemon has one, with the voter's durable log (package wal), keeps the daemon's lease, and carries the messages of
// the voter and of the lease over a transport.
//
// # State and goroutines
//
// Start starts one goroutine, the event loop, which alone owns the voter, the log, the lease and the pending proposals.
// While a version is checked (Options.Check) a second goroutine runs, which passes the outcome to the event loop. Close
// ends both and waits for them. Valid and CoversVersion, which are called while client requests are handled, read an
// atomic pointer and never wait for the event loop.
//
// # What a caller may rely on
//
// All methods of Node are safe for concurrent use. The daemon may act on a version only under a lease, which the leader
// grants after a majority of the voters has confirmed its leadership. A proposal returns when it is committed or
// rejected. If the outcome is not known in time the proposal fails with consensus.ErrIndeterminate; a command is applied
// once, however often it is proposed with the same ID.
//
// A voter whose disk fails stops until the process is restarted and logs an error; its daemon continues under leases that
// other voters grant. At most maxPendingProposals commands are pending. The transport bounds the size of messages.
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

// Transport carries messages between the daemons. It is implemented by *transport.Transport.
type Transport interface {
	// Send sends a message to the daemon with the given name and returns at once. An error means that the message was not
	// sent; a message that was sent may still be lost.
	Send(name string, kind byte, body []byte) error
	// Messages returns the channel of the messages that other daemons sent to this one.
	Messages() <-chan transport.Message
	// Contacts returns the names of the other daemons that take part in the cluster as far as this daemon knows, and the number
	// of daemons that it is configured to contact and has not reached yet.
	Contacts() (names []string, unreachedCount int)
}

// Options of a Node. Name, InitialVoters, Lease, Transport, Now and Log must be set.
type Options struct {
	// Name is the name of this daemon, unique in the cluster.
	Name string
	// InitialVoters are the names of the cluster's initial voters, in any order. All daemons of a cluster have the same
	// initial voters, which stay the same when the voters change.
	InitialVoters []string
	// Disk holds the voter's durable log, and the version on which the daemon acted last. If Disk is nil, nothing outlasts
	// a restart, and this daemon can't run a voter.
	Disk wal.FS
	// Lease has the durations of leases, the same for all daemons of a cluster.
	Lease consensus.LeaseConfig
	// Transport carries messages to and from other daemons. The caller of Start closes it after the Node.
	Transport Transport
	// Now is this daemon's monotonic clock.
	Now func() time.Duration
	// Log gets log messages for operators.
	Log *slog.Logger
	// Check returns an error if this daemon can't act on the documents of a version. If Check is nil, the daemon can
	// act on all versions. Start calls Check for the version in the cache file on Disk; later calls are made on a
	// separate goroutine, one at a time.
	Check func(docs map[string]consensus.Document) error
	// ReportsInstalled means that the daemon calls MarkInstalled for each version that it has installed. Otherwise a
	// version counts as installed as soon as it is leased.
	ReportsInstalled bool
}

// Node connects a daemon to the replicated documents. Start returns a running Node, which Close must end.
type Node struct {
	options        Options
	leased         atomic.Pointer[consensus.LeasedVersion] // version on which the daemon may act; read by all goroutines
	status         atomic.Pointer[Status]                  // status after the latest pass of the event loop; read by all goroutines
	firstGrant     chan struct{}                           // closed when a grant first names as active the version on which this daemon acts
	versionChanged chan struct{}                           // holds a value if the leased version has changed since the last receive
	submittedCalls chan func()                             // functions that other goroutines pass to the event loop, which runs them
	ctx            context.Context                         // canceled by Close
	cancel         context.CancelFunc                      // cancels ctx
	goroutines     sync.WaitGroup                          // event loop, and running call of Options.Check

	// Fields that only the event loop's goroutine (run) may use: localVoter to cachedEntry.

	localVoter           *localVoter              // this daemon's voter; nil: the daemon runs none
	isVoterStartDisabled bool                     // whether this process must not start a voter any more
	isDiskLossLogged     bool                     // whether the loss of the disk of this daemon's voter was logged
	otherClusterMessages uint64                   // number of messages of another bootstrap of the cluster that were dropped
	diskID               string                   // id of this daemon's disk; empty if the disk had a voter at Start, or there is no disk
	bootstrap            *bootstrap               // bootstrap of an initial voter that has not created its log; nil in all other cases
	bootstrapVote        *consensus.BootstrapVote // vote that tells other initial voters that this daemon has created its log; nil: no such vote is sent
	leaseClient          leaseClient              // this daemon's lease, and the voters that may grant it
	proposals            pendingProposals         // commands whose result is not known yet, or has not been passed to a caller yet
	cachedEntry          cacheEntry               // contents of the cache file, without the documents
	isCacheOutdated      bool                     // whether cachedEntry has a Founding that the cache file does not have yet
}

// Start loads the state on Options.Disk and starts the event loop. An error names the damaged file, or says what is wrong
// with the data directory.
func Start(o Options) (*Node, error) {
	n := &Node{
		options:        o,
		firstGrant:     make(chan struct{}),
		versionChanged: make(chan struct{}, 1),
		submittedCalls: make(chan func()),
		proposals:      pendingProposals{},
		leaseClient:    leaseClient{knownVoters: slices.Sorted(slices.Values(o.InitialVoters)), leader: o.InitialVoters[0]},
	}
	if o.Disk != nil {
		var err error
		if n.localVoter, err = n.startVoter(o.Now()); err != nil {
			return nil, err
		}
	}
	version, docs := n.loadCachedVersion()
	n.leaseClient.holder = consensus.NewLeaseHolder(o.Name, o.Lease, version, docs)
	n.leased.Store(&consensus.LeasedVersion{Version: version, Docs: docs})
	n.status.Store(&Status{})
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.goroutines.Go(n.run)
	return n, nil
}

// Close stops the node and returns when all its goroutines have ended. It returns the error of closing the durable log.
func (n *Node) Close() error {
	n.cancel()
	n.goroutines.Wait()
	if n.localVoter != nil {
		return n.localVoter.log.Close()
	}
	return nil
}

// Valid returns the version on which this daemon acts, which the caller must not modify, and whether the lease on that
// version is valid now. The lease is not valid before the first grant, and not after the lease has expired. The caller
// must bound the time between its call of Valid and its last action under the lease. Valid takes no lock.
func (n *Node) Valid() (*consensus.LeasedVersion, bool) {
	leased := n.leased.Load()
	return leased, leased.Version > 0 && n.options.Now() < leased.ExpiresAt
}

// CoversVersion reports whether this daemon may act on a version now: on the leased version, and on the previous version
// until the lease on that version has expired. It takes no lock.
func (n *Node) CoversVersion(version uint64) bool {
	return n.leased.Load().CoversVersion(version, n.options.Now())
}

// LeaseRemaining returns how much longer the lease is valid on the version that Valid returns, or 0 if the lease has
// expired.
func (n *Node) LeaseRemaining() time.Duration {
	return max(n.leased.Load().ExpiresAt-n.options.Now(), 0)
}

// MarkInstalled records that all parts of this daemon act on a version. It must be called if Options.ReportsInstalled is
// set, and only then.
func (n *Node) MarkInstalled(version uint64) {
	n.submit(n.ctx, func() { n.leaseClient.holder.MarkInstalled(version) })
}

// Recheck forgets that this daemon rejected a version, so that Options.Check runs again when the leader next offers the
// version. It must be called when something changes on which the result of Options.Check depends.
func (n *Node) Recheck() { n.submit(n.ctx, func() { n.leaseClient.holder.Recheck() }) }

// FirstGrant returns a channel that is closed when, for the first time since Start, a grant names as active the version
// on which this daemon acts. From then on Valid returns the cluster's active version, if there is one.
func (n *Node) FirstGrant() <-chan struct{} { return n.firstGrant }

// VersionChanged returns a channel that gets a value when Valid returns another version than before. Changes are merged into
// one value until the caller receives it.
func (n *Node) VersionChanged() <-chan struct{} { return n.versionChanged }

// submit passes a function to the event loop and does not wait until it has run. It returns false, and the function is
// not run, if ctx or the node ends first.
func (n *Node) submit(ctx context.Context, call func()) bool {
	select {
	case n.submittedCalls <- call:
		return true
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	return false
}
