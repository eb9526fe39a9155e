package hotrestart

import (
	"fmt"
	"slices"
	"time"
)

const (
	// MaxEjections is how many endpoints may be ejected by operators at once: far more than an endpoint list has, and
	// some 100 kB of state.
	MaxEjections = 1024
	// maxReturns bounds the returns that are kept, like MaxEjections.
	maxReturns = 1024
	// returnRetention is for how long a return is kept: longer than an endpoint's slow start, or the start of a process.
	returnRetention = time.Minute
	maxIDBytes      = 512
)

// ErrTooManyEjections is the reason why an endpoint is not ejected: MaxEjections are.
var ErrTooManyEjections = fmt.Errorf("%d endpoints are out already: no more can be", MaxEjections)

// Ejection is an operator's ejection of an endpoint, or its return.
type Ejection struct {
	ID      string `json:"id"`    // the endpoint's
	Ejected bool   `json:"out"`   // false: it was returned
	AtMs    int64  `json:"at_ms"` // Unix time in milliseconds
}

// IsRecentReturn reports whether this is a return so recent that the endpoint may still be in its slow start. Older ones may
// remain in a State until the next change.
func (e Ejection) IsRecentReturn(now time.Time) bool {
	age := now.Sub(time.UnixMilli(e.AtMs)) // negative if the wall clock was set back
	return !e.Ejected && age < returnRetention && age > -returnRetention
}

// recordEjection records an ejection or return in place of earlier ones of the same endpoint, and removes returns that
// returnRetention has passed for. The error is ErrTooManyEjections.
func (s *State) recordEjection(latest Ejection) error {
	ejected := 0
	s.Ejections = slices.DeleteFunc(s.Ejections, func(e Ejection) bool {
		age := time.Duration(latest.AtMs-e.AtMs) * time.Millisecond
		isObsolete := e.ID == latest.ID || !e.Ejected && (age > returnRetention || age < -returnRetention)
		if !isObsolete && e.Ejected {
			ejected++
		}
		return isObsolete
	})
	if latest.Ejected && ejected >= MaxEjections {
		return ErrTooManyEjections
	}
	if returned := len(s.Ejections) - ejected; !latest.Ejected && returned >= maxReturns {
		oldest := slices.IndexFunc(s.Ejections, func(e Ejection) bool { return !e.Ejected })
		s.Ejections = slices.Delete(s.Ejections, oldest, oldest+1)
	}
	s.Ejections = append(s.Ejections, latest)
	return nil
}
