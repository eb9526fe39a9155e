// Package route decides which route takes a request. It is pure: rules in, a compiled table out, no I/O, clock or
// goroutine. A table never changes and is safe for concurrent use.
package route

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// PathKind says how a rule's path is compared.
type PathKind uint8

// The kinds of paths.
const (
	AnyPath  PathKind = iota
	Exact             // the whole path
	Prefix            // any path that begins so
	Segments          // segment by segment: "*" is any one, "**" at the end any number of them, none included
	Pattern           // a regular expression (RE2) that must match the whole path
)

// Operator says how a header's or a query's value is compared.
type Operator uint8

// The comparisons. A value that comes several times matches if any of them does.
const (
	Present Operator = iota
	Absent
	Equal
	HasPrefix
)

// Condition is on a header or a query value. Header names are compared without regard to case.
type Condition struct {
	Name     string
	Operator Operator
	Value    string
}

// Rule is a route as it is written. The first rule of a table whose every part matches takes a request; a part that is
// left empty matches all.
type Rule struct {
	Name    string
	Hosts   []string // "a.example", or "*.example" for any name below it, of any depth
	Kind    PathKind
	Path    string
	Methods []string
	Headers []Condition
	Query   []Condition
}

// Request is what is matched. Host is without a port, in small letters; Path and RawQuery are as Normalize gives them.
type Request struct {
	Host, Path, RawQuery, Method string
	Header                       http.Header
}

// Bounds of what a table takes.
const (
	maxSegments     = 64
	maxPatternBytes = 1024
)

// Table is a list of rules, compiled. Lookups on it allocate nothing unless a rule asks for a query value that is
// percent-encoded, or for a pattern.
type Table struct {
	rules         []compiledRule
	exactHosts    map[string]*pathIndex // by host
	wildcardHosts map[string]*pathIndex // by the host that a wildcard's "*." stands before
	anyHost       *pathIndex
}

type compiledRule struct {
	Rule
	pattern       *regexp.Regexp
	literalPrefix string   // that any match of the pattern begins with
	segments      []string // of Segments
	endsWithRest  bool     // it ends with "**"
}

// pathIndex is an index of the rules of one host, by path. All lists are in the rules' order.
type pathIndex struct {
	any      []int
	exact    map[string][]int
	prefix   prefixIndex
	segments *segmentNode
	patterns prefixIndex // by what is literal at their beginning
}

// prefixIndex has lists by what a path must begin with.
type prefixIndex struct {
	rulesByPrefix map[string][]int
	lengths       []int // of the prefixes, rising
}

func (b *prefixIndex) add(prefix string, i int) {
	if b.rulesByPrefix[prefix] == nil {
		if at, found := slices.BinarySearch(b.lengths, len(prefix)); !found {
			b.lengths = slices.Insert(b.lengths, at, len(prefix))
		}
	}
	b.rulesByPrefix[prefix] = append(b.rulesByPrefix[prefix], i)
}

// segmentNode is a place in the tree of segments.
type segmentNode struct {
	children  map[string]*segmentNode
	wildcard  *segmentNode
	rules     []int // rules that end here
	restRules []int // rules that end here with "**"
}

// RuleError is what is wrong with a rule that New was given.
type RuleError struct {
	Index int    // of the rule in New's argument
	Name  string // of the rule
	Err   error
}

func (e *RuleError) Error() string { return fmt.Sprintf("route %d (%s): %v", e.Index, e.Name, e.Err) }

// Unwrap returns what is wrong, without the rule's index and name.
func (e *RuleError) Unwrap() error { return e.Err }

// New compiles rules. An error is a RuleError.
func New(rules []Rule) (*Table, error) {
	t := &Table{exactHosts: map[string]*pathIndex{}, wildcardHosts: map[string]*pathIndex{}, anyHost: newPathIndex()}
	for i, r := range rules {
		c, err := compile(r)
		if err != nil {
			return nil, &RuleError{Index: i, Name: r.Name, Err: err}
		}
		t.rules = append(t.rules, c)
		if len(r.Hosts) == 0 {
			t.anyHost.add(i, &c)
		}
		for _, h := range r.Hosts {
			into, name := t.exactHosts, h
			if rest, ok := strings.CutPrefix(h, "*."); ok {
				into, name = t.wildcardHosts, rest
			}
			if into[name] == nil {
				into[name] = newPathIndex()
			}
			into[name].add(i, &c)
		}
	}
	return t, nil
}

// Len is how many rules the table has.
func (t *Table) Len() int { return len(t.rules) }

// Rule is the i-th rule.
func (t *Table) Rule(i int) Rule { return t.rules[i].Rule }

func compile(r Rule) (c compiledRule, err error) {
	c.Rule = r
	for _, h := range r.Hosts {
		if name := strings.TrimPrefix(h, "*."); name == "" || strings.ContainsAny(name, "*/: ") || name != strings.ToLower(name) {
			return c, fmt.Errorf("host %q is no name in small letters, nor one behind \"*.\"", h)
		}
	}
	switch r.Kind {
	case Exact, Prefix:
		if !strings.HasPrefix(r.Path, "/") {
			return c, fmt.Errorf("path %q does not begin with a slash", r.Path)
		}
	case Segments:
		if !strings.HasPrefix(r.Path, "/") {
			return c, fmt.Errorf("path %q does not begin with a slash", r.Path)
		}
		c.segments = strings.Split(r.Path[1:], "/")
		if c.endsWithRest = c.segments[len(c.segments)-1] == "**"; c.endsWithRest {
			c.segments = c.segments[:len(c.segments)-1]
		}
		if len(c.segments) > maxSegments {
			return c, fmt.Errorf("path has over %d segments", maxSegments)
		}
		if slices.Contains(c.segments, "**") {
			return c, errors.New(`"**" may stand at the end of a path only`)
		}
	case Pattern:
		if len(r.Path) > maxPatternBytes {
			return c, fmt.Errorf("pattern is longer than %d bytes", maxPatternBytes)
		}
		if c.pattern, err = regexp.Compile(`\A(?:` + r.Path + `)\z`); err != nil {
			return c, fmt.Errorf("pattern: %w", err)
		}
		if free, err := regexp.Compile(r.Path); err == nil { // without the anchors, which hide it
			c.literalPrefix, _ = free.LiteralPrefix()
		}
	}
	c.Headers = slices.Clone(r.Headers)
	for i := range c.Headers {
		c.Headers[i].Name = http.CanonicalHeaderKey(c.Headers[i].Name)
	}
	return c, nil
}

func newPathIndex() *pathIndex {
	return &pathIndex{exact: map[string][]int{}, prefix: prefixIndex{rulesByPrefix: map[string][]int{}}, patterns: prefixIndex{rulesByPrefix: map[string][]int{}}, segments: &segmentNode{}}
}

func (p *pathIndex) add(i int, c *compiledRule) {
	switch c.Kind {
	case AnyPath:
		p.any = append(p.any, i)
	case Exact:
		p.exact[c.Path] = append(p.exact[c.Path], i)
	case Prefix:
		p.prefix.add(c.Path, i)
	case Segments:
		n := p.segments
		for _, part := range c.segments {
			n = n.child(part)
		}
		if c.endsWithRest {
			n.restRules = append(n.restRules, i)
		} else {
			n.rules = append(n.rules, i)
		}
	case Pattern:
		p.patterns.add(c.literalPrefix, i)
	}
}

func (n *segmentNode) child(part string) *segmentNode {
	if part == "*" {
		if n.wildcard == nil {
			n.wildcard = &segmentNode{}
		}
		return n.wildcard
	}
	if n.children == nil {
		n.children = map[string]*segmentNode{}
	}
	if n.children[part] == nil {
		n.children[part] = &segmentNode{}
	}
	return n.children[part]
}

// none is a place behind all rules.
const none = int(^uint(0) >> 1)

// Match gives the index of the first rule that takes a request; ok is false where none does.
func (t *Table) Match(r *Request) (i int, ok bool) {
	best := none
	if p := t.exactHosts[r.Host]; p != nil {
		best = t.among(p, r, best)
	}
	for rest := r.Host; len(t.wildcardHosts) > 0; {
		dot := strings.IndexByte(rest, '.')
		if dot < 0 {
			break
		}
		rest = rest[dot+1:]
		if p := t.wildcardHosts[rest]; p != nil && dot > 0 {
			best = t.among(p, r, best)
		}
	}
	best = t.among(t.anyHost, r, best)
	return best, best != none
}

// among finds the first rule of one host's that takes the request, if it stands before best.
func (t *Table) among(p *pathIndex, r *Request, best int) int {
	best = t.first(p.any, r, best)
	best = t.first(p.exact[r.Path], r, best)
	for _, n := range p.prefix.lengths {
		if n > len(r.Path) {
			break
		}
		best = t.first(p.prefix.rulesByPrefix[r.Path[:n]], r, best)
	}
	if p.segments.children != nil || p.segments.wildcard != nil || p.segments.restRules != nil {
		best = t.walk(p.segments, r.Path, r, best)
	}
	for _, n := range p.patterns.lengths {
		if n > len(r.Path) {
			break
		}
		best = t.firstPattern(p.patterns.rulesByPrefix[r.Path[:n]], r, best)
	}
	return best
}

// firstPattern is first for patterns, which cost more than all else and are looked at last.
func (t *Table) firstPattern(list []int, r *Request, best int) int {
	for _, i := range list {
		if i >= best {
			return best
		}
		if t.rules[i].matchesRest(r) && t.rules[i].pattern.MatchString(r.Path) {
			return i
		}
	}
	return best
}

// walk goes down the tree of segments. left begins with the slash before the next segment, or is empty at the end. Each
// node is visited once at most for each of its ancestors' ways, and there is one way to a node: the work is bounded by the
// tree, whatever the path.
func (t *Table) walk(n *segmentNode, left string, r *Request, best int) int {
	best = t.first(n.restRules, r, best)
	if left == "" {
		return t.first(n.rules, r, best)
	}
	part, after := left[1:], ""
	if i := strings.IndexByte(part, '/'); i >= 0 {
		part, after = part[:i], part[i:]
	}
	if next := n.children[part]; next != nil {
		best = t.walk(next, after, r, best)
	}
	if n.wildcard != nil && part != "" {
		best = t.walk(n.wildcard, after, r, best)
	}
	return best
}

// first finds the first rule of a list that holds, if it stands before best.
func (t *Table) first(list []int, r *Request, best int) int {
	for _, i := range list {
		if i >= best {
			return best
		}
		if t.rules[i].matchesRest(r) {
			return i
		}
	}
	return best
}

// matchesRest tells whether what is not host and path matches.
func (c *compiledRule) matchesRest(r *Request) bool {
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, r.Method) {
		return false
	}
	for i := range c.Headers {
		if !c.Headers[i].matchesHeader(r.Header) {
			return false
		}
	}
	for i := range c.Query {
		if !c.Query[i].matchesQuery(r.RawQuery) {
			return false
		}
	}
	return true
}

func (c *Condition) matchesHeader(h http.Header) bool {
	values := h[c.Name]
	if c.Operator == Absent {
		return len(values) == 0
	}
	return slices.ContainsFunc(values, c.matchesValue)
}

func (c *Condition) matchesValue(v string) bool {
	switch c.Operator {
	case Equal:
		return v == c.Value
	case HasPrefix:
		return strings.HasPrefix(v, c.Value)
	}
	return true
}

// matchesQuery looks through a raw query without making a map of it.
func (c *Condition) matchesQuery(raw string) bool {
	for raw != "" {
		var pair string
		pair, raw, _ = strings.Cut(raw, "&")
		name, value, _ := strings.Cut(pair, "=")
		if unescapeQuery(name) == c.Name && (c.Operator == Absent || c.matchesValue(unescapeQuery(value))) {
			return c.Operator != Absent
		}
	}
	return c.Operator == Absent
}

// unescapeQuery decodes a part of a query as forms do; what is malformed stays as it is, and so matches no decent name.
func unescapeQuery(s string) string {
	if !strings.ContainsAny(s, "%+") {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '+':
			b.WriteByte(' ')
		case s[i] == '%' && i+2 < len(s) && hexValue(s[i+1]) >= 0 && hexValue(s[i+2]) >= 0:
			b.WriteByte(byte(hexValue(s[i+1])<<4 | hexValue(s[i+2])))
			i += 2
		case s[i] == '%':
			return s
		default:
			b.WriteByte(s[i])
		}
	}
	return b.String()
}
