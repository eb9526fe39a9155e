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

// pool is a set of endpoints with a decision module, an event loop and connections of its own, so that overload in one
// pool can't delay another.
type pool struct {
	spec     config.PoolSpec
	loop     *eventloop.Loop
	upstream *upstream.Client
	members  *discovery.MemberCache
	log      *slog.Logger

	hasEndpointList           atomic.Bool  // discovery has delivered a list
	listedCount, avoidedCount atomic.Int64 // endpoints, as the module counted them last

	mu         sync.Mutex
	source     discovery.Source
	stopSource func()         // ends the source and waits for it
	stop       func()         // ends the loop and the connections
	goroutines sync.WaitGroup // the loop's and the connections'
	references int            // configurations in whose name requests may still come; guarded by Sidecar.mu
}

// newPool starts a pool. The module gets the list that the configuration knows before any other event.
func newPool(
	decider eventloop.Decider, spec config.PoolSpec, bodyMemory *body.MemoryPool, registry *metrics.Registry, log *slog.Logger,
) *pool {
	p := &pool{spec: spec, log: log, members: discovery.NewMemberCache(endpointset.Options{})}
	settings := spec.Settings
	if settings.Seed == 0 {
		settings.Seed = randomSeed()
	}
	begins := upstream.StartsWithHead
	if spec.StartsAtLastByte {
		begins = upstream.StartsWithLastByte
	}
	p.upstream = upstream.New(upstream.Options{
		IdleTimeout:             spec.IdleTimeout,
		DialTimeout:             spec.DialTimeout,
		MaxConnections:          spec.Connections,
		Spread:                  spec.DialsRatherThanWaits,
		OnlyOK:                  spec.AcceptsOnlyStatusOK,
		RequestStart:            begins,
		Pool:                    bodyMemory,
		MinimumRate:             spec.StreamPace,
		BufferedResponseTimeout: spec.BufferedResponseTimeout,
		MaxResponseBody:         spec.MaxResponseBytes,
		OnRequestSent:           func() { registry.Attempts.Add(1) },
	})
	p.loop = eventloop.New(decider, settings, p.upstream, p.subscribe, log)
	known := spec.Source.LastUpdate
	known.Full = true // a cached list is complete, and so is the first one that the module gets
	p.loop.UpdateEndpoints(p.loop.Now(), known)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.goroutines.Go(func() { p.loop.Run(ctx) })
	p.goroutines.Go(func() { p.upstream.Run(ctx) })
	p.startSource(spec.Source)
	return p
}

// randomSeed returns a seed that is not zero.
func randomSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never returns an error
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// subscribe requests watch events from the source. The module's first request comes before there is a source;
// startSource repeats it.
func (p *pool) subscribe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.source != nil {
		p.source.Subscribe()
	}
}

// updateEndpoints passes a list to the module ahead of the queued events: a draining endpoint must not get the requests
// that are queued before the list. Once the loop has ended there is nobody to pass it to.
func (p *pool) updateEndpoints(list discovery.ListUpdate) {
	_ = p.loop.Do(context.Background(), func(now time.Duration) {
		p.loop.UpdateEndpoints(now, list)
		p.hasEndpointList.Store(true)
	})
}

// discoveryFailed tells the module that the source can't be reached. Once the loop has ended there is nobody to tell.
func (p *pool) discoveryFailed() { _ = p.loop.Do(context.Background(), p.loop.DiscoveryFailed) }

// startSource starts a source of endpoints in place of the one that runs. The present list holds until the new source
// delivers one.
func (p *pool) startSource(spec config.SourceSpec) {
	if p.stopSource != nil {
		p.stopSource()
	}
	p.members.SetOptions(endpointset.Options{HoldLastGood: spec.HoldLastGood, FlapDamping: spec.FlapDamping})
	source := p.newSource(spec)
	if p.spec.Settings.MustSubscribe { // the module subscribed at its start, when there was no source
		source.Subscribe()
	}
	if polled, ok := source.(*discovery.PollingSource); ok && spec.DNS == nil { // a list on this machine is there at once
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

func (p *pool) newSource(spec config.SourceSpec) discovery.Source {
	switch {
	case spec.Agent != "":
		version := spec.LastUpdate.Version
		if spec.RequestsFullList {
			version = nil
		}
		agent := discovery.NewAgentClient(spec.Agent, version, p.spec.Settings.MustSubscribe, p.log)
		agent.OnUpdate, agent.OnWatchEnd = p.updateEndpoints, p.discoveryFailed
		return agent
	case spec.File != "":
		return discovery.NewFileSource(spec.File, p.members, p.updateEndpoints, p.discoveryFailed, p.log)
	case spec.DNS != nil:
		return discovery.NewDNSSource(discovery.DNSOptions{
			Name:   spec.DNS.Name,
			UseSRV: spec.DNS.Type == "srv",
			Port:   spec.DNS.Port,
			Server: spec.DNS.Server,
			MinTTL: spec.DNS.MinTTL,
			MaxTTL: spec.DNS.MaxTTL,
		}, p.members, p.updateEndpoints, p.discoveryFailed, p.log)
	}
	return discovery.NewStaticSource(config.StaticMembers(spec.Members), p.members, p.updateEndpoints, p.discoveryFailed, p.log)
}

// canServe tells whether the pool can go on under another configuration: only its source may differ.
func (p *pool) canServe(spec config.PoolSpec) bool {
	current := p.spec
	current.Source, spec.Source = config.SourceSpec{}, config.SourceSpec{}
	return reflect.DeepEqual(current, spec)
}

// updateSource changes where the pool's endpoints come from. If only an agent's address changes, the watch that runs
// migrates to it.
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

// close stops the pool and returns when nothing of it runs but attempts that are being cancelled.
func (p *pool) close() {
	p.stopSource()
	p.stop()
	p.goroutines.Wait()
}
