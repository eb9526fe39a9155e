package loadgen

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Runs that are joined are what one run would have been that saw both, whatever they saw; and writing changes nothing.
func TestJoinedRunsAreOne(t *testing.T) {
	type seen struct {
		at, took, late int
		status         int
		which          bool
	}
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOf(rapid.Custom(func(t *rapid.T) seen {
			return seen{rapid.IntRange(0, 5000).Draw(t, "at"), rapid.IntRange(0, 100000).Draw(t, "took"), rapid.IntRange(0, 50).Draw(t, "late"),
				rapid.SampledFrom([]int{0, 200, 503}).Draw(t, "status"), rapid.Bool().Draw(t, "which")}
		})).Draw(t, "all")
		one, parts := newResult(Options{}), [2]*Result{newResult(Options{}), newResult(Options{})}
		start := time.Now()
		for _, s := range all {
			at := time.Duration(s.at) * time.Millisecond
			due := start.Add(at)
			a := Response{Status: s.status, Wrote: due.Add(time.Duration(s.late) * time.Millisecond)}
			if s.status == 0 {
				a.Failed = FailedBroken
			}
			into := parts[0]
			if s.which {
				into = parts[1]
			}
			for _, r := range []*Result{one, into} {
				r.take(at, due, due.Add(time.Duration(s.took+s.late)*time.Millisecond), a)
			}
		}
		for i, r := range parts {
			var text bytes.Buffer
			if err := r.Write(&text); err != nil {
				t.Fatal(err)
			}
			back, err := Read(text.Bytes())
			if err != nil {
				t.Fatal(err)
			}
			parts[i] = back
		}
		parts[0].Merge(parts[1])
		one.Runs = 2
		if got, want := written(t, parts[0]), written(t, one); !reflect.DeepEqual(got, want) {
			t.Fatalf("joined:\n%s\none:\n%s", got, want)
		}
	})
}

func written(t *rapid.T, r *Result) string {
	var b bytes.Buffer
	if err := r.WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	for _, s := range r.Seconds {
		b.WriteString(s.Latency.At(0.9).String())
	}
	return b.String()
}

func TestFilesThatAreNoResult(t *testing.T) {
	var good bytes.Buffer
	if err := newResult(Options{}).Write(&good); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"empty":        "",
		"another kind": strings.Replace(good.String(), `"load"`, `"rehearsal"`, 1),
		"another form": strings.Replace(good.String(), `"format":1`, `"format":2`, 1),
		"no own":       strings.Replace(good.String(), `"own":"`, `"other":"`, 1),
		"damaged":      strings.Replace(good.String(), `"own":"`, `"own":"AAAA`, 1),
		"no numbers":   strings.Replace(good.String(), `"due":0`, `"due":"x"`, 1),
	} {
		if _, err := Read([]byte(text)); err == nil {
			t.Errorf("%s: read all the same", name)
		}
	}
}

func FuzzRead(f *testing.F) {
	var good bytes.Buffer
	if err := newResult(Options{}).Write(&good); err != nil {
		f.Fatal(err)
	}
	f.Add(good.Bytes())
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := Read(text); err == nil {
			r.Merge(r)
			if err := r.WriteTable(&bytes.Buffer{}); err != nil {
				t.Error(err)
			}
		}
	})
}
