package rehearse

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"tuliprock/internal/testkit/invariant"
	"tuliprock/internal/testkit/schedule"
)

// fill sets all exported fields, map entries and slice elements of a value to numbers and texts that are derived from the order of
// the fields; counter is the number of values set so far. An encoding of the value then contains each name, since no field is zero
// and omitted.
func fill(v reflect.Value, counter *int) {
	*counter++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), counter)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), counter)
			}
		}
	case reflect.Slice:
		if *counter > 100_000 || v.Type().Elem().Kind() == reflect.Pointer {
			return // the slice stays nil, since a type that contains itself would never be filled completely
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), counter)
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), counter)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for _, key := range []string{"a", "b"} {
			value := reflect.New(v.Type().Elem()).Elem()
			fill(value, counter)
			v.SetMapIndex(reflect.ValueOf(key), value)
		}
	case reflect.String:
		v.SetString("name-" + time.Duration(*counter).String())
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*counter) + 0.5)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*counter % 250))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*counter) * int64(time.Millisecond))
	}
}

// newFilled returns a new value that fill has set.
func newFilled[T any]() *T {
	out, counter := new(T), 0
	fill(reflect.ValueOf(out).Elem(), &counter)
	return out
}

// singleResult returns a list of a single result, which WriteTable writes in full.
func singleResult() []*Result {
	return []*Result{exampleResult(OwnBalancer, 1, 1, 80)}
}

// severalResults returns results of two balancers and two demands. One result is not valid, and in another a sidecar crashed.
func severalResults() []*Result {
	results := []*Result{exampleResult(OwnBalancer, 1, 0.8, 80), exampleResult(OwnBalancer, 2, 0.8, 70), exampleResult("random", 1, 1.3, 50)}
	results[1].Valid, results[1].InvalidReasons = false, []string{"the machine was too busy"}
	results[2].Invariants.Crashes = 1
	return results
}

// TestOutputKeepsItsFormat compares the output that other programs and operators read with golden files. The output consists of
// results, tables, printed plans and configurations of sidecars. A difference of one byte may break a reader.
func TestOutputKeepsItsFormat(t *testing.T) {
	resultWriter := func(write func(io.Writer, []*Result) error, results []*Result) func(io.Writer) error {
		return func(w io.Writer) error { return write(w, results) }
	}
	planWriter := func(p *Plan) func(io.Writer) error {
		p.Requests = p.Requests[:min(len(p.Requests), 2)]
		return p.Print
	}
	filledPlan := newFilled[Plan]()
	filledPlan.Requests[0].Arrival = schedule.Arrival{At: 1, Class: 2, Tenant: 3, Seed: 4}
	clusterExample := exampleResult(OwnBalancer, 1, 1, 80)
	clusterExample.Cluster = newFilled[ClusterResult]()
	clusterExample.Invariants.Rules[0].Verdict = invariant.Untested
	for name, write := range map[string]func(io.Writer) error{
		"result.json":   resultWriter(WriteJSON, []*Result{newFilled[Result]()}),
		"one.txt":       resultWriter(WriteTable, singleResult()),
		"cluster.txt":   resultWriter(WriteTable, []*Result{clusterExample}),
		"several.txt":   resultWriter(WriteTable, severalResults()),
		"plan.json":     planWriter(newTestPlan(t)),
		"fullplan.json": planWriter(filledPlan),
		"operators.toml": func(w io.Writer) error {
			text := newTestPlan(t).operatorsFile(sidecarRole{"sidecar-1", 1, 2, 3}, "127.0.0.1:1", "127.0.0.1:2", 4, nil)
			_, err := io.WriteString(w, text)
			return err
		},
		"settings.json": func(w io.Writer) error {
			text, err := newTestPlan(t).settingsFor(sidecarRole{"sidecar-1", 1, 2, 3})
			if err != nil {
				return err
			}
			_, err = w.Write(text)
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			var got bytes.Buffer
			if err := write(&got); err != nil {
				t.Fatal(err)
			}
			want, err := os.ReadFile(filepath.Join("testdata", name))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(got.Bytes(), want) {
				t.Errorf("output differs from testdata/%s; it is now\n%s", name, got.Bytes())
			}
		})
	}
}
