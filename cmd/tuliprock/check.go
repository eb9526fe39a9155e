package main

import (
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strings"

	"tuliprock/internal/cluster/transport"
	"tuliprock/internal/config"
	"tuliprock/internal/route"
)

// checkCommand validates a configuration file written by operators (see config.File), and explains which route a request takes.
type checkCommand struct {
	File    string   `arg:"" help:"An operators' file."`
	Route   string   `placeholder:"'METHOD URL'" help:"Print which route matches this request, and why the routes before it do not."`
	Headers []string `name:"header" short:"H" sep:"none" placeholder:"'NAME: VALUE'" help:"A header of the request of --route; may be repeated."`
}

// Run executes the command "check". The parser kong calls it with the flags and arguments set.
func (c *checkCommand) Run() error {
	f, err := config.Read(c.File)
	if err != nil {
		return err
	}
	if f.Cluster != nil && f.Cluster.KeyFile != "" {
		if _, err := transport.ReadKeys(f.Cluster.KeyFile); err != nil {
			return fmt.Errorf("%s: fleet.key_file: %w", c.File, err)
		}
	}
	if c.Route == "" {
		return writeSummary(os.Stdout, f)
	}
	r, err := c.parseRequest()
	if err != nil {
		return err
	}
	return explainRoute(os.Stdout, f, r)
}

// parseRequest parses the request that the flags --route and --header describe.
func (c *checkCommand) parseRequest() (*route.Request, error) {
	method, target, ok := strings.Cut(c.Route, " ")
	u, err := url.Parse(target)
	if !ok || err != nil || u.Host == "" {
		return nil, fmt.Errorf("--route: %q is not of the form 'METHOD URL'", c.Route)
	}
	path, query, err := route.Normalize(u.RequestURI())
	if err != nil {
		return nil, fmt.Errorf("--route: the daemon responds with status 400: %w", err)
	}
	header, err := parseHeaders(c.Headers)
	if err != nil {
		return nil, err
	}
	return &route.Request{Host: route.NormalizeHost(u.Host), Path: path, RawQuery: query, Method: method, Header: header}, nil
}

// explainRoute prints which route matches a request, and why each route before it does not.
func explainRoute(w io.Writer, f *config.File, r *route.Request) error {
	matched, ok := f.Table().Match(r)
	for i := range f.Route {
		if ok && i == matched {
			matchedRoute := f.Route[i]
			_, err := fmt.Fprintf(w, "%s takes it: pool %s, class %s\n", routeName(f, i), matchedRoute.Pool, matchedRoute.Class)
			return err
		}
		if _, err := fmt.Fprintf(w, "%s does not: %s\n", routeName(f, i), f.Table().Mismatch(i, r)); err != nil {
			return err
		}
	}
	return verdictError{errors.New("no route matches: the daemon responds with status 404")}
}

// routeName identifies a route by its index in the file, and by its name if it has one.
func routeName(f *config.File, i int) string {
	if name := f.Route[i].Name; name != "" {
		return fmt.Sprintf("route[%d] (%s)", i, name)
	}
	return fmt.Sprintf("route[%d]", i)
}

// writeSummary prints what a file configures, with warnings about routes that cannot match and notes about members that
// share an address.
func writeSummary(w io.Writer, f *config.File) error {
	var text strings.Builder
	if err := writeColumns(&text, summaryRows(f)); err != nil {
		return err
	}
	for _, u := range f.Table().Unreachable() {
		fmt.Fprintf(&text, "warning: %s takes nothing: %s takes all that it would\n", routeName(f, u.Rule), routeName(f, u.ShadowedBy))
	}
	for _, note := range sharedAddressNotes(f) {
		fmt.Fprintf(&text, "note: %s\n", note)
	}
	_, err := io.WriteString(w, text.String())
	return err
}

// summaryRows returns a summary of a file as tab-separated rows, such as one for each listener, class, tenant, pool and route.
func summaryRows(f *config.File) string {
	var rows strings.Builder
	for _, l := range f.Listener {
		fmt.Fprintf(&rows, "listener\t%s\t%s\tup to %d connections, bodies of %d bytes\n", l.Name, l.Address, l.MaxConnections, l.MaxBodyBytes)
	}
	if f.Daemon.AdminAddr != "" {
		fmt.Fprintf(&rows, "operators\t\t%s\tcheck, vars, peers, settings, set-down ID, set-up ID\n", f.Daemon.AdminAddr)
	}
	service := f.Service()
	if service.Cluster != nil {
		fmt.Fprintf(&rows, "fleet\t\t%v\t%v\n", service.Cluster.Listen, service.Cluster)
	}
	for _, c := range f.Class {
		fmt.Fprintf(&rows, "class\t%s\t%s\twanted within %v, given up after %v where a request does not say\n", c.Name, c.Idempotency, c.LatencyObjective, c.Deadline)
	}
	for _, n := range f.Tenant {
		fmt.Fprintf(&rows, "tenant\t%s\t\t%v requests a second\n", n.Name, n.Quota)
	}
	for _, p := range f.Pool {
		fmt.Fprintf(&rows, "pool\t%s\t%s\t%d attempts at most\n", p.Name, describeMembersSource(&p), p.MaxAttempts)
	}
	for i, r := range f.Route {
		fmt.Fprintf(&rows, "%s\t\t%s\tas %s\n", routeName(f, i), r.Pool, r.Class)
	}
	fmt.Fprintf(&rows, "descriptors\t\tup to %d\t\n", service.MaxDescriptors())
	return rows.String()
}

// describeMembersSource says how a pool gets its members: from a file, DNS, a discovery agent, the cluster's agreed settings, or
// the operators' file itself.
func describeMembersSource(p *config.Pool) string {
	switch {
	case p.File != "":
		return "members in " + p.File
	case p.DNS != nil:
		return "members by DNS, " + p.DNS.Name
	case p.Agent != "":
		return "members from the agent at " + p.Agent
	case p.MembersSource != "":
		return "members as is agreed on"
	default:
		return fmt.Sprintf("%d members", len(p.Member))
	}
}

// sharedAddressNotes returns a note for each member whose address an earlier member has already, in the same pool or in another
// one. The balancer limits the load of each member separately, so the endpoint at such an address gets more load than the limit
// of one member allows.
func sharedAddressNotes(f *config.File) (notes []string) {
	firstMemberAt := map[string]string{} // first member that has each address, as "MEMBER in pool POOL", by the address
	for _, p := range f.Pool {
		for _, m := range p.Member {
			member := fmt.Sprintf("%s in pool %s", m.ID, p.Name)
			if first, ok := firstMemberAt[m.Address]; ok {
				notes = append(notes, fmt.Sprintf("%s and %s are both at %s", first, member, m.Address))
				continue
			}
			firstMemberAt[m.Address] = member
		}
	}
	return notes
}
