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

// Format is the version of the JSON form.
const Format = 1

// file is a Result as it is written. Distributions are whole, so that runs can be joined exactly.
type file struct {
	Format      int                          `json:"format"`
	Kind        string                       `json:"kind"` // "load"
	Runs        int                          `json:"runs"`
	Valid       bool                         `json:"valid"`
	Invalid     string                       `json:"invalid,omitempty"`
	Interrupted bool                         `json:"interrupted"`
	SentSeconds float64                      `json:"sent_s"`
	Due         int64                        `json:"due"`
	NotSent     int64                        `json:"not_sent"`
	Resent      int64                        `json:"resent"`
	Ended       map[string]int64             `json:"ended"`
	Percentiles map[string]map[string]string `json:"percentiles"`
	Latency     map[string]*schedule.Latency `json:"latency"`
	All         *schedule.Latency            `json:"all"`
	Service     *schedule.Latency            `json:"service"`
	Own         *schedule.Latency            `json:"own"`
	Seconds     []second                     `json:"seconds"`
}

type second struct {
	Due      int64             `json:"due"`
	NotSent  int64             `json:"not_sent"`
	Answered int64             `json:"answered"`
	Latency  *schedule.Latency `json:"latency"`
}

var told = []struct {
	name  string
	share float64
}{{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}, {"p99.99", 0.9999}}

func percentiles(l *schedule.Latency) map[string]string {
	out := map[string]string{"most": l.Most().String()}
	for _, p := range told {
		out[p.name] = l.At(p.share).String()
	}
	return out
}

// Write writes the result in its versioned form.
func (r *Result) Write(w io.Writer) error {
	f := file{Format: Format, Kind: "load", Runs: r.Runs, Valid: r.Invalid == "", Invalid: r.Invalid, Interrupted: r.Interrupted, SentSeconds: r.Sent.Seconds(),
		Due: r.Due, NotSent: r.NotSent, Resent: r.Resent, Ended: r.Ended(), Latency: r.Latency, All: r.All, Service: r.Service, Own: r.SendLateness,
		Percentiles: map[string]map[string]string{"all": percentiles(r.All), "service": percentiles(r.Service), "own": percentiles(r.SendLateness)}}
	for _, s := range r.Seconds {
		f.Seconds = append(f.Seconds, second{Due: s.Due, NotSent: s.NotSent, Answered: s.Latency.Count(), Latency: s.Latency})
	}
	return json.NewEncoder(w).Encode(f)
}

// Read reads a result that Write has written.
func Read(text []byte) (*Result, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	if f.Format != Format || f.Kind != "load" {
		return nil, fmt.Errorf("format %d of kind %q is not %d of kind \"load\"", f.Format, f.Kind, Format)
	}
	r := newResult(Options{})
	r.Runs, r.Invalid, r.Interrupted, r.Sent = f.Runs, f.Invalid, f.Interrupted, time.Duration(f.SentSeconds*float64(time.Second))
	r.Due, r.NotSent, r.Resent = f.Due, f.NotSent, f.Resent
	for _, l := range []*schedule.Latency{f.All, f.Service, f.Own} {
		if l == nil {
			return nil, fmt.Errorf("a distribution is missing")
		}
	}
	r.All, r.Service, r.SendLateness = f.All, f.Service, f.Own
	for name, l := range f.Latency {
		if l == nil {
			return nil, fmt.Errorf("latency.%s is missing", name)
		}
		r.Latency[name] = l
	}
	for i, s := range f.Seconds {
		if s.Latency == nil {
			return nil, fmt.Errorf("seconds[%d].latency is missing", i)
		}
		r.Seconds = append(r.Seconds, Second{Due: s.Due, NotSent: s.NotSent, Latency: s.Latency})
	}
	return r, nil
}

// Merge joins another run into this one, exactly: as if one generator had seen both. Seconds are laid over one another
// from their starts. The whole is valid if both are.
func (r *Result) Merge(o *Result) {
	r.Runs += o.Runs
	r.Due, r.NotSent, r.Resent = r.Due+o.Due, r.NotSent+o.NotSent, r.Resent+o.Resent
	r.Sent = max(r.Sent, o.Sent)
	r.Interrupted = r.Interrupted || o.Interrupted
	if r.Invalid == "" {
		r.Invalid = o.Invalid
	}
	for name, l := range o.Latency {
		if r.Latency[name] == nil {
			r.Latency[name] = schedule.NewLatency()
		}
		r.Latency[name].Merge(l)
	}
	r.All.Merge(o.All)
	r.Service.Merge(o.Service)
	r.SendLateness.Merge(o.SendLateness)
	for i, s := range o.Seconds {
		into := r.second(time.Duration(i) * time.Second)
		into.Due, into.NotSent = into.Due+s.Due, into.NotSent+s.NotSent
		into.Latency.Merge(s.Latency)
	}
}

// WriteTable prints the result for people.
func (r *Result) WriteTable(w io.Writer) error {
	var b strings.Builder
	sent := max(r.Sent.Seconds(), 1e-9)
	fmt.Fprintf(&b, "due %d in %.1f s (%.1f a second), answered %d, not sent for lack of connections %d", r.Due, sent, float64(r.Due)/sent, r.All.Count(), r.NotSent)
	if r.Runs > 1 {
		fmt.Fprintf(&b, "; %d runs together", r.Runs)
	}
	b.WriteString("\n\n")
	var rows strings.Builder
	fmt.Fprint(&rows, "ms\tcount\t")
	for _, p := range told {
		fmt.Fprint(&rows, p.name, "\t")
	}
	fmt.Fprintln(&rows, "most\t")
	row := func(name string, l *schedule.Latency) {
		fmt.Fprintf(&rows, "%s\t%d\t", name, l.Count())
		for _, p := range told {
			fmt.Fprintf(&rows, "%.2f\t", ms(l.At(p.share)))
		}
		fmt.Fprintf(&rows, "%.2f\t\n", ms(l.Most()))
	}
	row("latency, from when due", r.All)
	row("service, from the write", r.Service)
	for _, name := range slices.Sorted(maps.Keys(r.Latency)) {
		row(name, r.Latency[name])
	}
	row("own lateness", r.SendLateness)
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = io.WriteString(t, rows.String()) // a Builder takes all that is written to it
	_ = t.Flush()
	if r.Resent > 0 {
		fmt.Fprintf(&b, "\n%d were sent a second time, since a kept connection had ended\n", r.Resent)
	}
	if r.Interrupted {
		b.WriteString("\ninterrupted: the result is that of what was sent by then\n")
	}
	if r.Invalid != "" {
		fmt.Fprintf(&b, "\nNOT VALID: %s\n", r.Invalid)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
