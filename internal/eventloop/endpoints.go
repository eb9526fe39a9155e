package eventloop

import (
	"time"

	"tuliprock/balance"
	"tuliprock/internal/discovery"
)

// listedEndpoint is what the endpoint list says about the process of an endpoint.
type listedEndpoint struct {
	address   string
	startedMs int64 // when the process started, as Unix time in milliseconds; 0: long ago
}

// UpdateEndpoints passes an update of the endpoint list from discovery to the upstream and to the balancer. It is called from an
// event.
func (l *Loop) UpdateEndpoints(now time.Duration, list discovery.ListUpdate) {
	update := balance.EndpointUpdate{Complete: list.Full}
	listed := map[string]bool{}
	for _, member := range list.Members {
		update.Endpoints = append(update.Endpoints, balance.Endpoint{ID: member.ID, State: member.State, Zone: member.Zone,
			Kind: member.Kind, Cell: member.Cell, StartedAt: l.clock.fromUnixMillis(member.StartedMs)})
		listed[member.ID] = true
		if member.State == balance.Gone {
			l.removeEndpoint(member.ID)
			continue
		}
		if replacedID := l.addEndpoint(member); replacedID != "" {
			update.Endpoints = append(update.Endpoints, balance.Endpoint{ID: replacedID, State: balance.Gone})
		}
	}
	if list.Full {
		for id := range l.endpoints {
			if !listed[id] {
				l.removeEndpoint(id)
			}
		}
	}
	l.balancer.EndpointList(now, update)
}

// addEndpoint adds an endpoint that is listed and not gone, or updates it. If the address was that of another endpoint whose process
// started earlier, that one is gone, since the address can have only one process: addEndpoint removes it and returns its id, or the id
// of the added endpoint if that is the one which started earlier. Otherwise it returns "".
func (l *Loop) addEndpoint(member discovery.Member) (replacedID string) {
	previous, isListed := l.endpoints[member.ID]
	if isListed && previous.startedMs < member.StartedMs {
		l.upstream.RemoveEndpoint(member.ID) // its connections are those of a process that has ended
	}
	otherID := l.idByAddress[member.Addr]
	other, hasOther := l.endpoints[otherID]
	hasOther = hasOther && otherID != member.ID && other.address == member.Addr
	if hasOther && member.StartedMs < other.startedMs {
		l.removeEndpoint(member.ID)
		return member.ID
	}
	l.endpoints[member.ID] = listedEndpoint{member.Addr, member.StartedMs}
	l.idByAddress[member.Addr] = member.ID
	l.upstream.SetEndpoint(member.ID, member.Addr, member.State == balance.Ready)
	if hasOther && other.startedMs < member.StartedMs {
		l.removeEndpoint(otherID)
		return otherID
	}
	return ""
}

func (l *Loop) removeEndpoint(id string) {
	if address := l.endpoints[id].address; l.idByAddress[address] == id {
		delete(l.idByAddress, address)
	}
	delete(l.endpoints, id)
	l.upstream.RemoveEndpoint(id)
}

// DiscoveryFailed notifies the balancer that a watch of the endpoint list has ended, or that the source of the list cannot be
// reached. It is called from an event.
func (l *Loop) DiscoveryFailed(now time.Duration) {
	l.balancer.EndpointList(now, balance.EndpointUpdate{HasFailed: true})
}

// SetEjected ejects an endpoint manually, or ends its manual ejection. It is called from an event.
func (l *Loop) SetEjected(now time.Duration, id string, isEjected bool) {
	l.upstream.SetEjected(id, isEjected) // before the balancer, which may send an attempt to the endpoint at once when the ejection ends
	l.balancer.SetEjected(now, id, isEjected)
}

// IsKnown reports whether an endpoint is listed or manually ejected. It is called from an event.
func (l *Loop) IsKnown(id string) bool { return l.balancer.IsKnown(id) }

// SetBalancerCount notifies the balancer of how many daemons send to the same endpoints, and of this daemon's index among these
// daemons. It is called from an event.
func (l *Loop) SetBalancerCount(now time.Duration, daemons, index int) {
	l.balancer.SetBalancerCount(now, daemons, index)
}

// EndpointCounts returns how many endpoints are listed, and how many of them the balancer avoids because they are ejected, manually
// or as outliers. It is called from an event.
func (l *Loop) EndpointCounts() (listed, ejected int) { return l.balancer.EndpointCounts() }
