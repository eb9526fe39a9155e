// Package consensus is the replicated state machine with which the daemons of a cluster agree on versioned documents
// (settings and endpoint lists). It consists of a log of commands that raft (go.etcd.io/raft/v3) replicates, the State
// that the commands produce, and leases, which bound for how long two daemons may act on different versions.
//
// # Ownership
//
// The package does no I/O, starts no goroutine and reads no clock. Messages, instants and what was read from the disk
// come in as arguments; messages, records for the durable log and the next instant at which work is due are returned.
// Instants are durations on the monotonic clock of the caller's daemon. No type is safe for concurrent use: one
// goroutine of the caller owns a Voter, a LeaseHolder or a Bootstrap together with everything that these return. The
// exceptions are the maps of documents and of voters that the package returns: it replaces them and never modifies
// them, so other goroutines may read them.
//
// # Guarantee
//
// A daemon acts on a version only under a lease, whose duration it counts by its own clock from before it requested
// the lease. The leader grants a lease only if a majority confirms, after the request has arrived, that it still leads
// (raft's ReadIndex). While a version is pending, leases are short. A command in the log activates the pending version
// as soon as every daemon either has the version's documents and holds short leases only, or certainly holds no lease
// any more; a new leader first waits for as long as leases of its predecessors may last. Hence, once some daemon acts
// on a version, no daemon acts on an earlier one for longer than a short lease counted by the slowest clock allowed
// (LeaseConfig.MaxOverlap).
//
// # Voters
//
// Bootstrap decides when the initial voters may create their logs. Later changes of the voters are commands, which the
// leader turns into changes of raft's configuration, one at a time (State and Voter).
package consensus
