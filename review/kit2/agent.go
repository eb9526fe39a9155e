package kit2

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an endpoint in discovery's form.
type member struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// memberList is a message of discovery.
type memberList struct {
	Version int64    `json:"version"`
	Full    bool     `json:"full"`
	Servers []member `json:"servers"`
}

// agent is a stand-in for discovery, as the protocol page has it: the whole list on request, and a watch with the changes after a
// version, with an empty line every 2 s while nothing changes. It answers every call at once unless it is down.
type agent struct {
	env  *env
	name string
	addr string

	mu      sync.Mutex
	version int64
	order   []string
	members map[string]member
	changed map[string]int64 // version of the latest change of each member
	wake    chan struct{}
	isDown  bool
	watches map[*watch]bool
	calls   int                // calls while down
	onFail  func(calls int)    // called after each call that failed
	told    map[string]written // when a state of a member was written to a sidecar
}

// written is when a member's state was last written to a watch or in a list.
type written struct {
	state string
	at    time.Duration
}

// watch is an open watch.
type watch struct {
	isSilent   bool // nothing more is sent, and the connection stays open
	lastSentAt time.Duration
}

func (e *env) startAgent(name string, version int64, members []member) *agent {
	l := e.listen()
	a := &agent{env: e, name: name, addr: l.Addr().String(), version: version, members: map[string]member{}, changed: map[string]int64{},
		wake: make(chan struct{}), watches: map[*watch]bool{}, told: map[string]written{}}
	for _, m := range members {
		a.order = append(a.order, m.ID)
		a.members[m.ID], a.changed[m.ID] = m, version
	}
	go func() { _ = http.Serve(l, a) }()
	return a
}

// list returns the whole list. a.mu is held.
func (a *agent) list() memberList {
	list := memberList{Version: a.version, Full: true, Servers: []member{}}
	for _, id := range a.order {
		if m := a.members[id]; m.State != "Gone" {
			list.Servers = append(list.Servers, m)
		}
	}
	return list
}

func (a *agent) known() memberList {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list()
}

// set changes the state of a member.
func (a *agent) set(id, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.version++
	m := a.members[id]
	m.State = state
	a.members[id], a.changed[id] = m, a.version
	a.env.note("%s: %s becomes %s, version %d", a.name, id, state, a.version)
	close(a.wake)
	a.wake = make(chan struct{})
}

// setDown makes discovery fail: watches end, and calls get 503. Or it brings it back.
func (a *agent) setDown(isDown bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.isDown = isDown
	a.env.note("%s: down=%v", a.name, isDown)
	close(a.wake)
	a.wake = make(chan struct{})
}

// silence makes all open watches silent: they stay open, and nothing more comes. Watches that are opened later are not affected.
func (a *agent) silence() (lastSentAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.watches {
		w.isSilent = true
		lastSentAt = max(lastSentAt, w.lastSentAt)
	}
	a.env.note("%s: %d open watches fall silent, the last bytes were sent at %.3f", a.name, len(a.watches), lastSentAt.Seconds())
	return lastSentAt
}

// openWatches returns how many watches are open and not silent, and when bytes were last sent on one.
func (a *agent) openWatches() (count int, lastSentAt time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.watches {
		if !w.isSilent {
			count++
			lastSentAt = max(lastSentAt, w.lastSentAt)
		}
	}
	return count, lastSentAt
}

// toldAt returns when the present state of a member was first written to a sidecar.
func (a *agent) toldAt(id, state string) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, ok := a.told[id]
	return t.at, ok && t.state == state
}

// wrote records what was written. a.mu is held.
func (a *agent) wrote(list memberList) {
	for _, m := range list.Servers {
		if a.told[m.ID].state != m.State {
			a.told[m.ID] = written{m.State, a.env.now()}
		}
	}
}

func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	a.mu.Lock()
	if a.isDown {
		a.calls++
		calls, onFail := a.calls, a.onFail
		a.mu.Unlock()
		a.env.note("%s: call %q fails with 503, as discovery is down", a.name, r.URL.RawQuery)
		http.Error(w, "discovery is down", http.StatusServiceUnavailable)
		if onFail != nil {
			onFail(calls)
		}
		return
	}
	if r.URL.Query().Get("watch") == "" {
		list := a.list()
		a.wrote(list)
		a.mu.Unlock()
		a.env.note("%s: whole list, version %d", a.name, list.Version)
		_ = json.NewEncoder(w).Encode(list)
		return
	}
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	this := &watch{lastSentAt: a.env.now()}
	a.watches[this] = true
	a.mu.Unlock()
	a.env.note("%s: watch opened after version %d", a.name, after)
	defer func() {
		a.mu.Lock()
		delete(a.watches, this)
		a.mu.Unlock()
		a.env.note("%s: watch ended", a.name)
	}()
	a.serveWatch(w, r, this, after)
}

func (a *agent) serveWatch(w http.ResponseWriter, r *http.Request, this *watch, after int64) {
	controller := http.NewResponseController(w)
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	for {
		a.mu.Lock()
		wake, isDown, isSilent := a.wake, a.isDown, this.isSilent
		list := memberList{Version: a.version, Servers: []member{}}
		for _, id := range a.order {
			if a.changed[id] > after {
				list.Servers = append(list.Servers, a.members[id])
			}
		}
		if !isSilent && !isDown && len(list.Servers) > 0 {
			a.wrote(list)
		}
		a.mu.Unlock()
		if isDown && !isSilent {
			return
		}
		if !isSilent && len(list.Servers) > 0 {
			text, _ := json.Marshal(list)
			if _, err := w.Write(append(text, '\n')); err != nil || controller.Flush() != nil {
				return
			}
			a.sent(this)
			a.env.note("%s: watch tells %s", a.name, text)
			after = list.Version
			continue
		}
		select {
		case <-r.Context().Done():
			return
		case <-wake:
		case <-time.After(2 * time.Second):
			a.mu.Lock()
			isSilent = this.isSilent
			a.mu.Unlock()
			if isSilent {
				continue
			}
			if _, err := w.Write([]byte("\n")); err != nil || controller.Flush() != nil {
				return
			}
			a.sent(this)
		}
	}
}

func (a *agent) sent(this *watch) {
	a.mu.Lock()
	defer a.mu.Unlock()
	this.lastSentAt = a.env.now()
}
