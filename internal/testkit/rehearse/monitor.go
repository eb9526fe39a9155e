package rehearse

import (
	"syscall"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

const (
	sampleInterval     = 250 * time.Millisecond // of the requests in flight; result files and charts count on it
	stallCheckInterval = 5 * time.Millisecond
)

// monitor observes a day while it is played: the requests in flight at each node, and whether the rehearsal itself is
// scheduled. Each of its two goroutines has fields of its own, which are read once both have ended.
type monitor struct {
	rehearsal *rehearsal
	startedAt time.Time

	inFlight [][]int // by sample, by node of the plan

	timerLateness *schedule.LatencyHistogram
	worstStall    time.Duration
}

// sampleInFlight samples the requests in flight, and reports the progress, until done closes.
func (m *monitor) sampleInFlight(done <-chan struct{}) {
	r := m.rehearsal
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		var sample []int
		for _, hosts := range r.hosts {
			for _, h := range hosts {
				h.mu.Lock()
				sample = append(sample, h.node.InFlight())
				h.mu.Unlock()
			}
		}
		m.inFlight = append(m.inFlight, sample)
		if r.options.Progress != nil {
			r.options.Progress(Snapshot{
				Elapsed:      time.Since(m.startedAt),
				Length:       r.plan.Day.Length,
				OfferedValue: float64(r.offeredWorth.Load()) / 1000,
				InTimeValue:  float64(r.inTimeWorth.Load()) / 1000,
				InFlight:     int(r.inFlight.Load()),
			})
		}
	}
}

// watchStalls measures how late a timer of the rehearsal fires, until done closes. It records stalls as long as the rules'
// tolerance: a limit that is exceeded next to one may not be the sidecar's doing.
func (m *monitor) watchStalls(done <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		late := now.Sub(last) - stallCheckInterval
		last = now
		m.timerLateness.Record(late)
		m.worstStall = max(m.worstStall, late)
		if late >= m.rehearsal.plan.Day.Rules.Tolerance {
			m.rehearsal.recorder.Add(invariant.Event{Kind: invariant.HarnessStall, Duration: late})
		}
	}
}

// resources are what the rehearsal and its sidecars have used: CPU time, and the rehearsal's peak of resident memory.
type resources struct {
	own, sidecars time.Duration
	ownMB         float64
}

// resourceUsage reads the use of resources so far. Sidecars count once they have ended; what the system does not state is 0.
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
