package loadgen

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"tuliprock/internal/testkit/schedule"
)

// FormatVersion is the version of the JSON format that Write writes and Read reads.
const FormatVersion = 1

// resultFile is the JSON form of a Result. It holds complete histograms, so that results can be merged without loss of precision.
type resultFile struct {
	Format           int                                   `json:"format"`
	Kind             string                                `json:"kind"` // always "load", which tells a load test's file from other results
	Runs             int                                   `json:"runs"`
	IsValid          bool                                  `json:"valid"`
	InvalidReason    string                                `json:"invalid,omitempty"` // Result.InvalidReason: the reason why the measurements are not valid; absent if they are
	WasInterrupted   bool                                  `json:"interrupted"`
	SendSeconds      float64                               `json:"sent_s"` // Result.SendDuration in seconds
	Scheduled        int64                                 `json:"due"`
	NotSent          int64                                 `json:"not_sent"`
	Resent           int64                                 `json:"resent"`
	CountByOutcome   map[string]int64                      `json:"ended"`
	Percentiles      map[string]map[string]string          `json:"percentiles"` // formatted durations by name of the histogram (all, service, own) and percentile, for human readers; Read ignores them
	LatencyByOutcome map[string]*schedule.LatencyHistogram `json:"latency"`
	Latency          *schedule.LatencyHistogram            `json:"all"`
	ServiceTime      *schedule.LatencyHistogram            `json:"service"`
	SendLateness     *schedule.LatencyHistogram            `json:"own"`
	Seconds          []secondInFile                        `json:"seconds"`
}

// secondInFile is the JSON form of a Second: the requests that were due during one second of a run.
type secondInFile struct {
	Scheduled int64                      `json:"due"`
	NotSent   int64                      `json:"not_sent"`
	Responses int64                      `json:"answered"` // number of complete responses, whatever the status; Read ignores it
	Latency   *schedule.LatencyHistogram `json:"latency"`
}

// reportedPercentiles are the percentiles that Write and WriteTable write for each histogram.
var reportedPercentiles = []struct {
	name     string
	fraction float64
}{{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}, {"p99.99", 0.9999}}

// formatPercentiles returns the formatted durations of a histogram by percentile name ("p99"), and the longest one as "most".
func formatPercentiles(l *schedule.LatencyHistogram) map[string]string {
	textByStatistic := map[string]string{"most": l.Max().String()}
	for _, p := range reportedPercentiles {
		textByStatistic[p.name] = l.Quantile(p.fraction).String()
	}
	return textByStatistic
}

// Write writes the result as a JSON object, which Read decodes. Options are not written.
func (r *Result) Write(w io.Writer) error {
	f := resultFile{Format: FormatVersion, Kind: "load", Runs: r.Runs, IsValid: r.InvalidReason == "", InvalidReason: r.InvalidReason, WasInterrupted: r.Interrupted,
		SendSeconds: r.SendDuration.Seconds(), Scheduled: r.Scheduled, NotSent: r.NotSent, Resent: r.Resent, CountByOutcome: r.CountByOutcome(),
		LatencyByOutcome: r.LatencyByOutcome, Latency: r.Latency, ServiceTime: r.ServiceTime, SendLateness: r.SendLateness,
		Percentiles: map[string]map[string]string{"all": formatPercentiles(r.Latency), "service": formatPercentiles(r.ServiceTime),
			"own": formatPercentiles(r.SendLateness)}}
	for _, s := range r.Seconds {
		f.Seconds = append(f.Seconds, secondInFile{Scheduled: s.Scheduled, NotSent: s.NotSent, Responses: s.Latency.Count(), Latency: s.Latency})
	}
	return json.NewEncoder(w).Encode(f)
}

// Read decodes a result that Write has written. It returns an error if the text does not have the version FormatVersion, is not the
// result of a load test, or lacks a histogram.
func Read(text []byte) (*Result, error) {
	var f resultFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	if f.Format != FormatVersion || f.Kind != "load" {
		return nil, fmt.Errorf("the file has format %d and kind %q, want format %d and kind \"load\"", f.Format, f.Kind, FormatVersion)
	}
	r := newResult(Options{})
	r.Runs, r.InvalidReason, r.Interrupted, r.SendDuration = f.Runs, f.InvalidReason, f.WasInterrupted, time.Duration(f.SendSeconds*float64(time.Second))
	r.Scheduled, r.NotSent, r.Resent = f.Scheduled, f.NotSent, f.Resent
	for _, l := range []*schedule.LatencyHistogram{f.Latency, f.ServiceTime, f.SendLateness} {
		if l == nil {
			return nil, fmt.Errorf("one of the histograms all, service and own is missing")
		}
	}
	r.Latency, r.ServiceTime, r.SendLateness = f.Latency, f.ServiceTime, f.SendLateness
	for outcome, l := range f.LatencyByOutcome {
		if l == nil {
			return nil, fmt.Errorf("latency.%s is missing", outcome)
		}
		r.LatencyByOutcome[outcome] = l
	}
	for i, s := range f.Seconds {
		if s.Latency == nil {
			return nil, fmt.Errorf("seconds[%d].latency is missing", i)
		}
		r.Seconds = append(r.Seconds, Second{Scheduled: s.Scheduled, NotSent: s.NotSent, Latency: s.Latency})
	}
	return r, nil
}

// Merge adds the result o of one or more other runs to r, as if a single load generator had sent the requests of all runs at the same
// time. The measurements of second n of r and second n of o are added up. The merged result is valid if r and o are valid.
func (r *Result) Merge(o *Result) {
	r.Runs += o.Runs
	r.Scheduled, r.NotSent, r.Resent = r.Scheduled+o.Scheduled, r.NotSent+o.NotSent, r.Resent+o.Resent
	r.SendDuration = max(r.SendDuration, o.SendDuration)
	r.Interrupted = r.Interrupted || o.Interrupted
	if r.InvalidReason == "" {
		r.InvalidReason = o.InvalidReason
	}
	for outcome, l := range o.LatencyByOutcome {
		if r.LatencyByOutcome[outcome] == nil {
			r.LatencyByOutcome[outcome] = schedule.NewLatencyHistogram()
		}
		r.LatencyByOutcome[outcome].Merge(l)
	}
	r.Latency.Merge(o.Latency)
	r.ServiceTime.Merge(o.ServiceTime)
	r.SendLateness.Merge(o.SendLateness)
	for i, s := range o.Seconds {
		merged := r.secondAt(time.Duration(i) * time.Second)
		merged.Scheduled, merged.NotSent = merged.Scheduled+s.Scheduled, merged.NotSent+s.NotSent
		merged.Latency.Merge(s.Latency)
	}
}

// WriteTable writes a summary of the result and a table of its histograms, in milliseconds, for human readers.
func (r *Result) WriteTable(w io.Writer) error {
	var b strings.Builder
	sendSeconds := max(r.SendDuration.Seconds(), 1e-9) // at least 1e-9, to avoid a division by zero
	fmt.Fprintf(&b, "due %d in %.1f s (%.1f a second), answered %d, not sent for lack of connections %d", r.Scheduled, sendSeconds, float64(r.Scheduled)/sendSeconds, r.Latency.Count(), r.NotSent)
	if r.Runs > 1 {
		fmt.Fprintf(&b, "; %d runs together", r.Runs)
	}
	b.WriteString("\n\n")
	var rows strings.Builder
	fmt.Fprint(&rows, "ms\tcount\t")
	for _, p := range reportedPercentiles {
		fmt.Fprint(&rows, p.name, "\t")
	}
	fmt.Fprintln(&rows, "most\t")
	writeRow := func(name string, l *schedule.LatencyHistogram) {
		fmt.Fprintf(&rows, "%s\t%d\t", name, l.Count())
		for _, p := range reportedPercentiles {
			fmt.Fprintf(&rows, "%.2f\t", milliseconds(l.Quantile(p.fraction)))
		}
		fmt.Fprintf(&rows, "%.2f\t\n", milliseconds(l.Max()))
	}
	writeRow("latency, from when due", r.Latency)
	writeRow("service, from the write", r.ServiceTime)
	for _, outcome := range slices.Sorted(maps.Keys(r.LatencyByOutcome)) {
		writeRow(outcome, r.LatencyByOutcome[outcome])
	}
	writeRow("own lateness", r.SendLateness)
	table := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = io.WriteString(table, rows.String()) // writing to a strings.Builder does not fail
	_ = table.Flush()
	if r.Resent > 0 {
		fmt.Fprintf(&b, "\n%d were sent a second time, since a kept connection had ended\n", r.Resent)
	}
	if r.Interrupted {
		b.WriteString("\ninterrupted: the result is that of what was sent by then\n")
	}
	if r.InvalidReason != "" {
		fmt.Fprintf(&b, "\nNOT VALID: %s\n", r.InvalidReason)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
