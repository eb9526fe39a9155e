package rehearse

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"tuliprock/deploy/rehearsals"
	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

func TestTheSameSeedGivesTheSamePlan(t *testing.T) {
	for _, name := range rehearsals.Names() {
		text, _ := rehearsals.Text(name)
		printed := func(seed uint64, demand float64) string {
			d, err := Parse(name+".toml", text)
			if err != nil {
				t.Fatal(err)
			}
			p, err := NewPlan(d, seed, demand)
			if err != nil {
				t.Fatal(err)
			}
			var b bytes.Buffer
			if err := p.Print(&b); err != nil {
				t.Fatal(err)
			}
			return b.String()
		}
		first := printed(5, 1)
		if first != printed(5, 1) {
			t.Errorf("%s: two plans of one seed differ", name)
		}
		if first == printed(6, 1) {
			t.Errorf("%s: another seed gives the same plan", name)
		}
		if len(printed(5, 2)) < len(first)*3/2 {
			t.Errorf("%s: twice the demand hardly shows", name)
		}
	}
}

// Whatever the seed, a plan keeps within the ranges of its day.
func TestAPlanKeepsToItsDay(t *testing.T) {
	text, _ := rehearsals.Text("christmas")
	d, err := Parse("christmas.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Cut(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		p, err := NewPlan(d, rapid.Uint64().Draw(t, "seed"), 1)
		if err != nil {
			t.Fatal(err)
		}
		count := make([]int, len(d.Tiers))
		for _, n := range p.Nodes {
			count[n.Spec.Tier]++
			if n.Spec.Speed < 0.51 || n.Spec.Speed > 1.1 || n.Spec.ColdCapacityShare < 0.31 || n.Spec.WarmUpDuration > 9*time.Second || n.Spec.Slots < 1 {
				t.Fatalf("%+v", n.Spec)
			}
		}
		for i, tier := range d.Tiers {
			if float64(count[i]) < tier.Nodes.Lo || float64(count[i]) > tier.Nodes.Hi {
				t.Fatalf("%d nodes in %s", count[i], tier.Name)
			}
		}
		if share := p.Rate / p.Capacity; share < d.Load.Utilization.Lo-1e-9 || share > d.Load.Utilization.Hi+1e-9 {
			t.Fatalf("asks for %v of what the fleet can do", share)
		}
		for i, s := range p.Faults {
			if s.At < d.Faults[i].At.Lo || s.At > d.Faults[i].At.Hi || (len(s.Targets) == 0) != (d.Faults[i].Share.Hi == 0) {
				t.Fatalf("%+v", s)
			}
		}
	})
}

// The work drawn must be what the rate was reckoned with, or "half of what the fleet can do" would mean nothing.
func TestCapacityIsWhatTheWorkTakes(t *testing.T) {
	p := testPlan(t, `length = "8s"`, `length = "600s"`)
	byTier := make([]float64, len(p.Day.Tiers))
	for _, q := range p.Requests {
		byTier[0] += q.Job.Work.Seconds()
		for _, c := range q.Job.Calls {
			byTier[1] += c.Work.Seconds()
		}
	}
	for i, work := range byTier {
		can := 0.0
		for _, n := range p.Nodes {
			if n.Spec.Tier == i {
				can += float64(n.Spec.Cores) * n.Spec.Speed
			}
		}
		if use := work / (can * 600); math.Abs(use-0.5) > 0.03 {
			t.Errorf("tier %d: %.3f of its capacity is asked for, want 0.5", i, use)
		}
	}
}

func TestABadDayNamesLineAndField(t *testing.T) {
	for want, swap := range map[string][2]string{
		"test.toml:1: format: must be 1":               {"format = 1", "format = 2"},
		"test.toml:4: length: must be":                 {`"8s"`, `"0s"`},
		"test.toml:6: load.use: must be":               {"use = 0.5", "use = 0"},
		"test.toml:20: tier[0].name":                   {`name = "front"`, `name = ""`},
		"test.toml:21: tier[0].nodes: must be":         {"nodes = 4", "nodes = 4000"},
		"test.toml:28: tier[0].kind[0].cores: must be": {"cores = 2", "cores = 0"},
		"test.toml:51: class[0].effect: must be":       {`"safe"`, `"harmless"`},
		"trouble[0].kind: must be slow":                {`kind = "reset"`, `kind = "rest"`},
		"test.toml:65: class[2].window: must be":       {"window = \"5s\"\n", ""},
		"trouble[1].down: must be":                     {"down = \"300ms\"\n", ""},
		"trouble[0].at: must be":                       {`at = "1s"`, `at = "9s"`},
		"trouble[2].how: must be":                      {`how = "kill"`, `how = "softly"`},
		"trouble[0].size: must be a share":             {"size = 0.5", "size = 1.5"},
		"trouble[0].share: must be":                    {"share = 0.5\nsize", "size"},
		"unknown field":                                {"retries = 1", "retires = 1"},
	} {
		text := strings.Replace(testDay, swap[0], swap[1], 1)
		if text == testDay {
			t.Fatalf("%s: nothing replaced", want)
		}
		_, err := Parse("test.toml", []byte(text))
		if err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "test.toml:") {
			t.Errorf("want %s, got %v", want, err)
		}
	}
}

// Five tiers with ten calls each are 11,111 calls for each request: drawing and holding them would not end.
func TestADayOfTooManyCallsIsAnError(t *testing.T) {
	d, err := Parse("test.toml", []byte(strings.Replace(testDay, `name = "back"`, `name = "back"`+"\ncalls = 10", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Cut(45 * time.Minute); err != nil {
		t.Fatal(err)
	}
	if _, err := NewPlan(d, 1, 3); err == nil || !strings.Contains(err.Error(), "calls in all tiers") {
		t.Errorf("%v", err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(testDay))
	for _, name := range rehearsals.Names() {
		text, _ := rehearsals.Text(name)
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Parse("day.toml", text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "day.toml") {
				t.Errorf("%q", err)
			}
			return
		}
		if d.Length <= 10*time.Second && d.Load.Utilization.Hi <= 1 { // what passes the check can be drawn, or says why not
			_, _ = NewPlan(d, 1, 1)
		}
	})
}

func TestADayIsCutWithItsTroubles(t *testing.T) {
	d, err := Parse("test.toml", []byte(testDay))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Cut(4 * time.Second); err != nil || d.Length != 4*time.Second || d.Faults[1].At.Lo != time.Second || d.Faults[1].For.Lo != 750*time.Millisecond {
		t.Errorf("%v: %+v", err, d.Faults[1])
	}
	if d.Cut(0) == nil || d.Cut(48*time.Hour) == nil {
		t.Error("any length is taken")
	}
}

// Everything that a play starts must end with it, also when it is interrupted, and when a sidecar does not come up.
func TestAnInterruptedDayLeavesNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t)
	dir := t.TempDir()
	ctx, interrupt := context.WithCancel(context.Background())
	defer interrupt()
	opt := Options{Logs: dir, Command: testSidecar("good"), Progress: func(s Snapshot) {
		if s.At > 500*time.Millisecond {
			interrupt()
		}
	}}
	if _, err := Play(ctx, testPlan(t), opt); !errors.Is(err, context.Canceled) {
		t.Errorf("ended with %v", err)
	}
	configs, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil || len(configs) != 6 {
		t.Fatalf("%v, %v", configs, err)
	}
	for _, path := range configs {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var c struct{ Listen string }
		if err := json.Unmarshal(text, &c); err != nil {
			t.Fatal(err)
		}
		if nc, err := net.DialTimeout("tcp", c.Listen, time.Second); err == nil {
			nc.Close()
			t.Errorf("something listens at %s still", c.Listen)
		}
	}
}

func TestASidecarThatDoesNotComeUpEndsTheDay(t *testing.T) {
	defer goleak.VerifyNone(t)
	for what, command := range map[string]func() *exec.Cmd{
		"no such program": func() *exec.Cmd { return exec.Command(filepath.Join(t.TempDir(), "nothing")) },
		"a port is taken": testSidecar("finds its port taken"),
	} {
		_, err := Play(context.Background(), testPlan(t), Options{Command: command})
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", what, err)
		}
		if what == "a port is taken" && (err == nil || !strings.Contains(err.Error(), "address already in use")) {
			t.Errorf("%s: the log is not quoted: %v", what, err)
		}
	}
}

// A rehearsal that did not get to run must blame itself.
func TestABusyMachineIsNotASidecarsFault(t *testing.T) {
	w := &rehearsal{plan: testPlan(t), sendLateness: schedule.NewLatency()}
	judge := func(o HarnessMetrics, events ...invariant.Event) []string {
		r := &Result{Harness: o, Invariants: &invariant.Report{}}
		r.Invariants.Rules[2].Breaches = []invariant.Violation{{Rule: 3, At: 5 * time.Second}}
		w.validate(r, events, time.Minute)
		if r.Valid != (len(r.Invalid) == 0) {
			t.Errorf("valid %v, %v", r.Valid, r.Invalid)
		}
		return r.Invalid
	}
	stall := func(at time.Duration) invariant.Event {
		return invariant.Event{Kind: invariant.HarnessStall, At: time.Minute + at, For: 60 * time.Millisecond}
	}
	for _, c := range []struct {
		name   string
		own    HarnessMetrics
		events []invariant.Event
		want   string
	}{
		{"a quiet machine", HarnessMetrics{LateP99: 0.024, WorstStall: 0.49}, nil, ""},
		{"late sends", HarnessMetrics{LateP99: 0.026}, nil, "late"},
		{"a long pause", HarnessMetrics{WorstStall: 0.51}, nil, "stood still"},
		{"no room", HarnessMetrics{DroppedEvents: 1}, nil, "no room"},
		{"a pause next to a breach", HarnessMetrics{}, []invariant.Event{stall(5500 * time.Millisecond)}, "1 breaks of a rule"},
		{"a pause elsewhere", HarnessMetrics{}, []invariant.Event{stall(2 * time.Second), stall(8 * time.Second)}, ""},
	} {
		got := judge(c.own, c.events...)
		if (c.want == "") != (len(got) == 0) || c.want != "" && !strings.Contains(got[0], c.want) {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

func TestTheWorstTenSeconds(t *testing.T) {
	by := make([]Second, 30)
	for i := range by {
		by[i].Offered, by[i].InTime = 10, 10
	}
	for i := 12; i < 17; i++ {
		by[i].InTime = 0
	}
	if got := worstWindowShare(by); got != 0.5 {
		t.Errorf("%v", got)
	}
	if got := worstWindowShare(by[12:17]); got != 0 {
		t.Errorf("a day shorter than that: %v", got)
	}
	if got := worstWindowShare(nil); got != 1 {
		t.Errorf("no day: %v", got)
	}
}
