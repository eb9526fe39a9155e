package simwire

import (
	"errors"

	"tuliprock/balance"
)

// maxLists is the number of endpoint lists that the protocol can refer to, by the numbers 0 to 15.
const maxLists = 16

// endpointLists holds the lists that the simulator defines by a LEDGER and its ENDPOINT messages. REGISTRY messages refer to
// them by number, in the same batch or in later ones.
type endpointLists struct {
	byNumber    [maxLists]*endpointList // list that was last defined for each number; nil: no list has the number yet
	currentList *endpointList           // list that the last LEDGER message began
	entriesDue  int                     // number of ENDPOINT messages that are still due for the current list
}

// endpointList is a list of endpoints that a LEDGER message began and ENDPOINT messages filled.
type endpointList struct{ entries []balance.Endpoint }

// beginList decodes a LEDGER message, which begins a new list. The new list replaces any earlier list with the same number.
func (l *endpointLists) beginList(m *message) error {
	number, count := m.integer("Ref", required), m.integer("Hosts", required)
	if m.err != nil {
		return m.err
	}
	if number < 0 || number >= maxLists || count < 0 {
		return errors.New("LEDGER has a Ref or Hosts out of range")
	}
	l.currentList = &endpointList{entries: []balance.Endpoint{}}
	l.byNumber[number], l.entriesDue = l.currentList, count
	return nil
}

// addEntry decodes an ENDPOINT message, which is the next entry of the current list.
func (l *endpointLists) addEntry(m *message) error {
	if l.entriesDue == 0 {
		return errors.New("ENDPOINT exceeds the Hosts of the last LEDGER")
	}
	endpoint := balance.Endpoint{
		ID:        m.internedText("Endpoint", required),
		Zone:      m.internedText("Zone", optional),
		Kind:      m.internedText("Sku", optional),
		Cell:      m.integer("Pack", optional),
		StartedAt: m.microseconds("LastStartUs", optional),
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
	l.currentList.entries = append(l.currentList.entries, endpoint)
	return m.err
}

// entries returns the endpoints of the list that a REGISTRY message refers to.
func (l *endpointLists) entries(m *message) []balance.Endpoint {
	number := m.integer("Ref", required)
	if m.err != nil {
		return nil
	}
	if number < 0 || number >= maxLists || l.byNumber[number] == nil {
		m.fail("REGISTRY refers to list %d, which was never defined", number)
		return nil
	}
	return l.byNumber[number].entries
}
