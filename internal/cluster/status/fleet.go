package status

import (
	"fmt"
	"io"
	"time"

	"tuliprock/internal/cluster/swim"
)

// Fleet is the view of one daemon of its cluster. Its JSON form is documented for operators.
type Fleet struct {
	Format       int    `json:"format"`          // version of the JSON format: 1
	Self         string `json:"self"`            // name of the daemon
	Connectivity string `json:"standing"`        // swim.Connectivity of the daemon: whole, partial or cut-off
	ElderAddr    string `json:"elder,omitempty"` // address of the older process with this daemon's name, to which the daemon yields
	ViewNumber   uint64 `json:"view"`            // number of the view, which grows with each change
	DaemonCount  int    `json:"daemons"`         // number of daemons that divide limits among themselves; see package ordinal
	Ordinal      int    `json:"index"`           // ordinal of this daemon among those counted in "daemons", from 0
	Peers        []Peer `json:"peers"`           // members sorted by name, this daemon included
}

// Peer is a member of a Fleet.
type Peer struct {
	Name        string `json:"name"`        // name of the member
	Address     string `json:"address"`     // address and port to which other daemons send messages
	State       string `json:"state"`       // state of the member: alive, suspect, failed or left
	Incarnation uint64 `json:"incarnation"` // incarnation of the member; see swim.Update
	SinceMs     int64  `json:"since_ms"`    // time since the member entered its state, in milliseconds
}

// FleetFromView returns the report of a view at the instant now of the failure detector's clock.
func FleetFromView(v *swim.View, now time.Duration, daemons, index int) *Fleet {
	f := &Fleet{
		Format: 1, Self: v.Self, Connectivity: v.Connectivity.String(), ElderAddr: v.ElderAddr, ViewNumber: v.Number,
		DaemonCount: daemons, Ordinal: index,
	}
	for _, m := range v.Members {
		f.Peers = append(f.Peers, Peer{
			Name: m.Name, Address: m.Addr.String(), State: m.State.String(), Incarnation: m.Incarnation,
			SinceMs: max(now-m.StateSince, 0).Milliseconds(),
		})
	}
	return f
}

// FetchFleet requests the Fleet of the daemon whose operators' address is addr, within timeout.
func FetchFleet(addr string, timeout time.Duration) (*Fleet, error) {
	f := &Fleet{Format: 1}
	return f, query(addr, "peers", nil, timeout, f.parseLine)
}

// Write writes a line for the daemon and one for each member, but not the line that ends the response.
func (f *Fleet) Write(w io.Writer) error {
	elder := ""
	if f.ElderAddr != "" {
		elder = " elder=" + f.ElderAddr
	}
	if _, err := fmt.Fprintf(w, "fleet self=%s standing=%s view=%d daemons=%d index=%d%s\n",
		f.Self, f.Connectivity, f.ViewNumber, f.DaemonCount, f.Ordinal, elder); err != nil {
		return err
	}
	for _, p := range f.Peers {
		if _, err := fmt.Fprintf(w, "peer name=%s address=%s state=%s incarnation=%d since_ms=%d\n",
			p.Name, p.Address, p.State, p.Incarnation, p.SinceMs); err != nil {
			return err
		}
	}
	return nil
}

// parseLine parses a line that Write wrote.
func (f *Fleet) parseLine(line string) error {
	var p Peer
	err := parseFields(line, lineFields{
		"fleet": {
			"self": &f.Self, "standing": &f.Connectivity, "elder": &f.ElderAddr, "view": &f.ViewNumber, "daemons": &f.DaemonCount,
			"index": &f.Ordinal,
		},
		"peer": {
			"name": &p.Name, "address": &p.Address, "state": &p.State, "incarnation": &p.Incarnation,
			"since_ms": &p.SinceMs,
		},
	})
	if err == nil && p.Name != "" {
		f.Peers = append(f.Peers, p)
	}
	return err
}
