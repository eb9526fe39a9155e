package eventloop

import "time"

// clock converts times to the instants that the balancer takes: the monotonic time since the start of the loop, plus clockStart.
// It is immutable and may be read from any goroutine.
type clock struct{ startedAt time.Time }

// clockStart is the instant at which a clock starts. It is well above zero because the instant 0 means "long ago", and because an
// endpoint that started before this sidecar needs a positive instant as its start.
const clockStart = 24 * time.Hour

func (c clock) now() time.Duration { return c.at(time.Now()) }

func (c clock) at(t time.Time) time.Duration { return clockStart + t.Sub(c.startedAt) }

// timeOf is the inverse of at.
func (c clock) timeOf(instant time.Duration) time.Time { return c.startedAt.Add(instant - clockStart) }

// fromUnixMillis converts a wall-clock time in Unix milliseconds to an instant. A time of 0 or less gives the instant 0, which means
// "long ago". The offset between wall-clock times and instants is fixed: the same start time of an endpoint must always give the same
// instant, or the balancer would take the endpoint for restarted.
func (c clock) fromUnixMillis(unixMs int64) time.Duration {
	if unixMs <= 0 {
		return 0
	}
	return max(clockStart+time.Duration(unixMs-c.startedAt.UnixMilli())*time.Millisecond, 0)
}
