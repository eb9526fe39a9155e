package crowd

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// keepAliveInterval is the time between two empty lines of a watch on which nothing changes (the platform's protocol page).
const keepAliveInterval = 2 * time.Second

// agent is a discovery agent with a list that does not change.
type agent struct {
	addr      string
	list      string // endpoint list in the agent's JSON form
	server    *http.Server
	endOnce   sync.Once
	hasClosed chan struct{}
}

func startAgent(list string) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{addr: l.Addr().String(), list: list, hasClosed: make(chan struct{})}
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(l) }() // always fails, at the latest with the error of Close
	return a, nil
}

func (a *agent) close() {
	a.endOnce.Do(func() { close(a.hasClosed) })
	_ = a.server.Close() // nothing depends on the agent any more
}

// ServeHTTP implements http.Handler.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.WriteString(w, a.list+"\n") // an error means that the daemon has ended
	if r.URL.Query().Get("watch") == "" {
		return
	}
	flusher := http.NewResponseController(w)
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for flusher.Flush() == nil {
		select {
		case <-a.hasClosed:
			return
		case <-r.Context().Done():
			return
		case <-ticker.C:
			_, _ = io.WriteString(w, "\n")
		}
	}
}
