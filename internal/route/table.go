package route

import (
	"slices"
	"strings"
)

// Table is a compiled list of rules. A lookup allocates memory only to decode a query value or to match a regular expression.
type Table struct {
	rules         []compiledRule
	exactHosts    map[string]*pathIndex // rules with a host that is a full name, by that name
	wildcardHosts map[string]*pathIndex // rules with a host "*.NAME", by NAME
	anyHost       *pathIndex            // rules without hosts
}

// New compiles rules into a Table. Any error that it returns is a *RuleError.
func New(rules []Rule) (*Table, error) {
	t := &Table{exactHosts: map[string]*pathIndex{}, wildcardHosts: map[string]*pathIndex{}, anyHost: newPathIndex()}
	for i, r := range rules {
		c, err := compile(r)
		if err != nil {
			return nil, &RuleError{Index: i, Name: r.Name, Err: err}
		}
		t.rules = append(t.rules, c)
		t.addToIndexes(i, &c)
	}
	return t, nil
}

func (t *Table) addToIndexes(ruleIndex int, c *compiledRule) {
	if len(c.Hosts) == 0 {
		t.anyHost.add(ruleIndex, c)
	}
	for _, host := range c.Hosts {
		indexes, name := t.exactHosts, host
		if parent, ok := strings.CutPrefix(host, "*."); ok {
			indexes, name = t.wildcardHosts, parent
		}
		if indexes[name] == nil {
			indexes[name] = newPathIndex()
		}
		indexes[name].add(ruleIndex, c)
	}
}

// Len returns the number of rules in the table, which have the indexes 0 to Len()-1.
func (t *Table) Len() int { return len(t.rules) }

// Rule returns the rule at an index of New's argument, with canonical header names.
func (t *Table) Rule(index int) Rule { return t.rules[index].Rule }

// noRule is the result of a lookup without a match. It is greater than the index of any rule.
const noRule = int(^uint(0) >> 1)

// Match returns the index of the first rule that matches a request, and whether there is one.
func (t *Table) Match(r *Request) (index int, ok bool) {
	bestRule := noRule
	if p := t.exactHosts[r.Host]; p != nil {
		bestRule = t.firstMatchOfHost(p, r, bestRule)
	}
	for parent := r.Host; len(t.wildcardHosts) > 0; {
		dot := strings.IndexByte(parent, '.')
		if dot < 0 {
			break
		}
		parent = parent[dot+1:]
		if p := t.wildcardHosts[parent]; p != nil && dot > 0 {
			bestRule = t.firstMatchOfHost(p, r, bestRule)
		}
	}
	bestRule = t.firstMatchOfHost(t.anyHost, r, bestRule)
	return bestRule, bestRule != noRule
}

// firstMatchOfHost looks for the first rule of a host that matches the request. It returns the index of that rule if it is less
// than bestRule, and bestRule otherwise. Kinds of paths are looked up from cheap to expensive: each match lowers bestRule, which
// leaves fewer expensive rules to check.
func (t *Table) firstMatchOfHost(p *pathIndex, r *Request, bestRule int) int {
	bestRule = t.firstMatch(p.anyPath, r, bestRule)
	bestRule = t.firstMatch(p.exact[r.Path], r, bestRule)
	for _, length := range p.prefixes.lengths {
		if length > len(r.Path) {
			break
		}
		bestRule = t.firstMatch(p.prefixes.rulesByPrefix[r.Path[:length]], r, bestRule)
	}
	if !p.segments.isEmptyRoot() {
		bestRule = t.firstMatchBySegments(p.segments, r.Path, r, bestRule)
	}
	for _, length := range p.patterns.lengths {
		if length > len(r.Path) {
			break
		}
		bestRule = t.firstPatternMatch(p.patterns.rulesByPrefix[r.Path[:length]], r, bestRule)
	}
	return bestRule
}

// firstMatchBySegments looks for the first rule that matches the request, among the rules that are stored at or below a node of the
// segment tree. It returns the index of that rule if it is less than bestRule, and bestRule otherwise. path is the part of the
// request's path that is not matched yet: it begins with the slash before the next segment, or is empty at the end. Each node has
// one parent and so is visited at most once: the work is bounded by the size of the tree, whatever the path is.
func (t *Table) firstMatchBySegments(n *segmentNode, path string, r *Request, bestRule int) int {
	bestRule = t.firstMatch(n.trailingWildcardRules, r, bestRule)
	if path == "" {
		return t.firstMatch(n.rules, r, bestRule)
	}
	segment, rest := path[1:], ""
	if i := strings.IndexByte(segment, '/'); i >= 0 {
		segment, rest = segment[:i], segment[i:]
	}
	if child := n.children[segment]; child != nil {
		bestRule = t.firstMatchBySegments(child, rest, r, bestRule)
	}
	if n.wildcard != nil && segment != "" {
		bestRule = t.firstMatchBySegments(n.wildcard, rest, r, bestRule)
	}
	return bestRule
}

// firstMatch looks for the first rule of a list that matches the request, and returns the index of that rule if it is less than
// bestRule, and bestRule otherwise. The hosts and paths of the rules in the list are known to match.
func (t *Table) firstMatch(rules []int, r *Request, bestRule int) int {
	for _, i := range rules {
		if i >= bestRule {
			return bestRule
		}
		if t.rules[i].matchesMethodAndConditions(r) {
			return i
		}
	}
	return bestRule
}

// firstPatternMatch looks for the first rule of a list that matches the request, and returns the index of that rule if it is less
// than bestRule, and bestRule otherwise. All rules in the list are of kind Pattern. Their hosts are known to match, but not their
// paths. The regular expression is matched last, since it costs more than all other parts.
func (t *Table) firstPatternMatch(rules []int, r *Request, bestRule int) int {
	for _, i := range rules {
		if i >= bestRule {
			return bestRule
		}
		if t.rules[i].matchesMethodAndConditions(r) && t.rules[i].pattern.MatchString(r.Path) {
			return i
		}
	}
	return bestRule
}

// matchesMethodAndConditions reports whether every part of the rule other than host and path matches the request.
func (c *compiledRule) matchesMethodAndConditions(r *Request) bool {
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
