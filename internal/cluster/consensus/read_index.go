package consensus

import (
	"encoding/binary"
	"errors"
	"time"
)

// maxPendingLeaseRequests bounds the lease requests that wait for an answer of this voter.
const maxPendingLeaseRequests = 4096

// ErrNotLeader means that a lease request was not accepted: this voter does not lead, has not yet applied all that its
// predecessors committed, or has maxPendingLeaseRequests waiting.
var ErrNotLeader = errors.New("this voter does not lead")

// AddressedGrant is a grant and the daemon to which it is to be sent.
type AddressedGrant struct {
	Recipient string // name of the daemon to which the grant is sent
	Grant     LeaseGrant
}

// pendingLease is a lease request that is not answered yet. The request waits until a majority has confirmed that this
// voter leads, and then until all log entries up to readIndex are applied to the State.
type pendingLease struct {
	round     uint64 // number of the earliest round of ReadIndex that was started after the request had arrived
	readIndex uint64 // log index that must be applied before the request is answered; set when the round is confirmed
	request   LeaseRequest
}

// RequestLease accepts a request for a lease, or returns ErrNotLeader. The grant is added to Grants after a majority has
// confirmed that this voter leads.
func (v *Voter) RequestLease(r LeaseRequest) error {
	defer v.stopOnRaftPanic()
	if !v.isLeader || v.leaseManager == nil || len(v.unconfirmedLeases)+len(v.confirmedLeases) >= maxPendingLeaseRequests {
		return ErrNotLeader
	}
	v.startReadIndex()
	v.unconfirmedLeases = append(v.unconfirmedLeases, pendingLease{round: v.readRound, request: r})
	return nil
}

// startReadIndex starts a round of raft's ReadIndex. If a majority confirms the round, this voter still led after the
// arrival of every request that came in before the round started.
func (v *Voter) startReadIndex() {
	v.readRound++
	v.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, v.readRound))
}

// retryReadIndex starts another round if requests still wait for a confirmation, since messages may have been lost.
func (v *Voter) retryReadIndex() {
	if len(v.unconfirmedLeases) > 0 {
		v.startReadIndex()
	}
}

// completeReadIndex moves the requests that arrived before a confirmed round was started from unconfirmedLeases to
// confirmedLeases. index is the log index that must be applied before these requests are answered.
func (v *Voter) completeReadIndex(round, index uint64) {
	unconfirmed := v.unconfirmedLeases[:0]
	for _, lease := range v.unconfirmedLeases {
		if lease.round <= round {
			lease.readIndex = index
			v.confirmedLeases = append(v.confirmedLeases, lease)
		} else {
			unconfirmed = append(unconfirmed, lease)
		}
	}
	v.unconfirmedLeases = unconfirmed
}

// grantConfirmedLeases answers the confirmed requests whose read index is applied.
func (v *Voter) grantConfirmedLeases(now time.Duration) {
	waiting := v.confirmedLeases[:0]
	for _, lease := range v.confirmedLeases {
		if v.leaseManager == nil || lease.readIndex > v.appliedIndex {
			waiting = append(waiting, lease)
			continue
		}
		grant := v.leaseManager.Grant(now, lease.request, v.state)
		v.addSlotStatus(&lease.request, &grant)
		v.Grants = append(v.Grants, AddressedGrant{lease.request.Daemon, grant})
	}
	v.confirmedLeases = waiting
}
