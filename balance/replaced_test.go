package balance_test

import (
	"testing"

	"tuliprock/balance"
)

// keyedSettings returns settings with a class whose endpoints drop duplicates only within their cell.
func keyedSettings() balance.Settings {
	s := defaultSettings()
	s.Classes = append(s.Classes, balance.Class{Name: "keyed", Idempotency: balance.IdempotencyKey, DedupScope: balance.ScopeCell,
		DedupWindow: 10_000 * ms, LatencyObjective: 2000 * ms})
	return s
}

// listCells reports an endpoint list with the cells of the endpoints.
func (h *harness) listCells(cells map[string]int) {
	l := balance.EndpointUpdate{Complete: true}
	for _, id := range []string{"a", "b"} {
		l.Endpoints = append(l.Endpoints, balance.Endpoint{ID: id, Cell: cells[id]})
	}
	h.balancer.EndpointList(h.now, l)
}

// A keyed request that may have run may be sent only to the cell in which it may have run. A process that restarts may come back in
// another cell, or another process may come up at its address: it knows no key of the former one.
func TestKeyedRequestIsNotRetriedAtAProcessThatMayHaveBeenReplaced(t *testing.T) {
	for _, row := range []struct {
		name       string
		before     map[string]int // cells of the endpoints when the request is sent
		after      map[string]int // cells by a list that comes while the attempt is in flight; nil: none comes
		result     balance.Result
		isRetried  bool
		retriedAtB bool
	}{
		{"the endpoint moves to the other's cell", map[string]int{"a": 1, "b": 2}, map[string]int{"a": 2, "b": 2}, balance.ErrorResponse, false, false},
		{"the other moves to the endpoint's cell", map[string]int{"a": 1, "b": 2}, map[string]int{"a": 1, "b": 1}, balance.ErrorResponse, true, true},
		{"the connection breaks, alone in its cell", map[string]int{"a": 1, "b": 2}, nil, balance.Reset, false, false},
		{"the connection breaks, not alone in its cell", map[string]int{"a": 1, "b": 1}, nil, balance.Reset, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, keyedSettings(), "a", "b")
			h.listCells(row.before)
			h.learnBaseline("read")
			id, first := h.request("keyed")
			if first == "b" { // the rows are about a
				h.finish(id, balance.OK)
				if id, first = h.request("keyed"); first != "a" {
					t.Fatalf("the second request was sent to %q, want a", first)
				}
			}
			if row.after != nil {
				h.listCells(row.after)
			}
			h.advance(10 * ms)
			h.finish(id, row.result)
			sentTo := h.sentTo[id]
			if isRetried := len(sentTo) > 1; isRetried != row.isRetried || isRetried && (sentTo[1] == "b") != row.retriedAtB {
				t.Errorf("the request was sent to %v, want a retry %v, at b %v", sentTo, row.isRetried, row.retriedAtB)
			}
		})
	}
}
