package rehearse

import (
	"syscall"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

// watch looks at a day while it is played: what is in hand at each node, and whether the rehearsal itself gets to run.
type watch struct {
	w      *world
	start  time.Time
	inHand [][]int // by sample, by node of the plan
	own    *schedule.Latency
	worst  time.Duration
}

// run samples until done closes.
func (h *watch) run(done <-chan struct{}) {
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		var row []int
		for _, sites := range h.w.tiers {
			for _, s := range sites {
				s.mu.Lock()
				row = append(row, s.node.InFlight())
				s.mu.Unlock()
			}
		}
		h.inHand = append(h.inHand, row)
		if h.w.opt.Progress != nil {
			h.w.opt.Progress(Snapshot{At: time.Since(h.start), Length: h.w.plan.Day.Length, Asked: float64(h.w.asked.Load()) / 1000,
				Answered: float64(h.w.earned.Load()) / 1000, InFlight: int(h.w.inFlight.Load())})
		}
	}
}

// stalls measures how late a timer of the rehearsal's own comes, and notes pauses as long as the rules' allowance: a limit
// passed next to one can't be laid at a sidecar's door.
func (h *watch) stalls(done <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(stallLook):
		}
		now := time.Now()
		late := now.Sub(last) - stallLook
		last = now
		h.own.Record(late)
		h.worst = max(h.worst, late)
		if late >= h.w.plan.Day.Rules.Slack {
			h.w.rec.Add(invariant.Event{Kind: invariant.HarnessStall, For: late})
		}
	}
}

// resources is what the rehearsal and its sidecars have used: time on cores, and the rehearsal's most memory.
type resources struct {
	own, sidecars time.Duration
	ownMB         float64
}

// usage reads it. Sidecars count once they have ended.
func usage() (r resources) {
	read := func(who int) (time.Duration, float64) {
		var u syscall.Rusage
		if syscall.Getrusage(who, &u) != nil {
			return 0, 0
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano()), float64(u.Maxrss) / 1024
	}
	r.own, r.ownMB = read(syscall.RUSAGE_SELF)
	r.sidecars, _ = read(syscall.RUSAGE_CHILDREN)
	return r
}
