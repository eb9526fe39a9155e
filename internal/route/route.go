// Package route finds the rule that a request matches. Rules are compiled into a Table, which is indexed by host and path. The
// package also normalizes request targets, since rules are matched against normalized paths.
//
// The package does no I/O, reads no clock and starts no goroutine. A Table is immutable and safe for concurrent use. The work
// of a lookup is bounded by the size of the table, whatever the request is.
package route

import "net/http"

// PathKind says how a rule's path is compared with the path of a request.
type PathKind uint8

// Values of PathKind. A rule without a path has the zero value, AnyPath.
const (
	AnyPath  PathKind = iota // every path matches
	Exact                    // the request's path must be equal to the rule's path
	Prefix                   // the request's path must begin with the rule's path
	Segments                 // paths are compared by segment: "*" matches one non-empty segment, "**" at the end any number, even none
	Pattern                  // the rule's path is a regular expression (RE2) that must match the complete path
)

// Operator says how a condition compares the value of a header or query parameter.
type Operator uint8

// Values of Operator. If a name occurs several times in a request, one value that matches is enough.
const (
	Present   Operator = iota // the request has the name, with any value
	Absent                    // the request does not have the name
	Equal                     // the request has the name with a value equal to Condition.Value
	HasPrefix                 // the request has the name with a value that begins with Condition.Value
)

// Condition is a requirement on a header or a query parameter of a request.
type Condition struct {
	Name     string // name of the header or query parameter; header names are compared without regard to case
	Operator Operator
	Value    string // value to compare with, if the operator is Equal or HasPrefix
}

// Rule describes the requests of one route. A rule matches a request if all its parts match; an empty part matches every request. A
// request is routed by the first rule of the table that matches it.
type Rule struct {
	Name    string
	Hosts   []string // hosts, one of which must match the request's host: "a.example", or "*.example" for all names below example, at any depth
	Kind    PathKind
	Path    string
	Methods []string    // request methods, one of which the request must have
	Headers []Condition // conditions on headers, all of which must hold
	Query   []Condition // conditions on query parameters, all of which must hold
}

// Request holds the parts of a request that rules are matched against. Host must be as NormalizeHost returns it, Path and
// RawQuery as Normalize returns them. The keys of Header must be canonical.
type Request struct {
	Host, Path, RawQuery, Method string
	Header                       http.Header
}
