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

// pool is a set of members with a decision module, a loop and connections of its own, so that a jam in one can't delay
// another.
type pool struct {
	spec     config.PoolSpec
	loop     *eventloop.Loop
	upstream *upstream.Client
	members  *discovery.MemberCache
	log      *slog.Logger

	hasEndpointList           atomic.Bool  // discovery has said something
	listedCount, avoidedCount atomic.Int64 // members, as the module told them last

	mu         sync.Mutex
	source     discovery.Source
	stopSource func()         // ends the source and waits for it
	stop       func()         // ends the rest
	goroutines sync.WaitGroup // the loop's and the connections' goroutines
	references int            // configurations in whose name requests may still come; guarded by Sidecar.mu
}

// newPool starts a pool. The module hears its first list before anything else.
func newPool(decide eventloop.Decider, spec config.PoolSpec, bodies *body.Pool, figures *metrics.Registry, log *slog.Logger) *pool {
	p := &pool{spec: spec, log: log, members: discovery.NewMemberCache(endpointset.Options{})}
	settings := spec.Settings
	if settings.Seed == 0 {
		settings.Seed = drawSeed()
	}
	begins := upstream.WithHead
	if spec.LastByte {
		begins = upstream.WithLastByte
	}
	p.upstream = upstream.New(upstream.Options{Idle: spec.Idle, Dial: spec.Dial, Most: spec.Connections, Spread: spec.Spread, OnlyOK: spec.OnlyOK,
		Begins: begins, Pool: bodies, Pace: spec.Flow, Whole: spec.Whole, Answer: spec.AnswerBytes, Sent: func() { figures.Tries.Add(1) }})
	p.loop = eventloop.New(decide, settings, p.upstream, p.subscribe, log)
	known := spec.Source.Known
	known.Full = true // the list as it was last had, and the first that the module hears
	p.loop.UpdateEndpoints(p.loop.Now(), known)
	work, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.goroutines.Go(func() { p.loop.Run(work) })
	p.goroutines.Go(func() { p.upstream.Run(work) })
	p.startSource(spec.Source)
	return p
}

func drawSeed() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.LittleEndian.Uint64(b[:]) | 1
}

// subscribe asks the source. The module's first ask comes before there is one; follow sees to it.
func (p *pool) subscribe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.source != nil {
		p.source.Subscribe()
	}
}

// updateEndpoints hands on a list past the events that wait: who drains must not get more of what stands before it.
func (p *pool) updateEndpoints(m discovery.ListUpdate) {
	_ = p.loop.Do(context.Background(), func(now time.Duration) { p.loop.UpdateEndpoints(now, m); p.hasEndpointList.Store(true) }) // else the loop has ended
}

func (p *pool) discoveryFailed() { _ = p.loop.Do(context.Background(), p.loop.DiscoveryFailed) }

// startSource starts the source of members that the pool is told, in place of the one it has. The list stands until the new
// one says otherwise.
func (p *pool) startSource(s config.SourceSpec) {
	if p.stopSource != nil {
		p.stopSource()
	}
	p.members.SetOptions(endpointset.Options{Hold: s.Hold, Damp: s.Damp})
	source := p.newSource(s)
	if p.spec.Settings.MustSubscribe { // the module asked at its start, when there was nobody to ask
		source.Subscribe()
	}
	if polled, ok := source.(*discovery.PollingSource); ok && s.DNS == nil { // what lies on this machine is known at once
		polled.PollOnce(context.Background())
	}
	here, leave := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		source.Run(here)
	}()
	p.stopSource = func() { leave(); <-ended }
	p.mu.Lock()
	defer p.mu.Unlock()
	p.source = source
}

func (p *pool) newSource(s config.SourceSpec) discovery.Source {
	switch {
	case s.Agent != "":
		version := s.Known.Version
		if s.Anew {
			version = nil
		}
		d := discovery.NewAgentClient(s.Agent, version, p.spec.Settings.MustSubscribe, p.log)
		d.Deliver, d.Failed = p.updateEndpoints, p.discoveryFailed
		return d
	case s.File != "":
		return discovery.FileSource(s.File, p.members, p.updateEndpoints, p.discoveryFailed, p.log)
	case s.DNS != nil:
		return discovery.DNSSource(discovery.DNSOptions{Name: s.DNS.Name, Service: s.DNS.Type == "srv", Port: s.DNS.Port, Server: s.DNS.Server,
			MinTTL: s.DNS.TTLLeast, MaxTTL: s.DNS.TTLMost}, p.members, p.updateEndpoints, p.discoveryFailed, p.log)
	}
	return discovery.StaticSource(config.StaticMembers(s.Members), p.members, p.updateEndpoints, p.discoveryFailed, p.log)
}

// canServe tells whether a pool as told now can go on as the one that there is: then only its members may differ.
func (p *pool) canServe(spec config.PoolSpec) bool {
	was := p.spec
	was.Source, spec.Source = config.SourceSpec{}, config.SourceSpec{}
	return reflect.DeepEqual(was, spec)
}

// updateSource takes up another source of members, or another list. An agent that moves is followed by the watch there is.
func (p *pool) updateSource(s config.SourceSpec) {
	was := p.spec.Source
	p.spec.Source = s
	s.Known, was.Known = discovery.ListUpdate{}, discovery.ListUpdate{}
	if reflect.DeepEqual(was, s) {
		return
	}
	if agent, ok := p.source.(*discovery.AgentClient); ok && s.Agent != "" {
		agent.SwitchAgent(s.Agent)
		return
	}
	p.startSource(s)
}

// close stops the pool and returns when nothing of it runs any more but attempts that are being called off.
func (p *pool) close() {
	p.stopSource()
	p.stop()
	p.goroutines.Wait()
}
