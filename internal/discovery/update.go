package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"tuliprock/balance"
)

// Member is an endpoint as a discovery source lists it.
type Member struct {
	ID        string        `json:"id"`
	Addr      string        `json:"addr"` // host:port; may be empty if State is Gone
	Zone      string        `json:"zone"`
	Kind      string        `json:"kind"`       // name of the member's kind; endpoints of the same kind have the same size and speed
	Cell      int           `json:"cell"`       // number of the member's cell; endpoints of the same cell share the idempotency keys that they have seen
	StateName string        `json:"state"`      // name of the state in the agent's messages, a key of stateByWireName; empty in updates of a PollingSource
	StartedMs int64         `json:"started_ms"` // when the member started, as Unix time in ms; 0 if unknown; a PollingSource sets it to when the member became active or changed its address, or to 0 if that was with the first list
	State     balance.State `json:"-"`          // state that StateName stands for
}

// ListUpdate is a message from a discovery source: the complete endpoint list, or only the members that have changed.
type ListUpdate struct {
	Version *int64   `json:"version"` // version of the list after this update; nil in updates of a PollingSource
	Full    bool     `json:"full"`    // the update is the complete list, so members that are missing from it are gone
	Members []Member `json:"servers"`
}

// stateByWireName maps the state names that the agent sends. Terminating on the wire is Draining in the code.
var stateByWireName = map[string]balance.State{"Ready": balance.Ready, "Terminating": balance.Draining, "Gone": balance.Gone}

// errMalformedMessage is wrapped by the errors of AgentClient about messages that it rejects.
var errMalformedMessage = errors.New("malformed message")

// ParseListUpdate decodes and checks a message from the agent. A single invalid entry rejects the whole message; the error names the
// field.
func ParseListUpdate(text []byte) (ListUpdate, error) {
	var update ListUpdate
	if err := json.Unmarshal(text, &update); err != nil {
		return ListUpdate{}, err
	}
	if update.Version == nil {
		return ListUpdate{}, errors.New("version: missing")
	}
	if update.Members == nil { // a missing field must not be taken for an empty list
		return ListUpdate{}, errors.New("servers: missing")
	}
	for i := range update.Members {
		if err := update.Members[i].decodeStateAndCheck(); err != nil {
			return ListUpdate{}, err
		}
	}
	return update, nil
}

// decodeStateAndCheck sets State from StateName and checks the fields that every member must have.
func (m *Member) decodeStateAndCheck() error {
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
