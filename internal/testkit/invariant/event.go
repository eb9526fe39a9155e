package invariant

import "time"

// Kind says what happened in an Event, and so which of its fields are set.
type Kind uint8

// The kinds of events. Each comment names the fields of Event that are set beside At and, for events of a request, Request.
// A request is identified by its ID, which is new for each retry by a client and for each call of a node to the next tier.
const (
	RequestSent        Kind = iota // a client writes a request to Sidecar; Class and Deadline are set
	ResponseReceived               // the client has received a complete response; Status and IsGenuine are set
	ExtraBytes                     // the client received further bytes on its connection after the complete response
	ConnectionLost                 // the client's connection ended before a complete response
	ResponseOverdue                // the client gave up some time after the deadline without having received any byte
	ClientDisconnected             // the client closed its connection before it received a response
	RequestNotWritten              // the client could not write the request completely, so no response is owed
	AttemptReceived                // Node received the last byte of an attempt; FirstByteAt, Work and Cell are set
	AttemptRejected                // Node rejected an attempt, which never takes effect
	EffectStarted                  // Node begins to execute an attempt, or drops it as a duplicate if IsDuplicate is set
	AttemptCompleted               // Node is about to write the response to an attempt
	AttemptAborted                 // the sidecar closed the connection of an attempt that Node had not answered
	NodeStateNotified              // discovery notified Sidecar that Node is in State; StartedAt is set if known
	NodeStarted                    // Node started; Capacity is set, and ColdCapacityFraction and WarmUpDuration if it warms up
	NodeStopped                    // Node's process died; its requests in flight ended and its connections were reset
	NodeCollapsed                  // Node collapsed under overload while it was warming up
	SidecarStarted                 // a new process of Sidecar started; no notification to an earlier process counts for the new one
	SigtermSent                    // Sidecar's process was sent SIGTERM
	SidecarKilled                  // Sidecar's process was sent SIGKILL
	SidecarExited                  // Sidecar's process ended; HasCrashed is set if the harness had sent no signal that ends it
	SidecarPaused                  // Sidecar's process was suspended by SIGSTOP
	SidecarResumed                 // Sidecar's process runs again after a pause of Duration
	HarnessStall                   // the test harness itself was not scheduled for Duration, until the instant of the event
)

// State is a node's state as discovery announces it.
type State uint8

// The states of a node that discovery announces.
const (
	Ready State = iota
	Draining
	Gone
)

// Effect says what happens if a request of a class is executed twice.
type Effect uint8

// The effects of executing a request twice. A Safe request changes nothing, however often it is executed. An
// IdempotencyKeyed request carries a key by which the nodes of a cell recognize and drop duplicates. A
// NonIdempotent request takes effect each time.
const (
	Safe Effect = iota
	IdempotencyKeyed
	NonIdempotent
)

// Event is an entry of a timeline. The comments on the constants of Kind say which fields are set.
type Event struct {
	At                   time.Duration // instant of the event since the start of the day
	Kind                 Kind
	Request              string        // ID of the request; a retry by the client has a new ID
	Sidecar              string        // name of the sidecar that the event happens at or is about
	Node                 string        // ID of the node that the event happens at or is about
	Class                int           // index in Rules.Classes of the request's class
	Deadline             time.Duration // deadline of the request, since the start of the day
	FirstByteAt          time.Duration // arrival of the attempt's first byte, since the start of the day
	Work                 float64       // work of the attempt, in seconds on a core of speed 1
	Status               int           // HTTP status of the response
	IsGenuine            bool          // whether the response is a rejection or an error, or its body was written by a node for this request
	IsDuplicate          bool          // whether the node dropped the attempt as a duplicate
	HasCrashed           bool          // whether the sidecar's process ended without a signal from the harness
	State                State         // state of the node that the sidecar was notified of
	Cell                 int           // index of the cell of the node that received the attempt
	Capacity             float64       // seconds of work that the node does per second when it is warm
	ColdCapacityFraction float64       // fraction of Capacity that the node has right after its start
	WarmUpDuration       time.Duration // time from the node's start until it has its full Capacity; 0 if it starts warm
	Duration             time.Duration // length of the sidecar's pause or of the harness's stall
	StartedAt            time.Duration // node's start time as discovery stated it, since the start of the day; 0 if not stated
}
