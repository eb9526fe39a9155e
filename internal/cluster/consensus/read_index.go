package consensus

import (
	"encoding/binary"
	"errors"
	"time"
)

// maxPendingLeaseRequests bounds the requests that wait for a confirmation of the leadership.
const maxPendingLeaseRequests = 4096

// ErrNotLeader means that a lease request was not accepted: this voter does not lead, has not yet applied what its
// predecessors committed, or has as many requests waiting as it may.
var ErrNotLeader = errors.New("this voter does not lead")

// AddressedGrant is a grant and the daemon to which it is to be sent.
type AddressedGrant struct {
	Recipient string
	Grant     LeaseGrant
}

// pendingLease is a lease request that waits, first for the confirmation of the leadership and then for the State.
type pendingLease struct {
	round     uint64 // of the confirmation that covers the request
	readIndex uint64 // that must be applied before the request is answered; set by the confirmation
	request   LeaseRequest
}

// RequestLease accepts a request for a lease, or returns ErrNotLeader. The answer is added to Grants once a majority
// has confirmed that this voter leads.
func (v *Voter) RequestLease(r LeaseRequest) error {
	defer v.stopOnRaftPanic()
	if !v.isLeader || v.leaseManager == nil || len(v.unconfirmedLeases)+len(v.confirmedLeases) >= maxPendingLeaseRequests {
		return ErrNotLeader
	}
	v.startReadIndex()
	v.unconfirmedLeases = append(v.unconfirmedLeases, pendingLease{round: v.readRound, request: r})
	return nil
}

// startReadIndex begins a round of raft's ReadIndex. Its confirmation covers all requests that arrived before it began.
func (v *Voter) startReadIndex() {
	v.readRound++
	v.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, v.readRound))
}

// retryReadIndex begins another round if requests still wait for a confirmation, since messages may be lost.
func (v *Voter) retryReadIndex() {
	if len(v.unconfirmedLeases) > 0 {
		v.startReadIndex()
	}
}

// completeReadIndex marks the requests that a confirmed round covers.
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

// grantConfirmedLeases answers the confirmed requests for which enough of the log is applied.
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
