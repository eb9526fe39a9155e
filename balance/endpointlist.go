package balance

import "slices"

// mergeList applies an update to the listed endpoints and returns those that are new or have restarted.
func (b *Balancer) mergeList(l EndpointUpdate) []*endpoint {
	var startedEndpoints []*endpoint
	if l.Complete {
		for _, ep := range b.endpoints {
			ep.State = Gone
		}
	}
	for _, entry := range l.Endpoints {
		ep := b.endpointByID[entry.ID]
		if ep == nil {
			ep = &endpoint{manuallyEjected: b.manuallyEjected[entry.ID]}
			b.endpointByID[entry.ID], b.endpoints = ep, append(b.endpoints, ep)
		}
		entry.StartedAt = max(entry.StartedAt, ep.restoredAt) // a manual restoration counts as a start
		if ep.kind == nil || entry.StartedAt > ep.StartedAt {
			startedEndpoints = append(startedEndpoints, ep)
		}
		ep.Endpoint, ep.brokenAt = entry, 0
		if ep.kind = b.kinds[entry.Kind]; ep.kind == nil {
			ep.kind = &kind{weight: 1}
			b.kinds[entry.Kind] = ep.kind
		}
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(ep *endpoint) bool {
		if ep.State == Gone {
			delete(b.endpointByID, ep.ID)
		}
		return ep.State == Gone
	})
	b.countAvailable()
	return startedEndpoints
}

// countAvailable sets availableCount to the number of listed endpoints that may get new attempts.
func (b *Balancer) countAvailable() {
	b.availableCount = 0
	for _, ep := range b.endpoints {
		if ep.isAvailable() {
			b.availableCount++
		}
	}
}

// allManuallyEjected reports whether there are ready endpoints and operators have ejected all of them.
func (b *Balancer) allManuallyEjected() bool {
	return b.availableCount == 0 && len(b.manuallyEjected) > 0 &&
		slices.ContainsFunc(b.endpoints, func(ep *endpoint) bool { return ep.State == Ready })
}

// IsKnown implements Events. An endpoint that operators have ejected is known even if it is not listed.
func (b *Balancer) IsKnown(id string) bool { return b.manuallyEjected[id] || b.endpointByID[id] != nil }

// EndpointCounts implements Events. It counts only listed endpoints as ejected, and each of them once.
func (b *Balancer) EndpointCounts() (listed, ejected int) {
	for _, ep := range b.endpoints {
		if ep.manuallyEjected || ep.ejected && !ep.active {
			ejected++
		}
	}
	return len(b.endpoints), ejected
}
