// Package discovery tracks the endpoints of a pool. A Source reports them as ListUpdates: AgentClient watches the platform's
// discovery agent, and PollingSource polls a fixed list, a file or DNS. The package makes no decisions about endpoints. A PollingSource
// leaves them to package endpointset, which delays some changes: it damps endpoints that flap, and keeps the last good list while
// responses are empty or failed.
//
// Each source is owned by the goroutine that calls its Run. Run returns when its context ends and then leaves no goroutine behind,
// except for those of the standard resolver, which may need a moment to end. Inside Run, an AgentClient runs one further goroutine
// for the watch of the current agent, and a DNS poll runs up to maxConcurrentLookups. A source reports updates and failures in
// order, and never concurrently. The receiver keeps the list that it has until an update arrives: a failure alone never empties it.
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

// logInterval is the minimum time between two log lines of one source about its failures. A source that is down fails several
// times a second.
const logInterval = 10 * time.Second

// Source reports the endpoints of a pool.
type Source interface {
	// Run reports updates and failures until ctx ends.
	Run(ctx context.Context)
	// Subscribe requests a watch or a poll without delay. It does not block.
	Subscribe()
}

var (
	_ Source = (*AgentClient)(nil)
	_ Source = (*PollingSource)(nil)
)

// CheckAddress returns an error unless addr is host:port with a decimal port from 0 to 65535. The error begins with field, the name of
// the field that holds addr.
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
