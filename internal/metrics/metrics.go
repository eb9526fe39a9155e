// Package metrics counts a process's requests by class and outcome and writes the counts in the statsd line format.
//
// A Registry owns all counts of a process. Each event is counted once, where it happens, by an atomic addition: no lock
// is taken while a request is served. The package starts no goroutine. All types are safe for concurrent use.
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

// The outcomes. A request whose client disconnected before the response counts as Failed.
const (
	OK           Outcome = iota // the request was served
	Shed                        // the request was rejected to shed load
	Failed                      // neither
	outcomeCount                // the number of outcomes above, none itself
)

// outcomeNames are the outcomes' parts of metric names. Dashboards read them.
var outcomeNames = [outcomeCount]string{"ok", "shed", "errors"}

// namePrefix begins the name of each metric.
const namePrefix = "edge_router."

// maxClasses bounds the classes of a registry, since each reload of the configuration may bring new names. Further names
// are counted together under overflowClass. Class names come from the configuration, never from clients.
const (
	maxClasses    = 1024
	overflowClass = "other"
)

// Registry holds the metrics of one process. The zero value is ready to use, and it is safe for concurrent use.
type Registry struct {
	// Tries counts attempts whose last byte was written to an endpoint.
	Attempts atomic.Uint64
	// Bad counts input that was rejected before it was a request. It is not counted as a failure of any class.
	RejectedInput atomic.Uint64

	active  atomic.Int64 // requests between Begin and End, of all classes
	mu      sync.Mutex   // guards classes; not taken while a request is served
	classes map[string]*Class
}

// Class counts the requests of one class by outcome. It is safe for concurrent use.
type Class struct {
	registry *Registry
	name     string
	outcomes [outcomeCount]atomic.Uint64
}

// Class returns the class of a name, the same one at each call. Bytes that have a meaning in a statsd line are replaced
// by "_". When the registry already holds maxClasses classes, a new name gives the class that all further names share.
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

// sanitizeName replaces the characters of a name that would end it, or its line, in the statsd format.
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

// End counts the outcome of a request that was begun; the request is no longer active.
func (c *Class) End(outcome Outcome) {
	c.outcomes[outcome].Add(1)
	c.registry.active.Add(-1)
}

// Count counts the outcome of a request that was never active, such as one that was shed before its body was read.
func (c *Class) Count(outcome Outcome) { c.outcomes[outcome].Add(1) }

// Sample is a metric whose value is read when the metrics are written.
type Sample struct {
	Name      string // without the prefix that all metrics have
	Value     int64
	IsCounter bool // the value only grows, and is written as a counter
}

// Write writes all metrics and then the given gauges to w, one statsd line each, classes in the order of their names. The
// counters are not read at one instant: a request that ends meanwhile may be seen in one of them and not yet in another.
// The error is that of w.
func (r *Registry) Write(w io.Writer, gauges ...Sample) error {
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
	for _, g := range gauges {
		kind := "g"
		if g.IsCounter {
			kind = "c"
		}
		fmt.Fprintf(&text, "%s%s:%d|%s\n", namePrefix, g.Name, g.Value, kind)
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
