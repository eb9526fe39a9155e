package fake

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// Member is an entry of the list as it goes to sidecars.
type Member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// MemberList is a message of discovery's: all members, or those that have changed.
type MemberList struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []Member `json:"servers"`
}

// The states of a Member.
const (
	StateReady    = "Ready"
	StateDraining = "Terminating"
	StateGone     = "Gone"
)

var invariantStates = map[string]invariant.State{StateReady: invariant.Ready, StateDraining: invariant.Draining, StateGone: invariant.Gone}

// heartbeatInterval is how often an empty line comes on a watch.
const heartbeatInterval = 2 * time.Second

// notifiedAfter is when a change that the agent has counts as told, whether or not its sidecar has fetched it: one that does
// not listen must not pass for one that can't know.
const notifiedAfter = 6 * time.Second

// maxChanges is how many changes an agent can repeat for a watch that resumes; one further back gets the whole list.
const maxChanges = 256

// Agent is discovery's end on a sidecar's own machine: it answers at once with what it has been sent, and is silent
// while discovery is down.
type Agent struct {
	Sidecar  string
	Addr     string
	recorder *Recorder
	server   *http.Server

	mu              sync.Mutex
	version         int64
	members         map[string]Member
	order           []string
	changes         []change
	notified        MemberList    // as the sidecar has it
	notifiedVersion int64         // the latest version written to it
	changed         chan struct{} // closed at each change, and when discovery goes down or comes back
	isDown          bool
	pending         []Member // changes that came while discovery was down
}

type change struct {
	version int64
	member  Member
}

// NewAgent starts an agent with a list.
func NewAgent(sidecar string, list []Member, rec *Recorder) (*Agent, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &Agent{Sidecar: sidecar, Addr: listener.Addr().String(), recorder: rec, version: 1,
		members: map[string]Member{}, changed: make(chan struct{})}
	for _, m := range list {
		a.setMember(m)
	}
	a.notified = a.fullList()
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: headTimeout}
	go func() { _ = a.server.Serve(listener) }() // it ends by Close; before that, a sidecar that gets no answer shows it
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

// Update brings a change to the agent; while discovery is down it waits there.
func (a *Agent) Update(m Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isDown {
		a.pending = append(a.pending, m)
		return
	}
	a.applyChange(m)
}

// SetDown makes discovery go down, or come back with all that has changed meanwhile.
func (a *Agent) SetDown(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isDown = down
	if !down {
		for _, m := range a.pending {
			a.applyChange(m)
		}
		a.pending = nil
	}
	a.wakeWatches()
}

// NotifiedList is the list as its sidecar was last told.
func (a *Agent) NotifiedList() MemberList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.notified
}

// applyChange takes a change up. a.mu is held.
func (a *Agent) applyChange(m Member) {
	a.version++
	a.setMember(m)
	a.changes = append(a.changes, change{a.version, m})
	version := a.version
	time.AfterFunc(notifiedAfter, func() {
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

func (a *Agent) setMember(m Member) {
	if _, ok := a.members[m.ID]; !ok {
		a.order = append(a.order, m.ID)
	}
	if m.State == StateGone {
		delete(a.members, m.ID)
		for i, id := range a.order {
			if id == m.ID {
				a.order = append(a.order[:i:i], a.order[i+1:]...)
				break
			}
		}
		return
	}
	a.members[m.ID] = m
}

func (a *Agent) wakeWatches() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// fullList is the whole list. a.mu is held.
func (a *Agent) fullList() MemberList {
	l := MemberList{Version: a.version, Full: true, Servers: []Member{}}
	for _, id := range a.order {
		l.Servers = append(l.Servers, a.members[id])
	}
	return l
}

// changesSince is what has changed after a version, or the whole list. a.mu is held.
func (a *Agent) changesSince(version int64) MemberList {
	if version > a.version || len(a.changes) > 0 && version < a.changes[0].version-1 || len(a.changes) == 0 && version < a.version {
		return a.fullList()
	}
	l := MemberList{Version: a.version, Servers: []Member{}}
	for _, c := range a.changes {
		if c.version > version {
			l.Servers = append(l.Servers, c.member)
		}
	}
	return l
}

// ServeHTTP implements http.Handler.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		if l, ok := a.awaitList(r, func() (MemberList, bool) { return a.fullList(), true }); ok {
			a.writeList(w, l)
		}
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: no version", http.StatusBadRequest)
		return
	}
	for first := true; ; first = false {
		l, ok := a.awaitList(r, func() (MemberList, bool) {
			l := a.changesSince(after)
			return l, first || l.Full || len(l.Servers) > 0
		})
		switch {
		case ok:
			after = l.Version
			if !a.writeList(w, l) {
				return
			}
		case r.Context().Err() != nil:
			return
		default:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	}
}

// awaitList waits until discovery is up and there is something to say. It is false after a heartbeat's time, or when the
// watch has ended.
func (a *Agent) awaitList(r *http.Request, look func() (MemberList, bool)) (MemberList, bool) {
	beat := time.NewTimer(heartbeatInterval)
	defer beat.Stop()
	for {
		a.mu.Lock()
		news, down := a.changed, a.isDown
		if !down {
			if l, ok := look(); ok {
				a.mu.Unlock()
				return l, true
			}
		}
		a.mu.Unlock()
		tick := beat.C
		if down {
			tick = nil // silent
		}
		select {
		case <-r.Context().Done():
			return MemberList{}, false
		case <-news:
		case <-tick:
			return MemberList{}, false
		}
	}
}

// writeList sends a message, and notes what the sidecar was told by it.
func (a *Agent) writeList(w http.ResponseWriter, l MemberList) bool {
	text, err := json.Marshal(l)
	if err != nil {
		return false
	}
	if _, err := w.Write(append(text, '\n')); err != nil {
		return false
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	gone := a.recordWritten(l)
	for _, m := range append(gone, l.Servers...) {
		a.recorder.Add(NotificationEvent(a.Sidecar, m, a.recorder))
	}
	return true
}

// recordWritten keeps what the sidecar has now, and says who is gone by a whole list that no longer names them. a.mu is held.
func (a *Agent) recordWritten(l MemberList) (gone []Member) {
	old := a.notified
	a.notifiedVersion = max(a.notifiedVersion, l.Version)
	if l.Version >= old.Version {
		a.notified = a.fullList()
	}
	if !l.Full {
		return nil
	}
	listed := map[string]bool{}
	for _, m := range l.Servers {
		listed[m.ID] = true
	}
	for _, m := range old.Servers {
		if !listed[m.ID] {
			m.State = StateGone
			gone = append(gone, m)
		}
	}
	return gone
}

// NotificationEvent is the event that a sidecar has been told of a member.
func NotificationEvent(sidecar string, m Member, rec *Recorder) invariant.Event {
	e := invariant.Event{Kind: invariant.Told, Sidecar: sidecar, Node: m.ID, State: invariantStates[m.State]}
	if m.StartedMs > 0 {
		e.Since = time.UnixMilli(m.StartedMs).Sub(rec.start.Round(0)) // wall against wall
	}
	return e
}
