package loadgen

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Merging two results gives the result of a single run with the requests of both, and writing and reading a result does not
// change it.
func TestMergeEqualsASingleRun(t *testing.T) {
	type request struct {
		dueMs          int  // milliseconds from the start of the run to the instant at which the request is due
		durationMs     int  // milliseconds from the writing of the request to the request's end
		latenessMs     int  // milliseconds by which the request is written later than it is due
		status         int  // HTTP status; 0: the request failed
		isInSecondPart bool // whether the request is counted in the second of the two merged results
	}
	rapid.Check(t, func(t *rapid.T) {
		requests := rapid.SliceOf(rapid.Custom(func(t *rapid.T) request {
			return request{rapid.IntRange(0, 5000).Draw(t, "due"), rapid.IntRange(0, 100000).Draw(t, "duration"), rapid.IntRange(0, 50).Draw(t, "lateness"),
				rapid.SampledFrom([]int{0, 200, 503}).Draw(t, "status"), rapid.Bool().Draw(t, "isInSecondPart")}
		})).Draw(t, "requests")
		single, parts := newResult(Options{}), [2]*Result{newResult(Options{}), newResult(Options{})}
		start := time.Now()
		for _, q := range requests {
			instant := time.Duration(q.dueMs) * time.Millisecond
			due := start.Add(instant)
			response := Response{Status: q.status, WrittenAt: due.Add(time.Duration(q.latenessMs) * time.Millisecond)}
			if q.status == 0 {
				response.Failure = FailureBrokenOff
			}
			part := parts[0]
			if q.isInSecondPart {
				part = parts[1]
			}
			for _, r := range []*Result{single, part} {
				r.record(instant, due, due.Add(time.Duration(q.durationMs+q.latenessMs)*time.Millisecond), response)
			}
		}
		for i, r := range parts {
			var text bytes.Buffer
			if err := r.Write(&text); err != nil {
				t.Fatal(err)
			}
			decoded, err := Read(text.Bytes())
			if err != nil {
				t.Fatal(err)
			}
			parts[i] = decoded
		}
		parts[0].Merge(parts[1])
		single.Runs = 2 // the merged result has 2 runs, since Merge adds up the runs of both parts
		if got, want := formatResult(t, parts[0]), formatResult(t, single); !reflect.DeepEqual(got, want) {
			t.Fatalf("merged:\n%s\nwant the result of a single run:\n%s", got, want)
		}
	})
}

// formatResult returns the table of a result and the 90th percentile of each second's latency, for comparison.
func formatResult(t *rapid.T, r *Result) string {
	var b bytes.Buffer
	if err := r.WriteTable(&b); err != nil {
		t.Fatal(err)
	}
	for _, s := range r.Seconds {
		b.WriteString(s.Latency.Quantile(0.9).String())
	}
	return b.String()
}

func TestReadRejectsInvalidFiles(t *testing.T) {
	var validFile bytes.Buffer
	if err := newResult(Options{}).Write(&validFile); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"empty":                     "",
		"unknown kind":              strings.Replace(validFile.String(), `"load"`, `"rehearsal"`, 1),
		"unknown format version":    strings.Replace(validFile.String(), `"format":1`, `"format":2`, 1),
		"missing histogram":         strings.Replace(validFile.String(), `"own":"`, `"other":"`, 1),
		"corrupted histogram":       strings.Replace(validFile.String(), `"own":"`, `"own":"AAAA`, 1),
		"text in place of a number": strings.Replace(validFile.String(), `"due":0`, `"due":"x"`, 1),
	} {
		if _, err := Read([]byte(text)); err == nil {
			t.Errorf("%s: Read succeeded, want an error", name)
		}
	}
}

func FuzzRead(f *testing.F) {
	var validFile bytes.Buffer
	if err := newResult(Options{}).Write(&validFile); err != nil {
		f.Fatal(err)
	}
	f.Add(validFile.Bytes())
	f.Fuzz(func(t *testing.T, text []byte) {
		if r, err := Read(text); err == nil {
			r.Merge(r)
			if err := r.WriteTable(&bytes.Buffer{}); err != nil {
				t.Error(err)
			}
		}
	})
}
