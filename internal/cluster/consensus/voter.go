package consensus

import (
	"errors"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// electionHeartbeats is for how many heartbeat intervals a follower hears nothing of a leader, at least, before it
// campaigns.
const electionHeartbeats = 5

// Bounds of raft's messages and of its uncommitted log.
const (
	maxInflightMessages = 64      // append messages on their way to one voter
	maxMessageBytes     = 1 << 20 // of entries in one message; a longer entry goes alone
	maxUncommittedBytes = 8 << 20 // of proposed entries that are not committed: several of the longest commands
)

// Config of a voter, fixed for its lifetime.
type Config struct {
	ID                uint64        // of this voter in raft; never 0
	HeartbeatInterval time.Duration // the leader's heartbeat interval; an election timeout is five to ten of them
	Seed              uint64        // of the random election timeouts
	Lease             LeaseConfig
}

// Voter is one replica of the State: raft's node, the log in memory and, while it leads, the manager of leases. It is
// not safe for concurrent use.
//
// Its owner calls Tick at NextTick and passes messages of other voters to Receive. After each call of any method it
// calls Output until that returns nil, and takes Results and Grants.
type Voter struct {
	config  Config
	rng     *rand.Rand
	rawNode *raft.RawNode
	storage *raft.MemoryStorage

	state                *State
	confState            *raftpb.ConfState // raft's configuration as of appliedIndex
	appliedIndex         uint64
	snapshotIndex        uint64 // of the latest snapshot
	bytesSinceSnapshot   int    // of the entries applied since
	needsLearnerSnapshot bool   // a learner was added that the latest snapshot does not name

	term         uint64
	isLeader     bool
	heartbeatAt  time.Duration // next heartbeat, while it leads
	leaderSeenAt time.Duration // latest message of a leader
	campaignAt   time.Duration // election timeout, while it follows

	leaseManager      *LeaseManager  // set while it leads and has applied what its predecessors committed
	readRound         uint64         // of raft's ReadIndex, the latest that was begun
	unconfirmedLeases []pendingLease // wait for their round
	confirmedLeases   []pendingLease // wait for their read index to be applied
	proposedVersion   uint64         // the latest that was proposed to be activated or skipped, in this term

	// Results of committed commands, in the order of the log. Their taker sets the field to nil.
	Results []Result
	// Grants that are to be sent. Their taker sets the field to nil.
	Grants []AddressedGrant
	// The cause for which this voter must not continue; nil: it may. Its owner then uses none of its output and closes its
	// log.
	StopReason error
}

// NewVoter returns the voter whose disk held d, which it takes over. The error is the cause if the log is not
// consistent.
func NewVoter(now time.Duration, config Config, d *RecoveredState) (_ *Voter, err error) {
	v := &Voter{
		config:       config,
		storage:      d.storage,
		state:        NewState(),
		rng:          rand.New(rand.NewPCG(config.Seed, config.ID)),
		leaderSeenAt: now,
		heartbeatAt:  now,
	}
	defer func() { err = errors.Join(err, v.StopReason) }()
	defer v.stopOnRaftPanic()
	snapshot, err := d.storage.Snapshot()
	if err != nil {
		return nil, err
	}
	if err := v.restore(snapshot); err != nil {
		return nil, err
	}
	v.rawNode, err = raft.NewRawNode(&raft.Config{
		ID:                        config.ID,
		ElectionTick:              electionHeartbeats,
		HeartbeatTick:             1,
		Storage:                   v.storage,
		Applied:                   v.appliedIndex,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               true,
		PreVote:                   true,
		Logger:                    panickingLogger{},
	})
	if err != nil {
		return nil, err
	}
	v.resetElectionTimer(now)
	return v, nil
}

// State returns what this voter has applied. It must not be modified, and changes with the next call of Output.
func (v *Voter) State() *State { return v.state }

// IsLeader tells whether this voter takes itself for the leader. Another may have been elected since.
func (v *Voter) IsLeader() bool { return v.isLeader }

// Applied returns the index of the last entry that was applied.
func (v *Voter) Applied() uint64 { return v.appliedIndex }

// Term returns raft's latest term that this voter has seen.
func (v *Voter) Term() uint64 { return v.rawNode.BasicStatus().GetTerm() }

// LaggingDaemons returns the daemons for which this leader waits, as of its latest heartbeat; nil if it does not lead.
func (v *Voter) LaggingDaemons() []LaggingDaemon {
	if v.leaseManager == nil {
		return nil
	}
	return v.leaseManager.lagging
}

// NextTick returns the instant at which Tick is due.
func (v *Voter) NextTick() time.Duration {
	if v.isLeader {
		return v.heartbeatAt
	}
	return min(v.campaignAt, v.leaderExpiresAt())
}

// Tick does what is due: a leader's heartbeat, or a follower's campaign. Calls before NextTick have no effect.
func (v *Voter) Tick(now time.Duration) {
	defer v.stopOnRaftPanic()
	if v.isLeader {
		if now >= v.heartbeatAt {
			v.heartbeat(now)
		}
		return
	}
	if now >= v.leaderExpiresAt() {
		_ = v.rawNode.ForgetLeader() // else it would reject the votes that others ask for
		v.leaderSeenAt = now
	}
	if now >= v.campaignAt {
		v.resetElectionTimer(now)
		_ = v.rawNode.Campaign() // raft ignores it for a learner
	}
}

// heartbeat sends raft's heartbeats and repeats what may have been lost or has become possible.
func (v *Voter) heartbeat(now time.Duration) {
	v.heartbeatAt = now + v.config.HeartbeatInterval
	v.rawNode.Tick()
	v.retryReadIndex()
	v.proposeActivation(now)
	v.reconcileVoters()
}

// proposeActivation proposes that the pending version be activated, or be skipped, when it may be. Each version is
// proposed once a term.
func (v *Voter) proposeActivation(now time.Duration) {
	if v.leaseManager == nil {
		return
	}
	v.leaseManager.Refresh(now, v.state)
	if version := v.leaseManager.VersionToActivate(now, v.state); version > v.proposedVersion {
		if v.Propose(&Command{Activate: version}) == nil {
			v.proposedVersion = version
		}
	} else if version := v.leaseManager.VersionToSkip(now, v.state); version > v.proposedVersion {
		if v.Propose(&Command{Skip: version}) == nil {
			v.proposedVersion = version
		}
	}
}

// setLeadership records that this voter has become the leader, or no longer is.
func (v *Voter) setLeadership(now time.Duration, isLeader bool) {
	if isLeader == v.isLeader {
		return
	}
	v.isLeader, v.leaseManager, v.proposedVersion = isLeader, nil, 0
	v.unconfirmedLeases, v.confirmedLeases = nil, nil
	v.leaderSeenAt, v.heartbeatAt = now, now
	v.resetElectionTimer(now)
}

// leaderExpiresAt returns the instant until which a follower relies on the leader that it heard from.
func (v *Voter) leaderExpiresAt() time.Duration {
	return v.leaderSeenAt + electionHeartbeats*v.config.HeartbeatInterval
}

// resetElectionTimer draws the instant at which this voter campaigns if it hears of no leader, so that few voters do at
// once. raft's own draw takes no seed: followers are therefore not ticked, and campaign when this timer expires.
func (v *Voter) resetElectionTimer(now time.Duration) {
	timeout := electionHeartbeats * v.config.HeartbeatInterval
	v.campaignAt = now + timeout + time.Duration(v.rng.Int64N(int64(timeout)))
}

// Receive takes a message of another voter. Messages that raft can't use are dropped.
func (v *Voter) Receive(now time.Duration, message *raftpb.Message) {
	defer v.stopOnRaftPanic()
	switch message.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if message.GetTerm() >= v.term {
			v.leaderSeenAt = now
			v.resetElectionTimer(now)
		}
	}
	_ = v.rawNode.Step(message)
}

// Propose proposes a command for the log. An error means that this voter can't, and that nothing was done. Without an
// error the command may still be lost; if it is committed, its Result follows.
func (v *Voter) Propose(c *Command) error {
	encoded, err := c.Encode()
	if err != nil {
		return err
	}
	return v.ProposeEncoded(encoded)
}

// ProposeEncoded is Propose for the output of Command.Encode.
func (v *Voter) ProposeEncoded(command []byte) error {
	defer v.stopOnRaftPanic()
	return v.rawNode.Propose(command)
}
