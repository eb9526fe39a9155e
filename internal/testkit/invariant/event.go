package invariant

import "time"

// Kind says what happened in an Event, and so which of its fields are set.
type Kind uint8

// The kinds of events. A request is known by its ID, which is new for each attempt of a client and for each call that a
// node makes to a further tier.
const (
	RequestSent       Kind = iota // a client writes a request to Sidecar; Class and Until are set
	ResponseReceived              // the client has the complete response, with Status; Genuine if an endpoint made what was served
	ExtraBytes                    // bytes followed the response on the client's connection
	ConnectionLost                // the connection ended without a complete response
	ResponseOverdue               // nothing had come by the deadline and an allowance beyond it
	ClientLeft                    // the client closed the connection before the response
	NotAccepted                   // the request could not be written completely, so no response is owed
	AttemptReceived               // the last byte of an attempt reached Node, its first byte at First; Work and Cell are set
	AttemptRejected               // Node rejected the attempt: it never runs
	EffectStarted                 // the effect of the attempt begins at Node; Repeat if Node dropped it as a duplicate
	AttemptCompleted              // Node writes the response to the attempt
	AttemptAborted                // the sidecar ended the connection of the attempt
	NodeStateNotified             // discovery notified Sidecar of the State of Node; Since is the start time it stated
	NodeStarted                   // Node started, warming up if WarmUpDuration > 0; Capacity and ColdCapacityShare are set
	NodeStopped                   // Node's process died: its requests are lost and its connections reset
	NodeCollapsed                 // Node collapsed under overload while warming up
	SidecarStarted                // Sidecar's process was started; notifications to the process before it are void
	TermSent                      // Sidecar was sent SIGTERM
	SidecarKilled                 // Sidecar was sent SIGKILL
	SidecarExited                 // Sidecar's process ended; Crash if nobody asked it to
	Paused                        // Sidecar's process was stopped (SIGSTOP)
	Resumed                       // Sidecar's process runs again after a pause of For
	HarnessStall                  // the test harness itself was not scheduled for For, up to this instant
)

// State is a node's state as discovery announces it.
type State uint8

// The states of a node.
const (
	Ready State = iota
	Draining
	Gone
)

// Effect says what sending a request of a class twice may do.
type Effect uint8

// The effects. Safe requests have none, Keyed ones carry an idempotency key by which the nodes of a cell drop duplicates,
// and Unsafe ones may take effect twice.
const (
	Safe Effect = iota
	IdempotencyKeyed
	Unsafe
)

// Event is one thing that happened. Only the fields named at its Kind are set.
type Event struct {
	At                time.Duration // since the start of the day
	Kind              Kind
	Request           string
	Sidecar           string
	Node              string
	Class             int           // index into Rules.Classes
	Until             time.Duration // the client's deadline
	First             time.Duration // arrival of the attempt's first byte
	Work              float64       // seconds of work on a core of speed 1
	Status            int
	Genuine           bool
	Duplicate         bool
	Crash             bool
	State             State
	Cell              int
	Capacity          float64       // work per second when warm
	ColdCapacityShare float64       // share of Capacity right after the start
	WarmUpDuration    time.Duration // time from the start until the full Capacity
	Duration          time.Duration
	StartedAt         time.Duration
}
