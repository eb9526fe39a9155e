package route

import (
	"errors"
	"strings"
	"testing"
)

func TestNewErrorNamesRule(t *testing.T) {
	for want, r := range map[string]Rule{
		"host":               {Hosts: []string{"A.example"}},
		"not a lower-case":   {Hosts: []string{"a.*"}},
		"begin with a slash": {Kind: Exact, Path: "a"},
		"at the end":         {Kind: Segments, Path: "/**/a"},
		"segments":           {Kind: Segments, Path: strings.Repeat("/a", 65)},
		"missing closing":    {Kind: Pattern, Path: "("},
		"longer than":        {Kind: Pattern, Path: strings.Repeat("a", 1025)},
	} {
		t.Run(want, func(t *testing.T) {
			_, err := New([]Rule{{}, {Name: "second", Kind: r.Kind, Path: r.Path, Hosts: r.Hosts}})
			if err == nil || !strings.HasPrefix(err.Error(), "route 1 (second): ") || !strings.Contains(err.Error(), want) {
				t.Fatalf("New returned error %v, want one that begins with \"route 1 (second): \" and contains %q", err, want)
			}
			ruleErr := (*RuleError)(nil)
			if !errors.As(err, &ruleErr) || ruleErr.Index != 1 || ruleErr.Name != "second" || err.Error() != "route 1 (second): "+ruleErr.Err.Error() {
				t.Errorf("New returned %#v, want a *RuleError with index 1, name \"second\" and the reason of its message", err)
			}
		})
	}
}
