package route

import (
	"fmt"
	"net/http"
	"testing"
)

// newMixedTable returns a table of n rules of the kinds Exact, Prefix and Segments, ten for each host, and a request that only the
// last Exact rule matches.
func newMixedTable(tb testing.TB, n int) (*Table, *Request) {
	tb.Helper()
	var rules []Rule
	for i := range n {
		r := Rule{Name: fmt.Sprint(i), Hosts: []string{fmt.Sprintf("h%d.example", i/10)}}
		switch i % 4 {
		case 0:
			r.Kind, r.Path = Exact, fmt.Sprintf("/exact/%d", i)
		case 1:
			r.Kind, r.Path = Prefix, fmt.Sprintf("/prefix/%d/", i)
		case 2:
			r.Kind, r.Path = Segments, fmt.Sprintf("/users/*/%d/**", i)
		case 3:
			r.Kind, r.Path, r.Methods = Prefix, "/", []string{"MOVE"}
		}
		rules = append(rules, r)
	}
	table, err := New(rules)
	if err != nil {
		tb.Fatal(err)
	}
	i := (n - 1) / 4 * 4
	return table, &Request{Host: fmt.Sprintf("h%d.example", i/10), Path: fmt.Sprintf("/exact/%d", i), Method: "GET", Header: http.Header{}}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		table, r := newMixedTable(b, n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := table.Match(r); !ok {
					b.Fatal("no match")
				}
			}
		})
	}
}

// BenchmarkMatchWithoutHosts measures the case in which a table's index rules out the fewest rules: no rule has a host, so that
// only the paths can be looked up.
func BenchmarkMatchWithoutHosts(b *testing.B) {
	for _, kind := range []PathKind{Prefix, Segments, Pattern} {
		for _, n := range []int{10, 1000, 10000} {
			var rules []Rule
			for i := range n {
				rules = append(rules, Rule{Kind: kind, Path: fmt.Sprintf("/service/%d/x", i)})
			}
			table, err := New(rules)
			if err != nil {
				b.Fatal(err)
			}
			r := &Request{Path: fmt.Sprintf("/service/%d/x", n-1)}
			b.Run(fmt.Sprintf("%s/%d", [...]string{"any", "exact", "prefix", "segments", "pattern"}[kind], n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if _, ok := table.Match(r); !ok {
						b.Fatal("no match")
					}
				}
			})
		}
	}
}

func BenchmarkNew(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		table, _ := newMixedTable(b, n)
		var rules []Rule
		for i := range n {
			rules = append(rules, table.Rule(i))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := New(rules); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
