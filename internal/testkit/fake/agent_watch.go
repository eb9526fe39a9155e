package fake

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// heartbeatInterval is the time without changes after which an agent writes an empty line to a watch.
const heartbeatInterval = 2 * time.Second

// ServeHTTP implements http.Handler. It responds with the full list. If the query has the parameter watch, it responds with
// a stream of the changes after the version in the parameter after.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		if list, ok := a.awaitList(r, func() (MemberList, bool) { return a.fullList(), true }); ok {
			a.writeList(w, list)
		}
		return
	}
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "the query parameter \"after\" is not a version number", http.StatusBadRequest)
		return
	}
	a.serveWatch(w, r, after)
}

// serveWatch writes the changes of the endpoint list since a version of the list as they come, and heartbeats while there are
// none, until the client closes the connection. It writes the first message at once, even if nothing has changed.
func (a *Agent) serveWatch(w http.ResponseWriter, r *http.Request, after int64) {
	for isFirst := true; ; isFirst = false {
		list, ok := a.awaitList(r, func() (MemberList, bool) {
			list := a.changesSince(after)
			return list, isFirst || list.IsFull || len(list.Servers) > 0
		})
		switch {
		case ok:
			after = list.Version
			if !a.writeList(w, list) {
				return
			}
		case r.Context().Err() != nil:
			return
		default:
			if _, err := w.Write([]byte("\n")); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush() // the error is ignored, since the next write fails as well
		}
	}
}

// awaitList waits until discovery is up and poll returns a list, and returns that list. It reports false when a heartbeat is
// due or the request has ended. poll is called with a.mu held.
func (a *Agent) awaitList(r *http.Request, poll func() (MemberList, bool)) (MemberList, bool) {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		a.mu.Lock()
		changed, isDown := a.changed, a.isDiscoveryDown
		if !isDown {
			if list, ok := poll(); ok {
				a.mu.Unlock()
				return list, true
			}
		}
		a.mu.Unlock()
		tick := heartbeat.C
		if isDown {
			tick = nil // no heartbeat is sent while discovery is down
		}
		select {
		case <-r.Context().Done():
			return MemberList{}, false
		case <-changed:
		case <-tick:
			return MemberList{}, false
		}
	}
}

// writeList writes a list and records which states of members it notified the sidecar of. It reports whether the write
// succeeded.
func (a *Agent) writeList(w http.ResponseWriter, list MemberList) bool {
	encoded, err := json.Marshal(list)
	if err != nil {
		return false
	}
	if _, err := w.Write(append(encoded, '\n')); err != nil {
		return false
	}
	if err := http.NewResponseController(w).Flush(); err != nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	gone := a.recordWritten(list)
	for _, m := range append(gone, list.Servers...) {
		a.recorder.Add(NotificationEvent(a.Sidecar, m, a.recorder))
	}
	return true
}

// recordWritten records that a list was written to the sidecar. If the list is full, recordWritten returns the members of the
// sidecar's previous list that the new list lacks, with their state set to StateGone. a.mu must be held.
func (a *Agent) recordWritten(list MemberList) (gone []Member) {
	previous := a.notifiedList
	a.notifiedVersion = max(a.notifiedVersion, list.Version)
	if list.Version >= previous.Version {
		a.notifiedList = a.fullList()
	}
	if !list.IsFull {
		return nil
	}
	isListed := map[string]bool{}
	for _, m := range list.Servers {
		isListed[m.ID] = true
	}
	for _, m := range previous.Servers {
		if !isListed[m.ID] {
			m.State = StateGone
			gone = append(gone, m)
		}
	}
	return gone
}
