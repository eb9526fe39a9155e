// Package discovery follows the endpoints of a pool. A Source reports them as ListUpdates: AgentClient watches the platform's
// discovery agent, and PollingSource reads a fixed list, a file or DNS. The package decides nothing about endpoints beyond what
// endpointset does for polled sources (flap damping, and holding a list through empty or failed responses).
//
// Each source is owned by the goroutine that calls its Run, which returns when its context ends and then leaves no goroutine
// behind, except that the standard resolver may need a moment to end its own. An AgentClient runs one further goroutine inside
// Run, for the watch at the present address; a DNS poll runs up to maxConcurrentLookups. Updates and failures are reported one
// at a time, in order, and never concurrently by one source. A failed source never empties a list by itself: until an update
// arrives, the receiver keeps what it has.
package discovery

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"time"
)

// MaxMembers is the largest number of members that one source may list.
const MaxMembers = 100_000

// logInterval is the least time between two log lines of one source about its failures: a source that is down fails several times
// a second.
const logInterval = 10 * time.Second

// Source reports the endpoints of a pool.
type Source interface {
	// Run reports updates and failures until ctx ends.
	Run(ctx context.Context)
	// Subscribe requests a watch or a poll at once, for sources that report nothing otherwise. It does not block.
	Subscribe()
}

var (
	_ Source = (*AgentClient)(nil)
	_ Source = (*PollingSource)(nil)
)

// CheckAddress returns an error unless addr is host:port with a decimal port from 0 to 65535. The error begins with field.
func CheckAddress(field, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: missing", field)
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%s: port %q is not a number up to 65535", field, port)
	}
	return nil
}
