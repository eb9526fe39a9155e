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

// List is a message of discovery's: all members, or those that have changed.
type List struct {
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

var stateOf = map[string]invariant.State{StateReady: invariant.Ready, StateDraining: invariant.Draining, StateGone: invariant.Gone}

// heartbeat is how often an empty line comes on a watch.
const heartbeat = 2 * time.Second

// toldAfter is when a change that the agent has counts as told, whether or not its sidecar has fetched it: one that does
// not listen must not pass for one that can't know.
const toldAfter = 6 * time.Second

// keptChanges is how many changes an agent can repeat for a watch that resumes; one further back gets the whole list.
const keptChanges = 256

// Agent is discovery's end on a sidecar's own machine: it answers at once with what it has been sent, and is silent
// while discovery is down.
type Agent struct {
	Sidecar string
	Addr    string
	rec     *Recorder
	server  *http.Server

	mu      sync.Mutex
	version int64
	members map[string]Member
	order   []string
	changes []change
	told    List          // as the sidecar has it
	heard   int64         // the latest version written to it
	news    chan struct{} // closed at each change, and when discovery goes down or comes back
	down    bool
	waiting []Member // changes that came while discovery was down
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
	a := &Agent{Sidecar: sidecar, Addr: listener.Addr().String(), rec: rec, version: 1,
		members: map[string]Member{}, news: make(chan struct{})}
	for _, m := range list {
		a.set(m)
	}
	a.told = a.list()
	a.server = &http.Server{Handler: a, ReadHeaderTimeout: headWait}
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

// Send brings a change to the agent; while discovery is down it waits there.
func (a *Agent) Send(m Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down {
		a.waiting = append(a.waiting, m)
		return
	}
	a.apply(m)
}

// Down makes discovery go down, or come back with all that has changed meanwhile.
func (a *Agent) Down(down bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.down = down
	if !down {
		for _, m := range a.waiting {
			a.apply(m)
		}
		a.waiting = nil
	}
	a.wake()
}

// Known is the list as its sidecar was last told.
func (a *Agent) Known() List {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.told
}

// apply takes a change up. a.mu is held.
func (a *Agent) apply(m Member) {
	a.version++
	a.set(m)
	a.changes = append(a.changes, change{a.version, m})
	version := a.version
	time.AfterFunc(toldAfter, func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.heard < version {
			a.rec.Add(Told(a.Sidecar, m, a.rec))
		}
	})
	if len(a.changes) > keptChanges {
		a.changes = a.changes[len(a.changes)-keptChanges:]
	}
	a.wake()
}

func (a *Agent) set(m Member) {
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

func (a *Agent) wake() {
	close(a.news)
	a.news = make(chan struct{})
}

// list is the whole list. a.mu is held.
func (a *Agent) list() List {
	l := List{Version: a.version, Full: true, Servers: []Member{}}
	for _, id := range a.order {
		l.Servers = append(l.Servers, a.members[id])
	}
	return l
}

// since is what has changed after a version, or the whole list. a.mu is held.
func (a *Agent) since(version int64) List {
	if version > a.version || len(a.changes) > 0 && version < a.changes[0].version-1 || len(a.changes) == 0 && version < a.version {
		return a.list()
	}
	l := List{Version: a.version, Servers: []Member{}}
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
		if l, ok := a.await(r, func() (List, bool) { return a.list(), true }); ok {
			a.write(w, l)
		}
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: no version", http.StatusBadRequest)
		return
	}
	for first := true; ; first = false {
		l, ok := a.await(r, func() (List, bool) {
			l := a.since(after)
			return l, first || l.Full || len(l.Servers) > 0
		})
		switch {
		case ok:
			after = l.Version
			if !a.write(w, l) {
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

// await waits until discovery is up and there is something to say. It is false after a heartbeat's time, or when the
// watch has ended.
func (a *Agent) await(r *http.Request, look func() (List, bool)) (List, bool) {
	beat := time.NewTimer(heartbeat)
	defer beat.Stop()
	for {
		a.mu.Lock()
		news, down := a.news, a.down
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
			return List{}, false
		case <-news:
		case <-tick:
			return List{}, false
		}
	}
}

// write sends a message, and notes what the sidecar was told by it.
func (a *Agent) write(w http.ResponseWriter, l List) bool {
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
	gone := a.note(l)
	for _, m := range append(gone, l.Servers...) {
		a.rec.Add(Told(a.Sidecar, m, a.rec))
	}
	return true
}

// note keeps what the sidecar has now, and says who is gone by a whole list that no longer names them. a.mu is held.
func (a *Agent) note(l List) (gone []Member) {
	old := a.told
	a.heard = max(a.heard, l.Version)
	if l.Version >= old.Version {
		a.told = a.list()
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

// Told is the event that a sidecar has been told of a member.
func Told(sidecar string, m Member, rec *Recorder) invariant.Event {
	e := invariant.Event{Kind: invariant.Told, Sidecar: sidecar, Node: m.ID, State: stateOf[m.State]}
	if m.StartedMs > 0 {
		e.Since = time.UnixMilli(m.StartedMs).Sub(rec.start.Round(0)) // wall against wall
	}
	return e
}
