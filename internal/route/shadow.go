package route

import (
	"slices"
	"strings"
)

// Shadow is a rule that no request reaches because an earlier rule matches all requests that it would match. Both fields are
// indexes of rules in the table.
type Shadow struct{ Rule, ShadowedBy int }

// Unreachable returns the rules that are shadowed by a single earlier rule. It does not find rules that are shadowed only by
// several earlier rules together. Its time is quadratic in the number of rules.
func (t *Table) Unreachable() []Shadow {
	var shadows []Shadow
	for later := range t.rules {
		for earlier := range later {
			if t.rules[earlier].covers(&t.rules[later]) {
				shadows = append(shadows, Shadow{Rule: later, ShadowedBy: earlier})
				break
			}
		}
	}
	return shadows
}

// covers reports whether the rule matches every request that another rule matches. A result of true is always correct, but false
// may be wrong.
func (c *compiledRule) covers(other *compiledRule) bool {
	impliedBy := func(conditions []Condition) func(Condition) bool {
		return func(implied Condition) bool { return slices.ContainsFunc(conditions, implied.isImpliedBy) }
	}
	return c.coversPath(other) && c.coversHosts(other) && c.coversMethods(other) &&
		allMatch(c.Headers, impliedBy(other.Headers)) && allMatch(c.Query, impliedBy(other.Query))
}

func (c *compiledRule) coversHosts(other *compiledRule) bool {
	return len(c.Hosts) == 0 || len(other.Hosts) > 0 && allMatch(other.Hosts, func(host string) bool {
		return slices.ContainsFunc(c.Hosts, func(pattern string) bool {
			return pattern == host || matchesHost(pattern, strings.TrimPrefix(host, "*"))
		})
	})
}

func (c *compiledRule) coversMethods(other *compiledRule) bool {
	return len(c.Methods) == 0 || len(other.Methods) > 0 &&
		allMatch(other.Methods, func(method string) bool { return slices.Contains(c.Methods, method) })
}

func (c *compiledRule) coversPath(other *compiledRule) bool {
	switch {
	case c.matchesAnyPath():
		return true
	case other.Kind == Exact:
		return c.matchesPath(other.Path)
	case c.Kind == Prefix && other.Kind == Prefix:
		return strings.HasPrefix(other.Path, c.Path)
	case c.Kind == other.Kind && c.Path == other.Path:
		return true
	case c.Kind == Segments && other.Kind == Segments && c.hasTrailingWildcard && len(other.segments) >= len(c.segments):
		return slices.EqualFunc(c.segments, other.segments[:len(c.segments)], func(segment, otherSegment string) bool {
			return segment == otherSegment || segment == wildcardSegment && otherSegment != ""
		})
	}
	return false
}

// matchesAnyPath reports whether the rule's path matches the path of every request.
func (c *compiledRule) matchesAnyPath() bool {
	switch c.Kind {
	case AnyPath:
		return true
	case Prefix:
		return c.Path == "/"
	case Segments:
		return c.hasTrailingWildcard && len(c.segments) == 0
	}
	return false
}

func allMatch[T any](list []T, matches func(T) bool) bool {
	return !slices.ContainsFunc(list, func(v T) bool { return !matches(v) })
}
