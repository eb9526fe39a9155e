package raftnode

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"tuliprock/internal/cluster/consensus"
	"tuliprock/internal/wal"
)

// heartbeatInterval is the time between two heartbeats of the leader. The voters elect another leader when they have
// received no heartbeat for five to ten intervals.
const heartbeatInterval = 100 * time.Millisecond

// localVoter is the voter that a daemon runs, with its identity and its durable log.
type localVoter struct {
	identity
	voter     *consensus.Voter
	log       *wal.Log          // durable log of the voter's records and snapshots
	peerNames map[uint64]string // names, by raft id, of voters that have sent messages and that the replicated State does not name yet
}

// errVoterDiskLost tells operators that a daemon does not vote, although it has a voter slot, because the disk of its
// voter is gone. The disk had the votes and entries that the voter acknowledged; without them, the voter could vote
// twice in a term, or lose committed entries.
var errVoterDiskLost = errors.New("the disk to which its voter slot is bound is gone; " +
	"remove this daemon from the voters and then add it again")

// startVoter starts the voter that is stored on this daemon's disk. If none is stored, an initial voter starts the
// bootstrap instead. It returns nil without an error if this daemon runs no voter, or has to bootstrap its voter first.
func (n *Node) startVoter(now time.Duration) (*localVoter, error) {
	text, err := readFile(n.options.Disk, identityFile, maxIdentityBytes)
	if err != nil {
		return nil, err
	}
	if text != nil {
		ownIdentity, err := parseIdentity(string(text))
		if err != nil {
			return nil, err
		}
		if ownIdentity.name != n.options.Name {
			return nil, fmt.Errorf("it belongs to the voter %q, but this daemon is %s", strings.TrimSpace(string(text)), n.options.Name)
		}
		n.bootstrapVote = &consensus.BootstrapVote{HasBegun: true, DiskIDs: ownIdentity.diskIDs}
		return n.openVoter(now, ownIdentity)
	}
	if n.diskID, err = n.loadDiskID(); err != nil {
		return nil, err
	}
	if initialVoters := slices.Sorted(slices.Values(n.options.InitialVoters)); slices.Contains(initialVoters, n.options.Name) {
		n.bootstrap = &bootstrap{Bootstrap: consensus.NewBootstrap(n.options.Name, n.diskID, initialVoters), startedAt: now}
	}
	return nil, nil
}

// createVoter writes the identity of a new voter to the data directory and starts the voter. It fails if the directory
// already has files of a voter.
func (n *Node) createVoter(now time.Duration, ownIdentity *identity) (*localVoter, error) {
	names, err := n.options.Disk.List()
	if err != nil {
		return nil, fmt.Errorf("list the voter's directory: %w", err)
	}
	// The version cache, the disk id and temporary files do not show that the directory belongs to a voter: a daemon without a
	// voter writes the first two, and an interrupted start leaves temporary files.
	names = slices.DeleteFunc(names, func(name string) bool {
		return name == cacheFile || name == diskIDFile || strings.HasSuffix(name, wal.TempSuffix)
	})
	if len(names) > 0 {
		return nil, fmt.Errorf("the directory belongs to no voter: it has %d other files but no %s", len(names), identityFile)
	}
	if err := ownIdentity.write(n.options.Disk); err != nil {
		return nil, err
	}
	return n.openVoter(now, ownIdentity)
}

// openVoter opens the durable log, which may be empty, and starts the voter from the log's contents.
func (n *Node) openVoter(now time.Duration, ownIdentity *identity) (*localVoter, error) {
	state, err := consensus.NewRecoveredState(ownIdentity.initialVoters)
	if err != nil {
		return nil, err
	}
	options := wal.Options{OnRepair: func(line string) { n.options.Log.Warn("durable log repaired", "detail", line) }}
	replay := func(r wal.Record) error { return state.Replay(r.Type, r.Payload) }
	log, err := wal.Open(n.options.Disk, options, state.Restore, replay)
	if err != nil {
		return nil, err
	}
	var seed [8]byte
	_, _ = rand.Read(seed[:]) // crypto/rand.Read never returns an error
	voter, err := consensus.NewVoter(now, consensus.Config{
		ID:                ownIdentity.voterID,
		HeartbeatInterval: heartbeatInterval,
		Seed:              binary.LittleEndian.Uint64(seed[:]),
		Lease:             n.options.Lease,
	}, state)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return &localVoter{identity: *ownIdentity, voter: voter, log: log, peerNames: map[uint64]string{}}, nil
}

// stopVoter stops this daemon's voter. The process does not start a voter again.
func (n *Node) stopVoter() {
	if err := n.localVoter.log.Close(); err != nil {
		n.options.Log.Warn("durable log not closed cleanly", "error", err)
	}
	n.localVoter, n.isVoterStartDisabled = nil, true
}

// applyVoterAction starts or stops this daemon's voter if a grant requires that. The daemon may rely on the grant: a
// majority has confirmed that its sender leads.
func (n *Node) applyVoterAction(now time.Duration, g *consensus.LeaseGrant) {
	var id uint64
	if n.localVoter != nil {
		id = n.localVoter.voterID
	}
	switch n.leaseClient.holder.VoterAction(g, id) {
	case consensus.StopVoter:
		n.options.Log.Warn("this daemon does not vote any more: its voter slot was removed; "+
			"empty its data_dir before adding it to the voters again", "voter_id", id)
		n.stopVoter()
	case consensus.StartVoter:
		if !n.isVoterStartDisabled {
			n.startAddedVoter(now, &identity{name: n.options.Name, voterID: g.VoterID, clusterID: newClusterID(g.InitialVoters),
				founding: n.foundingID()})
		}
	case consensus.VoterDiskLost:
		if !n.isDiskLossLogged && !n.isVoterStartDisabled {
			n.isDiskLossLogged = true
			n.options.Log.Error("this daemon does not vote", "voter_id", g.VoterID, "error", errVoterDiskLost)
		}
	}
}

// startAddedVoter starts the voter of a daemon that was added to the voters. A failed start is not attempted again by this
// process: otherwise each grant would cause another attempt.
func (n *Node) startAddedVoter(now time.Duration, ownIdentity *identity) {
	voter, err := n.createVoter(now, ownIdentity)
	if err != nil {
		n.isVoterStartDisabled = true
		n.options.Log.Error("this daemon was added to the voters, but its voter can't start", "error", err)
		return
	}
	n.options.Log.Info("voter started", "voter_id", ownIdentity.voterID)
	n.localVoter, n.bootstrap = voter, nil
}
