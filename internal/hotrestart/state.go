package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

const (
	stateFormat   = 1
	maxStateBytes = 4 << 20 // far more than a State with all that it may hold
	// maxProcesses is how many processes a State may list. Those that are dead are removed first.
	maxProcesses = 64
)

// State is what all processes of one sidecar share. Its JSON form is fixed: processes of other builds read it.
type State struct {
	Format    int        `json:"format"`
	Name      string     `json:"name"` // the sidecar's
	Processes []Process  `json:"processes"`
	Ejections []Ejection `json:"bars"` // in the order in which they were recorded
}

// Process is an entry of a process that lives, or has died without removing it.
type Process struct {
	Number int  `json:"number"` // greater than those of all that joined before it
	Ready  bool `json:"ready"`  // it accepts connections
}

// Parse decodes and checks the state of the sidecar called name. An error means that the text is damaged, or belongs to
// another sidecar, and names the field at fault.
func Parse(text []byte, name string) (State, error) {
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, fmt.Errorf("decode: %w", err)
	}
	switch {
	case s.Format != stateFormat:
		return State{}, fmt.Errorf("format: %d is not %d", s.Format, stateFormat)
	case s.Name != name:
		return State{}, fmt.Errorf("name: %.80q is another sidecar", s.Name)
	case len(s.Ejections) > MaxEjections+maxReturns || len(s.Processes) > maxProcesses:
		return State{}, errors.New("bars, processes: more entries than are ever written")
	}
	seen := map[string]bool{}
	for _, e := range s.Ejections {
		if e.ID == "" || len(e.ID) > maxIDBytes || seen[e.ID] {
			return State{}, fmt.Errorf("bars: %.80q is no valid id, or is listed twice", e.ID)
		}
		seen[e.ID] = true
	}
	for i, p := range s.Processes {
		if p.Number < 1 || i > 0 && p.Number <= s.Processes[i-1].Number {
			return State{}, fmt.Errorf("processes: number %d is out of order", p.Number)
		}
	}
	return s, nil
}

func (s State) encode() ([]byte, error) { return json.MarshalIndent(s, "", " ") }

// addProcess adds a process and returns its number. Dead ones are removed. A number is not used again while the process that
// has it, or a later one, is listed.
func (s *State) addProcess(isAlive func(number int) bool) (number int) {
	for _, p := range s.Processes {
		number = max(number, p.Number)
	}
	number++
	s.Processes = slices.DeleteFunc(s.Processes, func(p Process) bool { return !isAlive(p.Number) })
	if excess := len(s.Processes) + 1 - maxProcesses; excess > 0 {
		s.Processes = slices.Delete(s.Processes, 0, excess)
	}
	s.Processes = append(s.Processes, Process{Number: number})
	return number
}

// setReady records whether a process accepts connections.
func (s *State) setReady(number int, isReady bool) {
	for i := range s.Processes {
		if s.Processes[i].Number == number {
			s.Processes[i].Ready = isReady
		}
	}
}

// View is what a State means for one process.
type View struct {
	Superseded bool  // a newer process accepts connections
	Others     []int // the numbers of the other processes that live
}

// View returns what the state means for a process. isAlive is called for the other processes only.
func (s State) View(number int, isAlive func(number int) bool) View {
	var v View
	for _, p := range s.Processes {
		if p.Number != number && isAlive(p.Number) {
			v.Others = append(v.Others, p.Number)
			v.Superseded = v.Superseded || p.Number > number && p.Ready
		}
	}
	return v
}
