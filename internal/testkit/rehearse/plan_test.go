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
			t.Errorf("%s: twice the demand makes the plan hardly longer", name)
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
		count := make([]int, len(d.Tiers))
		for _, n := range p.Nodes {
			count[n.Spec.Tier]++
			if n.Spec.Speed < 0.51 || n.Spec.Speed > 1.1 || n.Spec.ColdCapacityShare < 0.31 ||
				n.Spec.WarmUpDuration > 9*time.Second || n.Spec.Slots < 1 {
				t.Fatalf("%+v", n.Spec)
			}
		}
		for i, tier := range d.Tiers {
			if float64(count[i]) < tier.Nodes.Lo || float64(count[i]) > tier.Nodes.Hi {
				t.Fatalf("%d nodes in %s", count[i], tier.Name)
			}
		}
		if share := p.Rate / p.Capacity; share < d.Load.Utilization.Lo-1e-9 || share > d.Load.Utilization.Hi+1e-9 {
			t.Fatalf("asks for %v of the capacity", share)
		}
		for i, s := range p.Faults {
			if s.Start < d.Faults[i].Start.Lo || s.Start > d.Faults[i].Start.Hi || (len(s.Targets) == 0) != (d.Faults[i].TargetFraction.Hi == 0) {
				t.Fatalf("%+v", s)
			}
		}
	})
}

// The work drawn must be that from which the rate was computed, or a utilization would mean nothing.
func TestPlannedWorkMatchesTheUtilization(t *testing.T) {
	p := newTestPlan(t, `length = "8s"`, `length = "600s"`)
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

// Five tiers with ten calls each are 11,111 calls for each request: drawing and holding them would not end.
func TestDayWithTooManyCallsIsRejected(t *testing.T) {
	d, err := Parse("test.toml", []byte(strings.Replace(testDayText, `name = "back"`, `name = "back"`+"\ncalls = 10", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if err := d.SetLength(45 * time.Minute); err != nil {
		t.Fatal(err)
	}
	if _, err := NewPlan(d, 1, 3); err == nil || !strings.Contains(err.Error(), "calls in all tiers") {
		t.Errorf("%v", err)
	}
}
