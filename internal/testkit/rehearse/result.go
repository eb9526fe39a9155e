package rehearse

import (
	"tuliprock/internal/testkit/invariant"
)

// Result is what a day showed. Shares are of worth: answered in time over asked for.
type Result struct {
	Format   int     `json:"format"` // 1
	Day      string  `json:"day"`
	Balancer string  `json:"balancer"`
	Seed     uint64  `json:"seed"`
	Demand   float64 `json:"demand"`

	Valid   bool     `json:"valid"`
	Invalid []string `json:"invalid,omitempty"` // why the day says nothing about the sidecars
	Held    bool     `json:"held"`              // no rule broken, no sidecar crashed

	WorthShare  float64          `json:"whole"`
	WorstWindow float64          `json:"worst_10s"`
	BySecond    []Second         `json:"by_second"`
	ByClass     map[string]Share `json:"by_class"`
	ByTenant    map[string]Share `json:"by_tenant"` // within its share
	Service     float64          `json:"service"`   // points of 100: the weights of whole, worst 10 s, class and tenant, less the prices
	Penalties   Penalties        `json:"prices"`

	Requests       Counts             `json:"requests"`
	Attempts       float64            `json:"attempts_per_request"`    // to nodes of the first tier
	Calls          float64            `json:"calls_per_request"`       // attempts in all tiers
	Connections    float64            `json:"connections_per_request"` // that nodes saw opened
	ClientAttempts float64            `json:"tries_per_request"`       // of clients
	Latency        map[string]Latency `json:"latency"`                 // of what was served, from the instant due, by class; "all" is all

	Invariants *invariant.Report `json:"referee"`
	Faults     []Fault           `json:"troubles"`
	Nodes      []string          `json:"nodes"`
	InFlight   [][]int           `json:"in_hand"` // by quarter of a second, by node

	Fleet      FleetSize      `json:"fleet"`
	Cluster    *ClusterResult `json:"peers,omitempty"` // what the sidecars of a fleet held of one another
	Harness    HarnessMetrics `json:"own"`
	Rejections []float64      `json:"refusals_by_second"` // answers that refuse, a second
}

// Share is worth answered in time, of worth asked for.
type Share struct {
	Offered float64 `json:"asked"`
	InTime  float64 `json:"answered"`
	Share   float64 `json:"share"`
}

func (s *Share) add(q *Request, inTime bool) {
	s.Offered += q.Worth
	if inTime {
		s.InTime += q.Worth
	}
	s.Share = ratio(s.InTime, s.Offered, 1)
}

// Second is one second of the day, by the instants at which requests were due.
type Second struct {
	Share
	P50 float64 `json:"p50_s"`
	P99 float64 `json:"p99_s"`
}

// Penalties are what is taken off, in points of 100.
type Penalties struct {
	Connections float64 `json:"connections"` // 8 for a new one for each request
	Waste       float64 `json:"waste"`       // 4 for as much work wasted as was asked for
	LateFails   float64 `json:"late_fails"`  // 3 for all failing only after the wanted time
	Overload    float64 `json:"choked"`      // 6 if all nodes turned slow by overload
}

// Counts are first tries by how they ended.
type Counts struct {
	Total      int `json:"asked"`
	Served     int `json:"served"`
	Late       int `json:"late"` // served after the aim
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`
	Unanswered int `json:"no_answer"` // left, lost with a killed sidecar, or never reached one
}

// Latency is a distribution in seconds.
type Latency struct {
	P50  float64 `json:"p50_s"`
	P90  float64 `json:"p90_s"`
	P99  float64 `json:"p99_s"`
	P999 float64 `json:"p999_s"`
	Max  float64 `json:"most_s"`
}

// FleetSize is the size of what was rehearsed.
type FleetSize struct {
	Nodes    int     `json:"nodes"`
	Sidecars int     `json:"sidecars"`
	Capacity float64 `json:"capacity_per_s"`
	Rate     float64 `json:"rate_per_s"`
}

// HarnessMetrics is how the rehearsal itself fared.
type HarnessMetrics struct {
	LateP50         float64 `json:"late_p50_s"` // sends after their due instants
	LateP99         float64 `json:"late_p99_s"`
	LateMax         float64 `json:"late_most_s"`
	TimerP99        float64 `json:"timer_p99_s"`
	Stalls          int     `json:"stalls"`
	WorstStall      float64 `json:"worst_stall_s"`
	CPU             float64 `json:"cpu_s"`
	SidecarsCPU     float64 `json:"sidecars_cpu_s"`
	MemoryMB        float64 `json:"memory_mb"`         // the most so far, of all days in this run
	SidecarMemoryMB float64 `json:"sidecar_memory_mb"` // the same, of the largest sidecar
	DroppedEvents   int     `json:"events_without_room"`
}
