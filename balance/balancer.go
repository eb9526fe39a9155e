package balance

// The Balancer's state, its events and the path of a request. The interface is in api.go; each mechanism has
// its own file. The design is the round-robin (RR) policy of Cicconetti, Conti and Passarella,
// "A Decentralized Framework for Serverless Edge Computing in the Internet of Things": a latency smoothed per
// endpoint (its weight), endpoints within twice the best kept active, and the lowest deficit picked. Here a
// weight is a stretch: latency over the baseline latency of the request's class, so 1 without load.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// logInterval is the least time between two log lines of one kind, so that overload does not flood the log.
const logInterval = 10 * time.Second

// Balancer implements Events. New makes one. Its owner calls it from one goroutine at a time.
type Balancer struct {
	settings Settings
	host     Host
	rng      *rand.Rand

	startedAt       time.Duration
	wakeupAt        time.Duration // earliest timer asked for; 0: none
	classes         map[string]*class
	tenants         map[string]*tenant
	kinds           map[string]*kind
	endpointByID    map[string]*endpoint
	endpoints       []*endpoint     // in the order in which they were first listed
	availableCount  int             // endpoints that may be used
	manuallyEjected map[string]bool // IDs, listed or not

	subset               []*endpoint // the endpoints that this balancer uses
	subsetSizeByRate     float64     // by the rate of requests
	pickSample           []*endpoint // of a large subset: the candidates of the latest pick
	recentlyUsed         []*endpoint // of a large subset: the endpoints used last
	cachedSmallestWeight float64     // of a large subset: the smallest active weight
	cachedWeightUses     int         // how often cachedSmallestWeight may still be used

	requests   map[string]*request // without a final answer, or with an attempt in flight
	unfinished []*request          // without a final answer
	queue      []*request          // in order of arrival

	resubscribeAt      time.Duration // 0: not due
	resubscribeBackoff time.Duration

	inFlight         int     // attempts that wait for an endpoint
	concurrencyLimit float64 // bound of inFlight
	recentStretch    float64 // smoothed stretch of responses
	limitUpdatedAt   time.Duration
	nextReductionAt  time.Duration // of the concurrency limit, at the earliest

	pacedRoundSeconds    float64 // at the latest change of the subset
	retryBudget          float64 // retries saved up
	errorRate            float64 // fraction of recent results that are errors
	meanReportedLoad     float64 // over recent load reports
	meanLatencyObjective float64 // over the classes, in seconds
	totalQuota           float64 // of all tenants, requests per second of this balancer

	requestCounter  decayingCounter // requests
	admittedCounter decayingCounter // of them, those sent and those that no endpoint was available for
	lastLoggedAt    map[string]time.Duration
}

var _ Events = (*Balancer)(nil)

// New returns a Balancer that knows nothing but its settings. If they say MustSubscribe, it calls
// h.Subscribe.
func New(now time.Duration, s Settings, h Host) *Balancer {
	b := &Balancer{
		settings: s, host: h, rng: rand.New(rand.NewPCG(s.Seed, 1)),
		startedAt:      now,
		requestCounter: decayingCounter{updatedAt: now}, admittedCounter: decayingCounter{updatedAt: now},
		retryBudget: maxRetryBudget / 2, recentStretch: 1,
		classes: map[string]*class{}, tenants: map[string]*tenant{}, kinds: map[string]*kind{},
		endpointByID: map[string]*endpoint{}, requests: map[string]*request{},
		lastLoggedAt: map[string]time.Duration{}, manuallyEjected: map[string]bool{},
	}
	for _, c := range s.Classes {
		b.classes[c.Name] = &class{Class: c}
		b.meanLatencyObjective += c.LatencyObjective.Seconds() / float64(len(s.Classes))
	}
	for _, t := range s.Tenants {
		quota := t.Quota / float64(max(s.Balancers, 1))
		b.totalQuota += quota
		b.tenants[t.Name] = &tenant{Tenant: t, tokens: quota, refilledAt: now}
	}
	if s.MustSubscribe {
		h.Subscribe()
	}
	return b
}

// EndpointList implements Events. From this event on an endpoint that is draining or gone gets no attempt.
func (b *Balancer) EndpointList(now time.Duration, l EndpointUpdate) {
	if l.Failed { // resubscribe with jitter, so that balancers do not do it at once, and in time
		if b.settings.MustSubscribe {
			longest := max(b.settings.SubscribeWithin/2, minBackoff)
			b.resubscribeBackoff = min(max(2*b.resubscribeBackoff, minBackoff), longest)
			b.resubscribeAt = now + b.jitter(b.resubscribeBackoff)
			b.wakeAt(b.resubscribeAt)
		}
		return
	}
	b.resubscribeBackoff, b.resubscribeAt = 0, 0
	isFirst, availableBefore := len(b.endpoints) == 0, b.availableCount
	for _, ep := range b.mergeList(l) {
		b.resetEndpoint(now, ep, isFirst)
	}
	if isFirst {
		b.concurrencyLimit, availableBefore = initialLimitPerEndpoint*b.endpointsPerBalancer(), 0
	}
	b.availabilityChanged(now, availableBefore)
}

// availabilityChanged adapts subset, concurrency limit and queue to a change of the available endpoints.
func (b *Balancer) availabilityChanged(now time.Duration, availableBefore int) {
	b.rebuildSubset(now)
	if availableBefore > 0 && b.availableCount > 0 { // the load of many must not go to the few that remain
		b.concurrencyLimit *= float64(b.availableCount) / float64(availableBefore)
	}
	b.sendQueued(now)
	if b.allManuallyEjected() { // only operators can change this, and that takes longer than requests wait
		for _, req := range slices.Clone(b.queue) {
			b.rejectOrFail(now, req)
		}
		b.queue = b.queue[:0]
	}
}

// SetEjected implements Events. Attempts in flight at an endpoint that is ejected run to their end.
func (b *Balancer) SetEjected(now time.Duration, id string, out bool) {
	if b.manuallyEjected[id] == out {
		return
	}
	if out {
		b.manuallyEjected[id] = true
	} else {
		delete(b.manuallyEjected, id)
	}
	ep, availableBefore := b.endpointByID[id], b.availableCount
	if ep == nil {
		return
	}
	if ep.manuallyEjected = out; !out {
		ep.incarnation++
		ep.restoredAt, ep.Started, ep.trialInFlight = now, now, false
		ep.errorRate, ep.reportedLoad, ep.reportedLoadAt = 0, 0, 0
		b.resetEndpoint(now, ep, false)
	}
	b.countAvailable()
	b.availabilityChanged(now, availableBefore)
}

// Request implements Events: it rejects the request, sends it, or queues it until an endpoint has capacity.
func (b *Balancer) Request(now time.Duration, r Request) {
	c := b.classes[r.Class]
	if c == nil { // not in the settings: never retried, and not stored, because such names have no bound
		c = &class{Class: Class{Idempotency: NonIdempotent, LatencyObjective: max(r.Deadline-now, 0)}}
	}
	b.countRequest(now)
	req := &request{Request: r, class: c, arrivedAt: now, unfinishedIndex: len(b.unfinished)}
	b.setDeadline(req, r.Deadline)
	b.requests[r.ID], b.unfinished = req, append(b.unfinished, req)
	b.retryBudget = min(b.retryBudget+retryBudgetRatio, maxRetryBudget)
	if b.shouldShed(now, req) {
		b.rejectOrFail(now, req)
		return
	}
	if !b.settings.CanProbe || !b.probeCandidates(now, req) {
		b.dispatch(now, req)
	}
	b.wakeAt(b.nextCheckAt(req))
}

// dispatch sends a request to the endpoint picked, or queues it. Retries may exceed the concurrency limit.
func (b *Balancer) dispatch(now time.Duration, req *request) {
	isRetry := len(req.attempts) > 0
	if isRetry || len(b.queue) == 0 || req.isQueued {
		var ep *endpoint
		if isRetry || float64(b.inFlight) < b.concurrencyLimit {
			ep = b.pickFromSubset(now, req)
		} else {
			ep = b.pickBelowFairUsage(now, req)
		}
		if ep == nil && isRetry { // the endpoints that know its idempotency key may be outside the subset
			ep = b.pick(now, req, b.endpoints)
		}
		if ep != nil {
			b.send(now, req, ep)
			return
		}
	}
	if !req.isQueued {
		req.isQueued, b.queue = true, append(b.queue, req)
	}
	b.wakeAt(b.nextCheckAt(req))
	for _, ep := range b.endpoints {
		if ep.slowStartNextAt > now {
			b.wakeAt(ep.slowStartNextAt)
		}
	}
}

// sendQueued dispatches queued requests, oldest first, until one that is no retry finds no capacity.
func (b *Balancer) sendQueued(now time.Duration) {
	isFull := false
	for _, req := range b.queue {
		if req.isQueued && (!isFull || len(req.attempts) > 0) {
			b.dispatch(now, req)
			isFull = isFull || req.isQueued && len(req.attempts) == 0
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(req *request) bool { return !req.isQueued })
}

// send charges the endpoint and hands the attempt to the host.
func (b *Balancer) send(now time.Duration, req *request, ep *endpoint) {
	if b.capacityFraction(now, ep) < 1 {
		ep.slowStartNextAt = now + b.slowStartInterval(now, ep)
	}
	if ep.active {
		b.chargeDeficit(now, req, ep)
	}
	b.recordRecentUse(ep)
	if len(req.attempts) == 0 {
		b.admittedCounter.add(now)
	}
	att := attempt{endpoint: ep, incarnation: ep.incarnation, sentAt: now, waitingSince: now, inFlight: true,
		isTrial: !ep.active, bodyStreaming: req.StreamUntil > 0, overdueAt: b.overdueInstant(now, req, ep)}
	ep.trialInFlight = att.isTrial
	b.countInFlight(&att, 1)
	req.attempts, req.isQueued, req.pendingProbes = append(req.attempts, att), false, nil
	b.wakeAt(att.overdueAt)
	b.host.Send(req.ID, ep.ID, max(req.Deadline-now, req.StreamUntil-now, time.Microsecond))
}

// Outcome implements Events: it learns from the end of an attempt and decides whether to retry.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	req := b.requests[o.ID]
	att := req.inFlightAttempt(o.Attempt)
	if att == nil {
		return
	}
	att.inFlight, att.mayHaveRun = false, o.Result.MayHaveRun()
	b.countInFlight(att, -1)
	req.bodyConsumed = req.bodyConsumed || o.BodyConsumed
	if !att.responseStreaming {
		if req.StreamUntil > 0 { // the client determines how long a streaming body takes, not the endpoint
			o.Latency = now - att.waitingSince
		}
		b.recordResult(now, req, att, attributedResult(o), o.Latency)
	}
	switch {
	case req.isFinished || o.IsFinal || o.Result == OK:
		b.removeRequest(req)
	case req.isQueued:
	case b.canRetry(now, req) && slices.ContainsFunc(b.endpoints, func(ep *endpoint) bool {
		return ep.isAvailable() && b.isSafeToSend(now, req, ep)
	}):
		if o.Result != ConnectFailed { // which cost the endpoints nothing
			b.retryBudget--
		}
		b.dispatch(now, req)
	default:
		b.rejectOrFail(now, req)
	}
	b.sendQueued(now)
}

// processDue does what has fallen due by time alone: subscription, deadlines, lost probes, overdue attempts.
func (b *Balancer) processDue(now time.Duration) {
	if b.resubscribeAt > 0 && now >= b.resubscribeAt {
		b.resubscribeAt = 0
		b.host.Subscribe()
	}
	for _, req := range slices.Clone(b.unfinished) {
		if now >= req.giveUpInstant() || req.isQueued && now >= b.queueDeadline(req) {
			if len(req.attempts) == 0 {
				b.log(now, "full", fmt.Sprintf("no endpoint has room, %d requests wait", len(b.queue)))
			}
			b.rejectOrFail(now, req)
			continue
		}
		if len(req.pendingProbes) > 0 && now >= req.probeDeadline {
			req.pendingProbes = nil
			b.dispatch(now, req)
		}
		for i := range req.attempts {
			if req.attempts[i].inFlight && now >= req.attempts[i].overdueAt {
				b.handleOverdue(now, req, i)
			}
		}
	}
	b.sendQueued(now)
}

// SetBalancerCount implements Events. A change grants no tenant a burst: saved tokens shrink with this
// balancer's part of the quota, and grow only at the new rate.
func (b *Balancer) SetBalancerCount(now time.Duration, balancers, index int) {
	before, after := float64(max(b.settings.Balancers, 1)), float64(max(balancers, 1))
	if before == after && b.settings.Index == index {
		return
	}
	b.settings.Balancers, b.settings.Index = balancers, index
	b.totalQuota *= before / after
	for _, t := range b.tenants {
		t.tokens = (t.tokens + t.Quota/before*(now-t.refilledAt).Seconds()) * min(before/after, 1)
		t.refilledAt = now
	}
	b.rebuildSubset(now)
}

// log writes a line, at most one of a kind per logInterval.
func (b *Balancer) log(now time.Duration, kind, text string) {
	if at, ok := b.lastLoggedAt[kind]; !ok || now-at >= logInterval {
		b.lastLoggedAt[kind] = now
		b.host.Log(kind + ": " + text)
	}
}
