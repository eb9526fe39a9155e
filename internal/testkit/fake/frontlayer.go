package fake

import (
	"slices"
	"sync"
)

// Target is a sidecar and the address at which it listens.
type Target struct{ Sidecar, Addr string }

// FrontLayer spreads the connections of clients in turn over the sidecars that it considers alive. It is safe for
// concurrent use, and its zero value has no sidecar.
type FrontLayer struct {
	mu      sync.Mutex
	targets []Target
	next    int
}

// Add adds a sidecar, or changes its address.
func (f *FrontLayer) Add(sidecar, addr string) {
	f.Remove(sidecar)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = append(f.targets, Target{sidecar, addr})
}

// Remove removes a sidecar, if it is there.
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

// Connect returns the target of the next connection. It is false where there is no sidecar.
func (f *FrontLayer) Connect() (Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets) == 0 {
		return Target{}, false
	}
	f.next++
	return f.targets[f.next%len(f.targets)], true
}
