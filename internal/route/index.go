package route

import "slices"

// pathIndex indexes the rules of one host by their paths. Each rule is stored as the rule's index in the table; all lists of rules
// are in ascending order.
type pathIndex struct {
	anyPath  []int            // rules of kind AnyPath
	exact    map[string][]int // rules of kind Exact, by their path
	prefixes prefixIndex      // rules of kind Prefix, by their path
	segments *segmentNode     // root of the tree that holds the rules of kind Segments
	patterns prefixIndex      // rules of kind Pattern, by the literal prefix of their expression
}

func newPathIndex() *pathIndex {
	return &pathIndex{
		exact:    map[string][]int{},
		prefixes: prefixIndex{rulesByPrefix: map[string][]int{}},
		segments: &segmentNode{},
		patterns: prefixIndex{rulesByPrefix: map[string][]int{}},
	}
}

func (p *pathIndex) add(ruleIndex int, c *compiledRule) {
	switch c.Kind {
	case AnyPath:
		p.anyPath = append(p.anyPath, ruleIndex)
	case Exact:
		p.exact[c.Path] = append(p.exact[c.Path], ruleIndex)
	case Prefix:
		p.prefixes.add(c.Path, ruleIndex)
	case Segments:
		p.segments.add(ruleIndex, c)
	case Pattern:
		p.patterns.add(c.literalPrefix, ruleIndex)
	}
}

// prefixIndex maps prefixes of paths to rules. A lookup takes one map access for each distinct length of a prefix.
type prefixIndex struct {
	rulesByPrefix map[string][]int
	lengths       []int // distinct lengths of the prefixes in bytes, ascending
}

func (x *prefixIndex) add(prefix string, ruleIndex int) {
	if x.rulesByPrefix[prefix] == nil {
		if i, found := slices.BinarySearch(x.lengths, len(prefix)); !found {
			x.lengths = slices.Insert(x.lengths, i, len(prefix))
		}
	}
	x.rulesByPrefix[prefix] = append(x.rulesByPrefix[prefix], ruleIndex)
}

// segmentNode is a node of the tree in which paths of kind Segments are stored. Each edge from the root to a node is labeled with
// one segment.
type segmentNode struct {
	children              map[string]*segmentNode // child nodes by their literal segment
	wildcard              *segmentNode            // child node for the segment "*"
	rules                 []int                   // rules whose path ends at this node, without a "**"
	trailingWildcardRules []int                   // rules whose path ends with "**" after this node
}

// isEmptyRoot reports whether the tree below a root has no rules. The rules of the root itself need no check: a path without
// "**" has at least one segment, so its rule is stored at a descendant.
func (n *segmentNode) isEmptyRoot() bool {
	return n.children == nil && n.wildcard == nil && n.trailingWildcardRules == nil
}

func (n *segmentNode) add(ruleIndex int, c *compiledRule) {
	for _, segment := range c.segments {
		n = n.child(segment)
	}
	if c.hasTrailingWildcard {
		n.trailingWildcardRules = append(n.trailingWildcardRules, ruleIndex)
	} else {
		n.rules = append(n.rules, ruleIndex)
	}
}

// child returns the child node for a segment, and creates it if it does not exist.
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
