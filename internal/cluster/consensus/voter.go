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
	recordState byte = 'h' // raft's hard state: term, vote, commit
	recordEntry byte = 'e'
	recordMark  byte = 'm' // nothing: a snapshot that came from another voter stands for all up to here
)

// Config is fixed for a voter's life.
type Config struct {
	ID    uint64 // of this voter; 0 is none
	Beat  time.Duration
	Seed  uint64
	Lease LeaseConfig
}

const (
	electionBeats = 5       // without a word from the leader, at least, before another is elected
	snapAfter     = 1000    // commands, after which a snapshot stands for them,
	snapBytes     = 8 << 20 // or so many bytes of them: eight of the longest
	keepBytes     = 4 << 20 // of commands are kept beside a snapshot, and snapAfter/2 of them, for who is little behind
	maxInflight   = 64      // messages on their way to one voter
	maxMessage    = 1 << 20
	maxPending    = 8 << 20 // bytes of commands that are not yet agreed on
	mostWaiting   = 4096    // requests for leases whose confirmation is awaited
)

// Voter is one of those who agree. It is not safe for concurrent use.
type Voter struct {
	c        Config
	raft     *raft.RawNode
	store    *raft.MemoryStorage
	state    *State
	conf     *raftpb.ConfState
	newcomer bool // a snapshot is wanted that names one: raft gives it no other
	rng      *rand.Rand

	leads      bool
	term       uint64
	steward    *LeaseManager // while it leads, and has applied what its predecessors left
	beatAt     time.Duration
	heardAt    time.Duration // from a leader
	campaignAt time.Duration
	applied    uint64
	snapped    uint64
	since      int // bytes of commands applied since

	round    uint64 // of confirmations
	asked    []waiting
	ready    []waiting        // confirmed at an index that is not yet applied
	proposed uint64           // version whose activation, or giving way, is in the log, in this term
	Results  []Result         // of commands that were applied since they were taken last, in order
	Grants   []AddressedGrant // answers that are to go
	Stopped  error            // why this voter must not go on; nothing that it gives is to be used then
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

type waiting struct {
	round uint64
	index uint64
	r     LeaseRequest
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
type RecoveredState struct{ store *raft.MemoryStorage }

// NewRecoveredState is an empty one, of a fleet whose first voters are these; none: of a voter that joins one, and knows nothing yet. The
// first voters' ids are their places in order, from 1.
func NewRecoveredState(names []string) (*RecoveredState, error) {
	d := &RecoveredState{store: raft.NewMemoryStorage()}
	if len(names) == 0 {
		return d, nil
	}
	return d, d.store.ApplySnapshot(first(names))
}

// Restore takes a snapshot's body.
func (d *RecoveredState) Restore(_ uint64, r io.Reader) error {
	body, err := io.ReadAll(r)
	if err != nil {
		return err
	}
	parts, err := cut(body)
	if err != nil || len(parts) < 2 {
		return fmt.Errorf("a snapshot that can't be read: %w", err)
	}
	hard, snap := &raftpb.HardState{}, &raftpb.Snapshot{}
	if err := errors.Join(proto.Unmarshal(parts[0], hard), proto.Unmarshal(parts[1], snap)); err != nil {
		return err
	}
	if was, _ := d.store.Snapshot(); snap.GetMetadata().GetIndex() > was.GetMetadata().GetIndex() {
		if err := d.store.ApplySnapshot(snap); err != nil {
			return err
		}
	}
	for _, p := range parts[2:] {
		if err := d.entry(p); err != nil {
			return err
		}
	}
	return d.store.SetHardState(hard)
}

// Replay takes a record.
func (d *RecoveredState) Replay(kind byte, payload []byte) error {
	switch kind {
	case recordState:
		hard := &raftpb.HardState{}
		if err := proto.Unmarshal(payload, hard); err != nil {
			return err
		}
		return d.store.SetHardState(hard)
	case recordEntry:
		return d.entry(payload)
	case recordMark:
		return nil
	}
	return fmt.Errorf("a record of type %q", kind)
}

func (d *RecoveredState) entry(b []byte) error {
	e := &raftpb.Entry{}
	if err := proto.Unmarshal(b, e); err != nil {
		return err
	}
	if last, err := d.store.LastIndex(); err != nil || e.GetIndex() > last+1 {
		return errors.Join(err, fmt.Errorf("entry %d follows entry %d", e.GetIndex(), last))
	}
	return d.store.Append([]*raftpb.Entry{e}) // in place of those that it overrides
}

// join puts parts one behind another, each behind its length; cut undoes it.
func join(parts ...[]byte) (out []byte) {
	for _, p := range parts {
		out = append(binary.AppendUvarint(out, uint64(len(p))), p...)
	}
	return out
}

func cut(b []byte) (parts [][]byte, err error) {
	for len(b) > 0 {
		n, k := binary.Uvarint(b)
		if k <= 0 || n > uint64(len(b)-k) {
			return nil, errors.New("it is cut off")
		}
		parts, b = append(parts, b[k:k+int(n)]), b[k+int(n):]
	}
	return parts, nil
}

type quiet struct{}

func (quiet) Debug(...any)              {}
func (quiet) Debugf(string, ...any)     {}
func (quiet) Error(...any)              {}
func (quiet) Errorf(string, ...any)     {}
func (quiet) Info(...any)               {}
func (quiet) Infof(string, ...any)      {}
func (quiet) Warning(...any)            {}
func (quiet) Warningf(string, ...any)   {}
func (quiet) Fatal(v ...any)            { panic(cantGoOn(fmt.Sprint(v...))) }
func (quiet) Fatalf(f string, v ...any) { panic(cantGoOn(fmt.Sprintf(f, v...))) }
func (quiet) Panic(v ...any)            { panic(cantGoOn(fmt.Sprint(v...))) }
func (quiet) Panicf(f string, v ...any) { panic(cantGoOn(fmt.Sprintf(f, v...))) }

// cantGoOn is what raft panics with where its log contradicts what others say: a disk that lost what it had promised, or that of
// an earlier day. The daemon must not end with it.
type cantGoOn string

// guard turns that into the end of this voter alone.
func (v *Voter) guard() {
	switch p := recover().(type) {
	case nil:
	case cantGoOn:
		v.Stopped = fmt.Errorf("its log lacks what it had promised, as that of an earlier day would: %s", p)
	default:
		panic(p)
	}
}

// NewVoter makes a voter of what its disk gave.
func NewVoter(now time.Duration, c Config, d *RecoveredState) (_ *Voter, err error) {
	v := &Voter{c: c, store: d.store, state: NewState(), rng: rand.New(rand.NewPCG(c.Seed, c.ID)), heardAt: now, beatAt: now}
	defer func() { err = errors.Join(err, v.Stopped) }()
	defer v.guard()
	snap, err := d.store.Snapshot()
	if err != nil {
		return nil, err
	}
	if err := v.restore(snap); err != nil {
		return nil, err
	}
	v.raft, err = raft.NewRawNode(&raft.Config{ID: c.ID, ElectionTick: electionBeats, HeartbeatTick: 1, Storage: v.store, Applied: v.applied,
		MaxSizePerMsg: maxMessage, MaxInflightMsgs: maxInflight, MaxUncommittedEntriesSize: maxPending, CheckQuorum: true, PreVote: true, Logger: quiet{}})
	if err != nil {
		return nil, err
	}
	v.later(now)
	return v, nil
}

// first is the snapshot with which all voters begin: it names them.
func first(names []string) *raftpb.Snapshot {
	index, term := uint64(firstIndex), uint64(1)
	var peers []uint64
	for i := range names {
		peers = append(peers, uint64(i+1))
	}
	return &raftpb.Snapshot{Data: firstState(names), Metadata: &raftpb.SnapshotMetadata{Index: &index, Term: &term, ConfState: &raftpb.ConfState{Voters: peers}}}
}

const firstIndex = 1

func (v *Voter) restore(snap *raftpb.Snapshot) error {
	v.applied, v.snapped = snap.GetMetadata().GetIndex(), snap.GetMetadata().GetIndex()
	v.state, v.conf = NewState(), snap.GetMetadata().GetConfState()
	if len(snap.GetData()) == 0 {
		return nil
	}
	state, err := DecodeState(snap.GetData())
	if err == nil {
		v.state = state
	}
	return err
}

// later draws when this voter stands for election, if it hears of no leader: so that few do at once. raft's own draw has no
// seed that could be handed in, so that followers are not ticked, and told to stand.
func (v *Voter) later(now time.Duration) {
	base := electionBeats * v.c.Beat
	v.campaignAt = now + base + time.Duration(v.rng.Int64N(int64(base)))
}

// State is what this voter has applied. It must not be changed.
func (v *Voter) State() *State { return v.state }

// IsLeader tells whether this voter thinks that it leads.
func (v *Voter) IsLeader() bool { return v.leads }

// Applied is the index of the last command that was applied.
func (v *Voter) Applied() uint64 { return v.applied }

// NextTick is the instant at which Tick is wanted.
func (v *Voter) NextTick() time.Duration {
	if v.leads {
		return v.beatAt
	}
	return min(v.campaignAt, v.heardAt+electionBeats*v.c.Beat)
}

// Tick does what is due.
func (v *Voter) Tick(now time.Duration) {
	defer v.guard()
	if v.leads {
		if now >= v.beatAt {
			v.beatAt = now + v.c.Beat
			v.raft.Tick()
			v.confirm()
			v.activate(now)
			v.reconcile()
		}
		return
	}
	if now >= v.heardAt+electionBeats*v.c.Beat {
		_ = v.raft.ForgetLeader() // else it would not let others be elected
		v.heardAt = now
	}
	if now >= v.campaignAt {
		v.later(now)
		_ = v.raft.Campaign()
	}
}

// Receive takes a message of another voter.
func (v *Voter) Receive(now time.Duration, m *raftpb.Message) {
	defer v.guard()
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= v.term {
			v.heardAt = now
			v.later(now)
		}
	}
	_ = v.raft.Step(m) // what it can't use it drops
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
	defer v.guard()
	return v.raft.Propose(b)
}

// ErrNotLeader is why a request for a lease is not taken.
var ErrNotLeader = errors.New("this voter does not lead")

// RequestLease takes a request for a lease. It is answered (Grants) when a majority has confirmed that this voter leads.
func (v *Voter) RequestLease(r LeaseRequest) error {
	defer v.guard()
	if !v.leads || v.steward == nil || len(v.asked)+len(v.ready) >= mostWaiting {
		return ErrNotLeader
	}
	v.ask()
	v.asked = append(v.asked, waiting{round: v.round, r: r})
	return nil
}

// ask begins a round of confirmation: it is one for all that were asked before, too.
func (v *Voter) ask() {
	v.round++
	v.raft.ReadIndex(binary.BigEndian.AppendUint64(nil, v.round))
}

// confirm asks again where a round got no answer: messages may be lost.
func (v *Voter) confirm() {
	if len(v.asked) > 0 {
		v.ask()
	}
}

// activate has a version activated when it may be.
func (v *Voter) activate(now time.Duration) {
	if v.steward == nil {
		return
	}
	v.steward.Refresh(now, v.state)
	if version := v.steward.VersionToActivate(now, v.state); version > v.proposed {
		if v.Propose(&Command{Activate: version}) == nil {
			v.proposed = version
		}
	} else if version := v.steward.VersionToSkip(now, v.state); version > v.proposed {
		if v.Propose(&Command{Skip: version}) == nil {
			v.proposed = version
		}
	}
}

// Output is what is to be done now; nil: nothing. It must be done before anything else is.
func (v *Voter) Output(now time.Duration) *VoterOutput {
	defer v.guard()
	if v.Stopped != nil || !v.raft.HasReady() {
		return nil
	}
	rd := v.raft.Ready()
	out := &VoterOutput{Messages: rd.Messages}
	if rd.SoftState != nil {
		v.follow(now, rd.SoftState.RaftState == raft.StateLeader)
	}
	if !raft.IsEmptySnap(rd.Snapshot) {
		if err := errors.Join(v.store.ApplySnapshot(rd.Snapshot), v.restore(rd.Snapshot)); err != nil {
			panic(fmt.Sprintf("a snapshot of another voter's: %v", err)) // of the same program, and checked by the message's signature
		}
	}
	for _, e := range rd.Entries {
		out.Records = append(out.Records, Record{recordEntry, must(e)})
	}
	if err := v.store.Append(rd.Entries); err != nil {
		panic(fmt.Sprintf("raft's own entries don't follow one another: %v", err))
	}
	if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
		v.term = rd.HardState.GetTerm()
		_ = v.store.SetHardState(rd.HardState)
		out.Records = append(out.Records, Record{recordState, must(rd.HardState)})
	}
	for _, r := range rd.ReadStates {
		v.confirmed(binary.BigEndian.Uint64(r.RequestCtx), r.Index)
	}
	for _, e := range rd.CommittedEntries {
		if v.apply(e); v.Stopped != nil {
			return nil // and nothing that was made of it goes out
		}
	}
	if v.leads && v.steward == nil && v.caughtUp() {
		v.steward = NewLeaseManager(now, v.c.Lease)
	}
	v.grant(now)
	if !raft.IsEmptySnap(rd.Snapshot) {
		// It stands for what the log lacks, and has the hard state and the entries that came with it: in records of their own they
		// would be sure before it is, and a loss of power between would leave a log with a gap.
		out.Records = []Record{{recordMark, nil}}
	}
	if !raft.IsEmptySnap(rd.Snapshot) || v.applied >= v.snapped+snapAfter || v.since >= snapBytes || v.newcomer {
		out.Snapshot, v.newcomer = v.snap(), false
	}
	v.raft.Advance(rd)
	return out
}

// must encodes what was made here.
func must(m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// follow takes up that this voter leads, or no longer.
func (v *Voter) follow(now time.Duration, leads bool) {
	if leads == v.leads {
		return
	}
	v.leads, v.steward, v.proposed = leads, nil, 0
	v.asked, v.ready = nil, nil
	v.heardAt, v.beatAt = now, now
	v.later(now)
}

// caughtUp tells whether this leader has applied an entry of its own term, and so all that was agreed before.
func (v *Voter) caughtUp() bool {
	term, err := v.store.Term(v.applied)
	return err == nil && term == v.raft.BasicStatus().GetTerm()
}

// confirmed lets those who asked before a round began go on.
func (v *Voter) confirmed(round, index uint64) {
	rest := v.asked[:0]
	for _, w := range v.asked {
		if w.round <= round {
			w.index = index
			v.ready = append(v.ready, w)
		} else {
			rest = append(rest, w)
		}
	}
	v.asked = rest
}

// grant answers those who were confirmed, by what is applied.
func (v *Voter) grant(now time.Duration) {
	rest := v.ready[:0]
	for _, w := range v.ready {
		if v.steward != nil && w.index <= v.applied {
			g := v.steward.Grant(now, w.r, v.state)
			v.usher(&w.r, &g)
			v.Grants = append(v.Grants, AddressedGrant{w.r.Daemon, g})
		} else {
			rest = append(rest, w)
		}
	}
	v.ready = rest
}

func (v *Voter) apply(e *raftpb.Entry) {
	v.applied = e.GetIndex()
	v.since += len(e.GetData())
	if e.GetType() == raftpb.EntryType_EntryConfChange {
		v.reconfigure(e)
		return
	}
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	id, answer, err := v.state.apply(e.GetData())
	if errors.Is(err, ErrUnknownCommand) {
		v.Stopped = fmt.Errorf("at %d: %w", v.applied, err)
		return
	}
	v.Results = append(v.Results, Result{id, answer, err})
}

// snap makes a snapshot of what is applied, with what the log has beyond it.
func (v *Voter) snap() *Snapshot {
	data, err := v.state.Encode()
	if err != nil {
		panic(err)
	}
	if v.applied > v.snapped {
		if _, err := v.store.CreateSnapshot(v.applied, v.conf, data); err != nil {
			panic(fmt.Sprintf("a snapshot at %d: %v", v.applied, err))
		}
		if keep := v.keepFrom(); keep > 0 {
			_ = v.store.Compact(keep)
		}
		v.snapped, v.since = v.applied, 0
	}
	snap, _ := v.store.Snapshot()
	hard, _, _ := v.store.InitialState()
	parts := [][]byte{must(hard), must(snap)}
	if last, err := v.store.LastIndex(); err == nil && last > v.applied {
		entries, err := v.store.Entries(v.applied+1, last+1, 1<<62)
		if err != nil {
			panic(err)
		}
		for _, e := range entries {
			parts = append(parts, must(e))
		}
	}
	return &Snapshot{Body: join(parts...)}
}

// keepFrom is the entry up to which the log may go, now that a snapshot stands for all that is applied; 0: none may.
func (v *Voter) keepFrom() uint64 {
	first, err := v.store.FirstIndex()
	if err != nil || first > v.applied {
		return 0
	}
	entries, err := v.store.Entries(first, v.applied+1, 1<<62)
	if err != nil {
		return 0
	}
	bytes := 0
	for i, e := range slices.Backward(entries) {
		if bytes += len(e.GetData()); bytes > keepBytes || len(entries)-i > snapAfter/2 {
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
	v.raft.ReportSnapshot(to, status)
}

// Lagging are the daemons that a leader waits for, and why, as of its last beat.
func (v *Voter) Lagging() []Lag {
	if v.steward == nil {
		return nil
	}
	return v.steward.lags
}

// Term is the latest that this voter has seen.
func (v *Voter) Term() uint64 { return v.raft.BasicStatus().GetTerm() }
