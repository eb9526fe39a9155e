package balance

import (
	"math"
	"time"
)

const (
	roomStart   = 6.0             // calls out for each endpoint before anything is known
	roomCut     = 0.5             // the room shrinks to this share at most, every half answer time
	roomMemory  = 2 * time.Second // a stretch this old counts 1/e there
	crowded     = 1.6             // stretch of recent answers from which it shrinks
	roomGrowth  = 0.2             // it grows by this with each answer while it is used up,
	roomy       = 1.5             // times what the stretch is short of this
	frontGrowth = 2.0             // and so many times at the front, where callers are spread unevenly,
	calmly      = 1.3             // while the stretch is under this
	roomSample  = 3.0             // stretch that one answer can show here
)

// resize moves the room for calls out: down while it is used and recent answers stretch, up while it is used
// up and they hardly do. It guards against endpoints tipped into a slow state and late answers. Quiet callers
// have few answers to go by, and seldom a call out: the latest count most, and the one that came in as well.
func (b *Balancer) resize(now time.Duration, stretch float64) {
	gain := 1 - math.Exp(-(now-b.resizedAt).Seconds()/roomMemory.Seconds())
	b.resizedAt = now
	b.stretch += (min(stretch, roomSample) - b.stretch) * max(gain, meanGain)
	switch {
	case b.stretch > crowded && float64(b.out+1) > overRoom*b.room && now >= b.cutAt:
		b.room = max(min(b.room, float64(b.out+1))*max(roomCut, crowded/b.stretch), b.share())
		b.cutAt = now + seconds(b.stretch*b.typical()/2)
	case float64(b.out+2) > b.room:
		growth := roomGrowth
		if b.s.Tier == 0 && b.stretch < calmly {
			growth *= frontGrowth
		}
		b.room += growth * max(roomy-b.stretch, 0)
	}
}
