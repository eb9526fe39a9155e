package hotrestart

import (
	"fmt"
	"slices"
	"time"
)

const (
	// MaxEjections bounds how many endpoints may be ejected manually at the same time. It is far more than an endpoint list
	// has, and keeps the state at about 100 kB.
	MaxEjections = 1024
	// maxRestoredEntries bounds how many entries a State keeps of endpoints that operators have restored to service.
	maxRestoredEntries = 1024
	// restoredEntryRetention is how long an entry is kept after an operator restored the endpoint. It exceeds the duration of an
	// endpoint's slow start, and the time that a process takes to start.
	restoredEntryRetention = time.Minute
	// maxIDBytes is the maximum length of an endpoint's ID.
	maxIDBytes = 512
)

// ErrTooManyEjections means that an endpoint was not ejected because MaxEjections endpoints are ejected already.
var ErrTooManyEjections = fmt.Errorf("%d endpoints are out already: no more can be", MaxEjections)

// Ejection records that an operator ejected an endpoint, or restored it later. A State has at most one Ejection per endpoint.
type Ejection struct {
	ID      string `json:"id"`    // ID of the endpoint
	Ejected bool   `json:"out"`   // true: the endpoint was ejected; false: it was restored
	AtMs    int64  `json:"at_ms"` // Unix time in milliseconds at which the operator ejected or restored the endpoint
}

// IsRecentlyRestored reports whether the endpoint was restored so recently that it may still be in its slow start. The age must
// be checked because entries older than restoredEntryRetention remain in a State until its next change.
func (e Ejection) IsRecentlyRestored(now time.Time) bool {
	age := now.Sub(time.UnixMilli(e.AtMs)) // negative if the wall clock was set back
	return !e.Ejected && age < restoredEntryRetention && age > -restoredEntryRetention
}

// recordEjection adds the entry latest, and removes an earlier entry of the same endpoint. It also removes each entry that records a
// restoration whose time differs by more than restoredEntryRetention from that of latest. If latest records a restoration too, and
// the State still has maxRestoredEntries restorations, the one that was recorded first is removed. The error is ErrTooManyEjections
// if latest records an ejection while MaxEjections other endpoints are ejected.
func (s *State) recordEjection(latest Ejection) error {
	ejectedCount := 0
	s.Ejections = slices.DeleteFunc(s.Ejections, func(e Ejection) bool {
		age := time.Duration(latest.AtMs-e.AtMs) * time.Millisecond
		isObsolete := e.ID == latest.ID || !e.Ejected && (age > restoredEntryRetention || age < -restoredEntryRetention)
		if !isObsolete && e.Ejected {
			ejectedCount++
		}
		return isObsolete
	})
	if latest.Ejected && ejectedCount >= MaxEjections {
		return ErrTooManyEjections
	}
	if restoredCount := len(s.Ejections) - ejectedCount; !latest.Ejected && restoredCount >= maxRestoredEntries {
		firstRestored := slices.IndexFunc(s.Ejections, func(e Ejection) bool { return !e.Ejected })
		s.Ejections = slices.Delete(s.Ejections, firstRestored, firstRestored+1)
	}
	s.Ejections = append(s.Ejections, latest)
	return nil
}
