// Package metrics counts a process's requests by class and outcome, and writes the counts in the statsd line format.
//
// A Registry owns all counts of a process. Each event is counted once, where it happens, with an atomic addition, so that
// no lock is taken while a request is served. The package starts no goroutine. All types are safe for concurrent use.
package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Outcome is how an accepted request ended.
type Outcome int

// Values of Outcome. Every accepted request has exactly one of them.
const (
	OK           Outcome = iota // the request was served
	Shed                        // the request was rejected to shed load
	Failed                      // the request failed, or its client disconnected before the response
	outcomeCount                // number of values of Outcome; not an outcome itself
)

// outcomeNames are the parts of metric names that stand for the outcomes. Dashboards depend on them.
var outcomeNames = [outcomeCount]string{"ok", "shed", "errors"}

// namePrefix is the first part of every metric's name.
const namePrefix = "edge_router."

// Class names come from the configuration, never from clients. The number of classes is limited since each reload of the
// configuration may add new names.
const (
	maxClasses    = 1024    // maximum number of classes in a Registry, the overflow class not counted
	overflowClass = "other" // name of the class that counts the requests of all classes beyond the first maxClasses
)

// Registry holds the metrics of one process. The zero value is ready to use, and it is safe for concurrent use.
type Registry struct {
	// Attempts counts the attempts that have written a complete request to an endpoint.
	Attempts atomic.Uint64
	// RejectedInput counts the invalid requests that were rejected. They are not counted in any class.
	RejectedInput atomic.Uint64

	active  atomic.Int64 // number of requests of all classes for which Begin was called, but not End
	mu      sync.Mutex   // guards classes; not taken while a request is served
	classes map[string]*Class
}

// Class counts the requests of one class by outcome. It is safe for concurrent use.
type Class struct {
	registry *Registry
	name     string
	outcomes [outcomeCount]atomic.Uint64
}

// Class returns the class with a name, and creates it at the first call. Bytes of the name that have a meaning in a statsd line
// are replaced by "_". Once the registry holds maxClasses classes, all new names share one class.
func (r *Registry) Class(name string) *Class {
	name = sanitizeName(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.classes == nil {
		r.classes = map[string]*Class{}
	}
	if r.classes[name] == nil && len(r.classes) >= maxClasses {
		name = overflowClass
	}
	class := r.classes[name]
	if class == nil {
		class = &Class{registry: r, name: name}
		r.classes[name] = class
	}
	return class
}

// sanitizeName replaces the characters that would end a name, or its line, in the statsd format.
func sanitizeName(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r > '~' || r == ':' || r == '|' || r == '@' || r == '#' {
			return '_'
		}
		return r
	}, name)
}

// Begin counts a request as active. Exactly one call of End must follow.
func (c *Class) Begin() { c.registry.active.Add(1) }

// End counts the outcome of a request for which Begin was called. The request is no longer active.
func (c *Class) End(outcome Outcome) {
	c.outcomes[outcome].Add(1)
	c.registry.active.Add(-1)
}

// Count counts the outcome of a request for which Begin was not called, such as one that was shed before its body was read.
func (c *Class) Count(outcome Outcome) { c.outcomes[outcome].Add(1) }

// Sample is a metric whose value is measured when the metrics are written.
type Sample struct {
	Name      string // metric name without namePrefix
	Value     int64
	IsCounter bool // the value never decreases and is written as a counter, not as a gauge
}

// Write writes all metrics and then the given samples to w, one statsd line each, with classes sorted by name. The counters
// are not read at the same instant: a request that ends during the call may be included in one of them and not in another.
// Write returns the error of w.
func (r *Registry) Write(w io.Writer, samples ...Sample) error {
	classes := r.sortedClasses()
	var text strings.Builder
	for outcome, name := range outcomeNames {
		for _, c := range classes {
			fmt.Fprintf(&text, "%s%s.%s:%d|c\n", namePrefix, name, c.name, c.outcomes[outcome].Load())
		}
	}
	fmt.Fprintf(&text, "%stries:%d|c\n", namePrefix, r.Attempts.Load())
	fmt.Fprintf(&text, "%sbad:%d|c\n", namePrefix, r.RejectedInput.Load())
	fmt.Fprintf(&text, "%sactive:%d|g\n", namePrefix, r.active.Load())
	for _, s := range samples {
		metricType := "g"
		if s.IsCounter {
			metricType = "c"
		}
		fmt.Fprintf(&text, "%s%s:%d|%s\n", namePrefix, s.Name, s.Value, metricType)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

func (r *Registry) sortedClasses() []*Class {
	r.mu.Lock()
	classes := make([]*Class, 0, len(r.classes))
	for _, c := range r.classes {
		classes = append(classes, c)
	}
	r.mu.Unlock()
	slices.SortFunc(classes, func(a, b *Class) int { return strings.Compare(a.name, b.name) })
	return classes
}
