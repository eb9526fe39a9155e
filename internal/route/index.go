package route

import "slices"

// pathIndex is an index of the rules of one host by their paths. Rules are given by their indexes in the table; all
// lists are in ascending order.
type pathIndex struct {
	any      []int
	exact    map[string][]int
	prefixes prefixIndex
	segments *segmentNode
	patterns prefixIndex // by the literal prefix
}

func newPathIndex() *pathIndex {
	return &pathIndex{
		exact:    map[string][]int{},
		prefixes: prefixIndex{rulesByPrefix: map[string][]int{}},
		segments: &segmentNode{},
		patterns: prefixIndex{rulesByPrefix: map[string][]int{}},
	}
}

func (p *pathIndex) add(rule int, c *compiledRule) {
	switch c.Kind {
	case AnyPath:
		p.any = append(p.any, rule)
	case Exact:
		p.exact[c.Path] = append(p.exact[c.Path], rule)
	case Prefix:
		p.prefixes.add(c.Path, rule)
	case Segments:
		p.segments.add(rule, c)
	case Pattern:
		p.patterns.add(c.literalPrefix, rule)
	}
}

// prefixIndex has lists of rules by what a path must begin with. A lookup takes one access for each length.
type prefixIndex struct {
	rulesByPrefix map[string][]int
	lengths       []int // of the prefixes, ascending, each once
}

func (x *prefixIndex) add(prefix string, rule int) {
	if x.rulesByPrefix[prefix] == nil {
		if at, found := slices.BinarySearch(x.lengths, len(prefix)); !found {
			x.lengths = slices.Insert(x.lengths, at, len(prefix))
		}
	}
	x.rulesByPrefix[prefix] = append(x.rulesByPrefix[prefix], rule)
}

// segmentNode is a node in the tree of the paths of the kind Segments. It stands for the segments on the way from the
// root.
type segmentNode struct {
	children              map[string]*segmentNode
	wildcard              *segmentNode // the child for "*"
	rules                 []int        // that end here
	trailingWildcardRules []int        // that end here with "**"
}

// isEmptyRoot reports whether a tree has no rules. A rule without "**" has at least one segment, and so a child.
func (n *segmentNode) isEmptyRoot() bool {
	return n.children == nil && n.wildcard == nil && n.trailingWildcardRules == nil
}

func (n *segmentNode) add(rule int, c *compiledRule) {
	for _, segment := range c.segments {
		n = n.child(segment)
	}
	if c.hasTrailingWildcard {
		n.trailingWildcardRules = append(n.trailingWildcardRules, rule)
	} else {
		n.rules = append(n.rules, rule)
	}
}

// child returns the node for one more segment, and makes it if need be.
func (n *segmentNode) child(segment string) *segmentNode {
	if segment == wildcardSegment {
		if n.wildcard == nil {
			n.wildcard = &segmentNode{}
		}
		return n.wildcard
	}
	if n.children == nil {
		n.children = map[string]*segmentNode{}
	}
	if n.children[segment] == nil {
		n.children[segment] = &segmentNode{}
	}
	return n.children[segment]
}
