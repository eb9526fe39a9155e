package config

import (
	"fmt"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
	"tuliprock/internal/route"
)

// platformName is the name of the only listener, and of the only pool, of a sidecar that the platform configures. The platform's file
// names a single listen address and a single discovery agent.
const platformName = "platform"

// Limits of requests on the platform. Its clients may send and receive bodies of up to 32 MB, take 2 s to send a head, and send
// at least 64 kB per second. A misbehaving client must get an error, or its connection must be closed, within 3 s of connecting.
const (
	platformMaxBodyBytes      = 32 << 20
	platformHeadTimeout       = 2500 * time.Millisecond
	platformBodyTimeout       = 2500 * time.Millisecond // enough for a buffered body of 64 kB in several pieces, which takes 1 s at 64 kB per second
	platformMinStreamRate     = 48 << 10                // bytes per second: 64 kB less a quarter, since the measured rate fluctuates
	platformUploadIdleTimeout = 2500 * time.Millisecond // how long a client may send nothing, or be slower than its minimum rate, in a streaming body
	platformStreamIdleTimeout = 5 * time.Second         // how long a peer may send nothing, or be slower than its minimum rate
	platformMaxStreamDuration = 10 * time.Minute        // longest time that a body may stream: 32 MB at 64 kB per second take 8.5 minutes

	// platformBodyMemoryDivisor is the ratio of what the mapped program leaves of a sidecar's memory limit to its memory budget for bodies.
	// The budget is small because two processes share the memory limit during a hot restart.
	platformBodyMemoryDivisor = 10
	// platformProgramMB is about how many megabytes of the memory limit the mapped program takes.
	platformProgramMB     = 12
	minPlatformBodyMemory = 1 << 20

	// platformHeadMemoryDivisor is the ratio of a sidecar's memory limit to the bytes of the heads that all its clients can send at
	// once. A head takes several times its length while it is parsed and forwarded.
	platformHeadMemoryDivisor = 16
	minPlatformHeadBytes      = 4 << 10

	// platformEndpointConnectionsPerMB limits the connections to endpoints by the memory limit. One with an attempt takes about 18 KiB.
	platformEndpointConnectionsPerMB = 6
)

// The maximum number of operators' connections is the limit on sockets divided by operatorSocketDivisor, but at least
// minOperatorConnections.
const (
	operatorSocketDivisor  = 16
	minOperatorConnections = 8
)

// Service converts the platform's configuration to a Service with one listener, one pool and two routes for each class.
func (c Config) Service() (Service, error) {
	settings := c.Settings.Settings
	settings.CanProbe = false // the platform forbids health checks of endpoints
	rules, targets := platformRoutes(settings.Classes)
	table, err := route.New(rules)
	if err != nil {
		return Service{}, fmt.Errorf("settings: %w", err)
	}
	s := Service{
		Name: c.Name, Limits: c.Limits, Table: table, Targets: targets,
		AdminAddress: c.AdminAddress, MaxOperatorConnections: c.maxOperatorConnections(),
	}
	s.TerminationGrace = terminationGrace(c.Settings.LongestClientWait)
	s.DrainTimeout = s.TerminationGrace - abortReportTime
	s.BodyMemoryBytes = max((c.Limits.MemoryMB-platformProgramMB)<<20/platformBodyMemoryDivisor, minPlatformBodyMemory)
	s.ResponseMemoryBytes = s.BodyMemoryBytes / 2
	connectionLimit := s.ConnectionsWithin(c.Limits.Sockets)
	listener, pool := c.platformListener(connectionLimit), c.platformPool(connectionLimit, settings)
	if c.ListenDescriptor > 0 { // several processes of the sidecar may run at a time and share the inherited socket
		listener.Descriptor, pool.Source.RequestsFullList, s.SharedDir = c.ListenDescriptor, true, c.SharedDir
	}
	s.Listeners, s.Pools = []Listener{listener}, []PoolSpec{pool}
	return s, nil
}

// maxOperatorConnections returns the maximum number of operators' connections, or 0 if there is no AdminAddress to connect to.
func (c Config) maxOperatorConnections() int {
	if c.AdminAddress == "" {
		return 0
	}
	return max(c.Limits.Sockets/operatorSocketDivisor, minOperatorConnections)
}

func (c Config) platformListener(connectionLimit int) Listener {
	l := defaultListener()
	l.Name, l.Address, l.MaxConnections, l.UsesRawTargets = platformName, c.Listen, connectionLimit, true
	l.Forwarded, l.RetryAfterFormat = forwardedModeLeave, retryAfterFormatFractionalSeconds
	l.HeadTimeout, l.BodyTimeout, l.MaxBodyBytes = platformHeadTimeout, platformBodyTimeout, platformMaxBodyBytes
	l.StreamIdleTimeout, l.MinStreamRate = platformStreamIdleTimeout, platformMinStreamRate
	l.UploadIdleTimeout = platformUploadIdleTimeout
	l.HeadMemoryBytes = c.Limits.MemoryMB << 20 / platformHeadMemoryDivisor
	l.MaxHeadBytes = min(l.MaxHeadBytes, max(c.Limits.MemoryMB<<20/platformHeadMemoryDivisor/connectionLimit, minPlatformHeadBytes))
	return l
}

func (c Config) platformPool(connectionLimit int, settings balance.Settings) PoolSpec {
	return PoolSpec{
		Name: platformName, Settings: settings, Source: SourceSpec{Agent: c.Discovery, LastUpdate: c.LastUpdate},
		MaxConnections: min(connectionLimit, platformEndpointConnectionsPerMB*c.Limits.MemoryMB), DialTimeout: c.Settings.DialTimeout, IdleTimeout: c.Settings.IdleConnectionTimeout,
		StartsAtLastByte: true, AcceptsOnlyStatusOK: true, MaxResponseBytes: platformMaxBodyBytes,
		MinStreamRate: body.MinimumRate{IdleTimeout: platformStreamIdleTimeout},
	}
}

// platformRoutes returns the platform's routes and their targets. The class of a request is named by the first segment of its
// path, which is not normalized.
func platformRoutes(classes []balance.Class) ([]route.Rule, []Target) {
	var rules []route.Rule
	var targets []Target
	for _, c := range classes {
		target := Target{Pool: platformName, Class: platformClass(c)}
		rules = append(rules,
			route.Rule{Name: c.Name, Kind: route.Exact, Path: "/" + c.Name},
			route.Rule{Name: c.Name, Kind: route.Prefix, Path: "/" + c.Name + "/"})
		targets = append(targets, target, target)
	}
	return rules, targets
}

func platformClass(c balance.Class) *Class {
	class := &Class{
		Name: c.Name, Idempotency: idempotencyName(c.Idempotency), Methods: []string{"POST"},
		IDHeader: defaultIDHeader, KeyHeader: defaultKeyHeader, TenantHeader: defaultTenantHeader,
		DeadlineHeader: defaultDeadlineHeader, RetryHeader: "Req-Retry",
		IDMissing: missingReject, DeadlineMissing: missingReject, MaxDeadline: maxDeadline, MaxStreamDuration: platformMaxStreamDuration,
	}
	if c.Idempotency == balance.Idempotent {
		class.Methods, class.ForbidsBody = []string{"GET"}, true
	}
	return class
}

// idempotencyName is the inverse of IdempotencyByName. It returns "" for an unknown value.
func idempotencyName(idempotency balance.Idempotency) string {
	for name, value := range IdempotencyByName {
		if value == idempotency {
			return name
		}
	}
	return ""
}
