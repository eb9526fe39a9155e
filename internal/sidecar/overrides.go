package sidecar

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"tuliprock/internal/eventloop"
	"tuliprock/internal/hotrestart"
)

const (
	// countTimeout is how long the pools may take to count their endpoints; after that the previous count is reported.
	countTimeout = 200 * time.Millisecond
	// catchUpTimeout is how long the pools may take to apply ejections that another process has recorded.
	catchUpTimeout = 500 * time.Millisecond
)

// Errors of the commands set-down and set-up. Clients of the admin address may match their texts.
var (
	// errUnknownEndpoint is the error of a command about an endpoint that is neither listed nor ejected.
	errUnknownEndpoint = errors.New("no endpoint of this id is listed")
	// errUnconfirmed is the error of a command that timed out and may still take effect.
	errUnconfirmed = errors.New("not confirmed in time; call again")
)

// overrides records which endpoints operators have ejected manually, and applies the ejections to all pools. The
// ejections outlive endpoint lists and reloads, and with a shared directory also processes.
type overrides struct {
	commandSlot chan struct{}         // semaphore of size one, held while ejections are changed
	directory   *hotrestart.Directory // directory shared with other processes; nil: hot restart is not in use
	// recentlyRestored are the IDs of endpoints whose ejection ended shortly before this process started. It is fixed
	// before the first pool starts.
	recentlyRestored []string

	mu       sync.Mutex
	ejected  map[string]bool  // IDs of the manually ejected endpoints
	pools    map[*pool]bool   // running pools, to which ejections are applied
	commands ejectionCommands // commands that the cluster has not activated yet; empty if the cluster does not agree on ejections
	// unapplied has, for each pool, the IDs of the endpoints whose latest change the pool's event loop has not confirmed.
	unapplied map[*pool]map[string]bool
}

// newOverrides returns overrides without ejections and without a shared directory.
func newOverrides() *overrides {
	return &overrides{
		commandSlot: make(chan struct{}, 1),
		ejected:     map[string]bool{},
		pools:       map[*pool]bool{},
		commands:    ejectionCommands{},
		unapplied:   map[*pool]map[string]bool{},
	}
}

// attach adopts the ejections that the processes sharing a directory have recorded there. It is called before the first
// pool starts.
func (o *overrides) attach(directory *hotrestart.Directory, ejections []hotrestart.Ejection) {
	for _, e := range ejections {
		o.record(e.ID, e.Ejected)
		if e.IsRecentlyRestored(time.Now()) {
			o.recentlyRestored = append(o.recentlyRestored, e.ID)
		}
	}
	o.directory = directory
}

// acquire waits until no other goroutine changes the ejections, and keeps others from doing so until release is called.
func (o *overrides) acquire(ctx context.Context) error {
	select {
	case o.commandSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release lets other goroutines change the ejections again after a call of acquire.
func (o *overrides) release() { <-o.commandSlot }

// addPool applies the ejections to a new pool before it serves its first request.
func (o *overrides) addPool(p *pool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pools[p] = true
	ejected := slices.Collect(maps.Keys(o.ejected))
	p.loop.Post(func(now time.Duration) {
		for _, id := range ejected {
			p.loop.SetEjected(now, id, true)
		}
		// Endpoints whose ejection ended shortly before this process started must still warm up: ejecting them and ending
		// the ejection here makes the balancer of this process warm them up, too.
		for _, id := range o.recentlyRestored {
			p.loop.SetEjected(now, id, true)
			p.loop.SetEjected(now, id, false)
		}
	})
}

// removePool excludes a pool from later changes of the ejections.
func (o *overrides) removePool(p *pool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pools, p)
	delete(o.unapplied, p)
}

// ejectionState is what snapshot returns: whether one endpoint is manually ejected, how many are, and the running pools.
type ejectionState struct {
	pools        []*pool // pools that were running when the method snapshot was called
	isEjected    bool    // whether the endpoint is manually ejected
	ejectedCount int     // number of all manually ejected endpoints
}

// snapshot returns whether the endpoint with the given ID is manually ejected now, how many endpoints are, and the pools
// that are running.
func (o *overrides) snapshot(id string) ejectionState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return ejectionState{slices.Collect(maps.Keys(o.pools)), o.ejected[id], len(o.ejected)}
}

// record records an ejection, or its end, for the pools that start from now on.
func (o *overrides) record(id string, isEjected bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if isEjected {
		o.ejected[id] = true
	} else {
		delete(o.ejected, id)
	}
}

// ejectedIDs returns the IDs of all manually ejected endpoints.
func (o *overrides) ejectedIDs() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.ejected))
}

// apply records an ejection, or its end, and returns when the given pools have applied it. Recording comes first, so that
// a pool that starts in the meantime applies it too. If ctx ends first, apply returns an error; retryUnapplied then applies the
// change to the pools that have not confirmed it.
func (o *overrides) apply(ctx context.Context, pools []*pool, id string, isEjected bool) error {
	o.record(id, isEjected)
	var failure error
	for _, p := range pools {
		if err := o.applyToPool(ctx, p, id); err != nil {
			failure = err
		}
	}
	return failure
}

// applyToPool applies to a pool whether an endpoint is ejected now, and records whether the pool has confirmed it. The caller has
// called acquire. A pool that has ended needs no change.
func (o *overrides) applyToPool(ctx context.Context, p *pool, id string) error {
	isEjected := o.snapshot(id).isEjected
	err := p.loop.Do(ctx, func(now time.Duration) { p.loop.SetEjected(now, id, isEjected) })
	if errors.Is(err, eventloop.ErrClosed) {
		err = nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err == nil:
		delete(o.unapplied[p], id)
	case o.pools[p] && o.unapplied[p] == nil:
		o.unapplied[p] = map[string]bool{id: true}
	case o.pools[p]:
		o.unapplied[p][id] = true
	}
	if len(o.unapplied[p]) == 0 {
		delete(o.unapplied, p)
	}
	return err
}

// unappliedChange is a change of an endpoint's ejection that a pool has not confirmed.
type unappliedChange struct {
	pool *pool
	id   string
}

// retryUnapplied applies the changes that pools have not confirmed. The caller has called acquire.
func (o *overrides) retryUnapplied(ctx context.Context) {
	o.mu.Lock()
	var changes []unappliedChange
	for p, ids := range o.unapplied {
		for id := range ids {
			changes = append(changes, unappliedChange{p, id})
		}
	}
	o.mu.Unlock()
	for _, c := range changes {
		_ = o.applyToPool(ctx, c.pool, c.id) // if it fails, the next call retries
	}
}

// doOnPools lets the event loops of the pools handle an event, one loop after another. It skips pools that have ended.
func doOnPools(ctx context.Context, pools []*pool, event func(l *eventloop.Loop, now time.Duration)) error {
	for _, p := range pools {
		err := p.loop.Do(ctx, func(now time.Duration) { event(p.loop, now) })
		if err != nil && !errors.Is(err, eventloop.ErrClosed) {
			return err
		}
	}
	return nil
}

// setEjected ejects an endpoint manually, or ends its ejection. It returns once all pools have applied the change and the
// shared directory has recorded it, with a description of the outcome for the operator. finishCommand must follow if there is
// no error. After errUnconfirmed the change may still take effect. Clients of the admin address may match the texts of the errors.
func (o *overrides) setEjected(ctx context.Context, id string, isEjected bool) (string, error) {
	if err := o.acquire(ctx); err != nil {
		return "", errUnconfirmed
	}
	defer o.release()
	if o.directory != nil {
		o.applyDirectory(hotrestart.KeepReportedDescriptors)
	} else {
		o.retryUnapplied(ctx)
	}
	stateBefore := o.snapshot(id)
	isKnown := stateBefore.isEjected
	err := doOnPools(ctx, stateBefore.pools, func(l *eventloop.Loop, _ time.Duration) { isKnown = isKnown || l.IsKnown(id) })
	switch {
	case err != nil:
		return "", errUnconfirmed
	case !isKnown:
		return "", fmt.Errorf("%.260q: %w", id, errUnknownEndpoint)
	case isEjected && !stateBefore.isEjected && stateBefore.ejectedCount >= hotrestart.MaxEjections:
		return "", fmt.Errorf("%d endpoints are out already: no more can be", stateBefore.ejectedCount)
	}
	// The command begins only now that it takes effect: while it has begun, applyAgreed leaves the endpoint to it.
	o.beginCommand(id)
	if err := o.apply(ctx, stateBefore.pools, id, isEjected); err != nil {
		o.finishCommand(id, 0)
		return "", errUnconfirmed
	}
	outcome := describeOutcome(id, stateBefore.isEjected, isEjected)
	// The record is written even if nothing has changed in this process: the shared directory may lack it.
	if o.directory != nil {
		if err := o.directory.RecordEjection(id, isEjected, time.Now()); err != nil {
			o.finishCommand(id, 0)
			return "", fmt.Errorf("%s, but here alone, for other processes can't be told: %w", outcome, err)
		}
	}
	return outcome, nil
}

// describeOutcome returns the response to an operator's set-down or set-up. Clients of the operators'
// address may match this text.
func describeOutcome(id string, wasEjected, isEjected bool) string {
	switch {
	case wasEjected && isEjected:
		return id + " was out already"
	case isEjected:
		return id + " is out"
	case wasEjected:
		return id + " is back"
	}
	return id + " was not out"
}

// syncDirectory applies the ejections that other processes have recorded in the shared directory, and reports to them that
// this process has descriptorCount open descriptors (see hotrestart.Directory.Poll). It returns the view of those processes
// and how many descriptors they have reported as open. While another goroutine changes the ejections it only polls the
// directory, so that polls and operators' commands don't wait for each other.
func (o *overrides) syncDirectory(descriptorCount int) (hotrestart.View, int) {
	select {
	case o.commandSlot <- struct{}{}:
		defer o.release()
		return o.applyDirectory(descriptorCount)
	default:
		_, view, othersDescriptors := o.directory.Poll(descriptorCount)
		return view, othersDescriptors
	}
}

// applyDirectory applies the ejections that other processes have recorded in the shared directory, and reports to them
// that this process has descriptorCount open descriptors (see hotrestart.Directory.Poll). It also records the ejections of
// this process that the directory lacks. It returns the view of the other processes and how many descriptors they have
// reported as open. The caller has called acquire.
func (o *overrides) applyDirectory(descriptorCount int) (hotrestart.View, int) {
	state, view, othersDescriptors := o.directory.Poll(descriptorCount)
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	o.retryUnapplied(ctx)
	isRecorded := make(map[string]bool, len(state.Ejections))
	for _, e := range state.Ejections {
		isRecorded[e.ID] = true
		if local := o.snapshot(e.ID); local.isEjected != e.Ejected {
			_ = o.apply(ctx, local.pools, e.ID, e.Ejected) // if it fails, a later poll applies it to the pools that were busy
		}
	}
	for _, id := range o.ejectedIDs() {
		// The ejection's record was lost with a damaged file. If recording it again fails, the next poll retries.
		if !isRecorded[id] {
			_ = o.directory.RecordEjection(id, true, time.Now())
		}
	}
	return view, othersDescriptors
}

// countEndpoints returns how many endpoints are listed in all pools together, and how many of them the balancers avoid
// because they are ejected, manually or as outliers. The pools count concurrently.
func (o *overrides) countEndpoints(ctx context.Context) (listed, avoided int64) {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	pools := o.snapshot("").pools
	var pending sync.WaitGroup
	for _, p := range pools {
		pending.Go(func() {
			_ = p.loop.Do(ctx, func(time.Duration) { // if Do fails, the pool's previous count is used
				l, a := p.loop.EndpointCounts()
				p.listedCount.Store(int64(l))
				p.avoidedCount.Store(int64(a))
			})
		})
	}
	pending.Wait()
	for _, p := range pools {
		listed, avoided = listed+p.listedCount.Load(), avoided+p.avoidedCount.Load()
	}
	return listed, avoided
}
