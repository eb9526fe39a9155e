package frontend

import (
	"net/http"
	"strings"

	"tuliprock/internal/route"
)

// resolvedTarget is where a request goes, and the request target with which it is forwarded.
type resolvedTarget struct {
	*Target
	requestTarget string
}

// resolveTarget finds where a request goes. A request that no route names is rejected: it must reach neither the module
// nor an endpoint, for nobody knows what executing it twice may do.
func (s *Server) resolveTarget(routes *RouteConfig, r *http.Request) (resolvedTarget, *rejection) {
	query := route.Request{Method: r.Method, Header: r.Header, Host: route.Host(r.Host)}
	raw := originForm(r.RequestURI)
	var err error
	switch {
	case s.options.Raw && !isPlainPath(raw):
		return resolvedTarget{}, newRejection(http.StatusBadRequest, "the target is no plain path")
	case s.options.Raw:
		query.Path, query.RawQuery, _ = strings.Cut(raw, "?")
	default:
		if query.Path, query.RawQuery, err = route.Normalize(r.RequestURI); err != nil {
			return resolvedTarget{}, newRejection(http.StatusBadRequest, "%w", err)
		}
	}
	i, ok := routes.Table.Match(&query)
	if !ok {
		return resolvedTarget{}, newRejection(http.StatusNotFound, "nothing is served at %.80q", query.Path)
	}
	target := &routes.Targets[i]
	if s.options.Raw {
		return resolvedTarget{target, raw}, nil
	}
	rewritten := target.rewritePath(query.Path)
	if strings.Contains(r.RequestURI, "?") {
		rewritten += "?" + query.RawQuery
	}
	return resolvedTarget{target, rewritten}, nil
}

// rewritePath replaces the path's prefix, with one slash where they meet.
func (t *Target) rewritePath(path string) string {
	if t.PrefixRewrite == "" {
		return path
	}
	rest := strings.TrimPrefix(path, t.Prefix)
	if strings.HasSuffix(t.PrefixRewrite, "/") {
		rest = strings.TrimPrefix(rest, "/")
	}
	return t.PrefixRewrite + rest
}

// originForm returns a request target in origin form if it came in absolute form (RFC 9112, 3.2.2), and any other
// unchanged.
func originForm(target string) string {
	const scheme = "http://"
	if len(target) < len(scheme) || !strings.EqualFold(target[:len(scheme)], scheme) {
		return target
	}
	rest := target[len(scheme):]
	switch i := strings.IndexAny(rest, "/?"); {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	default:
		return rest[i:]
	}
}

// isPlainPath reports whether a request target is a path that can be forwarded unchanged.
func isPlainPath(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.ContainsFunc(target, func(c rune) bool { return c <= ' ' || c > '~' })
}
