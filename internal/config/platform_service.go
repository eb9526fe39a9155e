package config

import (
	"fmt"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
	"tuliprock/internal/route"
)

// platformName is the name of the platform's one listener and one pool.
const platformName = "platform"

// Bodies on the platform: up to 32 MB in each direction, from clients that may take 2 s for a head and keep up 64 kB a
// second. A client that misbehaves must get an error or a close within 3 s of connecting.
const (
	platformBodyBytes         = 32 << 20
	platformHeadTimeout       = 2500 * time.Millisecond
	platformBodyTimeout       = 2500 * time.Millisecond // of a buffered body: 1 s at 64 kB a second, in pieces
	platformMinStreamRate     = 48 << 10                // three quarters of 64 kB: measurements are late and early by turns
	platformStreamIdleTimeout = 5 * time.Second         // for which a peer may send nothing, or be behind its rate
	platformStreamDuration    = 10 * time.Minute        // 32 MB at 64 kB a second take 8.5

	// platformBodyMemoryFraction is the divisor of the memory limit that gives the budget for bodies. Two processes share
	// the limit during a hot restart.
	platformBodyMemoryFraction = 8
)

// Operators' connections get one in operatorSocketFraction of the platform's limit on sockets, and minOperatorConnections
// at least.
const (
	operatorSocketFraction = 16
	minOperatorConnections = 8
)

// Service converts the platform's configuration: one listener, one pool, and two routes for each class.
func (c Config) Service() (Service, error) {
	settings := c.Settings.Settings
	settings.CanProbe = false // the platform rules out health checks of endpoints
	rules, targets := platformRoutes(settings.Classes)
	table, err := route.New(rules)
	if err != nil {
		return Service{}, fmt.Errorf("settings: %w", err)
	}
	s := Service{
		Name: c.Name, Limits: c.Limits, Table: table, Targets: targets,
		AdminAddress: c.AdminAddress, OperatorConnections: c.operatorConnections(),
	}
	s.TerminationGrace = terminationGrace(c.Settings.LongestClientWait)
	s.DrainTimeout = s.TerminationGrace - cutOffNotice
	s.BodyMemory = c.Limits.MemoryMB << 20 / platformBodyMemoryFraction
	connections := s.ConnectionsWithin(c.Limits.Sockets)
	listener, pool := c.platformListener(connections), c.platformPool(connections, settings)
	if c.ListenDescriptor > 0 { // other processes may have the same socket
		listener.Descriptor, pool.Source.RequestsFullList, s.SharedDir = c.ListenDescriptor, true, c.SharedDir
	}
	s.Listeners, s.Pools = []Listener{listener}, []PoolSpec{pool}
	return s, nil
}

func (c Config) operatorConnections() int {
	if c.AdminAddress == "" {
		return 0
	}
	return max(c.Limits.Sockets/operatorSocketFraction, minOperatorConnections)
}

func (c Config) platformListener(connections int) Listener {
	l := defaultListener()
	l.Name, l.Address, l.Connections, l.RawTargets = platformName, c.Listen, connections, true
	l.Forwarded, l.RetryAfter = forwardedLeave, retryAfterFraction
	l.HeadTimeout, l.BodyTimeout, l.BodyBytes = platformHeadTimeout, platformBodyTimeout, platformBodyBytes
	l.StreamIdleTimeout, l.MinStreamRate = platformStreamIdleTimeout, platformMinStreamRate
	return l
}

func (c Config) platformPool(connections int, settings balance.Settings) PoolSpec {
	return PoolSpec{
		Name: platformName, Settings: settings, Source: SourceSpec{Agent: c.Discovery, LastUpdate: c.LastUpdate},
		Connections: connections, DialTimeout: c.Settings.DialTimeout, IdleTimeout: c.Settings.ConnIdle,
		StartsAtLastByte: true, AcceptsOnlyOK: true, MaxResponseBytes: platformBodyBytes, StreamPace: body.MinimumRate{IdleTimeout: platformStreamIdleTimeout},
	}
}

// platformRoutes returns the platform's routes and their targets. The first segment of the path, as it arrived, is the
// name of the class.
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
		Name: c.Name, Effect: effectName(c.Idempotency), Methods: []string{"POST"},
		IDHeader: defaultIDHeader, KeyHeader: defaultKeyHeader, TenantHeader: defaultTenantHeader,
		DeadlineHeader: defaultDeadlineHeader, RetryHeader: "Req-Retry",
		IDMissing: missingReject, DeadlineMissing: missingReject, MaxDeadline: maxDeadline, MaxStreamDuration: platformStreamDuration,
	}
	if c.Idempotency == balance.Idempotent {
		class.Methods, class.ForbidsBody = []string{"GET"}, true
	}
	return class
}

// effectName returns the name that an effect has in a file; "" for an unknown one.
func effectName(effect balance.Idempotency) string {
	for name, e := range EffectsByName {
		if e == effect {
			return name
		}
	}
	return ""
}
