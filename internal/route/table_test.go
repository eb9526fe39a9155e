package route

import (
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// firstWithoutMismatch is the reference implementation of Match: it compares each part of each rule in turn, without an index.
func firstWithoutMismatch(t *Table, r *Request) (int, bool) {
	for i := range t.rules {
		if t.Mismatch(i, r) == "" {
			return i, true
		}
	}
	return noRule, false
}

func oneOf(values ...string) *rapid.Generator[string] { return rapid.SampledFrom(values) }

var (
	hostGenerator        = oneOf("a.example", "b.example", "x.a.example", "y.x.a.example", "example", ".a.example", "")
	hostPatternGenerator = oneOf("a.example", "*.example", "*.a.example", "example", "b.example")
	segmentGenerator     = oneOf("a", "b", "c", "*", "")
	methodGenerator      = oneOf("GET", "PUT", "MOVE")
)

func drawPath(t *rapid.T, segments *rapid.Generator[string]) string {
	return "/" + strings.Join(rapid.SliceOfN(segments, 1, 4).Draw(t, "segments"), "/")
}

func drawCondition(t *rapid.T) Condition {
	return Condition{Name: oneOf("X-A", "x-b").Draw(t, "name"), Operator: Operator(rapid.IntRange(0, 3).Draw(t, "op")), Value: oneOf("1", "12", "").Draw(t, "value")}
}

func drawRule(t *rapid.T) Rule {
	r := Rule{Hosts: rapid.SliceOfN(hostPatternGenerator, 0, 2).Draw(t, "hosts"), Kind: PathKind(rapid.IntRange(0, 4).Draw(t, "kind")),
		Methods: rapid.SliceOfN(methodGenerator, 0, 2).Draw(t, "methods")}
	switch r.Kind {
	case Exact:
		r.Path = drawPath(t, oneOf("a", "b", "c"))
	case Prefix:
		r.Path = drawPath(t, oneOf("a", "b", "ab"))
	case Segments:
		if r.Path = drawPath(t, segmentGenerator); rapid.Bool().Draw(t, "rest") {
			r.Path += "/**"
		}
	case Pattern:
		r.Path = oneOf(`/a.*`, `/[ab]/c`, `.*`, `/(a|b|/)*`).Draw(t, "pattern")
	}
	switch rapid.IntRange(0, 5).Draw(t, "conditions") {
	case 0:
		r.Headers = []Condition{drawCondition(t)}
	case 1:
		r.Query = []Condition{drawCondition(t)}
	case 2:
		r.Headers, r.Query = []Condition{drawCondition(t)}, []Condition{drawCondition(t)}
	}
	return r
}

func drawRequest(t *rapid.T) *Request {
	h := http.Header{}
	for _, name := range []string{"X-A", "X-B"} {
		if v := rapid.SliceOfN(oneOf("1", "12", "2"), 0, 2).Draw(t, name); len(v) > 0 {
			h[name] = v
		}
	}
	return &Request{Host: hostGenerator.Draw(t, "host"), Path: drawPath(t, oneOf("a", "b", "c", "ab", "")), Method: methodGenerator.Draw(t, "method"), Header: h,
		RawQuery: oneOf("", "X-A=1", "x-b=12&X-A=2", "x%2Db=1%32", "X-A", "&&=1").Draw(t, "query")}
}

func TestMatchReturnsFirstRuleWithoutMismatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, err := New(rapid.SliceOfN(rapid.Custom(drawRule), 0, 12).Draw(t, "rules"))
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			r := drawRequest(t)
			got, ok := table.Match(r)
			want, wantOK := firstWithoutMismatch(table, r)
			if got != want || ok != wantOK {
				t.Fatalf("Match(%+v) returned rule %d, want %d", r, got, want)
			}
		}
	})
}

func FuzzMatchReturnsFirstRuleWithoutMismatch(f *testing.F) {
	f.Add("/a/*/c/**", "/a/b/c", "x=1", `/a.*`)
	f.Fuzz(func(t *testing.T, segments, target, query, pattern string) {
		table, err := New([]Rule{{Kind: Segments, Path: segments}, {Kind: Prefix, Path: segments}, {Kind: Pattern, Path: pattern}, {Kind: Exact, Path: target},
			{Query: []Condition{{Name: "x", Operator: Equal, Value: "1"}}}})
		if err != nil {
			return
		}
		path, _, err := Normalize(target)
		if err != nil {
			return
		}
		r := &Request{Path: path, RawQuery: query}
		got, _ := table.Match(r)
		if want, _ := firstWithoutMismatch(table, r); got != want {
			t.Errorf("Match(%+v) returned rule %d, want %d", r, got, want)
		}
	})
}

// Lookups must not take exponential time. The table has a segment tree with both a literal and a wildcard child at each level,
// where one path leads to 2^10 leaves, and a pattern that a backtracking matcher would need exponential time for.
func TestLookupOfAdversarialRulesIsBounded(t *testing.T) {
	var rules []Rule
	for i := range 1 << 10 {
		var b strings.Builder
		for bit := range 10 {
			if i>>bit&1 == 0 {
				b.WriteString("/a")
			} else {
				b.WriteString("/*")
			}
		}
		rules = append(rules, Rule{Kind: Segments, Path: b.String() + "/end"})
	}
	rules = append(rules, Rule{Kind: Pattern, Path: `/(a*)*b`})
	table, err := New(rules)
	if err != nil {
		t.Fatal(err)
	}
	if rule, ok := table.Match(&Request{Path: strings.Repeat("/a", 10) + "/no"}); ok {
		t.Errorf("Match returned rule %d for a path that ends in no leaf, want no rule", rule)
	}
	if rule, ok := table.Match(&Request{Path: "/" + strings.Repeat("a", 8000)}); ok {
		t.Errorf("Match returned rule %d for a path without a \"b\", want no rule", rule)
	}
}

func TestLookupAndNormalizeAllocateNothing(t *testing.T) {
	table, r := newMixedTable(t, 1000)
	if n := testing.AllocsPerRun(100, func() { table.Match(r) }); n != 0 {
		t.Errorf("Match made %v allocations, want 0", n)
	}
	if n := testing.AllocsPerRun(100, func() { _, _, _ = Normalize("/exact/996?x=1") }); n != 0 {
		t.Errorf("Normalize made %v allocations, want 0", n)
	}
}
