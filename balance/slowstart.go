package balance

import "time"

const (
	coldShare = 1.5 // calls to a cold endpoint, in shares of its warmth
)

// paceCold follows a change of the table. A cold endpoint that comes into it gets its first call at a random
// moment of the gap between two calls: when the list changes or callers restart, many tables take it in at
// once, and their first calls alone would overload it. Waits in progress are scaled with the length of a
// turn, which a restarted caller learns only from its first requests. Without an active endpoint nothing is
// put off.
func (b *Balancer) paceCold(now time.Duration) {
	turn := b.coldTurn(now)
	for _, e := range b.endpoints {
		if wait := (e.coldAt - now).Seconds(); wait > 0 && b.pacedTurn > 0 {
			e.coldAt = now + seconds(wait*turn/b.pacedTurn)
		}
	}
	b.pacedTurn = turn
	active, _, _ := b.actives()
	for _, e := range b.table {
		if active > 0 && !e.paced && b.warmth(now, e) < 1 {
			e.coldAt = max(e.coldAt, now+seconds(b.rng.Float64()*b.coldGap(now, e).Seconds()))
		}
	}
	for _, e := range b.endpoints {
		e.paced = false
	}
	for _, e := range b.table {
		e.paced = true
	}
}

// coldGap is the time between two sends to a cold endpoint, trials included, little more than a warm share of
// the caller's own traffic. It guards against all callers together pushing it over.
func (b *Balancer) coldGap(now time.Duration, e *endpoint) time.Duration {
	return seconds(b.coldTurn(now) / (b.warmth(now, e) * coldShare))
}

// coldTurn is the turn, in seconds, by which cold endpoints are paced: that of the requests admitted. What is
// refused for want of room reaches no endpoint, and its clients ask again and again.
func (b *Balancer) coldTurn(now time.Duration) float64 {
	return float64(len(b.table)) / max(b.admitted.perSecond(now, b.started), rateLeast)
}
