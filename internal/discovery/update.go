package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"tuliprock/balance"
)

// Member is an endpoint as discovery lists it.
type Member struct {
	ID        string        `json:"id"`
	Addr      string        `json:"addr"` // host:port; may be empty where State is Gone
	Zone      string        `json:"zone"`
	Kind      string        `json:"kind"`
	Cell      int           `json:"cell"`
	StateName string        `json:"state"`      // as the agent sends it; empty in updates of a PollingSource
	StartedMs int64         `json:"started_ms"` // Unix time in milliseconds; 0: unknown, or there from the beginning
	State     balance.State `json:"-"`          // what StateName says
}

// ListUpdate is a message from discovery: the complete endpoint list, or the members that have changed.
type ListUpdate struct {
	Version *int64   `json:"version"` // of the list after this update; nil in updates of a PollingSource
	Full    bool     `json:"full"`    // the update is the complete list: a member that it lacks is gone
	Members []Member `json:"servers"`
}

// stateByWireName has the states that the agent sends. Terminating on the wire is Draining in the code.
var stateByWireName = map[string]balance.State{"Ready": balance.Ready, "Terminating": balance.Draining, "Gone": balance.Gone}

// errMalformed is wrapped by the errors of messages that were rejected.
var errMalformed = errors.New("malformed message")

// ParseListUpdate decodes and checks a message from discovery. One bad entry rejects the message: the error names the field.
func ParseListUpdate(text []byte) (ListUpdate, error) {
	var update ListUpdate
	if err := json.Unmarshal(text, &update); err != nil {
		return ListUpdate{}, err
	}
	if update.Version == nil {
		return ListUpdate{}, errors.New("version: missing")
	}
	if update.Members == nil { // must not pass for a list that has become empty
		return ListUpdate{}, errors.New("servers: missing")
	}
	for i := range update.Members {
		if err := update.Members[i].decodeState(); err != nil {
			return ListUpdate{}, err
		}
	}
	return update, nil
}

// decodeState sets State from StateName and checks the fields that every member must have.
func (m *Member) decodeState() error {
	state, ok := stateByWireName[m.StateName]
	if !ok {
		return fmt.Errorf("state: %q of %q is unknown", m.StateName, m.ID)
	}
	m.State = state
	if m.ID == "" {
		return errors.New("id: missing")
	}
	if state == balance.Gone {
		return nil
	}
	return CheckAddress("addr", m.Addr)
}
