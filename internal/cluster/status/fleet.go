package status

import (
	"fmt"
	"io"
	"time"

	"tuliprock/internal/cluster/swim"
)

// Fleet is the view that one daemon has of its cluster. Its JSON form is documented for operators.
type Fleet struct {
	Format       int    `json:"format"`          // number of the format of Fleet's JSON form, always 1
	Self         string `json:"self"`            // name of the daemon that reports
	Connectivity string `json:"standing"`        // swim.Connectivity of the reporting daemon: whole, partial or cut-off
	ElderAddr    string `json:"elder,omitempty"` // address of an older process with this daemon's name, for which the daemon stays out of the cluster; empty: none
	ViewNumber   uint64 `json:"view"`            // number of the daemon's view of the cluster, which grows with each change while the daemon runs
	DaemonCount  int    `json:"daemons"`         // number of daemons that divide limits among themselves; see package ordinal
	Ordinal      int    `json:"index"`           // ordinal, from 0, of this daemon among the DaemonCount daemons
	Peers        []Peer `json:"peers"`           // all members that this daemon knows, sorted by name, itself included
}

// Peer is a member of the cluster as the daemon that reports a Fleet knows it.
type Peer struct {
	Name        string `json:"name"`        // name of the member's daemon
	Address     string `json:"address"`     // address and port to which other daemons send messages
	State       string `json:"state"`       // state of the member as the reporting daemon knows it: alive, suspect, failed or left
	Incarnation uint64 `json:"incarnation"` // counter that the member increments to refute reports that it is suspect or failed
	StateAgeMs  int64  `json:"since_ms"`    // time since the member entered its state, in milliseconds
}

// FleetFromView returns the Fleet for a daemon's view of the cluster. now is the present instant by the failure detector's
// clock; daemonCount and ordinal are what ordinal.Tracker determined from the view.
func FleetFromView(v *swim.View, now time.Duration, daemonCount, ordinal int) *Fleet {
	f := &Fleet{
		Format: 1, Self: v.Self, Connectivity: v.Connectivity.String(), ElderAddr: v.ElderAddr, ViewNumber: v.Number,
		DaemonCount: daemonCount, Ordinal: ordinal,
	}
	for _, m := range v.Members {
		f.Peers = append(f.Peers, Peer{
			Name: m.Name, Address: m.Addr.String(), State: m.State.String(), Incarnation: m.Incarnation,
			StateAgeMs: max(now-m.StateSince, 0).Milliseconds(),
		})
	}
	return f
}

// FetchFleet requests the Fleet of the daemon whose admin address is addr. It returns within twice the timeout.
func FetchFleet(addr string, timeout time.Duration) (*Fleet, error) {
	f := &Fleet{Format: 1}
	return f, query(addr, "peers", nil, timeout, f.parseLine)
}

// Write writes a line for the reporting daemon and a line for each member. The admin server writes the line that ends the
// response.
func (f *Fleet) Write(w io.Writer) error {
	elderField := ""
	if f.ElderAddr != "" {
		elderField = " elder=" + f.ElderAddr
	}
	if _, err := fmt.Fprintf(w, "fleet self=%s standing=%s view=%d daemons=%d index=%d%s\n",
		f.Self, f.Connectivity, f.ViewNumber, f.DaemonCount, f.Ordinal, elderField); err != nil {
		return err
	}
	for _, p := range f.Peers {
		if _, err := fmt.Fprintf(w, "peer name=%s address=%s state=%s incarnation=%d since_ms=%d\n",
			p.Name, p.Address, p.State, p.Incarnation, p.StateAgeMs); err != nil {
			return err
		}
	}
	return nil
}

// parseLine parses a line that Fleet.Write wrote, and adds its content to f.
func (f *Fleet) parseLine(line string) error {
	var p Peer
	err := parseFields(line, lineFields{
		"fleet": {
			"self": &f.Self, "standing": &f.Connectivity, "elder": &f.ElderAddr, "view": &f.ViewNumber, "daemons": &f.DaemonCount,
			"index": &f.Ordinal,
		},
		"peer": {
			"name": &p.Name, "address": &p.Address, "state": &p.State, "incarnation": &p.Incarnation,
			"since_ms": &p.StateAgeMs,
		},
	})
	if err == nil && p.Name != "" {
		f.Peers = append(f.Peers, p)
	}
	return err
}
