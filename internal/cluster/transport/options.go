package transport

import (
	"log/slog"
	"net/netip"

	"tuliprock/internal/cluster/swim"
)

// Options configure a Transport. Cluster, Name and Listen are required.
type Options struct {
	Cluster   string           // name of the cluster; messages of other clusters are dropped
	Name      string           // name of this daemon, unique in the cluster
	Listen    netip.AddrPort   // address of the UDP and the TCP socket; with port 0 the system chooses a port
	Advertise netip.AddrPort   // address to which the other daemons send messages; zero value: the address to which the sockets are bound
	Keys      Keys             // keys that sign and authenticate packets; without a key, Listen must be a loopback address
	Join      []netip.AddrPort // addresses that are contacted to join the cluster, each while no alive or suspect member has the address
	Voters    []string         // names of the members whose states determine this daemon's swim.Connectivity; empty: all known members
	Timing    swim.Options     // timeouts and intervals of the failure detector; only ProbeInterval, ProbeTimeout and SuspicionTimeout are used
	Log       *slog.Logger     // log of member state changes, of other processes with this daemon's name, and of a failure to reach any member
}

// swimOptions returns the options of the transport's failure detector, which it derives from the transport's options.
func (t *Transport) swimOptions(options *Options) swim.Options {
	o := options.Timing
	o.Self = swim.Peer{Name: options.Name, Addr: options.Advertise, Generation: t.generation}
	o.Join, o.Voters, o.Seed = options.Join, options.Voters, t.generation
	return o
}
