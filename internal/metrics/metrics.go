// Package metrics keeps the daemon's figures. Each is counted once, where the thing happens, by an atomic addition: no
// lock stands on a request's way.
package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Outcome is how a request that was taken ended.
type Outcome int

// The ends. What ends after its caller has left counts as failed.
const (
	OK     Outcome = iota // served
	Shed                  // refused
	Failed                // neither
	ends
)

var endNames = [ends]string{"ok", "shed", "errors"}

// prefix begins each figure's name.
const prefix = "edge_router."

// mostClasses bounds the names that reloads may bring; what comes later is counted under the name of the rest. Names come
// from the configuration, never from callers.
const (
	mostClasses = 1024
	rest        = "other"
)

// Registry are a process's. The zero value is ready, and safe for concurrent use.
type Registry struct {
	Tries atomic.Uint64 // attempts whose last byte was written to an endpoint
	Bad   atomic.Uint64 // what callers sent that was turned away before it was a request; it is no error of a class

	active  atomic.Int64
	mu      sync.Mutex // of the classes' names; not on a request's way
	classes map[string]*Class
}

// Class counts the requests of one class.
type Class struct {
	all  *Registry
	name string
	n    [ends]atomic.Uint64
}

// Class gives the class of a name, the same one each time.
func (f *Registry) Class(name string) *Class {
	name = plain(name)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.classes == nil {
		f.classes = map[string]*Class{}
	}
	if f.classes[name] == nil && len(f.classes) >= mostClasses {
		name = rest
	}
	c := f.classes[name]
	if c == nil {
		c = &Class{all: f, name: name}
		f.classes[name] = c
	}
	return c
}

// plain takes out of a name what would end it in a line of figures.
func plain(name string) string {
	return strings.Map(func(r rune) rune {
		if r <= ' ' || r > '~' || r == ':' || r == '|' || r == '@' || r == '#' {
			return '_'
		}
		return r
	}, name)
}

// Begin says that a request was taken; End must follow, once.
func (c *Class) Begin() { c.all.active.Add(1) }

// End says how a request ended.
func (c *Class) End(how Outcome) {
	c.n[how].Add(1)
	c.all.active.Add(-1)
}

// Count says how a request ended that never began: it was refused before its body had come.
func (c *Class) Count(how Outcome) { c.n[how].Add(1) }

// Gauge is a figure that is read when it is written.
type Gauge struct {
	Name   string
	Value  int64
	Counts bool // it only grows, and is written as the counts are
}

// Write writes all figures, each on a line of its own as statsd has them, and the gauges given. The counts of one request
// may be seen by halves, as it ends meanwhile.
func (f *Registry) Write(w io.Writer, gauges ...Gauge) error {
	f.mu.Lock()
	classes := make([]*Class, 0, len(f.classes))
	for _, c := range f.classes {
		classes = append(classes, c)
	}
	f.mu.Unlock()
	slices.SortFunc(classes, func(a, b *Class) int { return strings.Compare(a.name, b.name) })
	var text strings.Builder
	for how, name := range endNames {
		for _, c := range classes {
			fmt.Fprintf(&text, "%s%s.%s:%d|c\n", prefix, name, c.name, c.n[how].Load())
		}
	}
	fmt.Fprintf(&text, "%stries:%d|c\n%sbad:%d|c\n%sactive:%d|g\n", prefix, f.Tries.Load(), prefix, f.Bad.Load(), prefix, f.active.Load())
	for _, g := range gauges {
		kind := "g"
		if g.Counts {
			kind = "c"
		}
		fmt.Fprintf(&text, "%s%s:%d|%s\n", prefix, g.Name, g.Value, kind)
	}
	_, err := io.WriteString(w, text.String())
	return err
}
