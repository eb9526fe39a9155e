package rehearse

import (
	"syscall"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

const (
	sampleInterval     = 250 * time.Millisecond // interval of the samples in Result.InFlight; programs that read result files rely on it
	stallCheckInterval = 5 * time.Millisecond   // interval of the timer whose lateness shows stalls of the rehearsal
)

// monitor observes a rehearsal while it runs: the requests in flight at each node, and stalls of the rehearsal's own process. Its
// two goroutines write to different fields, which are read after both have ended.
type monitor struct {
	rehearsal *rehearsal
	startedAt time.Time

	inFlight [][]int // for each sample, the number of requests in flight at each node, with nodes in the order of the plan; written by sampleInFlight

	timerLateness *schedule.LatencyHistogram // lateness of the timer that fires every stallCheckInterval; written by watchStalls
	longestStall  time.Duration              // greatest lateness of the timer that fires every stallCheckInterval; written by watchStalls
}

// sampleInFlight samples the requests in flight at the nodes and reports the progress of the run until done closes.
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
		if r.options.OnProgress != nil {
			r.options.OnProgress(Snapshot{
				Elapsed:      time.Since(m.startedAt),
				Length:       r.plan.Day.Length,
				OfferedValue: float64(r.offeredValue.Load()) / 1000,
				InTimeValue:  float64(r.inTimeValue.Load()) / 1000,
				InFlight:     int(r.inFlight.Load()),
			})
		}
	}
}

// watchStalls measures how late a timer of the rehearsal's process fires, until done closes. It records each stall that is at least
// as long as Day.Rules.Tolerance, since a violation near such a stall may have another cause than the sidecar.
func (m *monitor) watchStalls(done <-chan struct{}) {
	for lastCheck := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		lateness := now.Sub(lastCheck) - stallCheckInterval
		lastCheck = now
		m.timerLateness.Record(lateness)
		m.longestStall = max(m.longestStall, lateness)
		if lateness >= m.rehearsal.plan.Day.Rules.Tolerance {
			m.rehearsal.recorder.Add(invariant.Event{Kind: invariant.HarnessStall, Duration: lateness})
		}
	}
}

// resources holds the CPU time that the rehearsal and its sidecars have used, and the rehearsal's peak resident memory.
type resources struct {
	ownCPU, sidecarsCPU time.Duration // CPU time of the rehearsal's process, and of all sidecar processes that have ended
	ownMemoryMB         float64       // peak resident memory of the rehearsal's process, in MB
}

// resourceUsage reads the resources used so far. Sidecars are included after they have ended. A value that the system does not
// provide is 0.
func resourceUsage() (r resources) {
	usageOf := func(who int) (time.Duration, float64) {
		var u syscall.Rusage
		if syscall.Getrusage(who, &u) != nil {
			return 0, 0
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano()), float64(u.Maxrss) / 1024
	}
	r.ownCPU, r.ownMemoryMB = usageOf(syscall.RUSAGE_SELF)
	r.sidecarsCPU, _ = usageOf(syscall.RUSAGE_CHILDREN)
	return r
}
