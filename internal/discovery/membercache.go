package discovery

import (
	"time"

	"tuliprock/internal/endpointset"
)

// MemberCache is what a pool remembers of its members when its source is replaced: the endpoints in force and their flaps. It is not
// safe for concurrent use; the PollingSource that runs owns it.
type MemberCache struct {
	endpoints *endpointset.Set
	epoch     time.Time // zero of the instants in endpoints
}

// NewMemberCache makes an empty MemberCache.
func NewMemberCache(o endpointset.Options) *MemberCache {
	// The epoch lies in the past, for instant 0 is that of a member that was there from the beginning.
	return &MemberCache{endpointset.New(o), time.Now().Add(-time.Second)}
}

// SetOptions changes the options for the poll results to come. No source with this MemberCache may run.
func (c *MemberCache) SetOptions(o endpointset.Options) { c.endpoints.SetOptions(o) }
