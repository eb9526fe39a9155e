package rehearse

import (
	"syscall"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

// monitor looks at a day while it is played: what is in hand at each node, and whether the rehearsal itself gets to run.
type monitor struct {
	w             *rehearsal
	start         time.Time
	inFlight      [][]int // by sample, by node of the plan
	timerLateness *schedule.Latency
	worstStall    time.Duration
}

// sampleInFlight samples until done closes.
func (h *monitor) sampleInFlight(done <-chan struct{}) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		var row []int
		for _, sites := range h.w.hosts {
			for _, s := range sites {
				s.mu.Lock()
				row = append(row, s.node.InFlight())
				s.mu.Unlock()
			}
		}
		h.inFlight = append(h.inFlight, row)
		if h.w.options.Progress != nil {
			h.w.options.Progress(Snapshot{At: time.Since(h.start), Length: h.w.plan.Day.Length, Asked: float64(h.w.offeredWorth.Load()) / 1000,
				Answered: float64(h.w.inTimeWorth.Load()) / 1000, InFlight: int(h.w.inFlight.Load())})
		}
	}
}

// watchStalls measures how late a timer of the rehearsal's own comes, and notes pauses as long as the rules' allowance: a limit
// passed next to one can't be laid at a sidecar's door.
func (h *monitor) watchStalls(done <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		late := now.Sub(last) - stallCheckInterval
		last = now
		h.timerLateness.Record(late)
		h.worstStall = max(h.worstStall, late)
		if late >= h.w.plan.Day.Rules.Slack {
			h.w.recorder.Add(invariant.Event{Kind: invariant.HarnessStall, For: late})
		}
	}
}

// resources is what the rehearsal and its sidecars have used: time on cores, and the rehearsal's most memory.
type resources struct {
	own, sidecars time.Duration
	ownMB         float64
}

// resourceUsage reads it. Sidecars count once they have ended.
func resourceUsage() (r resources) {
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
