package route

import (
	"fmt"
	"net/http"
	"testing"
)

func TestMismatchNamesFirstPartThatDiffers(t *testing.T) {
	table, err := New([]Rule{{Hosts: []string{"a.example"}}, {Kind: Exact, Path: "/x"}, {Methods: []string{"PUT"}},
		{Headers: []Condition{{Name: "x-a", Operator: Equal, Value: "1"}}}, {Query: []Condition{{Name: "q"}}}, {}})
	if err != nil {
		t.Fatal(err)
	}
	r := &Request{Host: "b.example", Path: "/y", Method: "GET", Header: http.Header{}}
	for i, want := range []string{`host "b.example" is none of a.example`, `path "/y" does not match "/x"`, "method GET is none of PUT", `header X-A is not "1"`, "query value q is missing", ""} {
		t.Run(fmt.Sprintf("rule %d", i), func(t *testing.T) {
			if got := table.Mismatch(i, r); got != want {
				t.Errorf("Mismatch returned %q, want %q", got, want)
			}
		})
	}
}
