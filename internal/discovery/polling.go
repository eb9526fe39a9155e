package discovery

import (
	"context"
	"log/slog"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/endpointset"
)

// Source tells who is there. Run delivers until ctx ends: members are ready, draining or gone, and an ask that failed is
// told as such. Subscribe asks at once, for sources that tell nothing otherwise; it does not block.
type Source interface {
	Run(ctx context.Context)
	Subscribe()
}

var (
	_ Source = (*AgentClient)(nil)
	_ Source = (*PollingSource)(nil)
)

// answer is what an ask brought.
type answer struct {
	members []endpointset.Member
	same    bool          // nothing has changed since the ask before
	next    time.Duration // when to ask again; 0: never
}

// PollingSource is a source that is asked again and again: a fixed list, a file, DNS. What it hears goes through a Keeper.
type PollingSource struct {
	what    string // for the log
	ask     func(context.Context) (answer, error)
	keeper  *endpointset.Set
	deliver func(ListUpdate)
	failed  func()
	log     *slog.Logger

	began   time.Time // of the keeper's clock
	asked   chan struct{}
	spokeAt time.Time
	mended  bool // the failure that was logged is over
}

// MemberCache is what a pool remembers of its members beyond the life of one source.
type MemberCache struct {
	keeper *endpointset.Set
	began  time.Time
}

// NewMemberCache makes a Keeper.
func NewMemberCache(o endpointset.Options) *MemberCache {
	// The clock starts above zero, for a member that came at 0 counts as one that was there before.
	return &MemberCache{endpointset.New(o), time.Now().Add(-time.Second)}
}

// SetOptions changes the options for what is heard from now on. No source with this Keeper may run.
func (k *MemberCache) SetOptions(o endpointset.Options) { k.keeper.SetOptions(o) }

// newPolled makes a Polled. deliver takes each list that differs from the one before, whole; failed takes failed asks.
// Of all that share a Keeper one at most may run.
func newPolled(what string, k *MemberCache, ask func(context.Context) (answer, error), deliver func(ListUpdate), failed func(), log *slog.Logger) *PollingSource {
	return &PollingSource{what: what, ask: ask, keeper: k.keeper, began: k.began, deliver: deliver, failed: failed, log: log,
		asked: make(chan struct{}, 1), mended: true}
}

// StaticSource is a source that knows its members.
func StaticSource(members []endpointset.Member, k *MemberCache, deliver func(ListUpdate), failed func(), log *slog.Logger) *PollingSource {
	return newPolled("members", k, func(context.Context) (answer, error) { return answer{members: members}, nil }, deliver, failed, log)
}

// Subscribe implements Source.
func (p *PollingSource) Subscribe() {
	select {
	case p.asked <- struct{}{}:
	default:
	}
}

// Run implements Source.
func (p *PollingSource) Run(ctx context.Context) {
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	var askAt time.Time // zero: never again, unless asked
	next := p.PollOnce(ctx)
	for ctx.Err() == nil {
		if askAt = (time.Time{}); next > 0 {
			askAt = time.Now().Add(next)
		}
		if !p.wait(ctx, alarm, askAt) {
			return
		}
		next = p.PollOnce(ctx)
	}
}

// wait passes the time until the next ask; it is false if ctx ends before.
func (p *PollingSource) wait(ctx context.Context, alarm *time.Timer, askAt time.Time) bool {
	const idle = time.Hour // nothing is due
	for {
		left := idle
		if !askAt.IsZero() {
			left = time.Until(askAt)
		}
		if due, ok := p.keeper.NextChange(); ok {
			left = min(left, due-time.Since(p.began))
		}
		alarm.Reset(max(left, 0))
		select {
		case <-ctx.Done():
			return false
		case <-p.asked:
			return true
		case <-alarm.C:
		}
		if !askAt.IsZero() && !time.Now().Before(askAt) {
			return true
		}
		if due, ok := p.keeper.NextChange(); ok && time.Since(p.began) >= due && p.keeper.Tick(time.Since(p.began)) {
			p.tell()
		}
	}
}

// PollOnce asks one time, tells what has changed, and gives the time until the next ask (0: never). Run does it from its
// start on; before, it may be called to have the first list at once.
func (p *PollingSource) PollOnce(ctx context.Context) (next time.Duration) {
	a, err := p.ask(ctx)
	now := time.Since(p.began)
	switch {
	case ctx.Err() != nil:
		return 0
	case a.same:
		return a.next
	case err != nil:
		p.complain(err)
		p.failed()
		if p.keeper.HandleFailure(now) {
			p.tell()
		}
		return a.next
	}
	if len(a.members) == 0 {
		p.complain(errNobody)
	} else if !p.mended {
		p.mended, p.spokeAt = true, time.Time{}
		p.log.Info(p.what+" answers again", "members", len(a.members))
	}
	if p.keeper.HandleList(now, a.members) {
		p.tell()
	}
	return a.next
}

// complain logs, but not more often than of use.
func (p *PollingSource) complain(err error) {
	p.mended = false
	if time.Since(p.spokeAt) > complainGap {
		p.spokeAt = time.Now()
		p.log.Warn(p.what+": the list stands as it was", "err", err)
	}
}

// tell delivers the whole list in force.
func (p *PollingSource) tell() {
	list := p.keeper.Endpoints()
	m := ListUpdate{Full: true, Servers: make([]Member, 0, len(list))}
	for _, l := range list {
		s := Member{ID: l.ID, Addr: l.Addr, Zone: l.Zone, Kind: l.Kind, Cell: l.Cell, State: balance.Ready}
		if l.Draining {
			s.State = balance.Draining
		}
		if l.Since > 0 {
			s.StartedMs = p.began.Add(l.Since).UnixMilli()
		}
		m.Servers = append(m.Servers, s)
	}
	p.deliver(m)
}
