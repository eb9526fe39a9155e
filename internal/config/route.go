package config

import (
	"errors"
	"fmt"
	"strings"

	"tuliprock/internal/route"
	"tuliprock/internal/tomlfile"
)

// maxRoutes bounds a file's routes. Lookups stay fast with as many (BenchmarkMatch in package route goes up to 10,000).
const maxRoutes = 100_000

// Route is a section [[route]]: which requests go to which pool, and as which class. The first route whose every part
// matches takes a request; a part that is left out matches all.
type Route struct {
	Name    string      `toml:"name"`
	Hosts   []string    `toml:"hosts"`
	Methods []string    `toml:"methods"`
	Header  []Condition `toml:"header"`
	Query   []Condition `toml:"query"`

	// One of these at most; see the kinds of paths in package route.
	Path         string `toml:"path"`
	PathPrefix   string `toml:"path_prefix"`
	PathSegments string `toml:"path_segments"`
	PathPattern  string `toml:"path_pattern"`

	Pool          string        `toml:"pool"`
	Class         string        `toml:"class"`
	Tenant        string        `toml:"tenant"`         // of requests that name none
	ReplacePrefix string        `toml:"replace_prefix"` // takes the place of PathPrefix in the forwarded request
	SetHeader     []HeaderValue `toml:"set_header"`     // in the forwarded request
	RemoveHeaders []string      `toml:"remove_headers"` // from the forwarded request
}

// HeaderValue is a header that a route sets.
type HeaderValue struct {
	Name  string `toml:"name"`
	Value string `toml:"value"`
}

// Condition is a requirement on a header or a query value. Without Equal, Prefix and Absent the value must be present.
type Condition struct {
	Name   string `toml:"name"`
	Equal  string `toml:"equal"` // may be empty: whether it is given is known from the file
	Prefix string `toml:"prefix"`
	Absent bool   `toml:"absent"`
}

// checkRoutes also compiles the routes into the file's table.
func (f *File) checkRoutes(at *tomlfile.File) error {
	if n := len(f.Route); n == 0 || n > maxRoutes {
		return at.Errorf("route", "must be from 1 to %d of them", maxRoutes)
	}
	names := f.definedNames()
	rules := make([]route.Rule, 0, len(f.Route))
	for i := range f.Route {
		rule, err := f.Route[i].check(at, fmt.Sprintf("route[%d]", i), names)
		if err != nil {
			return err
		}
		rules = append(rules, rule)
	}
	var err error
	f.table, err = route.New(rules)
	return err
}

// definedNames are the names that a route may refer to.
type definedNames struct{ pools, classes, tenants map[string]bool }

func (f *File) definedNames() definedNames {
	names := definedNames{pools: map[string]bool{}, classes: map[string]bool{}, tenants: map[string]bool{"": true}}
	for _, p := range f.Pool {
		names.pools[p.Name] = true
	}
	for _, c := range f.Class {
		names.classes[c.Name] = true
	}
	for _, t := range f.Tenant {
		names.tenants[t.Name] = true
	}
	return names
}

// check returns the route as a rule of the table.
func (r *Route) check(at *tomlfile.File, table string, names definedNames) (route.Rule, error) {
	rule, err := r.rule(at, table)
	if err != nil {
		return rule, err
	}
	hasReplaceablePrefix := r.PathPrefix != "" && strings.HasPrefix(r.ReplacePrefix, "/")
	if err := at.Check(table, []tomlfile.Requirement{
		tomlfile.Require("pool", names.pools[r.Pool], "the name of a pool"),
		tomlfile.Require("class", names.classes[r.Class], "the name of a class"),
		tomlfile.Require("tenant", names.tenants[r.Tenant], "the name of a tenant"),
		tomlfile.Require("replace_prefix", r.ReplacePrefix == "" || hasReplaceablePrefix, "a path, beside path_prefix"),
	}); err != nil {
		return rule, err
	}
	if err := r.checkHeaders(at, table); err != nil {
		return rule, err
	}
	// A table of this rule alone, so that its error can be located in the file.
	if _, err := route.New([]route.Rule{rule}); err != nil {
		if ruleErr := (*route.RuleError)(nil); errors.As(err, &ruleErr) {
			err = ruleErr.Err
		}
		return rule, at.Errorf(table, "%v", err)
	}
	return rule, nil
}

func (r *Route) checkHeaders(at *tomlfile.File, table string) error {
	for i, h := range r.SetHeader {
		if err := at.Check(fmt.Sprintf("%s.set_header[%d]", table, i), []tomlfile.Requirement{
			tomlfile.Require("name", isRewritableHeader(h.Name), "a header that is not the daemon's own"),
			tomlfile.Require("value", isHeaderValue(h.Value), "a header's value"),
		}); err != nil {
			return err
		}
	}
	if !allMatch(r.RemoveHeaders, isRewritableHeader) {
		return at.Errorf(table+".remove_headers", "must be headers that are not the daemon's own")
	}
	return nil
}

// rule converts the route's conditions. What only the table can check is left to it.
func (r *Route) rule(at *tomlfile.File, table string) (route.Rule, error) {
	rule := route.Rule{Name: r.Name, Hosts: r.Hosts, Methods: r.Methods}
	paths := 0
	for _, p := range []struct {
		kind route.PathKind
		path string
	}{{route.Exact, r.Path}, {route.Prefix, r.PathPrefix}, {route.Segments, r.PathSegments}, {route.Pattern, r.PathPattern}} {
		if p.path != "" {
			paths++
			rule.Kind, rule.Path = p.kind, p.path
		}
	}
	if paths > 1 {
		return rule, at.Errorf(table, "must have one of path, path_prefix, path_segments and path_pattern at most")
	}
	if normal, _, err := route.Normalize(r.Path); r.Path != "" && (err != nil || normal != r.Path) {
		return rule, at.Errorf(table+".path", "%q is not in its normal form, and would never match", r.Path)
	}
	var err error
	if rule.Headers, err = routeConditions(at, table+".header", r.Header); err != nil {
		return rule, err
	}
	rule.Query, err = routeConditions(at, table+".query", r.Query)
	return rule, err
}

// routeConditions converts the conditions of one array of tables.
func routeConditions(at *tomlfile.File, array string, conditions []Condition) ([]route.Condition, error) {
	var out []route.Condition
	for i, c := range conditions {
		converted, err := c.routeCondition(at, fmt.Sprintf("%s[%d]", array, i))
		if err != nil {
			return nil, err
		}
		out = append(out, converted)
	}
	return out, nil
}

func (c Condition) routeCondition(at *tomlfile.File, table string) (route.Condition, error) {
	out := route.Condition{Name: c.Name}
	if c.Name == "" {
		return out, at.Errorf(table+".name", "must be given")
	}
	comparisons := 0
	for _, o := range []struct {
		operator route.Operator
		isGiven  bool
		value    string
	}{
		{route.Equal, at.Has(table + ".equal"), c.Equal},
		{route.HasPrefix, c.Prefix != "", c.Prefix},
		{route.Absent, c.Absent, ""},
	} {
		if o.isGiven {
			comparisons++
			out.Operator, out.Value = o.operator, o.value
		}
	}
	if comparisons > 1 {
		return out, at.Errorf(table, "must have one of equal, prefix and absent at most")
	}
	return out, nil
}
