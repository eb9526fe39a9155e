// Package invariant holds the four rules against a timeline of what happened. It is pure: it is fed what stand-ins saw,
// never what a sidecar says of itself, and states for each rule whether it was held, broken, or not put to the test.
package invariant

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Kind is what an Event tells.
type Kind uint8

// The kinds. A request is known by its id, which is new with each try and each call to a further tier.
const (
	Asked      Kind = iota // a caller writes a request to Sidecar; Class and Until hold
	Answered               // and got its whole answer, with Status; Genuine if an endpoint made what was served
	Extra                  // bytes came on the caller's connection after the answer
	Lost                   // the connection ended without a whole answer
	Unanswered             // the time was up, and an allowance on top, and nothing had come
	Left                   // the caller hung up
	NotTaken               // the request could not be written whole: nothing is owed
	Sent                   // an attempt's last byte came at Node; its first byte came at First; Work holds
	Declined               // Node turned it away: it never runs
	Began                  // its effect begins at Node; Repeat if Node dropped it as one seen before
	Done                   // Node answers it
	Dropped                // the attempt's connection was ended from the sidecar's side
	Told                   // Sidecar was told that Node is ready, draining or gone, by State; Since is when it is said to have started
	Started                // Node started, cold if ColdFor > 0; Capacity holds
	Stopped                // Node died: what it had is gone, its connections are reset
	Fell                   // Node, cold, was pushed over
	Up                     // Sidecar's process is started; what it was told before is void
	Term                   // Sidecar was sent SIGTERM
	Killed                 // Sidecar was sent SIGKILL
	Exited                 // Sidecar's process ended; Crash if nobody asked for it
	Paused                 // Sidecar's process was stopped, and does not run
	Resumed                // and runs again, after For
	Stall                  // the rehearsal itself did not get to run for For, up to this instant
)

// State is what discovery tells of a node.
type State uint8

// The states.
const (
	Ready State = iota
	Draining
	Gone
)

// Effect says what repeating a request of a class may do.
type Effect uint8

// The effects.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Event is one thing that happened. Only the fields named at its Kind are set.
type Event struct {
	At       time.Duration // since the start of the day
	Kind     Kind
	Request  string
	Sidecar  string
	Node     string
	Class    int
	Until    time.Duration // the caller waits until then
	First    time.Duration
	Work     float64 // seconds of work on a core at yardstick speed
	Status   int
	Genuine  bool
	Repeat   bool
	Crash    bool
	State    State
	Cell     int
	Capacity float64 // work a second when warm
	ColdFrom float64 // share of it right after the start
	ColdFor  time.Duration
	For      time.Duration
	Since    time.Duration
}

// Class is what the rules say of a class of requests.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // for Keyed: within it, nodes of one cell drop a repeat
}

// Rules are the figures of the rules.
type Rules struct {
	Classes      []Class
	MaxAttempts  int
	Slack        time.Duration // that each limit of time is longer than its wording
	DrainGrace   time.Duration
	FallMultiple float64
	FallAfter    time.Duration
	FallSlack    float64       // share of the budget that chance may add
	TermGrace    time.Duration // after SIGTERM, for which what is taken must still be answered
}

// Verdict is what became of a rule on a day.
type Verdict string

// The verdicts. A rule without an occasion is never held.
const (
	Held     Verdict = "held"
	Broken   Verdict = "broken"
	Untested Verdict = "not put to the test"
)

// Breach is one break of a rule.
type Breach struct {
	Rule    int           `json:"rule"`
	At      time.Duration `json:"at_ns"`
	Request string        `json:"request,omitempty"`
	Sidecar string        `json:"sidecar,omitempty"`
	Node    string        `json:"node,omitempty"`
	What    string        `json:"what"`
}

// Rule is the finding on one rule.
type Rule struct {
	Number    int            `json:"number"`
	Name      string         `json:"name"`
	Verdict   Verdict        `json:"verdict"`
	Tests     int            `json:"tests"`     // occasions on which it could have been broken
	Occasions map[string]int `json:"occasions"` // what there was, by name
	Breaches  []Breach       `json:"breaches"`
	Broken    int            `json:"broken"` // breaches in all; Breaches keeps the first of them
}

// breachesKept bounds what a report holds: one cause breaks a rule thousands of times.
const breachesKept = 100

var ruleNames = [4]string{"one final answer in time", "no double effect", "nothing new to what drains or is gone",
	"no cold endpoint pushed over"}

// Report is the finding on all rules.
type Report struct {
	Rules   [4]Rule `json:"rules"`
	Crashes int     `json:"crashes"`
	Falls   int     `json:"falls"`
}

// Held tells whether no rule was broken and no sidecar crashed.
func (r *Report) Held() bool {
	return r.Crashes == 0 && !slices.ContainsFunc(r.Rules[:], func(u Rule) bool { return u.Verdict == Broken })
}

// Judge holds the rules against a timeline. Events need not be in order of their instants: it sorts them in place, since
// a long day's timeline is too large to hold twice.
func Judge(rules Rules, events []Event) *Report {
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	j := &judge{rules: rules, report: &Report{}, requests: map[string]*request{}, nodes: map[string]*node{}, sidecars: map[string]*sidecar{}}
	for i := range j.report.Rules {
		j.report.Rules[i] = Rule{Number: i + 1, Name: ruleNames[i], Occasions: map[string]int{}, Breaches: []Breach{}}
	}
	for i := range events {
		j.see(&events[i])
	}
	j.finish()
	return j.report
}

type judge struct {
	rules    Rules
	report   *Report
	requests map[string]*request
	order    []*request
	nodes    map[string]*node
	sidecars map[string]*sidecar
}

type request struct {
	asked    Event
	life     *sidecar // of the process that took it
	known    bool
	answers  int
	over     bool // answered, lost, or its caller has left
	overAt   time.Duration
	attempts []*attempt
}

type attempt struct {
	sent     Event
	declined bool
	endedAt  time.Duration
	ended    bool
}

type node struct {
	started  Event
	up, cold bool
	recent   []Event // sent within the window, while cold
	flagged  bool
	tested   bool
}

type sidecar struct {
	termAt       time.Duration
	term, killed bool
	paused       bool
	resumedAt    time.Duration // the last time; 0: never
	told         map[string]*notice
	starts       map[string]time.Duration // the latest start that it was told of, by node
}

func newSidecar() *sidecar {
	return &sidecar{told: map[string]*notice{}, starts: map[string]time.Duration{}}
}

type notice struct {
	at    time.Duration
	state State
	used  bool // the sidecar has sent something elsewhere since the grace ended
}

func (j *judge) breach(rule int, e *Event, what string, args ...any) {
	r := &j.report.Rules[rule-1]
	r.Broken++
	if len(r.Breaches) < breachesKept {
		r.Breaches = append(r.Breaches, Breach{Rule: rule, At: e.At, Request: e.Request, Sidecar: e.Sidecar, Node: e.Node, What: fmt.Sprintf(what, args...)})
	}
}

// count notes an occasion; tests is whether the rule could have been broken on it.
func (j *judge) count(rule int, what string, tests bool) {
	r := &j.report.Rules[rule-1]
	r.Occasions[what]++
	if tests {
		r.Tests++
	}
}

func (j *judge) request(id string) *request {
	q := j.requests[id]
	if q == nil {
		q = &request{}
		j.requests[id] = q
		j.order = append(j.order, q)
	}
	return q
}

func (j *judge) node(id string) *node {
	n := j.nodes[id]
	if n == nil {
		n = &node{}
		j.nodes[id] = n
	}
	return n
}

func (j *judge) sidecar(id string) *sidecar {
	s := j.sidecars[id]
	if s == nil {
		s = newSidecar()
		j.sidecars[id] = s
	}
	return s
}

func (j *judge) class(q *request) Class {
	if q.asked.Class >= 0 && q.asked.Class < len(j.rules.Classes) {
		return j.rules.Classes[q.asked.Class]
	}
	return Class{Effect: Unsafe}
}

func (j *judge) see(e *Event) {
	switch e.Kind {
	case Asked:
		j.seeAsked(e)
	case NotTaken:
		q := j.request(e.Request)
		q.over, q.overAt = true, e.At
		r := &j.report.Rules[0]
		r.Tests--
		r.Occasions["requests taken"]--
	case Answered, Extra, Lost, Unanswered, Left:
		j.seeEnd(e)
	case Sent:
		j.seeSent(e)
	case Declined, Done, Dropped:
		j.seeAttemptEnd(e)
	case Began:
		j.seeBegan(e)
	case Told:
		j.seeTold(e)
	case Started:
		n := j.node(e.Node)
		*n = node{started: *e, up: true, cold: e.ColdFor > 0}
	case Stopped:
		j.seeStopped(e)
	case Fell:
		j.report.Falls++
		j.seeFell(e)
	case Up:
		j.sidecars[e.Sidecar] = newSidecar()
	case Term:
		s := j.sidecar(e.Sidecar)
		s.term, s.termAt = true, e.At
	case Killed:
		j.sidecar(e.Sidecar).killed = true
	case Paused:
		s := j.sidecar(e.Sidecar)
		s.paused = true
	case Resumed:
		j.seeResumed(e)
	case Exited:
		if e.Crash {
			j.report.Crashes++
			j.breach(1, e, "the sidecar's process ended by itself")
		}
	}
}

// seeAsked takes a request. A caller writes it once more where its connection ended before anything came: a sidecar may
// close one between requests, but not one whose request it has read.
func (j *judge) seeAsked(e *Event) {
	q := j.request(e.Request)
	if q.known {
		if len(q.attempts) > 0 && !j.excused(q) {
			j.breach(1, e, "its first connection was closed, though an attempt had been made")
		}
		q.attempts = nil // of a process that has gone
	} else {
		j.count(1, "requests taken", true)
	}
	q.asked, q.known, q.life = *e, true, j.sidecar(e.Sidecar)
}

// excused tells whether what a sidecar held went under with it: killed outright, or taken so long after SIGTERM that
// it need not be answered any more.
func (j *judge) excused(q *request) bool {
	s := q.life
	switch {
	case s == nil:
		return false
	case s.killed && !s.term:
		return true
	case s.term:
		return s.killed && q.asked.At > s.termAt+j.rules.TermGrace
	}
	return false
}

// seeResumed counts what a stopped process was told meanwhile as told now.
func (j *judge) seeResumed(e *Event) {
	s := j.sidecar(e.Sidecar)
	s.paused, s.resumedAt = false, e.At
	for _, n := range s.told {
		if n.at > e.At-e.For {
			n.at = e.At
		}
	}
}

// heldUp tells whether the process that took a request did not run for a part of its time. What it then answers may be
// late; it is still answered once, and nothing takes effect twice.
func (q *request) heldUp() bool {
	return q.life != nil && (q.life.paused || q.life.resumedAt > q.asked.At)
}

// seeEnd is rule 1, and the refusals of rule 2.
func (j *judge) seeEnd(e *Event) {
	q := j.request(e.Request)
	e.Sidecar = q.asked.Sidecar
	switch e.Kind {
	case Answered:
		q.answers++
		if q.answers > 1 {
			j.breach(1, e, "answered %d times", q.answers)
			return
		}
		j.judgeAnswer(q, e)
	case Extra:
		j.breach(1, e, "more came after the final answer")
	case Lost:
		if j.excused(q) {
			j.count(1, "went under with a sidecar that was ended", false)
		} else {
			j.breach(1, e, "the connection ended without a whole answer")
		}
	case Unanswered:
		switch {
		case j.excused(q):
			j.count(1, "went under with a sidecar that was ended", false)
		case q.heldUp():
			j.count(1, "held up by a sidecar that was stopped", false)
		default:
			j.breach(1, e, "no answer %v after its time was up", (e.At - q.asked.Until).Round(time.Millisecond))
		}
	case Left:
		j.count(1, "callers that left", false)
	}
	if !q.over {
		q.over, q.overAt = true, e.At
	}
}

func (j *judge) judgeAnswer(q *request, e *Event) {
	if late := e.At - q.asked.Until; late > j.rules.Slack && q.heldUp() {
		j.count(1, "held up by a sidecar that was stopped", false)
	} else if late > j.rules.Slack {
		j.breach(1, e, "answered %v after its time was up", late.Round(time.Millisecond))
	}
	switch e.Status {
	case 200:
		j.count(1, "served", false)
		if !e.Genuine {
			j.breach(1, e, "served with what no endpoint made for it")
		}
	case 429, 503:
		j.count(1, "refused", false)
		if len(q.attempts) > 0 {
			j.count(2, "refusals after an attempt", true)
		}
		if c := j.class(q); c.Effect != Safe && slices.ContainsFunc(q.attempts, (*attempt).mayHaveRun) {
			j.breach(2, e, "refused (%d), though an attempt may have run", e.Status)
		}
	default:
		j.count(1, "failed", false)
	}
}

// mayHaveRun goes by evidence alone: what came whole and was not turned away.
func (a *attempt) mayHaveRun() bool { return !a.declined }

// seeSent is rules 2, 3 and 4 on an attempt.
func (j *judge) seeSent(e *Event) {
	q := j.request(e.Request)
	e.Sidecar = q.asked.Sidecar
	if !q.known {
		j.breach(2, e, "an endpoint got a request that nobody had asked for")
		return
	}
	a := &attempt{sent: *e}
	if len(q.attempts) > 0 {
		j.count(2, "attempts after the first", true)
		j.judgeResend(q, e)
	}
	q.attempts = append(q.attempts, a)
	if q.over && e.First > q.overAt+j.rules.Slack { // a caller that leaves and a send cross each other
		j.breach(2, e, "sent %v after its end", (e.First - q.overAt).Round(time.Millisecond))
	}
	j.judgeDrain(q.life, e)
	j.judgeCold(q.life, e)
}

func (j *judge) judgeResend(q *request, e *Event) {
	c := j.class(q)
	if n := len(q.attempts) + 1; j.rules.MaxAttempts > 0 && n > j.rules.MaxAttempts {
		j.breach(2, e, "attempt %d, at most %d are allowed", n, j.rules.MaxAttempts)
	}
	for _, o := range q.attempts {
		if !o.mayHaveRun() {
			continue
		}
		switch {
		case c.Effect == Unsafe:
			j.breach(2, e, "unsafe work sent again, though the attempt at %s may have run", o.sent.Node)
			return
		case c.Effect == Keyed && o.sent.Cell != e.Cell:
			j.breach(2, e, "keyed work that may have run at %s (cell %d) sent to cell %d", o.sent.Node, o.sent.Cell, e.Cell)
			return
		case c.Effect == Keyed && e.First > o.sent.At+c.Window+j.rules.Slack:
			j.breach(2, e, "keyed work sent again %v after the first send, its window is %v", (e.First - o.sent.At).Round(time.Millisecond), c.Window)
			return
		}
	}
}

// seeAttemptEnd closes the latest attempt at the node that is still out.
func (j *judge) seeAttemptEnd(e *Event) {
	q := j.request(e.Request)
	for i := len(q.attempts) - 1; i >= 0; i-- {
		if a := q.attempts[i]; a.sent.Node == e.Node && !a.ended {
			a.ended, a.endedAt, a.declined = true, e.At, e.Kind == Declined
			return
		}
	}
}

// seeBegan counts effects. Nodes that take the same keyed work twice show what a resend has done.
func (j *judge) seeBegan(e *Event) {
	if e.Repeat {
		j.count(2, "repeats that nodes dropped", false)
	}
}

func (j *judge) seeTold(e *Event) {
	s := j.sidecar(e.Sidecar)
	o := s.told[e.Node]
	if e.State == Ready {
		delete(s.told, e.Node)
		s.starts[e.Node] = e.Since
		return
	}
	if o == nil { // a change from draining to gone does not start the grace anew
		s.told[e.Node] = &notice{at: e.At, state: e.State}
		j.count(3, map[State]string{Draining: "drains told", Gone: "ends told"}[e.State], false)
	}
}

// judgeDrain is rule 3. A send counts from its first byte. A notice puts the rule to the test once its sidecar has
// sent something, anywhere, after the grace.
func (j *judge) judgeDrain(s *sidecar, e *Event) {
	limit := j.rules.DrainGrace + j.rules.Slack
	for id, n := range s.told {
		if e.First <= n.at+limit {
			continue
		}
		if !n.used {
			n.used = true
			j.count(3, "notices followed by traffic", true)
		}
		if id == e.Node {
			j.breach(3, e, "sent %v after the sidecar was told that the node %s", (e.First - n.at).Round(time.Millisecond), map[State]string{Draining: "drains", Gone: "is gone"}[n.state])
		}
	}
}

// budget is the work that a cold node may be sent within a window: multiple x what it can do at that moment x window.
func budget(rules Rules, started Event, at time.Duration) float64 {
	share := started.ColdFrom + (1-started.ColdFrom)*min(float64(at-started.At)/float64(max(started.ColdFor, 1)), 1)
	return rules.FallMultiple * share * started.Capacity * rules.FallAfter.Seconds()
}

// judgeCold is rule 4, as a budget for every window; what is turned away adds pressure too.
func (j *judge) judgeCold(s *sidecar, e *Event) {
	n := j.node(e.Node)
	if !n.cold || !n.up {
		return
	}
	if e.At >= n.started.At+n.started.ColdFor {
		n.cold, n.recent = false, nil
		return
	}
	if !n.tested {
		n.tested = true
		j.count(4, "cold starts with work sent", true)
	}
	e.Genuine = s.starts[e.Node] >= n.started.At-startRounding // here: sent by a sidecar that knew
	n.recent = slices.DeleteFunc(append(n.recent, *e), func(o Event) bool { return o.At <= e.At-j.rules.FallAfter })
	sum, _ := n.pressure()
	if limit := budget(j.rules, n.started, e.At) * (1 + j.rules.FallSlack); sum > limit && !n.flagged {
		n.flagged = true
		if !j.blameFor(n) {
			return
		}
		j.breach(4, e, "sent %.2f s of work within %v, %.2f s is the most for one that started %v ago", sum, j.rules.FallAfter, limit, (e.At - n.started.At).Round(time.Millisecond))
	}
}

// startRounding is how far a start as discovery tells it, in whole milliseconds, may lie before the true one.
const startRounding = 2 * time.Millisecond

// knownShare is the part of the work on a cold node that must have come from sidecars told of its start for its fall
// to be their doing.
const knownShare = 2.0 / 3

// pressure is the work sent to a cold node lately, and the part of it that came from sidecars told of its start.
func (n *node) pressure() (sum, known float64) {
	for _, o := range n.recent {
		sum += o.Work
		if o.Genuine {
			known += o.Work
		}
	}
	return sum, known
}

// blameFor tells whether too much work on a cold node is the sidecars' doing.
func (j *judge) blameFor(n *node) bool {
	if sum, known := n.pressure(); known < knownShare*sum {
		j.count(4, "pushed by sidecars not yet told of the start", false)
		return false
	}
	return true
}

func (j *judge) seeFell(e *Event) {
	n := j.node(e.Node)
	if !n.flagged {
		n.flagged = true
		if j.blameFor(n) {
			j.breach(4, e, "pushed over")
		}
	}
}

func (j *judge) seeStopped(e *Event) {
	j.node(e.Node).up = false
	for _, q := range j.order {
		for _, a := range q.attempts {
			if a.sent.Node == e.Node && !a.ended {
				a.ended, a.endedAt = true, e.At
			}
		}
	}
}

// finish looks for attempts of one request that were out together, and gives the verdicts.
func (j *judge) finish() {
	for _, q := range j.order {
		for i, a := range q.attempts {
			for _, o := range q.attempts[:i] {
				if !o.ended || o.endedAt > a.sent.At+j.rules.Slack {
					e := a.sent
					e.Sidecar = q.asked.Sidecar
					j.breach(2, &e, "sent while the attempt at %s was out", o.sent.Node)
				}
			}
		}
	}
	for i := range j.report.Rules {
		r := &j.report.Rules[i]
		switch {
		case r.Broken > 0:
			r.Verdict = Broken
		case r.Tests > 0:
			r.Verdict = Held
		default:
			r.Verdict = Untested
		}
	}
}
