package sidecar

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"tuliprock/internal/body"
	"tuliprock/internal/config"
	"tuliprock/internal/discovery"
	"tuliprock/internal/endpointset"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/metrics"
	"tuliprock/internal/upstream"
)

// pool is a set of endpoints with a balancer, an event loop and connections of its own, so that overload in one pool can't
// delay another.
type pool struct {
	spec     config.PoolSpec
	loop     *eventloop.Loop
	upstream *upstream.Client
	members  *discovery.MemberCache // endpoint list, and how often each endpoint has disappeared from it; both outlive the discovery source
	log      *slog.Logger

	hasEndpointList           atomic.Bool  // whether discovery has delivered an endpoint list
	listedCount, avoidedCount atomic.Int64 // numbers of listed endpoints, and of endpoints that the balancer avoids as ejected, at the last count

	mu         sync.Mutex       // guards source, which subscribe reads on the goroutine of the event loop
	source     discovery.Source // running discovery source; nil while the pool is starting
	stopSource func()           // stops the discovery source and waits until it has ended
	stop       func()           // stops the event loop and the connections to endpoints
	goroutines sync.WaitGroup   // goroutines of the event loop and of the connections to endpoints
	references int              // number of configurations that may still send requests to this pool; guarded by Sidecar.mu
}

// newPool starts a pool. Before any other event the balancer gets the last endpoint list that the discovery agent sent
// before this process started, which the configuration holds; the list is empty if there was none.
func newPool(
	newBalancer eventloop.BalancerFactory, spec config.PoolSpec, bodyMemory, responseMemory *body.MemoryPool, idClaims eventloop.IDClaims,
	registry *metrics.Registry, log *slog.Logger,
) *pool {
	p := &pool{spec: spec, log: log, members: discovery.NewMemberCache(endpointset.Options{})}
	settings := spec.Settings
	if settings.Seed == 0 {
		settings.Seed = randomSeed()
	}
	requestStart := upstream.StartsWithHead
	if spec.StartsAtLastByte {
		requestStart = upstream.StartsWithLastByte
	}
	p.upstream = upstream.New(upstream.Options{
		IdleTimeout:             spec.IdleTimeout,
		DialTimeout:             spec.DialTimeout,
		MaxConnections:          spec.MaxConnections,
		DialInsteadOfWaiting:    spec.DialsRatherThanWaits,
		AcceptOnlyStatusOK:      spec.AcceptsOnlyStatusOK,
		RequestStart:            requestStart,
		BodyMemory:              bodyMemory,
		ResponseMemory:          responseMemory,
		MinimumRate:             spec.MinStreamRate,
		BufferedResponseTimeout: spec.BufferedResponseTimeout,
		MaxResponseBody:         spec.MaxResponseBytes,
		OnRequestSent:           func() { registry.Attempts.Add(1) },
	})
	p.loop = eventloop.New(newBalancer, settings, p.upstream, p.subscribe, log)
	p.loop.SetIDClaims(idClaims, spec.Name)
	cached := spec.Source.LastUpdate
	cached.Full = true // a cached list names all endpoints, and the first update for the balancer must be a full one
	p.loop.UpdateEndpoints(p.loop.Now(), cached)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.goroutines.Go(func() { p.loop.Run(ctx) })
	p.goroutines.Go(func() { p.upstream.Run(ctx) })
	p.startSource(spec.Source)
	return p
}

// randomSeed returns a seed for a balancer: a random number that is not 0.
func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // crypto/rand.Read never returns an error
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// subscribe asks the discovery source to watch the endpoint list, or to poll it at once. The balancer's first request for
// this comes before there is a source and has no effect; startSource repeats it.
func (p *pool) subscribe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.source != nil {
		p.source.Subscribe()
	}
}

// updateEndpoints passes an endpoint list to the balancer ahead of the queued events: an endpoint that the list names as
// draining must not get the requests that were queued before the list. After the event loop has ended the call does
// nothing.
func (p *pool) updateEndpoints(list discovery.ListUpdate) {
	_ = p.loop.Do(context.Background(), func(now time.Duration) {
		p.loop.UpdateEndpoints(now, list)
		p.hasEndpointList.Store(true)
	})
}

// reportDiscoveryFailure notifies the balancer that the discovery source can't be reached. After the event loop has ended
// the call does nothing.
func (p *pool) reportDiscoveryFailure() { _ = p.loop.Do(context.Background(), p.loop.DiscoveryFailed) }

// startSource replaces the running discovery source. The current endpoint list stays in use until the new source delivers
// one.
func (p *pool) startSource(spec config.SourceSpec) {
	if p.stopSource != nil {
		p.stopSource()
	}
	p.members.SetOptions(endpointset.Options{HoldLastGood: spec.HoldLastGood, FlapDamping: spec.FlapDamping})
	source := p.newSource(spec)
	if p.spec.Settings.MustSubscribe { // the balancer requested a watch at its start, before there was a source
		source.Subscribe()
	}
	// A list in a file or in the configuration can be read at once.
	if polled, ok := source.(*discovery.PollingSource); ok && spec.DNS == nil {
		polled.PollOnce(context.Background())
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		source.Run(ctx)
	}()
	p.stopSource = func() { cancel(); <-ended }
	p.mu.Lock()
	defer p.mu.Unlock()
	p.source = source
}

// newSource creates the discovery source that a configuration names. If it names neither an agent, a file nor DNS, the
// source delivers the members that the configuration lists.
func (p *pool) newSource(spec config.SourceSpec) discovery.Source {
	switch {
	case spec.Agent != "":
		version := spec.LastUpdate.Version
		if spec.RequestsFullList {
			version = nil
		}
		agent := discovery.NewAgentClient(spec.Agent, version, p.spec.Settings.MustSubscribe, p.log)
		agent.OnUpdate, agent.OnWatchEnd = p.updateEndpoints, p.reportDiscoveryFailure
		return agent
	case spec.File != "":
		return discovery.NewFileSource(spec.File, p.members, p.updateEndpoints, p.reportDiscoveryFailure, p.log)
	case spec.DNS != nil:
		return discovery.NewDNSSource(discovery.DNSOptions{
			Name:    spec.DNS.Name,
			UsesSRV: spec.DNS.Type == "srv",
			Port:    spec.DNS.Port,
			Server:  spec.DNS.Server,
			MinTTL:  spec.DNS.MinTTL,
			MaxTTL:  spec.DNS.MaxTTL,
		}, p.members, p.updateEndpoints, p.reportDiscoveryFailure, p.log)
	}
	return discovery.NewStaticSource(config.EndpointsetMembers(spec.Members), p.members, p.updateEndpoints, p.reportDiscoveryFailure, p.log)
}

// canServe reports whether the pool can be reused under another configuration: only its discovery source may differ.
func (p *pool) canServe(spec config.PoolSpec) bool {
	current := p.spec
	current.Source, spec.Source = config.SourceSpec{}, config.SourceSpec{}
	return reflect.DeepEqual(current, spec)
}

// updateSource changes the pool's discovery source. If only the discovery agent's address changes, the running watch
// migrates to the new address.
func (p *pool) updateSource(spec config.SourceSpec) {
	current := p.spec.Source
	p.spec.Source = spec
	spec.LastUpdate, current.LastUpdate = discovery.ListUpdate{}, discovery.ListUpdate{}
	if reflect.DeepEqual(current, spec) {
		return
	}
	if agent, ok := p.source.(*discovery.AgentClient); ok && spec.Agent != "" {
		agent.SwitchAgent(spec.Agent)
		return
	}
	p.startSource(spec)
}

// close stops the pool. When it returns, no goroutine of the pool runs except those of attempts that are being cancelled.
func (p *pool) close() {
	p.stopSource()
	p.stop()
	p.goroutines.Wait()
}
