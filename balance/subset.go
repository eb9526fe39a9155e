package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	tableGap   = time.Second // a table is so large that each endpoint in it is called this often,
	tableShare = 12.0        // that each endpoint is in the tables of this many callers,
	tableLeast = 4.0         // and no smaller than this
	rateLeast  = 0.2         // sends a second: a caller is never taken to be quieter
)

// count follows the rate of requests and, with it, how many endpoints the table is to have.
func (b *Balancer) count(now time.Duration) {
	b.asked.add(now)
	want := b.rate(now) * tableGap.Seconds()
	if want > 1.5*b.size || want < 0.5*b.size { // else it would change with each call
		b.size = want
		b.fill(now)
	}
}

// fill chooses the caller's table, the endpoints that it spreads its calls over. It guards against many quiet
// callers that meet each endpoint too seldom to know it, and open a connection for nearly every call. Tables
// are even steps through the list, sorted by kind and begun at the caller's own place: all endpoints get as
// many callers, all callers the same mix of kinds.
func (b *Balancer) fill(now time.Duration) {
	defer b.paceCold(now)
	b.recent, b.sampled, b.leastFor = b.recent[:0], b.sampled[:0], 0
	b.table = slices.DeleteFunc(slices.Clone(b.endpoints), func(e *endpoint) bool { return !e.usable() })
	n, callers := float64(len(b.table)), float64(max(b.s.Balancers, 1))
	size := math.Floor(max(b.size, tableLeast, tableShare*n/callers))
	if 2*size >= n {
		return
	}
	slices.SortFunc(b.table, func(x, y *endpoint) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.ID, y.ID))
	})
	place := min(float64(max(b.s.Index, 0))/callers, 1-1/callers)
	for i := range int(size) {
		b.table[i] = b.table[int((float64(i)+place)/size*n)]
	}
	b.table = b.table[:int(size)]
}
