package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

const (
	// stateFormat is the version of the state file's format. A state with another version is rejected.
	stateFormat = 1
	// maxStateBytes is the maximum number of bytes that are read of a state file or live file. The largest valid State takes
	// far fewer.
	maxStateBytes = 4 << 20
	// maxProcesses is the maximum number of processes in a State. When a process joins, the entries of dead processes are
	// removed first, and then, if there are still too many, the oldest entries.
	maxProcesses = 64
)

// State is the content of the state file, which all processes of one sidecar share. Its JSON form is fixed, since processes of
// other builds read and write it.
type State struct {
	Format    int        `json:"format"`    // version of the format, always stateFormat
	Name      string     `json:"name"`      // name of the sidecar
	Processes []Process  `json:"processes"` // processes that have joined the sidecar by Join, in ascending order of their numbers
	Ejections []Ejection `json:"bars"`      // for each endpoint, whether an operator last ejected it or restored it to service; in the order of recording
}

// Process describes, in State.Processes, a process that has joined the sidecar by Join. After the process has ended, its Process
// stays in the list until another process joins.
type Process struct {
	Number int  `json:"number"` // greater than the numbers of all processes that joined earlier
	Ready  bool `json:"ready"`  // whether the process accepts connections
}

// ParseState decodes and validates the state of the sidecar called name. An error means that the text is damaged, or belongs
// to another sidecar, and names the invalid field.
func ParseState(text []byte, name string) (State, error) {
	var s State
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, fmt.Errorf("decode: %w", err)
	}
	switch {
	case s.Format != stateFormat:
		return State{}, fmt.Errorf("format: %d is not %d", s.Format, stateFormat)
	case s.Name != name:
		return State{}, fmt.Errorf("name: the state belongs to another sidecar, %.80q", s.Name)
	case len(s.Ejections) > MaxEjections+maxRestoredEntries || len(s.Processes) > maxProcesses:
		return State{}, errors.New("bars, processes: too many entries")
	}
	seenIDs := map[string]bool{}
	for _, e := range s.Ejections {
		if e.ID == "" || len(e.ID) > maxIDBytes || seenIDs[e.ID] {
			return State{}, fmt.Errorf("bars: id %.80q is invalid or is listed twice", e.ID)
		}
		seenIDs[e.ID] = true
	}
	for i, p := range s.Processes {
		if p.Number < 1 || i > 0 && p.Number <= s.Processes[i-1].Number {
			return State{}, fmt.Errorf("processes: number %d is out of order", p.Number)
		}
	}
	return s, nil
}

// encode returns the state in its JSON form.
func (s State) encode() ([]byte, error) { return json.MarshalIndent(s, "", " ") }

// addProcess removes the entries of dead processes, adds one for a new process, and returns its number. A number is not used
// again as long as the list has the process with that number or a later one.
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

// setReady records whether the process with this number accepts connections.
func (s *State) setReady(number int, isReady bool) {
	for i := range s.Processes {
		if s.Processes[i].Number == number {
			s.Processes[i].Ready = isReady
		}
	}
}

// View tells one process which other processes of its sidecar are alive, and whether a newer one has taken over from it.
type View struct {
	Superseded bool  // whether a live process accepts connections that is newer than the one that the View is for
	Others     []int // numbers of the other live processes, in ascending order
	IsReady    bool  // whether the State records that the process that the View is for accepts connections
}

// View returns the View of the process with this number. isAlive is called for the other processes only.
func (s State) View(number int, isAlive func(number int) bool) View {
	var v View
	for _, p := range s.Processes {
		if p.Number == number {
			v.IsReady = p.Ready
			continue
		}
		if isAlive(p.Number) {
			v.Others = append(v.Others, p.Number)
			v.Superseded = v.Superseded || p.Number > number && p.Ready
		}
	}
	return v
}
