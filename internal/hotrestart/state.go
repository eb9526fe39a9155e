// Package hotrestart lets one process replace another under load: the listening socket that both have, who takes callers, and
// what both must know. What follows from what a process sees is decided by State and Share, which have no I/O and no clock;
// Dir carries it out.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"
)

const (
	stateFormat = 1
	// MaxEjections is how many endpoints may be out by hand at once: far more than a list has, and some 100 kB.
	MaxEjections = 1024
	// returnRetention is for how long a call back is remembered: longer than an endpoint is cold, or a process takes to start.
	returnRetention = time.Minute
	maxReturns      = 1024
	maxIDBytes      = 512 // bytes of an id
	maxStateBytes   = 4 << 20
	maxProcesses    = 64 // processes that are remembered; those that are dead are forgotten first
)

// Process is one that serves, or served.
type Process struct {
	Number int  `json:"number"` // higher than those of all that began before it
	Ready  bool `json:"ready"`  // it takes callers
}

// Ejection is a call of operators'.
type Ejection struct {
	ID      string `json:"id"`
	Ejected bool   `json:"out"`   // else it was given back
	AtMs    int64  `json:"at_ms"` // Unix time
}

// State is what all processes of one sidecar know.
type State struct {
	Format    int        `json:"format"`
	Name      string     `json:"name"` // the sidecar's
	Processes []Process  `json:"processes"`
	Ejections []Ejection `json:"bars"`
}

// Parse reads a State and checks it whole. An error means that the text is damaged, or not this sidecar's.
func Parse(text []byte, name string) (State, error) {
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, fmt.Errorf("not read: %w", err)
	}
	switch {
	case s.Format != stateFormat:
		return State{}, fmt.Errorf("format: %d is not %d", s.Format, stateFormat)
	case s.Name != name:
		return State{}, fmt.Errorf("name: %.80q is another sidecar", s.Name)
	case len(s.Ejections) > MaxEjections+maxReturns || len(s.Processes) > maxProcesses:
		return State{}, errors.New("more entries than are ever written")
	}
	seen := map[string]bool{}
	for _, b := range s.Ejections {
		if b.ID == "" || len(b.ID) > maxIDBytes || seen[b.ID] {
			return State{}, fmt.Errorf("bars: %.80q is no id, or stands there twice", b.ID)
		}
		seen[b.ID] = true
	}
	for i, p := range s.Processes {
		if p.Number < 1 || i > 0 && p.Number <= s.Processes[i-1].Number {
			return State{}, fmt.Errorf("processes: number %d is out of order", p.Number)
		}
	}
	return s, nil
}

// encode is the State as it is written.
func (s State) encode() ([]byte, error) { return json.MarshalIndent(s, "", " ") }

// addProcess adds a process, and forgets those that are dead. Numbers are never used again while one of the old ones lives.
func (s *State) addProcess(alive func(number int) bool) (number int) {
	for _, p := range s.Processes {
		number = max(number, p.Number)
	}
	number++
	s.Processes = slices.DeleteFunc(s.Processes, func(p Process) bool { return !alive(p.Number) })
	if over := len(s.Processes) + 1 - maxProcesses; over > 0 {
		s.Processes = slices.Delete(s.Processes, 0, over)
	}
	s.Processes = append(s.Processes, Process{Number: number})
	return number
}

// setReady says whether a process takes callers.
func (s *State) setReady(number int, is bool) {
	for i := range s.Processes {
		if s.Processes[i].Number == number {
			s.Processes[i].Ready = is
		}
	}
}

// recordEjection notes a call, in place of earlier ones for the same id, and forgets what was given back long ago. False: there is
// no room for one more that is out.
func (s *State) recordEjection(b Ejection) bool {
	outs := 0
	s.Ejections = slices.DeleteFunc(s.Ejections, func(old Ejection) bool {
		age := time.Duration(b.AtMs-old.AtMs) * time.Millisecond
		gone := old.ID == b.ID || !old.Ejected && (age > returnRetention || age < -returnRetention)
		if !gone && old.Ejected {
			outs++
		}
		return gone
	})
	if b.Ejected && outs >= MaxEjections {
		return false
	}
	if backs := len(s.Ejections) - outs; !b.Ejected && backs >= maxReturns {
		oldest := slices.IndexFunc(s.Ejections, func(old Ejection) bool { return !old.Ejected })
		s.Ejections = slices.Delete(s.Ejections, oldest, oldest+1)
	}
	s.Ejections = append(s.Ejections, b)
	return true
}

// IsRecentReturn tells whether a call back is so young that its endpoint may still be cold: older ones stay in the file until the
// next call.
func (b Ejection) IsRecentReturn(now time.Time) bool {
	age := now.Sub(time.UnixMilli(b.AtMs))
	return !b.Ejected && age < returnRetention && age > -returnRetention
}

// View is what follows for one process.
type View struct {
	Superseded bool  // a newer one takes callers
	Others     []int // numbers of the others that live
}

// View tells what follows for a process. alive tells who lives; it is asked about the others only.
func (s State) View(number int, alive func(number int) bool) View {
	var v View
	for _, p := range s.Processes {
		if p.Number != number && alive(p.Number) {
			v.Others = append(v.Others, p.Number)
			v.Superseded = v.Superseded || p.Number > number && p.Ready
		}
	}
	return v
}

const (
	reservedDescriptors  = 16 // descriptors that stay free of the common limit: what others open between two looks
	startupDescriptors   = 48 // that a process which has yet to begin will need
	drainingLimitDivisor = 4  // one that was taken over from may keep one in so many of the limit, whatever the newer ones need
)

// DescriptorLimit is how many descriptors a process may use of the limit common to all. others is what they use together, by their own
// word; 0: there are none.
func DescriptorLimit(limit int, v View, others int) int {
	switch {
	case len(v.Others) == 0:
		return limit
	case v.Superseded: // the more the newer ones need, the less idle callers are kept
		return min(limit-others-reservedDescriptors, max(limit/drainingLimitDivisor, limit-2*(others+reservedDescriptors)))
	}
	return limit - max(others, startupDescriptors) - reservedDescriptors
}
