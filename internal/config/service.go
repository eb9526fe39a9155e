package config

import (
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
	"tuliprock/internal/discovery"
	"tuliprock/internal/route"
)

// Service is the complete configuration that a daemon is built from, converted from the platform's file (Config.Service) or an
// operators' file (File.Service). It is immutable; a reload produces a new one.
type Service struct {
	Name                     string
	AdminAddress             string       // address to listen on for operators' commands; empty for none
	MaxOperatorConnections   int          // maximum number of connections to AdminAddress
	SharedDir                string       // directory shared by all processes of the sidecar; empty if only one runs at a time
	Cluster                  *ClusterSpec // settings of the cluster; nil if this daemon is not part of one
	Limits                   Limits       // resource limits; a value of 0 means the system's own limit
	Listeners                []Listener
	Pools                    []PoolSpec
	Table                    *route.Table // routing table; its rules are compiled from the routes of the configuration
	Targets                  []Target     // targets of the routes, by index of the rule in Table
	File                     *File        // operators' file that the Service was converted from; nil if it is from the platform's file
	RejectsWhenIndeterminate bool         // requests are rejected while it is indeterminate which version of the settings other daemons act on

	BodyMemoryBytes int // memory budget for bodies in bytes; 0 if all bodies are buffered and need a Content-Length
	// ResponseMemoryBytes is the memory budget for buffered responses, in bytes; 0 if they are not counted.
	ResponseMemoryBytes int
	DrainTimeout        time.Duration // time from the shutdown signal until bodies that are still streaming are aborted
	TerminationGrace    time.Duration // time from the shutdown signal until the process may be killed
}

// PoolSpec is the complete configuration of a pool.
type PoolSpec struct {
	Name                     string
	Settings                 balance.Settings // balancer's settings; a random seed is drawn if Settings.Seed is 0
	MaxConnections           int              // maximum number of connections to all endpoints together
	DialTimeout, IdleTimeout time.Duration    // time limits for dialing, and for a connection without requests
	StartsAtLastByte         bool             // endpoints start on a request only after its last byte has arrived
	MaxResponseBytes         int64            // maximum size of a response body in bytes; 0 for no limit
	MinStreamRate            body.MinimumRate // slowest pace at which an endpoint may send or receive a streaming body

	// BufferedResponseTimeout limits the time without a byte within a buffered response; values under 0.5 s are treated as 0.5 s. The
	// platform's configuration leaves it 0.
	BufferedResponseTimeout time.Duration

	// DialsRatherThanWaits is whether a request dials a new connection, within the limit MaxConnections, if each idle connection to its
	// endpoint received a response only a few milliseconds ago. Such a connection may not be reused yet, since a duplicate of that response
	// could be taken for the response to the next request. If DialsRatherThanWaits is false, the request waits until a connection may be
	// reused.
	DialsRatherThanWaits bool
	// AcceptsOnlyStatusOK is whether every response with a status other than 200 counts as a failed attempt, which the platform
	// requires.
	AcceptsOnlyStatusOK bool
	Source              SourceSpec
}

// SourceSpec says where a pool's endpoints come from. At most one of Agent, Members, File and DNS is set; if none is, the
// pool has no endpoints.
type SourceSpec struct {
	Agent            string               // host:port of the platform's discovery agent
	RequestsFullList bool                 // the complete list is requested from the agent even if LastUpdate has a version
	LastUpdate       discovery.ListUpdate // last update that the agent sent before this process started; zero if there was none
	Members          []Member             // fixed list of endpoints, or the list that the cluster agreed on
	File             string               // path of a members file
	DNS              *DNS
	HoldLastGood     time.Duration // how long the last good list is kept while the source fails or lists no members
	FlapDamping      time.Duration // delay before an endpoint that starts to flap is used again; doubles with further flaps
}

// Target says where the requests that match a rule of the routing table are sent, and how they are rewritten.
type Target struct {
	Pool, Tenant              string // name of the pool that serves the requests; name of the tenant to which requests without a tenant's name belong
	Class                     *Class
	PathPrefix, ReplacePrefix string // prefix of the path and its replacement; the prefix stays if the replacement is empty
	SetHeaders                []HeaderValue
	RemoveHeaders             []string // names of headers to remove from the forwarded request
}

// SpareConnections is the number of client connections that a listener accepts beyond its limit. For each of them it closes an idle
// connection.
const SpareConnections = 16

// Numbers of file descriptors that the limits on connections are computed from.
const (
	// internalDescriptors is the number of file descriptors reserved for everything but the cluster and the connections to clients,
	// endpoints and operators.
	internalDescriptors = 24
	// clusterDescriptors is the number of file descriptors reserved for a cluster: two sockets, eight streams in each
	// direction, and four files of a voter's log.
	clusterDescriptors = 2 + 2*8 + 4
	// minConnections is the smallest limit that is computed for the connections to clients, and for those to endpoints, even if it
	// exceeds the limit on descriptors.
	minConnections = 8
	// connectionsPerMiB limits the connections to clients by the memory limit. A connection with a request takes about 25 KiB; long heads,
	// bodies and responses have budgets of their own.
	connectionsPerMiB = 16
)

// MaxDescriptors returns the maximum number of files and connections that the daemon may have open.
func (s *Service) MaxDescriptors() int {
	total := s.ReservedDescriptors()
	for _, l := range s.Listeners {
		total += l.MaxConnections + SpareConnections
	}
	for _, p := range s.Pools {
		total += p.MaxConnections
	}
	return total
}

// ConnectionsWithin returns the maximum number of client connections for a limit on file descriptors. The maximum number of connections
// to endpoints is the same. A process that gets only a part of the sidecar's descriptors gets the same part of its memory.
func (s *Service) ConnectionsWithin(descriptors int) int {
	limit := (descriptors - s.ReservedDescriptors() - SpareConnections) / 2
	if s.Limits.MemoryMB > 0 && s.Limits.Sockets > 0 {
		limit = min(limit, connectionsPerMiB*s.Limits.MemoryMB*descriptors/s.Limits.Sockets)
	}
	return max(limit, minConnections)
}

// ReservedDescriptors returns the number of descriptors that are reserved for everything except connections to clients and endpoints.
func (s *Service) ReservedDescriptors() int {
	if s.Cluster != nil {
		return internalDescriptors + s.MaxOperatorConnections + clusterDescriptors
	}
	return internalDescriptors + s.MaxOperatorConnections
}

// After SIGTERM the platform waits for the longest deadline, at most 3 s, and another 0.7 s before it sends SIGKILL. Requests that are
// still running must be aborted earlier, so that their clients get an error first.
const (
	maxAwaitedDeadline = 3 * time.Second
	graceAfterDeadline = 700 * time.Millisecond
	abortReportTime    = 300 * time.Millisecond // time between the abort of requests and SIGKILL
)

// terminationGrace returns how long the platform lets a process run after SIGTERM. longestDeadline is the longest deadline of a
// request, or 0 if unknown.
func terminationGrace(longestDeadline time.Duration) time.Duration {
	if longestDeadline <= 0 {
		longestDeadline = maxAwaitedDeadline
	}
	return min(longestDeadline, maxAwaitedDeadline) + graceAfterDeadline
}
