package route

import (
	"errors"
	"fmt"
	"net/http"
	"regexp"
	"slices"
	"strings"
)

// Limits on a rule's path, which bound the memory of a table that is compiled from an operator's file.
const (
	maxSegments     = 64   // maximum number of segments in a path of kind Segments
	maxPatternBytes = 1024 // maximum length of a regular expression, in bytes
)

// Wildcards in a path of kind Segments.
const (
	wildcardSegment  = "*"  // matches one non-empty segment
	trailingWildcard = "**" // matches any number of segments at the end of a path
)

// RuleError reports that a rule passed to New is invalid.
type RuleError struct {
	Index int    // index of the rule in New's argument
	Name  string // name of the rule
	Err   error  // reason why the rule is invalid
}

func (e *RuleError) Error() string { return fmt.Sprintf("route %d (%s): %v", e.Index, e.Name, e.Err) }

// Unwrap returns the reason why the rule is invalid, without the rule's index and name.
func (e *RuleError) Unwrap() error { return e.Err }

// compiledRule is a validated rule, with its path parsed. The names of its header conditions are canonical.
type compiledRule struct {
	Rule
	pattern             *regexp.Regexp // path of a rule of kind Pattern, anchored at both ends
	literalPrefix       string         // literal text that every match of pattern begins with
	segments            []string       // segments of the path of a rule of kind Segments, without a trailing "**"
	hasTrailingWildcard bool           // whether the path of a rule of kind Segments ends with "**"
}

func compile(r Rule) (compiledRule, error) {
	c := compiledRule{Rule: r}
	for _, host := range r.Hosts {
		if !isHostPattern(host) {
			return c, fmt.Errorf("host %q is not a lower-case name, with or without a leading \"*.\"", host)
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
		return fmt.Errorf("path has more than %d segments", maxSegments)
	}
	if slices.Contains(c.segments, trailingWildcard) {
		return errors.New(`"**" is allowed only at the end of a path`)
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
	// regexp's LiteralPrefix returns nothing for an anchored expression, so the prefix is taken from the pattern without anchors. A
	// pattern such as ")(" compiles only inside the group that stands between the anchors, so it gets no prefix.
	if unanchored, err := regexp.Compile(c.Path); err == nil {
		c.literalPrefix, _ = unanchored.LiteralPrefix()
	}
	return nil
}
