package crowd

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Play is a run of a daemon under clients, endpoints and signals that a seed decides on.
type Play struct {
	Seed        uint64
	MemoryMB    int
	Descriptors int
	Endpoints   int
	CannotStop  bool
	CrowdSize   int // 0: no crowd
	Forms       []Form
	Reloads     []time.Duration // when SIGHUP is sent
	Stops       []time.Duration // when the process is stopped for stopTime
	TerminateAt time.Duration   // when SIGTERM is sent, and killDelay later SIGKILL; 0: never
}

const (
	playTime = 10 * time.Second // length of a play, without the wait for the last answers
	// killDelay is the time from SIGTERM to SIGKILL: the longest deadline, counted as 3 s, and 0.7 s.
	killDelay = 3700 * time.Millisecond
	// stopTime is the longest time for which the pages let a process be held up.
	stopTime = 150 * time.Millisecond
	// answerSlack is how long after its time an answer may come before the request counts as lost.
	answerSlack = 500 * time.Millisecond
	// unansweredAtKill is how long before SIGKILL a request may be sent and stay without an answer.
	unansweredAtKill = 500 * time.Millisecond
	// crossingTime is the longest time after a request's last byte at which its connection can have been closed before the daemon had
	// received the request.
	crossingTime    = 20 * time.Millisecond
	keptConnections = 5 // clients that keep their connections
	usualDeadline   = 2300 * time.Millisecond
	usualPatience   = usualDeadline + answerSlack + 200*time.Millisecond
)

// DrawPlay draws the play of a seed.
func DrawPlay(seed uint64) Play {
	random := rand.New(rand.NewPCG(seed, 62))
	limits := []struct{ memoryMB, descriptors int }{{32, 1024}, {32, 256}, {48, 512}, {96, 512}, {192, 1024}}[random.IntN(5)]
	p := Play{Seed: seed, MemoryMB: limits.memoryMB, Descriptors: limits.descriptors, Endpoints: 3 + random.IntN(6), CannotStop: random.IntN(4) == 0}
	if random.IntN(4) > 0 {
		p.CrowdSize = min(100+random.IntN(500), limits.descriptors*45/100)
		for range 1 + random.IntN(4) {
			p.Forms = append(p.Forms, Forms[random.IntN(len(Forms))])
		}
	}
	instant := func(from, to time.Duration) time.Duration { return from + time.Duration(random.Int64N(int64(to-from))) }
	for range random.IntN(4) {
		p.Reloads = append(p.Reloads, instant(time.Second, playTime))
	}
	for range random.IntN(3) {
		p.Stops = append(p.Stops, instant(time.Second, playTime))
	}
	if random.IntN(2) == 0 {
		p.TerminateAt = instant(3*time.Second, 5*time.Second)
	}
	return p
}

func (p Play) String() string {
	var forms []string
	for _, f := range p.Forms {
		forms = append(forms, f.Name)
	}
	return fmt.Sprintf("seed %d: %d MB, %d descriptors, %d endpoints, cannot stop %t, crowd of %d (%s), SIGHUP %v, stops %v, SIGTERM %v",
		p.Seed, p.MemoryMB, p.Descriptors, p.Endpoints, p.CannotStop, p.CrowdSize, strings.Join(forms, "; "), p.Reloads, p.Stops, p.TerminateAt)
}

// Report is what a play has shown.
type Report struct {
	Violations []string
	Requests   int            // requests of usual clients whose answers were checked
	Statuses   map[int]int    // their answers by status; 0: none
	Unanswered map[string]int // why no answer is counted as a violation, for those without one
	PeakKiB    int            // highest resident set of a process
}

// sentRequest is a request of a usual client with its answer.
type sentRequest struct {
	Request
	Answer
}

// runner is a play that is running.
type runner struct {
	play      Play
	stage     *Stage
	startedAt time.Time

	mu           sync.Mutex // guards the fields below
	requests     []sentRequest
	report       Report
	terminatedAt time.Time
	killedAt     time.Time // zero: not yet
	restartedAt  time.Time
}

// Run plays the play on a stage that was started with its options, and checks what was seen.
func (p Play) Run(ctx context.Context, stage *Stage) (Report, error) {
	r := &runner{play: p, stage: stage, startedAt: time.Now(), report: Report{Statuses: map[int]int{}, Unanswered: map[string]int{}}}
	ctx, stop := context.WithTimeout(ctx, playTime)
	defer stop()
	var group sync.WaitGroup
	for i := range p.CrowdSize {
		group.Go(func() { r.playCrowd(ctx, i) })
	}
	group.Go(func() { r.sendUsual(ctx) })
	for i := range keptConnections {
		group.Go(func() { r.keepConnection(ctx, i) })
	}
	errs := make(chan error, 1)
	group.Go(func() { errs <- r.sendSignals(ctx) })
	group.Wait()
	r.recordPeak()
	if err, hasExited := stage.Exited(); hasExited {
		r.violate("the process ended by itself: %v", err)
	}
	r.check()
	return r.report, <-errs
}

func (r *runner) violate(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, arguments...))
}

func (r *runner) playCrowd(ctx context.Context, i int) {
	random := rand.New(rand.NewPCG(r.play.Seed, uint64(i)))
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(random.IntN(2000)) * time.Millisecond):
	}
	for ctx.Err() == nil {
		c := &Client{Addr: r.stage.Addr, Deadline: 2500 * time.Millisecond}
		if c.Run(ctx, r.play.Forms[random.IntN(len(r.play.Forms))]) != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// sendUsual sends requests of all kinds on a schedule that the seed decides on, and waits for their answers.
func (r *runner) sendUsual(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.play.Seed, 1<<32))
	var group sync.WaitGroup
	for ctx.Err() == nil {
		request := drawRequest(random)
		group.Go(func() {
			if !r.mayConnect() {
				return
			}
			a := request.Send(r.stage.Addr)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.requests = append(r.requests, sentRequest{request, a})
		})
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(20+random.IntN(120)) * time.Millisecond):
		}
	}
	group.Wait()
}

// keepConnection sends one request after another on a connection that it keeps for as long as it stays open, also while the process ends.
func (r *runner) keepConnection(ctx context.Context, i int) {
	random := rand.New(rand.NewPCG(r.play.Seed, 1<<33+uint64(i)))
	for ctx.Err() == nil {
		if !r.mayConnect() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		session, err := OpenSession(r.stage.Addr)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		for isOpen := true; isOpen && ctx.Err() == nil; {
			request := Request{Class: LookupClass, Deadline: usualDeadline, Patience: usualPatience}
			if random.IntN(3) == 0 {
				request.Class, request.Length = DispatchClass, 1+random.IntN(4000)
			}
			request.Behavior.Work = time.Duration(random.IntN(300)) * time.Millisecond
			a := session.Send(request)
			r.mu.Lock()
			r.requests = append(r.requests, sentRequest{request, a})
			r.mu.Unlock()
			isOpen = a.Err == nil && !a.ClosesConnection
			time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		}
		session.Close()
	}
}

// drawRequest draws a request of a usual client.
func drawRequest(random *rand.Rand) Request {
	r := Request{Class: LookupClass, Deadline: usualDeadline, Patience: usualPatience}
	pick := func(values ...int) int { return values[random.IntN(len(values))] }
	switch random.IntN(6) {
	case 0, 1:
		r.Behavior.Work = time.Duration(random.IntN(100)) * time.Millisecond
	case 2:
		r.Class, r.Length, r.Behavior.Work = DispatchClass, 1+random.IntN(4000), time.Duration(random.IntN(100))*time.Millisecond
	case 3: // an upload that its endpoint reads slowly
		r.Class, r.Length, r.IsChunked = DispatchClass, 70_000+random.IntN(1_000_000), random.IntN(2) == 0
		r.Rate, r.Behavior.ReadRate = pick(0, 200_000, 1_000_000), pick(0, 80_000, 110_000, 400_000)
	case 4: // an upload to an endpoint that stops reading
		r.Class, r.Length, r.IsChunked = DispatchClass, 70_000+random.IntN(1_000_000), random.IntN(2) == 0
		r.Rate, r.Behavior.StopAfter = pick(0, 200_000), 10_000+random.IntN(40_000)
	case 5: // a long answer that is written slowly
		r.Patience = 8 * time.Second
		r.Behavior = Behavior{ResponseSize: 70_000 + random.IntN(300_000), WriteRate: pick(0, 80_000, 200_000), IsChunked: random.IntN(2) == 0}
	}
	return r
}

// sendSignals sends the signals of the play to the daemon, and starts a new process after SIGKILL.
func (r *runner) sendSignals(ctx context.Context) error {
	var group sync.WaitGroup
	at := func(instant time.Duration, act func()) {
		group.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(time.Until(r.startedAt.Add(instant))):
				act()
			}
		})
	}
	for _, instant := range r.play.Reloads {
		at(instant, func() { _ = r.stage.Signal(syscall.SIGHUP) }) // fails only if the process has ended, which is checked
	}
	for _, instant := range r.play.Stops {
		at(instant, func() {
			_ = r.stage.Signal(syscall.SIGSTOP)
			time.Sleep(stopTime)
			_ = r.stage.Signal(syscall.SIGCONT)
		})
	}
	var err error
	if r.play.TerminateAt > 0 {
		at(r.play.TerminateAt, func() { err = r.replaceProcess() })
	}
	group.Wait()
	return err
}

// replaceProcess ends the daemon as at a planned restart, and starts it again.
func (r *runner) replaceProcess() error {
	r.recordPeak()
	r.mu.Lock()
	r.terminatedAt = time.Now()
	r.mu.Unlock()
	if err := r.stage.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	hasEnded := r.stage.AwaitExit(killDelay)
	r.mu.Lock()
	r.killedAt = time.Now()
	r.mu.Unlock()
	if !hasEnded {
		r.recordPeak()
		_ = r.stage.Signal(syscall.SIGKILL) // fails only if the process has ended
		r.stage.AwaitExit(time.Second)
	} else if err, _ := r.stage.Exited(); err != nil {
		r.violate("the process ended after SIGTERM with %v", err)
	}
	err := r.stage.StartDaemon()
	r.mu.Lock()
	r.restartedAt = time.Now()
	r.mu.Unlock()
	return err
}

// recordPeak records the highest resident set of the present process. A process that has ended is not recorded.
func (r *runner) recordPeak() {
	memory, err := r.stage.Memory()
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.PeakKiB = max(r.report.PeakKiB, memory.Peak)
}

// check checks the rules for all requests, and the memory.
func (r *runner) check() {
	runs := map[string]int{}
	for _, e := range r.stage.Endpoints {
		for id, n := range e.Runs() {
			runs[id] += n
		}
	}
	for _, s := range r.requests {
		r.report.Statuses[s.Status]++
		r.report.Requests++
		if s.Status == 0 {
			r.report.Unanswered[s.unansweredBecause(r.wasInterrupted(s.Answer))]++
		}
		for _, violation := range s.violations(runs[s.ID], r.wasInterrupted(s.Answer)) {
			r.violate("id %s (%+v): %s", s.ID, s.Request, violation)
		}
	}
	if limit := r.play.MemoryMB * 1_000_000 / 1024; r.report.PeakKiB > limit {
		r.violate("the resident set reached %d KiB of %d", r.report.PeakKiB, limit)
	}
}

// connectTime is for how long new connections go on coming after SIGTERM.
const connectTime = 400 * time.Millisecond

// mayConnect reports whether clients open new connections now: the platform leads them elsewhere soon after SIGTERM.
func (r *runner) mayConnect() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.terminatedAt.IsZero() || !r.restartedAt.IsZero() || time.Since(r.terminatedAt) < connectTime
}

// wasInterrupted reports whether a request was sent so late before the end of a process, or while none ran, that it may have no answer.
func (r *runner) wasInterrupted(a Answer) bool {
	if r.killedAt.IsZero() {
		return false
	}
	sentAt := a.SentAt
	if sentAt.IsZero() {
		sentAt = a.EndedAt
	}
	return sentAt.After(r.killedAt.Add(-unansweredAtKill)) && (r.restartedAt.IsZero() || sentAt.Before(r.restartedAt)) ||
		a.EndedAt.After(r.terminatedAt) && sentAt.Before(r.killedAt) && a.Status == http.StatusOK // a stream may be cut off at the end
}

// unansweredBecause returns why a request has no answer, as far as the client can tell.
func (s sentRequest) unansweredBecause(wasInterrupted bool) string {
	switch {
	case s.EndedAt.IsZero():
		return "not connected"
	case wasInterrupted:
		return "process ended"
	case s.SentAt.IsZero():
		return "not written"
	case s.Took() <= crossingTime:
		return "closed before it came"
	}
	return "violation"
}

// violations returns which rules the answer to a request breaks that has arrived completely at endpoints the given number of times.
func (s sentRequest) violations(runs int, wasInterrupted bool) (violations []string) {
	if s.Class == DispatchClass && runs > 1 {
		violations = append(violations, fmt.Sprintf("an unsafe request ran %d times", runs))
	}
	if s.Class == DispatchClass && runs > 0 && (s.Status == http.StatusServiceUnavailable || s.Status == http.StatusTooManyRequests) {
		violations = append(violations, fmt.Sprintf("an unsafe request that ran was refused with %d", s.Status))
	}
	if s.SentAt.IsZero() || wasInterrupted {
		return violations
	}
	switch complete := ResponseBody(s.ID, s.Behavior.ResponseSize); {
	case s.Status == http.StatusOK && s.Err == nil && s.Body != complete:
		violations = append(violations, fmt.Sprintf("the answer has %d bytes that are not its endpoint's %d", len(s.Body), len(complete)))
	case s.Status == http.StatusOK && s.Err != nil && s.Took() < s.Patience:
		violations = append(violations, fmt.Sprintf("the answer was cut off after %d of %d bytes and %v: %v", len(s.Body), len(complete), s.Took(), s.Err))
	}
	switch {
	case !s.BeganAt.IsZero():
	case s.Took() > s.Deadline+answerSlack:
		violations = append(violations, fmt.Sprintf("no answer %v after the last byte", s.Took()))
	case s.Took() > crossingTime:
		violations = append(violations, fmt.Sprintf("closed without an answer %v after the last byte: %v", s.Took(), s.Err))
	}
	if !s.BeganAt.IsZero() && s.BeganAt.Sub(s.SentAt) > s.Deadline+answerSlack {
		violations = append(violations, fmt.Sprintf("the answer %d began %v after the last byte", s.Status, s.BeganAt.Sub(s.SentAt)))
	}
	return violations
}
