package discovery

import (
	"time"

	"tuliprock/internal/endpointset"
)

// MemberCache keeps a pool's active endpoints and their flap histories when the pool's source is replaced by another. It is not safe
// for concurrent use; the PollingSource that is running owns it.
type MemberCache struct {
	endpoints *endpointset.Set
	epoch     time.Time // time of instant 0 of the Set, which takes and returns instants as durations since this time
}

// NewMemberCache returns an empty MemberCache. o says how long the last good list is held, and how flapping endpoints are damped.
func NewMemberCache(o endpointset.Options) *MemberCache {
	// The epoch is one second in the past, so that no member becomes active at instant 0. In the field ActiveSince of an
	// endpointset.Endpoint, 0 means that the member has been unchanged since the first list.
	return &MemberCache{endpointset.New(o), time.Now().Add(-time.Second)}
}

// SetOptions replaces the options, for future poll results. No source that uses this MemberCache may be running.
func (c *MemberCache) SetOptions(o endpointset.Options) { c.endpoints.SetOptions(o) }
