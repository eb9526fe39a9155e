package route

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// Bounds of a rule's path. They bound the memory of a table that is compiled from an operators' file.
const (
	maxSegments     = 64
	maxPatternBytes = 1024
)

// Parts of a path of the kind Segments that stand for others.
const (
	wildcardSegment  = "*"
	trailingWildcard = "**"
)

// RuleError is what is wrong with a rule that New was given.
type RuleError struct {
	Index int    // of the rule in New's argument
	Name  string // of the rule
	Err   error
}

func (e *RuleError) Error() string { return fmt.Sprintf("route %d (%s): %v", e.Index, e.Name, e.Err) }

// Unwrap returns what is wrong, without the rule's index and name.
func (e *RuleError) Unwrap() error { return e.Err }

// compiledRule is a rule that has been checked. The names of its header conditions are canonical.
type compiledRule struct {
	Rule
	pattern             *regexp.Regexp // of the kind Pattern, anchored at both ends
	literalPrefix       string         // that any match of the pattern begins with
	segments            []string       // of the kind Segments, without "**"
	hasTrailingWildcard bool           // the segments are followed by "**"
}

func compile(r Rule) (compiledRule, error) {
	c := compiledRule{Rule: r}
	for _, host := range r.Hosts {
		if !isHostPattern(host) {
			return c, fmt.Errorf("host %q is no name in small letters, nor one behind \"*.\"", host)
		}
	}
	if err := c.compilePath(); err != nil {
		return c, err
	}
	c.Headers = slices.Clone(r.Headers)
	for i := range c.Headers {
		c.Headers[i].Name = http.CanonicalHeaderKey(c.Headers[i].Name)
	}
	return c, nil
}

func isHostPattern(host string) bool {
	name := strings.TrimPrefix(host, "*.")
	return name != "" && !strings.ContainsAny(name, "*/: ") && name == strings.ToLower(name)
}

func (c *compiledRule) compilePath() error {
	switch c.Kind {
	case Exact, Prefix:
		return checkLeadingSlash(c.Path)
	case Segments:
		return c.compileSegments()
	case Pattern:
		return c.compilePattern()
	}
	return nil
}

func checkLeadingSlash(path string) error {
	if !strings.HasPrefix(path, "/") {
		return fmt.Errorf("path %q does not begin with a slash", path)
	}
	return nil
}

func (c *compiledRule) compileSegments() error {
	if err := checkLeadingSlash(c.Path); err != nil {
		return err
	}
	c.segments = strings.Split(c.Path[1:], "/")
	if last := len(c.segments) - 1; c.segments[last] == trailingWildcard {
		c.segments, c.hasTrailingWildcard = c.segments[:last], true
	}
	if len(c.segments) > maxSegments {
		return fmt.Errorf("path has over %d segments", maxSegments)
	}
	if slices.Contains(c.segments, trailingWildcard) {
		return errors.New(`"**" may stand at the end of a path only`)
	}
	return nil
}

func (c *compiledRule) compilePattern() error {
	if len(c.Path) > maxPatternBytes {
		return fmt.Errorf("pattern is longer than %d bytes", maxPatternBytes)
	}
	var err error
	if c.pattern, err = regexp.Compile(`\A(?:` + c.Path + `)\z`); err != nil {
		return fmt.Errorf("pattern: %w", err)
	}
	// The anchors hide the literal prefix from package regexp. A pattern may compile only within the group, as ")(" does;
	// then it has no prefix.
	if unanchored, err := regexp.Compile(c.Path); err == nil {
		c.literalPrefix, _ = unanchored.LiteralPrefix()
	}
	return nil
}
