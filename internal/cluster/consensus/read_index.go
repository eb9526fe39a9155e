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

// pendingLeaseRequest is a lease request that is not answered yet. It waits until a majority has confirmed that this
// voter leads, and then until all log entries up to readIndex are applied to the State.
type pendingLeaseRequest struct {
	round     uint64 // number of the earliest round of ReadIndex that was started after the request had arrived
	readIndex uint64 // log index that must be applied before the request is answered; set when the round is confirmed
	request   LeaseRequest
}

// RequestLease accepts a request for a lease, or returns ErrNotLeader. The grant is added to Grants after a majority has
// confirmed that this voter leads.
func (v *Voter) RequestLease(r LeaseRequest) error {
	defer v.stopOnRaftPanic()
	if !v.isLeader || v.leaseManager == nil || len(v.unconfirmedRequests)+len(v.confirmedRequests) >= maxPendingLeaseRequests {
		return ErrNotLeader
	}
	v.startReadIndex()
	v.unconfirmedRequests = append(v.unconfirmedRequests, pendingLeaseRequest{round: v.readRound, request: r})
	return nil
}

// startReadIndex starts a round of raft's ReadIndex. If a majority confirms the round, this voter still led after the
// arrival of every request that came in before the round started.
func (v *Voter) startReadIndex() {
	v.readRound++
	v.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, v.readRound))
}

// retryReadIndex starts another round of ReadIndex if lease requests still wait for a confirmation, since messages of the
// earlier rounds may have been lost.
func (v *Voter) retryReadIndex() {
	if len(v.unconfirmedRequests) > 0 {
		v.startReadIndex()
	}
}

// completeReadIndex handles the confirmation of a round of ReadIndex: it moves the lease requests that arrived before the
// round started from unconfirmedRequests to confirmedRequests. index is the log index that must be applied before they are
// answered.
func (v *Voter) completeReadIndex(round, index uint64) {
	unconfirmed := v.unconfirmedRequests[:0]
	for _, pending := range v.unconfirmedRequests {
		if pending.round <= round {
			pending.readIndex = index
			v.confirmedRequests = append(v.confirmedRequests, pending)
		} else {
			unconfirmed = append(unconfirmed, pending)
		}
	}
	v.unconfirmedRequests = unconfirmed
}

// grantConfirmedRequests answers the confirmed lease requests whose read index is applied.
func (v *Voter) grantConfirmedRequests(now time.Duration) {
	waiting := v.confirmedRequests[:0]
	for _, pending := range v.confirmedRequests {
		if v.leaseManager == nil || pending.readIndex > v.appliedIndex {
			waiting = append(waiting, pending)
			continue
		}
		grant := v.leaseManager.Grant(now, pending.request, v.state)
		v.addSlotStatus(&pending.request, &grant)
		v.Grants = append(v.Grants, AddressedGrant{pending.request.Daemon, grant})
	}
	v.confirmedRequests = waiting
}
