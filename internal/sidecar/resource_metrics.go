package sidecar

import (
	"sync"

	"tuliprock/internal/frontend"
	"tuliprock/internal/memusage"
	"tuliprock/internal/metrics"
)

// resourceGauges returns the metrics of what the process holds: memory, connections and bodies.
func (s *Sidecar) resourceGauges() []metrics.Sample {
	usage := memusage.Read()
	gauges := []metrics.Sample{
		{Name: "memory_resident", Value: usage.Resident},
		{Name: "memory_shared", Value: usage.Shared},
		{Name: "memory_runtime", Value: usage.Runtime},
		{Name: "memory_heap_live", Value: usage.LiveHeap},
		{Name: "memory_stacks", Value: usage.Stacks},
		{Name: "goroutines", Value: usage.Goroutines},
	}
	if s.bodyMemory != nil {
		granted, waiting := s.bodyMemory.InUse()
		gauges = append(gauges, metrics.Sample{Name: "memory_bodies", Value: int64(granted)}, metrics.Sample{Name: "bodies_waiting", Value: int64(waiting)})
	}
	clients, endpointConnections := s.resources.countConnections()
	return append(gauges,
		metrics.Sample{Name: "client_connections", Value: int64(clients.Open)},
		metrics.Sample{Name: "client_connections_silent", Value: int64(clients.Silent)},
		metrics.Sample{Name: "client_connections_idle", Value: int64(clients.Idle)},
		metrics.Sample{Name: "client_connections_head", Value: int64(clients.Head)},
		metrics.Sample{Name: "client_connections_body", Value: int64(clients.Body)},
		metrics.Sample{Name: "client_connections_evicted", Value: int64(clients.Evicted), IsCounter: true},
		metrics.Sample{Name: "endpoint_connections", Value: int64(endpointConnections)},
	)
}

// resources are the listeners and pools whose connections are counted, those included that a reload has removed and that have not ended.
// It has a mutex of its own, so that metrics can be read while a reload holds that of the Sidecar.
type resources struct {
	mu        sync.Mutex
	listeners map[*listener]bool
	pools     map[*pool]bool

	isShedding bool // all listeners reject new requests
}

func newResources() *resources {
	return &resources{listeners: map[*listener]bool{}, pools: map[*pool]bool{}}
}

func (r *resources) addListener(l *listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners[l] = true
	l.frontend.SetShedding(r.isShedding)
}

func (r *resources) removeListener(l *listener) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.listeners, l)
}

func (r *resources) addPool(p *pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pools[p] = true
}

func (r *resources) removePool(p *pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pools, p)
}

// setShedding makes all listeners reject new requests, and close connections without a request, or ends that.
func (r *resources) setShedding(isShedding bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isShedding = isShedding
	for l := range r.listeners {
		l.frontend.SetShedding(isShedding)
		if isShedding {
			l.frontendListener.EvictWithoutRequest()
		}
	}
}

// countConnections returns the connections of clients, by state, and the number of those to endpoints.
func (r *resources) countConnections() (clients frontend.ConnectionCounts, endpointConnections int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.listeners {
		clients = clients.Add(l.frontendListener.Counts())
	}
	for p := range r.pools {
		_, connections := p.upstream.ResourceCounts()
		endpointConnections += connections
	}
	return clients, endpointConnections
}
