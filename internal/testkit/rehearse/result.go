package rehearse

import "tuliprock/internal/testkit/invariant"

// Result is what a day showed. Shares are of worth: that of the requests served in time over that of all. The tags are the
// documented form of results, whose words partly differ from the names here.
type Result struct {
	Format   int     `json:"format"` // 1
	Day      string  `json:"day"`
	Balancer string  `json:"balancer"`
	Seed     uint64  `json:"seed"`
	Demand   float64 `json:"demand"`

	Valid   bool     `json:"valid"`
	Invalid []string `json:"invalid,omitempty"` // why the day says nothing about the sidecars
	Held    bool     `json:"held"`              // no rule broken, no sidecar crashed

	InTimeFraction      float64                `json:"whole"`
	WorstWindowFraction float64                `json:"worst_10s"`
	BySecond            []Second               `json:"by_second"`
	ByClass             map[string]ServedValue `json:"by_class"`
	ByTenant            map[string]ServedValue `json:"by_tenant"` // of the requests within its quota
	Service             float64                `json:"service"`   // points of 100: the weighted shares less the penalties
	Penalties           Penalties              `json:"prices"`

	Requests                 Counts             `json:"requests"`
	AttemptsPerRequest       float64            `json:"attempts_per_request"`    // to nodes of the first tier
	CallsPerRequest          float64            `json:"calls_per_request"`       // attempts in all tiers
	ConnectionsPerRequest    float64            `json:"connections_per_request"` // opened to nodes
	ClientAttemptsPerRequest float64            `json:"tries_per_request"`       // of the clients themselves
	Latency                  map[string]Latency `json:"latency"`                 // of what was served, from when due, by class and "all"

	Invariants *invariant.Report `json:"referee"`
	Faults     []Fault           `json:"troubles"`
	Nodes      []string          `json:"nodes"`
	InFlight   [][]int           `json:"in_hand"` // by sample of sampleInterval, by node

	Fleet      FleetSize      `json:"fleet"`
	Cluster    *ClusterResult `json:"peers,omitempty"` // nil: the day has no cluster
	Harness    HarnessMetrics `json:"own"`
	Rejections []float64      `json:"refusals_by_second"` // responses per second that reject, in all tiers
}

// ServedValue is the worth of requests served in time, of that of all.
type ServedValue struct {
	Offered  float64 `json:"asked"`
	InTime   float64 `json:"answered"`
	Fraction float64 `json:"share"`
}

// Second is one second of the day, by the instants at which requests were due.
type Second struct {
	ServedValue
	P50 float64 `json:"p50_s"`
	P99 float64 `json:"p99_s"`
}

// Penalties are what is taken off the points of service, in points of 100.
type Penalties struct {
	Connections  float64 `json:"connections"` // 8 for a new connection for each request
	Waste        float64 `json:"waste"`       // 4 for as much wasted work as was offered
	LateFailures float64 `json:"late_fails"`  // 3 where all requests fail, and only after their latency objective
	Overload     float64 `json:"choked"`      // 6 where all nodes turned slow by overload
}

// Counts are requests, without their retries, by how they ended.
type Counts struct {
	Total      int `json:"asked"`
	Served     int `json:"served"`
	Late       int `json:"late"` // served after the latency objective
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"no_answer"` // the client left, or the request was lost with a killed sidecar or never reached one
}

// Latency is a distribution in seconds.
type Latency struct {
	P50  float64 `json:"p50_s"`
	P90  float64 `json:"p90_s"`
	P99  float64 `json:"p99_s"`
	P999 float64 `json:"p999_s"`
	Max  float64 `json:"most_s"`
}

// FleetSize is the size of what was rehearsed. Capacity and rate are in requests per second.
type FleetSize struct {
	Nodes    int     `json:"nodes"`
	Sidecars int     `json:"sidecars"`
	Capacity float64 `json:"capacity_per_s"`
	Rate     float64 `json:"rate_per_s"`
}

// HarnessMetrics are the rehearsal's own lateness and use of resources.
type HarnessMetrics struct {
	SendLatenessP50    float64 `json:"late_p50_s"` // sends after their due instants
	SendLatenessP99    float64 `json:"late_p99_s"`
	SendLatenessMax    float64 `json:"late_most_s"`
	TimerLatenessP99   float64 `json:"timer_p99_s"`
	Stalls             int     `json:"stalls"`
	LongestStall       float64 `json:"worst_stall_s"`
	CPUSeconds         float64 `json:"cpu_s"`
	SidecarsCPUSeconds float64 `json:"sidecars_cpu_s"`
	MemoryMB           float64 `json:"memory_mb"`         // peak of all days in this run so far
	SidecarMemoryMB    float64 `json:"sidecar_memory_mb"` // peak of the largest sidecar
	DroppedEvents      int     `json:"events_without_room"`
}
