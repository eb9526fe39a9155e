package simwire

import (
	"errors"

	"tuliprock/balance"
)

// maxLists is how many endpoint lists the protocol can refer to: their numbers run from 0 to 15.
const maxLists = 16

// endpointLists are the lists that LEDGER and ENDPOINT messages spell out once and REGISTRY messages refer to by number,
// in the same batch or in later ones.
type endpointLists struct {
	byNumber   [maxLists]*endpointList // nil: never spelt out
	current    *endpointList           // the list of the last LEDGER
	entriesDue int                     // ENDPOINT messages that current still lacks
}

type endpointList struct{ entries []balance.Endpoint }

// begin reads a LEDGER: a new list takes the place of the one that had its number.
func (l *endpointLists) begin(m *message) error {
	number, count := m.integer("Ref", required), m.integer("Hosts", required)
	if m.err != nil {
		return m.err
	}
	if number < 0 || number >= maxLists || count < 0 {
		return errors.New("LEDGER with a number out of range")
	}
	l.current = &endpointList{entries: []balance.Endpoint{}}
	l.byNumber[number], l.entriesDue = l.current, count
	return nil
}

// add reads an ENDPOINT: the next entry of the current list.
func (l *endpointLists) add(m *message) error {
	if l.entriesDue == 0 {
		return errors.New("ENDPOINT without a LEDGER that counts it")
	}
	endpoint := balance.Endpoint{
		ID:      m.internedText("Endpoint", required),
		Zone:    m.internedText("Zone", optional),
		Kind:    m.internedText("Sku", optional),
		Cell:    m.integer("Pack", optional),
		Started: m.microseconds("LastStartUs", optional),
	}
	switch phase := m.text("Phase", required); phase {
	case "ready":
		endpoint.State = balance.Ready
	case "draining":
		endpoint.State = balance.Draining
	case "gone":
		endpoint.State = balance.Gone
	default:
		m.fail("ENDPOINT has an unknown Phase %q", phase)
	}
	l.entriesDue--
	l.current.entries = append(l.current.entries, endpoint)
	return m.err
}

// entries returns the list that a REGISTRY refers to.
func (l *endpointLists) entries(m *message) []balance.Endpoint {
	number := m.integer("Ref", required)
	if m.err != nil {
		return nil
	}
	if number < 0 || number >= maxLists || l.byNumber[number] == nil {
		m.fail("REGISTRY names list %d, which was never given", number)
		return nil
	}
	return l.byNumber[number].entries
}
