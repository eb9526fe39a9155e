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

// fill sets every exported field, map and slice below a value to numbers and names in the order of declaration, so that
// an encoding of it shows every name and no zero that could be left out.
func fill(v reflect.Value, next *int) {
	*next++
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), next)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(v.Field(i), next)
			}
		}
	case reflect.Slice:
		if *next > 100_000 || v.Type().Elem().Kind() == reflect.Pointer {
			return // a type that contains itself
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), next)
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for _, key := range []string{"a", "b"} {
			value := reflect.New(v.Type().Elem()).Elem()
			fill(value, next)
			v.SetMapIndex(reflect.ValueOf(key), value)
		}
	case reflect.String:
		v.SetString("name-" + time.Duration(*next).String())
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*next) + 0.5)
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*next % 250))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*next) * int64(time.Millisecond))
	}
}

func filled[T any]() *T {
	out, next := new(T), 0
	fill(reflect.ValueOf(out).Elem(), &next)
	return out
}

// smallResults is one result that the charts can draw.
func smallResults() []*Result {
	return []*Result{exampleResult(OwnBalancer, 1, 1, 80)}
}

func severalResults() []*Result {
	several := []*Result{exampleResult(OwnBalancer, 1, 0.8, 80), exampleResult(OwnBalancer, 2, 0.8, 70), exampleResult("random", 1, 1.3, 50)}
	several[1].Valid, several[1].Invalid = false, []string{"the machine was too busy"}
	several[2].Invariants.Crashes = 1
	return several
}

// What others read of a play must stay as it is, byte for byte: results, tables, printed plans and the
// configuration of sidecars.
func TestOutputKeepsItsFormat(t *testing.T) {
	write := func(write func(io.Writer, []*Result) error, results []*Result) func(io.Writer) error {
		return func(w io.Writer) error { return write(w, results) }
	}
	printed := func(p *Plan) func(io.Writer) error {
		p.Requests = p.Requests[:min(len(p.Requests), 2)]
		return p.Print
	}
	full := filled[Plan]()
	full.Requests[0].Arrival = schedule.Arrival{At: 1, Class: 2, Tenant: 3, Seed: 4}
	withPeers := exampleResult(OwnBalancer, 1, 1, 80)
	withPeers.Cluster = filled[ClusterResult]()
	withPeers.Invariants.Rules[0].Verdict = invariant.Untested
	for name, write := range map[string]func(io.Writer) error{
		"result.json":   write(WriteJSON, []*Result{filled[Result]()}),
		"one.txt":       write(WriteTable, smallResults()),
		"cluster.txt":   write(WriteTable, []*Result{withPeers}),
		"several.txt":   write(WriteTable, severalResults()),
		"plan.json":     printed(newTestPlan(t)),
		"fullplan.json": printed(full),
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
				t.Errorf("%s has changed; it is now\n%s", name, got.Bytes())
			}
		})
	}
}
