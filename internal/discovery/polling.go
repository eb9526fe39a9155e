package discovery

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/endpointset"
)

// PollingSource is a Source that is polled: a fixed list, a file, or DNS. What a poll returns goes through an endpointset.Set, and
// each update is the complete list of endpoints in force. Only Subscribe may be called while Run runs.
type PollingSource struct {
	name      string // for the log
	poll      func(context.Context) (pollResult, error)
	endpoints *endpointset.Set
	epoch     time.Time // zero of the instants in endpoints
	deliver   func(ListUpdate)
	onFailure func()
	log       *slog.Logger

	pollRequests chan struct{} // capacity 1: a Subscribe not yet served
	lastLoggedAt time.Time
	isHealthy    bool // the last poll listed members, or no failure was logged since one did
}

// pollResult is what one poll returned.
type pollResult struct {
	members     []endpointset.Member
	isUnchanged bool          // since the poll before; members is not set then
	nextPollIn  time.Duration // 0: no further poll is due
}

// errNoMembers is logged where a poll succeeds and lists no members.
var errNoMembers = errors.New("no members are listed")

// newPollingSource makes a PollingSource. deliver takes each complete list that differs from the one before; onFailure takes each
// failed poll. At most one of the sources that share a MemberCache may run.
func newPollingSource(name string, cache *MemberCache, poll func(context.Context) (pollResult, error), deliver func(ListUpdate),
	onFailure func(), log *slog.Logger) *PollingSource {
	return &PollingSource{
		name: name, poll: poll, endpoints: cache.endpoints, epoch: cache.epoch, deliver: deliver, onFailure: onFailure, log: log,
		pollRequests: make(chan struct{}, 1), isHealthy: true,
	}
}

// NewStaticSource makes a source of a fixed list of members. deliver and failed are called by Run and PollOnce.
func NewStaticSource(members []endpointset.Member, cache *MemberCache, deliver func(ListUpdate), failed func(),
	log *slog.Logger) *PollingSource {
	poll := func(context.Context) (pollResult, error) { return pollResult{members: members}, nil }
	return newPollingSource("members", cache, poll, deliver, failed, log)
}

// Subscribe implements Source: it requests a poll. It does not block.
func (s *PollingSource) Subscribe() {
	select {
	case s.pollRequests <- struct{}{}:
	default:
	}
}

// Run implements Source. It polls at once, then whenever a poll is due or requested.
func (s *PollingSource) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextPollIn := s.PollOnce(ctx)
	for ctx.Err() == nil {
		var nextPollAt time.Time // zero: only a request brings a further poll
		if nextPollIn > 0 {
			nextPollAt = time.Now().Add(nextPollIn)
		}
		if !s.waitForNextPoll(ctx, timer, nextPollAt) {
			return
		}
		nextPollIn = s.PollOnce(ctx)
	}
}

// waitForNextPoll waits until a poll is due or requested, and delivers the lists that change meanwhile by time alone. It returns
// false if ctx ends before.
func (s *PollingSource) waitForNextPoll(ctx context.Context, timer *time.Timer, nextPollAt time.Time) bool {
	const idleWait = time.Hour // nothing is due
	for {
		wait := idleWait
		if !nextPollAt.IsZero() {
			wait = time.Until(nextPollAt)
		}
		if due, ok := s.endpoints.NextChange(); ok {
			wait = min(wait, due-time.Since(s.epoch))
		}
		timer.Reset(max(wait, 0))
		select {
		case <-ctx.Done():
			return false
		case <-s.pollRequests:
			return true
		case <-timer.C:
		}
		if !nextPollAt.IsZero() && !time.Now().Before(nextPollAt) {
			return true
		}
		if due, ok := s.endpoints.NextChange(); ok && time.Since(s.epoch) >= due && s.endpoints.Tick(time.Since(s.epoch)) {
			s.deliverEndpoints()
		}
	}
}

// PollOnce polls one time, delivers the list if it has changed, and returns the time until the next poll (0: none is due). Run calls
// it from its start on; before, the owner may call it to have the first list at once.
func (s *PollingSource) PollOnce(ctx context.Context) (nextPollIn time.Duration) {
	result, err := s.poll(ctx)
	now := time.Since(s.epoch)
	switch {
	case ctx.Err() != nil:
		return 0
	case result.isUnchanged:
		return result.nextPollIn
	case err != nil:
		s.logFailure(err)
		s.onFailure()
		if s.endpoints.HandleFailure(now) {
			s.deliverEndpoints()
		}
		return result.nextPollIn
	}
	if len(result.members) == 0 {
		s.logFailure(errNoMembers)
	} else if !s.isHealthy {
		s.isHealthy, s.lastLoggedAt = true, time.Time{}
		s.log.Info("discovery source recovered", "source", s.name, "members", len(result.members))
	}
	if s.endpoints.HandleList(now, result.members) {
		s.deliverEndpoints()
	}
	return result.nextPollIn
}

// logFailure logs a poll that failed or listed no members, at most once in logInterval.
func (s *PollingSource) logFailure(err error) {
	s.isHealthy = false
	if time.Since(s.lastLoggedAt) > logInterval {
		s.lastLoggedAt = time.Now()
		s.log.Warn("discovery poll failed", "source", s.name, "error", err)
	}
}

// deliverEndpoints delivers the complete list in force.
func (s *PollingSource) deliverEndpoints() {
	endpoints := s.endpoints.Endpoints()
	update := ListUpdate{Full: true, Members: make([]Member, 0, len(endpoints))}
	for _, e := range endpoints {
		m := Member{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: balance.Ready}
		if e.Draining {
			m.State = balance.Draining
		}
		if e.Since > 0 {
			m.StartedMs = s.epoch.Add(e.Since).UnixMilli()
		}
		update.Members = append(update.Members, m)
	}
	s.deliver(update)
}
