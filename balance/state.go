package balance

// What a Balancer remembers, the measures derived from it, and bookkeeping. No decision is made in this file.

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// logInterval is the least time between two log lines of one kind, so that overload does not flood the log.
const logInterval = 10 * time.Second

// endpoint is what is known of one endpoint.
type endpoint struct {
	Endpoint
	kind *kind

	active         bool          // in the paper's active list
	deficit        float64       // the paper's Δ: what its turns have been charged
	sampleSum      float64       // smoothed sum of its samples, each over the kind's weight
	sampleCount    float64       // samples that sampleSum is worth
	errorRate      float64       // fraction of recent results that are errors
	lastSampleAt   time.Duration // of the latest sample
	lastResponseAt time.Duration // of the latest response

	ejected       bool          // not active because of its latency, silence or a failed trial
	backoff       time.Duration // wait between trials
	nextTrialAt   time.Duration // while not active
	trialInFlight bool          // the single trial request is in flight

	manuallyEjected bool          // by operators
	restoredAt      time.Duration // when operators restored it; 0: never
	incarnation     int           // how often operators restored it

	inFlight        int // attempts that wait for its response
	streamsInFlight int // attempts with a streaming body, in either direction

	slowStartNextAt time.Duration // earliest next attempt, while it is warming up
	wasInSubset     bool          // at the latest change of the subset

	reportedLoad   float64       // of the latest load report
	reportedLoadAt time.Duration // of the latest load report; 0: none
}

// kind pools the samples of the endpoints of one kind.
type kind struct{ weight, sampleCount float64 }

// observe adds the stretch of a response to the weight of the kind.
func (k *kind) observe(stretch float64) {
	k.sampleCount++
	k.weight += (stretch - k.weight) * max(1/(k.sampleCount+2), kindWeightGain)
}

// class is the latency of the requests of one class.
type class struct {
	Class
	sampleCount     float64
	baselineLatency float64 // seconds, without load
	meanLatency     float64 // seconds, recent
	firstResponseAt time.Duration
	lastResponseAt  time.Duration
}

// tenant is the token bucket of a tenant's quota.
type tenant struct {
	Tenant
	tokens     float64 // as of refilledAt
	refilledAt time.Duration
}

// attempt is one Host.Send.
type attempt struct {
	endpoint         *endpoint
	incarnation      int // of the endpoint, when the attempt was sent
	sentAt           time.Duration
	waitingSince     time.Duration // when it began to wait for the endpoint, the streaming body sent
	overdueAt        time.Duration // when it is overdue next
	inFlight         bool          // has no Outcome yet
	mayHaveRun       bool          // has ended, and may have taken effect
	isTrial          bool          // of an endpoint that is not active
	wasOverdue       bool
	isStreaming      bool // its response streams to the client
	hasStreamingBody bool // its body streams, in either direction
}

// request is what is known of one request.
type request struct {
	Request
	class         *class
	arrivedAt     time.Duration
	giveUpAt      time.Duration // last instant at which an answer still reaches the client
	attempts      []attempt
	isAnswered    bool          // has its final answer, or its client has left
	isQueued      bool          // waits in Balancer.queue
	pendingProbes []*endpoint   // endpoints whose load report is awaited
	probeDeadline time.Duration // when it stops waiting for load reports
	liveIndex     int           // its index in Balancer.live
	bodyConsumed  bool          // it cannot be sent again
}

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
	wantedSubsetSize     float64     // by the rate of requests
	pickSample           []*endpoint // of a large subset: the candidates of the latest pick
	recentlyUsed         []*endpoint // of a large subset: the endpoints used last
	cachedSmallestWeight float64     // of a large subset: the smallest active weight
	cachedWeightUses     int         // how often cachedSmallestWeight may still be used

	requests map[string]*request // without a final answer, or with an attempt in flight
	live     []*request          // without a final answer
	queue    []*request          // in order of arrival

	resubscribeAt      time.Duration // 0: not due
	resubscribeBackoff time.Duration

	inFlight         int     // attempts that wait for an endpoint
	concurrencyLimit float64 // bound of inFlight
	recentStretch    float64 // smoothed stretch of responses
	limitUpdatedAt   time.Duration
	nextReductionAt  time.Duration // of the concurrency limit, at the earliest

	slowStartTurnSeconds float64 // at the latest change of the subset
	retryBudget          float64 // retries saved up
	errorRate            float64 // fraction of recent results that are errors
	meanReportedLoad     float64 // over recent load reports
	meanLatencyObjective float64 // over the classes, in seconds
	totalQuota           float64 // of all tenants, requests per second of this balancer

	requestCounter  fadingCounter // requests
	admittedCounter fadingCounter // of them, those sent and those that no endpoint was available for
	lastLoggedAt    map[string]time.Duration
}

var _ Events = (*Balancer)(nil)

// New returns a Balancer that knows nothing but its settings. If they say MustSubscribe, it calls h.Subscribe.
func New(now time.Duration, s Settings, h Host) *Balancer {
	b := &Balancer{
		settings: s, host: h, rng: rand.New(rand.NewPCG(s.Seed, 1)),
		startedAt: now, requestCounter: fadingCounter{at: now}, admittedCounter: fadingCounter{at: now},
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

// Timer implements Events. Timers cannot be cancelled: one before the next wake-up is stale and ignored.
func (b *Balancer) Timer(now time.Duration) {
	if b.wakeupAt != 0 && now >= b.wakeupAt {
		b.wakeupAt = 0
		b.processDue(now)
		if b.resubscribeAt > 0 {
			b.wakeAt(b.resubscribeAt)
		}
		for _, req := range b.live {
			b.wakeAt(b.nextCheckAt(req))
		}
	}
}

// nextCheckAt is when processDue has to check the request next.
func (b *Balancer) nextCheckAt(req *request) time.Duration {
	at := req.giveUpInstant()
	if req.isQueued {
		at = b.queueDeadline(req)
	}
	if len(req.pendingProbes) > 0 {
		at = min(at, req.probeDeadline)
	}
	for i := range req.attempts {
		if req.attempts[i].inFlight {
			at = min(at, req.attempts[i].overdueAt)
		}
	}
	return at
}

// mergeList applies a list to the endpoints and returns those that are new or have restarted.
func (b *Balancer) mergeList(l EndpointUpdate) []*endpoint {
	var started []*endpoint
	if l.Complete {
		for _, ep := range b.endpoints {
			ep.State = Gone
		}
	}
	for _, entry := range l.Endpoints {
		ep := b.endpointByID[entry.ID]
		if ep == nil {
			ep = &endpoint{manuallyEjected: b.manuallyEjected[entry.ID]}
			b.endpointByID[entry.ID], b.endpoints = ep, append(b.endpoints, ep)
		}
		entry.Started = max(entry.Started, ep.restoredAt) // the list may learn late of a restart by operators
		if ep.kind == nil || entry.Started > ep.Started {
			started = append(started, ep)
		}
		ep.Endpoint = entry
		if ep.kind = b.kinds[entry.Kind]; ep.kind == nil {
			ep.kind = &kind{weight: 1}
			b.kinds[entry.Kind] = ep.kind
		}
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(ep *endpoint) bool {
		if ep.State == Gone {
			delete(b.endpointByID, ep.ID)
		}
		return ep.State == Gone
	})
	b.countAvailable()
	return started
}

// countAvailable updates the number of available endpoints.
func (b *Balancer) countAvailable() {
	b.availableCount = 0
	for _, ep := range b.endpoints {
		if ep.isAvailable() {
			b.availableCount++
		}
	}
}

// isAvailable reports whether the endpoint may get new attempts.
func (e *endpoint) isAvailable() bool { return e.State == Ready && !e.manuallyEjected }

// allManuallyEjected reports whether there are ready endpoints and operators have ejected all of them.
func (b *Balancer) allManuallyEjected() bool {
	return b.availableCount == 0 && len(b.manuallyEjected) > 0 &&
		slices.ContainsFunc(b.endpoints, func(ep *endpoint) bool { return ep.State == Ready })
}

// IsKnown implements Events.
func (b *Balancer) IsKnown(id string) bool { return b.manuallyEjected[id] || b.endpointByID[id] != nil }

// EndpointCounts implements Events.
func (b *Balancer) EndpointCounts() (listed, avoided int) {
	for _, ep := range b.endpoints {
		if ep.manuallyEjected || ep.ejected && !ep.active {
			avoided++
		}
	}
	return len(b.endpoints), avoided
}

// activeSummary describes the active endpoints of the subset.
type activeSummary struct {
	count          int
	smallestWeight float64 // 1 if there are none
	lowestDeficit  float64 // 0 if there are none
}

// summarizeActive scans the subset for its active endpoints.
func (b *Balancer) summarizeActive() activeSummary {
	var s activeSummary
	for _, ep := range b.subset {
		if !ep.active || !ep.isAvailable() {
			continue
		}
		if s.count == 0 || ep.weight() < s.smallestWeight {
			s.smallestWeight = ep.weight()
		}
		if s.count == 0 || ep.deficit < s.lowestDeficit {
			s.lowestDeficit = ep.deficit
		}
		s.count++
	}
	if s.count == 0 {
		s.smallestWeight = 1
	}
	return s
}

// SetBalancerCount implements Events. A change grants no tenant a burst: saved tokens shrink with this balancer's part of the
// quota, and grow only at the new rate.
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

// endpointShare is how many endpoints there are per balancer. Behind the first tier it is all of them: balancers are
// many there, and each has little traffic.
func (b *Balancer) endpointShare() float64 {
	n := float64(len(b.endpoints))
	if b.settings.Tier == 0 {
		n /= float64(max(b.settings.Balancers, 1))
	}
	return max(n, 1)
}

// smallestActiveWeight is the smallest weight of an active endpoint. That of a large subset is cached for as many uses
// that the scans cost no more than the picks; an endpoint gets a sample or two in between.
func (b *Balancer) smallestActiveWeight() float64 {
	if len(b.subset) <= fullScanLimit {
		return b.summarizeActive().smallestWeight
	}
	if b.cachedWeightUses <= 0 {
		b.cachedSmallestWeight = b.summarizeActive().smallestWeight
		b.cachedWeightUses = len(b.subset) / pickSampleSize
	}
	b.cachedWeightUses--
	return b.cachedSmallestWeight
}

// pickCandidates returns what the next pick chooses from: the subset, or a new sample of a large one.
func (b *Balancer) pickCandidates() []*endpoint {
	if len(b.subset) <= fullScanLimit {
		return b.subset
	}
	b.pickSample = append(b.pickSample[:0], b.recentlyUsed...)
	for range pickSampleSize {
		b.pickSample = append(b.pickSample, b.subset[b.rng.IntN(len(b.subset))])
	}
	return b.pickSample
}

// lastCandidates returns what the latest pick chose from.
func (b *Balancer) lastCandidates() []*endpoint {
	if len(b.subset) <= fullScanLimit {
		return b.subset
	}
	return b.pickSample
}

// noteUse adds an endpoint of a large subset to those used last.
func (b *Balancer) noteUse(ep *endpoint) {
	if len(b.subset) <= fullScanLimit || slices.Contains(b.recentlyUsed, ep) {
		return
	}
	if len(b.recentlyUsed) == recentEndpointCount {
		b.recentlyUsed = slices.Delete(b.recentlyUsed, 0, 1)
	}
	b.recentlyUsed = append(b.recentlyUsed, ep)
}

// typicalSeconds is the mean baseline latency over the requests of all classes, in seconds; 1 before any response.
func (b *Balancer) typicalSeconds() float64 {
	sum, count := 0.0, 0.0
	for i := range b.settings.Classes {
		c := b.classes[b.settings.Classes[i].Name]
		sum, count = sum+c.baselineLatency*c.sampleCount, count+c.sampleCount
	}
	if sum <= 0 {
		return 1
	}
	return sum / count
}

// inFlightAttempt returns attempt n if it is in flight, else nil. The request may be nil.
func (r *request) inFlightAttempt(n int) *attempt {
	if r == nil || n < 0 || n >= len(r.attempts) || !r.attempts[n].inFlight {
		return nil
	}
	return &r.attempts[n]
}

// BodySent implements Events: the attempt becomes one that waits for its endpoint.
func (b *Balancer) BodySent(now time.Duration, id string, n int, deadline time.Duration) {
	req := b.requests[id]
	if att := req.inFlightAttempt(n); att != nil && att.hasStreamingBody && !att.isStreaming {
		b.countInFlight(att, -1)
		att.hasStreamingBody, att.waitingSince = false, now
		b.countInFlight(att, 1)
		b.setDeadline(req, deadline)
		att.overdueAt = b.overdueInstant(now, req, att.endpoint)
		b.wakeAt(b.nextCheckAt(req))
	}
}

// StreamStarted implements Events: the request is answered, and its response has no time limit any more.
func (b *Balancer) StreamStarted(now time.Duration, id string, n int) {
	req := b.requests[id]
	if att := req.inFlightAttempt(n); att != nil {
		b.recordResult(now, req, att, OK, now-att.waitingSince)
		b.countInFlight(att, -1)
		att.isStreaming, att.hasStreamingBody = true, true
		b.countInFlight(att, 1)
		b.removeRequest(req)
		b.sendQueued(now)
	}
}

// countInFlight adds by to the count that the attempt belongs to. Streaming bodies do not count against the concurrency
// limit, which is for attempts that last about a response time: a few transfers would use it up for as long as they last.
func (b *Balancer) countInFlight(att *attempt, by int) {
	if att.hasStreamingBody {
		att.endpoint.streamsInFlight += by
		return
	}
	att.endpoint.inFlight += by
	b.inFlight += by
}

// setDeadline sets when the request's client stops waiting.
func (b *Balancer) setDeadline(req *request, deadline time.Duration) {
	req.Deadline, req.giveUpAt = deadline, deadline-max(b.settings.TimerResolution, time.Millisecond)
}

// giveUpInstant is when the request is given up: the deadline does not apply while its body still streams in.
func (r *request) giveUpInstant() time.Duration {
	for i := range r.attempts {
		if att := &r.attempts[i]; att.inFlight && att.hasStreamingBody && !att.isStreaming {
			return max(r.StreamUntil, r.giveUpAt)
		}
	}
	return r.giveUpAt
}

// ClientDisconnected implements Events.
func (b *Balancer) ClientDisconnected(now time.Duration, id string) {
	if req := b.requests[id]; req != nil && !req.isAnswered {
		b.removeRequest(req)
		b.sendQueued(now)
	}
}

// removeRequest marks a request as answered, cancels its attempts in flight and forgets it after the last of them.
func (b *Balancer) removeRequest(req *request) {
	if !req.isAnswered {
		req.isAnswered, req.isQueued, req.pendingProbes = true, false, nil
		last := len(b.live) - 1
		b.live[req.liveIndex] = b.live[last]
		b.live[req.liveIndex].liveIndex = req.liveIndex
		b.live[last] = nil
		b.live = b.live[:last]
		for i := range req.attempts {
			if att := &req.attempts[i]; att.inFlight && !att.isStreaming && b.settings.CanCancel {
				b.host.Cancel(req.ID, i)
			}
		}
	}
	if !req.hasAttemptInFlight() {
		delete(b.requests, req.ID)
	}
}

// hasAttemptInFlight reports whether an Outcome is still to come.
func (r *request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.inFlight })
}

// wasSentTo reports whether an attempt went to the endpoint.
func (r *request) wasSentTo(ep *endpoint) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.endpoint == ep })
}

// hasFreshLoadReport reports whether the latest load report may still be used.
func (e *endpoint) hasFreshLoadReport(now time.Duration) bool {
	return e.reportedLoadAt > 0 && now-e.reportedLoadAt <= loadReportLifetime
}

// wakeAt makes sure that processDue runs at the instant given.
func (b *Balancer) wakeAt(at time.Duration) {
	if b.wakeupAt == 0 || at < b.wakeupAt {
		b.wakeupAt = at
		b.host.Timer(at)
	}
}

// jitter varies a duration by a quarter at most, so that balancers that see the same do not act at the same moment.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + 0.5*b.rng.Float64()))
}

// log writes a line, at most one of a kind per logInterval.
func (b *Balancer) log(now time.Duration, kind, text string) {
	if at, ok := b.lastLoggedAt[kind]; !ok || now-at >= logInterval {
		b.lastLoggedAt[kind] = now
		b.host.Log(kind + ": " + text)
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// capacityShare is the least fraction of its full capacity that the endpoint has by now; 1 unless it is warming up.
func (b *Balancer) capacityShare(now time.Duration, ep *endpoint) float64 {
	if ep.Started <= 0 || now-ep.Started >= b.settings.SlowStartDuration {
		return 1
	}
	age := float64(max(now-ep.Started, 0)) / float64(b.settings.SlowStartDuration)
	return max(b.settings.SlowStartCapacity+(1-b.settings.SlowStartCapacity)*age, 0.05)
}

// turnInterval is the time between two attempts of this balancer at one endpoint if all get the same.
func (b *Balancer) turnInterval(now time.Duration) time.Duration {
	return seconds(float64(len(b.subset)) / max(b.requestRate(now), minRequestRate))
}

// requestRate is the recent rate of requests per second.
func (b *Balancer) requestRate(now time.Duration) float64 {
	return b.requestCounter.perSecond(now, b.startedAt)
}

// fadingCounter counts events with weights that decay with ewmaTimeConstant.
type fadingCounter struct {
	count float64 // as of at
	at    time.Duration
}

func (c *fadingCounter) add(now time.Duration) {
	c.count, c.at = c.count*ewmaDecay(now-c.at)+1, now
}

// perSecond is the recent rate of events. It is corrected for the time before startedAt, which had no events.
func (c *fadingCounter) perSecond(now, startedAt time.Duration) float64 {
	return c.count * ewmaDecay(now-c.at) / ((1 - ewmaDecay(now-startedAt+time.Second)) * ewmaTimeConstant.Seconds())
}

// ewmaDecay is the fraction that a time leaves of a weight.
func ewmaDecay(d time.Duration) float64 { return math.Exp(-d.Seconds() / ewmaTimeConstant.Seconds()) }
