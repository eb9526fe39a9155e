// Package route decides which route takes a request: rules in, a compiled table out. It also has the normal form of
// request targets that rules are matched against.
//
// The package does no I/O, reads no clock and starts no goroutine. A Table never changes and is safe for concurrent use.
// The work of a lookup is bounded by the table, whatever the request is.
package route

import "net/http"

// PathKind says how a rule's path is compared with that of a request.
type PathKind uint8

// The kinds of paths.
const (
	AnyPath  PathKind = iota
	Exact             // the whole path
	Prefix            // any path that begins with it
	Segments          // segment by segment: "*" is any one that is not empty, "**" at the end any number, none included
	Pattern           // a regular expression (RE2) that must match the whole path
)

// Operator says how a header's or a query's value is compared.
type Operator uint8

// The operators. Of a value that occurs several times one that matches is enough.
const (
	Present Operator = iota
	Absent
	Equal
	HasPrefix
)

// Condition is a requirement on a header or a query value. Names of headers are compared without regard to case.
type Condition struct {
	Name     string
	Operator Operator
	Value    string // for Equal and HasPrefix
}

// Rule is a route as it is written. The first rule of a table whose every part matches takes a request. A part that is
// left empty matches all.
type Rule struct {
	Name    string
	Hosts   []string // any of these: "a.example", or "*.example" for any name below it, of any depth
	Kind    PathKind
	Path    string
	Methods []string // any of these
	Headers []Condition
	Query   []Condition
}

// Request is what is matched. Host is in the form that the function Host returns, Path and RawQuery are in that of
// Normalize. The keys of Header must be canonical.
type Request struct {
	Host, Path, RawQuery, Method string
	Header                       http.Header
}
