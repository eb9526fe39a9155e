package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Types of records in a voter's durable log.
const (
	recordHardState      byte = 'h' // raft's hard state: term, vote, commit
	recordEntry          byte = 'e'
	recordSnapshotMarker byte = 'm' // nothing: a snapshot that came from another voter stands for all up to here
)

// Config is fixed for a voter's life.
type Config struct {
	ID    uint64 // of this voter; 0 is none
	Beat  time.Duration
	Seed  uint64
	Lease LeaseConfig
}

const (
	electionHeartbeats      = 5       // without a word from the leader, at least, before another is elected
	snapshotEntries         = 1000    // commands, after which a snapshot stands for them,
	snapshotLogBytes        = 8 << 20 // or so many bytes of them: eight of the longest
	retainedLogBytes        = 4 << 20 // of commands are kept beside a snapshot, and snapAfter/2 of them, for who is little behind
	maxInflightMessages     = 64      // messages on their way to one voter
	maxMessageBytes         = 1 << 20
	maxUncommittedBytes     = 8 << 20 // bytes of commands that are not yet agreed on
	maxPendingLeaseRequests = 4096    // requests for leases whose confirmation is awaited
)

// Voter is one of those who agree. It is not safe for concurrent use.
type Voter struct {
	config               Config
	rawNode              *raft.RawNode
	storage              *raft.MemoryStorage
	state                *State
	confState            *raftpb.ConfState
	needsLearnerSnapshot bool // a snapshot is wanted that names one: raft gives it no other
	rng                  *rand.Rand

	isLeader           bool
	term               uint64
	leaseManager       *LeaseManager // while it leads, and has applied what its predecessors left
	heartbeatAt        time.Duration
	leaderSeenAt       time.Duration // from a leader
	campaignAt         time.Duration
	appliedIndex       uint64
	snapshotIndex      uint64
	bytesSinceSnapshot int // bytes of commands applied since

	readRound         uint64 // of confirmations
	unconfirmedLeases []pendingLease
	confirmedLeases   []pendingLease   // confirmed at an index that is not yet applied
	proposedVersion   uint64           // version whose activation, or giving way, is in the log, in this term
	Results           []Result         // of commands that were applied since they were taken last, in order
	Grants            []AddressedGrant // answers that are to go
	Stopped           error            // why this voter must not go on; nothing that it gives is to be used then
}

// Result is what became of a command.
type Result struct {
	ID string
	CommandResult
	Err error
}

// AddressedGrant is a Grant, and to whom it goes.
type AddressedGrant struct {
	Daemon string
	Grant  LeaseGrant
}

type pendingLease struct {
	round     uint64
	readIndex uint64
	request   LeaseRequest
}

// VoterOutput is what a voter wants done: records to be made sure of first, in order, and then messages to be sent.
type VoterOutput struct {
	Records  []Record
	Snapshot *Snapshot // to be made sure of after the records
	Messages []*raftpb.Message
}

// Record is one for the durable log.
type Record struct {
	Type    byte
	Payload []byte
}

// Snapshot stands for all records so far.
type Snapshot struct{ Body []byte }

// RecoveredState is what a durable log gave when it was opened: Restore and Replay take it up, before NewVoter.
type RecoveredState struct{ storage *raft.MemoryStorage }

// NewRecoveredState is an empty one, of a fleet whose first voters are these; none: of a voter that joins one, and knows nothing yet. The
// first voters' ids are their places in order, from 1.
func NewRecoveredState(names []string) (*RecoveredState, error) {
	d := &RecoveredState{storage: raft.NewMemoryStorage()}
	if len(names) == 0 {
		return d, nil
	}
	return d, d.storage.ApplySnapshot(initialSnapshot(names))
}

// Restore takes a snapshot's body.
func (d *RecoveredState) Restore(_ uint64, r io.Reader) error {
	body, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	parts, err := splitParts(body)
	if err != nil || len(parts) < 2 {
		return fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	hard, snap := &raftpb.HardState{}, &raftpb.Snapshot{}
	if err := errors.Join(proto.Unmarshal(parts[0], hard), proto.Unmarshal(parts[1], snap)); err != nil {
		return err
	}
	if was, _ := d.storage.Snapshot(); snap.GetMetadata().GetIndex() > was.GetMetadata().GetIndex() {
		if err := d.storage.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	for _, p := range parts[2:] {
		if err := d.appendEntry(p); err != nil {
			return err
		}
	}
	return d.storage.SetHardState(hard)
}

// Replay takes a record.
func (d *RecoveredState) Replay(kind byte, payload []byte) error {
	switch kind {
	case recordHardState:
		hard := &raftpb.HardState{}
		if err := proto.Unmarshal(payload, hard); err != nil {
			return err
		}
		return d.storage.SetHardState(hard)
	case recordEntry:
		return d.appendEntry(payload)
	case recordSnapshotMarker:
		return nil
	}
	return fmt.Errorf("a record of type %q", kind)
}

func (d *RecoveredState) appendEntry(b []byte) error {
	e := &raftpb.Entry{}
	if err := proto.Unmarshal(b, e); err != nil {
		return err
	}
	if last, err := d.storage.LastIndex(); err != nil || e.GetIndex() > last+1 {
		return errors.Join(err, fmt.Errorf("entry %d follows entry %d", e.GetIndex(), last))
	}
	return d.storage.Append([]*raftpb.Entry{e}) // in place of those that it overrides
}

// joinParts puts parts one behind another, each behind its length; cut undoes it.
func joinParts(parts ...[]byte) (out []byte) {
	for _, p := range parts {
		out = append(binary.AppendUvarint(out, uint64(len(p))), p...)
	}
	return out
}

func splitParts(b []byte) (parts [][]byte, err error) {
	for len(b) > 0 {
		n, k := binary.Uvarint(b)
		if k <= 0 || n > uint64(len(b)-k) {
			return nil, errors.New("it is cut off")
		}
		parts, b = append(parts, b[k:k+int(n)]), b[k+int(n):]
	}
	return parts, nil
}

type panickingLogger struct{}

func (panickingLogger) Debug(...any)              {}
func (panickingLogger) Debugf(string, ...any)     {}
func (panickingLogger) Error(...any)              {}
func (panickingLogger) Errorf(string, ...any)     {}
func (panickingLogger) Info(...any)               {}
func (panickingLogger) Infof(string, ...any)      {}
func (panickingLogger) Warning(...any)            {}
func (panickingLogger) Warningf(string, ...any)   {}
func (panickingLogger) Fatal(v ...any)            { panic(raftPanic(fmt.Sprint(v...))) }
func (panickingLogger) Fatalf(f string, v ...any) { panic(raftPanic(fmt.Sprintf(f, v...))) }
func (panickingLogger) Panic(v ...any)            { panic(raftPanic(fmt.Sprint(v...))) }
func (panickingLogger) Panicf(f string, v ...any) { panic(raftPanic(fmt.Sprintf(f, v...))) }

// raftPanic is what raft panics with where its log contradicts what others say: a disk that lost what it had promised, or that of
// an earlier day. The daemon must not end with it.
type raftPanic string

// stopOnRaftPanic turns that into the end of this voter alone.
func (v *Voter) stopOnRaftPanic() {
	switch p := recover().(type) {
	case nil:
	case raftPanic:
		v.Stopped = fmt.Errorf("its log lacks what it had promised, as that of an earlier day would: %s", p)
	default:
		panic(p)
	}
}

// NewVoter makes a voter of what its disk gave.
func NewVoter(now time.Duration, c Config, d *RecoveredState) (_ *Voter, err error) {
	v := &Voter{config: c, storage: d.storage, state: NewState(), rng: rand.New(rand.NewPCG(c.Seed, c.ID)), leaderSeenAt: now, heartbeatAt: now}
	defer func() { err = errors.Join(err, v.Stopped) }()
	defer v.stopOnRaftPanic()
	snap, err := d.storage.Snapshot()
	if err != nil {
		return nil, err
	}
	if err := v.restore(snap); err != nil {
		return nil, err
	}
	v.rawNode, err = raft.NewRawNode(&raft.Config{ID: c.ID, ElectionTick: electionHeartbeats, HeartbeatTick: 1, Storage: v.storage, Applied: v.appliedIndex,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes, CheckQuorum: true, PreVote: true, Logger: panickingLogger{}})
	if err != nil {
		return nil, err
	}
	v.resetElectionTimer(now)
	return v, nil
}

// initialSnapshot is the snapshot with which all voters begin: it names them.
func initialSnapshot(names []string) *raftpb.Snapshot {
	index, term := uint64(initialIndex), uint64(1)
	var peers []uint64
	for i := range names {
		peers = append(peers, uint64(i+1))
	}
	return &raftpb.Snapshot{Data: encodeInitialState(names), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: peers}}}
}

const initialIndex = 1

func (v *Voter) restore(snap *raftpb.Snapshot) error {
	v.appliedIndex, v.snapshotIndex = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	v.state, v.confState = NewState(), snap.GetMetadata().GetConfState()
	if len(snap.GetData()) == 0 {
		return nil
	}
	state, err := DecodeState(snap.GetData())
	if err == nil {
		v.state = state
	}
	return err
}

// resetElectionTimer draws when this voter stands for election, if it hears of no leader: so that few do at once. raft's own draw has no
// seed that could be handed in, so that followers are not ticked, and told to stand.
func (v *Voter) resetElectionTimer(now time.Duration) {
	base := electionHeartbeats * v.config.Beat
	v.campaignAt = now + base + time.Duration(v.rng.Int64N(int64(base)))
}

// State is what this voter has applied. It must not be changed.
func (v *Voter) State() *State { return v.state }

// IsLeader tells whether this voter thinks that it leads.
func (v *Voter) IsLeader() bool { return v.isLeader }

// Applied is the index of the last command that was applied.
func (v *Voter) Applied() uint64 { return v.appliedIndex }

// NextTick is the instant at which Tick is wanted.
func (v *Voter) NextTick() time.Duration {
	if v.isLeader {
		return v.heartbeatAt
	}
	return min(v.campaignAt, v.leaderSeenAt+electionHeartbeats*v.config.Beat)
}

// Tick does what is due.
func (v *Voter) Tick(now time.Duration) {
	defer v.stopOnRaftPanic()
	if v.isLeader {
		if now >= v.heartbeatAt {
			v.heartbeatAt = now + v.config.Beat
			v.rawNode.Tick()
			v.retryReadIndex()
			v.proposeActivation(now)
			v.reconcileVoters()
		}
		return
	}
	if now >= v.leaderSeenAt+electionHeartbeats*v.config.Beat {
		_ = v.rawNode.ForgetLeader() // else it would not let others be elected
		v.leaderSeenAt = now
	}
	if now >= v.campaignAt {
		v.resetElectionTimer(now)
		_ = v.rawNode.Campaign()
	}
}

// Receive takes a message of another voter.
func (v *Voter) Receive(now time.Duration, m *raftpb.Message) {
	defer v.stopOnRaftPanic()
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= v.term {
			v.leaderSeenAt = now
			v.resetElectionTimer(now)
		}
	}
	_ = v.rawNode.Step(m) // what it can't use it drops
}

// Propose has a command agreed on; an error says that this voter can't see to it, and nothing was done.
func (v *Voter) Propose(c *Command) error {
	b, err := c.Encode()
	if err != nil {
		return err
	}
	return v.ProposeEncoded(b)
}

// ProposeEncoded is Propose of a command as Encode gave it.
func (v *Voter) ProposeEncoded(b []byte) error {
	defer v.stopOnRaftPanic()
	return v.rawNode.Propose(b)
}

// ErrNotLeader is why a request for a lease is not taken.
var ErrNotLeader = errors.New("this voter does not lead")

// RequestLease takes a request for a lease. It is answered (Grants) when a majority has confirmed that this voter leads.
func (v *Voter) RequestLease(r LeaseRequest) error {
	defer v.stopOnRaftPanic()
	if !v.isLeader || v.leaseManager == nil || len(v.unconfirmedLeases)+len(v.confirmedLeases) >= maxPendingLeaseRequests {
		return ErrNotLeader
	}
	v.startReadIndex()
	v.unconfirmedLeases = append(v.unconfirmedLeases, pendingLease{round: v.readRound, request: r})
	return nil
}

// startReadIndex begins a round of confirmation: it is one for all that were asked before, too.
func (v *Voter) startReadIndex() {
	v.readRound++
	v.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, v.readRound))
}

// retryReadIndex asks again where a round got no answer: messages may be lost.
func (v *Voter) retryReadIndex() {
	if len(v.unconfirmedLeases) > 0 {
		v.startReadIndex()
	}
}

// proposeActivation has a version activated when it may be.
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

// Output is what is to be done now; nil: nothing. It must be done before anything else is.
func (v *Voter) Output(now time.Duration) *VoterOutput {
	defer v.stopOnRaftPanic()
	if v.Stopped != nil || !v.rawNode.HasReady() {
		return nil
	}
	rd := v.rawNode.Ready()
	out := &VoterOutput{Messages: rd.Messages}
	if rd.SoftState != nil {
		v.setLeadership(now, rd.SoftState.RaftState == raft.StateLeader)
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := errors.Join(v.storage.ApplySnapshot(rd.Snapshot), v.restore(rd.Snapshot)); err != nil {
			panic(fmt.Sprintf("a snapshot of another voter's: %v", err)) // of the same program, and checked by the message's signature
		}
	}
	for _, e := range rd.Entries {
		out.Records = append(out.Records, Record{recordEntry, mustMarshal(e)})
	}
	if err := v.storage.Append(rd.Entries); err != nil {
		panic(fmt.Sprintf("raft's own entries don't follow one another: %v", err))
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		v.term = rd.HardState.GetTerm()
		_ = v.storage.SetHardState(rd.HardState)
		out.Records = append(out.Records, Record{recordHardState, mustMarshal(rd.HardState)})
	}
	for _, r := range rd.ReadStates {
		v.completeReadIndex(binary.BigEndian.Uint64(r.RequestCtx), r.Index)
	}
	for _, e := range rd.CommittedEntries {
		if v.applyEntry(e); v.Stopped != nil {
			return nil // and nothing that was made of it goes out
		}
	}
	if v.isLeader && v.leaseManager == nil && v.hasAppliedOwnTerm() {
		v.leaseManager = NewLeaseManager(now, v.config.Lease)
	}
	v.grantConfirmedLeases(now)
	if !raft.IsEmptySnap(rd.Snapshot) {
		// It stands for what the log lacks, and has the hard state and the entries that came with it: in records of their own they
		// would be sure before it is, and a loss of power between would leave a log with a gap.
		out.Records = []Record{{recordSnapshotMarker, nil}}
	}
	if !raft.IsEmptySnap(rd.Snapshot) || v.appliedIndex >= v.snapshotIndex+snapshotEntries || v.bytesSinceSnapshot >= snapshotLogBytes || v.needsLearnerSnapshot {
		out.Snapshot, v.needsLearnerSnapshot = v.takeSnapshot(), false
	}
	v.rawNode.Advance(rd)
	return out
}

// mustMarshal encodes what was made here.
func mustMarshal(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// setLeadership takes up that this voter leads, or no longer.
func (v *Voter) setLeadership(now time.Duration, leads bool) {
	if leads == v.isLeader {
		return
	}
	v.isLeader, v.leaseManager, v.proposedVersion = leads, nil, 0
	v.unconfirmedLeases, v.confirmedLeases = nil, nil
	v.leaderSeenAt, v.heartbeatAt = now, now
	v.resetElectionTimer(now)
}

// hasAppliedOwnTerm tells whether this leader has applied an entry of its own term, and so all that was agreed before.
func (v *Voter) hasAppliedOwnTerm() bool {
	term, err := v.storage.Term(v.appliedIndex)
	return err == nil && term == v.rawNode.BasicStatus().GetTerm()
}

// completeReadIndex lets those who asked before a round began go on.
func (v *Voter) completeReadIndex(round, index uint64) {
	rest := v.unconfirmedLeases[:0]
	for _, w := range v.unconfirmedLeases {
		if w.round <= round {
			w.readIndex = index
			v.confirmedLeases = append(v.confirmedLeases, w)
		} else {
			rest = append(rest, w)
		}
	}
	v.unconfirmedLeases = rest
}

// grantConfirmedLeases answers those who were confirmed, by what is applied.
func (v *Voter) grantConfirmedLeases(now time.Duration) {
	rest := v.confirmedLeases[:0]
	for _, w := range v.confirmedLeases {
		if v.leaseManager != nil && w.readIndex <= v.appliedIndex {
			g := v.leaseManager.Grant(now, w.request, v.state)
			v.addSlotStatus(&w.request, &g)
			v.Grants = append(v.Grants, AddressedGrant{w.request.Daemon, g})
		} else {
			rest = append(rest, w)
		}
	}
	v.confirmedLeases = rest
}

func (v *Voter) applyEntry(e *raftpb.Entry) {
	v.appliedIndex = e.GetIndex()
	v.bytesSinceSnapshot += len(e.GetData())
	if e.GetType() == raftpb.EntryType_EntryConfChange {
		v.applyConfChange(e)
		return
	}
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	id, answer, err := v.state.applyEncoded(e.GetData())
	if errors.Is(err, ErrUnknownCommand) {
		v.Stopped = fmt.Errorf("at %d: %w", v.appliedIndex, err)
		return
	}
	v.Results = append(v.Results, Result{id, answer, err})
}

// takeSnapshot makes a snapshot of what is applied, with what the log has beyond it.
func (v *Voter) takeSnapshot() *Snapshot {
	data, err := v.state.Encode()
	if err != nil {
		panic(err)
	}
	if v.appliedIndex > v.snapshotIndex {
		if _, err := v.storage.CreateSnapshot(v.appliedIndex, v.confState, data); err != nil {
			panic(fmt.Sprintf("a snapshot at %d: %v", v.appliedIndex, err))
		}
		if keep := v.compactionIndex(); keep > 0 {
			_ = v.storage.Compact(keep)
		}
		v.snapshotIndex, v.bytesSinceSnapshot = v.appliedIndex, 0
	}
	snap, _ := v.storage.Snapshot()
	hard, _, _ := v.storage.InitialState()
	parts := [][]byte{mustMarshal(hard), mustMarshal(snap)}
	if last, err := v.storage.LastIndex(); err == nil && last > v.appliedIndex {
		entries, err := v.storage.Entries(v.appliedIndex+1, last+1, 1<<62)
		if err != nil {
			panic(err)
		}
		for _, e := range entries {
			parts = append(parts, mustMarshal(e))
		}
	}
	return &Snapshot{Body: joinParts(parts...)}
}

// compactionIndex is the entry up to which the log may go, now that a snapshot stands for all that is applied; 0: none may.
func (v *Voter) compactionIndex() uint64 {
	first, err := v.storage.FirstIndex()
	if err != nil || first > v.appliedIndex {
		return 0
	}
	entries, err := v.storage.Entries(first, v.appliedIndex+1, 1<<62)
	if err != nil {
		return 0
	}
	bytes := 0
	for i, e := range slices.Backward(entries) {
		if bytes += len(e.GetData()); bytes > retainedLogBytes || len(entries)-i > snapshotEntries/2 {
			return e.GetIndex()
		}
	}
	return 0
}

// ReportSnapshot says whether a snapshot has gone out to another voter.
func (v *Voter) ReportSnapshot(to uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	v.rawNode.ReportSnapshot(to, status)
}

// Lagging are the daemons that a leader waits for, and why, as of its last beat.
func (v *Voter) Lagging() []Lag {
	if v.leaseManager == nil {
		return nil
	}
	return v.leaseManager.lagging
}

// Term is the latest that this voter has seen.
func (v *Voter) Term() uint64 { return v.rawNode.BasicStatus().GetTerm() }
