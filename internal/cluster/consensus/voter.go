package consensus

import (
	"errors"
	"math/rand/v2"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// electionTimeoutHeartbeats is the shortest election timeout in heartbeat intervals: a follower campaigns only if it
// has received no message of a leader for at least that long.
const electionTimeoutHeartbeats = 5

// Bounds of raft's messages and of its uncommitted log.
const (
	maxInflightMessages = 64      // greatest number of append messages to one voter that the voter has not acknowledged
	maxMessageBytes     = 1 << 20 // greatest number of bytes of entries in one message; a longer entry is sent alone
	maxUncommittedBytes = 8 << 20 // greatest number of bytes of proposed entries that are not committed; several of the longest commands fit into them
)

// Config is the configuration of a Voter, which does not change after NewVoter.
type Config struct {
	ID                uint64        // raft id of this voter; never 0
	HeartbeatInterval time.Duration // time between two heartbeats of the leader; an election timeout is five to ten times as long
	Seed              uint64        // seed of the random numbers that determine the election timeouts
	Lease             LeaseConfig   // durations of the leases that this voter grants while it leads
}

// Voter is one replica of the State: raft's node, the log in memory and, while it leads, the manager of leases. It is
// not safe for concurrent use.
//
// The owner of a Voter calls Tick at NextTick and passes messages of other voters to Receive. After each call of any
// method it calls Output until that returns nil, and takes Results and Grants.
type Voter struct {
	config  Config
	rng     *rand.Rand          // random numbers for the election timeouts, from Config.Seed
	rawNode *raft.RawNode       // raft's protocol state of this voter, without I/O and timers
	storage *raft.MemoryStorage // raft's log in memory, from the oldest retained entry

	state                *State            // State that the applied commands have produced
	confState            *raftpb.ConfState // raft's configuration at appliedIndex
	appliedIndex         uint64            // log index of the last applied entry
	snapshotIndex        uint64            // log index up to which the latest snapshot covers the log
	bytesSinceSnapshot   int               // bytes of the entries applied since the latest snapshot
	needsLearnerSnapshot bool              // whether a learner was added that the latest snapshot does not name

	term            uint64        // term in the latest hard state that raft has returned
	isLeader        bool          // whether rawNode takes itself for the leader
	nextHeartbeatAt time.Duration // instant of the next heartbeat, while this voter leads
	leaderMessageAt time.Duration // instant at which the latest message of a leader arrived
	campaignAt      time.Duration // instant at which this voter campaigns unless a message of a leader arrives before, while this voter follows

	leaseManager        *LeaseManager         // manager of leases; nil unless this voter leads and has applied what earlier leaders committed
	readRound           uint64                // number of the latest round of raft's ReadIndex that was started
	unconfirmedRequests []pendingLeaseRequest // lease requests whose round of ReadIndex is not confirmed yet
	confirmedRequests   []pendingLeaseRequest // lease requests whose round of ReadIndex is confirmed, and which wait until the entries up to their readIndex are applied
	proposedVersion     uint64                // latest version that this leader proposed to activate or skip in this term

	// Results are the results of committed commands, in the order of the log. The owner takes them and sets the field to
	// nil.
	Results []Result
	// Grants are the grants that the owner is to send to daemons. The owner takes them and sets the field to nil.
	Grants []AddressedGrant
	// StopReason is why this voter must not continue; nil: it may. Once StopReason is set, the owner uses none of the voter's
	// output and closes its log.
	StopReason error
}

// NewVoter returns a voter that starts from the state recovered from its disk, and takes ownership of recovered. It fails
// if the recovered log is not consistent.
func NewVoter(now time.Duration, config Config, recovered *RecoveredState) (_ *Voter, err error) {
	v := &Voter{
		config:          config,
		storage:         recovered.storage,
		state:           NewState(),
		rng:             rand.New(rand.NewPCG(config.Seed, config.ID)),
		leaderMessageAt: now,
		nextHeartbeatAt: now,
	}
	defer func() { err = errors.Join(err, v.StopReason) }()
	defer v.stopOnRaftPanic()
	snapshot, err := recovered.storage.Snapshot()
	if err != nil {
		return nil, err
	}
	if err := v.restore(snapshot); err != nil {
		return nil, err
	}
	v.rawNode, err = raft.NewRawNode(&raft.Config{
		ID:                        config.ID,
		ElectionTick:              electionTimeoutHeartbeats,
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

// State returns the State after all commands that this voter has applied. The caller must not modify the State, and later
// calls of Output modify it.
func (v *Voter) State() *State { return v.state }

// IsLeader reports whether this voter takes itself for the leader. Another voter may already have been elected.
func (v *Voter) IsLeader() bool { return v.isLeader }

// AppliedIndex returns the log index of the last applied entry.
func (v *Voter) AppliedIndex() uint64 { return v.appliedIndex }

// Term returns the latest term of raft that this voter has seen.
func (v *Voter) Term() uint64 { return v.rawNode.BasicStatus().GetTerm() }

// LaggingDaemons returns the daemons that, at the latest heartbeat of this leader, delayed the activation of the
// pending version or did not act on the active version yet. It returns nil if this voter does not lead, or has not
// applied yet what earlier leaders committed.
func (v *Voter) LaggingDaemons() []LaggingDaemon {
	if v.leaseManager == nil {
		return nil
	}
	return v.leaseManager.lagging
}

// NextTick returns the instant at which Tick is due.
func (v *Voter) NextTick() time.Duration {
	if v.isLeader {
		return v.nextHeartbeatAt
	}
	return min(v.campaignAt, v.leaderTimeoutAt())
}

// Tick does the work that is due: a leader's heartbeat or a follower's campaign. A call before NextTick has no effect.
func (v *Voter) Tick(now time.Duration) {
	defer v.stopOnRaftPanic()
	if v.isLeader {
		if now >= v.nextHeartbeatAt {
			v.heartbeat(now)
		}
		return
	}
	if now >= v.leaderTimeoutAt() {
		_ = v.rawNode.ForgetLeader() // while raft knows a leader, it would reject the vote requests of other voters
		v.leaderMessageAt = now
	}
	if now >= v.campaignAt {
		v.resetElectionTimer(now)
		_ = v.rawNode.Campaign() // raft ignores the call if this voter is a learner
	}
}

// heartbeat makes raft send its heartbeats, and repeats a round of ReadIndex whose messages may have been lost. It also
// proposes what has become possible since the previous heartbeat: to activate or skip a version, and to change raft's
// configuration.
func (v *Voter) heartbeat(now time.Duration) {
	v.nextHeartbeatAt = now + v.config.HeartbeatInterval
	v.rawNode.Tick()
	v.retryReadIndex()
	v.proposeActivateOrSkip(now)
	v.reconcileVoters()
}

// proposeActivateOrSkip proposes to activate the pending version, or to skip it, once leaseManager finds that this may
// be done. In one term, a leader proposes only one of the two, and only once, for each version.
func (v *Voter) proposeActivateOrSkip(now time.Duration) {
	if v.leaseManager == nil {
		return
	}
	v.leaseManager.Refresh(now, v.state)
	if version := v.leaseManager.VersionToActivate(now, v.state); version > v.proposedVersion {
		if v.Propose(&Command{ActivateVersion: version}) == nil {
			v.proposedVersion = version
		}
	} else if version := v.leaseManager.VersionToSkip(now, v.state); version > v.proposedVersion {
		if v.Propose(&Command{SkipVersion: version}) == nil {
			v.proposedVersion = version
		}
	}
}

// setLeadership records whether this voter leads. If that changed, it resets the state of leases and the timers.
func (v *Voter) setLeadership(now time.Duration, isLeader bool) {
	if isLeader == v.isLeader {
		return
	}
	v.isLeader, v.leaseManager, v.proposedVersion = isLeader, nil, 0
	v.unconfirmedRequests, v.confirmedRequests = nil, nil
	v.leaderMessageAt, v.nextHeartbeatAt = now, now
	v.resetElectionTimer(now)
}

// leaderTimeoutAt returns the instant at which a follower stops assuming that the leader is alive if no further message of
// the leader arrives before.
func (v *Voter) leaderTimeoutAt() time.Duration {
	return v.leaderMessageAt + electionTimeoutHeartbeats*v.config.HeartbeatInterval
}

// resetElectionTimer sets the instant at which this voter campaigns if no message of a leader arrives before. The
// instant is random, so that few voters campaign at once. raft's own random timeout can't be seeded; followers therefore
// do not tick raft, and campaign when this timer expires.
func (v *Voter) resetElectionTimer(now time.Duration) {
	timeout := electionTimeoutHeartbeats * v.config.HeartbeatInterval
	v.campaignAt = now + timeout + time.Duration(v.rng.Int64N(int64(timeout)))
}

// Receive passes a message of another voter to raft. Messages that raft rejects are dropped.
func (v *Voter) Receive(now time.Duration, message *raftpb.Message) {
	defer v.stopOnRaftPanic()
	switch message.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if message.GetTerm() >= v.term {
			v.leaderMessageAt = now
			v.resetElectionTimer(now)
		}
	}
	_ = v.rawNode.Step(message)
}

// Propose proposes a command for the log. An error means that raft did not accept the proposal and nothing was done.
// Without an error the command may still be lost; if it is committed, Results gets its result.
func (v *Voter) Propose(c *Command) error {
	encoded, err := c.Encode()
	if err != nil {
		return err
	}
	return v.ProposeEncoded(encoded)
}

// ProposeEncoded proposes a command that Command.Encode has encoded, with the same errors as Propose.
func (v *Voter) ProposeEncoded(command []byte) error {
	defer v.stopOnRaftPanic()
	return v.rawNode.Propose(command)
}
