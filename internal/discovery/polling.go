package discovery

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/endpointset"
)

// PollingSource is a Source that polls a fixed list, a file or DNS. The results go through an endpointset.Set, and each update is the
// complete list of active endpoints. While Run runs, only Subscribe may be called.
type PollingSource struct {
	name      string // source's name in log lines
	poll      func(context.Context) (pollResult, error)
	endpoints *endpointset.Set // listed members, and which of them are active
	epoch     time.Time        // time of instant 0 of the Set, which takes and returns instants as durations since this time
	deliver   func(ListUpdate) // called with each list that differs from the previous one
	onFailure func()           // called after each failed poll
	log       *slog.Logger

	pollRequests chan struct{} // holds at most one call of Subscribe that has not been handled
	lastLoggedAt time.Time     // when a failure was last logged; zero after a recovery
	isHealthy    bool          // false from a poll that fails or lists no members until a poll lists members again
}

// pollResult has the members that one poll of a source listed, and the time until the next poll.
type pollResult struct {
	members     []endpointset.Member // listed members; nil if isUnchanged
	isUnchanged bool                 // the list is the same as at the previous poll
	nextPollIn  time.Duration        // time until the next poll; 0 if the next poll must be requested by Subscribe
}

// errNoMembers is logged when a poll succeeds but lists no members.
var errNoMembers = errors.New("no members are listed")

// newPollingSource returns a PollingSource. deliver is called with each complete list that differs from the previous one, and onFailure
// after each failed poll. At most one of the sources that share a MemberCache may run at a time.
func newPollingSource(name string, cache *MemberCache, poll func(context.Context) (pollResult, error), deliver func(ListUpdate),
	onFailure func(), log *slog.Logger) *PollingSource {
	return &PollingSource{
		name: name, poll: poll, endpoints: cache.endpoints, epoch: cache.epoch, deliver: deliver, onFailure: onFailure, log: log,
		pollRequests: make(chan struct{}, 1), isHealthy: true,
	}
}

// NewStaticSource returns a source of a fixed list of members. Run and PollOnce call deliver with each list that differs from the
// previous one, and onFailure after each failed poll.
func NewStaticSource(members []endpointset.Member, cache *MemberCache, deliver func(ListUpdate), onFailure func(),
	log *slog.Logger) *PollingSource {
	poll := func(context.Context) (pollResult, error) { return pollResult{members: members}, nil }
	return newPollingSource("members", cache, poll, deliver, onFailure, log)
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
		var nextPollAt time.Time // zero if the next poll must be requested by Subscribe
		if nextPollIn > 0 {
			nextPollAt = time.Now().Add(nextPollIn)
		}
		if !s.waitForNextPoll(ctx, timer, nextPollAt) {
			return
		}
		nextPollIn = s.PollOnce(ctx)
	}
}

// waitForNextPoll waits until a poll is due or requested. Meanwhile it delivers the list whenever the end of a damping delay or of
// the hold time changes the list. It returns false if ctx ends first.
func (s *PollingSource) waitForNextPoll(ctx context.Context, timer *time.Timer, nextPollAt time.Time) bool {
	const idleWait = time.Hour // timer interval while neither a poll nor a change is due
	for {
		wait := idleWait
		if !nextPollAt.IsZero() {
			wait = time.Until(nextPollAt)
		}
		if changeAt, ok := s.endpoints.NextChange(); ok {
			wait = min(wait, changeAt-time.Since(s.epoch))
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
		if changeAt, ok := s.endpoints.NextChange(); ok && time.Since(s.epoch) >= changeAt && s.endpoints.Tick(time.Since(s.epoch)) {
			s.deliverEndpoints()
		}
	}
}

// PollOnce polls once, delivers the list if it has changed, and returns the time until the next poll, or 0 if none is due. The owner may
// call it before Run to get the first list without waiting; afterwards only Run calls it.
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

// logFailure logs a poll that failed or listed no members, at most once per logInterval.
func (s *PollingSource) logFailure(err error) {
	s.isHealthy = false
	if time.Since(s.lastLoggedAt) > logInterval {
		s.lastLoggedAt = time.Now()
		s.log.Warn("discovery poll failed", "source", s.name, "error", err)
	}
}

// deliverEndpoints delivers the complete list of active endpoints.
func (s *PollingSource) deliverEndpoints() {
	endpoints := s.endpoints.Endpoints()
	update := ListUpdate{Full: true, Members: make([]Member, 0, len(endpoints))}
	for _, e := range endpoints {
		m := Member{ID: e.ID, Addr: e.Addr, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: balance.Ready}
		if e.Draining {
			m.State = balance.Draining
		}
		if e.ActiveSince > 0 {
			m.StartedMs = s.epoch.Add(e.ActiveSince).UnixMilli()
		}
		update.Members = append(update.Members, m)
	}
	s.deliver(update)
}
