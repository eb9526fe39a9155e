package config

import (
	"errors"
	"fmt"
	"strings"

	"tuliprock/internal/route"
	"tuliprock/internal/tomlfile"
)

// maxRoutes is the maximum number of routes in a file. The route of a request is found fast even among that many, by an index by host
// and path instead of a scan of all routes. BenchmarkMatch in package route measures tables of up to 10,000 routes.
const maxRoutes = 100_000

// Route is a section [[route]] of an operators' file: it sends the requests that match all of its conditions to a pool, as requests
// of a class. Of several routes that match a request the first one applies. A condition that is left out matches every request.
type Route struct {
	Name    string      `toml:"name"`
	Hosts   []string    `toml:"hosts"`   // hosts of which the request must have one; empty for any
	Methods []string    `toml:"methods"` // methods of which the request must have one; empty for any
	Header  []Condition `toml:"header"`  // conditions on headers, which a request must all meet
	Query   []Condition `toml:"query"`   // conditions on query values, which a request must all meet

	// At most one of Path, PathPrefix, PathSegments and PathPattern is set. Package route explains the kinds of paths.
	Path         string `toml:"path"`
	PathPrefix   string `toml:"path_prefix"`
	PathSegments string `toml:"path_segments"`
	PathPattern  string `toml:"path_pattern"`

	Pool          string        `toml:"pool"`           // name of the pool that serves the requests
	Class         string        `toml:"class"`          // name of the requests' class
	Tenant        string        `toml:"tenant"`         // name of the tenant of requests that name none
	ReplacePrefix string        `toml:"replace_prefix"` // replaces PathPrefix in the forwarded request; empty to keep it
	SetHeader     []HeaderValue `toml:"set_header"`     // headers to set in the forwarded request
	RemoveHeaders []string      `toml:"remove_headers"` // names of headers to remove from the forwarded request
}

// HeaderValue is a header that a route sets.
type HeaderValue struct {
	Name  string `toml:"name"`
	Value string `toml:"value"`
}

// Condition is a condition on a header or a query parameter. Without Equal, Prefix and Absent any value matches, but the header or
// parameter must be present.
type Condition struct {
	Name   string `toml:"name"`
	Equal  string `toml:"equal"`  // required value of the header or query parameter; "" requires an empty value if the file has this field, and nothing if the file leaves it out
	Prefix string `toml:"prefix"` // required prefix of the header's or query parameter's value; empty for none
	Absent bool   `toml:"absent"` // the request must not have a header or query parameter of this Name
}

// checkRoutes checks the routes and compiles them into the file's table.
func (f *File) checkRoutes(tomlFile *tomlfile.File) error {
	if n := len(f.Route); n == 0 || n > maxRoutes {
		return tomlFile.Errorf("route", "must have from 1 to %d entries", maxRoutes)
	}
	names := f.definedNames()
	rules := make([]route.Rule, 0, len(f.Route))
	for i := range f.Route {
		rule, err := f.Route[i].check(tomlFile, fmt.Sprintf("route[%d]", i), names)
		if err != nil {
			return err
		}
		rules = append(rules, rule)
	}
	var err error
	f.table, err = route.New(rules)
	return err
}

// definedNames holds the names of pools, classes and tenants that a route may refer to.
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

// check returns an error for the first invalid field of the route, and otherwise the route as a rule of the routing table. table is
// the full name of the route's section, for errors.
func (r *Route) check(tomlFile *tomlfile.File, table string, names definedNames) (route.Rule, error) {
	rule, err := r.tableRule(tomlFile, table)
	if err != nil {
		return rule, err
	}
	hasReplaceablePrefix := r.PathPrefix != "" && strings.HasPrefix(r.ReplacePrefix, "/")
	if err := tomlFile.Check(table, []tomlfile.Requirement{
		tomlfile.Require("pool", names.pools[r.Pool], "the name of a pool"),
		tomlfile.Require("class", names.classes[r.Class], "the name of a class"),
		tomlfile.Require("tenant", names.tenants[r.Tenant], "the name of a tenant"),
		tomlfile.Require("replace_prefix", r.ReplacePrefix == "" || hasReplaceablePrefix, "a path, and given only together with path_prefix"),
	}); err != nil {
		return rule, err
	}
	if err := r.checkHeaders(tomlFile, table); err != nil {
		return rule, err
	}
	// Each rule is compiled alone before checkRoutes compiles the table, so that an error can name the route of the file.
	if _, err := route.New([]route.Rule{rule}); err != nil {
		if ruleErr := (*route.RuleError)(nil); errors.As(err, &ruleErr) {
			err = ruleErr.Err
		}
		return rule, tomlFile.Errorf(table, "%v", err)
	}
	return rule, nil
}

func (r *Route) checkHeaders(tomlFile *tomlfile.File, table string) error {
	for i, h := range r.SetHeader {
		if err := tomlFile.Check(fmt.Sprintf("%s.set_header[%d]", table, i), []tomlfile.Requirement{
			tomlfile.Require("name", isRewritableHeader(h.Name), "the name of a header that routes may change"),
			tomlfile.Require("value", isHeaderValue(h.Value), "a valid header value"),
		}); err != nil {
			return err
		}
	}
	if !allMatch(r.RemoveHeaders, isRewritableHeader) {
		return tomlFile.Errorf(table+".remove_headers", "must be names of headers that routes may change")
	}
	return nil
}

// tableRule converts the route's conditions to a rule of the routing table. It checks only what compiling the rule does not check.
func (r *Route) tableRule(tomlFile *tomlfile.File, table string) (route.Rule, error) {
	rule := route.Rule{Name: r.Name, Hosts: r.Hosts, Methods: r.Methods}
	pathCount := 0
	for _, p := range []struct {
		kind route.PathKind
		path string
	}{{route.Exact, r.Path}, {route.Prefix, r.PathPrefix}, {route.Segments, r.PathSegments}, {route.Pattern, r.PathPattern}} {
		if p.path != "" {
			pathCount++
			rule.Kind, rule.Path = p.kind, p.path
		}
	}
	if pathCount > 1 {
		return rule, tomlFile.Errorf(table, "must have at most one of path, path_prefix, path_segments and path_pattern")
	}
	if normal, _, err := route.Normalize(r.Path); r.Path != "" && (err != nil || normal != r.Path) {
		return rule, tomlFile.Errorf(table+".path", "%q is not in normal form, and would never match", r.Path)
	}
	var err error
	if rule.Headers, err = routeConditions(tomlFile, table+".header", r.Header); err != nil {
		return rule, err
	}
	rule.Query, err = routeConditions(tomlFile, table+".query", r.Query)
	return rule, err
}

// routeConditions converts conditions to the type that package route takes. array is the full name of their array of tables in the
// file, for errors.
func routeConditions(tomlFile *tomlfile.File, array string, conditions []Condition) ([]route.Condition, error) {
	var out []route.Condition
	for i, c := range conditions {
		converted, err := c.routeCondition(tomlFile, fmt.Sprintf("%s[%d]", array, i))
		if err != nil {
			return nil, err
		}
		out = append(out, converted)
	}
	return out, nil
}

func (c Condition) routeCondition(tomlFile *tomlfile.File, table string) (route.Condition, error) {
	out := route.Condition{Name: c.Name}
	if c.Name == "" {
		return out, tomlFile.Errorf(table+".name", "must be given")
	}
	comparisonCount := 0
	for _, o := range []struct {
		operator route.Operator
		isGiven  bool
		value    string
	}{
		{route.Equal, tomlFile.Has(table + ".equal"), c.Equal},
		{route.HasPrefix, c.Prefix != "", c.Prefix},
		{route.Absent, c.Absent, ""},
	} {
		if o.isGiven {
			comparisonCount++
			out.Operator, out.Value = o.operator, o.value
		}
	}
	if comparisonCount > 1 {
		return out, tomlFile.Errorf(table, "must have at most one of equal, prefix and absent")
	}
	return out, nil
}
