package rehearse

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tuliprock/deploy/rehearsals"
)

func TestPlanIsDeterminedBySeed(t *testing.T) {
	for _, name := range rehearsals.Names() {
		text, _ := rehearsals.Text(name)
		printPlan := func(seed uint64, demand float64) string {
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
		first := printPlan(5, 1)
		if first != printPlan(5, 1) {
			t.Errorf("%s: two plans with the same seed differ", name)
		}
		if first == printPlan(6, 1) {
			t.Errorf("%s: plans with different seeds are the same", name)
		}
		if len(printPlan(5, 2)) < len(first)*3/2 {
			t.Errorf("%s: with twice the demand, the plan is less than 1.5 times as long", name)
		}
	}
}

func TestPlanStaysWithinTheRangesOfItsDay(t *testing.T) {
	text, _ := rehearsals.Text("christmas")
	d, err := Parse("christmas.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	if err := d.SetLength(5 * time.Second); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		p, err := NewPlan(d, rapid.Uint64().Draw(t, "seed"), 1)
		if err != nil {
			t.Fatal(err)
		}
		nodesInTier := make([]int, len(d.Tiers))
		for _, n := range p.Nodes {
			nodesInTier[n.Spec.Tier]++
			if n.Spec.Speed < 0.51 || n.Spec.Speed > 1.1 || n.Spec.ColdCapacityFraction < 0.31 ||
				n.Spec.WarmUpDuration > 9*time.Second || n.Spec.Slots < 1 {
				t.Fatalf("node is outside the ranges of the day: %+v", n.Spec)
			}
		}
		for i, tier := range d.Tiers {
			if float64(nodesInTier[i]) < tier.NodeCount.Lo || float64(nodesInTier[i]) > tier.NodeCount.Hi {
				t.Fatalf("tier %s has %d nodes, want %v to %v", tier.Name, nodesInTier[i], tier.NodeCount.Lo, tier.NodeCount.Hi)
			}
		}
		if utilization := p.Rate / p.Capacity; utilization < d.Load.Utilization.Lo-1e-9 || utilization > d.Load.Utilization.Hi+1e-9 {
			t.Fatalf("utilization is %v, want %v to %v", utilization, d.Load.Utilization.Lo, d.Load.Utilization.Hi)
		}
		for i, fault := range p.Faults {
			if fault.Start < d.Faults[i].Start.Lo || fault.Start > d.Faults[i].Start.Hi ||
				(len(fault.Targets) == 0) != (d.Faults[i].TargetFraction.Hi == 0) {
				t.Fatalf("fault is outside the ranges of the day: %+v", fault)
			}
		}
	})
}

// TestPlannedWorkMatchesTheUtilization checks that the work of the planned requests gives the nodes the utilization that the day's
// file states. It would not if NewPlan computed the rate of requests from another mean work than that of the requests that it draws.
func TestPlannedWorkMatchesTheUtilization(t *testing.T) {
	p := newTestPlan(t, `length = "8s"`, `length = "600s"`)
	workByTier := make([]float64, len(p.Day.Tiers))
	for _, request := range p.Requests {
		workByTier[0] += request.Job.Work.Seconds()
		for _, c := range request.Job.Calls {
			workByTier[1] += c.Work.Seconds()
		}
	}
	for i, work := range workByTier {
		capacity := 0.0 // work that the tier does per second, in seconds on a core of speed 1
		for _, n := range p.Nodes {
			if n.Spec.Tier == i {
				capacity += float64(n.Spec.Cores) * n.Spec.Speed
			}
		}
		if utilization := work / (capacity * 600); math.Abs(utilization-0.5) > 0.03 {
			t.Errorf("utilization of tier %d is %.3f, want 0.5 +- 0.03", i, utilization)
		}
	}
}

// TestDayWithTooManyCallsIsRejected guards against days whose plans take too much time and memory: five tiers with ten calls each
// have 11,111 calls for each request.
func TestDayWithTooManyCallsIsRejected(t *testing.T) {
	d, err := Parse("test.toml", []byte(strings.Replace(testDayText, `name = "back"`, `name = "back"`+"\ncalls = 10", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.SetLength(45 * time.Minute); err != nil {
		t.Fatal(err)
	}
	if _, err := NewPlan(d, 1, 3); err == nil || !strings.Contains(err.Error(), "calls in all tiers") {
		t.Errorf("NewPlan returned error %v, want one about the calls in all tiers", err)
	}
}
