package transport

import "errors"

// ErrUnknownMember is returned by Send if the latest view has no member with the receiver's name.
var ErrUnknownMember = errors.New("no daemon of this name is known")

// The reasons why a packet is dropped. dropCounters.count maps each reason to a counter.
var (
	errMalformed       = errors.New("malformed packet")
	errVersionMismatch = errors.New("packet of another format version")
	errClusterMismatch = errors.New("packet of another cluster")
	errUnknownSender   = errors.New("message from a process that is not the member with its name")
	errUnauthenticated = errors.New("packet signed with an unknown key, or altered")
	errReplayed        = errors.New("packet received before, or older than the replay window")
	errRateLimited     = errors.New("rate limit of the source address exceeded")
	errQueueFull       = errors.New("receive queue full")
	errTooManyStreams  = errors.New("too many outgoing streams")
)
