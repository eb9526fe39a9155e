// Package raftnode carries agreement out (agree): it owns a daemon's voter, its durable log and its leases, and sends what they
// want sent over a link. One goroutine owns them all; what a request needs is read from an atomic pointer.
//
// Bounds: one goroutine; as many waiting puts as mostPuts; parcels as the link bounds them. A voter whose disk fails steps
// down for the rest of its process's life, and says so; its daemon goes on under leases.
package raftnode

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/wal"
)

// Kinds of parcels.
const (
	kindRaft           = 'r'
	kindLeaseRequest   = 'q'
	kindLeaseGrant     = 'g'
	kindProposal       = 'p'
	kindProposalResult = 's'
	kindVoterNames     = 'v'
	kindBootstrap      = 'f'
)

const (
	heartbeatInterval       = 100 * time.Millisecond // of the voters; an election takes five to ten without a word
	maxPendingProposals     = 64
	maxPendingProposalBytes = 8 << 20         // of them together, as raft has it of what is not yet agreed on
	initialRetryBackoff     = time.Second     // between the first two tries of a command that nobody has answered; it doubles with each
	orphanRetention         = 8 * time.Second // that one is kept whose asker has gone
	maxIdleWait             = time.Hour
)

// Transport is what carries parcels: a link.Link.
type Transport interface {
	Send(name string, kind byte, body []byte) error
	Messages() <-chan transport.Message
}

// Options of a Chamber.
type Options struct {
	Name      string
	Voters    []string // the first ones, of all daemons alike, in any order
	Disk      wal.FS   // for what this daemon acts on, over restarts, and a voter's log; nil: it remembers nothing, and can't vote
	Lease     consensus.LeaseConfig
	Transport Transport
	Now       func() time.Duration // this daemon's clock; it never runs backwards
	Log       *slog.Logger

	// Check tells whether this daemon can act on documents; nil: on all. It runs on a goroutine of its own, one at a time.
	Check func(docs map[string]consensus.Document) error
	// Installs: the daemon says by Installed which version it has taken up. Else a version is taken up as it comes.
	Installs bool
}

// LeasedVersion is what a daemon acts on, while its lease lasts.
type LeasedVersion = consensus.LeasedVersion

// Node is a daemon's part in what is agreed.
type Node struct {
	options    Options
	leased     atomic.Pointer[LeasedVersion]
	status     atomic.Pointer[Status]
	firstGrant chan struct{} // closed at the first grant
	changed    chan struct{} // has a value when Acting has another version
	calls      chan func()
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	// The owner's:
	slot                  *voterSlot // nil: this daemon does not vote
	lease                 *consensus.LeaseHolder
	nextLeaseRequest      time.Duration
	knownVoters           []string // who may be asked, in order: those that were told, and those that vote as far as is known
	activeVoters          []string // who votes, as the leader said last
	leader                string   // the voter that answered last, or was asked last
	leaderAnswered        bool
	hasFirstGrant         bool // a grant has come
	proposals             map[string]*proposal
	checkingVersion       uint64                   // version that is being checked; 0: none
	cachedVersion         uint64                   // version that is kept,
	cachedVoters          []string                 // and who voted
	bootstrap             *consensus.Bootstrap     // while this daemon is a first voter that has yet to begin
	nextBootstrapRound    time.Duration            // next round of that
	startedAt             time.Duration            // this process
	bootstrapVote         *consensus.BootstrapVote // what it says to those that have yet to begin; nil: it never began
	hasStoppedVoting      bool                     // this daemon's part in the voting has ended
	diskMark              string                   // the mark of a disk that has no voter; empty: there is none
	isDiskLossLogged      bool                     // it was said that the log of its seat is gone
	isBootstrapWaitLogged bool                     // it was said which first voters are not there
}

// proposal is a command that has not been answered: by whom it was asked here, or from which daemon it came. One whose asker has gone
// is kept for a while: asked again it is not proposed anew.
type proposal struct {
	body        []byte
	waiter      chan proposalResult // nil: nobody here waits for it
	proposer    string              // the daemon that it came from; empty: none
	nextAttempt time.Duration       // instant of the next try,
	backoff     time.Duration       // and how long after it another comes
	expiresAt   time.Duration
	result      *proposalResult // what became of it, for who asks again
}

// proposalResult is what became of a command.
type proposalResult struct {
	ID string `json:"ID"`
	consensus.CommandResult
	Error string `json:"Err"` // empty: it was committed
}

// Status is how agreement stands, as this daemon sees it.
type Status struct {
	Votes     bool
	Leads     bool
	Leader    string   // who granted the latest lease
	Voters    []string // who may be asked
	Sitting   []string // who votes, as the leader said last
	Term      uint64
	Committed uint64 // the latest version that a voter here has applied; 0 where this daemon does not vote
	Coming    uint64
	All       uint64          // no daemon acts on an earlier version; 0: not known
	Lagging   []consensus.Lag // whom the leader waits for
	Declined  uint64          // the version that this daemon can't act on; 0: none
	Why       string
}

// Start opens the log and begins. An error names the directory or what is wrong with it.
func Start(o Options) (*Node, error) {
	c := &Node{options: o, knownVoters: slices.Sorted(slices.Values(o.Voters)), leader: o.Voters[0], changed: make(chan struct{}, 1), firstGrant: make(chan struct{}), calls: make(chan func()), proposals: map[string]*proposal{}}
	now := o.Now()
	c.startedAt = now
	if o.Disk != nil {
		var err error
		if c.slot, err = c.startVoter(now); err != nil {
			return nil, err
		}
	}
	version, docs := c.loadCachedVersion()
	c.lease = consensus.NewLeaseHolder(o.Name, o.Lease, version, docs)
	c.leased.Store(&LeasedVersion{Version: version, Docs: docs})
	c.status.Store(&Status{})
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.goroutines.Go(c.run)
	return c, nil
}

// Valid tells what this daemon may act on now; false: its lease has run out, or it never had one. The look and the act lie as far
// apart as the caller lets them; no lock is taken.
func (n *Node) Valid() (*LeasedVersion, bool) {
	a := n.leased.Load()
	return a, a.Version > 0 && n.options.Now() < a.Until
}

// CoversVersion tells whether a version may be acted on now: the one that this daemon is to act on, or the one before while it
// changes over. No lock is taken.
func (n *Node) CoversVersion(version uint64) bool {
	return n.leased.Load().CoversVersion(version, n.options.Now())
}

// LeaseRemaining is how long the lease lasts yet.
func (n *Node) LeaseRemaining() time.Duration { return max(n.leased.Load().Until-n.options.Now(), 0) }

// MarkInstalled says that this daemon has taken a version up, where it Installs.
func (n *Node) MarkInstalled(version uint64) {
	n.submit(n.ctx, func() { n.lease.MarkInstalled(version) })
}

// Recheck has a version that this daemon could not act on looked at again: something here has changed.
func (n *Node) Recheck() { n.submit(n.ctx, n.lease.Recheck) }

// FirstGrant is closed when the first grant since the start has come: then May tells what is agreed, if anything is.
func (n *Node) FirstGrant() <-chan struct{} { return n.firstGrant }

// Changed has a value when May tells of another version.
func (n *Node) Changed() <-chan struct{} { return n.changed }

// Status is how agreement stands.
func (n *Node) Status() Status { return *n.status.Load() }

// Close ends the chamber, and returns when nothing of it runs any more.
func (n *Node) Close() error {
	n.cancel()
	n.goroutines.Wait()
	if n.slot != nil {
		return n.slot.log.Close()
	}
	return nil
}

// ProposeVersion has a command agreed on, and gives the version that it made once that is committed. A command without an ID gets one.
func (n *Node) ProposeVersion(ctx context.Context, cmd consensus.Command) (uint64, error) {
	a, err := n.Propose(ctx, cmd)
	return a.Version, err
}

// Propose is Put for commands of all kinds, and gives all that became of one.
func (n *Node) Propose(ctx context.Context, cmd consensus.Command) (consensus.CommandResult, error) {
	if cmd.ID == "" {
		cmd.ID = rand.Text()
	}
	body, err := cmd.Encode()
	if err != nil {
		return consensus.CommandResult{}, err
	}
	answer := make(chan proposalResult, 1)
	room := make(chan bool, 1)
	if !n.submit(ctx, func() { room <- n.addProposal(cmd.ID, body, answer) }) {
		return consensus.CommandResult{}, consensus.ErrIndeterminate
	}
	if !<-room {
		return consensus.CommandResult{}, fmt.Errorf("as much is under way already as may be: %d commands, or %d bytes", maxPendingProposals, maxPendingProposalBytes)
	}
	select {
	case r := <-answer:
		if r.Error != "" {
			return r.CommandResult, errors.New(r.Error)
		}
		return r.CommandResult, nil
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	n.submit(n.ctx, func() {
		if p := n.proposals[cmd.ID]; p != nil && p.waiter == answer {
			p.waiter, p.expiresAt = nil, n.options.Now()+orphanRetention
		}
	})
	return consensus.CommandResult{}, consensus.ErrIndeterminate
}

// addProposal has a command's answer sent when it comes; it is there already if it was asked for before. False: there is no room.
func (n *Node) addProposal(id string, body []byte, answer chan proposalResult) bool {
	p := n.proposals[id]
	switch {
	case p == nil && !n.hasCapacity(len(body)):
		return false
	case p == nil:
		n.proposals[id] = &proposal{body: body, waiter: answer, backoff: initialRetryBackoff, expiresAt: math.MaxInt64}
	case p.result != nil:
		answer <- *p.result
		delete(n.proposals, id)
	default:
		p.waiter, p.expiresAt = answer, math.MaxInt64
	}
	return true
}

// hasCapacity tells whether one more command may wait.
func (n *Node) hasCapacity(bytes int) bool {
	for _, p := range n.proposals {
		bytes += len(p.body)
	}
	return len(n.proposals) < maxPendingProposals && bytes <= maxPendingProposalBytes
}

// submit has the owner do something; false: not before ctx or the chamber ended.
func (n *Node) submit(ctx context.Context, do func()) bool {
	select {
	case n.calls <- do:
		return true
	case <-ctx.Done():
	case <-n.ctx.Done():
	}
	return false
}

// run does what comes and what is due, until the chamber ends.
func (n *Node) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case p := <-n.options.Transport.Messages():
			n.handleMessage(p)
		case do := <-n.calls:
			do()
		case <-timer.C:
		}
		now := n.options.Now()
		if n.slot != nil && now >= n.slot.voter.NextTick() {
			n.slot.voter.Tick(now)
		}
		if n.bootstrap != nil && now >= n.nextBootstrapRound {
			n.runBootstrapRound(now)
		}
		if now >= n.nextLeaseRequest {
			n.requestLease(now)
		}
		n.attemptProposals(now)
		n.processVoterOutput()
		n.publish()
		timer.Reset(n.untilNextDeadline(n.options.Now()))
	}
}

// untilNextDeadline is how long nothing is due.
func (n *Node) untilNextDeadline(now time.Duration) time.Duration {
	next := n.nextLeaseRequest
	if n.bootstrap != nil {
		next = min(next, n.nextBootstrapRound)
	}
	if n.slot != nil {
		next = min(next, n.slot.voter.NextTick())
	}
	for _, p := range n.proposals {
		next = min(next, p.nextAttempt, p.expiresAt)
	}
	return min(max(next-now, 0), maxIdleWait)
}

// handleMessage takes a parcel. What can't be read is dropped: it was signed by a daemon of the fleet, of another version then.
func (n *Node) handleMessage(p transport.Message) {
	now := n.options.Now()
	switch p.Kind {
	case kindRaft:
		n.handleRaft(now, p)
	case kindLeaseRequest:
		var r consensus.LeaseRequest
		if json.Unmarshal(p.Body, &r) == nil && r.Daemon == p.From && (n.slot == nil || n.slot.voter.RequestLease(r) != nil) {
			n.sendKnownVoters(p.From)
		}
	case kindLeaseGrant:
		var g consensus.LeaseGrant
		if slices.Contains(n.knownVoters, p.From) && json.Unmarshal(p.Body, &g) == nil {
			n.handleGrant(now, p.From, g)
		}
	case kindProposal:
		var cmd struct {
			ID string `json:"id"`
		}
		if n.slot == nil || json.Unmarshal(p.Body, &cmd) != nil || cmd.ID == "" {
			return
		}
		if was := n.proposals[cmd.ID]; was != nil {
			if was.proposer = p.From; was.result != nil {
				n.sendResult(p.From, *was.result)
			}
		} else if n.hasCapacity(len(p.Body)) {
			n.proposals[cmd.ID] = &proposal{body: p.Body, proposer: p.From, backoff: initialRetryBackoff, expiresAt: now + orphanRetention} // the other asks again, if it must
		}
	case kindVoterNames:
		var names []string
		if json.Unmarshal(p.Body, &names) == nil && !n.leaderAnswered {
			n.updateKnownVoters(names, false)
		}
	case kindBootstrap:
		n.handleBootstrap(now, p)
	case kindProposalResult:
		var r proposalResult
		if json.Unmarshal(p.Body, &r) == nil && slices.Contains(n.knownVoters, p.From) {
			n.handleResult(r)
		}
	}
}

// sendKnownVoters says to a daemon that asked one which does not lead whom it may ask: its own list may be of long ago.
func (n *Node) sendKnownVoters(name string) {
	if body, err := json.Marshal(n.knownVoters); err == nil {
		_ = n.options.Transport.Send(name, kindVoterNames, body)
	}
}

// maxKnownVoters bounds the names of those who may be asked: beyond it names from others are not taken.
const maxKnownVoters = 4 * consensus.MaxVoters

// updateKnownVoters takes up names of voters: from a leader those that vote, beside those that were told; from others what they know.
func (n *Node) updateKnownVoters(names []string, leads bool) {
	all := slices.Concat(names, n.options.Voters)
	if !leads {
		all = slices.Concat(names, n.knownVoters)
	}
	if all = slices.Compact(slices.Sorted(slices.Values(all))); leads || len(all) <= maxKnownVoters {
		n.knownVoters = all
	}
}

// requestLease asks for a lease: whoever granted the last one, or the next voter.
func (n *Node) requestLease(now time.Duration) {
	if !n.leaderAnswered {
		i, _ := slices.BinarySearch(n.knownVoters, n.leader+"\x00")
		n.leader = n.knownVoters[i%len(n.knownVoters)]
	}
	n.leaderAnswered = false
	r, next := n.lease.NextRequest(now)
	if n.slot == nil && !n.hasStoppedVoting {
		r.Mark = n.diskMark
	}
	n.nextLeaseRequest = next
	if n.slot != nil && n.slot.voter.IsLeader() {
		_ = n.slot.voter.RequestLease(r)
		return
	}
	if body, err := json.Marshal(r); err == nil {
		_ = n.options.Transport.Send(n.leader, kindLeaseRequest, body) // who is not there does not answer
	}
}

func (n *Node) handleGrant(now time.Duration, by string, g consensus.LeaseGrant) {
	n.leaderAnswered, n.leader = true, by
	if len(g.Voters) > 0 {
		n.updateKnownVoters(g.Voters, true)
		n.activeVoters = g.Sitting
		if by != n.options.Name {
			n.applyVoterAction(now, &g)
		}
	}
	n.lease.HandleGrant(now, g)
	if !n.options.Installs {
		n.lease.MarkInstalled(n.lease.Leased().Version)
	}
	n.startCheck()
	if a := n.lease.Leased(); a.Version == g.Version && (a.Version != n.cachedVersion || !slices.Equal(g.Voters, n.cachedVoters)) {
		n.cacheVersion(a, g.Voters)
	}
	if !n.hasFirstGrant && n.lease.Leased().Version == g.Version {
		n.hasFirstGrant = true
		n.publish()
		close(n.firstGrant)
	}
}

// startCheck has what was offered looked at, one version at a time. It asks for a lease as soon as that is done.
func (n *Node) startCheck() {
	version, docs := n.lease.PendingCheck()
	if version == 0 || n.checkingVersion != 0 {
		return
	}
	n.checkingVersion = version
	n.goroutines.Go(func() {
		var err error
		if n.options.Check != nil {
			err = n.options.Check(docs)
		}
		n.submit(n.ctx, func() {
			n.checkingVersion = 0
			if err != nil {
				n.options.Log.Warn("this daemon can't act on a version", "version", version, "err", err)
			}
			n.lease.CompleteCheck(version, err)
			n.nextLeaseRequest = 0
			n.startCheck() // another may have been offered meanwhile
		})
	})
}

// attemptProposals proposes what has not been answered.
func (n *Node) attemptProposals(now time.Duration) {
	for id, p := range n.proposals {
		switch {
		case now >= p.expiresAt:
			delete(n.proposals, id)
		case now < p.nextAttempt || p.result != nil:
		case n.slot != nil:
			if n.slot.voter.ProposeEncoded(p.body) != nil {
				p.nextAttempt = now + heartbeatInterval // there is no leader: nothing was done
				continue
			}
			p.scheduleRetry(now)
		default:
			_ = n.options.Transport.Send(n.leader, kindProposal, p.body)
			p.scheduleRetry(now)
		}
	}
}

// scheduleRetry puts the next try off: each may have another copy of a long command written by all voters.
func (p *proposal) scheduleRetry(now time.Duration) {
	p.nextAttempt = now + p.backoff
	p.backoff = min(2*p.backoff, orphanRetention)
}

// sendResult sends a command's result to the daemon that it came from.
func (n *Node) sendResult(name string, r proposalResult) {
	if body, err := json.Marshal(r); err == nil {
		_ = n.options.Transport.Send(name, kindProposalResult, body)
	}
}

func (n *Node) handleResult(r proposalResult) {
	p := n.proposals[r.ID]
	if p == nil || p.result != nil {
		return
	}
	if p.proposer != "" {
		n.sendResult(p.proposer, r)
	}
	switch {
	case p.waiter != nil:
		p.waiter <- r
		delete(n.proposals, r.ID)
	case p.proposer != "":
		delete(n.proposals, r.ID)
	default: // for who asks again
		p.result, p.body, p.nextAttempt = &r, nil, p.expiresAt
	}
}

// publish makes known what this daemon may act on, and how agreement stands.
func (n *Node) publish() {
	a := n.lease.Leased()
	if was := n.leased.Load(); a.Version != was.Version || a.Until != was.Until {
		n.leased.Store(&a)
		if a.Version != was.Version {
			select {
			case n.changed <- struct{}{}:
			default:
			}
		}
	}
	s := Status{Votes: n.slot != nil && !n.slot.voter.IsLearner(), Leader: n.leader, Voters: n.knownVoters, Sitting: n.activeVoters}
	s.All, s.Lagging = n.lease.FullyActive()
	s.Declined, s.Why = n.lease.Rejected()
	if n.slot != nil {
		st := n.slot.voter.State()
		s.Leads, s.Committed, s.Coming, s.Term = n.slot.voter.IsLeader(), st.Version, st.Coming, n.slot.voter.Term()
		if s.Leads {
			s.Lagging = n.slot.voter.Lagging()
		}
	}
	if was := n.status.Load(); !reflect.DeepEqual(s, *was) {
		n.status.Store(&s)
	}
}
