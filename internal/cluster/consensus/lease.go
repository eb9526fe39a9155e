package consensus

import "time"

// LeaseConfig has the durations of leases, which are the same for all daemons of a cluster. The bound MaxOverlap holds if
// the rate of no daemon's clock differs from that of true time by more than MaxClockDrift.
type LeaseConfig struct {
	Duration      time.Duration // duration of a lease by its holder's clock while no version is pending
	ShortDuration time.Duration // duration of a lease by its holder's clock while a version is pending
	MaxClockDrift float64       // greatest relative error of a clock's rate, 0.01 for 1 %

	// Faults of the lease protocol that tests inject, to verify that the checks detect them. All are off in the daemon.
	CountFromGrant     bool // whether a lease counts from the arrival of its grant instead of from the request
	SkipActivationWait bool // whether a version is activated without regard to outstanding leases
	SkipExpiryCheck    bool // whether a daemon acts without checking that its lease has not expired
}

// expiryWait returns how long to wait by this daemon's clock until a lease that another daemon counts by its own clock
// has certainly expired.
func (c LeaseConfig) expiryWait(leaseDuration time.Duration) time.Duration {
	return time.Duration(float64(leaseDuration) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift))
}

// MaxOverlap returns the longest true time for which some daemon may still act on a version after another daemon has
// begun to act on a later version.
func (c LeaseConfig) MaxOverlap() time.Duration {
	return time.Duration(float64(c.ShortDuration) / (1 - c.MaxClockDrift))
}

// LeaseRequest is a daemon's request to the leader for a lease. The JSON names are on the wire and must not change.
type LeaseRequest struct {
	Daemon           string `json:"Daemon"`             // name of the requesting daemon
	Seq              uint64 `json:"Seq"`                // sequence number of the request, which the grant repeats
	ReadyVersion     uint64 `json:"Has"`                // latest version whose documents the daemon has and can act on
	InstalledVersion uint64 `json:"Acts"`               // version on which all parts of the daemon act
	AcceptedSeq      uint64 `json:"Took"`               // Seq of the latest grant that the daemon accepted; the daemon uses no earlier grant
	RejectedVersion  uint64 `json:"Declines,omitempty"` // latest version on which the daemon can't act; 0: none
	RejectReason     string `json:"Why,omitempty"`      // why the daemon can't act on RejectedVersion, at most maxReasonRunes Unicode characters
	DiskID           string `json:"Mark,omitempty"`     // disk id of a daemon that could run a voter but runs none; else empty
}

// LeaseGrant is the leader's response to a LeaseRequest. The JSON names are on the wire and must not change.
type LeaseGrant struct {
	Seq            uint64              `json:"Seq"`     // sequence number of the request that the grant answers
	Version        uint64              `json:"Version"` // active version, on which the daemon is to act
	ActiveDocs     map[string]Document `json:"Docs"`    // documents of Version; nil if the daemon has them or has rejected them
	PendingVersion uint64              `json:"Next"`    // version to be activated next, whose documents the daemon is to check; equal to Version if none is pending
	PendingDocs    map[string]Document `json:"Coming"`  // documents of PendingVersion; nil if the daemon has them or has rejected them
	Duration       time.Duration       `json:"Lease"`   // duration of the lease; 0: no lease, and earlier leases end

	SlotHolders   []string `json:"Voters"`  // names of the daemons with a voter slot, which may grant leases
	ActiveVoters  []string `json:"Sitting"` // names of the daemons that vote in raft's configuration
	VoterID       uint64   `json:"Seat"`    // raft id of the requesting daemon's voter slot; 0: none
	MayStartVoter bool     `json:"Begins"`  // whether the daemon may start its voter on the disk that the request named
	InitialVoters []string `json:"First"`   // names of the cluster's initial voters; set with MayStartVoter only
	DiskLost      bool     `json:"Lost"`    // whether the daemon's voter slot is bound to another disk than the request named

	OldestActiveVersion uint64          `json:"All"`  // oldest version on which a daemon may still act; 0: not known yet
	Lagging             []LaggingDaemon `json:"Lags"` // daemons that delay the activation of the pending version, or do not act on the active version yet; at most maxLaggingDaemons
}

// LaggingDaemon is a daemon that delays the activation of the pending version or, if no version is pending, does not act
// on the active version yet.
type LaggingDaemon struct {
	Daemon string `json:"Daemon"` // name of the lagging daemon
	Reason string `json:"Why"`    // text for operators that says why the daemon lags
}

// Bounds of the contents of lease requests and grants.
const (
	maxLaggingDaemons = 16  // greatest number of daemons in LeaseGrant.Lagging
	maxReasonRunes    = 300 // greatest number of Unicode characters in LeaseRequest.RejectReason
)
