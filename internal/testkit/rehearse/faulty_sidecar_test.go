package rehearse

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"tuliprock/balance"
	"tuliprock/internal/config"
	"tuliprock/internal/eventloop"
	"tuliprock/internal/sidecar"
	"tuliprock/internal/testkit/baseline"
	"tuliprock/internal/testkit/invariant"
)

// The test binary is its own sidecar: good, or bad in a way that the referee must catch.
const badEnv = "REHEARSE_TEST_SIDECAR"

func TestMain(m *testing.M) {
	if kind := os.Getenv(badEnv); kind != "" {
		if err := runSidecar(kind); err != nil {
			slog.Error("sidecar", "err", err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func runSidecar(kind string) error {
	c, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	decide := eventloop.Module
	switch kind {
	case "good":
	case "answers twice":
		if c.Listen, err = doubled(c.Listen); err != nil {
			return err
		}
	case "keeps sending to what drains": // neither its module nor its connections hear of a drain
		if c.Discovery, err = deaf(c.Discovery); err != nil {
			return err
		}
	case "finds its port taken":
		if _, err := net.Listen("tcp", c.Listen); err != nil {
			return err
		}
	case "crashes":
		time.AfterFunc(2*time.Second, func() { os.Exit(3) })
	default:
		decide = func(now time.Duration, s balance.Settings, h balance.Host) balance.Events {
			return &bad{kind: kind, host: h, open: map[string]*badRequest{}, ready: map[string]balance.Endpoint{}, next: 0}
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	service, err := c.Service()
	if err != nil {
		return err
	}
	s, err := sidecar.StartWith(decide, service, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	return s.Serve(ctx)
}

// doubled takes callers at the sidecar's address, and sends all that the sidecar answers twice. It gives the address at
// which the sidecar must listen.
func doubled(listen string) (string, error) {
	hidden, err := freeLoopbackAddr(250)
	if err != nil {
		return "", err
	}
	_, err = relay(listen, hidden, func(text []byte) []byte {
		if strings.Contains(string(text), " 200 OK") && strings.Contains(string(text), "try-") {
			return append(slices.Clone(text), text...)
		}
		return text
	})
	return hidden, err
}

// deaf gives the address of a discovery that passes on what the one given says, but calls ready what drains.
func deaf(discovery string) (string, error) {
	return relay("127.0.0.1:0", discovery, func(text []byte) []byte {
		return bytes.ReplaceAll(text, []byte(`"Terminating"`), []byte(`"Ready"      `)) // of the same length
	})
}

// relay takes callers at an address, which it gives, passes them on to another, and changes what that one says.
func relay(listen, to string, change func([]byte) []byte) (string, error) {
	front, err := net.Listen("tcp", listen)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			caller, err := front.Accept()
			if err != nil {
				return
			}
			go func() {
				defer caller.Close()
				behind, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer behind.Close()
				go io.Copy(behind, caller)
				b := make([]byte, 64<<10)
				for {
					n, err := behind.Read(b)
					if err != nil {
						return
					}
					if _, err := caller.Write(change(b[:n])); err != nil {
						return
					}
				}
			}()
		}
	}()
	return front.Addr().String(), nil
}

// bad sends each request somewhere and then breaks a rule.
type bad struct {
	balance.Events // what it does not look at: nil
	kind           string
	host           balance.Host
	ready          map[string]balance.Endpoint
	names          []string
	open           map[string]*badRequest
	next           int
}

type badRequest struct {
	balance.Request
	sent int
}

func (b *bad) EndpointList(_ time.Duration, l balance.List) {
	if l.Complete {
		clear(b.ready)
	}
	for _, e := range l.Entries {
		if e.State != balance.Ready {
			delete(b.ready, e.ID)
		} else {
			b.ready[e.ID] = e
		}
	}
	b.names = b.names[:0]
	for id := range b.ready {
		b.names = append(b.names, id)
	}
	slices.Sort(b.names)
}

func (b *bad) Request(now time.Duration, r balance.Request) {
	q := &badRequest{Request: r}
	b.open[r.ID] = q
	b.send(now, q)
}

func (b *bad) send(now time.Duration, q *badRequest) {
	if len(b.names) == 0 || q.sent == 3 {
		delete(b.open, q.ID)
		b.host.Fail(q.ID)
		return
	}
	q.sent++
	b.next++
	to := b.names[b.next%len(b.names)]
	if b.kind == "floods what is cold" {
		for id, e := range b.ready {
			if e.Started > b.ready[to].Started {
				to = id
			}
		}
	}
	b.host.Send(q.ID, to, q.Deadline-now)
}

func (b *bad) Outcome(now time.Duration, o balance.Outcome) {
	q := b.open[o.ID]
	switch {
	case q == nil:
	case o.Final || o.Result == balance.OK:
		delete(b.open, o.ID)
	case b.kind == "resends what may have run":
		b.send(now, q)
	case b.kind == "refuses what may have run":
		delete(b.open, o.ID)
		b.host.Refuse(o.ID, 0)
	case b.kind == "never answers what failed":
	default:
		delete(b.open, o.ID)
		b.host.Fail(o.ID)
	}
}

func (b *bad) ClientLeft(_ time.Duration, id string)              { delete(b.open, id) }
func (b *bad) StreamStarted(time.Duration, string, int)           {}
func (b *bad) BodySent(time.Duration, string, int, time.Duration) {}
func (b *bad) Timer(time.Duration)                                {}
func (b *bad) Probed(time.Duration, balance.ProbeResult)          {}

// testDay has each trouble that a rule can be broken in, and is small.
const testDay = `format = 1
name = "test"
seed = 3
length = "8s"
[load]
use = 0.5
quota = 2
[roster]
notice = "100ms"
add = "100ms"
spread = "10ms"
[clients]
retries = 1
backoff = "50ms"
[rules]
fall_after = "1s"
[sidecars]
count = 2
[[tier]]
name = "front"
nodes = 4
work = 0.5
handshake = "1ms"
idle = "10s"
  [[tier.kind]]
  name = "k"
  share = 1
  cores = 2
  speed = 0.5
  slots = 20
  room = 5
  cold_from = 0.3
  cold_for = "6s"
[[tier]]
name = "back"
nodes = 4
work = 0.5
handshake = "1ms"
idle = "10s"
  [[tier.kind]]
  name = "k"
  share = 1
  cores = 2
  speed = 0.5
  slots = 20
  room = 5
  cold_from = 0.3
  cold_for = "6s"
[[class]]
name = "look"
effect = "safe"
share = 2
work = "40ms"
aim = "1s"
deadline = "3s"
worth = 5
[[class]]
name = "pay"
effect = "unsafe"
share = 1
work = "40ms"
aim = "1s"
deadline = "3s"
worth = 5
[[class]]
name = "book"
effect = "keyed"
window = "5s"
share = 1
work = "40ms"
aim = "1s"
deadline = "3s"
worth = 5
[[tenant]]
name = "t"
share = 1
usage = 1
[[trouble]]
kind = "reset"
at = "1s"
for = "2s"
share = 0.5
size = 0.5
[[trouble]]
kind = "drain"
at = "2s"
for = "1500ms"
share = 0.25
down = "300ms"
[[trouble]]
kind = "restart"
at = "6s"
for = "1s"
share = 0.5
how = "kill"
down = "300ms"
`

func testPlan(tb testing.TB, change ...string) *Plan {
	tb.Helper()
	text := testDay
	for i := 0; i+1 < len(change); i += 2 {
		if !strings.Contains(text, change[i]) {
			tb.Fatalf("the test's day has no %q", change[i])
		}
		text = strings.Replace(text, change[i], change[i+1], 1)
	}
	d, err := Parse("test.toml", []byte(text))
	if err != nil {
		tb.Fatal(err)
	}
	p, err := NewPlan(d, d.Seed, 1)
	if err != nil {
		tb.Fatal(err)
	}
	return p
}

func testSidecar(kind string) func() *exec.Cmd {
	return func() *exec.Cmd {
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), badEnv+"="+kind)
		return cmd
	}
}

// played plays a plan, once more and once more again where the machine did not let the rehearsal run: what that shows is no
// verdict on a sidecar.
func played(t *testing.T, plan *Plan, opt Options) *Result {
	t.Helper()
	var r *Result
	for range 3 {
		var err error
		if r, err = Play(t.Context(), plan, opt); err != nil {
			t.Fatal(err)
		}
		if r.Valid {
			return r
		}
		t.Logf("not valid: %v", r.Invalid)
	}
	t.Skipf("this machine is too busy for a rehearsal: %v", r.Invalid)
	return nil
}

// What the daemon does must hold, and what a bad sidecar does must be caught, by the right rule.
func TestABadSidecarIsCaught(t *testing.T) {
	for kind, rule := range map[string]int{
		"good":                         0,
		"answers twice":                1,
		"never answers what failed":    1,
		"crashes":                      1,
		"resends what may have run":    2,
		"refuses what may have run":    2,
		"keeps sending to what drains": 3,
		"floods what is cold":          4,
	} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			r := played(t, testPlan(t), Options{Command: testSidecar(kind)})
			for _, u := range r.Invariants.Rules {
				switch {
				case u.Number == rule && u.Verdict != invariant.Broken:
					t.Errorf("rule %d is %s: %v", rule, u.Verdict, u.Occasions)
				case rule == 0 && u.Verdict != invariant.Held:
					t.Errorf("rule %d is %s: %v, %+v", u.Number, u.Verdict, u.Occasions, u.Breaches)
				}
			}
			if r.Held != (rule == 0) {
				t.Errorf("held: %v", r.Held)
			}
			if kind == "crashes" && r.Invariants.Crashes == 0 {
				t.Error("no crash was seen")
			}
		})
	}
}

// The plain pickers keep the rule on effects; what else they break is theirs to show.
func TestPlainPickersServe(t *testing.T) {
	for _, name := range baseline.Names() {
		if _, err := baseline.New(name); err != nil {
			t.Error(err)
		}
	}
	if _, err := baseline.New("best"); err == nil || !strings.Contains(err.Error(), "random") {
		t.Errorf("an unknown one: %v", err)
	}
}

// hardDay replaces the troubles of the test's day.
func hardDay(troubles string, change ...string) []string {
	from := strings.Index(testDay, "[[trouble]]")
	return append([]string{testDay[from:], troubles}, change...)
}

// A drain that is told while a sidecar restarts reaches it by the watch only, once it is back: its last list says Ready.
func TestADrainToldDuringARestart(t *testing.T) {
	day := hardDay(`[[trouble]]
kind = "restart"
at = "1500ms"
for = "1s"
share = 1
how = "kill"
down = "1500ms"
[[trouble]]
kind = "drain"
at = "1700ms"
for = "4s"
share = 0.25
down = "300ms"
`, "count = 2", "count = 1")
	for kind, want := range map[string]invariant.Verdict{"good": invariant.Held, "keeps sending to what drains": invariant.Broken} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			r := played(t, testPlan(t, day...), Options{Command: testSidecar(kind)})
			if u := r.Invariants.Rules[2]; u.Verdict != want || u.Occasions["drains told"] < 1 {
				t.Errorf("%s: %v, %+v", u.Verdict, u.Occasions, u.Breaches)
			}
		})
	}
}

// A late roster lists a dead node as ready while another, cold, stands at its address under a new id.
func TestALateRosterAndANewNodeAtAnOldAddress(t *testing.T) {
	t.Parallel()
	day := hardDay(`[[trouble]]
kind = "crash"
at = "1s"
for = "500ms"
share = 0.25
how = "renamed"
[[trouble]]
kind = "crash"
at = "3s"
for = "500ms"
share = 0.25
how = "renamed"
tier = "back"
`, `notice = "100ms"`, `notice = "2s"`)
	r := played(t, testPlan(t, day...), Options{Command: testSidecar("good")})
	if !r.Held || r.Invariants.Rules[2].Occasions["ends told"] < 2 || r.Invariants.Rules[3].Tests < 2 || r.Invariants.Falls != 0 {
		t.Errorf("held %v, falls %d: %+v", r.Held, r.Invariants.Falls, r.Invariants.Rules)
	}
}
