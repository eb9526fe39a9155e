package eventloop

import "time"

// clock gives instants as the decision module takes them: a monotonic reading since the start of the loop, on top of
// clockStart. It holds no state that changes, and may be read from any goroutine.
type clock struct{ started time.Time }

// clockStart is the instant at which a clock starts: well above zero, so that 0 means long ago, and starts of endpoints
// before this sidecar's own have instants too.
const clockStart = 24 * time.Hour

func (c clock) now() time.Duration { return c.at(time.Now()) }

func (c clock) at(t time.Time) time.Duration { return clockStart + t.Sub(c.started) }

// fromUnixMillis converts wall time; 0 or less is long ago. The offset is fixed: the same start of an endpoint must always
// give the same instant, or the module would take an old start for a restart.
func (c clock) fromUnixMillis(unixMs int64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(clockStart+time.Duration(unixMs-c.started.UnixMilli())*time.Millisecond, 0)
}
