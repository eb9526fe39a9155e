package consensus

import "time"

// LeaseConfig has the durations of leases, which are the same for all daemons of a fleet. The rates of clocks are taken to
// differ from that of true time by no more than the drift.
type LeaseConfig struct {
	Duration      time.Duration // of a lease, by the holder's clock
	ShortDuration time.Duration // of a lease while a version is pending
	MaxClockDrift float64       // the greatest relative error of a clock's rate, 0.01 for 1 %

	// Faults that tests inject to verify that they are detected. All are off in the daemon.
	CountFromGrant     bool // a lease counts from the arrival of its grant instead of from the request
	SkipActivationWait bool // a version is activated without regard to outstanding leases
	SkipExpiryCheck    bool // a daemon acts without checking that its lease has not expired
}

// expiryWait returns how long to wait by this clock until a lease that another clock counts has certainly expired.
func (c LeaseConfig) expiryWait(lease time.Duration) time.Duration {
	return time.Duration(float64(lease) * (1 + c.MaxClockDrift) / (1 - c.MaxClockDrift))
}

// MaxOverlap returns the longest true time for which some daemon may still act on a version after another daemon has begun
// to act on a later one.
func (c LeaseConfig) MaxOverlap() time.Duration {
	return time.Duration(float64(c.ShortDuration) / (1 - c.MaxClockDrift))
}

// LeaseRequest asks the leader for a lease. Its names on the wire are those of the tags.
type LeaseRequest struct {
	Daemon           string `json:"Daemon"`
	Seq              uint64 `json:"Seq"`                // of the request; the grant repeats it
	ReadyVersion     uint64 `json:"Has"`                // the latest version whose documents the daemon has and can act on
	InstalledVersion uint64 `json:"Acts"`               // the version on which all parts of the daemon act
	AcceptedSeq      uint64 `json:"Took"`               // Seq of the grant in use: earlier ones are out of use
	RejectedVersion  uint64 `json:"Declines,omitempty"` // the latest version on which the daemon can't act; 0: none
	RejectReason     string `json:"Why,omitempty"`      // why it can't; at most maxReasonRunes
	DiskID           string `json:"Mark,omitempty"`     // id of the disk of a daemon that could run a voter and runs none
}

// LeaseGrant is the leader's response to a LeaseRequest. Its names on the wire are those of the tags.
type LeaseGrant struct {
	Seq            uint64              `json:"Seq"`     // of the request
	Version        uint64              `json:"Version"` // on which the daemon is to act
	ActiveDocs     map[string]Document `json:"Docs"`    // of Version; nil: the daemon has them, or has rejected them
	PendingVersion uint64              `json:"Next"`    // for which the daemon is to get ready
	PendingDocs    map[string]Document `json:"Coming"`  // of PendingVersion; nil as above
	Duration       time.Duration       `json:"Lease"`   // 0: no lease, and earlier ones end

	SlotHolders   []string `json:"Voters"`  // daemons with a voter slot, which may grant leases
	ActiveVoters  []string `json:"Sitting"` // daemons whose voters are active
	VoterID       uint64   `json:"Seat"`    // id of the daemon's voter slot; 0: none
	MayStartVoter bool     `json:"Begins"`  // the daemon may start its voter on the disk that the request named
	InitialVoters []string `json:"First"`   // with MayStartVoter: the fleet's initial voters
	DiskLost      bool     `json:"Lost"`    // the daemon's slot is bound to another disk than the request named

	FullyActive uint64          `json:"All"`  // no daemon acts on an earlier version; 0: not known yet
	Lagging     []LaggingDaemon `json:"Lags"` // daemons for which the leader waits; at most maxLagging
}

// LaggingDaemon names a daemon for which the leader waits before a version is active on all daemons.
type LaggingDaemon struct {
	Daemon string `json:"Daemon"`
	Reason string `json:"Why"`
}

// Bounds of what requests and grants carry.
const (
	maxLagging     = 16  // daemons
	maxReasonRunes = 300 // of a RejectReason
)
