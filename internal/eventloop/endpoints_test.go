package eventloop

import (
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/discovery"
)

// listBalancer is a balancer that keeps the endpoints which are listed and not gone.
type listBalancer struct {
	balance.Events
	ids map[string]bool
}

func (b *listBalancer) EndpointList(_ time.Duration, update balance.EndpointUpdate) {
	if update.Complete {
		clear(b.ids)
	}
	for _, entry := range update.Endpoints {
		if delete(b.ids, entry.ID); entry.State != balance.Gone {
			b.ids[entry.ID] = true
		}
	}
}

// listUpstream is an upstream that keeps its endpoints.
type listUpstream struct {
	Upstream
	ids      map[string]bool
	removals []string // ids that were removed, in order
}

func (u *listUpstream) SetEndpoint(id, _ string, _ bool) { u.ids[id] = true }

func (u *listUpstream) RemoveEndpoint(id string) {
	delete(u.ids, id)
	u.removals = append(u.removals, id)
}

// An address can have only one process. If a new one comes up at the address of an endpoint that the list does not report as gone yet,
// requests for that endpoint would reach the new process, which may be of another cell.
func TestProcessAtTheAddressOfAnotherReplacesIt(t *testing.T) {
	member := func(id, addr string, startedMs int64) discovery.Member {
		return discovery.Member{ID: id, Addr: addr, StartedMs: startedMs}
	}
	for _, row := range []struct {
		name     string
		updates  []discovery.ListUpdate
		want     []string
		removals []string // removals from the upstream
	}{
		{"a change names the new one", []discovery.ListUpdate{
			{Full: true, Members: []discovery.Member{member("a", "x", 0), member("b", "y", 0)}},
			{Members: []discovery.Member{member("c", "x", 5)}},
		}, []string{"b", "c"}, []string{"a"}},
		{"a list names both, the new one first", []discovery.ListUpdate{
			{Full: true, Members: []discovery.Member{member("c", "x", 5), member("a", "x", 4)}},
		}, []string{"c"}, []string{"a"}},
		{"a list names the former one again", []discovery.ListUpdate{
			{Full: true, Members: []discovery.Member{member("a", "x", 0)}},
			{Members: []discovery.Member{member("c", "x", 5)}},
			{Full: true, Members: []discovery.Member{member("a", "x", 0), member("c", "x", 5)}},
		}, []string{"c"}, []string{"a", "a"}},
		{"the former one has moved", []discovery.ListUpdate{
			{Full: true, Members: []discovery.Member{member("a", "x", 0)}},
			{Members: []discovery.Member{member("a", "z", 4), member("c", "x", 5)}},
		}, []string{"a", "c"}, []string{"a"}},
		{"a process restarts", []discovery.ListUpdate{
			{Full: true, Members: []discovery.Member{member("a", "x", 0)}},
			{Members: []discovery.Member{member("a", "x", 5)}},
		}, []string{"a"}, []string{"a"}},
		{"an address is listed twice on purpose", []discovery.ListUpdate{
			{Full: true, Members: []discovery.Member{member("a", "x", 0), member("b", "x", 0)}},
		}, []string{"a", "b"}, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			balancer, upstream := &listBalancer{ids: map[string]bool{}}, &listUpstream{ids: map[string]bool{}}
			l := New(NewBalancer, balance.Settings{}, upstream, nil, slog.New(slog.DiscardHandler))
			l.balancer = balancer
			for _, update := range row.updates {
				l.UpdateEndpoints(clockStart, update)
			}
			atBalancer, atUpstream := slices.Sorted(maps.Keys(balancer.ids)), slices.Sorted(maps.Keys(upstream.ids))
			if !slices.Equal(atBalancer, row.want) || !slices.Equal(atUpstream, row.want) {
				t.Errorf("listed are %v for the balancer and %v for the upstream, want %v", atBalancer, atUpstream, row.want)
			}
			if !slices.Equal(upstream.removals, row.removals) {
				t.Errorf("connections were closed to %v in turn, want %v", upstream.removals, row.removals)
			}
		})
	}
}
