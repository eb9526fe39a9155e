package transport

import "errors"

// ErrUnknownMember is the reason why Send sent nothing: the latest view has no member of that name.
var ErrUnknownMember = errors.New("no daemon of this name is known")

// The reasons why a packet is dropped. dropCounters.count maps each to its counter.
var (
	errMalformed       = errors.New("malformed packet")
	errVersionMismatch = errors.New("packet of another format version")
	errClusterMismatch = errors.New("packet of another cluster")
	errUnknownSender   = errors.New("message of a process that is not the member of that name")
	errUnauthenticated = errors.New("packet signed with an unknown key, or altered")
	errReplayed        = errors.New("packet received before, or too old to tell")
	errRateLimited     = errors.New("source address over its datagram rate")
	errQueueFull       = errors.New("receive queue full")
	errTooManyStreams  = errors.New("too many outgoing streams")
)
