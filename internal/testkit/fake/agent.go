package fake

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Member describes a node in the endpoint list that sidecars receive. The platform's protocol fixes the JSON names of the fields.
type Member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // state of the node: StateReady, StateDraining or StateGone
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"` // time of the node's start in milliseconds since the Unix epoch; 0: not stated
}

// MemberList is a message from discovery. It holds all members, or only those that have changed.
type MemberList struct {
	Version int64    `json:"version"` // version of the list, which increases with each change of a member
	IsFull  bool     `json:"full"`    // whether the list holds all members; false: it holds only those that changed after an earlier version
	Servers []Member `json:"servers"`
}

// The values of Member.State in discovery's messages.
const (
	StateReady    = "Ready"
	StateDraining = "Terminating"
	StateGone     = "Gone"
)

// invariantStates maps the states of a Member to those of the invariant checker.
var invariantStates = map[string]invariant.State{StateReady: invariant.Ready, StateDraining: invariant.Draining,
	StateGone: invariant.Gone}

// assumedNotifiedAfter is the time from a change until the agent records that the sidecar was notified of it, even if the
// sidecar has not fetched the change. Otherwise a sidecar that does not poll its agent could send requests to a draining node
// without breaking the invariant that forbids it.
const assumedNotifiedAfter = 6 * time.Second

// maxChanges is the number of changes that an agent keeps for watches that resume. A watch that resumes from an older
// version gets the full list.
const maxChanges = 256

// Agent is a fake of the discovery agent that runs on the machine of a sidecar. It responds at once with its endpoint list, or
// with the changes of the list, and sends nothing while discovery is down. It is safe for concurrent use. Close ends its
// goroutines.
type Agent struct {
	Sidecar  string // name of the sidecar that the agent serves
	Addr     string // address that the agent listens on
	recorder *Recorder
	server   *http.Server

	mu              sync.Mutex
	version         int64             // version of the endpoint list after the latest change
	members         map[string]Member // members that are not gone, by ID
	memberOrder     []string          // IDs of the members in the order of a full list
	changes         []memberChange    // the latest changes, at most maxChanges, by ascending version
	notifiedList    MemberList        // full endpoint list at the time of the latest message to the sidecar
	notifiedVersion int64             // highest version of the endpoint list that was written to the sidecar
	changed         chan struct{}     // closed and replaced at each change of the endpoint list, and when discovery goes down or comes back
	isDiscoveryDown bool
	pendingChanges  []Member // changes announced while discovery was down, in order; applied on its recovery
}

// memberChange is a change of one member, which an agent keeps for watches that resume.
type memberChange struct {
	version int64  // version of the endpoint list after the change
	member  Member // the member after the change, in StateGone if it was removed
}

// NewAgent starts the discovery agent of a sidecar. list holds the members of the agent's endpoint list, which starts at version 1.
func NewAgent(sidecar string, list []Member, recorder *Recorder) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Sidecar: sidecar, Addr: listener.Addr().String(), recorder: recorder, version: 1,
		members: map[string]Member{}, changed: make(chan struct{})}
	for _, m := range list {
		a.setMember(m)
	}
	a.notifiedList = a.fullList()
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: messageTimeout}
	// The error is ignored: Serve returns when Close is called. If Serve failed earlier, the sidecar would get no responses,
	// which tests would notice.
	go func() { _ = a.server.Serve(listener) }()
	return a, nil
}

// Close stops the agent and ends all watches.
func (a *Agent) Close() error {
	err := a.server.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Update adds or replaces the member with the ID of m, or removes it if the state of m is StateGone. While discovery is down,
// the change remains pending.
func (a *Agent) Update(m Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isDiscoveryDown {
		a.pendingChanges = append(a.pendingChanges, m)
		return
	}
	a.applyChange(m)
}

// SetDiscoveryDown makes discovery fail or recover. On recovery the pending changes are applied.
func (a *Agent) SetDiscoveryDown(isDown bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isDiscoveryDown = isDown
	if !isDown {
		for _, m := range a.pendingChanges {
			a.applyChange(m)
		}
		a.pendingChanges = nil
	}
	a.wakeWatches()
}

// NotifiedList returns the full endpoint list as it was at the latest message to the sidecar.
func (a *Agent) NotifiedList() MemberList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.notifiedList
}

// applyChange applies the change of a member to the endpoint list, increases the list's version by 1 and wakes the watches.
// a.mu must be held.
func (a *Agent) applyChange(m Member) {
	a.version++
	a.setMember(m)
	a.changes = append(a.changes, memberChange{a.version, m})
	version := a.version
	time.AfterFunc(assumedNotifiedAfter, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.notifiedVersion < version {
			a.recorder.Add(NotificationEvent(a.Sidecar, m, a.recorder))
		}
	})
	if len(a.changes) > maxChanges {
		a.changes = a.changes[len(a.changes)-maxChanges:]
	}
	a.wakeWatches()
}

// setMember adds or replaces a member, or removes it if its state is StateGone. a.mu must be held unless the agent is not in
// use yet.
func (a *Agent) setMember(m Member) {
	if _, ok := a.members[m.ID]; !ok {
		a.memberOrder = append(a.memberOrder, m.ID)
	}
	if m.State == StateGone {
		delete(a.members, m.ID)
		if i := slices.Index(a.memberOrder, m.ID); i >= 0 {
			a.memberOrder = slices.Delete(a.memberOrder, i, i+1)
		}
		return
	}
	a.members[m.ID] = m
}

// wakeWatches makes all watches check for changes. a.mu must be held.
func (a *Agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// fullList returns the list of all members. a.mu must be held.
func (a *Agent) fullList() MemberList {
	list := MemberList{Version: a.version, IsFull: true, Servers: []Member{}}
	for _, id := range a.memberOrder {
		list.Servers = append(list.Servers, a.members[id])
	}
	return list
}

// changesSince returns the changes after a version of the endpoint list. It returns the full list if the agent does not keep
// all of these changes any more, or if the version is unknown. a.mu must be held.
func (a *Agent) changesSince(version int64) MemberList {
	oldest := a.version + 1 // version of the oldest change in a.changes; if a.changes is empty, the version of the next change
	if len(a.changes) > 0 {
		oldest = a.changes[0].version
	}
	if version > a.version || version < oldest-1 {
		return a.fullList()
	}
	list := MemberList{Version: a.version, Servers: []Member{}}
	for _, c := range a.changes {
		if c.version > version {
			list.Servers = append(list.Servers, c.member)
		}
	}
	return list
}

// NotificationEvent returns an event that records that a sidecar is notified of a member's state. The event's instant, At, is
// not set.
func NotificationEvent(sidecar string, m Member, recorder *Recorder) invariant.Event {
	e := invariant.Event{Kind: invariant.NodeStateNotified, Sidecar: sidecar, Node: m.ID, State: invariantStates[m.State]}
	if m.StartedMs > 0 {
		e.StartedAt = time.UnixMilli(m.StartedMs).Sub(recorder.start.Round(0)) // Round(0) makes Sub compare wall clocks
	}
	return e
}
