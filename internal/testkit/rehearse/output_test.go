package rehearse

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"tuliprock/internal/testkit/invariant"
)

// exampleResult returns a result in which rule 2 is broken, and whose names must be escaped in HTML.
func exampleResult(balancer string, seed uint64, demand, servicePoints float64) *Result {
	r := &Result{
		Format:         1,
		Day:            "d<b>ay",
		Balancer:       balancer,
		Seed:           seed,
		Demand:         demand,
		Valid:          true,
		ServicePoints:  servicePoints,
		InTimeFraction: servicePoints / 100,
		ByClass:        map[string]ServedValue{"look": {Offered: 2, InTime: 1, Fraction: 0.5}},
		ByTenant:       map[string]ServedValue{"t": {Fraction: 1}},
		Latency:        map[string]Latency{"all": {P99: 1.5}, "look": {P50: 0.25}},
		BySecond:       make([]Second, 20),
		Rejections:     make([]float64, 20),
		Nodes:          []string{"front-1", "front-2"},
		InFlight:       [][]int{{1, 0}, {2, 1}, {0, 0}, {4, 3}},
		Faults:         []Fault{{Kind: "slow", Start: 2 * time.Second, Duration: 3 * time.Second, Targets: []string{"front-1"}, Magnitude: 4}},
		Invariants:     &invariant.Report{},
	}
	verdicts := []invariant.Verdict{invariant.Held, invariant.Broken, invariant.Untested, invariant.Held}
	for i := range r.Invariants.Rules {
		r.Invariants.Rules[i] = invariant.RuleResult{Number: i + 1, Name: "a rule", Verdict: verdicts[i],
			Occasions: map[string]int{"things": i}}
	}
	r.Invariants.Rules[1].ViolationCount = 7
	r.Invariants.Rules[1].Violations = []invariant.Violation{{Rule: 2, At: 1500 * time.Millisecond, Request: "r<1>",
		Node: "front-1", Description: "sent <twice>"}}
	return r
}

func TestTableOfOneResultHasVerdictsAndViolations(t *testing.T) {
	var b bytes.Buffer
	if err := WriteTable(&b, []*Result{exampleResult(OwnBalancer, 1, 1, 80)}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"BROKEN 7 times", "not put to the test",
		"rule 2, at 1.500 s: sent <twice>, request r<1>, node front-1", "look", "0.500", "things 1"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("table lacks %q:\n%s", want, b.String())
		}
	}
}

func TestTableOfSeveralResultsHasTheirSpread(t *testing.T) {
	var b bytes.Buffer
	results := []*Result{
		exampleResult(OwnBalancer, 1, 1, 80), exampleResult(OwnBalancer, 2, 1, 60), exampleResult(OwnBalancer, 3, 1, 70),
		exampleResult("random", 1, 1, 30), exampleResult("random", 2, 1, 40), exampleResult("random", 3, 1, 20),
	}
	if err := WriteTable(&b, results); err != nil {
		t.Fatal(err)
	}
	rows := map[string]bool{}
	for _, line := range strings.Split(b.String(), "\n") {
		rows[strings.Join(strings.Fields(line), " ")] = true
	}
	for _, want := range []string{"tuliprock 1 60.0 70.0 80.0 3", "random 1 20.0 30.0 40.0 3"} {
		if !rows[want] {
			t.Errorf("table lacks the row %q:\n%s", want, b.String())
		}
	}
	if !strings.Contains(b.String(), "BROKEN: 2") {
		t.Error("the table does not name the broken rule")
	}
}

// TestReportIsCompleteAndLoadsNothing checks that a report has all its parts, refers to no other resource and escapes names, and
// that html/template rejected no value (ZgotmplZ).
func TestReportIsCompleteAndLoadsNothing(t *testing.T) {
	var b bytes.Buffer
	results := []*Result{exampleResult(OwnBalancer, 1, 0.8, 80), exampleResult(OwnBalancer, 1, 1.3, 60), exampleResult("random", 1, 1.3, 50)}
	if err := WriteReport(&b, results); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, forbidden := range []string{"http:", "https:", "<script", "d<b>ay", "<twice>", "r<1>", "NaN", "ZgotmplZ"} {
		if strings.Contains(page, forbidden) {
			t.Errorf("page contains %q, which must not occur", forbidden)
		}
	}
	for _, want := range []string{"</html>", `class="breach"`, "sent &lt;twice&gt;", "BROKEN 7 times", "worth against demand",
		`class="band slow"`, "not-put-to-the-test"} {
		if !strings.Contains(page, want) {
			t.Errorf("page lacks %q", want)
		}
	}
}

func TestJSONResultCanBeReadBack(t *testing.T) {
	var b bytes.Buffer
	if err := WriteJSON(&b, []*Result{exampleResult(OwnBalancer, 1, 1, 80)}); err != nil {
		t.Fatal(err)
	}
	var out struct {
		Format int
		Runs   []Result
	}
	if err := json.Unmarshal(b.Bytes(), &out); err != nil || out.Format != 1 || len(out.Runs) != 1 ||
		out.Runs[0].Invariants.Rules[1].ViolationCount != 7 {
		t.Errorf("decoded %+v with error %v, want format 1 and one result whose rule 2 has 7 violations", out, err)
	}
}
