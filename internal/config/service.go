package config

import (
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
	"tuliprock/internal/discovery"
	"tuliprock/internal/route"
)

// Service is everything that a daemon is built from, whether the platform configured it (Config.Service) or an operators'
// file (File.Service). It never changes; a reload produces another one.
type Service struct {
	Name                     string
	AdminAddress             string       // address for operators' commands; empty: none is opened
	OperatorConnections      int          // connections to that address at most
	SharedDir                string       // directory that all processes of the sidecar have; empty: there is one process at a time
	Cluster                  *ClusterSpec // nil: this daemon is not part of a cluster
	Limits                   Limits       // zero values: left to the system
	Listeners                []Listener
	Pools                    []PoolSpec
	Table                    *route.Table
	Targets                  []Target // by index of the table's rules
	File                     *File    // that the service was made of; nil: the platform configured it
	RejectsWhenIndeterminate bool     // requests are rejected while it is indeterminate which version other daemons act on

	BodyMemory       int           // memory budget for bodies in bytes; 0: bodies are buffered, and must have a Content-Length
	DrainTimeout     time.Duration // from the signal to shut down until bodies that still stream are cut off
	TerminationGrace time.Duration // from that signal until the process may be killed, at the earliest
}

// PoolSpec is a pool in the form that the daemon builds it from.
type PoolSpec struct {
	Name                     string
	Settings                 balance.Settings // a seed of 0: one is drawn
	Connections              int              // to all endpoints together, at most
	DialTimeout, IdleTimeout time.Duration    // timeouts of dialing, and of connections that are not in use
	StartsAtLastByte         bool             // endpoints start on a request at its last byte, and not before
	MaxResponseBytes         int64            // of a response that streams, at most; 0: unlimited
	StreamPace               body.MinimumRate // minimum pace of endpoints while a body streams

	// How long a buffered response may take from its first byte to its last; a value under 0.5 s stands for that. On the
	// platform, where it is 0, no response takes nearly as long (23 ms at most, measured).
	BufferedResponseTimeout time.Duration

	DialsRatherThanWaits bool // connections are opened rather than waited for
	AcceptsOnlyOK        bool // only a 200 is a response, and only its type and body are forwarded: the platform's contract
	Source               SourceSpec
}

// SourceSpec says where a pool's endpoints come from. Of Agent, Members, File and DNS one is set at most; without any
// the pool has no endpoints.
type SourceSpec struct {
	Agent            string               // address of the platform's discovery
	RequestsFullList bool                 // the agent is asked for its complete list, though an update is known
	LastUpdate       discovery.ListUpdate // the agent's last update before this process started
	Members          []Member
	File             string // path of a file of members
	DNS              *DNS
	HoldLastGood     time.Duration // for which the last good list outlives sources that fail or list nobody
	FlapDamping      time.Duration // for which an endpoint that flaps must be listed before it is used, at first
}

// Target says where a rule of the table sends requests, and what it changes in them.
type Target struct {
	Pool, Tenant              string // Tenant is that of requests that name none
	Class                     *Class
	PathPrefix, ReplacePrefix string // the path's prefix and what replaces it; an empty Replace: it stays
	SetHeaders                []HeaderValue
	RemoveHeaders             []string // names of headers
}

// SpareConnections is the number of client connections that a listener accepts beyond its limit, until an idle one has been
// closed for each.
const SpareConnections = 16

// Numbers of descriptors, for budgeting them.
const (
	// internalDescriptors are reserved for what the other reservations do not cover.
	internalDescriptors = 24
	// clusterDescriptors are two sockets, eight streams in each direction, and the files of a voter's log.
	clusterDescriptors = 2 + 2*8 + 4
	// minConnections is the least number of connections in each direction, even if it exceeds the budget.
	minConnections = 8
)

// MaxDescriptors returns how many files and connections the daemon may have open at most.
func (s *Service) MaxDescriptors() int {
	sum := s.ReservedDescriptors()
	for _, l := range s.Listeners {
		sum += l.Connections + SpareConnections
	}
	for _, p := range s.Pools {
		sum += p.Connections
	}
	return sum
}

// ConnectionsWithin returns how many connections clients may have, and how many there may be to endpoints, under a limit on
// descriptors.
func (s *Service) ConnectionsWithin(descriptors int) int {
	return max((descriptors-s.ReservedDescriptors()-SpareConnections)/2, minConnections)
}

// ReservedDescriptors returns how many descriptors are reserved for everything but connections of clients and to endpoints.
func (s *Service) ReservedDescriptors() int {
	if s.Cluster != nil {
		return internalDescriptors + s.OperatorConnections + clusterDescriptors
	}
	return internalDescriptors + s.OperatorConnections
}

// The platform sends SIGKILL no sooner after SIGTERM than the longest deadline, counted as 3 s at most, and 0.7 s more.
// Whatever is cut off then must have been reported to its client before.
const (
	graceDeadlineCap   = 3 * time.Second
	graceAfterDeadline = 700 * time.Millisecond
	cutOffNotice       = 300 * time.Millisecond
)

// terminationGrace returns how long the platform lets a process run after SIGTERM. longest is the longest deadline; 0:
// unknown.
func terminationGrace(longest time.Duration) time.Duration {
	if longest <= 0 {
		longest = graceDeadlineCap
	}
	return min(longest, graceDeadlineCap) + graceAfterDeadline
}
