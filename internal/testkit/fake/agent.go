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

// Member is an entry of the endpoint list as it goes to sidecars. Its tags are the platform's protocol.
type Member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"` // since the Unix epoch; 0: not stated
}

// MemberList is a message of discovery: all members, or those that have changed.
type MemberList struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// The states of a Member on the wire.
const (
	StateReady    = "Ready"
	StateDraining = "Terminating"
	StateGone     = "Gone"
)

var invariantStates = map[string]invariant.State{StateReady: invariant.Ready, StateDraining: invariant.Draining,
	StateGone: invariant.Gone}

// assumedNotifiedAfter is when a change that the agent has counts as notified, whether or not its sidecar has fetched it: a
// sidecar that does not listen must not pass for one that cannot know.
const assumedNotifiedAfter = 6 * time.Second

// maxChanges is how many changes an agent can replay to a watch that resumes; one further back gets the full list.
const maxChanges = 256

// Agent is the discovery agent on a sidecar's own machine. It answers at once from the changes that it has, and sends
// nothing while discovery is down. It is safe for concurrent use; its HTTP server's goroutines end with Close.
type Agent struct {
	Sidecar  string
	Addr     string
	recorder *Recorder
	server   *http.Server

	mu              sync.Mutex
	version         int64
	members         map[string]Member
	memberOrder     []string // of the members in a list
	changes         []memberChange
	notifiedList    MemberList    // as the sidecar has it
	notifiedVersion int64         // the latest version written to the sidecar
	changed         chan struct{} // closed at each change, and when discovery goes down or comes back
	isDiscoveryDown bool
	pendingChanges  []Member // changes that came while discovery was down
}

type memberChange struct {
	version int64
	member  Member
}

// NewAgent starts an agent with a list of members.
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
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: headTimeout}
	// Serve ends by Close. If it ended before, the sidecar would get no response and show that.
	go func() { _ = a.server.Serve(listener) }()
	return a, nil
}

// Close ends the agent and all watches.
func (a *Agent) Close() error {
	err := a.server.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Update brings a change to the agent; while discovery is down it is pending.
func (a *Agent) Update(m Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isDiscoveryDown {
		a.pendingChanges = append(a.pendingChanges, m)
		return
	}
	a.applyChange(m)
}

// SetDiscoveryDown makes discovery go down, or come back with all that has changed meanwhile.
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

// NotifiedList is the list that the sidecar was last notified of.
func (a *Agent) NotifiedList() MemberList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.notifiedList
}

// applyChange makes a change the next version. a.mu is held.
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

// setMember sets a member, or removes it if it is gone. a.mu is held, or the agent is not in use yet.
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

// wakeWatches makes all watches look for changes. a.mu is held.
func (a *Agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// fullList is the list of all members. a.mu is held.
func (a *Agent) fullList() MemberList {
	list := MemberList{Version: a.version, Full: true, Servers: []Member{}}
	for _, id := range a.memberOrder {
		list.Servers = append(list.Servers, a.members[id])
	}
	return list
}

// changesSince is what has changed after a version, or the full list where the agent cannot tell. a.mu is held.
func (a *Agent) changesSince(version int64) MemberList {
	oldest := a.version + 1 // of the changes that the agent has
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

// NotificationEvent is the event that a sidecar has been notified of a member, without an instant.
func NotificationEvent(sidecar string, m Member, recorder *Recorder) invariant.Event {
	e := invariant.Event{Kind: invariant.NodeStateNotified, Sidecar: sidecar, Node: m.ID, State: invariantStates[m.State]}
	if m.StartedMs > 0 {
		e.StartedAt = time.UnixMilli(m.StartedMs).Sub(recorder.start.Round(0)) // both by the wall clock
	}
	return e
}
