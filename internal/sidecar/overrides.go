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
	// countTimeout is how long the pools may take to count their endpoints; then the last count holds.
	countTimeout = 200 * time.Millisecond
	// catchUpTimeout bounds how long the pools may take to follow ejections that another process has recorded.
	catchUpTimeout = 500 * time.Millisecond
)

var (
	// errUnknownEndpoint is why an ejection was not carried out.
	errUnknownEndpoint = errors.New("no endpoint of this id is listed")
	// errUnconfirmed is a command that may yet be carried out.
	errUnconfirmed = errors.New("not confirmed in time; call again")
)

// overrides are the endpoints that operators have ejected manually, for all pools. They outlive endpoint lists, reloads
// and, by the shared directory, processes.
type overrides struct {
	commandSlot chan struct{}         // held while a command, or what another process has recorded, is carried out
	directory   *hotrestart.Directory // what other processes of this sidecar know; nil: there are none
	// recentlyRestored are IDs whose ejection ended shortly before this process began; fixed before the first pool.
	recentlyRestored []string

	mu      sync.Mutex
	ejected map[string]bool
	pools   map[*pool]bool // those that run
}

func newOverrides() *overrides {
	return &overrides{commandSlot: make(chan struct{}, 1), ejected: map[string]bool{}, pools: map[*pool]bool{}}
}

// attach takes over the ejections of the processes that share a directory. It is called before the first pool starts.
func (o *overrides) attach(directory *hotrestart.Directory, ejections []hotrestart.Ejection) {
	for _, e := range ejections {
		o.record(e.ID, e.Ejected)
		if e.IsRecentlyRestored(time.Now()) {
			o.recentlyRestored = append(o.recentlyRestored, e.ID)
		}
	}
	o.directory = directory
}

// acquire waits for the command slot; release gives it back.
func (o *overrides) acquire(ctx context.Context) error {
	select {
	case o.commandSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *overrides) release() { <-o.commandSlot }

// addPool applies the ejections to a pool that has served nobody yet.
func (o *overrides) addPool(p *pool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pools[p] = true
	ejected := slices.Collect(maps.Keys(o.ejected))
	p.loop.Post(func(now time.Duration) {
		for _, id := range ejected {
			p.loop.SetEjected(now, id, true)
		}
		for _, id := range o.recentlyRestored { // so that they warm up here, too
			p.loop.SetEjected(now, id, true)
			p.loop.SetEjected(now, id, false)
		}
	})
}

func (o *overrides) removePool(p *pool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pools, p)
}

// ejectionState is what the overrides hold of one endpoint.
type ejectionState struct {
	pools     []*pool // those that run
	isEjected bool
	count     int // of all ejected endpoints
}

func (o *overrides) state(id string) ejectionState {
	o.mu.Lock()
	defer o.mu.Unlock()
	return ejectionState{slices.Collect(maps.Keys(o.pools)), o.ejected[id], len(o.ejected)}
}

// record changes what pools that start from now on apply.
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

// apply records an ejection, or its end, and returns when the pools have it. Recording comes first, so that a pool which
// starts meanwhile has it too.
func (o *overrides) apply(ctx context.Context, pools []*pool, id string, isEjected bool) error {
	o.record(id, isEjected)
	return doOnPools(ctx, pools, func(l *eventloop.Loop, now time.Duration) { l.SetEjected(now, id, isEjected) })
}

// doOnPools has all pools' loops handle an event, one after another. Pools that have ended are left out.
func doOnPools(ctx context.Context, pools []*pool, event func(l *eventloop.Loop, now time.Duration)) error {
	for _, p := range pools {
		err := p.loop.Do(ctx, func(now time.Duration) { event(p.loop, now) })
		if err != nil && !errors.Is(err, eventloop.ErrClosed) {
			return err
		}
	}
	return nil
}

// setEjected ejects an endpoint manually, or ends that. It returns once all pools and the shared directory have it, and
// describes the outcome to the operator. After errUnconfirmed it may yet happen.
func (o *overrides) setEjected(ctx context.Context, id string, isEjected bool) (string, error) {
	if err := o.acquire(ctx); err != nil {
		return "", errUnconfirmed
	}
	defer o.release()
	if o.directory != nil {
		o.applyDirectory(hotrestart.KeepReportedDescriptors)
	}
	before := o.state(id)
	isKnown := before.isEjected
	err := doOnPools(ctx, before.pools, func(l *eventloop.Loop, _ time.Duration) { isKnown = isKnown || l.IsKnown(id) })
	switch {
	case err != nil:
		return "", errUnconfirmed
	case !isKnown:
		return "", fmt.Errorf("%.260q: %w", id, errUnknownEndpoint)
	case isEjected && !before.isEjected && before.count >= hotrestart.MaxEjections:
		return "", fmt.Errorf("%d endpoints are out already: no more can be", before.count)
	}
	if err := o.apply(ctx, before.pools, id, isEjected); err != nil {
		return "", errUnconfirmed
	}
	outcome := describeOutcome(id, before.isEjected, isEjected)
	if o.directory != nil { // even if nothing has changed here: the other processes may not have it
		if err := o.directory.RecordEjection(id, isEjected, time.Now()); err != nil {
			return "", fmt.Errorf("%s, but here alone, for other processes can't be told: %w", outcome, err)
		}
	}
	return outcome, nil
}

// describeOutcome is the response to an operator; its texts are documented.
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

// applyAgreed follows the ejections that the cluster has agreed on: those in current and not in previous begin, those in
// previous alone end. It returns the set that is applied now, which is previous if ctx ended first.
func (o *overrides) applyAgreed(ctx context.Context, previous, current map[string]bool) map[string]bool {
	if o.acquire(ctx) != nil {
		return previous
	}
	defer o.release()
	for _, ids := range []map[string]bool{previous, current} {
		for id := range ids {
			here := o.state(id)
			isUnchanged := previous[id] == current[id] || here.isEjected == current[id]
			if isUnchanged || current[id] && here.count >= hotrestart.MaxEjections {
				continue
			}
			_ = o.apply(ctx, here.pools, id, current[id]) // ctx ends with the daemon, and the pools with it
		}
	}
	return current
}

// syncDirectory follows what other processes have recorded, and returns what the directory says of them. While a command
// is being carried out it only polls: the command comes first.
func (o *overrides) syncDirectory(descriptors int) (hotrestart.View, int) {
	select {
	case o.commandSlot <- struct{}{}:
		defer o.release()
		return o.applyDirectory(descriptors)
	default:
		_, view, others := o.directory.Poll(descriptors)
		return view, others
	}
}

// applyDirectory is syncDirectory with the command slot held.
func (o *overrides) applyDirectory(descriptors int) (hotrestart.View, int) {
	state, view, others := o.directory.Poll(descriptors)
	ctx, cancel := context.WithTimeout(context.Background(), catchUpTimeout)
	defer cancel()
	isRecorded := make(map[string]bool, len(state.Ejections))
	for _, e := range state.Ejections {
		isRecorded[e.ID] = true
		if here := o.state(e.ID); here.isEjected != e.Ejected {
			_ = o.apply(ctx, here.pools, e.ID, e.Ejected) // a loop that is late handles it all the same
		}
	}
	for _, id := range o.ejectedIDs() {
		if !isRecorded[id] { // it was lost with a damaged file; the next poll tries again if this fails
			_ = o.directory.RecordEjection(id, true, time.Now())
		}
	}
	return view, others
}

// countEndpoints asks all pools at once for their numbers of endpoints and of avoided ones.
func (o *overrides) countEndpoints(ctx context.Context) (listed, avoided int64) {
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
	defer cancel()
	pools := o.state("").pools
	var pending sync.WaitGroup
	for _, p := range pools {
		pending.Go(func() {
			_ = p.loop.Do(ctx, func(time.Duration) { // else the last count holds
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
