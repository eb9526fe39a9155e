package route

import (
	"testing"

	"pgregory.net/rapid"
)

func TestUnreachableRuleIsNeverMatched(t *testing.T) {
	unreachableCount := 0
	rapid.Check(t, func(t *rapid.T) {
		table, err := New(rapid.SliceOfN(rapid.Custom(drawRule), 2, 8).Draw(t, "rules"))
		if err != nil {
			t.Fatal(err)
		}
		shadows := table.Unreachable()
		unreachableCount += len(shadows)
		for range 20 {
			got, _ := table.Match(drawRequest(t))
			for _, s := range shadows {
				if got == s.Rule {
					t.Fatalf("Match returned rule %d, which is shadowed by rule %d: %+v, %+v", s.Rule, s.ShadowedBy, table.Rule(s.Rule), table.Rule(s.ShadowedBy))
				}
			}
		}
	})
	if unreachableCount == 0 {
		t.Error("Unreachable found no rule in any of the tables")
	}
}
