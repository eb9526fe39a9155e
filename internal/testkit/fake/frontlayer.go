package fake

import (
	"slices"
	"sync"
)

// Target is a sidecar's name and the address on which it listens for clients.
type Target struct{ Sidecar, Addr string }

// FrontLayer is the load balancer between clients and sidecars. It distributes the clients' connections round-robin over the
// sidecars that were added. It is safe for concurrent use, and its zero value has no sidecar.
type FrontLayer struct {
	mu              sync.Mutex
	targets         []Target
	connectionCount int // number of calls of Connect that returned a target; it selects the next target
}

// Add adds a sidecar to those that receive connections. If the sidecar was added before, Add changes its address.
func (f *FrontLayer) Add(sidecar, addr string) {
	f.Remove(sidecar)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = append(f.targets, Target{sidecar, addr})
}

// Remove removes a sidecar. It does nothing if the sidecar was not added.
func (f *FrontLayer) Remove(sidecar string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, t := range f.targets {
		if t.Sidecar == sidecar {
			f.targets = slices.Delete(f.targets, i, i+1)
			return
		}
	}
}

// Connect returns the sidecar for the next connection. It reports false if there is no sidecar.
func (f *FrontLayer) Connect() (Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets) == 0 {
		return Target{}, false
	}
	f.connectionCount++
	return f.targets[f.connectionCount%len(f.targets)], true
}
