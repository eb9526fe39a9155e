package transport

import (
	"log/slog"
	"net/netip"

	"tuliprock/internal/cluster/swim"
)

// Options configure a Transport. Cluster, Name and Listen are required.
type Options struct {
	Cluster   string           // messages of another cluster are dropped
	Name      string           // this daemon's, unique in the cluster
	Listen    netip.AddrPort   // UDP and TCP; port 0 leaves the choice to the system
	Advertise netip.AddrPort   // where the others send to; the zero value stands for the address it listens at
	Keys      Keys             // without one, Listen must be a loopback address
	Join      []netip.AddrPort // contacted for as long as no other member is known
	Voters    []string         // names of the voters; see swim.Options
	Timing    swim.Options     // only ProbeInterval, ProbeTimeout and SuspicionTimeout are used
	Log       *slog.Logger
}

// swimOptions returns what the failure detector of this process is configured with.
func (t *Transport) swimOptions(options *Options) swim.Options {
	o := options.Timing
	o.Self = swim.Peer{Name: options.Name, Addr: options.Advertise, Generation: t.generation}
	o.Join, o.Voters, o.Seed = options.Join, options.Voters, t.generation
	return o
}
