package route

import (
	"fmt"
	"net/http"
	"testing"
)

func TestConditionComparesEachValue(t *testing.T) {
	for _, c := range []struct {
		query     string
		condition Condition
		want      bool
	}{
		{"a=1", Condition{"a", Present, ""}, true}, {"b=1", Condition{"a", Present, ""}, false}, {"a", Condition{"a", Present, ""}, true},
		{"a=1", Condition{"a", Absent, ""}, false}, {"b=1", Condition{"a", Absent, ""}, true}, {"", Condition{"a", Absent, ""}, true},
		{"a=1&a=2", Condition{"a", Equal, "2"}, true}, {"a=12", Condition{"a", Equal, "1"}, false}, {"a=12", Condition{"a", HasPrefix, "1"}, true},
		{"%61=%31", Condition{"a", Equal, "1"}, true}, {"a=x+y", Condition{"a", Equal, "x y"}, true}, {"a=%zz", Condition{"a", Equal, "%zz"}, true},
		{"&&a=1&", Condition{"a", Equal, "1"}, true},
	} {
		t.Run(fmt.Sprintf("query %q %s", c.query, &c.condition), func(t *testing.T) {
			if got := c.condition.matchesQuery(c.query); got != c.want {
				t.Errorf("matchesQuery returned %v, want %v", got, c.want)
			}
		})
	}
	h := http.Header{"A": {"1", "23"}}
	for condition, want := range map[Condition]bool{{"A", Present, ""}: true, {"B", Present, ""}: false, {"A", Absent, ""}: false, {"B", Absent, ""}: true,
		{"A", Equal, "23"}: true, {"A", Equal, "2"}: false, {"A", HasPrefix, "2"}: true} {
		t.Run("header "+condition.String(), func(t *testing.T) {
			if got := condition.matchesHeader(h); got != want {
				t.Errorf("matchesHeader returned %v, want %v", got, want)
			}
		})
	}
}
