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
	kindRaft   = 'r'
	kindAsk    = 'q'
	kindGrant  = 'g'
	kindPut    = 'p'
	kindResult = 's'
	kindVoters = 'v'
	kindFound  = 'f'
)

const (
	beat         = 100 * time.Millisecond // of the voters; an election takes five to ten without a word
	mostPuts     = 64
	mostPutBytes = 8 << 20         // of them together, as raft has it of what is not yet agreed on
	again        = time.Second     // between the first two tries of a command that nobody has answered; it doubles with each
	keepPut      = 8 * time.Second // that one is kept whose asker has gone
	idle         = time.Hour
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
	o       Options
	acting  atomic.Pointer[LeasedVersion]
	status  atomic.Pointer[Status]
	granter chan struct{} // closed at the first grant
	changed chan struct{} // has a value when Acting has another version
	calls   chan func()
	ctx     context.Context
	stop    context.CancelFunc
	done    sync.WaitGroup

	// The owner's:
	seat       *seat // nil: this daemon does not vote
	holder     *consensus.LeaseHolder
	askAt      time.Duration
	voters     []string // who may be asked, in order: those that were told, and those that vote as far as is known
	sitting    []string // who votes, as the leader said last
	leader     string   // the voter that answered last, or was asked last
	heard      bool
	first      bool // a grant has come
	puts       map[string]*waiting
	checks     uint64                   // version that is being checked; 0: none
	kept       uint64                   // version that is kept,
	keptVoters []string                 // and who voted
	founding   *consensus.Bootstrap     // while this daemon is a first voter that has yet to begin
	foundAt    time.Duration            // next round of that
	began      time.Duration            // this process
	word       *consensus.BootstrapVote // what it says to those that have yet to begin; nil: it never began
	left       bool                     // this daemon's part in the voting has ended
	marked     string                   // the mark of a disk that has no voter; empty: there is none
	lost       bool                     // it was said that the log of its seat is gone
	awaited    bool                     // it was said which first voters are not there
}

// waiting is a command that has not been answered: by whom it was asked here, or from which daemon it came. One whose asker has gone
// is kept for a while: asked again it is not proposed anew.
type waiting struct {
	body   []byte
	answer chan CommandOutcome // nil: nobody here waits for it
	from   string              // the daemon that it came from; empty: none
	next   time.Duration       // instant of the next try,
	rest   time.Duration       // and how long after it another comes
	ends   time.Duration
	result *CommandOutcome // what became of it, for who asks again
}

// CommandOutcome is what became of a command.
type CommandOutcome struct {
	ID string `json:"ID"`
	consensus.CommandResult
	Err string `json:"Err"` // empty: it was committed
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
	c := &Node{o: o, voters: slices.Sorted(slices.Values(o.Voters)), leader: o.Voters[0], changed: make(chan struct{}, 1), granter: make(chan struct{}), calls: make(chan func()), puts: map[string]*waiting{}}
	now := o.Now()
	c.began = now
	if o.Disk != nil {
		var err error
		if c.seat, err = c.sitDown(now); err != nil {
			return nil, err
		}
	}
	version, docs := c.remembered()
	c.holder = consensus.NewLeaseHolder(o.Name, o.Lease, version, docs)
	c.acting.Store(&LeasedVersion{Version: version, Docs: docs})
	c.status.Store(&Status{})
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.done.Go(c.own)
	return c, nil
}

// Valid tells what this daemon may act on now; false: its lease has run out, or it never had one. The look and the act lie as far
// apart as the caller lets them; no lock is taken.
func (c *Node) Valid() (*LeasedVersion, bool) {
	a := c.acting.Load()
	return a, a.Version > 0 && c.o.Now() < a.Until
}

// CoversVersion tells whether a version may be acted on now: the one that this daemon is to act on, or the one before while it
// changes over. No lock is taken.
func (c *Node) CoversVersion(version uint64) bool {
	return c.acting.Load().CoversVersion(version, c.o.Now())
}

// LeaseRemaining is how long the lease lasts yet.
func (c *Node) LeaseRemaining() time.Duration { return max(c.acting.Load().Until-c.o.Now(), 0) }

// MarkInstalled says that this daemon has taken a version up, where it Installs.
func (c *Node) MarkInstalled(version uint64) {
	c.call(c.ctx, func() { c.holder.MarkInstalled(version) })
}

// Recheck has a version that this daemon could not act on looked at again: something here has changed.
func (c *Node) Recheck() { c.call(c.ctx, c.holder.Recheck) }

// FirstGrant is closed when the first grant since the start has come: then May tells what is agreed, if anything is.
func (c *Node) FirstGrant() <-chan struct{} { return c.granter }

// Changed has a value when May tells of another version.
func (c *Node) Changed() <-chan struct{} { return c.changed }

// Status is how agreement stands.
func (c *Node) Status() Status { return *c.status.Load() }

// Close ends the chamber, and returns when nothing of it runs any more.
func (c *Node) Close() error {
	c.stop()
	c.done.Wait()
	if c.seat != nil {
		return c.seat.log.Close()
	}
	return nil
}

// ProposeVersion has a command agreed on, and gives the version that it made once that is committed. A command without an ID gets one.
func (c *Node) ProposeVersion(ctx context.Context, cmd consensus.Command) (uint64, error) {
	a, err := c.Propose(ctx, cmd)
	return a.Version, err
}

// Propose is Put for commands of all kinds, and gives all that became of one.
func (c *Node) Propose(ctx context.Context, cmd consensus.Command) (consensus.CommandResult, error) {
	if cmd.ID == "" {
		cmd.ID = rand.Text()
	}
	body, err := cmd.Encode()
	if err != nil {
		return consensus.CommandResult{}, err
	}
	answer := make(chan CommandOutcome, 1)
	room := make(chan bool, 1)
	if !c.call(ctx, func() { room <- c.wantAnswer(cmd.ID, body, answer) }) {
		return consensus.CommandResult{}, consensus.ErrIndeterminate
	}
	if !<-room {
		return consensus.CommandResult{}, fmt.Errorf("as much is under way already as may be: %d commands, or %d bytes", mostPuts, mostPutBytes)
	}
	select {
	case r := <-answer:
		if r.Err != "" {
			return r.CommandResult, errors.New(r.Err)
		}
		return r.CommandResult, nil
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	c.call(c.ctx, func() {
		if p := c.puts[cmd.ID]; p != nil && p.answer == answer {
			p.answer, p.ends = nil, c.o.Now()+keepPut
		}
	})
	return consensus.CommandResult{}, consensus.ErrIndeterminate
}

// wantAnswer has a command's answer sent when it comes; it is there already if it was asked for before. False: there is no room.
func (c *Node) wantAnswer(id string, body []byte, answer chan CommandOutcome) bool {
	p := c.puts[id]
	switch {
	case p == nil && !c.room(len(body)):
		return false
	case p == nil:
		c.puts[id] = &waiting{body: body, answer: answer, rest: again, ends: math.MaxInt64}
	case p.result != nil:
		answer <- *p.result
		delete(c.puts, id)
	default:
		p.answer, p.ends = answer, math.MaxInt64
	}
	return true
}

// room tells whether one more command may wait.
func (c *Node) room(bytes int) bool {
	for _, p := range c.puts {
		bytes += len(p.body)
	}
	return len(c.puts) < mostPuts && bytes <= mostPutBytes
}

// call has the owner do something; false: not before ctx or the chamber ended.
func (c *Node) call(ctx context.Context, do func()) bool {
	select {
	case c.calls <- do:
		return true
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return false
}

// own does what comes and what is due, until the chamber ends.
func (c *Node) own() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case p := <-c.o.Transport.Messages():
			c.take(p)
		case do := <-c.calls:
			do()
		case <-timer.C:
		}
		now := c.o.Now()
		if c.seat != nil && now >= c.seat.voter.NextTick() {
			c.seat.voter.Tick(now)
		}
		if c.founding != nil && now >= c.foundAt {
			c.found(now)
		}
		if now >= c.askAt {
			c.ask(now)
		}
		c.tryPuts(now)
		c.carry()
		c.publish()
		timer.Reset(c.wait(c.o.Now()))
	}
}

// wait is how long nothing is due.
func (c *Node) wait(now time.Duration) time.Duration {
	next := c.askAt
	if c.founding != nil {
		next = min(next, c.foundAt)
	}
	if c.seat != nil {
		next = min(next, c.seat.voter.NextTick())
	}
	for _, p := range c.puts {
		next = min(next, p.next, p.ends)
	}
	return min(max(next-now, 0), idle)
}

// take takes a parcel. What can't be read is dropped: it was signed by a daemon of the fleet, of another version then.
func (c *Node) take(p transport.Message) {
	now := c.o.Now()
	switch p.Kind {
	case kindRaft:
		c.hearRaft(now, p)
	case kindAsk:
		var r consensus.LeaseRequest
		if json.Unmarshal(p.Body, &r) == nil && r.Daemon == p.From && (c.seat == nil || c.seat.voter.RequestLease(r) != nil) {
			c.tellVoters(p.From)
		}
	case kindGrant:
		var g consensus.LeaseGrant
		if slices.Contains(c.voters, p.From) && json.Unmarshal(p.Body, &g) == nil {
			c.granted(now, p.From, g)
		}
	case kindPut:
		var cmd struct {
			ID string `json:"id"`
		}
		if c.seat == nil || json.Unmarshal(p.Body, &cmd) != nil || cmd.ID == "" {
			return
		}
		if was := c.puts[cmd.ID]; was != nil {
			if was.from = p.From; was.result != nil {
				c.tell(p.From, *was.result)
			}
		} else if c.room(len(p.Body)) {
			c.puts[cmd.ID] = &waiting{body: p.Body, from: p.From, rest: again, ends: now + keepPut} // the other asks again, if it must
		}
	case kindVoters:
		var names []string
		if json.Unmarshal(p.Body, &names) == nil && !c.heard {
			c.learnVoters(names, false)
		}
	case kindFound:
		c.hearFound(now, p)
	case kindResult:
		var r CommandOutcome
		if json.Unmarshal(p.Body, &r) == nil && slices.Contains(c.voters, p.From) {
			c.answer(r)
		}
	}
}

// tellVoters says to a daemon that asked one which does not lead whom it may ask: its own list may be of long ago.
func (c *Node) tellVoters(name string) {
	if body, err := json.Marshal(c.voters); err == nil {
		_ = c.o.Transport.Send(name, kindVoters, body)
	}
}

// mostAsked bounds the names of those who may be asked: beyond it names from others are not taken.
const mostAsked = 4 * consensus.MaxVoters

// learnVoters takes up names of voters: from a leader those that vote, beside those that were told; from others what they know.
func (c *Node) learnVoters(names []string, leads bool) {
	all := slices.Concat(names, c.o.Voters)
	if !leads {
		all = slices.Concat(names, c.voters)
	}
	if all = slices.Compact(slices.Sorted(slices.Values(all))); leads || len(all) <= mostAsked {
		c.voters = all
	}
}

// ask asks for a lease: whoever granted the last one, or the next voter.
func (c *Node) ask(now time.Duration) {
	if !c.heard {
		i, _ := slices.BinarySearch(c.voters, c.leader+"\x00")
		c.leader = c.voters[i%len(c.voters)]
	}
	c.heard = false
	r, next := c.holder.NextRequest(now)
	if c.seat == nil && !c.left {
		r.Mark = c.marked
	}
	c.askAt = next
	if c.seat != nil && c.seat.voter.IsLeader() {
		_ = c.seat.voter.RequestLease(r)
		return
	}
	if body, err := json.Marshal(r); err == nil {
		_ = c.o.Transport.Send(c.leader, kindAsk, body) // who is not there does not answer
	}
}

func (c *Node) granted(now time.Duration, by string, g consensus.LeaseGrant) {
	c.heard, c.leader = true, by
	if len(g.Voters) > 0 {
		c.learnVoters(g.Voters, true)
		c.sitting = g.Sitting
		if by != c.o.Name {
			c.told(now, &g)
		}
	}
	c.holder.HandleGrant(now, g)
	if !c.o.Installs {
		c.holder.MarkInstalled(c.holder.Leased().Version)
	}
	c.check()
	if a := c.holder.Leased(); a.Version == g.Version && (a.Version != c.kept || !slices.Equal(g.Voters, c.keptVoters)) {
		c.keep(a, g.Voters)
	}
	if !c.first && c.holder.Leased().Version == g.Version {
		c.first = true
		c.publish()
		close(c.granter)
	}
}

// check has what was offered looked at, one version at a time. It asks for a lease as soon as that is done.
func (c *Node) check() {
	version, docs := c.holder.PendingCheck()
	if version == 0 || c.checks != 0 {
		return
	}
	c.checks = version
	c.done.Go(func() {
		var err error
		if c.o.Check != nil {
			err = c.o.Check(docs)
		}
		c.call(c.ctx, func() {
			c.checks = 0
			if err != nil {
				c.o.Log.Warn("this daemon can't act on a version", "version", version, "err", err)
			}
			c.holder.CompleteCheck(version, err)
			c.askAt = 0
			c.check() // another may have been offered meanwhile
		})
	})
}

// tryPuts proposes what has not been answered.
func (c *Node) tryPuts(now time.Duration) {
	for id, p := range c.puts {
		switch {
		case now >= p.ends:
			delete(c.puts, id)
		case now < p.next || p.result != nil:
		case c.seat != nil:
			if c.seat.voter.ProposeEncoded(p.body) != nil {
				p.next = now + beat // there is no leader: nothing was done
				continue
			}
			p.tried(now)
		default:
			_ = c.o.Transport.Send(c.leader, kindPut, p.body)
			p.tried(now)
		}
	}
}

// tried puts the next try off: each may have another copy of a long command written by all voters.
func (p *waiting) tried(now time.Duration) {
	p.next = now + p.rest
	p.rest = min(2*p.rest, keepPut)
}

// tell sends a command's result to the daemon that it came from.
func (c *Node) tell(name string, r CommandOutcome) {
	if body, err := json.Marshal(r); err == nil {
		_ = c.o.Transport.Send(name, kindResult, body)
	}
}

func (c *Node) answer(r CommandOutcome) {
	p := c.puts[r.ID]
	if p == nil || p.result != nil {
		return
	}
	if p.from != "" {
		c.tell(p.from, r)
	}
	switch {
	case p.answer != nil:
		p.answer <- r
		delete(c.puts, r.ID)
	case p.from != "":
		delete(c.puts, r.ID)
	default: // for who asks again
		p.result, p.body, p.next = &r, nil, p.ends
	}
}

// publish makes known what this daemon may act on, and how agreement stands.
func (c *Node) publish() {
	a := c.holder.Leased()
	if was := c.acting.Load(); a.Version != was.Version || a.Until != was.Until {
		c.acting.Store(&a)
		if a.Version != was.Version {
			select {
			case c.changed <- struct{}{}:
			default:
			}
		}
	}
	s := Status{Votes: c.seat != nil && !c.seat.voter.IsLearner(), Leader: c.leader, Voters: c.voters, Sitting: c.sitting}
	s.All, s.Lagging = c.holder.FullyActive()
	s.Declined, s.Why = c.holder.Rejected()
	if c.seat != nil {
		st := c.seat.voter.State()
		s.Leads, s.Committed, s.Coming, s.Term = c.seat.voter.IsLeader(), st.Version, st.Coming, c.seat.voter.Term()
		if s.Leads {
			s.Lagging = c.seat.voter.Lagging()
		}
	}
	if was := c.status.Load(); !reflect.DeepEqual(s, *was) {
		c.status.Store(&s)
	}
}
