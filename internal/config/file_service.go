package config

import (
	"slices"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/body"
)

// fileMaxOperatorConnections is the maximum number of operators' connections. The number is
// fixed, since an operators' file sets no limit on file descriptors from which the number could be computed.
const fileMaxOperatorConnections = 32

// maxTimerDelay is the longest delay with which events and timers are expected to arrive at the balancer. On an ordinary machine that is
// busy, timers are late by up to this time.
const maxTimerDelay = 5 * time.Millisecond

// Service converts the file to a Service, which shares the file's slices and classes.
func (f *File) Service() Service {
	s := Service{
		Name: f.Daemon.Name, File: f, Listeners: f.Listener, Table: f.table, Cluster: f.clusterSpec(),
		AdminAddress: f.Daemon.AdminAddr, MaxOperatorConnections: f.maxOperatorConnections(),
		Limits:                   Limits{Cores: f.Daemon.Cores, MemoryMB: f.Daemon.MemoryMB},
		RejectsWhenIndeterminate: f.Shared.OnIndeterminate == rejectRequests,
		BodyMemoryBytes:          f.Daemon.BodyMemoryMB << 20, DrainTimeout: f.Daemon.DrainTimeout, TerminationGrace: terminationGrace(0),
	}
	classes := map[string]*Class{}
	for i := range f.Class {
		classes[f.Class[i].Name] = &f.Class[i]
	}
	classesByPool := map[string][]string{}
	for _, r := range f.Route {
		s.Targets = append(s.Targets, Target{Pool: r.Pool, Tenant: r.Tenant, Class: classes[r.Class], PathPrefix: r.PathPrefix,
			ReplacePrefix: r.ReplacePrefix, SetHeaders: r.SetHeader, RemoveHeaders: r.RemoveHeaders})
		if !slices.Contains(classesByPool[r.Pool], r.Class) {
			classesByPool[r.Pool] = append(classesByPool[r.Pool], r.Class)
		}
	}
	for i := range f.Pool {
		s.Pools = append(s.Pools, f.poolSpec(&f.Pool[i], classesByPool[f.Pool[i].Name]))
	}
	return s
}

// maxOperatorConnections returns the maximum number of operators' connections, or 0 if the file has no admin_addr to connect to.
func (f *File) maxOperatorConnections() int {
	if f.Daemon.AdminAddr == "" {
		return 0
	}
	return fileMaxOperatorConnections
}

// poolSpec converts a pool to a PoolSpec. classes are the names of the classes whose requests are routed to the pool.
func (f *File) poolSpec(p *Pool, classes []string) PoolSpec {
	return PoolSpec{
		Name: p.Name, Settings: f.balanceSettings(p, classes), Source: f.sourceSpec(p),
		MaxConnections: p.MaxConnections, DialTimeout: p.DialTimeout, IdleTimeout: p.IdleTimeout, DialsRatherThanWaits: true,
		StartsAtLastByte: p.StartAt == startAtLastByte, MaxResponseBytes: p.MaxResponseBytes,
		MinStreamRate: body.MinimumRate{IdleTimeout: p.StreamIdleTimeout, BytesPerSecond: p.MinStreamRate}, BufferedResponseTimeout: p.StreamIdleTimeout,
	}
}

// balanceSettings returns the settings of a pool's balancer. classes are the names of the classes whose requests are routed to the pool.
func (f *File) balanceSettings(p *Pool, classes []string) balance.Settings {
	settings := balance.Settings{
		Seed: f.Daemon.Seed, BalancerCount: f.Daemon.DaemonCount, BalancerIndex: f.Daemon.Index, Tier: p.Tier, TiersBelow: p.TiersBelow,
		MaxAttempts: p.MaxAttempts, CanCancel: true, MaxRetryAfter: p.MaxRetryAfter, TimerResolution: maxTimerDelay,
		SlowStartCapacity: p.SlowStartCapacity, SlowStartDuration: p.SlowStartDuration,
	}
	for _, c := range f.Class {
		if slices.Contains(classes, c.Name) {
			settings.Classes = append(settings.Classes, balance.Class{Name: c.Name, Idempotency: IdempotencyByName[c.Idempotency],
				DedupScope: dedupScopes[c.DedupScope], DedupWindow: c.DedupWindow, LatencyObjective: c.LatencyObjective})
		}
	}
	for _, t := range f.Tenant {
		settings.Tenants = append(settings.Tenants, balance.Tenant{Name: t.Name, Quota: t.Quota})
	}
	return settings
}

// sourceSpec returns where a pool's endpoints come from.
func (f *File) sourceSpec(p *Pool) SourceSpec {
	if p.MembersSource == membersAgreedByCluster { // consensus has confirmed the list, so HoldLastGood and FlapDamping do not apply
		return SourceSpec{Members: f.agreedMembers[p.Name]}
	}
	return SourceSpec{Agent: p.Agent, Members: p.Member, File: p.File, DNS: p.DNS, HoldLastGood: p.HoldLastGood, FlapDamping: p.FlapDamping}
}
