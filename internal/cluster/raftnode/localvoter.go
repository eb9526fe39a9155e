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

// heartbeatInterval is that of the voters. Without a heartbeat for five to ten of it another leader is elected.
const heartbeatInterval = 100 * time.Millisecond

// localVoter is a daemon's place among the voters: its identity, its voter and the voter's durable log.
type localVoter struct {
	identity
	voter     *consensus.Voter
	log       *wal.Log
	peerNames map[uint64]string // names of voters by id, as their messages have them, until the log does
}

// errVoterDiskLost is why a daemon with a voter's slot does not vote: what its voter promised was on a disk that is
// gone, and a voter without it could break the promise.
var errVoterDiskLost = errors.New("the log of its seat is not here; have it taken out of the voters, and then put in again")

// startVoter starts the voter that this daemon's disk has. A first voter whose disk has none starts the bootstrap
// instead; nil without an error: this daemon does not vote, or not yet.
func (n *Node) startVoter(now time.Duration) (*localVoter, error) {
	text, err := readFile(n.options.Disk, identityFile, maxIdentityBytes)
	if err != nil {
		return nil, err
	}
	if text != nil {
		own, err := parseIdentity(string(text))
		if err != nil {
			return nil, err
		}
		if own.name != n.options.Name {
			return nil, fmt.Errorf("it is that of %q, and this is %s", strings.TrimSpace(string(text)), n.options.Name)
		}
		n.bootstrapVote = &consensus.BootstrapVote{HasBegun: true, DiskIDs: own.diskIDs}
		return n.openVoter(now, own)
	}
	if n.diskID, err = n.loadDiskID(); err != nil {
		return nil, err
	}
	if firstVoters := slices.Sorted(slices.Values(n.options.InitialVoters)); slices.Contains(firstVoters, n.options.Name) {
		n.bootstrap = &bootstrap{Bootstrap: consensus.NewBootstrap(n.options.Name, n.diskID, firstVoters), startedAt: now}
	}
	return nil, nil
}

// createVoter writes the identity of a new voter to a directory that has no voter, and starts the voter.
func (n *Node) createVoter(now time.Duration, own *identity) (*localVoter, error) {
	names, err := n.options.Disk.List()
	if err != nil {
		return nil, fmt.Errorf("list the voter's directory: %w", err)
	}
	// A daemon that did not vote leaves the cache and the mark, and a start that was cut short leaves temporary files.
	names = slices.DeleteFunc(names, func(name string) bool {
		return name == cacheFile || name == diskIDFile || strings.HasSuffix(name, wal.TempSuffix)
	})
	if len(names) > 0 {
		return nil, fmt.Errorf("the directory is no voter's: it has no %s, and %d other files", identityFile, len(names))
	}
	if err := wal.ReplaceFile(n.options.Disk, identityFile, []byte(own.String()+"\n")); err != nil {
		return nil, fmt.Errorf("write %s: %w", identityFile, err)
	}
	return n.openVoter(now, own)
}

// openVoter opens the durable log, which may be empty, and starts the voter with what it has.
func (n *Node) openVoter(now time.Duration, own *identity) (*localVoter, error) {
	state, err := consensus.NewRecoveredState(own.initialVoters)
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
		ID:                own.id,
		HeartbeatInterval: heartbeatInterval,
		Seed:              binary.LittleEndian.Uint64(seed[:]),
		Lease:             n.options.Lease,
	}, state)
	if err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return &localVoter{identity: *own, voter: voter, log: log, peerNames: map[uint64]string{}}, nil
}

// stopVoter stops this daemon's voter; no other is started before the process ends.
func (n *Node) stopVoter() {
	if err := n.localVoter.log.Close(); err != nil {
		n.options.Log.Warn("durable log not closed cleanly", "error", err)
	}
	n.localVoter, n.hasStoppedVoting = nil, true
}

// applyVoterAction does what follows for this daemon's slot from the grant of a leader that a majority has confirmed.
func (n *Node) applyVoterAction(now time.Duration, g *consensus.LeaseGrant) {
	var id uint64
	if n.localVoter != nil {
		id = n.localVoter.id
	}
	switch g.VoterAction(n.options.Name, id) {
	case consensus.StopVoter:
		n.options.Log.Warn("this daemon does not vote any more: its seat was taken out; empty its data_dir before it is to vote again",
			"voter_id", id)
		n.stopVoter()
	case consensus.StartVoter:
		if !n.hasStoppedVoting {
			n.startAddedVoter(now, &identity{name: n.options.Name, id: g.VoterID, clusterID: newClusterID(g.InitialVoters)})
		}
	case consensus.VoterDiskLost:
		if !n.isDiskLossLogged && !n.hasStoppedVoting {
			n.isDiskLossLogged = true
			n.options.Log.Error("this daemon does not vote", "voter_id", g.VoterID, "error", errVoterDiskLost)
		}
	}
}

// startAddedVoter starts a voter that was added to the voters. If that fails it is not tried again with each grant.
func (n *Node) startAddedVoter(now time.Duration, own *identity) {
	slot, err := n.createVoter(now, own)
	if err != nil {
		n.hasStoppedVoting = true
		n.options.Log.Error("this daemon was called to vote, and can't", "error", err)
		return
	}
	n.options.Log.Info("voter started", "voter_id", own.id)
	n.localVoter, n.bootstrap = slot, nil
}
