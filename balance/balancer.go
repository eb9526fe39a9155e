package balance

// This file holds the Balancer's state, its events and the path of a request. The interface is in api.go;
// each mechanism has its own file. The design is the round-robin (RR) policy of Cicconetti, Conti and
// Passarella, "A Decentralized Framework for Serverless Edge Computing in the Internet of Things": each
// endpoint has a weight; endpoints with at most twice the smallest weight are active; a request goes to the
// active endpoint with the lowest deficit, which is the sum of the weights charged for the endpoint's
// requests. In that policy a weight is a smoothed latency. Here it is a smoothed stretch: the latency divided
// by the baseline latency of the request's class, so it is 1 without load.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// logInterval is the least time between two log lines of one kind, so that overload does not flood the log.
const logInterval = 10 * time.Second

// Balancer decides where the requests of one host go. It implements Events; New creates it. Only one
// goroutine at a time may call it.
type Balancer struct {
	settings Settings
	host     Host
	rng      *rand.Rand // source of all random choices, seeded by Settings.Seed

	startedAt       time.Duration        // instant at which New was called and the counting of requests began
	wakeupAt        time.Duration        // instant of the earliest timer set; 0: no timer is set
	classes         map[string]*class    // classes of Settings, by name
	tenants         map[string]*tenant   // tenants of Settings, by name
	kinds           map[string]*kind     // kinds of the endpoints listed so far, by name
	endpointByID    map[string]*endpoint // listed endpoints, by ID
	endpoints       []*endpoint          // listed endpoints, in the order in which they were first listed
	availableCount  int                  // number of listed endpoints that may get new attempts
	manuallyEjected map[string]bool      // IDs of endpoints ejected by operators, listed or not

	subset               []*endpoint // endpoints that this balancer uses
	subsetSizeByRate     float64     // subset size for the request rate; updated once it is off by over 50%
	pickSample           []*endpoint // candidates of the last pick from a subset above fullScanLimit
	recentlyUsed         []*endpoint // last endpoints sent to, oldest first; for subsets above fullScanLimit
	cachedSmallestWeight float64     // smallest weight of the active endpoints, cached if the subset is large
	cachedWeightUses     int         // number of times that cachedSmallestWeight may still be used

	requests   map[string]*request // requests without a final response or with an attempt in flight, by ID
	unfinished []*request          // requests without a final response, in no particular order
	queue      []*request          // requests that wait for an endpoint with capacity, in order of arrival

	resubscribeAt      time.Duration // instant of the next subscription to discovery; 0: none is due
	resubscribeBackoff time.Duration // backoff before the next subscription, jitter excluded; 0: none

	inFlight         int           // attempts that wait for a response and do not stream a body
	concurrencyLimit float64       // limit of inFlight, which retries may exceed
	recentStretch    float64       // smoothed stretch (latency / baseline latency) of all responses
	stretchUpdatedAt time.Duration // instant of the last response that updated recentStretch
	nextReductionAt  time.Duration // instant before which the concurrency limit is not reduced again

	lastSlowStartRoundSeconds float64 // mean time between an endpoint's requests at the last subset rebuild
	retryBudget               float64 // retries that may still be sent, at most maxRetryBudget
	errorRate                 float64 // fraction of error responses among recent results of all endpoints
	meanReportedLoad          float64 // smoothed number of requests in the load reports of all endpoints
	meanLatencyObjective      float64 // mean latency objective of the classes, in seconds
	totalQuota                float64 // this balancer's part of all tenants' quotas, in requests per second

	requestCounter  decayingCounter          // number of all requests, rejected ones included
	admittedCounter decayingCounter          // number of requests sent, or rejected for lack of an endpoint
	lastLoggedAt    map[string]time.Duration // instant of the last log line, by its kind
}

var _ Events = (*Balancer)(nil)

// New returns a Balancer without endpoints. It calls h.Subscribe if the settings say MustSubscribe.
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
		quota := t.Quota / float64(max(s.BalancerCount, 1))
		b.totalQuota += quota
		b.tenants[t.Name] = &tenant{Tenant: t, tokens: quota, refilledAt: now}
	}
	if s.MustSubscribe {
		h.Subscribe()
	}
	return b
}

// EndpointList implements Events. An endpoint that is draining or gone gets no attempt after this event.
func (b *Balancer) EndpointList(now time.Duration, l EndpointUpdate) {
	if l.HasFailed { // subscribe again after a backoff; its jitter keeps balancers from doing so all at once
		if b.settings.MustSubscribe {
			longestBackoff := max(b.settings.MaxSubscribeInterval/2, minBackoff)
			b.resubscribeBackoff = min(max(2*b.resubscribeBackoff, minBackoff), longestBackoff)
			b.resubscribeAt = now + b.jitter(b.resubscribeBackoff)
			b.wakeAt(b.resubscribeAt)
		}
		return
	}
	b.resubscribeBackoff, b.resubscribeAt = 0, 0
	isFirstList, availableBefore := len(b.endpoints) == 0, b.availableCount
	for _, ep := range b.mergeList(l) {
		b.resetEndpoint(now, ep, isFirstList)
	}
	if isFirstList {
		b.concurrencyLimit, availableBefore = initialLimitPerEndpoint*b.endpointShare(), 0
	}
	b.applyAvailabilityChange(now, availableBefore)
}

// applyAvailabilityChange updates the subset, the concurrency limit and the queue after the set of available
// endpoints has changed. availableBefore is the number of available endpoints before the change.
func (b *Balancer) applyAvailabilityChange(now time.Duration, availableBefore int) {
	b.rebuildSubset(now)
	if availableBefore > 0 && b.availableCount > 0 { // the limit must not overload the remaining endpoints
		b.concurrencyLimit *= float64(b.availableCount) / float64(availableBefore)
	}
	b.sendQueued(now)
	if b.allManuallyEjected() { // requests cannot wait as long as operators take to restore an endpoint
		for _, req := range slices.Clone(b.queue) {
			b.rejectOrFail(now, req)
		}
		b.queue = b.queue[:0]
	}
}

// SetEjected implements Events. Attempts in flight at an ejected endpoint are not cancelled.
func (b *Balancer) SetEjected(now time.Duration, id string, ejected bool) {
	if b.manuallyEjected[id] == ejected {
		return
	}
	if ejected {
		b.manuallyEjected[id] = true
	} else {
		delete(b.manuallyEjected, id)
	}
	ep, availableBefore := b.endpointByID[id], b.availableCount
	if ep == nil {
		return
	}
	if ep.manuallyEjected = ejected; !ejected {
		ep.incarnation++
		ep.restoredAt, ep.StartedAt, ep.trialInFlight = now, now, false
		ep.errorRate, ep.reportedLoad, ep.reportedLoadAt = 0, 0, 0
		b.resetEndpoint(now, ep, false)
	}
	b.countAvailable()
	b.applyAvailabilityChange(now, availableBefore)
}

// Request implements Events: it rejects the request, sends it, or queues it until an endpoint has capacity.
func (b *Balancer) Request(now time.Duration, r Request) {
	c := b.classes[r.Class]
	if c == nil { // an unknown class is not stored, since clients can send any number of names
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

// dispatch picks an endpoint and sends the request to it, or queues the request if no endpoint can take it.
// Retries may exceed the concurrency limit.
func (b *Balancer) dispatch(now time.Duration, req *request) {
	isRetry := len(req.attempts) > 0
	if isRetry || len(b.queue) == 0 || req.isQueued {
		var ep *endpoint
		if isRetry || float64(b.inFlight) < b.concurrencyLimit {
			ep = b.pickFromSubset(now, req)
		} else {
			ep = b.pickBelowFairUsage(now, req)
		}
		if ep == nil && isRetry { // search all listed endpoints: one outside the subset may drop duplicates
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

// sendQueued dispatches the queued requests, oldest first. Once no endpoint has capacity for a first attempt,
// it dispatches only retries.
func (b *Balancer) sendQueued(now time.Duration) {
	hasNoCapacity := false
	for _, req := range b.queue {
		if req.isQueued && (!hasNoCapacity || len(req.attempts) > 0) {
			b.dispatch(now, req)
			hasNoCapacity = hasNoCapacity || req.isQueued && len(req.attempts) == 0
		}
	}
	b.queue = slices.DeleteFunc(b.queue, func(req *request) bool { return !req.isQueued })
}

// send charges the request to an active endpoint (see chargeDeficit) and calls Host.Send for the next
// attempt.
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
	att := attempt{endpoint: ep, incarnation: ep.incarnation, zone: ep.Zone, cell: ep.Cell,
		sentAt: now, waitingSince: now, overdueAt: b.overdueInstant(now, req, ep),
		inFlight: true, isTrial: !ep.active, bodyStreaming: req.StreamUntil > 0}
	ep.trialInFlight = att.isTrial
	b.countInFlight(&att, 1)
	req.attempts, req.isQueued, req.pendingProbes = append(req.attempts, att), false, nil
	b.wakeAt(att.overdueAt)
	b.host.Send(req.ID, ep.ID, max(req.Deadline-now, req.StreamUntil-now, time.Microsecond))
}

// Outcome implements Events: it records the result of an attempt and decides whether to retry.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	req := b.requests[o.ID]
	att := req.inFlightAttempt(o.AttemptNumber)
	if att == nil {
		return
	}
	att.inFlight, att.mayHaveRun = false, o.Result.MayHaveRun()
	b.countInFlight(att, -1)
	if o.Result == Reset || o.Result == ConnectFailed {
		att.endpoint.brokenAt = now
	}
	req.bodyConsumed = req.bodyConsumed || o.BodyConsumed
	if !att.responseStreaming {
		if req.StreamUntil > 0 { // the latency excludes the time that the client took to send the body
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
		if o.Result != ConnectFailed { // a failed connect costs no retry budget, as it adds no load
			b.retryBudget--
		}
		b.dispatch(now, req)
	default:
		b.rejectOrFail(now, req)
	}
	b.sendQueued(now)
}

// processDueTasks handles what is due at a timer: the subscription to discovery, requests at their deadline,
// load probes without a response, and overdue attempts.
func (b *Balancer) processDueTasks(now time.Duration) {
	if b.resubscribeAt > 0 && now >= b.resubscribeAt {
		b.resubscribeAt = 0
		b.host.Subscribe()
	}
	for _, req := range slices.Clone(b.unfinished) {
		if now >= req.giveUpInstant() || req.isQueued && now >= b.queueDeadline(req) {
			if len(req.attempts) == 0 {
				text := fmt.Sprintf("no endpoint has capacity, %d requests are queued", len(b.queue))
				b.log(now, "full", text)
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

// SetBalancerCount implements Events. A change gives no tenant a burst: the tokens that a tenant has saved
// shrink if this balancer's part of the quota does, but do not grow with it.
func (b *Balancer) SetBalancerCount(now time.Duration, balancers, index int) {
	oldCount, newCount := float64(max(b.settings.BalancerCount, 1)), float64(max(balancers, 1))
	if oldCount == newCount && b.settings.BalancerIndex == index {
		return
	}
	b.settings.BalancerCount, b.settings.BalancerIndex = balancers, index
	b.totalQuota *= oldCount / newCount
	for _, t := range b.tenants {
		t.tokens = (t.tokens + t.Quota/oldCount*(now-t.refilledAt).Seconds()) * min(oldCount/newCount, 1)
		t.refilledAt = now
	}
	b.rebuildSubset(now)
}

// log writes a line that begins with the given kind, unless a line of this kind was written within the last
// logInterval.
func (b *Balancer) log(now time.Duration, kind, text string) {
	if at, ok := b.lastLoggedAt[kind]; !ok || now-at >= logInterval {
		b.lastLoggedAt[kind] = now
		b.host.Log(kind + ": " + text)
	}
}
