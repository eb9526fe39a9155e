// Package fleetsim plays a fleet of hundreds of sidecars in virtual time: the decision module itself, one balancer for each
// sidecar, before models of endpoints, in one process and with no clock but its own. What does no harm in one sidecar and
// does in three hundred shows here in seconds, and the same each time.
package fleetsim

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Day says what is played.
type Day struct {
	Seed        uint64
	Sidecars    int           // of all tiers together
	Scenario    string        // one of Troubles
	Length      time.Duration // requests are asked for so long
	Utilization float64       // of what the fleet can do, by the work that is asked for on the mean
	SlowStart   SlowStart     // how endpoints start; the zero value: as the shire's do
}

// SlowStart says how endpoints warm up, and what overloads one that is cold.
type SlowStart struct {
	InitialCapacity float64       // share of its capacity with which an endpoint starts
	Duration        time.Duration // after which it has all of it
	OverloadFactor  float64       // of its present capacity, sent for FallAfter
	OverloadWindow  time.Duration
}

// defaultSlowStart is how the shire's endpoints start.
var defaultSlowStart = SlowStart{InitialCapacity: 0.31, Duration: 9 * time.Second, OverloadFactor: 4, OverloadWindow: 3 * time.Second}

// Scenarios are what may happen, in the order in which they are told.
func Scenarios() []string { return []string{"calm", "roll", "herd", "zone", "split", "join"} }

// What bounds a Day: below, there are no tiers to speak of; above, a play takes minutes.
const (
	minSidecars, maxSidecars = 20, 2000
	maxLength                = 5 * time.Minute
)

// Check says what is wrong with a Day.
func (d Day) Check() error {
	switch {
	case !slices.Contains(Scenarios(), d.Scenario):
		return fmt.Errorf("trouble: %q is none of %s", d.Scenario, strings.Join(Scenarios(), ", "))
	case d.Sidecars < minSidecars || d.Sidecars > maxSidecars:
		return fmt.Errorf("sidecars: from %d to %d", minSidecars, maxSidecars)
	case d.Length <= 0 || d.Length > maxLength:
		return fmt.Errorf("length: over 0, and %v at most", maxLength)
	case d.Utilization <= 0 || d.Utilization > 2:
		return errors.New("use: over 0, and 2 at most")
	case d.SlowStart != SlowStart{} && (d.SlowStart.InitialCapacity <= 0 || d.SlowStart.InitialCapacity > 1 || d.SlowStart.Duration <= 0 || d.SlowStart.OverloadFactor <= 0 || d.SlowStart.OverloadWindow <= 0):
		return errors.New("cold: all of it over 0, and from at most 1")
	}
	return nil
}

// A class of requests. The figures are the shire's, in the middle of what its brief gives.
type class struct {
	name                       string
	isKeyed                    bool
	fraction                   float64
	work                       float64 // seconds of work on a core at yardstick speed, in all tiers
	latencyObjective, deadline time.Duration
	weight                     float64
}

var classes = []class{
	{"item-lookup", false, 0.75, 0.10, 2 * time.Second, 5 * time.Second, 5},
	{"bag-dispatch", true, 0.25, 0.31, 2500 * time.Millisecond, 6 * time.Second, 3},
}

// tiers are how a request's work is spread, from the front down.
var tiers = []struct {
	work  float64 // share of a class's work, for each call
	size  float64 // endpoints, in those of the first tier
	calls int     // to the tier below, one after another
}{{0.39, 1, 2}, {0.33, 2, 1}, {0.28, 1.55, 0}}

const (
	dedupWindow       = 10 * time.Second
	maxAttempts       = 4
	overloadTolerance = 0.25 // for chance, as in rehearsals
	drainGrace        = 500 * time.Millisecond
	timeTolerance     = 50 * time.Millisecond
	cellSize          = 4
	zoneCount         = 3

	coresPerEndpoint = 2
	maxInWork        = 24                     // requests that an endpoint holds in work
	maxQueued        = 12                     // and that wait
	wireDelay        = 500 * time.Microsecond // one way
	handshakeDelay   = 1500 * time.Microsecond
	maxConnections   = 40 // that an endpoint takes: few
	idleTimeout      = 15 * time.Second
	frontFraction    = 1.0 / 6 // of the sidecars
	loadSkew         = 3.0     // times the mean that the busiest front sidecar sees
	clientRetryDelay = 100 * time.Millisecond
	maxClientRetries = 3
	meanListDelay    = 800 * time.Millisecond // mean time until a sidecar hears of a change
	faultSlowdown    = 4.0
	slowFraction     = 1.0 / 8
	responseGrace    = 500 * time.Millisecond // after a request's time: by then it is lost
)
