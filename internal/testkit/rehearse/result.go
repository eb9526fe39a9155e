package rehearse

import "tuliprock/internal/testkit/invariant"

// Result is the outcome of a run. The value of a request is its class's priority weight times its work in seconds; requests beyond
// a tenant's quota have a lower value. The tags are the documented keys of result files, which partly differ from the names here.
type Result struct {
	Format   int     `json:"format"` // version of the format of result files, always 1
	Day      string  `json:"day"`
	Balancer string  `json:"balancer"` // balancer that the sidecars ran: OwnBalancer, or the name of a simple policy, such as "random", with which OwnBalancer is compared
	Seed     uint64  `json:"seed"`
	Demand   float64 `json:"demand"` // factor on the demand that the day's file states

	Valid          bool     `json:"valid"`             // whether the rehearsal itself was on time and recorded all events, so that the result says something about the sidecars
	InvalidReasons []string `json:"invalid,omitempty"` // reasons why the run is not valid; empty if it is valid
	Held           bool     `json:"held"`              // whether no invariant was violated and no sidecar crashed

	InTimeFraction      float64                `json:"whole"`     // fraction of the value of all client requests (priority weight times work) that was served in time
	WorstWindowFraction float64                `json:"worst_10s"` // lowest fraction of the value of the client requests due in any window of 10 seconds (priority weight times work) that was served in time
	BySecond            []Second               `json:"by_second"`
	ByClass             map[string]ServedValue `json:"by_class"`
	ByTenant            map[string]ServedValue `json:"by_tenant"` // by tenant, the value (priority weight times work) of the client requests within the quota, and how much of it was served in time
	ServicePoints       float64                `json:"service"`   // rating of the run out of 100: weighted fractions of the value of requests (priority weight times work) that was served in time, minus Penalties
	Penalties           Penalties              `json:"prices"`

	Requests                 Counts             `json:"requests"`
	AttemptsPerRequest       float64            `json:"attempts_per_request"`    // attempts at first-tier nodes per client request
	CallsPerRequest          float64            `json:"calls_per_request"`       // attempts at nodes of all tiers per client request
	ConnectionsPerRequest    float64            `json:"connections_per_request"` // connections opened to nodes per client request
	ClientAttemptsPerRequest float64            `json:"tries_per_request"`       // attempts that clients sent per request
	Latency                  map[string]Latency `json:"latency"`                 // latency of served requests, by class and for "all"

	Invariants *invariant.Report `json:"referee"`
	Faults     []Fault           `json:"troubles"`
	Nodes      []string          `json:"nodes"`   // IDs of all nodes
	InFlight   [][]int           `json:"in_hand"` // for each sample, taken every sampleInterval, the number of requests in flight at each node

	Fleet      FleetSize      `json:"fleet"`
	Cluster    *ClusterResult `json:"peers,omitempty"` // verdicts on the cluster; nil: the day has no cluster
	Harness    HarnessMetrics `json:"own"`
	Rejections []float64      `json:"refusals_by_second"` // for each second of the day, the number of responses with status 429 or 503 that clients, and nodes that called the next tier, received from sidecars
}

// ServedValue is the value (priority weight times work) of a set of client requests, and the part of this value that was served in
// time.
type ServedValue struct {
	Offered  float64 `json:"asked"`    // sum of Request.Value of all requests in the set
	InTime   float64 `json:"answered"` // sum of Request.Value of the requests in the set that were served within their latency objective
	Fraction float64 `json:"share"`    // InTime divided by Offered, or 1 if Offered is 0
}

// Second holds the value (priority weight times work) and the latency of the client requests that were due in one second of the day.
type Second struct {
	ServedValue
	P50 float64 `json:"p50_s"` // median latency of the requests that were served, in seconds
	P99 float64 `json:"p99_s"` // 99th percentile of the latency of the requests that were served, in seconds
}

// Penalties are the points that are subtracted from Result.ServicePoints, the rating of a run out of 100.
type Penalties struct {
	Connections  float64 `json:"connections"` // 8 points times the connections opened to nodes per client request
	Waste        float64 `json:"waste"`       // 4 points times the work that nodes wasted, relative to the work of all client requests
	LateFailures float64 `json:"late_fails"`  // 3 points times the value (priority weight times work) of the client requests that failed after their latency objective, relative to the value of all client requests
	Overload     float64 `json:"choked"`      // 6 points times the fraction of nodes that overload slowed
}

// Counts are the numbers of client requests by outcome. Retries are not counted.
type Counts struct {
	Total      int `json:"asked"`
	Served     int `json:"served"`    // requests that were answered with status 200, in time or late
	Late       int `json:"late"`      // requests that were served after their latency objective
	Rejected   int `json:"refused"`   // requests whose last attempt was rejected before it ran
	Failed     int `json:"failed"`    // requests whose last attempt was answered with neither a success nor a rejection
	Unanswered int `json:"no_answer"` // requests without a complete response to the last attempt: the client left or gave up, or the sidecar was killed or not reached
}

// Latency holds percentiles and the maximum of a distribution of latencies. All fields are in seconds.
type Latency struct {
	P50  float64 `json:"p50_s"`
	P90  float64 `json:"p90_s"`
	P99  float64 `json:"p99_s"`
	P999 float64 `json:"p999_s"`
	Max  float64 `json:"most_s"`
}

// FleetSize holds the number of nodes and sidecars of a rehearsal, and the rate of requests.
type FleetSize struct {
	Nodes    int     `json:"nodes"`
	Sidecars int     `json:"sidecars"`       // number of sidecars in the rehearsal, of all tiers
	Capacity float64 `json:"capacity_per_s"` // client requests per second that the nodes can serve; see Plan.Capacity
	Rate     float64 `json:"rate_per_s"`     // client requests per second that are due outside surges
}

// HarnessMetrics are the lateness and the use of resources of the rehearsal itself. Times are in seconds.
type HarnessMetrics struct {
	SendLatenessP50    float64 `json:"late_p50_s"`          // median time from when a request was due until it was sent
	SendLatenessP99    float64 `json:"late_p99_s"`          // 99th percentile of the time from when a request was due until it was sent
	SendLatenessMax    float64 `json:"late_most_s"`         // longest time from when a request was due until it was sent
	TimerLatenessP99   float64 `json:"timer_p99_s"`         // 99th percentile of the lateness of a timer in the rehearsal's process
	Stalls             int     `json:"stalls"`              // number of stalls of the rehearsal's process that lasted at least Day.Rules.Tolerance
	LongestStall       float64 `json:"worst_stall_s"`       // greatest lateness of a timer in the rehearsal's process
	CPUSeconds         float64 `json:"cpu_s"`               // CPU time of the rehearsal's process
	SidecarsCPUSeconds float64 `json:"sidecars_cpu_s"`      // CPU time of all sidecars together
	MemoryMB           float64 `json:"memory_mb"`           // peak resident memory of the rehearsal's process, earlier runs included
	SidecarMemoryMB    float64 `json:"sidecar_memory_mb"`   // highest peak of the resident memory of any sidecar
	DroppedEvents      int     `json:"events_without_room"` // number of events that were not recorded because the timeline was full
}
